"""Applies the poll replies of workers and the outcomes of orders to a cell's state."""

from __future__ import annotations

from typing import Any

from chivetray.cells.copies import apply_copy_failure, settle_missing_copies
from chivetray.cells.crashes import settle
from chivetray.cells.orders import Placement, StepRef, StopOrder, StopReason
from chivetray.cells.pace import record_failure, record_run
from chivetray.cells.places import has_place, log_place_freed
from chivetray.cells.state import CellState
from chivetray.cells.steps_at_work import step_ref
from chivetray.cells.workers import PROBE_RUN_TIME_S, TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState, Phase, Step, Task, TaskKey
from chivetray.jobs.suspicion import SETTLED_AFTER_S
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
)

# Delay before a task is retried after a failed attempt.
FAILED_RETRY_S = 0.05

# Newest checkpoint in a reply by gang: its job, the key of a member, and the value.
_Checkpoints = dict[StepRef, tuple[Job, TaskKey, str]]


def apply_poll_reply(
    state: CellState, worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
) -> None:
    """Apply the running and ended attempts that a worker lists in a poll reply.

    :param sent_at_s: send time of the poll
    :param now_s: receive time of the reply
    """
    if reply.incarnation and reply.incarnation != worker.incarnation:
        if _is_outdated(worker, reply, sent_at_s):
            return
        state.handle_worker_restart(worker, reply.incarnation, now_s)
    elif reply.incarnation:
        # It was only silent, and what was lost with it has not crashed it.
        state.losses.pop(worker.worker_id, None)
    worker.tasks_known = True
    worker.answered_poll_sent_at_s = sent_at_s
    worker.runs_uncounted = False
    listed: set[tuple[str, object, int]] = set()
    checkpoints: _Checkpoints = {}
    for ended in sorted(reply.ended, key=lambda item: item.number):
        listed.add((ended.name.job_id, ended.name.key, ended.attempt))
        if ended.number > worker.last_applied_end:
            # After an error, the worker may not forget the end.
            _apply_end(state, worker, ended, now_s, checkpoints)
            worker.last_applied_end = ended.number
    for running in reply.running:
        job = state.jobs.get(running.name.job_id)
        task = job.task(running.name.key) if job else None
        listed.add((running.name.job_id, running.name.key, running.attempt))
        if (
            job is not None
            and task is not None
            and task.copies.get(running.attempt) == worker.worker_id
        ):
            _check_older_attempt(state, job, task, running.attempt)
            continue
        if (
            job is not None
            and task is not None
            and _may_take_back(worker, job, task, running.attempt)
        ):
            state.take_back(worker, job, task)
        if (
            job is None
            or task is None
            or task.worker != worker.worker_id
            or task.attempt != running.attempt
            or not task.active
        ):
            _stop_unexpected(state, worker, job, task, running)
            continue
        task.percent, task.listed_at_s = running.percent, sent_at_s
        if task.foreign_lease and now_s >= worker.earlier_lease_until_s:
            task.foreign_lease = 0
            if job.spec.steps[task.key[1]].long_running:
                # Others end before a next owner could wait for that lease.
                state.mark_changed(job.spec.job_id)
        task.level = running.level
        step = job.spec.steps[task.key[1]]
        if step.long_running and _proves_sound_worker(worker, job, task, sent_at_s):
            worker.failing_jobs.clear()
        has_settled = sent_at_s - task.running_at_s >= SETTLED_AFTER_S
        if task.phase == Phase.RUNNING and has_settled and not task.settled:
            settle(state, (job.spec.job_id, task.key), task, "ran on")
        if running.checkpoint:
            _note_checkpoint(checkpoints, job, task, step, running.checkpoint)
        if task.phase == Phase.PLACED:
            if task.unanswered_starts:
                log_event(
                    Event.START_CONFIRMED,
                    task=str(running.name),
                    attempt=running.attempt,
                    worker=worker.worker_id,
                    epoch=state.epoch,
                    incarnation=worker.incarnation,
                    verdict="listed",
                    unanswered_tries=task.unanswered_starts,
                )
            confirm_start(state, (job.spec.job_id, task.key), task.attempt, now_s)
    for job, key, checkpoint in checkpoints.values():
        for member in job.step_tasks(key[0], key[1]):
            member.checkpoint = checkpoint
    if reply.lists_all_ends:
        # Otherwise an attempt that is not listed may have ended, even as done.
        _release_missing_attempts(state, worker, listed, sent_at_s, now_s)


