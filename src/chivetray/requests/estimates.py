"""Estimates how long requests of a service run."""

from __future__ import annotations

from dataclasses import dataclass

# Weights of a new sample, as in the round-trip estimator of TCP.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_COUNT = 2


@dataclass(slots=True)
class RunTimeEstimate:
    """Moving mean and deviation of run times in seconds."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    sample_count: int = 0

    def record(self, run_s: float) -> None:
        """Update the estimate by one run time."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_s, self.deviation_s = run_s, run_s / 2
            return
        error_s = run_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)

    @property
    def upper_estimate_s(self) -> float:
        """Run time that few requests exceed: mean plus a multiple of the deviation."""
        return self.mean_s + DEVIATION_COUNT * self.deviation_s
