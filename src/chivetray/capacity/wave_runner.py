"""Carries out maintenance waves, in the holder of the fleet duty."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

import msgpack

from chivetray.capacity.maintenance import (
    PendingVm,
    PoolCapacity,
    choose_vms,
    find_vms_under_way,
)
from chivetray.capacity.moves import WORKER_UNLISTED_AFTER_S
from chivetray.capacity.recent_orders import (
    DUTY_TABLE,
    FLEET_CELL,
    ORDERS_ROW,
    TIME_MARGIN_S,
    RecentOrders,
)
from chivetray.capacity.reports import CellReports, OrderBasis
from chivetray.capacity.sizing import BACKLOG_DRAIN_S
from chivetray.cells.configuration import Configuration
from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.platform.store import Committed, Row, RowId, Store
from chivetray.platform.stored_records import STATUS_TABLE, Wave, encode_wave_status
from chivetray.platform.vm_api import (
    PlatformVm,
    PlatformVmClient,
    PlatformVmState,
    VmOrderOutcome,
)


@dataclass(slots=True)
class WaveProgress:
    """Progress of one wave.

    :ivar done: VMs whose maintenance the platform has accepted
    :ivar ordered_at_s: latest time at which this holder's last order for a VM may have
        been carried out, for each VM that got one
    :ivar unanswered: VMs whose order has no answer; it is sent again until it has one
        or the list of VMs shows its effect
    :ivar version: version of the stored row
    :ivar stored: size of ``done`` in the stored row, -1 if the row must be written
    :ivar announced: whether the status of the wave was published
    """

    started_ms: int
    done: set[str] = field(default_factory=set)
    ordered_at_s: dict[str, float] = field(default_factory=dict)
    unanswered: set[str] = field(default_factory=set)
    version: int = 0
    stored: int = -1
    completed: bool = False
    announced: bool = False


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """An order for one VM of a wave, and the report that it is decided on."""

    wave: Wave
    progress: WaveProgress
    vm: PlatformVm
    basis: OrderBasis


class WaveRunner:
    """Tracks the progress of all waves and gives the orders for their VMs.

    :ivar emptying: worker by VM, of the VMs that are being emptied for maintenance
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        machines: PlatformVmClient,
        orders: RecentOrders,
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
        self._by_name: dict[str, PlatformVm] = {}
        self._standby: set[str] = set()
        self._listed_until_s: dict[str, float] = {}
        self._progress_by_key: dict[str, WaveProgress] = {}

    def restore(self, rows: Iterable[Row]) -> None:
        """Restore the progress that an earlier holder stored."""
        self.emptying.clear()
        self._by_name = {}
        self._progress_by_key = {}
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
            self._progress_by_key[row.id.key] = progress

    def ended_workers(self) -> set[str]:
        """Return the workers of maintained VMs that may still be listed."""
        now_s = boot_time_s()
        self._listed_until_s = {
            w: s for w, s in self._listed_until_s.items() if s > now_s
        }
        return set(self._listed_until_s)

    def claims(self, vm: str) -> bool:
        """Return whether a VM is being emptied, or is or may be about to go down.

        The list of VMs may still show a VM as up after its order was accepted. A move
        that was decided on such a list would be answered ``busy``.
        """
        down_since_s = boot_time_s() - self._maintenance_s - TIME_MARGIN_S
        return vm in self.emptying or any(
            vm in progress.unanswered
            or progress.ordered_at_s.get(vm, -math.inf) > down_since_s
            for progress in self._progress_by_key.values()
        )

    def plan(
        self,
        by_name: dict[str, PlatformVm],
        standby: set[str],
        moving: Container[str],
    ) -> list[MaintenanceOrder]:
        """Return the maintenance orders of one round.

        Their VMs count as down from now on.

        :param by_name: all VMs
        :param standby: pools in which no tasks run
        :param moving: VMs that are or will be on their way to another pool
        """
        self._by_name, self._standby = by_name, standby
        emptying: dict[str, str] = {}
        orders = []
        for key, wave in list(self._configuration.waves.items()):
            progress = self._progress_by_key.setdefault(
                key, WaveProgress(wall_time_ms())
            )
            if progress.completed:
                continue
            _settle_orders(progress, by_name)
            chosen = self._choose_vms(wave, progress, by_name, standby, moving)
            emptying |= {name: by_name[name].worker_id for name in chosen}
            for name in chosen:
                under_way = self._find_under_way(wave, progress, by_name)
                if len(under_way | {name}) > wave.cap:
                    continue
                machine = by_name[name]
                if name in moving or not self._reports.is_empty(machine, standby):
                    continue
                if machine.pool not in standby and name not in self.emptying:
                    # The owner must learn of the reservation first.
                    continue
                progress.ordered_at_s[name] = boot_time_s()
                basis = self._reports.basis(machine.pool, machine.worker_id)
                orders.append(MaintenanceOrder(wave, progress, machine, basis))
        self.emptying = {n: w for n, w in emptying.items() if n in by_name}
        return orders

    def _find_under_way(
        self, wave: Wave, progress: WaveProgress, by_name: dict[str, PlatformVm]
    ) -> set[str]:
        states = {n: by_name[n].state for n in wave.machines if n in by_name}
        now_s = boot_time_s()
        # The list may not yet show the effect of an earlier holder's last orders.
        inherited_at_s = {n: now_s for n in states if not self._orders.is_unblocked(n)}
        ordered_at_s = {**progress.ordered_at_s, **inherited_at_s}
        maintenance_s = self._maintenance_s + TIME_MARGIN_S
        return find_vms_under_way(states, ordered_at_s, now_s, maintenance_s)

    def _choose_vms(
        self,
        wave: Wave,
        progress: WaveProgress,
        by_name: dict[str, PlatformVm],
        standby: set[str],
        moving: Container[str],
    ) -> list[str]:
        pending = []
        for name in wave.machines:
            machine = by_name.get(name)
            if machine is None or name in progress.done:
                continue
            report = self._reports.worker(machine)
            up = machine.state == PlatformVmState.UP and name not in moving
            pending.append(
                PendingVm(
                    name,
                    machine.pool,
                    up and self._orders.is_unblocked(name),
                    machine.pool in standby,
                    report.tasks if report else 0,
                    machine.cpu_milli,
                )
            )
        pool_capacities = {}
        for cell, cell_report in self._reports.cells.items():
            capacity = sum(
                m.cpu_milli
                for m in by_name.values()
                if m.pool == cell
                and m.name not in self.emptying
                and m.state == PlatformVmState.UP
            )
            waiting_milli = int(cell_report.waiting_milli_s / BACKLOG_DRAIN_S)
            demand = cell_report.used_milli + waiting_milli
            pool_capacities[cell] = PoolCapacity(capacity, demand)
        elapsed_s = (wall_time_ms() - progress.started_ms) / 1000
        return choose_vms(
            pending,
            set(self.emptying),
            self._find_under_way(wave, progress, by_name),
            wave.cap,
            pool_capacities,
            wave.duration_s - elapsed_s,
        )

    def withdraw(self, order: MaintenanceOrder) -> None:
        """Withdraw an order that was not sent."""
        if order.vm.name not in order.progress.unanswered:
            order.progress.ordered_at_s.pop(order.vm.name, None)

    async def send(self, owner: CellOwner, order: MaintenanceOrder) -> None:
        """Send an order that is stored."""
        wave, progress, machine = order.wave, order.progress, order.vm
        name = machine.name
        # Writing the order may have taken longer than the report stays valid.
        is_empty = self._reports.is_empty(machine, self._standby)
        if not is_empty or not self._orders.try_record_order(owner, name):
            self.withdraw(order)
            return
        order.basis.log_order(
            "maintenance",
            name,
            machine.worker_id,
            source=machine.pool,
            wave=wave.number,
            epoch=owner.epoch,
        )
        # The VM counts as down from now on, even if the answer is lost. The platform
        # may begin with its maintenance until the call has ended.
        progress.ordered_at_s[name] = boot_time_s()
        answer = await self._client.maintain(name, wave.number, owner.epoch)
        if answer == VmOrderOutcome.UNKNOWN:
            progress.unanswered.add(name)
        if answer == VmOrderOutcome.DONE or name in progress.unanswered:
            # A refusal tells nothing about an earlier order without an answer.
            progress.ordered_at_s[name] = boot_time_s()
            self._listed_until_s[machine.worker_id] = (
                boot_time_s() + WORKER_UNLISTED_AFTER_S
            )
        else:
            progress.ordered_at_s.pop(name, None)
        if answer == VmOrderOutcome.DONE:
            progress.done.add(name)
            progress.unanswered.discard(name)
            log_event(Event.VM_MAINTAINED, vm=name, wave=wave.number)
        else:
            log_event(
                Event.VM_ORDER_FAILED,
                vm=name,
                wave=wave.number,
                answer=answer.value,
            )

    async def store_progress(self, owner: CellOwner) -> None:
        """Store the progress of all waves, and publish their status.

        Orders do not wait for it: a later holder repeats those that are not stored,
        and the platform confirms them.

        :raises StoreUnavailableError: when the store does not answer
        """
        for key, wave in list(self._configuration.waves.items()):
            progress = self._progress_by_key.get(key)
            if progress is None:
                continue
            if not progress.announced:
                progress.announced = await self._publish_status(wave, completed=False)
            await self._store_wave(owner, key, wave, progress)

    async def _store_wave(
        self, owner: CellOwner, key: str, wave: Wave, progress: WaveProgress
    ) -> None:
        """Store the progress of a wave, and publish its completion."""
        by_name = self._by_name
        left = [n for n in wave.machines if n in by_name and n not in progress.done]
        if not left and by_name and not progress.completed:
            progress.completed = await self._publish_status(wave, completed=True)
            if progress.completed:
                log_event(Event.MAINTENANCE_COMPLETED, wave=wave.number)
                progress.stored = -1
        if progress.stored == len(progress.done):
            return
        row = RowId(DUTY_TABLE, FLEET_CELL, key)
        done = sorted(progress.done)
        value = [progress.started_ms, done, progress.completed]
        outcome = await owner.transact({row: bytes(msgpack.packb(value))})
        if isinstance(outcome, Committed):
            progress.stored = len(done)

    async def _publish_status(self, wave: Wave, completed: bool) -> bool:
        row = RowId(STATUS_TABLE, "", f"wave/{wave.number}")
        value = encode_wave_status(completed)
        found = await self._store.read_row(row)
        if found is not None and (found.value == value or not completed):
            return True
        version = found.version if found else 0
        outcome = await self._store.transact({row: version}, {row: value})
        return isinstance(outcome, Committed)


def _settle_orders(progress: WaveProgress, by_name: dict[str, PlatformVm]) -> None:
    """Count unanswered orders as accepted if a list of VMs shows their effect.

    A VM is up in the list that an order for it is decided on, so any list that shows it
    in maintenance is newer.
    """
    for name in list(progress.unanswered):
        vm = by_name.get(name)
        if vm is None:
            progress.unanswered.discard(name)
        elif vm.state == PlatformVmState.MAINTENANCE:
            progress.unanswered.discard(name)
            progress.done.add(name)
            log_event(Event.VM_MAINTAINED, vm=name, answered=False)
