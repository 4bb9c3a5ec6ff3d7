"""Runs HTTP applications with uvicorn inside anyio tasks."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from chivetray.connection_limits import ConnectionLimits, limit_connections
from chivetray.generated.settings import TlsSettings

BACKLOG = 1024

# Cut answers end with an exception in the application; uvicorn then closes the
# connection. The entry logs its own event for that.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to its owner."""

    @classmethod
    def from_app(
        cls,
        app: Any,
        tls: TlsSettings | None = None,
        backlog: int = BACKLOG,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> HttpServer:
        """Make a server for one ASGI application.

        :param limits: returns the limits on connections that are in force
        """
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=limit_connections(limits),
            interface="asgi3",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=backlog,
            ssl_certfile=tls.certificate_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
        return cls(config)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield

    async def serve_on(self, listener: socket.socket) -> None:
        """Serve until :meth:`stop` is called and all requests have ended."""
        await self.serve(sockets=[listener])

    def stop(self) -> None:
        """Close the listener; requests in flight end first."""
        self.should_exit = True


def bind_listener(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    :raises OSError: when the address cannot be bound
    """
    # With the protocol named, asyncio sets TCP_NODELAY on accepted connections.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
