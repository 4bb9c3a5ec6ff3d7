"""Polls the workers of a cell to extend leases and to learn of ended attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.answers import reject_foreign
from chivetray.cells.crashes import record_crash
from chivetray.cells.isolation import settling_time_ms
from chivetray.cells.pace import record_call
from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.sharing import (
    confirm_pace,
    find_pace_changes,
    has_mixed_tasks,
)
from chivetray.cells.slack import is_short_of_room, is_urgent
from chivetray.cells.timing import LEASE_S, TICK_S
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.clocks import boot_time_s
from chivetray.defects import describe_error, log_defect
from chivetray.events import Event, log_event
from chivetray.jobs.model import Phase
from chivetray.platform.workers import (
    Reply,
    TaskName,
    Verdict,
    WorkerAddress,
    WorkerClient,
)

if TYPE_CHECKING:
    from chivetray.cells.owner import CellOwner

# Longest time that a poll waits at the worker for an end; the platform allows 2 s.
POLL_WAIT_MS = 2000

# The same while best-effort tasks (``Step.best_effort``) share a worker with serving
# tasks. Workers report the tail latency of serving tasks over the last 500 ms.
SHARED_WORKER_POLL_WAIT_MS = 500

# The same while a decision needs a recent report of the worker.
RECENT_REPORT_POLL_WAIT_MS = 500

# The same while the next reply may show that an attempt does not run, since its task
# waits for that reply, and for one poll more if a poll is under way.
UNCERTAIN_ATTEMPT_POLL_WAIT_MS = 200

# A poll waits for at most this fraction of the lease, so that two polls in a row can
# fail before the lease expires.
POLL_WAIT_LEASE_FRACTION = 0.3

# Shortest wait of a poll while there is nothing to acknowledge.
SHORTEST_POLL_WAIT_MS = 100

# Pause before the next poll of a worker whose ends nothing waits for, so that one poll
# returns several of them.
GATHER_S = 0.1

# Slack before the deadline of a job within which its ends are reported at once.
GATHER_SLACK_S = 0.3

# Tasks on a worker below which its ends are reported at once, since an idle worker
# may leave its pool.
GATHER_TASKS = 3

# Pause between polls of a worker that does not answer.
SILENT_WORKER_POLL_PAUSE_S = 0.25

# Pause before the next poll of a worker after one that failed by an error of this
# process, doubled up to a limit: the same answer leads to the same error.
FAILED_POLL_PAUSE_S = 0.5
FAILED_POLL_PAUSE_MAX_S = 8.0


class WorkerPoller:
    """Polls the workers of one cell, each in a loop of its own."""

    def __init__(self, cell_owner: CellOwner, workers: WorkerClient):
        self._cell_owner = cell_owner
        self._state = cell_owner.state
        self._workers = workers
        self._wake_events: dict[str, anyio.Event] = {}
        self._polled_worker_ids: set[str] = set()
        self._leases_paused = False

    def poll_new_workers(self, task_group: TaskGroup) -> None:
        """Start a poll loop for each worker that has none."""
        for worker in self._state.workers.values():
            if worker.worker_id not in self._polled_worker_ids and worker.address:
                self._polled_worker_ids.add(worker.worker_id)
                self._wake_events[worker.worker_id] = anyio.Event()
                task_group.start_soon(self._run_poll_loop, worker)

    def wake_worker(self, worker_id: str) -> None:
        """Make the poll loop of a worker re-evaluate its state without delay."""
        event = self._wake_events.get(worker_id)
        if event is not None:
            event.set()

    async def _run_poll_loop(self, worker: WorkerState) -> None:
        """Poll one worker as needed until it leaves the cell or the cell is lost."""
        worker_id = worker.worker_id
        failed_pause_s = FAILED_POLL_PAUSE_S
        try:
            while (
                not self._cell_owner.lost
                and self._state.workers.get(worker_id) is worker
            ):
                event = self._wake_events[worker_id] = anyio.Event()
                if self._needs_poll(worker):
                    try:
                        await self._poll(worker)
                        failed_pause_s = FAILED_POLL_PAUSE_S
                    except Exception as error:
                        # The other workers of the cell, and its jobs, go on.
                        self._record_defect(worker, error)
                        await anyio.sleep(failed_pause_s)
                        failed_pause_s = min(
                            FAILED_POLL_PAUSE_MAX_S, 2 * failed_pause_s
                        )
                else:
                    with anyio.move_on_after(2.0):
                        await event.wait()
        finally:
            self._polled_worker_ids.discard(worker_id)

    def _record_defect(self, worker: WorkerState, error: Exception) -> None:
        """Count a poll that failed by an error of this process as unanswered."""
        log_defect(
            Event.WORKER_FAILED,
            error,
            worker=worker.worker_id,
            cell=self._state.name,
            epoch=self._cell_owner.epoch,
            during="poll",
        )
        self._record_silence(worker, boot_time_s(), "error", describe_error(error))

    @staticmethod
    def _needs_poll(worker: WorkerState) -> bool:
        if not worker.address:
            return False
        if worker.silent_since_s or not (worker.tasks_known and worker.clock.known):
            return worker.listed or bool(worker.tasks)
        has_open_ends = worker.last_stored_end > worker.last_acknowledged_end
        return bool(worker.tasks) or has_open_ends or worker.runs_uncounted

    async def _poll(self, worker: WorkerState) -> None:
        """Extend the lease, acknowledge stored ends, and wait for the next end."""
        address = WorkerAddress(worker.worker_id, worker.address)
        sent_at_s = boot_time_s()
        deadline_ms: int | None = None
        wait_ms = 0
        # A poll of an unresponsive worker may be executed at any later time, so it
        # extends no lease. Otherwise the leases there could never be assumed to have
        # expired.
        may_extend_lease = (
            worker.clock.known
            and worker.tasks_known
            and not worker.silent_since_s
            and not worker.lease_end_held
        )
        if may_extend_lease and worker.tasks:
            lease_s = self._cell_owner.limit_lease_s(LEASE_S, sent_at_s)
            self._log_extension(sent_at_s, lease_s > 0)
            if lease_s and self._may_run_tasks(worker):
                # Counted from a time that the worker's clock has certainly passed, so
                # that the lease does not outlast the wait of the next owner.
                clock_ms = worker.clock.lower_bound_ms(sent_at_s)
                deadline_ms = clock_ms + int(lease_s * 1000)
                worker.deadline_ms = max(worker.deadline_ms, deadline_ms)
                worker.lease_sent_at_s = max(worker.lease_sent_at_s, sent_at_s)
            wait_ms = _poll_wait_ms(worker, sent_at_s)
            if worker.isolated_for:
                wait_ms = min(wait_ms, settling_time_ms(self._state, worker, sent_at_s))
            if self._awaits_listing(worker):
                wait_ms = min(wait_ms, UNCERTAIN_ATTEMPT_POLL_WAIT_MS)
        if worker.runs_uncounted and not worker.tasks:
            wait_ms = UNCERTAIN_ATTEMPT_POLL_WAIT_MS
        observed, incarnation = _acknowledgeable_end(worker), worker.incarnation
        token = self._cell_owner.fencing_token(worker)
        grants_lease = deadline_ms is not None
        lease_order = worker.lease_orders.begin(sent_at_s) if grants_lease else 0
        reply = await self._workers.poll(address, token, observed, deadline_ms, wait_ms)
        if (
            self._cell_owner.lost
            or self._state.workers.get(worker.worker_id) is not worker
        ):
            return
        now_s = boot_time_s()
        reject_foreign(
            worker,
            reply,
            sent_at_s,
            now_s,
            incarnation,
            order="poll",
            observed=observed,
            granted_ms=deadline_ms,
            epoch=self._cell_owner.epoch,
        )
        if reply.verdict == Verdict.OK:
            self._record_reply(worker, reply, sent_at_s, now_s)
            record_call(self._state, worker, False, now_s)
            if worker.incarnation == incarnation and (
                not reply.incarnation or reply.incarnation == incarnation
            ):
                worker.last_acknowledged_end = max(
                    worker.last_acknowledged_end, observed
                )
            apply_poll_reply(self._state, worker, reply, sent_at_s, now_s)
            is_same = reply.incarnation == incarnation == worker.incarnation
            worker.lease_orders.end(lease_order, is_same)
            if is_same:
                self._state.refuse_late_orders(worker, now_s)
            self._cell_owner.wake()
            await self._send_pace_orders(worker)
            await self._wait_until_ends_stored(worker)
            await self._wait_until_leases_allowed(worker)
            if self._may_gather_ends(worker):
                await anyio.sleep(GATHER_S)
            return
        worker.lease_orders.end(lease_order, reply.verdict != Verdict.NO_ANSWER)
        if token < self._cell_owner.fencing_token(worker):
            # The list has shown a later incarnation meanwhile, which is polled next.
            return
        await self._handle_poll_failure(worker, reply, sent_at_s, now_s)

    def _may_run_tasks(self, worker: WorkerState) -> bool:
        """Return whether an attempt on a worker is known to have started.

        The lease of a start order suffices for an attempt that may never start.
        """
        for ref in worker.tasks:
            found = self._state.find_newest_attempt(worker, ref)
            if found is None or found[1].phase != Phase.PLACED:
                return True
        return False

    def _awaits_listing(self, worker: WorkerState) -> bool:
        """Return whether the next reply may show that an attempt does not run."""
        for ref in worker.tasks:
            found = self._state.find_newest_attempt(worker, ref)
            if found is None:
                if self._has_late_start(ref):
                    return True
                continue
            _, task = found
            if task.listed_at_s:
                continue
            if task.phase == Phase.STOPPING or task.unanswered_starts:
                return True
        return False

    def _has_late_start(self, ref: TaskRef) -> bool:
        """Return whether a late start of a task is being ruled out on a worker.

        No end is listed for one that has not begun.
        """
        _, task = self._state.find_task(ref)
        return task is not None and any(
            attempt in task.settled_copies for attempt in task.stopping_copies
        )

    def _log_extension(self, now_s: float, extends: bool) -> None:
        """Log that leases of this cell are no longer extended, or are again."""
        if extends != self._leases_paused:
            return
        self._leases_paused = not extends
        log_event(
            Event.LEASES_RESUMED if extends else Event.LEASES_PAUSED,
            cell=self._state.name,
            epoch=self._cell_owner.epoch,
            confirmed_age_s=round(now_s - self._cell_owner.confirmed_at_s, 3),
        )

    def _may_gather_ends(self, worker: WorkerState) -> bool:
        """Return whether a later report of the next ends makes no job late."""
        if len(worker.tasks) < GATHER_TASKS or is_short_of_room(self._state):
            return False
        now_s = boot_time_s()
        return not any(
            is_urgent(self._state, job_id, now_s, GATHER_SLACK_S)
            for job_id in {job_id for job_id, _ in worker.tasks}
        )

    async def _wait_until_ends_stored(self, worker: WorkerState) -> None:
        """Wait until the reported ends are stored or the lease has to be extended.

        Polls return immediately while there are unacknowledged ends, so polling before
        that would be a busy loop.
        """
        with anyio.move_on_after(POLL_WAIT_MS / 1000):
            while (
                worker.last_stored_end < worker.last_applied_end
                and not self._cell_owner.lost
            ):
                event = self._wake_events[worker.worker_id] = anyio.Event()
                await event.wait()

    async def _wait_until_leases_allowed(self, worker: WorkerState) -> None:
        """Wait until the entry with the end of the worker's leases is removed."""
        if not worker.lease_end_held:
            return
        self._cell_owner.lease_ends.wake()
        with anyio.move_on_after(TICK_S):
            while worker.lease_end_held and not self._cell_owner.lost:
                event = self._wake_events[worker.worker_id] = anyio.Event()
                await event.wait()

    async def _handle_poll_failure(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        if reply.verdict == Verdict.FENCED:
            await self._cell_owner.verify_ownership()
        elif reply.verdict == Verdict.OTHER_INCARNATION:
            # No task of this incarnation can run where another one answers.
            seen_by = "another worker answers"
            record_crash(self._state, worker, seen_by, now_s)
            self._state.reschedule_worker_tasks(worker, now_s, seen_by)
            worker.listed = False
            self._cell_owner.wake()
        if reply.verdict == Verdict.NO_ANSWER:
            record_call(self._state, worker, True, now_s)
        self._record_silence(worker, sent_at_s, reply.verdict.value, reply.detail)
        await anyio.sleep(SILENT_WORKER_POLL_PAUSE_S)

    def _record_silence(
        self, worker: WorkerState, sent_at_s: float, verdict: str, detail: str
    ) -> None:
        """Record a poll without a usable answer.

        :param sent_at_s: send time of the poll
        :param verdict: outcome of the poll, for the log
        """
        now_s = boot_time_s()
        if not worker.silent_since_s:
            worker.silent_since_s = worker.last_silence_at_s = sent_at_s
            worker.silence_seen_at_s = now_s
            log_event(
                Event.WORKER_SILENT,
                worker=worker.worker_id,
                cell=self._state.name,
                verdict=verdict,
                detail=detail,
                epoch=self._cell_owner.epoch,
                tasks=len(worker.tasks),
                **worker.describe_lease(now_s),
            )
        self._cell_owner.wake()

    def _record_reply(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        same_incarnation = (
            not reply.incarnation or reply.incarnation == worker.incarnation
        )
        is_old = 0 < sent_at_s <= worker.doubted_at_s
        if reply.clock_ms is not None and same_incarnation and not is_old:
            worker.clock.observe(reply.clock_ms, sent_at_s, now_s)
            worker.doubted_at_s = 0.0
        if worker.silent_since_s:
            log_event(
                Event.WORKER_ANSWERS,
                worker=worker.worker_id,
                cell=self._state.name,
                epoch=self._cell_owner.epoch,
                tasks=len(worker.tasks),
                **worker.describe_lease(now_s),
            )
            worker.silent_since_s = 0.0

    async def _send_pace_orders(self, worker: WorkerState) -> None:
        """Adjust the pace of best-effort tasks to the latencies in the last reply."""
        address = WorkerAddress(worker.worker_id, worker.address)
        for ref, attempt, percent in find_pace_changes(self._state, worker):
            token = self._cell_owner.fencing_token(worker)
            sent_at_s, incarnation = boot_time_s(), worker.incarnation
            reply = await self._workers.pace(
                address, token, TaskName(*ref), attempt, percent
            )
            is_foreign = reject_foreign(
                worker,
                reply,
                sent_at_s,
                boot_time_s(),
                incarnation,
                order="pace",
                task=str(TaskName(*ref)),
                attempt=attempt,
                epoch=self._cell_owner.epoch,
            )
            is_same = worker.incarnation == incarnation and not is_foreign
            if reply.verdict == Verdict.OK and is_same:
                confirm_pace(self._state, worker, ref, attempt, percent)
            log_event(
                Event.TASK_PACED,
                task=str(TaskName(*ref)),
                percent=percent,
                verdict=reply.verdict.value,
            )


def _acknowledgeable_end(worker: WorkerState) -> int:
    """Return the number up to which a poll may let a worker forget its ends.

    A worker that has restarted numbers its ends anew and would forget other ones, so a
    number is sent only while there are ends to acknowledge, and not to a worker that
    may have restarted since its last answer, or has by the clock of an answer.
    """
    if worker.silent_since_s or not worker.clock.known:
        return 0
    if worker.last_stored_end <= worker.last_acknowledged_end:
        return 0
    return worker.last_stored_end


def _poll_wait_ms(worker: WorkerState, now_s: float) -> int:
    """Return for how long a worker may hold a poll until an attempt ends.

    A poll returns immediately while there are unacknowledged ends. Shortly before the
    end of a lease that may not be extended now, polls are short, so that the next one
    extends it once that is allowed.
    """
    if worker.last_stored_end != worker.last_applied_end:
        return 0
    is_shared = has_mixed_tasks(worker)
    wait_ms = SHARED_WORKER_POLL_WAIT_MS if is_shared else POLL_WAIT_MS
    if now_s < worker.reports_wanted_until_s:
        wait_ms = min(wait_ms, RECENT_REPORT_POLL_WAIT_MS)
    lease_left_ms = worker.deadline_ms - worker.clock.lower_bound_ms(now_s)
    longest_wait_ms = int(lease_left_ms * POLL_WAIT_LEASE_FRACTION)
    return min(wait_ms, max(SHORTEST_POLL_WAIT_MS, longest_wait_ms))
