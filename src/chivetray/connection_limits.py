"""Limits on connections of callers that are slow, idle or send too large heads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn import Config
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from chivetray.connection_pool import ConnectionPool
from chivetray.results import ResultCode

# Largest slice of a head or of a chunked body that the parser is given at once. It
# handles all requests in a slice, which is why it is small.
SLICE_BYTES = 512

HEAD_END = b"\r\n\r\n"
CHUNKED_BODY_END = b"0\r\n\r\n"

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)

# Sent only while a body is incomplete, when nothing of the request was carried out.
_REFUSAL = ResultCode.BUFFERS_FULL
_REFUSAL_BODY = b'{"Code":%d,"Error":"%s"}' % (
    _REFUSAL.number,
    _REFUSAL.meaning.encode(),
)
BUFFERS_FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n"
    b"content-length: %d\r\nx-result-code: %d\r\nretry-after: 1\r\n"
    b"connection: close\r\n\r\n%s"
) % (len(_REFUSAL_BODY), _REFUSAL.number, _REFUSAL_BODY)

# Times that a body is in memory, as received and as the application joins it.
BODY_COPIES = 2

# Memory of a request that was parsed and waits for the one before.
REQUEST_BYTES = 4096


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    :ivar head_bytes: largest size of the head of a request, and of what follows the
        last byte of its body, such as trailers
    :ivar head_timeout_s: time from the first byte of a head to its end
    :ivar idle_timeout_s: time without a received byte, before a head or within a body
    :ivar answer_timeout_s: time within which the client takes some bytes of an answer
    """

    head_bytes: int = 16384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    answer_timeout_s: float = 10.0


class GatedFlow(FlowControl):
    """Flow control that resumes reading only while no received bytes are held back.

    :ivar gated: whether bytes are held back
    """

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self.gated = False

    def resume_reading(self) -> None:
        """Resume reading unless bytes are held back."""
        if not self.gated:
            super().resume_reading()


