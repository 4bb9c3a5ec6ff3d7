"""Timeout of store calls that follows the durations of earlier calls (RFC 6298)."""

from __future__ import annotations

# Bounds of the timeout. A call that is given up too early is repeated, and makes the
# queue of a store that has just turned slow longer: the lower bound is far above the
# usual latency. The upper one leaves time for one more try before a caller's usual
# deadline of 3 s.
SHORTEST_S = 1.2
LONGEST_S = 2.8

# Weights of the newest sample in the moving means of the duration and its deviation,
# and the number of deviations beyond the mean that a call may take.
MEAN_RATE = 1 / 8
DEVIATION_RATE = 1 / 4
DEVIATIONS = 4.0


class AnswerTimeout:
    """Estimates how long an answer can take.

    :ivar mean_s: moving mean of the durations, 0 before the first answer
    :ivar timeout_s: time after which a call should be given up
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.timeout_s = SHORTEST_S
        self._deviation_s = 0.0

    def record_answer(self, took_s: float) -> None:
        """Record the duration of a call that was answered."""
        if self.mean_s == 0.0:
            self.mean_s, self._deviation_s = took_s, took_s / 2
        else:
            error_s = took_s - self.mean_s
            self._deviation_s += DEVIATION_RATE * (abs(error_s) - self._deviation_s)
            self.mean_s += MEAN_RATE * error_s
        estimate_s = self.mean_s + DEVIATIONS * self._deviation_s
        self.timeout_s = min(LONGEST_S, max(SHORTEST_S, estimate_s))

    def record_silence(self, timeout_s: float) -> None:
        """Record that no answer came within a timeout; later calls get more time."""
        self.timeout_s = min(LONGEST_S, max(self.timeout_s, 2 * timeout_s))
