"""Pace of best-effort tasks (``Step.best_effort``) beside serving tasks.

Best-effort tasks use only the processor time that the serving tasks leave.
"""

from __future__ import annotations

from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.jobs.model import Phase, Task
from chivetray.jobs.pacing import choose_pace


def find_pace_changes(
    state: CellState, worker: WorkerState
) -> list[tuple[TaskRef, int, int]]:
    """Return the changes of pace that a worker's best-effort tasks need.

    A change takes effect once the worker has confirmed it; one without an answer
    follows again from the worker's next report.

    :return: task, attempt and new pace in percent
    """
    worst_latency_ratio = 0.0
    best_effort_tasks: list[tuple[TaskRef, Task]] = []
    for ref, step in worker.tasks.items():
        found = state.find_newest_attempt(worker, ref)
        if found is None or found[1].phase != Phase.RUNNING:
            continue
        _, task = found
        if step.best_effort:
            best_effort_tasks.append((ref, task))
        elif step.target_ms:
            worst_latency_ratio = max(worst_latency_ratio, task.level / step.target_ms)
    orders = []
    for ref, task in best_effort_tasks:
        percent = choose_pace(task.pace_percent, worst_latency_ratio)
        if percent != task.pace_percent or not task.pace_known:
            orders.append((ref, task.attempt, percent))
    return orders


def confirm_pace(
    state: CellState, worker: WorkerState, ref: TaskRef, attempt: int, percent: int
) -> None:
    """Record that a worker has changed the pace of an attempt."""
    found = state.find_newest_attempt(worker, ref)
    if found is not None and found[1].attempt == attempt:
        found[1].pace_percent, found[1].pace_known = percent, True


def has_mixed_tasks(worker: WorkerState) -> bool:
    """Return whether a worker has best-effort tasks beside serving ones."""
    steps = worker.tasks.values()
    has_serving_tasks = any(step.target_ms and not step.best_effort for step in steps)
    return has_serving_tasks and any(step.best_effort for step in steps)
