"""Crashes of workers: how they are known, and which tasks are blamed for them.

A worker has crashed if it is known to have ended without an order or a notice: a later
incarnation or another worker answers in its place. Silence proves nothing, since the
worker may be cut off; but what was lost with a silent worker is remembered, in case the
proof comes after its leases have expired.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState, Phase, Task
from chivetray.jobs.suspicion import (
    LostAttempt,
    blame,
    clear,
    clear_explained,
    find_culprits,
)
from chivetray.platform.workers import TaskName

if TYPE_CHECKING:
    from chivetray.cells.state import CellState

# Time from the begin of a silence within which another incarnation or worker proves a
# crash, if the leases have expired meanwhile. One that comes later may have replaced a
# worker that was only cut off.
LATE_PROOF_S = 12.0

# Tolerance between the silences of workers that failed at the same moment.
SAME_MOMENT_S = 0.5


@dataclass(slots=True)
class Loss:
    """What ran on a worker whose leases expired while it was silent."""

    silent_since_s: float
    address: str
    incarnation: int
    planned: str
    has_common_cause: bool
    attempts: list[LostAttempt]


def record_crash(
    state: CellState,
    worker: WorkerState,
    seen_by: str,
    now_s: float,
    attempts: list[LostAttempt] | None = None,
) -> None:
    """Record that a worker has ended, before its tasks are rescheduled.

    :param seen_by: what showed the end, for the log
    :param attempts: attempts that were lost, by default those on the worker
    """
    loss = state.losses.pop(worker.worker_id, None)
    if attempts is None:
        attempts = find_attempts(state, worker)
    if attempts:
        planned = find_plan(worker, now_s)
        has_common_cause = _has_common_cause(state, worker, now_s)
    elif loss is not None and now_s - loss.silent_since_s <= LATE_PROOF_S:
        attempts, planned = loss.attempts, loss.planned
        has_common_cause = loss.has_common_cause
    else:
        return
    _blame(state, worker, seen_by, now_s, attempts, planned, has_common_cause)


def remember_loss(state: CellState, worker: WorkerState, now_s: float) -> None:
    """Remember what ran on a silent worker, before its tasks are rescheduled."""
    known = state.losses.get(worker.worker_id)
    if known is not None and known.silent_since_s == worker.unbroken_silence_s:
        # The rest of the tasks that are remembered already.
        return
    state.losses[worker.worker_id] = Loss(
        worker.unbroken_silence_s or now_s,
        worker.address,
        worker.incarnation,
        find_plan(worker, now_s),
        _has_common_cause(state, worker, now_s),
        find_attempts(state, worker),
    )


def find_successor(state: CellState, worker: WorkerState, now_s: float) -> None:
    """Record the crash of a lost worker whose address another worker has now."""
    for worker_id, loss in list(state.losses.items()):
        if now_s - loss.silent_since_s > LATE_PROOF_S:
            del state.losses[worker_id]
        elif worker.worker_id != worker_id and (
            loss.address == worker.address and worker.incarnation > loss.incarnation
        ):
            del state.losses[worker_id]
            lost = WorkerState(worker_id, loss.address, "", "", (), 0, 0, 0, 0)
            _blame(
                state,
                lost,
                "another worker listed",
                now_s,
                loss.attempts,
                loss.planned,
                loss.has_common_cause,
            )


def find_plan(worker: WorkerState, now_s: float) -> str:
    """Return which plan explains the end of a worker, empty for none."""
    ended_s = worker.unbroken_silence_s or now_s
    if worker.draining:
        return "drain"
    if worker.is_reserved(ended_s) or ended_s < worker.vm_order_until_s:
        return "VM order"
    return ""


def _has_common_cause(state: CellState, worker: WorkerState, now_s: float) -> bool:
    """Return whether the worker's rack or availability zone failed as a whole.

    That is: others there fell silent at the same moment, and none has answered since.
    """
    silent_since_s = worker.unbroken_silence_s
    if not silent_since_s:
        return False
    for name in ("rack", "zone"):
        value = getattr(worker, name)
        others = [
            other
            for other in state.workers.values()
            if value and getattr(other, name) == value and other is not worker
        ]
        alive = any(
            other.known_since_s < silent_since_s
            and other.answered_poll_sent_at_s > worker.silence_seen_at_s
            for other in others
        )
        if not alive and any(_fell_together(worker, other) for other in others):
            return True
    return False


def _fell_together(worker: WorkerState, other: WorkerState) -> bool:
    """Return whether the silences of two workers may have begun at one moment."""
    if not other.last_silence_at_s:
        return False
    return (
        other.last_silence_at_s <= worker.silence_seen_at_s + SAME_MOMENT_S
        and worker.last_silence_at_s <= other.silence_seen_at_s + SAME_MOMENT_S
    )


def find_attempts(state: CellState, worker: WorkerState) -> list[LostAttempt]:
    """Return the attempts that may be running on a worker."""
    found = []
    for ref in worker.tasks:
        job, task = state.find_task(ref)
        if job is not None and task is not None:
            found += _attempts_of(job, task, worker)
    return found


def _attempts_of(job: Job, task: Task, worker: WorkerState) -> list[LostAttempt]:
    job_id, found = job.spec.job_id, []
    is_here = task.worker == worker.worker_id
    if is_here and task.incarnation <= worker.incarnation and _may_run(task):
        is_isolated = task.isolated and task.suspect
        found.append(LostAttempt(job_id, task, task.attempt, task.settled, is_isolated))
    for attempt, worker_id in task.copies.items():
        if worker_id == worker.worker_id and not task.stopping_copies.get(attempt):
            settled = attempt in task.settled_copies
            found.append(LostAttempt(job_id, task, attempt, settled, False))
    return found


def _may_run(task: Task) -> bool:
    """Return whether the newest attempt may have begun and not ended."""
    if task.phase == Phase.PLACED:
        return task.may_start_late
    if task.phase == Phase.STOPPING:
        return not task.stopped_at_s
    return task.phase == Phase.RUNNING


def _blame(
    state: CellState,
    worker: WorkerState,
    seen_by: str,
    now_s: float,
    attempts: list[LostAttempt],
    planned: str,
    has_common_cause: bool,
) -> None:
    open_attempts = [lost for lost in attempts if _is_open(state, lost)]
    blamed = [] if planned else blame(open_attempts, has_common_cause)
    log_event(
        Event.WORKER_CRASHED,
        worker=worker.worker_id,
        cell=state.name,
        epoch=state.epoch,
        incarnation=worker.incarnation,
        rack=worker.rack,
        seen_by=seen_by,
        planned=planned,
        common_cause=has_common_cause,
        silent_s=round(now_s - (worker.unbroken_silence_s or now_s), 3),
        attempts=[_describe(lost) for lost in attempts],
        suspects=len(blamed),
    )
    if blamed and blamed[0].isolated:
        _clear_explained(state, blamed, worker)
    elif len(blamed) > 1:
        state.shared_crashes.append(blamed)
    crashed_s = worker.silence_seen_at_s if worker.unbroken_silence_s else now_s
    for lost in blamed:
        if lost.attempt == lost.task.attempt and lost.task.running_at_s:
            age_s = max(0.0, crashed_s - lost.task.running_at_s)
            lost.task.age_at_crash_s = min(lost.task.age_at_crash_s, age_s)
        state.mark_changed(lost.job_id)
        if lost.task.suspect:
            state.suspect_job_ids.add(lost.job_id)
            log_event(
                Event.TASK_SUSPECTED,
                task=str(TaskName(*lost.ref)),
                attempt=lost.attempt,
                worker=worker.worker_id,
                crashes=lost.task.crashes,
                lone_crashes=lost.task.lone_crashes,
                suspects=len(blamed),
                cell=state.name,
                epoch=state.epoch,
            )
    _give_up(state, find_culprits(blamed))


def _clear_explained(
    state: CellState, culprits: list[LostAttempt], worker: WorkerState
) -> None:
    """Clear the tasks that were beside a culprit in its earlier crashes."""
    culprit_refs = {lost.ref for lost in culprits}
    for group in list(state.shared_crashes):
        if not any(lost.ref in culprit_refs for lost in group):
            continue
        state.shared_crashes.remove(group)
        others = [
            lost
            for lost in group
            if lost.ref not in culprit_refs and _is_open(state, lost)
        ]
        for lost in clear_explained(others):
            state.mark_changed(lost.job_id)
            log_event(
                Event.TASK_CLEARED,
                task=str(TaskName(*lost.ref)),
                attempt=lost.task.attempt,
                worker=worker.worker_id,
                crashes=lost.task.crashes,
                reason="another task has crashed its next worker",
                cell=state.name,
                epoch=state.epoch,
            )


def _is_open(state: CellState, lost: LostAttempt) -> bool:
    """Return whether the job and the task of an attempt have not ended."""
    job = state.jobs.get(lost.job_id)
    return job is not None and not job.state.ended and lost.task.phase != Phase.DONE


def _give_up(state: CellState, culprits: Iterable[LostAttempt]) -> None:
    """Fail the jobs of tasks that crash their workers."""
    for lost in culprits:
        job = state.jobs[lost.job_id]
        if job.state.ended:
            continue
        name = str(TaskName(*lost.ref))
        log_event(
            Event.TASK_GIVEN_UP,
            task=name,
            attempt=lost.attempt,
            crashes=lost.task.crashes,
            lone_crashes=lost.task.lone_crashes,
            cell=state.name,
            epoch=state.epoch,
        )
        state.end_job(job, JobState.FAILED)
        log_event(
            Event.JOB_ENDED,
            job=lost.job_id,
            state="FAILED",
            cell=state.name,
            task=name,
            reason="the task crashes its workers",
            crashes=lost.task.crashes,
        )


def settle(state: CellState, ref: TaskRef, task: Task, reason: str) -> None:
    """Record that an attempt is not to blame for a later crash, and clear its task.

    :param reason: what shows it, for the log
    """
    task.settled = True
    was_suspect, crashes = task.suspect, task.crashes
    if not clear(task):
        return
    state.mark_changed(ref[0])
    if was_suspect:
        log_event(
            Event.TASK_CLEARED,
            task=str(TaskName(*ref)),
            attempt=task.attempt,
            worker=task.worker,
            crashes=crashes,
            reason=reason,
            cell=state.name,
            epoch=state.epoch,
        )


def _describe(lost: LostAttempt) -> list[Any]:
    """Return an attempt as a row for the log.

    :return: task, attempt, phase, for how long in s it is known to have run, whether it
        had settled, whether it was isolated, crashes, and those of them in isolation
    """
    task = lost.task
    is_newest = task.attempt == lost.attempt
    return [
        str(TaskName(*lost.ref)),
        lost.attempt,
        task.phase.name if is_newest else "COPY",
        round(known_run_time_s(task), 3) if is_newest else 0.0,
        lost.settled,
        lost.isolated,
        task.crashes,
        task.lone_crashes,
    ]


def known_run_time_s(task: Task) -> float:
    """Return for how long the newest attempt of a task is known to have run."""
    if not task.running_at_s:
        return 0.0
    return max(0.0, task.listed_at_s - task.running_at_s)
