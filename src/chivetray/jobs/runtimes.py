"""Run times learned from tasks that have ended."""

from __future__ import annotations

# Weight of the newest run; about the last ten count.
LEARNING_RATE = 0.15

# Runs after which the learned time replaces the caller's estimate.
RUNS_BEFORE_TRUST = 3


class RunTimes:
    """Mean run time of the tasks of each queue and step."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}
        self._runs: dict[str, int] = {}

    def learn(self, queue: str, run_s: float) -> None:
        """Record the run time of a task that ended as done."""
        runs = self._runs.get(queue, 0) + 1
        rate = max(LEARNING_RATE, 1 / runs)
        mean = self._mean_s.get(queue, run_s)
        self._mean_s[queue] = mean + rate * (run_s - mean)
        self._runs[queue] = runs

    def expected_s(self, queue: str, estimate_ms: int) -> float:
        """Return the run time to expect of a task."""
        if self._runs.get(queue, 0) >= RUNS_BEFORE_TRUST:
            return self._mean_s[queue]
        return estimate_ms / 1000
