"""Weighted max-min shares of the dominant resource of organisations."""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from typing import TypeVar

from chivetray.organisations.model import Resources

# Weight of an organisation that has none, and of jobs without an organisation. It is
# small beside the weight of one job per second, but lets their work proceed.
MIN_WEIGHT = 0.1

# Difference of shares that counts as a shortage. Smaller ones are rounding errors.
SHORTAGE = 1e-9

Item = TypeVar("Item")


def dominant_share(use: Resources, capacity: Resources) -> float:
    """Return the largest share of any resource of the capacity that is in use."""
    pairs = (
        (use.cpu_milli, capacity.cpu_milli),
        (use.mem_mb, capacity.mem_mb),
        (use.gpu, capacity.gpu),
    )
    return max((amount / total for amount, total in pairs if total > 0), default=0.0)


def fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], total: float = 1.0
) -> dict[str, float]:
    """Return the weighted max-min share of each organisation.

    Whoever demands less than its part by weight gets all of it; the others divide what
    is left by their weights.

    :param demands: dominant share that each organisation could use
    """
    shares: dict[str, float] = {}
    weight_left = sum(_weight(weights, name) for name in demands)
    left = total
    for name in sorted(demands, key=lambda n: (demands[n] / _weight(weights, n), n)):
        weight = _weight(weights, name)
        shares[name] = min(demands[name], max(0.0, left) * weight / weight_left)
        left -= shares[name]
        weight_left -= weight
    return shares


def is_saturated(demands: Mapping[str, float], weights: Mapping[str, float]) -> bool:
    """Return whether any organisation's fair share is below its demand."""
    shares = fair_shares(demands, weights)
    return any(shares[name] < demands[name] - SHORTAGE for name in demands)


def order_by_share(
    jobs: Mapping[str, Sequence[tuple[Item, float]]],
    used_shares: Mapping[str, float],
    weights: Mapping[str, float],
) -> list[Item]:
    """Return the jobs of several organisations in the order in which they get room.

    Each time, the organisation that has least against its weight gets its next job,
    which then counts as in use. Served to the end of the capacity, this gives the
    shares of :func:`fair_shares`.

    :param jobs: by organisation, its jobs in their order, with their dominant shares
    """
    heap = [
        (used_shares.get(name, 0.0) / _weight(weights, name), name, 0)
        for name in sorted(jobs)
        if jobs[name]
    ]
    heapq.heapify(heap)
    ordered: list[Item] = []
    while heap:
        level, name, position = heapq.heappop(heap)
        item, share = jobs[name][position]
        ordered.append(item)
        if position + 1 < len(jobs[name]):
            level += share / _weight(weights, name)
            heapq.heappush(heap, (level, name, position + 1))
    return ordered


def _weight(weights: Mapping[str, float], name: str) -> float:
    return max(MIN_WEIGHT, weights.get(name, 0.0))
