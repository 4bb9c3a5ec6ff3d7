"""Retry budget: limits the load that retries add."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.generated.settings import RetrySettings


@dataclass(slots=True)
class RetryBudget:
    """Token bucket to which requests add and from which each retry takes one token.

    :ivar ratio: tokens that each request adds
    :ivar burst: maximum number of tokens
    """

    ratio: float
    burst: float
    tokens: float

    @classmethod
    def from_config(cls, settings: RetrySettings) -> RetryBudget:
        """Create a full budget."""
        burst = settings.budget_burst
        return cls(settings.budget_ratio, burst, burst)

    def add_request(self) -> None:
        """Add the tokens of a new request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take_retry(self) -> bool:
        """Take the token for a retry and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
