"""Choice of the VMs that a maintenance wave empties next."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.platform.vm_api import PlatformVmState

# Typical time to empty and maintain one VM.
VM_MAINTENANCE_ESTIMATE_S = 6.0

# Share of a pool's cores that must stay unused while one of its VMs is emptied, unless
# the wave would end late.
MIN_FREE_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class PendingVm:
    """A VM of a wave whose maintenance has not begun.

    :ivar up: whether the VM is up, so that the platform accepts an order for it
    :ivar standby: whether the VM is in a standby pool, where no tasks run
    """

    machine: str
    pool: str
    up: bool
    standby: bool
    tasks: int
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Capacity of a pool without the VMs that are being emptied, and its demand."""

    capacity_milli: int
    demand_milli: int


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


def choose_vms(
    pending: Iterable[PendingVm],
    chosen: set[str],
    under_way: set[str],
    max_down: int,
    pool_capacities: dict[str, PoolCapacity],
    time_left_s: float,
) -> list[str]:
    """Return the VMs to empty now, including those that are being emptied already.

    :param pending: VMs of the wave whose maintenance has not begun
    :param chosen: VMs that are being emptied
    :param under_way: VMs of the wave that are or may be down for maintenance
    :param max_down: number of VMs of the wave that may be down at once
    :param pool_capacities: capacity and demand by pool
    :param time_left_s: time until the wave should be complete
    """
    available = [vm for vm in pending if vm.up]
    kept = [vm.machine for vm in available if vm.machine in chosen]
    budget = max_down - len(under_way.union(kept))
    batches = -(-len(available) // max(1, max_down))
    is_late = time_left_s < batches * VM_MAINTENANCE_ESTIMATE_S
    free_milli = {
        name: pool.capacity_milli * (1 - MIN_FREE_SHARE) - pool.demand_milli
        for name, pool in pool_capacities.items()
    }
    candidates = [vm for vm in available if vm.machine not in chosen]
    candidates.sort(key=lambda vm: (not vm.standby, vm.tasks, vm.machine))
    result = list(kept)
    for vm in candidates:
        if budget <= 0:
            break
        if not vm.standby and not is_late:
            if free_milli.get(vm.pool, 0.0) < vm.cpu_milli:
                continue
            free_milli[vm.pool] -= vm.cpu_milli
        result.append(vm.machine)
        budget -= 1
    return result
