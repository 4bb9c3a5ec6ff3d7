"""Entries and answers of other writers, with values that no page of theirs names.

One entry of a worker whose host could not be looked up once stopped all work of its
service (docs/incidents, 18).
"""

from __future__ import annotations

import asyncio
from typing import Any

import anyio
import pytest
from cell_helpers import MemoryWorkers, World, job, until
from hypothesis import given
from hypothesis import strategies as st
from test_cell_owner import running
from test_worker_list import content

from chivetray.addresses import read_address
from chivetray.cells import order_sender, polling, reports
from chivetray.events import Event
from chivetray.jobs.model import JobState, Step
from chivetray.platform.calls import CallSession, NoAnswer, NotSent
from chivetray.platform.stored_records import (
    decode_worker,
)

JOB = "00000000000000aa"

# Hosts that a lookup rejects with an error of its own, and ports that no socket has.
UNUSABLE_ADDRESSES = [
    "worker-3..localhost:8080",
    f"{'a' * 64}.example:80",
    f"{'a.' * 130}example:80",
    "w\u3002\u3002x:80",
    ".:80",
    ":80",
    "w0:",
    "w0:0",
    "w0:65536",
    "w0:99999999999999999999",
    "w0:\u00b2",
    "w0:-1",
    "w0: 80",
    "w 0:80",
    "w0/x:80",
    "u@w0:80",
    "w0?x:80",
    "10.0.0.256:80",
    "10.0.1:80",
    "[::1%eth0]:80",
    "[::g]:80",
    "::1:80",
    "w0\r\nX: y:80",
    "80",
    "",
]


class TestAddress:
    """Guards against review/4: a host of a foreign entry that cannot be looked up."""

    @pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
    def test_an_unusable_one_names_no_worker(self, address: str) -> None:
        assert decode_worker("w0", content(Address=address)) is None

    @pytest.mark.parametrize(
        "address",
        ["10.0.0.1:80", "[::1]:8080", "localhost:65535", "w-0.r1.example:1"],
    )
    def test_a_usable_one_is_kept(self, address: str) -> None:
        entry = decode_worker("w0", content(Address=address))
        assert entry is not None and entry.address == address

    @given(st.text(max_size=80))
    def test_a_call_to_any_address_that_is_read_has_an_outcome(self, text: str) -> None:
        address = read_address(f"{text}:9")
        if address is None:
            return

        async def scenario() -> None:
            session = CallSession.open()
            outcome = await session.call("GET", f"http://{address}/", 0.5)
            assert isinstance(outcome, NotSent | NoAnswer)
            await session.aclose()

        asyncio.run(scenario())

    def test_a_call_to_a_host_that_cannot_be_encoded_has_no_answer(self) -> None:
        async def scenario() -> None:
            session = CallSession.open()
            outcome = await session.call("GET", f"http://{UNUSABLE_ADDRESSES[0]}/", 1.0)
            assert isinstance(outcome, NoAnswer)
            await session.aclose()

        asyncio.run(scenario())


class FailingWorkers(MemoryWorkers):
    """Workers of which one cannot be called without an error.

    :ivar failing: worker, and call that fails for it
    """

    failing = ("", "")

    async def _call(self, worker: Any, call: str, body: Any, timeout_s: float) -> Any:
        if (worker.worker_id, call) == self.failing:
            await asyncio.sleep(0)
            raise RuntimeError("an answer that nobody expects")
        return await super()._call(worker, call, body, timeout_s)


class TestErrorInACallToOneWorker:
    """Guards against review/4: one worker whose calls raise ends its whole cell."""

    @pytest.mark.parametrize("call", ["hold", "run-start", "run-stop"])
    def test_jobs_end_on_the_other_workers(self, call, logged, monkeypatch) -> None:
        monkeypatch.setattr(order_sender, "FAILED_ORDER_PAUSE_S", 0.05)

        async def scenario() -> None:
            world = World(workers=3, work_s=0.3 if call == "run-stop" else 0.03)
            world.workers = FailingWorkers(world.models)
            world.workers.failing = ("w0", call)
            owner = await world.own()
            async with running(world, owner):
                if call == "run-stop":
                    owner.add_job(job("00000000000000bb", (Step(12, 1000),)))
                    await until(lambda: len(world.models["w0"].running) == 4)
                    owner.cancel("00000000000000bb")
                    await until(lambda: logged.of(Event.WORKER_FAILED))
                owner.add_job(job(steps=(Step(6, 1000),)))
                done = owner.state.jobs[JOB]
                if call == "run-start":
                    # What is placed there waits for its start, as without an answer.
                    await until(lambda: len(world.starts()) >= 2)
                    await until(lambda: logged.of(Event.WORKER_FAILED))
                    world.workers.failing = ("", "")
                await until(lambda: done.state == JobState.COMPLETED)
                assert not owner.lost
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())
        if call == "hold":
            failures = logged.of(Event.WORKER_FAILED)
            assert failures and "an answer that nobody expects" in failures[0]["reason"]
            assert "Traceback" in failures[0]["traceback"]

    def test_polls_of_it_become_rare_and_it_is_used_again(self, monkeypatch) -> None:
        monkeypatch.setattr(polling, "FAILED_POLL_PAUSE_S", 0.02)

        async def scenario() -> None:
            world = World(workers=1)
            world.workers = FailingWorkers(world.models)
            world.workers.failing = ("w0", "hold")
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                await anyio.sleep(0.5)
                assert not world.starts()
                world.workers.failing = ("", "")
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)

        asyncio.run(scenario())

    def test_an_end_that_could_not_be_applied_is_not_acknowledged(
        self, monkeypatch
    ) -> None:
        """Otherwise the worker forgets an end ``done``, and the task runs again."""
        monkeypatch.setattr(polling, "FAILED_POLL_PAUSE_S", 0.02)
        apply_end, failures = reports._apply_end, [1]

        def apply_at_second_try(*args: Any) -> None:
            if failures:
                failures.pop()
                raise LookupError("no such task")
            apply_end(*args)

        monkeypatch.setattr(reports, "_apply_end", apply_at_second_try)

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)
            assert not failures
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())
