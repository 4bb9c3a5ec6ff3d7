"""One manager: its parts and its life."""

from __future__ import annotations

import signal
import sys
import uuid
from pathlib import Path

import anyio

from chivetray.border.jobs import JobsApp
from chivetray.capacity.order_book import FLEET_CELL
from chivetray.capacity.runner import FleetRunner
from chivetray.cells.configuration import Configuration
from chivetray.cells.desk import Desk
from chivetray.cells.directory import CellDirectory
from chivetray.cells.fleet_view import FleetView
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import MEMBER_TABLE, member_row
from chivetray.clocks import boot_time_s
from chivetray.connection_limits import ConnectionLimits
from chivetray.events import Event, log_event, observe_events, open_log
from chivetray.exceptions import FaultsError
from chivetray.generated.manager_models import ManagerSettings
from chivetray.generated.messages import CellClaim, NodeHeartbeat
from chivetray.manager_metrics import ManagerMetrics
from chivetray.manager_settings import load_settings, parse_settings
from chivetray.peers.mesh import Mesh
from chivetray.platform.advice import AdviceClient
from chivetray.platform.calls import CallSession
from chivetray.platform.machines import MachineClient
from chivetray.platform.store import Committed, StoreUnavailableError
from chivetray.platform.workers import WorkerClient
from chivetray.servers import HttpServer, bind_listener

# Variable that holds the path of the settings file in a deployment.
SETTINGS_VARIABLE = "CHIVETRAY_BOOT"

# Bandwidth with which a cell's owner is not held up by its link: reading the list of
# 200 workers four times a second takes 4 Mbit/s.
FULL_LINK_MBPS = 50.0

# Time for which the store may be away before the process says it is not ready.
READY_WITHOUT_STORE_S = 2.0

# Interval between looks for other managers in the store while some are missing.
MEMBERS_INTERVAL_S = 5.0

# Interval of the search for jobs whose acceptor died before telling the owner.
SCAN_INTERVAL_S = 3.0

# Interval between looks at the settings file.
SETTINGS_INTERVAL_S = 1.0

# Settings that a running process follows.
APPLIED_SETTINGS = ("store", "vms", "grace_s", "cpu_share", "cores", "link_mbps")

# Kept back from the time between SIGTERM and SIGKILL.
STOP_MARGIN_S = 1.2


