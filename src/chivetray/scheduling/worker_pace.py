"""Speed and failures of workers, judged by their own runs against others.

For each condition a sum of logarithms of likelihood ratios is kept that never falls
below zero (a CUSUM test): each observation adds how much more likely it is from a
worker in that condition than from a sound one. A sound worker passes ``THRESHOLD`` at
most once in ``exp(THRESHOLD)`` observations, and a worker in the condition does after
a few.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

# 64 cores with tasks of 6.2 cores and 0.8 s end 46,000 runs an hour. Less than one
# false alarm in 100 such hours asks for more than ln(4,600,000) = 15.3.
THRESHOLD = 17.0

# Evidence at which a judged worker is reinstated.
REINSTATED_BELOW = 8.0

# Ranks of a run among the same work elsewhere, up to which the evidence for a slow
# worker applies: logarithm of the share of such runs on a slow worker to that on any.
# A tenth of the runs of a sound worker has a rank above 0.9; 0.16 is assumed, since
# ranks are measured by some hundred recent runs.
SLOW_EVIDENCE = ((0.5, -2.5), (0.8, -1.35), (0.9, 0.0), (1.0, 1.5))

# A run counts as slow only if it takes this many times as long as the median.
SLOW_RUN_FACTOR = 1.3

# Shares of refused starts, lost calls and overdue runs: of a worker in the condition,
# and of a sound one. Failures of a sound one are measured, see ``FailureRate``.
SHEDDING_SHARES = (0.7, 0.03)
SILENT_SHARES = (0.4, 0.02)
HANGING_SHARES = (0.9, 0.01)
FAILING_SHARE = 0.9

# A task is overdue beyond both multiples, of the median and of the 0.99 quantile: one
# task in 33 takes seven times as long by itself.
OVERDUE_MEDIANS = 8.0
OVERDUE_QUANTILES = 1.5

# Tasks of one job that may be evidence for a hanging worker, since a fault of the job
# would let all of them hang, and remembered jobs.
OVERDUE_PER_JOB = 2
REMEMBERED_JOBS = 16

# Time after which a judged worker gets one task before all others, to show whether it
# has recovered. It doubles with each such probe, since a task on a hanging worker is
# lost until its lease ends.
PROBE_INTERVAL_S = 5.0
MAX_PROBE_INTERVAL_S = 60.0

# Place of a judged worker in the choice for a task, where an earlier failure of the
# task counts 1, and of one that is to get a probe.
SLOW_AVOIDANCE = 1
OTHER_AVOIDANCE = 2
PROBE_AVOIDANCE = -1

# Time without evidence against it after which a judged worker is reinstated. It keeps
# the evidence just below the limit, so that a few more observations suffice.
EVIDENCE_TTL_S = 60.0

# Failures in a row, of different jobs, that lead to quarantine: at least this many, and
# so many that chance leads to them in fewer than one of 100 worker-hours.
MIN_FAILURES_IN_A_ROW = 4
MAX_FAILURES_IN_A_ROW = 12
CHANCE_OF_FAILURES_IN_A_ROW = 2.5e-8

# Share of failed runs that is assumed before any has ended, weight of the newest run,
# and the failures in a row at a worker from which they no longer count for the others.
FAILURE_PRIOR = 0.01
FAILURE_LEARNING_RATE = 1 / 300
MAX_COUNTED_IN_A_ROW = 2


class Condition(Enum):
    """What is wrong with a worker."""

    SLOW = "slow"
    SILENT = "silent"
    SHEDDING = "shedding"
    HANGING = "hanging"
    FAILING = "failing"


class FailureRate:
    """Share of the runs in a cell that fail by themselves, on any worker."""

    def __init__(self) -> None:
        self.share = FAILURE_PRIOR

    def observe(self, failed: bool, failures_in_a_row: int) -> None:
        """Record the end of a run.

        :param failures_in_a_row: failures of different jobs at its worker, the present
            one included: a worker that fails everything at once would otherwise set
            the rate that it is compared with
        """
        if not failed or failures_in_a_row <= MAX_COUNTED_IN_A_ROW:
            self.share += FAILURE_LEARNING_RATE * (failed - self.share)

    @property
    def failures_in_a_row(self) -> int:
        """Number of failures in a row that is no chance."""
        share = min(0.9, max(1e-6, self.share))
        needed = math.ceil(math.log(CHANCE_OF_FAILURES_IN_A_ROW) / math.log(share))
        return min(MAX_FAILURES_IN_A_ROW, max(MIN_FAILURES_IN_A_ROW, needed))


@dataclass(slots=True)
class _Suspicion:
    """Evidence for one condition.

    :ivar score: sum of the logarithms of likelihood ratios, at least 0
    :ivar against: observations that raised it since it was 0
    :ivar observations: all observations since then
    :ivar last_s: time of the last observation that raised it
    """

    score: float = 0.0
    against: int = 0
    observations: int = 0
    last_s: float = 0.0
    jobs: deque[str] = field(default_factory=lambda: deque(maxlen=REMEMBERED_JOBS))

    def add(self, evidence: float, now_s: float) -> None:
        self.observations += 1
        if evidence > 0:
            self.against += 1
            self.last_s = now_s
        self.score = min(THRESHOLD, max(0.0, self.score + evidence))
        if not self.score:
            self.against = self.observations = 0


@dataclass(slots=True)
class WorkerPace:
    """What the runs of one worker tell about it.

    :ivar condition: what it is judged to have, ``None`` for a sound worker
    :ivar probe_due: whether it is to get a probe
    """

    condition: Condition | None = None
    probe_due: bool = False
    _probe_at_s: float = 0.0
    _probe_interval_s: float = PROBE_INTERVAL_S
    _suspicions: dict[Condition, _Suspicion] = field(default_factory=dict)

    # Observations

    def observe_run(
        self, job_id: str, rank: float | None, medians: float, now_s: float
    ) -> None:
        """Record a completed run.

        :param rank: share of the same work elsewhere that takes less time, ``None`` if
            that is not known
        :param medians: run time as a multiple of the median elsewhere
        """
        self._add_share(Condition.FAILING, FAILING_SHARE, FAILURE_PRIOR, False, now_s)
        self._add_share(Condition.HANGING, *HANGING_SHARES, False, now_s)
        self._add_share(Condition.SILENT, *SILENT_SHARES, False, now_s)
        # Tasks of a job resemble each other.
        if rank is None or not self._is_first(Condition.SLOW, job_id):
            return
        evidence = next(value for limit, value in SLOW_EVIDENCE if rank <= limit)
        if medians >= SLOW_RUN_FACTOR or evidence < 0:
            self._add(Condition.SLOW, evidence, now_s)

    def observe_failure(self, job_id: str, share: float, now_s: float) -> None:
        """Record a task that failed by itself.

        :param share: share of such failures elsewhere
        """
        if self._is_first(Condition.FAILING, job_id):
            share = min(0.5, max(FAILURE_PRIOR, share))
            self._add_share(Condition.FAILING, FAILING_SHARE, share, True, now_s)

    def observe_start(self, job_id: str, refused: bool, now_s: float) -> None:
        """Record the answer to a start order."""
        if not refused or self._is_first(Condition.SHEDDING, job_id):
            self._add_share(Condition.SHEDDING, *SHEDDING_SHARES, refused, now_s)

    def observe_call(self, lost: bool, now_s: float) -> None:
        """Record whether a poll was answered.

        An answer does not reinstate a worker, since it proves no run.
        """
        if lost or self.condition != Condition.SILENT:
            self._add_share(Condition.SILENT, *SILENT_SHARES, lost, now_s)

    def observe_overdue(self, job_id: str, now_s: float) -> None:
        """Record, once an attempt, that a task runs for far too long."""
        jobs = self._suspicion(Condition.HANGING).jobs
        if jobs.count(job_id) < OVERDUE_PER_JOB:
            jobs.append(job_id)
            self._add_share(Condition.HANGING, *HANGING_SHARES, True, now_s)

    # Verdict

    def find_condition(self) -> Condition | None:
        """Return the condition that the evidence shows, or still shows."""
        if self.condition is not None and self.score(self.condition) > REINSTATED_BELOW:
            return self.condition
        for condition, suspicion in self._suspicions.items():
            if suspicion.score >= THRESHOLD:
                return condition
        return None

    def avoidance(self, is_probe: bool) -> int:
        """Return the place in the choice for a task, 0 for a sound worker.

        :param is_probe: whether the task may be a probe
        """
        if self.condition is None:
            return 0
        if self.probe_due and is_probe:
            return PROBE_AVOIDANCE
        is_slow = self.condition == Condition.SLOW
        return SLOW_AVOIDANCE if is_slow else OTHER_AVOIDANCE

    def judge(self, condition: Condition | None, now_s: float) -> None:
        """Adopt a condition, ``None`` for a sound worker."""
        self.condition, self.probe_due = condition, False
        self._probe_interval_s = PROBE_INTERVAL_S
        self._probe_at_s = now_s + PROBE_INTERVAL_S

    def prepare_probe(self, now_s: float) -> None:
        """Let the next task be a probe if it is time."""
        if self.condition is not None and now_s >= self._probe_at_s:
            self.probe_due = True

    def end_probe(self, now_s: float) -> None:
        """Record that a task was placed."""
        if self.probe_due:
            self.probe_due = False
            interval_s = min(MAX_PROBE_INTERVAL_S, 2 * self._probe_interval_s)
            self._probe_interval_s = interval_s
            self._probe_at_s = now_s + interval_s

    def forget_old_evidence(self, now_s: float) -> None:
        """Reinstate a worker against which nothing has spoken for long."""
        if self.condition is None:
            return
        suspicion = self._suspicion(self.condition)
        if now_s - suspicion.last_s > EVIDENCE_TTL_S:
            suspicion.score = min(suspicion.score, REINSTATED_BELOW)

    def score(self, condition: Condition) -> float:
        """Return the evidence for a condition."""
        suspicion = self._suspicions.get(condition)
        return suspicion.score if suspicion else 0.0

    def describe(self, condition: Condition) -> dict[str, Any]:
        """Return the evidence for a condition, as fields for the log."""
        suspicion = self._suspicion(condition)
        return {
            "score": round(suspicion.score, 1),
            "against": suspicion.against,
            "observations": suspicion.observations,
        }

    def _suspicion(self, condition: Condition) -> _Suspicion:
        return self._suspicions.setdefault(condition, _Suspicion())

    def _is_first(self, condition: Condition, job_id: str) -> bool:
        """Return whether a job is new to a condition, and remember it."""
        jobs = self._suspicion(condition).jobs
        if job_id in jobs:
            return False
        jobs.append(job_id)
        return True

    def _add_share(
        self,
        condition: Condition,
        affected: float,
        sound: float,
        against: bool,
        now_s: float,
    ) -> None:
        """Add an observation that is more frequent in a condition than without."""
        ratio = affected / sound if against else (1 - affected) / (1 - sound)
        self._add(condition, math.log(ratio), now_s)

    def _add(self, condition: Condition, evidence: float, now_s: float) -> None:
        if evidence > 0 or self.score(condition):
            self._suspicion(condition).add(evidence, now_s)
