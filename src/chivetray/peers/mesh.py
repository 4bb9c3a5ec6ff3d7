"""Streams between managers: heartbeats, claims on cells, and calls."""

from __future__ import annotations

import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgpack
from anyio.abc import SocketStream, TaskGroup

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.generated.messages import (
    CellClaim,
    NodeAnswer,
    NodeCall,
    NodeHeartbeat,
    NodeHello,
)
from chivetray.peers.codec import PeerMessage, PeerProtocolError
from chivetray.peers.stream import PeerStream

# Claims and pending counts travel with heartbeats; a count may be 2 s old.
HEARTBEAT_INTERVAL_S = 0.4

# Silence after which a manager counts as gone. Cells are taken only after a look at
# whether their owner still renews its claim, so a short time does no harm.
SILENCE_S = 1.0
SILENCE_CHECK_S = 0.1

HELLO_TIMEOUT_S = 1.0

# Time to open a stream, and the bounds of the pause before the next try.
DIAL_TIMEOUT_S = 0.8
DIAL_PAUSE_S = 0.3
DIAL_PAUSE_MAX_S = 2.0

CALL_TIMEOUT_S = 0.8

# Calls that one peer may have under way here; more are not answered.
CALLS_LIMIT = 512

_STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    PeerProtocolError,
)

Handler = Callable[[str, Any], Awaitable[Any]]


@dataclass(slots=True)
class Peer:
    """Another manager with an open stream."""

    name: str
    zone: str
    incarnation: str
    address: str
    stream: PeerStream
    dialed: bool
    heard_at_s: float
    heartbeat: NodeHeartbeat | None = None
    answers: dict[int, Any] = field(default_factory=dict)
    waiting: dict[int, anyio.Event] = field(default_factory=dict)
    serving: int = 0

    @property
    def leaving(self) -> bool:
        """Whether the manager is about to stop."""
        return self.heartbeat is not None and self.heartbeat.leaving

    @property
    def store_reached(self) -> bool:
        """Whether the store serves the manager directly."""
        return self.heartbeat is not None and self.heartbeat.store_reached

    @property
    def capacity(self) -> int:
        """Thousandths of a core that the manager has."""
        return self.heartbeat.capacity if self.heartbeat is not None else 0

    def claims(self) -> list[CellClaim]:
        """Return the cells that the manager says it owns."""
        return self.heartbeat.claims if self.heartbeat is not None else []


