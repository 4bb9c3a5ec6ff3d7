"""Exchanges the content of the configuration between managers, compressed, in pieces.

A piece is a call of its own. So there is a limit on the silence of a peer and none on
the time of a whole content, heartbeats pass between two pieces, and a content that one
peer has begun to send can be continued by another that has the same.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.peers.mesh import CALL_TIMEOUT_S, Mesh

CONTENT_CALL = "configuration"

PIECE_BYTES = 16384

# Fast compression makes a content of some thousand routes about five times smaller.
COMPRESSION_LEVEL = 1

# Limit on an uncompressed content, against a damaged or hostile one.
MAX_CONTENT_BYTES = 64 * 1024 * 1024

# Peers that are sent a content at a time; others ask a peer that has got it meanwhile.
# One that has not asked for its next piece for a while is not counted any more.
MAX_SERVED_PEERS = 8
SERVED_LIMIT_S = 0.5

# Time that a release which sends the content as a whole may take.
WHOLE_CONTENT_TIMEOUT_S = 3.0

# First value of an answer.
_CURRENT, _BUSY, _PIECE = "current", "busy", "piece"


class FetchVerdict(Enum):
    """Outcome of a request for the content of a peer."""

    RECEIVED = "received"
    BUSY = "busy"
    CURRENT = "nothing newer"
    NO_ANSWER = "no answer"
    DAMAGED = "damaged"


@dataclass(frozen=True, slots=True)
class Fetch:
    """Outcome of a request, with the content if it was received whole."""

    verdict: FetchVerdict
    content: bytes = b""


@dataclass(frozen=True, slots=True)
class _Packed:
    """A compressed content.

    :ivar digest: SHA-256 of the compressed bytes
    """

    version: int
    digest: bytes
    data: bytes


@dataclass(frozen=True, slots=True)
class _Request:
    """A request for a piece.

    :ivar version: version in force at the peer
    :ivar digest: digest of the content of which it has a part, empty if of none
    :ivar start: position from which it needs that content
    """

    version: int
    digest: bytes
    start: int


@dataclass(frozen=True, slots=True)
class _Piece:
    """A part of a compressed content.

    :ivar digest: SHA-256 of the whole
    :ivar size_bytes: size of the whole
    :ivar start: position of the piece in the whole
    """

    digest: bytes
    size_bytes: int
    start: int
    data: bytes


@dataclass(slots=True)
class _Partial:
    """The pieces of a content that have arrived."""

    digest: bytes = b""
    data: bytearray = field(default_factory=bytearray)


class ContentExchange:
    """Sends the content in force to peers and requests newer contents from them.

    :param read_content: returns the version in force and its content without keys
    """

    def __init__(self, mesh: Mesh, read_content: Callable[[], tuple[int, bytes]]):
        self._mesh = mesh
        self._read_content = read_content
        self._packed: _Packed | None = None
        self._partial = _Partial()
        self._served_at_s: dict[str, float] = {}
        mesh.handlers[CONTENT_CALL] = self._handle_request

    async def fetch(self, peer: str, version: int) -> Fetch:
        """Request the content of a peer if it has a newer version than a given one."""
        while True:
            partial, asked_at_s = self._partial, boot_time_s()
            argument = [version, partial.digest, len(partial.data)]
            answer = await self._mesh.call(peer, CONTENT_CALL, argument)
            if answer is None:
                # An earlier release answers at once, with nothing.
                if boot_time_s() - asked_at_s < CALL_TIMEOUT_S / 2:
                    return await self._fetch_whole(peer, version)
                return Fetch(FetchVerdict.NO_ANSWER)
            if answer == [_BUSY]:
                return Fetch(FetchVerdict.BUSY)
            if answer == [_CURRENT]:
                return Fetch(FetchVerdict.CURRENT)
            piece = _read_piece(answer)
            if piece is None or not self._add_piece(piece):
                return Fetch(FetchVerdict.DAMAGED)
            if len(self._partial.data) >= piece.size_bytes:
                return self._unpack()

    async def _fetch_whole(self, peer: str, version: int) -> Fetch:
        """Request the content as earlier releases send it."""
        if peer not in self._mesh.peers:
            return Fetch(FetchVerdict.NO_ANSWER)
        content = await self._mesh.call(
            peer, CONTENT_CALL, version, WHOLE_CONTENT_TIMEOUT_S
        )
        if isinstance(content, bytes):
            return Fetch(FetchVerdict.RECEIVED, content)
        return Fetch(FetchVerdict.NO_ANSWER)

    def _add_piece(self, piece: _Piece) -> bool:
        """Add a piece; return whether it continues what is there."""
        if piece.digest != self._partial.digest:
            self._partial = _Partial(piece.digest)
        if piece.start != len(self._partial.data) or not piece.data:
            self._partial = _Partial()
            return False
        self._partial.data += piece.data
        return True

    def _unpack(self) -> Fetch:
        partial, self._partial = self._partial, _Partial()
        if hashlib.sha256(partial.data).digest() != partial.digest:
            return Fetch(FetchVerdict.DAMAGED)
        try:
            unpacker = zlib.decompressobj()
            content = unpacker.decompress(bytes(partial.data), MAX_CONTENT_BYTES)
        except zlib.error:
            return Fetch(FetchVerdict.DAMAGED)
        if not unpacker.eof:
            return Fetch(FetchVerdict.DAMAGED)
        return Fetch(FetchVerdict.RECEIVED, content)

    async def _handle_request(self, peer: str, argument: Any) -> Any:
        version, content = self._read_content()
        if isinstance(argument, int):
            # An earlier release, which takes the content as a whole.
            if version <= argument:
                return None
            self._log_sent(peer, version, argument)
            return content
        request = _read_request(argument)
        if request is None:
            return None
        if version <= request.version:
            return [_CURRENT]
        if not self._admit(peer):
            return [_BUSY]
        packed = self._pack(version, content)
        start = request.start if request.digest == packed.digest else 0
        data = packed.data[start : start + PIECE_BYTES]
        if start == 0:
            self._log_sent(peer, version, request.version)
        if start + len(data) >= len(packed.data):
            del self._served_at_s[peer]
        return [_PIECE, packed.digest, len(packed.data), start, data]

    def _admit(self, peer: str) -> bool:
        """Return whether one more peer may be sent the content now."""
        now_s = boot_time_s()
        self._served_at_s = {
            name: asked_at_s
            for name, asked_at_s in self._served_at_s.items()
            if now_s - asked_at_s < SERVED_LIMIT_S
        }
        is_known = peer in self._served_at_s
        if not is_known and len(self._served_at_s) >= MAX_SERVED_PEERS:
            return False
        self._served_at_s[peer] = now_s
        return True

    def _pack(self, version: int, content: bytes) -> _Packed:
        if self._packed is None or self._packed.version != version:
            data = zlib.compress(content, COMPRESSION_LEVEL)
            self._packed = _Packed(version, hashlib.sha256(data).digest(), data)
        return self._packed

    @staticmethod
    def _log_sent(peer: str, version: int, before: int) -> None:
        log_event(Event.CONFIG_SENT, peer=peer, version=version, before=before)


def _read_request(argument: Any) -> _Request | None:
    if not isinstance(argument, list) or len(argument) != 3:
        return None
    version, digest, start = argument
    if not isinstance(version, int) or not isinstance(digest, bytes):
        return None
    if not isinstance(start, int) or start < 0:
        return None
    return _Request(version, digest, start)


def _read_piece(answer: Any) -> _Piece | None:
    if not isinstance(answer, list) or len(answer) != 5 or answer[0] != _PIECE:
        return None
    _, digest, size_bytes, start, data = answer
    if not isinstance(digest, bytes) or not isinstance(data, bytes):
        return None
    if not isinstance(size_bytes, int) or not isinstance(start, int):
        return None
    return _Piece(digest, size_bytes, start, data)


def rank_peers(mesh: Mesh, newer_peers: dict[str, int]) -> list[str]:
    """Return connected peers, those to ask first for their content first.

    The newest version goes first, then the widest link, then the own zone, then any.

    :param newer_peers: version of each peer
    """
    connected = [mesh.peers[name] for name in newer_peers if name in mesh.peers]
    ranked = sorted(
        connected,
        key=lambda peer: (
            -newer_peers[peer.name],
            -peer.capacity,
            peer.zone != mesh.zone,
            random.random(),
        ),
    )
    return [peer.name for peer in ranked]
