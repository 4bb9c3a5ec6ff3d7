"""Placement of waiting tasks on workers, in the order of their jobs."""

from __future__ import annotations

from chivetray.cells.advice import advised_workers
from chivetray.cells.cap_use import count_within_cap, is_held_by_cap
from chivetray.cells.gangs import place_gang
from chivetray.cells.isolation import isolate_workers, workers_for
from chivetray.cells.orders import Placement
from chivetray.cells.places import count_places
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.jobs.placement import choose_worker


def place_tasks(state: CellState, now_s: float, now_ms: int) -> list[Placement]:
    """Place waiting tasks on workers, for all jobs that may have any.

    :param now_ms: time of day in ms since 1970
    :return: new placements, whose start orders are to be sent once they are stored
    """
    workers = [
        candidate
        for candidate in state.workers.values()
        if candidate.accepts_tasks(now_s)
    ]
    if not workers:
        return []
    isolate_workers(state, workers, now_s)
    max_free_cpu_milli = max(
        worker.cpu_milli - worker.used_cpu_milli for worker in workers
    )
    max_free_mem_mb = max(worker.mem_mb - worker.used_mem_mb for worker in workers)
    placements: list[Placement] = []
    for job in _sort_jobs(state, now_s):
        remains_schedulable = job.spec.repeats > 0
        for occurrence, step_number in job.ready_steps(now_ms):
            step = job.spec.steps[step_number]
            # Most steps of a long queue fit on no worker. The largest free resources
            # show that without a check of every worker.
            if step.mem_mb > max_free_mem_mb or (
                step.cpu_milli > max_free_cpu_milli and not step.best_effort
            ):
                remains_schedulable = True
                tasks = job.step_tasks(occurrence, step_number)
                state.turns.hold_worker(job, step, tasks, workers)
                continue
            tasks = job.step_tasks(occurrence, step_number)
            if not any(t.phase == Phase.WAITING for t in tasks):
                continue
            placed = _place_step(state, job, step, tasks, workers, now_s)
            remains_schedulable = remains_schedulable or any(
                t.phase == Phase.WAITING for t in tasks
            )
            if placed:
                placements += placed
                _log_placed(state, job, step_number, placed, now_s)
                if not workers:
                    return placements
                free_cpu_milli = [w.cpu_milli - w.used_cpu_milli for w in workers]
                max_free_cpu_milli = max(free_cpu_milli)
                max_free_mem_mb = max(w.mem_mb - w.used_mem_mb for w in workers)
        if not remains_schedulable:
            state.schedulable_job_ids.discard(job.spec.job_id)
    return placements


def _log_placed(
    state: CellState, job: Job, step_number: int, placed: list[Placement], now_s: float
) -> None:
    away_since_s = min(job.tasks[p.ref[1]].away_since_s for p in placed)
    log_event(
        Event.TASK_PLACED,
        job=job.spec.job_id,
        step=step_number,
        tasks=len(placed),
        long_running=job.spec.steps[step_number].long_running,
        workers=sorted({p.worker_id for p in placed}),
        waited_s=round(now_s - job.first_seen_s, 3),
        known_s=round(now_s - job.known_since_s, 3),
        away_s=round(now_s - away_since_s, 3),
        jobs=len(state.active),
        cell=state.name,
        epoch=state.epoch,
        placed=[[*p.ref[1], p.attempt, p.worker_id, p.incarnation] for p in placed],
    )


def _sort_jobs(state: CellState, now_s: float) -> list[Job]:
    """Return the jobs that may have tasks to place, in scheduling order."""
    jobs = []
    for job_id in list(state.schedulable_job_ids):
        job = state.active.get(job_id)
        if job is None or job.state.ended:
            state.schedulable_job_ids.discard(job_id)
        elif job_id not in state.held_job_ids:
            jobs.append(job)
    return state.turns.sort(state, jobs, now_s)


def _place_step(
    state: CellState,
    job: Job,
    step: Step,
    tasks: list[Task],
    workers: list[WorkerState],
    now_s: float,
) -> list[Placement]:
    if is_held_by_cap(state, job, step, tasks, workers):
        return []
    tasks_per_worker = count_places(tasks)
    tasks_per_rack: dict[str, int] = {}
    for task in tasks:
        if task.active:
            worker = state.workers.get(task.worker)
            if worker is not None:
                tasks_per_rack[worker.rack] = tasks_per_rack.get(worker.rack, 0) + 1
    if job.spec.ticket_validity_ms:
        workers = advised_workers(state, job, tasks[0].key, step, workers, now_s)
    workers = [worker for worker in workers if worker.may_run(step, now_s)]
    job_id = job.spec.job_id
    if step.gang:
        is_suspect = any(task.suspect for task in tasks)
        workers = workers_for(state, job_id, is_suspect, workers)
        return place_gang(state, job, step, tasks, workers, now_s)
    # A long-running task that starts there would be moved again.
    awaiting = {
        worker.worker_id
        for worker in workers
        if step.long_running and worker.awaits_maintenance(now_s)
    }
    placements = []
    open_workers = workers_for(state, job_id, False, workers)
    left = sum(t.phase == Phase.WAITING for t in tasks)
    for task in tasks:
        if task.phase != Phase.WAITING or task.not_before_s > now_s:
            continue
        if state.awaits_older_attempt(task, step):
            continue
        candidates = (
            workers_for(state, job_id, True, workers) if task.suspect else open_workers
        )
        if task.copies:
            copy_workers = set(task.copies.values())
            candidates = [w for w in candidates if w.worker_id not in copy_workers]
        chosen = choose_worker(
            step,
            candidates,
            task.avoided_workers | awaiting,
            tasks_per_worker,
            tasks_per_rack,
        )
        if chosen is None:
            if task.copies or task.suspect:
                continue
            break
        if not count_within_cap(state, job, step, left):
            break
        worker = state.workers[chosen.worker_id]
        if not state.count_storable(job, worker):
            break
        left -= 1
        placements.append(state.assign(job, task, step, worker, now_s))
        tasks_per_worker[worker.worker_id] = (
            tasks_per_worker.get(worker.worker_id, 0) + 1
        )
        tasks_per_rack[worker.rack] = tasks_per_rack.get(worker.rack, 0) + 1
    return placements
