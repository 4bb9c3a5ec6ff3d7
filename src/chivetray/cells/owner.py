"""The owner of a cell: stores its progress and drives its workers.

Every write names the version of the cell's owner row, so that a process that lost
the cell can write nothing. Placements are stored before a start is sent, and ends
before the worker may forget them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.advice import take_advice
from chivetray.cells.evacuation import evacuate
from chivetray.cells.gangs import stop_broken_gangs
from chivetray.cells.looks import WorkerLooks
from chivetray.cells.orders import StepName
from chivetray.cells.placing import place
from chivetray.cells.sending import OrderSender
from chivetray.cells.state import CellState
from chivetray.cells.tables import (
    Ownership,
    owner_row,
    progress_row,
    renewal_row,
)
from chivetray.cells.timing import LEASE_S, RETRY_PAUSE_S, TICK_S
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job, job_age_s
from chivetray.jobs.model import JobSpec
from chivetray.platform.advice import AdviceClient
from chivetray.platform.entries import WorkerEntry
from chivetray.platform.store import (
    ENTRIES_LIMIT,
    Committed,
    Conflict,
    RowId,
    Store,
    Transacted,
    Unknown,
)
from chivetray.platform.workers import WorkerClient

# A process that takes the cell of a silent owner waits for one and a half of these.
RENEWAL_INTERVAL_S = 0.5

# Longest pause after a write that failed.
RETRY_PAUSE_MAX_S = 0.5

# Time of one round of decisions above which the next one waits as long again.
LONG_DECISION_S = 0.005

# A transaction names each row twice, and the owner row once.
ROWS_PER_COMMIT = (ENTRIES_LIMIT - 2) // 2


class CellOwner:
    """Owns one cell from its take-over until it is lost or given up.

    :param guard_version: version of the owner row, which guards all writes
    :param on_lost: called when another process has taken the cell
    :ivar longest_lease_s: bound on leases that workers grant
    :ivar store_s: time that the last renewal took
    :ivar handover: returns the leases that a later owner has to wait for
    :ivar inherited_s: leases that an earlier owner named when it gave the cell up,
        ``None`` when it did not
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
    ):
        self.state = state
        self.ownership = ownership
        self.guard_version = guard_version
        self.confirmed_at_s = boot_time_s()
        self.leaving = False
        self.lost = False
        self.store_s = 0.0
        self.longest_lease_s = LEASE_S
        self.inherited_s: dict[str, float] | None = None
        self.handover: Callable[[], dict[str, float]] = lambda: (
            state.remaining_leases(boot_time_s())
        )
        self._store = store
        self._on_lost = on_lost
        self._advice = advice
        self._asking = False
        self._wake = anyio.Event()
        self._looks = WorkerLooks(self, workers)
        self._orders = OrderSender(self, workers, self._looks)
        self._tasks: TaskGroup | None = None
        self.guard = owner_row(state.name)

    @property
    def epoch(self) -> int:
        """Fencing token of this owner."""
        return self.ownership.epoch

    # Inputs

    def add_job(self, spec: JobSpec) -> None:
        """Take over an accepted job."""
        age_s = job_age_s(spec, wall_time_ms())
        self.state.add_job(spec, boot_time_s() - age_s)
        self.wake()

    def cancel(self, job_id: str) -> bool:
        """Cancel a job whose cancelling is stored; return whether it is known."""
        known = self.state.cancel(job_id)
        self.wake()
        return known

    def list_workers(self, entries: Iterable[WorkerEntry]) -> None:
        """Take the list of the cell's workers."""
        self.state.list_workers(entries, boot_time_s())
        self.wake()

    def wake(self) -> None:
        """Let the main loop look at the cell at once."""
        self._wake.set()

    # Life

    async def run(self) -> None:
        """Own the cell until it is lost or given up."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._renew)
            await self._main_loop(tasks)
            tasks.cancel_scope.cancel()

    async def _main_loop(self, tasks: TaskGroup) -> None:
        while not self.lost:
            self._wake = anyio.Event()
            now_s = boot_time_s()
            self.state.lost_leases(now_s)
            evacuate(self.state, now_s)
            stop_broken_gangs(self.state)
            self._looks.drive_new(tasks)
            placements = (
                [] if self.leaving else place(self.state, now_s, wall_time_ms())
            )
            decided_s = boot_time_s() - now_s
            ends = {w.worker_id: w.seen_end for w in self.state.workers.values()}
            jobs = self.state.take_dirty()
            if jobs and not await self._commit(jobs):
                return
            self._release_ends(ends)
            for placement in placements:
                self._orders.send_start(tasks, placement)
            self._orders.send_stops(tasks)
            self._ask_advice(tasks)
            done = self.leaving and not self.state.has_dirty()
            if done and await self._give_up():
                return
            # Decisions on a long queue take at most half of the processor.
            if decided_s > LONG_DECISION_S:
                await anyio.sleep(decided_s)
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._orders.resume(tasks)

    def _release_ends(self, ends: dict[str, int]) -> None:
        """Let workers forget the ends that are stored now."""
        for worker_id, number in ends.items():
            worker = self.state.workers.get(worker_id)
            if worker is not None and worker.observed < number <= worker.seen_end:
                worker.observed = number
                self._looks.nudge(worker_id)

    # Store

    async def _commit(self, jobs: list[Job]) -> bool:
        """Store the progress of jobs; return whether the cell is still owned."""
        for start in range(0, len(jobs), ROWS_PER_COMMIT):
            if not await self._commit_some(jobs[start : start + ROWS_PER_COMMIT]):
                return False
        return True

    async def _commit_some(self, jobs: list[Job]) -> bool:
        pause_s = RETRY_PAUSE_S
        rows = {progress_row(self.state.name, job.spec.job_id): job for job in jobs}
        writes = {row: job.encode() for row, job in rows.items()}
        states = [job.state for job in jobs]
        while not self.lost:
            expected = {row: job.version for row, job in rows.items()}
            expected[self.guard] = self.guard_version
            sent_at_s = boot_time_s()
            outcome = await self._store.transact(expected, writes)
            if isinstance(outcome, Committed):
                self._confirm(sent_at_s)
                for job, state in zip(jobs, states, strict=True):
                    job.version, job.stored_state = outcome.version, state
                return True
            if isinstance(outcome, Conflict):
                if not self._still_guarded(outcome):
                    return False
                if not self._adopt_versions(outcome, rows, writes):
                    return False
                continue
            self._log_failure(outcome)
            await anyio.sleep(pause_s)
            pause_s = min(RETRY_PAUSE_MAX_S, 2 * pause_s)
        return False

    def _adopt_versions(
        self, conflict: Conflict, rows: dict[RowId, Job], writes: dict[RowId, bytes]
    ) -> bool:
        """Take the versions of rows that an earlier write of ours changed.

        A row that holds anything else is newer than what was loaded. Then the cell is
        given away, so that it is loaded anew before anything starts.
        """
        for row, job in rows.items():
            found = conflict.rows.get(row)
            version = found.version if found else 0
            if version == job.version:
                continue
            if found is None or found.value != writes[row]:
                self.lose(f"the stored progress of {row.key} is not what was loaded")
                return False
            job.version = version
        return True

    def _still_guarded(self, conflict: Conflict) -> bool:
        """Return whether the cell is still ours; if not, lose it."""
        found = conflict.rows.get(self.guard)
        if found is not None and found.version == self.guard_version:
            return True
        self.lose("another process has taken the cell")
        return False

    def _confirm(self, sent_at_s: float) -> None:
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def _log_failure(self, outcome: Transacted) -> None:
        reason = getattr(outcome, "reason", "")
        log_event(
            Event.COMMIT_FAILED,
            cell=self.state.name,
            reason=reason,
            unknown=isinstance(outcome, Unknown),
        )

    def lose(self, reason: str) -> None:
        """Own the cell no more."""
        if self.lost:
            return
        self.lost = True
        log_event(
            Event.CELL_LEFT, cell=self.state.name, epoch=self.epoch, reason=reason
        )
        self._wake.set()
        self._on_lost(self.state.name)

    async def _renew(self) -> None:
        """Show that the owner lives, and learn when the cell is lost."""
        row = renewal_row(self.state.name)
        number = 0
        while not self.lost:
            number += 1
            sent_at_s = boot_time_s()
            value = f"{self.ownership.incarnation}:{number}".encode()
            outcome = await self._store.transact(
                {self.guard: self.guard_version}, {row: value}
            )
            self.store_s = boot_time_s() - sent_at_s
            if isinstance(outcome, Committed):
                self._confirm(sent_at_s)
            elif isinstance(outcome, Conflict):
                self._still_guarded(outcome)
            await anyio.sleep(RENEWAL_INTERVAL_S)

    async def _give_up(self) -> bool:
        """Release the cell, so that another process takes it at once."""
        released = replace(
            self.ownership,
            released=True,
            leases_s=self.handover(),
        )
        outcome = await self._store.transact(
            {self.guard: self.guard_version}, {self.guard: released.encode()}
        )
        if isinstance(outcome, Committed | Conflict):
            self.lose("given up")
            return True
        self._log_failure(outcome)
        return False

    async def check_guard(self) -> None:
        """Read the owner row after a worker knew a higher fencing token."""
        outcome = await self._store.transact(
            {self.guard: self.guard_version},
            {renewal_row(self.state.name): b"checked"},
        )
        if isinstance(outcome, Conflict):
            self._still_guarded(outcome)

    # Workers

    def _ask_advice(self, tasks: TaskGroup) -> None:
        """Ask for the next step that has no worker with a valid ticket."""
        if self._advice is None or self._asking or not self.state.advice_wanted:
            return
        name, workers = next(iter(self.state.advice_wanted.items()))
        self.state.advice_wanted.clear()
        self._asking = True
        tasks.start_soon(self._ask, self._advice, name, workers)

    async def _ask(
        self, advice: AdviceClient, name: StepName, workers: list[str]
    ) -> None:
        asked_s = boot_time_s()
        try:
            reply = await advice.ask(*name, workers)
        finally:
            self._asking = False
        if reply is None:
            log_event(Event.ORDER_FAILED, order="advice", job=name[0], step=name[2])
            await anyio.sleep(RETRY_PAUSE_S)
        else:
            good, validity_s = reply
            take_advice(self.state, name, workers, good, asked_s + validity_s)
        self.wake()

    # Orders
