"""Carries out maintenance waves, in the holder of the fleet duty."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Container, Iterable

import msgpack

from chivetray.capacity.maintenance import (
    EMPTYING_LEAD_S,
    WavePlan,
    find_vms_under_way,
    plan_wave,
)
from chivetray.capacity.moves import WORKER_UNLISTED_AFTER_S
from chivetray.capacity.recent_orders import (
    DUTY_TABLE,
    FLEET_CELL,
    ORDERS_ROW,
    TIME_MARGIN_S,
    RecentOrders,
)
from chivetray.capacity.reports import CellReports
from chivetray.capacity.wave_inputs import describe_vm, measure_pools
from chivetray.capacity.wave_progress import MaintenanceOrder, WaveProgress
from chivetray.capacity.wave_waits import WaitReason
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

# Time for which a VM whose order was refused gets none. The platform refuses orders for
# a VM that moves, and the list that shows it may be 0.3 s old.
REFUSED_ORDER_PAUSE_S = 0.6


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
        self._awaiting: set[str] = set()
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
        return vm in self.emptying or any(
            progress.has_open_order(vm) for progress in self._progress_by_key.values()
        )

    def awaits(self, vm: str) -> bool:
        """Return whether a wave has still to take a VM down."""
        return vm in self._awaiting

    def plan(
        self,
        by_name: dict[str, PlatformVm],
        standby: set[str],
        moving: Container[str],
        requested: Container[str] = (),
        listed_at_s: float = math.inf,
    ) -> list[MaintenanceOrder]:
        """Return the maintenance orders of one round.

        Their VMs count as down from now on.

        :param by_name: all VMs
        :param standby: pools in which no tasks run
        :param moving: VMs that are or may be on their way to another pool
        :param requested: VMs that will move to another pool once they are empty; one
            that is due is taken for the wave
        :param listed_at_s: time at which the list of VMs was requested
        """
        self._by_name, self._standby = by_name, standby
        emptying: dict[str, str] = {}
        awaiting: defaultdict[str, list[str]] = defaultdict(list)
        self._awaiting = set()
        orders = []
        self._settle_orders(by_name, listed_at_s)
        for key, wave in list(self._configuration.waves.items()):
            progress = self._progress_by_key.setdefault(
                key, WaveProgress(wall_time_ms())
            )
            if progress.completed:
                continue
            plan = self._plan_wave(wave, progress, moving, requested)
            emptying |= {name: by_name[name].worker_id for name in plan.vms}
            for name in plan.vms:
                if name not in plan.waits:
                    order = self._decide_order(wave, progress, by_name[name], plan)
                    orders += [order] if order else []
            for name in wave.machines:
                vm = by_name.get(name)
                if vm is None or name in progress.done:
                    continue
                self._awaiting.add(name)
                if vm.worker_id:
                    awaiting[vm.pool].append(vm.worker_id)
            self._record_waits(wave, progress, plan)
        self.emptying = {n: w for n, w in emptying.items() if n in by_name}
        self._reports.awaiting_maintenance = dict(awaiting)
        return orders

    def _settle_orders(
        self, by_name: dict[str, PlatformVm], listed_at_s: float
    ) -> None:
        """Settle the orders of all waves of which the list of VMs shows an effect."""
        now_s, longest_s = boot_time_s(), self._maintenance_s + TIME_MARGIN_S
        for key, progress in self._progress_by_key.items():
            wave = self._configuration.waves.get(key)
            if wave is None:
                # The wave was withdrawn: its orders are not repeated.
                progress.unanswered.clear()
            else:
                others = self._ordered_for_others(progress)
                progress.settle_orders(by_name, others, wave.number)
            progress.end_maintenances(by_name, listed_at_s, now_s, longest_s)

    def _ordered_for_others(self, progress: WaveProgress) -> set[str]:
        """Return the VMs with an open order of another wave."""
        return {
            vm
            for other in self._progress_by_key.values()
            if other is not progress
            for vm in (*other.unanswered, *other.ordered_at_s)
        }

    def _decide_order(
        self, wave: Wave, progress: WaveProgress, vm: PlatformVm, plan: WavePlan
    ) -> MaintenanceOrder | None:
        """Return the order for a VM, or note what it waits for."""
        if len(self._find_under_way(wave, progress) | {vm.name}) > wave.cap:
            plan.waits[vm.name] = WaitReason.CAP
            return None
        is_reserved = vm.pool in self._standby or vm.name in self.emptying
        if not is_reserved or not self._reports.is_empty(vm, self._standby):
            # The owner must learn of the reservation first.
            plan.waits[vm.name] = WaitReason.BUSY
            return None
        progress.ordered_at_s[vm.name] = boot_time_s()
        basis = self._reports.basis(vm.pool, vm.worker_id)
        return MaintenanceOrder(wave, progress, vm, basis)

    def _record_waits(self, wave: Wave, progress: WaveProgress, plan: WavePlan) -> None:
        """Record what VMs wait for, and log those that are late."""
        now_s = boot_time_s()
        under_way = self._find_under_way(wave, progress)
        waits = plan.waits | dict.fromkeys(under_way, WaitReason.MAINTENANCE)
        progress.waits.record(waits, now_s)
        late_s = -self._time_left_s(wave, progress)
        if late_s > 0:
            left = [
                name
                for name in wave.machines
                if name in self._by_name
                and (name not in progress.done or name in under_way)
            ]
            progress.waits.log_late(wave.number, left, late_s)

    @staticmethod
    def _time_left_s(wave: Wave, progress: WaveProgress) -> float:
        return wave.duration_s - (wall_time_ms() - progress.started_ms) / 1000

    def _find_under_way(self, wave: Wave, progress: WaveProgress) -> set[str]:
        by_name = self._by_name
        states = {n: by_name[n].state for n in wave.machines if n in by_name}
        now_s = boot_time_s()
        # The list may not yet show the effect of an earlier holder's last orders.
        inherited_at_s = {n: now_s for n in states if not self._orders.is_unblocked(n)}
        ordered_at_s = {**progress.ordered_at_s, **inherited_at_s}
        maintenance_s = self._maintenance_s + TIME_MARGIN_S
        return find_vms_under_way(states, ordered_at_s, now_s, maintenance_s)

    def _plan_wave(
        self,
        wave: Wave,
        progress: WaveProgress,
        moving: Container[str],
        requested: Container[str],
    ) -> WavePlan:
        now_s = boot_time_s()
        pending = []
        # The platform takes a VM down for one wave at a time, and without an answer
        # nothing tells for which one.
        ordered_for_others = self._ordered_for_others(progress)
        for name in wave.machines:
            vm = self._by_name.get(name)
            if vm is None or name in progress.done:
                continue
            obstacle = None
            refused_at_s = progress.refused_at_s.get(name, -math.inf)
            if name in moving or vm.state == PlatformVmState.MOVING:
                obstacle = WaitReason.MOVING
            elif (
                not self._orders.is_unblocked(name)
                or name in ordered_for_others
                or now_s - refused_at_s < REFUSED_ORDER_PAUSE_S
            ):
                obstacle = WaitReason.ORDER_OPEN
            pending.append(
                describe_vm(
                    vm,
                    self._reports,
                    self._standby,
                    obstacle,
                    name in requested,
                    now_s - progress.chosen_at_s.get(name, now_s),
                )
            )
        under_way = self._find_under_way(wave, progress)
        began_before_s = now_s - self._maintenance_s + EMPTYING_LEAD_S
        plan = plan_wave(
            pending,
            set(self.emptying),
            under_way,
            wave.cap,
            measure_pools(self._reports.cells, self._by_name, self.emptying),
            self._time_left_s(wave, progress),
            self._maintenance_s,
            sum(
                progress.ordered_at_s.get(name, math.inf) < began_before_s
                for name in under_way
            ),
        )
        chosen_at_s = progress.chosen_at_s
        progress.chosen_at_s = {n: chosen_at_s.get(n, now_s) for n in plan.vms}
        return plan

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
        elif answer in (VmOrderOutcome.NOT_IN_WAVE, VmOrderOutcome.IMPOSSIBLE):
            # No earlier order can have been carried out either.
            progress.unanswered.discard(name)
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
            if answer != VmOrderOutcome.UNKNOWN:
                progress.refused_at_s[name] = boot_time_s()
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
