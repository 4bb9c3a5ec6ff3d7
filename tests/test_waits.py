"""How long tasks wait for workers, answers and reports in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import pytest
from cell_helpers import MemoryWorkers, World, job
from virtual_loop import virtual_time

from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobSpec, Phase, Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.standins.worker import WorkerModel
from chivetray.platform.workers import Reply, WorkerAddress, decode_reply

JOB = "00000000000000aa"
LASTING = Step(1, 1000, long_running=True)


def lasting_job(job_id: str = JOB) -> JobSpec:
    return replace(job(job_id, (LASTING,)), payload="lasts")


class HoldingWorkers(MemoryWorkers):
    """Workers that hold polls, of which the silent ones leave calls open.

    :ivar refusing: start orders to answer next, by the outcome of each
    """

    def __init__(self, models: dict[str, WorkerModel]):
        super().__init__(models)
        self.refusing: list[Outcome] = []

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        if worker.worker_id in self.silent:
            self.calls.append((worker.worker_id, call, body))
            await asyncio.sleep(timeout_s)
            return decode_reply(NoAnswer("silent"))
        if call == "run-start" and self.refusing:
            outcome = self.refusing.pop(0)
            await asyncio.sleep(timeout_s if isinstance(outcome, NoAnswer) else 0.004)
            return decode_reply(outcome)
        reply = await super()._call(worker, call, body, timeout_s)
        if call == "hold" and not reply.ended and body.get("WaitMs"):
            await self._hold(worker.worker_id, body["WaitMs"] / 1000)
            return await super()._call(worker, call, {**body, "WaitMs": 0}, timeout_s)
        return reply

    async def _hold(self, worker_id: str, wait_s: float) -> None:
        """Wait until an attempt ends, or for as long as a poll may be held."""
        for _ in range(int(wait_s / 0.01)):
            if self.models[worker_id].ends:
                return
            await asyncio.sleep(0.01)


def in_virtual_time(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with virtual_time() as loop:
        loop.run_until_complete(scenario())


def make_world(workers: int) -> World:
    world = World(workers=workers, work_s=0.3)
    world.workers = HoldingWorkers(world.models)
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


class TestIdleWorkerThatRestarts:
    def test_it_is_used_as_soon_as_it_is_listed(self) -> None:
        """Nothing was placed there until the pause of its poll loop had ended."""

        async def scenario() -> None:
            world = make_world(1)
            owner = await world.own()
            async with running(world, owner):
                await asyncio.sleep(1.0)
                world.models["w0"].restart(2)
                owner.update_workers(world.entries())
                owner.add_job(lasting_job())
                await until(lambda: bool(world.models["w0"].running), 0.5)

        in_virtual_time(scenario)


class TestIdleWorkerThatDoesNotAnswer:
    def test_its_task_waits_for_the_lease_of_its_start_only(self) -> None:
        """A poll once granted a full lease there, though no attempt was known to run.

        Idle workers are not polled, so that one that is cut off still gets tasks.
        """

        async def scenario() -> None:
            world = make_world(2)
            owner = await world.own()
            async with running(world, owner):
                workers = owner.state.workers.values()
                await until(lambda: all(w.clock.known for w in workers), 1.0)
                await asyncio.sleep(1.0)
                world.workers.silent.update(world.models)
                owner.add_job(lasting_job())
                task = owner.state.jobs[JOB].step_tasks(0, 0)[0]
                await until(lambda: task.phase == Phase.PLACED, 1.0)
                world.workers.silent = {task.worker}
                waited_s = await until(
                    lambda: any(model.running for model in world.models.values()), 30.0
                )
            assert waited_s < 6.0

        in_virtual_time(scenario)


class TestStartThatIsRefusedAfterOneWithoutAnswer:
    @pytest.mark.parametrize("phase_s", [0.0, 0.4, 0.8, 1.2, 1.6])
    def test_its_task_goes_elsewhere_within_3_s(self, phase_s: float) -> None:
        """It once waited for two polls, which the worker holds for 2 s each.

        The attempt is stopped first, since the start without answer may be carried out.
        """

        async def scenario() -> None:
            world = make_world(2)
            owner = await world.own()
            async with running(world, owner):
                workers = owner.state.workers.values()
                await until(lambda: all(w.clock.known for w in workers), 1.0)
                # Polls of workers with a task that lasts are held.
                for number in range(2):
                    step = replace(LASTING, cpu_milli=3000)
                    spec = replace(job(f"{number:016x}", (step,)), payload="lasts")
                    owner.add_job(spec)
                await until(lambda: all(m.running for m in world.models.values()), 1.0)
                await asyncio.sleep(5.0 + phase_s)
                refusal = Answer(409, {"Reason": "room"})
                world.workers.refusing = [NoAnswer("lost"), refusal]
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: world.starts()[f"{JOB}.0.0.0"] > 0, 3.0)

        in_virtual_time(scenario)
