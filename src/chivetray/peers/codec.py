"""Encodes and decodes messages between entries with msgpack."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from chivetray.exceptions import ChivetrayError
from chivetray.generated.messages import (
    Heartbeat,
    Hello,
    PeerMessages,
    RevisionPush,
    RevisionRequest,
    SlotDemand,
    SlotOffer,
)
from chivetray.results import ResultCode

# Larger than a whole set of objects at 15,000 VMs.
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

PeerMessage = (
    Hello | Heartbeat | RevisionRequest | RevisionPush | SlotDemand | SlotOffer
)

# Field of the envelope that holds each kind of message.
_FIELDS: dict[type[Any], str] = {
    Hello: "hello",
    Heartbeat: "heartbeat",
    RevisionRequest: "revision_request",
    RevisionPush: "revision_push",
    SlotDemand: "slot_demand",
    SlotOffer: "slot_offer",
}

_ADAPTER: TypeAdapter[PeerMessages] = TypeAdapter(PeerMessages)


class PeerProtocolError(ChivetrayError):
    """A message of a peer cannot be read."""


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of one message."""
    envelope = {_FIELDS[type(message)]: dataclasses.asdict(message)}
    return bytes(msgpack.packb(envelope))


class MessageDecoder:
    """Decodes a stream of bytes into messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_LIMIT_BYTES)

    def feed(self, content: bytes) -> Iterator[PeerMessage]:
        """Yield the messages that are complete.

        :raises PeerProtocolError: when the bytes are not a message
        """
        try:
            self._unpacker.feed(content)
            for plain in self._unpacker:
                yield self._validate(plain)
        except (ValidationError, ValueError, msgpack.UnpackException) as error:
            message = f"a peer's message cannot be read: {type(error).__name__}"
            raise PeerProtocolError(ResultCode.BAD_VALUE, message) from error

    @staticmethod
    def _validate(plain: Any) -> PeerMessage:
        envelope = _ADAPTER.validate_python(plain)
        for name in _FIELDS.values():
            message: PeerMessage | None = getattr(envelope, name)
            if message is not None:
                return message
        raise ValueError("the envelope is empty")
