"""The VM moves that bring pools to their shares.

A plan starts from the requests of earlier rounds: VMs that already take no new tasks. A
plan that ignored them would ask for other VMs in each round, and tasks that were
evacuated from the first ones would return there.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from chivetray.capacity.sizing import PoolShare, PoolState, PoolVm, share_vms

# Time that a VM must be idle before it leaves its pool. A move costs about as much as
# one second of a VM in a pool.
IDLE_BEFORE_REMOVAL_MS = 250

# Part of its share that a pool must lack before others give it VMs that have tasks, and
# before it takes back VMs that it was asked to give. A VM that is emptied serves nobody
# for about the run time of a task and the time of a move.
LACK_SHARE = 0.125

# Reasons for which a request for a VM is withdrawn.
NEEDED_BY_SOURCE = "its pool needs it"
NO_POOL_LACKS = "no pool lacks VMs"


@dataclass(frozen=True, slots=True)
class Move:
    """A VM that is to change its pool."""

    machine: str
    worker_id: str
    source: str
    target: str


@dataclass(frozen=True, slots=True)
class MovePlan:
    """Moves of one round.

    :ivar moves: VMs that are to change their pool, now or once they are empty
    :ivar withdrawn: requests of earlier rounds that are not in force any more, with the
        reason by VM
    """

    moves: list[Move] = field(default_factory=list)
    withdrawn: dict[str, str] = field(default_factory=dict)


class _Round:
    """Pools, their shares and the VMs that change their pool in one round."""

    def __init__(self, pools: Iterable[PoolState], spares: list[PoolVm]):
        # The pool that lacks most for its size comes first.
        self.pools = sorted(pools, key=_urgency, reverse=True)
        sizes = [vm.cpu_milli for pool in self.pools for vm in pool.vms]
        sizes = sizes or [vm.cpu_milli for vm in spares]
        vm_milli = sum(sizes) // len(sizes) if sizes else 0
        total = sum(pool.size for pool in self.pools) + len(spares)
        shares = share_vms(self.pools, total, vm_milli)
        self.shares: dict[str, PoolShare] = dict(
            zip((pool.name for pool in self.pools), shares, strict=True)
        )
        self.moves: list[Move] = []
        self._leaving: Counter[str] = Counter()
        self._coming: Counter[str] = Counter()

    def add(self, vm: PoolVm, source: str, target: str) -> None:
        """Have a VM change its pool."""
        self.moves.append(Move(vm.machine, vm.worker_id, source, target))
        self._leaving[source] += 1
        self._coming[target] += 1

    def size_after(self, pool: PoolState) -> int:
        """Return the size of a pool after the moves of the round."""
        return pool.size - self._leaving[pool.name] + self._coming[pool.name]

    def missing(self, pool: PoolState) -> int:
        """Return how many VMs a pool has less than its share."""
        return self.shares[pool.name].vms - self.size_after(pool)

    def missing_in_time(self, pool: PoolState) -> int:
        """Return the same for work that can meet its objective."""
        return self.shares[pool.name].in_time - self.size_after(pool)

    def find_target(
        self, source: str, preferred: str, only_in_time: bool
    ) -> str | None:
        """Return the pool that a VM should go to, if any other lacks one.

        :param only_in_time: whether only work that can meet its objective counts
        """
        count_missing = self.missing_in_time if only_in_time else self.missing
        lacking = [
            pool.name
            for pool in self.pools
            if pool.name != source and count_missing(pool) > 0
        ]
        if preferred in lacking:
            return preferred
        return lacking[0] if lacking else None


def plan_moves(
    pools: Iterable[PoolState],
    standby: str,
    spares: Iterable[PoolVm],
    requests: Mapping[str, Move] | None = None,
) -> MovePlan:
    """Return the moves that bring pools to their shares.

    Requests of earlier rounds stay in force unless there is a reason to withdraw them.
    Pools that still lack VMs get spare VMs first, then idle VMs of pools with too many.
    What a pool then lacks for work in time it gets from pools with more VMs than such
    work needs there: these VMs take no new tasks until they are empty. Other idle VMs
    that no pool wants move to the standby pool.

    :param standby: name of the standby pool
    :param spares: VMs in the standby pool
    :param requests: by VM, moves that an earlier round has asked for
    """
    available = [vm for vm in spares if vm.movable]
    current = _Round(pools, available)
    withdrawn = _review_requests(current, standby, len(available), requests or {})
    given = {move.machine for move in current.moves}
    surplus: list[tuple[PoolVm, str]] = []
    for pool in current.pools:
        idle = [
            vm
            for vm in pool.vms
            if vm.movable
            and vm.machine not in given
            and not vm.tasks
            and vm.idle_ms >= IDLE_BEFORE_REMOVAL_MS
        ]
        idle.sort(key=lambda vm: -vm.idle_ms)
        surplus += [(vm, pool.name) for vm in idle[: max(0, -current.missing(pool))]]
    lacking: list[tuple[PoolState, int]] = []
    for pool in current.pools:
        while current.missing(pool) > 0 and (available or surplus):
            vm, source = (available.pop(0), standby) if available else surplus.pop(0)
            current.add(vm, source, pool.name)
        missing = min(current.missing(pool), current.missing_in_time(pool))
        if missing > LACK_SHARE * current.shares[pool.name].in_time:
            lacking.append((pool, missing))
    busy = _vms_to_give_back(current, withdrawn)
    for pool, missing in lacking:
        for _ in range(min(missing, len(busy))):
            vm, source = busy.pop(0)
            current.add(vm, source, pool.name)
    for vm, source in surplus:
        current.add(vm, source, standby)
    return MovePlan(current.moves, withdrawn)


def _review_requests(
    current: _Round, standby: str, spares: int, requests: Mapping[str, Move]
) -> dict[str, str]:
    """Keep the requests that still serve a purpose; return why others do not.

    A VM with tasks is given up while some pool lacks more VMs for work in time than
    there are spares. An empty one goes to any pool that lacks VMs, or leaves its own if
    that has enough. None is given up if its pool would then lack a considerable part of
    its share.
    """
    withdrawn = {}
    found = [
        (bool(vm.tasks), vm.empties_in_ms or 0, vm.machine, vm, pool)
        for pool in current.pools
        for vm in pool.vms
        if vm.machine in requests
    ]
    for is_busy, _, name, vm, pool in sorted(found, key=lambda item: item[:3]):
        slack = LACK_SHARE * current.shares[pool.name].vms
        if current.missing(pool) + 1 > slack:
            withdrawn[name] = NEEDED_BY_SOURCE
            continue
        target = current.find_target(pool.name, requests[name].target, is_busy)
        lacking = sum(max(0, current.missing(other)) for other in current.pools)
        if is_busy and lacking <= spares:
            target = None
        if target is None and not is_busy and current.missing(pool) < 0:
            target = standby
        if target is None:
            withdrawn[name] = NO_POOL_LACKS
        else:
            current.add(vm, pool.name, target)
    return withdrawn


def _urgency(pool: PoolState) -> float:
    present_milli = sum(vm.cpu_milli for vm in pool.vms)
    return (pool.demand_milli + pool.late_demand_milli) / max(1, present_milli)


def _vms_to_give_back(
    current: _Round, withdrawn: Container[str]
) -> list[tuple[PoolVm, str]]:
    """Return the VMs with tasks that pools over their share can give to others.

    A pool that needs all its VMs for work in time gives none: the exchange would only
    cost time. VMs that are empty soonest come first. A VM whose request was just
    withdrawn is not asked for again in the same round.
    """
    given = {move.machine for move in current.moves}
    found: list[tuple[int, str, PoolVm, str]] = []
    for pool in current.pools:
        share = current.shares[pool.name]
        kept = max(share.vms, share.wanted_in_time)
        excess = current.size_after(pool) - kept
        ending = [
            (vm.empties_in_ms, vm.machine, vm, pool.name)
            for vm in pool.vms
            if vm.movable
            and vm.tasks
            and vm.empties_in_ms is not None
            and vm.machine not in given
            and vm.machine not in withdrawn
        ]
        found += sorted(ending, key=lambda item: item[:2])[: max(0, excess)]
    return [item[2:] for item in sorted(found, key=lambda item: item[:2])]
