"""Jobs whose progress the store refuses for good, such as for the size of a row.

Repeating the transaction cannot change that, and must not hold up other jobs. Nothing
of such a job starts. What is stored of it stays, and its ends are not acknowledged, so
that workers list them again. Its progress is written again from time to time, as ends
make rows smaller.
"""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.progress_batches import EncodedRow
from chivetray.cells.state import CellState
from chivetray.cells.tables import progress_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.platform.store import Refused

# Pause before the progress of a held job is written again, doubled up to a limit.
HOLD_PAUSE_S = 5.0
HOLD_PAUSE_MAX_S = 60.0


@dataclass(frozen=True, slots=True)
class _Hold:
    """When the progress of a held job is written again."""

    due_at_s: float
    pause_s: float


class HeldJobs:
    """The held jobs of one cell; their ids stand in ``CellState.held_job_ids``."""

    def __init__(self, state: CellState):
        self._state = state
        self._holds: dict[str, _Hold] = {}

    def take_writable_jobs(self) -> list[Job]:
        """Return the changed jobs of the cell, with the due held ones only."""
        now_s = boot_time_s()
        for job_id, hold in self._holds.items():
            if now_s >= hold.due_at_s:
                self._state.mark_changed(job_id)
        return [
            job
            for job in self._state.take_changed_jobs()
            if not self._is_paused(job.spec.job_id, now_s)
        ]

    def _is_paused(self, job_id: str, now_s: float) -> bool:
        hold = self._holds.get(job_id)
        return hold is not None and now_s < hold.due_at_s

    def hold(self, rows: list[EncodedRow], refusal: Refused) -> None:
        """Hold a job, or hold it for longer.

        :param rows: rows of the job in the refused transaction
        """
        largest = max(rows, key=lambda row: len(row.content))
        job_id, cell = largest.job.spec.job_id, self._state.name
        before = self._holds.get(job_id)
        pause_s = HOLD_PAUSE_S
        if before is not None:
            pause_s = min(HOLD_PAUSE_MAX_S, 2 * before.pause_s)
        self._holds[job_id] = _Hold(boot_time_s() + pause_s, pause_s)
        self._state.held_job_ids.add(job_id)
        log_event(
            Event.JOB_HELD,
            job=job_id,
            cell=cell,
            epoch=self._state.epoch,
            reason=refusal.reason,
            row=progress_row(cell, job_id, largest.number).key,
            row_bytes=len(largest.content),
            rows=len(rows),
            retry_s=pause_s,
        )

    def end(self, job_id: str) -> None:
        """End the hold of a job whose progress is stored, if it was held."""
        if self._holds.pop(job_id, None) is None:
            return
        self._state.held_job_ids.discard(job_id)
        self._state.mark_changed(job_id)
        log_event(
            Event.JOB_HOLD_ENDED,
            job=job_id,
            cell=self._state.name,
            epoch=self._state.epoch,
        )

    def workers(self) -> set[str]:
        """Return the workers that may list ends which cannot be stored."""
        return {
            worker_id
            for job_id in self._holds
            for task in self._state.jobs[job_id].tasks.values()
            for worker_id in (task.worker, *task.copies.values())
        }
