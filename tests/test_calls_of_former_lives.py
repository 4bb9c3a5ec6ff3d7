"""Calls and knowledge of one life of a worker that count in another one.

Issue 68: a worker that starts again under its id knows nothing of before, and answers
to orders do not tell which of its lives has answered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from cell_helpers import World as MemoryWorld
from cell_helpers import job, until
from run_once_helpers import World
from test_progress import change_owner
from test_worker_lives import cut_off, play, start_in_the_next_life
from test_worker_restart import CELL, JOB, KEY, Cell, entry, restart, run_owner

from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.sharing import confirm_pace, find_pace_changes
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState, Phase, Step, Task
from chivetray.platform.calls import Outcome
from chivetray.platform.workers import Reply, RunningTask, TaskName, Verdict

LONGEST_LEASE_S = 10.0
OTHER_JOB = "00000000000000bb"

# Difference between the clocks of two lives: far more than any lease.
CLOCK_STEP_MS = 5_000_000


def running(task: Task, level: int = 0) -> RunningTask:
    return RunningTask(TaskName(JOB, task.key), task.attempt, "", 100, level)


class TestMarkOfAnUnlistedWorker:
    """Guards against a mark of a longer lease that a later owner does not look at."""

    # TWICE: the wait is that for ordinary leases if the list has lost the worker.
    @pytest.mark.parametrize("listed", [True, False])
    def test_the_longest_lease_is_waited_for(self, listed: bool) -> None:
        cell = Cell(start_unanswered=True)
        cell.restart()
        assert cell.task.foreign_lease
        later = CellState(CELL)
        later.longest_lease_s = LONGEST_LEASE_S
        later.update_workers([entry("w0", 2), entry("w1")] if listed else [], 3.0)
        later.restore_job(cell.job.spec, cell.job.encode(), 1, 3.0)
        later.attach_restored_tasks(3.0, 5.0, {})
        worker = later.workers[cell.worker.worker_id]
        assert worker.remaining_lease_s(3.0) >= LONGEST_LEASE_S

    # TWICE: the same in a run, with a worker that does not reach the store either.
    @pytest.mark.parametrize("after_s", [0.6, 1.0])
    def test_no_second_run_begins(self, after_s: float) -> None:
        async def script(world: World) -> None:
            worker = await start_in_the_next_life(world)
            await asyncio.sleep(after_s)
            cut_off(world, worker, 30.0)
            world.unlist_for(worker, 0.0, 30.0)
            await change_owner(world)

        assert not play(script, 30.0)


class TestNextOwnerWithoutTheNewLife:
    """Guards against a next owner that reckons with ordinary leases.

    Neither the owner before nor the list of workers has seen the life that runs a task.
    """

    # TWICE: the longest lease outlasts the wait after the loss of an owner.
    @pytest.mark.parametrize("after_s", [0.0, 0.3])
    def test_the_owner_before_was_killed(self, after_s: float) -> None:
        async def script(world: World) -> None:
            worker = await start_in_the_next_life(world, is_seen=False)
            cut_off(world, worker, 30.0)
            await asyncio.sleep(after_s)
            await change_owner(world)

        assert not play(script, 30.0)

    # TWICE: the longest lease outlasts the times in the release.
    @pytest.mark.parametrize("after_s", [0.0, 0.3])
    def test_the_owner_before_has_released_the_cell(self, after_s: float) -> None:
        async def script(world: World) -> None:
            worker = await start_in_the_next_life(world, is_seen=False)
            cut_off(world, worker, 30.0)
            await asyncio.sleep(after_s)
            owner = world.owner()
            assert owner is not None
            owner.process.context.run(owner.release_cells)

        assert not play(script, 30.0)


class TestLateStartAfterAChangeOfOwner:
    """Guards against an ended attempt that begins in a life which a later owner sees.

    A start of it without an answer is known to the owner that sent it, and to no other.
    """

    # TWICE and ROUTE: the attempt is neither stopped in the new life nor has a place.
    @pytest.mark.parametrize("same_owner", [True, False])
    def test_it_is_stopped_there(self, same_owner: bool) -> None:
        cell = Cell(start_unanswered=True)
        cell.state.release_attempt(cell.worker, cell.job, cell.task, 1.0, "stopped")
        worker_id, other = cell.worker.worker_id, {"w0": "w1", "w1": "w0"}
        step = cell.job.spec.steps[0]
        elsewhere = cell.state.workers[other[worker_id]]
        cell.state.assign(cell.job, cell.task, step, elsewhere, 1.5)
        state = cell.state
        if not same_owner:
            state = cell.later_owner(entry("w0"), entry("w1"))
        state.stop_orders.clear()
        state.handle_worker_restart(state.workers[worker_id], 2, 3.5)
        stopped = [(order.worker_id, order.attempt) for order in state.stop_orders]
        assert (worker_id, 1) in stopped


class TestOlderAttemptsOfTwoLives:
    """Guards against an older attempt of a former life that is not stopped any more.

    Another older attempt of its task is on the same worker, in the present life.
    """

    def test_the_one_of_the_former_life_is_stopped(self) -> None:
        cell = Cell(start_unanswered=False)
        task, worker_id = cell.task, cell.worker.worker_id
        task.attempt, task.worker = 3, "w9"
        task.copies = {1: worker_id, 2: worker_id}
        task.copy_incarnations = {1: 2, 2: 1}
        cell.restart()
        stopped = [(o.worker_id, o.attempt) for o in cell.state.stop_orders]
        assert (worker_id, 2) in stopped and (worker_id, 1) not in stopped
        assert task.copy_incarnations == {1: 2, 2: 2}
        assert task.foreign_lease and JOB in cell.state.changed_job_ids()


class TestPaceInTheNextLife:
    """Guards against a share of full speed that the next life was never told.

    A task begins at full speed in each life.
    """

    # HARM: no order follows, since the share that the task needs seems to be set.
    def test_it_is_told_again(self) -> None:
        state = CellState(CELL)
        state.update_workers([entry("w0")], 0.0)
        worker = state.workers["w0"]
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
        steps = (
            Step(1, 1000, long_running=True, target_ms=100),
            Step(1, 1000, long_running=True, best_effort=True),
        )
        found = state.add_job(job(steps=steps), 0.0)
        serving, filling = (found.step_tasks(0, number)[0] for number in (0, 1))
        for task, step in zip((serving, filling), steps, strict=True):
            state.assign(found, task, step, worker, 0.0)
            task.start_unanswered = True
        over_target = [running(serving, level=200), running(filling)]
        apply_poll_reply(state, worker, Reply(Verdict.OK, 1, 1, over_target), 1.0, 1.1)
        ref = (JOB, filling.key)
        assert find_pace_changes(state, worker) == [(ref, 1, 0)]
        confirm_pace(state, worker, ref, 1, 0)
        assert not find_pace_changes(state, worker)
        state.handle_worker_restart(worker, 2, 2.0)
        apply_poll_reply(state, worker, Reply(Verdict.OK, 1, 2, over_target), 3.0, 3.1)
        assert find_pace_changes(state, worker) == [(ref, 1, 0)]


class TestClockSetBack:
    """Guards against a new life that is taken for an old one.

    The clock of a worker's machine was set back across its restart, so that ``born`` of
    the new life is below that of the former one.
    """

    # LOST: the task counts as running for good, and so it is for later owners.
    def test_the_task_does_not_stay_at_work(self) -> None:
        cell = Cell(start_unanswered=False)
        cell.worker.incarnation = cell.task.incarnation = 5
        cell.poll(5, 1.0, running=True)
        assert cell.task.listed_at_s
        for sent_at_s in (2.0, 3.0, 4.0):
            reply = Reply(Verdict.OK, CLOCK_STEP_MS, 3)
            apply_poll_reply(cell.state, cell.worker, reply, sent_at_s, sent_at_s + 0.1)
        assert cell.task.phase != Phase.RUNNING


async def play_owner(
    world: MemoryWorld, steps: Callable[[Any], Awaitable[None]]
) -> CellState:
    """Run an owner of the cell beside some steps; return its state."""
    owner = await world.own()
    await run_owner(world, owner, lambda: steps(owner))
    return owner.state


class TestClockOfAnotherLife:
    """Guards against a deadline and a clock of two lives that are compared."""

    # LOST: a worker that falls silent seems to have a lease of many minutes, so that
    # its tasks wait for the longest delay of an order and the longest lease.
    def test_no_lease_seems_longer_than_any_worker_grants(self) -> None:
        world = MemoryWorld(workers=1, work_s=60.0)
        world.models["w0"].clock_start_ms = CLOCK_STEP_MS
        leases: list[dict[str, Any]] = []
        call = world.workers._call

        async def call_once(worker: Any, kind: str, body: Any, limit_s: float) -> Any:
            reply = await call(worker, kind, body, limit_s)
            if kind == "run-start":
                world.workers.silent.add("w0")
            return reply

        world.workers._call = call_once  # type: ignore

        async def steps(owner: Any) -> None:
            worker = owner.state.workers["w0"]
            await until(lambda: worker.accepts_tasks(boot_time_s()))
            restart(world, "w0")
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: worker.silent_since_s)
            leases.append(worker.describe_lease(boot_time_s()))

        asyncio.run(play_owner(world, steps))
        (lease,) = leases
        if lease["clock_ms"] is None:
            # The clock of the new life is not known yet.
            assert lease["deadline_ms"] == 0
        else:
            assert lease["deadline_ms"] - lease["clock_ms"] <= LONGEST_LEASE_S * 1000
        assert lease["earlier_lease_s"] <= LONGEST_LEASE_S * 1.03


class TestAcknowledgedEndsOfTheFormerLife:
    """Guards against a number of the former life that lets the new one forget an end.

    No call is delayed: the end of the former life is being stored meanwhile, and the
    answer to a start has shown the clock of the new one.
    """

    # TWICE: the end of the second task is forgotten unread, and the task runs again.
    def test_the_next_poll_sends_none(self) -> None:
        world = MemoryWorld(workers=1)
        # The deadline of the start is ahead on the clock of the new life.
        world.models["w0"].clock_start_ms = CLOCK_STEP_MS
        stores, starts = asyncio.Event(), asyncio.Event()
        is_held = [False, False]
        call, start = world.store.call, world.workers._call

        async def held_call(*arguments: Any) -> Outcome:
            if is_held[0]:
                await stores.wait()
            return await call(*arguments)

        async def held_start(worker: Any, kind: str, body: Any, limit_s: float) -> Any:
            if kind == "run-start" and body["Task"].startswith(OTHER_JOB):
                is_held[1] = True
                await starts.wait()
            return await start(worker, kind, body, limit_s)

        world.store.call, world.workers._call = held_call, held_start  # type: ignore

        async def steps(owner: Any) -> None:
            worker = owner.state.workers["w0"]
            await until(lambda: worker.accepts_tasks(boot_time_s()))
            world.models["w0"].work_s = 0.3
            owner.add_job(job(OTHER_JOB, (Step(1, 1000),)))
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: is_held[1] and world.models["w0"].running)
            is_held[0] = True
            await until(lambda: worker.last_applied_end == 1)
            model = restart(world, "w0")
            model.work_s = 0.03
            starts.set()
            await until(lambda: model.ends)
            is_held[0] = False
            stores.set()
            await until(lambda: worker.incarnation == model.incarnation_ms)
            owner.update_workers(world.entries())
            await until(lambda: owner.state.jobs[OTHER_JOB].state == JobState.COMPLETED)

        asyncio.run(play_owner(world, steps))
        assert world.starts()[f"{OTHER_JOB}.0.0.0"] == 1


def suspected(cell: Cell) -> Task:
    """Let two workers have crashed under the task, once in isolation."""
    task = cell.task
    task.crashes, task.lone_crashes = 2, 1
    task.suspect = task.isolated = True
    return task


class TestCrashesThatAreCounted:
    """Guards against innocent jobs that are given up (LOST, shown as failed).

    A crash counts against an attempt that did not run in the life that ended.
    """

    # The start has reached the new life, whose answer shows its clock.
    @pytest.mark.parametrize("new_clock_ms", [0, 2 * CLOCK_STEP_MS])
    def test_an_attempt_that_the_new_life_has_begun(self, new_clock_ms: int) -> None:
        world = MemoryWorld(workers=1, work_s=60.0)
        world.models["w0"].clock_start_ms = CLOCK_STEP_MS

        async def steps(owner: Any) -> None:
            worker = owner.state.workers["w0"]
            await until(lambda: worker.accepts_tasks(boot_time_s()))
            model = restart(world, "w0")
            model.clock_start_ms = new_clock_ms
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: worker.incarnation == model.incarnation_ms)

        state = asyncio.run(play_owner(world, steps))
        assert state.jobs[JOB].tasks[KEY].crashes == 0

    # No start was answered, since the worker was cut off before the first of them.
    def test_an_attempt_of_which_no_start_was_answered(self) -> None:
        cell = Cell(start_unanswered=True)
        task = suspected(cell)
        task.phase, task.running_at_s = Phase.PLACED, 0.0
        cell.restart()
        assert cell.job.state != JobState.FAILED

    # The same, and a later owner learns of the new life by the list.
    def test_such_an_attempt_after_a_change_of_owner(self) -> None:
        cell = Cell(start_unanswered=True)
        task = suspected(cell)
        task.phase, task.running_at_s = Phase.PLACED, 0.0
        later = cell.later_owner(entry("w0", 2), entry("w1", 2))
        assert later.jobs[JOB].state != JobState.FAILED

    # It had run for long enough not to be to blame, as the owner before had seen.
    def test_an_attempt_that_had_settled_before_a_change_of_owner(self) -> None:
        cell = Cell(start_unanswered=False)
        cell.poll(1, 0.2, running=True)
        cell.poll(1, 1.9, running=True)
        assert cell.task.settled
        later = cell.later_owner(entry("w0", 2), entry("w1", 2))
        assert later.jobs[JOB].tasks[KEY].crashes == 0

    # It lapsed while its worker was cut off; the same life has answered since, without
    # a task, and crashes then.
    def test_an_attempt_that_has_lapsed_before_the_crash(self) -> None:
        cell = Cell(start_unanswered=False)
        worker = cell.worker
        worker.silent_since_s = worker.last_silence_at_s = 0.5
        cell.state.expire_leases(9.0)
        assert cell.task.phase == Phase.WAITING
        worker.silent_since_s = 0.0
        cell.poll(1, 9.5)
        cell.state.handle_worker_restart(worker, 2, 10.0)
        assert cell.task.crashes == 0


class TestRowsOfTheLastBuild:
    """Guards against rows that the release before this one cannot read.

    It reads a task's values by position, and takes longer rows.
    """

    # A process of that release would start the job anew.
    def test_a_marked_task_has_one_value_more_and_the_others_none(self) -> None:
        cell = Cell(start_unanswered=True)
        plain = Job.unpack_main_row(cell.job.encode())[4]
        cell.restart()
        marked = Job.unpack_main_row(cell.job.encode())[4]
        assert [len(row) for row in plain + marked] == [17, 18]
