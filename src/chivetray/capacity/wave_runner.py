"""Carries out maintenance waves, for the holder of VM orders."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

import msgpack

from chivetray.capacity.maintenance import (
    PoolRoom,
    WaveVm,
    choose_vms,
    count_under_way,
)
from chivetray.capacity.order_book import (
    DUTY_TABLE,
    FLEET_CELL,
    MARGIN_S,
    ORDERS_ROW,
    OrderBook,
)
from chivetray.capacity.reports import CellReports
from chivetray.cells.configuration import Configuration
from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.platform.entries import STATUS_TABLE, Wave, encode_wave_status
from chivetray.platform.machines import (
    Machine,
    MachineAnswer,
    MachineClient,
    MachineState,
)
from chivetray.platform.store import Committed, Row, RowId, Store

# Time after which a worker that has ended is listed no more: three heartbeats and a
# reading of the list.
ENTRY_LAPSE_S = 6.0


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


class WaveRunner:
    """Progress of all waves and the orders for their VMs.

    :ivar emptying: VMs that are being emptied for their maintenance, with their workers
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        machines: MachineClient,
        orders: OrderBook,
        reports: CellReports,
        maintenance_s: float,
    ):
        self.emptying: dict[str, str] = {}
        self._store = store
        self._configuration = configuration
        self._client = machines
        self._orders = orders
        self._reports = reports
        self._maintenance_s = maintenance_s
        self._ended: dict[str, float] = {}
        self._waves: dict[str, WaveProgress] = {}

    def restore(self, rows: Iterable[Row]) -> None:
        """Take over the progress that an earlier holder stored."""
        self.emptying.clear()
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

    def ended_workers(self) -> set[str]:
        """Return the workers of VMs that were taken down, which are still listed."""
        now_s = boot_time_s()
        self._ended = {w: s for w, s in self._ended.items() if s > now_s}
        return set(self._ended)

    async def maintain(
        self,
        own: CellOwner,
        by_name: dict[str, Machine],
        standby: set[str],
        moving: Container[str],
    ) -> None:
        """Give the orders of a round.

        :param by_name: all VMs
        :param standby: pools in which nothing runs
        :param moving: VMs that are on their way to another pool
        """
        emptying: dict[str, str] = {}
        for key, wave in list(self._configuration.waves.items()):
            progress = self._waves.setdefault(key, WaveProgress(wall_time_ms()))
            if progress.completed:
                continue
            if not progress.announced:
                progress.announced = await self._announce(wave, completed=False)
            chosen = self._choose(wave, progress, by_name, standby, moving)
            emptying |= {name: by_name[name].worker_id for name in chosen}
            for name in chosen:
                if self._under_way(wave, progress, by_name) >= wave.cap:
                    break
                machine = by_name[name]
                if name in moving or not self._reports.is_empty(machine, standby):
                    continue
                if machine.pool not in standby and name not in self.emptying:
                    # The owner has to hear of the reservation first.
                    continue
                await self._maintain_vm(own, wave, progress, machine)
            await self._store_wave(own, key, wave, progress, by_name)
        self.emptying = {n: w for n, w in emptying.items() if n in by_name}

    def _under_way(
        self, wave: Wave, progress: WaveProgress, by_name: dict[str, Machine]
    ) -> int:
        states = {n: by_name[n].state for n in wave.machines if n in by_name}
        now_s = boot_time_s()
        # What an earlier holder ordered a moment ago need not show in the list yet.
        foreign_s = {n: now_s for n in states if not self._orders.is_free(n)}
        ordered_s = {**progress.ordered_s, **foreign_s}
        lasting_s = self._maintenance_s + MARGIN_S
        return count_under_way(states, ordered_s, now_s, lasting_s)

    def _choose(
        self,
        wave: Wave,
        progress: WaveProgress,
        by_name: dict[str, Machine],
        standby: set[str],
        moving: Container[str],
    ) -> list[str]:
        left = []
        for name in wave.machines:
            machine = by_name.get(name)
            if machine is None or name in progress.done:
                continue
            report = self._reports.worker(machine)
            up = machine.state == MachineState.UP and name not in moving
            left.append(
                WaveVm(
                    name,
                    machine.pool,
                    up and self._orders.is_free(name),
                    machine.pool in standby,
                    report.tasks if report else 0,
                    machine.cpu_milli,
                )
            )
        rooms = {}
        for cell, report_of_cell in self._reports.cells.items():
            capacity = sum(
                m.cpu_milli
                for m in by_name.values()
                if m.pool == cell
                and m.name not in self.emptying
                and m.state == MachineState.UP
            )
            demand = report_of_cell.used_milli + report_of_cell.waiting_milli_s
            rooms[cell] = PoolRoom(capacity, demand)
        elapsed_s = (wall_time_ms() - progress.started_ms) / 1000
        return choose_vms(
            left,
            set(self.emptying),
            self._under_way(wave, progress, by_name),
            wave.cap,
            rooms,
            wave.duration_s - elapsed_s,
        )

    async def _maintain_vm(
        self, own: CellOwner, wave: Wave, progress: WaveProgress, machine: Machine
    ) -> None:
        if not await self._orders.store(own, [machine.name]):
            return
        if not self._orders.may_order(own, machine.name):
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
        finished = not left and bool(by_name)
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
