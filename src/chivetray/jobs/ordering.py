"""Order in which jobs get workers."""

from __future__ import annotations

from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec
from chivetray.jobs.runtimes import RunTimes

# Time that scheduling, starting and storing take for each step of a chain.
STEP_OVERHEAD_S = 0.06

# Part of a job's worth that does not depend on its work, and the bound on the whole.
FIXED_WORTH = 0.3
LARGEST_WORTH = 4.0


def chain_s(spec: JobSpec, times: RunTimes) -> float:
    """Return the run time of the longest chain of steps."""
    ends: list[float] = []
    for step in spec.steps:
        before = max((ends[number] for number in step.depends_on), default=0.0)
        ends.append(before + times.expected_s(spec.queue, step.estimate_ms))
    return max(ends, default=0.0)


def work_core_s(spec: JobSpec, times: RunTimes) -> float:
    """Return the core-seconds that a job is expected to need."""
    return sum(
        step.count
        * (step.cpu_milli / 1000)
        * times.expected_s(spec.queue, step.estimate_ms)
        for step in spec.steps
        if not step.fills
    )


def rest_s(job: Job, times: RunTimes) -> float:
    """Return the run time of the longest chain that is not done."""
    ends: list[float] = []
    for number, step in enumerate(job.spec.steps):
        before = max((ends[n] for n in step.depends_on), default=0.0)
        own = times.expected_s(job.spec.queue, step.estimate_ms) + STEP_OVERHEAD_S
        ends.append(before + (0.0 if (0, number) in job.done_steps else own))
    return max(ends, default=0.0)


def due_s(job: Job, times: RunTimes) -> float:
    """Return the time until which the job earns its full worth."""
    spec = job.spec
    return (
        job.first_seen_s + spec.stretch * chain_s(spec, times) + spec.target_ms / 1000
    )


def worth_share(spec: JobSpec, mean_milli: float) -> float:
    """Return what a job is worth against the mean job of its queue.

    A part of the worth is the same for every job, the rest grows with its work.
    """
    if mean_milli <= 0:
        return 1.0
    size = sum(step.count * step.cpu_milli for step in spec.steps) / mean_milli
    return min(LARGEST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size)


def order_key(
    job: Job, times: RunTimes, now_s: float, mean_milli: float
) -> tuple[float, ...]:
    """Return the sort key of a job: lower ones get workers first.

    Long-running jobs come first, since each of their tasks that is away costs at
    once. Then jobs that can still be in time, by their worth for each core that
    they still need, so that a peak leaves as few late as possible. At last those
    that cannot, the oldest first, so that none of them starves.

    :param mean_milli: mean size of the queue's jobs, in thousandths of a core
    """
    if job.long_running:
        return (0, job.spec.priority, job.first_seen_s)
    due = due_s(job, times)
    if now_s + rest_s(job, times) <= due:
        density = worth_share(job.spec, mean_milli) / max(1, job.rest_milli())
        return (1, job.spec.priority, -density)
    return (2, job.spec.priority, job.first_seen_s)
