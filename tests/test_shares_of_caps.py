"""Caps of organisations that several cells share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from share_helpers import NAME, TICK_S, Process, World
from virtual_loop import virtual_time

from chivetray.cells.load import measure_load
from chivetray.cells.places import count_places
from chivetray.cells.share_metrics import MAX_LABELS, read_share_gauges
from chivetray.cells.waiting import WaitReason, explain_room
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import Step
from chivetray.organisations.model import Resources
from chivetray.organisations.shares import (
    Demand,
    Shares,
    adopt_cap,
    claim,
    effective_share,
    give_back,
    take,
)
from chivetray.platform.stored_records import OperatorConfig

LIMITED_CAPS = (6000, 6000, 12_000, 20_000)
CAPS_WITHOUT_LIMIT = (6000, 12_000, 12_000, 0)


def simulate(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario in virtual time."""
    with virtual_time() as loop:
        loop.run_until_complete(scenario())


async def _random_run(
    world: World, rng: random.Random, caps: tuple[int, ...] = LIMITED_CAPS
) -> None:
    """Jobs, faults of the store, changes of owners and of the cap, then a calm end.

    Where the cap is 0 for a time, processes neither start nor skip a version, and the
    store has no faults: what ran without a limit is stored only after that.
    """
    first = world.caps.publish(12_000)
    in_order = 0 in caps
    for cell in world.cells:
        cell.own(Process(first))
    follows = []

    def disturb() -> None:
        for cell in world.cells:
            assert cell.owner is not None
            if rng.random() < 0.15:
                gang = rng.random() < 0.2
                count, cpu = rng.randint(1, 3 if gang else 8), rng.choice((500, 2000))
                world.add_job(
                    cell,
                    Step(count, cpu, gang=gang, best_effort=rng.random() < 0.1),
                )
            if rng.random() < 0.01:
                # The former owner's attempts go on, as in a process that was frozen.
                process = cell.owner.process
                if not in_order and rng.random() < 0.5:
                    newest = world.caps.history[-1][1]
                    process = Process(rng.choice((process.config, newest)))
                cell.own(process)
            if rng.random() < 0.02 and not in_order:
                cell.store.fault_chance = rng.choice((0.0, 0.2, 0.6))
                cell.store.away = rng.random() < 0.1
        if rng.random() < 0.02:
            step = 1 if in_order else rng.choice((1, 1, 2))
            config = world.caps.publish(rng.choice(caps), step)
            follows.append(asyncio.ensure_future(world.follow(config, in_order)))

    await world.run(15.0, disturb, end_chance=0.05)
    # Owners are at work meanwhile: a frozen one cannot tell what it uses in time.
    await world.run(3.0, end_chance=0.05)
    await asyncio.gather(*follows)
    newest = world.caps.publish(12_000)
    for cell in world.cells:
        cell.store.fault_chance, cell.store.away = 0.0, False
    last = asyncio.ensure_future(world.follow(newest, in_order))
    await world.run(3.0, end_chance=0.05)
    await last
    await world.run(60.0, end_chance=0.3, is_over=world.is_idle)


class TestRandomRuns:
    @pytest.mark.parametrize(
        ("seed", "caps"),
        [
            *((seed, LIMITED_CAPS) for seed in range(40)),
            *((seed, CAPS_WITHOUT_LIMIT) for seed in range(100, 120)),
        ],
    )
    def test_what_runs_stays_within_the_highest_cap_in_force(
        self, seed: int, caps: tuple[int, ...]
    ) -> None:
        """Guards against double grants after lost answers, late writes and take-overs,
        and against share that no cell can use any more."""
        random.seed(seed)
        with virtual_time() as loop:
            world = World(seed)
            loop.run_until_complete(_random_run(world, random.Random(seed), caps))
            assert not world.problems
            assert not loop.failures
        assert world.jobs > 50 and world.is_idle()

    def test_a_count_in_the_memory_of_each_owner_fails(self) -> None:
        """Shows that the runs tell a design that does not share a cap."""
        failed = 0
        for seed in range(4):
            with virtual_time() as loop:
                world = World(seed, naive=True)
                loop.run_until_complete(_random_run(world, random.Random(seed)))
            failed += bool(world.problems)
        assert failed == 4


