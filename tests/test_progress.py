"""Long-running tasks run again in time when owners of their cell change."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from run_once_helpers import CELL, World
from virtual_loop import virtual_time

from chivetray.jobs.model import JobSpec, Step

# Looks for a new owner, 50 ms apart.
TAKEOVER_LOOKS = 100

LASTING = JobSpec(
    f"{0:016x}",
    "lasting",
    CELL,
    "lasting",
    (Step(4, 500, long_running=True, max_unavailable=1),),
    max_attempts=50,
    target_ms=600,
)


def play(script: Callable[[World], Awaitable[None]], watched_s: float) -> list[str]:
    """Run a script in a world whose tasks are at work; return the problems."""

    async def scenario() -> World:
        world = World(loop, 1, ())
        working = asyncio.ensure_future(world.work())
        world.begun_s = world.now_s()
        world.observe()
        await world.submit([(0.2, LASTING)])
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
