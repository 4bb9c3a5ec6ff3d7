from __future__ import annotations

import asyncio
from collections.abc import Callable

from cell_helpers import job
from run_once_helpers import (
    CELL,
    MANAGERS,
    Manager,
    SimulatedWorker,
    World,
    run_fleet,
)

from chivetray.jobs.model import Step

SPEC = job("00000000000000d1", steps=(Step(1, 1000, long_running=True),))
TASK = f"{SPEC.job_id}.0.0.0"


def owner_of(world: World) -> Manager:
    owner = world.owner()
    assert owner is not None
    return owner


def worker_with_the_task(world: World) -> SimulatedWorker:
    (worker,) = [w for w in world.workers.values() if TASK in w.running]
    return worker


def silence(world: World, worker: SimulatedWorker) -> None:
    world.lost_calls |= {(name, worker.address) for name in MANAGERS}


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(200):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("a condition did not hold within 10 s")


async def wait_for_next_owner(world: World, before: Manager) -> Manager:
    await wait_until(lambda: world.owner() not in (None, before))
    return owner_of(world)


class TestOwnerAfterARelease:
    """A release told the lease end of a silent worker, and the next owner was lost."""

    def test_leases_that_the_next_owner_granted_are_waited_for(self) -> None:
        """A task ran twice: an end told before these leases counted for its worker."""

        async def scenario(world: World) -> None:
            world.hand_in(SPEC)
            await asyncio.sleep(3.0)
            worker = worker_with_the_task(world)
            first = owner_of(world)
            known = first.directory.owned_cells[CELL].state.workers[worker.worker_id]
            silence(world, worker)
            await wait_until(lambda: known.silent_since_s > 0)
            first.process.context.run(first.release_cells)
            await asyncio.sleep(0.1)
            second = await wait_for_next_owner(world, first)
            world.lost_calls.clear()
            # The worker answers, and the lease that the release told is over.
            await asyncio.sleep(7.0)
            assert worker_with_the_task(world) is worker
            silence(world, worker)
            world.kill(second, 0.5)
            await wait_for_next_owner(world, second)
            await asyncio.sleep(8.0)
            assert world.ledger.problems == []

        run_fleet(scenario)
