"""Tracks which process owns which cell, and acquires cells without an owner."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.caps import CapRegister
from chivetray.cells.cell_register import CellRegister
from chivetray.cells.evacuation import await_reservations
from chivetray.cells.loading import (
    CONCURRENT_READS,
    JobLoader,
    add_job_from_row,
    apply_mark,
)
from chivetray.cells.owner import RENEWAL_INTERVAL_S, CellOwner
from chivetray.cells.pending_counts import UNREAD_QUEUES
from chivetray.cells.ranking import Candidate, rank_candidates
from chivetray.cells.state import DEFAULT_ROW_BYTES, CellState
from chivetray.cells.tables import (
    CANCEL_SUFFIX,
    EARLIER_RELEASE_LEASE_LIMIT_S,
    EPOCH_STEP,
    JOB_TABLE,
    Ownership,
    lease_row,
    owner_row,
    renewal_row,
)
from chivetray.cells.timing import (
    CONFIRMED_LEASE_S,
    LEASE_EXTENSION_WINDOW_S,
    LEASE_S,
    MAX_RELEASED_LEASE_S,
    SLOW_CLOCK_FACTOR,
)
from chivetray.clocks import CLOCK_DRIFT, boot_time_s
from chivetray.defects import contain_errors, log_defect
from chivetray.events import Event, log_event
from chivetray.generated.messages import CellClaim
from chivetray.peers.mesh import Mesh
from chivetray.platform.advice import AdviceClient
from chivetray.platform.store import (
    ABSENT,
    Committed,
    OutcomeUnknown,
    Row,
    Store,
    StoreUnavailableError,
)
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import WorkerClient

# Time after the start in which managers discover each other before they acquire cells.
DISCOVERY_DELAY_S = 0.5

# Time within which a live owner renews its ownership at least once, if the store
# answers without delay. The duration of a read is added to it.
RENEWAL_OBSERVATION_S = 1.5 * RENEWAL_INTERVAL_S

# Silence of an owner after which its renewal row is read for the first time, so that
# the observation is complete once the silence is long enough to acquire its cells.
SUSPECT_AFTER_S = 0.5

TICK_S = 0.2

ACQUIRE_CALL = "take"

# A cell is yielded to a process with at least this many times the capacity per cell. A
# process with two cells does not yield to one with none, since a change of owner takes
# about half a second. Cells are yielded one at a time, with a pause in which the new
# owner is announced, and not while the store is so slow that a change of owner would
# take seconds.
YIELD_CAPACITY_RATIO = 2.5
YIELD_PAUSE_S = 3.0
YIELD_MAX_RENEWAL_LATENCY_S = 0.2

# Time without a claim after which the first candidate acquires a cell. Each further
# candidate waits longer by the second value, in case those before it are partitioned.
UNCLAIMED_DELAY_S = 0.1
CANDIDATE_STAGGER_S = 0.6


# Time for which a cell without a route has nothing to do before it ends: a manager that
# is cut off accepts jobs by an earlier configuration, and late writes store them.
IDLE_CELL_TTL_S = 60.0

# Pause before this process tries again to acquire a cell whose acquisition ended in an
# error. Others try meanwhile.
FAILED_ACQUISITION_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Renewal:
    """One read of a cell's renewal row.

    :ivar version: version of the row, 0 if there is none
    :ivar read_at_s: receive time of the answer
    :ivar took_s: duration of the read
    """

    version: int
    read_at_s: float
    took_s: float


class CellDirectory:
    """The cells that this process owns, and the known owners of all others.

    :param cells: returns the names of all cells
    :param workers_of: returns the listed workers of a service
    :param service_of: returns the service that runs the jobs of a queue now, ``None``
        if it is not known
    :param concurrent_reads: pages of rows to read concurrently while cells are loaded
    :param caps: caps of organisations that the process knows
    :ivar owned_cells: owners of the cells whose jobs are loaded
    :ivar loading_cells: owners of the cells whose jobs are being loaded
    :ivar capacity: capacity of this process in thousandths of a core
    :ivar scanned_version: version of the job table that ``scan`` has read up to
    :ivar scanned_at_s: start of the newest scan that was completed
    :ivar longest_lease_s: upper bound of the leases that workers grant
    :ivar longest_list_age_s: age of the list of workers above which no task starts
    :ivar stores_run_times: whether owners store learned run times for the next owner
    :ivar weight_of: returns the weight of an organisation, as in ``JobTurns``
    :ivar tells_backlog: whether claims carry a digest of the cell's work
    :ivar has_vm_orders: whether a manager moves and maintains the VMs of workers
    :ivar row_limit_bytes: largest row that the store accepts
    :ivar register: the cells that exist, ``None`` if none ever ends
    """

    register: CellRegister | None = None
    row_limit_bytes = DEFAULT_ROW_BYTES

    # Set while a scan is under way.
    _scan_ended: anyio.Event | None = None

    _caps: CapRegister | None = None

    def __init__(
        self,
        mesh: Mesh,
        store: Store,
        workers: WorkerClient,
        cells: Callable[[], Iterable[str]],
        workers_of: Callable[[str], list[WorkerRecord]],
        capacity: int,
        advice: AdviceClient | None = None,
        service_of: Callable[[str], str | None] = lambda _queue: None,
        concurrent_reads: int = CONCURRENT_READS,
        caps: CapRegister | None = None,
    ):
        self.owned_cells: dict[str, CellOwner] = {}
        self.loading_cells: dict[str, CellOwner] = {}
        self._loader = JobLoader(
            store,
            concurrent_reads,
            service_of,
            self._is_still_loading,
            self._note_job,
        )
        self.leaving = False
        self.scanned_version = 0
        self.scanned_at_s = 0.0
        self.longest_lease_s = LEASE_S
        self.longest_list_age_s = math.inf
        self.stores_run_times = False
        self.has_vm_orders = False
        self.weight_of: Callable[[str], float | None] = lambda _organisation: None
        self.tells_backlog = False
        self._mesh = mesh
        self._store = store
        self._workers = workers
        self._cells = cells
        self._workers_of = workers_of
        self.capacity = capacity
        self._advice = advice
        self._caps = caps
        self._created_at_s = boot_time_s()
        self._acquiring: set[str] = set()
        self._unclaimed_since_s: dict[str, float] = {}
        self._idle_since_s: dict[str, float] = {}
        self._renewals: dict[str, Renewal] = {}
        self._reading_renewals: set[str] = set()
        self._offered_to: dict[str, str] = {}
        self._wake = anyio.Event()
        self._may_yield_at_s = 0.0
        self._task_group: TaskGroup | None = None
        mesh.handlers[ACQUIRE_CALL] = self._handle_offer

    def wake(self) -> None:
        """Re-evaluate the ownership of all cells without delay."""
        self._wake.set()

    def owner_of(self, cell: str) -> str | None:
        """Return the process that claims a cell with the highest epoch."""
        return self._newest_claim(cell)[0]

    def serving_owner_of(self, cell: str) -> str | None:
        """Return the owner of a cell if it has loaded the jobs of the cell."""
        name, is_loaded = self._newest_claim(cell)
        return name if is_loaded else None

    def claims(self) -> list[CellClaim]:
        """Return what this process claims to own, for its peers."""
        return [
            CellClaim(
                cell,
                owner.epoch,
                _count_pending(owner.state),
                loaded,
                self._describe_backlog(owner.state) if loaded else [],
            )
            for owners, loaded in (
                (self.owned_cells, True),
                (self.loading_cells, False),
            )
            for cell, owner in owners.items()
        ]

    def job_cells(self) -> Collection[str] | None:
        """Return the cells that may hold jobs, ``None`` if not all are known."""
        if self.register is None:
            return list(self._cells())
        return self.register.names() if self.register.is_complete else None

    def _describe_backlog(self, state: CellState) -> list[int]:
        if not self.tells_backlog:
            return []
        return state.backlog_meter.encode(state, boot_time_s())

    def _newest_claim(self, cell: str) -> tuple[str | None, bool]:
        """Return who claims a cell with the highest epoch, and whether it is loaded."""
        name, is_loaded, highest_epoch = None, False, -1
        own = self.owned_cells.get(cell) or self.loading_cells.get(cell)
        if own is not None:
            name, highest_epoch = self._mesh.name, own.epoch
            is_loaded = cell in self.owned_cells
        for peer in self._mesh.peers.values():
            for claim in peer.claims():
                if claim.cell == cell and claim.epoch > highest_epoch:
                    name, highest_epoch = peer.name, claim.epoch
                    is_loaded = claim.loaded
        return name, is_loaded

    def _is_still_loading(self, cell: str) -> bool:
        owner = self.loading_cells.get(cell) or self.owned_cells.get(cell)
        return owner is not None and not owner.lost

    # Acquisition of cells

    async def run(self) -> None:
        """Acquire cells without an owner until cancelled."""
        await anyio.sleep(DISCOVERY_DELAY_S)
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                await self._follow_cells(task_group)
        except Exception:
            # Nothing runs the cells any more, so they must not be claimed either.
            self._task_group = None
            owners = {**self.loading_cells, **self.owned_cells}
            for cell_owner in owners.values():
                cell_owner.mark_lost("an error in the directory")
            self.loading_cells.clear()
            self._acquiring.clear()
            raise

    async def _follow_cells(self, task_group: TaskGroup) -> None:
        while True:
            self._wake = anyio.Event()
            with contain_errors("cells"):
                self._drop_superseded()
                if not self.leaving:
                    self._acquire_unowned(task_group)
                    self._yield_cell()
                    self._end_idle_cells(task_group)
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()

    def _drop_superseded(self) -> None:
        owners = {**self.loading_cells, **self.owned_cells}
        for cell, cell_owner in owners.items():
            if self.owner_of(cell) != self._mesh.name:
                cell_owner.mark_lost("a peer claims the cell with a higher epoch")

    def _acquire_unowned(self, task_group: TaskGroup) -> None:
        now_s = boot_time_s()
        unowned = {cell for cell in self._cells() if self.owner_of(cell) is None}
        for cell in self._cells():
            if cell in unowned:
                continue
            self._unclaimed_since_s.pop(cell, None)
            owning_peer = self._mesh.peers.get(self.owner_of(cell) or "")
            if owning_peer is None or now_s - owning_peer.heard_at_s < SUSPECT_AFTER_S:
                self._renewals.pop(cell, None)
            elif cell not in self._renewals and cell not in self._reading_renewals:
                self._reading_renewals.add(cell)
                task_group.start_soon(self._read_suspect_renewal, cell)
        ranked = rank_candidates(self._candidates(), unowned, self._cells())
        for cell, names in ranked.items():
            since_s = self._unclaimed_since_s.setdefault(cell, now_s)
            wait_s = UNCLAIMED_DELAY_S + CANDIDATE_STAGGER_S * names.index(
                self._mesh.name
            )
            if now_s - since_s < wait_s or cell in self._acquiring:
                continue
            self._acquiring.add(cell)
            task_group.start_soon(self._acquire_and_run, task_group, cell)

    def _candidates(self) -> dict[str, Candidate]:
        """Return the processes that may acquire cells, including this one."""
        candidates = {
            peer.name: Candidate(peer.capacity, len(peer.claims()))
            for peer in self._mesh.peers.values()
            if not peer.leaving and peer.store_reached
        }
        own_count = len(self.owned_cells) + len(self.loading_cells)
        candidates[self._mesh.name] = Candidate(self.capacity, own_count)
        return candidates

    async def _read_suspect_renewal(self, cell: str) -> None:
        """Read the renewal row of an owner whose heartbeats are missing."""
        try:
            self._renewals[cell] = await self._read_renewal(cell)
        except StoreUnavailableError as error:
            log_event(Event.STORE_LOST, reason=str(error), during="renewal")
        finally:
            self._reading_renewals.discard(cell)

    async def _read_renewal(self, cell: str) -> Renewal:
        sent_at_s = boot_time_s()
        row = await self._store.read_row(renewal_row(cell))
        now_s = boot_time_s()
        return Renewal(row.version if row else 0, now_s, now_s - sent_at_s)

    def _yield_cell(self) -> None:
        """Yield a cell if another process has much more capacity per cell."""
        now_s = boot_time_s()
        if not self.owned_cells or self._acquiring or now_s < self._may_yield_at_s:
            return
        if any(
            cell_owner.renewal_latency_s > YIELD_MAX_RENEWAL_LATENCY_S
            for cell_owner in self.owned_cells.values()
        ):
            return
        candidates = self._candidates()
        own_share = self.capacity / len(self.owned_cells)
        del candidates[self._mesh.name]
        best_share = max(
            (candidate.capacity_per_cell for candidate in candidates.values()),
            default=0.0,
        )
        if best_share < YIELD_CAPACITY_RATIO * own_share:
            return
        cell = min(self.owned_cells)
        log_event(Event.CELL_YIELDED, cell=cell, own=own_share, other=best_share)
        self._may_yield_at_s = now_s + YIELD_PAUSE_S
        self.owned_cells[cell].leaving = True
        self.owned_cells[cell].wake()

    def _note_job(self, cell: str, version: int) -> None:
        """Take note of the cell of a job that no owner here has."""
        if self.register is not None and cell not in self.owned_cells:
            self.register.note_job(cell, version)

    def _end_idle_cells(self, task_group: TaskGroup) -> None:
        """End the cells that have had no route and nothing to do for some time."""
        now_s = boot_time_s()
        for cell, cell_owner in self.owned_cells.items():
            if not self._is_idle(cell_owner) or cell_owner.leaving:
                self._idle_since_s.pop(cell, None)
            elif now_s - self._idle_since_s.setdefault(cell, now_s) > IDLE_CELL_TTL_S:
                self._idle_since_s[cell] = now_s
                task_group.start_soon(self._end_cell, cell_owner)

    def _is_idle(self, cell_owner: CellOwner) -> bool:
        """Return whether a cell has no route, no worker and no job to run."""
        state = cell_owner.state
        if self.register is None or not self.register.may_end(state.name):
            return False
        has_work = state.active or state.has_changed_jobs()
        return not has_work and not any(w.listed for w in state.workers.values())

    async def _end_cell(self, cell_owner: CellOwner) -> None:
        """Release a cell for good, unless a scan finds a job for it."""
        try:
            await self.scan()
        except StoreUnavailableError as error:
            log_event(Event.STORE_LOST, reason=str(error), during="scan")
            return
        if self._is_idle(cell_owner) and self.scanned_version:
            cell_owner.ended_version = self.scanned_version
            cell_owner.leaving = True
            cell_owner.wake()

    async def _acquire_and_run(self, task_group: TaskGroup, cell: str) -> None:
        try:
            cell_owner = await self._acquire(cell)
            if cell_owner is not None:
                cell_owner.cancellations.scan = self.scan
                self.owned_cells[cell] = cell_owner
                cell_owner.leaving = self.leaving
                self._mesh.request_heartbeat()
                task_group.start_soon(self._run_owner, cell_owner)
                task_group.start_soon(self._load_other_parts, cell_owner)
        except StoreUnavailableError as error:
            log_event(Event.CELL_TAKE_FAILED, cell=cell, reason=str(error))
        except Exception as error:
            # Other cells go on; the cell stays without an owner and is tried again.
            log_defect(Event.CELL_FAILED, error, cell=cell, during="acquisition")
            self.loading_cells.pop(cell, None)
            await anyio.sleep(FAILED_ACQUISITION_PAUSE_S)
        finally:
            self.loading_cells.pop(cell, None)
            self._acquiring.discard(cell)
            self._mesh.request_heartbeat()

    async def _run_owner(self, cell_owner: CellOwner) -> None:
        """Run the owner of a cell; an error in it ends this ownership alone."""
        try:
            await cell_owner.run()
        except Exception as error:
            # Other cells and the callers of this process go on; the cell is acquired
            # again, with a new fencing token.
            log_defect(
                Event.CELL_FAILED,
                error,
                cell=cell_owner.state.name,
                epoch=cell_owner.epoch,
            )
            cell_owner.mark_lost("an error")

    async def _acquire(self, cell: str) -> CellOwner | None:
        row = await self._store.read_row(owner_row(cell))
        if self.register is not None and await self.register.find_end(cell, row):
            return None
        current = Ownership.decode(row.value) if row else None
        if row is not None and not await self._is_previous_owner_gone(
            cell, current, row.version
        ):
            return None
        last_renewal = self._renewals.get(cell)
        epoch = _next_epoch(cell, row, current)
        ownership = Ownership(
            epoch,
            self._mesh.name,
            self._mesh.incarnation,
            lease_limit_s=_inherit_lease_limit_s(row, current),
            lease_ends_ms=await self._inherit_lease_ends_ms(cell, row, current),
        )
        acquired_at_s = boot_time_s()
        version = await self._write_ownership(cell, row, last_renewal, ownership)
        if version is None:
            return None
        is_released = bool(current and current.released)
        leases_s = current.leases_s if current is not None else {}
        written_at_s = boot_time_s()
        earlier_lease_until_s = orders_until_s = 0.0
        if is_released:
            earlier_lease_until_s = written_at_s + MAX_RELEASED_LEASE_S
            orders_until_s = written_at_s
        elif row is not None:
            confirmed_at_s = self._last_confirmation_s(
                current, last_renewal, written_at_s
            )
            earlier_lease_until_s = confirmed_at_s + _longest_lease_s(current)
            orders_until_s = confirmed_at_s + LEASE_EXTENSION_WINDOW_S
        log_event(
            Event.CELL_TAKEN,
            cell=cell,
            epoch=epoch,
            before=current.holder if current else "",
            released=is_released,
            earlier_lease_s=round(max(0.0, earlier_lease_until_s - written_at_s), 3),
            leases_s={w: round(s, 3) for w, s in leases_s.items()},
        )
        state = CellState(cell)
        state.longest_lease_s = self.longest_lease_s
        state.row_limit_bytes = self.row_limit_bytes
        state.turns.weight_of = self.weight_of
        cell_owner = CellOwner(
            state,
            ownership,
            version,
            self._store,
            self._workers,
            self._remove_owner,
            self._advice,
            self._caps,
        )
        cell_owner.confirmed_at_s = acquired_at_s
        cell_owner.longest_lease_s = self.longest_lease_s
        cell_owner.longest_list_age_s = self.longest_list_age_s
        cell_owner.stores_run_times = self.stores_run_times
        # A process without cells does not read the list, so it may be of any age.
        cell_owner.workers_listed_at_s = 0.0
        if row is None:
            cell_owner.inherited_leases_s = {}
        elif current is not None and current.released:
            cell_owner.inherited_leases_s = current.leases_s
        state.update_workers(self._workers_of(cell), boot_time_s())
        lease_ends_s = await self._load(cell_owner)
        if cell_owner.lost:
            return None
        # Until here no lease was granted, so the read stays valid for another try.
        self._renewals.pop(cell, None)
        if current is not None and not current.released:
            for worker_id, end_s in self._inherited_ends_s(ownership).items():
                lease_ends_s[worker_id] = max(lease_ends_s.get(worker_id, 0.0), end_s)
        cell_owner.lease_ends.inherit(ownership.lease_ends_ms, self._store.clock)
        lease_ends_s |= {w: written_at_s + left_s for w, left_s in leases_s.items()}
        now_s = boot_time_s()
        state.attach_restored_tasks(
            now_s,
            max(0.0, earlier_lease_until_s - now_s),
            {w: max(0.0, until_s - now_s) for w, until_s in lease_ends_s.items()},
            orders_until_s=orders_until_s,
        )
        if row is not None and self.has_vm_orders:
            await_reservations(state, boot_time_s())
        return cell_owner

    async def _inherit_lease_ends_ms(
        self, cell: str, row: Row | None, current: Ownership | None
    ) -> dict[str, int]:
        """Return the lease ends to store with the acquisition of a cell.

        A release tells them only once, and a new owner may be lost before it has stored
        them among its own lease ends. Once it has, it may have granted other leases on
        the workers that it no longer names.

        :raises StoreUnavailableError: when the store does not answer
        """
        if row is None or current is None or not self._store.clock.known:
            return {}
        if not current.released:
            if not current.lease_ends_ms:
                return {}
            stored = await self._store.read_row(lease_row(cell))
            is_newer = stored is not None and stored.version > row.version
            return {} if is_newer else current.lease_ends_ms
        now_s = boot_time_s()
        return {
            worker_id: self._store.clock.upper_bound_ms(now_s + left_s)
            for worker_id, left_s in current.leases_s.items()
        }

    def _inherited_ends_s(self, ownership: Ownership) -> dict[str, float]:
        """Return the ends of :meth:`_inherit_lease_ends_ms` on the local clock."""
        if not self._store.clock.known:
            return {}
        now_s = boot_time_s()
        now_ms = self._store.clock.lower_bound_ms(now_s)
        return {
            worker_id: now_s + max(0, end_ms - now_ms) / 1000 / (1 - CLOCK_DRIFT)
            for worker_id, end_ms in ownership.lease_ends_ms.items()
        }

    async def _is_previous_owner_gone(
        self, cell: str, current: Ownership | None, acquired_version: int = 0
    ) -> bool:
        """Return whether the owner released the cell, restarted or stopped renewing.

        In the last case, the first read of the last renewal is kept in ``_renewals``.

        :param acquired_version: version of the owner row
        """
        holder = current.holder if current is not None else ""
        known = self._renewals.get(cell)
        if current is not None and (current.released or self._has_restarted(current)):
            self._renewals.pop(cell, None)
            return True
        log_event(Event.CELL_SUSPECTED, cell=cell, holder=holder)
        before = known
        if before is None or before.version < acquired_version:
            # An earlier read does not tell whether this owner renews.
            before = await self._read_renewal(cell)
        # A slow store delays the owner's renewals as much as this read.
        observed_until_s = before.read_at_s + RENEWAL_OBSERVATION_S + before.took_s
        await anyio.sleep(max(0.0, observed_until_s - boot_time_s()))
        after = await self._read_renewal(cell)
        if before.version == after.version:
            is_unchanged = known is not None and known.version == before.version
            self._renewals[cell] = known if known and is_unchanged else before
            return self.owner_of(cell) is None
        log_event(Event.CELL_OWNER_ALIVE, cell=cell, holder=holder)
        self._renewals.pop(cell, None)
        self._unclaimed_since_s.pop(cell, None)
        return False

    def _last_confirmation_s(
        self, current: Ownership | None, last_renewal: Renewal | None, now_s: float
    ) -> float:
        """Return the latest time at which an earlier owner may have written last.

        :param last_renewal: its last renewal, if that was read before the acquisition
        """
        if current is None or current.lease_limit_s >= EARLIER_RELEASE_LEASE_LIMIT_S:
            # It may have granted leases without a renewal.
            return now_s
        if last_renewal is not None:
            return last_renewal.read_at_s
        if current.holder == self._mesh.name:
            return min(now_s, self._created_at_s)
        return now_s

    def _has_restarted(self, current: Ownership) -> bool:
        """Return whether the incarnation that owned a cell is known to have ended."""
        if current.holder == self._mesh.name:
            return current.incarnation != self._mesh.incarnation
        peer = self._mesh.peers.get(current.holder)
        return peer is not None and peer.incarnation != current.incarnation

    async def _write_ownership(
        self,
        cell: str,
        row: Row | None,
        last_renewal: Renewal | None,
        ownership: Ownership,
    ) -> int | None:
        """Write the owner row; return its version, or ``None`` on failure.

        :param last_renewal: renewal of the earlier owner that must be its last one
        """
        guard = owner_row(cell)
        expected = {guard: row.version if row else ABSENT}
        if last_renewal is not None:
            expected[renewal_row(cell)] = last_renewal.version
        outcome = await self._store.transact(expected, {guard: ownership.encode()})
        if isinstance(outcome, Committed):
            return outcome.version
        if isinstance(outcome, OutcomeUnknown):
            # The write may have taken effect; a second one reveals whether it has.
            outcome = await self._store.transact(expected, {guard: ownership.encode()})
            if isinstance(outcome, Committed):
                return outcome.version
        found = getattr(outcome, "rows", {}).get(guard)
        if found is not None and found.value == ownership.encode():
            return int(found.version)
        reason = getattr(outcome, "reason", "another process acquired the cell first")
        log_event(Event.CELL_TAKE_FAILED, cell=cell, reason=reason)
        return None

    def _remove_owner(self, cell: str) -> None:
        cell_owner = self.owned_cells.pop(cell, None)
        self._idle_since_s.pop(cell, None)
        if not self.owned_cells:
            # The next cell is loaded anew and needs none of the changes until then.
            self.scanned_version = 0
        self._mesh.request_heartbeat()
        if (
            cell_owner is not None
            and cell_owner.leaving
            and not cell_owner.ended_version
            and self._task_group is not None
        ):
            self._task_group.start_soon(self._offer_cell, cell)
        self.wake()

    async def _offer_cell(self, cell: str) -> None:
        """Offer a released cell to the process with the most capacity for it."""
        candidates = self._candidates()
        del candidates[self._mesh.name]
        # Cells that were offered just before are not yet among the claims of peers.
        for offered, name in self._offered_to.items():
            if name in candidates and self.owner_of(offered) is None:
                before = candidates[name]
                candidates[name] = Candidate(before.capacity, before.cells + 1)
        names = rank_candidates(candidates, [cell], self._cells())[cell]
        if names:
            self._offered_to[cell] = names[0]
            await self._mesh.call(names[0], ACQUIRE_CALL, cell)

    async def _handle_offer(self, _peer: str, cell: Any) -> Any:
        """Start to acquire a released cell; return whether this process does so."""
        is_available = cell not in self.owned_cells and cell not in self._acquiring
        if not is_available or self.leaving or self._task_group is None:
            return False
        self._acquiring.add(cell)
        self._task_group.start_soon(self._acquire_and_run, self._task_group, cell)
        return True

    # Loading of jobs

    async def _load(self, cell_owner: CellOwner) -> dict[str, float]:
        """Load what an acquired cell needs; return the stored ends of leases."""
        state, version = cell_owner.state, cell_owner.guard_version
        self.loading_cells[state.name] = cell_owner
        self._mesh.request_heartbeat()
        try:
            lease_ends_s = await cell_owner.lease_ends.load(self._store, version)
            async with cell_owner.renewed_while_loading():
                await self._load_jobs(state, version)
                scanned_version = self.scanned_version
            # A scan that has ended meanwhile has not covered this cell.
            scanned = self.scanned_version or scanned_version
            self.scanned_version = min(scanned, scanned_version)
        except StoreUnavailableError:
            del self.loading_cells[state.name]
            raise
        return lease_ends_s

    async def _load_jobs(self, state: CellState, guard_version: int) -> None:
        # Until the cell is among the owned ones, scans do not cover it. So no scan may
        # end between this and that, and one that ends later may not pass the version.
        version = await self._loader.load(state, guard_version)
        before = self.scanned_version or version
        self.scanned_version = min(before, version)

    async def _load_other_parts(self, cell_owner: CellOwner) -> None:
        """Load the few jobs that a load has left, while the cell is at work."""
        try:
            await self._loader.load_other_parts(
                cell_owner.state, cell_owner.guard_version
            )
        except StoreUnavailableError as error:
            # An answer from before the acquisition: the cell is loaded again.
            cell_owner.mark_lost(f"jobs cannot be loaded: {error}")
        except Exception as error:
            log_defect(
                Event.CELL_FAILED, error, cell=cell_owner.state.name, during="load"
            )
            cell_owner.mark_lost("an error")
        cell_owner.wake()

    async def scan(self) -> None:
        """Find jobs and cancellations of which the owner has not been notified.

        A call while a scan is under way waits for its end instead.

        :raises StoreUnavailableError: when the store does not answer
        """
        if self._scan_ended is not None:
            await self._scan_ended.wait()
            return
        began_at_s = boot_time_s()
        self._scan_ended = anyio.Event()
        try:
            if self.owned_cells:
                await self._scan_changes()
            self.scanned_at_s = began_at_s
        finally:
            self._scan_ended.set()
            self._scan_ended = None

    async def _scan_changes(self) -> None:
        # A cell that is loaded meanwhile may need changes from before this scan.
        covered = list(self.owned_cells.values())
        has_more = True
        while has_more:
            sent_at_s, from_version = boot_time_s(), self.scanned_version
            changes = await self._store.changes(JOB_TABLE, from_version, 0)
            if changes.history_gone:
                await self._reload_jobs(covered, from_version)
                return
            if self.scanned_version == from_version:
                self.scanned_version = changes.version
            self._apply_changes(changes.rows)
            has_more = changes.has_more
        for cell_owner in covered:
            cell_owner.cancellations.record_scan(sent_at_s)

    def _apply_changes(self, rows: list[Row]) -> None:
        now_s = boot_time_s()
        for cell_owner in list(self.owned_cells.values()):
            for row in rows:
                if row.removed:
                    continue
                if row.id.key.endswith(CANCEL_SUFFIX):
                    apply_mark(row, cell_owner.cancel, cell_owner.state)
                else:
                    cell = add_job_from_row(cell_owner.state, row, {}, now_s)
                    if cell:
                        self._note_job(cell, row.version)
            cell_owner.wake()

    async def _reload_jobs(self, covered: list[CellOwner], from_version: int) -> None:
        """Load the jobs of cells again whose changes are no longer available.

        Later scans continue from the version that is loaded now, or each would load
        everything again. If a cell fails to load, or another one was loaded meanwhile,
        the next scan has to.
        """
        # The next scan repeats it if a read fails.
        reloader = JobLoader(self._store, is_wanted=lambda _cell: False)
        versions = []
        for cell_owner in covered:
            sent_at_s = boot_time_s()
            state, guard_version = cell_owner.state, cell_owner.guard_version
            versions.append(await reloader.load(state, guard_version))
            cell_owner.cancellations.record_scan(sent_at_s)
            cell_owner.wake()
        is_complete = all(owner in covered for owner in self.owned_cells.values())
        if self.scanned_version == from_version and is_complete:
            self.scanned_version = min(versions)


def _count_pending(state: CellState) -> dict[str, int]:
    """Return the number of jobs in each queue of which no task has started."""
    counts = state.count_queued_jobs()
    return {**counts, UNREAD_QUEUES: 1} if state.has_unread_parts else counts


def _inherit_lease_limit_s(row: Row | None, current: Ownership | None) -> float:
    """Return the lease limit that a new owner has to tell the one after it.

    It may not reach the workers on which an earlier owner has granted longer leases.
    """
    if row is None or (current is not None and current.released):
        return CONFIRMED_LEASE_S
    earlier_s = current.lease_limit_s if current else EARLIER_RELEASE_LEASE_LIMIT_S
    return max(CONFIRMED_LEASE_S, earlier_s)


def _longest_lease_s(owner: Ownership | None) -> float:
    """Return how long a lease may last after an owner's last confirmed write.

    :param owner: ``None`` if its row cannot be decoded
    """
    limit_s = owner.lease_limit_s if owner else EARLIER_RELEASE_LEASE_LIMIT_S
    return limit_s * SLOW_CLOCK_FACTOR


def _next_epoch(cell: str, row: Row | None, current: Ownership | None) -> int:
    """Return an epoch above all earlier ones of a cell.

    Each epoch took a transaction of its own, so the version of a row that cannot be
    decoded is at least as high as the number of epochs before.

    :param row: owner row of the cell, if there is one
    :param current: its decoded content, if it can be decoded
    """
    if row is None:
        return 1
    if current is None:
        log_event(Event.ROW_DAMAGED, key=row.id.key, reason=f"owner row of {cell}")
        return (row.version + 1) * EPOCH_STEP
    return current.epoch + EPOCH_STEP
