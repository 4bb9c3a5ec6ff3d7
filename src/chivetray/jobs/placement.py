"""Choice of a worker for a task."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from chivetray.jobs.model import Step

# Long-running tasks of a step that are placed on a worker before the next one is used.
LONG_RUNNING_PER_WORKER = 2


class WorkerCapacity(Protocol):
    """Properties of a worker that the choice depends on."""

    worker_id: str
    rack: str
    labels: tuple[str, ...]
    cpu_milli: int
    used_cpu_milli: int

    def fits(self, step: Step) -> bool:
        """Return whether the worker has capacity for one more task of a step."""

    def avoidance(self, step: Step) -> int:
        """Return how much the worker is avoided, 0 for not, below 0 for a probe."""


def choose_worker(
    step: Step,
    workers: Iterable[WorkerCapacity],
    avoided_workers: set[str],
    step_workers: dict[str, int],
    step_racks: dict[str, int],
) -> WorkerCapacity | None:
    """Return the best worker with capacity for a task, or ``None``.

    Tasks go to the most utilised worker, so that others become idle and can leave the
    pool. Long-running tasks are spread over workers and racks first, so that the loss
    of one VM or rack stops few of them. A worker that is slow or fails more than others
    is used only if no other has capacity, but for probes.

    :param avoided_workers: workers on which an earlier attempt failed; used only if
        no other worker has capacity
    :param step_workers: number of the step's tasks on each worker
    :param step_racks: number of the step's tasks on each rack
    """
    best: WorkerCapacity | None = None
    best_key: tuple[float, ...] = ()
    for worker in workers:
        if step.label and step.label not in worker.labels:
            continue
        tasks_on_worker = step_workers.get(worker.worker_id, 0)
        if step.per_worker and tasks_on_worker >= step.per_worker:
            continue
        if not worker.fits(step):
            continue
        avoidance = (worker.worker_id in avoided_workers) + worker.avoidance(step)
        data_is_near = not step.data_rack or step.data_rack in worker.labels
        utilisation = worker.used_cpu_milli / max(1, worker.cpu_milli)
        key: tuple[float, ...]
        if step.best_effort:
            # Best-effort tasks use idle CPU time, so the least utilised worker is best.
            key = (
                avoidance,
                not data_is_near,
                tasks_on_worker,
                utilisation,
            )
        elif step.long_running:
            key = (
                avoidance,
                not data_is_near,
                tasks_on_worker // LONG_RUNNING_PER_WORKER,
                step_racks.get(worker.rack, 0),
                -utilisation,
            )
        else:
            tasks_on_rack = step_racks.get(worker.rack, 0) if step.same_rack else 0
            key = (
                avoidance,
                not data_is_near,
                -tasks_on_rack,
                -utilisation,
            )
        if best is None or key < best_key:
            best, best_key = worker, key
    return best
