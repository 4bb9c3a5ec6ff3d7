"""Steps whose tasks run all together or not at all."""

from __future__ import annotations

from chivetray.cells.orders import Placement
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import STARTED, Phase, Step, Task
from chivetray.jobs.placement import choose_worker


def place_gang(
    state: CellState,
    job: Job,
    step: Step,
    tasks: list[Task],
    rooms: list[WorkerState],
    now_s: float,
) -> list[Placement]:
    """Place all tasks of a gang with one attempt number, or none."""
    if any(t.phase != Phase.WAITING or t.not_before_s > now_s for t in tasks):
        return []
    groups = [rooms]
    if step.same_rack:
        racks = sorted({room.rack for room in rooms})
        groups = [[r for r in rooms if r.rack == rack] for rack in racks] + groups
    for group in groups:
        chosen = _fit_gang(state, job, step, tasks, group)
        if chosen is None:
            continue
        attempt = max(task.attempt for task in tasks)
        checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), "")
        placements = []
        for task, worker in zip(tasks, chosen, strict=True):
            task.attempt, task.checkpoint = attempt, checkpoint
            placements.append(state.assign(job, task, step, worker, now_s))
        return placements
    return []


def _fit_gang(
    state: CellState, job: Job, step: Step, tasks: list[Task], rooms: list[WorkerState]
) -> list[WorkerState] | None:
    """Return a worker for each task, or ``None`` when not all have room."""
    on_workers: dict[str, int] = {}
    chosen: list[WorkerState] = []
    for task in tasks:
        room = choose_worker(step, rooms, task.avoid, on_workers, {})
        if room is None:
            break
        worker = state.workers[room.worker_id]
        worker.allocate((job.spec.job_id, task.key), step)
        on_workers[worker.worker_id] = on_workers.get(worker.worker_id, 0) + 1
        chosen.append(worker)
    for task, worker in zip(tasks, chosen, strict=False):
        worker.free((job.spec.job_id, task.key), worker.idle_since_s)
    return chosen if len(chosen) == len(tasks) else None


def stop_broken_gangs(state: CellState) -> None:
    """Stop the members of gangs of which one does not run any more.

    Otherwise they would wait for it until their time limit.
    """
    for job in state.active.values():
        for number, step in enumerate(job.spec.steps):
            if not step.gang or job.state.ended:
                continue
            for occurrence in range(job.spec.occurrences()):
                members = [
                    job.tasks[(occurrence, number, index)]
                    for index in range(step.count)
                    if (occurrence, number, index) in job.tasks
                ]
                running = [t for t in members if t.phase in STARTED]
                if running and len(running) < step.count:
                    for task in running:
                        state.stop_task(job, task)
