"""Workers that restart under their id, and orders that they carry out late.

A later incarnation knows neither fencing tokens nor stopped attempts, and its clock has
started anew. A start that an earlier incarnation did not answer once began there while
its task ran elsewhere.
"""

from __future__ import annotations

import asyncio

import anyio
import pytest
from cell_helpers import CELL, World, job, until

from chivetray.cells.orders import StopReason
from chivetray.cells.owner import CellOwner
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start, confirm_stop
from chivetray.cells.state import CellState
from chivetray.cells.timing import LEASE_S, MAX_ORDER_DELAY_S
from chivetray.clocks import boot_time_s
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.platform.standins.worker import WorkerModel
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import Reply, RunningTask, TaskName, Verdict

JOB = "00000000000000aa"
KEY = (0, 0, 0)


def entry(name: str, incarnation: int = 1) -> WorkerRecord:
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", False, incarnation, 4000, 65536, 0, ("a", "r1")
    )


class Cell:
    """A cell with one task at work on one of two workers."""

    def __init__(self, start_unanswered: bool):
        self.state = CellState(CELL)
        self.state.update_workers([entry("w0"), entry("w1")], 0.0)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        self.job: Job = self.state.add_job(job(steps=(Step(1, 1000),)), 0.0)
        (placed,) = place_tasks(self.state, 0.0, 0)
        self.worker = self.state.workers[placed.worker_id]
        self.worker.lease_sent_at_s, self.worker.deadline_ms = 1.0, 9000
        self.task.start_unanswered = start_unanswered
        confirm_start(self.state, placed.ref, 1, 0.1)

    @property
    def task(self) -> Task:
        return self.job.tasks[KEY]

    def restart(self, incarnation: int = 2) -> None:
        self.state.handle_worker_restart(self.worker, incarnation, 2.0)

    def poll(self, incarnation: int, sent_at_s: float, running: bool = False) -> None:
        listed = [RunningTask(TaskName(JOB, KEY), 1, "", 50, 0)] if running else []
        reply = Reply(Verdict.OK, 100, incarnation, listed)
        apply_poll_reply(self.state, self.worker, reply, sent_at_s, sent_at_s + 0.1)

    def later_owner(self, *entries: WorkerRecord) -> CellState:
        later = CellState(CELL)
        later.update_workers(entries, 3.0)
        later.restore_job(self.job.spec, self.job.encode(), 1, 3.0)
        later.attach_restored_tasks(3.0, 5.0, {})
        return later


