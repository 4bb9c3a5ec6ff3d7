"""Data types for organisations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of resources of workers.

    :ivar cpu_milli: CPU in thousandths of a core
    """

    cpu_milli: int = 0
    mem_mb: int = 0
    gpu: int = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation as the operator has configured it.

    :ivar weight_per_s: share when all workers are busy, in jobs per second; 0 for none
    :ivar cap: what it may have running on all workers together; 0 is no limit
    """

    name: str
    weight_per_s: float = 0.0
    cap: Resources = Resources()
