"""State of one cell and the decisions on it, without network.

Times are given to each method, so that tests can play any order of events.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.arrivals import ArrivalMeter
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec, JobState, Phase, Step, Task, TaskKey
from chivetray.jobs.ordering import order_key, work_core_s
from chivetray.jobs.pacing import choose_pace
from chivetray.jobs.placement import choose_worker
from chivetray.jobs.runtimes import RunTimes
from chivetray.platform.entries import WorkerEntry
from chivetray.platform.workers import EndedTask, How, Reply, TaskName

# Time after which a worker that is not listed and holds nothing is forgotten.
FORGET_WORKER_S = 10.0

# Pause before a task runs again after its attempts failed.
FAILED_RETRY_S = 0.05

# Time for which the place of a job in the order holds, unless a step is done.
ORDER_LIFETIME_S = 0.3

# Weight of the newest job in the mean size of a queue's jobs.
SIZE_LEARNING_RATE = 0.05

# Workers that one call for advice names: more take longer, fewer may have no room.
ADVICE_WORKERS = 30

# A ticket is used only while it is valid for some time yet.
TICKET_MARGIN_S = 0.3

# Longest time since its acceptance that a job is credited with.
LONGEST_AGE_S = 120.0

# Silence of a worker after which a task that may run twice starts elsewhere as well:
# longer than one lost call, much shorter than a lease.
COPY_AFTER_SILENCE_S = 0.5

# Run time, against the expected one, after which such a task starts elsewhere, and
# the least time for it.
COPY_AFTER_SHARE = 3.0
COPY_AFTER_LEAST_S = 1.0

# Run time that a waiting task counts for at least: moving a VM pays for no less.
LEAST_RUN_S = 0.5

# Time for which nothing is placed on a worker that runs what is not known here.
STRANGER_PAUSE_S = 0.3

# Time for which a worker stays reserved after the last word of who wants its VM.
RESERVATION_S = 2.5

# Time after which tasks that cannot be moved are stopped on a reserved worker.
EMPTY_S = 6.0


@dataclass(frozen=True, slots=True)
class Placement:
    """An attempt that is to start on a worker."""

    ref: TaskRef
    attempt: int
    worker_id: str
    born: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An attempt that is to stop on a worker."""

    name: TaskName
    attempt: int
    worker_id: str


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one life of a worker."""

    text: str
    born: int
    until_s: float


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """What runs on a worker.

    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    """

    worker_id: str
    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool


@dataclass(frozen=True, slots=True)
class CellLoad:
    """What a cell uses and wants, in thousandths of a core.

    :ivar waiting_milli_s: core time that the waiting tasks need
    :ivar arriving_milli: what keeps up with the jobs that arrive
    """

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: list[WorkerLoad]


# Job, occurrence and number of a step.
StepName = tuple[str, int, int]

_STARTED = (Phase.PLACED, Phase.RUNNING)


class CellState:
    """Jobs and workers of one cell.

    :param name: service whose workers belong to the cell
    """

    def __init__(self, name: str):
        self.name = name
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, Job] = {}
        self.workers: dict[str, WorkerState] = {}
        self.times = RunTimes()
        self.stops: list[StopOrder] = []
        self.tickets: dict[StepName, dict[str, Ticket]] = {}
        self.advised_against: dict[StepName, set[str]] = {}
        self.advice_wanted: dict[StepName, list[str]] = {}
        self._dirty: set[str] = set()
        # Jobs that may have a task whose turn has come; the others are not looked at.
        self._restless: set[str] = set()
        self._sizes: dict[str, float] = {}
        self._arrivals = ArrivalMeter()
        self._order: dict[str, tuple[float, int, tuple[float, ...]]] = {}

    # Jobs

    def add_job(self, spec: JobSpec, now_s: float) -> Job:
        """Add an accepted job, unless it is known."""
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self.jobs[spec.job_id] = Job(spec, now_s)
            self.active[spec.job_id] = job
            self._restless.add(spec.job_id)
            size = sum(step.count * step.cpu_milli for step in spec.steps)
            mean = self._sizes.get(spec.queue, float(size))
            self._sizes[spec.queue] = mean + SIZE_LEARNING_RATE * (size - mean)
            if not job.long_running and not spec.repeats:
                self._arrivals.note(now_s, work_core_s(spec, self.times))
        return job

    def restore_job(
        self, spec: JobSpec, progress: bytes, version: int, now_s: float
    ) -> None:
        """Add a job with the progress that an earlier owner stored."""
        job = self.add_job(spec, now_s)
        job.version = version
        try:
            job.restore(progress)
        except (ValueError, TypeError, IndexError) as error:
            log_event(Event.ROW_DAMAGED, job=spec.job_id, reason=str(error))
        if job.state.ended and not job.active_tasks():
            self.active.pop(spec.job_id, None)
        for task in job.active_tasks():
            worker = self.workers.get(task.worker)
            if worker is None:
                continue
            step = job.spec.steps[task.key[1]]
            worker.take((spec.job_id, task.key), step)
            if job.state.ended:
                self._stop(job, task)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it is known."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        job.cancelled = True
        if not job.state.ended:
            self._end_job(job, JobState.CANCELLED)
            log_event(Event.JOB_ENDED, job=job_id, state="CANCELLED", cell=self.name)
        return True

    def _end_job(self, job: Job, state: JobState) -> None:
        job.state = state
        self._change(job.spec.job_id)
        for task in job.active_tasks():
            self._stop(job, task)
        for task in job.tasks.values():
            self._stop_copies(job, task)
        self._retire(job)

    def _retire(self, job: Job) -> None:
        if job.state.ended and not job.active_tasks():
            self.active.pop(job.spec.job_id, None)
            self._order.pop(job.spec.job_id, None)

    def _stop(self, job: Job, task: Task) -> None:
        if task.phase == Phase.STOPPING:
            return
        task.phase = Phase.STOPPING
        self._change(job.spec.job_id)
        name = TaskName(job.spec.job_id, task.key)
        self.stops.append(StopOrder(name, task.attempt, task.worker))

    def pending(self) -> dict[str, int]:
        """Return the number of jobs of each queue of which nothing has started."""
        counts: dict[str, int] = {}
        for job in self.active.values():
            if job.state == JobState.QUEUED:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        return counts

    def _change(self, job_id: str) -> None:
        """Note that a job's progress has to be stored and its tasks looked at."""
        self._dirty.add(job_id)
        self._restless.add(job_id)

    def take_dirty(self) -> list[Job]:
        """Return the jobs whose progress has to be stored, and forget them."""
        jobs = [self.jobs[job_id] for job_id in self._dirty if job_id in self.jobs]
        self._dirty.clear()
        return jobs

    def has_dirty(self) -> bool:
        """Return whether progress has to be stored."""
        return bool(self._dirty)

    def dirty_ids(self) -> set[str]:
        """Return the jobs whose progress has to be stored."""
        return set(self._dirty)

    def stop_attempt(self, job: Job, key: TaskKey) -> None:
        """Stop the newest attempt of a task; the task waits again after its end."""
        task = job.tasks[key]
        if task.active:
            self._stop(job, task)

    # Workers

    def list_workers(self, entries: Iterable[WorkerEntry], now_s: float) -> None:
        """Take the list of the service's workers."""
        seen = set()
        for entry in entries:
            seen.add(entry.worker_id)
            worker = self.workers.get(entry.worker_id)
            if worker is not None and entry.born > worker.born:
                self.worker_reborn(worker, entry.born, now_s)
            elif worker is not None and entry.born < worker.born:
                # The entry is older than what the worker itself has said.
                continue
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
        for worker_id, worker in list(self.workers.items()):
            if worker_id in seen:
                continue
            if worker.listed:
                worker.listed, worker.missing_since_s = False, now_s
            if not worker.tasks and now_s - worker.missing_since_s > FORGET_WORKER_S:
                del self.workers[worker_id]

    def _add_worker(self, entry: WorkerEntry, now_s: float) -> WorkerState:
        worker = WorkerState(
            worker_id=entry.worker_id,
            address=entry.address,
            zone=entry.zone,
            rack=entry.rack,
            labels=entry.labels,
            born=entry.born,
            cpu_milli=entry.cpu_milli,
            mem_mb=entry.mem_mb,
            gpu=entry.gpu,
            idle_since_s=now_s,
            listed_at_s=now_s,
        )
        self.workers[entry.worker_id] = worker
        log_event(
            Event.WORKER_LISTED,
            worker=entry.worker_id,
            cell=self.name,
            address=entry.address,
        )
        return worker

    def adopt_placed(
        self, now_s: float, earlier_lease_s: float, remaining_s: dict[str, float]
    ) -> None:
        """Attach restored tasks to their workers after a take-over.

        A task whose worker is not listed stays placed there until no lease of the
        earlier owner can last any more.

        :param earlier_lease_s: time for which leases of the earlier owner may last
        :param remaining_s: the same for workers that were silent to it, as it said
            when it gave the cell up
        """
        for job in list(self.active.values()):
            for task in job.active_tasks():
                worker = self.workers.get(task.worker)
                if worker is None:
                    # A look at the address tells when another life is there.
                    address, born = task.address, task.born
                    worker = WorkerState(
                        task.worker, address, "", "", (), born, 0, 0, 0, listed=False
                    )
                    self.workers[task.worker] = worker
                elif worker.born > task.born > 0:
                    # The life that had the task has ended.
                    task.phase = Phase.WAITING
                    self._change(job.spec.job_id)
                    self._retire(job)
                    continue
                worker.take((job.spec.job_id, task.key), job.spec.steps[task.key[1]])
            for task in job.tasks.values():
                self._adopt_copies(job, task)
        for worker in self.workers.values():
            lease_s = remaining_s.get(worker.worker_id, earlier_lease_s)
            worker.lease_unknown_until_s = now_s + lease_s

    def remaining_leases(self, now_s: float) -> dict[str, float]:
        """Return how long the leases of silent workers with tasks may last."""
        remaining = {}
        for worker in self.workers.values():
            if worker.tasks and (worker.silent_since_s or not worker.adopted):
                remaining[worker.worker_id] = worker.remaining_lease_s(now_s)
        return remaining

    def worker_reborn(self, worker: WorkerState, born: int, now_s: float) -> None:
        """Record that a worker has started anew and holds nothing of before.

        A start that was not confirmed may still be carried out by the new life, so
        such a task stays placed there and its start is repeated.
        """
        log_event(
            Event.WORKER_REBORN, worker=worker.worker_id, born=born, before=worker.born
        )
        worker.born = born
        worker.fenced = worker.adopted = False
        worker.seen_end = worker.observed = worker.acknowledged = 0
        worker.deadline_ms = 0
        worker.lease_unknown_until_s = 0.0
        worker.clock.known = False
        worker.failing_jobs.clear()
        for ref in list(worker.tasks):
            job, task = self._find(ref)
            if job is None or task is None or task.worker != worker.worker_id:
                worker.free(ref, now_s)
                self._forget_copies(task, worker.worker_id)
            elif task.phase == Phase.PLACED:
                task.born = born
                self._change(ref[0])
            else:
                self._release(worker, job, task, now_s)

    def worker_lost(self, worker: WorkerState, now_s: float, reason: str) -> None:
        """Let the tasks of a worker wait again, since none of them can run."""
        if not worker.tasks:
            return
        log_event(
            Event.WORKER_LOST,
            worker=worker.worker_id,
            cell=self.name,
            tasks=len(worker.tasks),
            reason=reason,
        )
        for ref in list(worker.tasks):
            job, task = self._find(ref)
            if job is None or task is None or task.worker != worker.worker_id:
                worker.free(ref, now_s)
                self._forget_copies(task, worker.worker_id)
            else:
                self._release(worker, job, task, now_s)

    def _find(self, ref: TaskRef) -> tuple[Job | None, Task | None]:
        job = self.jobs.get(ref[0])
        return (job, job.tasks.get(ref[1])) if job else (None, None)

    def _release(self, worker: WorkerState, job: Job, task: Task, now_s: float) -> None:
        """Free the room of an attempt that runs no more; the task waits again."""
        worker.free((job.spec.job_id, task.key), now_s)
        if task.phase != Phase.DONE:
            task.phase = Phase.WAITING
            task.percent = 0
        self._change(job.spec.job_id)
        self._retire(job)

    def lost_leases(self, now_s: float) -> None:
        """Give up the tasks of silent workers whose leases are over."""
        for worker in self.workers.values():
            silent = worker.silent_since_s or not worker.address
            if worker.tasks and silent and worker.lease_over(now_s):
                self.worker_lost(worker, now_s, "the lease is over")

    # What workers report

    def apply_look(
        self, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
    ) -> None:
        """Take what a worker lists as running and ended."""
        if reply.born and reply.born != worker.born:
            if reply.born < worker.born:
                return
            self.worker_reborn(worker, reply.born, now_s)
        worker.fenced = worker.adopted = True
        listed: set[tuple[str, object, int]] = set()
        for ended in sorted(reply.ended, key=lambda item: item.number):
            listed.add((ended.name.job_id, ended.name.key, ended.attempt))
            if ended.number > worker.seen_end:
                worker.seen_end = ended.number
                self._apply_end(worker, ended, now_s)
        for running in reply.running:
            job = self.jobs.get(running.name.job_id)
            task = job.task(running.name.key) if job else None
            listed.add((running.name.job_id, running.name.key, running.attempt))
            if job is not None and task is not None and not job.state.ended:
                is_copy = task.copies.get(running.attempt) == worker.worker_id
                if is_copy and task.phase != Phase.DONE:
                    continue
            if (
                job is None
                or task is None
                or task.worker != worker.worker_id
                or task.attempt != running.attempt
                or not task.active
            ):
                self.stops.append(
                    StopOrder(running.name, running.attempt, worker.worker_id)
                )
                if (running.name.job_id, running.name.key) not in worker.tasks:
                    # Its room is not among what is counted as used.
                    worker.unhealthy_until_s = now_s + STRANGER_PAUSE_S
                continue
            task.percent = running.percent
            task.level = running.level
            if running.checkpoint:
                step = job.spec.steps[task.key[1]]
                self._note_checkpoint(job, task, step, running.checkpoint)
            if task.phase == Phase.PLACED:
                self.confirm_start((job.spec.job_id, task.key), task.attempt, now_s)
        self._find_vanished(worker, listed, sent_at_s, now_s)

    def _find_vanished(
        self,
        worker: WorkerState,
        listed: set[tuple[str, object, int]],
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Let tasks wait again that ran before the look and are not listed."""
        for ref in list(worker.tasks):
            job, task = self._find(ref)
            if job is None or task is None:
                worker.free(ref, now_s)
                continue
            if (ref[0], ref[1], task.attempt) in listed:
                continue
            if task.worker != worker.worker_id:
                self._find_vanished_copy(worker, ref, task, listed, now_s)
                continue
            if task.phase == Phase.DONE:
                worker.free(ref, now_s)
                continue
            if task.phase == Phase.STOPPING:
                settled_s = task.stopped_at_s
            else:
                settled_s = task.running_at_s
            if task.phase != Phase.PLACED and 0 < settled_s < sent_at_s:
                log_event(
                    Event.TASK_VANISHED,
                    task=str(TaskName(*ref)),
                    attempt=task.attempt,
                    worker=worker.worker_id,
                )
                self._release(worker, job, task, now_s)

    def _apply_end(self, worker: WorkerState, ended: EndedTask, now_s: float) -> None:
        job = self.jobs.get(ended.name.job_id)
        task = job.tasks.get(ended.name.key) if job else None
        if job is None or task is None:
            return
        if task.copies.get(ended.attempt) == worker.worker_id:
            self._apply_copy_end(worker, job, task, ended, now_s)
            return
        if task.worker != worker.worker_id or task.attempt != ended.attempt:
            return
        ref = (job.spec.job_id, task.key)
        if not task.active:
            # The room of a gang's member that was done with another one.
            worker.free(ref, now_s)
            return
        step = job.spec.steps[task.key[1]]
        if ended.checkpoint:
            self._note_checkpoint(job, task, step, ended.checkpoint)
        if ended.how == How.DONE:
            worker.failing_jobs.clear()
            if task.running_at_s and not task.checkpoint:
                self.times.learn(job.spec.queue, now_s - task.running_at_s)
            worker.free(ref, now_s)
            for member in self._members(job, task, step):
                job.mark_done(member)
            self._stop_copies(job, task)
            self._note_done(job, now_s)
            return
        log_event(
            Event.TASK_ENDED_EARLY,
            task=str(ended.name),
            attempt=ended.attempt,
            worker=worker.worker_id,
            how=ended.how.value,
        )
        if ended.how == How.FAILED:
            # A gang fails once for each attempt.
            for member in self._members(job, task, step):
                if member.failed_attempt < ended.attempt:
                    member.failed_attempt = ended.attempt
                    member.failures += 1
            task.avoid.add(worker.worker_id)
            worker.failing_jobs.add(job.spec.job_id)
            task.not_before_s = now_s + FAILED_RETRY_S
        self._release(worker, job, task, now_s)
        if ended.how == How.FAILED and not step.long_running:
            self._check_attempts(job, task)

    def _note_done(self, job: Job, now_s: float) -> None:
        """Note that a task of a job is done, and perhaps the job."""
        self._change(job.spec.job_id)
        if job.state == JobState.COMPLETED:
            log_event(
                Event.JOB_ENDED,
                job=job.spec.job_id,
                state="COMPLETED",
                cell=self.name,
                took_s=round(now_s - job.first_seen_s, 3),
            )
        self._retire(job)

    def _check_attempts(self, job: Job, task: Task) -> None:
        """End a job as failed when a task has failed too often."""
        if task.failures < job.spec.max_attempts or job.state.ended:
            return
        self._end_job(job, JobState.FAILED)
        log_event(
            Event.JOB_ENDED,
            job=job.spec.job_id,
            state="FAILED",
            cell=self.name,
            task=str(TaskName(job.spec.job_id, task.key)),
            failures=task.failures,
        )

    # Copies

    def copy_tasks(self, now_s: float) -> None:
        """Let tasks run a second time elsewhere where the first run is in doubt.

        That is on a worker that is silent, and where a run takes much longer than
        others of its queue. The older run goes on, and the first end counts.
        """
        for worker in self.workers.values():
            silent = worker.silent_since_s
            is_silent = silent and now_s - silent >= COPY_AFTER_SILENCE_S
            for ref, step in worker.tasks.items():
                if not step.copies or step.gang or step.long_running:
                    continue
                job, task = self._find(ref)
                if job is None or task is None or task.worker != worker.worker_id:
                    continue
                if task.phase not in _STARTED or task.copies or job.state.ended:
                    continue
                if is_silent or self._takes_long(job, task, step, now_s):
                    task.copies[task.attempt] = task.worker
                    task.avoid.add(task.worker)
                    task.phase, task.worker = Phase.WAITING, ""
                    self._change(ref[0])
                    log_event(
                        Event.TASK_COPIED,
                        task=str(TaskName(*ref)),
                        attempt=task.attempt,
                        worker=worker.worker_id,
                        silent=bool(is_silent),
                    )

    def _takes_long(self, job: Job, task: Task, step: Step, now_s: float) -> bool:
        if task.phase != Phase.RUNNING or not task.running_at_s:
            return False
        expected_s = self.times.expected_s(job.spec.queue, step.estimate_ms)
        limit_s = max(COPY_AFTER_LEAST_S, COPY_AFTER_SHARE * expected_s)
        return now_s - task.running_at_s > limit_s

    def _apply_copy_end(
        self, worker: WorkerState, job: Job, task: Task, ended: EndedTask, now_s: float
    ) -> None:
        """Take the end of an older run beside which a newer one may be at work."""
        del task.copies[ended.attempt]
        if task.worker != worker.worker_id:
            worker.free((job.spec.job_id, task.key), now_s)
        self._change(job.spec.job_id)
        if ended.how == How.DONE and task.phase != Phase.DONE:
            if task.active:
                name = TaskName(job.spec.job_id, task.key)
                self.stops.append(StopOrder(name, task.attempt, task.worker))
            job.mark_done(task)
            self._stop_copies(job, task)
            self._note_done(job, now_s)
        elif ended.how == How.FAILED:
            task.failures += 1
            self._check_attempts(job, task)

    def _stop_copies(self, job: Job, task: Task) -> None:
        name = TaskName(job.spec.job_id, task.key)
        for attempt, worker_id in task.copies.items():
            self.stops.append(StopOrder(name, attempt, worker_id))

    def _adopt_copies(self, job: Job, task: Task) -> None:
        """Count the room of older runs that an earlier owner has left."""
        for worker_id in task.copies.values():
            worker = self.workers.get(worker_id)
            if worker is not None:
                step = job.spec.steps[task.key[1]]
                worker.take((job.spec.job_id, task.key), step)

    def _find_vanished_copy(
        self,
        worker: WorkerState,
        ref: TaskRef,
        task: Task,
        listed: set[tuple[str, object, int]],
        now_s: float,
    ) -> None:
        """Free the room of an older run that is not listed any more."""
        left = [a for a, w in task.copies.items() if w == worker.worker_id]
        if any((ref[0], ref[1], attempt) in listed for attempt in left):
            return
        for attempt in left:
            # Keeps a late start from being carried out.
            name = TaskName(*ref)
            self.stops.append(StopOrder(name, attempt, worker.worker_id))
        worker.free(ref, now_s)
        self._forget_copies(task, worker.worker_id)

    @staticmethod
    def _forget_copies(task: Task | None, worker_id: str) -> None:
        if task is not None:
            kept = {a: w for a, w in task.copies.items() if w != worker_id}
            task.copies = kept

    @staticmethod
    def _members(job: Job, task: Task, step: Step) -> list[Task]:
        """Return the tasks that end together with a task."""
        if not step.gang:
            return [task]
        return job.open_tasks(task.key[0], task.key[1])

    def _note_checkpoint(
        self, job: Job, task: Task, step: Step, checkpoint: str
    ) -> None:
        for member in self._members(job, task, step):
            member.checkpoint = checkpoint

    # Outcomes of orders

    def confirm_start(self, ref: TaskRef, attempt: int, now_s: float) -> None:
        """Record that a worker has an attempt."""
        job, task = self._find(ref)
        if job is None or task is None or task.attempt != attempt:
            return
        if task.phase == Phase.PLACED:
            task.phase = Phase.RUNNING
            task.running_at_s = now_s
        if job.state == JobState.QUEUED:
            job.state = JobState.RUNNING

    def confirm_stop(self, name: TaskName, attempt: int, now_s: float) -> None:
        """Record that a worker has stopped an attempt or will refuse it."""
        _, task = self._find((name.job_id, name.key))
        if task is not None and task.attempt == attempt:
            task.stopped_at_s = now_s

    def reject_start(
        self, placement: Placement, now_s: float, pause_worker_s: float = 0.0
    ) -> None:
        """Record that a worker has refused an attempt and does not run it."""
        job, task = self._find(placement.ref)
        worker = self.workers.get(placement.worker_id)
        if worker is not None and pause_worker_s:
            worker.unhealthy_until_s = now_s + pause_worker_s
        if job is None or task is None or worker is None:
            return
        if task.attempt == placement.attempt and task.phase == Phase.PLACED:
            self._release(worker, job, task, now_s)

    # Capacity

    def reserve(self, worker_ids: Iterable[str], now_s: float) -> None:
        """Place nothing new on some workers for a while, and on no others."""
        wanted = set(worker_ids)
        for worker in self.workers.values():
            if worker.worker_id in wanted:
                if not worker.reserved(now_s):
                    worker.reserved_since_s = now_s
                worker.reserved_until_s = now_s + RESERVATION_S
            else:
                worker.reserved_until_s = 0.0

    def evacuate(self, now_s: float) -> None:
        """Move what can be moved away from workers that leave or are needed."""
        for worker in self.workers.values():
            reserved = worker.reserved(now_s)
            if not reserved and not worker.draining:
                continue
            overdue = reserved and now_s - worker.reserved_since_s > EMPTY_S
            for ref, step in list(worker.tasks.items()):
                job, task = self._find(ref)
                if job is None or task is None or task.phase != Phase.RUNNING:
                    continue
                if task.worker != worker.worker_id:
                    continue
                if step.fills:
                    movable = True
                elif step.long_running:
                    movable = worker.draining or self._may_miss_one(job, task, step)
                else:
                    movable = reserved and (step.checkpointing or overdue)
                if movable:
                    self._stop(job, task)

    def _may_miss_one(self, job: Job, task: Task, step: Step) -> bool:
        """Return whether a long-running task may be away for a moment."""
        occurrence, number, _ = task.key
        away = 0
        for other in job.open_tasks(occurrence, number):
            if other is not task and not self._at_work(other):
                away += 1
        return away < max(1, step.may_miss)

    def _at_work(self, task: Task) -> bool:
        worker = self.workers.get(task.worker)
        heard = worker is not None and not worker.silent_since_s
        return heard and task.phase == Phase.RUNNING and task.percent >= 100

    def load(self, now_s: float, now_ms: int) -> CellLoad:
        """Return what the cell uses and wants."""
        waiting = 0
        for job in self.active.values():
            if job.state.ended:
                continue
            for occurrence, number in job.open_steps(now_ms):
                step = job.spec.steps[number]
                tasks = job.open_tasks(occurrence, number)
                count = sum(task.phase == Phase.WAITING for task in tasks)
                if count and not step.fills:
                    run_s = self.times.expected_s(job.spec.queue, step.estimate_ms)
                    waiting += int(count * step.cpu_milli * max(LEAST_RUN_S, run_s))
        workers = [
            WorkerLoad(
                worker.worker_id,
                len(worker.tasks),
                worker.used_cpu_milli,
                int((now_s - worker.idle_since_s) * 1000) if not worker.tasks else 0,
                worker.usable(now_s),
            )
            for worker in self.workers.values()
            if worker.listed
        ]
        used = sum(worker.used_cpu_milli for worker in self.workers.values())
        arriving = int(self._arrivals.cores(now_s) * 1000)
        return CellLoad(used, waiting, arriving, workers)

    # Placement

    def place(self, now_s: float, now_ms: int) -> list[Placement]:
        """Choose workers for the tasks whose turn has come.

        :param now_ms: time of day in ms since 1970
        """
        rooms = [w for w in self.workers.values() if w.usable(now_s)]
        if not rooms:
            return []
        most_cpu = max(room.cpu_milli - room.used_cpu_milli for room in rooms)
        most_mem = max(room.mem_mb - room.used_mem_mb for room in rooms)
        placements: list[Placement] = []
        for job in self._in_order(now_s):
            waits = job.spec.repeats > 0
            for occurrence, number in job.open_steps(now_ms):
                step = job.spec.steps[number]
                # Most steps of a long queue have no room; this tells without a look
                # at every worker.
                if step.mem_mb > most_mem or (
                    step.cpu_milli > most_cpu and not step.fills
                ):
                    waits = True
                    continue
                tasks = job.open_tasks(occurrence, number)
                if not any(t.phase == Phase.WAITING for t in tasks):
                    continue
                placed = self._place_step(job, step, tasks, rooms, now_s)
                waits = waits or any(t.phase == Phase.WAITING for t in tasks)
                if placed:
                    placements += placed
                    self._log_placed(job, number, placed, now_s)
                    if not rooms:
                        return placements
                    free = [r.cpu_milli - r.used_cpu_milli for r in rooms]
                    most_cpu = max(free)
                    most_mem = max(r.mem_mb - r.used_mem_mb for r in rooms)
            if not waits:
                self._restless.discard(job.spec.job_id)
        return placements

    def _log_placed(
        self, job: Job, number: int, placed: list[Placement], now_s: float
    ) -> None:
        log_event(
            Event.TASK_PLACED,
            job=job.spec.job_id,
            step=number,
            tasks=len(placed),
            workers=sorted({p.worker_id for p in placed}),
            waited_s=round(now_s - job.first_seen_s, 3),
            jobs=len(self.active),
            cell=self.name,
        )

    def _in_order(self, now_s: float) -> list[Job]:
        """Return the jobs that have not ended, those to be served first first."""
        keyed = []
        for job_id in list(self._restless):
            job = self.active.get(job_id)
            if job is None or job.state.ended:
                self._restless.discard(job_id)
                continue
            done = len(job.done_steps)
            known = self._order.get(job_id)
            if known is None or known[0] < now_s or known[1] != done:
                size = self._sizes.get(job.spec.queue, 0.0)
                key = order_key(job, self.times, now_s, size)
                known = self._order[job_id] = (now_s + ORDER_LIFETIME_S, done, key)
            keyed.append((known[2], job_id, job))
        keyed.sort(key=lambda item: item[:2])
        return [job for _, _, job in keyed]

    def _place_step(
        self,
        job: Job,
        step: Step,
        tasks: list[Task],
        rooms: list[WorkerState],
        now_s: float,
    ) -> list[Placement]:
        on_workers: dict[str, int] = {}
        on_racks: dict[str, int] = {}
        for task in tasks:
            for worker_id in task.copies.values():
                on_workers[worker_id] = on_workers.get(worker_id, 0) + 1
            if task.active:
                worker = self.workers.get(task.worker)
                on_workers[task.worker] = on_workers.get(task.worker, 0) + 1
                if worker is not None:
                    on_racks[worker.rack] = on_racks.get(worker.rack, 0) + 1
        if job.spec.advice_ms:
            rooms = self._advised(job, tasks[0].key, step, rooms, now_s)
        if step.gang:
            return self._place_gang(job, step, tasks, rooms, now_s)
        placements = []
        for task in tasks:
            if task.phase != Phase.WAITING or task.not_before_s > now_s:
                continue
            places = rooms
            if task.copies:
                older = set(task.copies.values())
                places = [room for room in rooms if room.worker_id not in older]
            room = choose_worker(step, places, task.avoid, on_workers, on_racks)
            if room is None:
                if task.copies:
                    continue
                break
            worker = self.workers[room.worker_id]
            placements.append(self._place_task(job, task, step, worker, now_s))
            on_workers[worker.worker_id] = on_workers.get(worker.worker_id, 0) + 1
            on_racks[worker.rack] = on_racks.get(worker.rack, 0) + 1
            if worker.quarantined:
                worker.probed_at_s = now_s
                rooms.remove(worker)
        return placements

    def _place_gang(
        self,
        job: Job,
        step: Step,
        tasks: list[Task],
        rooms: list[WorkerState],
        now_s: float,
    ) -> list[Placement]:
        """Place all tasks of a gang with one attempt number, or none."""
        if any(t.phase != Phase.WAITING or t.not_before_s > now_s for t in tasks):
            return []
        groups = [rooms]
        if step.same_rack:
            racks = sorted({room.rack for room in rooms})
            groups = [[r for r in rooms if r.rack == rack] for rack in racks] + groups
        for group in groups:
            chosen = self._fit_gang(job, step, tasks, group)
            if chosen is None:
                continue
            attempt = max(task.attempt for task in tasks)
            checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), "")
            placements = []
            for task, worker in zip(tasks, chosen, strict=True):
                task.attempt, task.checkpoint = attempt, checkpoint
                placements.append(self._place_task(job, task, step, worker, now_s))
            return placements
        return []

    def _fit_gang(
        self, job: Job, step: Step, tasks: list[Task], rooms: list[WorkerState]
    ) -> list[WorkerState] | None:
        """Return a worker for each task, or ``None`` when not all have room."""
        on_workers: dict[str, int] = {}
        chosen: list[WorkerState] = []
        for task in tasks:
            room = choose_worker(step, rooms, task.avoid, on_workers, {})
            if room is None:
                break
            worker = self.workers[room.worker_id]
            worker.take((job.spec.job_id, task.key), step)
            on_workers[worker.worker_id] = on_workers.get(worker.worker_id, 0) + 1
            chosen.append(worker)
        for task, worker in zip(tasks, chosen, strict=False):
            worker.free((job.spec.job_id, task.key), worker.idle_since_s)
        return chosen if len(chosen) == len(tasks) else None

    def stop_broken_gangs(self) -> None:
        """Stop the members of gangs of which one does not run any more.

        Otherwise they would wait for it until their time limit.
        """
        for job in self.active.values():
            for number, step in enumerate(job.spec.steps):
                if not step.gang or job.state.ended:
                    continue
                for occurrence in range(job.spec.occurrences()):
                    members = [
                        job.tasks[(occurrence, number, index)]
                        for index in range(step.count)
                        if (occurrence, number, index) in job.tasks
                    ]
                    running = [t for t in members if t.phase in _STARTED]
                    if running and len(running) < step.count:
                        for task in running:
                            self._stop(job, task)

    # Advice

    def _advised(
        self,
        job: Job,
        key: TaskKey,
        step: Step,
        rooms: list[WorkerState],
        now_s: float,
    ) -> list[WorkerState]:
        """Return the workers with a valid ticket for a step; ask for others."""
        name = (job.spec.job_id, key[0], key[1])
        tickets = self.tickets.get(name, {})
        valid = []
        for room in rooms:
            ticket = tickets.get(room.worker_id)
            if ticket is None or ticket.born != room.born:
                continue
            if ticket.until_s > now_s + TICKET_MARGIN_S:
                valid.append(room)
        if not any(room.fits(step) for room in valid):
            known = self.advised_against.get(name, set())
            candidates = [
                room
                for room in rooms
                if room.could_fit(step) and room.worker_id not in known
            ]
            candidates.sort(key=lambda room: (not room.fits(step), room.used_cpu_milli))
            asked = [room.worker_id for room in candidates[:ADVICE_WORKERS]]
            if asked:
                self.advice_wanted[name] = asked
        return valid

    def take_advice(
        self,
        name: StepName,
        asked: Iterable[str],
        good: dict[str, str],
        until_s: float,
    ) -> None:
        """Take the tickets for a step; workers without one never get the step."""
        tickets = self.tickets.setdefault(name, {})
        refused = self.advised_against.setdefault(name, set())
        for worker_id in asked:
            worker = self.workers.get(worker_id)
            if worker_id in good and worker is not None:
                tickets[worker_id] = Ticket(good[worker_id], worker.born, until_s)
            elif worker_id not in good:
                refused.add(worker_id)

    def ticket_of(self, ref: TaskRef, worker_id: str) -> str:
        """Return the ticket for a task on a worker, or an empty text."""
        name = (ref[0], ref[1][0], ref[1][1])
        ticket = self.tickets.get(name, {}).get(worker_id)
        return ticket.text if ticket is not None else ""

    def drop_ticket(self, ref: TaskRef, worker_id: str) -> None:
        """Forget a ticket that a worker has refused."""
        self.tickets.get((ref[0], ref[1][0], ref[1][1]), {}).pop(worker_id, None)

    # Sharing

    def pace_orders(self, worker: WorkerState) -> list[tuple[TaskRef, int, int]]:
        """Return the filling tasks of a worker whose share has to change.

        :return: task, attempt and share in percent
        """
        worst = 0.0
        fills: list[tuple[TaskRef, Task]] = []
        for ref, step in worker.tasks.items():
            job, task = self._find(ref)
            if job is None or task is None or task.phase != Phase.RUNNING:
                continue
            if task.worker != worker.worker_id:
                continue
            if step.fills:
                fills.append((ref, task))
            elif step.target_ms:
                worst = max(worst, task.level / step.target_ms)
        orders = []
        for ref, task in fills:
            percent = choose_pace(task.pace_percent, worst)
            if percent != task.pace_percent:
                task.pace_percent = percent
                orders.append((ref, task.attempt, percent))
        return orders

    def shares(self, worker: WorkerState) -> bool:
        """Return whether a worker has filling tasks beside serving ones."""
        steps = worker.tasks.values()
        serving = any(step.target_ms and not step.fills for step in steps)
        return serving and any(step.fills for step in steps)

    def _place_task(
        self, job: Job, task: Task, step: Step, worker: WorkerState, now_s: float
    ) -> Placement:
        ref = (job.spec.job_id, task.key)
        task.phase = Phase.PLACED
        task.attempt += 1
        task.worker, task.born = worker.worker_id, worker.born
        task.address = worker.address
        task.placed_at_s = now_s
        task.running_at_s = task.stopped_at_s = 0.0
        task.unanswered = False
        task.pace_percent = 100
        worker.take(ref, step)
        self._change(job.spec.job_id)
        return Placement(ref, task.attempt, worker.worker_id, worker.born)


def job_age_s(spec: JobSpec, now_ms: int) -> float:
    """Return the time since a job was accepted.

    Times of day differ between VMs and may jump; an age that cannot be is none.
    """
    age_s = (now_ms - spec.accepted_ms) / 1000
    return age_s if 0 <= age_s <= LONGEST_AGE_S else 0.0
