"""Divides the slots of one endpoint among the entries of its zone."""

from __future__ import annotations

from collections.abc import Mapping

from chivetray.peers.homes import rank_candidates

# An entry keeps this many slots without any demand, so that its next request
# does not wait for an exchange with the home, as long as that costs at most
# half of the endpoint.
IDLE_SLOTS = 1


def divide_slots(endpoint: str, slots: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Return how many slots each entry gets.

    Demand is met by max-min fairness; what is left goes evenly to all, so that
    an entry can start requests before its demand is known.

    :param endpoint: name of the endpoint, which decides who gets odd slots
    :param slots: slots of the endpoint
    :param wants: slots that each live entry of the zone wants
    """
    if not wants:
        return {}
    order = rank_candidates(endpoint, wants)
    keeps_idle = len(order) * IDLE_SLOTS * 2 <= slots
    least = IDLE_SLOTS if keeps_idle else 0
    demand = {entry: max(wants[entry], least) for entry in order}
    shares = _fill(order, slots, demand)
    left = slots - sum(shares.values())
    for index, entry in enumerate(order):
        shares[entry] += left // len(order) + (index < left % len(order))
    return shares


def _fill(order: list[str], slots: int, demand: Mapping[str, int]) -> dict[str, int]:
    """Meet the demand by max-min fairness."""
    shares = dict.fromkeys(order, 0)
    open_entries = [entry for entry in order if demand[entry] > 0]
    left = slots
    while left > 0 and open_entries:
        level = max(1, left // len(open_entries))
        for entry in open_entries:
            added = min(level, demand[entry] - shares[entry], left)
            shares[entry] += added
            left -= added
        open_entries = [e for e in open_entries if shares[e] < demand[e]]
    return shares
