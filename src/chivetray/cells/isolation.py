"""Workers that are kept free for suspected tasks.

A suspected task starts only where everything else has settled, and nothing else is
placed there until it has settled, too. Tasks of one job may share such a worker, since
a culprit among them ends them all.
"""

from __future__ import annotations

from collections.abc import Sequence

from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.jobs.suspicion import SETTLED_AFTER_S

# Share of the workers that are kept free at most, so that other tasks run meanwhile.
MAX_ISOLATED_SHARE = 0.5

# Time for which a worker is kept free without a suspected task on it.
PATIENCE_S = 3.0

# Shortest wait of a poll of such a worker.
SHORTEST_WAIT_S = 0.1

# Time after which a worker that was kept free in vain is chosen like any other.
RETRY_AFTER_S = 10.0


def isolate_workers(
    state: CellState, workers: Sequence[WorkerState], now_s: float
) -> None:
    """Keep workers free for the suspected tasks that wait, and release the others.

    :param workers: workers that accept tasks
    """
    if not state.suspect_job_ids and not state.isolated_worker_ids:
        return
    waiting = _find_waiting(state)
    _release_workers(state, waiting, workers, now_s)
    is_shared = state.schedulable_job_ids - state.suspect_job_ids
    limit = (
        max(1, int(len(workers) * MAX_ISOLATED_SHARE)) if is_shared else len(workers)
    )
    for job, tasks in waiting:
        step = job.spec.steps[tasks[0].key[1]]
        if len(state.isolated_worker_ids) >= (len(workers) if step.gang else limit):
            continue
        own = [w for w in state.workers.values() if w.isolated_for == job.spec.job_id]
        needs_more = step.gang and all(is_quiet(state, worker) for worker in own)
        if own and not needs_more:
            continue
        chosen = _choose(state, job, step, tasks[0], workers, now_s)
        if chosen is None:
            continue
        chosen.isolated_for, chosen.isolated_since_s = job.spec.job_id, now_s
        state.isolated_worker_ids.add(chosen.worker_id)
        log_event(
            Event.WORKER_ISOLATED,
            worker=chosen.worker_id,
            job=job.spec.job_id,
            tasks=len(chosen.tasks),
            isolated=len(state.isolated_worker_ids),
            cell=state.name,
            epoch=state.epoch,
        )


def _find_waiting(state: CellState) -> list[tuple[Job, list[Task]]]:
    """Return the jobs with suspected tasks that wait, and these tasks.

    Those that began most recently before the crash come first: they are the likeliest
    culprits, and the others are cleared with the proof.
    """
    found = []
    for job_id in list(state.suspect_job_ids):
        job = state.active.get(job_id)
        suspects = (
            [task for task in job.tasks.values() if task.suspect]
            if job is not None and not job.state.ended
            else []
        )
        suspects = [task for task in suspects if task.phase != Phase.DONE]
        if job is None or not suspects:
            state.suspect_job_ids.discard(job_id)
            continue
        waiting = [task for task in suspects if task.phase == Phase.WAITING]
        if waiting:
            found.append((job, waiting))
    found.sort(
        key=lambda item: (
            min(task.age_at_crash_s for task in item[1]),
            item[0].first_seen_s,
            item[0].spec.job_id,
        )
    )
    return found


def count_wanted_workers(state: CellState) -> int:
    """Return the number of workers that suspected tasks wait for."""
    if not state.suspect_job_ids:
        return 0
    served = {w.isolated_for for w in state.workers.values() if w.isolated_for}
    return sum(job.spec.job_id not in served for job, _ in _find_waiting(state))


def _release_workers(
    state: CellState,
    waiting: list[tuple[Job, list[Task]]],
    workers: Sequence[WorkerState],
    now_s: float,
) -> None:
    waiting_job_ids = {job.spec.job_id for job, _ in waiting}
    accepting_ids = {worker.worker_id for worker in workers}
    for worker_id in list(state.isolated_worker_ids):
        worker = state.workers.get(worker_id)
        if worker is not None:
            is_patient = now_s - worker.isolated_since_s < PATIENCE_S
            is_wanted = worker.isolated_for in waiting_job_ids and is_patient
            if has_suspect(state, worker) or (is_wanted and worker_id in accepting_ids):
                continue
            worker.isolated_for = ""
        state.isolated_worker_ids.discard(worker_id)


