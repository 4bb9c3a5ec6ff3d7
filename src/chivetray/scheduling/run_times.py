"""Run times of tasks, learned as distributions.

Runs are kept by queue and by the image of their step (its number where it has none).
An estimate blends, according to the evidence: what the same step of the queue took,
what all tasks of the queue took, and the caller's estimate.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivetray.jobs.model import Step
from chivetray.scheduling.distribution import Curve, DecayingDistribution
from chivetray.scheduling.stored_run_times import (
    MAX_STORED_ENTRIES,
    MAX_STORED_RUNS,
    check,
    sample,
)

# Each queue and each image or step of it has two distributions: run times, and run
# times as multiples of the caller's estimates.
MAX_DISTRIBUTIONS = 64
MAX_ENTRIES = MAX_DISTRIBUTIONS // 2

# A run counts half of a newer one after this many further runs, but not before this
# time: in a peak, hundreds of runs end before the first long one does.
HALF_LIFE_RUNS = 45
HALF_LIFE_S = 1.0

# Number of runs that the caller's estimate counts for, and the runs of the whole queue.
PRIOR_RUNS = 2.0

# Multiples of the estimate are used where they vary by less than the run times by this
# factor, and this many runs are known. The margin avoids changes to and fro.
RATIO_GAIN = 0.9
MIN_RATIO_RUNS = 8.0

# Share of new runs after which a curve is derived anew.
REFRESH_SHARE = 0.1

# Curves of run times after which the one of multiples is derived while it is not used.
RATIO_REFRESH = 8

# Running tasks of one entry that are regarded; of more, every second, third and so on.
MAX_RUNNING = 256

# Times between samples of the decay, and number of samples: they reach back 16 s.
SAMPLE_INTERVAL_S = 0.25
MAX_SAMPLES = 64

# Estimates that are kept until a curve changes.
MAX_CACHED = 2000

# Runs from which a distribution is evidence against a single run.
MIN_RUNS_TO_COMPARE = 20.0


def kind_of(step: Step, number: int) -> str:
    """Return what a step's run times are learned by, within its queue."""
    return step.image or f"#{number}"


