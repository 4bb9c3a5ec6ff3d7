"""Encodes and decodes messages between entries with msgpack.

A message is an array of its kind's number and the values of its fields in the
order of the schema. Without field names a heartbeat has a fifth of the size.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError

from chivetray.exceptions import ChivetrayError
from chivetray.generated.messages import (
    CellClaim,
    Heartbeat,
    Hello,
    NodeAnswer,
    NodeCall,
    NodeHeartbeat,
    NodeHello,
    RevisionPush,
    RevisionRequest,
    SlotDemand,
    SlotGrant,
    SlotOffer,
    SlotWant,
)
from chivetray.results import ResultCode

# Larger than a whole set of objects at 15,000 VMs.
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

PeerMessage = (
    Hello
    | Heartbeat
    | RevisionRequest
    | RevisionPush
    | SlotDemand
    | SlotOffer
    | NodeHello
    | NodeHeartbeat
    | NodeCall
    | NodeAnswer
)

# Number of each kind on the wire; a number is never used again.
_NUMBERS: dict[type[Any], int] = {
    Hello: 1,
    Heartbeat: 2,
    RevisionRequest: 3,
    RevisionPush: 4,
    SlotDemand: 5,
    SlotOffer: 6,
    NodeHello: 7,
    NodeHeartbeat: 8,
    NodeCall: 9,
    NodeAnswer: 10,
}
_KINDS = {number: kind for kind, number in _NUMBERS.items()}

# Kinds of the items in the last field of a message.
_ITEMS: dict[type[Any], type[Any]] = {
    SlotDemand: SlotWant,
    SlotOffer: SlotGrant,
    NodeHeartbeat: CellClaim,
}

_NAMES: dict[type[Any], tuple[str, ...]] = {
    kind: tuple(item.name for item in dataclasses.fields(kind))
    for kind in (*_NUMBERS, *_ITEMS.values())
}

_ADAPTERS: dict[type[Any], TypeAdapter[Any]] = {
    kind: TypeAdapter(kind) for kind in _NUMBERS
}


class PeerProtocolError(ChivetrayError):
    """A message of a peer cannot be read."""


def encode_message(message: PeerMessage) -> bytes:
    """Return the bytes of one message."""
    kind = type(message)
    values: list[Any] = [getattr(message, name) for name in _NAMES[kind]]
    if kind in _ITEMS:
        names = _NAMES[_ITEMS[kind]]
        values[-1] = [[getattr(item, name) for name in names] for item in values[-1]]
    return bytes(msgpack.packb([_NUMBERS[kind], *values]))


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
                yield _validate(plain)
        except (ValidationError, ValueError, TypeError, KeyError) as error:
            raise _unreadable(error) from error
        except msgpack.UnpackException as error:
            raise _unreadable(error) from error


def _validate(plain: Any) -> PeerMessage:
    number, *values = plain
    kind = _KINDS[number]
    if kind in _ITEMS:
        names = _NAMES[_ITEMS[kind]]
        values[-1] = [dict(zip(names, item, strict=True)) for item in values[-1]]
    fields = dict(zip(_NAMES[kind], values, strict=True))
    message: PeerMessage = _ADAPTERS[kind].validate_python(fields)
    return message


def _unreadable(error: Exception) -> PeerProtocolError:
    message = f"a peer's message cannot be read: {type(error).__name__}"
    return PeerProtocolError(ResultCode.BAD_VALUE, message)
