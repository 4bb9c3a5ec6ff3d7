"""Crashes of workers: how they are known, and what ran there.

A worker has crashed if it is known to have ended without an order or a notice: a later
incarnation or another worker answers in its place. Silence proves nothing, since the
worker may be cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.model import Task
from chivetray.platform.workers import TaskName

if TYPE_CHECKING:
    from chivetray.cells.state import CellState


def record_crash(
    state: CellState, worker: WorkerState, seen_by: str, now_s: float
) -> None:
    """Record that a worker has ended, before its tasks are rescheduled.

    :param seen_by: what showed the end, for the log
    """
    if not worker.tasks:
        return
    log_event(
        Event.WORKER_CRASHED,
        worker=worker.worker_id,
        cell=state.name,
        epoch=state.epoch,
        incarnation=worker.incarnation,
        rack=worker.rack,
        seen_by=seen_by,
        planned=find_plan(worker, now_s),
        silent_s=round(now_s - (worker.silent_since_s or now_s), 3),
        attempts=_describe_attempts(state, worker),
    )


def find_plan(worker: WorkerState, now_s: float) -> str:
    """Return which plan explains the end of a worker, empty for none."""
    ended_s = worker.silent_since_s or now_s
    if worker.draining:
        return "drain"
    if worker.is_reserved(ended_s) or ended_s < worker.vm_order_until_s:
        return "VM order"
    return ""


def _describe_attempts(state: CellState, worker: WorkerState) -> list[list[Any]]:
    """Return what may have run on a worker, as rows for the log.

    :return: task, attempt, phase, and for how long in s it is known to have run
    """
    rows: list[list[Any]] = []
    for ref in worker.tasks:
        _, task = state.find_task(ref)
        if task is None:
            continue
        name = str(TaskName(*ref))
        if task.worker == worker.worker_id:
            ran_s = round(known_run_time_s(task), 3)
            rows.append([name, task.attempt, task.phase.name, ran_s])
        rows += [
            [name, attempt, "COPY", 0.0]
            for attempt, worker_id in task.copies.items()
            if worker_id == worker.worker_id
        ]
    return rows


def known_run_time_s(task: Task) -> float:
    """Return for how long the newest attempt of a task is known to have run."""
    if not task.running_at_s:
        return 0.0
    return max(0.0, task.listed_at_s - task.running_at_s)
