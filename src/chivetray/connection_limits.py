"""Limits on what a caller may do with a connection before its request is known."""

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

    :ivar head_bytes: size of a request's head
    :ivar head_timeout_s: time from a head's first byte to its end
    :ivar idle_timeout_s: time without a byte, before a head or within a body
    """

    head_bytes: int = 16384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def limit_connections(
    limits: Callable[[], ConnectionLimits],
) -> type[asyncio.Protocol]:
    """Return a protocol class whose connections keep the limits in force."""

    class LimitedProtocol(HttpToolsProtocol):
        """HTTP connection that is closed when its caller takes too long."""

        _timer: asyncio.TimerHandle | None = None
        _in_head = False
        _in_body = False
        _seen_bytes = 0

        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            idle_s = limits().idle_timeout_s
            self.timeout_keep_alive = idle_s  # type: ignore[assignment]
            self._restart(idle_s)

        def connection_lost(self, exc: Exception | None) -> None:
            self._cancel()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            current = limits()
            if not self._in_head and not self._in_body:
                self._in_head, self._seen_bytes = True, 0
                self._restart(current.head_timeout_s)
            if self._in_head:
                self._seen_bytes += len(data)
            super().data_received(data)
            if self._in_head and self._seen_bytes > current.head_bytes:
                self.transport.write(HEAD_TOO_LARGE)
                self._close()
            elif self._in_body:
                self._restart(current.idle_timeout_s)

        def on_headers_complete(self) -> None:
            self._in_head, self._in_body = False, True
            super().on_headers_complete()

        def on_message_complete(self) -> None:
            self._in_body = False
            self._cancel()
            super().on_message_complete()

        def _restart(self, timeout_s: float) -> None:
            self._cancel()
            self._timer = self.loop.call_later(timeout_s, self._close)

        def _cancel(self) -> None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

        def _close(self) -> None:
            self._cancel()
            if not self.transport.is_closing():
                self.transport.close()

    return LimitedProtocol
