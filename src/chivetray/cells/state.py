"""State of the jobs and workers of one cell, without network access.

Methods take the current time as an argument, so that tests can replay events in any
order. The decisions on a cell are functions in the modules `placing`, `gangs`,
`reports`, `copies`, `evacuation`, `sharing`, `advice` and `load`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from chivetray.cells.backlog import BacklogMeter
from chivetray.cells.cap_use import CapRoom, may_use_more
from chivetray.cells.crashes import (
    Loss,
    find_successor,
    record_crash,
    remember_loss,
)
from chivetray.cells.lease_orders import LeaseOrders
from chivetray.cells.orders import (
    Placement,
    StepRef,
    StopOrder,
    StopReason,
    Ticket,
)
from chivetray.cells.places import log_place_freed
from chivetray.cells.tables import EPOCH_STEP, tombstone_name
from chivetray.cells.timing import (
    LEASE_EXTENSION_WINDOW_S,
    LEASE_S,
    MAX_DELIVERY_S,
    MAX_ORDER_DELAY_S,
    MAX_RELEASED_LEASE_S,
    UNANSWERED_STOP_PAUSE_S,
)
from chivetray.cells.turns import JobTurns
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.clocks import CLOCK_DRIFT, RemoteClock
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import (
    UNKNOWN_LEASE_END,
    JobName,
    JobSpec,
    JobState,
    Phase,
    Step,
    Task,
    TaskKey,
)
from chivetray.jobs.progress import ProgressRows
from chivetray.jobs.suspicion import UNEXPLAINED_CRASHES_LIMIT, LostAttempt
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import TaskName
from chivetray.scheduling.arrivals import ArrivalMeter
from chivetray.scheduling.ordering import full_value_deadline_s, work_core_s
from chivetray.scheduling.run_times import RunTimes
from chivetray.scheduling.worker_pace import FailureRate, WorkerPace

# Size of a task in a row with all tasks of its job, apart from the worker's identifier
# and address: 17 values, of which three may have many digits, and a checkpoint.
STORED_TASK_BYTES = 60

# Largest row where the settings do not tell it. Its text in a call is a third longer.
DEFAULT_ROW_BYTES = 65536 * 3 // 4

# Time after which an unlisted worker without tasks is removed.
UNLISTED_WORKER_TTL_S = 10.0

# Cancellations of jobs that are not known yet which an owner remembers.
MAX_EARLY_CANCELLATIONS = 10_000

# Crashes with several suspects that an owner remembers.
MAX_SHARED_CRASHES = 100

# Weight of the newest job in the moving mean of a queue, ``mean_job_cpu_milli``.
SIZE_LEARNING_RATE = 0.05


class CellState:
    """Jobs and workers of one cell, as its owner keeps them in memory.

    :param name: service whose workers belong to the cell
    :ivar epoch: epoch of the owner, for the log
    :ivar owned_since_s: time at which the cell got its present owner, for the log
    :ivar vm_requests_at_s: time of the last request of the holder of VM orders, 0
        before the first
    :ivar jobs: all known jobs by job id, ended ones included
    :ivar namesakes: jobs that do not run, since a job of another queue of the cell has
        their identifier; only releases that reserve none accept such, see
        ``tables.identifier_row``
    :ivar active: jobs that have not ended or still have active tasks, by job id
    :ivar long_running_job_ids: active jobs with long-running steps, and some that have
        ended
    :ivar times: run times learned from done tasks
    :ivar failure_rate: share of the tasks that fail, on any worker
    :ivar reviewed_at_s: time of the last review of running tasks, see ``pace``
    :ivar stop_orders: stop orders that are to be sent
    :ivar tickets: tickets by step and worker id
    :ivar refused_workers: ids of the workers that were denied a ticket, by step
    :ivar advice_wanted: ids of the workers to request tickets for, by step
    :ivar schedulable_job_ids: jobs that may have tasks to place; scheduling skips
        all others
    :ivar mean_job_cpu_milli: moving mean of the CPU that all tasks of a job request,
        in thousandths of a core, by queue
    :ivar arrivals: CPU demand of the jobs that arrive
    :ivar longest_lease_s: upper bound of the leases that workers grant
    :ivar held_lease_ends_s: by worker id, end of the leases that is or may be stored
        for later owners
    :ivar suspect_job_ids: jobs that may have suspected tasks
    :ivar isolated_worker_ids: workers that are kept free for suspected tasks
    :ivar shared_crashes: attempts blamed together for crashes that nothing explains
    :ivar losses: what ran on silent workers whose leases have expired, by worker id
    :ivar changed_worker_ids: workers whose tasks have changed since they were counted
        towards the caps of organisations
    :ivar cap_room: room of organisations under their caps, ``None`` without caps
    :ivar cached_order_keys: expiry time, number of done steps and sort key of a job,
        by job id
    :ivar turns: what else the order of the jobs depends on
    :ivar arriving_vms: number of VMs on their way to the cell, as the holder of VM
        orders has told, and the time at which it did
    :ivar backlog_meter: digest of the work that waits
    :ivar has_unread_parts: whether jobs of queues that other services run now may be
        stored and not known yet
    :ivar row_limit_bytes: largest row that the store accepts
    :ivar held_job_ids: jobs whose progress the store refuses; nothing of them starts
    :ivar highest_token_raise: highest ``token_raises`` of any worker so far; a worker
        that is listed again after it was forgotten may have seen it
    :ivar store_clock: clock of the store
    :ivar orders_until_s: time until which earlier owners may have sent orders
    :ivar predicted_s: time from its acceptance to its completion that was predicted
        when a job was added, by job id
    """

    def __init__(self, name: str):
        self.name = name
        self.epoch = 0
        self.owned_since_s = 0.0
        self.vm_requests_at_s = 0.0
        self.jobs: dict[str, Job] = {}
        self.namesakes: dict[JobName, Job] = {}
        self.active: dict[str, Job] = {}
        self.long_running_job_ids: dict[str, None] = {}
        self.workers: dict[str, WorkerState] = {}
        self.times = RunTimes()
        self.failure_rate = FailureRate()
        self.reviewed_at_s = 0.0
        self.stop_orders: list[StopOrder] = []
        self.tickets: dict[StepRef, dict[str, Ticket]] = {}
        self.refused_workers: dict[StepRef, set[str]] = {}
        self.advice_wanted: dict[StepRef, list[str]] = {}
        self._changed_job_ids: set[str] = set()
        self.schedulable_job_ids: set[str] = set()
        self.mean_job_cpu_milli: dict[str, float] = {}
        self.arrivals = ArrivalMeter()
        self.longest_lease_s = LEASE_S
        self.held_lease_ends_s: dict[str, float] = {}
        self.suspect_job_ids: set[str] = set()
        self.isolated_worker_ids: set[str] = set()
        self.shared_crashes: deque[list[LostAttempt]] = deque(maxlen=MAX_SHARED_CRASHES)
        self.losses: dict[str, Loss] = {}
        self.cached_order_keys: dict[str, tuple[float, int, tuple[float, ...]]] = {}
        self.changed_worker_ids: set[str] = set()
        self.cap_room: CapRoom | None = None
        self.turns = JobTurns()
        self.arriving_vms = (0, 0.0)
        self.backlog_meter = BacklogMeter()
        self.predicted_s: dict[str, float] = {}
        self._progress_rows: dict[str, ProgressRows] = {}
        self.has_unread_parts = False
        self.row_limit_bytes = DEFAULT_ROW_BYTES
        self.held_job_ids: set[str] = set()
        self._early_cancellations: dict[JobName, None] = {}
        self.highest_token_raise = 0
        self.orders_until_s = 0.0
        self.store_clock = RemoteClock()

    # Jobs

    def add_job(
        self,
        spec: JobSpec,
        now_s: float,
        is_new: bool = True,
        known_since_s: float | None = None,
    ) -> Job:
        """Add an accepted job, or return the known job with its name.

        :param now_s: time at which it was accepted
        :param is_new: whether the job has just arrived, and was not restored
        :param known_since_s: time at which this owner learned of it, ``now_s`` by
            default
        """
        job = self.jobs.get(spec.job_id)
        if job is not None and job.spec.name != spec.name:
            return self._add_namesake(spec, now_s, job)
        if job is None:
            job = self.jobs[spec.job_id] = Job(spec, now_s)
            if known_since_s is not None:
                job.known_since_s = known_since_s
            self.active[spec.job_id] = job
            if job.long_running:
                self.long_running_job_ids[spec.job_id] = None
            self.schedulable_job_ids.add(spec.job_id)
            self.turns.add_job(job, self.times, is_new)
            size = sum(step.count * step.cpu_milli for step in spec.steps)
            mean = self.mean_job_cpu_milli.get(spec.queue, float(size))
            self.mean_job_cpu_milli[spec.queue] = mean + SIZE_LEARNING_RATE * (
                size - mean
            )
            is_arrival = is_new and not job.long_running and not spec.repeats
            if is_arrival and may_use_more(self, spec):
                self.arrivals.record(now_s, work_core_s(spec, self.times))
            if is_new:
                self._cancel_early(spec)
        return job

    def _add_namesake(self, spec: JobSpec, now_s: float, known: Job) -> Job:
        """Add a job whose identifier a job of another queue has; it does not run."""
        namesake = self.namesakes.get(spec.name)
        if namesake is None:
            namesake = self.namesakes[spec.name] = Job(spec, now_s)
            log_event(
                Event.JOB_ID_SHARED,
                job=spec.job_id,
                cell=self.name,
                queue=spec.queue,
                running_queue=known.spec.queue,
                epoch=self.epoch,
            )
            self._cancel_early(spec)
        return namesake

    def find_job(self, name: JobName) -> Job | None:
        """Return a job of the cell, ``None`` if it is not known."""
        job = self.jobs.get(name.job_id)
        if job is not None and job.spec.name == name:
            return job
        return self.namesakes.get(name)

    def restore_job(
        self,
        spec: JobSpec,
        progress: bytes,
        version: int,
        now_s: float,
        known_since_s: float | None = None,
        more_rows: Mapping[int, tuple[bytes, int]] | None = None,
    ) -> None:
        """Add a job with the progress stored by an earlier owner.

        :param progress: content of the main row
        :param version: version of that row, 0 if it does not exist
        :param more_rows: content and version of the other rows, by their numbers
        """
        job = self.add_job(spec, now_s, False, known_since_s)
        if job is not self.jobs[spec.job_id]:
            # The progress is that of the other job.
            return
        job.version = version
        rows, more_rows = self.rows_of(job), more_rows or {}
        try:
            if version:
                job.restore(progress)
            for number, (_, row_version) in more_rows.items():
                rows.adopt_version(number, row_version)
            rows.restore({n: content for n, (content, _) in more_rows.items()})
        except (ValueError, TypeError, LookupError) as error:
            log_event(Event.ROW_DAMAGED, job=spec.job_id, reason=str(error))
        if spec.split_progress:
            for task in list(job.tasks.values()):
                if not spec.steps[task.key[1]].long_running:
                    self.fail_if_attempts_exhausted(job, task)
        if job.state != job.stored_state:
            # The owner before has stored the last end, and not the state after it.
            self.mark_changed(spec.job_id)
        self.deactivate_if_finished(job)
        if any(task.suspect for task in job.tasks.values()):
            self.suspect_job_ids.add(spec.job_id)
        for task in job.active_tasks():
            worker = self.workers.get(task.worker)
            if worker is None:
                continue
            step = job.spec.steps[task.key[1]]
            worker.allocate((spec.job_id, task.key), step)
            if job.state.ended:
                self.stop_task(job, task, StopReason.JOB_ENDED)

    def rows_of(self, job: Job) -> ProgressRows:
        """Return the stored rows of a job."""
        rows = self._progress_rows.get(job.spec.job_id)
        if rows is None:
            rows = self._progress_rows[job.spec.job_id] = ProgressRows(job)
        return rows

    def cancel(self, name: JobName) -> bool:
        """Cancel a job; return whether it is known."""
        job = self.find_job(name)
        if job is None:
            return False
        job.cancelled = True
        if not job.state.ended:
            if job is self.jobs[name.job_id]:
                self.end_job(job, JobState.CANCELLED)
            else:
                job.state = JobState.CANCELLED
            log_event(
                Event.JOB_ENDED,
                job=name.job_id,
                state="CANCELLED",
                cell=self.name,
                queue=job.spec.queue,
            )
        return True

    def remember_cancellation(self, name: JobName) -> None:
        """Remember a stored cancellation of a job that is not known yet.

        It is cancelled once it is added, before any of its tasks is placed.
        """
        if len(self._early_cancellations) >= MAX_EARLY_CANCELLATIONS:
            del self._early_cancellations[next(iter(self._early_cancellations))]
        self._early_cancellations[name] = None

    def apply_tombstone(self, name: JobName) -> None:
        """Cancel a job beside which there is a tombstone, now or once it is added.

        Managers of earlier releases store such jobs.

        :param name: name that the tombstone tells, see ``tables.tombstone_name``
        """
        job = self.find_job(JobName(name.queue, name.job_id.partition(".")[0]))
        if job is None:
            self.remember_cancellation(name)
        elif tombstone_name(job.spec.name, job.spec.organisation) == name:
            self.cancel(job.spec.name)

    def _cancel_early(self, spec: JobSpec) -> None:
        """Cancel a job that has been added if its cancellation is remembered."""
        if not self._early_cancellations:
            return
        names = (spec.name, tombstone_name(spec.name, spec.organisation))
        if any(name in self._early_cancellations for name in names):
            self.cancel(spec.name)

    def end_job(self, job: Job, state: JobState) -> None:
        """Set the final state of a job and stop its tasks and their copies."""
        job.state = state
        self.mark_changed(job.spec.job_id)
        for task in job.active_tasks():
            self.stop_task(job, task, StopReason.JOB_ENDED)
        for task in job.tasks.values():
            self.stop_copies(job, task, StopReason.JOB_ENDED)
        self.deactivate_if_finished(job)

    def deactivate_if_finished(self, job: Job) -> None:
        """Remove an ended job from the active ones once none of its tasks is active."""
        if job.state.ended and not job.has_active_tasks():
            self.active.pop(job.spec.job_id, None)
            self.cached_order_keys.pop(job.spec.job_id, None)
            self.turns.forget_job(job.spec.job_id)
            self.predicted_s.pop(job.spec.job_id, None)

    def stop_task(self, job: Job, task: Task, reason: StopReason) -> None:
        """Queue a stop order for a task's newest attempt, unless it is stopping."""
        if task.phase == Phase.STOPPING:
            return
        task.phase = Phase.STOPPING
        self.mark_changed(job.spec.job_id)
        name = TaskName(job.spec.job_id, task.key)
        self.stop_orders.append(StopOrder(name, task.attempt, task.worker, reason))

    def count_queued_jobs(self) -> dict[str, int]:
        """Return the number of jobs in each queue that have not started any task."""
        counts: dict[str, int] = {}
        for job in self.active.values():
            if job.state == JobState.QUEUED:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts

    def mark_changed(self, job_id: str) -> None:
        """Mark a job: its progress must be stored and its tasks may be placed."""
        self._changed_job_ids.add(job_id)
        self.schedulable_job_ids.add(job_id)

    def take_changed_jobs(self) -> list[Job]:
        """Return the jobs whose progress must be stored, and clear their marks."""
        jobs = [
            self.jobs[job_id] for job_id in self._changed_job_ids if job_id in self.jobs
        ]
        self._changed_job_ids.clear()
        return jobs

    def has_changed_jobs(self) -> bool:
        """Return whether the progress of any job must be stored."""
        return bool(self._changed_job_ids)

    def changed_job_ids(self) -> set[str]:
        """Return the ids of the jobs whose progress must be stored."""
        return set(self._changed_job_ids)

    def stop_attempt(self, job: Job, key: TaskKey, reason: StopReason) -> None:
        """Stop the newest attempt of a task, which waits again after its end."""
        task = job.tasks[key]
        if task.active:
            self.stop_task(job, task, reason)

    # Workers

    def update_workers(self, entries: Iterable[WorkerRecord], now_s: float) -> None:
        """Update the workers from the current list of the service's workers."""
        seen = set()
        for entry in entries:
            seen.add(entry.worker_id)
            worker = self.workers.get(entry.worker_id)
            if worker is not None and (
                entry.incarnation < worker.incarnation
                or entry.incarnation in worker.former_incarnations
            ):
                # The worker itself has already reported a newer incarnation.
                continue
            if worker is not None and entry.incarnation > worker.incarnation:
                self.handle_worker_restart(
                    worker, entry.incarnation, now_s, source="list"
                )
            if worker is None:
                worker = self._add_worker(entry, now_s)
            worker.address, worker.zone = entry.address, entry.zone
            worker.rack, worker.labels = entry.rack, entry.labels
            worker.cpu_milli, worker.mem_mb = entry.cpu_milli, entry.mem_mb
            worker.gpu = entry.gpu
            if entry.draining and not worker.draining:
                log_event(Event.WORKER_DRAINING, worker=entry.worker_id, cell=self.name)
            worker.draining = entry.draining
            worker.listed, worker.missing_since_s = True, 0.0
            worker.listed_incarnation = entry.incarnation
        for worker_id, worker in list(self.workers.items()):
            if worker_id in seen:
                continue
            if worker.listed:
                worker.listed, worker.missing_since_s = False, now_s
            if (
                not worker.tasks
                and not worker.is_reserved(now_s)
                and now_s - worker.missing_since_s > UNLISTED_WORKER_TTL_S
                and not worker.expects_late_starts(now_s)
            ):
                del self.workers[worker_id]

    def _add_worker(self, entry: WorkerRecord, now_s: float) -> WorkerState:
        worker = WorkerState(
            worker_id=entry.worker_id,
            address=entry.address,
            zone=entry.zone,
            rack=entry.rack,
            labels=entry.labels,
            incarnation=entry.incarnation,
            cpu_milli=entry.cpu_milli,
            mem_mb=entry.mem_mb,
            gpu=entry.gpu,
            idle_since_s=now_s,
            known_since_s=now_s,
            longest_lease_s=self._longest_lease_s(),
            lease_orders=LeaseOrders(unanswered_sent_s=self.orders_until_s),
            token_raises=self.highest_token_raise,
            lease_end_held=entry.worker_id in self.held_lease_ends_s,
            changed_ids=self.changed_worker_ids,
        )
        self.workers[entry.worker_id] = worker
        find_successor(self, worker, now_s)
        log_event(
            Event.WORKER_LISTED,
            worker=entry.worker_id,
            cell=self.name,
            address=entry.address,
        )
        return worker

    def attach_restored_tasks(
        self,
        now_s: float,
        earlier_lease_s: float,
        remaining_s: dict[str, float],
        orders_until_s: float | None = None,
    ) -> None:
        """Attach the active tasks of restored jobs to their workers after a takeover.

        A task whose worker is not listed stays placed there until every lease of the
        earlier owner must have expired.

        :param earlier_lease_s: longest time for which a lease of the earlier owner
            may still last
        :param remaining_s: the same by worker id, for workers that did not answer the
            earlier owner, as it stored while they were silent or when it released the
            cell
        :param orders_until_s: time until which earlier owners may have sent orders, 0
            if there was none; by default the latest one after an acquisition just now
        """
        if orders_until_s is None:
            is_first = earlier_lease_s == 0
            orders_until_s = 0.0 if is_first else now_s + LEASE_EXTENSION_WINDOW_S
        self.orders_until_s = orders_until_s
        restarted: set[str] = set()
        marked: set[str] = set()
        outlived: dict[str, list[LostAttempt]] = {}
        for job in list(self.active.values()):
            for task in job.active_tasks():
                worker = self.workers.get(task.worker)
                if worker is None:
                    # Polling the address shows whether another worker runs there now.
                    worker = self._add_unlisted_worker(
                        task.worker, task.address, task.incarnation
                    )
                elif worker.incarnation > task.incarnation > 0:
                    log_event(
                        Event.ATTEMPT_OUTLIVED,
                        task=str(TaskName(job.spec.job_id, task.key)),
                        attempt=task.attempt,
                        worker=task.worker,
                        placed_on=task.incarnation,
                        listed=worker.incarnation,
                        phase=task.phase.name,
                    )
                    restarted.add(worker.worker_id)
                    is_isolated = task.isolated and task.suspect
                    lost = LostAttempt(
                        job.spec.job_id, task, task.attempt, False, is_isolated
                    )
                    outlived.setdefault(worker.worker_id, []).append(lost)
                    self._move_to_new_incarnation(worker, job, task)
                elif 0 < worker.incarnation < task.incarnation:
                    # The list is old; another worker may answer at its address.
                    worker.address, worker.incarnation = task.address, task.incarnation
                if task.foreign_lease:
                    self._inherit_foreign_lease(worker, task, now_s, marked)
                worker.allocate(
                    (job.spec.job_id, task.key), job.spec.steps[task.key[1]]
                )
                if task.suspect and task.isolated:
                    worker.isolated_for = job.spec.job_id
                    worker.isolated_since_s = now_s
                    self.isolated_worker_ids.add(worker.worker_id)
            for task in job.tasks.values():
                marked |= self._adopt_copies(job, task)
        for worker_id, attempts in outlived.items():
            worker = self.workers[worker_id]
            record_crash(self, worker, "list after a take-over", now_s, attempts)
            self._stop_suspects(lost.ref for lost in attempts)
        for worker in self.workers.values():
            lease_s = remaining_s.get(worker.worker_id, earlier_lease_s)
            worker.earlier_lease_until_s = max(
                now_s + lease_s, worker.late_orders_until_s
            )
            worker.lease_sent_at_s = orders_until_s
            worker.lease_orders.unanswered_sent_s = orders_until_s
            # An earlier owner has reckoned with the mark in the end that it stored.
            is_marked = worker.worker_id in marked - remaining_s.keys()
            if worker.worker_id in restarted or is_marked:
                self._expect_late_orders(worker)

    def _find_foreign_lease(self, worker: WorkerState, now_s: float) -> int:
        """Return the mark for an attempt in the present life of a worker."""
        until_s = worker.late_orders_until_s
        if until_s <= now_s:
            return 0
        if not (worker.refuses_late_orders and self.store_clock.known):
            return UNKNOWN_LEASE_END
        return self.store_clock.upper_bound_ms(until_s)

    def _inherit_foreign_lease(
        self, worker: WorkerState, task: Task, now_s: float, marked: set[str]
    ) -> None:
        """Wait for the lease that the mark of an attempt tells of.

        :param marked: receives the worker if late orders may still grant one
        """
        if task.foreign_lease == UNKNOWN_LEASE_END or not self.store_clock.known:
            marked.add(worker.worker_id)
            return
        left_ms = task.foreign_lease - self.store_clock.lower_bound_ms(now_s)
        until_s = now_s + left_ms / 1000 / (1 - CLOCK_DRIFT)
        worker.late_orders_until_s = max(worker.late_orders_until_s, until_s)

    def refuse_late_orders(self, worker: WorkerState, now_s: float) -> None:
        """Record that a worker refuses all orders to its earlier incarnations.

        It has answered a poll with a higher fencing token than theirs.
        """
        worker.limit_earlier_lease(now_s)
        if worker.refuses_late_orders or worker.late_orders_until_s <= now_s:
            return
        worker.refuses_late_orders = True
        for ref in worker.tasks:
            found = self.find_newest_attempt(worker, ref)
            if found is None or found[1].foreign_lease != UNKNOWN_LEASE_END:
                continue
            found[1].foreign_lease = self._find_foreign_lease(worker, now_s)
            self.mark_changed(ref[0])

    def _add_unlisted_worker(
        self, worker_id: str, address: str, incarnation: int
    ) -> WorkerState:
        """Add a worker that an earlier owner has used and that is not listed now."""
        worker = WorkerState(
            worker_id,
            address,
            "",
            "",
            (),
            incarnation,
            0,
            0,
            0,
            listed=False,
            longest_lease_s=self._longest_lease_s(),
            token_raises=self.highest_token_raise,
            lease_end_held=worker_id in self.held_lease_ends_s,
            changed_ids=self.changed_worker_ids,
        )
        self.workers[worker_id] = worker
        return worker

    def hold_lease_end(self, worker_id: str, end_s: float) -> None:
        """Let no lease on a worker last longer than those granted until now."""
        self.held_lease_ends_s[worker_id] = end_s
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.lease_end_held = True

    def forget_lease_end(self, worker_id: str) -> None:
        """Allow leases on a worker whose lease end is no longer stored."""
        del self.held_lease_ends_s[worker_id]
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.lease_end_held = False

    def remaining_lease_s(self, worker: WorkerState, now_s: float) -> float:
        """Return the longest time for which a task may still run on a worker."""
        late_run_s = max(
            (self._late_run_until_s(worker, ref) for ref in worker.tasks), default=0.0
        )
        return max(worker.remaining_lease_s(now_s), late_run_s - now_s)

    def _late_run_until_s(self, worker: WorkerState, ref: TaskRef) -> float:
        """Return until when a task may run in a later incarnation that nobody has seen.

        A start that got no answer may have reached it, and granted the longest lease.

        :return: 0 if every start was answered
        """
        found = self.find_newest_attempt(worker, ref)
        if found is None or not (found[1].start_unanswered and found[1].active):
            return 0.0
        if worker.tasks[ref].long_running:
            # It has to run again within 9 s if the worker is lost for good.
            return 0.0
        sent_at_s = found[1].start_sent_at_s
        return (
            sent_at_s + MAX_DELIVERY_S + self._longest_lease_s() if sent_at_s else 0.0
        )

    def remaining_leases(self, now_s: float) -> dict[str, float]:
        """Return how long leases may last on workers that are silent or not yet polled.

        Workers that answer are named only if a lease may last longer than the next
        owner assumes, such as that of a delayed order after a restart.

        :return: remaining time in s by worker id, for workers with tasks
        """
        remaining = {}
        for worker in self.workers.values():
            if not worker.tasks:
                continue
            lease_s = self.remaining_lease_s(worker, now_s)
            is_answering = worker.tasks_known and not worker.silent_since_s
            if not is_answering or lease_s > MAX_RELEASED_LEASE_S:
                remaining[worker.worker_id] = lease_s
        return remaining

    def handle_worker_restart(
        self,
        worker: WorkerState,
        incarnation: int,
        now_s: float,
        source: str = "reply",
    ) -> None:
        """Record that a worker has restarted and runs none of its earlier tasks.

        The new incarnation may still carry out a start order without an answer, so such
        a task stays there: its start order, or its stop order, is sent again. Tasks
        that an earlier owner placed in the new incarnation stay there, too: an owner
        that loaded an old list of workers learns of the incarnation only now.

        :param source: what showed the restart, for the log
        """
        log_event(
            Event.WORKER_REBORN,
            worker=worker.worker_id,
            cell=self.name,
            born=incarnation,
            before=worker.incarnation,
            source=source,
            attempts=self._describe_attempts(worker),
            lease=worker.describe_lease(now_s),
        )
        record_crash(self, worker, source, now_s)
        worker.former_incarnations.add(worker.incarnation)
        worker.refuses_late_orders = False
        worker.incarnation, worker.known_since_s = incarnation, now_s
        # The worker refuses orders to earlier incarnations once it has seen this one.
        worker.token_raises = min(worker.token_raises + 1, EPOCH_STEP - 1)
        self.highest_token_raise = max(self.highest_token_raise, worker.token_raises)
        worker.tasks_known = worker.draining = False
        worker.last_applied_end = worker.last_stored_end = (
            worker.last_acknowledged_end
        ) = 0
        self._expect_late_orders(worker)
        worker.deadline_ms, worker.doubted_at_s = 0, 0.0
        worker.clock.known = False
        worker.failing_jobs.clear()
        worker.pace = WorkerPace()
        self._stop_late_starts(worker, now_s)
        for ref in list(worker.tasks):
            found = self.find_newest_attempt(worker, ref)
            if found is None:
                self._stop_copies_after_restart(worker, ref)
                worker.pause(now_s + UNANSWERED_STOP_PAUSE_S)
            elif (
                found[1].incarnation >= incarnation
                and found[1].incarnation not in worker.former_incarnations
            ):
                continue
            elif found[1].may_run_after_restart:
                task = found[1]
                if task.phase == Phase.RUNNING:
                    task.away_since_s = _find_end(worker, task, now_s)
                self._move_to_new_incarnation(worker, *found)
            else:
                self.release_attempt(worker, *found, now_s, "worker restarted")
        self._stop_suspects(list(worker.tasks))

    def _stop_suspects(self, refs: Iterable[TaskRef]) -> None:
        """Stop suspected tasks that stay on a restarted worker, to isolate them.

        One that was lost with its worker for the first time may start there again.
        """
        for ref in refs:
            job, task = self.find_task(ref)
            if job is None or task is None or not (task.suspect and task.active):
                continue
            if task.crashes >= UNEXPLAINED_CRASHES_LIMIT:
                self.stop_task(job, task, StopReason.SUSPECTED)

    def _stop_late_starts(self, worker: WorkerState, now_s: float) -> None:
        """Stop ended attempts in a new incarnation, which does not know of their end.

        A worker rejects the start of an attempt that was stopped before. Until then the
        attempt has a place there, though no room, as it may begin at any time.
        """
        reason = StopReason.ENDED_BEFORE_RESTART
        pending = [
            key
            for key, until_s in worker.late_starts_until_s.items()
            if until_s >= now_s
        ]
        # A worker that has stopped an attempt rejects the lower ones, so that the
        # highest of a task is the one to keep.
        for ref, attempt in sorted(pending, key=lambda key: -key[1]):
            job, task = self.find_task(ref)
            is_kept = (
                job is not None
                and task is not None
                and ref not in worker.tasks
                and self.keep_older_attempt(worker, job, task, attempt, reason)
            )
            if task is not None and is_kept:
                # A crash is not its fault unless it begins.
                task.settled_copies.add(attempt)
                worker.suspend(ref)
                worker.pause(now_s + UNANSWERED_STOP_PAUSE_S)
            else:
                order = StopOrder(TaskName(*ref), attempt, worker.worker_id, reason)
                self.stop_orders.append(order)

    def _expect_late_orders(self, worker: WorkerState) -> None:
        """Wait for leases by orders to an earlier incarnation of a restarted worker.

        Their deadlines are on another clock, so they grant the longest lease. One that
        was answered before the restart is not carried out again.
        """
        sent_at_s = worker.lease_orders.last_sent_s
        if any(self._may_start_late(worker, ref) for ref in worker.tasks):
            sent_at_s = max(sent_at_s, worker.lease_sent_at_s)
        if not sent_at_s:
            return
        worker.late_orders_until_s = (
            sent_at_s + MAX_ORDER_DELAY_S + self._longest_lease_s()
        )
        worker.earlier_lease_until_s = max(
            worker.earlier_lease_until_s, worker.late_orders_until_s
        )

    def _may_start_late(self, worker: WorkerState, ref: TaskRef) -> bool:
        """Return whether a start of a task on a worker may yet be carried out."""
        _, task = self.find_task(ref)
        if task is None:
            return False
        is_here = task.worker == worker.worker_id
        return (is_here and task.may_start_late) or any(
            task.copies.get(attempt) == worker.worker_id
            for attempt in task.unanswered_copies
        )

    def _longest_lease_s(self) -> float:
        """Return the longest lease of workers, on a clock that may be slow."""
        return self.longest_lease_s / (1 - CLOCK_DRIFT)

    def _move_to_new_incarnation(
        self, worker: WorkerState, job: Job, task: Task
    ) -> None:
        """Keep an attempt on a restarted worker, where it may still start."""
        task.incarnation = worker.incarnation
        task.foreign_lease = UNKNOWN_LEASE_END
        task.stopped_at_s = task.listed_at_s = 0.0
        task.settled = task.isolated = task.pace_known = False
        if task.phase == Phase.RUNNING:
            task.phase = Phase.PLACED
            task.percent, task.running_at_s = 0, 0.0
        self.mark_changed(job.spec.job_id)

    def reschedule_worker_tasks(
        self,
        worker: WorkerState,
        now_s: float,
        reason: str,
        refs: Collection[TaskRef] | None = None,
    ) -> None:
        """Reschedule tasks of a worker, since they cannot run there.

        :param refs: which ones, by default all
        """
        refs = list(worker.tasks if refs is None else refs)
        if not refs:
            return
        log_event(
            Event.WORKER_LOST,
            worker=worker.worker_id,
            cell=self.name,
            tasks=len(refs),
            reason=reason,
            epoch=self.epoch,
            attempts=self._describe_attempts(worker, refs),
            **worker.describe_lease(now_s),
        )
        for ref in refs:
            found = self.find_newest_attempt(worker, ref)
            if found is None:
                self.free_older_attempts(worker, ref, now_s, reason)
            else:
                self.release_attempt(worker, *found, now_s, reason)

    def _describe_attempts(
        self, worker: WorkerState, refs: Collection[TaskRef] | None = None
    ) -> list[list[Any]]:
        """Return task, attempt and phase of what may run on a worker, for the log.

        :param refs: which tasks, by default all
        """
        rows: list[list[Any]] = []
        for ref in worker.tasks if refs is None else refs:
            _, task = self.find_task(ref)
            if task is None:
                continue
            name = str(TaskName(*ref))
            if task.worker == worker.worker_id:
                rows.append([name, task.attempt, task.phase.name])
            rows += [
                [name, attempt, "COPY"]
                for attempt, worker_id in task.copies.items()
                if worker_id == worker.worker_id
            ]
        return rows

    def find_task(self, ref: TaskRef) -> tuple[Job | None, Task | None]:
        """Return a job and its task, with ``None`` for what is unknown."""
        job = self.jobs.get(ref[0])
        return (job, job.tasks.get(ref[1])) if job else (None, None)

    def find_newest_attempt(
        self, worker: WorkerState, ref: TaskRef
    ) -> tuple[Job, Task] | None:
        """Return job and task if the newest attempt of the task is on a worker."""
        job, task = self.find_task(ref)
        if job is None or task is None or task.worker != worker.worker_id:
            return None
        return job, task

    def free_older_attempts(
        self,
        worker: WorkerState,
        ref: TaskRef,
        now_s: float,
        reason: str = "released",
    ) -> None:
        """Free the resources of older attempts that no longer run on a worker.

        :param reason: why, for the log
        """
        worker.free(ref, now_s)
        job, task = self.find_task(ref)
        if job is not None and task is not None:
            for attempt, worker_id in list(task.copies.items()):
                if worker_id == worker.worker_id:
                    self.forget_older_attempt(worker, job, task, attempt, now_s, reason)

    def forget_older_attempt(
        self,
        worker: WorkerState,
        job: Job,
        task: Task,
        attempt: int,
        now_s: float,
        reason: str,
    ) -> None:
        """Forget an older attempt that has ended, or cannot run here any more.

        :param reason: why, for the log
        """
        if attempt in task.unanswered_copies:
            worker.expect_late_start((job.spec.job_id, task.key), attempt, now_s)
        task.forget_copy(attempt)
        log_place_freed(job, task, attempt, worker, reason)

    def release_attempt(
        self,
        worker: WorkerState,
        job: Job,
        task: Task,
        now_s: float,
        reason: str = "released",
    ) -> None:
        """Free the resources of an ended attempt; its task waits again unless done.

        :param reason: why it has ended, for the log
        """
        if task.may_start_late:
            worker.expect_late_start((job.spec.job_id, task.key), task.attempt, now_s)
        log_place_freed(job, task, task.attempt, worker, reason)
        worker.free((job.spec.job_id, task.key), now_s)
        if task.phase != Phase.DONE:
            task.away_since_s = _find_end(worker, task, now_s)
            task.phase = Phase.WAITING
            task.percent = 0
        self.mark_changed(job.spec.job_id)
        self.deactivate_if_finished(job)

    def expire_leases(self, now_s: float) -> None:
        """Reschedule the tasks of silent workers whose leases have expired."""
        for worker in self.workers.values():
            silent = worker.silent_since_s or not worker.address
            if worker.tasks and silent and worker.has_lease_expired(now_s):
                ended = [
                    ref
                    for ref in worker.tasks
                    if self._late_run_until_s(worker, ref) <= now_s
                ]
                if not ended:
                    continue
                remember_loss(self, worker, now_s)
                reason = worker.describe_expiry(now_s)
                self.reschedule_worker_tasks(worker, now_s, reason, ended)

    # Ended tasks

    def record_task_done(self, job: Job, now_s: float) -> None:
        """Record that a task of a job is done, and log the completion of the job."""
        self.mark_changed(job.spec.job_id)
        if job.state == JobState.COMPLETED:
            log_event(
                Event.JOB_ENDED,
                job=job.spec.job_id,
                state="COMPLETED",
                cell=self.name,
                queue=job.spec.queue,
                took_s=round(now_s - job.first_seen_s, 3),
                objective_s=round(
                    full_value_deadline_s(job, self.times) - job.first_seen_s, 3
                ),
                predicted_s=self.predicted_s.get(job.spec.job_id),
            )
        self.deactivate_if_finished(job)

    def fail_if_attempts_exhausted(self, job: Job, task: Task) -> None:
        """Fail a job when a task of it has failed ``max_attempts`` times."""
        if task.failures < job.spec.max_attempts or job.state.ended:
            return
        self.end_job(job, JobState.FAILED)
        log_event(
            Event.JOB_ENDED,
            job=job.spec.job_id,
            state="FAILED",
            cell=self.name,
            task=str(TaskName(job.spec.job_id, task.key)),
            failures=task.failures,
        )

    # Copies

    def stop_copies(self, job: Job, task: Task, reason: StopReason) -> None:
        """Stop the older attempts of a task."""
        for attempt in task.copies:
            self.stop_copy(job, task, attempt, reason)

    def stop_copy(self, job: Job, task: Task, attempt: int, reason: StopReason) -> None:
        """Queue a stop order for an older attempt, which is sent until answered."""
        task.stopping_copies.setdefault(attempt, 0.0)
        name = TaskName(job.spec.job_id, task.key)
        order = StopOrder(name, attempt, task.copies[attempt], reason)
        self.stop_orders.append(order)

    def take_back(self, worker: WorkerState, job: Job, task: Task) -> None:
        """Make an attempt that was given up the running one of its task again."""
        task.phase = Phase.PLACED
        task.worker, task.incarnation = worker.worker_id, worker.incarnation
        task.address = worker.address
        task.running_at_s = task.stopped_at_s = 0.0
        task.start_unanswered = True
        task.stop_sent, task.stop_sent_at_s = False, 0.0
        task.pace_known = task.settled = task.isolated = False
        worker.allocate((job.spec.job_id, task.key), job.spec.steps[task.key[1]])
        self.mark_changed(job.spec.job_id)
        log_event(
            Event.ATTEMPT_TAKEN_BACK,
            task=str(TaskName(job.spec.job_id, task.key)),
            attempt=task.attempt,
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            epoch=self.epoch,
        )

    def keep_older_attempt(
        self,
        worker: WorkerState,
        job: Job,
        task: Task,
        attempt: int,
        reason: StopReason,
    ) -> bool:
        """Keep an attempt that runs, or may begin, as an older one, and stop it.

        It has a place on its worker until a poll after the stop does not list it.

        :return: whether the task can keep it, which knows one worker of each attempt
        """
        if attempt in task.copies or (task.active and attempt == task.attempt):
            return False
        if not task.active:
            task.worker = ""
        ref, step = (job.spec.job_id, task.key), job.spec.steps[task.key[1]]
        task.copies[attempt] = worker.worker_id
        task.copy_incarnations[attempt] = worker.incarnation
        worker.allocate(ref, step)
        self.stop_copy(job, task, attempt, reason)
        self.mark_changed(job.spec.job_id)
        return True

    def _stop_copies_after_restart(self, worker: WorkerState, ref: TaskRef) -> None:
        """Stop the older attempts of a task in the new incarnation of a worker.

        A delayed start order of them may still be carried out there.
        """
        job, task = self.find_task(ref)
        if job is None or task is None:
            return
        is_later = False
        for attempt, worker_id in task.copies.items():
            if worker_id != worker.worker_id:
                continue
            placed_on = task.copy_incarnations.get(attempt, 0)
            is_former = placed_on in worker.former_incarnations
            if placed_on >= worker.incarnation and not is_former:
                is_later = True
                continue
            task.copy_incarnations[attempt] = worker.incarnation
            task.foreign_lease = UNKNOWN_LEASE_END
            # A crash of the new incarnation is not its fault unless it begins there.
            task.settled_copies.add(attempt)
            task.stopping_copies.pop(attempt, None)
            self.stop_copy(job, task, attempt, StopReason.VANISHED_COPY)
        if not is_later:
            worker.suspend(ref)
        self.mark_changed(ref[0])

    def _adopt_copies(self, job: Job, task: Task) -> set[str]:
        """Allocate resources to older attempts that an earlier owner left running.

        :return: workers in which orders to an earlier incarnation may have granted
            their lease
        """
        step = job.spec.steps[task.key[1]]
        restarted = set()
        for attempt, worker_id in task.copies.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                # Without an address, it counts as silent until its leases have ended.
                incarnation = task.copy_incarnations.get(attempt, 0)
                worker = self._add_unlisted_worker(worker_id, "", incarnation)
            worker.allocate((job.spec.job_id, task.key), step)
            placed_on = task.copy_incarnations.get(attempt, 0)
            if task.foreign_lease or 0 < placed_on < worker.incarnation:
                restarted.add(worker_id)
        return restarted

    # Placement

    def awaits_older_attempt(self, task: Task, step: Step) -> bool:
        """Return whether a task may not start yet, beside an older attempt of it.

        Where the step allows no copies, the older attempt has to be ruled out first: on
        a silent worker by the end of its leases. A late start that has not begun may
        take longer than that, so it is waited for only while its worker answers.
        """
        if step.copies:
            return False
        for attempt, worker_id in task.copies.items():
            worker = self.workers.get(worker_id)
            has_begun = attempt not in task.settled_copies
            if worker is not None and (has_begun or not worker.silent_since_s):
                return True
        return False

    def count_storable(self, job: Job, worker: WorkerState | None = None) -> float:
        """Return how many more tasks of a job may start with room in its stored row.

        :param worker: worker for the tasks, by default the one with the largest entry
        """
        if job.spec.split_progress:
            return math.inf
        task_bytes = (
            _placed_task_bytes(worker)
            if worker is not None
            else max(map(_placed_task_bytes, self.workers.values()), default=1)
        )
        return max(0, (self.row_limit_bytes - job.stored_bytes) // task_bytes)

    def assign(
        self, job: Job, task: Task, step: Step, worker: WorkerState, now_s: float
    ) -> Placement:
        """Place a new attempt of a task on a worker.

        Its start order is to be sent once the placement is stored.
        """
        ref = (job.spec.job_id, task.key)
        task.away_since_s = job.away_since_s(task, self.owned_since_s, now_s)
        task.phase = Phase.PLACED
        task.attempt += 1
        task.worker, task.incarnation = worker.worker_id, worker.incarnation
        task.address = worker.address
        task.running_at_s = task.stopped_at_s = task.listed_at_s = 0.0
        task.start_unanswered = task.inherited = task.stop_sent = False
        task.foreign_lease = self._find_foreign_lease(worker, now_s)
        task.unanswered_starts = 0
        task.start_sent_at_s = 0.0
        task.stop_sent_at_s = 0.0
        task.pace_percent, task.pace_known = 100, True
        task.settled, task.isolated = False, bool(worker.isolated_for)
        job.stored_bytes += _placed_task_bytes(worker)
        worker.allocate(ref, step)
        self.turns.record_start(self, job, step, now_s)
        if worker.quarantined:
            worker.probed_at_s = now_s
        worker.pace.end_probe(now_s)
        self.mark_changed(job.spec.job_id)
        return Placement(ref, task.attempt, worker.worker_id, worker.incarnation)


def _placed_task_bytes(worker: WorkerState) -> int:
    """Return the size of a task on a worker in a row with all tasks of its job."""
    return STORED_TASK_BYTES + len(worker.worker_id) + len(worker.address)


def _find_end(worker: WorkerState, task: Task, now_s: float) -> float:
    """Return since when a task that has ended is not known to run."""
    if task.away_since_s:
        return task.away_since_s
    if max(task.listed_at_s, task.running_at_s) < worker.last_silence_at_s:
        # No poll has listed it since the worker fell silent.
        return worker.last_silence_at_s
    return task.stopped_at_s or now_s
