from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

import pytest
from job_fleet import JobFleet
from job_soak import SERVICES, JobSoak

CI_DURATION_S = 20.0

# Seeds and size of a run by hand, such as CHIVETRAY_SOAK_SEEDS=1-50.
FIRST, _, LAST = os.environ.get("CHIVETRAY_SOAK_SEEDS", "1-2").partition("-")
MANAGERS = int(os.environ.get("CHIVETRAY_SOAK_MANAGERS", "3"))
WORKERS = int(os.environ.get("CHIVETRAY_SOAK_WORKERS", "6"))


class TestSoak:
    """Guards against lost, doubled or cut work while faults overlap."""

    @pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
    def test_nothing_is_lost_doubled_or_cut(self, tmp_path, seed: int) -> None:
        fleet = JobFleet(tmp_path, MANAGERS, WORKERS, SERVICES)
        try:
            fleet.start()
            outcome = JobSoak(fleet, seed).run(CI_DURATION_S)
        finally:
            fleet.close()
        print(f"seed {seed}: {len(outcome.accepted)} jobs, {outcome.requests} requests")
        print("\n".join(outcome.faults))
        assert outcome.problems == [], outcome.faults
        assert len(outcome.accepted) > 10


class TestLimits:
    """Guards against a soak that overlooks tasks beyond a limit per worker."""

    START_A = (1.0, "start", "j1.0.0.0", 1)
    START_B = (2.0, "start", "j1.0.0.1", 1)
    STOPPED_A = (1.9, "stopped", "j1.0.0.0", 1)
    OTHER_STEP = (1.5, "start", "j1.0.1.0", 1)

    @pytest.mark.parametrize(
        ("limit", "history", "count"),
        [
            (1, [START_A, START_B], 1),
            (1, [START_A, STOPPED_A, START_B], 0),
            (2, [START_A, START_B], 0),
            (0, [START_A, START_B], 0),
            (1, [START_A, OTHER_STEP], 0),
        ],
    )
    def test_starts_beyond_the_limit_are_reported(
        self, limit: int, history: list[Any], count: int
    ) -> None:
        fleet: Any = SimpleNamespace(managers=[], workers=[])
        soak = JobSoak(fleet, 1)
        soak.outcome.limits["j1"] = limit
        soak._check_limits("w0", history)
        assert len(soak.outcome.problems) == count
