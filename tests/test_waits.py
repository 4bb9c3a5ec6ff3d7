"""How long tasks wait for workers, answers and reports in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
from cell_helpers import MemoryWorkers, World, job
from virtual_loop import virtual_time

from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobSpec, Phase, Step
from chivetray.platform.calls import NoAnswer
from chivetray.platform.workers import Reply, WorkerAddress, decode_reply

JOB = "00000000000000aa"
LASTING = Step(1, 1000, long_running=True)


def lasting_job(job_id: str = JOB) -> JobSpec:
    return replace(job(job_id, (LASTING,)), payload="lasts")


class UnreachableWorkers(MemoryWorkers):
    """Workers of which the silent ones leave a call open until its timeout."""

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        if worker.worker_id in self.silent:
            self.calls.append((worker.worker_id, call, body))
            await asyncio.sleep(timeout_s)
            return decode_reply(NoAnswer("silent"))
        return await super()._call(worker, call, body, timeout_s)


def in_virtual_time(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with virtual_time() as loop:
        loop.run_until_complete(scenario())


def make_world(workers: int) -> World:
    world = World(workers=workers, work_s=0.3)
    world.workers = UnreachableWorkers(world.models)
    for model in world.models.values():
        model.read_time_s, model.started_s = boot_time_s, boot_time_s()
        model.incarnation_ms = 1
    return world


@asynccontextmanager
async def running(world: World, owner: CellOwner):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.work)
        tasks.start_soon(owner.run)
        yield
        tasks.cancel_scope.cancel()


async def until(condition: Callable[[], bool], limit_s: float) -> float:
    """Wait until a condition holds; return for how long."""
    began_s = boot_time_s()
    while not condition():
        assert boot_time_s() - began_s < limit_s, f"not within {limit_s} s"
        await asyncio.sleep(0.01)
    return boot_time_s() - began_s


class TestWorkerThatAnswersAgain:
    def test_it_is_used_again_after_its_leases_have_expired(self) -> None:
        """A worker that no task was left on was once never polled again."""

        async def scenario() -> None:
            world = make_world(1)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(lasting_job())
                await until(lambda: bool(world.models["w0"].running), 1.0)
                world.workers.silent.add("w0")
                task = owner.state.jobs[JOB].tasks[(0, 0, 0)]
                await until(lambda: task.phase == Phase.WAITING, 12.0)
                world.workers.silent.clear()
                waited_s = await until(lambda: bool(world.models["w0"].running), 30.0)
            assert waited_s < 2.0

        in_virtual_time(scenario)
