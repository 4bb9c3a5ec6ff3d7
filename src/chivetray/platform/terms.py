"""What the parts of the platform's terms that are in force ask of a manager."""

from __future__ import annotations

from collections.abc import Iterable

# Part of the terms of deployments whose callers compete for too little capacity.
SHORTAGE_TERM = "pressure"


def expect_shortage(terms: Iterable[str]) -> bool:
    """Return whether callers are to expect that jobs are refused under shortage."""
    return SHORTAGE_TERM in terms
