"""Pace of tasks that fill what others leave."""

from __future__ import annotations

from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.jobs.model import Phase, Task
from chivetray.jobs.pacing import choose_pace


def pace_orders(
    state: CellState, worker: WorkerState
) -> list[tuple[TaskRef, int, int]]:
    """Return the filling tasks of a worker whose share has to change.

    :return: task, attempt and share in percent
    """
    worst = 0.0
    fills: list[tuple[TaskRef, Task]] = []
    for ref, step in worker.tasks.items():
        found = state.newest_run(worker, ref)
        if found is None or found[1].phase != Phase.RUNNING:
            continue
        _, task = found
        if step.fills:
            fills.append((ref, task))
        elif step.target_ms:
            worst = max(worst, task.level / step.target_ms)
    orders = []
    for ref, task in fills:
        percent = choose_pace(task.pace_percent, worst)
        if percent != task.pace_percent:
            task.pace_percent = percent
            orders.append((ref, task.attempt, percent))
    return orders


def shares(worker: WorkerState) -> bool:
    """Return whether a worker has filling tasks beside serving ones."""
    steps = worker.tasks.values()
    serving = any(step.target_ms and not step.fills for step in steps)
    return serving and any(step.fills for step in steps)
