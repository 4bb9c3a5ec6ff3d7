"""Counts which jobs an organisation submits within its weight."""

from __future__ import annotations

import bisect

# Sliding window over which the jobs of an organisation are counted. An organisation
# with a weight below one job per second has a longer one, in which it may submit one.
WINDOW_S = 1.0

# Time before the newest job for which arrivals are kept. A new owner learns of older
# jobs too, but those have become late by then, and late jobs are not ordered by weight.
KEPT_S = 5.0


class WeightMeter:
    """Tells which jobs of an organisation are within its weight.

    Only jobs within the weight are counted: an organisation that submits twice its
    weight has half of its jobs within it, and not none.
    """

    def __init__(self) -> None:
        self._arrivals_s: dict[str, list[float]] = {}

    def record(
        self, organisation: str, weight_per_s: float | None, at_s: float
    ) -> bool:
        """Record a job; return whether it is within the weight.

        Jobs may be recorded in any order of time. Out of order, a window can hold up to
        twice the weight.

        :param weight_per_s: weight in jobs per second; ``None`` if it is not known, as
            of an organisation that was removed, so that nothing is beyond it
        """
        if weight_per_s is None:
            return True
        if weight_per_s <= 0:
            return False
        window_s = max(WINDOW_S, 1 / weight_per_s)
        arrivals = self._arrivals_s.setdefault(organisation, [])
        before = bisect.bisect_right(arrivals, at_s) - bisect.bisect_right(
            arrivals, at_s - window_s
        )
        after = bisect.bisect_left(arrivals, at_s + window_s) - bisect.bisect_left(
            arrivals, at_s
        )
        if max(before, after) + 1 > weight_per_s * window_s:
            return False
        bisect.insort(arrivals, at_s)
        kept_s = max(KEPT_S, window_s)
        del arrivals[: bisect.bisect_right(arrivals, arrivals[-1] - kept_s)]
        return True
