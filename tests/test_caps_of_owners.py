"""Caps in the main loop of an owner, in its progress rows and at the border."""

from __future__ import annotations

import asyncio

import anyio
from cell_helpers import CELL, World, job, until

from chivetray.cells.cap_use import UseCounter
from chivetray.cells.caps import CapRegister
from chivetray.cells.placing import place_tasks
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobState, Step
from chivetray.organisations.model import Organisation, Resources
from chivetray.organisations.shares import Shares
from chivetray.platform.stored_records import OperatorConfig


def make_register(cpu_milli: int) -> CapRegister:
    """Return the cap of the organisation ``acme``."""
    cap = Resources(cpu_milli=cpu_milli)
    config = OperatorConfig(1, organisations={"acme": Organisation("acme", cap=cap)})
    return CapRegister(lambda: config)


class TestMainLoop:
    def test_jobs_run_within_the_cap_and_their_share_is_given_back(self) -> None:
        async def scenario() -> None:
            world = World()
            owner = await world.own(caps=make_register(2000))
            most = 0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                owner.add_job(job(steps=(Step(8, 1000),), organisation="acme"))
                done = owner.state.jobs["00000000000000aa"]

                def is_done() -> bool:
                    nonlocal most
                    running = sum(len(m.running) for m in world.models.values())
                    most = max(most, running)
                    return done.state == JobState.COMPLETED

                await until(is_done)
                holding = owner.shares.holdings["acme"]
                await until(lambda: holding.share == Resources())
                tasks.cancel_scope.cancel()
            assert most == 2 and sum(world.starts().values()) == 8
            shares = Shares.decode(
                (await world.store.read("shares", "acme"))[0][0].value
            )
            assert shares is not None and shares.share_of(CELL) == Resources()

        asyncio.run(scenario())


class TestCopiesOfDoneTasks:
    def test_they_count_after_a_change_of_owner(self) -> None:
        """An older attempt may run until its worker answers the stop of it."""

        async def scenario() -> None:
            world = World()
            owner = await world.own(caps=make_register(8000))
            state, now_s = owner.state, boot_time_s()
            for worker in state.workers.values():
                worker.tasks_known = True
                worker.clock.observe(0, now_s, now_s)
            owner.shares.holdings.clear()
            state.cap_room = None
            steps = (Step(2, 1000, copies=True),)
            state.add_job(job(steps=steps, organisation="acme"), now_s)
            placed = place_tasks(state, now_s, 10**13)
            (held, task) = state.find_task(placed[0].ref)
            assert held is not None and task is not None
            task.retire_newest_attempt()
            held.mark_done(task, now_s)
            assert UseCounter(state).use("acme") == Resources(2000)
            later = CellState(CELL)
            later.update_workers(world.entries(), now_s)
            later.restore_job(held.spec, held.encode(), 1, now_s)
            later.attach_restored_tasks(now_s, 0.0, {})
            assert UseCounter(later).use("acme") == Resources(2000)

        asyncio.run(scenario())
