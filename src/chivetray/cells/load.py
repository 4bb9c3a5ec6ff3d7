"""CPU usage and demand of a cell."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.evacuation import has_room
from chivetray.cells.state import CellState
from chivetray.jobs.model import Phase, Step

# Shortest run time assumed for a waiting task: for less, moving a VM is not worth it.
MIN_RUN_TIME_S = 0.5


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Usage of one worker.

    :ivar tasks: number of its tasks
    :ivar used_milli: CPU allocated to them, in thousandths of a core
    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    :ivar usable: whether new tasks may be placed on it
    :ivar tasks_known: whether a poll by the owner has shown which tasks run on it
    """

    worker_id: str
    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool
    tasks_known: bool


@dataclass(frozen=True, slots=True)
class CellLoad:
    """CPU usage and demand of a cell, in thousandths of a core.

    :ivar used_milli: CPU allocated to tasks on all workers of the cell
    :ivar waiting_milli_s: CPU time that the waiting tasks are expected to need, in
        thousandths of a core-second
    :ivar arriving_milli: CPU that keeps up with the rate at which jobs arrive
    :ivar workers: usage of the listed workers
    :ivar required_workers: number of workers that the cell should have at least,
        whatever its demand; those that take no tasks for an unknown time included
    """

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: list[WorkerLoad]
    required_workers: int = 0


def measure_load(state: CellState, now_s: float, now_ms: int) -> CellLoad:
    """Return the CPU usage and demand of a cell.

    :param now_ms: time of day in ms since 1970
    """
    waiting_milli_s = 0
    for job in state.active.values():
        if job.state.ended:
            continue
        for occurrence, step_number in job.ready_steps(now_ms):
            step = job.spec.steps[step_number]
            tasks = job.step_tasks(occurrence, step_number)
            count = sum(task.phase == Phase.WAITING for task in tasks)
            if count and not step.best_effort:
                run_time_s = state.times.expected_s(job.spec.queue, step.estimate_ms)
                waiting_milli_s += int(
                    count * step.cpu_milli * max(MIN_RUN_TIME_S, run_time_s)
                )
    workers = [
        WorkerLoad(
            worker.worker_id,
            len(worker.tasks),
            worker.used_cpu_milli,
            int((now_s - worker.idle_since_s) * 1000) if not worker.tasks else 0,
            worker.accepts_tasks(now_s),
            worker.tasks_known,
        )
        for worker in state.workers.values()
        if worker.listed
    ]
    used_milli = sum(worker.used_cpu_milli for worker in state.workers.values())
    arriving_milli = int(state.arrivals.required_cores(now_s) * 1000)
    usable_count = sum(worker.usable for worker in workers)
    required_workers = min(
        usable_count + 1, _workers_for_blocked_tasks(state, now_s, now_ms)
    )
    if required_workers:
        required_workers += _count_unavailable_workers(state)
    return CellLoad(
        used_milli, waiting_milli_s, arriving_milli, workers, required_workers
    )


def _count_unavailable_workers(state: CellState) -> int:
    """Return how many listed workers take no tasks, for an unknown time."""
    return sum(
        worker.listed
        and bool(worker.silent_since_s or worker.quarantined or worker.draining)
        for worker in state.workers.values()
    )


def _workers_for_blocked_tasks(state: CellState, now_s: float, now_ms: int) -> int:
    """Return how many workers suffice for long-running tasks that fit on none now.

    Such a task may lack memory, or workers without other tasks of its step, while the
    CPU demand of the cell is low.
    """
    required = 0
    for job in state.active.values():
        if not job.long_running or job.state.ended:
            continue
        for occurrence, step_number in job.ready_steps(now_ms):
            step = job.spec.steps[step_number]
            waiting = [
                task
                for task in job.step_tasks(occurrence, step_number)
                if task.phase == Phase.WAITING
            ]
            if step.best_effort or not waiting:
                continue
            if not has_room(state, job, waiting[0], now_s):
                required = max(required, _workers_for_step(state, step))
    return required


def _workers_for_step(state: CellState, step: Step) -> int:
    """Return how many workers like those of the cell can run all tasks of a step."""
    tasks_per_worker = [
        int(worker.mem_mb / max(1, step.mem_mb))
        for worker in state.workers.values()
        if worker.listed and worker.fits_when_empty(step)
    ]
    if not tasks_per_worker:
        return 0
    most = max(1, max(tasks_per_worker))
    if step.per_worker:
        most = min(most, step.per_worker)
    # One more, since tasks of other jobs take room too.
    return -(-step.count // most) + 1
