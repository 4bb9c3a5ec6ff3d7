"""Estimate of the CPU demand of jobs that arrive, from recent arrivals."""

from __future__ import annotations

import math
from collections import deque

# Sliding windows over which arrivals are counted. Moving a VM into a pool takes 1.5 s,
# and peaks build up within about 2 s: the short window shows the onset of a large peak,
# the long one a small peak that the short one cannot tell from chance.
WINDOW_S = 1.0
ONSET_WINDOW_S = 0.4

# Window that shows the onset of a peak of many small jobs 0.06 s earlier, and standard
# deviations that its count is lowered by: with 1.5, the 0.99 quantile of what is seen
# of steady arrivals was 5% higher.
EARLY_WINDOW_S = 0.12
EARLY_DEVIATIONS = 1.75

WINDOWS = ((EARLY_WINDOW_S, EARLY_DEVIATIONS), (ONSET_WINDOW_S, 1.0), (WINDOW_S, 1.0))


class ArrivalMeter:
    """Estimates the cores that arriving jobs will need before their tasks run.

    Running and waiting tasks reveal a peak only once jobs have piled up; the
    arrival rate reveals it earlier. A single large job is not a peak, so ``n``
    arrivals count as ``n`` minus their standard deviation, the square root of ``n``,
    or more of it in a short window.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, core_s: float) -> None:
        """Record the arrival of a job that needs some core-seconds of CPU."""
        self._arrivals.append((now_s, core_s))

    def required_cores(self, now_s: float) -> float:
        """Return the number of cores that would keep up with the arrival rate."""
        while self._arrivals and now_s - self._arrivals[0][0] > WINDOW_S:
            self._arrivals.popleft()
        return max(
            self._rate_within(window_s, deviations, now_s)
            for window_s, deviations in WINDOWS
        )

    def _rate_within(self, window_s: float, deviations: float, now_s: float) -> float:
        """Return the cores that keep up with the arrivals of the last seconds."""
        recent = [core_s for at_s, core_s in self._arrivals if now_s - at_s <= window_s]
        if not recent:
            return 0.0
        confidence = 1 - deviations / math.sqrt(len(recent))
        return max(0.0, confidence) * sum(recent) / window_s
