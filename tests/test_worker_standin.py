from __future__ import annotations

import json
import time
from typing import Any

import anyio
import pytest
from helpers import claim_network

from chivetray.platform.calls import Answer, CallSession
from chivetray.platform.standins.worker import WorkerFaults, WorkerModel
from chivetray.standins.jobs import serve_worker

START: dict[str, Any] = {"Task": "j1.0.0.0", "Attempt": 1, "DeadlineMs": 5000}
STOP: dict[str, Any] = {"Task": "j1.0.0.0", "Attempt": 1}
CALLS = ("hold", "run-start", "run-stop")


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


async def answers_of_a_life() -> dict[str, dict[str, Any]]:
    """Run a worker, without its store, for the time of one answer to each call."""
    network, lock = claim_network()
    address, session = f"{network}.3.1", CallSession.open()
    answers: dict[str, dict[str, Any]] = {}
    with lock, anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            store = f"{network}.1.1:18200"
            tasks.start_soon(serve_worker, "w0", "pool-a", address, 18205, store)
            while len(answers) < len(CALLS):
                for call in CALLS:
                    url = f"http://{address}:18205/chivetray/{call}"
                    outcome = await session.call("POST", url, 2.0, START)
                    if isinstance(outcome, Answer):
                        answers[call] = outcome.body
                await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    await session.aclose()
    return answers


class TestLives:
    """Guards against a stand-in that tells its lives apart better than the platform."""

    def test_only_lists_of_runs_name_the_life(self) -> None:
        answers = anyio.run(answers_of_a_life)
        named = {call for call, answer in answers.items() if "born" in answer}
        assert named == {"hold"}
        assert all("ClockMs" in answer for answer in answers.values())

    def test_the_clock_of_a_life_begins_anywhere(self) -> None:
        lives = [anyio.run(answers_of_a_life) for _ in range(2)]
        clocks_ms = [life["hold"]["ClockMs"] for life in lives]
        # A clock that begins at 0 shows the age of the life.
        assert max(clocks_ms) > 10_000
        assert abs(clocks_ms[0] - clocks_ms[1]) > 100


class TestLeases:
    """Guards against a stand-in whose history keeps a run alive beyond its lease."""

    def test_a_lapse_that_is_noticed_late_has_its_own_time(self, tmp_path) -> None:
        worker = started_worker(stop_s=0.0)
        worker.history_file = str(tmp_path / "history")
        lease_s = (worker.deadline_ms - worker.clock_ms()) / 1000
        noticed_s = time.monotonic() + 0.001
        worker.read_time_s = lambda: lease_s + 2.0
        worker.check_lease()
        (line,) = (tmp_path / "history").read_text().splitlines()
        at_s, kind, *_ = json.loads(line)
        assert kind == "lapsed"
        assert at_s < noticed_s - 1.9

    @pytest.mark.parametrize(("read_s", "kinds"), [(1.0, ["noted"]), (60.0, [])])
    def test_ends_are_noted_while_the_lease_lasts(
        self, read_s: float, kinds: list[str]
    ) -> None:
        worker = started_worker(stop_s=0.0, work_s=0.1)
        worker.tick(0.2)
        worker.read_time_s = lambda: read_s
        worker.check_lease()
        worker.hold({"Observed": 1})
        assert [kind for _, kind, *_ in worker.history[2:]] == kinds
        assert worker.ends == []
