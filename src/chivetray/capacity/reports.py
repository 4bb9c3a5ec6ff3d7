"""Load reports of cells, from their owners to the holder of the fleet duty."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio

from chivetray.capacity.recent_orders import MAX_CONFIRMATION_AGE_S
from chivetray.cells.directory import CellDirectory
from chivetray.cells.evacuation import reserve_workers
from chivetray.cells.load import measure_load
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.vm_api import PlatformVm

# Name of the call, with the version of its arguments and reply. A process of another
# release does not answer it, and no VM order is based on its cells.
CAPACITY_CALL = "capacity/4"

# Age, counted from its request, up to which a report proves that a worker is empty. The
# owner keeps the worker empty for ``RESERVATION_S`` after the request, by which an
# order that follows the report must have ended.
MAX_REPORT_AGE_S = 2.2


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Load of one worker, as reported by the owner of its cell.

    :ivar long_running: number of its long-running tasks
    :ivar budget_used: whether no long-running task may be stopped there, since as many
        others of their steps are unavailable as allowed
    :ivar silent: whether its last call was not answered
    :ivar listed: whether the list of workers has it
    """

    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool
    tasks_known: bool = True
    empties_in_ms: int | None = None
    long_running: int = 0
    budget_used: bool = False
    silent: bool = False
    listed: bool = True


@dataclass(slots=True)
class CellReport:
    """Load of a cell, as reported by its owner.

    :ivar owner: process that reported it
    :ivar requested_at_s: time at which the report was requested
    :ivar is_confirmed: whether the ownership of the cell was confirmed recently
    """

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: dict[str, WorkerReport]
    required_workers: int = 0
    owner: str = ""
    requested_at_s: float = 0.0
    is_confirmed: bool = True
    late_used_milli: int = 0
    late_waiting_milli_s: int = 0


@dataclass(frozen=True, slots=True)
class OrderBasis:
    """Report that an order for a VM is decided on, for the log.

    :ivar requested_at_s: time at which the report was requested, 0 without a report
    """

    owner: str = ""
    requested_at_s: float = 0.0
    worker: WorkerReport | None = None

    def log_order(self, order: str, vm: str, worker_id: str, **fields: Any) -> None:
        """Log an order that is about to be sent."""
        if self.requested_at_s:
            fields["report_age_s"] = round(boot_time_s() - self.requested_at_s, 3)
            fields["report_from"] = self.owner
        if self.worker is not None:
            fields["tasks"] = self.worker.tasks
            fields["usable"] = self.worker.usable
        log_event(Event.VM_ORDERED, order=order, vm=vm, worker=worker_id, **fields)


