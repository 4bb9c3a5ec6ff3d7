"""Second runs of tasks whose steps allow them."""

from __future__ import annotations

from chivetray.cells.orders import StopOrder
from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef, WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import STARTED, Phase, Step, Task
from chivetray.platform.workers import EndedTask, How, TaskName

# Silence of a worker after which a task that may run twice starts elsewhere as well:
# longer than one lost call, much shorter than a lease.
COPY_AFTER_SILENCE_S = 0.5

# Run time, against the expected one, after which such a task starts elsewhere, and
# the least time for it.
COPY_AFTER_SHARE = 3.0
COPY_AFTER_LEAST_S = 1.0


def copy_tasks(state: CellState, now_s: float) -> None:
    """Let tasks run a second time elsewhere where the first run is in doubt.

    That is on a worker that is silent, and where a run takes much longer than
    others of its queue. The older run goes on, and the first end counts.
    """
    for worker in state.workers.values():
        silent = worker.silent_since_s
        is_silent = silent and now_s - silent >= COPY_AFTER_SILENCE_S
        for ref, step in worker.tasks.items():
            if not step.copies or step.gang or step.long_running:
                continue
            found = state.newest_run(worker, ref)
            if found is None:
                continue
            job, task = found
            if task.phase not in STARTED or task.copies or job.state.ended:
                continue
            if is_silent or _takes_long(state, job, task, step, now_s):
                task.copies[task.attempt] = task.worker
                task.avoid.add(task.worker)
                task.phase, task.worker = Phase.WAITING, ""
                state.mark_changed(ref[0])
                log_event(
                    Event.TASK_COPIED,
                    task=str(TaskName(*ref)),
                    attempt=task.attempt,
                    worker=worker.worker_id,
                    silent=bool(is_silent),
                )


def _takes_long(
    state: CellState, job: Job, task: Task, step: Step, now_s: float
) -> bool:
    if task.phase != Phase.RUNNING or not task.running_at_s:
        return False
    expected_s = state.times.expected_s(job.spec.queue, step.estimate_ms)
    limit_s = max(COPY_AFTER_LEAST_S, COPY_AFTER_SHARE * expected_s)
    return now_s - task.running_at_s > limit_s


def apply_copy_end(
    state: CellState,
    worker: WorkerState,
    job: Job,
    task: Task,
    ended: EndedTask,
    now_s: float,
) -> None:
    """Take the end of an older run beside which a newer one may be at work."""
    del task.copies[ended.attempt]
    if task.worker != worker.worker_id:
        worker.free((job.spec.job_id, task.key), now_s)
    state.mark_changed(job.spec.job_id)
    if ended.how == How.DONE and task.phase != Phase.DONE:
        if task.active:
            name = TaskName(job.spec.job_id, task.key)
            state.stops.append(StopOrder(name, task.attempt, task.worker))
        job.mark_done(task)
        state.stop_copies(job, task)
        state.note_done(job, now_s)
    elif ended.how == How.FAILED:
        task.failures += 1
        state.check_attempts(job, task)


def find_vanished_copy(
    state: CellState,
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
        state.stops.append(StopOrder(name, attempt, worker.worker_id))
    state.free_older_attempts(worker, ref, now_s)
