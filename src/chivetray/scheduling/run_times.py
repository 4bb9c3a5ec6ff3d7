"""Run times estimated from finished tasks."""

from __future__ import annotations

# Weight of the newest run in the moving average; about the last ten runs count.
LEARNING_RATE = 0.15

# Number of runs after which the measured mean replaces the caller's estimate.
MIN_RUNS = 3


class RunTimes:
    """Exponential moving average of the task run times of each queue."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._runs: dict[str, int] = {}

    def record(self, queue: str, run_s: float) -> None:
        """Record the run time of a task that was completed."""
        runs = self._runs.get(queue, 0) + 1
        rate = max(LEARNING_RATE, 1 / runs)
        mean = self._mean_s.get(queue, run_s)
        self._mean_s[queue] = mean + rate * (run_s - mean)
        self._runs[queue] = runs

    def expected_s(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time of a task."""
        if self._runs.get(queue, 0) >= MIN_RUNS:
            return self._mean_s[queue]
        return estimate_ms / 1000
