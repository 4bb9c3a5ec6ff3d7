"""Scheduling order of jobs."""

from __future__ import annotations

from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec
from chivetray.scheduling.run_times import RunTimes, kind_of

# Time per step of the critical path that goes into scheduling, starting and storing.
STEP_OVERHEAD_S = 0.06

# Part of a job's slack that is kept for run times above their mean: a step ends with
# the slowest of its tasks. In trials with one cell (``tests/shortage_cell.py``, without
# admission) a load of twice the capacity gave a value of 42 in three runs without a
# reserve, and 48 to 54 with reserves of 0.2 to 0.35 of the remaining path.
DEADLINE_RESERVE = 0.3

# Part of a job's relative value that does not depend on its size, and the upper bound
# of the relative value.
FIXED_VALUE = 0.3
MAX_RELATIVE_VALUE = 4.0

# Multiple of its objective after which the end of a job is of no use to its caller.
USEFUL_OBJECTIVES = 3

# Least work that counts, so that a job without CPU demand has a finite value for it.
MIN_WORK_CORE_S = 0.001

# Time for which the expected run time of a job's critical path is reused, unless one of
# its steps gets done.
PATH_TTL_S = 0.3

# Classes of work, the first number of a sort key.
LONG_RUNNING, ON_TIME, LATE = range(3)

# Classes of late work, the second number of its sort key.
USEFUL, USELESS = range(2)

OrderKey = tuple[float, ...]


def critical_path_s(spec: JobSpec, times: RunTimes) -> float:
    """Return the expected run time of the longest chain of dependent steps."""
    ends: list[float] = []
    for number, step in enumerate(spec.steps):
        start_s = max((ends[n] for n in step.depends_on), default=0.0)
        kind = kind_of(step, number)
        ends.append(start_s + times.expected_s(spec.queue, step.estimate_ms, kind))
    return max(ends, default=0.0)


def work_core_s(spec: JobSpec, times: RunTimes) -> float:
    """Return the expected core-seconds of a job without its best-effort steps."""
    return sum(
        step.count
        * (step.cpu_milli / 1000)
        * times.mean_s(spec.queue, step.estimate_ms, kind_of(step, number))
        for number, step in enumerate(spec.steps)
        if not step.best_effort
    )


def remaining_critical_path_s(job: Job, times: RunTimes) -> float:
    """Return the expected run time of the longest chain of unfinished steps."""
    ends: list[float] = []
    for number, step in enumerate(job.spec.steps):
        start_s = max((ends[n] for n in step.depends_on), default=0.0)
        kind = kind_of(step, number)
        step_s = times.expected_s(job.spec.queue, step.estimate_ms, kind)
        step_s += STEP_OVERHEAD_S
        ends.append(start_s + (0.0 if (0, number) in job.done_steps else step_s))
    return max(ends, default=0.0)


def estimate_path(job: Job, times: RunTimes, now_s: float) -> tuple[float, float]:
    """Return the expected run times of the critical path and of what is left of it.

    They are reused for some time, since each round of decisions needs them for each job
    that waits.
    """
    known, done_count = job.path_estimate, len(job.done_steps)
    if known is None or known[1] != done_count or now_s - known[0] > PATH_TTL_S:
        path_s = critical_path_s(job.spec, times)
        left_s = remaining_critical_path_s(job, times)
        known = job.path_estimate = (now_s, done_count, path_s, left_s)
    return known[2], known[3]


def deadline_s(job: Job, path_s: float) -> float:
    """Return the time by which a job must end to earn its full value.

    :param path_s: expected run time of its critical path
    """
    spec = job.spec
    return job.first_seen_s + spec.stretch * path_s + spec.target_ms / 1000


def full_value_deadline_s(job: Job, times: RunTimes) -> float:
    """Return the time by which a job must end to earn its full value."""
    return deadline_s(job, critical_path_s(job.spec, times))


def _can_be_on_time(job: Job, path_s: float, left_s: float, now_s: float) -> bool:
    """Return whether a job is likely to meet its deadline if it starts now.

    :param path_s: expected run time of its critical path
    :param left_s: the same of its unfinished steps
    """
    slack_s = (job.spec.stretch - 1) * path_s + job.spec.target_ms / 1000
    part_left = min(1.0, left_s / path_s) if path_s > 0 else 0.0
    reserve_s = DEADLINE_RESERVE * max(0.0, slack_s) * part_left
    return now_s + left_s + reserve_s <= deadline_s(job, path_s)


def relative_value(spec: JobSpec, mean_milli: float) -> float:
    """Return the value of a job relative to the mean job of its queue.

    Part of the value is the same for every job; the rest grows with the job's size.
    """
    if mean_milli <= 0:
        return 1.0
    relative_size = sum(step.count * step.cpu_milli for step in spec.steps) / mean_milli
    return min(MAX_RELATIVE_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * relative_size)


def remaining_core_s(job: Job, times: RunTimes) -> float:
    """Return the expected core-seconds of the unfinished tasks of a job."""
    return sum(
        job.unfinished_count(number)
        * (step.cpu_milli / 1000)
        * times.expected_s(job.spec.queue, step.estimate_ms)
        for number, step in enumerate(job.spec.steps)
        if not step.best_effort
    )


def order_key(
    job: Job, times: RunTimes, now_s: float, mean_milli: float, is_beyond: bool = False
) -> OrderKey:
    """Return the sort key of a job; jobs with lower keys get workers first.

    Long-running jobs come first, because each of their tasks that does not run costs
    value immediately. Next come jobs that can still meet their deadline: by priority,
    then those within the weight of their organisation, then by value per remaining
    work, so that a peak makes as few jobs late as possible. Jobs that cannot meet it
    come last. Which of them get a turn earlier is decided in ``turns``.

    Of equal jobs on time the newest comes first, since it is the least likely to miss
    its deadline: the others have used up more of their slack.

    Of the late jobs those come first that can still end while that is of use to their
    callers, by value per remaining work too. Oldest first would spend the capacity on
    the job that is next to become useless.

    :param mean_milli: mean size of the queue's jobs, in thousandths of a core
    :param is_beyond: whether the job is beyond the weight of its organisation
    """
    if job.long_running:
        return (LONG_RUNNING, job.spec.priority, job.first_seen_s)
    path_s, left_s = estimate_path(job, times, now_s)
    is_on_time = _can_be_on_time(job, path_s, left_s, now_s)
    if not is_on_time and now_s + left_s > _latest_useful_s(job, path_s):
        return (LATE, USELESS, job.first_seen_s)
    work_core_s = max(MIN_WORK_CORE_S, remaining_core_s(job, times))
    value_per_work = relative_value(job.spec, mean_milli) / work_core_s
    if is_on_time:
        newest_first = -job.first_seen_s
        return (ON_TIME, job.spec.priority, is_beyond, -value_per_work, newest_first)
    return (LATE, USEFUL, -value_per_work, job.first_seen_s)


def _latest_useful_s(job: Job, path_s: float) -> float:
    """Return the time by which a job must end to be of any use."""
    objective_s = deadline_s(job, path_s) - job.first_seen_s
    return job.first_seen_s + USEFUL_OBJECTIVES * objective_s
