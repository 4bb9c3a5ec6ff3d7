"""Connections of one listener and the bytes that they hold."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

# Limits of the process where the settings do not tell them.
DEFAULT_MEMORY_MB = 300
DEFAULT_DESCRIPTORS = 4100

# Memory that a process takes without its clients, at most.
PROCESS_MEMORY_MB = 120

# Part of the descriptors that is for files.
FILE_DESCRIPTORS = 200

# Share of the other memory and descriptors that clients may take. What is left is for
# the store, workers and peers, and for what the process does with requests.
CLIENT_SHARE = 0.5

# Share of the memory of clients that is for the connections themselves. The rest is for
# the bytes that they hold.
CONNECTION_SHARE = 0.5

# Receive buffer of a connection, as the kernel counts it, and memory of a connection
# that holds nothing, with that buffer.
RECEIVE_BUFFER_BYTES = 32768
CONNECTION_BYTES = RECEIVE_BUFFER_BYTES + 16384

# The same for a connection with TLS, with its second buffer and the library's state.
TLS_CONNECTION_BYTES = CONNECTION_BYTES + RECEIVE_BUFFER_BYTES + 98304

# Time that a connection has for its next request before it may be closed for others.
MIN_WAIT_S = 0.1

# Limit on waiting connections by the limit on open ones.
WAITING_SHARE = 0.5

# Least limits of a listener, however small the VM is.
MIN_CONNECTIONS = 16
MIN_HELD_BYTES = 1024 * 1024

BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of all connections of one listener together.

    :ivar max_connections: open connections
    :ivar max_waiting: connections that the kernel has opened and the process has not
        accepted, whose receive buffers count as memory, too
    :ivar max_held_bytes: bytes of incomplete requests, of requests sent ahead and of
        unread answers
    """

    max_connections: int = 1024
    max_waiting: int = 1024
    max_held_bytes: int = 64 * BYTES_PER_MB


def share_limits(
    memory_mb: int | None,
    max_descriptors: int | None,
    share: float,
    has_tls: bool = False,
) -> PoolLimits:
    """Return the limits of a listener.

    :param memory_mb: memory that the process may use, in MB, ``None`` if not known
    :param max_descriptors: descriptors that the process may open, ``None`` if not known
    :param share: share of this listener in what clients may take
    :param has_tls: whether its connections use TLS
    """
    memory_mb = memory_mb or DEFAULT_MEMORY_MB
    max_descriptors = max_descriptors or DEFAULT_DESCRIPTORS
    left_bytes = max(0, memory_mb - PROCESS_MEMORY_MB) * BYTES_PER_MB
    memory_bytes = share * CLIENT_SHARE * left_bytes
    descriptors = share * CLIENT_SHARE * (max_descriptors - FILE_DESCRIPTORS)
    connection_bytes = TLS_CONNECTION_BYTES if has_tls else CONNECTION_BYTES
    slots = memory_bytes * CONNECTION_SHARE / connection_bytes
    connections = max(
        MIN_CONNECTIONS, int(min(descriptors, slots / (1 + WAITING_SHARE)))
    )
    held_bytes = memory_bytes * (1 - CONNECTION_SHARE)
    return PoolLimits(
        connections,
        int(WAITING_SHARE * connections),
        max(MIN_HELD_BYTES, int(held_bytes)),
    )


class PooledConnection(Protocol):
    """A connection that can be closed for others."""

    def evict(self, limit: str) -> None:
        """Close the connection at once.

        :param limit: name of the limit that all connections together exceed
        """


class ConnectionPool:
    """Connections of one listener, and which of them to close beyond its limits.

    :param report: called with the name of the limit when a connection is closed
    :ivar on_room: called when a connection was closed or has become idle
    """

    def __init__(
        self,
        limits: PoolLimits | None = None,
        report: Callable[[str], None] = lambda limit: None,
    ):
        self.limits = limits or PoolLimits()
        self.report = report
        self.on_room: Callable[[], None] = lambda: None
        # Connections without a complete request so far, those between two requests and
        # those with a complete request in progress, in the order of the times at which
        # they became so.
        self._unserved: dict[PooledConnection, float] = {}
        self._idle: dict[PooledConnection, float] = {}
        self._busy: dict[PooledConnection, float] = {}
        self._held_bytes: dict[PooledConnection, int] = {}
        self._total_bytes = 0

    @property
    def count(self) -> int:
        """Number of connections."""
        return len(self._unserved) + len(self._idle) + len(self._busy)

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections hold."""
        return self._total_bytes

    def add(self, connection: PooledConnection) -> None:
        """Add a connection that was accepted."""
        self._unserved[connection] = time.monotonic()

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that is closed."""
        for group in (self._unserved, self._idle, self._busy):
            group.pop(connection, None)
        self._total_bytes -= self._held_bytes.pop(connection, 0)
        self.on_room()

    def mark_busy(self, connection: PooledConnection) -> None:
        """Record that a connection has a complete request in progress."""
        for group in (self._idle, self._unserved):
            if connection in group:
                del group[connection]
                self._busy[connection] = time.monotonic()

    def mark_idle(self, connection: PooledConnection) -> None:
        """Record that the requests of a connection have ended."""
        if connection in self._busy:
            del self._busy[connection]
            self._idle[connection] = time.monotonic()
            self.on_room()

    def hold(self, connection: PooledConnection, held_bytes: int) -> None:
        """Record how many bytes a connection holds, and close some beyond the limit."""
        self._total_bytes += held_bytes - self._held_bytes.pop(connection, 0)
        if held_bytes:
            self._held_bytes[connection] = held_bytes
        while self._total_bytes > self.limits.max_held_bytes:
            self._evict(self._largest(), "memory of the listener")

    def make_room(self) -> bool:
        """Return whether one more connection may be opened, closing one if needed."""
        if self.count < self.limits.max_connections:
            return True
        latest_s = time.monotonic() - MIN_WAIT_S
        for group in (self._unserved, self._idle):
            for connection, since_s in group.items():
                if since_s <= latest_s:
                    self._evict(connection, "connections of the listener")
                    return True
                break
        return False

    def _largest(self) -> PooledConnection:
        """Return the connection that holds most; one with no request in progress."""
        held = self._held_bytes
        waiting = [connection for connection in held if connection not in self._busy]
        return max(waiting or held, key=lambda connection: held[connection])

    def _evict(self, connection: PooledConnection, limit: str) -> None:
        self.remove(connection)
        self.report(limit)
        connection.evict(limit)
