"""Speculative second attempts of tasks whose steps allow copies."""

from __future__ import annotations

from chivetray.cells.orders import StopOrder, StopReason
from chivetray.cells.state import CellState
from chivetray.cells.timing import UNANSWERED_STOP_PAUSE_S
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import STARTED_PHASES, Phase, Step, Task
from chivetray.platform.workers import AttemptEnd, EndedTask, TaskName
from chivetray.scheduling.run_times import kind_of
from chivetray.scheduling.worker_pace import Condition

# Time without an answer from a worker after which its tasks that may run twice are
# started elsewhere as well: longer than one lost call, much shorter than a lease.
COPY_AFTER_SILENCE_S = 0.5

# Multiple of the expected run time after which such a task is started elsewhere as
# well, and the shortest run time for which that is done.
STRAGGLER_RUN_TIME_FACTOR = 3.0
STRAGGLER_MIN_RUN_TIME_S = 1.0

# The same for a task on a worker that is judged to be slow, hanging or silent.
JUDGED_RUN_TIME_FACTOR = 1.5
JUDGED_MIN_RUN_TIME_S = 0.3

CONDITIONS_THAT_DELAY = (Condition.SLOW, Condition.HANGING, Condition.SILENT)

# Rank of an elapsed time from which the known runs do not tell what is left.
BEYOND_KNOWN_RANK = 0.995

# Gain, as a multiple of the expected time of the copy, from which it pays off, and the
# time that its placement and its start take.
COPY_GAIN = 1.2
COPY_OVERHEAD_S = 0.1

# Part of the started tasks that may have copies since they run for long, and the number
# of copies that is always allowed. When all tasks of a cell take longer, copies would
# add to what slows them down.
COPIED_TASKS_DIVISOR = 10
MIN_COPIED_TASKS = 2


def copy_tasks(state: CellState, now_s: float) -> None:
    """Schedule a second attempt of tasks whose first one is late or may be lost.

    These are tasks on a silent worker, and tasks that run much longer than others of
    their queue. The older attempt goes on, and the first one to be done counts.
    """
    spare = _count_spare_copies(state)
    for worker in state.workers.values():
        silent_since_s = worker.silent_since_s
        is_silent = silent_since_s and now_s - silent_since_s >= COPY_AFTER_SILENCE_S
        for ref, step in worker.tasks.items():
            if not step.copies or step.gang or step.long_running:
                continue
            found = state.find_newest_attempt(worker, ref)
            if found is None:
                continue
            job, task = found
            if task.phase not in STARTED_PHASES or task.copies or job.state.ended:
                continue
            if task.suspect:
                # A copy might crash a second worker before the first is known to.
                continue
            is_straggler = spare > 0 and _is_straggler(
                state, worker, job, task, step, now_s
            )
            if is_silent or is_straggler:
                spare -= not is_silent
                task.avoided_workers.add(task.worker)
                task.retire_newest_attempt()
                state.mark_changed(ref[0])
                log_event(
                    Event.TASK_COPIED,
                    task=str(TaskName(*ref)),
                    attempt=task.attempt,
                    worker=worker.worker_id,
                    silent=bool(is_silent),
                    elapsed_s=round(now_s - (task.running_at_s or now_s), 3),
                )


def _count_spare_copies(state: CellState) -> int:
    """Return how many more tasks may be copied since they run for long."""
    started = copied = 0
    for worker in state.workers.values():
        for job_id, key in worker.tasks:
            started += 1
            _, task = state.find_task((job_id, key))
            copied += task is not None and worker.worker_id in task.copies.values()
    return max(MIN_COPIED_TASKS, started // COPIED_TASKS_DIVISOR) - copied


def _is_straggler(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    step: Step,
    now_s: float,
) -> bool:
    """Return whether a copy is expected to end clearly before a running task."""
    if task.phase != Phase.RUNNING or not task.running_at_s:
        return False
    queue, kind = job.spec.queue, kind_of(step, task.key[1])
    elapsed_s = now_s - task.running_at_s
    expected_s = state.times.expected_s(queue, step.estimate_ms, kind)
    if worker.pace.condition in CONDITIONS_THAT_DELAY:
        limit_s = max(JUDGED_MIN_RUN_TIME_S, JUDGED_RUN_TIME_FACTOR * expected_s)
        return elapsed_s > limit_s
    limit_s = max(STRAGGLER_MIN_RUN_TIME_S, STRAGGLER_RUN_TIME_FACTOR * expected_s)
    if elapsed_s <= limit_s:
        return False
    rank = state.times.rank(queue, kind, step.estimate_ms, elapsed_s)
    if rank is None or rank >= BEYOND_KNOWN_RANK:
        return True
    left_s = state.times.remaining_s(queue, kind, step.estimate_ms, elapsed_s)
    return left_s > COPY_GAIN * (expected_s + COPY_OVERHEAD_S)


def apply_copy_failure(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    ended: EndedTask,
    now_s: float,
) -> None:
    """Apply the end of an older attempt that is not done."""
    how = ended.how.value
    state.forget_older_attempt(worker, job, task, ended.attempt, now_s, how)
    if task.worker != worker.worker_id:
        worker.free((job.spec.job_id, task.key), now_s)
    state.mark_changed(job.spec.job_id)
    if ended.how == AttemptEnd.FAILED:
        task.failures += 1
        if not job.spec.steps[task.key[1]].long_running:
            state.fail_if_attempts_exhausted(job, task)


def settle_missing_copies(
    state: CellState,
    worker: WorkerState,
    ref: TaskRef,
    listed: set[tuple[str, object, int]],
    sent_at_s: float,
    now_s: float,
) -> None:
    """Stop the older attempts that a worker does not list, then forget them.

    A delayed start order may still be carried out, until a stop was answered: the
    worker then rejects that start for good.
    """
    job, task = state.find_task(ref)
    if job is None or task is None:
        return
    attempts = [a for a, w in task.copies.items() if w == worker.worker_id]
    if any((ref[0], ref[1], attempt) in listed for attempt in attempts):
        step = job.spec.steps[ref[1][1]]
        if worker.tasks.get(ref) != step:
            # It has begun after all, and may crash its worker.
            task.settled_copies.difference_update(attempts)
        worker.allocate(ref, step)
        return
    for attempt in attempts:
        answered_at_s = task.stopping_copies.get(attempt)
        if answered_at_s is None:
            state.stop_copy(job, task, attempt, StopReason.VANISHED_COPY)
            worker.pause(now_s + UNANSWERED_STOP_PAUSE_S)
        elif 0 < answered_at_s < sent_at_s:
            reason = "not listed after its stop"
            state.forget_older_attempt(worker, job, task, attempt, now_s, reason)
            state.mark_changed(ref[0])
    if worker.worker_id in task.copies.values():
        worker.suspend(ref)
    else:
        worker.free(ref, now_s)


def resend_copy_stops(state: CellState, worker: WorkerState, now_s: float) -> None:
    """Queue the stops of older attempts again that a worker has not answered."""
    for ref in worker.tasks:
        _, task = state.find_task(ref)
        if task is None:
            continue
        for attempt, answered_at_s in task.stopping_copies.items():
            if task.copies[attempt] == worker.worker_id and not answered_at_s:
                name, reason = TaskName(*ref), StopReason.VANISHED_COPY
                order = StopOrder(name, attempt, worker.worker_id, reason)
                state.stop_orders.append(order)
                worker.pause(now_s + UNANSWERED_STOP_PAUSE_S)
