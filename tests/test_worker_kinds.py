"""Workers that start again under their id as another kind."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import anyio
from cell_helpers import CELL, World, job, until
from test_worker_restart import restart

from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.state import CellState
from chivetray.jobs.model import Phase, Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import Reply, Verdict

LABELLED = Step(1, 1000, label="a")


def entry(incarnation: int, labels: tuple[str, ...] = ("a", "r1")) -> WorkerRecord:
    address = "10.0.0.1:80"
    return WorkerRecord(
        "w0", CELL, address, "z1", False, incarnation, 4000, 65536, 0, labels
    )


def restarted(listed: int = 1) -> CellState:
    """Return a cell whose only worker has answered as incarnation 2."""
    state = CellState(CELL)
    state.update_workers([entry(listed)], 0.0)
    worker = state.workers["w0"]
    apply_poll_reply(state, worker, Reply(Verdict.OK, 1000, 2), 0.1, 0.2)
    worker.clock.observe(1000, 0.1, 0.2)
    state.add_job(job(steps=(LABELLED,)), 0.2)
    return state


class TestPlacement:
    """Guards against a task on a worker whose label is that of before its restart.

    A poll may show a restart before the list does, which has labels and capacity.
    """

    def test_nothing_is_placed_before_the_list_has_the_new_incarnation(self) -> None:
        state = restarted()
        assert place_tasks(state, 0.3, 0) == []
        state.update_workers([entry(2)], 0.4)
        assert len(place_tasks(state, 0.5, 0)) == 1

    def test_a_worker_of_another_kind_gets_no_task_that_needs_the_label(self) -> None:
        state = restarted()
        state.update_workers([entry(2, ("b", "r1"))], 0.4)
        assert place_tasks(state, 0.5, 0) == []

    def test_a_list_without_incarnations_is_taken_as_it_is(self) -> None:
        assert len(place_tasks(restarted(listed=0), 0.3, 0)) == 1


class TestStarts:
    """Guards against a start that is sent again to a worker of another kind."""

    def test_a_start_without_answer_is_not_sent_to_a_worker_of_another_kind(
        self,
    ) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.workers.lose_starts = 3
            owner = await world.own()

            async def steps() -> None:
                spec = job(steps=(LABELLED,))
                owner.add_job(spec)
                await until(lambda: len(world.workers.late) == 3)
                fresh = restart(world, "w0")
                worker = owner.state.workers["w0"]
                await until(lambda: worker.incarnation == fresh.incarnation_ms)
                await asyncio.sleep(0.4)
                assert not fresh.starts
                other = replace(world.entries()[0], labels=("b", "r0"))
                owner.update_workers([other])
                await asyncio.sleep(0.6)
                assert not fresh.starts
                (task,) = owner.state.jobs[spec.job_id].tasks.values()
                assert task.phase == Phase.WAITING
                owner.update_workers(world.entries())
                await until(lambda: bool(fresh.starts))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                await steps()
                tasks.cancel_scope.cancel()

        asyncio.run(scenario())
