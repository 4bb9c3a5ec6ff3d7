"""Order in which the jobs of a cell get workers, by state that its owner keeps."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from chivetray.cells.workers import WorkerState
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.organisations.model import Resources
from chivetray.scheduling.fair_shares import (
    dominant_share,
    is_saturated,
    order_by_share,
)
from chivetray.scheduling.ordering import (
    ON_TIME,
    order_key,
    remaining_core_s,
    work_core_s,
)
from chivetray.scheduling.run_times import RunTimes
from chivetray.scheduling.turns import (
    Group,
    TurnMeter,
    WaitingJob,
    is_overdue,
    take_turns,
)
from chivetray.scheduling.weights import WeightMeter

if TYPE_CHECKING:
    from chivetray.cells.state import CellState

# Time for which the sort key of a job is reused, unless one of its steps gets done.
ORDER_KEY_TTL_S = 0.3

# Numbers of the sort key of a job on time that name its class: class, priority, and
# whether it is beyond its organisation's weight. Fair shares hold within a class.
CLASS_FIELDS = 3


class JobTurns:
    """What the order of a cell's jobs depends on, beside the jobs themselves.

    The owner counts anew after a change of owner: restored jobs are recorded with the
    time of their acceptance.

    :ivar weight_of: returns the weight of an organisation in jobs per second, ``None``
        if it is not known
    """

    def __init__(self) -> None:
        self.weight_of: Callable[[str], float | None] = lambda _organisation: None
        self._weights = WeightMeter()
        self._meter = TurnMeter()
        self._beyond_weight: set[str] = set()
        self._groups: dict[str, Group] = {}
        self._waiting: dict[str, WaitingJob] = {}

    def add_job(self, job: Job, times: RunTimes, is_new: bool) -> None:
        """Record an accepted job.

        :param is_new: whether the job has just arrived, and was not restored
        """
        spec = job.spec
        if job.long_running or spec.repeats:
            return
        size_milli = sum(step.count * step.cpu_milli for step in spec.steps)
        if is_new:
            group = self._meter.record_submitted(
                spec.priority,
                size_milli,
                work_core_s(spec, times),
                job.known_since_s,
            )
        else:
            group = self._meter.group_of(spec.priority, size_milli)
        self._groups[spec.job_id] = group
        if spec.organisation:
            weight_per_s = self.weight_of(spec.organisation)
            if not self._weights.record(
                spec.organisation, weight_per_s, job.first_seen_s
            ):
                self._beyond_weight.add(spec.job_id)

    def forget_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self._beyond_weight.discard(job_id)
        self._groups.pop(job_id, None)
        self._waiting.pop(job_id, None)
        self._meter.granted.pop(job_id, None)

    def is_beyond_weight(self, job_id: str) -> bool:
        """Return whether a job is beyond the weight of its organisation."""
        return job_id in self._beyond_weight

    def record_start(
        self, state: CellState, job: Job, step: Step, now_s: float
    ) -> None:
        """Record that a task of a job was placed."""
        group = self._groups.get(job.spec.job_id)
        if group is None or step.best_effort:
            return
        run_s = state.times.expected_s(job.spec.queue, step.estimate_ms)
        cached = state.cached_order_keys.get(job.spec.job_id)
        overdue = cached is not None and is_overdue(cached[2], job.first_seen_s, now_s)
        self._meter.record_started(group, step.cpu_milli / 1000 * run_s, overdue, now_s)

    def sort(self, state: CellState, jobs: Iterable[Job], now_s: float) -> list[Job]:
        """Return jobs in the order in which they get workers."""
        waiting = [self._describe(state, job, now_s) for job in jobs]
        capacity = _capacity(state)
        cores = capacity.cpu_milli / 1000
        ordered = take_turns(waiting, self._meter, cores, now_s)
        organisations = {job.organisation for job in ordered if job.key[0] == ON_TIME}
        if len(organisations) > 1:
            ordered = self._share_out(state, ordered, capacity)
        return [state.active[job.job_id] for job in ordered]

    def hold_worker(
        self, job: Job, step: Step, tasks: list[Task], workers: list[WorkerState]
    ) -> None:
        """Keep a worker free for a job that has a turn and no room.

        Otherwise tasks that need less take each bit of room that becomes free, and the
        task never fits. The worker with the most free CPU is removed from ``workers``.
        """
        if job.spec.job_id not in self._meter.granted:
            return
        if not any(task.phase == Phase.WAITING for task in tasks):
            return
        suitable = [worker for worker in workers if worker.fits_when_empty(step)]
        if suitable and len(workers) > 1:
            workers.remove(max(suitable, key=_free_milli))

    def _describe(self, state: CellState, job: Job, now_s: float) -> WaitingJob:
        """Return what the order of a job depends on; it is reused for some time."""
        job_id, done_count = job.spec.job_id, len(job.done_steps)
        cached = state.cached_order_keys.get(job_id)
        known = self._waiting.get(job_id)
        if (
            known is not None
            and cached is not None
            and cached[0] >= now_s
            and cached[1] == done_count
        ):
            return known
        size = state.mean_job_cpu_milli.get(job.spec.queue, 0.0)
        is_beyond = self.is_beyond_weight(job_id)
        key = order_key(job, state.times, now_s, size, is_beyond)
        expires_at_s = now_s + ORDER_KEY_TTL_S
        state.cached_order_keys[job_id] = (expires_at_s, done_count, key)
        waiting = self._waiting[job_id] = WaitingJob(
            job_id,
            key,
            self._groups.get(job_id, (0, False)),
            job.first_seen_s,
            remaining_core_s(job, state.times),
            job.spec.organisation,
            _largest_need(job),
        )
        return waiting

    def _share_out(
        self, state: CellState, ordered: list[WaitingJob], capacity: Resources
    ) -> list[WaitingJob]:
        """Order the jobs of one class by shares, if they do not all have room.

        Jobs with a turn stay where they are.
        """
        used = _used_shares(state, capacity)
        demands = dict(used)
        shares = {
            job.job_id: dominant_share(job.need, capacity)
            for job in ordered
            if job.key[0] == ON_TIME
        }
        for job in ordered:
            if job.job_id in shares:
                demands.setdefault(job.organisation, 0.0)
                demands[job.organisation] += shares[job.job_id]
        weights = {name: self.weight_of(name) or 0.0 for name in demands}
        if not is_saturated(demands, weights):
            return ordered
        result: list[WaitingJob] = []
        begin = 0
        while begin < len(ordered):
            end = begin + 1
            class_of = self._class_of(ordered[begin])
            while end < len(ordered) and self._class_of(ordered[end]) == class_of:
                end += 1
            run = ordered[begin:end]
            if class_of[:2] == (False, ON_TIME):
                by_name: dict[str, list[tuple[WaitingJob, float]]] = {}
                for job in run:
                    items = by_name.setdefault(job.organisation, [])
                    items.append((job, shares[job.job_id]))
                run = order_by_share(by_name, used, weights)
            result += run
            begin = end
        return result

    def _class_of(self, job: WaitingJob) -> tuple[float, ...]:
        return job.job_id in self._meter.granted, *job.key[:CLASS_FIELDS]


def _free_milli(worker: WorkerState) -> tuple[int, str]:
    return worker.cpu_milli - worker.used_cpu_milli, worker.worker_id


def _capacity(state: CellState) -> Resources:
    """Return the resources of the listed workers."""
    listed = [worker for worker in state.workers.values() if worker.listed]
    return Resources(
        sum(worker.cpu_milli for worker in listed),
        sum(worker.mem_mb for worker in listed),
        sum(worker.gpu for worker in listed),
    )


def _used_shares(state: CellState, capacity: Resources) -> dict[str, float]:
    """Return the dominant share that the tasks of each organisation occupy."""
    used: dict[str, list[int]] = {}
    for worker in state.workers.values():
        for (job_id, _), step in worker.tasks.items():
            job = state.jobs.get(job_id)
            if job is None or step.long_running or step.best_effort:
                continue
            amounts = used.setdefault(job.spec.organisation, [0, 0, 0])
            amounts[0] += step.cpu_milli
            amounts[1] += step.mem_mb
            amounts[2] += step.gpu
    return {
        name: dominant_share(Resources(*amounts), capacity)
        for name, amounts in used.items()
    }


def _largest_need(job: Job) -> Resources:
    """Return what the largest unfinished step of a job occupies, by resource."""
    counts = [
        (step, job.unfinished_count(number))
        for number, step in enumerate(job.spec.steps)
    ]
    return Resources(
        max(step.cpu_milli * count for step, count in counts),
        max(step.mem_mb * count for step, count in counts),
        max(step.gpu * count for step, count in counts),
    )
