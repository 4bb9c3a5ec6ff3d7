"""What organisations use in a cell, and what placement may start under their caps."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Protocol

from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec, Phase, Step, Task
from chivetray.organisations.model import Resources
from chivetray.organisations.shares import (
    NOTHING,
    Demand,
    add,
    count_units,
    fits,
    multiply,
    subtract,
)

if TYPE_CHECKING:
    from chivetray.cells.state import CellState
    from chivetray.cells.workers import WorkerState


class CapRoom(Protocol):
    """Room of organisations under their caps, in one cell."""

    def room(self, organisation: str) -> Resources | None:
        """Return what may start now, ``None`` for no limit."""

    def attainable_room(self, organisation: str) -> Resources | None:
        """Return the room including what the cell may get, ``None`` for no limit."""

    def note_lack(self, organisation: str, unit: Resources, count: int) -> None:
        """Record that tasks could be placed if there was room."""

    def is_lacking(self, organisation: str, unit: Resources) -> bool:
        """Return whether such a lack was recorded in this round."""

    def note_waiting(self, organisation: str) -> None:
        """Record that work waits for the cap, whether or not a worker is free."""


class UseCounter:
    """Counts what each organisation uses in a cell.

    Whatever holds a place on a worker counts with all its resources, suspended tasks
    too. Only workers whose tasks have changed are counted anew.
    """

    def __init__(self, state: CellState):
        self._state = state
        self._by_worker: dict[str, dict[str, Resources]] = {}
        self._totals: dict[str, Resources] = {}

    def use(self, organisation: str) -> Resources:
        """Return what an organisation uses now."""
        changed = self._state.changed_worker_ids
        while changed:
            self._count_worker(changed.pop())
        return self._totals.get(organisation, NOTHING)

    def _count_worker(self, worker_id: str) -> None:
        for name, amount in self._by_worker.pop(worker_id, {}).items():
            self._totals[name] = subtract(self._totals[name], amount)
        worker = self._state.workers.get(worker_id)
        counted: dict[str, Resources] = {}
        for job_id, key in worker.tasks if worker is not None else ():
            job = self._state.jobs.get(job_id)
            if job is None or not job.spec.organisation:
                continue
            name = job.spec.organisation
            # The worker's own entry of a suspended task has no resources.
            amount = task_resources(job.spec.steps[key[1]])
            counted[name] = add(counted.get(name, NOTHING), amount)
        for name, amount in counted.items():
            self._totals[name] = add(self._totals.get(name, NOTHING), amount)
        if counted:
            self._by_worker[worker_id] = counted


def task_resources(step: Step) -> Resources:
    """Return what one task of a step counts towards the cap."""
    return Resources(step.cpu_milli, step.mem_mb, step.gpu)


def count_within_cap(state: CellState, job: Job, step: Step, count: int) -> int:
    """Return how many of some tasks of a step may start under the cap.

    What is lacking is recorded, so that the owner takes share for it.
    """
    if state.cap_room is None or not job.spec.organisation:
        return count
    room = state.cap_room.room(job.spec.organisation)
    if room is None:
        return count
    unit = task_resources(step)
    startable = count_units(room, unit, count)
    if startable < count:
        state.cap_room.note_lack(job.spec.organisation, unit, count - startable)
    return startable


def is_held_by_cap(
    state: CellState,
    job: Job,
    step: Step,
    tasks: list[Task],
    workers: Iterable[WorkerState],
) -> bool:
    """Return whether the cap leaves no room for any task of a step.

    This spares the choice of a worker for each step of a long queue. What is lacking is
    recorded if a worker could take a task.
    """
    if state.cap_room is None or step.gang or not waits_for_cap(state, job, step):
        return False
    is_lacking = state.cap_room.is_lacking(job.spec.organisation, task_resources(step))
    waiting = sum(task.phase == Phase.WAITING for task in tasks)
    if is_lacking or any(
        worker.fits(step) and (not step.label or step.label in worker.labels)
        for worker in workers
    ):
        count_within_cap(state, job, step, waiting)
    return True


def may_start_gang(state: CellState, job: Job, step: Step, count: int) -> bool:
    """Return whether all tasks of a gang may start together under the cap."""
    if state.cap_room is None or not job.spec.organisation:
        return True
    room = state.cap_room.room(job.spec.organisation)
    whole = multiply(task_resources(step), count)
    if room is None or fits(whole, room):
        return True
    state.cap_room.note_lack(job.spec.organisation, whole, 1)
    return False


def may_use_more(state: CellState, spec: JobSpec) -> bool:
    """Return whether a task of a job may find room under the cap."""
    if state.cap_room is None or not spec.organisation:
        return True
    room = state.cap_room.attainable_room(spec.organisation)
    return room is None or fits(task_resources(spec.steps[0]), room)


def waits_for_cap(state: CellState, job: Job, step: Step) -> bool:
    """Return whether the cap keeps the next task of a step, or its gang, waiting."""
    if state.cap_room is None or not job.spec.organisation:
        return False
    room = state.cap_room.room(job.spec.organisation)
    unit = multiply(task_resources(step), step.count if step.gang else 1)
    return room is not None and not fits(unit, room)


def fit_workers(
    state: CellState, demands: Iterable[Demand], now_s: float
) -> list[Demand]:
    """Return the demands that the free workers could take, at least the first.

    Share for more than that would be idle, while other cells may lack it.
    """
    free = NOTHING
    for worker in state.workers.values() if demands else ():
        if worker.accepts_tasks(now_s):
            capacity = Resources(worker.cpu_milli, worker.mem_mb, worker.gpu)
            used = (worker.used_cpu_milli, worker.used_mem_mb, worker.used_gpu)
            free = add(free, subtract(capacity, Resources(*used)))
    fitting: list[Demand] = []
    for demand in demands:
        count = count_units(free, demand.unit, demand.count)
        free = subtract(free, multiply(demand.unit, count))
        if count or not fitting:
            fitting.append(Demand(demand.unit, max(1, count)))
    return fitting


class DemandLimit:
    """Limits the demand of a cell to what its organisations may run.

    Work beyond that does not run sooner on more workers.
    """

    def __init__(self, state: CellState):
        self._cap_room = state.cap_room
        self._rooms: dict[str, Resources | None] = {}

    def count_tasks(self, job: Job, step: Step, count: int) -> int:
        """Return how many more tasks of a step may run, and reduce the room by them."""
        name = job.spec.organisation
        if self._cap_room is None or not name:
            return count
        if name not in self._rooms:
            self._rooms[name] = self._cap_room.attainable_room(name)
        room = self._rooms[name]
        if room is None:
            return count
        unit = task_resources(step)
        if step.gang:
            runnable = count if fits(multiply(unit, count), room) else 0
        else:
            runnable = count_units(room, unit, count)
        if runnable < count:
            self._cap_room.note_waiting(name)
        self._rooms[name] = subtract(room, multiply(unit, runnable))
        return runnable
