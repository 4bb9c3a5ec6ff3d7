"""Rows that manager processes keep in the store."""

from __future__ import annotations

import hashlib
import zlib
from dataclasses import dataclass, field

import msgpack

from chivetray.cells.timing import CONFIRMED_LEASE_S
from chivetray.jobs.model import QUEUE_NAME_CHARS, JobName
from chivetray.platform.store import RowId

# Accepted jobs and cancellation marks, with some parts for each queue. The store
# carries out the transactions of a part one after another: three a second when it is
# slow.
JOB_TABLE = "jobs"
CANCEL_SUFFIX = ".cancel"
PARTS_PER_QUEUE = 4

# Contents of a mark whose job existed, and of one that was written instead of its job.
CANCELLED = b"1"
TOMBSTONE = b"0"

# Length of the digest of an organisation in the key of a tombstone, in bytes.
ORGANISATION_DIGEST_BYTES = 8

# Which queue's job has an identifier in a cell. Workers know tasks by the identifier of
# their job alone, so that no two jobs of a cell may have the same.
IDENTIFIER_TABLE = "identifiers"

# Difference between the epochs of two owners in a row. An owner raises the fencing
# token of a worker with each later incarnation, up to the epoch of the next owner.
EPOCH_STEP = 1000

# Owner, renewal and lease rows of the cells, and the progress of their jobs, with one
# part for each cell.
CELL_TABLE = "cells"
PROGRESS_TABLE = "progress"

# Stands between the identifier of a job and the number of one of its rows.
PROGRESS_SEPARATOR = "."

# Longest time from the last confirmed write to the end of a lease of an owner whose
# row does not tell it.
EARLIER_RELEASE_LEASE_LIMIT_S = 11.0

# Addresses of the manager processes.
MEMBER_TABLE = "members"

# Shares of the caps of organisations, with one part for each organisation.
SHARE_TABLE = "shares"


def job_row(queue: str, job_id: str) -> RowId:
    """Return the row of an accepted job."""
    return RowId(JOB_TABLE, _job_part(queue, job_id), job_id)


def cancel_row(queue: str, job_id: str) -> RowId:
    """Return the row that marks a job as cancelled."""
    return RowId(JOB_TABLE, _job_part(queue, job_id), job_id + CANCEL_SUFFIX)


def tombstone_row(queue: str, job_id: str, organisation: str) -> RowId:
    """Return the row whose existence prevents a cancelled job from being stored.

    Each organisation has its own, so that none can block the jobs of another one.

    :param organisation: organisation of the caller, empty for none
    """
    key = tombstone_name(JobName.of(queue, job_id), organisation).job_id
    return RowId(JOB_TABLE, _job_part(queue, job_id), key + CANCEL_SUFFIX)


def end_of_rows(job_id: str) -> str:
    """Return the key that follows those of a job, its mark and its tombstones."""
    # The character after the one that begins each suffix.
    return job_id + chr(ord(CANCEL_SUFFIX[0]) + 1)


def tombstone_name(name: JobName, organisation: str) -> JobName:
    """Return the name that :func:`name_of_row` reads from a tombstone of a job."""
    if not organisation:
        return name
    digest = hashlib.sha256(organisation.encode()).hexdigest()
    job_id = f"{name.job_id}.{digest[: 2 * ORGANISATION_DIGEST_BYTES]}"
    return JobName(name.queue, job_id)


def identifier_row(cell: str, job_id: str) -> RowId:
    """Return the row that names the queue whose job has an identifier in a cell."""
    return RowId(IDENTIFIER_TABLE, _job_part(cell, job_id), job_id)


def name_of_row(row: RowId) -> JobName:
    """Return the name of the job of a row in the table of jobs."""
    return JobName(queue_of_part(row.part), row.key.removesuffix(CANCEL_SUFFIX))


def _job_part(group: str, job_id: str) -> str:
    """Return the part of a row about a job, which every process derives from its id.

    :param group: key of the job's queue, or name of its cell
    """
    number = zlib.crc32(job_id.encode()) % PARTS_PER_QUEUE
    return f"{group[:QUEUE_NAME_CHARS]}#{number}"


