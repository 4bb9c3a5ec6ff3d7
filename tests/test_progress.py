"""Long-running tasks run again in time when owners of their cell change."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from run_once_helpers import CELL, SimulatedWorker, World
from virtual_loop import virtual_time

from chivetray.jobs.model import JobSpec, Step
from chivetray.platform.calls import Answer

# Looks for a new owner, 50 ms apart.
TAKEOVER_LOOKS = 100

LASTING_STEP = Step(4, 500, long_running=True, max_unavailable=1)
EVERYWHERE_STEP = Step(5, 500, long_running=True, per_worker=1)


def spec(number: int, queue: str, step: Step) -> JobSpec:
    return JobSpec(
        f"{number:016x}", queue, CELL, queue, (step,), max_attempts=50, target_ms=600
    )


def play(
    script: Callable[[World], Awaitable[None]],
    watched_s: float,
    step: Step = LASTING_STEP,
) -> list[str]:
    """Run a script in a world whose tasks are at work; return the problems."""

    async def scenario() -> World:
        world = World(loop, 1, ())
        working = asyncio.ensure_future(world.work())
        world.begun_s = world.now_s()
        world.observe()
        await world.submit([(0.2, spec(0, "lasting", step))])
        await asyncio.sleep(8.0)
        assert all(record.runs for record in world.ledger.tasks.values())
        await script(world)
        await asyncio.sleep(watched_s)
        working.cancel()
        for manager in world.managers.values():
            manager.process.kill()
        await asyncio.sleep(0.1)
        return world

    with virtual_time() as loop:
        world = loop.run_until_complete(scenario())
    ledger = world.ledger
    # Shown when a test fails.
    print("\n".join(ledger.trace))
    return ledger.problems


def lose_worker(world: World) -> None:
    """Lose a worker that runs a task, for good."""
    worker = next(w for w in world.workers.values() if w.runs)
    world.ledger.say(f"{worker.worker_id} is lost for good")
    worker.crash("lost")
    world.expire(worker)


async def change_owner(world: World) -> None:
    """Kill the owner, and wait until another process has the cell."""
    owner = world.owner()
    assert owner is not None
    world.kill(owner, 0.3)
    for _ in range(TAKEOVER_LOOKS):
        await asyncio.sleep(0.05)
        if world.owner() not in (None, owner):
            return
    raise AssertionError("no process has taken the cell")


def set_draining(world: World, workers: list[SimulatedWorker], value: bool) -> None:
    for worker in workers:
        worker.draining = value
        world.publish(worker)


async def silence(world: World, workers: list[SimulatedWorker], for_s: float) -> None:
    """Lose all calls between workers and managers for a while."""
    pairs = {(name, worker.address) for name in world.managers for worker in workers}
    world.ledger.say(f"{[w.worker_id for w in workers]} are silent for {for_s} s")
    world.lost_calls |= pairs
    world.fault_s = world.now_s() + for_s
    await asyncio.sleep(for_s)
    world.lost_calls -= pairs
    world.ledger.say("they answer")


class TestWorkerLostWhileOwnersChange:
    """Guards against a wait for leases of earlier owners that each owner begins anew.

    Issue 35: LOST, a long-running task was without a run for 12 s.
    """

    def test_one_change_of_owner(self) -> None:
        async def script(world: World) -> None:
            lose_worker(world)
            await change_owner(world)

        assert not play(script, 20.0)

    def test_two_changes_in_a_row(self) -> None:
        async def script(world: World) -> None:
            lose_worker(world)
            await change_owner(world)
            await asyncio.sleep(0.5)
            await change_owner(world)

        assert not play(script, 20.0)

    def test_four_changes_5_s_apart(self) -> None:
        async def script(world: World) -> None:
            lose_worker(world)
            for _ in range(4):
                await change_owner(world)
                await asyncio.sleep(4.0)

        assert not play(script, 20.0)


class TestJobStoredWhileACellIsLoaded:
    """Guards against a job that no owner sees until the cell is loaded again.

    Only its entry would tell the owner, and an entry may end after the store's answer.
    """

    def test_it_is_the_first_of_its_partition(self) -> None:
        async def script(world: World) -> None:
            read = world.read_store
            stored = False

            def store_job_after(path: str) -> Answer:
                nonlocal stored
                answer = read(path)
                if "rows-parts" in path and not stored:
                    stored = True
                    world.hand_in(spec(1, "later", Step(1, 500)))
                return answer

            world.read_store = store_job_after  # type: ignore[method-assign]
            await change_owner(world)
            assert stored

        assert not play(script, 12.0)


class TestWorkersSilentForLongerThanALease:
    """Guards against workers that are not polled again, and take no more tasks.

    Issue 35: LOST, a long-running task never ran again, "with capacity for it".
    """

    @pytest.mark.parametrize("for_s", [5.0, 7.0, 9.0, 12.0])
    def test_they_take_tasks_again(self, for_s: float) -> None:
        async def script(world: World) -> None:
            workers = list(world.workers.values())
            assert all(worker.runs for worker in workers)
            await silence(world, workers, for_s)

        assert not play(script, 20.0, EVERYWHERE_STEP)

    @pytest.mark.parametrize("after_s", [0.0, 0.9, 1.6])
    def test_a_cut_that_is_shorter_than_a_lease(self, after_s: float) -> None:
        """The last lease was granted before the cut, and ends during it."""

        async def script(world: World) -> None:
            workers = list(world.workers.values())
            manager = world.owner()
            assert manager is not None
            for owner in manager.directory.owned_cells.values():
                owner.longest_lease_s = 6.0
            await asyncio.sleep(3.0 + after_s)
            pairs = {(name, w.address) for name in world.managers for w in workers}
            world.lost_replies |= pairs
            await silence(world, workers, 5.1)
            world.lost_replies -= pairs

        assert not play(script, 20.0, EVERYWHERE_STEP)

    def test_those_that_have_got_no_task_since(self) -> None:
        async def script(world: World) -> None:
            busy = [w for w in world.workers.values() if w.runs]
            idle = [w for w in world.workers.values() if not w.runs]
            await silence(world, busy, 10.0)
            await asyncio.sleep(6.0)
            set_draining(world, idle, True)

        assert not play(script, 20.0)


class TestWorkerLostAfterARestart:
    """Guards against a wait of 19 s for orders to the incarnation before."""

    def test_its_tasks_began_after_the_restart(self) -> None:
        async def script(world: World) -> None:
            worker = next(w for w in world.workers.values() if w.runs)
            others = [w for w in world.workers.values() if w is not worker]
            set_draining(world, others, True)
            await asyncio.sleep(1.0)
            worker.crash()
            await asyncio.sleep(0.3)
            worker.begin_again()
            world.publish(worker)
            await asyncio.sleep(2.0)
            assert worker.runs
            set_draining(world, others, False)
            await asyncio.sleep(1.0)
            lose_worker(world)

        assert not play(script, 20.0)

    def test_its_owner_changes_after_the_restart(self) -> None:
        async def script(world: World) -> None:
            worker = next(w for w in world.workers.values() if w.runs)
            worker.crash()
            await asyncio.sleep(0.1)
            worker.begin_again()
            world.publish(worker)
            await change_owner(world)
            await asyncio.sleep(1.0)
            assert worker.runs
            lose_worker(world)

        assert not play(script, 30.0)
