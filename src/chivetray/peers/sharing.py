"""Divides the slots of one endpoint among the entries of its zone."""

from __future__ import annotations

from collections.abc import Mapping

from chivetray.peers.homes import rank_candidates

# Slots that an entry without demand gets, so that its next request does not wait
# for an exchange with the home. They are reserved only if this takes at most half
# of the endpoint's slots.
IDLE_SLOTS = 1


def divide_slots(endpoint: str, slots: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Return how many slots each entry gets.

    Demand is met by max-min fairness. The remaining slots are divided evenly among
    all entries, so that an entry can start requests before its demand is known.

    :param endpoint: name of the endpoint, which determines the entries that get
        the slots of an uneven division
    :param slots: total slots of the endpoint
    :param wants: slots that each live entry of the zone wants
    """
    if not wants:
        return {}
    order = rank_candidates(endpoint, wants)
    keeps_idle = len(order) * IDLE_SLOTS * 2 <= slots
    min_slots = IDLE_SLOTS if keeps_idle else 0
    demand = {entry: max(wants[entry], min_slots) for entry in order}
    shares = _divide_max_min(order, slots, demand)
    remaining = slots - sum(shares.values())
    for index, entry in enumerate(order):
        shares[entry] += remaining // len(order) + (index < remaining % len(order))
    return shares


def _divide_max_min(
    order: list[str], slots: int, demand: Mapping[str, int]
) -> dict[str, int]:
    """Return the max-min fair shares of the demand, at most ``slots`` in total."""
    shares = dict.fromkeys(order, 0)
    unsatisfied = [entry for entry in order if demand[entry] > 0]
    remaining = slots
    while remaining > 0 and unsatisfied:
        level = max(1, remaining // len(unsatisfied))
        for entry in unsatisfied:
            added = min(level, demand[entry] - shares[entry], remaining)
            shares[entry] += added
            remaining -= added
        unsatisfied = [name for name in unsatisfied if shares[name] < demand[name]]
    return shares
