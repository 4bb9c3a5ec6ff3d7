"""Choice of the worker for a task."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from chivetray.jobs.model import Step

# Long-running tasks of a step that share a worker before the next one is used.
LONG_RUNNING_TOGETHER = 2


class Room(Protocol):
    """What a choice needs to know of a worker."""

    worker_id: str
    rack: str
    labels: tuple[str, ...]
    cpu_milli: int
    used_cpu_milli: int

    def fits(self, step: Step) -> bool:
        """Return whether one more task of the step has room."""


def choose_worker(
    step: Step,
    rooms: Iterable[Room],
    avoid: set[str],
    step_workers: dict[str, int],
    step_racks: dict[str, int],
) -> Room | None:
    """Return the best worker with room for a task, or ``None``.

    Tasks go to the fullest worker, so that others fall idle and can leave the pool.
    Long-running ones are spread as well, so that one VM or rack takes few.

    :param avoid: workers that an earlier attempt failed on; used only if no other
        has room
    :param step_workers: tasks of the step on each worker
    :param step_racks: tasks of the step on each rack
    """
    best: Room | None = None
    best_key: tuple[float, ...] = ()
    for room in rooms:
        if step.label and step.label not in room.labels:
            continue
        there = step_workers.get(room.worker_id, 0)
        if step.per_worker and there >= step.per_worker:
            continue
        if not room.fits(step):
            continue
        near = not step.data_rack or step.data_rack in room.labels
        load = room.used_cpu_milli / max(1, room.cpu_milli)
        key: tuple[float, ...]
        if step.fills:
            # They share what others leave, so the emptiest worker comes first.
            key = (room.worker_id in avoid, not near, there, load)
        elif step.long_running:
            key = (
                room.worker_id in avoid,
                not near,
                there // LONG_RUNNING_TOGETHER,
                step_racks.get(room.rack, 0),
                -load,
            )
        else:
            together = step_racks.get(room.rack, 0) if step.same_rack else 0
            key = (room.worker_id in avoid, not near, -together, -load)
        if best is None or key < best_key:
            best, best_key = room, key
    return best
