"""CPU usage and demand of a cell."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.cap_use import DemandLimit
from chivetray.cells.evacuation import count_at_work, has_room, is_budget_left
from chivetray.cells.isolation import count_wanted_workers
from chivetray.cells.state import CellState
from chivetray.cells.steps_at_work import StepsAtWork
from chivetray.cells.workers import WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step
from chivetray.scheduling.ordering import (
    deadline_s,
    estimate_path,
)
from chivetray.scheduling.run_times import kind_of

# Shortest run time assumed for a waiting task: for less, moving a VM is not worth it.
MIN_RUN_TIME_S = 0.5

# Largest demand that is reported. What callers estimate, times the tasks of all jobs,
# may exceed the 64 bits of a number in a message.
LOAD_LIMIT = 2**53


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Usage of one worker.

    :ivar tasks: number of its tasks
    :ivar used_milli: CPU allocated to them, in thousandths of a core
    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    :ivar usable: whether new tasks may be placed on it
    :ivar tasks_known: whether a poll by the owner has shown which tasks run on it, and
        all of them are counted
    :ivar empties_in_ms: expected time until its tasks have ended, ``None`` if one of
        them does not end
    :ivar long_running: number of its long-running tasks
    :ivar budget_used: whether no long-running task may be stopped there, since as many
        others of their steps are unavailable as allowed
    :ivar silent: whether its last call was not answered
    :ivar listed: whether the list of workers has it
    """

    worker_id: str
    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool
    tasks_known: bool
    empties_in_ms: int | None = None
    long_running: int = 0
    budget_used: bool = False
    silent: bool = False
    listed: bool = True


@dataclass(frozen=True, slots=True)
class CellLoad:
    """CPU usage and demand of a cell, in thousandths of a core.

    :ivar used_milli: CPU allocated to tasks on all workers of the cell, and CPU that is
        kept free for suspected tasks
    :ivar waiting_milli_s: CPU time that the waiting tasks of jobs are expected to need
        that can meet their objective, in thousandths of a core-second
    :ivar arriving_milli: CPU that keeps up with the rate at which jobs arrive
    :ivar workers: usage of the workers that are listed, reserved or have tasks
    :ivar required_workers: number of workers that the cell should have at least,
        whatever its demand; those that take no tasks for an unknown time included
    :ivar late_used_milli: CPU allocated to tasks of jobs whose objective has passed
    :ivar late_waiting_milli_s: the same as ``waiting_milli_s`` of all other jobs
    """

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: list[WorkerLoad]
    required_workers: int = 0
    late_used_milli: int = 0
    late_waiting_milli_s: int = 0


def measure_load(state: CellState, now_s: float, now_ms: int) -> CellLoad:
    """Return the CPU usage and demand of a cell.

    :param now_ms: time of day in ms since 1970
    """
    waiting_milli_s = {False: 0, True: 0}
    limit = DemandLimit(state)
    late_used_milli = 0
    for job in state.active.values():
        if job.state.ended:
            continue
        path_s, left_s = estimate_path(job, state.times, now_s)
        job_deadline_s = deadline_s(job, path_s)
        if job_deadline_s < now_s and not job.long_running:
            late_used_milli += sum(
                job.spec.steps[task.key[1]].cpu_milli for task in job.active_tasks()
            )
        wait_milli_s = _waiting_milli_s(state, job, limit, now_ms)
        if wait_milli_s:
            is_late = now_s + left_s > job_deadline_s and not job.long_running
            waiting_milli_s[is_late] += wait_milli_s
    steps = count_at_work(state, now_s)
    workers = [
        WorkerLoad(
            worker.worker_id,
            len(worker.tasks),
            worker.used_cpu_milli,
            int((now_s - worker.idle_since_s) * 1000) if not worker.tasks else 0,
            worker.accepts_tasks(now_s),
            worker.tasks_known and not worker.runs_uncounted,
            _empties_in_ms(state, worker, now_s),
            sum(step.long_running for step in worker.tasks.values()),
            _is_budget_used(state, worker, steps),
            bool(worker.silent_since_s),
            worker.listed,
        )
        for worker in state.workers.values()
        if worker.listed or worker.is_reserved(now_s) or worker.tasks
    ]
    used_milli = sum(worker.used_cpu_milli for worker in state.workers.values())
    used_milli += _isolation_milli(state)
    arriving_milli = int(state.arrivals.required_cores(now_s) * 1000)
    usable_count = sum(worker.usable for worker in workers)
    required_workers = min(
        usable_count + 1, _workers_for_blocked_tasks(state, now_s, now_ms)
    )
    required_workers = max(
        required_workers,
        min(usable_count + 1, _workers_for_relocation(state, now_s)),
    )
    if required_workers:
        required_workers += _count_unavailable_workers(state)
    return CellLoad(
        used_milli,
        min(LOAD_LIMIT, waiting_milli_s[False]),
        min(LOAD_LIMIT, arriving_milli),
        workers,
        required_workers,
        min(used_milli, late_used_milli),
        min(LOAD_LIMIT, waiting_milli_s[True]),
    )


