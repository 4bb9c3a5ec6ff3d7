"""Stores accepted jobs, batched into one transaction while the store is slow."""

from __future__ import annotations

import itertools
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio
from anyio.abc import TaskGroup

from chivetray.clocks import boot_time_s
from chivetray.platform.store import (
    ABSENT,
    ROW_OVERHEAD_BYTES,
    TRANSACTION_BYTES_LIMIT,
    TRANSACTION_ENTRIES_LIMIT,
    Committed,
    Conflict,
    Refused,
    RowId,
    Store,
    TransactionOutcome,
)

# Pause before a transaction without an answer is retried.
RETRY_PAUSE_S = 0.05

# Time within which a call without an answer has been carried out, if it ever is. The
# store carries out late calls some seconds later.
SETTLE_S = 10.0

# Time from which a call that is under way counts as one without an answer.
SLOW_CALL_S = 0.5

# Concurrent transactions of one queue. With two, a job that arrives while one of them
# waits for the store does not have to wait for its end.
TRANSACTIONS_PER_QUEUE = 2


class Acceptance(Enum):
    """Outcome of storing a job."""

    STORED = "stored"
    STORED_BEFORE = "stored before"
    STORED_BY_ANOTHER = "stored by another organisation"
    IDENTIFIER_TAKEN = "identifier of another queue's job"
    EXCLUDED = "excluded by another row"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Reservation:
    """A row that has to name the owner of an identifier before a job is stored.

    :ivar holder: content of the row, of all who may use the identifier
    """

    row: RowId
    holder: bytes

    def judge(self, value: bytes) -> Acceptance:
        """Return whether a stored row reserves the identifier for the holder."""
        if value == self.holder:
            return Acceptance.STORED_BEFORE
        return Acceptance.IDENTIFIER_TAKEN


@dataclass(slots=True)
class _PendingRow:
    """A row that waits to be created.

    :ivar judge: outcome for a row that was stored before, by its value
    :ivar excluded_by: row whose existence prevents this one from being created
    :ivar is_sent_alone: whether the row is sent in a transaction of its own
    :ivar unknown: whether an earlier transaction with the row had no answer, so that
        the row may exist
    """

    row: RowId
    value: bytes
    deadline_s: float
    judge: Callable[[bytes], Acceptance]
    excluded_by: RowId | None = None
    is_sent_alone: bool = False
    unknown: bool = False
    reason: str = ""
    outcome: Acceptance | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def absent_rows(self) -> list[RowId]:
        """Rows that must not exist for the row to be created."""
        return [self.row] if self.excluded_by is None else [self.row, self.excluded_by]

    def finish(self, outcome: Acceptance, reason: str = "") -> None:
        self.outcome, self.reason = outcome, reason
        self.done.set()


