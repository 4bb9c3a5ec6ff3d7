from __future__ import annotations

import os

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
