"""Which process owns which cell, and the taking of cells without an owner."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.loading import add_row, load_jobs
from chivetray.cells.owner import RENEWAL_INTERVAL_S, CellOwner
from chivetray.cells.ranking import Candidate, rank_candidates
from chivetray.cells.state import CellState
from chivetray.cells.tables import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    Ownership,
    owner_row,
    renewal_row,
)
from chivetray.cells.timing import EARLIER_LEASE_S, LEASE_S, RELEASED_LEASE_S
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.advice import AdviceClient
from chivetray.platform.entries import WorkerEntry
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Row,
    Store,
    StoreUnavailableError,
    Unknown,
)
from chivetray.platform.workers import WorkerClient

# Time after the start in which the managers find each other before cells are taken.
SETTLE_S = 0.5

# Time in which a living owner renews its claim at least once, when the store answers
# at once. What a reading takes longer comes on top.
RENEWAL_PROOF_S = 1.5 * RENEWAL_INTERVAL_S

# Silence of an owner after which its renewals are read, so that the proof is there
# when the silence is long enough to take its cells.
SUSPICION_S = 0.5

TICK_S = 0.2

TAKE_CALL = "take"

# A cell is given up to a process with this many times the room for it: not by one with
# two cells to one with none, since a change of owner costs about half a second. One
# at a time, with a pause in which the new owner is heard of, and not while the store
# is so slow that a change of owner takes seconds.
YIELD_RATIO = 2.5
YIELD_PAUSE_S = 3.0
YIELD_STORE_S = 0.2

# Time that a cell may be without a claim before it is looked at, and the time by
# which each further process waits longer, in case those before it are cut off.
UNCLAIMED_S = 0.1
NEXT_CANDIDATE_S = 0.6


@dataclass(frozen=True, slots=True)
class Renewal:
    """The renewal row of a cell as it was read.

    :ivar version: version of the row, 0 when there is none
    :ivar read_at_s: time of the answer
    :ivar took_s: time that the reading took
    """

    version: int
    read_at_s: float
    took_s: float


class CellDirectory:
    """Owned cells of this process, and the owners of all others.

    :param cells: returns the names of all cells
    :param workers_of: returns the listed workers of a service
    :param capacity: thousandths of a core that this process has
    """

    def __init__(
        self,
        mesh: Mesh,
        store: Store,
        workers: WorkerClient,
        cells: Callable[[], Iterable[str]],
        workers_of: Callable[[str], list[WorkerEntry]],
        capacity: int,
        advice: AdviceClient | None = None,
    ):
        self.owned: dict[str, CellOwner] = {}
        self.leaving = False
        self.scanned_version = 0
        self.longest_lease_s = LEASE_S
        self._mesh = mesh
        self._store = store
        self._workers = workers
        self._cells = cells
        self._workers_of = workers_of
        self._capacity = capacity
        self._advice = advice
        self._taking: set[str] = set()
        self._unclaimed_since_s: dict[str, float] = {}
        self._renewals: dict[str, Renewal] = {}
        self._watching: set[str] = set()
        self._offered: dict[str, str] = {}
        self._wake = anyio.Event()
        self._may_yield_at_s = 0.0
        self._tasks: TaskGroup | None = None
        mesh.handlers[TAKE_CALL] = self._take_offered

    def wake(self) -> None:
        """Look at the cells at once."""
        self._wake.set()

    def owner_of(self, cell: str) -> str | None:
        """Return the process that claims a cell with the highest epoch."""
        best, best_epoch = None, -1
        own = self.owned.get(cell)
        if own is not None:
            best, best_epoch = self._mesh.name, own.epoch
        for peer in self._mesh.peers.values():
            for claim in peer.claims():
                if claim.cell == cell and claim.epoch > best_epoch:
                    best, best_epoch = peer.name, claim.epoch
        return best

    # Taking cells

    async def run(self) -> None:
        """Take cells without an owner until cancelled."""
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._wake = anyio.Event()
                self._drop_superseded()
                if not self.leaving:
                    self._take_unclaimed(tasks)
                    self._yield_cell()
                with anyio.move_on_after(TICK_S):
                    await self._wake.wait()

    def _drop_superseded(self) -> None:
        for cell, own in list(self.owned.items()):
            if self.owner_of(cell) != self._mesh.name:
                own.mark_lost("a peer claims the cell with a higher epoch")

    def _take_unclaimed(self, tasks: TaskGroup) -> None:
        now_s = boot_time_s()
        free = {cell for cell in self._cells() if self.owner_of(cell) is None}
        for cell in self._cells():
            if cell in free:
                continue
            self._unclaimed_since_s.pop(cell, None)
            owner = self._mesh.peers.get(self.owner_of(cell) or "")
            if owner is None or now_s - owner.heard_at_s < SUSPICION_S:
                self._renewals.pop(cell, None)
            elif cell not in self._renewals and cell not in self._watching:
                self._watching.add(cell)
                tasks.start_soon(self._watch, cell)
        ranked = rank_candidates(self._candidates(), free, self._cells())
        for cell, names in ranked.items():
            since_s = self._unclaimed_since_s.setdefault(cell, now_s)
            wait_s = UNCLAIMED_S + NEXT_CANDIDATE_S * names.index(self._mesh.name)
            if now_s - since_s < wait_s or cell in self._taking:
                continue
            self._taking.add(cell)
            tasks.start_soon(self._take, tasks, cell)

    def _candidates(self) -> dict[str, Candidate]:
        """Return the processes that may take cells, this one among them."""
        candidates = {
            peer.name: Candidate(peer.capacity, len(peer.claims()))
            for peer in self._mesh.peers.values()
            if not peer.leaving and peer.store_reached
        }
        candidates[self._mesh.name] = Candidate(self._capacity, len(self.owned))
        return candidates

    async def _watch(self, cell: str) -> None:
        """Read the renewal row of an owner that has fallen silent."""
        try:
            self._renewals[cell] = await self._read_renewal(cell)
        except StoreUnavailableError as error:
            log_event(Event.STORE_LOST, reason=str(error), during="renewal")
        finally:
            self._watching.discard(cell)

    async def _read_renewal(self, cell: str) -> Renewal:
        sent_at_s = boot_time_s()
        row = await self._store.read_row(renewal_row(cell))
        now_s = boot_time_s()
        return Renewal(row.version if row else 0, now_s, now_s - sent_at_s)

    def _yield_cell(self) -> None:
        """Give a cell up when another process would have much more room for it."""
        now_s = boot_time_s()
        if not self.owned or self._taking or now_s < self._may_yield_at_s:
            return
        if any(own.renewal_latency_s > YIELD_STORE_S for own in self.owned.values()):
            return
        candidates = self._candidates()
        own_share = self._capacity / len(self.owned)
        del candidates[self._mesh.name]
        best = max((c.share for c in candidates.values()), default=0.0)
        if best < YIELD_RATIO * own_share:
            return
        cell = min(self.owned)
        log_event(Event.CELL_YIELDED, cell=cell, own=own_share, other=best)
        self._may_yield_at_s = now_s + YIELD_PAUSE_S
        self.owned[cell].leaving = True
        self.owned[cell].wake()

    async def _take(self, tasks: TaskGroup, cell: str) -> None:
        try:
            own = await self._acquire(cell)
            if own is not None:
                self.owned[cell] = own
                self._mesh.beat_soon()
                tasks.start_soon(own.run)
        except StoreUnavailableError as error:
            log_event(Event.CELL_TAKE_FAILED, cell=cell, reason=str(error))
        finally:
            self._taking.discard(cell)

    async def _acquire(self, cell: str) -> CellOwner | None:
        row = await self._store.read_row(owner_row(cell))
        current = Ownership.decode(row.value) if row else None
        if row is not None and not await self._may_take(cell, current):
            return None
        epoch = (current.epoch if current else 0) + 1
        ownership = Ownership(epoch, self._mesh.name, self._mesh.incarnation)
        taken_s = boot_time_s()
        version = await self._write_ownership(cell, row, ownership)
        if version is None:
            return None
        log_event(
            Event.CELL_TAKEN,
            cell=cell,
            epoch=epoch,
            before=current.holder if current else "",
            released=bool(current and current.released),
        )
        state = CellState(cell)
        own = CellOwner(
            state,
            ownership,
            version,
            self._store,
            self._workers,
            self._forget,
            self._advice,
        )
        own.confirmed_at_s = taken_s
        own.longest_lease_s = self.longest_lease_s
        if current is None:
            own.inherited_s = {}
        elif current.released:
            own.inherited_s = current.leases_s
        state.list_workers(self._workers_of(cell), boot_time_s())
        await self._load(state, version)
        earlier_lease_s = 0.0
        if current is not None:
            earlier_lease_s = RELEASED_LEASE_S if current.released else EARLIER_LEASE_S
        leases_s = current.leases_s if current is not None else {}
        state.adopt_placed(boot_time_s(), earlier_lease_s, leases_s)
        return own

    async def _may_take(self, cell: str, current: Ownership | None) -> bool:
        """Return whether the last owner is gone."""
        if current is None or current.released or self._has_restarted(current):
            return True
        log_event(Event.CELL_SUSPECTED, cell=cell, holder=current.holder)
        before = self._renewals.pop(cell, None) or await self._read_renewal(cell)
        # A slow store delays the owner's renewals as much as this reading.
        proven_at_s = before.read_at_s + RENEWAL_PROOF_S + before.took_s
        await anyio.sleep(max(0.0, proven_at_s - boot_time_s()))
        after = await self._read_renewal(cell)
        if before.version == after.version:
            return self.owner_of(cell) is None
        log_event(Event.CELL_OWNER_ALIVE, cell=cell, holder=current.holder)
        self._unclaimed_since_s.pop(cell, None)
        return False

    def _has_restarted(self, current: Ownership) -> bool:
        """Return whether the life that owned a cell is known to have ended."""
        if current.holder == self._mesh.name:
            return current.incarnation != self._mesh.incarnation
        peer = self._mesh.peers.get(current.holder)
        return peer is not None and peer.incarnation != current.incarnation

    async def _write_ownership(
        self, cell: str, row: Row | None, ownership: Ownership
    ) -> int | None:
        """Write the owner row; return its version when the cell is ours."""
        guard = owner_row(cell)
        before = row.version if row else ABSENT
        outcome = await self._store.transact(
            {guard: before}, {guard: ownership.encode()}
        )
        if isinstance(outcome, Committed):
            return outcome.version
        if isinstance(outcome, Unknown):
            # It may have taken effect; writing once more tells.
            outcome = await self._store.transact(
                {guard: before}, {guard: ownership.encode()}
            )
            if isinstance(outcome, Committed):
                return outcome.version
        found = getattr(outcome, "rows", {}).get(guard)
        if found is not None and found.value == ownership.encode():
            return int(found.version)
        reason = getattr(outcome, "reason", "another process was first")
        log_event(Event.CELL_TAKE_FAILED, cell=cell, reason=reason)
        return None

    def _forget(self, cell: str) -> None:
        own = self.owned.pop(cell, None)
        self._mesh.beat_soon()
        if own is not None and own.leaving and self._tasks is not None:
            self._tasks.start_soon(self._offer, cell)
        self.wake()

    async def _offer(self, cell: str) -> None:
        """Let the process with most room take a cell that was given up."""
        candidates = self._candidates()
        del candidates[self._mesh.name]
        # Cells offered a moment ago are not among the claims that were heard.
        for offered, name in self._offered.items():
            if name in candidates and self.owner_of(offered) is None:
                before = candidates[name]
                candidates[name] = Candidate(before.capacity, before.cells + 1)
        names = rank_candidates(candidates, [cell], self._cells())[cell]
        if names:
            self._offered[cell] = names[0]
            await self._mesh.call(names[0], TAKE_CALL, cell)

    async def _take_offered(self, _peer: str, cell: Any) -> Any:
        """Take a cell whose owner has just given it up."""
        free = cell not in self.owned and cell not in self._taking
        if not free or self.leaving or self._tasks is None:
            return False
        self._taking.add(cell)
        self._tasks.start_soon(self._take, self._tasks, cell)
        return True

    # Loading jobs

    async def _load(self, state: CellState, guard_version: int) -> None:
        version = await load_jobs(self._store, state, guard_version)
        if version:
            before = self.scanned_version or version
            self.scanned_version = min(before, version)

    async def scan(self) -> None:
        """Find jobs and cancellations of which no process has told the owner.

        :raises StoreUnavailableError: when the store does not answer
        """
        if not self.owned:
            return
        changes = await self._store.changes(JOB_TABLE, self.scanned_version, 0)
        if changes.history_gone:
            # Goes on from what is read now; otherwise each scan would read all anew.
            self.scanned_version = 0
            for own in list(self.owned.values()):
                await self._load(own.state, own.guard_version)
                own.wake()
            return
        self.scanned_version = max(self.scanned_version, changes.version)
        now_s = boot_time_s()
        for own in list(self.owned.values()):
            for row in changes.rows:
                if row.removed:
                    continue
                if row.id.key.endswith(CANCEL_SUFFIX):
                    own.cancel(row.id.key.removesuffix(CANCEL_SUFFIX))
                else:
                    add_row(own.state, row, {}, now_s)
            own.wake()
