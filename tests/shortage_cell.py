"""One cell under a load of callers, in steps of virtual time, without a network.

It runs the order and the admission of the code, or the naive policy: accept all jobs,
first come first served.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field, replace

from cell_helpers import CELL
from cell_helpers import job as make_spec

from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import confirm_start
from chivetray.cells.state import CellState
from chivetray.jobs.model import JobSpec, JobState, Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.scheduling.admission import judge_job
from chivetray.scheduling.prediction import Backlog, decode_backlog

TICK_S = 0.05
HEARTBEAT_S = 0.4
STRETCH, TARGET_S = 1.6, 0.603
LATE_VALUE = 0.07


@dataclass(frozen=True)
class Arrivals:
    """Jobs of one queue: rates from some times on, and the size of a job.

    :ivar gives_up_s: time after which callers cancel their jobs
    """

    rates_per_s: tuple[tuple[float, float], ...]
    steps: int = 2
    tasks: int = 8
    cores: float = 1.5
    run_s: float = 0.68
    priority: int = 0
    value: float = 0.38
    organisation: str = ""
    gives_up_s: float = math.inf

    @property
    def objective_s(self) -> float:
        return STRETCH * self.steps * self.run_s + TARGET_S


@dataclass(frozen=True)
class Load:
    """A load of one cell.

    :ivar estimate_error: estimates are off by up to this factor
    :ivar tail: share of the tasks that take seven times as long
    :ivar paused_s: interval in which the cell has no owner
    :ivar drained_s: interval in which half of the workers take no tasks
    """

    queues: tuple[Arrivals, ...]
    lasts_s: float = 16.0
    workers: int = 6
    estimate_error: float = 0.9
    tail: float = 0.03
    retries: int = 4
    paused_s: tuple[float, float] = (0.0, 0.0)
    drained_s: tuple[float, float] = (0.0, 0.0)
    weights: dict[str, float] = field(default_factory=dict)


@dataclass
class Caller:
    """A caller with one job, and what became of it."""

    queue: Arrivals
    spec: JobSpec
    first_s: float
    tries: int = 0
    ended_s: float = math.inf
    refused: bool = False

    @property
    def on_time(self) -> bool:
        return self.ended_s - self.first_s <= self.queue.objective_s

    @property
    def value(self) -> float:
        if self.on_time:
            return self.queue.value
        is_useful = self.ended_s - self.first_s <= 3 * self.queue.objective_s
        return LATE_VALUE * self.queue.value if is_useful else 0.0


class ShortCell:
    """The cell and its callers.

    :param distort: factor by which the predicted work is wrong
    :param digest_age_s: additional age of the digest; ``None`` for no digest
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        naive: bool = False,
        distort: float = 1.0,
        digest_age_s: float | None = 0.0,
    ):
        self.load, self.naive, self.distort = load, naive, distort
        self.digest_age_s = digest_age_s
        self.seed, self.random = seed, random.Random(seed)
        self.state = CellState(CELL)
        self.state.turns.weight_of = load.weights.get
        if naive:
            self.state.turns.sort = lambda _state, jobs, _now_s: sorted(  # type: ignore
                jobs, key=lambda job: (job.first_seen_s, job.spec.job_id)
            )
        self.state.update_workers([_worker(n) for n in range(load.workers)], 0.0)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        self.callers: dict[str, Caller] = {}
        self.refusals_s: list[float] = []
        self._submissions: list[tuple[float, str]] = []
        self._ends: list[tuple[float, str, tuple[int, int, int], float]] = []
        self._digest: tuple[float, list[int]] = (0.0, [])
        for queue in load.queues:
            self._draw_callers(queue)
        heapq.heapify(self._submissions)

    def run(self, until_s: float = 0.0) -> ShortCell:
        now_s = 0.0
        while now_s < (until_s or self.load.lasts_s + 40):
            self._step(now_s)
            now_s += TICK_S
        return self

    @property
    def value(self) -> float:
        return sum(caller.value for caller in self.callers.values())

    def count_on_time(self, queue: Arrivals) -> int:
        return sum(c.on_time for c in self.callers.values() if c.queue is queue)

    def part_on_time(self, queue: Arrivals) -> float:
        own = [c for c in self.callers.values() if c.queue is queue]
        return sum(caller.on_time for caller in own) / len(own)

    def longest_wait_s(self) -> float:
        """Return the longest time from the acceptance to the end of a job."""
        seen = self.state.jobs
        return max(
            caller.ended_s - seen[job_id].first_seen_s
            for job_id, caller in self.callers.items()
            if job_id in seen
        )

    def part_ended(self, queue: Arrivals, by_s: float) -> float:
        own = [c for c in self.callers.values() if c.queue is queue]
        return sum(caller.ended_s <= by_s for caller in own) / len(own)

    def _draw_callers(self, queue: Arrivals) -> None:
        times_s = []
        ends_s = [*(since_s for since_s, _ in queue.rates_per_s[1:]), self.load.lasts_s]
        for (at_s, rate), end_s in zip(queue.rates_per_s, ends_s, strict=True):
            while (at_s := at_s + self.random.expovariate(rate)) < end_s:
                times_s.append(at_s)
        for at_s in times_s:
            job_id = f"{len(self.callers):016x}"
            error = self.load.estimate_error
            factor = self.random.uniform(1 - error, 1 + error)
            step = Step(
                queue.tasks,
                int(1000 * queue.cores),
                estimate_ms=max(1, int(1000 * queue.run_s * factor)),
            )
            chain = [replace(step, depends_on=(n - 1,)) for n in range(1, queue.steps)]
            spec = make_spec(
                job_id,
                (step, *chain),
                priority=queue.priority,
                stretch=STRETCH,
                target_ms=int(1000 * TARGET_S),
                organisation=queue.organisation,
            )
            queue_key = f"queue-{self.load.queues.index(queue)}"
            spec = replace(spec, queue=queue_key)
            self.callers[job_id] = Caller(queue, spec, at_s)
            self._submissions.append((at_s, job_id))

    def _step(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            self._end_task(*heapq.heappop(self._ends))
        begin_s, end_s = self.load.drained_s
        for worker in list(self.state.workers.values())[: self.load.workers // 2]:
            worker.draining = begin_s <= now_s < end_s
        paused = self.load.paused_s[0] <= now_s < self.load.paused_s[1]
        if now_s >= self._digest[0] + HEARTBEAT_S and not paused:
            meter = self.state.backlog_meter
            self._digest = (now_s, meter.encode(self.state, now_s))
        while self._submissions and self._submissions[0][0] <= now_s:
            self._submit(self.callers[heapq.heappop(self._submissions)[1]], now_s)
        for caller in self.callers.values():
            if now_s - TICK_S < caller.first_s + caller.queue.gives_up_s <= now_s:
                self.state.cancel(caller.spec.name)
        if paused:
            return
        for placed in place_tasks(self.state, now_s, 0):
            confirm_start(self.state, placed.ref, placed.attempt, now_s)
            # Drawn by task, so that two policies meet the same run times.
            draw = random.Random(f"{self.seed} {placed.ref}")
            run_s = self.callers[placed.ref[0]].queue.run_s * draw.uniform(0.6, 1.4)
            if draw.random() < self.load.tail:
                run_s *= 7
            heapq.heappush(self._ends, (now_s + run_s, *placed.ref, run_s))

    def _end_task(
        self, at_s: float, job_id: str, key: tuple[int, int, int], run_s: float
    ) -> None:
        job = self.state.jobs[job_id]
        task = job.tasks[key]
        self.state.workers[task.worker].free((job_id, key), at_s)
        self.state.times.record(job.spec.queue, run_s)
        job.mark_done(task, at_s)
        self.state.record_task_done(job, at_s)
        if job.state == JobState.COMPLETED:
            self.callers[job_id].ended_s = at_s

    def _submit(self, caller: Caller, now_s: float) -> None:
        sent_s, values = self._digest
        decoded = decode_backlog(values)
        if not self.naive and self.digest_age_s is not None and decoded is not None:
            age_s = decoded[1] + now_s - sent_s + HEARTBEAT_S + self.digest_age_s
            backlog = self._distort(decoded[0])
            verdict = judge_job(caller.spec, backlog, age_s, self.random.random())
            if verdict.refused:
                self.refusals_s.append(now_s)
                caller.tries += 1
                caller.refused = caller.tries > self.load.retries
                if not caller.refused:
                    retry_s = now_s + math.ceil(verdict.retry_after_s)
                    heapq.heappush(self._submissions, (retry_s, caller.spec.job_id))
                return
        self.state.add_job(caller.spec, now_s)

    def _distort(self, backlog: Backlog) -> Backlog:
        return replace(
            backlog,
            late_core_s=int(backlog.late_core_s * self.distort),
            on_time_core_s=tuple(
                int(core_s * self.distort) for core_s in backlog.on_time_core_s
            ),
        )


def _worker(number: int) -> WorkerRecord:
    return WorkerRecord(
        f"w{number}", CELL, "10.0.0.1:80", "z1", False, 1, 16_000, 65_536, 0, ("a", "r")
    )