def _is_outdated(worker: WorkerState, reply: Reply, sent_at_s: float) -> bool:
    """Return whether a reply may be of an incarnation before the known one.

    One that is not known is the present one, also if its time of day was set back.
    """
    if reply.incarnation > worker.incarnation:
        return False
    is_former = reply.incarnation in worker.former_incarnations
    return is_former or sent_at_s <= worker.known_since_s


def _proves_sound_worker(
    worker: WorkerState, job: Job, task: Task, sent_at_s: float
) -> bool:
    """Return whether a long-running task has been at work during a quarantine."""
    if not worker.quarantined or task.phase != Phase.RUNNING or task.percent < 100:
        return False
    is_exempt = (job.spec.job_id, task.key) in worker.exempt_tasks
    return not is_exempt and sent_at_s - task.running_at_s >= PROBE_RUN_TIME_S


def _release_missing_attempts(
    state: CellState,
    worker: WorkerState,
    listed: set[tuple[str, object, int]],
    sent_at_s: float,
    now_s: float,
) -> None:
    """Release attempts that were confirmed before the poll and are not listed."""
    for ref in list(worker.tasks):
        job, task = state.find_task(ref)
        if job is None or task is None:
            worker.free(ref, now_s)
            continue
        if task.worker != worker.worker_id:
            settle_missing_copies(state, worker, ref, listed, sent_at_s, now_s)
            continue
        if (ref[0], ref[1], task.attempt) in listed:
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
            state.release_attempt(worker, job, task, now_s, "not listed")


def _may_take_back(worker: WorkerState, job: Job, task: Task, attempt: int) -> bool:
    """Return whether a listed attempt is the newest of a task that waits.

    It was given up and runs all the same. To let it run on costs neither work nor
    another start, where no limit forbids it.
    """
    ref, step = (job.spec.job_id, task.key), job.spec.steps[task.key[1]]
    is_waiting = task.phase == Phase.WAITING and task.attempt == attempt > 0
    if not is_waiting or job.state.ended or step.gang:
        return False
    if task.copies or task.suspect or task.failed_attempt >= attempt:
        return False
    return ref not in worker.tasks and has_place(worker, ref, step)


def _check_older_attempt(state: CellState, job: Job, task: Task, attempt: int) -> None:
    """Stop a listed older attempt that is not needed, or that its step forbids.

    An earlier owner may have begun to stop it, of which the stored progress tells
    nothing.
    """
    if attempt in task.stopping_copies:
        return
    if task.phase == Phase.DONE:
        state.stop_copy(job, task, attempt, StopReason.DONE_ELSEWHERE)
    elif job.state.ended:
        state.stop_copy(job, task, attempt, StopReason.JOB_ENDED)
    elif not job.spec.steps[task.key[1]].copies:
        state.stop_copy(job, task, attempt, StopReason.EARLIER_OWNER)


