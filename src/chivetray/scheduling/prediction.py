"""Predicted completion of a job that arrives now, from a digest of its cell's work."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, replace

from chivetray.jobs.model import JobSpec
from chivetray.scheduling.ordering import (
    STEP_OVERHEAD_S,
    USEFUL_OBJECTIVES,
    critical_path_s,
    work_core_s,
)
from chivetray.scheduling.run_times import RunTimes
from chivetray.scheduling.turns import OVERDUE_SHARE

# Version of the encoded digest. A digest of another version counts as absent.
DIGEST_VERSION = 1

# Largest value of a digest. What callers estimate, times the tasks of all jobs, may
# exceed the 64 bits of a number in a message.
DIGEST_VALUE_LIMIT = 2**53

# Classes of priority that a digest tells apart; the last one holds all further ones.
PRIORITY_CLASSES = 3

# Queues of which a digest tells the learned run time: those with the most jobs.
DIGEST_QUEUES = 3

# Time after which VMs on their way are counted as capacity: that of a move.
TRANSIT_S = 1.5


@dataclass(frozen=True, slots=True)
class Backlog:
    """Digest of the work of a cell that has not been started.

    Work is in core-seconds, without long-running and scheduled jobs.

    :ivar serving_cores: cores of the workers that take tasks, less those that
        long-running tasks occupy
    :ivar arriving_cores: cores of the VMs on their way to the cell
    :ivar submitted_cores: cores that keep up with the jobs that arrive
    :ivar run_time_percent: learned run times relative to the estimates of callers
    :ivar short_ms: time for which more work has waited than the cell does in a second
    :ivar late_core_s: work of jobs that cannot be on time, or that are beyond the
        weight of their organisation
    :ivar on_time_core_s: work of the other jobs, by class of priority
    :ivar on_time_jobs: number of these jobs, by class of priority
    :ivar run_times_ms: number of a queue and the learned run time of its tasks, where
        it is known
    """

    serving_cores: int
    arriving_cores: int = 0
    submitted_cores: int = 0
    run_time_percent: int = 100
    short_ms: int = 0
    late_core_s: int = 0
    on_time_core_s: tuple[int, ...] = (0,) * PRIORITY_CLASSES
    on_time_jobs: tuple[int, ...] = (0,) * PRIORITY_CLASSES
    run_times_ms: tuple[tuple[int, int], ...] = ()

    def encode(self, age_ms: int) -> list[int]:
        """Return the digest as integers, which msgpack encodes in under 100 bytes.

        :param age_ms: time since it was measured
        """
        scalars = [self.serving_cores, self.arriving_cores, self.submitted_cores]
        scalars += [self.run_time_percent, self.short_ms, self.late_core_s]
        values = [
            DIGEST_VERSION,
            age_ms,
            *scalars,
            *self.on_time_core_s,
            *self.on_time_jobs,
            *(value for pair in self.run_times_ms for value in pair),
        ]
        return [min(value, DIGEST_VALUE_LIMIT) for value in values]


def decode_backlog(values: Sequence[int]) -> tuple[Backlog, float] | None:
    """Return a digest and its age in s when it was sent, or ``None`` without one."""
    length = 8 + 2 * PRIORITY_CLASSES
    if len(values) < length or len(values) % 2 or values[0] != DIGEST_VERSION:
        return None
    if min(values) < 0:
        return None
    begin_jobs = 8 + PRIORITY_CLASSES
    work, jobs = tuple(values[8:begin_jobs]), tuple(values[begin_jobs:length])
    pairs = zip(values[length::2], values[length + 1 :: 2], strict=True)
    age_ms, serving, arriving, submitted, percent, short_ms, late = values[1:8]
    scalars = (serving, arriving, submitted, percent, short_ms, late)
    backlog = Backlog(*scalars, work, jobs, tuple(pairs))
    return backlog, age_ms / 1000


def queue_number(queue: str) -> int:
    """Return a number of two bytes that identifies a queue within its cell."""
    return zlib.crc32(queue.encode()) & 0xFFFF


def priority_class(priority: int) -> int:
    """Return the class of a priority in a digest."""
    return min(max(0, priority), PRIORITY_CLASSES - 1)


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job needs, by learned run times, or else the estimates of its caller.

    :ivar is_learned: whether the run times are learned
    :ivar path_s: run time of the longest chain of dependent steps
    :ivar steps: number of steps
    :ivar work_core_s: work of all its tasks, in core-seconds
    """

    priority: int
    path_s: float
    steps: int
    work_core_s: float
    stretch: float
    target_s: float
    is_learned: bool = False

    @classmethod
    def from_spec(cls, spec: JobSpec, backlog: Backlog) -> JobDemand:
        """Return the demand of a submitted job."""
        run_ms = dict(backlog.run_times_ms).get(queue_number(spec.queue))
        if run_ms is not None:
            steps = (replace(step, estimate_ms=run_ms) for step in spec.steps)
            spec = replace(spec, steps=tuple(steps))
        estimates = RunTimes()
        return cls(
            spec.priority,
            critical_path_s(spec, estimates),
            len(spec.steps),
            work_core_s(spec, estimates),
            spec.stretch,
            spec.target_ms / 1000,
            run_ms is not None,
        )

    def factor(self, backlog: Backlog) -> float:
        """Return what the run times of the job are to be multiplied with."""
        return 1.0 if self.is_learned else backlog.run_time_percent / 100

    def objective_s(self, backlog: Backlog) -> float:
        """Return the time from submission until which the job earns its full value."""
        return self.stretch * self.path_s * self.factor(backlog) + self.target_s

    def latest_useful_s(self, backlog: Backlog) -> float:
        """Return the time from submission until which the job earns anything."""
        return USEFUL_OBJECTIVES * self.objective_s(backlog)