def make_world(cap: int, cells: int = 2, **others: int) -> World:
    """Return cells whose owners have a first configuration in force."""
    world = World(1, cells)
    world.plain_ends = True
    process = Process(world.caps.publish(cap, **others))
    for cell in world.cells:
        cell.own(process)
    return world


class TestChangesOfTheCap:
    def test_lowered_while_a_cell_changes_its_owner(self) -> None:
        """The new owner inherits a share of the higher cap, and what runs under it."""

        async def scenario() -> None:
            world = make_world(16_000)
            first, second = world.cells
            for cell in world.cells:
                world.add_job(cell, Step(30, 500))
            await world.run(1.0)
            assert world.used() == 16_000
            lowered = world.caps.publish(8000)
            follow = asyncio.ensure_future(world.follow(lowered))
            await world.run(0.3, end_chance=0.02)
            assert first.owner is not None and second.owner is not None
            first.own(Process(first.owner.process.config))
            first.owner.process.apply(lowered)
            await world.run(4.0, end_chance=0.02)
            await follow
            # Beyond the time of the old cap, each start is checked against the new one.
            await world.run(60.0, end_chance=0.05, is_over=world.is_idle)
            assert not world.problems and world.is_idle()

        simulate(scenario)

    def test_nothing_starts_until_it_fits_and_a_raised_cap_counts_at_once(self) -> None:
        async def scenario() -> None:
            world = make_world(8000)
            for cell in world.cells:
                world.add_job(cell, Step(40, 500))
            await world.run(1.0)
            lowered = world.caps.publish(2000)
            await world.follow(lowered)
            await world.run(4.0)
            assert world.used() == 8000
            await world.run(0.5, end_chance=0.01)
            left = world.used()
            assert 2000 < left < 8000
            await world.run(1.0)
            assert world.used() == left
            raised = world.caps.publish(20_000)
            for cell in world.cells:
                assert cell.owner is not None
                cell.owner.process.apply(raised)
            await world.run(1.0)
            assert world.used() == 20_000 and not world.problems

        simulate(scenario)

    def test_removed_organisation_keeps_its_cap(self) -> None:
        """Also in a process that has started since, which reads it from the row."""

        async def scenario() -> None:
            world = make_world(4000, other=1000)
            for cell in world.cells:
                world.add_job(cell, Step(20, 500))
            await world.run(1.0)
            config = world.caps.publish(4000, other=1000)
            organisations = {"other": config.organisations["other"]}
            config = OperatorConfig(config.version, organisations=organisations)
            first, second = world.cells
            assert first.owner is not None
            first.owner.process.apply(config)
            second.own(Process(config))
            await world.run(2.0)
            await world.run(60.0, end_chance=0.3, is_over=world.is_idle)
            assert world.is_idle()
            assert first.owner.keeper.room(NAME) is not None
            assert second.owner is not None
            assert second.owner.keeper.room(NAME) is not None

        simulate(scenario)


