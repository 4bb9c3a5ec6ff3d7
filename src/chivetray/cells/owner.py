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

from chivetray.cells.state import (
    CellState,
    Placement,
    StepName,
    StopOrder,
    job_age_s,
)
from chivetray.cells.tables import (
    Ownership,
    owner_row,
    progress_row,
    renewal_row,
)
from chivetray.cells.workers import WorkerState
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec, Phase
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
from chivetray.platform.workers import (
    Reply,
    TaskName,
    Verdict,
    WorkerAddress,
    WorkerClient,
)

# Lease of what runs on a worker, at most the platform's bound. It outlasts an
# outage of the store of OWNERSHIP_S + LEASE_S, and a dark worker's tasks wait
# for it.
LEASE_S = 7.0

# Lease that a start brings along until the next look extends it. A start that is
# carried out later than that is refused by the worker.
START_LEASE_S = 4.0

# Time after the last confirmed write during which an owner goes on extending
# leases. A new owner waits for it at workers that do not answer.
OWNERSHIP_S = 4.0

# Longest time that the lease of an earlier owner can last, with a clock that runs
# 2% slow.
EARLIER_LEASE_S = OWNERSHIP_S + LEASE_S * 1.03

# The same after an owner that gave the cell up, and so stopped extending leases.
RELEASED_LEASE_S = LEASE_S * 1.03

# A process that takes the cell of a silent owner waits for one and a half of these.
RENEWAL_INTERVAL_S = 0.5

# Longest wait of a look at a worker for an end; the platform's bound is 2 s.
LOOK_WAIT_MS = 2000

# The same while filling tasks share a worker with serving ones, whose tails are
# reported for the last half second.
SHARING_LOOK_WAIT_MS = 500

# Pause between looks at a worker that does not answer.
SILENT_LOOK_PAUSE_S = 0.25

# Pause after a write that failed, doubled up to a bound.
RETRY_PAUSE_S = 0.03
RETRY_PAUSE_MAX_S = 0.5

TICK_S = 0.25

# Time of one round of decisions above which the next one waits as long again.
LONG_DECISION_S = 0.005

# Tries of one order in a row before the regular round takes it up again.
ORDER_TRIES = 3

UNHEALTHY_PAUSE_S = 1.0
NO_ROOM_PAUSE_S = 0.2

# A transaction names each row twice, and the owner row once.
ROWS_PER_COMMIT = (ENTRIES_LIMIT - 2) // 2


