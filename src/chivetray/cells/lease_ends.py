"""Ends of the leases on workers that do not answer, stored for later owners.

An owner stores until when tasks may run on a silent worker, on the store's clock, and
extends no lease there before it has removed the entry. A later owner then waits just
until that time, however often the cell changes its owner meanwhile.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import msgpack

from chivetray.cells.tables import lease_row
from chivetray.cells.timing import (
    RETRY_PAUSE_MAX_S,
    RETRY_PAUSE_S,
    TICK_S,
)
from chivetray.cells.workers import WorkerState
from chivetray.clocks import CLOCK_DRIFT, RemoteClock, boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Conflict,
    OutcomeUnknown,
    Row,
    Store,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from chivetray.cells.owner import CellOwner
    from chivetray.cells.state import CellState

# Silence of a worker after which the end of its leases is stored, if the store serves
# this process: a process that is cut off finds all workers silent.
STORE_AFTER_SILENCE_S = 0.5

# Size of an entry of the row, apart from the worker's identifier.
LEASE_END_BYTES = 12

# Added to an end that is stored, for rounding.
LEASE_END_MARGIN_S = 0.02

# Difference from which an earlier end replaces a stored one.
LOWERED_BY_S = 1.0


class LeaseEnds:
    """The row with the lease ends of one cell, and what its owner has to store there.

    :ivar stored_ms: content of the row, by worker id: end of the leases on the store's
        clock
    """

    def __init__(self, state: CellState):
        self.stored_ms: dict[str, int] = {}
        self._state = state
        self._row = lease_row(state.name)
        self._version = ABSENT
        self._is_uncertain = False
        self._chosen_ms: dict[str, int] = {}
        self._wake = anyio.Event()

    def wake(self) -> None:
        """Check without delay what has to be stored."""
        self._wake.set()

    # Take-over

    async def load(self, store: Store, guard_version: int) -> dict[str, float]:
        """Read what earlier owners have stored.

        No lease is granted on the workers in the row until their entries are removed.

        :param guard_version: version of the owner row; reads of older versions are
            stale
        :return: end of the leases by worker id, on the local clock
        :raises StoreUnavailableError: if the store does not answer, or answers with a
            state from before the acquisition of the cell
        """
        table, part, key = self._row.table, self._row.part, self._row.key
        rows, version = await store.read(table, part, key, key + "\0")
        if version < guard_version:
            raise StoreUnavailableError("the store answered with an old lease row")
        now_s = boot_time_s()
        for row in rows:
            self._adopt(row)
        self._chosen_ms = dict(self.stored_ms)
        ends_s = {}
        for worker_id, end_ms in self.stored_ms.items():
            self._state.hold_lease_end(worker_id, math.inf)
            if not store.clock.known:
                continue
            left_ms = max(0, end_ms - store.clock.lower_bound_ms(now_s))
            ends_s[worker_id] = now_s + left_ms / 1000 / (1 - CLOCK_DRIFT)
        for worker_id, end_s in ends_s.items():
            self._state.hold_lease_end(worker_id, end_s + LEASE_END_MARGIN_S)
        if ends_s:
            self._log(Event.LEASE_ENDS_LOADED, ends_s)
        return ends_s

    def inherit(self, ends_ms: dict[str, int], store_clock: RemoteClock) -> None:
        """Treat lease ends that the owner row tells as if they were in the row.

        No lease is granted on their workers before this row is written: a later owner
        goes by the owner row until then.

        :param ends_ms: end by worker id, on the store's clock
        """
        now_s = boot_time_s()
        for worker_id, end_ms in ends_ms.items():
            if worker_id in self._chosen_ms:
                continue
            left_ms = max(0, end_ms - store_clock.lower_bound_ms(now_s))
            end_s = now_s + left_ms / 1000 / (1 - CLOCK_DRIFT)
            self._state.hold_lease_end(worker_id, end_s + LEASE_END_MARGIN_S)
            self._chosen_ms[worker_id] = end_ms
            self._is_uncertain = True

    def _adopt(self, row: Row) -> None:
        """Take over the version and the content of the row."""
        self._version = row.version
        try:
            content = msgpack.unpackb(row.value)
            self.stored_ms = {str(w): int(end_ms) for w, end_ms in content.items()}
        except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as e:
            self.stored_ms = {}
            log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(e))

    # Ownership

    async def run(self, owner: CellOwner, store_clock: RemoteClock) -> None:
        """Keep the row up to date until the cell is lost or released."""
        pause_s = RETRY_PAUSE_S
        while not owner.lost:
            self._wake = anyio.Event()
            content = self.choose_content(store_clock, owner.confirmed_at_s)
            if content is None or await self._store(owner, content):
                pause_s = RETRY_PAUSE_S
                with anyio.move_on_after(TICK_S):
                    await self._wake.wait()
            else:
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_PAUSE_MAX_S, 2 * pause_s)

    def choose_content(
        self, store_clock: RemoteClock, confirmed_at_s: float
    ) -> dict[str, int] | None:
        """Return what the row has to hold, ``None`` if it certainly holds that.

        From now on no order grants a lease on the workers that it names.

        :param confirmed_at_s: send time of the last write that proved the ownership
        """
        now_s = boot_time_s()
        chosen_ms: dict[str, int] = {}
        size_bytes = LEASE_END_BYTES
        if not store_clock.known:
            return None
        for worker_id, worker in self._state.workers.items():
            if not self._needs_entry(worker, confirmed_at_s):
                continue
            end_s = now_s + self._state.remaining_lease_s(worker, now_s)
            known_ms = self._chosen_ms.get(worker_id)
            held_s = self._state.held_lease_ends_s.get(worker_id, 0.0)
            is_earlier = end_s < held_s - LOWERED_BY_S
            size_bytes += len(worker_id) + LEASE_END_BYTES
            if size_bytes > self._state.row_limit_bytes:
                # The next owner waits there for the longest lease.
                continue
            if known_ms is None or end_s > held_s or is_earlier:
                end_s += LEASE_END_MARGIN_S
                self._state.hold_lease_end(worker_id, end_s)
                known_ms = store_clock.upper_bound_ms(end_s)
            chosen_ms[worker_id] = known_ms
        self._chosen_ms = chosen_ms
        if self._is_uncertain or chosen_ms != self.stored_ms:
            return chosen_ms
        self._allow_leases()
        return None

    @staticmethod
    def _needs_entry(worker: WorkerState, confirmed_at_s: float) -> bool:
        if not worker.tasks:
            return False
        if worker.lease_end_held:
            return not worker.tasks_known or worker.silent_since_s > 0
        if worker.address and not worker.silent_since_s:
            return False
        return confirmed_at_s >= worker.silence_seen_at_s + STORE_AFTER_SILENCE_S

    async def _store(self, owner: CellOwner, content: dict[str, int]) -> bool:
        """Write the row once; return whether it holds the content."""
        expected = {self._row: self._version}
        outcome = await owner.transact({self._row: msgpack.packb(content)}, expected)
        if isinstance(outcome, Committed):
            self._version, self.stored_ms = outcome.version, content
            self._is_uncertain = False
            self._allow_leases()
            ends_s = {w: self._state.held_lease_ends_s[w] for w in content}
            self._log(Event.LEASE_ENDS_STORED, ends_s)
            return True
        if isinstance(outcome, Conflict):
            found = outcome.rows.get(self._row)
            if owner.is_still_owner(outcome) and found is not None:
                # An earlier write without an answer was carried out.
                self._adopt(found)
                self._is_uncertain = False
            return False
        self._is_uncertain = self._is_uncertain or isinstance(outcome, OutcomeUnknown)
        owner.log_failure(outcome, during="lease ends")
        return False

    def _allow_leases(self) -> None:
        """Allow leases on the workers that the row certainly does not name."""
        for worker_id in list(self._state.held_lease_ends_s):
            if worker_id not in self.stored_ms and worker_id not in self._chosen_ms:
                self._state.forget_lease_end(worker_id)

    def _log(self, event: Event, ends_s: dict[str, float]) -> None:
        now_s = boot_time_s()
        log_event(
            event,
            cell=self._state.name,
            epoch=self._state.epoch,
            leases_s={w: round(end_s - now_s, 3) for w, end_s in ends_s.items()},
        )
