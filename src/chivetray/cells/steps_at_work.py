"""How many tasks of a step are at work, counted once in a round of decisions."""

from __future__ import annotations

from collections.abc import Callable
from heapq import nsmallest
from itertools import islice

from chivetray.cells.orders import StepRef
from chivetray.cells.places import count_places
from chivetray.jobs.job import Job
from chivetray.jobs.model import Task


class StepsAtWork:
    """Counts of the steps that a round of decisions looks at.

    A round decides on many tasks of one step, and callers choose how many it has.

    :param is_at_work: returns whether a task was at work by the last report
    :param is_recent: returns whether that report is recent enough to prove it
    :ivar reported: steps of which newer reports were requested
    """

    def __init__(
        self, is_at_work: Callable[[Task], bool], is_recent: Callable[[Task], bool]
    ):
        self.reported: set[StepRef] = set()
        self._is_at_work, self._is_recent = is_at_work, is_recent
        self._tasks: dict[StepRef, list[Task]] = {}
        self._at_work: dict[StepRef, set[int]] = {}
        self._proven: dict[StepRef, set[int]] = {}
        self._away: dict[StepRef, list[Task]] = {}
        self._oldest: dict[StepRef, list[tuple[float, int]]] = {}
        self._places: dict[StepRef, dict[str, int]] = {}

    def tasks(self, job: Job, task: Task) -> list[Task]:
        """Return all tasks of a task's step."""
        ref = step_ref(job, task)
        if ref not in self._tasks:
            self._tasks[ref] = job.step_tasks(ref[1], ref[2])
        return self._tasks[ref]

    def count_others_away(self, job: Job, task: Task, is_proof_wanted: bool) -> int:
        """Return how many other tasks of a task's step are not at work.

        :param is_proof_wanted: whether only recent reports prove that a task is
        """
        ref = self._count(job, task)
        found = (self._proven if is_proof_wanted else self._at_work)[ref]
        return len(self._tasks[ref]) - 1 - (len(found) - (task.key[2] in found))

    def find_others_at_work(self, job: Job, task: Task) -> list[Task]:
        """Return the other tasks of a task's step that are at work."""
        ref = self._count(job, task)
        found = self._at_work[ref]
        return [o for o in self._tasks[ref] if o is not task and o.key[2] in found]

    def find_others_away(self, job: Job, task: Task, limit: int) -> list[Task]:
        """Return some of the other tasks of a task's step that are not at work."""
        away = self._away[self._count(job, task)]
        return list(islice((other for other in away if other is not task), limit))

    def find_oldest_report_s(self, job: Job, task: Task) -> float | None:
        """Return the oldest time at which another task was listed as at work.

        :return: ``None`` if no other task was at work when the step was counted
        """
        oldest = self._oldest[self._count(job, task)]
        others_s = [at_s for at_s, index in oldest if index != task.key[2]]
        return others_s[0] if others_s else None

    def count_places_of_others(self, job: Job, task: Task) -> dict[str, int]:
        """Return how many other tasks of a task's step have a place on each worker."""
        ref = step_ref(job, task)
        if ref not in self._places:
            self._places[ref] = count_places(self.tasks(job, task))
        places = dict(self._places[ref])
        for worker_id in count_places([task]):
            places[worker_id] -= 1
        return places

    def note_stopped(self, job: Job, task: Task) -> None:
        """Count a task as away that is being stopped; it keeps its place."""
        ref = step_ref(job, task)
        if task.key[2] in self._at_work.get(ref, ()):
            self._away[ref].append(task)
            self._at_work[ref].discard(task.key[2])
            self._proven[ref].discard(task.key[2])

    def _count(self, job: Job, task: Task) -> StepRef:
        """Count the tasks of a task's step, unless that is done."""
        ref = step_ref(job, task)
        if ref not in self._at_work:
            at_work: list[Task] = []
            away: list[Task] = []
            for other in self.tasks(job, task):
                (at_work if self._is_at_work(other) else away).append(other)
            self._at_work[ref] = {other.key[2] for other in at_work}
            self._proven[ref] = {o.key[2] for o in at_work if self._is_recent(o)}
            self._away[ref] = away
            # The oldest of the others is the second if the first is the task itself.
            self._oldest[ref] = nsmallest(
                2, ((o.listed_at_s, o.key[2]) for o in at_work)
            )
        return ref


def step_ref(job: Job, task: Task) -> StepRef:
    """Return the step of a task."""
    return job.spec.job_id, task.key[0], task.key[1]
