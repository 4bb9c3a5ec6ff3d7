"""The owner of a cell: stores the progress of its jobs and controls its workers.

Every write is conditional on the version of the cell's owner row, so a process that
has lost the cell cannot write. A placement is stored before the start order is sent,
and the end of an attempt is stored before the worker may forget it.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.advice import record_tickets
from chivetray.cells.cancellations import CancellationWatch
from chivetray.cells.caps import CapRegister
from chivetray.cells.cell_register import encode_end
from chivetray.cells.evacuation import evacuate
from chivetray.cells.gangs import stop_broken_gangs
from chivetray.cells.held_jobs import HeldJobs
from chivetray.cells.lease_ends import LeaseEnds
from chivetray.cells.order_sender import OrderSender
from chivetray.cells.orders import StepRef
from chivetray.cells.placing import place_tasks
from chivetray.cells.polling import WorkerPoller
from chivetray.cells.progress_batches import (
    EncodedRow,
    encode_jobs,
    split_into_batches,
)
from chivetray.cells.run_time_row import RunTimeRow
from chivetray.cells.share_keeper import ShareKeeper
from chivetray.cells.state import CellState
from chivetray.cells.tables import (
    Ownership,
    ended_row,
    owner_row,
    progress_row,
    renewal_row,
)
from chivetray.cells.timing import (
    CONFIRMED_LEASE_S,
    LEASE_EXTENSION_WINDOW_S,
    LEASE_S,
    RETRY_PAUSE_MAX_S,
    RETRY_PAUSE_S,
    TICK_S,
)
from chivetray.cells.waiting import WAIT_CHECK_INTERVAL_S, OwnerStatus, WaitLog
from chivetray.cells.workers import WorkerState
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.defects import contain_errors, keep_running
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job, job_age_s
from chivetray.jobs.model import JobName, JobSpec
from chivetray.jobs.progress import MAIN_ROW
from chivetray.platform.advice import AdviceClient
from chivetray.platform.store import (
    Committed,
    Conflict,
    OutcomeUnknown,
    Refused,
    RowId,
    Store,
    TransactionOutcome,
)
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import WorkerClient

# A process that takes over the cell of an unresponsive owner waits 1.5 times this
# interval for a renewal.
RENEWAL_INTERVAL_S = 0.5

# A round of decisions that takes longer than this is followed by an equally long pause.
LONG_DECISION_S = 0.005


class CellOwner:
    """Owns one cell from its acquisition until it is lost or released.

    :param guard_version: version of the owner row, a precondition of all writes
    :param caps: caps of organisations that the process knows
    :param on_lost: called with the cell's name once the cell is lost or released
    :ivar confirmed_at_s: send time of the last write that proved the ownership
    :ivar cancellations: age of what is known about cancellations
    :ivar leaving: whether the cell is to be released
    :ivar releasing: whether a write that releases the cell may be carried out
    :ivar ended_version: version up to which jobs were read when the cell was found to
        have ended, 0 if it has not; stored with its release
    :ivar longest_lease_s: upper bound of the leases that workers grant
    :ivar longest_list_age_s: age of the list of workers above which no start order is
        sent, since a worker may have begun to drain
    :ivar workers_listed_at_s: send time of the read of that list
    :ivar stores_run_times: whether learned run times are stored for the next owner
    :ivar renewal_latency_s: duration of the last renewal of the ownership
    :ivar get_remaining_leases: returns the remaining leases that the next owner has to
        wait for
    :ivar lease_ends: stored ends of the leases on workers that do not answer
    :ivar inherited_leases_s: remaining leases that the previous owner stored when it
        released the cell, ``None`` if it did not release it
    """

    def __init__(
        self,
        state: CellState,
        ownership: Ownership,
        guard_version: int,
        store: Store,
        workers: WorkerClient,
        on_lost: Callable[[str], None],
        advice: AdviceClient | None = None,
        caps: CapRegister | None = None,
    ):
        self.state = state
        state.epoch = ownership.epoch
        state.owned_since_s = boot_time_s()
        self.ownership = ownership
        self.guard_version = guard_version
        self.confirmed_at_s = boot_time_s()
        # The jobs of the cell are loaded later than this.
        self.cancellations = CancellationWatch(
            state.name, ownership.epoch, self.confirmed_at_s
        )
        self.leaving = False
        self.releasing = False
        self.ended_version = 0
        self.lost = False
        self.renewal_latency_s = 0.0
        self.longest_lease_s = LEASE_S
        self.longest_list_age_s = math.inf
        self.stores_run_times = False
        self.workers_listed_at_s = self.confirmed_at_s
        self.lease_ends = LeaseEnds(state)
        self.inherited_leases_s: dict[str, float] | None = None
        self.get_remaining_leases: Callable[[], dict[str, float]] = lambda: (
            state.remaining_leases(boot_time_s())
        )
        register = caps or CapRegister()
        self.shares = ShareKeeper(state, ownership.epoch, store, register, self.wake)
        state.cap_room = self.shares
        self._store = store
        state.store_clock = store.clock
        self._wait_log = WaitLog(state)
        self._storing_job_ids: frozenset[str] = frozenset()
        self._storing_since_s = 0.0
        self._held_jobs = HeldJobs(state)
        self._renewals = 0
        self._renewed_at_s = -math.inf
        self._may_release_at_s = 0.0
        self._commit_scope: anyio.CancelScope | None = None
        self._commit_sent_at_s = 0.0
        self._on_lost = on_lost
        self._advice = advice
        self._advice_requested = False
        self._wake = anyio.Event()
        self._poller = WorkerPoller(self, workers)
        self._order_sender = OrderSender(self, workers, self._poller)
        self._task_group: TaskGroup | None = None
        self.guard_row = owner_row(state.name)

    @property
    def epoch(self) -> int:
        """Epoch of this owner, above that of all earlier ones."""
        return self.ownership.epoch

    def fencing_token(self, worker: WorkerState) -> int:
        """Return the token of orders to the present incarnation of a worker.

        It is above that of all orders to earlier incarnations.
        """
        return self.epoch + worker.token_raises

    def may_grant_leases(self, now_s: float) -> bool:
        """Return whether the next owner would wait for a lease that is granted now.

        It counts from the last renewal, so the acquisition of the cell allows none.
        """
        unrenewed_s = now_s - self._renewed_at_s
        return not self.releasing and unrenewed_s < LEASE_EXTENSION_WINDOW_S

    def limit_lease_s(self, lease_s: float, now_s: float) -> float:
        """Return for how long a lease that is granted now may last, 0 for none."""
        if not self.may_grant_leases(now_s):
            return 0.0
        renewed_left_s = self._renewed_at_s + CONFIRMED_LEASE_S - now_s
        return max(0.0, min(lease_s, self.longest_lease_s, renewed_left_s))

    # Inputs

    def add_job(self, spec: JobSpec) -> None:
        """Add an accepted job."""
        age_s, now_s = job_age_s(spec, wall_time_ms()), boot_time_s()
        if spec.job_id not in self.state.jobs:
            predicted_s = self.state.backlog_meter.predict(self.state, spec, now_s)
            if predicted_s is not None:
                self.state.predicted_s[spec.job_id] = round(age_s + predicted_s, 3)
        self.state.add_job(spec, now_s - age_s, known_since_s=now_s)
        self.wake()

    def cancel(self, name: JobName) -> bool:
        """Cancel a job whose cancellation is stored; return whether it is known."""
        known = self.state.cancel(name)
        self.wake()
        return known

    def update_workers(
        self, entries: Iterable[WorkerRecord], sent_at_s: float | None = None
    ) -> None:
        """Update the workers of the cell from the store's worker list.

        :param sent_at_s: send time of the read of the list, by default now
        """
        now_s = boot_time_s()
        self.workers_listed_at_s = now_s if sent_at_s is None else sent_at_s
        self.state.update_workers(entries, now_s)
        for worker in self.state.workers.values():
            if not worker.tasks_known:
                self._poller.wake_worker(worker.worker_id)
        self.wake()

    def is_worker_list_recent(self, now_s: float) -> bool:
        """Return whether draining workers are known well enough to start tasks."""
        return now_s - self.workers_listed_at_s <= self.longest_list_age_s

    def wake(self) -> None:
        """Start the next round of the main loop without delay."""
        self._wake.set()

    # Lifecycle

    async def run(self) -> None:
        """Run the cell until it is lost or released."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self._log_loaded()
            task_group.start_soon(self._renew_ownership)
            task_group.start_soon(self.lease_ends.run, self, self._store.clock)
            if self.stores_run_times:
                run_times = RunTimeRow(self.state)
                task_group.start_soon(
                    keep_running, "run times", lambda: run_times.run(self, self._store)
                )
            task_group.start_soon(keep_running, "waits", self._log_waits)
            await self._main_loop(task_group)
            task_group.cancel_scope.cancel()

    async def _main_loop(self, task_group: TaskGroup) -> None:
        while not self.lost:
            self._wake = anyio.Event()
            now_s = boot_time_s()
            self.state.expire_leases(now_s)
            evacuate(self.state, now_s)
            stop_broken_gangs(self.state)
            self._poller.poll_new_workers(task_group)
            may_place = not self.leaving and self.cancellations.may_place(now_s)
            placements = (
                place_tasks(self.state, now_s, wall_time_ms()) if may_place else []
            )
            self.shares.update(task_group)
            if self.cancellations.needs_scan(now_s, bool(placements)):
                task_group.start_soon(self._refresh_cancellations)
            decision_time_s = boot_time_s() - now_s
            last_ends = {
                (worker.worker_id, worker.incarnation): worker.last_applied_end
                for worker in self.state.workers.values()
            }
            jobs = self._held_jobs.take_writable_jobs()
            if jobs and not await self._commit_progress(jobs):
                return
            self._mark_ends_stored(last_ends)
            for placement in placements:
                if placement.ref[0] not in self.state.held_job_ids:
                    self._order_sender.send_start(task_group, placement)
            self._order_sender.send_stops(task_group)
            self._request_tickets(task_group)
            if self._may_release() and await self._release_cell():
                return
            # Limits decisions on a long queue to half of the CPU time.
            if decision_time_s > LONG_DECISION_S:
                await anyio.sleep(decision_time_s)
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._order_sender.resend_unconfirmed(task_group)

    async def _refresh_cancellations(self) -> None:
        await self.cancellations.refresh()
        self.wake()

    def _mark_ends_stored(self, last_ends: dict[tuple[str, int], int]) -> None:
        """Mark the ends that are stored now, so that workers may forget them.

        :param last_ends: number of the last stored end by worker id and incarnation
        """
        kept = self._held_jobs.workers()
        for (worker_id, incarnation), number in last_ends.items():
            worker = self.state.workers.get(worker_id)
            if (
                worker is not None
                and worker_id not in kept
                and worker.incarnation == incarnation
                and worker.last_stored_end < number <= worker.last_applied_end
            ):
                worker.last_stored_end = number
                self._poller.wake_worker(worker_id)

    def _log_loaded(self) -> None:
        """Log that the jobs of the cell are read, so that their tasks may be placed."""
        log_event(
            Event.CELL_LOADED,
            cell=self.state.name,
            epoch=self.epoch,
            took_s=round(boot_time_s() - self.confirmed_at_s, 3),
            jobs=len(self.state.active),
            workers=sum(worker.listed for worker in self.state.workers.values()),
        )

    async def _log_waits(self) -> None:
        """Log what tasks wait for, also while a write of progress is not answered."""
        while not self.lost:
            await anyio.sleep(WAIT_CHECK_INTERVAL_S)
            now_s = boot_time_s()
            status = OwnerStatus(
                self._storing_since_s,
                self._storing_job_ids,
                self.leaving,
                self.may_grant_leases(now_s),
                self.cancellations.may_start(now_s),
                self.cancellations.may_place(now_s),
            )
            self._wait_log.check(status, now_s, wall_time_ms())

    # Store

    async def _commit_progress(self, jobs: list[Job]) -> bool:
        """Store the progress of jobs; return whether the cell is still owned."""
        self._storing_job_ids = frozenset(job.spec.job_id for job in jobs)
        self._storing_since_s = boot_time_s()
        refused_ids: set[str] = set()
        for batch in split_into_batches(encode_jobs(self.state, jobs)):
            refused_ids |= await self._commit_or_hold(batch)
            if self.lost:
                return False
        for job_id in self._storing_job_ids - refused_ids:
            self._held_jobs.end(job_id)
        self._storing_job_ids, self._storing_since_s = frozenset(), 0.0
        return True

    async def transact(
        self, writes: dict[RowId, bytes], expected: dict[RowId, int] | None = None
    ) -> TransactionOutcome:
        """Write rows on condition that this process still owns the cell.

        Each write renews the ownership, so that a busy owner needs no other renewals: a
        slow store carries out only a few transactions a second for each cell.

        :param expected: versions that rows must have, in addition to the owner row
        """
        sent_at_s = boot_time_s()
        self._renewals += 1
        renewal = f"{self.ownership.incarnation}:{self._renewals}".encode()
        outcome = await self._store.transact(
            {**(expected or {}), self.guard_row: self.guard_version},
            {renewal_row(self.state.name): renewal, **writes},
        )
        self.renewal_latency_s = boot_time_s() - sent_at_s
        if isinstance(outcome, Committed):
            self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)
            self._renewed_at_s = max(self._renewed_at_s, sent_at_s)
            self._give_up_overtaken_commit(sent_at_s)
        return outcome

    def _give_up_overtaken_commit(self, sent_at_s: float) -> None:
        """Give up a commit that was sent before a write that is answered now.

        The store carries out the writes of a cell in turn, so the commit's answer is
        lost. Sending it again shows whether it was carried out.
        """
        if self._commit_scope is not None and self._commit_sent_at_s < sent_at_s:
            self._commit_scope.cancel()

    async def _commit_or_hold(self, batch: list[EncodedRow]) -> set[str]:
        """Store a batch; hold the jobs whose rows the store refuses for good.

        :return: ids of these jobs
        """
        refusal = await self._commit_batch(batch)
        if refusal is None:
            return set()
        refused_ids = set()
        by_job: dict[str, list[EncodedRow]] = {}
        for row in batch:
            by_job.setdefault(row.job.spec.job_id, []).append(row)
        for job_id, rows in by_job.items():
            if len(by_job) > 1:
                refusal = await self._commit_batch(rows)
            if refusal is not None:
                refused_ids.add(job_id)
                self._held_jobs.hold(rows, refusal)
        return refused_ids

    async def _commit_batch(self, batch: list[EncodedRow]) -> Refused | None:
        """Store rows of progress in one transaction.

        :return: the refusal if repeating the transaction cannot change it
        """
        pause_s = RETRY_PAUSE_S
        rows = {
            progress_row(self.state.name, row.job.spec.job_id, row.number): row
            for row in batch
        }
        writes = {row_id: row.content for row_id, row in rows.items()}
        while not self.lost:
            expected = {
                row_id: self.state.rows_of(row.job).version(row.number)
                for row_id, row in rows.items()
            }
            outcome: TransactionOutcome = OutcomeUnknown("a later write was answered")
            self._commit_sent_at_s = boot_time_s()
            with anyio.CancelScope() as self._commit_scope:
                outcome = await self.transact(writes, expected)
            self._commit_scope = None
            if isinstance(outcome, Committed):
                for row in batch:
                    self._record_stored(row, outcome.version)
                return None
            if isinstance(outcome, Conflict):
                if not self.is_still_owner(outcome):
                    return None
                if not self._adopt_versions(outcome, rows):
                    return None
                continue
            self.log_failure(outcome)
            if isinstance(outcome, Refused) and outcome.is_final:
                return outcome
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_PAUSE_MAX_S, 2 * pause_s)
        return None

    def _record_stored(self, row: EncodedRow, version: int) -> None:
        self.state.rows_of(row.job).record_stored(row.number, version, row.content)
        if row.number == MAIN_ROW:
            row.job.stored_state = row.state

    def _adopt_versions(
        self, conflict: Conflict, rows: dict[RowId, EncodedRow]
    ) -> bool:
        """Adopt the versions of rows that an unconfirmed write of this owner changed.

        A row with any other value is newer than the loaded progress. Ownership is then
        dropped, so that the cell is loaded again before any task starts.
        """
        for row_id, row in rows.items():
            found = conflict.rows.get(row_id)
            version = found.version if found else 0
            stored = self.state.rows_of(row.job)
            if version == stored.version(row.number):
                continue
            if found is None or found.value != row.content:
                reason = f"the stored progress of {row_id.key} is newer than loaded"
                self.mark_lost(reason)
                return False
            stored.adopt_version(row.number, version)
        return True

    def is_still_owner(self, conflict: Conflict) -> bool:
        """Return whether this process still owns the cell; mark it lost otherwise."""
        found = conflict.rows.get(self.guard_row)
        if found is not None and found.version == self.guard_version:
            return True
        self.mark_lost("another process has taken the cell")
        return False

    def log_failure(self, outcome: TransactionOutcome, during: str = "") -> None:
        """Log that a transaction was not carried out, or may not have been."""
        reason = getattr(outcome, "reason", "")
        log_event(
            Event.COMMIT_FAILED,
            cell=self.state.name,
            reason=reason,
            unknown=isinstance(outcome, OutcomeUnknown),
            **({"during": during} if during else {}),
        )

    def mark_lost(self, reason: str, **fields: Any) -> None:
        """Stop all work on the cell and report the loss to ``on_lost``."""
        if self.lost:
            return
        self.lost = True
        log_event(
            Event.CELL_LEFT,
            cell=self.state.name,
            epoch=self.epoch,
            reason=reason,
            confirmed_age_s=round(boot_time_s() - self.confirmed_at_s, 3),
            **fields,
        )
        self._wake.set()
        self._on_lost(self.state.name)

    async def _renew_ownership(self) -> None:
        """Renew the ownership when no write does, and detect the loss of the cell."""
        while not self.lost:
            due_in_s = self._renewed_at_s + RENEWAL_INTERVAL_S - boot_time_s()
            if due_in_s > 0:
                await anyio.sleep(due_in_s)
                continue
            outcome = await self.transact({})
            if isinstance(outcome, Conflict):
                self.is_still_owner(outcome)
            elif not isinstance(outcome, Committed):
                await anyio.sleep(RENEWAL_INTERVAL_S)

    @asynccontextmanager
    async def renewed_while_loading(self) -> AsyncIterator[None]:
        """Renew the ownership during a load that takes longer than an interval.

        No lease is granted meanwhile, but a process that observes no renewal takes the
        cell, and begins to load it anew.

        :raises StoreUnavailableError: as the block does
        """
        failure: Exception | None = None
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._begin_renewals)
            try:
                yield
            except Exception as error:
                failure = error
            task_group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _begin_renewals(self) -> None:
        await anyio.sleep(RENEWAL_INTERVAL_S)
        await self._renew_ownership()

    def _may_release(self) -> bool:
        """Return whether to release the cell now: all progress must be stored."""
        is_due = boot_time_s() >= self._may_release_at_s
        unstored = self.state.changed_job_ids() - self.state.held_job_ids
        return self.leaving and is_due and not unstored

    async def _release_cell(self) -> bool:
        """Mark the cell as released, so that another process may acquire it at once.

        The next owner waits only for the leases that are granted before that.
        """
        is_first_try = not self.releasing
        self.releasing = True
        released = replace(
            self.ownership,
            # Above all tokens for an owner of an earlier release, which adds 1.
            epoch=self.epoch + self.state.highest_token_raise,
            released=True,
            leases_s=self.get_remaining_leases(),
        )
        if len(released.encode()) > self.state.row_limit_bytes:
            # The next owner waits for the longest leases, as after a loss of this one.
            self.mark_lost("released", confirmed=False, leases=len(released.leases_s))
            return True
        rows = {self.guard_row: released.encode()}
        # A job may have arrived since the cell was found to have ended.
        has_ended = self.ended_version > 0 and not self.state.active
        if has_ended:
            rows[ended_row(self.state.name)] = encode_end(self.ended_version)
        outcome = await self._store.transact({self.guard_row: self.guard_version}, rows)
        if isinstance(outcome, Committed | Conflict):
            if has_ended:
                log_event(Event.CELL_ENDED, cell=self.state.name, epoch=self.epoch)
            leases_s = {w: round(s, 3) for w, s in released.leases_s.items()}
            is_confirmed = isinstance(outcome, Committed)
            self.mark_lost("released", confirmed=is_confirmed, leases_s=leases_s)
            return True
        if is_first_try and isinstance(outcome, Refused):
            self.releasing = False
            self._may_release_at_s = boot_time_s() + RETRY_PAUSE_MAX_S
        self.log_failure(outcome, during="release")
        return False

    async def verify_ownership(self) -> None:
        """Check the owner row after a worker has reported a higher fencing token."""
        outcome = await self.transact({})
        if isinstance(outcome, Conflict):
            self.is_still_owner(outcome)

    # Workers

    def _request_tickets(self, task_group: TaskGroup) -> None:
        """Request tickets for the next step that has no worker with a valid one."""
        if (
            self._advice is None
            or self._advice_requested
            or not self.state.advice_wanted
        ):
            return
        step_ref, workers = next(iter(self.state.advice_wanted.items()))
        self.state.advice_wanted.clear()
        self._advice_requested = True
        task_group.start_soon(self._fetch_tickets, self._advice, step_ref, workers)

    async def _fetch_tickets(
        self, advice: AdviceClient, step_ref: StepRef, workers: list[str]
    ) -> None:
        requested_at_s = boot_time_s()
        try:
            with contain_errors("advice"):
                reply = await advice.request_tickets(*step_ref, workers)
                if reply is None:
                    log_event(
                        Event.ORDER_FAILED,
                        order="advice",
                        job=step_ref[0],
                        step=step_ref[2],
                    )
                    await anyio.sleep(RETRY_PAUSE_S)
                    return
                tickets, validity_s = reply
                valid_until_s = requested_at_s + validity_s
                record_tickets(self.state, step_ref, workers, tickets, valid_until_s)
        finally:
            self._advice_requested = False
            self.wake()
