"""What the owners of cells report of their loads to the holder of VM orders."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio

from chivetray.cells.directory import CellDirectory
from chivetray.cells.evacuation import reserve
from chivetray.cells.load import measure_load
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.machines import Machine

CAPACITY_CALL = "capacity"


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What an owner says of one of its workers."""

    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool


@dataclass(slots=True)
class CellReport:
    """What the owner of a cell says of it."""

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: dict[str, WorkerReport]


class CellReports:
    """Asks for reports, and gives those of the cells of this process.

    :ivar cells: newest reports; a cell whose owner is silent has none
    :param on_arrivals: called when a cell of this process is to get workers soon
    """

    def __init__(
        self, mesh: Mesh, directory: CellDirectory, on_arrivals: Callable[[], None]
    ):
        self.cells: dict[str, CellReport] = {}
        self._mesh = mesh
        self._directory = directory
        self._on_arrivals = on_arrivals
        mesh.handlers[CAPACITY_CALL] = self._report

    async def read(
        self, cells: Iterable[str], wanted: list[str], arriving: dict[str, int]
    ) -> None:
        """Ask every owner for its load, and tell it which workers are wanted.

        :param arriving: VMs on their way, by cell
        """
        async with anyio.create_task_group() as tasks:
            for cell in cells:
                argument = [cell, wanted, arriving.get(cell, 0)]
                tasks.start_soon(self._read_cell, cell, argument)

    async def _read_cell(self, cell: str, argument: list[Any]) -> None:
        owner = self._directory.owner_of(cell)
        self.cells.pop(cell, None)
        if owner is None:
            return
        if owner == self._mesh.name:
            reply = await self._report(owner, argument)
        else:
            reply = await self._mesh.call(owner, CAPACITY_CALL, argument)
        if reply is None:
            log_event(Event.MAINTENANCE_WAITS, cell=cell, reason="owner silent")
            return
        used, waiting, arriving, workers = reply
        report = CellReport(used, waiting, arriving, {})
        for worker_id, tasks, used_milli, idle_ms, usable in workers:
            report.workers[worker_id] = WorkerReport(tasks, used_milli, idle_ms, usable)
        self.cells[cell] = report

    async def _report(self, _peer: str, argument: Any) -> Any:
        cell, wanted, arriving = argument
        own = self._directory.owned.get(cell)
        if own is None or own.leaving:
            return None
        now_s = boot_time_s()
        reserve(own.state, wanted, now_s)
        if wanted:
            own.wake()
        if arriving:
            self._on_arrivals()
        load = measure_load(own.state, now_s, wall_time_ms())
        return [
            load.used_milli,
            load.waiting_milli_s,
            load.arriving_milli,
            [
                [w.worker_id, w.tasks, w.used_milli, w.idle_ms, w.usable]
                for w in load.workers
            ],
        ]

    def worker(self, machine: Machine) -> WorkerReport | None:
        """Return what the owner says of the worker of a VM."""
        report = self.cells.get(machine.pool)
        return report.workers.get(machine.worker_id) if report else None

    def is_empty(self, machine: Machine, standby: set[str]) -> bool:
        """Return whether an order for a VM ends nothing.

        :param standby: pools in which nothing runs
        """
        if machine.pool in standby:
            return True
        report = self.worker(machine)
        return report is not None and report.tasks == 0 and not report.usable