class TestDemand:
    def test_share_follows_demand_with_one_write_after_a_second(self) -> None:
        """Idle share elsewhere once kept jobs waiting without a limit in time."""

        async def scenario() -> None:
            world = make_world(8000)
            first, second = world.cells
            world.add_job(first, Step(8, 1000))
            await world.run(0.5)
            assert sum(first.running.values()) == 8000
            await world.run(1.0, end_chance=1.0, is_over=world.is_idle)
            idle_s = boot_time_s()
            await world.run(0.8)
            world.add_job(second, Step(8, 1000))
            writes = second.store.writes
            full = lambda: sum(second.running.values()) == 8000  # noqa: E731
            await world.run(5.0, is_over=full)
            # A look may come right before the share is free, and the next one 0.5 s
            # later.
            assert boot_time_s() - idle_s < 1.0 + 0.2 + 0.5 + 2 * TICK_S
            assert second.store.writes == writes + 1

        simulate(scenario)

    def test_two_gangs_do_not_hold_one_half_each(self) -> None:
        """Either cell once held what the other one's gang lacked."""

        async def scenario() -> None:
            world = make_world(10_000)
            for cell in world.cells:
                world.add_job(cell, Step(10, 500))
            await world.run(0.5)
            assert world.used() == 10_000
            for cell in world.cells:
                world.add_job(cell, Step(3, 2000, gang=True))
            await world.run(30.0, end_chance=0.1, is_over=world.is_idle)
            assert world.is_idle() and not world.problems

        simulate(scenario)

    def test_no_store_call_while_the_share_suffices(self) -> None:
        async def scenario() -> None:
            world = make_world(8000, cells=1)
            (cell,) = world.cells
            world.add_job(cell, Step(8, 1000))
            await world.run(0.5)
            calls = cell.store.reads + cell.store.writes
            for _ in range(5):
                await world.run(TICK_S, end_chance=1.0)
                world.add_job(cell, Step(8, 1000))
                await world.run(0.5)
            assert cell.store.reads + cell.store.writes == calls

        simulate(scenario)

    def test_the_cap_of_one_organisation_holds_up_no_other(self) -> None:
        """The first job of the queue once ended the round for all behind it."""

        async def scenario() -> None:
            world = make_world(1000, cells=1, other=50_000)
            (cell,) = world.cells
            world.add_job(cell, Step(10, 1000))
            other = world.add_job(cell, Step(4, 1000), organisation="other")
            free = world.add_job(cell, Step(4, 1000), organisation="")
            await world.run(1.0)
            running = [ref[0] for _, ref in cell.running]
            assert running.count(other.job_id) == running.count(free.job_id) == 4
            assert len(running) == 9

        simulate(scenario)

    def test_work_beyond_the_cap_is_no_demand_for_vms(self) -> None:
        async def scenario() -> None:
            world = make_world(2000)
            for cell in world.cells:
                for _ in range(50):
                    world.add_job(cell, Step(10, 1000, estimate_ms=1000))
            await world.run(1.0)
            loads = []
            for cell in world.cells:
                assert cell.owner is not None
                state, now_s = cell.owner.state, boot_time_s()
                loads.append(measure_load(state, now_s, 10**13))
                job = next(iter(state.active.values()))
                places = count_places(job.step_tasks(0, 0))
                wait = explain_room(state, job, (0, 0, 0), places, now_s)
                assert wait.reason == WaitReason.CAP
            assert sum(load.used_milli for load in loads) == 2000
            assert [load.waiting_milli_s for load in loads] == [0, 0]
            assert [load.late_waiting_milli_s for load in loads] == [0, 0]

        simulate(scenario)


class TestStore:
    def test_away_the_owner_goes_on_within_its_share(self) -> None:
        async def scenario() -> None:
            world = make_world(8000)
            first, second = world.cells
            world.add_job(first, Step(8, 1000))
            await world.run(0.5)
            for cell in world.cells:
                cell.store.away = True
            world.add_job(first, Step(200, 1000))
            world.add_job(second, Step(20, 1000))
            await world.run(1.0, end_chance=0.2)
            await world.run(0.5)
            assert sum(first.running.values()) == 8000
            assert not second.running

        simulate(scenario)

    def test_damaged_row_grants_nothing(self) -> None:
        async def scenario() -> None:
            world = make_world(8000)
            world.rows.put("shares", NAME, "shares", "bm9uc2Vuc2U=")
            world.add_job(world.cells[0], Step(8, 1000))
            await world.run(3.0)
            assert world.used() == 0 and world.cells[0].store.writes == 0

        simulate(scenario)

    @pytest.mark.parametrize("organisation", ["", NAME])
    def test_without_a_cap_no_row_is_read_or_written(self, organisation: str) -> None:
        async def scenario(cap: int | None) -> list[Any]:
            world = make_world(cap or 0)
            if cap is None:
                for cell in world.cells:
                    assert cell.owner is not None
                    cell.owner.state.cap_room = None
            for cell in world.cells:
                world.add_job(cell, Step(30, 1000), organisation=organisation)
                world.add_job(cell, Step(3, 500, gang=True), organisation=organisation)
            await world.run(1.0)
            assert not any(cell.store.reads + cell.store.writes for cell in world.cells)
            assert not world.rows.rows
            return [sorted(cell.running.items()) for cell in world.cells]

        with virtual_time() as loop:
            with_keeper = loop.run_until_complete(scenario(0))
        with virtual_time() as loop:
            assert with_keeper == loop.run_until_complete(scenario(None))


