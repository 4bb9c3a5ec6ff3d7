"""Sizes of pools: which VMs move where."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

# Share of a pool's cores above what is used and waiting that is kept free.
HEADROOM = 0.25

# VMs that a pool keeps when nothing is asked of it. They serve the first second
# of a peak, until others have come.
LEAST_VMS = 2

# Time that a VM is idle before it leaves. A move costs as much as about one second
# of a VM in a pool.
IDLE_BEFORE_LEAVING_MS = 250

# Time in which what still waits when a VM comes is to be served: about the run time
# of a task, below which no VM helps.
DRAIN_S = 1.0

# Time for which the largest demand seen counts as the demand of a pool.
DEMAND_WINDOW_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool.

    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    :ivar free: whether the VM may be moved, which a wave or a move under way
        prevents
    """

    machine: str
    worker_id: str
    cpu_milli: int
    tasks: int
    idle_ms: int
    free: bool


@dataclass(slots=True)
class PoolState:
    """A pool with its demand.

    :ivar demand_milli: thousandths of a core that it should have
    :ivar arriving: VMs that are on their way into the pool
    """

    name: str
    demand_milli: int
    vms: list[PoolVm] = field(default_factory=list)
    arriving: int = 0

    @property
    def capacity_milli(self) -> int:
        """What the pool has on the average until a VM ordered now has come.

        VMs that are on their way are there for half of that time.
        """
        present = sum(vm.cpu_milli for vm in self.vms)
        size = present // len(self.vms) if self.vms else 0
        return present + self.arriving * size // 2


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
    """Return the demand of a pool when a VM ordered now has come.

    What waits now and is served until then needs no VM; the rest is to be served
    within :data:`DRAIN_S`. All are thousandths of a core, or of a core-second.

    :param migrate_s: time that a VM takes to change its pool
    """
    spare_milli = max(0, capacity_milli - arriving_milli)
    left_milli_s = max(0.0, waiting_milli_s - spare_milli * migrate_s)
    return int(max(used_milli, arriving_milli) + left_milli_s / DRAIN_S)


def wanted_vms(demand_milli: int, vm_milli: int) -> int:
    """Return the number of VMs that a pool should have."""
    if vm_milli <= 0:
        return LEAST_VMS
    needed = demand_milli * (1 + HEADROOM) / vm_milli
    return max(LEAST_VMS, int(needed + 0.999))


def plan_moves(
    pools: Iterable[PoolState], standby: str, spares: Iterable[PoolVm]
) -> list[Move]:
    """Return the moves that bring pools to the sizes that they should have.

    Pools that lack VMs get spares first, then idle VMs of pools with too many; what
    is idle beyond that leaves for the standby pool.

    :param spares: VMs in the standby pool
    """
    moves: list[Move] = []
    available = [vm for vm in spares if vm.free]
    short: list[tuple[float, int, PoolState]] = []
    surplus: list[tuple[PoolVm, str]] = []
    for pool in pools:
        sizes = [vm.cpu_milli for vm in pool.vms] or [vm.cpu_milli for vm in available]
        size = sum(sizes) // len(sizes) if sizes else 0
        missing = wanted_vms(pool.demand_milli, size) - len(pool.vms) - pool.arriving
        if missing > 0:
            urgency = pool.demand_milli / max(1, len(pool.vms) * max(1, size))
            short.append((-urgency, missing, pool))
        elif missing < 0:
            idle = [
                vm
                for vm in pool.vms
                if vm.free and not vm.tasks and vm.idle_ms >= IDLE_BEFORE_LEAVING_MS
            ]
            idle.sort(key=lambda vm: -vm.idle_ms)
            surplus += [(vm, pool.name) for vm in idle[:-missing]]
    short.sort(key=lambda item: item[0])
    for _, missing, pool in short:
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
    """The largest demand of the last moments, so that a short gap moves no VM."""

    def __init__(self) -> None:
        self._seen: list[tuple[float, int]] = []

    def note(self, demand_milli: int, now_s: float) -> int:
        """Record a demand and return the one to plan for."""
        self._seen.append((now_s, demand_milli))
        self._seen = [s for s in self._seen if now_s - s[0] <= DEMAND_WINDOW_S]
        return max(demand for _, demand in self._seen)
