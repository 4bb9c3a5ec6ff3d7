"""Exchanges heartbeats, revisions and slot grants with the other entries.

One task serves each stream. A peer whose stream is closed or has timed out is
removed at once, and its endpoints get another home.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial

import anyio
from anyio import aclose_forcefully
from anyio.abc import SocketStream, TaskGroup

from chivetray.config import Config
from chivetray.connection_pool import ConnectionPool
from chivetray.events import Event, log_event
from chivetray.fleet.revision import Revision, RevisionState
from chivetray.generated.messages import (
    Heartbeat,
    Hello,
    RevisionPush,
    RevisionRequest,
    SlotDemand,
    SlotOffer,
)
from chivetray.generated.objects import Vm
from chivetray.peers.codec import PeerMessage, PeerProtocolError
from chivetray.peers.grants import GrantHolder
from chivetray.peers.homes import choose_home
from chivetray.peers.ledger import GrantLedger
from chivetray.peers.membership import LivePeer, Membership, PeerAddress
from chivetray.peers.stream import PeerStream

DIAL_INTERVAL_S = 0.25

# Time after which revisions that a peer was asked for may be requested from another.
REVISION_TIMEOUT_S = 0.5

# One in so many heartbeats is sent to all peers, not only on idle streams.
HEARTBEATS_PER_BROADCAST = 8

# Minimum time between two exchanges of slots. The pause grows with the bytes that
# an exchange has sent, which bounds the traffic of an entry.
MIN_EXCHANGE_INTERVAL_S = 0.05

# Minimum number of exchanges within the lifetime of a grant, however many bytes
# they send.
RENEWALS_PER_TTL = 2

_STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class PeerNode:
    """Manages the streams of this entry to all other entries.

    :param incarnation: identifier of this run of the entry
    :param on_change: called after grants or membership have changed
    :param count_waiting: returns how many waiting requests could go to each endpoint
    :param report_broken_invariant: called when an invariant does not hold
    :ivar pool: all streams, and the limits on them
    """

    def __init__(
        self,
        config: Config,
        revisions: RevisionState,
        incarnation: str,
        on_change: Callable[[], None],
        count_waiting: Callable[[], dict[str, int]],
        report_broken_invariant: Callable[..., None],
    ):
        self.membership = Membership(
            config.entry.name, config.entry.zone, config.peers.far_peers
        )
        self.holder = GrantHolder(config.peers.grant_ttl_s)
        self.ledger = GrantLedger(config.peers.grant_ttl_s)
        self.leaving = False
        self.pool = ConnectionPool()
        self._config = config
        self._revisions = revisions
        self._incarnation = incarnation
        self._on_change = on_change
        self._count_waiting = count_waiting
        self._report_broken_invariant = report_broken_invariant
        self._streams: dict[str, PeerStream] = {}
        self._dialing: set[str] = set()
        self._exchange_requested = anyio.Event()
        self._closed_streams_bytes = 0
        self._requested_revision = 0
        self._requested_at_s = 0.0

    @classmethod
    def from_config(
        cls,
        config: Config,
        revisions: RevisionState,
        incarnation: str,
        on_change: Callable[[], None],
        count_waiting: Callable[[], dict[str, int]],
        report_broken_invariant: Callable[..., None],
    ) -> PeerNode:
        """Create a node that knows the seeds of the settings."""
        node = cls(
            config,
            revisions,
            incarnation,
            on_change,
            count_waiting,
            report_broken_invariant,
        )
        node.membership.set_seeds(
            PeerAddress(seed.name, seed.zone, seed.address, seed.port)
            for seed in config.peers.seeds
        )
        return node

    @property
    def sent_bytes(self) -> int:
        """Total bytes sent to all peers."""
        return self._closed_streams_bytes + sum(
            stream.sent_bytes for stream in self._streams.values()
        )

    async def run(self) -> None:
        """Serve all streams until cancelled."""
        self._revisions.subscribe(self.update_homes)
        listener = await anyio.create_tcp_listener(
            local_host=self._config.entry.address,
            local_port=self._config.listeners.peers_port,
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._accept)
            tasks.start_soon(self._dial_all, tasks)
            tasks.start_soon(self._send_heartbeats)
            tasks.start_soon(self._exchange_slots)
            tasks.start_soon(self._announce_revisions)

    # Streams

    async def _accept(self, socket: SocketStream) -> None:
        if not self.pool.make_room():
            self.pool.report("connections of the listener")
            await aclose_forcefully(socket)
            return
        await self._serve_stream(PeerStream.from_socket(socket))

    async def _dial_all(self, tasks: TaskGroup) -> None:
        """Keep a stream open to every entry that this one dials."""
        while True:
            for peer in self.membership.dial_targets():
                if peer.name not in self._streams and peer.name not in self._dialing:
                    self._dialing.add(peer.name)
                    tasks.start_soon(self._dial, peer)
            await anyio.sleep(DIAL_INTERVAL_S)

    async def _dial(self, peer: PeerAddress) -> None:
        try:
            stream = await PeerStream.connect(peer.address, peer.port)
            await self._serve_stream(stream)
        except _STREAM_ERRORS:
            # The next round of _dial_all retries.
            pass
        finally:
            self._dialing.discard(peer.name)

    async def _serve_stream(self, stream: PeerStream) -> None:
        """Exchange ``Hello`` and handle messages until the stream ends."""
        name = ""
        stream.join(self.pool)
        try:
            await stream.send(self._make_hello())
            hello = await stream.receive_hello(self._config.peers.heartbeat_timeout_s)
            stream.mark_known()
            name = hello.name
            await self._register_stream(hello, stream)
            async for message in stream.messages():
                await self._handle_message(name, stream, message)
        except PeerProtocolError as error:
            log_event(Event.PEER_PROTOCOL_ERROR, peer=name, reason=error.message)
        except _STREAM_ERRORS:
            # Handled below like a stream that the peer has closed.
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()
            self._unregister_stream(name, stream)

    def _make_hello(self) -> Hello:
        entry = self._config.entry
        return Hello(entry.name, entry.zone, self._incarnation, self._revisions.number)

    async def _register_stream(self, hello: Hello, stream: PeerStream) -> None:
        previous_stream = self._streams.get(hello.name)
        self._streams[hello.name] = stream
        if previous_stream is not None:
            await previous_stream.aclose()
        now_s = anyio.current_time()
        peer = LivePeer(
            hello.name, hello.zone, hello.incarnation, hello.revision, now_s
        )
        previous = self.membership.mark_connected(peer)
        stream.on_receive = partial(_note_bytes, peer)
        if previous is not None and previous.incarnation != hello.incarnation:
            log_event(Event.PEER_REPLACED, peer=hello.name)
        log_event(Event.PEER_CONNECTED, peer=hello.name, zone=hello.zone)
        self.holder.reset_stream(hello.name)
        self.ledger.reset_stream(hello.name)
        await self._request_revisions(hello.revision, stream)
        self.update_homes()

    def _unregister_stream(self, name: str, stream: PeerStream) -> None:
        if self._streams.get(name) is not stream:
            return
        del self._streams[name]
        self._closed_streams_bytes += stream.sent_bytes
        self.membership.mark_disconnected(name)
        log_event(Event.PEER_LOST, peer=name)
        self.update_homes()

    async def _handle_message(
        self, name: str, stream: PeerStream, message: PeerMessage
    ) -> None:
        peer = self.membership.get(name)
        match message:
            case Heartbeat():
                await self._handle_heartbeat(peer, stream, message)
            case RevisionRequest():
                await self._push_revisions(stream, message.after)
            case RevisionPush():
                self._receive_revision(name, message)
            case SlotDemand():
                await self._handle_demand(name, stream, message)
            case SlotOffer():
                self._handle_offer(name, message)

    # Heartbeats

    async def _handle_heartbeat(
        self, peer: LivePeer | None, stream: PeerStream, message: Heartbeat
    ) -> None:
        if peer is None:
            return
        peer.revision = message.revision
        peer.leaving = message.leaving
        await self._request_revisions(message.revision, stream)

    async def _send_heartbeats(self) -> None:
        """Send a heartbeat on every stream that has carried no other message.

        Every few rounds it goes to all peers, since it also carries the sender's
        revision.
        """
        interval_s = self._config.peers.heartbeat_interval_s
        for count in itertools.count():
            to_all = count % HEARTBEATS_PER_BROADCAST == 0
            idle_s = 0.0 if to_all else interval_s / 2
            await self._send_to_all(self._make_heartbeat(), idle_s)
            await self._close_unresponsive()
            await anyio.sleep(interval_s)

    def _make_heartbeat(self) -> Heartbeat:
        return Heartbeat(self._revisions.number, self.leaving)

    async def _send_to_all(self, message: PeerMessage, idle_s: float = 0.0) -> None:
        """Send a message on all streams on which nothing was sent for ``idle_s``."""
        sent_before_s = anyio.current_time() - idle_s
        async with anyio.create_task_group() as tasks:
            for name, stream in list(self._streams.items()):
                if stream.sent_at_s <= sent_before_s:
                    tasks.start_soon(self._send, name, stream, message)

    async def _send(self, name: str, stream: PeerStream, message: PeerMessage) -> None:
        """Send a message; close the stream when the peer does not take it in time."""
        try:
            with anyio.fail_after(self._config.peers.heartbeat_timeout_s):
                await stream.send(message)
        except _STREAM_ERRORS:
            await stream.aclose()
            self._unregister_stream(name, stream)

    async def _close_unresponsive(self) -> None:
        cutoff_s = anyio.current_time() - self._config.peers.heartbeat_timeout_s
        for peer in self.membership.live():
            if peer.heard_at_s < cutoff_s:
                stream = self._streams[peer.name]
                await stream.aclose()
                self._unregister_stream(peer.name, stream)

    # Revisions

    async def _request_revisions(self, number: int, stream: PeerStream) -> None:
        """Ask a peer for newer revisions, unless another was asked moments ago."""
        now_s = anyio.current_time()
        requested = self._requested_revision >= number
        if number <= self._revisions.number:
            return
        if requested and now_s - self._requested_at_s < REVISION_TIMEOUT_S:
            return
        self._requested_revision, self._requested_at_s = number, now_s
        await stream.send(RevisionRequest(self._revisions.number))

    async def _push_revisions(self, stream: PeerStream, after: int) -> None:
        for item in self._revisions.revisions_after(after):
            push = RevisionPush(item.number, item.publish_id, item.full, item.content)
            await stream.send(push)

    def _receive_revision(self, name: str, message: RevisionPush) -> None:
        revision = Revision(
            message.number, message.publish_id, message.full, message.content
        )
        self._revisions.apply_if_newer(revision, source=name)

    async def _announce_revisions(self) -> None:
        """Announce each new revision to all peers at once."""
        number = 0
        while True:
            number = await self._revisions.wait_until_newer(number)
            await self._send_to_all(self._make_heartbeat())

    # Slots

    def zone_vms(self) -> dict[str, Vm]:
        """Return the VMs of this zone by name."""
        zone = self.membership.zone
        vms = self._revisions.catalog.vms
        return {name: vm for name, vm in vms.items() if vm.zone == zone}

    def update_homes(self) -> None:
        """Recompute the homes after a change of entries or VMs."""
        entries = self.membership.zone_entries()
        homes = {}
        for name in self.zone_vms():
            home = choose_home(name, entries)
            assert home is not None
            homes[name] = home
        self.holder.set_homes(homes)
        self.ledger.set_members(entries)
        own_slots = {
            name: self._revisions.catalog.vms[name].slots
            for name, home in homes.items()
            if home == self.membership.name
        }
        added = self.ledger.set_endpoints(own_slots, anyio.current_time())
        if added:
            log_event(Event.HOME_CHANGED, endpoints=len(added), entries=entries)
        self.request_exchange()
        self._on_change()

    def request_exchange(self) -> None:
        """Request an exchange of slots before the next regular one."""
        self._exchange_requested.set()

    async def _exchange_slots(self) -> None:
        """Send demands at each renewal interval, and earlier on request."""
        while True:
            with anyio.move_on_after(self._config.peers.renewal_interval_s):
                await self._exchange_requested.wait()
            self._exchange_requested = anyio.Event()
            waiting = self._count_waiting()
            self.holder.set_waiting(waiting)
            previous_bytes = self.sent_bytes
            await self._send_demands()
            if waiting:
                self.request_exchange()
            throttle_s = (
                self.sent_bytes - previous_bytes
            ) / self._config.peers.control_bytes_per_s
            await anyio.sleep(
                min(
                    self._max_exchange_interval_s(),
                    throttle_s + MIN_EXCHANGE_INTERVAL_S,
                )
            )

    def _max_exchange_interval_s(self) -> float:
        """Return the longest pause that still renews grants in time."""
        return self._config.peers.grant_ttl_s / RENEWALS_PER_TTL

    async def _send_demands(self) -> None:
        for home in self.holder.homes:
            if home == self.membership.name:
                await self._exchange_with_own_ledger(home)
            elif home in self._streams:
                demand = self.holder.make_demand(home, anyio.current_time())
                if demand is not None:
                    await self._send(home, self._streams[home], demand)
        self._check_ledger()

    async def _exchange_with_own_ledger(self, home: str) -> None:
        """Exchange slots with the ledger of this entry."""
        now_s = anyio.current_time()
        demand = self.holder.make_demand(home, now_s)
        if demand is not None:
            offer = self.ledger.handle_demand(home, demand, now_s)
            self._handle_offer(home, offer)
            await self._push_offers()

    async def _handle_demand(
        self, name: str, stream: PeerStream, message: SlotDemand
    ) -> None:
        offer = self.ledger.handle_demand(name, message, anyio.current_time())
        await stream.send(offer)
        await self._push_offers()

    async def _push_offers(self) -> None:
        """Send offers at once to the holders whose grants have changed."""
        offers = self.ledger.push_offers(anyio.current_time())
        for name, offer in offers.items():
            if name == self.membership.name:
                self._handle_offer(name, offer)
            elif name in self._streams:
                await self._send(name, self._streams[name], offer)

    def _handle_offer(self, name: str, message: SlotOffer) -> None:
        lowered = self.holder.handle_offer(name, message, anyio.current_time())
        if lowered:
            self.request_exchange()
        if message.grants:
            self._on_change()

    def _check_ledger(self) -> None:
        excess = self.ledger.excess_slots()
        if excess:
            self._report_broken_invariant("granted slots", excess=excess)


def _note_bytes(peer: LivePeer) -> None:
    peer.heard_at_s = anyio.current_time()
