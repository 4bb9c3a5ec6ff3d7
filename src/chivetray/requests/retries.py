"""Retry budget: bounds how much repeated attempts add to the load."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.generated.settings import RetrySettings


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that every request fills a little and every retry empties.

    :ivar ratio: retries that each request adds
    :ivar burst: retries that the budget holds at most
    """

    ratio: float
    burst: float
    tokens: float

    @classmethod
    def from_config(cls, settings: RetrySettings) -> RetryBudget:
        """Make a full budget."""
        burst = settings.budget_burst
        return cls(settings.budget_ratio, burst, burst)

    def add_request(self) -> None:
        """Count a request's first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take_retry(self) -> bool:
        """Take one retry, if the budget has one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
