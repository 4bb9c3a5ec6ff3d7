"""Encodes and decodes messages between peers with msgpack.

A message is an array of the number of its kind, followed by the values of its
fields in the order of the schema. Leaving out the field names reduces a
heartbeat to a fifth of its size. Fields at the end that have their default value are
left out, so that peers of releases without these fields can decode the message.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import MISSING
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

# A full set of objects at 15,000 VMs fits into one message.
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

# Largest message of a peer that has not said who it is.
HELLO_LIMIT_BYTES = 4096

# Limits on the items of one list and on the lists in one message, such as claims or
# grants. An empty list takes a byte in a message and 64 in memory.
LIST_ITEMS_LIMIT = 32_768
MESSAGE_LISTS_LIMIT = 100_000
LIST_BYTES = 64

# Memory of a value by its size in a message, at most, such as of an integer.
VALUE_EXPANSION = 16

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

# Number of each message kind on the wire. The number of a removed kind is never
# reused.
_KIND_NUMBERS: dict[type[Any], int] = {
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
_KINDS_BY_NUMBER = {number: kind for kind, number in _KIND_NUMBERS.items()}

# Field of a message that holds a list of items, and the type of these.
_ITEM_KINDS: dict[type[Any], tuple[str, type[Any]]] = {
    SlotDemand: ("wants", SlotWant),
    SlotOffer: ("grants", SlotGrant),
    NodeHeartbeat: ("claims", CellClaim),
}

_FIELD_NAMES: dict[type[Any], tuple[str, ...]] = {
    kind: tuple(item.name for item in dataclasses.fields(kind))
    for kind in (*_KIND_NUMBERS, *(item for _, item in _ITEM_KINDS.values()))
}

# Default values of the last fields of a kind, in the order of the fields.
_DEFAULTS: dict[type[Any], list[Any]] = {
    kind: [
        item.default if item.default_factory is MISSING else item.default_factory()
        for item in dataclasses.fields(kind)
        if item.default is not MISSING or item.default_factory is not MISSING
    ]
    for kind in _FIELD_NAMES
}

_ADAPTERS: dict[type[Any], TypeAdapter[Any]] = {
    kind: TypeAdapter(kind) for kind in _KIND_NUMBERS
}


class PeerProtocolError(ChivetrayError):
    """A peer sent a message that cannot be decoded."""


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded form of one message."""
    kind = type(message)
    values = _list_values(message)
    if kind in _ITEM_KINDS:
        position = _FIELD_NAMES[kind].index(_ITEM_KINDS[kind][0])
        values[position] = [_list_values(item) for item in values[position]]
    return bytes(msgpack.packb([_KIND_NUMBERS[kind], *values]))


def _list_values(message: Any) -> list[Any]:
    """Return the values of the fields, without defaults at the end."""
    kind = type(message)
    values = [getattr(message, name) for name in _FIELD_NAMES[kind]]
    for default in reversed(_DEFAULTS[kind]):
        if values[-1] != default:
            break
        values.pop()
    return values


class ListCounter:
    """Counts the lists of a message as they are decoded.

    :ivar count: lists so far
    """

    def __init__(self) -> None:
        self.count = 0

    def __call__(self, items: list[Any]) -> list[Any]:
        """Count one list and return it.

        :raises ValueError: when there are too many
        """
        self.count += 1
        if self.count > MESSAGE_LISTS_LIMIT:
            raise ValueError("too many lists")
        return items


class MessageDecoder:
    """Incrementally decodes a byte stream into messages.

    :ivar limit_bytes: largest size of a message
    """

    def __init__(self) -> None:
        self.limit_bytes = MESSAGE_LIMIT_BYTES
        self._lists = ListCounter()
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MESSAGE_LIMIT_BYTES,
            max_array_len=LIST_ITEMS_LIMIT,
            max_map_len=LIST_ITEMS_LIMIT,
            list_hook=self._lists,
        )
        self._fed_bytes = 0
        self._complete_bytes = 0
        self._last_heartbeat: tuple[Any, PeerMessage] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the message under way takes, at most."""
        parsed: int = self._unpacker.tell()
        values_bytes = VALUE_EXPANSION * (parsed - self._complete_bytes)
        return self._fed_bytes - parsed + values_bytes + LIST_BYTES * self._lists.count

    def feed(self, content: bytes) -> Iterator[PeerMessage]:
        """Add received bytes and yield the messages that are complete.

        :raises PeerProtocolError: when the bytes are not a valid message
        """
        try:
            self._unpacker.feed(content)
            self._fed_bytes += len(content)
            for unpacked in self._unpacker:
                self._complete_bytes = self._unpacker.tell()
                self._lists.count = 0
                yield self._decode(unpacked)
            if self._fed_bytes - self._complete_bytes > self.limit_bytes:
                raise ValueError("the message is too large")
        except (ValidationError, ValueError, TypeError, KeyError) as error:
            raise _protocol_error(error) from error
        except msgpack.UnpackException as error:
            raise _protocol_error(error) from error

    def _decode(self, unpacked: Any) -> PeerMessage:
        """Validate a message; most heartbeats repeat the one before unchanged."""
        if self._last_heartbeat is not None and unpacked == self._last_heartbeat[0]:
            return self._last_heartbeat[1]
        message = _validate(unpacked)
        if isinstance(message, NodeHeartbeat):
            self._last_heartbeat = (unpacked, message)
        return message


def encode_content(value: Any) -> bytes:
    """Return the encoded form of the argument or result of a call."""
    return bytes(msgpack.packb(value))


def decode_content(content: bytes) -> Any:
    """Decode the argument or result of a call.

    :raises PeerProtocolError: when the bytes are not one valid value
    """
    counter = ListCounter() if len(content) > MESSAGE_LISTS_LIMIT else None
    try:
        return msgpack.unpackb(content, list_hook=counter)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise _protocol_error(error) from error


def _validate(unpacked: Any) -> PeerMessage:
    number, *values = unpacked
    kind = _KINDS_BY_NUMBER[number]
    fields = _name_values(kind, values)
    if kind in _ITEM_KINDS:
        name, item_kind = _ITEM_KINDS[kind]
        fields[name] = [_name_values(item_kind, item) for item in fields[name]]
    message: PeerMessage = _ADAPTERS[kind].validate_python(fields)
    return message


def _name_values(kind: type[Any], values: list[Any]) -> dict[str, Any]:
    """Return values by the names of their fields.

    :raises ValueError: if there are more values than fields, or too few
    """
    names = _FIELD_NAMES[kind]
    if not len(names) - len(_DEFAULTS[kind]) <= len(values) <= len(names):
        raise ValueError(f"a {kind.__name__} has {len(values)} values")
    return dict(zip(names, values, strict=False))


def _protocol_error(error: Exception) -> PeerProtocolError:
    message = f"peer message cannot be decoded: {type(error).__name__}"
    return PeerProtocolError(ResultCode.BAD_VALUE, message)
