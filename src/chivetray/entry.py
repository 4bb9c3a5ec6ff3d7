"""The entry process: wires its components together and runs them."""

from __future__ import annotations

import signal
import uuid
from functools import partial

import anyio
from anyio.abc import TaskGroup

from chivetray.api.callers import CallerApp
from chivetray.api.operators import (
    EntryStatus,
    OperatorViews,
    PeerStatus,
    create_operators_app,
)
from chivetray.config import Config
from chivetray.connection_pool import ConnectionPool, share_limits
from chivetray.duties.drains import DrainFollower
from chivetray.duties.loads import LoadWriter
from chivetray.duties.sweeper import Sweeper
from chivetray.duties.waves import EntryWaveRunner
from chivetray.events import Event, log_event
from chivetray.explain import explain_name
from chivetray.fleet.revision import RevisionState
from chivetray.fleet.vm_states import ListedVm, VmKind, VmState, VmStates
from chivetray.generated.settings import TlsSettings
from chivetray.metrics import Metrics
from chivetray.peers.membership import PeerAddress
from chivetray.peers.node import PeerNode
from chivetray.peers.stream import share_stream_limits
from chivetray.records.client import RecordClient
from chivetray.records.group_writer import GroupWriter
from chivetray.records.leases import LeaseKeeper
from chivetray.records.watcher import PlatformWatcher
from chivetray.requests.admission import Admission
from chivetray.requests.balancer import EndpointBalancer
from chivetray.requests.claims import ClaimStore
from chivetray.requests.connections import EndpointConnections
from chivetray.requests.handler import RequestHandler
from chivetray.requests.outliers import OutlierTable
from chivetray.servers import HttpServer, bind_listener

# Interval at which slots of requests that timed out are released.
DUE_SLOTS_INTERVAL_S = 0.25

# Shares of the listeners in the memory and the descriptors of clients.
LISTENER_SHARES = {"callers": 0.8, "operators": 0.1}


