"""Demand of pools, and how many VMs each of them should have."""

from __future__ import annotations

from dataclasses import dataclass, field

# Capacity beyond the demand that a pool should have, as a share of the demand.
HEADROOM_SHARE = 0.25

# VMs that a pool keeps without any demand. They serve the first second of a peak, until
# other VMs have arrived.
MIN_VMS = 2

# Time within which the backlog that remains when a VM arrives should be served. It is
# about the run time of a task; a VM does not help with work that ends sooner.
BACKLOG_DRAIN_S = 1.0

# The same for work whose objective cannot be met any more. It is finished, but on what
# other queues leave.
LATE_DRAIN_S = 4.0

# Window over which the highest demand counts as the demand of a pool.
DEMAND_WINDOW_S = 0.4


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool.

    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    :ivar movable: whether the VM may be moved; a wave or a move in progress prevents it
    :ivar empties_in_ms: expected time until its tasks have ended, ``None`` if one of
        them does not end
    """

    machine: str
    worker_id: str
    cpu_milli: int
    tasks: int
    idle_ms: int
    movable: bool
    empties_in_ms: int | None = None


@dataclass(slots=True)
class PoolState:
    """A pool with its VMs and its demand.

    :ivar demand_milli: demand in thousandths of a core, of jobs that can meet their
        objective
    :ivar late_demand_milli: the same of all other jobs
    :ivar arriving: number of VMs that are on their way into the pool
    :ivar required_vms: number of VMs that the pool should have whatever its demand
    """

    name: str
    demand_milli: int
    vms: list[PoolVm] = field(default_factory=list)
    arriving: int = 0
    required_vms: int = 0
    late_demand_milli: int = 0

    @property
    def size(self) -> int:
        """Number of VMs that the pool has or that are on their way."""
        return len(self.vms) + self.arriving

    @property
    def capacity_milli(self) -> int:
        """Mean capacity of the pool until a VM that is ordered now has arrived.

        VMs that are on their way are present for half of that time on average.
        """
        present = sum(vm.cpu_milli for vm in self.vms)
        vm_milli = present // len(self.vms) if self.vms else 0
        return present + self.arriving * vm_milli // 2


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


def share_out(total: int, wishes: list[int]) -> list[int]:
    """Share out a number of VMs so that the smallest share is as large as possible.

    Whoever wishes for less than an equal share gets all of it; the others share what is
    left. Of equal ones, the first get a VM more.
    """
    shares = [0] * len(wishes)
    order = sorted(range(len(wishes)), key=lambda index: (wishes[index], -index))
    for position, index in enumerate(order):
        shares[index] = min(wishes[index], total // (len(order) - position))
        total -= shares[index]
    return shares


@dataclass(frozen=True, slots=True)
class PoolShare:
    """Number of VMs that a pool should have.

    :ivar in_time: for the jobs that can meet their objective
    :ivar vms: for all its jobs
    :ivar wanted_in_time: as ``in_time``, if there were VMs enough
    :ivar wanted: as ``vms``, if there were VMs enough
    """

    in_time: int
    vms: int
    wanted_in_time: int
    wanted: int


def share_vms(pools: list[PoolState], total: int, vm_milli: int) -> list[PoolShare]:
    """Divide VMs among pools: first for work in time, then for work that is late.

    No pool gets its whole demand while another one lacks an equal share, so that a
    queue whose turn comes first does not keep the fleet from the next one.

    :param total: number of VMs to divide
    :param vm_milli: CPU of a VM, where a pool has none
    """
    wishes: list[tuple[int, int, int]] = []
    for pool in pools:
        sizes = [vm.cpu_milli for vm in pool.vms]
        size_milli = sum(sizes) // len(sizes) if sizes else vm_milli
        floor = max(MIN_VMS, pool.required_vms)
        in_time = max(floor, target_vm_count(pool.demand_milli, size_milli))
        demand_milli = pool.demand_milli + pool.late_demand_milli
        wanted = max(floor, target_vm_count(demand_milli, size_milli))
        wishes.append((floor, in_time, wanted))
    shares = [0] * len(pools)
    in_time_shares = shares
    for level in range(3):
        open_wishes = [
            w[level] - share for w, share in zip(wishes, shares, strict=True)
        ]
        added = share_out(total - sum(shares), open_wishes)
        shares = [share + more for share, more in zip(shares, added, strict=True)]
        if level == 1:
            in_time_shares = shares
    return [
        PoolShare(in_time, share, wish[1], wish[2])
        for in_time, share, wish in zip(in_time_shares, shares, wishes, strict=True)
    ]


class DemandMeter:
    """Highest recent demand of a pool, so that a short gap in demand moves no VM."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def record(self, demand_milli: int, now_s: float) -> int:
        """Record a demand and return the demand to plan for."""
        self._samples.append((now_s, demand_milli))
        self._samples = [s for s in self._samples if now_s - s[0] <= DEMAND_WINDOW_S]
        return max(demand for _, demand in self._samples)
