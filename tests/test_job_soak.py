from __future__ import annotations

import http.client
import json
import os
from types import SimpleNamespace
from typing import Any

import pytest
from job_fleet import WORKER_PORT, JobFleet, wait_for
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
        print(f"{len(outcome.cancelled)} cancelled, {len(outcome.absent)} not stored")
        print("\n".join(outcome.faults))
        assert outcome.problems == [], outcome.faults
        assert len(outcome.accepted) > 10


class TestLives:
    """Guards against workers whose next life gets no call for the one before."""

    def test_the_next_life_gets_calls_that_come_between_two(self, tmp_path) -> None:
        fleet = JobFleet(tmp_path, managers=0, workers=1)
        start = {"Task": "j1.0.0.0", "Attempt": 1, "DeadlineMs": 10**9}
        address = (fleet.worker_address("w0"), WORKER_PORT)
        try:
            fleet.start()
            fleet.prepare_worker("w0")
            fleet.await_standby("w0")
            fleet.kill_worker("w0")
            connection = http.client.HTTPConnection(*address, timeout=0.2)
            connection.request("POST", "/chivetray/run-start", json.dumps(start))
            with pytest.raises(TimeoutError):
                connection.getresponse()
            connection.close()
            fleet.begin_worker("w0")
            wait_for(lambda: "start" in [event[1] for event in fleet.history("w0")])
        finally:
            fleet.close()
        assert [event[1:3] for event in fleet.history("w0")] == [
            ("killed", ""),
            ("start", "j1.0.0.0"),
        ]


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


class TestRuns:
    """Guards against a soak that overlooks runs of lives that were killed later."""

    START = (1.0, "start", "j1.0.0.0", 1)
    DONE = (4.0, "done", "j1.0.0.0", 1)
    NOTED = (4.5, "noted", "j1.0.0.0", 1)
    KILLED = (3.0, "killed", "", 0)
    AT_ONCE = (2.0, "start", "j1.0.0.0", 1)
    LATER = (5.0, "start", "j1.0.0.0", 2)

    @pytest.mark.parametrize(
        ("first", "second", "problem"),
        [
            ([START, KILLED], [AT_ONCE], "runs twice"),
            ([AT_ONCE], [START, KILLED], "runs twice"),
            ([START], [LATER], "runs twice"),
            ([START, KILLED], [LATER], ""),
            ([START, KILLED, LATER], [], ""),
            ([START, DONE], [LATER], ""),
            ([START, DONE, NOTED], [LATER], "runs again"),
        ],
    )
    def test_runs_of_all_lives_are_compared(
        self, first: list[Any], second: list[Any], problem: str
    ) -> None:
        histories = {"w0": first, "w1": second}
        fleet: Any = SimpleNamespace(
            managers=[], workers=list(histories), history=histories.__getitem__
        )
        soak = JobSoak(fleet, 1)
        soak._check_runs()
        assert len(soak.outcome.problems) == bool(problem)
        assert all(problem in found for found in soak.outcome.problems)
