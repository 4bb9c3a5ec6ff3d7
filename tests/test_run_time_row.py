"""Learned run times that survive a change of owner."""

from __future__ import annotations

import asyncio

import msgpack
import pytest
from cell_helpers import CELL, MemoryStore, World, job, until
from run_time_loads import KIND, LOADS, QUEUE, play
from test_cell_owner import running

from chivetray.cells import run_time_row as module
from chivetray.cells.run_time_row import (
    MAX_ROW_BYTES,
    WRITE_INTERVAL_S,
    RunTimeRow,
)
from chivetray.cells.state import CellState
from chivetray.cells.tables import run_time_row
from chivetray.jobs.model import Step
from chivetray.platform.calls import NoAnswer
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import Committed

ROW = run_time_row(CELL)
NAME = (ROW.table, ROW.part, ROW.key)


@pytest.fixture(autouse=True)
def _short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "WRITE_INTERVAL_S", 0.1)
    monkeypatch.setattr(module, "CHECK_INTERVAL_S", 0.02)


async def store_run_times(world: World) -> None:
    """Let an owner learn and store what it has learned."""
    owner = await world.own()
    owner.stores_run_times = True
    list(play(owner.state.times, LOADS["taxi-small"], 500, 1))
    async with running(world, owner):
        await until(lambda: NAME in world.state.rows)


class TestChangeOfOwner:
    def test_the_next_owner_knows_the_run_times(self) -> None:
        async def scenario() -> None:
            world = World()
            await store_run_times(world)
            later = await world.own()
            later.stores_run_times = True
            async with running(world, later):
                await until(lambda: len(later.state.times) > 0)
            assert later.state.times.expected_s(QUEUE, 9000, KIND) < 1.2

        asyncio.run(scenario())

    def test_a_damaged_row_is_no_evidence_and_is_replaced(self) -> None:
        async def scenario() -> None:
            world = World()
            await MemoryStore(world.state).transact({}, {ROW: b"\xc1 damaged"})
            owner = await world.own()
            owner.stores_run_times = True
            async with running(world, owner):
                await asyncio.sleep(0.1)
                assert len(owner.state.times) == 0
                list(play(owner.state.times, LOADS["taxi-small"], 300, 1))
                before = world.state.rows[NAME].version
                await until(lambda: world.state.rows[NAME].version > before)

        asyncio.run(scenario())

    def test_a_write_without_answer_is_settled_with_the_next(self) -> None:
        async def scenario() -> None:
            world = World()
            owner = await world.own()
            owner.stores_run_times = True
            lost = []

            def lose(_number: int, body: object) -> NoAnswer | None:
                if ROW.key in str(body) and not lost:
                    lost.append(world.store.carry_out(body))
                    return NoAnswer("lost")
                return None

            world.store.fail = lose  # type: ignore[assignment]
            list(play(owner.state.times, LOADS["taxi-small"], 300, 1))
            async with running(world, owner):
                await until(lambda: bool(lost))
                before = world.state.rows[NAME].version
                await until(lambda: world.state.rows[NAME].version > before)
                assert not owner.lost

        asyncio.run(scenario())

    def test_a_cell_that_ran_nothing_writes_no_row(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            owner = await world.own()
            owner.stores_run_times = True
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000, long_running=True),)))
                await asyncio.sleep(0.4)
            assert NAME not in world.state.rows

        asyncio.run(scenario())


class TestWrites:
    def learned(self) -> tuple[CellState, RunTimeRow]:
        state = CellState(CELL)
        list(play(state.times, LOADS["taxi-small"], 2000, 1))
        return state, RunTimeRow(state)

    def test_a_store_that_turns_the_owner_away_leaves_it_to_be_written(self) -> None:
        state, row = self.learned()
        first = row.choose_content(WRITE_INTERVAL_S)
        assert first is not None
        assert row.choose_content(WRITE_INTERVAL_S) is None
        state.times.record(QUEUE, 0.7, KIND, 700)
        assert row.choose_content(WRITE_INTERVAL_S) is not None

    def test_evidence_that_says_the_same_is_not_written_again(self) -> None:
        """A busy cell would otherwise write each 5 s, all day."""

        async def scenario() -> None:
            world = World()
            owner = await world.own()
            owner.stores_run_times = True
            row = RunTimeRow(owner.state)
            list(play(owner.state.times, LOADS["taxi-small"], 2000, 1))
            assert await row.load(world.store, owner.guard_version)
            content = row.choose_content(10.0)
            assert content is not None
            await row._store(owner, content)
            owner.state.times.record(QUEUE, 0.7, KIND, 700)
            assert row.choose_content(1e9) is None
            for _ in range(100):
                owner.state.times.record(QUEUE, 2.0, KIND, 700)
            assert row.choose_content(1e9) is not None

        asyncio.run(scenario())

    def test_the_row_is_small(self) -> None:
        state = CellState(CELL)
        for number in range(3000):
            kind = "registry.example/team/image:" + str(number % 40)
            state.times.record("host/queue/", 0.3 + number % 50, kind, 700)
        size = len(msgpack.packb(state.times.dump()))
        assert size < MAX_ROW_BYTES

    def test_a_stale_answer_is_read_again(self) -> None:
        async def scenario() -> None:
            store = MemoryStore(StoreState())
            outcome = await store.transact({}, {ROW: msgpack.packb([])})
            assert isinstance(outcome, Committed)
            row = RunTimeRow(CellState(CELL))
            assert not await row.load(store, outcome.version + 5)
            assert await row.load(store, outcome.version)

        asyncio.run(scenario())


class TestSettingThatIsOff:
    def test_no_row_is_written(self) -> None:
        """Guards against rows in deployments that do not ask for them."""

        async def scenario() -> None:
            world = World()
            owner = await world.own()
            list(play(owner.state.times, LOADS["taxi-small"], 500, 1))
            async with running(world, owner):
                await asyncio.sleep(0.3)
            assert NAME not in world.state.rows

        asyncio.run(scenario())
