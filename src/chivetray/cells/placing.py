"""Choice of tasks and workers, in the order of the jobs."""

from __future__ import annotations

from chivetray.cells.advice import advised_workers
from chivetray.cells.gangs import place_gang
from chivetray.cells.orders import Placement
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.jobs.ordering import order_key
from chivetray.jobs.placement import choose_worker

# Time for which the place of a job in the order holds, unless a step is done.
ORDER_LIFETIME_S = 0.3


def place(state: CellState, now_s: float, now_ms: int) -> list[Placement]:
    """Choose workers for the tasks whose turn has come.

    :param now_ms: time of day in ms since 1970
    """
    rooms = [w for w in state.workers.values() if w.usable(now_s)]
    if not rooms:
        return []
    most_cpu = max(room.cpu_milli - room.used_cpu_milli for room in rooms)
    most_mem = max(room.mem_mb - room.used_mem_mb for room in rooms)
    placements: list[Placement] = []
    for job in _in_order(state, now_s):
        waits = job.spec.repeats > 0
        for occurrence, number in job.open_steps(now_ms):
            step = job.spec.steps[number]
            # Most steps of a long queue have no room; this tells without a look
            # at every worker.
            if step.mem_mb > most_mem or (step.cpu_milli > most_cpu and not step.fills):
                waits = True
                continue
            tasks = job.open_tasks(occurrence, number)
            if not any(t.phase == Phase.WAITING for t in tasks):
                continue
            placed = _place_step(state, job, step, tasks, rooms, now_s)
            waits = waits or any(t.phase == Phase.WAITING for t in tasks)
            if placed:
                placements += placed
                _log_placed(state, job, number, placed, now_s)
                if not rooms:
                    return placements
                free = [r.cpu_milli - r.used_cpu_milli for r in rooms]
                most_cpu = max(free)
                most_mem = max(r.mem_mb - r.used_mem_mb for r in rooms)
        if not waits:
            state.schedulable_job_ids.discard(job.spec.job_id)
    return placements


def _log_placed(
    state: CellState, job: Job, number: int, placed: list[Placement], now_s: float
) -> None:
    log_event(
        Event.TASK_PLACED,
        job=job.spec.job_id,
        step=number,
        tasks=len(placed),
        workers=sorted({p.worker_id for p in placed}),
        waited_s=round(now_s - job.first_seen_s, 3),
        jobs=len(state.active),
        cell=state.name,
    )


def _in_order(state: CellState, now_s: float) -> list[Job]:
    """Return the jobs that have not ended, those to be served first first."""
    keyed = []
    for job_id in list(state.schedulable_job_ids):
        job = state.active.get(job_id)
        if job is None or job.state.ended:
            state.schedulable_job_ids.discard(job_id)
            continue
        done = len(job.done_steps)
        known = state.cached_order_keys.get(job_id)
        if known is None or known[0] < now_s or known[1] != done:
            size = state.mean_job_cpu_milli.get(job.spec.queue, 0.0)
            key = order_key(job, state.times, now_s, size)
            known = state.cached_order_keys[job_id] = (
                now_s + ORDER_LIFETIME_S,
                done,
                key,
            )
        keyed.append((known[2], job_id, job))
    keyed.sort(key=lambda item: item[:2])
    return [job for _, _, job in keyed]


def _place_step(
    state: CellState,
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
            worker = state.workers.get(task.worker)
            on_workers[task.worker] = on_workers.get(task.worker, 0) + 1
            if worker is not None:
                on_racks[worker.rack] = on_racks.get(worker.rack, 0) + 1
    if job.spec.advice_ms:
        rooms = advised_workers(state, job, tasks[0].key, step, rooms, now_s)
    if step.gang:
        return place_gang(state, job, step, tasks, rooms, now_s)
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
        worker = state.workers[room.worker_id]
        placements.append(state.assign(job, task, step, worker, now_s))
        on_workers[worker.worker_id] = on_workers.get(worker.worker_id, 0) + 1
        on_racks[worker.rack] = on_racks.get(worker.rack, 0) + 1
        if worker.quarantined:
            worker.probed_at_s = now_s
            rooms.remove(worker)
    return placements