class Manager:
    """A manager process.

    :param text: text of the settings file that the settings were read from
    """

    def __init__(self, settings: ManagerSettings, path: Path, text: str):
        self._settings = settings
        self._path = path
        self._text = text
        self._incarnation = uuid.uuid4().hex
        self._leaving = anyio.Event()
        self._metrics = ManagerMetrics(self._read_gauges)
        self._session = CallSession.open()
        self._store = StoreAccess(self._session, settings.store)
        self._workers = WorkerClient(self._session)
        self._store.on_latency = self._metrics.observe_latency
        self._workers.on_latency = self._metrics.observe_latency
        observe_events(self._metrics.observe_event)
        self._configuration = Configuration(self._store, self._config_changed)
        self._mesh = Mesh(
            settings.name,
            settings.zone,
            self._incarnation,
            settings.peers,
            self._beat,
            self._mesh_changed,
        )
        self._store.connect(self._mesh, self._mesh.beat_soon)
        self._fleet = FleetView(self._store)
        self._directory = CellDirectory(
            self._mesh,
            self._store,
            self._workers,
            self._cell_names,
            self._fleet.workers_of,
            self._capacity(),
            AdviceClient(self._session, settings.advice) if settings.advice else None,
        )
        self._directory.longest_lease_s = settings.longest_lease_ms / 1000
        self._desk = Desk(self._mesh, self._store, self._directory, self._configuration)
        self._runner: FleetRunner | None = None
        self._machines: MachineClient | None = None
        if settings.vms:
            self._machines = MachineClient(self._session, settings.vms, settings.name)
            self._runner = FleetRunner(
                self._mesh,
                self._store,
                self._directory,
                self._configuration,
                self._machines,
                settings.lease_ms / 1000,
                settings.migrate_s,
                settings.maintenance_s,
                self._fleet.expect_arrivals,
            )
        self._app = JobsApp(self._configuration, self._desk, self._metrics)

    @classmethod
    def from_file(cls, path: Path) -> Manager:
        """Make a manager from its settings file; needs a running event loop.

        :raises FaultsError: naming every fault of the file
        """
        text = path.read_text()
        return cls(parse_settings(text, path), path, text)

    # Life

    async def run(self) -> None:
        """Serve until told to leave.

        :raises OSError: when a port cannot be bound
        """
        callers = _bind(self._settings.callers)
        ready = _bind(self._settings.ready)
        log_event(
            Event.ENTRY_STARTED,
            entry=self._settings.name,
            zone=self._settings.zone,
            incarnation=self._incarnation,
        )
        callers_server = HttpServer.from_app(self._app, limits=self._limits)
        ready_server = HttpServer.from_app(self._ready_app)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ready_server.serve_on, ready)
            tasks.start_soon(callers_server.serve_on, callers)
            if self._settings.metrics:
                metrics_server = HttpServer.from_app(self._metrics_app)
                tasks.start_soon(metrics_server.serve_on, _bind(self._settings.metrics))
            tasks.start_soon(self._receive_signals)
            tasks.start_soon(self._follow_settings)
            tasks.start_soon(self._configuration.run)
            tasks.start_soon(self._mesh.run)
            tasks.start_soon(self._join)
            tasks.start_soon(self._fleet.run, self._wants_workers, self._list_workers)
            tasks.start_soon(self._directory.run)
            tasks.start_soon(self._desk.run)
            tasks.start_soon(self._scan)
            if self._runner is not None:
                tasks.start_soon(self._runner.run)
            await self._leaving.wait()
            await self._leave(callers_server)
            tasks.cancel_scope.cancel()
        await self._session.aclose()
        log_event(Event.ENTRY_STOPPED, entry=self._settings.name)

    async def _receive_signals(self) -> None:
        received = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*received) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self._leaving.set()

    async def _follow_settings(self) -> None:
        """Notice that the settings file has changed, also without a signal."""
        while True:
            await anyio.sleep(SETTINGS_INTERVAL_S)
            text = self._read_settings_text()
            if text and text != self._text:
                self._text = text
                self._reload()

    def _read_settings_text(self) -> str:
        try:
            return self._path.read_text()
        except OSError:
            # The file is being replaced, or the settings came from elsewhere.
            return ""

    def _reload(self) -> None:
        """Read the settings file again; a file with faults changes nothing.

        Addresses at which this process listens need a new start; the log says so.
        """
        try:
            settings = load_settings(self._path)
        except (FaultsError, OSError) as error:
            log_event(Event.SETTINGS_RELOADED, fault=str(error))
            return
        before, self._settings = self._settings, settings
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(settings, name) != getattr(before, name)
        ]
        if settings.store != before.store:
            self._store.move_to(settings.store)
        if self._machines is not None and settings.vms and settings.vms != before.vms:
            self._machines.move_to(settings.vms)
        log_event(
            Event.SETTINGS_RELOADED,
            changed=changed,
            after_restart=[name for name in changed if name not in APPLIED_SETTINGS],
        )

    async def _leave(self, callers_server: HttpServer) -> None:
        """Hand the cells over, serve open connections for the grace time, and end."""
        started_s = boot_time_s()
        log_event(Event.ENTRY_LEAVING, entry=self._settings.name)
        self._directory.leaving = True
        for own in list(self._directory.owned.values()):
            own.leaving = True
            own.wake()
        self._mesh.beat_soon()
        until_s = started_s + max(0.5, self._settings.grace_s - STOP_MARGIN_S)
        while boot_time_s() < until_s:
            await anyio.sleep(0.1)
            if boot_time_s() > until_s - 1.0:
                self._app.closing = True
        callers_server.stop()
        with anyio.move_on_after(STOP_MARGIN_S / 2):
            while callers_server.server_state.tasks:  # noqa: ASYNC110
                await anyio.sleep(0.02)

    # Parts

    def _limits(self) -> ConnectionLimits:
        config = self._configuration.current
        if config is None:
            return ConnectionLimits()
        return ConnectionLimits(
            config.limits.header_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
        )

    def _cell_names(self) -> list[str]:
        names = sorted(self._configuration.services)
        return [FLEET_CELL, *names] if names and self._runner else names

    def _config_changed(self) -> None:
        self._mesh.beat_soon()
        self._directory.wake()

    def _mesh_changed(self) -> None:
        for peer in self._mesh.peers.values():
            if peer.heartbeat is not None:
                self._configuration.heard_version(peer.heartbeat.config_version)
        self._directory.wake()

    def _capacity(self) -> int:
        settings = self._settings
        cores = settings.cpu_share * settings.cores
        return int(1000 * cores * min(1.0, settings.link_mbps / FULL_LINK_MBPS))

    def _beat(self) -> NodeHeartbeat:
        claims = [
            CellClaim(own.state.name, own.epoch, own.state.pending(), [])
            for own in self._directory.owned.values()
        ]
        return NodeHeartbeat(
            config_version=self._configuration.version,
            leaving=self._leaving.is_set(),
            store_reached=self._store.served,
            capacity=self._capacity(),
            claims=claims,
        )

    async def _join(self) -> None:
        """Tell the other managers where this one is, and find them."""
        row = member_row(self._settings.name)
        written = False
        version = 0
        while True:
            try:
                rows, _ = await self._store.read(MEMBER_TABLE, "")
                version = 0
                for found in rows:
                    self._mesh.learn(found.id.key, found.value.decode())
                    if found.id.key == row.key:
                        version = found.version
                        written = found.value.decode() == self._settings.peers
                if not written:
                    value = self._settings.peers.encode()
                    outcome = await self._store.transact({row: version}, {row: value})
                    written = isinstance(outcome, Committed)
            except (StoreUnavailableError, UnicodeDecodeError) as error:
                log_event(Event.STORE_LOST, reason=str(error))
            missing = set(self._mesh.known()) - set(self._mesh.peers)
            complete = written and not missing
            pause_s = MEMBERS_INTERVAL_S if complete else MEMBERS_INTERVAL_S / 5
            await anyio.sleep(pause_s)

    def _wants_workers(self) -> bool:
        return bool(self._directory.owned)

    def _list_workers(self) -> None:
        for own in self._directory.owned.values():
            own.list_workers(self._fleet.workers_of(own.state.name))

    async def _scan(self) -> None:
        while True:
            await anyio.sleep(SCAN_INTERVAL_S)
            try:
                await self._directory.scan()
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="scan")

    # Ports

    def owned_cells(self) -> list[str]:
        """Return the cells that this process owns."""
        return sorted(self._directory.owned)

    def is_ready(self) -> bool:
        """Return whether new connections should come here."""
        if self._leaving.is_set() or self._configuration.current is None:
            return False
        return self._store.usable(boot_time_s(), READY_WITHOUT_STORE_S)

    async def _ready_app(self, scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        status = 200 if self.is_ready() else 503
        await _send_text(send, status, b"")

    def _read_gauges(self) -> dict[tuple[str, str], float]:
        """Return what the process believes and how old that is."""
        now_s = boot_time_s()
        values = {
            ("chivetray_peers", ""): float(len(self._mesh.peers)),
            ("chivetray_relayed_store_calls", ""): float(self._store.relayed),
        }
        if self._configuration.current is not None:
            age_s = now_s - self._configuration.applied_at_s
            version = float(self._configuration.version)
            values["chivetray_configuration_version", ""] = version
            values["chivetray_configuration_age_seconds", ""] = age_s
        if self._fleet.read_at_s:
            list_age_s = now_s - self._fleet.read_at_s
            values["chivetray_worker_list_age_seconds", ""] = list_age_s
        for cell, own in self._directory.owned.items():
            confirmed_age_s = now_s - own.confirmed_at_s
            values["chivetray_cell_jobs", cell] = float(len(own.state.active))
            values["chivetray_cell_confirmed_age_seconds", cell] = confirmed_age_s
        return values

    async def _metrics_app(self, scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        await _send_text(send, 200, self._metrics.render())


async def _send_text(send, status: int, body: bytes) -> None:  # type: ignore[no-untyped-def]
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def _bind(address: str):  # type: ignore[no-untyped-def]
    host, _, port = address.rpartition(":")
    return bind_listener(host, int(port))


def run_from_file(path: Path) -> None:
    """Run a manager until it is told to leave.

    :raises FaultsError: naming every fault of the settings file
    """
    open_log(sys.stdout)

    async def run() -> None:
        await Manager.from_file(path).run()

    anyio.run(run)
