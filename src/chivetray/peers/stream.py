"""Message stream to a peer over TCP."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from chivetray.generated.messages import Hello
from chivetray.peers.codec import (
    MessageDecoder,
    PeerMessage,
    PeerProtocolError,
    encode_message,
)
from chivetray.results import ResultCode
from chivetray.sockets import socket_options

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
UNACKNOWLEDGED_TIMEOUT_S = 1.5


class PeerStream:
    """Sends and receives messages over one TCP connection.

    :ivar sent_bytes: total bytes sent
    :ivar received_bytes: total bytes received
    :ivar on_receive: called when bytes arrive, also those of a part of a message
    :ivar sent_at_s: event loop time at which the last message was sent
    """

    def __init__(self, stream: ByteStream):
        self._stream = stream
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
        return cls(stream)

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
                content = await self._stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            except anyio.ClosedResourceError:
                return
            self.received_bytes += len(content)
            self.on_receive()
            for message in self._decoder.feed(content):
                yield message

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
        await anyio.aclose_forcefully(self._stream)
