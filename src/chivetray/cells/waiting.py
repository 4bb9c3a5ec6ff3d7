"""Tells in the log what tasks wait for whose turn has come.

A wait is told once it is longer than ``WAIT_LOGGED_AFTER_S``, again when its reason
changes, and at its end. The tasks of a step with the same reason share a line.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from heapq import nsmallest
from itertools import islice
from typing import Any

from chivetray.cells.advice import MIN_TICKET_VALIDITY_S
from chivetray.cells.cap_use import waits_for_cap
from chivetray.cells.orders import StepRef
from chivetray.cells.places import count_places
from chivetray.cells.state import CellState
from chivetray.cells.workers import PROBE_INTERVAL_S, TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobName, JobSpec, Phase, Step, Task, TaskKey

# Time for which a task is away before the log tells what it waits for.
WAIT_LOGGED_AFTER_S = 1.0

# Time between two checks of what tasks wait for.
WAIT_CHECK_INTERVAL_S = 0.5

# Jobs without long-running steps that a check looks at: those that are next in order,
# out of a limited number that is compared.
MAX_QUEUED_JOBS_CHECKED = 5
MAX_QUEUED_JOBS_COMPARED = 1000

# Tasks that a check looks at, and waiting tasks that are remembered.
MAX_TASKS_CHECKED = 2000
MAX_REMEMBERED_WAITS = 2000

# Lines of waits that a check writes; the others follow with the next checks.
MAX_LINES = 50

# Tasks, workers and jobs that one line names.
MAX_NAMED_TASKS = 20
MAX_NAMED_WORKERS = 3
MAX_NAMED_JOBS = 5


class WaitReason(Enum):
    """What a task waits for."""

    EARLIER_LEASE = "lease of an earlier owner"
    OWN_LEASE = "lease"
    LATE_ORDERS = "late orders to a restarted worker"
    FIRST_REPLY = "first reply"
    START = "start order"
    LEASES_PAUSED = "leases paused"
    CANCELLATIONS = "scan for cancellations"
    STOP = "stop order"
    STOP_PUT_OFF = "stop put off"
    END_REPORT = "report of the end"
    STORE = "store"
    OWNER_LEAVES = "owner leaves"
    RETRY_PAUSE = "retry pause"
    GANG = "rest of the gang"
    TICKET = "ticket"
    TICKET_REFUSED = "ticket refused"
    VM_ORDER_AFTER_TAKEOVER = "open VM order after a take-over"
    VM_ORDER = "open VM order"
    RESERVED = "reserved worker"
    SILENT = "silent worker"
    NOT_POLLED = "worker without a reply"
    NOT_DESCRIBED = "worker that the list describes as before its restart"
    LEASE_END_HELD = "removal of the stored lease end"
    UNCOUNTED = "end of an uncounted attempt"
    PAUSED = "paused worker"
    QUARANTINED = "quarantined worker"
    ISOLATION = "worker without other tasks"
    ISOLATED = "worker kept for suspected tasks"
    DRAINING = "draining worker"
    OLDER_RUN = "older attempt"
    OLDER_ATTEMPT = "older attempt there"
    PER_WORKER = "limit per worker"
    FULL = "no room"
    UNLISTED = "worker that is not listed"
    NO_WORKER = "no suitable worker"
    GANG_ROOM = "room for the gang"
    CAP = "cap"
    STORED_ROW = "room in the stored row"
    HELD = "progress that the store refuses"
    NOT_DECIDED = "decision"


# Reasons that a sound cell has for a moment; told when two checks in a row find them.
BRIEF_REASONS = frozenset({WaitReason.START, WaitReason.STORE, WaitReason.NOT_DECIDED})

# Obstacles that end with another task, or never.
_WITHOUT_ROOM = (
    WaitReason.OLDER_ATTEMPT,
    WaitReason.PER_WORKER,
    WaitReason.FULL,
    WaitReason.UNLISTED,
)


@dataclass(frozen=True, slots=True)
class Wait:
    """What a task waits for.

    :ivar until_s: time at which the wait ends at the latest, ``None`` if it is not
        bounded by a time
    :ivar workers: workers that it waits for
    :ivar obstacles: number of workers by what keeps the task from them
    :ivar unanswered: number of start orders without an answer
    """

    reason: WaitReason
    until_s: float | None = None
    workers: tuple[str, ...] = ()
    obstacles: Mapping[str, int] = field(default_factory=dict)
    unanswered: int = 0


@dataclass(frozen=True, slots=True)
class OwnerStatus:
    """What keeps the owner of a cell from acting.

    :ivar storing_since_s: time at which it began to store progress, 0 if it does not
    :ivar storing_job_ids: jobs whose progress it stores
    """

    storing_since_s: float = 0.0
    storing_job_ids: frozenset[str] = frozenset()
    leaving: bool = False
    may_grant_leases: bool = True
    may_start: bool = True
    may_place: bool = True


@dataclass(slots=True)
class _TaskWait:
    """Wait of a task so far.

    :ivar spent_s: time by reason
    :ivar told: reasons that were logged
    """

    since_s: float
    reason: WaitReason
    seen_at_s: float
    sightings: int = 0
    spent_s: dict[WaitReason, float] = field(default_factory=dict)
    told: set[WaitReason] = field(default_factory=set)

    def record(self, reason: WaitReason, now_s: float) -> None:
        """Record the reason that a check has found."""
        self.sightings = self.sightings + 1 if reason == self.reason else 1
        self.reason = reason
        self.count_time(now_s)

    def count_time(self, now_s: float) -> None:
        """Count the time since the last check for the present reason."""
        spent_s = self.spent_s.get(self.reason, 0.0) + now_s - self.seen_at_s
        self.spent_s[self.reason], self.seen_at_s = spent_s, now_s

    def is_settled(self) -> bool:
        """Return whether the reason is more than that of a moment."""
        return self.sightings > 1 or self.reason not in BRIEF_REASONS


# What a task of a step waits for, as one check has found.
_Found = list[tuple[Task, _TaskWait, Wait]]


class WaitLog:
    """Waits of the tasks of one cell that the log tells."""

    def __init__(self, state: CellState):
        self._state = state
        self._waits: dict[TaskRef, _TaskWait] = {}
        self._stopping_since_s: dict[tuple[TaskRef, int], float] = {}
        self._lines_left = MAX_LINES

    def check(self, status: OwnerStatus, now_s: float, now_ms: int) -> None:
        """Log the waits that have begun, changed or ended since the last check.

        :param now_ms: time of day in ms since 1970
        """
        waiting: set[TaskRef] = set()
        checked: set[StepRef] = set()
        left = MAX_TASKS_CHECKED
        self._lines_left = MAX_LINES
        for job in self._select_jobs():
            for occurrence, number in job.ready_steps(now_ms):
                if left <= 0:
                    break
                left -= job.spec.steps[number].count
                found = self._check_step(status, job, occurrence, number, now_s)
                checked.add((job.spec.job_id, occurrence, number))
                waiting.update((job.spec.job_id, task.key) for task, _, _ in found)
                self._tell(job, found, now_s)
        self._tell_ended(waiting, checked, now_s)

    def _select_jobs(self) -> Iterator[Job]:
        """Yield the jobs to check: long-running ones first."""
        state = self._state
        selected: set[str] = set()
        for job_id in list(state.long_running_job_ids):
            if job_id not in state.active:
                del state.long_running_job_ids[job_id]
        unconfirmed = _jobs_with_unconfirmed_tasks(state)
        queued = nsmallest(
            MAX_QUEUED_JOBS_CHECKED,
            islice(state.schedulable_job_ids, MAX_QUEUED_JOBS_COMPARED),
            key=lambda job_id: state.cached_order_keys.get(job_id, (0.0, 0, ()))[2],
        )
        for job_id in (*state.long_running_job_ids, *unconfirmed, *queued):
            job = state.active.get(job_id)
            if job is not None and not job.state.ended and job_id not in selected:
                selected.add(job_id)
                yield job

    def _check_step(
        self,
        status: OwnerStatus,
        job: Job,
        occurrence: int,
        number: int,
        now_s: float,
    ) -> _Found:
        """Return the tasks of a step that wait for long enough, and for what."""
        state, step = self._state, job.spec.steps[number]
        tasks = job.step_tasks(occurrence, number)
        # Counted once for all tasks, of which a caller chooses the number.
        gang_workers = {t.worker for t in tasks if t.active} if step.gang else set()
        places = count_places(tasks)
        rooms: dict[frozenset[str], Wait] = {}
        found: _Found = []
        for task in tasks:
            if task.phase == Phase.DONE:
                continue
            worker = state.workers.get(task.worker) if task.active else None
            since_s = self._away_since_s(job, task, worker, now_s)
            if since_s is None or now_s - since_s < WAIT_LOGGED_AFTER_S:
                continue
            wait: Wait | None
            if task.active:
                wait = explain_attempt(state, status, job, task, now_s)
            else:
                wait = explain_pause(state, status, step, task, gang_workers, now_s)
                if wait is None:
                    excluded = frozenset(task.copies.values())
                    if excluded not in rooms:
                        rooms[excluded] = explain_room(
                            state, job, tasks[0].key, places, now_s, excluded
                        )
                    wait = rooms[excluded]
            if wait is None:
                continue
            ref = (job.spec.job_id, task.key)
            known = self._waits.get(ref)
            if known is None:
                if len(self._waits) >= MAX_REMEMBERED_WAITS and not step.long_running:
                    continue
                known = self._waits[ref] = _TaskWait(since_s, wait.reason, since_s)
            known.record(wait.reason, now_s)
            found.append((task, known, wait))
        return found

    def _away_since_s(
        self, job: Job, task: Task, worker: WorkerState | None, now_s: float
    ) -> float | None:
        """Return since when a task is not known to run, ``None`` if it runs."""
        if task.phase == Phase.RUNNING:
            if worker is None or not _is_silent(worker):
                return None
            return worker.silent_since_s or self._state.owned_since_s
        if task.phase == Phase.STOPPING:
            # It may run until the stop is carried out; the time of the decision shows
            # how long the stop takes.
            key = ((job.spec.job_id, task.key), task.attempt)
            return self._stopping_since_s.setdefault(key, now_s)
        return job.away_since_s(task, self._state.owned_since_s, now_s)

    def _tell(self, job: Job, found: _Found, now_s: float) -> None:
        by_reason: dict[WaitReason, _Found] = {}
        for item in found:
            if item[1].is_settled():
                by_reason.setdefault(item[2].reason, []).append(item)
        for reason, group in by_reason.items():
            if all(reason in known.told for _, known, _ in group):
                continue
            if self._lines_left <= 0:
                return
            self._lines_left -= 1
            for _, known, _ in group:
                known.told.add(reason)
            _log_wait(self._state, job, reason, group, now_s)

    def _tell_ended(
        self, waiting: set[TaskRef], checked: set[StepRef], now_s: float
    ) -> None:
        ended: dict[StepRef, list[tuple[TaskRef, _TaskWait]]] = {}
        for ref, known in list(self._waits.items()):
            step_ref = (ref[0], ref[1][0], ref[1][1])
            if ref in waiting:
                continue
            if step_ref not in checked and self._may_wait(ref):
                continue
            del self._waits[ref]
            if known.told:
                known.count_time(now_s)
                ended.setdefault(step_ref, []).append((ref, known))
        for key in list(self._stopping_since_s):
            _, task = self._state.find_task(key[0])
            if task is None or task.phase != Phase.STOPPING or task.attempt != key[1]:
                del self._stopping_since_s[key]
        for step_ref, group in ended.items():
            _log_end(self._state, step_ref, group, now_s)

    def _may_wait(self, ref: TaskRef) -> bool:
        """Return whether a task that was not checked may wait still."""
        job, task = self._state.find_task(ref)
        if job is None or task is None or job.state.ended:
            return False
        return task.phase not in (Phase.RUNNING, Phase.DONE)


def _is_silent(worker: WorkerState) -> bool:
    return bool(worker.silent_since_s) or not worker.address


def _jobs_with_unconfirmed_tasks(state: CellState) -> dict[str, None]:
    """Return the jobs with tasks on workers that do not confirm that they run."""
    found: dict[str, None] = {}
    for worker in state.workers.values():
        is_silent = _is_silent(worker)
        for ref in worker.tasks:
            if ref[0] in found:
                continue
            if not is_silent:
                _, task = state.find_task(ref)
                if task is None or task.phase not in (Phase.PLACED, Phase.STOPPING):
                    continue
            found[ref[0]] = None
    return found


def explain_attempt(
    state: CellState, status: OwnerStatus, job: Job, task: Task, now_s: float
) -> Wait | None:
    """Return what a task waits for that has a worker, ``None`` if it runs."""
    worker = state.workers.get(task.worker)
    if worker is None:
        return None
    workers = (worker.worker_id,)
    lease_until_s = now_s + state.remaining_lease_s(worker, now_s)
    if _is_silent(worker):
        return Wait(_name_lease(worker, now_s), lease_until_s, workers)
    if task.phase == Phase.RUNNING:
        return None
    if not (worker.tasks_known and worker.clock.known):
        # A worker that turns out to be silent is waited for until its lease ends.
        return Wait(WaitReason.FIRST_REPLY, lease_until_s, workers)
    if task.phase == Phase.STOPPING:
        if task.stopped_at_s:
            return Wait(WaitReason.END_REPORT, None, workers)
        reason = WaitReason.STOP if task.stop_sent else WaitReason.STOP_PUT_OFF
        return Wait(reason, None, workers)
    if job.spec.job_id in status.storing_job_ids:
        return Wait(WaitReason.STORE, None, workers)
    if worker.lease_end_held:
        return Wait(WaitReason.LEASE_END_HELD, None, workers)
    if not status.may_grant_leases:
        return Wait(WaitReason.LEASES_PAUSED, None, workers)
    if not status.may_start:
        return Wait(WaitReason.CANCELLATIONS, None, workers)
    return Wait(WaitReason.START, None, workers, unanswered=task.unanswered_starts)


def _name_lease(worker: WorkerState, now_s: float) -> WaitReason:
    """Return which lease on a silent worker is the last to expire."""
    earlier_left_s = worker.earlier_lease_until_s - now_s
    if worker.deadline_ms and worker.remaining_lease_s(now_s) > earlier_left_s:
        return WaitReason.OWN_LEASE
    if 0 < worker.earlier_lease_until_s <= worker.late_orders_until_s:
        return WaitReason.LATE_ORDERS
    return WaitReason.EARLIER_LEASE


def explain_pause(
    state: CellState,
    status: OwnerStatus,
    step: Step,
    task: Task,
    gang_workers: Collection[str],
    now_s: float,
) -> Wait | None:
    """Return what a task without a worker waits for, other than a worker.

    :param gang_workers: workers of the other members of its gang
    """
    if status.leaving:
        return Wait(WaitReason.OWNER_LEAVES)
    if not status.may_place:
        return Wait(WaitReason.CANCELLATIONS)
    if status.storing_since_s and (
        now_s - status.storing_since_s >= WAIT_CHECK_INTERVAL_S
    ):
        # Nothing is placed before the progress is stored.
        return Wait(WaitReason.STORE)
    if gang_workers:
        return Wait(WaitReason.GANG, None, tuple(gang_workers))
    if task.not_before_s > now_s:
        return Wait(WaitReason.RETRY_PAUSE, task.not_before_s)
    if state.awaits_older_attempt(task, step):
        return Wait(WaitReason.OLDER_RUN, None, tuple(task.copies.values()))
    if task.suspect:
        return Wait(WaitReason.ISOLATION)
    return None


def explain_room(
    state: CellState,
    job: Job,
    key: TaskKey,
    places: Mapping[str, int],
    now_s: float,
    excluded: Collection[str] = (),
) -> Wait:
    """Return why no worker takes a waiting task of a step.

    Of several obstacles, the one that ends first is the reason. Obstacles other than a
    lack of room are counted for workers with room only.

    :param key: key of any task of the step
    :param places: number of tasks of the step that have a place on each worker
    :param excluded: workers that may still run an older attempt of the task
    """
    step = job.spec.steps[key[1]]
    step_ref = (job.spec.job_id, key[0], key[1])
    counts: Counter[WaitReason] = Counter()
    until_s: dict[WaitReason, float] = {}
    workers: dict[WaitReason, list[str]] = {}
    is_free = False
    for worker in state.workers.values():
        obstacle, end_s = _find_obstacle(state, worker, step, places, now_s)
        if obstacle is None and worker.worker_id in excluded:
            obstacle = WaitReason.OLDER_ATTEMPT
        if obstacle is None and job.spec.ticket_validity_ms:
            obstacle = _find_ticket_obstacle(state, step_ref, worker, now_s)
        if obstacle is None:
            is_free = True
            continue
        counts[obstacle] += 1
        workers.setdefault(obstacle, []).append(worker.worker_id)
        if end_s is not None:
            until_s[obstacle] = min(until_s.get(obstacle, end_s), end_s)
    obstacles = {reason.value: count for reason, count in counts.items()}
    if is_free:
        reason = WaitReason.GANG_ROOM if step.gang else WaitReason.NOT_DECIDED
        if waits_for_cap(state, job, step):
            reason = WaitReason.CAP
        if state.count_storable(job) < (step.count if step.gang else 1):
            reason = WaitReason.STORED_ROW
        if job.spec.job_id in state.held_job_ids:
            reason = WaitReason.HELD
        return Wait(reason, obstacles=obstacles)
    passing = [r for r in counts if r not in (*_WITHOUT_ROOM, WaitReason.NO_WORKER)]
    if passing:
        reason = min(
            passing, key=lambda r: (until_s.get(r, float("inf")), -counts[r], r.value)
        )
        named = tuple(sorted(workers[reason]))
        return Wait(reason, until_s.get(reason), named, obstacles)
    reason = next((r for r in _WITHOUT_ROOM if r in counts), WaitReason.NO_WORKER)
    return Wait(reason, obstacles=obstacles)


def _find_obstacle(
    state: CellState,
    worker: WorkerState,
    step: Step,
    tasks_per_worker: Mapping[str, int],
    now_s: float,
) -> tuple[WaitReason | None, float | None]:
    """Return what keeps a step's tasks from a worker, and until when if known."""
    if not worker.listed:
        return WaitReason.UNLISTED, None
    if not worker.fits_when_empty(step):
        return WaitReason.NO_WORKER, None
    if worker.isolated_for:
        return WaitReason.ISOLATED, None
    if not worker.quarantined and not worker.fits(step):
        return WaitReason.FULL, None
    if step.per_worker and (
        tasks_per_worker.get(worker.worker_id, 0) >= step.per_worker
    ):
        return WaitReason.PER_WORKER, None
    if _is_silent(worker):
        return WaitReason.SILENT, None
    if not (worker.tasks_known and worker.clock.known):
        return WaitReason.NOT_POLLED, None
    if not worker.is_described:
        return WaitReason.NOT_DESCRIBED, None
    if worker.lease_end_held:
        return WaitReason.LEASE_END_HELD, None
    if worker.runs_uncounted:
        return WaitReason.UNCOUNTED, None
    if worker.draining:
        return WaitReason.DRAINING, None
    if not worker.may_run(step, now_s):
        # The holder of VM orders tells its own with its first request.
        reason = (
            WaitReason.VM_ORDER
            if state.vm_requests_at_s
            else WaitReason.VM_ORDER_AFTER_TAKEOVER
        )
        return reason, worker.vm_order_until_s
    if worker.is_reserved(now_s):
        return WaitReason.RESERVED, worker.reserved_until_s
    if worker.unhealthy_until_s > now_s:
        return WaitReason.PAUSED, worker.unhealthy_until_s
    if not worker.accepts_tasks(now_s):
        return WaitReason.QUARANTINED, worker.probed_at_s + PROBE_INTERVAL_S
    return None, None


