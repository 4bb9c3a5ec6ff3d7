"""A store whose answers take a quarter of a second, in the middle of a peak.

It then carries out about three transactions a second for each partition and rejects
further ones. Nothing is lost by that: what counts is how few calls queue up there.
"""

from __future__ import annotations

import asyncio
from typing import Any

from cell_helpers import CELL, MemoryStore, World, job, until
from hypothesis import given
from hypothesis import strategies as st
from test_store_access import OnePeerMesh

from chivetray.cells.answer_timeout import LONGEST_S, SHORTEST_S, AnswerTimeout
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import PARTS_PER_QUEUE, cancel_row, job_row, renewal_row
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.store import Committed, Refused, RowId

ROW = RowId("cells", "pool-a", "renewal")


class SlowSession:
    """A session whose answers take some time."""

    def __init__(self, delay_s: float):
        self.delay_s = delay_s
        self.outcome: Outcome = Answer(200, {"Ver": 7})
        self.timeouts_s: list[float] = []

    async def call(
        self, _method: str, _url: str, limit_s: float, *_: Any, silence_s: float
    ) -> Outcome:
        # Answers arrive as a whole, so that a silence is one until the answer.
        timeout_s = min(limit_s, silence_s)
        self.timeouts_s.append(timeout_s)
        if self.delay_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return NoAnswer("timeout")
        await asyncio.sleep(self.delay_s)
        return self.outcome


def make_access(delay_s: float, served_calls: int) -> tuple[StoreAccess, Any, Any]:
    session = SlowSession(delay_s)
    store = StoreAccess(session, "store")  # type: ignore[arg-type]
    mesh = OnePeerMesh(["answer", 200, {"Ver": 8}])
    store.connect(mesh, lambda: None)

    async def main() -> None:
        for _ in range(served_calls):
            assert await store.transact({ROW: 0}, {ROW: b"x"}) == Committed(7)

    asyncio.run(main())
    return store, mesh, session


class TestBusyPartition:
    def test_its_refusals_are_not_repeated_through_a_peer(self) -> None:
        """The peer's call would wait in the same queue and make it longer."""
        store, mesh, session = make_access(0.2, served_calls=6)
        session.outcome = Answer(429, {})
        outcome = asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert isinstance(outcome, Refused)
        assert mesh.asked == 0 and store.is_served

    def test_a_fast_store_that_turns_this_process_away_is_reached_through_a_peer(
        self,
    ) -> None:
        store, mesh, session = make_access(0.005, served_calls=6)
        session.outcome = Answer(429, {})
        assert asyncio.run(store.transact({ROW: 0}, {ROW: b"x"})) == Committed(8)
        assert mesh.asked == 1 and not store.is_served


class TestTimeouts:
    def test_they_follow_the_latency_that_is_observed(self) -> None:
        """A call that is given up is repeated while the first one still waits."""
        store, _, session = make_access(0.4, served_calls=8)
        asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert session.timeouts_s[0] == 1.2
        assert 0.4 < session.timeouts_s[-1] <= 2.8

    def test_a_store_that_turns_slow_gets_more_time_at_each_try(self) -> None:
        store, mesh, session = make_access(0.005, served_calls=20)
        mesh.peers.clear()
        session.delay_s = 2.0
        outcomes = [
            asyncio.run(store.transact({ROW: 0}, {ROW: b"x"})) for _ in range(3)
        ]
        assert outcomes[-1] == Committed(7)
        assert store.answer_timeout.timeout_s > 2.0

    @given(st.lists(st.floats(0.001, 5.0) | st.none(), max_size=60))
    def test_they_stay_within_their_bounds(self, durations_s: list[Any]) -> None:
        timeout = AnswerTimeout()
        for took_s in durations_s:
            if took_s is None:
                timeout.record_silence(timeout.timeout_s)
            else:
                timeout.record_answer(took_s)
            assert SHORTEST_S <= timeout.timeout_s <= LONGEST_S

    def test_a_call_that_the_store_holds_says_nothing_of_its_speed(self) -> None:
        store, _, _ = make_access(0.3, served_calls=0)
        asyncio.run(store.changes("op", 1, 200))
        assert store.answer_timeout.mean_s == 0.0


class TestLostAnswers:
    def test_a_commit_is_sent_again_when_a_later_write_is_answered(self) -> None:
        """Each lost answer once held up an owner for the timeout of 1.2 s."""

        class LosingStore(MemoryStore):
            lost = 0

            async def call(self, *arguments: Any) -> Outcome:
                outcome = await super().call(*arguments)
                if len(arguments[2]["Writes"]) > 1 and not self.lost:
                    self.lost += 1
                    await asyncio.sleep(5.0)
                return outcome

        async def main() -> float:
            world = World(workers=2, work_s=0.01)
            world.store = store = LosingStore(world.state)
            owner = await world.own()
            owner.add_job(job())
            began_s = boot_time_s()
            async with asyncio.TaskGroup() as tasks:
                running = [
                    tasks.create_task(owner.run()),
                    tasks.create_task(world.work()),
                ]
                await until(lambda: not owner.state.active)
                for task in running:
                    task.cancel()
            assert store.lost == 1
            assert set(world.starts().values()) == {1}
            return boot_time_s() - began_s

        assert asyncio.run(main()) < 1.1


class TestPartitionsOfAQueue:
    def test_jobs_of_one_queue_are_spread(self) -> None:
        parts = {job_row("host/q/", f"{n:016x}").part for n in range(64)}
        assert len(parts) == PARTS_PER_QUEUE

    def test_a_job_and_its_cancellation_are_in_one_part(self) -> None:
        for number in range(16):
            job_id = f"{number:016x}"
            assert job_row("q", job_id).part == cancel_row("q", job_id).part


class TestRenewals:
    def test_an_owner_that_writes_progress_sends_no_others(self) -> None:
        """Renewals took two thirds of what a slow store does for a cell."""

        async def main() -> tuple[int, int]:
            world = World(workers=2, work_s=0.05)
            owner = await world.own()
            renewals = progress = 0
            own_row = renewal_row(CELL).key

            def count(_number: int, body: Any) -> None:
                nonlocal renewals, progress
                keys = {write["Key"] for write in body["Writes"]}
                renewals += keys == {own_row}
                progress += own_row in keys and len(keys) > 1

            world.store.fail = count
            for number in range(40):
                owner.add_job(job(f"{number:016x}", (Step(4, 1000), Step(2, 1000))))
            async with asyncio.TaskGroup() as tasks:
                running = [
                    tasks.create_task(owner.run()),
                    tasks.create_task(world.work()),
                ]
                began_s = boot_time_s()
                await until(lambda: boot_time_s() - began_s > 1.2)
                for task in running:
                    task.cancel()
            return renewals, progress

        renewals, progress = asyncio.run(main())
        assert progress > 3
        assert renewals <= 1