class CellReports:
    """Requests load reports, and answers requests for the cells of this process.

    :ivar cells: newest report by cell; missing if the owner did not answer
    :ivar holder_epoch: epoch of this process as holder of the fleet duty
    :ivar awaiting_maintenance: workers by cell whose VMs a wave has still to take down
    :param on_arrivals: called when VMs are on their way to a cell of this process
    """

    def __init__(
        self, mesh: Mesh, directory: CellDirectory, on_arrivals: Callable[[], None]
    ):
        self.cells: dict[str, CellReport] = {}
        self.holder_epoch = 0
        self.awaiting_maintenance: dict[str, list[str]] = {}
        self._highest_holder_epoch = 0
        self._epochs: dict[str, int] = {}
        self._mesh = mesh
        self._directory = directory
        self._on_arrivals = on_arrivals
        mesh.handlers[CAPACITY_CALL] = self._handle_request

    async def request_all(
        self,
        cells: Iterable[str],
        reserved_workers: list[str],
        arriving: dict[str, int],
        uncertain_workers: list[str] | None = None,
    ) -> None:
        """Request a report from every owner, and tell it which workers to reserve.

        :param reserved_workers: workers on which the owner should place nothing new
        :param arriving: number of VMs on their way, by cell
        :param uncertain_workers: workers for whose VM an order of an earlier holder may
            be carried out
        """
        async with anyio.create_task_group() as tasks:
            for cell in cells:
                arriving_count = arriving.get(cell, 0)
                argument = [cell, reserved_workers, arriving_count, self.holder_epoch]
                argument.append(uncertain_workers or [])
                argument.append(self.awaiting_maintenance.get(cell, []))
                tasks.start_soon(self._request_report, cell, argument)

    async def _request_report(self, cell: str, argument: list[Any]) -> None:
        requested_at_s = boot_time_s()
        owner = self._directory.serving_owner_of(cell)
        self.cells.pop(cell, None)
        if owner is None:
            return
        if owner == self._mesh.name:
            reply = await self._handle_request(owner, argument)
        else:
            reply = await self._mesh.call(owner, CAPACITY_CALL, argument)
        if reply is None:
            log_event(Event.MAINTENANCE_WAITS, cell=cell, reason="owner did not answer")
            return
        used, waiting, arriving, workers, required_workers, epoch, confirmed, *late = (
            reply
        )
        if epoch < self._epochs.get(cell, 0):
            reason = "a process that has lost the cell answered"
            log_event(Event.MAINTENANCE_WAITS, cell=cell, reason=reason)
            return
        self._epochs[cell] = epoch
        report = CellReport(
            used,
            waiting,
            arriving,
            {},
            required_workers,
            owner,
            requested_at_s,
            confirmed,
            *late,
        )
        for worker_id, *values in workers:
            report.workers[worker_id] = WorkerReport(*values)
        self.cells[cell] = report

    async def _handle_request(self, _peer: str, argument: Any) -> Any:
        cell, reserved_workers, arriving, holder_epoch, uncertain_workers = argument[:5]
        awaiting_maintenance = argument[5]
        if holder_epoch < self._highest_holder_epoch:
            # A process that has lost the duty would release the workers that the
            # holder has reserved.
            return None
        self._highest_holder_epoch = holder_epoch
        owner = self._directory.owned_cells.get(cell)
        if owner is None or owner.leaving:
            return None
        now_s = boot_time_s()
        reserve_workers(
            owner.state,
            reserved_workers,
            now_s,
            uncertain_workers,
            awaiting_maintenance,
        )
        if reserved_workers or awaiting_maintenance:
            owner.wake()
        owner.state.arriving_vms = (arriving, now_s)
        if arriving:
            self._on_arrivals()
        load = measure_load(owner.state, now_s, wall_time_ms())
        return [
            load.used_milli,
            load.waiting_milli_s,
            load.arriving_milli,
            [
                [
                    worker.worker_id,
                    worker.tasks,
                    worker.used_milli,
                    worker.idle_ms,
                    worker.usable,
                    worker.tasks_known,
                    worker.empties_in_ms,
                    worker.long_running,
                    worker.budget_used,
                    worker.silent,
                    worker.listed,
                ]
                for worker in load.workers
            ],
            load.required_workers,
            owner.epoch,
            now_s - owner.confirmed_at_s < MAX_CONFIRMATION_AGE_S,
            load.late_used_milli,
            load.late_waiting_milli_s,
        ]

    def worker(self, machine: PlatformVm) -> WorkerReport | None:
        """Return the report on the worker of a VM, or ``None``."""
        report = self.cells.get(machine.pool)
        return report.workers.get(machine.worker_id) if report else None

    def basis(self, pool: str, worker_id: str) -> OrderBasis:
        """Return the report that an order for the VM of a worker is decided on."""
        report = self.cells.get(pool)
        if report is None:
            return OrderBasis()
        worker = report.workers.get(worker_id)
        return OrderBasis(report.owner, report.requested_at_s, worker)

    def is_empty(self, machine: PlatformVm, standby: set[str]) -> bool:
        """Return whether an order for a VM would interrupt no task.

        :param standby: pools in which no tasks run
        """
        return machine.pool in standby or self.is_worker_empty(
            machine.pool, machine.worker_id
        )

    def is_worker_empty(self, cell: str, worker_id: str) -> bool:
        """Return whether a worker stays empty until an order sent now has ended.

        :param cell: cell of the worker
        """
        cell_report = self.cells.get(cell)
        if cell_report is None:
            return False
        report = cell_report.workers.get(worker_id)
        is_recent = boot_time_s() - cell_report.requested_at_s < MAX_REPORT_AGE_S
        if not is_recent or not cell_report.is_confirmed:
            return False
        return (
            report is not None
            and report.tasks_known
            and report.tasks == 0
            and not report.usable
        )
