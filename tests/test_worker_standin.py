from __future__ import annotations

from typing import Any

import pytest

from chivetray.platform.standins.worker import WorkerFaults, WorkerModel

START: dict[str, Any] = {"Task": "j1.0.0.0", "Attempt": 1, "DeadlineMs": 5000}
STOP: dict[str, Any] = {"Task": "j1.0.0.0", "Attempt": 1}


def started_worker(stop_s: float, work_s: float = 9.0) -> WorkerModel:
    worker = WorkerModel("w0", "pool-a", work_s=work_s, read_time_s=lambda: 0.0)
    worker.faults = WorkerFaults(stop_s=stop_s)
    assert worker.start(START) == {}
    return worker


def listed(worker: WorkerModel) -> tuple[list[str], list[str]]:
    """Return the tasks that run, and how the others have ended."""
    answer = worker.list_attempts()
    return [row[0] for row in answer["Running"]], [row[3] for row in answer["Finished"]]


class TestStops:
    """Guards against a stand-in whose stops take less time than on the platform."""

    def test_an_attempt_is_listed_until_its_stop_has_taken_its_time(self) -> None:
        worker = started_worker(stop_s=0.9)
        assert worker.stop(STOP) == {}
        worker.tick(0.8)
        assert listed(worker) == (["j1.0.0.0"], [])
        worker.stop(STOP)
        worker.tick(0.2)
        assert listed(worker) == ([], ["stopped"])

    def test_it_may_be_done_meanwhile(self) -> None:
        worker = started_worker(stop_s=0.9, work_s=0.5)
        worker.stop(STOP)
        worker.tick(0.6)
        assert listed(worker) == ([], ["done"])

    @pytest.mark.parametrize("stop_s", [0.0, 0.9])
    def test_it_does_not_start_again(self, stop_s: float) -> None:
        worker = started_worker(stop_s)
        worker.stop(STOP)
        worker.tick(1.0)
        assert worker.start(START) == {"Reason": "old"}
        assert worker.starts == [("j1.0.0.0", 1)]

    def test_it_ends_at_once_by_default(self) -> None:
        worker = started_worker(stop_s=0.0)
        worker.stop(STOP)
        assert listed(worker) == ([], ["stopped"])
