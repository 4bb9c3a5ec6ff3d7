"""What the plan of a maintenance wave starts from: its VMs and the load of pools."""

from __future__ import annotations

from collections.abc import Container, Mapping

from chivetray.capacity.maintenance import PendingVm, PoolCapacity
from chivetray.capacity.reports import CellReport, CellReports, WorkerReport
from chivetray.capacity.sizing import BACKLOG_DRAIN_S
from chivetray.capacity.wave_waits import WaitReason
from chivetray.platform.vm_api import PlatformVm, PlatformVmState


def describe_vm(
    vm: PlatformVm,
    reports: CellReports,
    standby: set[str],
    obstacle: WaitReason | None,
    is_requested: bool,
    emptying_for_s: float,
) -> PendingVm:
    """Return a VM of a wave as the plan needs it.

    :param obstacle: reason for which the VM may get no order now, if any
    :param is_requested: whether it empties for another pool
    """
    is_up = vm.state == PlatformVmState.UP and obstacle != WaitReason.MOVING
    is_standby = vm.pool in standby
    worker = None if is_standby else reports.worker(vm)
    if obstacle is None and not is_standby:
        obstacle = _find_obstacle(reports.cells.get(vm.pool), worker)
    return PendingVm(
        vm.name,
        vm.pool,
        is_up,
        is_standby,
        worker.tasks if worker else 0,
        vm.cpu_milli,
        long_running=worker.long_running if worker else 0,
        empties_in_s=(worker.empties_in_ms or 0) / 1000 if worker else 0.0,
        requested=is_requested,
        obstacle=obstacle,
        empty=reports.is_empty(vm, standby),
        emptying_for_s=emptying_for_s,
    )


def _find_obstacle(
    cell: CellReport | None, worker: WorkerReport | None
) -> WaitReason | None:
    if cell is None:
        return WaitReason.UNKNOWN
    if worker is None:
        return WaitReason.HIDDEN
    if worker.silent and worker.tasks:
        return WaitReason.SILENT
    if not worker.listed and worker.tasks:
        return WaitReason.HIDDEN
    if worker.long_running and worker.budget_used:
        return WaitReason.BUDGET
    return None


def measure_pools(
    cells: Mapping[str, CellReport],
    by_name: Mapping[str, PlatformVm],
    emptying: Container[str],
) -> dict[str, PoolCapacity]:
    """Return the capacity and demand of each pool.

    :param emptying: VMs that take no new tasks
    """
    capacities_milli = dict.fromkeys(cells, 0)
    for vm in by_name.values():
        is_serving = vm.state == PlatformVmState.UP and vm.name not in emptying
        if vm.pool in capacities_milli and is_serving:
            capacities_milli[vm.pool] += vm.cpu_milli
    return {
        name: PoolCapacity(
            capacities_milli[name],
            cell.used_milli + int(cell.waiting_milli_s / BACKLOG_DRAIN_S),
        )
        for name, cell in cells.items()
    }
