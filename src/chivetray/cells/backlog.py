"""Measures the digest of a cell's work, and predicts completions with it."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec, Step
from chivetray.scheduling.admission import may_be_refused
from chivetray.scheduling.ordering import (
    LATE,
    deadline_s,
    estimate_path,
    remaining_core_s,
)
from chivetray.scheduling.prediction import (
    DIGEST_QUEUES,
    PRIORITY_CLASSES,
    Backlog,
    JobDemand,
    predict_completion_s,
    priority_class,
    queue_number,
)
from chivetray.scheduling.run_times import RunTimes

if TYPE_CHECKING:
    from chivetray.cells.state import CellState

# Shortest time for which a digest is used, and the same as a multiple of the time that
# the measurement took: with many jobs it takes at most a twentieth of the processor.
DIGEST_TTL_S = 0.3
DIGEST_TTL_RATIO = 20.0

# Time that the waiting work takes from which a cell is short of capacity.
SHORTAGE_S = 1.0

# Time for which the holder of VM orders is believed about VMs on their way.
ARRIVING_TTL_S = 1.5

# Bounds of the learned run times relative to the estimates, in percent.
RUN_TIME_PERCENT_MIN, RUN_TIME_PERCENT_MAX = 10, 1000


class BacklogMeter:
    """Measures and keeps the digest of one cell's work."""

    def __init__(self) -> None:
        self._backlog: Backlog | None = None
        self._measured_at_s = 0.0
        self._expires_at_s = 0.0
        self._short_since_s: float | None = None

    def measure(self, state: CellState, now_s: float) -> Backlog:
        """Return the digest, measured anew if the last one has expired."""
        if self._backlog is None or now_s >= self._expires_at_s:
            began_s = time.perf_counter()
            self._backlog = self._measure(state, now_s)
            took_s = time.perf_counter() - began_s
            self._measured_at_s = now_s
            self._expires_at_s = now_s + max(DIGEST_TTL_S, DIGEST_TTL_RATIO * took_s)
        return self._backlog

    def encode(self, state: CellState, now_s: float) -> list[int]:
        """Return the digest with its age, for peers."""
        backlog = self.measure(state, now_s)
        return backlog.encode(int(1000 * (now_s - self._measured_at_s)))

    def predict(self, state: CellState, spec: JobSpec, now_s: float) -> float | None:
        """Return the predicted time to the completion of a job that arrives now."""
        if not may_be_refused(spec):
            return None
        backlog = self.measure(state, now_s)
        return predict_completion_s(JobDemand.from_spec(spec, backlog), backlog)

    def _measure(self, state: CellState, now_s: float) -> Backlog:
        late_core_s = 0.0
        on_time_core_s = [0.0] * PRIORITY_CLASSES
        on_time_jobs = [0] * PRIORITY_CLASSES
        for job in state.active.values():
            if job.state.ended or not may_be_refused(job.spec):
                continue
            waiting_core_s = _waiting_core_s(job, state.times)
            if waiting_core_s <= 0:
                continue
            # A manager does not know whether a new job is within the weight of its
            # organisation, so what others submit beyond theirs is not before it.
            is_beyond = state.turns.is_beyond_weight(job.spec.job_id)
            if is_beyond or _is_late(state, job, now_s):
                late_core_s += waiting_core_s
            else:
                number = priority_class(job.spec.priority)
                on_time_core_s[number] += waiting_core_s
                on_time_jobs[number] += 1
        serving_cores, arriving_cores = _count_cores(state, now_s)
        waiting = late_core_s + sum(on_time_core_s)
        if waiting > SHORTAGE_S * serving_cores:
            if self._short_since_s is None:
                self._short_since_s = now_s
        else:
            self._short_since_s = None
        short_s = 0.0 if self._short_since_s is None else now_s - self._short_since_s
        return Backlog(
            int(serving_cores),
            int(arriving_cores),
            int(state.arrivals.required_cores(now_s)),
            _run_time_percent(state),
            int(short_s * 1000),
            int(late_core_s),
            tuple(int(core_s) for core_s in on_time_core_s),
            tuple(on_time_jobs),
            _learned_run_times(state),
        )


def _waiting_core_s(job: Job, times: RunTimes) -> float:
    """Return the expected work of the tasks of a job that are not on a worker."""
    placed_core_s = sum(
        _task_core_s(job, job.spec.steps[task.key[1]], times)
        for task in job.tasks.values()
        if task.active and not job.spec.steps[task.key[1]].best_effort
    )
    return remaining_core_s(job, times) - placed_core_s


def _task_core_s(job: Job, step: Step, times: RunTimes) -> float:
    run_s = times.expected_s(job.spec.queue, step.estimate_ms)
    return step.cpu_milli / 1000 * run_s


def _is_late(state: CellState, job: Job, now_s: float) -> bool:
    cached = state.cached_order_keys.get(job.spec.job_id)
    if cached is not None:
        return cached[2][0] == LATE
    path_s, left_s = estimate_path(job, state.times, now_s)
    return now_s + left_s > deadline_s(job, path_s)


def _count_cores(state: CellState, now_s: float) -> tuple[float, float]:
    """Return the cores that serve jobs which end, and those on their way."""
    serving_milli = 0
    for worker in state.workers.values():
        if worker.accepts_tasks(now_s):
            occupied = sum(s.cpu_milli for s in worker.tasks.values() if s.long_running)
            serving_milli += max(0, worker.cpu_milli - occupied)
    listed = [w.cpu_milli for w in state.workers.values() if w.listed]
    arriving, told_at_s = state.arriving_vms
    if not listed or now_s - told_at_s > ARRIVING_TTL_S:
        arriving = 0
    mean_milli = sum(listed) / max(1, len(listed))
    return serving_milli / 1000, arriving * mean_milli / 1000


def _learned_run_times(state: CellState) -> tuple[tuple[int, int], ...]:
    """Return the learned run times of the queues with the most active jobs.

    They are learned if twice the estimate changes them by less than half of it.
    """
    estimates_ms: dict[str, int] = {}
    jobs: Counter[str] = Counter()
    for job in state.active.values():
        if may_be_refused(job.spec):
            jobs[job.spec.queue] += 1
            estimates_ms[job.spec.queue] = job.spec.steps[0].estimate_ms
    found = []
    for queue, _ in jobs.most_common(DIGEST_QUEUES):
        estimate_ms = max(1, estimates_ms[queue])
        run_s = state.times.expected_s(queue, estimate_ms)
        doubled_s = state.times.expected_s(queue, 2 * estimate_ms)
        if 2000 * abs(doubled_s - run_s) < estimate_ms:
            found.append((queue_number(queue), int(1000 * run_s)))
    return tuple(found)


def _run_time_percent(state: CellState) -> int:
    """Return the learned run times relative to the estimates of callers.

    One active job of each queue stands for all of them.
    """
    examples = {
        job.spec.queue: job.spec
        for job in state.active.values()
        if may_be_refused(job.spec)
    }
    steps = [(spec.queue, step) for spec in examples.values() for step in spec.steps]
    estimated_s = sum(step.estimate_ms / 1000 for _, step in steps)
    if estimated_s <= 0:
        return 100
    expected_s = sum(
        state.times.expected_s(queue, step.estimate_ms) for queue, step in steps
    )
    percent = int(100 * expected_s / estimated_s)
    return min(RUN_TIME_PERCENT_MAX, max(RUN_TIME_PERCENT_MIN, percent))
