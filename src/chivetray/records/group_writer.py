"""Batches the row writes of many requests into shared calls to the table service.

Every write is conditional on the version of its row and carries a mark. When an
answer is lost, the rows are read back: a row with the mark of the write was
written by it, and an absent row means that the same write can be retried safely.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio
from returns.result import Failure, Success

from chivetray.events import Event, log_event
from chivetray.generated.settings import ClaimSettings
from chivetray.records.client import RecordClient, Row, RowWrite, RowWritten

RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

# Field of a row value that holds the mark of its write.
MARK_FIELD = "mark"


class WriteState(Enum):
    """Final state of a write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class PendingWrite:
    """A queued write and its outcome.

    :ivar give_up_at_s: time after which the write is not retried
    :ivar was_sent: whether the write was sent to the table service at least once
    :ivar state: outcome, ``None`` until it is known
    :ivar version: version of the row after the write or conflict
    :ivar done: set when the outcome is known
    :ivar on_give_up: called when the write is given up
    """

    write: RowWrite
    give_up_at_s: float
    was_sent: bool = False
    state: WriteState | None = None
    version: int = 0
    done: anyio.Event = field(default_factory=anyio.Event)
    on_give_up: Callable[[], None] | None = None

    def finish(self, state: WriteState, version: int = 0) -> None:
        """Set the outcome and notify the waiting tasks."""
        self.state = state
        self.version = version
        self.done.set()
        if state is WriteState.GIVEN_UP and self.on_give_up is not None:
            self.on_give_up()

    @property
    def mark(self) -> str:
        """Mark that identifies the write in the stored row."""
        return str((self.write.value or {}).get(MARK_FIELD, ""))


class RowRateLimiter:
    """Token bucket that limits the rows written per second.

    :param rows_per_second: refill rate, also the capacity of the bucket
    """

    def __init__(self, rows_per_second: float):
        self._rows_per_second = rows_per_second
        self._available_rows = rows_per_second
        self._updated_at_s = 0.0

    def take(self, requested: int, now_s: float) -> int:
        """Take up to the requested number of rows and return the number granted."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._available_rows = min(
            self._rows_per_second,
            self._available_rows + elapsed_s * self._rows_per_second,
        )
        self._updated_at_s = now_s
        granted = min(requested, int(self._available_rows))
        self._available_rows -= granted
        return granted

    def wait_s(self) -> float:
        """Return the time until the next row is available."""
        return max(0.0, 1 - self._available_rows) / self._rows_per_second


class GroupWriter:
    """Queues writes, which one task sends in batches.

    :param on_call: called after each call with its number of rows
    """

    def __init__(
        self,
        client: RecordClient,
        settings: ClaimSettings,
        on_call: Callable[[int], None] = lambda rows: None,
    ):
        self._client = client
        self._settings = settings
        self._rate_limiter = RowRateLimiter(settings.rows_per_second)
        self._on_call = on_call
        self._queue: deque[PendingWrite] = deque()
        self._write_queued = anyio.Event()
        self._in_flight: list[PendingWrite] = []

    def enqueue(self, write: RowWrite, give_up_at_s: float) -> PendingWrite:
        """Queue a write and return it; its ``done`` event is set when it ends."""
        pending = PendingWrite(write, give_up_at_s)
        self._queue.append(pending)
        self._write_queued.set()
        return pending

    def queue_wait_s(self) -> float:
        """Return the expected time that a new write waits in the queue."""
        return len(self._queue) / self._settings.rows_per_second

    async def drain(self) -> None:
        """Wait until every write that is queued or in flight has an outcome."""
        for pending in [*self._queue, *self._in_flight]:
            await pending.done.wait()

    async def run(self) -> None:
        """Send queued writes until cancelled."""
        while True:
            await self._write_queued.wait()
            await anyio.sleep(self._settings.batch_delay_s)
            while self._queue:
                await self._send_next()
            self._write_queued = anyio.Event()

    async def _send_next(self) -> None:
        now_s = anyio.current_time()
        self._drop_expired(now_s)
        requested = min(len(self._queue), self._settings.batch_limit_rows)
        allowed = self._rate_limiter.take(requested, now_s) if requested else 0
        if requested and not allowed:
            await anyio.sleep(self._rate_limiter.wait_s())
            return
        batch = [self._queue.popleft() for _ in range(allowed)]
        if batch:
            self._in_flight = batch
            await self._send_batch(batch)
            self._in_flight = []

    def _drop_expired(self, now_s: float) -> None:
        remaining: deque[PendingWrite] = deque()
        for pending in self._queue:
            if pending.give_up_at_s <= now_s:
                pending.finish(WriteState.GIVEN_UP)
            else:
                remaining.append(pending)
        self._queue = remaining

    async def _send_batch(self, batch: list[PendingWrite]) -> None:
        """Send a batch, with retries, until every write in it has an outcome."""
        delay_s = RETRY_DELAY_S
        while batch:
            for pending in batch:
                pending.was_sent = True
            result = await self._client.write_each([item.write for item in batch])
            self._on_call(len(batch))
            if isinstance(result, Success):
                await self._finish_batch(batch, result.unwrap())
                return
            if not result.failure().answered:
                batch = await self._read_back(batch)
            now_s = anyio.current_time()
            for pending in batch:
                if pending.give_up_at_s <= now_s:
                    pending.finish(WriteState.GIVEN_UP)
            batch = [pending for pending in batch if pending.state is None]
            if batch:
                await anyio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _finish_batch(
        self, batch: list[PendingWrite], results: list[RowWritten]
    ) -> None:
        for pending, result in zip(batch, results, strict=True):
            if result.written:
                pending.finish(WriteState.WRITTEN, result.version)
                continue
            # An earlier call whose answer was lost may have written the row.
            await self._resolve_from_row(pending)
            if pending.state is None:
                pending.finish(WriteState.CONFLICT, result.version)

    async def _read_back(self, batch: list[PendingWrite]) -> list[PendingWrite]:
        """Read back the rows after a lost answer; return the unresolved writes."""
        for pending in batch:
            await self._resolve_from_row(pending)
        return [pending for pending in batch if pending.state is None]

    async def _resolve_from_row(self, pending: PendingWrite) -> None:
        """Set the outcome of a write if it follows from the stored row."""
        write = pending.write
        result = await self._client.read_row(write.table, write.key)
        if isinstance(result, Failure):
            return
        row: Row | None = result.unwrap()
        if row is None:
            return
        if row.value.get(MARK_FIELD) == pending.mark:
            log_event(Event.CLAIM_RESOLVED, key=write.key, version=row.version)
            pending.finish(WriteState.WRITTEN, row.version)
        elif row.version != write.expected_version:
            pending.finish(WriteState.CONFLICT, row.version)
