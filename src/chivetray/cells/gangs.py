"""Gang scheduling: steps whose tasks run all together or not at all."""

from __future__ import annotations

from collections.abc import Mapping

from chivetray.cells.cap_use import may_start_gang
from chivetray.cells.orders import Placement, StopReason
from chivetray.cells.places import count_places
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import STARTED_PHASES, Phase, Step, Task
from chivetray.jobs.placement import choose_worker


def place_gang(
    state: CellState,
    job: Job,
    step: Step,
    tasks: list[Task],
    workers: list[WorkerState],
    now_s: float,
) -> list[Placement]:
    """Place all tasks of a gang step with one attempt number, or none of them.

    With ``same_rack``, the workers of single racks are tried before all workers.
    """
    if any(t.phase != Phase.WAITING or t.not_before_s > now_s for t in tasks):
        return []
    if any(state.awaits_older_attempt(task, step) for task in tasks):
        return []
    places = count_places(tasks)
    groups = [workers]
    if step.same_rack:
        racks = sorted({candidate.rack for candidate in workers})
        groups = [[w for w in workers if w.rack == rack] for rack in racks] + groups
    for group in groups:
        if not _may_fit(step, group, places):
            continue
        chosen = _fit_gang(state, job, step, tasks, group, places)
        if chosen is None:
            continue
        if not may_start_gang(state, job, step, len(tasks)):
            return []
        if state.count_storable(job) < len(tasks):
            return []
        attempt = max(task.attempt for task in tasks)
        checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), "")
        placements = []
        for task, worker in zip(tasks, chosen, strict=True):
            task.attempt, task.checkpoint = attempt, checkpoint
            placements.append(state.assign(job, task, step, worker, now_s))
        return placements
    return []


def _may_fit(step: Step, workers: list[WorkerState], places: Mapping[str, int]) -> bool:
    """Return whether workers have room for as many tasks as a gang step has.

    It looks at no task, so that a gang without room costs the same whatever its size.
    """
    room = 0
    for worker in workers:
        limit = step.count
        if step.per_worker:
            limit = max(0, step.per_worker - places.get(worker.worker_id, 0))
        room += worker.count_fitting(step, limit)
        if room >= step.count:
            return True
    return False


def _fit_gang(
    state: CellState,
    job: Job,
    step: Step,
    tasks: list[Task],
    workers: list[WorkerState],
    places: Mapping[str, int],
) -> list[WorkerState] | None:
    """Return a worker for each task, or ``None`` when not all of them fit.

    The resources allocated to find that out are freed again.

    :param places: number of tasks of the step that have a place on each worker
    """
    tasks_per_worker = dict(places)
    chosen: list[WorkerState] = []
    for task in tasks:
        # A worker rejects a newer attempt beside an older one of the same task.
        older_here = set(task.copies.values())
        candidate = choose_worker(
            step,
            [worker for worker in workers if worker.worker_id not in older_here],
            task.avoided_workers,
            tasks_per_worker,
            {},
        )
        if candidate is None:
            break
        worker = state.workers[candidate.worker_id]
        worker.allocate((job.spec.job_id, task.key), step)
        tasks_per_worker[worker.worker_id] = (
            tasks_per_worker.get(worker.worker_id, 0) + 1
        )
        chosen.append(worker)
    for task, worker in zip(tasks, chosen, strict=False):
        worker.free((job.spec.job_id, task.key), worker.idle_since_s)
    return chosen if len(chosen) == len(tasks) else None


def stop_broken_gangs(state: CellState) -> None:
    """Stop the remaining members of gangs in which a member no longer runs.

    Otherwise they would wait for that member until their time limit.
    """
    for job in state.active.values():
        for step_number, step in enumerate(job.spec.steps):
            if not step.gang or job.state.ended:
                continue
            for occurrence in range(job.spec.occurrences()):
                members = [
                    job.tasks[(occurrence, step_number, index)]
                    for index in range(step.count)
                    if (occurrence, step_number, index) in job.tasks
                ]
                running = [t for t in members if t.phase in STARTED_PHASES]
                if running and len(running) < step.count:
                    for task in running:
                        state.stop_task(job, task, StopReason.BROKEN_GANG)
