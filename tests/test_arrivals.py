"""Peaks that are seen from the jobs that arrive."""

from __future__ import annotations

import random

import pytest

from chivetray.scheduling import arrivals
from chivetray.scheduling.arrivals import WINDOW_S, ArrivalMeter


def meter(jobs: int, core_s: float) -> ArrivalMeter:
    """Return a meter that saw jobs spread over the last window."""
    made = ArrivalMeter()
    for number in range(jobs):
        made.record(number * WINDOW_S / max(1, jobs), core_s)
    return made


class TestPeakThatRises:
    def test_many_jobs_show_nearly_the_cores_that_they_will_use(self) -> None:
        assert 0.75 * 200 < meter(25, 8.0).required_cores(WINDOW_S) <= 200

    def test_a_peak_that_has_just_begun_is_seen_at_once(self) -> None:
        """Within 0.4 s, a count over one second shows less than a third of the peak."""
        made = ArrivalMeter()
        for number in range(10):
            made.record(10.01 + number * 0.04, 8.0)
        assert made.required_cores(10.4) > 0.6 * 200

    def test_one_large_job_is_no_peak(self) -> None:
        assert meter(1, 64.0).required_cores(WINDOW_S) == 0.0

    def test_it_is_over_when_no_more_jobs_come(self) -> None:
        assert meter(25, 8.0).required_cores(2.5 * WINDOW_S) == 0.0


# Small jobs of gift vouchers per second, and core-seconds of each: 1.6 steps of 8 tasks
# of 0.8 s on 6.2 cores.
SMALL_PER_S = 11.4
SMALL_CORE_S = 1.6 * 8 * 0.8 * 6.2


def onset_delay_s(seed: int) -> float:
    """Return the time from the first job of a peak until half of it is seen."""
    rng, made = random.Random(seed), ArrivalMeter()
    per_s, now_s = 5 * SMALL_PER_S, 10.0
    made.record(now_s, SMALL_CORE_S)
    while made.required_cores(now_s) < 0.5 * per_s * SMALL_CORE_S:
        now_s += rng.expovariate(per_s)
        made.record(now_s, SMALL_CORE_S)
    return now_s - 10.0


def steady_demand() -> list[float]:
    """Return what is seen of steady arrivals, ascending, as multiples of them."""
    rng, made = random.Random(1), ArrivalMeter()
    now_s, round_s = 0.0, 1.0
    seen = []
    while now_s < 1200:
        now_s += rng.expovariate(SMALL_PER_S)
        while round_s < now_s:
            seen.append(made.required_cores(round_s) / (SMALL_PER_S * SMALL_CORE_S))
            round_s += 0.15
        made.record(now_s, SMALL_CORE_S)
    return sorted(seen)


class TestOnset:
    """The time between the first job of a peak and the first order for a VM."""

    def test_the_early_window_shows_a_peak_sooner(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        with_it = sum(onset_delay_s(seed) for seed in range(200)) / 200
        monkeypatch.setattr(arrivals, "WINDOWS", arrivals.WINDOWS[1:])
        without = sum(onset_delay_s(seed) for seed in range(200)) / 200
        assert with_it < without - 0.06

    def test_it_takes_no_chance_for_a_peak(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A VM that is ordered for nothing is paid and lacks elsewhere."""
        with_it = steady_demand()
        monkeypatch.setattr(arrivals, "WINDOWS", arrivals.WINDOWS[1:])
        without = steady_demand()
        for share in (0.5, 0.9, 0.99):
            number = int(share * len(with_it))
            assert with_it[number] <= 1.02 * without[number]
