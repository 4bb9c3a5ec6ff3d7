"""Runs HTTP applications with uvicorn inside anyio tasks."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import uvicorn

from chivetray.connection_limits import ConnectionLimits, limit_connections
from chivetray.generated.settings import TlsSettings

BACKLOG = 1024

# An answer that is cut off ends with an exception in the application, and uvicorn
# closes the connection. The entry logs an event of its own for that.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    :ivar ended: set once the server is stopped and all its requests have ended
    """

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.ended = anyio.Event()

    @classmethod
    def from_app(
        cls,
        app: Any,
        tls: TlsSettings | None = None,
        backlog: int = BACKLOG,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        report: Callable[[str], None] = lambda limit: None,
    ) -> HttpServer:
        """Create a server for one ASGI application.

        :param limits: returns the current limits on connections
        :param report: called with the name of the limit when a connection is closed
        """
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=limit_connections(limits, report),
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
        """Install no signal handlers; uvicorn would replace those of the process."""
        yield

    async def serve_on(self, listener: socket.socket) -> None:
        """Serve until :meth:`stop` is called and all requests have ended."""
        try:
            await self.serve(sockets=[listener])
        finally:
            self.ended.set()

    def stop(self) -> None:
        """Stop listening and let the requests in flight finish.

        Open connections are served for a moment after that, until ``ended`` is set.
        """
        self.should_exit = True


def bind_listener(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    :raises OSError: when the address cannot be bound
    """
    # asyncio sets TCP_NODELAY on accepted connections only when the protocol is given.
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