class CellOwner:
    """Owns one cell from its take-over until it is lost or given up.

    :param guard_version: version of the owner row, which guards all writes
    :param on_lost: called when another process has taken the cell
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
        self.inherited_s: dict[str, float] | None = None
        self.handover: Callable[[], dict[str, float]] = lambda: (
            state.remaining_leases(boot_time_s())
        )
        self._store = store
        self._workers = workers
        self._on_lost = on_lost
        self._advice = advice
        self._asking = False
        self._wake = anyio.Event()
        self._worker_events: dict[str, anyio.Event] = {}
        self._driven: set[str] = set()
        self._starting: set[tuple[object, int]] = set()
        self._stopping: set[tuple[str, str, int]] = set()
        self._resumed_at_s = 0.0
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
            self.state.evacuate(now_s)
            self.state.stop_broken_gangs()
            self._drive_new_workers(tasks)
            placements = [] if self.leaving else self.state.place(now_s, wall_time_ms())
            decided_s = boot_time_s() - now_s
            ends = {w.worker_id: w.seen_end for w in self.state.workers.values()}
            jobs = self.state.take_dirty()
            if jobs and not await self._commit(jobs):
                return
            self._release_ends(ends)
            for placement in placements:
                self._send_start(tasks, placement)
            self._send_stops(tasks)
            self._ask_advice(tasks)
            done = self.leaving and not self.state.has_dirty()
            if done and await self._give_up():
                return
            # Decisions on a long queue take at most half of the processor.
            if decided_s > LONG_DECISION_S:
                await anyio.sleep(decided_s)
            with anyio.move_on_after(TICK_S):
                await self._wake.wait()
            self._resume_orders(tasks)

    def _release_ends(self, ends: dict[str, int]) -> None:
        """Let workers forget the ends that are stored now."""
        for worker_id, number in ends.items():
            worker = self.state.workers.get(worker_id)
            if worker is not None and worker.observed < number <= worker.seen_end:
                worker.observed = number
                self._nudge(worker_id)

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

    def _drive_new_workers(self, tasks: TaskGroup) -> None:
        for worker in self.state.workers.values():
            if worker.worker_id not in self._driven and worker.address:
                self._driven.add(worker.worker_id)
                self._worker_events[worker.worker_id] = anyio.Event()
                tasks.start_soon(self._drive, worker)

    def _nudge(self, worker_id: str) -> None:
        event = self._worker_events.get(worker_id)
        if event is not None:
            event.set()

    async def _drive(self, worker: WorkerState) -> None:
        """Look at one worker as long as it has something of this cell."""
        worker_id = worker.worker_id
        try:
            while not self.lost and self.state.workers.get(worker_id) is worker:
                event = self._worker_events[worker_id] = anyio.Event()
                if self._needs_look(worker):
                    await self._look(worker)
                else:
                    with anyio.move_on_after(2.0):
                        await event.wait()
        finally:
            self._driven.discard(worker_id)

    @staticmethod
    def _needs_look(worker: WorkerState) -> bool:
        if not worker.address:
            return False
        if not worker.adopted:
            return worker.listed or bool(worker.tasks)
        return bool(worker.tasks) or worker.observed > worker.acknowledged

    async def _look(self, worker: WorkerState) -> None:
        """Extend the lease, let stored ends be forgotten, and wait for the next."""
        address = WorkerAddress(worker.worker_id, worker.address)
        sent_at_s = boot_time_s()
        deadline_ms: int | None = None
        wait_ms = 0
        owned = sent_at_s - self.confirmed_at_s < OWNERSHIP_S
        # A look at a silent worker may be carried out any time, so it brings no lease:
        # otherwise the leases there would never be known to be over.
        renews = worker.clock.known and worker.adopted and not worker.silent_since_s
        if renews and owned and worker.tasks:
            # Counted from a time that the worker's clock has surely passed, so that the
            # lease is no longer than a later owner waits for.
            deadline_ms = worker.clock.earliest_ms(sent_at_s) + int(LEASE_S * 1000)
            worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
            # A look returns at once while ends are not acknowledged.
            if worker.observed == worker.seen_end:
                shares = self.state.shares(worker)
                wait_ms = SHARING_LOOK_WAIT_MS if shares else LOOK_WAIT_MS
        observed, born = worker.observed, worker.born
        reply = await self._workers.hold(
            address, self.epoch, observed, deadline_ms, wait_ms
        )
        if self.lost or self.state.workers.get(worker.worker_id) is not worker:
            return
        now_s = boot_time_s()
        if reply.verdict == Verdict.OK:
            self._heard(worker, reply, sent_at_s, now_s)
            if worker.born == born and (not reply.born or reply.born == born):
                worker.acknowledged = max(worker.acknowledged, observed)
            self.state.apply_look(worker, reply, sent_at_s, now_s)
            self.wake()
            await self._pace(worker)
            await self._wait_stored(worker)
            return
        await self._look_failed(worker, reply, sent_at_s, now_s)

    async def _wait_stored(self, worker: WorkerState) -> None:
        """Wait until the ends of a look are stored, but not past the lease.

        A look returns at once while ends are not acknowledged.
        """
        with anyio.move_on_after(LOOK_WAIT_MS / 1000):
            while worker.observed < worker.seen_end and not self.lost:
                event = self._worker_events[worker.worker_id] = anyio.Event()
                await event.wait()

    async def _look_failed(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        if reply.verdict == Verdict.FENCED:
            await self.check_guard()
        elif reply.verdict == Verdict.OTHER_LIFE:
            # Nothing of this life can run where another life answers.
            self.state.worker_lost(worker, now_s, "another worker answers")
            worker.listed = False
            self.wake()
        if not worker.silent_since_s:
            worker.silent_since_s = sent_at_s
            log_event(
                Event.WORKER_SILENT,
                worker=worker.worker_id,
                cell=self.state.name,
                verdict=reply.verdict.value,
                detail=reply.detail,
            )
        self.wake()
        await anyio.sleep(SILENT_LOOK_PAUSE_S)

    def _heard(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        same_life = not reply.born or reply.born == worker.born
        if reply.clock_ms is not None and same_life:
            worker.clock.observe(reply.clock_ms, sent_at_s, now_s)
        if worker.silent_since_s:
            log_event(
                Event.WORKER_ANSWERS,
                worker=worker.worker_id,
                cell=self.state.name,
                silent_s=round(now_s - worker.silent_since_s, 3),
            )
            worker.silent_since_s = 0.0

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
            self.state.take_advice(name, workers, good, asked_s + validity_s)
        self.wake()

    async def _pace(self, worker: WorkerState) -> None:
        """Slow filling tasks down or let them speed up, by the last look."""
        address = WorkerAddress(worker.worker_id, worker.address)
        for ref, attempt, percent in self.state.pace_orders(worker):
            reply = await self._workers.pace(
                address, self.epoch, TaskName(*ref), attempt, percent
            )
            log_event(
                Event.TASK_PACED,
                task=str(TaskName(*ref)),
                percent=percent,
                verdict=reply.verdict.value,
            )

    # Orders

    def _resume_orders(self, tasks: TaskGroup) -> None:
        """Repeat the orders of which nobody knows whether they were carried out."""
        now_s = boot_time_s()
        if now_s - self._resumed_at_s < TICK_S:
            return
        self._resumed_at_s = now_s
        self.state.copy_tasks(now_s)
        uncommitted = self.state.dirty_ids()
        for worker in list(self.state.workers.values()):
            if not worker.adopted or worker.silent_since_s or not worker.address:
                continue
            for ref in worker.tasks:
                job = self.state.jobs.get(ref[0])
                task = job.tasks.get(ref[1]) if job else None
                if job is None or task is None or ref[0] in uncommitted:
                    continue
                if task.worker != worker.worker_id:
                    continue
                if task.phase == Phase.PLACED:
                    placement = Placement(
                        ref, task.attempt, worker.worker_id, worker.born
                    )
                    self._send_start(tasks, placement)
                elif task.phase == Phase.STOPPING and not task.stopped_at_s:
                    name = TaskName(*ref)
                    self.state.stops.append(
                        StopOrder(name, task.attempt, worker.worker_id)
                    )

    def _send_start(self, tasks: TaskGroup, placement: Placement) -> None:
        key = (placement.ref, placement.attempt)
        if key not in self._starting:
            self._starting.add(key)
            tasks.start_soon(self._start, placement)

    async def _start(self, placement: Placement) -> None:
        try:
            for _ in range(ORDER_TRIES):
                if await self._start_once(placement):
                    return
                await anyio.sleep(RETRY_PAUSE_S)
        finally:
            self._starting.discard((placement.ref, placement.attempt))

    async def _start_once(self, placement: Placement) -> bool:
        """Send a start; return whether nothing is left to do."""
        job = self.state.jobs.get(placement.ref[0])
        task = job.tasks.get(placement.ref[1]) if job else None
        worker = self.state.workers.get(placement.worker_id)
        if job is None or task is None or worker is None or self.lost:
            return True
        if task.phase != Phase.PLACED or task.attempt != placement.attempt:
            return True
        if not worker.clock.known or worker.born != placement.born:
            return True
        sent_at_s = boot_time_s()
        if sent_at_s - self.confirmed_at_s >= OWNERSHIP_S:
            return True
        deadline_ms = worker.clock.earliest_ms(sent_at_s) + int(START_LEASE_S * 1000)
        worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
        reply = await self._workers.start(
            WorkerAddress(worker.worker_id, worker.address),
            self.epoch,
            TaskName(*placement.ref),
            placement.attempt,
            job.spec.payload,
            deadline_ms,
            task.checkpoint,
            self.state.ticket_of(placement.ref, worker.worker_id),
        )
        now_s = boot_time_s()
        if self.lost:
            return True
        if reply.clock_ms is not None and worker.born == placement.born:
            worker.clock.observe(reply.clock_ms, sent_at_s, now_s)
        # An earlier try may still be carried out, whatever this one says.
        repeated = task.unanswered
        task.unanswered = repeated or reply.verdict == Verdict.NO_ANSWER
        return await self._take_start_reply(placement, worker, reply, repeated)

    async def _take_start_reply(
        self, placement: Placement, worker: WorkerState, reply: Reply, repeated: bool
    ) -> bool:
        now_s = boot_time_s()
        verdict = reply.verdict
        if verdict in (Verdict.OK, Verdict.OLD):
            # An old attempt has ended there; the next look shows how.
            self.state.confirm_start(placement.ref, placement.attempt, now_s)
            self._nudge(worker.worker_id)
            return True
        log_event(
            Event.ORDER_FAILED,
            order="start",
            task=str(TaskName(*placement.ref)),
            attempt=placement.attempt,
            worker=worker.worker_id,
            verdict=verdict.value,
            detail=reply.detail,
            used_cpu=worker.used_cpu_milli,
        )
        if verdict == Verdict.BAD_TICKET:
            self.state.drop_ticket(placement.ref, worker.worker_id)
        if verdict == Verdict.FENCED:
            await self.check_guard()
            return True
        if verdict in (Verdict.NO_ANSWER, Verdict.LATE):
            return False
        if verdict == Verdict.OTHER_LIFE:
            self._nudge(worker.worker_id)
            return True
        if verdict == Verdict.NOT_SENT and repeated:
            # An earlier try may have been taken.
            return False
        pause_s = UNHEALTHY_PAUSE_S
        if verdict in (Verdict.NO_ROOM, Verdict.BAD_TICKET):
            pause_s = NO_ROOM_PAUSE_S
        if repeated:
            # An earlier try that was not answered may still be carried out, which a
            # stop prevents for good.
            job = self.state.jobs[placement.ref[0]]
            self.state.stop_attempt(job, placement.ref[1])
            self.wake()
            return True
        self.state.reject_start(placement, now_s, pause_s)
        self.wake()
        return True

    def _send_stops(self, tasks: TaskGroup) -> None:
        orders, self.state.stops = self.state.stops, []
        for order in orders:
            key = (str(order.name), order.worker_id, order.attempt)
            if key not in self._stopping:
                self._stopping.add(key)
                tasks.start_soon(self._stop, order)

    async def _stop(self, order: StopOrder) -> None:
        try:
            for _ in range(ORDER_TRIES):
                worker = self.state.workers.get(order.worker_id)
                if worker is None or not worker.address or self.lost:
                    return
                address = WorkerAddress(worker.worker_id, worker.address)
                reply = await self._workers.stop(
                    address, self.epoch, order.name, order.attempt
                )
                if self.lost:
                    return
                if reply.verdict in (Verdict.OK, Verdict.OLD):
                    now_s = boot_time_s()
                    self.state.confirm_stop(order.name, order.attempt, now_s)
                    self._nudge(order.worker_id)
                    return
                log_event(
                    Event.ORDER_FAILED,
                    order="stop",
                    task=str(order.name),
                    attempt=order.attempt,
                    worker=order.worker_id,
                    verdict=reply.verdict.value,
                )
                if reply.verdict == Verdict.FENCED:
                    await self.check_guard()
                    return
                if reply.verdict == Verdict.OTHER_LIFE:
                    self._nudge(order.worker_id)
                    return
                await anyio.sleep(RETRY_PAUSE_S)
        finally:
            key = (str(order.name), order.worker_id, order.attempt)
            self._stopping.discard(key)