class TestMetrics:
    def test_use_share_and_cap_have_a_bounded_number_of_labels(self) -> None:
        async def scenario() -> None:
            others = {f"org{n}": 1000 for n in range(80)}
            world = make_world(8000, **others)
            for cell in world.cells:
                world.add_job(cell, Step(2, 1000))
            await world.run(1.0)
            owners = [cell.owner for cell in world.cells if cell.owner]
            values = read_share_gauges(owner.keeper for owner in owners)
            assert values["chivetray_organisation_use_cores", NAME] == 4.0
            assert values["chivetray_organisation_share_cores", NAME] == 4.0
            assert values["chivetray_organisation_cap_cores", NAME] == 8.0
            assert len({name for _, name in values}) == MAX_LABELS

        simulate(scenario)


def cpu(milli: int) -> Resources:
    return Resources(cpu_milli=milli)


class TestContentOfARow:
    ROW = adopt_cap(Shares(), 1, cpu(10_000), must_record=False)

    def test_it_is_decoded_as_it_was_encoded(self) -> None:
        row = take(self.ROW, "a", 3, cpu(0), [Demand(cpu(2000), 2)])
        assert Shares.decode(row.encode()) == row
        assert row.share_of("a") == cpu(4000)

    @pytest.mark.parametrize("content", [b"", b"\xc1", b"\x93\x01\x02", b"\x90"])
    def test_other_content_is_not_decoded(self, content: bytes) -> None:
        assert Shares.decode(content) is None

    def test_no_more_than_the_cap_is_taken_in_whole_units(self) -> None:
        row = take(self.ROW, "a", 1, cpu(0), [Demand(cpu(7000))])
        assert take(row, "b", 1, cpu(0), [Demand(cpu(4000))]) == row
        row = take(row, "b", 1, cpu(0), [Demand(cpu(4000)), Demand(cpu(1000), 9)])
        assert row.share_of("b") == cpu(3000) and row.free().cpu_milli == 0

    def test_a_claim_keeps_the_share_and_bars_the_owner_before(self) -> None:
        row = take(self.ROW, "a", 1, cpu(0), [Demand(cpu(7000))])
        row = claim(row, "a", 2, cpu(500))
        assert row.share_of("a") == cpu(7000)
        assert not row.may_change("a", 1) and row.may_change("a", 2)
        assert give_back(row, "a", 2, cpu(500)).free() == Resources(9500, 2**62, 2**62)

    def test_an_older_configuration_does_not_replace_a_newer_cap(self) -> None:
        row = adopt_cap(self.ROW, 5, cpu(2000), must_record=False)
        assert adopt_cap(row, 4, cpu(10_000), must_record=True) == row

    @pytest.mark.parametrize("share", [0, 2500, 5000, 10_000])
    def test_a_lowered_cap_leaves_at_most_the_scaled_share(self, share: int) -> None:
        effective = effective_share(cpu(share), cpu(4000), cpu(10_000)).cpu_milli
        assert effective <= share * 4000 // 10_000
        # The others may use all that was granted to them.
        assert effective == 0 or effective + 10_000 - share <= 4000
