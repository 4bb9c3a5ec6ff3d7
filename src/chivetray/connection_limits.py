"""Limits on connections of callers that are slow, idle or send too large heads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    :ivar head_bytes: largest size of the head of a request, and of what follows the
        last byte of its body, such as trailers
    :ivar head_timeout_s: time from the first byte of a head to its end
    :ivar idle_timeout_s: time without a received byte, before a head or within a body
    """

    head_bytes: int = 16384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def _ignore(limit: str) -> None:
    """Report no closed connections."""


def limit_connections(
    limits: Callable[[], ConnectionLimits],
    report: Callable[[str], None] = _ignore,
) -> type[asyncio.Protocol]:
    """Return a protocol class that enforces the limits on its connections.

    :param limits: returns the current limits
    :param report: called with the name of the limit when a connection is closed
    """

    class LimitedProtocol(HttpToolsProtocol):
        """HTTP connection that is closed when it exceeds a limit."""

        _timer: asyncio.TimerHandle | None = None
        _in_head = False
        _in_body = False
        _head_bytes_received = 0
        _framing_bytes_received = 0

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            idle_s = limits().idle_timeout_s
            self.timeout_keep_alive = idle_s  # type: ignore[assignment]
            self._restart_timer(idle_s, "idle time")

        def connection_lost(self, exc: Exception | None) -> None:
            self._cancel_timer()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            current = limits()
            if not self._in_head and not self._in_body:
                self._in_head, self._head_bytes_received = True, 0
                self._restart_timer(current.head_timeout_s, "head time")
            if self._in_head:
                self._head_bytes_received += len(data)
            elif self._in_body:
                self._framing_bytes_received += len(data)
            super().data_received(data)
            if self._in_head and self._head_bytes_received > current.head_bytes:
                self._refuse(HEAD_TOO_LARGE, "head size")
            elif self._in_body:
                if self._framing_bytes_received > current.head_bytes:
                    self._refuse(HEAD_TOO_LARGE, "trailers")
                else:
                    self._restart_timer(current.idle_timeout_s, "idle time")

        def on_header(self, name: bytes, value: bytes) -> None:
            # Trailers would change the headers that the application has.
            if not self._in_body:
                super().on_header(name, value)

        def on_headers_complete(self) -> None:
            self._in_head, self._in_body = False, True
            self._framing_bytes_received = 0
            super().on_headers_complete()

        def on_body(self, body: bytes) -> None:
            self._framing_bytes_received = 0
            super().on_body(body)

        def on_message_complete(self) -> None:
            self._in_body = False
            self._cancel_timer()
            super().on_message_complete()

        def _restart_timer(self, timeout_s: float, limit: str) -> None:
            self._cancel_timer()
            self._timer = self.loop.call_later(timeout_s, self._close, limit)

        def _cancel_timer(self) -> None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

        def _refuse(self, answer: bytes, limit: str) -> None:
            """Answer the request under way, unless its answer has begun, and close."""
            is_answered = self._in_body and self.cycle.response_started
            if not is_answered and not self.transport.is_closing():
                self.transport.write(answer)
            self._close(limit)

        def _close(self, limit: str) -> None:
            self._cancel_timer()
            if not self.transport.is_closing():
                report(limit)
                self.transport.close()

    return LimitedProtocol
