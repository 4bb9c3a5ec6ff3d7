"""Maintenance waves on the platform's VMs: which VM is emptied and when."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.platform.machines import MachineState

# Time that emptying and maintaining one VM usually takes.
STEP_S = 6.0

# Share of a pool's cores that has to stay free of use while one of its VMs is
# emptied, unless the wave would be late.
SPARE_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class WaveVm:
    """A VM that has not begun its maintenance.

    :ivar up: whether the VM is up, so that the platform takes an order for it
    :ivar standby: whether the VM is in the standby pool, where nothing runs
    """

    machine: str
    pool: str
    up: bool
    standby: bool
    tasks: int
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """Room of a pool without the VMs that are being emptied."""

    capacity_milli: int
    demand_milli: int


def count_under_way(
    states: dict[str, MachineState],
    ordered_s: dict[str, float],
    now_s: float,
    lasting_s: float,
) -> int:
    """Return how many VMs of a wave are or may be down for their maintenance.

    An order without answer counts like one that was carried out.

    :param states: state of each VM of the wave, as the platform lists it
    :param ordered_s: time of the last order for each VM that has had one
    :param lasting_s: time that a maintenance lasts, with a margin
    """
    count = 0
    for machine, state in states.items():
        recent = now_s - ordered_s.get(machine, -lasting_s) < lasting_s
        ordered_down = machine in ordered_s and state != MachineState.UP
        count += recent or ordered_down or state == MachineState.MAINTENANCE
    return count


def choose_vms(
    left: Iterable[WaveVm],
    chosen: set[str],
    under_way: int,
    cap: int,
    rooms: dict[str, PoolRoom],
    time_left_s: float,
) -> list[str]:
    """Return the VMs that are to be emptied now, those chosen before included.

    :param chosen: VMs that are being emptied
    :param under_way: VMs of the wave that are down for their maintenance
    :param cap: VMs of the wave that may be down at once
    :param rooms: room of each pool
    :param time_left_s: time until the wave should be done
    """
    waiting = [vm for vm in left if vm.up]
    kept = [vm.machine for vm in waiting if vm.machine in chosen]
    budget = cap - under_way - len(kept)
    rounds = -(-len(waiting) // max(1, cap))
    hurried = time_left_s < rounds * STEP_S
    free = {
        name: room.capacity_milli * (1 - SPARE_SHARE) - room.demand_milli
        for name, room in rooms.items()
    }
    candidates = [vm for vm in waiting if vm.machine not in chosen]
    candidates.sort(key=lambda vm: (not vm.standby, vm.tasks, vm.machine))
    result = list(kept)
    for vm in candidates:
        if budget <= 0:
            break
        if not vm.standby and not hurried:
            if free.get(vm.pool, 0.0) < vm.cpu_milli:
                continue
            free[vm.pool] -= vm.cpu_milli
        result.append(vm.machine)
        budget -= 1
    return result
