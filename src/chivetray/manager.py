"""The manager process: wires its components together and runs them."""

from __future__ import annotations

import signal
import sys
import uuid
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path

import anyio

from chivetray.api.jobs import JobsApp
from chivetray.capacity.recent_orders import FLEET_CELL
from chivetray.capacity.runner import FleetRunner
from chivetray.cells.cancellations import START_DELAY_S
from chivetray.cells.cell_register import CellRegister
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_service import JobService
from chivetray.cells.late_jobs import LateJobGate
from chivetray.cells.share_metrics import read_share_gauges
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import MEMBER_TABLE, member_row
from chivetray.cells.worker_list import WorkerList
from chivetray.clocks import boot_time_s
from chivetray.connection_limits import ConnectionLimits
from chivetray.connection_pool import ConnectionPool, share_limits
from chivetray.defects import contain_errors, keep_running
from chivetray.events import Event, log_event, observe_events, open_log
from chivetray.exceptions import FaultsError
from chivetray.generated.manager_models import ManagerSettings
from chivetray.generated.messages import NodeHeartbeat
from chivetray.manager_metrics import ManagerMetrics
from chivetray.manager_settings import parse_settings, read_settings_text
from chivetray.peers.mesh import Mesh
from chivetray.peers.stream import share_stream_limits
from chivetray.platform.advice import AdviceClient
from chivetray.platform.calls import CallSession
from chivetray.platform.store import Committed, StoreUnavailableError
from chivetray.platform.terms import expect_shortage
from chivetray.platform.vm_api import PlatformVmClient
from chivetray.platform.workers import WorkerClient
from chivetray.servers import HttpServer, bind_listener

# Environment variable that holds the path of the settings file in a deployment.
SETTINGS_VARIABLE = "CHIVETRAY_BOOT"

# Link bandwidth above which the link does not limit the owner of a cell: reading
# the list of 200 workers four times a second takes 4 Mbit/s.
FULL_CAPACITY_LINK_MBPS = 50.0

# Time without an answer from the store after which the process reports not ready.
STORE_OUTAGE_LIMIT_S = 2.0

# Time for which a newer version of the configuration may be known that is not in force
# here, after which the process reports not ready.
OUTDATED_READY_LIMIT_S = 2.0

# Largest row where the settings do not tell it. Its text in a call is encoded, which
# makes four characters of three bytes.
DEFAULT_ROW_TEXT_BYTES = 65536

# Interval between reads of the member table. A fifth of it applies while this manager
# is not registered or a known manager is not connected.
MEMBER_READ_INTERVAL_S = 5.0

# Interval between scans for jobs whose accepting manager failed before it notified
# the owner of their cell.
JOB_SCAN_INTERVAL_S = 3.0

# The same after a scan that failed. Tasks of jobs cancelled meanwhile run on until the
# next one.
JOB_SCAN_RETRY_S = 1.0

# Interval between checks of the settings file for changes.
SETTINGS_CHECK_INTERVAL_S = 1.0

# Settings whose changes take effect without a restart.
APPLIED_SETTINGS = ("store", "vms", "grace_s", "cpu_share", "cores", "link_mbps")

# Least age of the list of workers up to which tasks start: the list is read each 0.9 s,
# and a read of a slow store takes a quarter of a second.
MIN_LIST_AGE_S = 1.4

# Shares of the listeners in the memory and the descriptors of clients.
LISTENER_SHARES = {"callers": 0.7, "ready": 0.1, "metrics": 0.1}

# Part of the time between SIGTERM and SIGKILL that is reserved for closing connections
# and exiting.
STOP_RESERVE_S = 1.2


