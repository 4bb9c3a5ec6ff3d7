"""Workers whose capacity changes while they run."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace

import anyio
from cell_helpers import World, job, until

from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobState, Step


class TestStartAfterAShrink:
    # Guards against LIMIT: a start without answer was repeated on a worker that had
    # become too small meanwhile, and that takes whatever it is told to start.
    def test_it_is_not_repeated_there(self) -> None:
        async def run() -> None:
            world = World(workers=1, cpu_milli=4000)
            owner = await world.own()
            world.workers.lose_starts = 1000
            working = asyncio.ensure_future(world.work())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                owner.add_job(job(steps=(Step(2, 2000),)))
                await until(lambda: world.workers.late)
                small = [replace(e, cpu_milli=1000) for e in world.entries()]
                owner.state.update_workers(small, boot_time_s())
                world.workers.lose_starts = 0
                await asyncio.sleep(1.0)
                assert not world.starts()
                owner.state.update_workers(world.entries(), boot_time_s())
                owner.wake()
                (found,) = owner.state.jobs.values()
                await until(lambda: found.state == JobState.COMPLETED)
                owner.mark_lost("the test ends")
            working.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await working

        asyncio.run(run())
