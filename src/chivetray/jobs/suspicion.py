"""Suspicion of tasks that may have crashed their workers.

A worker runs many tasks, so its crash shows only that one of them may be to blame: one
that had not yet settled there. All of these become suspects and next run in isolation,
on workers where everything else has settled. A crash there leaves no doubt about whose
fault it was, unless the worker failed by itself just then; so it takes two.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from chivetray.jobs.model import Task, TaskKey

# Run time after which an attempt has settled: it is not to blame for later crashes of
# its worker. A task that crashes workers does so shortly after its start.
SETTLED_AFTER_S = 1.0

# Crashes under a task, and those of them in isolation, after which it is given up. The
# platform allows two further starts after the third crash; a crash that is seen late
# or by nobody may use them up.
CRASHES_LIMIT = 3
LONE_CRASHES_LIMIT = 2

# Crashes after which a task is a suspect even if each may have had another cause.
UNEXPLAINED_CRASHES_LIMIT = 2


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt that may have run on a worker when it crashed.

    :ivar settled: whether it had run there for long enough not to be to blame
    :ivar isolated: whether it was placed where everything else had settled
    """

    job_id: str
    task: Task
    attempt: int
    settled: bool
    isolated: bool

    @property
    def ref(self) -> tuple[str, TaskKey]:
        """Job and key of the task."""
        return self.job_id, self.task.key

    @property
    def is_blamed(self) -> bool:
        """Whether it may have caused the crash; settled elsewhere counts as well."""
        return not self.settled and not self.task.settled


def blame(attempts: Sequence[LostAttempt], has_common_cause: bool) -> list[LostAttempt]:
    """Count a crash for each task that may have caused it, and return these attempts.

    :param has_common_cause: whether other workers failed at the same time, so that a
        cause outside of the worker is likely
    """
    blamed = [lost for lost in attempts if lost.is_blamed]
    isolated = [lost for lost in blamed if lost.isolated]
    # The tasks that are isolated together belong to one job.
    blamed = isolated or blamed
    for lost in blamed:
        task = lost.task
        task.crashes += 1
        task.lone_crashes += lost.isolated
        if (
            lost.isolated
            or not has_common_cause
            or task.crashes >= UNEXPLAINED_CRASHES_LIMIT
        ):
            task.suspect = True
    return blamed


def find_culprits(blamed: Iterable[LostAttempt]) -> list[LostAttempt]:
    """Return the attempts whose tasks are to be given up."""
    return [
        lost
        for lost in blamed
        if lost.task.crashes >= CRASHES_LIMIT
        and lost.task.lone_crashes >= LONE_CRASHES_LIMIT
    ]


def clear(task: Task) -> bool:
    """Forget the crashes under a task; return whether any were counted."""
    if not task.crashes and not task.suspect:
        return False
    task.crashes = task.lone_crashes = 0
    task.suspect, task.age_at_crash_s = False, math.inf
    return True


def clear_explained(others: Iterable[LostAttempt]) -> list[LostAttempt]:
    """Clear tasks of whose only crash another task is to blame; return their attempts.

    The crash stays counted, so that a wrong conclusion costs one more crash at most.
    """
    cleared = [
        lost
        for lost in others
        if lost.task.suspect and lost.task.crashes == 1 and not lost.task.lone_crashes
    ]
    for lost in cleared:
        lost.task.suspect = False
    return cleared
