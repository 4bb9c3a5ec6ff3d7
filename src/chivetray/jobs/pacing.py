"""Pace of best-effort tasks that share a worker with serving tasks."""

from __future__ import annotations

# Worst ratio of tail latency to target above which best-effort tasks are slowed down,
# and below which they may speed up. Reported latencies are imprecise and up to half a
# second old.
SLOW_DOWN_ABOVE = 0.85
SPEED_UP_BELOW = 0.6

# Slowing down is fast, so that a tail latency exceeds its target for less time than the
# bound on interference allows.
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 8

# Smaller shares become 0.
MIN_PERCENT = 5


def choose_pace(percent: int, worst_ratio: float) -> int:
    """Return the next share of full speed for a best-effort task, in percent.

    :param percent: current share
    :param worst_ratio: highest ratio of tail latency to target among the serving tasks
        on the worker, 0 if there are none
    """
    if worst_ratio > 1.0:
        return 0
    if worst_ratio > SLOW_DOWN_ABOVE:
        reduced_percent = int(percent * SLOW_DOWN_FACTOR)
        return reduced_percent if reduced_percent >= MIN_PERCENT else 0
    if worst_ratio < SPEED_UP_BELOW:
        return min(100, percent + SPEED_UP_STEP)
    return percent
