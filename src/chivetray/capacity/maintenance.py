"""Choice of the VMs that a maintenance wave empties next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from chivetray.capacity.wave_waits import WaitReason
from chivetray.platform.vm_api import PlatformVmState

# Time between the end of a maintenance and the next one in the same slot of the cap:
# the margin of the maintenance, the age of the list of VMs and a round of orders.
SLOT_TURNOVER_S = 0.8

# Shortest time assumed for emptying a VM with tasks: the run time of a small task.
MIN_EMPTYING_S = 1.0

# Longest time for which tasks run on a reserved worker, and for which they are stopped:
# `EVACUATION_GRACE_S` of `cells.evacuation` and a stop order.
MAX_EMPTYING_S = 7.0

# Time to move a long-running task: a stop, a start elsewhere and the time until it is
# at work, with a report on each.
LONG_RUNNING_MOVE_S = 2.0

# The plan ends a wave this long before its end. A new holder of VM orders needs 1.5 s,
# and a task that runs seven times as long as expected is stopped after 6 s.
END_RESERVE_S = 4.0

# Time before the end of a maintenance at which the VM that is next in its slot begins
# to be emptied.
EMPTYING_LEAD_S = 1.5

# Time after which a VM that is not empty does not count as the next one in a slot.
STALLED_AFTER_S = 3.0

# VMs of a pool with long-running tasks that take no other tasks meanwhile. Few of these
# tasks may leave at a time, so that more VMs would serve nobody for long.
MAX_LASTING_PER_POOL = 2

# Share of a pool's cores that must stay unused while one of its VMs is emptied, unless
# the VM is due.
MIN_FREE_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class PendingVm:
    """A VM of a wave whose maintenance has not begun.

    :ivar up: whether the VM is up, so that the platform accepts an order for it
    :ivar standby: whether the VM is in a standby pool, where no tasks run
    :ivar long_running: number of its long-running tasks
    :ivar empties_in_s: expected time until its other tasks have ended
    :ivar requested: whether the VM is to move to another pool once it is empty
    :ivar obstacle: reason for which the VM cannot leave now, whatever its tasks
    :ivar empty: whether an order would interrupt no task now
    :ivar emptying_for_s: time since it was chosen
    """

    machine: str
    pool: str
    up: bool
    standby: bool
    tasks: int
    cpu_milli: int
    long_running: int = 0
    empties_in_s: float = 0.0
    requested: bool = False
    obstacle: WaitReason | None = None
    empty: bool = False
    emptying_for_s: float = 0.0

    @property
    def emptying_s(self) -> float:
        """Expected time from the reservation of the VM until it is empty."""
        if self.standby or not self.tasks:
            return 0.0
        short_s = min(max(self.empties_in_s, MIN_EMPTYING_S), MAX_EMPTYING_S)
        return max(short_s, self.long_running * LONG_RUNNING_MOVE_S)

    @property
    def is_stalled(self) -> bool:
        """Whether it is unknown when the VM will be empty.

        Such a VM keeps its reservation, but no slot of the cap.
        """
        if self.obstacle is not None:
            return True
        if self.empty:
            return False
        return self.long_running > 0 or self.emptying_for_s > STALLED_AFTER_S


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Capacity of a pool without the VMs that are being emptied, and its demand."""

    capacity_milli: int
    demand_milli: int


@dataclass(frozen=True, slots=True)
class WavePlan:
    """VMs to empty, and what the others wait for.

    :ivar vms: VMs to empty now, including those that are being emptied already
    :ivar due: VMs that must begin now if the wave is to end in time
    :ivar waits: what each VM waits for that is not empty
    """

    vms: list[str] = field(default_factory=list)
    due: set[str] = field(default_factory=set)
    waits: dict[str, WaitReason] = field(default_factory=dict)


def find_vms_under_way(
    states: dict[str, PlatformVmState],
    ordered_at_s: dict[str, float],
    now_s: float,
    maintenance_s: float,
) -> set[str]:
    """Return the VMs of a wave that are or may be down for maintenance.

    An unanswered order counts as carried out.

    :param states: state of each VM of the wave in the platform's list
    :param ordered_at_s: latest time at which the last order for a VM may have been
        carried out, for each VM that got one
    :param maintenance_s: duration of a maintenance, including a margin
    """
    under_way = set()
    for machine, state in states.items():
        recent = now_s - ordered_at_s.get(machine, -maintenance_s) < maintenance_s
        ordered_down = machine in ordered_at_s and state != PlatformVmState.UP
        if recent or ordered_down or state == PlatformVmState.MAINTENANCE:
            under_way.add(machine)
    return under_way


def find_due_vms(
    pending: Iterable[PendingVm],
    max_down: int,
    time_left_s: float,
    maintenance_s: float,
) -> set[str]:
    """Return the VMs that must begin now if the wave is to end in time.

    Counts backwards from the end of the wave: the VMs that are emptied fastest begin
    last, ``max_down`` of them at once.
    """
    slot_s = maintenance_s + SLOT_TURNOVER_S
    last_first = sorted(pending, key=lambda vm: (vm.emptying_s, vm.machine))
    due = set()
    for position, vm in enumerate(last_first):
        slots_left = position // max(1, max_down) + 1
        needed_s = vm.emptying_s + slots_left * slot_s + END_RESERVE_S
        if time_left_s < needed_s:
            due.add(vm.machine)
    return due


