"""Gives the orders for VMs: one holder at a time moves and maintains them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgpack

from chivetray.capacity.maintenance import (
    STATE_UP,
    PoolRoom,
    WaveVm,
    choose_vms,
    count_under_way,
)
from chivetray.capacity.sizing import (
    DemandMeter,
    Move,
    PoolState,
    PoolVm,
    forecast_demand,
    plan_moves,
)
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.entries import STATUS_TABLE, Wave, encode_wave_status
from chivetray.platform.machines import Machine, MachineAnswer, MachineClient
from chivetray.platform.store import (
    Committed,
    Row,
    RowId,
    Store,
    StoreUnavailableError,
)

# Cell that has no workers; its owner gives the orders for VMs.
FLEET_CELL = "~fleet"

# Rows of the holder: the VMs of each wave whose maintenance has begun, and the VMs
# that got an order lately.
DUTY_TABLE = "duties"
ORDERS_ROW = RowId(DUTY_TABLE, FLEET_CELL, "orders")

CAPACITY_CALL = "capacity"

TICK_S = 0.3

# Interval between readings of the VM list when nothing is expected to change.
LIST_INTERVAL_S = 1.0

# The holder gives orders only while it has shown lately that it is the holder.
CONFIRMED_S = 1.5

# Time after which a worker that has ended is listed no more: three heartbeats and a
# reading of the list.
ENTRY_LAPSE_S = 6.0

# Margin on times that the platform names.
MARGIN_S = 0.3

# Interval between two log lines on the sizes of the pools.
SIZES_LOG_INTERVAL_S = 1.0


@dataclass(slots=True)
class WaveProgress:
    """Progress of one wave.

    :ivar done: VMs whose maintenance has begun
    :ivar ordered_s: time of the last order of this holder for each VM, answered or not
    :ivar version: version of the stored row
    """

    started_ms: int
    done: set[str] = field(default_factory=set)
    ordered_s: dict[str, float] = field(default_factory=dict)
    version: int = 0
    stored: int = -1
    completed: bool = False
    announced: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What an owner says of one of its workers."""

    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool


@dataclass(slots=True)
class CellReport:
    """What the owner of a cell says of it."""

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: dict[str, WorkerReport]


def _ordered_vms(rows: Iterable[Row]) -> list[str] | None:
    """Return the VMs that an earlier holder had stored as getting an order.

    ``None`` when they cannot be read, so that it may be any VM.
    """
    for row in rows:
        if row.id != ORDERS_ROW:
            continue
        try:
            return [str(vm) for vm in msgpack.unpackb(row.value)]
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
            return None
    return []