def _find_ticket_obstacle(
    state: CellState, step_ref: StepRef, worker: WorkerState, now_s: float
) -> WaitReason | None:
    if worker.worker_id in state.refused_workers.get(step_ref, set()):
        return WaitReason.TICKET_REFUSED
    ticket = state.tickets.get(step_ref, {}).get(worker.worker_id)
    if ticket is None or ticket.incarnation != worker.incarnation:
        return WaitReason.TICKET
    if ticket.valid_until_s <= now_s + MIN_TICKET_VALIDITY_S:
        return WaitReason.TICKET
    return None


def _log_wait(
    state: CellState, job: Job, reason: WaitReason, group: _Found, now_s: float
) -> None:
    """Log what tasks of one step wait for."""
    occurrence, number, _ = group[0][0].key
    waits = [wait for _, _, wait in group]
    ends_s = [wait.until_s for wait in waits]
    known_ends_s = [end_s for end_s in ends_s if end_s is not None]
    workers = list(dict.fromkeys(w for wait in waits for w in wait.workers))
    fields: dict[str, Any] = {}
    if len(known_ends_s) == len(ends_s):
        fields["left_s"] = round(max(known_ends_s) - now_s, 3)
    if group[0][0].active:
        fields["leases"] = {
            worker_id: state.workers[worker_id].describe_lease(now_s)
            for worker_id in workers[:MAX_NAMED_WORKERS]
            if worker_id in state.workers
        }
    if waits[0].obstacles:
        fields["obstacles"] = dict(waits[0].obstacles)
    if any(wait.unanswered for wait in waits):
        fields["unanswered_tries"] = max(wait.unanswered for wait in waits)
    log_event(
        Event.TASK_WAITS,
        job=job.spec.job_id,
        occurrence=occurrence,
        step=number,
        reason=reason.value,
        tasks=len(group),
        first=[task.key[2] for task, _, _ in group[:MAX_NAMED_TASKS]],
        phases=sorted({task.phase.name for task, _, _ in group}),
        long_running=job.spec.steps[number].long_running,
        away_s=round(now_s - min(known.since_s for _, known, _ in group), 3),
        workers=workers[:MAX_NAMED_WORKERS],
        worker_count=len(workers),
        cell=state.name,
        epoch=state.epoch,
        owned_s=round(now_s - state.owned_since_s, 3),
        **fields,
    )