class LimitedConnection(HttpToolsProtocol):
    """HTTP connection that is closed when it exceeds a limit.

    It parses one request at a time. What is received behind that is held back
    until the client has taken the answer.

    :param limits: returns the current limits
    :param pool: connections of the listener, which has this one already
    :ivar opening: task that opens the connection, such as by a TLS handshake
    """

    flow: GatedFlow

    def __init__(
        self,
        config: Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        limits: Callable[[], ConnectionLimits],
        pool: ConnectionPool,
    ):
        super().__init__(config, server_state, app_state)
        self.opening: asyncio.Task[None] | None = None
        self._limits = limits
        self._pool = pool
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._in_head = False
        self._in_body = False
        self._head_bytes_received = 0
        self._head_tail = b""
        self._framing_bytes_received = 0
        # Part of a body of known length that was not received yet.
        self._missing_body_bytes = 0
        # Received bytes, of which those from the offset on are held back.
        self._received = b""
        self._offset = 0
        # Bytes of bodies whose requests have no complete answer.
        self._body_bytes = 0
        self._held_bytes = 0
        self._evicted = False

    def connection_made(self, transport: Any) -> None:
        """Begin to read."""
        super().connection_made(transport)
        self.flow = GatedFlow(transport)
        # Writing is paused whenever the kernel has not taken all of an answer. With
        # TLS, a limit of 0 would pause it when there is nothing to write, too.
        transport.set_write_buffer_limits(high=1, low=0)
        idle_s = self._limits().idle_timeout_s
        self.timeout_keep_alive = idle_s  # type: ignore[assignment]
        self._restart_timer(idle_s, "idle time")

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool."""
        self._cancel_timer()
        self._cancel_write_timer()
        self._received, self._offset = b"", 0
        self._pool.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, behind those that are held back."""
        if self._offset < len(self._received):
            data = self._received[self._offset :] + data
        self._received, self._offset = data, 0
        self._parse()

    def pause_writing(self) -> None:
        """Wait for the client to take the answer, for a limited time."""
        super().pause_writing()
        if self._write_timer is None:
            self._watch_answer(self.transport.get_write_buffer_size())
        self._update_held()

    def resume_writing(self) -> None:
        """Go on once the client has taken the answer."""
        self._cancel_write_timer()
        super().resume_writing()
        self._parse()

    def on_response_complete(self) -> None:
        """Start the next request."""
        super().on_response_complete()
        if self.cycle.response_complete:
            self._body_bytes = 0
            if not self._in_body:
                self._pool.mark_idle(self)
        self._parse()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        # Trailers would change the headers that the application has.
        if not self._in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request whose head is complete."""
        self._in_head, self._in_body = False, True
        self._framing_bytes_received = 0
        self._missing_body_bytes = _read_length(self.headers)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Hand a part of a body on."""
        self._framing_bytes_received = 0
        self._missing_body_bytes -= len(body)
        if not self.cycle.response_complete:
            self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record that a request was received."""
        self._in_body = False
        self._cancel_timer()
        self._pool.mark_busy(self)
        if self.cycle.response_complete:
            self._pool.mark_idle(self)
        super().on_message_complete()

    def _parse(self) -> None:
        """Parse received bytes until a request is complete."""
        received = self._received
        limits = self._limits()
        is_new_head = False
        while self._offset < len(received) and not self.transport.is_closing():
            if not self._in_head and not self._in_body:
                if self._is_answering():
                    break
                self._in_head, self._head_bytes_received = True, 0
                self._head_tail = b""
                is_new_head = True
            end = self._slice_end()
            piece = received[self._offset : end]
            self._offset = end
            self._parse_piece(piece, limits.head_bytes)
        if self._in_body:
            self._restart_timer(limits.idle_timeout_s, "idle time")
        elif self._in_head and is_new_head:
            self._restart_timer(limits.head_timeout_s, "head time")
        if self.transport.is_closing() or self._offset == len(received):
            self._received, self._offset = b"", 0
            if self.flow.gated:
                self.flow.gated = False
                if self.cycle is None or len(self.cycle.body) <= HIGH_WATER_LIMIT:
                    self.flow.resume_reading()
        else:
            self.flow.gated = True
            self.flow.pause_reading()
        self._update_held()

    def _is_answering(self) -> bool:
        """Return whether an answer is incomplete or was not taken by the client."""
        if self.flow.write_paused:
            return True
        return self.cycle is not None and not self.cycle.response_complete

    def _slice_end(self) -> int:
        """Return the end of the next bytes to parse."""
        if self._missing_body_bytes > 0:
            return min(len(self._received), self._offset + self._missing_body_bytes)
        limit = min(len(self._received), self._offset + SLICE_BYTES)
        start = self._offset
        if self._in_body:
            found = self._received.find(CHUNKED_BODY_END, start, limit)
            return limit if found < 0 else found + len(CHUNKED_BODY_END)
        # The mark may have begun in the bytes that were parsed before.
        window = self._head_tail + self._received[start:limit]
        found = window.find(HEAD_END)
        if found < 0:
            self._head_tail = window[1 - len(HEAD_END) :]
            return limit
        return start + found + len(HEAD_END) - len(self._head_tail)

    def _parse_piece(self, piece: bytes, head_bytes: int) -> None:
        if self._in_head:
            # Counted before it is parsed, since the piece may complete the head.
            self._head_bytes_received += len(piece)
            if self._head_bytes_received > head_bytes:
                self._refuse(HEAD_TOO_LARGE, "head size")
                return
            super().data_received(piece)
            return
        self._framing_bytes_received += len(piece)
        super().data_received(piece)
        if self._in_body and self._framing_bytes_received > head_bytes:
            self._refuse(HEAD_TOO_LARGE, "trailers")

    def _restart_timer(self, timeout_s: float, limit: str) -> None:
        self._cancel_timer()
        self._timer = self.loop.call_later(timeout_s, self._close, limit)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _watch_answer(self, unread_bytes: int) -> None:
        """Abort the connection unless fewer bytes are unread after a time."""
        self._write_timer = self.loop.call_later(
            self._limits().answer_timeout_s, self._check_answer, unread_bytes
        )

    def _check_answer(self, previous_bytes: int) -> None:
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes < previous_bytes:
            self._watch_answer(unread_bytes)
        else:
            self._pool.report("answer time")
            self.transport.abort()

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _update_held(self) -> None:
        held_bytes = len(self._received) - self._offset
        held_bytes += BODY_COPIES * self._body_bytes
        held_bytes += REQUEST_BYTES * len(self.pipeline)
        if self.flow.write_paused:
            held_bytes += self.transport.get_write_buffer_size()
        if held_bytes != self._held_bytes and not self._evicted:
            self._held_bytes = held_bytes
            self._pool.hold(self, held_bytes)

    def evict(self, limit: str) -> None:
        """Close the connection for others."""
        self._evicted = True
        if self.transport is None:
            if self.opening is not None:
                self.opening.cancel()
        elif (
            self._in_body
            and self.scope["method"] == "POST"
            and not self.cycle.response_started
            and not self.transport.is_closing()
        ):
            self.transport.write(BUFFERS_FULL)
            self.transport.close()
        else:
            self.transport.abort()

    def _refuse(self, answer: bytes, limit: str) -> None:
        """Answer the request under way, unless its answer has begun, and close."""
        is_answered = self._in_body and self.cycle.response_started
        if not is_answered and not self.transport.is_closing():
            self.transport.write(answer)
        self._close(limit)

    def _close(self, limit: str) -> None:
        self._cancel_timer()
        if not self.transport.is_closing():
            self._pool.report(limit)
            self.transport.close()


def _read_length(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the length of a body, 0 where the head does not tell it."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0
