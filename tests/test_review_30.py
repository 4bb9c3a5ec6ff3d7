"""Review of the fix of incident 30 (issue 68): lives of a worker under one id."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio
import pytest
from cell_helpers import CELL, job, until
from cell_helpers import World as CellWorld
from run_once_helpers import MANAGERS, World
from test_progress import change_owner, play, set_draining, spec
from test_worker_lives import check_beside_owner, start_in_the_next_life
from test_worker_lives import play as play_idle
from test_worker_restart import KEY, Cell, entry

from chivetray.cells.answers import reject_foreign
from chivetray.cells.orders import StopReason
from chivetray.cells.owner import CellOwner
from chivetray.cells.reports import confirm_stop
from chivetray.cells.state import UNLISTED_WORKER_TTL_S, CellState
from chivetray.cells.tables import EPOCH_STEP
from chivetray.cells.timing import MAX_ORDER_DELAY_S
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import Phase, Step
from chivetray.platform.workers import Reply, Verdict

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000bb"


def run(check: Callable[[CellOwner, CellWorld], Awaitable[None]]) -> None:
    """Run a check; the clock of the next life begins behind that of the first one."""
    check_beside_owner(check, started_ago_s=5000.0)


class TestTokenOfAWorkerThatIsForgotten:
    """Guards against the loss of a worker that refuses the token of its owner."""

    # LOST: a worker that left the list after a restart and is back refuses each call.
    def test_it_is_used_after_it_is_listed_again(self) -> None:
        async def check(owner: CellOwner, world: CellWorld) -> None:
            model, state = world.models["w0"], owner.state
            model.restart(model.incarnation_ms + 1000)
            owner.update_workers(world.entries())
            worker = state.workers["w0"]
            await until(lambda: worker.clock.known and worker.tasks_known)
            owner.update_workers([])
            now_s = boot_time_s()
            state.update_workers([], now_s + UNLISTED_WORKER_TTL_S + 0.1)
            assert "w0" not in state.workers
            owner.update_workers(world.entries())
            worker = state.workers["w0"]
            await until(lambda: worker.clock.known and worker.tasks_known)
            assert worker.accepts_tasks(boot_time_s())

        run(check)


class TestTwoStartsThatAnotherLifeAnswers:
    """Guards against a later life that is known by its clock and taken for the former.

    The first foreign answer makes the clock unknown; answers after it are not compared.
    """

    # TWICE, LOST: the second start is confirmed in the name of the former life, and its
    # clock is taken over again.
    def test_neither_start_is_confirmed(self) -> None:
        async def check(owner: CellOwner, world: CellWorld) -> None:
            model, worker = world.models["w0"], owner.state.workers["w0"]
            replies = []
            send = world.workers._call

            async def record(address, name, body, timeout_s):  # type: ignore[no-untyped-def]
                if name == "hold":
                    # The poll that names the life comes later.
                    await asyncio.sleep(0.2)
                reply = await send(address, name, body, timeout_s)
                if name == "run-start":
                    replies.append(reply)
                return reply

            world.workers._call = record  # type: ignore[method-assign]
            model.restart(model.incarnation_ms + 1000)
            owner.add_job(job(steps=(Step(2, 1000),)))
            await until(lambda: len(replies) == 2)
            assert {reply.verdict for reply in replies} == {Verdict.OK}
            await asyncio.sleep(0.02)
            tasks = list(owner.state.jobs[JOB].tasks.values())
            assert worker.incarnation != model.incarnation_ms, "not heard of yet"
            assert [task.phase for task in tasks] == [Phase.PLACED] * 2
            assert all(task.start_unanswered for task in tasks)
            assert not worker.clock.known
            await until(lambda: worker.incarnation == model.incarnation_ms)
            # LOST: neither has run in the life that crashed.
            assert [task.crashes for task in tasks] == [0, 0]

        run(check)


class TestOldAnswerAfterADoubt:
    """Guards against an answer of the former life that ends the doubt of it.

    A poll that the former life answered arrives after a start that the next one did.
    """

    # TWICE: the next poll acknowledges ends by the numbers of the former life, so that
    # the next one forgets an end that nobody has read.
    def test_no_end_is_forgotten(self) -> None:
        async def check(owner: CellOwner, world: CellWorld) -> None:
            model, worker = world.models["w0"], owner.state.workers["w0"]
            model.work_s = 0.05
            former, delayed = model.incarnation_ms, anyio.Event()
            send = world.workers._call

            async def delay(address, name, body, timeout_s):  # type: ignore[no-untyped-def]
                reply = await send(address, name, body, timeout_s)
                if name == "hold" and reply.incarnation == former and reply.ended:
                    delayed.set()
                    await asyncio.sleep(0.3)
                return reply

            world.workers._call = delay  # type: ignore[method-assign]
            owner.add_job(job(steps=(Step(1, 1000),)))
            await delayed.wait()
            model.restart(former + 1000)
            owner.add_job(job(OTHER_JOB, steps=(Step(1, 1000),)))
            await until(lambda: worker.incarnation == former + 1000)
            owner.update_workers(world.entries())
            await asyncio.sleep(1.0)
            assert world.starts()[f"{OTHER_JOB}.0.0.0"] == 1

        run(check)


class TestLateOrdersOfAnEarlierOwner:
    """Guards against a lease that an order of an earlier owner grants in a later life.

    Which orders of an earlier owner were answered is not known.
    """

    # TWICE: tasks that are placed in the new life hold the longest lease, if an order
    # of the earlier owner arrived there before the first poll.
    def test_the_longest_lease_is_waited_for(self) -> None:
        later = CellState(CELL)
        later.longest_lease_s = 10.0
        later.update_workers([entry("w0")], 3.0)
        later.attach_restored_tasks(3.0, 5.0, {}, 2.9)
        worker = later.workers["w0"]
        # An order of this owner, which was answered.
        worker.deadline_ms, worker.lease_sent_at_s = 9000, 3.2
        number = worker.lease_orders.begin(3.2)
        worker.lease_orders.end(number, answered=True)
        later.handle_worker_restart(worker, 2, 3.5)
        worker.limit_earlier_lease(3.6)
        found = later.add_job(job(steps=(Step(1, 1000),)), 3.6)
        (task,) = found.step_tasks(0, 0)
        later.assign(found, task, found.spec.steps[0], worker, 3.7)
        assert worker.remaining_lease_s(3.6) >= 10.0
        assert task.foreign_lease


class TestRestartAfterADoubt:
    """Guards against orders to a former life that a doubt of it lets be forgotten."""

    # TWICE: no task is left there, and the deadline is 0 since the doubt.
    def test_orders_under_way_are_waited_for(self) -> None:
        state = CellState(CELL)
        state.longest_lease_s = 10.0
        state.update_workers([entry("w0")], 0.0)
        worker = state.workers["w0"]
        worker.clock.observe(1000, 0.0, 0.0)
        worker.deadline_ms, worker.lease_sent_at_s = 9000, 5.0
        worker.lease_orders.begin(5.0)
        worker.doubt_incarnation(5.1)
        state.handle_worker_restart(worker, 2, 7.0)
        worker.limit_earlier_lease(7.1)
        assert worker.remaining_lease_s(7.1) >= 10.0
        assert worker.late_orders_until_s > 7.1


class TestLifeThatWasBornBefore:
    """Guards against polls without a pause of a worker whose clock stays unknown."""

    # LOST: a life with a lower ``born`` (KNOWN-RED 45) is polled hundreds of times a
    # second, by an owner that shares its loop with callers.
    def test_polls_are_not_a_busy_loop(self) -> None:
        async def check(owner: CellOwner, world: CellWorld) -> None:
            model, worker = world.models["w0"], owner.state.workers["w0"]
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: bool(worker.deadline_ms))
            model.restart(model.incarnation_ms - 1000)
            await asyncio.sleep(0.3)
            before = world.workers.poll_count
            await asyncio.sleep(1.0)
            assert world.workers.poll_count - before < 100

        run(check)


class TestWorkerLostAtAStart:
    """Guards against a wait for the longest lease on a worker that is lost for good.

    A start got no answer, so that a life that nobody has seen might run it.
    """

    # LOST: a long-running task waits 11.2 s from its last start; after 10 s of a loss
    # without any other fault it has to run.
    @pytest.mark.parametrize("has_begun", [True, False])
    def test_a_long_running_task_runs_again_in_time(self, has_begun: bool) -> None:
        async def script(world: World) -> None:
            worker, *others = world.workers.values()
            set_draining(world, others, True)
            await asyncio.sleep(3.0)
            if has_begun:
                pairs = {(name, worker.address) for name in MANAGERS}
                world.lost_replies |= pairs
                world.hand_in(spec(1, "more", Step(1, 500, long_running=True)))
                before = set(worker.runs)
                for _ in range(1000):
                    await asyncio.sleep(0.005)
                    if set(worker.runs) - before:
                        break
                assert set(worker.runs) - before
                world.lost_replies -= pairs
            worker.crash("lost")
            worker.is_dark = True
            world.expire(worker)
            if not has_begun:
                world.hand_in(spec(1, "more", Step(1, 500, long_running=True)))
                await asyncio.sleep(0.05)
            set_draining(world, others, False)

        assert not play(script, 20.0)


class TestMarkOfAWorkerThatIsLost:
    """Guards against a later owner that waits far beyond the lease of a mark."""

    # LOST: the later owner waits for orders of 12 s that the life refuses by now, since
    # the owner before has polled it with a higher token.
    @pytest.mark.parametrize("after_s", [1.0, 4.0])
    def test_a_long_running_task_runs_again_in_time(self, after_s: float) -> None:
        async def script(world: World) -> None:
            worker = await start_in_the_next_life(world)
            await asyncio.sleep(after_s)
            worker.crash("lost")
            worker.is_dark = True
            world.expire(worker)
            await change_owner(world)

        assert not play_idle(script, 40.0)


class TestSecondAnswerOfAnotherLife:
    """Guards against a lease that a later of several foreign answers tells of."""

    # TWICE: an order that another life carries out after the first foreign answer
    # extends the lease of all that runs there.
    def test_the_longest_lease_is_waited_for_from_the_last_one(self) -> None:
        state = CellState(CELL)
        state.longest_lease_s = 10.0
        state.update_workers([entry("w0")], 10.0)
        worker = state.workers["w0"]
        worker.clock.observe(770_000, 10.0, 10.0)
        worker.deadline_ms, worker.lease_sent_at_s = 774_536, 10.0
        for now_s in (11.0, 11.5):
            reply = Reply(Verdict.OK, 4000 + int(1000 * now_s))
            assert reject_foreign(worker, reply, 10.9, now_s, worker.incarnation)
        assert worker.remaining_lease_s(11.5) >= 10.0


class TestTokensThatAreUsedUp:
    """Guards against a lease that is taken for limited although no token is left."""

    # TWICE: the worker does not refuse orders to its former life, whose token is the
    # same, and what they grant lasts for longer.
    def test_late_orders_are_waited_for(self) -> None:
        state = CellState(CELL)
        state.longest_lease_s = 10.0
        state.update_workers([entry("w0")], 0.0)
        worker = state.workers["w0"]
        worker.token_raises = EPOCH_STEP - 1
        worker.deadline_ms, worker.lease_sent_at_s = 9000, 5.0
        worker.lease_orders.begin(5.0)
        state.handle_worker_restart(worker, 2, 6.0)
        worker.limit_earlier_lease(6.1)
        assert worker.remaining_lease_s(6.1) >= 5.0 + MAX_ORDER_DELAY_S + 10.0 - 6.1


class TestTasksOfALifeThatWasBornBefore:
    """Guards against tasks that a life with a lower ``born`` takes for its own."""

    # TWICE: the start may have granted the longest lease there, of which neither the
    # mark nor the stored life tells a later owner.
    def test_they_are_moved_to_it(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.worker.incarnation = cell.task.incarnation = 5
        cell.poll(3, 2.1, running=True)
        assert cell.worker.incarnation == 3
        assert cell.task.incarnation == 3
        assert cell.task.foreign_lease

    # TWICE: the answer to a stop is of the former life; the new one was told nothing,
    # and may carry a start out late.
    def test_a_stop_that_the_former_life_answered_is_sent_again(self) -> None:
        cell = Cell(start_unanswered=True)
        cell.worker.incarnation = cell.task.incarnation = 5
        cell.state.stop_attempt(cell.job, KEY, StopReason.EVACUATION)
        (order,) = cell.state.stop_orders
        confirm_stop(cell.state, order, 5, 1.5)
        cell.poll(3, 2.1)
        assert cell.task.phase == Phase.STOPPING
        assert cell.task.stopped_at_s == 0.0


class TestOtherTaskOfAWorkerThatIsLost:
    """Guards against a job that has nothing running for more than 10 s after a loss.

    Its only task is no long-running one; the project reads LOST for it, too.
    """

    # LOST: the task waits 11.2 s from its last start, which got no answer.
    def test_a_start_got_no_answer(self) -> None:
        async def script(world: World) -> None:
            worker, *others = world.workers.values()
            set_draining(world, others, True)
            await asyncio.sleep(3.0)
            worker.crash("lost")
            worker.is_dark = True
            world.expire(worker)
            world.hand_in(spec(1, "more", Step(1, 500)))
            await asyncio.sleep(0.05)
            set_draining(world, others, False)

        assert not play(script, 20.0)

    # LOST: the stored mark still tells of late orders after they are refused.
    @pytest.mark.parametrize("after_s", [1.0, 4.0])
    def test_its_owner_is_lost_too(self, after_s: float) -> None:
        async def script(world: World) -> None:
            worker = await start_in_the_next_life(world, step=Step(1, 500))
            await asyncio.sleep(after_s)
            worker.crash("lost")
            worker.is_dark = True
            world.expire(worker)
            await change_owner(world)

        assert not play_idle(script, 40.0)
