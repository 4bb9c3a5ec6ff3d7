"""Attempts of a step that count on workers, towards its limit for each worker."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Task
from chivetray.platform.workers import TaskName

# State of an older attempt, in place of the phase of a newest one.
COPY = "COPY"

# Places that one log line lists at most.
MAX_LISTED_PLACES = 20


@dataclass(frozen=True, slots=True)
class Place:
    """An attempt that counts on a worker.

    :ivar index: index of the task in its step
    :ivar state: phase of the attempt, or what else it is
    """

    index: int
    attempt: int
    state: str


def find_places(tasks: Iterable[Task]) -> dict[str, list[Place]]:
    """Return the places that the tasks of one step hold, by worker id."""
    places: dict[str, list[Place]] = {}
    for task in tasks:
        index = task.key[2]
        for attempt, worker_id in task.copies.items():
            places.setdefault(worker_id, []).append(Place(index, attempt, COPY))
        if task.active:
            place = Place(index, task.attempt, task.phase.name)
            places.setdefault(task.worker, []).append(place)
    return places


def describe_others(job: Job, task: Task, worker_id: str) -> list[tuple[int, int, str]]:
    """Return index, attempt and state of the others of a task's step on a worker."""
    occurrence, number, index = task.key
    places = find_places(job.step_tasks(occurrence, number)).get(worker_id, [])
    others = [place for place in places if place.index != index]
    return [
        (place.index, place.attempt, place.state)
        for place in others[:MAX_LISTED_PLACES]
    ]


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