class Entry:
    """An entry process.

    :param config: effective settings
    """

    def __init__(self, config: Config):
        self._config = config
        self._metrics = Metrics()
        self._revisions = RevisionState()
        self._vm_states = VmStates()
        incarnation = uuid.uuid4().hex
        self._node = PeerNode.from_config(
            config,
            self._revisions,
            incarnation,
            self._on_grants_change,
            lambda: self._admission.waiting_by_endpoint(),
            self._metrics.report_broken_invariant,
        )
        self._node.pool = ConnectionPool(
            share_stream_limits(config.entry.max_descriptors),
            partial(self._metrics.closed_clients.record, "peers"),
        )
        self._client = RecordClient.from_config(config.platform)
        self._watcher = PlatformWatcher(
            self._client,
            config.platform,
            self._revisions,
            self._vm_states,
            lambda: len(self._node.membership.zone_entries()),
            self._on_vm_changes,
        )
        self._claim_writer = GroupWriter(
            self._client, config.claims, self._metrics.rows_written.inc
        )
        self._claims = ClaimStore(
            self._client, self._claim_writer, config.claims, config.entry.name
        )
        self._outliers = OutlierTable(config.outliers)
        self._balancer = EndpointBalancer(
            config.entry.zone,
            self._node.holder,
            self._vm_states,
            self._outliers,
            config.duties.return_ramp_s,
        )
        self._admission = Admission(self._balancer, self._node.request_exchange)
        self._connections = EndpointConnections(config.requests)
        handler = RequestHandler(
            config,
            self._admission,
            self._balancer,
            self._outliers,
            self._connections,
            self._claims,
            self._metrics,
        )
        self._caller_app = CallerApp(
            config, self._revisions, self._admission, handler, self._metrics
        )
        self._listed_entries: dict[str, str] = {config.entry.name: config.entry.zone}
        self._drain_follower = DrainFollower(
            self._client,
            config.duties,
            config.entry.name,
            self._vm_states,
            self._node.holder,
            lambda name: name in self._node.zone_vms(),
        )
        self._load_writer = LoadWriter(
            self._client,
            config.duties,
            config.entry.name,
            self._revisions,
            self._node.holder.busy,
        )
        leases = LeaseKeeper(self._client, f"{config.entry.name}/{incarnation}")
        self._sweeper = Sweeper(
            self._client,
            config.duties,
            config.entry.name,
            leases,
            self._revisions,
            self._duty_candidates,
        )
        self._wave_runner = EntryWaveRunner(
            self._client,
            config.duties,
            config.entry.name,
            leases,
            self._revisions,
            self._vm_states,
            self._listed_entries_in,
            self._duty_candidates,
        )
        self._stop_requested = anyio.Event()
        self._ready_logged = False

    @classmethod
    def from_config(cls, config: Config) -> Entry:
        """Create an entry."""
        return cls(config)

    # Lifecycle

    async def run(self, handle_signals: bool = True) -> None:
        """Serve until told to stop, then finish the requests in flight.

        :raises OSError: when a port cannot be bound
        """
        config = self._config
        address = config.entry.address
        callers = bind_listener(address, config.listeners.callers_port)
        operators = bind_listener(address, config.listeners.operators_port)
        log_event(Event.ENTRY_STARTED, entry=config.entry.name, zone=config.entry.zone)
        for name, port in (
            ("callers", config.listeners.callers_port),
            ("operators", config.listeners.operators_port),
        ):
            log_event(Event.LISTENER_STARTED, listener=name, address=address, port=port)
        callers_server = HttpServer.from_app(
            self._caller_app,
            config.listeners.callers_tls,
            pool=self._pool("callers", config.listeners.callers_tls),
        )
        operators_server = HttpServer.from_app(
            create_operators_app(self._operator_views()),
            config.listeners.operators_tls,
            pool=self._pool("operators", config.listeners.operators_tls),
        )
        async with anyio.create_task_group() as tasks:
            self._start_tasks(tasks)
            tasks.start_soon(operators_server.serve_on, operators)
            if handle_signals:
                tasks.start_soon(self._receive_signals)
            tasks.start_soon(self._shut_down, callers_server, operators_server)
            await callers_server.serve_on(callers)
            await self._close(operators_server)
            tasks.cancel_scope.cancel()
        log_event(Event.ENTRY_STOPPED, entry=config.entry.name)

    def _start_tasks(self, tasks: TaskGroup) -> None:
        self._revisions.subscribe(self._on_revision_change)
        tasks.start_soon(self._node.run)
        tasks.start_soon(self._watcher.run)
        tasks.start_soon(self._claim_writer.run)
        tasks.start_soon(self._claims.run)
        tasks.start_soon(self._release_due_slots)
        tasks.start_soon(self._drain_follower.run)
        tasks.start_soon(self._load_writer.run)
        tasks.start_soon(self._wave_runner.run)
        tasks.start_soon(self._sweeper.run)

    def _pool(self, listener: str, tls: TlsSettings | None) -> ConnectionPool:
        settings = self._config.entry
        limits = share_limits(
            settings.memory_mb,
            settings.max_descriptors,
            LISTENER_SHARES[listener],
            tls is not None,
        )
        return ConnectionPool(
            limits, partial(self._metrics.closed_clients.record, listener)
        )

    def leave(self) -> None:
        """Start a graceful shutdown."""
        self._stop_requested.set()

    async def _receive_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.leave()

    async def _shut_down(
        self, callers_server: HttpServer, operators_server: HttpServer
    ) -> None:
        """Report not ready, wait until requests go elsewhere, then stop listening."""
        await self._stop_requested.wait()
        self._node.leaving = True
        log_event(Event.ENTRY_LEAVING, entry=self._config.entry.name)
        await anyio.sleep(self._config.entry.leave_notice_s)
        callers_server.stop()
        await anyio.sleep(self._config.entry.leave_limit_s)
        callers_server.force_exit = True

    async def _close(self, operators_server: HttpServer) -> None:
        """Store the last outcomes and close all connections."""
        with anyio.move_on_after(self._config.platform.timeout_s * 2):
            await self._claim_writer.drain()
        await self._connections.aclose()
        operators_server.stop()
        await self._client.aclose()

    # Reactions to changes

    def _on_revision_change(self) -> None:
        """Apply a new revision to all components."""
        catalog = self._revisions.catalog
        self._balancer.set_catalog(catalog)
        self._admission.set_services_and_teams(catalog.services, catalog.teams)
        self._caller_app.set_services(catalog.services)
        self._metrics.revision.set(self._revisions.number)
        self._admission.dispatch()

    def _on_vm_changes(self, vms: list[ListedVm]) -> None:
        """Update the known entries and log leaving endpoints after VM list changes."""
        for vm in vms:
            if vm.kind is VmKind.ENDPOINT:
                if vm.state is VmState.LEAVING:
                    log_event(Event.ENDPOINT_LEAVING, endpoint=vm.name)
            elif vm.state is VmState.GONE:
                self._listed_entries.pop(vm.name, None)
                self._node.membership.list_gone(vm.name)
            else:
                self._listed_entries[vm.name] = vm.zone
                peer = PeerAddress(vm.name, vm.zone, vm.address, vm.peers_port)
                self._node.membership.list_entry(peer)
        self._admission.dispatch()

    def _listed_entries_in(self, zone: str) -> set[str]:
        """Return the entries of a zone that the VM list does not report as gone."""
        return {name for name, found in self._listed_entries.items() if found == zone}

    def _duty_candidates(self) -> list[str]:
        """Return the entries that may hold duties; an entry that is leaving may not."""
        own = [] if self._node.leaving else [self._config.entry.name]
        live = {peer.name for peer in self._node.membership.live() if not peer.leaving}
        return own + sorted(live)

    def _on_grants_change(self) -> None:
        count = len(self._node.membership.zone_entries())
        self._connections.set_zone_entries(count)
        self._admission.dispatch()
        if self.is_ready() and not self._ready_logged:
            self._ready_logged = True
            log_event(Event.ENTRY_READY, revision=self._revisions.number)

    async def _release_due_slots(self) -> None:
        """Release the slots of timed-out requests once those must have ended."""
        while True:
            self._admission.release_due_slots()
            await anyio.sleep(DUE_SLOTS_INTERVAL_S)

    # State for operators

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests to this entry."""
        if self._node.leaving or self._revisions.number == 0:
            return False
        if not self._drain_follower.has_polled:
            return False
        now_s = anyio.current_time()
        services = self._revisions.catalog.services.values()
        return any(self._balancer.granted_slots(s, now_s) for s in services)

    def status(self) -> EntryStatus:
        """Return the state for operators."""
        membership = self._node.membership
        return EntryStatus(
            name=membership.name,
            zone=membership.zone,
            ready=self.is_ready(),
            leaving=self._node.leaving,
            revision=self._revisions.number,
            platform_answers=self._watcher.answers,
            in_flight=self._admission.in_flight,
            waiting=self._admission.waiting,
            zone_entries=membership.zone_entries(),
            peers=[
                PeerStatus(peer.name, peer.zone, peer.revision, peer.leaving)
                for peer in membership.live()
            ],
            ejected=sorted(self._outliers.ejected()),
            unavailable=sorted(self._vm_states.unavailable()),
        )

    def _render_metrics(self) -> bytes:
        metrics = self._metrics
        metrics.in_flight.set(self._admission.in_flight)
        metrics.waiting.set(self._admission.waiting)
        metrics.live_peers.set(len(self._node.membership.live()))
        metrics.peer_bytes_sent.set(self._node.sent_bytes)
        return metrics.render()

    def _explain(self, name: str) -> list[str]:
        finished = self._caller_app.recent_failures.get(name)
        if finished is not None:
            code = finished.code
            return [
                f"request {name} of service {finished.service}: "
                f"{code.number} {code.name}, ran: {code.ran.value}",
                finished.message,
                f"decided under revision {finished.revision}",
            ]
        return explain_name(
            name, self._revisions, self._vm_states, self._outliers.ejected()
        )

    def _operator_views(self) -> OperatorViews:
        return OperatorViews(
            is_ready=self.is_ready,
            status=self.status,
            metrics=self._render_metrics,
            explain=self._explain,
            settings=self._config.describe,
        )
