"""Loads of the two deployments in HARD-LOAD.md, as run times of single tasks."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from chivetray.scheduling.run_times import RunningTask, RunTimes

QUEUE, KIND = "q", "image"

# Share of tasks that take longer, and how many times as long.
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0

# Estimates are off by a factor of up to 0.9 in either direction.
ESTIMATE_ERROR = 0.9

SNAPSHOT_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class Load:
    """Tasks of one queue.

    :ivar spread: standard deviation of the logarithm of the run times
    :ivar tail_share: share of the tasks that take ``TAIL_FACTOR`` times as long
    :ivar pace: multiple of the run times at a time
    :ivar rate: multiple of the mean rate at a time
    """

    tasks_per_s: float
    run_s: float
    spread: float = 0.2
    tail_share: float = TAIL_SHARE
    pace: Callable[[float], float] = lambda _now_s: 1.0
    rate: Callable[[float], float] = lambda _now_s: 1.0


# Small and large jobs of gift vouchers and taxi dispatch: tasks per second of a queue.
LOADS = {
    "vouchers-small": Load(11.4 * 1.6 * 8, 0.8),
    "vouchers-large": Load(3.03 * 2 * 8, 1.3),
    "taxi-small": Load(11.8 * 1.6 * 8, 0.68, spread=0.4),
    "taxi-large": Load(1.84 * 2 * 8, 1.8, spread=0.4),
}


@dataclass(order=True, slots=True)
class Run:
    """One task that runs.

    :ivar predicted_s: what was predicted when it began
    """

    end_s: float
    begin_s: float
    run_s: float = field(compare=False)
    estimate_ms: int = field(compare=False)
    predicted_s: float = field(compare=False)


def draw_run_s(load: Load, rng: random.Random, now_s: float) -> float:
    """Return the run time of a task that begins now."""
    run_s = load.run_s * load.pace(now_s) * rng.lognormvariate(0, load.spread)
    return run_s * (TAIL_FACTOR if rng.random() < load.tail_share else 1.0)


def play(
    times: RunTimes, load: Load, tasks: int, seed: int, quantile: float = 0.9
) -> Iterator[Run]:
    """Run tasks whose run times are learned as they end; yield them as they end."""
    rng = random.Random(seed)
    now_s = snapshot_s = 0.0
    running: list[Run] = []
    for _ in range(tasks):
        now_s += rng.expovariate(load.tasks_per_s * load.rate(now_s))
        while running and running[0].end_s <= now_s:
            yield _end(times, heapq.heappop(running))
        if now_s - snapshot_s >= SNAPSHOT_INTERVAL_S:
            snapshot_s = now_s
            times.record_running(
                (
                    RunningTask(QUEUE, KIND, now_s - run.begin_s, run.estimate_ms)
                    for run in running
                ),
                now_s,
            )
        run_s = draw_run_s(load, rng, now_s)
        error = rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
        estimate_ms = max(1, round(run_s * error * 1000))
        predicted_s = times.predict(QUEUE, KIND, quantile, estimate_ms)
        run = Run(now_s + run_s, now_s, run_s, estimate_ms, predicted_s)
        heapq.heappush(running, run)
    while running:
        yield _end(times, heapq.heappop(running))


def _end(times: RunTimes, run: Run) -> Run:
    times.record(QUEUE, run.run_s, KIND, run.estimate_ms, run.end_s)
    return run
