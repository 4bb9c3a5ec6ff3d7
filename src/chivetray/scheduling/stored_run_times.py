"""Learned run times in brief, as the row of a cell holds them for its next owner."""

from __future__ import annotations

import math
from typing import Any

from chivetray.scheduling.distribution import Curve

# Quantiles of each distribution, entries, and the runs that one counts for at most, so
# that a new owner soon follows what it sees itself.
STORED_POINTS = 32
MAX_STORED_ENTRIES = 16
MAX_STORED_RUNS = 20.0


def sample(curve: Curve) -> list[int]:
    """Return evenly spaced quantiles, in thousandths."""
    if not curve.weight:
        return []
    ranks = ((number + 0.5) / STORED_POINTS for number in range(STORED_POINTS))
    return [max(1, round(1000 * curve.quantile(rank))) for rank in ranks]


def check(item: Any) -> tuple[str, str, float, list[float], list[float]]:
    """Return one item of a dump, with times in s.

    :raises ValueError: if it is malformed
    """
    try:
        queue, kind, runs, *samples = item
        run_s, ratios = ([value / 1000 for value in points] for points in samples)
        is_valid = 0 < runs <= 1000 and bool(run_s)
    except TypeError as error:
        raise ValueError(f"malformed run times: {error}") from error
    points = [*run_s, *ratios]
    is_valid = is_valid and isinstance(queue, str) and isinstance(kind, str)
    is_valid = is_valid and all(math.isfinite(p) and p > 0 for p in points)
    if not is_valid or len(points) > 2 * STORED_POINTS:
        raise ValueError("malformed run times")
    return queue, kind, min(MAX_STORED_RUNS, runs), run_s, ratios
