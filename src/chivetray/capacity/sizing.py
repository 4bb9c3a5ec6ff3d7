"""Sizes of pools, and the VM moves that bring pools to them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

# Capacity beyond the demand that a pool should have, as a share of the demand.
HEADROOM_SHARE = 0.25

# VMs that a pool keeps without any demand. They serve the first second of a peak, until
# other VMs have arrived.
MIN_VMS = 2

# Time that a VM must be idle before it leaves its pool. A move costs about as much as
# one second of a VM in a pool.
IDLE_BEFORE_REMOVAL_MS = 250

# Time within which the backlog that remains when a VM arrives should be served. It is
# about the run time of a task; a VM does not help with work that ends sooner.
BACKLOG_DRAIN_S = 1.0

# Window over which the highest demand counts as the demand of a pool.
DEMAND_WINDOW_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool.

    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    :ivar movable: whether the VM may be moved; a wave or a move in progress prevents it
    """

    machine: str
    worker_id: str
    cpu_milli: int
    tasks: int
    idle_ms: int
    movable: bool


@dataclass(slots=True)
class PoolState:
    """A pool with its VMs and its demand.

    :ivar demand_milli: demand in thousandths of a core
    :ivar arriving: number of VMs that are on their way into the pool
    :ivar required_vms: number of VMs that the pool should have whatever its demand
    """

    name: str
    demand_milli: int
    vms: list[PoolVm] = field(default_factory=list)
    arriving: int = 0
    required_vms: int = 0

    @property
    def capacity_milli(self) -> int:
        """Mean capacity of the pool until a VM that is ordered now has arrived.

        VMs that are on their way are present for half of that time on average.
        """
        present = sum(vm.cpu_milli for vm in self.vms)
        vm_milli = present // len(self.vms) if self.vms else 0
        return present + self.arriving * vm_milli // 2


@dataclass(frozen=True, slots=True)
class Move:
    """A VM that is to change its pool."""

    machine: str
    worker_id: str
    source: str
    target: str


def forecast_demand(
    used_milli: int,
    waiting_milli_s: int,
    arriving_milli: int,
    capacity_milli: int,
    migrate_s: float,
) -> int:
    """Return the demand of a pool at the time when a VM ordered now has arrived.

    Work that waits now and is served by then needs no additional VM; the rest should be
    served within :data:`BACKLOG_DRAIN_S`. Values are in thousandths of a core or of a
    core-second.

    :param migrate_s: time that a VM takes to move to another pool
    """
    spare_milli = max(0, capacity_milli - arriving_milli)
    backlog_milli_s = max(0.0, waiting_milli_s - spare_milli * migrate_s)
    return int(max(used_milli, arriving_milli) + backlog_milli_s / BACKLOG_DRAIN_S)


def target_vm_count(demand_milli: int, vm_milli: int) -> int:
    """Return the number of VMs that a pool should have for a demand."""
    if vm_milli <= 0:
        return MIN_VMS
    needed = demand_milli * (1 + HEADROOM_SHARE) / vm_milli
    return max(MIN_VMS, int(needed + 0.999))


def plan_moves(
    pools: Iterable[PoolState], standby: str, spares: Iterable[PoolVm]
) -> list[Move]:
    """Return the moves that bring pools to their target sizes.

    Pools that lack VMs get spare VMs first, then idle VMs of pools with too many. Other
    idle VMs beyond a pool's target size move to the standby pool.

    :param standby: name of the standby pool
    :param spares: VMs in the standby pool
    """
    moves: list[Move] = []
    available = [vm for vm in spares if vm.movable]
    shortages: list[tuple[float, int, PoolState]] = []
    surplus: list[tuple[PoolVm, str]] = []
    for pool in pools:
        vm_sizes = [vm.cpu_milli for vm in pool.vms] or [
            vm.cpu_milli for vm in available
        ]
        vm_milli = sum(vm_sizes) // len(vm_sizes) if vm_sizes else 0
        target = max(target_vm_count(pool.demand_milli, vm_milli), pool.required_vms)
        missing = target - len(pool.vms) - pool.arriving
        if missing > 0:
            urgency = pool.demand_milli / max(1, len(pool.vms) * max(1, vm_milli))
            shortages.append((-urgency, missing, pool))
        elif missing < 0:
            idle = [
                vm
                for vm in pool.vms
                if vm.movable and not vm.tasks and vm.idle_ms >= IDLE_BEFORE_REMOVAL_MS
            ]
            idle.sort(key=lambda vm: -vm.idle_ms)
            surplus += [(vm, pool.name) for vm in idle[:-missing]]
    shortages.sort(key=lambda item: item[0])
    for _, missing, pool in shortages:
        for _ in range(missing):
            if available:
                vm = available.pop(0)
                moves.append(Move(vm.machine, vm.worker_id, standby, pool.name))
            elif surplus:
                vm, source = surplus.pop(0)
                moves.append(Move(vm.machine, vm.worker_id, source, pool.name))
    for vm, source in surplus:
        moves.append(Move(vm.machine, vm.worker_id, source, standby))
    return moves


class DemandMeter:
    """Highest recent demand of a pool, so that a short gap in demand moves no VM."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def record(self, demand_milli: int, now_s: float) -> int:
        """Record a demand and return the demand to plan for."""
        self._samples.append((now_s, demand_milli))
        self._samples = [s for s in self._samples if now_s - s[0] <= DEMAND_WINDOW_S]
        return max(demand for _, demand in self._samples)