def _log_end(
    state: CellState,
    step_ref: StepRef,
    group: list[tuple[TaskRef, _TaskWait]],
    now_s: float,
) -> None:
    """Log that tasks of one step no longer wait, and what the longest one waited for.

    A check finds the end up to ``WAIT_CHECK_INTERVAL_S`` late.
    """
    ref, longest = min(group, key=lambda item: item[1].since_s)
    _, task = state.find_task(ref)
    log_event(
        Event.TASK_WAIT_ENDED,
        job=step_ref[0],
        occurrence=step_ref[1],
        step=step_ref[2],
        tasks=len(group),
        first=[ref[1][2] for ref, _ in group[:MAX_NAMED_TASKS]],
        away_s=round(now_s - longest.since_s, 3),
        spent_s={reason.value: round(s, 3) for reason, s in longest.spent_s.items()},
        phase=task.phase.name if task is not None else "",
        cell=state.name,
        epoch=state.epoch,
    )


@dataclass(slots=True)
class _NoticeWait:
    """Jobs of a cell whose owner has not confirmed a notice."""

    since_s: float
    told_owner: str | None = None


class NoticeLog:
    """Jobs and cancellations of this process that no owner of a cell has confirmed.

    :param owner_of: returns the process that owns a cell, or ``None``
    """

    def __init__(self, owner_of: Callable[[str], str | None]):
        self._owner_of = owner_of
        self._waits: dict[tuple[str, str], _NoticeWait] = {}

    def check(
        self,
        jobs: Mapping[JobName, JobSpec],
        cancellations: Mapping[JobName, str],
        now_s: float,
    ) -> None:
        """Log what has waited for long, and for which owner, if that has changed.

        :param cancellations: cells of cancelled jobs
        """
        pending: dict[tuple[str, str], list[str]] = {}
        for name, spec in islice(jobs.items(), MAX_QUEUED_JOBS_COMPARED):
            pending.setdefault(("job", spec.cell), []).append(name.job_id)
        for name, cell in islice(cancellations.items(), MAX_QUEUED_JOBS_COMPARED):
            pending.setdefault(("cancellation", cell), []).append(name.job_id)
        for key in [key for key in self._waits if key not in pending]:
            wait = self._waits.pop(key)
            if wait.told_owner is not None:
                log_event(
                    Event.NOTICE_CONFIRMED,
                    notice=key[0],
                    cell=key[1],
                    waited_s=round(now_s - wait.since_s, 3),
                )
        for key, job_ids in pending.items():
            wait = self._waits.setdefault(key, _NoticeWait(now_s))
            owner = self._owner_of(key[1]) or ""
            if now_s - wait.since_s < WAIT_LOGGED_AFTER_S or wait.told_owner == owner:
                continue
            wait.told_owner = owner
            log_event(
                Event.NOTICE_WAITS,
                notice=key[0],
                cell=key[1],
                owner=owner,
                reason="not confirmed" if owner else "no owner",
                waited_s=round(now_s - wait.since_s, 3),
                jobs=len(job_ids),
                first=job_ids[:MAX_NAMED_JOBS],
            )
