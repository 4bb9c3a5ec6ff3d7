"""Weights and fair shares of organisations, without a cell."""

from __future__ import annotations

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from chivetray.organisations.model import Resources
from chivetray.scheduling.fair_shares import (
    dominant_share,
    fair_shares,
    order_by_share,
)
from chivetray.scheduling.weights import WeightMeter

NAMES = st.sampled_from("abcdef")
DEMANDS = st.dictionaries(NAMES, st.floats(0, 3), min_size=1)
WEIGHTS = st.dictionaries(NAMES, st.floats(0.2, 20), min_size=6, max_size=6)


class TestWeights:
    @pytest.mark.parametrize("weight", [0.5, 1.0, 4.0])
    def test_an_organisation_above_its_weight_keeps_it(self, weight: float) -> None:
        """A count of all jobs put everything beyond the weight."""
        meter = WeightMeter()
        within = [meter.record("a", weight, n / 20) for n in range(400)]
        assert sum(within) == pytest.approx(20 * weight, abs=1)

    @given(st.lists(st.floats(0, 4), max_size=60), st.floats(0.3, 9), st.booleans())
    def test_no_window_holds_more_than_the_weight(
        self, times_s: list[float], weight: float, in_order: bool
    ) -> None:
        """Jobs of a restored cell come in any order of time."""
        meter = WeightMeter()
        for at_s in sorted(times_s) if in_order else times_s:
            meter.record("a", weight, at_s)
        kept = meter._arrivals_s.get("a", [])
        window_s = max(1.0, 1 / weight)
        for since_s in kept:
            count = sum(since_s <= at_s < since_s + window_s for at_s in kept)
            assert count <= max(1.0, weight) * (1 if in_order else 2)

    def test_without_a_weight(self) -> None:
        meter = WeightMeter()
        assert meter.record("unknown", None, 0.0)
        assert not meter.record("a", 0.0, 0.0)


class TestFairShares:
    @given(DEMANDS, WEIGHTS)
    def test_they_are_weighted_max_min(
        self, demands: dict[str, float], weights: dict[str, float]
    ) -> None:
        shares = fair_shares(demands, weights)
        assert sum(shares.values()) == pytest.approx(min(1, sum(demands.values())))
        for name, share in shares.items():
            assert share <= demands[name] + 1e-9
            if share < demands[name] - 1e-6:
                # Whoever is short has no less against its weight than any other.
                levels = [shares[other] / weights[other] for other in shares]
                assert share / weights[name] >= max(levels) - 1e-6

    @given(DEMANDS, WEIGHTS)
    def test_the_order_of_jobs_leads_to_them(
        self, demands: dict[str, float], weights: dict[str, float]
    ) -> None:
        """Guards against an order in which one organisation takes all the room."""
        assume(sum(demands.values()) > 1)
        piece = 0.002
        jobs = {
            name: [(name, piece)] * int(demand / piece)
            for name, demand in demands.items()
        }
        served = order_by_share(jobs, {}, weights)[: int(1 / piece)]
        shares = fair_shares(demands, weights)
        for name in demands:
            assert served.count(name) * piece == pytest.approx(shares[name], abs=0.02)

    def test_the_dominant_resource_counts(self) -> None:
        capacity = Resources(1000, 4000, 0)
        assert dominant_share(Resources(100, 2000, 0), capacity) == 0.5
