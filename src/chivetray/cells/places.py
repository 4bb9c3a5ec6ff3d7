"""Places of a step's tasks on workers, which count towards its limit per worker."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Step, Task
from chivetray.platform.workers import TaskName

if TYPE_CHECKING:
    from chivetray.cells.state import CellState

# Tasks that one log line lists at most.
MAX_LISTED_TASKS = 20


def count_places(tasks: Iterable[Task]) -> dict[str, int]:
    """Return how many different tasks of one step have a place on each worker.

    Older attempts count as well as the newest ones, whether they run or may yet start.
    """
    counts: dict[str, int] = {}
    for task in tasks:
        worker_ids = set(task.copies.values())
        if task.active:
            worker_ids.add(task.worker)
        for worker_id in worker_ids:
            counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts


def has_place(worker: WorkerState, ref: TaskRef, step: Step) -> bool:
    """Return whether the limit of a step leaves one of its tasks a place on a worker.

    Other attempts that run there may have become known since the task was placed.
    """
    return not step.per_worker or len(find_others(worker, ref)) < step.per_worker


def find_others(worker: WorkerState, ref: TaskRef) -> list[TaskRef]:
    """Return the other tasks of a task's step that have a place on a worker."""
    job_id, (occurrence, number, _) = ref
    return [
        other
        for other in worker.tasks
        if other != ref
        and other[0] == job_id
        and other[1][0] == occurrence
        and other[1][1] == number
    ]


def describe_others(
    state: CellState, worker: WorkerState, ref: TaskRef
) -> list[list[Any]]:
    """Return index, attempt and phase of what else of a step counts on a worker."""
    rows: list[list[Any]] = []
    for other in find_others(worker, ref)[:MAX_LISTED_TASKS]:
        _, task = state.find_task(other)
        if task is None:
            continue
        index = other[1][2]
        if task.active and task.worker == worker.worker_id:
            rows.append([index, task.attempt, task.phase.name])
        rows += [
            [index, attempt, "COPY"]
            for attempt, worker_id in task.copies.items()
            if worker_id == worker.worker_id
        ]
    return rows


def log_place_freed(
    job: Job, task: Task, attempt: int, worker: WorkerState, reason: str
) -> None:
    """Log why an attempt no longer counts, if its step has a limit per worker."""
    step = job.spec.steps[task.key[1]]
    if not step.per_worker:
        return
    log_event(
        Event.PLACE_FREED,
        task=str(TaskName(job.spec.job_id, task.key)),
        attempt=attempt,
        worker=worker.worker_id,
        incarnation=worker.incarnation,
        reason=reason,
    )