class Manager:
    """A manager process.

    :param path: settings file, which is read again when it changes
    :param text: text of the file from which the settings were parsed
    """

    def __init__(self, settings: ManagerSettings, path: Path, text: str):
        self._settings = settings
        self._path = path
        self._text = text
        self._incarnation = uuid.uuid4().hex
        self._stopping = anyio.Event()
        self._metrics = ManagerMetrics(self._read_gauges)
        self._session = CallSession.open()
        self._store = StoreAccess(self._session, settings.store)
        self._worker_client = WorkerClient(self._session)
        self._store.on_latency = self._metrics.observe_latency
        self._worker_client.on_latency = self._metrics.observe_latency
        observe_events(self._metrics.observe_event)
        self._configuration = Configuration(
            self._store.without_relays(), self._on_config_change, self._store
        )
        self._mesh = Mesh(
            settings.name,
            settings.zone,
            self._incarnation,
            settings.peers,
            self._build_heartbeat,
            self._on_mesh_change,
        )
        self._mesh.pool = ConnectionPool(
            share_stream_limits(settings.max_descriptors),
            partial(self._metrics.closed_clients.record, "peers"),
        )
        self._store.connect(self._mesh, self._mesh.request_heartbeat)
        self._configuration.connect(self._mesh)
        self._worker_list = WorkerList(self._store)
        self._register = CellRegister(
            self._store,
            self._services,
            self._claimed_cells,
            lambda: self._job_service.cells_to_notify(),
            lambda: len(self._mesh.peers),
            (FLEET_CELL,),
        )
        self._directory = CellDirectory(
            self._mesh,
            self._store,
            self._worker_client,
            self._cell_names,
            self._worker_list.workers_of,
            self._compute_capacity(),
            AdviceClient(self._session, settings.advice) if settings.advice else None,
            self._configuration.service_of,
            self._store.fit_link(settings.link_mbps),
            self._configuration.caps,
        )
        self._directory.register = self._register
        row_limit_bytes = (settings.row_bytes or DEFAULT_ROW_TEXT_BYTES) * 3 // 4
        self._directory.row_limit_bytes = row_limit_bytes
        self._directory.longest_lease_s = settings.longest_lease_ms / 1000
        self._directory.stores_run_times = settings.store_run_times
        self._directory.longest_list_age_s = max(
            MIN_LIST_AGE_S, settings.drain_ms / 1000 - START_DELAY_S
        )
        self._job_service = JobService(
            self._mesh, self._store, self._directory, self._configuration
        )
        self._job_service.row_limit_bytes = row_limit_bytes
        self._mesh.on_claims = self._job_service.pending_counts.note_claims
        self._directory.weight_of = self._configuration.weight_of
        self._late_jobs: LateJobGate | None = None
        if settings.refuse_late_jobs or expect_shortage(settings.terms):
            self._directory.tells_backlog = True
            self._late_jobs = self._job_service.late_jobs = LateJobGate(
                self._mesh, self._store, self._directory, self._job_service.acceptor
            )
            self._job_service.acceptor.on_unsettled = self._mesh.request_heartbeat
        self._fleet_runner: FleetRunner | None = None
        self._machine_client: PlatformVmClient | None = None
        if settings.vms:
            self._directory.has_vm_orders = True
            self._machine_client = PlatformVmClient(
                self._session, settings.vms, settings.name
            )
            self._fleet_runner = FleetRunner(
                self._mesh,
                self._store,
                self._directory,
                self._configuration,
                self._machine_client,
                settings.lease_ms / 1000,
                settings.migrate_s,
                settings.maintenance_s,
                self._worker_list.expect_arrivals,
                self._register.names,
            )
        self._jobs_app = JobsApp(self._configuration, self._job_service, self._metrics)

    @classmethod
    def from_file(cls, path: Path) -> Manager:
        """Create a manager from its settings file; needs a running event loop.

        :raises FaultsError: with every fault in the file
        """
        text = read_settings_text(path)
        return cls(parse_settings(text, path), path, text)

    # Lifecycle

    async def run(self) -> None:
        """Serve until the process is told to stop.

        :raises OSError: when a port cannot be bound
        """
        callers = _bind_address(self._settings.callers)
        ready = _bind_address(self._settings.ready)
        log_event(
            Event.ENTRY_STARTED,
            entry=self._settings.name,
            zone=self._settings.zone,
            incarnation=self._incarnation,
        )
        callers_server = HttpServer.from_app(
            self._jobs_app, limits=self._connection_limits, pool=self._pool("callers")
        )
        ready_server = HttpServer.from_app(
            self._readiness_app, pool=self._pool("ready")
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ready_server.serve_on, ready)
            tasks.start_soon(callers_server.serve_on, callers)
            if self._settings.metrics:
                metrics_server = HttpServer.from_app(
                    self._metrics_app, pool=self._pool("metrics")
                )
                tasks.start_soon(
                    metrics_server.serve_on, _bind_address(self._settings.metrics)
                )
            tasks.start_soon(self._receive_signals)
            for name, loop in self._loops().items():
                tasks.start_soon(keep_running, name, loop)
            await self._stopping.wait()
            await self._stop(callers_server)
            tasks.cancel_scope.cancel()
        await self._session.aclose()
        log_event(Event.ENTRY_STOPPED, entry=self._settings.name)

    def _loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops of the components, by the name in the log."""
        loops: dict[str, Callable[[], Awaitable[None]]] = {
            "settings": self._follow_settings,
            "configuration": self._configuration.run,
            "peers": self._mesh.run,
            "members": self._discover_members,
            "worker list": self._follow_workers,
            "cells": self._directory.run,
            "cell register": self._register.run,
            "job service": self._job_service.run,
            "job scans": self._scan_jobs,
        }
        if self._fleet_runner is not None:
            loops["VM orders"] = self._fleet_runner.run
        return loops

    async def _receive_signals(self) -> None:
        received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*received) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    self._reload()
                else:
                    self._stopping.set()

    async def _follow_settings(self) -> None:
        """Reload the settings file when it changes, also without SIGHUP."""
        while True:
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_S)
            text = self._read_settings_text()
            if text and text != self._text:
                self._reload()

    def _read_settings_text(self) -> str:
        try:
            return read_settings_text(self._path)
        except (FaultsError, OSError):
            # The file is being replaced, or the settings did not come from a file.
            return ""

    def _reload(self) -> None:
        """Read the settings file again; a file with faults changes nothing.

        Settings outside of ``APPLIED_SETTINGS``, such as the addresses that this
        process listens on, need a restart; the log event lists them.
        """
        try:
            self._text = read_settings_text(self._path)
            settings = parse_settings(self._text, self._path)
        except (FaultsError, OSError) as error:
            log_event(Event.SETTINGS_RELOADED, fault=str(error))
            return
        previous, self._settings = self._settings, settings
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(previous, name)
        ]
        self._directory.capacity = self._compute_capacity()
        if settings.store != previous.store:
            self._store.move_to(settings.store)
        if (
            self._machine_client is not None
            and settings.vms
            and settings.vms != previous.vms
        ):
            self._machine_client.move_to(settings.vms)
        log_event(
            Event.SETTINGS_RELOADED,
            changed=changed,
            after_restart=[name for name in changed if name not in APPLIED_SETTINGS],
        )

    async def _stop(self, callers_server: HttpServer) -> None:
        """Release the cells, serve open connections for the grace period, then stop."""
        started_s = boot_time_s()
        log_event(Event.ENTRY_LEAVING, entry=self._settings.name)
        self._directory.leaving = True
        for cell_owner in list(self._directory.owned_cells.values()):
            cell_owner.leaving = True
            cell_owner.wake()
        self._mesh.request_heartbeat()
        deadline_s = started_s + max(0.5, self._settings.grace_s - STOP_RESERVE_S)
        while boot_time_s() < deadline_s:
            await anyio.sleep(0.1)
            if boot_time_s() > deadline_s - 1.0:
                self._jobs_app.closing = True
        callers_server.stop()
        with anyio.move_on_after(STOP_RESERVE_S / 2):
            await callers_server.ended.wait()

    # Callbacks and background tasks of the components

    def _pool(self, listener: str) -> ConnectionPool:
        settings = self._settings
        limits = share_limits(
            settings.memory_mb, settings.max_descriptors, LISTENER_SHARES[listener]
        )
        return ConnectionPool(
            limits, partial(self._metrics.closed_clients.record, listener)
        )

    def _connection_limits(self) -> ConnectionLimits:
        config = self._configuration.current
        if config is None:
            return ConnectionLimits()
        return ConnectionLimits(
            config.limits.header_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
        )

    def _cell_names(self) -> list[str]:
        names = self._register.names()
        return [FLEET_CELL, *names] if names and self._fleet_runner else names

    def _services(self) -> set[str] | None:
        is_loaded = self._configuration.current is not None
        return self._configuration.services if is_loaded else None

    def _claimed_cells(self) -> Iterator[str]:
        for peer in self._mesh.peers.values():
            for claim in peer.claims():
                yield claim.cell

    def _on_config_change(self) -> None:
        config = self._configuration.current
        if config is not None:
            self._job_service.pending_counts.note_services(config.queues)
        self._mesh.request_announcement()
        self._directory.wake()

    def _on_mesh_change(self) -> None:
        for peer in self._mesh.peers.values():
            if peer.heartbeat is not None:
                self._configuration.note_peer_version(
                    peer.heartbeat.config_version, peer.name
                )
        self._directory.wake()

    def _compute_capacity(self) -> int:
        settings = self._settings
        cores = settings.cpu_share * settings.cores
        return int(
            1000 * cores * min(1.0, settings.link_mbps / FULL_CAPACITY_LINK_MBPS)
        )

    def _build_heartbeat(self) -> NodeHeartbeat:
        return NodeHeartbeat(
            config_version=self._configuration.version,
            leaving=self._stopping.is_set(),
            store_reached=self._store.is_served,
            capacity=self._compute_capacity(),
            interval_ms=0,
            claims=self._directory.claims(),
            unsettled=self._late_jobs is not None and self._late_jobs.is_unsettled(),
        )

    async def _discover_members(self) -> None:
        """Register this manager's address in the store and discover other managers."""
        own_row = member_row(self._settings.name)
        written = False
        version = 0
        while True:
            try:
                members, _ = await self._store.read(MEMBER_TABLE, "")
                version, written = 0, False
                for row in members:
                    # A damaged row does not keep this process from the others.
                    address = row.value.decode(errors="replace")
                    self._mesh.add_address(row.id.key, address)
                    if row.id.key == own_row.key:
                        version = row.version
                        written = address == self._settings.peers
                if not written:
                    value = self._settings.peers.encode()
                    outcome = await self._store.transact(
                        {own_row: version}, {own_row: value}
                    )
                    written = isinstance(outcome, Committed)
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error))
            missing = set(self._mesh.known_addresses()) - set(self._mesh.peers)
            complete = written and not missing
            pause_s = MEMBER_READ_INTERVAL_S if complete else MEMBER_READ_INTERVAL_S / 5
            await anyio.sleep(pause_s)

    async def _follow_workers(self) -> None:
        await self._worker_list.run(self._needs_worker_list, self._update_worker_lists)

    def _needs_worker_list(self) -> bool:
        return bool(self._directory.owned_cells)

    def _update_worker_lists(self) -> None:
        for cell_owner in list(self._directory.owned_cells.values()):
            with contain_errors("workers of a cell"):
                cell_owner.update_workers(
                    self._worker_list.workers_of(cell_owner.state.name),
                    self._worker_list.sent_at_s,
                )

    async def _scan_jobs(self) -> None:
        while True:
            scanned_at_s = self._directory.scanned_at_s
            due_in_s = scanned_at_s + JOB_SCAN_INTERVAL_S - boot_time_s()
            if due_in_s > 0:
                await anyio.sleep(due_in_s)
                continue
            try:
                await self._directory.scan()
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="scan")
                await anyio.sleep(JOB_SCAN_RETRY_S)

    # Readiness and metrics

    def owned_cells(self) -> list[str]:
        """Return the names of the cells that this process owns."""
        return sorted(self._directory.owned_cells)

    def is_ready(self) -> bool:
        """Return whether this process should receive new connections."""
        if self._stopping.is_set() or self._configuration.current is None:
            return False
        configuration = self._configuration
        if (
            configuration.is_outdated
            and configuration.behind_s > OUTDATED_READY_LIMIT_S
        ):
            return False
        return self._store.was_served_within(boot_time_s(), STORE_OUTAGE_LIMIT_S)

    async def _readiness_app(self, scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        status = 200 if self.is_ready() else 503
        await _send_text(send, status, b"")

    def _read_gauges(self) -> dict[tuple[str, str], float]:
        """Return the values of all gauges by their name and subject."""
        now_s = boot_time_s()
        values = {
            ("chivetray_peers", ""): float(len(self._mesh.peers)),
            ("chivetray_relayed_store_calls", ""): float(self._store.relayed_calls),
        }
        if self._configuration.current is not None:
            age_s = now_s - self._configuration.applied_at_s
            version = float(self._configuration.version)
            values["chivetray_configuration_version", ""] = version
            values["chivetray_configuration_age_seconds", ""] = age_s
            behind_s = self._configuration.behind_s
            values["chivetray_configuration_behind_seconds", ""] = behind_s
        if self._worker_list.read_at_s:
            list_age_s = now_s - self._worker_list.read_at_s
            values["chivetray_worker_list_age_seconds", ""] = list_age_s
        for cell, cell_owner in self._directory.owned_cells.items():
            confirmed_age_s = now_s - cell_owner.confirmed_at_s
            values["chivetray_cell_jobs", cell] = float(len(cell_owner.state.active))
            workers = cell_owner.state.workers.values()
            avoided = sum(worker.pace.condition is not None for worker in workers)
            values["chivetray_cell_avoided_workers", cell] = float(avoided)
            distributions = float(len(cell_owner.state.times))
            values["chivetray_cell_run_time_distributions", cell] = distributions
            values["chivetray_cell_confirmed_age_seconds", cell] = confirmed_age_s
        keepers = [owner.shares for owner in self._directory.owned_cells.values()]
        return values | read_share_gauges(keepers)

    async def _metrics_app(self, scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        await _send_text(send, 200, self._metrics.render())


async def _send_text(send, status: int, body: bytes) -> None:  # type: ignore[no-untyped-def]
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _bind_address(address: str):  # type: ignore[no-untyped-def]
    host, _, port = address.rpartition(":")
    return bind_listener(host, int(port))


def run_from_file(path: Path) -> None:
    """Run a manager until it is told to stop.

    :raises FaultsError: with every fault in the settings file
    """
    open_log(sys.stdout)

    async def run() -> None:
        await Manager.from_file(path).run()

    anyio.run(run)
