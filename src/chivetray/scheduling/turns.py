"""Turns of work that a strict order by deadline and priority would never serve.

While more work arrives that can be on time than a cell can do, a strict order starves
two kinds: work that is late, and work of a low priority or of large jobs. Both are owed
a part of the capacity. What they are owed is counted in core-seconds of the work that
is started, so that it does not depend on how often tasks are placed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from chivetray.organisations.model import Resources
from chivetray.scheduling.ordering import LATE, ON_TIME, OrderKey

# Part of the capacity that overdue work gets before work that can be on time. It earns
# nothing any more, so the part is small; it only bounds the wait of every job.
OVERDUE_SHARE = 0.05

# Age from which late work counts as overdue. Peaks last some seconds; late work of most
# of them is done in the gap behind the peak and takes nothing from work on time.
OVERDUE_AGE_S = 10.0

# Least part of its submitted work that a group gets, relative to that of all others.
# The requirement is half of the rate; the rest allows for what is in progress.
MIN_RELATIVE_RATE = 0.6

# Time after which submitted and started work counts for a part of 1/e.
RATE_MEMORY_S = 10.0

# A job is large if its tasks request more CPU than this multiple of the mean job's.
# Estimated run times do not count: they are off by up to a factor of 0.9, and jobs with
# high estimates got most of the turns in the first seconds of a queue.
LARGE_JOB_RATIO = 1.5

# Weight of the newest job in the mean size of the cell's jobs.
MEAN_LEARNING_RATE = 0.05

# Priorities from this one on are counted together, which bounds the groups.
LAST_PRIORITY = 7

# Priority, and whether the job is large.
Group = tuple[int, bool]


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that may have tasks to place.

    :ivar first_seen_s: time at which it was accepted
    :ivar left_core_s: expected core-seconds of its unfinished tasks
    :ivar need: what its largest unfinished step occupies
    """

    job_id: str
    key: OrderKey
    group: Group
    first_seen_s: float
    left_core_s: float
    organisation: str = ""
    need: Resources = Resources()


@dataclass(slots=True)
class _Rate:
    submitted_core_s: float = 0.0
    started_core_s: float = 0.0


@dataclass(slots=True)
class TurnMeter:
    """Counts the work that is submitted and started, and who is owed a turn.

    :ivar overdue_credit_core_s: work that overdue jobs may start before others
    :ivar granted: ids of the jobs that have a turn, in the order in which they got it
    """

    overdue_credit_core_s: float = 0.0
    granted: dict[str, None] = field(default_factory=dict)
    _rates: dict[Group, _Rate] = field(default_factory=dict)
    _mean_milli: float = 0.0
    _decayed_at_s: float = 0.0
    _credited_at_s: float | None = None

    def group_of(self, priority: int, size_milli: int) -> Group:
        """Return the group of a job.

        :param size_milli: CPU that its tasks request, in thousandths of a core
        """
        is_large = size_milli > LARGE_JOB_RATIO * self._mean_milli > 0
        return min(LAST_PRIORITY, priority), is_large

    def record_submitted(
        self, priority: int, size_milli: int, work_core_s: float, now_s: float
    ) -> Group:
        """Record a job that has just arrived; return its group."""
        mean_milli = self._mean_milli or size_milli
        group = self.group_of(priority, size_milli)
        self._mean_milli = mean_milli + MEAN_LEARNING_RATE * (size_milli - mean_milli)
        self._decay(now_s)
        self._rates.setdefault(group, _Rate()).submitted_core_s += work_core_s
        return group

    def record_started(
        self, group: Group, work_core_s: float, is_overdue: bool, now_s: float
    ) -> None:
        """Record work that was placed on a worker."""
        self._decay(now_s)
        if group in self._rates:
            self._rates[group].started_core_s += work_core_s
        if is_overdue:
            self.overdue_credit_core_s -= work_core_s

    def owed_core_s(self, group: Group, now_s: float) -> float:
        """Return the work that a group may start before all others, if positive."""
        self._decay(now_s)
        own = self._rates.get(group)
        others = [rate for other, rate in self._rates.items() if other != group]
        submitted = sum(rate.submitted_core_s for rate in others)
        if own is None or submitted <= 0:
            return 0.0
        started = sum(rate.started_core_s for rate in others)
        rate = min(1.0, started / submitted)
        return MIN_RELATIVE_RATE * rate * own.submitted_core_s - own.started_core_s

    def credit_overdue(self, capacity_cores: float, now_s: float) -> None:
        """Let the credit of overdue work grow, while there is some that waits."""
        since_s = now_s if self._credited_at_s is None else self._credited_at_s
        self._credited_at_s = now_s
        most = OVERDUE_SHARE * capacity_cores
        credit = self.overdue_credit_core_s + most * max(0.0, now_s - since_s)
        self.overdue_credit_core_s = min(credit, most)

    def clear_overdue(self) -> None:
        """Drop the credit, since no overdue work waits."""
        self.overdue_credit_core_s, self._credited_at_s = 0.0, None

    def _decay(self, now_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self._decayed_at_s) / RATE_MEMORY_S)
        self._decayed_at_s = max(self._decayed_at_s, now_s)
        for rate in self._rates.values():
            rate.submitted_core_s *= factor
            rate.started_core_s *= factor


def is_overdue(key: OrderKey, first_seen_s: float, now_s: float) -> bool:
    """Return whether a late job has waited for so long that it is owed a turn."""
    return key[0] == LATE and now_s - first_seen_s > OVERDUE_AGE_S


def take_turns(
    jobs: Iterable[WaitingJob], meter: TurnMeter, capacity_cores: float, now_s: float
) -> list[WaitingJob]:
    """Return jobs in the order in which they get workers, and grant turns.

    Jobs with a turn come behind long-running ones and before all others. A turn lasts
    until the job ends: many jobs that are started and not finished are of no use.
    """
    ordered = sorted(jobs, key=lambda job: (job.key, job.job_id))
    by_id = {job.job_id: job for job in ordered}
    granted = [by_id[job_id] for job_id in meter.granted if job_id in by_id]
    waiting = [job for job in ordered if job.job_id not in meter.granted]
    overdue = [job for job in waiting if is_overdue(job.key, job.first_seen_s, now_s)]
    if overdue:
        meter.credit_overdue(capacity_cores, now_s)
        budget_core_s = meter.overdue_credit_core_s - sum(
            job.left_core_s
            for job in granted
            if is_overdue(job.key, job.first_seen_s, now_s)
        )
        granted += _within(overdue, budget_core_s)
    else:
        meter.clear_overdue()
    by_group: dict[Group, list[WaitingJob]] = {}
    for job in waiting:
        if job.key[0] == ON_TIME:
            by_group.setdefault(job.group, []).append(job)
    for group, members in by_group.items():
        open_core_s = sum(job.left_core_s for job in granted if job.group == group)
        granted += _within(members, meter.owed_core_s(group, now_s) - open_core_s)
    if not granted:
        return ordered
    meter.granted.update((job.job_id, None) for job in granted)
    rest = [job for job in ordered if job.job_id not in meter.granted]
    begin = sum(job.key[0] < ON_TIME for job in rest)
    return rest[:begin] + granted + rest[begin:]


def _within(jobs: list[WaitingJob], budget_core_s: float) -> list[WaitingJob]:
    """Return the first jobs up to and including the one that uses up a budget."""
    chosen: list[WaitingJob] = []
    for job in jobs:
        if budget_core_s <= 0:
            break
        chosen.append(job)
        budget_core_s -= job.left_core_s
    return chosen
