"""Message stream to a peer over TCP."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from chivetray.connection_pool import (
    DEFAULT_DESCRIPTORS,
    FILE_DESCRIPTORS,
    ConnectionPool,
    PoolLimits,
)
from chivetray.generated.messages import Hello
from chivetray.peers.codec import (
    HELLO_LIMIT_BYTES,
    MESSAGE_LIMIT_BYTES,
    MessageDecoder,
    PeerMessage,
    PeerProtocolError,
    encode_message,
)
from chivetray.results import ResultCode
from chivetray.sockets import socket_options

RECEIVE_BYTES = 65536

# Receive buffer of a stream. It would grow to megabytes otherwise.
RECEIVE_BUFFER_BYTES = 262_144

# Bytes that are read at once before the peer has said who it is.
HELLO_RECEIVE_BYTES = 4096

# Memory that the messages under way of all streams together may take. One message of
# the largest size fits.
BUFFER_LIMIT_BYTES = MESSAGE_LIMIT_BYTES + 1024 * 1024

# Share of the descriptors that are not for files that streams may take.
STREAM_SHARE = 0.25

CONNECT_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_S = 1.5


def share_stream_limits(max_descriptors: int | None) -> PoolLimits:
    """Return the limits on the streams of a process.

    :param max_descriptors: descriptors that the process may open, ``None`` if not known
    """
    max_descriptors = max_descriptors or DEFAULT_DESCRIPTORS
    descriptors = STREAM_SHARE * (max_descriptors - FILE_DESCRIPTORS)
    return PoolLimits(int(descriptors), max_held_bytes=BUFFER_LIMIT_BYTES)


class PeerStream:
    """Sends and receives messages over one TCP connection.

    :ivar sent_bytes: total bytes sent
    :ivar received_bytes: total bytes received
    :ivar on_receive: called when bytes arrive, also those of a part of a message
    :ivar sent_at_s: event loop time at which the last message was sent
    """

    def __init__(self, stream: ByteStream, raw_socket: socket.socket | None = None):
        self._stream = stream
        self._raw_socket = raw_socket
        self._pool: ConnectionPool | None = None
        self._is_known = True
        self._is_evicted = False
        self._decoder = MessageDecoder()
        self._send_lock = anyio.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_at_s = 0.0
        self.on_receive: Callable[[], None] = lambda: None

    @classmethod
    async def connect(cls, address: str, port: int) -> PeerStream:
        """Open a connection to a peer.

        :raises OSError: when the peer refuses the connection
        :raises TimeoutError: when the peer does not answer
        """
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(address, port)
        return cls.from_socket(stream)

    @classmethod
    def from_socket(cls, stream: SocketStream) -> PeerStream:
        """Wrap a connected socket and set its socket options."""
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        for level, option, value in socket_options(UNACKNOWLEDGED_TIMEOUT_S):
            raw_socket.setsockopt(level, option, value)
        # The kernel doubles the value for its own overhead.
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2
        )
        return cls(stream, raw_socket)

    def join(self, pool: ConnectionPool) -> None:
        """Let the limits on all streams apply, and those on unknown peers for now."""
        self._pool = pool
        self._is_known = False
        self._decoder.limit_bytes = HELLO_LIMIT_BYTES
        pool.add(self)

    def mark_known(self) -> None:
        """Accept messages of any size, since the peer has said who it is."""
        self._is_known = True
        self._decoder.limit_bytes = MESSAGE_LIMIT_BYTES
        if self._pool is not None:
            self._pool.mark_busy(self)

    def evict(self, limit: str) -> None:
        """End the stream for others; what reads it notices."""
        self._pool = None
        self._is_evicted = True
        if self._raw_socket is not None:
            with contextlib.suppress(OSError):
                self._raw_socket.shutdown(socket.SHUT_RDWR)

    async def send(self, message: PeerMessage) -> None:
        """Send one message.

        :raises anyio.BrokenResourceError: when the connection is closed
        """
        await self.send_encoded(encode_message(message))

    async def send_encoded(self, content: bytes) -> None:
        """Send one message that is encoded already, such as one for many peers.

        :raises anyio.BrokenResourceError: when the connection is closed
        """
        async with self._send_lock:
            await self._stream.send(content)
        self.sent_bytes += len(content)
        self.sent_at_s = anyio.current_time()

    async def messages(self) -> AsyncIterator[PeerMessage]:
        """Yield messages until the connection is closed.

        :raises PeerProtocolError: when a message cannot be decoded
        """
        while True:
            try:
                size = RECEIVE_BYTES if self._is_known else HELLO_RECEIVE_BYTES
                content = await self._stream.receive(size)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            except anyio.ClosedResourceError:
                return
            if self._is_evicted:
                # What arrived before the end of the stream would add to what it holds.
                return
            self.received_bytes += len(content)
            self.on_receive()
            try:
                for message in self._decoder.feed(content):
                    yield message
            except PeerProtocolError:
                if self._pool is not None:
                    self._pool.report("message")
                raise
            if self._pool is not None:
                self._pool.hold(self, self._decoder.held_bytes)

    async def receive_hello(self, timeout_s: float) -> Hello:
        """Return the ``Hello`` that the peer sends first.

        :raises PeerProtocolError: when the first message is of another kind
        :raises TimeoutError: when no message arrives in time
        """
        with anyio.fail_after(timeout_s):
            async for message in self.messages():
                if isinstance(message, Hello):
                    return message
                break
        raise PeerProtocolError(
            ResultCode.BAD_VALUE, "the first message of the peer is not Hello"
        )

    async def aclose(self) -> None:
        """Close the connection without flushing pending data."""
        if self._pool is not None:
            self._pool.remove(self)
            self._pool = None
        await anyio.aclose_forcefully(self._stream)
