"""Writes rows of many requests in shared calls to the table service.

Every row is created or changed conditionally and carries a writer's mark. When
an answer is lost, the rows are read back: a row with the mark was written by
this writer, and an absent row makes the same write safe to send again.
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

RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 1.0

# Name of the field that carries the writer's mark.
MARK_FIELD = "mark"


class WriteState(Enum):
    """Outcome of a write."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class PendingWrite:
    """A write that waits for its outcome.

    :ivar give_up_at_s: time after which the write is not tried again
    :ivar on_give_up: called when the write is given up
    :ivar tried: whether the write was ever handed to the table service
    """

    write: RowWrite
    give_up_at_s: float
    tried: bool = False
    state: WriteState | None = None
    version: int = 0
    done: anyio.Event = field(default_factory=anyio.Event)
    on_give_up: Callable[[], None] | None = None

    def finish(self, state: WriteState, version: int = 0) -> None:
        """Set the outcome."""
        self.state = state
        self.version = version
        self.done.set()
        if state is WriteState.GIVEN_UP and self.on_give_up is not None:
            self.on_give_up()

    @property
    def mark(self) -> str:
        """Mark by which the row is recognised."""
        return str((self.write.value or {}).get(MARK_FIELD, ""))


class RowAllowance:
    """Limits the rows that are written each second.

    :param rows_per_second: rows that are added to the allowance each second
    """

    def __init__(self, rows_per_second: float):
        self._rate = rows_per_second
        self._rows = rows_per_second
        self._updated_at_s = 0.0

    def take(self, wanted: int, now_s: float) -> int:
        """Take up to so many rows and return how many there were."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._rows = min(self._rate, self._rows + elapsed_s * self._rate)
        self._updated_at_s = now_s
        taken = min(wanted, int(self._rows))
        self._rows -= taken
        return taken

    def wait_s(self) -> float:
        """Return the time until the next row is allowed."""
        return max(0.0, 1 - self._rows) / self._rate


class GroupWriter:
    """Queue of writes that one task sends in groups.

    :param on_call: called with the number of rows after each call
    """

    def __init__(
        self,
        client: RecordClient,
        settings: ClaimSettings,
        on_call: Callable[[int], None] = lambda rows: None,
    ):
        self._client = client
        self._settings = settings
        self._allowance = RowAllowance(settings.rows_per_second)
        self._on_call = on_call
        self._queue: deque[PendingWrite] = deque()
        self._arrived = anyio.Event()
        self._sending: list[PendingWrite] = []

    def enqueue(self, write: RowWrite, give_up_at_s: float) -> PendingWrite:
        """Add a write; its outcome is set later."""
        pending = PendingWrite(write, give_up_at_s)
        self._queue.append(pending)
        self._arrived.set()
        return pending

    def queue_wait_s(self) -> float:
        """Return the time that a new write is going to wait for its turn."""
        return len(self._queue) / self._settings.rows_per_second

    async def drain(self) -> None:
        """Return after every queued write has an outcome."""
        for pending in [*self._queue, *self._sending]:
            await pending.done.wait()

    async def run(self) -> None:
        """Send the writes until cancelled."""
        while True:
            await self._arrived.wait()
            await anyio.sleep(self._settings.batch_delay_s)
            while self._queue:
                await self._send_next()
            self._arrived = anyio.Event()

    async def _send_next(self) -> None:
        now_s = anyio.current_time()
        self._drop_late(now_s)
        wanted = min(len(self._queue), self._settings.batch_limit_rows)
        allowed = self._allowance.take(wanted, now_s) if wanted else 0
        if wanted and not allowed:
            await anyio.sleep(self._allowance.wait_s())
            return
        batch = [self._queue.popleft() for _ in range(allowed)]
        if batch:
            self._sending = batch
            await self._send_batch(batch)
            self._sending = []

    def _drop_late(self, now_s: float) -> None:
        kept: deque[PendingWrite] = deque()
        for pending in self._queue:
            if pending.give_up_at_s <= now_s:
                pending.finish(WriteState.GIVEN_UP)
            else:
                kept.append(pending)
        self._queue = kept

    async def _send_batch(self, batch: list[PendingWrite]) -> None:
        """Send a batch until every write in it has an outcome."""
        pause_s = RETRY_PAUSE_S
        while batch:
            for pending in batch:
                pending.tried = True
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
                await anyio.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)

    async def _finish_batch(
        self, batch: list[PendingWrite], results: list[RowWritten]
    ) -> None:
        for pending, written in zip(batch, results, strict=True):
            if written.written:
                pending.finish(WriteState.WRITTEN, written.version)
                continue
            # The row may be this writer's own, from a call whose answer was lost.
            await self._resolve(pending)
            if pending.state is None:
                pending.finish(WriteState.CONFLICT, written.version)

    async def _read_back(self, batch: list[PendingWrite]) -> list[PendingWrite]:
        """Resolve the writes of a lost answer; return those still open."""
        for pending in batch:
            await self._resolve(pending)
        return [pending for pending in batch if pending.state is None]

    async def _resolve(self, pending: PendingWrite) -> None:
        """Set the outcome of a write if the stored row shows it."""
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
