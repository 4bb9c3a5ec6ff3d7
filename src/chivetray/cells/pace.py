"""Compares the workers of a cell by their runs and avoids those in a bad condition.

An avoided worker still gets the tasks that no other has room for, and a probe now and
then, so nothing waits because of a judgement.
"""

from __future__ import annotations

from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Task
from chivetray.scheduling.run_times import RunningTask, kind_of
from chivetray.scheduling.worker_pace import (
    OVERDUE_MEDIANS,
    OVERDUE_QUANTILES,
)

# Time between two reviews of what runs.
REVIEW_INTERVAL_S = 0.25

# Workers that a cell must have for a comparison, and the part of them that is judged at
# most: when more seem to be in a bad condition, the work has changed.
MIN_COMPARED_WORKERS = 3
JUDGED_WORKERS_DIVISOR = 4


def record_run(
    state: CellState, worker: WorkerState, job: Job, task: Task, now_s: float
) -> None:
    """Learn from a task that was completed."""
    state.failure_rate.observe(False, 0)
    if not _is_measured(task):
        return
    step = job.spec.steps[task.key[1]]
    if step.long_running or step.best_effort:
        return
    run_s, queue = now_s - task.running_at_s, job.spec.queue
    kind, estimate_ms = kind_of(step, task.key[1]), step.estimate_ms
    rank = state.times.rank(queue, kind, estimate_ms, run_s)
    median_s = max(0.001, state.times.expected_s(queue, estimate_ms, kind))
    worker.pace.observe_run(job.spec.job_id, rank, run_s / median_s, now_s)
    if worker.pace.condition is None:
        state.times.record(queue, run_s, kind, estimate_ms, now_s)
    judge(state, worker, now_s)


def record_failure(
    state: CellState, worker: WorkerState, job: Job, now_s: float
) -> None:
    """Learn from a task that failed by itself."""
    if not worker.failing_jobs:
        worker.failures_before_quarantine = state.failure_rate.failures_in_a_row
    worker.record_failure(job.spec.job_id)
    worker.pace.observe_failure(job.spec.job_id, state.failure_rate.share, now_s)
    state.failure_rate.observe(True, len(worker.failing_jobs))
    judge(state, worker, now_s)


def record_start(
    state: CellState, worker: WorkerState, job_id: str, refused: bool, now_s: float
) -> None:
    """Learn from the answer to a start order."""
    worker.pace.observe_start(job_id, refused, now_s)
    judge(state, worker, now_s)


def record_call(
    state: CellState, worker: WorkerState, lost: bool, now_s: float
) -> None:
    """Learn from a poll that was answered or lost."""
    if lost:
        listed = [other for other in state.workers.values() if other.listed]
        silent = sum(other.silent_since_s > 0 for other in listed)
        if 2 * silent > len(listed):
            # The owner itself may be cut off.
            return
    worker.pace.observe_call(lost, now_s)
    judge(state, worker, now_s)


def review(state: CellState, now_s: float) -> None:
    """Regard the tasks that run, and the probes of avoided workers."""
    if now_s - state.reviewed_at_s < REVIEW_INTERVAL_S:
        return
    state.reviewed_at_s = now_s
    running: list[RunningTask] = []
    for worker in state.workers.values():
        if worker.tasks_known and not worker.silent_since_s:
            running += _review_tasks(state, worker, now_s)
        if worker.pace.condition is not None:
            worker.pace.forget_old_evidence(now_s)
            judge(state, worker, now_s)
        worker.pace.prepare_probe(now_s)
    state.times.record_running(running, now_s)


def _is_measured(task: Task) -> bool:
    """Return whether the whole run of a task's newest attempt is seen.

    One that an earlier owner placed began before it was first listed here, and one with
    a checkpoint did a part of its work before.
    """
    return bool(task.running_at_s and not task.checkpoint and not task.inherited)


def _review_tasks(
    state: CellState, worker: WorkerState, now_s: float
) -> list[RunningTask]:
    """Return the tasks of a worker that runs are compared with."""
    running: list[RunningTask] = []
    for ref, step in worker.tasks.items():
        found = state.find_newest_attempt(worker, ref)
        if found is None or step.long_running or step.best_effort:
            continue
        job, task = found
        if task.phase != Phase.RUNNING or not _is_measured(task):
            continue
        queue, kind = job.spec.queue, kind_of(step, ref[1][1])
        elapsed_s, estimate_ms = now_s - task.running_at_s, step.estimate_ms
        if worker.pace.condition is None:
            running.append(RunningTask(queue, kind, elapsed_s, estimate_ms))
        median_s = state.times.expected_s(queue, estimate_ms, kind)
        if (
            elapsed_s < OVERDUE_MEDIANS * median_s
            or task.overdue_attempt == task.attempt
        ):
            continue
        if state.times.rank(queue, kind, estimate_ms, elapsed_s) is None:
            continue
        tail_s = state.times.predict(queue, kind, 0.99, estimate_ms)
        if elapsed_s >= OVERDUE_QUANTILES * tail_s:
            task.overdue_attempt = task.attempt
            worker.pace.observe_overdue(ref[0], now_s)
            judge(state, worker, now_s)
    return running


def judge(state: CellState, worker: WorkerState, now_s: float) -> None:
    """Avoid a worker, or use it as before, as its evidence asks for."""
    before, condition = worker.pace.condition, worker.pace.find_condition()
    if condition == before:
        return
    if condition is not None and before is None and not _may_judge(state):
        return
    worker.pace.judge(condition, now_s)
    shown = condition or before
    if shown is None:
        return
    log_event(
        Event.WORKER_AVOIDED if condition else Event.WORKER_REINSTATED,
        worker=worker.worker_id,
        incarnation=worker.incarnation,
        cell=state.name,
        epoch=state.epoch,
        condition=shown.value,
        tasks=len(worker.tasks),
        **worker.pace.describe(shown),
    )


def _may_judge(state: CellState) -> bool:
    """Return whether one more worker may be avoided."""
    listed = [worker for worker in state.workers.values() if worker.listed]
    judged = sum(worker.pace.condition is not None for worker in listed)
    limit = max(1, len(listed) // JUDGED_WORKERS_DIVISOR)
    return len(listed) >= MIN_COMPARED_WORKERS and judged < limit
