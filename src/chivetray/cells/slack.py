"""Whether a cell has room and its jobs have time to spare."""

from __future__ import annotations

from chivetray.cells.state import CellState
from chivetray.scheduling.ordering import (
    full_value_deadline_s,
    remaining_critical_path_s,
)


def is_short_of_room(state: CellState) -> bool:
    """Return whether a task waits for room; long-running and due ones do not count."""
    waiting_ids = state.schedulable_job_ids - state.changed_job_ids()
    waiting = (state.active.get(job_id) for job_id in waiting_ids)
    return any(
        job is not None and not job.long_running and not job.spec.repeats
        for job in waiting
    )


def is_urgent(state: CellState, job_id: str, now_s: float, slack_s: float) -> bool:
    """Return whether a delay would make a job late that can still be in time.

    :param slack_s: longest delay
    """
    job = state.active.get(job_id)
    if job is None or job.long_running:
        return False
    earliest_end_s = now_s + remaining_critical_path_s(job, state.times)
    latest_end_s = full_value_deadline_s(job, state.times)
    return earliest_end_s <= latest_end_s < earliest_end_s + slack_s
