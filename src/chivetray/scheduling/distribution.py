"""Distribution of run times in which recent runs weigh more."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Values are kept in thousandths: ms of a run time, or parts of its estimate.
LOWEST_MILLI = 1
HIGHEST_MILLI = 3600 * 1000
SIGNIFICANT_DIGITS = 2

# Counts are whole numbers, so the newest run counts this much before older ones are
# scaled down, and at most this much times ``2**RESCALE_HALF_LIVES``.
UNIT_WEIGHT = 1024
RESCALE_HALF_LIVES = 14.0


@dataclass(frozen=True, slots=True)
class Curve:
    """Cumulative distribution at one moment.

    :ivar values: distinct values, ascending
    :ivar ranks: share of the tasks that end by each value
    :ivar last: value beyond which nothing is known
    :ivar mean: mean, with tasks beyond ``last`` counted as ``last``
    :ivar weight: number of runs, of which older ones count less
    """

    values: Sequence[float] = ()
    ranks: Sequence[float] = ()
    last: float = 0.0
    mean: float = 0.0
    weight: float = 0.0

    def predict(self, quantile: float) -> float:
        """Return the value by which a share of further tasks is expected to end.

        The largest of ``n`` runs is only the ``n / (n + 1)`` quantile of further ones;
        decaying weights that add up to ``weight`` are worth twice as many equal ones.
        """
        return self.quantile(min(1.0, quantile * (1 + 0.5 / max(0.5, self.weight))))

    def quantile(self, quantile: float) -> float:
        """Return the value by which a share of the known tasks ended."""
        number = bisect_left(self.ranks, quantile - 1e-9)
        return self.values[number] if number < len(self.values) else self.last

    def rank(self, value: float) -> float:
        """Return the share of the tasks that end before a value, ties by half."""
        before = bisect_left(self.values, value)
        through = bisect_right(self.values, value)
        low = self.ranks[before - 1] if before else 0.0
        high = self.ranks[through - 1] if through else 0.0
        return (low + high) / 2

    def spread(self) -> float:
        """Return by which factor typical runs differ, as a logarithm."""
        return math.log(self.quantile(0.85) / max(1e-3, self.quantile(0.15)))


@dataclass(slots=True)
class DecayingDistribution:
    """Histogram of ended runs whose weight doubles with each half-life.

    A half-life is a unit of ``time``, which the caller chooses and which never
    decreases.
    """

    _base_time: float = 0.0
    _histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MILLI, HIGHEST_MILLI, SIGNIFICANT_DIGITS
        )
    )

    def record(self, value: float, time: float, runs: float = 1.0) -> None:
        """Record a value.

        :param time: half-lives at which the run began
        :param runs: number of runs that it stands for
        """
        if time - self._base_time > RESCALE_HALF_LIVES:
            self._rescale(time)
        weight = max(1, round(runs * self._weigh(time)))
        milli = min(HIGHEST_MILLI, max(LOWEST_MILLI, round(value * 1000)))
        self._histogram.record_value(milli, weight)

    def derive_curve(
        self, time: float, running: Iterable[tuple[float, float]]
    ) -> Curve:
        """Return the distribution of ended and running tasks.

        This is the product-limit estimate (Kaplan and Meier): a running task counts
        among those that may end until the time it has run for. Without that, only the
        short runs of a batch would be known while its long ones run.

        :param running: elapsed value of each running task and half-lives at its start
        """
        ended = self._ended()
        censored = sorted((value, self._weigh(start)) for value, start in running)
        newest_weight = self._weigh(time)
        total = sum(weight for _, weight in ended)
        if not total:
            return Curve()
        at_risk = total + sum(weight for _, weight in censored)
        survival, mean, previous = 1.0, 0.0, 0.0
        values: list[float] = []
        ranks: list[float] = []
        position = 0
        for value, weight in ended:
            while position < len(censored) and censored[position][0] < value:
                at_risk -= censored[position][1]
                position += 1
            mean += survival * (value - previous)
            survival *= max(0.0, 1 - weight / max(weight, at_risk))
            at_risk -= weight
            values.append(value)
            ranks.append(1 - survival)
            previous = value
        last = max(previous, censored[-1][0] if censored else 0.0)
        mean += survival * (last - previous)
        return Curve(values, ranks, last, mean, total / newest_weight)

    def _weigh(self, time: float) -> float:
        return UNIT_WEIGHT * math.exp2(max(-60.0, time - self._base_time))

    def _ended(self) -> list[tuple[float, int]]:
        """Return the recorded values, ascending, with their weights."""
        histogram = self._histogram
        # A slice is read at once; the iterators of the library take ten times as long.
        return [
            (_middle(histogram, index) / 1000, count)
            for index, count in enumerate(histogram.counts[:])
            if count
        ]

    def _rescale(self, time: float) -> None:
        """Scale older weights down, so that counts stay small."""
        shift = 2.0 ** (time - self._base_time)
        ended, self._base_time = self._ended(), time
        self._histogram.reset()
        for value, weight in ended:
            if weight >= shift:
                self._histogram.record_value(int(value * 1000), int(weight / shift))


def _middle(histogram: HdrHistogram, index: int) -> float:
    """Return the middle of the values that are counted together."""
    low = histogram.get_value_from_index(index)
    next_low = histogram.get_value_from_index(index + 1)
    return 0.5 * (float(low) + float(next_low) - 1)