def _stop_unexpected(
    state: CellState,
    worker: WorkerState,
    job: Job | None,
    task: Task | None,
    running: RunningTask,
) -> None:
    """Stop an attempt that this owner does not expect, which counts until it ends."""
    name, attempt = running.name, running.attempt
    _log_unexpected(Event.ATTEMPT_UNKNOWN, state, worker, name, attempt)
    reason = StopReason.UNKNOWN_ATTEMPT
    is_covered = (name.job_id, name.key) in worker.tasks
    if (
        job is not None
        and task is not None
        and not is_covered
        and state.keep_older_attempt(worker, job, task, attempt, reason)
    ):
        # Who sent its start, and when, is not known.
        task.unanswered_copies.add(attempt)
        return
    if not is_covered or task is None or task.attempt != attempt:
        # The place may be another attempt's, and released before this one ends.
        worker.runs_uncounted = True
    order = StopOrder(name, attempt, worker.worker_id, reason)
    state.stop_orders.append(order)


def _log_unexpected(
    event: Event,
    state: CellState,
    worker: WorkerState,
    name: TaskName,
    attempt: int,
    **fields: Any,
) -> None:
    """Log an attempt that is not the one that this owner expects on a worker."""
    job, task = state.find_task((name.job_id, name.key))
    log_event(
        event,
        task=str(name),
        attempt=attempt,
        worker=worker.worker_id,
        incarnation=worker.incarnation,
        epoch=state.epoch,
        job_state=job.state.name if job else "unknown",
        newest_attempt=task.attempt if task else None,
        newest_worker=task.worker if task else None,
        phase=task.phase.name if task else None,
        copies=list(task.copies.items()) if task else [],
        **fields,
    )


def _apply_end(
    state: CellState,
    worker: WorkerState,
    ended: EndedTask,
    now_s: float,
    checkpoints: _Checkpoints,
) -> None:
    job = state.jobs.get(ended.name.job_id)
    task = job.tasks.get(ended.name.key) if job else None
    if job is None or task is None:
        _log_ignored_end(state, worker, ended, job, task)
        return
    is_newest = task.worker == worker.worker_id and task.attempt == ended.attempt
    if is_newest and task.may_start_late:
        worker.expect_late_start((job.spec.job_id, task.key), ended.attempt, now_s)
    if ended.how == AttemptEnd.DONE and 0 < ended.attempt <= task.attempt:
        _apply_done(state, worker, job, task, ended, now_s)
        return
    if task.copies.get(ended.attempt) == worker.worker_id:
        apply_copy_failure(state, worker, job, task, ended, now_s)
        return
    if task.worker != worker.worker_id or task.attempt != ended.attempt:
        _log_ignored_end(state, worker, ended, job, task)
        return
    if not task.active:
        # A gang member that was marked done together with another member.
        _log_ignored_end(state, worker, ended, job, task)
        worker.free((job.spec.job_id, task.key), now_s)
        return
    step = job.spec.steps[task.key[1]]
    if ended.checkpoint:
        _note_checkpoint(checkpoints, job, task, step, ended.checkpoint)
    log_event(
        Event.TASK_ENDED_EARLY,
        task=str(ended.name),
        attempt=ended.attempt,
        worker=worker.worker_id,
        how=ended.how.value,
    )
    if ended.how == AttemptEnd.FAILED:
        settle(state, (job.spec.job_id, task.key), task, "failed by itself")
        # The failures of several members in one attempt of a gang count once, and all
        # members have the same.
        if task.failed_attempt < ended.attempt:
            for member in _gang_members(job, task, step):
                member.failed_attempt = ended.attempt
                member.failures += 1
        task.avoided_workers.add(worker.worker_id)
        record_failure(state, worker, job, now_s)
        task.not_before_s = now_s + FAILED_RETRY_S
    state.release_attempt(worker, job, task, now_s, ended.how.value)
    if ended.how == AttemptEnd.FAILED and not step.long_running:
        state.fail_if_attempts_exhausted(job, task)


def _log_ignored_end(
    state: CellState,
    worker: WorkerState,
    ended: EndedTask,
    job: Job | None,
    task: Task | None,
) -> None:
    """Log an end that has no effect, unless its job or task is over."""
    if job is not None and job.state.ended:
        return
    if task is not None and task.phase == Phase.DONE:
        return
    _log_unexpected(
        Event.END_IGNORED,
        state,
        worker,
        ended.name,
        ended.attempt,
        how=ended.how.value,
    )


