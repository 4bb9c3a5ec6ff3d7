"""Share at which filling tasks may work beside serving ones."""

from __future__ import annotations

# Worst tail against its target above which filling tasks are slowed down, and below
# which they may speed up. The report is rough and up to half a second old.
SLOW_DOWN_ABOVE = 0.85
SPEED_UP_BELOW = 0.6

# Fast down, so that a tail stays above its target for less than the bound on harm.
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 8

# Shares below this are set to 0.
LEAST_PERCENT = 5


def choose_pace(percent: int, worst: float) -> int:
    """Return the next share of a filling task.

    :param percent: present share
    :param worst: worst tail of the serving tasks on the worker against its target,
        0 without any
    """
    if worst > 1.0:
        return 0
    if worst > SLOW_DOWN_ABOVE:
        slower = int(percent * SLOW_DOWN_FACTOR)
        return slower if slower >= LEAST_PERCENT else 0
    if worst < SPEED_UP_BELOW:
        return min(100, percent + SPEED_UP_STEP)
    return percent
