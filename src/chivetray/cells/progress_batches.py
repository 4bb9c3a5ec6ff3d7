"""Rows with the progress of jobs, gathered into the transactions of one commit."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chivetray.cells.state import CellState
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState
from chivetray.platform.store import ROW_OVERHEAD_BYTES, TRANSACTION_ENTRIES_LIMIT

# Each progress row counts twice towards the limit of a transaction, as a precondition
# and as a write; the owner row is a precondition, the renewal row a write.
ROWS_PER_COMMIT = (TRANSACTION_ENTRIES_LIMIT - 2) // 2

# Most bytes of one commit. A VM with a link of 5 Mbit/s sends them in half of the
# interval of renewals, which would otherwise overtake the commit each time.
COMMIT_BYTES_LIMIT = 150_000


@dataclass(frozen=True, slots=True)
class EncodedRow:
    """A row with progress of a job as it is to be stored.

    :ivar number: number of the row, see ``jobs.progress``
    :ivar state: state of the job when the row was encoded
    """

    job: Job
    number: int
    state: JobState
    content: bytes

    @property
    def call_bytes(self) -> int:
        """Size of the row in a call."""
        return ROW_OVERHEAD_BYTES + len(self.content) * 4 // 3


def encode_jobs(state: CellState, jobs: Iterable[Job]) -> list[list[EncodedRow]]:
    """Return the rows to write for each job, the main row last."""
    return [
        [
            EncodedRow(job, number, job.state, content)
            for number, content in state.rows_of(job).encode_changed()
        ]
        for job in jobs
    ]


def split_into_batches(
    rows_by_job: Iterable[list[EncodedRow]],
) -> Iterator[list[EncodedRow]]:
    """Yield rows in as many batches as transactions are needed.

    The rows of a job are written together if one transaction can hold them.
    """
    batch: list[EncodedRow] = []
    batch_bytes = 0
    for rows in rows_by_job:
        job_bytes = sum(row.call_bytes for row in rows)
        fits_alone = len(rows) <= ROWS_PER_COMMIT and job_bytes <= COMMIT_BYTES_LIMIT
        for position, row in enumerate(rows):
            is_first = position == 0
            added = len(rows) if is_first and fits_alone else 1
            added_bytes = job_bytes if is_first and fits_alone else row.call_bytes
            is_full = len(batch) + added > ROWS_PER_COMMIT
            if batch and (is_full or batch_bytes + added_bytes > COMMIT_BYTES_LIMIT):
                yield batch
                batch, batch_bytes = [], 0
            batch.append(row)
            batch_bytes += row.call_bytes
    if batch:
        yield batch