class Mesh:
    """This manager's side of all streams to other managers.

    :param beat: returns the heartbeat to send
    :param on_change: called after a peer was found or lost, or its claims changed
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: str,
        address: str,
        beat: Callable[[], NodeHeartbeat],
        on_change: Callable[[], None],
    ):
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.address = address
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[str, Handler] = {}
        self._beat = beat
        self._on_change = on_change
        self._known: dict[str, str] = {}
        self._dialing: set[str] = set()
        self._numbers = itertools.count(1)
        self._tasks: TaskGroup | None = None
        self._beat_now = anyio.Event()

    def learn(self, name: str, address: str) -> None:
        """Note where another manager listens."""
        if name != self.name and address:
            self._known[name] = address

    def known(self) -> dict[str, str]:
        """Return the addresses of the other managers by name."""
        return dict(self._known)

    def beat_soon(self) -> None:
        """Send a heartbeat to all peers at once."""
        self._beat_now.set()

    async def run(self) -> None:
        """Serve all streams until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=256
        )
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(listener.serve, self._accept)
            tasks.start_soon(self._dial_all, tasks)
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._drop_silent)

    # Calls

    async def call(
        self, name: str, kind: str, argument: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        """Call another manager; return ``None`` when it does not answer in time."""
        peer = self.peers.get(name)
        if peer is None:
            return None
        number = next(self._numbers)
        event = peer.waiting[number] = anyio.Event()
        try:
            with anyio.move_on_after(timeout_s):
                content = bytes(msgpack.packb(argument))
                await peer.stream.send(NodeCall(number, kind, content))
                await event.wait()
        except _STREAM_ERRORS:
            return None
        finally:
            peer.waiting.pop(number, None)
        return peer.answers.pop(number, None)

    async def _answer(self, peer: Peer, call: NodeCall) -> None:
        peer.serving += 1
        try:
            handler = self.handlers.get(call.kind)
            if handler is None:
                return
            result = await handler(peer.name, msgpack.unpackb(call.content))
            await peer.stream.send(NodeAnswer(call.number, msgpack.packb(result)))
        except _STREAM_ERRORS:
            # The caller sees the closed stream and decides by itself.
            return
        except (ValueError, TypeError, KeyError, IndexError) as error:
            log_event(Event.PEER_PROTOCOL_ERROR, peer=peer.name, reason=repr(error))
        finally:
            peer.serving -= 1

    # Streams

    async def _accept(self, socket: SocketStream) -> None:
        await self._serve(PeerStream.from_socket(socket), dialed=False)

    async def _dial_all(self, tasks: TaskGroup) -> None:
        while True:
            for name, address in list(self._known.items()):
                if name not in self.peers and name not in self._dialing:
                    self._dialing.add(name)
                    tasks.start_soon(self._dial, name, address)
            await anyio.sleep(0.1)

    async def _dial(self, name: str, address: str) -> None:
        """Try to open a stream; the pause after a failure keeps others off."""
        host, _, port = address.rpartition(":")
        try:
            # Of two managers that start together one dials first.
            if name < self.name:
                await anyio.sleep(0.05)
            if name in self.peers:
                return
            with anyio.fail_after(DIAL_TIMEOUT_S):
                stream = await PeerStream.connect(host, int(port))
        except (OSError, TimeoutError, ValueError):
            await anyio.sleep(random.uniform(DIAL_PAUSE_S, DIAL_PAUSE_MAX_S))
            return
        finally:
            self._dialing.discard(name)
        await self._serve(stream, dialed=True)

    async def _serve(self, stream: PeerStream, dialed: bool) -> None:
        try:
            hello = NodeHello(self.name, self.zone, self.incarnation, self.address)
            await stream.send(hello)
            messages = stream.messages()
            with anyio.fail_after(HELLO_TIMEOUT_S):
                first = await anext(messages)
            if not isinstance(first, NodeHello):
                return
            peer = self._join(first, stream, dialed)
            if peer is None:
                return
            try:
                await stream.send(self._beat())
                async for message in messages:
                    peer.heard_at_s = boot_time_s()
                    self._receive(peer, message)
            finally:
                self._leave(peer)
        except (*_STREAM_ERRORS, StopAsyncIteration):
            # A closed or damaged stream is dialled again.
            return
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    def _join(self, hello: NodeHello, stream: PeerStream, dialed: bool) -> Peer | None:
        """Record a stream; of two to the same life one is kept on both sides."""
        self.learn(hello.name, hello.address)
        before = self.peers.get(hello.name)
        if before is not None and before.incarnation == hello.incarnation:
            # The stream that the first by name dialled stays.
            keeps_dialed = self.name < hello.name
            if before.dialed == keeps_dialed and dialed != keeps_dialed:
                return None
        peer = Peer(
            hello.name,
            hello.zone,
            hello.incarnation,
            hello.address,
            stream,
            dialed,
            boot_time_s(),
        )
        self.peers[hello.name] = peer
        if before is None:
            log_event(Event.PEER_CONNECTED, peer=hello.name)
        elif before.incarnation != hello.incarnation:
            log_event(Event.PEER_REPLACED, peer=hello.name)
        self._on_change()
        return peer

    def _leave(self, peer: Peer, reason: str = "closed") -> None:
        for event in peer.waiting.values():
            event.set()
        if self.peers.get(peer.name) is peer:
            del self.peers[peer.name]
            log_event(Event.PEER_LOST, peer=peer.name, reason=reason)
            self._on_change()

    def _receive(self, peer: Peer, message: PeerMessage) -> None:
        if isinstance(message, NodeHeartbeat):
            before = peer.heartbeat
            peer.heartbeat = message
            if before is None or _news(before) != _news(message):
                self._on_change()
        elif isinstance(message, NodeCall):
            if self._tasks is not None and peer.serving < CALLS_LIMIT:
                self._tasks.start_soon(self._answer, peer, message)
        elif isinstance(message, NodeAnswer):
            event = peer.waiting.get(message.number)
            if event is not None:
                peer.answers[message.number] = msgpack.unpackb(message.content)
                event.set()

    async def _drop_silent(self) -> None:
        while True:
            await anyio.sleep(SILENCE_CHECK_S)
            now_s = boot_time_s()
            for peer in list(self.peers.values()):
                if now_s - peer.heard_at_s > SILENCE_S:
                    self._leave(peer, "silent")
                    await peer.stream.aclose()

    async def _send_heartbeats(self) -> None:
        while True:
            beat = self._beat()
            for peer in list(self.peers.values()):
                with anyio.move_on_after(0.05):
                    try:
                        await peer.stream.send(beat)
                    except _STREAM_ERRORS:
                        # The reading task of the stream ends and removes the peer.
                        continue
            self._beat_now = anyio.Event()
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await self._beat_now.wait()


def _news(beat: NodeHeartbeat) -> tuple[object, ...]:
    """Return what others react to at once."""
    claims = [(claim.cell, claim.epoch) for claim in beat.claims]
    return (claims, beat.config_version, beat.leaving, beat.store_reached)