def has_suspect(state: CellState, worker: WorkerState) -> bool:
    """Return whether a suspected task may run on a worker that is kept free for it."""
    for ref in worker.tasks:
        found = state.find_newest_attempt(worker, ref)
        if found is not None and found[1].isolated and found[1].suspect:
            return True
    return False


def _choose(
    state: CellState,
    job: Job,
    step: Step,
    task: Task,
    workers: Sequence[WorkerState],
    now_s: float,
) -> WorkerState | None:
    """Return the worker on which a suspected task may start soonest.

    Workers with long-running tasks come last, since a crash would end these as well.
    """
    best, best_key = None, (0.0, 0.0, 0.0, 0.0)
    for worker in workers:
        if worker.isolated_for or worker.quarantined:
            continue
        if worker.worker_id in task.copies.values():
            continue
        if not _fits_beside_long_running(worker, step):
            continue
        if not worker.may_run(step, now_s):
            continue
        was_tried = (
            worker.isolated_since_s > 0
            and now_s - worker.isolated_since_s < RETRY_AFTER_S
        )
        key = (
            float(was_tried),
            float(sum(held.long_running for held in worker.tasks.values())),
            float(count_unsettled(state, worker)),
            float(worker.used_cpu_milli),
        )
        if best is None or key < best_key:
            best, best_key = worker, key
    return best


def _fits_beside_long_running(worker: WorkerState, step: Step) -> bool:
    """Return whether a task fits once only the long-running tasks are left."""
    staying = [held for held in worker.tasks.values() if held.long_running]
    cpu_milli = sum(0 if held.best_effort else held.cpu_milli for held in staying)
    mem_mb = sum(held.mem_mb for held in staying)
    gpu = sum(held.gpu for held in staying)
    return worker.fits_when_empty(step) and (
        (step.best_effort or cpu_milli + step.cpu_milli <= worker.cpu_milli)
        and mem_mb + step.mem_mb <= worker.mem_mb
        and gpu + step.gpu <= worker.gpu
    )


def count_unsettled(state: CellState, worker: WorkerState) -> int:
    """Return the number of tasks on a worker that could still crash it."""
    count = 0
    for ref in worker.tasks:
        _, task = state.find_task(ref)
        if task is None:
            continue
        is_done = task.phase == Phase.DONE
        if task.worker == worker.worker_id:
            is_settled = task.settled or is_done
        else:
            # An older attempt of a done task runs on while it is being stopped.
            copies = [a for a, w in task.copies.items() if w == worker.worker_id]
            is_settled = task.settled_copies.issuperset(copies)
        count += not is_settled
    return count


def settling_time_ms(state: CellState, worker: WorkerState, now_s: float) -> int:
    """Return the time until the next task on a worker may be known to have settled.

    A poll returns after it, and the reply to the next one shows whether the task runs.
    """
    left_s = [
        task.running_at_s + SETTLED_AFTER_S - now_s
        for ref in worker.tasks
        for _, task in [state.find_task(ref)]
        if task is not None and task.phase == Phase.RUNNING and not task.settled
    ]
    return int(1000 * max(SHORTEST_WAIT_S, min(left_s, default=SHORTEST_WAIT_S)))


def is_quiet(state: CellState, worker: WorkerState) -> bool:
    """Return whether everything on a worker but the suspects has settled."""
    own = 0
    for ref in worker.tasks:
        found = state.find_newest_attempt(worker, ref)
        if found is None or found[0].spec.job_id != worker.isolated_for:
            continue
        own += found[1].isolated and not found[1].settled
    return count_unsettled(state, worker) == own


def workers_for(
    state: CellState, job_id: str, is_suspect: bool, workers: list[WorkerState]
) -> list[WorkerState]:
    """Return those of some workers on which a task of a job may start.

    :param is_suspect: whether the task is suspected
    """
    if is_suspect:
        return [w for w in workers if w.isolated_for == job_id and is_quiet(state, w)]
    if not state.isolated_worker_ids:
        return workers
    return [worker for worker in workers if not worker.isolated_for]
