"""Streams to the other entries: heartbeats, revisions and slot grants.

One task serves each stream. A peer whose stream is closed or silent is gone at
once; its endpoints get another home.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import anyio
from anyio.abc import SocketStream, TaskGroup

from chivetray.config import Config
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

# Time in which a peer that was asked for revisions has to send them before
# another is asked.
REVISION_ANSWER_S = 0.5

# Heartbeats between two that go to all peers.
HEARTBEATS_BETWEEN_ALL = 8

# Least time between two exchanges of slots. It grows with the bytes that an
# exchange has sent, so that the traffic of an entry stays within its bound.
EXCHANGE_INTERVAL_S = 0.05

# Exchanges within the lifetime of a grant, however much they send.
RENEWALS_PER_TTL = 2

_STREAM_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class PeerNode:
    """This entry's side of all streams to other entries.

    :param incarnation: differs for each start of the entry
    :param on_change: called after grants or membership have changed
    :param waiting: returns the waiting requests that could go to each endpoint
    :param report_broken: called when an invariant does not hold
    """

    def __init__(
        self,
        config: Config,
        revisions: RevisionState,
        incarnation: str,
        on_change: Callable[[], None],
        waiting: Callable[[], dict[str, int]],
        report_broken: Callable[..., None],
    ):
        self.membership = Membership(
            config.entry.name, config.entry.zone, config.peers.far_peers
        )
        self.holder = GrantHolder(config.peers.grant_ttl_s)
        self.ledger = GrantLedger(config.peers.grant_ttl_s)
        self.leaving = False
        self._config = config
        self._revisions = revisions
        self._incarnation = incarnation
        self._on_change = on_change
        self._waiting = waiting
        self._report_broken = report_broken
        self._streams: dict[str, PeerStream] = {}
        self._dialing: set[str] = set()
        self._wake = anyio.Event()
        self._closed_bytes = 0
        self._asked_number = 0
        self._asked_at_s = 0.0

    @classmethod
    def from_config(
        cls,
        config: Config,
        revisions: RevisionState,
        incarnation: str,
        on_change: Callable[[], None],
        waiting: Callable[[], dict[str, int]],
        report_broken: Callable[..., None],
    ) -> PeerNode:
        """Make a node that knows the seeds of the settings."""
        node = cls(config, revisions, incarnation, on_change, waiting, report_broken)
        node.membership.set_seeds(
            PeerAddress(seed.name, seed.zone, seed.address, seed.port)
            for seed in config.peers.seeds
        )
        return node

    @property
    def sent_bytes(self) -> int:
        """Bytes that were sent to all peers."""
        return self._closed_bytes + sum(s.sent_bytes for s in self._streams.values())

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
            tasks.start_soon(self._follow_revisions)

    # Streams

    async def _accept(self, socket: SocketStream) -> None:
        await self._serve(PeerStream.from_socket(socket))

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
            await self._serve(stream)
        except _STREAM_ERRORS:
            # The next round dials again.
            pass
        finally:
            self._dialing.discard(peer.name)

    async def _serve(self, stream: PeerStream) -> None:
        """Serve one stream from the introduction to its end."""
        name = ""
        try:
            await stream.send(self._hello())
            hello = await stream.receive_hello(self._config.peers.heartbeat_timeout_s)
            name = hello.name
            await self._open(hello, stream)
            async for message in stream.messages():
                await self._handle(name, stream, message)
        except PeerProtocolError as error:
            log_event(Event.PEER_PROTOCOL_ERROR, peer=name, reason=error.message)
        except _STREAM_ERRORS:
            # Closed below, like a stream that the peer has ended.
            pass
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()
            self._close(name, stream)

    def _hello(self) -> Hello:
        entry = self._config.entry
        return Hello(entry.name, entry.zone, self._incarnation, self._revisions.number)

    async def _open(self, hello: Hello, stream: PeerStream) -> None:
        earlier_stream = self._streams.get(hello.name)
        self._streams[hello.name] = stream
        if earlier_stream is not None:
            await earlier_stream.aclose()
        now_s = anyio.current_time()
        peer = LivePeer(
            hello.name, hello.zone, hello.incarnation, hello.revision, now_s
        )
        earlier = self.membership.join(peer)
        if earlier is not None and earlier.incarnation != hello.incarnation:
            log_event(Event.PEER_REPLACED, peer=hello.name)
        log_event(Event.PEER_CONNECTED, peer=hello.name, zone=hello.zone)
        self.holder.reset_stream(hello.name)
        self.ledger.reset_stream(hello.name)
        await self._request_revisions(hello.revision, stream)
        self.update_homes()

    def _close(self, name: str, stream: PeerStream) -> None:
        if self._streams.get(name) is not stream:
            return
        del self._streams[name]
        self._closed_bytes += stream.sent_bytes
        self.membership.lose(name)
        log_event(Event.PEER_LOST, peer=name)
        self.update_homes()

    async def _handle(
        self, name: str, stream: PeerStream, message: PeerMessage
    ) -> None:
        peer = self.membership.get(name)
        if peer is not None:
            peer.heard_at_s = anyio.current_time()
        match message:
            case Heartbeat():
                await self._handle_heartbeat(peer, stream, message)
            case RevisionRequest():
                await self._push_revisions(stream, message.after)
            case RevisionPush():
                self._take_revision(name, message)
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
        """Send a heartbeat on every stream that has carried nothing else.

        Now and then it goes to all, since it carries the sender's revision too.
        """
        interval_s = self._config.peers.heartbeat_interval_s
        for count in itertools.count():
            to_all = count % HEARTBEATS_BETWEEN_ALL == 0
            idle_s = 0.0 if to_all else interval_s / 2
            await self._send_to_all(self._heartbeat(), idle_s)
            await self._close_silent()
            await anyio.sleep(interval_s)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(self._revisions.number, self.leaving)

    async def _send_to_all(self, message: PeerMessage, idle_s: float = 0.0) -> None:
        """Send a message on the streams that were idle for some time."""
        sent_before_s = anyio.current_time() - idle_s
        async with anyio.create_task_group() as tasks:
            for name, stream in list(self._streams.items()):
                if stream.sent_at_s <= sent_before_s:
                    tasks.start_soon(self._send, name, stream, message)

    async def _send(self, name: str, stream: PeerStream, message: PeerMessage) -> None:
        """Send a message; a peer that does not take it in time is gone."""
        try:
            with anyio.fail_after(self._config.peers.heartbeat_timeout_s):
                await stream.send(message)
        except _STREAM_ERRORS:
            await stream.aclose()
            self._close(name, stream)

    async def _close_silent(self) -> None:
        limit_s = anyio.current_time() - self._config.peers.heartbeat_timeout_s
        for peer in self.membership.live():
            if peer.heard_at_s < limit_s:
                stream = self._streams[peer.name]
                await stream.aclose()
                self._close(peer.name, stream)

    # Revisions

    async def _request_revisions(self, number: int, stream: PeerStream) -> None:
        """Ask one peer for newer revisions, unless another was just asked."""
        now_s = anyio.current_time()
        asked = self._asked_number >= number
        if number <= self._revisions.number:
            return
        if asked and now_s - self._asked_at_s < REVISION_ANSWER_S:
            return
        self._asked_number, self._asked_at_s = number, now_s
        await stream.send(RevisionRequest(self._revisions.number))

    async def _push_revisions(self, stream: PeerStream, after: int) -> None:
        for item in self._revisions.revisions_after(after):
            push = RevisionPush(item.number, item.publish_id, item.full, item.content)
            await stream.send(push)

    def _take_revision(self, name: str, message: RevisionPush) -> None:
        revision = Revision(
            message.number, message.publish_id, message.full, message.content
        )
        self._revisions.offer(revision, source=name)

    async def _follow_revisions(self) -> None:
        """Tell the peers of a new revision at once."""
        number = 0
        while True:
            number = await self._revisions.wait_newer(number)
            await self._send_to_all(self._heartbeat())

    # Slots

    def zone_vms(self) -> dict[str, Vm]:
        """Return the VMs of this zone by name."""
        zone = self.membership.zone
        vms = self._revisions.catalog.vms
        return {name: vm for name, vm in vms.items() if vm.zone == zone}

    def update_homes(self) -> None:
        """Work out the homes again after a change of entries or VMs."""
        entries = self.membership.zone_entries()
        homes = {}
        for name in self.zone_vms():
            home = choose_home(name, entries)
            assert home is not None
            homes[name] = home
        self.holder.set_homes(homes)
        self.ledger.set_members(entries)
        own = {
            name: self._revisions.catalog.vms[name].slots
            for name, home in homes.items()
            if home == self.membership.name
        }
        added = self.ledger.set_endpoints(own, anyio.current_time())
        if added:
            log_event(Event.HOME_CHANGED, endpoints=len(added), entries=entries)
        self.request_exchange()
        self._on_change()

    def request_exchange(self) -> None:
        """Exchange slots soon, because the demand has changed."""
        self._wake.set()

    async def _exchange_slots(self) -> None:
        """Send demands at each heartbeat, and sooner when asked."""
        while True:
            with anyio.move_on_after(self._config.peers.renewal_interval_s):
                await self._wake.wait()
            self._wake = anyio.Event()
            waiting = self._waiting()
            self.holder.set_waiting(waiting)
            before = self.sent_bytes
            await self._send_demands()
            if waiting:
                self.request_exchange()
            used_s = (self.sent_bytes - before) / self._config.peers.control_bytes_per_s
            await anyio.sleep(
                min(self._longest_pause_s(), used_s + EXCHANGE_INTERVAL_S)
            )

    def _longest_pause_s(self) -> float:
        """Return the pause after which grants would be renewed too late."""
        return self._config.peers.grant_ttl_s / RENEWALS_PER_TTL

    async def _send_demands(self) -> None:
        for home in self.holder.homes:
            if home == self.membership.name:
                await self._demand_at_home(home)
            elif home in self._streams:
                demand = self.holder.make_demand(home, anyio.current_time())
                if demand is not None:
                    await self._send(home, self._streams[home], demand)
        self._check_ledger()

    async def _demand_at_home(self, home: str) -> None:
        """Exchange slots with this entry's own ledger."""
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
        """Tell other holders at once when their grants change."""
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
            self._report_broken("granted slots", excess=excess)