class FleetRunner:
    """Moves and maintains VMs while this process holds the duty.

    :param on_arrivals: called when a cell of this process is to get workers soon
    """

    def __init__(
        self,
        mesh: Mesh,
        store: Store,
        directory: CellDirectory,
        configuration: Configuration,
        machines: MachineClient,
        lease_s: float,
        migrate_s: float,
        maintenance_s: float,
        on_arrivals: Callable[[], None],
    ):
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._configuration = configuration
        self._client = machines
        self._lease_s = lease_s
        self._migrate_s = migrate_s
        self._maintenance_s = maintenance_s
        self._on_arrivals = on_arrivals
        self._machines: list[Machine] = []
        self._listed_at_s = 0.0
        self._reports: dict[str, CellReport] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._moving: dict[str, tuple[Move, float]] = {}
        self._leaving: dict[str, Move] = {}
        self._emptying: dict[str, str] = {}
        self._ended: dict[str, float] = {}
        self._ordered: dict[str, float] = {}
        self._foreign: dict[str, float] = {}
        self._waves: dict[str, WaveProgress] = {}
        self._holder: CellOwner | None = None
        self._sizes_logged_at_s = 0.0
        mesh.handlers[CAPACITY_CALL] = self._report_cell

    # Life

    async def run(self) -> None:
        """Give orders while this process holds the duty, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            own = self._directory.owned.get(FLEET_CELL)
            if own is None or own.leaving:
                self._holder = None
                continue
            try:
                if own is not self._holder:
                    await self._begin(own)
                await self._round(own)
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="VM orders")

    async def _begin(self, own: CellOwner) -> None:
        """Start as the new holder.

        Each VM is left alone until the last order of an earlier holder is old. When
        that holder did not say when it gave its orders, those count as given now
        that it had stored before it gave them.
        """
        rows, _ = await self._store.read(DUTY_TABLE, FLEET_CELL)
        inherited_s = own.inherited_s
        if inherited_s is None:
            ordered = _ordered_vms(rows)
            if ordered is None:
                await anyio.sleep(self._lease_s + MARGIN_S)
            inherited_s = dict.fromkeys(ordered or [], self._lease_s + MARGIN_S)
        now_s = boot_time_s()
        self._foreign = {vm: now_s + left for vm, left in inherited_s.items()}
        self._ordered.clear()
        own.handover = self._remaining_leases
        self._waves = {}
        for row in rows:
            if row.id == ORDERS_ROW:
                continue
            try:
                started_ms, names, completed = msgpack.unpackb(row.value)
            except (ValueError, TypeError, msgpack.UnpackException) as error:
                log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
                continue
            progress = WaveProgress(started_ms, set(names))
            progress.version, progress.completed = row.version, completed
            progress.stored = len(names)
            self._waves[row.id.key] = progress
        self._moving.clear()
        self._leaving.clear()
        self._emptying.clear()
        self._holder = own

    def _remaining_leases(self) -> dict[str, float]:
        """Return how long a later holder has to leave VMs alone."""
        now_s = boot_time_s()
        until_s = {
            vm: at_s + self._lease_s + MARGIN_S for vm, at_s in self._ordered.items()
        }
        until_s = {**self._foreign, **until_s}
        return {vm: s - now_s for vm, s in until_s.items() if s > now_s}

    async def _round(self, own: CellOwner) -> None:
        await self._read_machines()
        await self._read_cells()
        await self._maintain(own)
        await self._resize(own)

    async def _store_orders(self, own: CellOwner, names: Iterable[str]) -> bool:
        """Store which VMs get an order, before any gets it.

        A later holder leaves them alone. One that has lost the duty cannot store
        anything, so it gives no orders.
        """
        vms = sorted({*self._remaining_leases(), *names})
        outcome = await self._store.transact(
            {own.guard: own.guard_version}, {ORDERS_ROW: bytes(msgpack.packb(vms))}
        )
        if not isinstance(outcome, Committed):
            reason = getattr(outcome, "reason", "another process has the duty")
            log_event(Event.STORE_LOST, reason=reason, during="VM orders")
            return False
        return True

    def _may_order(self, own: CellOwner, machine: str) -> bool:
        """Return whether an order for a VM may be given now, and note that it is."""
        now_s = boot_time_s()
        fresh = now_s - own.confirmed_at_s < CONFIRMED_S
        if not fresh or own.lost or own.leaving:
            return False
        if self._foreign.get(machine, 0.0) > now_s:
            return False
        self._ordered[machine] = now_s
        return True

    # Views

    async def _read_machines(self) -> None:
        now_s = boot_time_s()
        busy = bool(self._moving or self._leaving or self._emptying)
        interval_s = TICK_S if busy else LIST_INTERVAL_S
        if self._machines and now_s - self._listed_at_s < interval_s:
            return
        machines = await self._client.list_machines()
        if machines is not None:
            self._machines = machines
            self._listed_at_s = now_s
            by_name = {machine.name: machine for machine in machines}
            for name, (move, at_s) in list(self._moving.items()):
                machine = by_name.get(name)
                arrived = (
                    machine is not None
                    and machine.pool == move.target
                    and machine.state == STATE_UP
                    and now_s - at_s > self._migrate_s
                )
                if machine is None or arrived:
                    del self._moving[name]

    async def _read_cells(self) -> None:
        """Ask every owner for its load, and tell it which workers are wanted."""
        wanted = {move.worker_id for move in self._leaving.values()}
        wanted |= set(self._emptying.values())
        now_s = boot_time_s()
        self._ended = {w: s for w, s in self._ended.items() if s > now_s}
        wanted |= set(self._ended)
        cells = sorted(self._configuration.services)
        async with anyio.create_task_group() as tasks:
            for cell in cells:
                tasks.start_soon(self._read_cell, cell, sorted(wanted))

    async def _read_cell(self, cell: str, wanted: list[str]) -> None:
        owner = self._directory.owner_of(cell)
        self._reports.pop(cell, None)
        arriving = sum(move.target == cell for move, _ in self._moving.values())
        argument = [cell, wanted, arriving]
        if owner is None:
            return
        if owner == self._mesh.name:
            reply = await self._report_cell(owner, argument)
        else:
            reply = await self._mesh.call(owner, CAPACITY_CALL, argument)
        if reply is None:
            log_event(Event.MAINTENANCE_WAITS, cell=cell, reason="owner silent")
            return
        used, waiting, arriving_milli, workers = reply
        report = CellReport(used, waiting, arriving_milli, {})
        for worker_id, tasks, used_milli, idle_ms, usable in workers:
            report.workers[worker_id] = WorkerReport(tasks, used_milli, idle_ms, usable)
        self._reports[cell] = report

    async def _report_cell(self, _peer: str, argument: Any) -> Any:
        cell, reserve, arriving = argument
        own = self._directory.owned.get(cell)
        if own is None or own.leaving:
            return None
        now_s = boot_time_s()
        own.state.reserve(reserve, now_s)
        if reserve:
            own.wake()
        if arriving:
            self._on_arrivals()
        load = own.state.load(now_s, wall_time_ms())
        return [
            load.used_milli,
            load.waiting_milli_s,
            load.arriving_milli,
            [
                [w.worker_id, w.tasks, w.used_milli, w.idle_ms, w.usable]
                for w in load.workers
            ],
        ]

    def _standby_pools(self) -> set[str]:
        config = self._configuration.current
        return {p.name for p in config.pools.values() if p.standby} if config else set()

    def _worker_report(self, machine: Machine) -> WorkerReport | None:
        report = self._reports.get(machine.pool)
        return report.workers.get(machine.worker_id) if report else None

    def _is_empty(self, machine: Machine, standby: set[str]) -> bool:
        """Return whether an order for a VM ends nothing."""
        if machine.pool in standby:
            return True
        report = self._worker_report(machine)
        return report is not None and report.tasks == 0 and not report.usable

    # Waves

    async def _maintain(self, own: CellOwner) -> None:
        by_name = {machine.name: machine for machine in self._machines}
        standby = self._standby_pools()
        emptying: dict[str, str] = {}
        for key, wave in list(self._configuration.waves.items()):
            progress = self._waves.setdefault(key, WaveProgress(wall_time_ms()))
            if progress.completed:
                continue
            if not progress.announced:
                progress.announced = await self._announce(wave, completed=False)
            chosen = self._choose(wave, progress, by_name, standby)
            emptying |= {name: by_name[name].worker_id for name in chosen}
            for name in chosen:
                if self._under_way(wave, progress, by_name) >= wave.cap:
                    break
                machine = by_name[name]
                if name in self._moving or not self._is_empty(machine, standby):
                    continue
                if machine.pool not in standby and name not in self._emptying:
                    # The owner has to hear of the reservation first.
                    continue
                await self._maintain_vm(own, wave, progress, machine)
            await self._store_wave(own, key, wave, progress, by_name)
        self._emptying = {n: w for n, w in emptying.items() if n in by_name}

    def _under_way(
        self, wave: Wave, progress: WaveProgress, by_name: dict[str, Machine]
    ) -> int:
        states = {n: by_name[n].state for n in wave.machines if n in by_name}
        lasting_s = self._maintenance_s + MARGIN_S
        return count_under_way(states, progress.ordered_s, boot_time_s(), lasting_s)

    def _choose(
        self,
        wave: Wave,
        progress: WaveProgress,
        by_name: dict[str, Machine],
        standby: set[str],
    ) -> list[str]:
        left = []
        for name in wave.machines:
            machine = by_name.get(name)
            if machine is None or name in progress.done:
                continue
            report = self._worker_report(machine)
            left.append(
                WaveVm(
                    name,
                    machine.pool,
                    machine.state == STATE_UP and name not in self._moving,
                    machine.pool in standby,
                    report.tasks if report else 0,
                    machine.cpu_milli,
                )
            )
        rooms = {}
        for cell, report_of_cell in self._reports.items():
            capacity = sum(
                m.cpu_milli
                for m in self._machines
                if m.pool == cell
                and m.name not in self._emptying
                and m.state == STATE_UP
            )
            demand = report_of_cell.used_milli + report_of_cell.waiting_milli_s
            rooms[cell] = PoolRoom(capacity, demand)
        elapsed_s = (wall_time_ms() - progress.started_ms) / 1000
        return choose_vms(
            left,
            set(self._emptying),
            self._under_way(wave, progress, by_name),
            wave.cap,
            rooms,
            wave.duration_s - elapsed_s,
        )

    async def _maintain_vm(
        self, own: CellOwner, wave: Wave, progress: WaveProgress, machine: Machine
    ) -> None:
        if not await self._store_orders(own, [machine.name]):
            return
        if not self._may_order(own, machine.name):
            return
        # Counted as down from now on, also when the answer is lost.
        progress.ordered_s[machine.name] = boot_time_s()
        answer = await self._client.maintain(machine.name, wave.number, own.epoch)
        if answer not in (MachineAnswer.DONE, MachineAnswer.UNKNOWN):
            progress.ordered_s.pop(machine.name, None)
        if answer in (MachineAnswer.DONE, MachineAnswer.UNKNOWN):
            self._ended[machine.worker_id] = boot_time_s() + ENTRY_LAPSE_S
        if answer == MachineAnswer.DONE:
            progress.done.add(machine.name)
            log_event(Event.VM_MAINTAINED, vm=machine.name, wave=wave.number)
        else:
            log_event(
                Event.VM_ORDER_FAILED,
                vm=machine.name,
                wave=wave.number,
                answer=answer.value,
            )

    async def _store_wave(
        self,
        own: CellOwner,
        key: str,
        wave: Wave,
        progress: WaveProgress,
        by_name: dict[str, Machine],
    ) -> None:
        """Store the progress of a wave, and say so when it is completed."""
        left = [n for n in wave.machines if n in by_name and n not in progress.done]
        finished = not left and bool(self._machines)
        if finished and not progress.completed:
            progress.completed = await self._announce(wave, completed=True)
            if progress.completed:
                log_event(Event.MAINTENANCE_COMPLETED, wave=wave.number)
                progress.stored = -1
        if progress.stored == len(progress.done):
            return
        row = RowId(DUTY_TABLE, FLEET_CELL, key)
        value = [progress.started_ms, sorted(progress.done), progress.completed]
        outcome = await self._store.transact(
            {own.guard: own.guard_version}, {row: bytes(msgpack.packb(value))}
        )
        if isinstance(outcome, Committed):
            progress.stored = len(progress.done)

    async def _announce(self, wave: Wave, completed: bool) -> bool:
        row = RowId(STATUS_TABLE, "", f"wave/{wave.number}")
        value = encode_wave_status(completed)
        found = await self._store.read_row(row)
        if found is not None and (found.value == value or not completed):
            return True
        version = found.version if found else 0
        outcome = await self._store.transact({row: version}, {row: value})
        return isinstance(outcome, Committed)

    # Moves

    async def _resize(self, own: CellOwner) -> None:
        standby = sorted(self._standby_pools())
        if not standby:
            return
        now_s = boot_time_s()
        pools, spares = self._pool_states(standby, now_s)
        if now_s - self._sizes_logged_at_s >= SIZES_LOG_INTERVAL_S:
            self._sizes_logged_at_s = now_s
            sizes = {p.name: [len(p.vms), p.arriving, p.demand_milli] for p in pools}
            log_event(Event.POOL_SIZES, pools=sizes, spares=len(spares))
        planned = plan_moves(pools, standby[0], spares)
        # Reservations that no plan wants any more are dropped.
        ready = []
        leaving: dict[str, Move] = {}
        by_name = {machine.name: machine for machine in self._machines}
        for move in planned:
            machine = by_name[move.machine]
            empty = self._is_empty(machine, set(standby))
            if empty and (move.source in standby or move.machine in self._leaving):
                ready.append(move)
            else:
                leaving[move.machine] = move
        self._leaving = leaving
        await self._order_moves(own, ready)

    async def _order_moves(self, own: CellOwner, moves: list[Move]) -> None:
        now_s = boot_time_s()
        moves = [m for m in moves if self._foreign.get(m.machine, 0.0) <= now_s]
        if not moves or not await self._store_orders(own, [m.machine for m in moves]):
            return
        async with anyio.create_task_group() as tasks:
            for move in moves:
                tasks.start_soon(self._move, own, move)

    def _pool_states(
        self, standby: list[str], now_s: float
    ) -> tuple[list[PoolState], list[PoolVm]]:
        pools: dict[str, PoolState] = {}
        for cell in self._reports:
            if cell not in standby:
                pools[cell] = PoolState(cell, 0)
        for move, _ in self._moving.values():
            if move.target in pools:
                pools[move.target].arriving += 1
        spares = []
        for machine in self._machines:
            if machine.name in self._moving:
                continue
            busy = machine.name in self._emptying or machine.state != STATE_UP
            if machine.pool in standby:
                spares.append(
                    PoolVm(machine.name, "", machine.cpu_milli, 0, 0, not busy)
                )
            elif machine.pool in pools:
                found = self._worker_report(machine)
                if machine.state != STATE_UP or found is None:
                    continue
                vm = PoolVm(
                    machine.name,
                    machine.worker_id,
                    machine.cpu_milli,
                    found.tasks,
                    found.idle_ms,
                    not busy,
                )
                pools[machine.pool].vms.append(vm)
        for cell, pool in pools.items():
            report = self._reports[cell]
            demand_milli = forecast_demand(
                report.used_milli,
                report.waiting_milli_s,
                report.arriving_milli,
                pool.capacity_milli,
                self._migrate_s,
            )
            meter = self._meters.setdefault(cell, DemandMeter())
            pool.demand_milli = meter.note(demand_milli, now_s)
        return list(pools.values()), spares

    async def _move(self, own: CellOwner, move: Move) -> None:
        if not self._may_order(own, move.machine):
            return
        self._moving[move.machine] = (move, boot_time_s())
        if move.worker_id:
            self._ended[move.worker_id] = boot_time_s() + ENTRY_LAPSE_S
        answer = await self._client.move(move.machine, move.target, own.epoch)
        if answer == MachineAnswer.DONE:
            log_event(
                Event.VM_MOVED,
                vm=move.machine,
                source=move.source,
                target=move.target,
            )
            return
        if answer != MachineAnswer.UNKNOWN:
            self._moving.pop(move.machine, None)
            self._ended.pop(move.worker_id, None)
        log_event(
            Event.VM_ORDER_FAILED,
            vm=move.machine,
            target=move.target,
            answer=answer.value,
        )
