"""Exchanges heartbeats, cell claims and calls between managers."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import anyio
from anyio import aclose_forcefully
from anyio.abc import SocketStream, TaskGroup

from chivetray.addresses import read_address
from chivetray.clocks import boot_time_s
from chivetray.connection_pool import ConnectionPool
from chivetray.defects import contain_errors, log_defect
from chivetray.events import Event, log_event
from chivetray.generated.messages import (
    CellClaim,
    NodeAnswer,
    NodeCall,
    NodeHeartbeat,
    NodeHello,
)
from chivetray.peers.codec import (
    PeerMessage,
    PeerProtocolError,
    decode_content,
    encode_content,
    encode_message,
)
from chivetray.peers.stream import PeerStream

# Heartbeats of owners carry cell claims and pending counts. A count may be up to 2 s
# old.
HEARTBEAT_INTERVAL_S = 0.4

# Peers to which a manager without cells sends heartbeats at that interval on average.
# With more peers it sends less often, so that its messages do not grow with the fleet:
# only the silence of an owner has to be noticed soon.
FREQUENT_PEERS = 10

# Peers that are told at once of a new configuration, which all managers read at about
# the same time. Those whose reads fail hear of it from some.
ANNOUNCED_PEERS = 8

# Time without bytes after which a manager is considered lost. The timeout can be
# short, because a cell is taken over only after a check that its owner no longer
# renews its claim. A manager that sends less often gets this many of its intervals.
PEER_TIMEOUT_S = 1.0
PEER_TIMEOUT_INTERVALS = 2.5
PEER_TIMEOUT_CHECK_INTERVAL_S = 0.1

HELLO_TIMEOUT_S = 1.0

# Timeout for opening a stream, and bounds of the random delay before a retry.
DIAL_TIMEOUT_S = 0.8
DIAL_RETRY_DELAY_MIN_S = 0.3
DIAL_RETRY_DELAY_MAX_S = 2.0

CALL_TIMEOUT_S = 0.8

# Time that a heartbeat may wait for room in the buffers of a connection.
SEND_TIMEOUT_S = 0.05

# Calls of one peer that are handled concurrently; further calls are dropped.
MAX_CALLS_PER_PEER = 512

_STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    PeerProtocolError,
)

CallHandler = Callable[[str, Any], Awaitable[Any]]


@dataclass(slots=True)
class Peer:
    """Another manager with an open stream.

    :ivar dialed: whether this manager opened the stream
    :ivar heard_at_s: time at which the last bytes arrived, also of a message under way
    :ivar heartbeat: last heartbeat received
    :ivar heartbeat_at_s: time at which it arrived
    :ivar answers: results of finished calls by call number
    :ivar pending_calls: events that are set when a call ends, by call number
    :ivar serving: number of calls of the peer that are being handled
    """

    name: str
    zone: str
    incarnation: str
    address: str
    stream: PeerStream
    dialed: bool
    heard_at_s: float
    heartbeat: NodeHeartbeat | None = None
    heartbeat_at_s: float = 0.0
    answers: dict[int, Any] = field(default_factory=dict)
    pending_calls: dict[int, anyio.Event] = field(default_factory=dict)
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
    def interval_s(self) -> float:
        """Time within which the manager sends its next heartbeat."""
        return self.heartbeat.interval_ms / 1000 if self.heartbeat is not None else 0.0

    @property
    def timeout_s(self) -> float:
        """Time without bytes after which the manager is considered lost."""
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_INTERVALS * self.interval_s)

    @property
    def capacity(self) -> int:
        """CPU capacity of the manager in thousandths of a core."""
        return self.heartbeat.capacity if self.heartbeat is not None else 0

    def claims(self) -> list[CellClaim]:
        """Return the cells that the manager claims to own."""
        return self.heartbeat.claims if self.heartbeat is not None else []


class Mesh:
    """Manages the streams of this manager to all other managers.

    :param make_heartbeat: returns the heartbeat to send; its interval is set here
    :param on_change: called after a peer was added or removed, or after the cells,
        configuration version, leaving flag or store access it reports have changed
    :ivar last_loss_at_s: time at which a peer was last lost
    :ivar pool: all streams, and the limits on them
    :ivar on_claims: called with the claims of each heartbeat
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: str,
        address: str,
        make_heartbeat: Callable[[], NodeHeartbeat],
        on_change: Callable[[], None],
    ):
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.address = address
        self.peers: dict[str, Peer] = {}
        self.handlers: dict[str, CallHandler] = {}
        self.last_loss_at_s = -math.inf
        self.pool = ConnectionPool()
        self.on_claims: Callable[[list[CellClaim]], None] = lambda _claims: None
        self._make_heartbeat = make_heartbeat
        self._on_change = on_change
        self._known: dict[str, str] = {}
        self._unusable: set[str] = set()
        self._dialing: set[str] = set()
        self._call_numbers = itertools.count(1)
        self._tasks: TaskGroup | None = None
        self._heartbeat_requested = anyio.Event()
        self._all_requested = False

    def add_address(self, name: str, address: str) -> None:
        """Record the address at which another manager listens."""
        if name == self.name or not address:
            return
        if read_address(address) is not None:
            self._known[name] = address
        elif name not in self._unusable:
            self._unusable.add(name)
            reason = f"not an address: {address[:100]}"
            log_event(Event.PEER_PROTOCOL_ERROR, peer=name, reason=reason)

    def known_addresses(self) -> dict[str, str]:
        """Return the addresses of the other managers by name."""
        return dict(self._known)

    def request_heartbeat(self) -> None:
        """Request a heartbeat to all peers without waiting for the interval."""
        self._all_requested = True
        self._heartbeat_requested.set()

    def request_announcement(self) -> None:
        """Request a heartbeat to some peers, such as about a new configuration."""
        self._heartbeat_requested.set()

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
            tasks.start_soon(self._remove_unresponsive)

    # Calls

    async def call(
        self, name: str, kind: str, argument: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        """Call another manager.

        :param kind: name of the handler to call
        :param argument: value that msgpack can encode
        :return: result of the handler, or ``None`` when there is no answer in time
        """
        peer = self.peers.get(name)
        if peer is None:
            return None
        call_number = next(self._call_numbers)
        finished = peer.pending_calls[call_number] = anyio.Event()
        try:
            with anyio.move_on_after(timeout_s):
                call = NodeCall(call_number, kind, encode_content(argument))
                await peer.stream.send(call)
                await finished.wait()
        except _STREAM_ERRORS:
            return None
        finally:
            peer.pending_calls.pop(call_number, None)
        return peer.answers.pop(call_number, None)

    async def _handle_call(self, peer: Peer, call: NodeCall) -> None:
        peer.serving += 1
        try:
            handler = self.handlers.get(call.kind)
            if handler is None:
                return
            result = await handler(peer.name, decode_content(call.content))
            await peer.stream.send(NodeAnswer(call.number, encode_content(result)))
        except PeerProtocolError as error:
            log_event(Event.PEER_PROTOCOL_ERROR, peer=peer.name, reason=str(error))
            await peer.stream.aclose()
        except _STREAM_ERRORS:
            # The calling manager notices the closed stream itself.
            return
        except Exception as error:
            # One call must not end the streams of all peers. The caller gets no answer.
            log_event(Event.PEER_PROTOCOL_ERROR, peer=peer.name, reason=repr(error))
        finally:
            peer.serving -= 1

    # Streams

    async def _accept(self, socket: SocketStream) -> None:
        if not self.pool.make_room():
            self.pool.report("connections of the listener")
            await aclose_forcefully(socket)
            return
        await self._serve_stream(PeerStream.from_socket(socket), dialed=False)

    async def _dial_all(self, tasks: TaskGroup) -> None:
        while True:
            for name, address in list(self._known.items()):
                if name not in self.peers and name not in self._dialing:
                    self._dialing.add(name)
                    tasks.start_soon(self._dial, name, address)
            await anyio.sleep(0.1)

    async def _dial(self, name: str, address: str) -> None:
        """Open a stream; after a failure, block further attempts for a random delay."""
        host, _, port = address.rpartition(":")
        try:
            # The delay keeps two managers that start together from dialing each
            # other at the same time.
            if name < self.name:
                await anyio.sleep(0.05)
            if name in self.peers:
                return
            with anyio.fail_after(DIAL_TIMEOUT_S):
                stream = await PeerStream.connect(host, int(port))
            # Until this stream ends, no second one is opened.
            await self._serve_stream(stream, dialed=True)
        except (OSError, TimeoutError, ValueError):
            await anyio.sleep(
                random.uniform(DIAL_RETRY_DELAY_MIN_S, DIAL_RETRY_DELAY_MAX_S)
            )
        finally:
            self._dialing.discard(name)

    async def _serve_stream(self, stream: PeerStream, dialed: bool) -> None:
        stream.join(self.pool)
        try:
            hello = NodeHello(self.name, self.zone, self.incarnation, self.address)
            await stream.send(hello)
            messages = stream.messages()
            with anyio.fail_after(HELLO_TIMEOUT_S):
                first_message = await anext(messages)
            if not isinstance(first_message, NodeHello):
                return
            stream.mark_known()
            peer = self._add_peer(first_message, stream, dialed)
            if peer is None:
                return
            stream.on_receive = partial(_note_bytes, peer)
            try:
                await stream.send(self._build_heartbeat())
                async for message in messages:
                    self._handle_message(peer, message)
            finally:
                self._remove_peer(peer)
        except PeerProtocolError as error:
            log_event(Event.PEER_PROTOCOL_ERROR, reason=str(error))
        except (*_STREAM_ERRORS, StopAsyncIteration):
            # _dial_all reopens a closed or corrupted stream.
            return
        except Exception as error:
            # The streams of other peers go on.
            log_defect(Event.LOOP_FAILED, error, loop="stream of a peer")
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    def _add_peer(
        self, hello: NodeHello, stream: PeerStream, dialed: bool
    ) -> Peer | None:
        """Record a stream, or return ``None`` if it is a duplicate to be closed.

        Of two streams to the same incarnation, both sides keep the same one.
        """
        self.add_address(hello.name, hello.address)
        previous = self.peers.get(hello.name)
        if previous is not None and previous.incarnation == hello.incarnation:
            # The stream opened by the manager whose name sorts first is kept.
            keeps_dialed = self.name < hello.name
            if previous.dialed == keeps_dialed and dialed != keeps_dialed:
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
        if previous is not None and self._tasks is not None:
            self._tasks.start_soon(previous.stream.aclose)
        if previous is None:
            log_event(Event.PEER_CONNECTED, peer=hello.name)
        elif previous.incarnation != hello.incarnation:
            log_event(Event.PEER_REPLACED, peer=hello.name)
        self._on_change()
        return peer

    def _remove_peer(self, peer: Peer, reason: str = "closed") -> None:
        for finished in peer.pending_calls.values():
            finished.set()
        if self.peers.get(peer.name) is peer:
            del self.peers[peer.name]
            self.last_loss_at_s = boot_time_s()
            log_event(Event.PEER_LOST, peer=peer.name, reason=reason)
            self._on_change()

    def _handle_message(self, peer: Peer, message: PeerMessage) -> None:
        if isinstance(message, NodeHeartbeat):
            previous, peer.heartbeat_at_s = peer.heartbeat, boot_time_s()
            self.on_claims(message.claims)
            if message is previous:
                return
            peer.heartbeat = message
            if previous is None or _reported_state(previous) != _reported_state(
                message
            ):
                self._on_change()
        elif isinstance(message, NodeCall):
            if self._tasks is not None and peer.serving < MAX_CALLS_PER_PEER:
                self._tasks.start_soon(self._handle_call, peer, message)
        elif isinstance(message, NodeAnswer):
            finished = peer.pending_calls.get(message.number)
            if finished is not None:
                peer.answers[message.number] = decode_content(message.content)
                finished.set()

    async def _remove_unresponsive(self) -> None:
        while True:
            await anyio.sleep(PEER_TIMEOUT_CHECK_INTERVAL_S)
            now_s = boot_time_s()
            for peer in list(self.peers.values()):
                if now_s - peer.heard_at_s > peer.timeout_s:
                    self._remove_peer(peer, "silent")
                    await peer.stream.aclose()

    async def _send_heartbeats(self) -> None:
        due_s, interval_s = 0.0, HEARTBEAT_INTERVAL_S
        while True:
            now_s = boot_time_s()
            is_for_all = self._all_requested or now_s >= due_s
            self._all_requested = False
            self._heartbeat_requested = anyio.Event()
            with contain_errors("heartbeats"):
                heartbeat = self._build_heartbeat()
                peers = list(self.peers.values())
                if not is_for_all:
                    peers = random.sample(peers, min(ANNOUNCED_PEERS, len(peers)))
                await _send_to(peers, encode_message(heartbeat))
                interval_s = heartbeat.interval_ms / 1000
            if is_for_all:
                due_s = now_s + interval_s
            with anyio.move_on_after(max(0.0, due_s - boot_time_s())):
                await self._heartbeat_requested.wait()

    def _build_heartbeat(self) -> NodeHeartbeat:
        heartbeat = self._make_heartbeat()
        intervals = 1.0 if heartbeat.claims else len(self.peers) / FREQUENT_PEERS
        interval_ms = int(1000 * HEARTBEAT_INTERVAL_S * max(1.0, intervals))
        return replace(heartbeat, interval_ms=interval_ms)


async def _send_to(peers: list[Peer], content: bytes) -> None:
    """Send an encoded message to some peers; one that is stuck is left out."""
    for peer in peers:
        with anyio.move_on_after(SEND_TIMEOUT_S):
            try:
                await peer.stream.send_encoded(content)
            except _STREAM_ERRORS:
                # The task that reads the stream ends and removes the peer.
                continue


def _note_bytes(peer: Peer) -> None:
    peer.heard_at_s = boot_time_s()


def _reported_state(heartbeat: NodeHeartbeat) -> tuple[object, ...]:
    """Return the values of a heartbeat whose change triggers ``on_change``."""
    claims = [(claim.cell, claim.epoch) for claim in heartbeat.claims]
    return (
        claims,
        heartbeat.config_version,
        heartbeat.leaving,
        heartbeat.store_reached,
    )
