"""Stores accepted jobs, many in one transaction when the store is slow."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import anyio
from anyio.abc import TaskGroup

from chivetray.clocks import boot_time_s
from chivetray.platform.store import (
    ABSENT,
    BYTES_LIMIT,
    ENTRIES_LIMIT,
    Committed,
    Conflict,
    Refused,
    RowId,
    Store,
)

# Pause before a transaction without answer is repeated.
RETRY_PAUSE_S = 0.05

# A transaction names each row twice.
ROWS_PER_CALL = ENTRIES_LIMIT // 2

# Transactions of one queue that may be under way at once: two, so that a job that
# comes while one waits for the store does not wait for all of it.
CALLS_PER_QUEUE = 2

# Size of a stored row with its names, for the limit on a call's bytes: the value
# grows by a third when it is sent as text.
ROW_OVERHEAD_BYTES = 600


class Acceptance(Enum):
    """Whether a job is stored."""

    STORED = "stored"
    STORED_BEFORE = "stored before"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Pending:
    """A row that waits to be created.

    :ivar unknown: whether an earlier transaction with the row had no answer
    """

    row: RowId
    value: bytes
    deadline_s: float
    unknown: bool = False
    reason: str = ""
    outcome: Acceptance | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, outcome: Acceptance, reason: str = "") -> None:
        self.outcome, self.reason = outcome, reason
        self.done.set()


class JobAcceptor:
    """Creates rows of jobs, those of one queue that wait together in one call."""

    def __init__(self, store: Store):
        self._store = store
        self._waiting: dict[str, list[_Pending]] = {}
        self._calls: dict[str, int] = {}

    async def create(
        self, tasks: TaskGroup, row: RowId, value: bytes, timeout_s: float
    ) -> tuple[Acceptance, str]:
        """Create a row unless it exists; return the outcome and the reason.

        ``REFUSED`` is certain: the row was not created and will not be.
        """
        pending = _Pending(row, value, boot_time_s() + timeout_s)
        self._waiting.setdefault(row.part, []).append(pending)
        if self._calls.get(row.part, 0) < CALLS_PER_QUEUE:
            self._calls[row.part] = self._calls.get(row.part, 0) + 1
            tasks.start_soon(self._serve, row.part)
        with anyio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.outcome is not None:
            return pending.outcome, pending.reason
        waiting = self._waiting.get(row.part, [])
        if pending in waiting and not pending.unknown:
            # It was never sent, so it can be taken back.
            waiting.remove(pending)
            return Acceptance.REFUSED, "the store is too slow"
        return Acceptance.UNKNOWN, pending.reason or "the store does not answer"

    async def _serve(self, part: str) -> None:
        """Send what waits for one queue until nothing does."""
        try:
            while waiting := self._waiting.get(part):
                batch = _take(waiting)
                await self._send(part, batch)
        finally:
            self._calls[part] -= 1

    async def _send(self, part: str, batch: list[_Pending]) -> None:
        # A row named twice in one call: the second is answered by the next call.
        rows = {pending.row: pending for pending in batch}
        again = [p for p in batch if rows[p.row] is not p]
        outcome = await self._store.transact(
            dict.fromkeys(rows, ABSENT), {row: p.value for row, p in rows.items()}
        )
        if isinstance(outcome, Committed):
            for pending in rows.values():
                pending.finish(Acceptance.STORED)
        elif isinstance(outcome, Conflict):
            for row, pending in rows.items():
                if row in outcome.rows:
                    pending.finish(Acceptance.STORED_BEFORE)
                else:
                    again.append(pending)
        elif isinstance(outcome, Refused):
            for pending in rows.values():
                if pending.unknown:
                    again.append(pending)
                else:
                    pending.finish(Acceptance.REFUSED, outcome.reason)
        else:
            for pending in rows.values():
                pending.unknown, pending.reason = True, outcome.reason
            again += rows.values()
            await anyio.sleep(RETRY_PAUSE_S)
        now_s = boot_time_s()
        for pending in again:
            if pending.deadline_s > now_s:
                self._waiting.setdefault(part, []).append(pending)


def _take(waiting: list[_Pending]) -> list[_Pending]:
    """Remove and return as many rows as one call may hold."""
    batch: list[_Pending] = []
    size = 0
    while waiting and len(batch) < ROWS_PER_CALL:
        size += len(waiting[0].value) * 4 // 3 + ROW_OVERHEAD_BYTES
        if batch and size > BYTES_LIMIT:
            break
        batch.append(waiting.pop(0))
    return batch
