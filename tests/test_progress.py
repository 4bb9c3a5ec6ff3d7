"""Long-running tasks run again in time when owners of their cell change."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from run_once_helpers import CELL, SimulatedWorker, World
from virtual_loop import virtual_time

from chivetray.jobs.model import JobSpec, Step
from chivetray.platform.calls import Answer

# Looks for a new owner, 50 ms apart.
TAKEOVER_LOOKS = 100

LASTING_STEP = Step(4, 500, long_running=True, max_unavailable=1)


def spec(number: int, queue: str, step: Step) -> JobSpec:
    return JobSpec(
        f"{number:016x}", queue, CELL, queue, (step,), max_attempts=50, target_ms=600
    )


def play(script: Callable[[World], Awaitable[None]], watched_s: float) -> list[str]:
    """Run a script in a world whose tasks are at work; return the problems."""

    async def scenario() -> World:
        world = World(loop, 1, ())
        working = asyncio.ensure_future(world.work())
        world.begun_s = world.now_s()
        world.observe()
        await world.submit([(0.2, spec(0, "lasting", LASTING_STEP))])
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