class JobAcceptor:
    """Creates rows of jobs, batching the rows of each queue into transactions.

    :ivar on_unsettled: called when a call had no answer, the first one for some time
    """

    def __init__(self, store: Store):
        self.on_unsettled: Callable[[], None] = lambda: None
        self._store = store
        self._unknown_at_s = -math.inf
        self._open_calls: dict[int, float] = {}
        self._call_numbers = itertools.count()
        self._pending_rows: Counter[RowId] = Counter()
        self._waiting: dict[str, list[_PendingRow]] = {}
        self._running_transactions: dict[str, int] = {}

    async def create(
        self,
        task_group: TaskGroup,
        row: RowId,
        value: bytes,
        timeout_s: float,
        judge: Callable[[bytes], Acceptance] = lambda _value: Acceptance.STORED_BEFORE,
        reservation: Reservation | None = None,
        excluded_by: RowId | None = None,
    ) -> tuple[Acceptance, str]:
        """Create a row unless it exists; return the outcome and the reason.

        After ``REFUSED`` the row does not exist and will not be created later, and
        after ``IDENTIFIER_TAKEN`` only an earlier call may have created it. After
        ``EXCLUDED`` no call that names the same excluding row can create it, as long
        as that row exists.

        :param judge: returns the outcome for a row that was stored before, by its value
        :param reservation: row that is created first, if it does not exist
        :param excluded_by: row of the same part whose existence prevents the creation
        """
        deadline_s = boot_time_s() + timeout_s
        self._pending_rows[row] += 1
        try:
            if reservation is not None:
                reserved, reason = await self._create(
                    task_group,
                    reservation.row,
                    reservation.holder,
                    timeout_s,
                    reservation.judge,
                )
                if reserved not in (Acceptance.STORED, Acceptance.STORED_BEFORE):
                    # Unless an earlier call has stored it, the job is not stored.
                    return reserved, reason
                timeout_s = max(0.0, deadline_s - boot_time_s())
            return await self._create(
                task_group, row, value, timeout_s, judge, excluded_by
            )
        finally:
            self._pending_rows[row] -= 1
            if not self._pending_rows[row]:
                del self._pending_rows[row]

    def is_storing(self, row: RowId) -> bool:
        """Return whether a row is being created on behalf of a caller."""
        return row in self._pending_rows

    def is_unsettled(self, now_s: float) -> bool:
        """Return whether a row may still come to exist by a call without an answer."""
        if now_s - self._unknown_at_s < SETTLE_S:
            return True
        return any(now_s - at_s > SLOW_CALL_S for at_s in self._open_calls.values())

    async def _create(
        self,
        task_group: TaskGroup,
        row: RowId,
        value: bytes,
        timeout_s: float,
        judge: Callable[[bytes], Acceptance],
        excluded_by: RowId | None = None,
    ) -> tuple[Acceptance, str]:
        deadline_s = boot_time_s() + timeout_s
        pending = _PendingRow(row, value, deadline_s, judge, excluded_by)
        self._waiting.setdefault(row.part, []).append(pending)
        if self._running_transactions.get(row.part, 0) < TRANSACTIONS_PER_QUEUE:
            self._running_transactions[row.part] = (
                self._running_transactions.get(row.part, 0) + 1
            )
            task_group.start_soon(self._send_waiting, row.part)
        with anyio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.outcome is not None:
            return pending.outcome, pending.reason
        waiting = self._waiting.get(row.part, [])
        if pending in waiting and not pending.unknown:
            # The row was never sent, so it can be withdrawn.
            waiting.remove(pending)
            return Acceptance.REFUSED, "the store is too slow"
        return Acceptance.UNKNOWN, pending.reason or "the store does not answer"

    async def _send_waiting(self, part: str) -> None:
        """Send the waiting rows of one queue until none is left."""
        try:
            while waiting := self._waiting.get(part):
                batch = _pop_batch(waiting)
                await self._send_batch(part, batch)
        finally:
            self._running_transactions[part] -= 1

    async def _send_batch(self, part: str, batch: list[_PendingRow]) -> None:
        # A row that waits twice is sent once in this batch. The other submission is
        # retried in a later one.
        rows = {pending.row: pending for pending in batch}
        to_retry = [p for p in batch if rows[p.row] is not p]
        outcome = await self._transact(rows)
        if isinstance(outcome, Committed):
            for pending in rows.values():
                pending.finish(Acceptance.STORED)
        elif isinstance(outcome, Conflict):
            for row, pending in rows.items():
                if row in outcome.rows:
                    pending.finish(pending.judge(outcome.rows[row].value))
                elif pending.excluded_by in outcome.rows:
                    pending.finish(Acceptance.EXCLUDED)
                else:
                    to_retry.append(pending)
        elif isinstance(outcome, Refused) and outcome.is_final and len(rows) > 1:
            # One row may be what the store refuses: each is sent by itself.
            for pending in rows.values():
                pending.is_sent_alone = True
            to_retry += rows.values()
        elif isinstance(outcome, Refused):
            for pending in rows.values():
                if pending.unknown:
                    to_retry.append(pending)
                else:
                    pending.finish(Acceptance.REFUSED, outcome.reason)
        else:
            was_settled = boot_time_s() - self._unknown_at_s >= SETTLE_S
            self._unknown_at_s = boot_time_s()
            if was_settled:
                self.on_unsettled()
            for pending in rows.values():
                pending.unknown, pending.reason = True, outcome.reason
            to_retry += rows.values()
            await anyio.sleep(RETRY_PAUSE_S)
        now_s = boot_time_s()
        # They have waited longest, so they come before the rows that came meanwhile.
        self._waiting.setdefault(part, [])[:0] = [
            pending for pending in to_retry if pending.deadline_s > now_s
        ]

    async def _transact(self, rows: dict[RowId, _PendingRow]) -> TransactionOutcome:
        number = next(self._call_numbers)
        self._open_calls[number] = boot_time_s()
        try:
            absent = (row for p in rows.values() for row in p.absent_rows)
            return await self._store.transact(
                dict.fromkeys(absent, ABSENT), {row: p.value for row, p in rows.items()}
            )
        finally:
            del self._open_calls[number]


def _pop_batch(waiting: list[_PendingRow]) -> list[_PendingRow]:
    """Remove and return as many rows as one transaction may contain."""
    batch: list[_PendingRow] = []
    written: set[RowId] = set()
    excluding: set[RowId | None] = set()
    entries = size_bytes = 0
    while waiting:
        first = waiting[0]
        # The preconditions and the write.
        entries += len(first.absent_rows) + 1
        size_bytes += len(first.value) * 4 // 3 + ROW_OVERHEAD_BYTES
        if batch and (
            entries > TRANSACTION_ENTRIES_LIMIT
            or size_bytes > TRANSACTION_BYTES_LIMIT
            or batch[0].is_sent_alone
            or first.is_sent_alone
            # One transaction would create both of two rows that exclude each other.
            or first.excluded_by in written
            or first.row in excluding
        ):
            break
        written.add(first.row)
        excluding.add(first.excluded_by)
        batch.append(waiting.pop(0))
    return batch
