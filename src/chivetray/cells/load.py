"""What a cell uses and wants."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.state import CellState
from chivetray.jobs.model import Phase

# Run time that a waiting task counts for at least: moving a VM pays for no less.
LEAST_RUN_S = 0.5


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """What runs on a worker.

    :ivar idle_ms: time since its last task ended, 0 while it has tasks
    """

    worker_id: str
    tasks: int
    used_milli: int
    idle_ms: int
    usable: bool


@dataclass(frozen=True, slots=True)
class CellLoad:
    """What a cell uses and wants, in thousandths of a core.

    :ivar waiting_milli_s: core time that the waiting tasks need
    :ivar arriving_milli: what keeps up with the jobs that arrive
    """

    used_milli: int
    waiting_milli_s: int
    arriving_milli: int
    workers: list[WorkerLoad]


def measure_load(state: CellState, now_s: float, now_ms: int) -> CellLoad:
    """Return what the cell uses and wants."""
    waiting = 0
    for job in state.active.values():
        if job.state.ended:
            continue
        for occurrence, number in job.open_steps(now_ms):
            step = job.spec.steps[number]
            tasks = job.open_tasks(occurrence, number)
            count = sum(task.phase == Phase.WAITING for task in tasks)
            if count and not step.fills:
                run_s = state.times.expected_s(job.spec.queue, step.estimate_ms)
                waiting += int(count * step.cpu_milli * max(LEAST_RUN_S, run_s))
    workers = [
        WorkerLoad(
            worker.worker_id,
            len(worker.tasks),
            worker.used_cpu_milli,
            int((now_s - worker.idle_since_s) * 1000) if not worker.tasks else 0,
            worker.usable(now_s),
        )
        for worker in state.workers.values()
        if worker.listed
    ]
    used = sum(worker.used_cpu_milli for worker in state.workers.values())
    arriving = int(state.arrivals.cores(now_s) * 1000)
    return CellLoad(used, waiting, arriving, workers)