def predict_completion_s(demand: JobDemand, backlog: Backlog) -> float | None:
    """Return the predicted time to the completion of a job that arrives now.

    A job that can be on time waits for work of higher priority and for part of that of
    its own. One that cannot waits for all work of its cell, and for what goes on
    arriving.

    :return: ``None`` if nothing serves the cell, so that nothing can be predicted
    """
    cores = backlog.serving_cores + backlog.arriving_cores
    if cores <= 0:
        return None
    factor = demand.factor(backlog)
    run_s = demand.path_s * factor + demand.steps * STEP_OVERHEAD_S
    run_s = max(run_s, demand.work_core_s * factor / cores)
    on_time_s = _serve_s(_work_ahead(demand, backlog, factor), backlog) + run_s
    if on_time_s <= demand.objective_s(backlog):
        return on_time_s
    work = sum(backlog.on_time_core_s) + backlog.late_core_s
    return max(on_time_s, _serve_late_s(work, backlog) + run_s)


def _work_ahead(demand: JobDemand, backlog: Backlog, factor: float) -> float:
    """Return the work on time that runs before a job that can be on time.

    Jobs of one priority run by value per work, hence the small ones first. A job of the
    mean size of those that wait has half of their work before it.
    """
    own_class = priority_class(demand.priority)
    own_core_s = backlog.on_time_core_s[own_class]
    mean_core_s = own_core_s / max(1, backlog.on_time_jobs[own_class])
    part = 1.0
    if mean_core_s > 0:
        part = min(1.0, demand.work_core_s * factor / (2 * mean_core_s))
    return sum(backlog.on_time_core_s[:own_class]) + part * own_core_s


def _serve_s(work_core_s: float, backlog: Backlog) -> float:
    """Return the time in which a cell starts some work."""
    before_arrival = backlog.serving_cores * TRANSIT_S
    if work_core_s <= before_arrival:
        return work_core_s / max(1, backlog.serving_cores)
    cores = backlog.serving_cores + backlog.arriving_cores
    return TRANSIT_S + (work_core_s - before_arrival) / cores


def _serve_late_s(work_core_s: float, backlog: Backlog) -> float:
    """Return the time in which a cell starts some work behind all that is on time.

    What arrives takes its part first. A shortage that has lasted for some time is
    expected to last as long again.
    """
    cores = backlog.serving_cores + backlog.arriving_cores
    rate = max(OVERDUE_SHARE * cores, cores - backlog.submitted_cores)
    shortage_s = backlog.short_ms / 1000
    if work_core_s <= rate * shortage_s:
        return work_core_s / rate
    return shortage_s + (work_core_s - rate * shortage_s) / cores
