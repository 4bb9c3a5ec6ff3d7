"""Clocks: one that counts suspended time, and the time of day."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return the time since boot in seconds.

    A VM that was suspended finds the time gone by on this clock, but not on the
    usual steady clock, so leases are decided on it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_ms() -> int:
    """Return the time of day in ms since 1970."""
    return time.time_ns() // 1_000_000