def queue_of_part(part: str) -> str:
    """Return the start of the key of the queue whose jobs a part of the table holds."""
    # Earlier releases kept the jobs of a queue in one part, which had its name.
    return part.rpartition("#")[0] or part


def progress_row(cell: str, job_id: str, number: int = 0) -> RowId:
    """Return a row with the progress of a job.

    :param number: number of the row, 0 for the main row
    """
    key = f"{job_id}{PROGRESS_SEPARATOR}{number:05}" if number else job_id
    return RowId(PROGRESS_TABLE, cell, key)


def parse_progress_key(key: str) -> tuple[str, int]:
    """Return the job's identifier and the number of a row with progress.

    :raises ValueError: if the key has another format
    """
    job_id, _, number = key.partition(PROGRESS_SEPARATOR)
    return job_id, int(number or 0)


def owner_row(cell: str) -> RowId:
    """Return the row that names the owner of a cell and guards all its writes."""
    return RowId(CELL_TABLE, cell, "owner")


def renewal_row(cell: str) -> RowId:
    """Return the row that the owner of a cell rewrites while it is running."""
    return RowId(CELL_TABLE, cell, "renewal")


def ended_row(cell: str) -> RowId:
    """Return the row that tells the end of a cell without a route.

    It holds if it has the version of the owner row, which the same transaction wrote.
    """
    return RowId(CELL_TABLE, cell, "ended")


def lease_row(cell: str) -> RowId:
    """Return the row with the ends of the leases on workers that do not answer."""
    return RowId(CELL_TABLE, cell, "leases")


def run_time_row(cell: str) -> RowId:
    """Return the row with the learned run times of a cell."""
    return RowId(CELL_TABLE, cell, "run-times")


def member_row(name: str) -> RowId:
    """Return the row with the address of a manager process."""
    return RowId(MEMBER_TABLE, "", name)


def share_row(organisation: str) -> RowId:
    """Return the row with the shares of an organisation's cap."""
    return RowId(SHARE_TABLE, organisation, "shares")


@dataclass(frozen=True, slots=True)
class Ownership:
    """Content of the owner row of a cell.

    :ivar epoch: grows with each change of owner; also the owner's fencing token
    :ivar holder: name of the owning process
    :ivar incarnation: run of that process between two starts
    :ivar released: whether the owner has released the cell
    :ivar leases_s: by worker id, how long the leases of silent workers may still last
        after the release
    :ivar lease_limit_s: longest time from the owner's last confirmed write to the end
        of a lease
    :ivar lease_ends_ms: by worker id, end of the leases that an earlier owner told in
        its release, on the store's clock
    """

    epoch: int
    holder: str
    incarnation: str
    released: bool = False
    leases_s: dict[str, float] = field(default_factory=dict)
    lease_limit_s: float = CONFIRMED_LEASE_S
    lease_ends_ms: dict[str, int] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the ownership as it is stored in the row."""
        values: list[object] = [self.epoch, self.holder, self.incarnation]
        values += [self.released, self.leases_s, self.lease_limit_s]
        if self.lease_ends_ms:
            values.append(self.lease_ends_ms)
        return bytes(msgpack.packb(values))

    @classmethod
    def decode(cls, content: bytes) -> Ownership | None:
        """Return the ownership in a row, or ``None`` when it cannot be decoded."""
        try:
            epoch, holder, incarnation, released, leases_s, *rest = msgpack.unpackb(
                content
            )
            # Rows of earlier releases end here.
            lease_limit_s, *rest = rest or [EARLIER_RELEASE_LEASE_LIMIT_S]
            (lease_ends_ms,) = rest or ({},)
            return cls(
                int(epoch),
                str(holder),
                str(incarnation),
                bool(released),
                {str(w): float(left_s) for w, left_s in leases_s.items()},
                float(lease_limit_s),
                {str(w): int(end_ms) for w, end_ms in lease_ends_ms.items()},
            )
        except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
            return None
