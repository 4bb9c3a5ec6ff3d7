"""Learned run times of a cell, stored for its next owner in one small row.

The row is advice: it is read beside the work of a new owner, and written while the
store answers in time. Without it, run times are learned anew.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgpack

from chivetray.cells.tables import run_time_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Store,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from chivetray.cells.owner import CellOwner
    from chivetray.cells.state import CellState

# Shortest time between two writes, and time between two checks.
WRITE_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 1.0

# Latency of the store's writes above which the row is not written: a slow store carries
# out few transactions for each cell.
SLOW_STORE_S = 0.1

# Relative difference of a quantile, and factor of the number of runs, from which the
# evidence has changed.
CHANGED_BY = 0.1
CHANGED_RUNS_FACTOR = 2

# Largest row that is written; a full one holds about 3 KB.
MAX_ROW_BYTES = 8_000

# Stored quantiles that are compared: about the median and the 0.9 quantile.
COMPARED_POINTS = (16, 28)


class RunTimeRow:
    """The row with the learned run times of one cell."""

    def __init__(self, state: CellState):
        self._state = state
        self._row = run_time_row(state.name)
        self._version = ABSENT
        self._stored: list[list[Any]] = []
        self._written_at_s = 0.0
        self._known_evidence = 0

    async def run(self, owner: CellOwner, store: Store) -> None:
        """Read the row once, then keep it up to date until the cell is lost."""
        is_loaded = False
        while not owner.lost:
            is_loaded = is_loaded or await self.load(store, owner.guard_version)
            await anyio.sleep(CHECK_INTERVAL_S)
            if not is_loaded or owner.lost:
                continue
            if owner.renewal_latency_s > SLOW_STORE_S or owner.leaving:
                continue
            content = self.choose_content(boot_time_s())
            if content is not None:
                await self._store(owner, content)

    async def load(self, store: Store, guard_version: int) -> bool:
        """Read what earlier owners have learned; return whether that is known.

        :param guard_version: version of the owner row; older answers are stale
        """
        table, part, key = self._row.table, self._row.part, self._row.key
        try:
            rows, version = await store.read(table, part, key, key + "\0")
        except StoreUnavailableError:
            return False
        if version < guard_version:
            return False
        for row in rows:
            self._version = row.version
            self._adopt(row)
        return True

    def _adopt(self, row: Row) -> None:
        try:
            items = msgpack.unpackb(row.value)
            self._state.times.restore(items)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
            return
        self._stored = items
        self._known_evidence = self._state.times.version
        log_event(
            Event.RUN_TIMES_LOADED,
            cell=self._state.name,
            epoch=self._state.epoch,
            distributions=len(self._state.times),
        )

    def choose_content(self, now_s: float) -> list[list[Any]] | None:
        """Return what to write now, ``None`` for nothing."""
        evidence = self._state.times.version
        is_due = now_s - self._written_at_s >= WRITE_INTERVAL_S
        if not is_due or evidence == self._known_evidence:
            return None
        self._known_evidence = evidence
        items = self._state.times.dump()
        known = {(item[0], item[1]): item for item in self._stored}
        if all(_is_same(known.get((item[0], item[1])), item) for item in items):
            return None
        return items

    async def _store(self, owner: CellOwner, items: list[list[Any]]) -> None:
        content = msgpack.packb(items)
        while len(content) > MAX_ROW_BYTES:
            items = items[1:]
            content = msgpack.packb(items)
        self._written_at_s = boot_time_s()
        expected = {self._row: self._version}
        outcome = await owner.transact({self._row: content}, expected)
        if isinstance(outcome, Committed):
            self._version, self._stored = outcome.version, items
            return
        # Written again with the next evidence, or with this one.
        self._known_evidence = -1
        if isinstance(outcome, Conflict):
            found = outcome.rows.get(self._row)
            if owner.is_still_owner(outcome) and found is not None:
                # An earlier write without an answer was carried out.
                self._version = found.version
            return
        owner.log_failure(outcome, during="run times")


def _is_same(old: list[Any] | None, new: list[Any]) -> bool:
    """Return whether two items of a dump hold about the same evidence."""
    if old is None or new[2] >= CHANGED_RUNS_FACTOR * old[2]:
        return False
    for before, after in zip(old[3:], new[3:], strict=False):
        if len(before) != len(after):
            return False
        for point in COMPARED_POINTS:
            if after and abs(after[point] - before[point]) > CHANGED_BY * before[point]:
                return False
    return True
