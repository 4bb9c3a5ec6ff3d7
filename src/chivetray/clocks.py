"""Clocks: time since boot, the time of day, and the clocks of other processes."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass

# Largest assumed drift of another process's clock against the local one: 2% slow or
# fast.
CLOCK_DRIFT = 0.02

# Error of the difference of two readings in whole ms.
ROUNDING_MS = 2


def boot_time_s() -> float:
    """Return the time since boot in seconds.

    Unlike the monotonic clock, it includes the time for which the VM was suspended,
    so leases are measured with it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time_ms() -> int:
    """Return the time of day in ms since 1970."""
    return time.time_ns() // 1_000_000


@dataclass(slots=True)
class RemoteClock:
    """Bounds on another process's monotonic clock, derived from its replies.

    :ivar sent_at_s: local time at which the request was sent
    :ivar received_at_s: local time at which its reply arrived
    :ivar known: whether any reply has been observed
    """

    clock_ms: int = 0
    sent_at_s: float = 0.0
    received_at_s: float = 0.0
    known: bool = False

    def observe(self, clock_ms: int, sent_at_s: float, received_at_s: float) -> None:
        """Record the clock of a reply; replies to earlier requests are ignored."""
        if self.known and sent_at_s < self.sent_at_s:
            return
        self.clock_ms = clock_ms
        self.sent_at_s = sent_at_s
        self.received_at_s = received_at_s
        self.known = True

    def bounds_ms(self, sent_at_s: float, received_at_s: float) -> tuple[int, int]:
        """Return the least and the greatest reading that a reply may show.

        A reply outside of them is of another clock. It may be older than the one that
        was observed.

        :param sent_at_s: local time at which the request was sent
        :param received_at_s: local time at which its reply arrived
        """
        shortest_s = sent_at_s - self.received_at_s
        longest_s = received_at_s - self.sent_at_s
        least_s = shortest_s - CLOCK_DRIFT * abs(shortest_s)
        greatest_s = longest_s + CLOCK_DRIFT * abs(longest_s)
        return (
            self.clock_ms + math.floor(least_s * 1000) - ROUNDING_MS,
            self.clock_ms + math.ceil(greatest_s * 1000) + ROUNDING_MS,
        )

    def lower_bound_ms(self, now_s: float) -> int:
        """Return a lower bound on the present time of the clock."""
        elapsed_s = (now_s - self.received_at_s) * (1 - CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_s * 1000)

    def upper_bound_ms(self, now_s: float) -> int:
        """Return an upper bound on the present time of the clock."""
        elapsed_s = (now_s - self.sent_at_s) * (1 + CLOCK_DRIFT)
        return self.clock_ms + math.ceil(elapsed_s * 1000)