def _waiting_milli_s(
    state: CellState, job: Job, limit: DemandLimit, now_ms: int
) -> int:
    """Return the CPU time that the waiting tasks of a job are expected to need.

    Tasks that no cap leaves room for do not count.
    """
    total = 0
    for occurrence, step_number in job.ready_steps(now_ms):
        step = job.spec.steps[step_number]
        tasks = job.step_tasks(occurrence, step_number)
        count = sum(task.phase == Phase.WAITING for task in tasks)
        count = limit.count_tasks(job, step, count)
        if count and not step.best_effort:
            kind = kind_of(step, step_number)
            run_time_s = state.times.mean_s(job.spec.queue, step.estimate_ms, kind)
            total += int(count * step.cpu_milli * max(MIN_RUN_TIME_S, run_time_s))
    return total


def _isolation_milli(state: CellState) -> int:
    """Return the CPU that suspected tasks keep from others, or wait for.

    Each waits for a worker of its own; at most as many more as the cell has.
    """
    listed = [worker for worker in state.workers.values() if worker.listed]
    kept_milli = sum(
        max(0, worker.cpu_milli - worker.used_cpu_milli)
        for worker in listed
        if worker.isolated_for
    )
    wanted = min(len(listed), count_wanted_workers(state))
    if not wanted:
        return kept_milli
    return kept_milli + wanted * sum(w.cpu_milli for w in listed) // len(listed)


def _empties_in_ms(state: CellState, worker: WorkerState, now_s: float) -> int | None:
    """Return when the tasks of a worker are expected to have ended."""
    ends_in_s = 0.0
    for ref, step in worker.tasks.items():
        job, task = state.find_task(ref)
        if step.long_running or job is None or task is None:
            return None
        elapsed_s = now_s - (task.running_at_s or now_s)
        kind = kind_of(step, ref[1][1])
        left_s = state.times.remaining_s(
            job.spec.queue, kind, step.estimate_ms, elapsed_s
        )
        ends_in_s = max(ends_in_s, left_s)
    return int(ends_in_s * 1000)


def _is_budget_used(state: CellState, worker: WorkerState, steps: StepsAtWork) -> bool:
    """Return whether no long-running task of a worker may be stopped now."""
    is_lasting = False
    for ref, step in worker.tasks.items():
        job, task = state.find_task(ref)
        if not step.long_running or job is None or task is None:
            continue
        if is_budget_left(job, task, step, steps):
            return False
        is_lasting = True
    return is_lasting


def _count_unavailable_workers(state: CellState) -> int:
    """Return how many listed workers take no tasks, for an unknown time."""
    return sum(
        worker.listed
        and bool(worker.silent_since_s or worker.quarantined or worker.draining)
        for worker in state.workers.values()
    )


def _workers_for_blocked_tasks(state: CellState, now_s: float, now_ms: int) -> int:
    """Return how many workers suffice for long-running tasks that fit on none now.

    Such a task may lack memory, or workers without other tasks of its step, while the
    CPU demand of the cell is low.
    """
    required = 0
    for job in state.active.values():
        if not job.long_running or job.state.ended:
            continue
        for occurrence, step_number in job.ready_steps(now_ms):
            step = job.spec.steps[step_number]
            waiting = [
                task
                for task in job.step_tasks(occurrence, step_number)
                if task.phase == Phase.WAITING
            ]
            if not DemandLimit(state).count_tasks(job, step, len(waiting)):
                continue
            if step.best_effort or not waiting:
                continue
            if not has_room(state, job, waiting[0], now_s):
                required = max(required, _workers_for_step(state, step))
    return required


def _workers_for_relocation(state: CellState, now_s: float) -> int:
    """Return how many workers suffice for long-running tasks that cannot be moved now.

    They are on VMs that await maintenance, and no other worker has room. Idle VMs leave
    a pool, so that this happens while its demand is low.
    """
    required = awaiting_count = 0
    seen_steps = set()
    for worker in state.workers.values():
        if not worker.awaits_maintenance(now_s) or worker.silent_since_s:
            continue
        awaiting_count += 1
        for ref, step in worker.tasks.items():
            if not step.long_running or step.best_effort or step.gang:
                continue
            step_ref = (ref[0], *ref[1][:2])
            job, task = state.find_task(ref)
            if job is None or task is None or task.phase != Phase.RUNNING:
                continue
            if step_ref in seen_steps:
                continue
            seen_steps.add(step_ref)
            if not has_room(state, job, task, now_s, stays_up=True):
                required = max(required, _workers_for_step(state, step))
    return required + awaiting_count if required else 0


def _workers_for_step(state: CellState, step: Step) -> int:
    """Return how many workers like those of the cell can run all tasks of a step."""
    tasks_per_worker = [
        int(worker.mem_mb / max(1, step.mem_mb))
        for worker in state.workers.values()
        if worker.listed and worker.fits_when_empty(step)
    ]
    if not tasks_per_worker:
        return 0
    most = max(1, max(tasks_per_worker))
    if step.per_worker:
        most = min(most, step.per_worker)
    # One more, since tasks of other jobs take room too.
    return -(-step.count // most) + 1
