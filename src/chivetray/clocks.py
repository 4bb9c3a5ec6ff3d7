"""Clocks: time since boot, which includes suspended time, and the time of day."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return the time since boot in seconds.

    Unlike the monotonic clock, it includes the time for which the VM was suspended,
    so leases are measured with it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_ms() -> int:
    """Return the time of day in ms since 1970."""
    return time.time_ns() // 1_000_000