class TestStartWithoutAnswer:
    def test_the_task_stays_on_the_worker(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        assert cell.task.phase == Phase.PLACED
        assert cell.task.incarnation == 2
        assert cell.task.attempt == 1

    def test_a_run_that_begins_late_is_the_tasks_own(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        cell.poll(2, 2.1, running=True)
        assert cell.task.phase == Phase.RUNNING
        assert not cell.state.stop_orders

    def test_a_task_that_is_being_stopped_is_stopped_there_too(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.state.stop_attempt(cell.job, KEY, StopReason.EVACUATION)
        (order,) = cell.state.stop_orders
        confirm_stop(cell.state, order, 1, 1.5)
        cell.restart()
        cell.poll(2, 2.1)
        assert cell.task.phase == Phase.STOPPING
        assert cell.task.stopped_at_s == 0.0
        confirm_stop(cell.state, order, 2, 2.3)
        cell.poll(2, 2.4)
        assert cell.task.phase == Phase.WAITING

    def test_a_silent_worker_is_waited_for_until_no_such_run_can_be_left(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        cell.worker.silent_since_s = 2.1
        cell.state.expire_leases(1.0 + MAX_ORDER_DELAY_S + LEASE_S)
        assert cell.task.active
        cell.state.expire_leases(1.0 + MAX_ORDER_DELAY_S + LEASE_S * 1.03)
        assert cell.task.phase == Phase.WAITING

    def test_without_such_a_start_the_task_is_free_at_once(self) -> None:
        cell = Cell(start_unanswered=False)
        cell.poll(1, 1.5, running=True)
        cell.restart()
        assert cell.task.phase == Phase.WAITING


class TestStartWithAnAnswer:
    """The answer does not tell which incarnation carried the start out."""

    def test_an_attempt_that_no_poll_has_listed_stays_on_the_worker(self) -> None:
        """It once ran on in the new incarnation while its task ran elsewhere."""
        cell = Cell(start_unanswered=False)
        cell.restart()
        assert cell.task.phase == Phase.PLACED
        cell.poll(2, 2.1, running=True)
        assert cell.task.phase == Phase.RUNNING
        assert not cell.state.stop_orders

    def test_it_is_free_when_the_worker_restarts_after_a_poll_listed_it(self) -> None:
        cell = Cell(start_unanswered=False)
        cell.restart()
        cell.poll(2, 2.1, running=True)
        cell.restart(incarnation=3)
        assert cell.task.phase == Phase.WAITING


class TestReleasedCell:
    """The next owner once waited too short a time for a restarted worker."""

    def test_a_delayed_order_to_a_worker_that_answers_is_waited_for(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        cell.poll(2, 2.1, running=True)
        left_s = cell.state.remaining_leases(3.0)
        assert list(left_s) == [cell.worker.worker_id]
        assert left_s[cell.worker.worker_id] > 1.0 + MAX_ORDER_DELAY_S + LEASE_S - 3.0

    def test_an_ordinary_lease_on_a_worker_that_answers_is_not_stored(self) -> None:
        assert Cell(start_unanswered=True).state.remaining_leases(1.0) == {}


class TestLaterOwner:
    """It does not know whether the starts of earlier owners were answered."""

    def test_it_keeps_the_task_on_a_worker_that_restarts(self) -> None:
        cell = Cell(start_unanswered=False)
        later = cell.later_owner(entry("w0"), entry("w1"))
        worker = later.workers[cell.worker.worker_id]
        confirm_start(later, (JOB, KEY), 1, 3.1)
        later.handle_worker_restart(worker, 2, 3.2)
        assert later.jobs[JOB].tasks[KEY].phase == Phase.PLACED

    @pytest.mark.parametrize("stop", [False, True])
    def test_it_keeps_the_task_on_a_worker_that_has_restarted(self, stop: bool) -> None:
        cell = Cell(start_unanswered=False)
        if stop:
            cell.state.stop_attempt(cell.job, KEY, StopReason.EVACUATION)
        later = cell.later_owner(entry("w0", 2), entry("w1", 2))
        task = later.jobs[JOB].tasks[KEY]
        assert task.phase == (Phase.STOPPING if stop else Phase.PLACED)
        assert task.incarnation == 2
        later.workers[task.worker].silent_since_s = 3.1
        later.expire_leases(3.0 + MAX_ORDER_DELAY_S + LEASE_S)
        assert task.active

    def test_an_attempt_of_its_own_is_another_matter(self) -> None:
        cell = Cell(start_unanswered=False)
        later = cell.later_owner(entry("w0"), entry("w1"))
        task, worker = later.jobs[JOB].tasks[KEY], cell.worker.worker_id
        later.release_attempt(later.workers[worker], later.jobs[JOB], task, 3.1)
        for listed in later.workers.values():
            listed.tasks_known = True
            listed.clock.observe(1000, 3.0, 3.0)
        (placed,) = place_tasks(later, 3.2, 0)
        confirm_start(later, placed.ref, 2, 3.3)
        running = [RunningTask(TaskName(JOB, KEY), 2, "", 50, 0)]
        reply = Reply(Verdict.OK, 2000, 1, running)
        apply_poll_reply(later, later.workers[placed.worker_id], reply, 3.3, 3.35)
        later.handle_worker_restart(later.workers[placed.worker_id], 2, 3.4)
        assert task.phase == Phase.WAITING


def restart(world: World, name: str) -> WorkerModel:
    """Replace the model of a worker by its next incarnation, and return that."""
    before = world.models[name]
    fresh = WorkerModel(
        name, CELL, before.cpu_milli, before.work_s, before.incarnation_ms + 1000
    )
    world.models[name] = fresh
    return fresh


async def run_owner(world: World, owner: CellOwner, steps) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.work)
        tasks.start_soon(owner.run)
        await steps()
        tasks.cancel_scope.cancel()


class TestOwner:
    @pytest.mark.parametrize(("delay_s", "begins"), [(0.0, True), (0.4, False)])
    def test_a_late_start_in_a_new_incarnation_doubles_nothing(
        self, delay_s: float, begins: bool
    ) -> None:
        """The new incarnation refuses it once it has answered a poll."""

        async def scenario() -> None:
            world = World(work_s=30)
            world.workers.lose_starts = 1
            owner = await world.own()

            async def steps() -> None:
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                (name,) = [w for w, m in world.models.items() if m.running]
                fresh = restart(world, name)
                await asyncio.sleep(delay_s)
                world.workers.carry_out_late()
                assert bool(fresh.running) == begins
                owner.update_workers(world.entries())
                await until(lambda: bool(fresh.running))
                for _ in range(60):
                    await asyncio.sleep(0.01)
                    assert sum(len(m.running) for m in world.models.values()) <= 1
                assert sum(world.starts().values()) == 1, world.starts()

            await run_owner(world, owner, steps)

        asyncio.run(scenario())

    def test_a_start_that_a_new_incarnation_answers_doubles_nothing(self) -> None:
        """The owner once took it for a run of the incarnation that it knew.

        Only polls name the incarnation on the users' platform.
        """

        async def scenario() -> None:
            world = World(work_s=30)
            owner = await world.own()

            async def steps() -> None:
                workers = owner.state.workers.values()
                await until(lambda: all(w.tasks_known for w in workers))
                for name in list(world.models):
                    restart(world, name)
                owner.add_job(job(steps=(Step(1, 1000),)))
                for _ in range(60):
                    await asyncio.sleep(0.01)
                    assert sum(len(m.running) for m in world.models.values()) <= 1
                assert sum(world.starts().values()) == 1, world.starts()

            await run_owner(world, owner, steps)

        asyncio.run(scenario())

    def test_a_restarted_worker_without_tasks_is_used_again(self) -> None:
        """Its clock was once never learned, so that no task was placed there."""

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()

            async def steps() -> None:
                worker = owner.state.workers["w0"]
                await until(lambda: worker.tasks_known)
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: worker.last_acknowledged_end == 1)
                fresh = restart(world, "w0")
                worker.tasks_known = False
                owner.wake()
                await until(lambda: worker.incarnation == fresh.incarnation_ms)
                owner.update_workers(world.entries())
                await until(lambda: worker.accepts_tasks(boot_time_s()))

            await run_owner(world, owner, steps)

        asyncio.run(scenario())


class TestAcknowledgedEnds:
    """A restarted worker numbers its ends anew.

    Ends that the owner had not seen were once forgotten by the number of an end of the
    earlier incarnation, and their tasks ran again.
    """

    @staticmethod
    def observed(world: World, owner: CellOwner, silent: bool) -> list[int]:
        """Return the numbers that polls acknowledge after one end was acknowledged."""

        async def scenario() -> list[int]:
            async def steps() -> None:
                worker = owner.state.workers["w0"]
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: worker.last_acknowledged_end == 1)
                if silent:
                    worker.last_acknowledged_end = 0
                    worker.silent_since_s = boot_time_s()
                calls.append(len(world.workers.calls))
                owner.add_job(job("00000000000000bb", steps=(Step(1, 1000),)))
                await until(
                    lambda: any(
                        c == "hold" for _, c, _ in world.workers.calls[calls[0] :]
                    )
                )

            calls: list[int] = []
            await run_owner(world, owner, steps)
            later = world.workers.calls[calls[0] :]
            return [b["Observed"] for _, call, b in later if call == "hold"]

        return asyncio.run(scenario())

    def test_a_number_is_sent_only_while_there_are_ends_to_acknowledge(self) -> None:
        world = World(workers=1, work_s=0.05)
        assert self.observed(world, asyncio.run(world.own()), silent=False)[0] == 0

    def test_no_number_is_sent_to_a_worker_that_may_have_restarted(self) -> None:
        world = World(workers=1, work_s=0.05)
        assert self.observed(world, asyncio.run(world.own()), silent=True)[0] == 0


class TestLongestLeaseOfAWorker:
    """Guards against a second run during a lease that a new incarnation grants.

    An order with a deadline on the clock of the earlier one grants the longest lease.
    """

    def test_a_late_order_of_an_unseen_restart_is_waited_for(self) -> None:
        state = CellState(CELL)
        state.longest_lease_s = 10.0
        state.update_workers([entry("w0")], 0.0)
        worker = state.workers["w0"]
        worker.lease_sent_at_s, worker.deadline_ms = 1.0, 900_000
        worker.clock.observe(100, 1.0, 1.0)
        assert worker.remaining_lease_s(1.0) >= MAX_ORDER_DELAY_S + 10.0
        assert not worker.has_lease_expired(1.0 + MAX_ORDER_DELAY_S + 10.0)
        assert worker.has_lease_expired(1.0 + MAX_ORDER_DELAY_S + 10.5)
