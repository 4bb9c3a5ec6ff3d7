"""Runs HTTP applications with uvicorn inside anyio tasks."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import uvicorn

from chivetray.acceptor import Acceptor
from chivetray.connection_limits import ConnectionLimits, LimitedConnection
from chivetray.connection_pool import RECEIVE_BUFFER_BYTES, ConnectionPool
from chivetray.generated.settings import TlsSettings

BACKLOG = 1024

# An answer that is cut off ends with an exception in the application, and uvicorn
# closes the connection. The entry logs an event of its own for that.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    :ivar ended: set once the server is stopped and all its requests have ended
    """

    def __init__(
        self,
        config: uvicorn.Config,
        limits: Callable[[], ConnectionLimits],
        pool: ConnectionPool,
    ):
        super().__init__(config)
        self.ended = anyio.Event()
        self._limits = limits
        self._pool = pool

    @classmethod
    def from_app(
        cls,
        app: Any,
        tls: TlsSettings | None = None,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        pool: ConnectionPool | None = None,
    ) -> HttpServer:
        """Create a server for one ASGI application.

        :param limits: returns the current limits on connections
        :param pool: holds the connections and the limits on all of them
        """
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http="httptools",
            interface="asgi3",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            ssl_certfile=tls.certificate_file if tls else None,
            ssl_keyfile=tls.key_file if tls else None,
        )
        return cls(config, limits, pool or ConnectionPool())

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept connections of the listeners."""
        await self.lifespan.startup()

        def create_connection() -> LimitedConnection:
            return LimitedConnection(
                self.config,
                self.server_state,
                self.lifespan.state,
                self._limits,
                self._pool,
            )

        acceptors = [
            Acceptor(listener, self._pool, create_connection, self.config.ssl)
            for listener in sockets or []
        ]
        for acceptor in acceptors:
            acceptor.start()
        # The base class closes these when it stops.
        self.servers = acceptors  # type: ignore[assignment]
        self.started = True

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
    # Accepted sockets inherit it. The kernel doubles the value for its own overhead.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
    try:
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