def _apply_done(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    ended: EndedTask,
    now_s: float,
) -> None:
    """Mark a task as done by any of its attempts, and stop the others.

    The worker forgets the end once it is acknowledged, so an end without effect would
    let the task run again.
    """
    ref = (job.spec.job_id, task.key)
    is_newest = task.worker == worker.worker_id and task.attempt == ended.attempt
    if task.copies.get(ended.attempt) == worker.worker_id:
        how = ended.how.value
        state.forget_older_attempt(worker, job, task, ended.attempt, now_s, how)
        state.mark_changed(job.spec.job_id)
    if is_newest and task.active:
        log_place_freed(job, task, ended.attempt, worker, ended.how.value)
    if is_newest or task.worker != worker.worker_id:
        worker.free(ref, now_s)
    if task.phase == Phase.DONE:
        return
    if is_newest and task.active:
        worker.failing_jobs.clear()
        record_run(state, worker, job, task, now_s)
    step = job.spec.steps[task.key[1]]
    for member in _gang_members(job, task, step):
        if member.active and member.attempt > ended.attempt:
            member.retire_newest_attempt()
        job.mark_done(member, now_s)
        state.stop_copies(job, member, StopReason.DONE_ELSEWHERE)
    state.record_task_done(job, now_s)


def _gang_members(job: Job, task: Task, step: Step) -> list[Task]:
    """Return the open tasks of a task's gang, or the task alone without a gang."""
    if not step.gang:
        return [task]
    return job.step_tasks(task.key[0], task.key[1])


def _note_checkpoint(
    checkpoints: _Checkpoints, job: Job, task: Task, step: Step, checkpoint: str
) -> None:
    """Set the checkpoint of a task, or note it for all members of its gang.

    That of any member is valid for the whole gang.
    """
    if step.gang:
        checkpoints[step_ref(job, task)] = (job, task.key, checkpoint)
    else:
        task.checkpoint = checkpoint


def confirm_start(state: CellState, ref: TaskRef, attempt: int, now_s: float) -> None:
    """Record that a worker has accepted an attempt."""
    job, task = state.find_task(ref)
    if job is None or task is None or task.attempt != attempt:
        return
    if task.phase == Phase.PLACED:
        task.phase = Phase.RUNNING
        task.running_at_s, task.away_since_s = now_s, 0.0
    if job.state == JobState.QUEUED:
        job.state = JobState.RUNNING


def confirm_stop(
    state: CellState, order: StopOrder, incarnation: int, now_s: float
) -> None:
    """Record that a worker has stopped an attempt, or will reject its start.

    :param incarnation: incarnation of the worker that answered
    """
    worker = state.workers.get(order.worker_id)
    _, task = state.find_task((order.name.job_id, order.name.key))
    if worker is None or task is None or incarnation != worker.incarnation:
        return
    if task.copies.get(order.attempt) == order.worker_id:
        task.stopping_copies[order.attempt] = now_s
    elif task.attempt == order.attempt and task.worker == order.worker_id:
        task.stopped_at_s = now_s


def reject_start(
    state: CellState, placement: Placement, now_s: float, worker_pause_s: float = 0.0
) -> None:
    """Record that a worker has rejected an attempt and does not run it.

    :param worker_pause_s: time without placements on the worker, 0 for no pause
    """
    job, task = state.find_task(placement.ref)
    worker = state.workers.get(placement.worker_id)
    if worker is not None and worker_pause_s:
        worker.unhealthy_until_s = now_s + worker_pause_s
    if job is None or task is None or worker is None:
        return
    if task.attempt == placement.attempt and task.phase == Phase.PLACED:
        state.release_attempt(worker, job, task, now_s, "start rejected")
