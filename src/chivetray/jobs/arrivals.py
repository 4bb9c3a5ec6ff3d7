"""Work that is asked for each second, from the jobs of the last moment."""

from __future__ import annotations

import math
from collections import deque

# Time over which arrivals are counted. A VM takes 1.5 s to come, and peaks rise
# within about 2 s.
WINDOW_S = 1.0


class ArrivalMeter:
    """Cores that arriving jobs will use, before their tasks are at work.

    What runs and waits shows a peak only as jobs pile up. The rate at which work
    arrives shows it earlier, but one large job is no peak: a count of ``n`` jobs
    is taken for ``n`` less its standard deviation, the root of ``n``.
    """

    def __init__(self) -> None:
        self._jobs: deque[tuple[float, float]] = deque()

    def note(self, now_s: float, core_s: float) -> None:
        """Record a job with the core-seconds that it needs."""
        self._jobs.append((now_s, core_s))

    def cores(self, now_s: float) -> float:
        """Return the cores that would keep up with the arrivals."""
        while self._jobs and now_s - self._jobs[0][0] > WINDOW_S:
            self._jobs.popleft()
        count = len(self._jobs)
        if not count:
            return 0.0
        work = sum(core_s for _, core_s in self._jobs)
        certain = (count - math.sqrt(count)) / count
        return certain * work / WINDOW_S
