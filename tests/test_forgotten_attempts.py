"""Attempts, orders and ends that are forgotten before they certainly cannot act.

Found in a review of incidents 13 and 14.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from cell_helpers import CELL, MemoryWorkers, World, job, until
from test_worker_restart import JOB, KEY, Cell, entry, restart, run_owner

from chivetray.cells.evacuation import MAX_REPORT_AGE_S, may_send_stop
from chivetray.cells.orders import StopReason
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.sharing import confirm_pace, find_pace_changes
from chivetray.cells.state import CellState
from chivetray.cells.timing import LEASE_S, MAX_EARLIER_LEASE_S, MAX_ORDER_DELAY_S
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import Phase, Step
from chivetray.platform.standins.worker import WorkerModel
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
    WorkerAddress,
)


class TestOwnerAfterARestart:
    """An owner may die after it has stored that an attempt is in a new incarnation."""

    def test_it_waits_for_a_delayed_start_of_two_owners_ago(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        assert cell.task.incarnation == 2
        later = CellState(CELL)
        later.update_workers([entry("w0", 2), entry("w1", 2)], 3.0)
        later.restore_job(cell.job.spec, cell.job.encode(), 1, 3.0)
        later.attach_restored_tasks(3.0, MAX_EARLIER_LEASE_S, {})
        task = later.jobs[JOB].tasks[KEY]
        later.workers[task.worker].silent_since_s = 3.1
        # The start was sent at 1.0.
        later.expire_leases(1.0 + MAX_ORDER_DELAY_S + LEASE_S)
        assert task.active


class TestEndedBeforeARestart:
    @pytest.mark.parametrize("how", [AttemptEnd.DONE, AttemptEnd.FAILED])
    def test_a_delayed_start_of_an_ended_attempt_is_stopped_there(
        self, how: AttemptEnd
    ) -> None:
        """The new incarnation does not know that the attempt has ended.

        Its task would run beside the next attempt, or after it was done.
        """
        cell = Cell(start_unanswered=True)
        name = TaskName(JOB, KEY)
        reply = Reply(Verdict.OK, 1500, 1, [], [EndedTask(1, name, 1, how, "")])
        apply_poll_reply(cell.state, cell.worker, reply, 1.5, 1.6)
        assert not cell.task.active
        cell.restart()
        cell.poll(2, 2.1)
        assert [(o.name, o.attempt) for o in cell.state.stop_orders] == [(name, 1)]

    def test_a_stop_that_the_earlier_incarnation_answered_does_not_count(self) -> None:
        """The owner reads its answer after the list of workers shows the restart."""

        async def scenario() -> None:
            world = World(work_s=30)
            world.workers = StopsAnsweredLate(world.models)
            world.workers.lose_starts = 1
            owner = await world.own()

            async def steps() -> None:
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                (found,) = owner.state.active.values()
                task = found.tasks[KEY]
                await until(lambda: task.listed_at_s > 0)
                owner.state.stop_attempt(found, KEY, StopReason.EVACUATION)
                owner.wake()
                await world.workers.stopped.wait()
                restart(world, task.worker)
                owner.state.workers[task.worker].pause(boot_time_s() + 10)
                owner.update_workers(world.entries())
                world.workers.may_answer.set()
                for _ in range(40):
                    await asyncio.sleep(0.01)
                world.workers.carry_out_late()
                assert sum(len(m.running) for m in world.models.values()) <= 1

            await run_owner(world, owner, steps)

        asyncio.run(scenario())


class StopsAnsweredLate(MemoryWorkers):
    """Workers whose first stop is carried out at once and answered later."""

    def __init__(self, models: dict[str, WorkerModel]):
        super().__init__(models)
        self.stopped, self.may_answer = asyncio.Event(), asyncio.Event()

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        reply = await super()._call(worker, call, body, timeout_s)
        if call == "run-stop" and not self.stopped.is_set():
            self.stopped.set()
            await self.may_answer.wait()
        return reply


class TestOldListOfWorkers:
    def test_a_worker_is_called_where_its_newest_attempt_was_placed(self) -> None:
        """Another worker may answer at the address that the old list names."""
        cell = Cell(start_unanswered=False)
        cell.worker.incarnation = cell.task.incarnation = 2
        cell.task.address = "10.0.0.2:80"
        later = cell.later_owner(entry("w0", 1), entry("w1", 1))
        assert later.workers[cell.task.worker].address == "10.0.0.2:80"


class TestStoredEnds:
    def test_ends_of_a_new_incarnation_do_not_count_as_stored(self) -> None:
        """The write that ends now holds the ends of the earlier incarnation."""
        world = World(workers=1)
        owner = asyncio.run(world.own())
        worker = owner.state.workers["w0"]
        worker.last_applied_end = 2
        before = {("w0", worker.incarnation): worker.last_applied_end}
        owner.state.handle_worker_restart(worker, worker.incarnation + 1, 1.0)
        worker.last_applied_end = 3
        owner._mark_ends_stored(before)
        assert worker.last_stored_end == 0


class TestStopWithoutAnswer:
    def test_two_of_them_do_not_wait_for_each_other_for_ever(self) -> None:
        state = CellState(CELL)
        state.update_workers([entry("w0"), entry("w1"), entry("w2")], 0.0)
        for worker in state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        step = Step(3, 3000, long_running=True, max_unavailable=1)
        lasting = state.add_job(job(steps=(step,)), 0.0)
        for placed in place_tasks(state, 0.0, 0):
            confirm_start(state, placed.ref, 1, 0.1)
        tasks = lasting.step_tasks(0, 0)
        for task in tasks[:2]:
            # Their refused starts began after all; the first stops were lost.
            state.stop_attempt(lasting, task.key, StopReason.REFUSED_START)
            task.stop_sent = True
        orders = state.stop_orders
        now_s = 0.0
        while now_s < MAX_ORDER_DELAY_S + 3 * MAX_REPORT_AGE_S:
            now_s += 0.5
            for task in tasks:
                running = [RunningTask(TaskName(JOB, task.key), 1, "", 100, 0)]
                reply = Reply(Verdict.OK, 1000 + int(now_s * 1000), 1, running)
                worker = state.workers[task.worker]
                apply_poll_reply(state, worker, reply, now_s, now_s)
            if any(may_send_stop(state, order, now_s) for order in orders):
                return
        assert any(t.phase != Phase.STOPPING for t in tasks[:2])


class TestPaceOfABestEffortTask:
    def test_a_new_owner_sets_the_pace_that_it_assumes(self) -> None:
        """An earlier owner may have slowed the task down; its pace is not stored."""
        state = CellState(CELL)
        state.update_workers([entry("w0")], 0.0)
        state.workers["w0"].tasks_known = True
        state.workers["w0"].clock.observe(1000, 0.0, 0.0)
        step = Step(1, 1000, long_running=True, best_effort=True)
        filling = state.add_job(job(steps=(step,)), 0.0)
        place_tasks(state, 0.0, 0)
        confirm_start(state, (JOB, KEY), 1, 0.1)
        confirm_pace(state, state.workers["w0"], (JOB, KEY), 1, 0)
        later = CellState(CELL)
        later.update_workers([entry("w0")], 3.0)
        later.restore_job(filling.spec, filling.encode(), 1, 3.0)
        later.attach_restored_tasks(3.0, 5.0, {})
        worker = later.workers["w0"]
        orders = []
        for sent_at_s in (3.1, 3.6, 4.1):
            running = [RunningTask(TaskName(JOB, KEY), 1, "", 0, 0)]
            reply = Reply(Verdict.OK, 4000, 1, running)
            apply_poll_reply(later, worker, reply, sent_at_s, sent_at_s)
            orders += find_pace_changes(later, worker)
        assert orders
