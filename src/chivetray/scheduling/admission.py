"""Whether a job is refused because it would end too late to be of use."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.jobs.model import JobSpec
from chivetray.scheduling.prediction import Backlog, JobDemand, predict_completion_s

# Oldest digest on which a job is refused.
MAX_DIGEST_AGE_S = 1.5

# Time for which a cell has been short of capacity before jobs are refused. A pool that
# a peak meets with few VMs has those it is going to get after this time: 0.4 s until
# the peak shows, 0.2 s to the next round, 1.5 s for the move, 0.3 s to the next list.
MIN_SHORTAGE_S = 3.0

# Bounds of the delay after which a refused caller may retry. Callers read it in whole
# seconds; the spread distributes those that were refused at one moment over four of
# them at least.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 20.0
MIN_RETRY_SPREAD_S = 4.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Decision on a job that is submitted.

    :ivar refused: whether the job is to be refused
    :ivar predicted_s: predicted time to its completion, ``None`` without a prediction
    :ivar latest_s: time until which its completion is of use
    :ivar retry_after_s: delay after which the caller may retry, 0 if it is not refused
    """

    refused: bool
    predicted_s: float | None = None
    latest_s: float = 0.0
    retry_after_s: float = 0.0


def may_be_refused(spec: JobSpec) -> bool:
    """Return whether the kind of a job allows that it is refused."""
    return not spec.repeats and not any(step.long_running for step in spec.steps)


def judge_job(
    spec: JobSpec, backlog: Backlog | None, age_s: float, spread: float
) -> Verdict:
    """Decide whether a job is refused because of its predicted completion.

    :param backlog: digest of its cell's work, ``None`` if there is none
    :param age_s: time since the digest was measured
    :param spread: random number from 0 to 1 that spreads the retries
    """
    if backlog is None or age_s > MAX_DIGEST_AGE_S or not may_be_refused(spec):
        return Verdict(False)
    demand = JobDemand.from_spec(spec, backlog)
    predicted_s = predict_completion_s(demand, backlog)
    latest_s = demand.latest_useful_s(backlog)
    if predicted_s is None or predicted_s <= latest_s:
        return Verdict(False, predicted_s, latest_s)
    if backlog.short_ms < MIN_SHORTAGE_S * 1000:
        return Verdict(False, predicted_s, latest_s)
    excess_s = predicted_s - latest_s
    retry_s = spread_retry_s(excess_s, spread)
    return Verdict(True, predicted_s, latest_s, retry_s)


def spread_retry_s(excess_s: float, spread: float) -> float:
    """Return the delay of a retry.

    :param excess_s: time by which the predicted completion is too late
    :param spread: random number from 0 to 1
    """
    least_s = min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))
    return least_s + spread * max(MIN_RETRY_SPREAD_S, least_s)