def plan_wave(
    pending: Iterable[PendingVm],
    chosen: set[str],
    under_way: set[str],
    max_down: int,
    pool_capacities: Mapping[str, PoolCapacity],
    time_left_s: float,
    maintenance_s: float = 2.0,
    ending_soon: int = 0,
) -> WavePlan:
    """Return the VMs to empty now.

    VMs that are due come first, those that take longest before the others. VMs of the
    standby pool and idle VMs fill the slots that are free at this moment. Other VMs are
    emptied ahead of their slot if their pool can do without them.

    :param pending: VMs of the wave whose maintenance has not begun
    :param chosen: VMs that are being emptied
    :param under_way: VMs of the wave that are or may be down for maintenance
    :param max_down: number of VMs of the wave that may be down at once
    :param pool_capacities: capacity and demand by pool
    :param time_left_s: time until the wave should be complete
    :param ending_soon: number of maintenances that end within ``EMPTYING_LEAD_S``
    """
    pending = list(pending)
    plan = WavePlan(due=find_due_vms(pending, max_down, time_left_s, maintenance_s))
    candidates = []
    kept = []
    for vm in pending:
        if not vm.up:
            plan.waits[vm.machine] = vm.obstacle or WaitReason.DOWN
        elif vm.machine in chosen:
            kept.append(vm)
        elif vm.requested and vm.machine not in plan.due:
            plan.waits[vm.machine] = WaitReason.REQUESTED
        elif vm.obstacle in (WaitReason.UNKNOWN, WaitReason.ORDER_OPEN):
            plan.waits[vm.machine] = vm.obstacle
        else:
            candidates.append(vm)
    choice = _Choice(plan, pool_capacities)
    for vm in kept:
        choice.keep(vm)
    holding = {vm.machine for vm in kept if not vm.is_stalled}
    ready = {vm.machine for vm in kept if vm.empty and vm.obstacle is None}
    free_slots = max_down - len(under_way | ready)
    slots_ahead = max_down - len(under_way | holding) + ending_soon
    lasting = Counter(vm.pool for vm in kept if vm.long_running)
    peaks = {n for n in pool_capacities if choice.free_milli[n] < 0}
    for vm in sorted(candidates, key=lambda vm: _due_order(vm, peaks)):
        if vm.machine not in plan.due or vm.emptying_s == 0:
            continue
        if vm.long_running:
            if lasting[vm.pool] < MAX_LASTING_PER_POOL:
                lasting[vm.pool] += 1
                choice.add(vm)
        elif vm.is_stalled:
            choice.add(vm)
        elif slots_ahead > 0:
            choice.add(vm)
            slots_ahead -= 1
    for vm in sorted(candidates, key=lambda vm: (not vm.standby, vm.machine)):
        is_instant = vm.emptying_s == 0 and (vm.is_stalled or free_slots > 0)
        if is_instant and choice.add(vm) and not vm.is_stalled:
            free_slots -= 1
            slots_ahead -= 1
    for vm in sorted(candidates, key=lambda vm: (vm.emptying_s, vm.machine)):
        # Long-running tasks leave a VM of a wave before it is reserved.
        if vm.emptying_s == 0 or vm.long_running or slots_ahead <= 0:
            continue
        if choice.add(vm) and not vm.is_stalled:
            slots_ahead -= 1
    for vm in candidates:
        if vm.machine not in plan.waits and vm.machine not in choice.added:
            reason = WaitReason.LONG_RUNNING if vm.long_running else WaitReason.CAP
            plan.waits[vm.machine] = vm.obstacle or reason
    return plan


class _Choice:
    """Choice of VMs in one round, within the capacity of their pools."""

    def __init__(self, plan: WavePlan, pool_capacities: Mapping[str, PoolCapacity]):
        self.added: set[str] = set()
        self.free_milli = {
            name: pool.capacity_milli * (1 - MIN_FREE_SHARE) - pool.demand_milli
            for name, pool in pool_capacities.items()
        }
        self._plan = plan

    def keep(self, vm: PendingVm) -> None:
        """Keep a VM that is being emptied, and note what it waits for."""
        self._plan.vms.append(vm.machine)
        self.added.add(vm.machine)
        if vm.obstacle is not None:
            self._plan.waits[vm.machine] = vm.obstacle
        elif not vm.empty:
            reason = WaitReason.LONG_RUNNING if vm.long_running else WaitReason.BUSY
            self._plan.waits[vm.machine] = reason

    def add(self, vm: PendingVm) -> bool:
        """Choose a VM if its pool can do without it, or if it is due."""
        if vm.machine in self.added:
            return False
        if not vm.standby:
            is_free = self.free_milli.get(vm.pool, 0.0) >= vm.cpu_milli
            if not is_free and vm.machine not in self._plan.due:
                self._plan.waits[vm.machine] = vm.obstacle or WaitReason.CAPACITY
                return False
            if vm.pool in self.free_milli:
                self.free_milli[vm.pool] -= vm.cpu_milli
        self.keep(vm)
        return True


def _due_order(vm: PendingVm, peaks: set[str]) -> tuple[bool, float, str]:
    """Sort key of VMs that are due: those of pools with a peak last, slowest first."""
    return (vm.pool in peaks, -vm.emptying_s, vm.machine)
