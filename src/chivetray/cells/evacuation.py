"""Emptying workers that leave or whose VM is needed."""

from __future__ import annotations

from collections.abc import Iterable

from chivetray.cells.state import CellState
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task

# Time for which a worker stays reserved after the last word of who wants its VM.
RESERVATION_S = 2.5

# Time after which tasks that cannot be moved are stopped on a reserved worker.
EMPTY_S = 6.0


def reserve(state: CellState, worker_ids: Iterable[str], now_s: float) -> None:
    """Place nothing new on some workers for a while, and on no others."""
    wanted = set(worker_ids)
    for worker in state.workers.values():
        if worker.worker_id in wanted:
            if not worker.is_reserved(now_s):
                worker.reserved_since_s = now_s
            worker.reserved_until_s = now_s + RESERVATION_S
        else:
            worker.reserved_until_s = 0.0


def evacuate(state: CellState, now_s: float) -> None:
    """Move what can be moved away from workers that leave or are needed."""
    for worker in state.workers.values():
        reserved = worker.is_reserved(now_s)
        if not reserved and not worker.draining:
            continue
        overdue = reserved and now_s - worker.reserved_since_s > EMPTY_S
        for ref, step in list(worker.tasks.items()):
            found = state.newest_run(worker, ref)
            if found is None or found[1].phase != Phase.RUNNING:
                continue
            job, task = found
            if step.fills:
                movable = True
            elif step.long_running:
                movable = worker.draining or may_miss_one(state, job, task, step)
            else:
                movable = reserved and (step.checkpointing or overdue)
            if movable:
                state.stop_task(job, task)


def may_miss_one(state: CellState, job: Job, task: Task, step: Step) -> bool:
    """Return whether a long-running task may be away for a moment."""
    occurrence, number, _ = task.key
    away = 0
    for other in job.open_tasks(occurrence, number):
        if other is not task and not _at_work(state, other):
            away += 1
    return away < max(1, step.may_miss)


def _at_work(state: CellState, task: Task) -> bool:
    worker = state.workers.get(task.worker)
    heard = worker is not None and not worker.silent_since_s
    return heard and task.phase == Phase.RUNNING and task.percent >= 100