class _What(Enum):
    MEAN = "mean"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that runs, and for how long it has."""

    queue: str
    kind: str
    elapsed_s: float
    estimate_ms: int = 0


@dataclass(slots=True)
class _Entry:
    """Evidence on the tasks of a queue, or on those of one kind.

    :ivar half_lives: time that decay is counted in
    :ivar version: number of the curves derived so far
    """

    run_s: DecayingDistribution = field(default_factory=DecayingDistribution)
    ratio: DecayingDistribution = field(default_factory=DecayingDistribution)
    half_lives: float = 0.0
    version: int = 0
    curve: Curve = field(default_factory=Curve)
    ratio_curve: Curve = field(default_factory=Curve)
    uses_ratio: bool = False
    cache: dict[Any, tuple[int, int, float]] = field(default_factory=dict)
    _new_runs: float = 0.0
    _last_s: float | None = None
    _credit_s: float = 0.0
    _running: list[tuple[float, int, float]] = field(default_factory=list)
    _samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def record(self, run_s: float, estimate_ms: int, now_s: float | None) -> None:
        """Record an ended run, weighed by when it began.

        Weighed by their ends, long runs would seem more frequent after a change of
        the rate of arrivals than they are.
        """
        self._advance(now_s)
        start = self.half_lives if now_s is None else self._time_at(now_s - run_s)
        self.run_s.record(run_s, start)
        if estimate_ms > 0:
            self.ratio.record(run_s * 1000 / estimate_ms, start)
        self._new_runs += 1

    def record_running(self, running: list[tuple[float, int]], now_s: float) -> None:
        """Replace the tasks that run, given by elapsed time and estimate."""
        stride = len(running) // MAX_RUNNING + 1
        self._running = [
            (elapsed_s, estimate_ms, self._time_at(now_s - elapsed_s))
            for elapsed_s, estimate_ms in running[::stride]
            for _ in range(stride)
        ]
        if running:
            self._new_runs += 1 + REFRESH_SHARE * self.curve.weight

    def refresh(self) -> None:
        """Derive the curves anew if enough is new."""
        if self._new_runs <= REFRESH_SHARE * self.curve.weight:
            return
        self._new_runs = 0.0
        self.version += 1
        running = ((elapsed_s, start) for elapsed_s, _, start in self._running)
        self.curve = self.run_s.derive_curve(self.half_lives, running)
        if self.uses_ratio or self.version % RATIO_REFRESH == 1:
            self._refresh_ratio()

    def _refresh_ratio(self) -> None:
        self.ratio_curve = self.ratio.derive_curve(
            self.half_lives,
            (
                (elapsed_s * 1000 / estimate_ms, start)
                for elapsed_s, estimate_ms, start in self._running
                if estimate_ms > 0
            ),
        )
        if self.ratio_curve.weight < MIN_RATIO_RUNS:
            self.uses_ratio = False
        else:
            gain = 1.0 if self.uses_ratio else RATIO_GAIN
            spread = self.ratio_curve.spread()
            self.uses_ratio = spread < gain * self.curve.spread()

    def learned(self, estimate_ms: int) -> tuple[Curve, float]:
        """Return the better curve and what to multiply its values by."""
        if self.uses_ratio and estimate_ms > 0:
            return self.ratio_curve, estimate_ms / 1000
        return self.curve, 1.0

    def adopt(self, run_s: list[float], ratios: list[float], runs: float) -> None:
        """Add what an earlier owner has learned, as older than all that is known."""
        for values, distribution in ((run_s, self.run_s), (ratios, self.ratio)):
            for value in values:
                distribution.record(value, 0.0, runs / len(values))
        self._new_runs += 1

    def _advance(self, now_s: float | None) -> None:
        step = 1 / HALF_LIFE_RUNS
        if now_s is not None:
            # Ends that one report lists come at the same time.
            since_s = HALF_LIFE_S if self._last_s is None else now_s - self._last_s
            self._credit_s = min(HALF_LIFE_S, self._credit_s + max(0.0, since_s))
            self._last_s = now_s
            step = min(step, self._credit_s / HALF_LIFE_S)
            self._credit_s -= step * HALF_LIFE_S
        self.half_lives += step
        if now_s is not None and (
            not self._samples or now_s - self._samples[-1][0] >= SAMPLE_INTERVAL_S
        ):
            self._samples.append((now_s, self.half_lives))

    def _time_at(self, at_s: float) -> float:
        """Return the half-lives at an earlier time."""
        if not self._samples:
            return self.half_lives
        number = bisect_right(self._samples, at_s, key=lambda sample: sample[0])
        if number:
            return self._samples[number - 1][1]
        first_s, first = self._samples[0]
        return max(0.0, first - (first_s - at_s) / HALF_LIFE_S)


class RunTimes:
    """Distributions of the task run times of a cell."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], _Entry] = {}
        self.version = 0

    def __len__(self) -> int:
        """Return the number of distributions."""
        return 2 * len(self._entries)

    # Evidence

    def record(
        self,
        queue: str,
        run_s: float,
        kind: str = "",
        estimate_ms: int = 0,
        now_s: float | None = None,
    ) -> None:
        """Record the run time of a task that was completed.

        :param kind: see :func:`kind_of`
        :param now_s: time of its end; without it, runs decay by number alone
        """
        self.version += 1
        self._entry(queue, "").record(run_s, estimate_ms, now_s)
        if kind:
            self._entry(queue, kind).record(run_s, estimate_ms, now_s)

    def record_running(self, tasks: Iterable[RunningTask], now_s: float) -> None:
        """Replace the tasks that are known to run; their run times are longer."""
        running: dict[tuple[str, str], list[tuple[float, int]]] = {}
        for task in tasks:
            for key in ((task.queue, ""), (task.queue, task.kind)):
                elapsed = (max(0.0, task.elapsed_s), task.estimate_ms)
                running.setdefault(key, []).append(elapsed)
        for key, entry in self._entries.items():
            entry.record_running(running.get(key, []), now_s)

    def _entry(self, queue: str, kind: str) -> _Entry:
        """Return an entry; the one that was unused for longest makes room for it."""
        key = (queue, kind)
        entry = self._entries.pop(key, None)
        if entry is None:
            if len(self._entries) >= MAX_ENTRIES:
                del self._entries[next(iter(self._entries))]
            entry = _Entry()
        self._entries[key] = entry
        return entry

    # Estimates

    def expected_s(self, queue: str, estimate_ms: int, kind: str = "") -> float:
        """Return the typical run time of a task, the median."""
        return self._estimate(queue, kind, 0.5, estimate_ms)

    def mean_s(self, queue: str, estimate_ms: int, kind: str = "") -> float:
        """Return the mean run time of a task, its tail included."""
        return self._estimate(queue, kind, _What.MEAN, estimate_ms)

    def predict(
        self, queue: str, step: str | int, quantile: float, estimate_ms: int
    ) -> float:
        """Return the run time by which a share of such tasks ends, in seconds.

        Without evidence, that is the caller's estimate.

        :param step: image of the step, or its number if it has none
        """
        kind = step if isinstance(step, str) else f"#{step}"
        return self._estimate(queue, kind, quantile, estimate_ms)

    def remaining_s(
        self, queue: str, kind: str, estimate_ms: int, elapsed_s: float
    ) -> float:
        """Return the typical time until the end of a task that runs.

        A task that has run for longer than most others belongs to the tail, so that
        more time is left for it than the typical run time less that.
        """
        entry = self._find(queue, kind)
        if entry is not None:
            curve, scale = entry.learned(estimate_ms)
            if curve.weight >= MIN_RUNS_TO_COMPARE:
                done = curve.rank(elapsed_s / scale)
                return max(0.0, scale * curve.quantile((1 + done) / 2) - elapsed_s)
        return max(0.0, self.expected_s(queue, estimate_ms, kind) - elapsed_s)

    def rank(
        self, queue: str, kind: str, estimate_ms: int, run_s: float
    ) -> float | None:
        """Return the share of such tasks that take less time, from 0 to 1.

        :return: ``None`` if too few runs are known
        """
        entry = self._entries.get((queue, kind))
        if entry is None:
            return None
        entry.refresh()
        curve, scale = entry.learned(estimate_ms)
        if curve.weight < MIN_RUNS_TO_COMPARE:
            return None
        return curve.rank(run_s / scale)

    def _find(self, queue: str, kind: str) -> _Entry | None:
        """Return the entry of a kind, or else of its queue."""
        entry = self._entries.get((queue, kind)) or self._entries.get((queue, ""))
        if entry is not None:
            entry.refresh()
        return entry

    def _estimate(
        self, queue: str, kind: str, what: float | _What, estimate_ms: int
    ) -> float:
        whole = self._entries.get((queue, ""))
        if whole is None:
            return estimate_ms / 1000
        whole.refresh()
        entry = self._entries.get((queue, kind)) if kind else None
        if entry is not None:
            entry.refresh()
        holder, version = entry or whole, entry.version if entry else 0
        cached = holder.cache.get((what, estimate_ms))
        if cached is not None and cached[:2] == (whole.version, version):
            return cached[2]
        value = _blend(whole, what, estimate_ms, estimate_ms / 1000)
        if entry is not None:
            value = _blend(entry, what, estimate_ms, value)
        if len(holder.cache) >= MAX_CACHED:
            holder.cache.clear()
        holder.cache[what, estimate_ms] = (whole.version, version, value)
        return value

    # Storage

    def dump(self) -> list[list[Any]]:
        """Return the evidence in brief, for the next owner.

        Each item holds queue, kind, number of runs, and quantiles of run times in ms
        and of multiples of the estimate in thousandths.
        """
        items: list[list[Any]] = []
        for (queue, kind), entry in list(self._entries.items())[-MAX_STORED_ENTRIES:]:
            entry.refresh()
            if entry.curve.weight:
                runs = round(min(MAX_STORED_RUNS, entry.curve.weight))
                curves = (entry.curve, entry.ratio_curve)
                items.append([queue, kind, max(1, runs), *map(sample, curves)])
        return items

    def restore(self, items: Any) -> None:
        """Add the evidence of an earlier owner.

        :raises ValueError: if it cannot be read; nothing is added then
        """
        checked = [check(item) for item in items] if isinstance(items, list) else None
        if checked is None or len(checked) > MAX_STORED_ENTRIES:
            raise ValueError("not a list of run times")
        for queue, kind, runs, run_s, ratios in checked:
            self._entry(queue, kind).adopt(run_s, ratios, runs)


def _blend(
    entry: _Entry, what: float | _What, estimate_ms: int, prior_s: float
) -> float:
    """Return what an entry has learned, blended with a prior as a geometric mean."""
    curve, scale = entry.learned(estimate_ms)
    if not curve.weight:
        return prior_s
    value = curve.mean if isinstance(what, _What) else curve.predict(what)
    learned_s = max(0.001, scale * value)
    if prior_s <= 0:
        return learned_s
    share = curve.weight / (curve.weight + PRIOR_RUNS)
    return math.exp(share * math.log(learned_s) + (1 - share) * math.log(prior_s))
