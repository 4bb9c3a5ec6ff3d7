"""Rows that managers keep in the store."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

from chivetray.platform.store import RowId

# Jobs as accepted and marks of cancelled ones, a part for each queue.
JOB_TABLE = "jobs"
CANCEL_SUFFIX = ".cancel"

# Owner and renewal of each cell and the progress of its jobs, a part for each cell.
CELL_TABLE = "cells"
PROGRESS_TABLE = "progress"

# Managers, where they can be reached.
MEMBER_TABLE = "members"


def job_row(queue: str, job_id: str) -> RowId:
    """Return the row of an accepted job."""
    return RowId(JOB_TABLE, queue, job_id)


def cancel_row(queue: str, job_id: str) -> RowId:
    """Return the row that marks a job as cancelled."""
    return RowId(JOB_TABLE, queue, job_id + CANCEL_SUFFIX)


def progress_row(cell: str, job_id: str) -> RowId:
    """Return the row with the progress of a job."""
    return RowId(PROGRESS_TABLE, cell, job_id)


def owner_row(cell: str) -> RowId:
    """Return the row that names the owner of a cell; it guards all its writes."""
    return RowId(CELL_TABLE, cell, "owner")


def renewal_row(cell: str) -> RowId:
    """Return the row that the owner of a cell rewrites as long as it lives."""
    return RowId(CELL_TABLE, cell, "renewal")


def member_row(name: str) -> RowId:
    """Return the row of a manager."""
    return RowId(MEMBER_TABLE, "", name)


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner of a cell.

    :ivar epoch: rises with each change of owner; the owner's fencing token
    :ivar released: whether the owner gave the cell up
    :ivar leases_s: time for which leases of silent workers may last, when released
    """

    epoch: int
    holder: str
    incarnation: str
    released: bool = False
    leases_s: dict[str, float] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the value of the row."""
        values = [self.epoch, self.holder, self.incarnation, self.released]
        return bytes(msgpack.packb([*values, self.leases_s]))

    @classmethod
    def decode(cls, content: bytes) -> Ownership | None:
        """Return the owner, or ``None`` when the row cannot be read."""
        try:
            epoch, holder, incarnation, released, leases_s = msgpack.unpackb(content)
        except (ValueError, TypeError, msgpack.UnpackException):
            return None
        return cls(
            int(epoch), str(holder), str(incarnation), bool(released), dict(leases_s)
        )
