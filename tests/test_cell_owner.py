"""Owners of a cell with a faulty store and faulty workers."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import orjson
import pytest
from cell_helpers import CELL, World, job, until

from chivetray.cells import order_sender, polling, timing
from chivetray.cells.owner import CellOwner
from chivetray.cells.slack import is_short_of_room, is_urgent
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobState, Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.scheduling.ordering import (
    full_value_deadline_s,
    remaining_critical_path_s,
)


@asynccontextmanager
async def running(world: World, *owners: CellOwner):
    """Run owners and workers for the time of a block."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.work)
        for owner in owners:
            tasks.start_soon(owner.run)
        yield tasks
        tasks.cancel_scope.cancel()


class TestJobs:
    def test_steps_run_in_order_and_each_task_once(self) -> None:
        async def scenario() -> None:
            world = World()
            owner = await world.own()
            steps = (Step(3, 1000), Step(4, 1000, depends_on=(0,)))
            async with running(world, owner):
                owner.add_job(job(steps=steps))
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
            assert all(n == 1 for n in world.starts().values())
            order = [t for m in world.models.values() for t, _ in m.starts]
            assert len(order) == 7

        asyncio.run(scenario())

    def test_a_task_that_fails_its_attempts_fails_the_job(self) -> None:
        async def scenario() -> None:
            world = World()
            for model in world.models.values():
                model.faults.failing = True
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.FAILED)
            assert sum(world.starts().values()) == 2

        asyncio.run(scenario())

    def test_cancelled_jobs_leave_nothing_running(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                await until(lambda: sum(len(m.running) for m in world.models.values()))
                owner.cancel(job().name)
                await until(lambda: not any(m.running for m in world.models.values()))

        asyncio.run(scenario())


class TestLostAnswersOfTheStore:
    @pytest.mark.parametrize("lost", range(1, 8))
    @pytest.mark.parametrize("applied", ["at once", "never", "later"])
    def test_each_transaction_may_lose_its_answer(
        self, lost: int, applied: str
    ) -> None:
        async def scenario() -> None:
            world = World()
            held: list[object] = []

            def fail(number: int, body: object) -> NoAnswer | None:
                if number != lost:
                    return None
                if applied == "at once":
                    world.store.carry_out(body)
                elif applied == "later":
                    held.append(body)
                return NoAnswer("lost")

            world.store.fail = fail
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(3, 1000), Step(2, 500, depends_on=(0,)))))
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
                for body in held:
                    world.store.carry_out(body)
                owner.add_job(job("00000000000000bb"))
                other = owner.state.jobs["00000000000000bb"]
                await until(lambda: other.state == JobState.COMPLETED)
            assert not owner.lost
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())


class TestTakeOver:
    @pytest.mark.parametrize("step", range(1, 10))
    def test_owner_that_dies_after_any_write_doubles_and_loses_nothing(
        self, step: int
    ) -> None:
        async def scenario() -> None:
            world = World()
            first = await world.own()
            died = asyncio.Event()

            def fail(number: int, body: object) -> NoAnswer | None:
                if number < step:
                    return None
                if number == step:
                    world.store.carry_out(body)
                died.set()
                return NoAnswer("the process is gone")

            world.store.fail = fail
            spec = job(steps=(Step(3, 1000), Step(2, 500, depends_on=(0,))))
            async with running(world):
                async with anyio.create_task_group() as life:
                    life.start_soon(first.run)
                    first.add_job(spec)
                    with anyio.move_on_after(1.5):
                        await died.wait()
                    life.cancel_scope.cancel()
                world.store.fail = lambda number, body: None
                second = await world.own(first, earlier_lease_s=0.2)
                async with anyio.create_task_group() as life:
                    life.start_soon(second.run)
                    done = second.state.jobs[spec.job_id]
                    await until(lambda: done.state == JobState.COMPLETED)
                    life.cancel_scope.cancel()
            assert all(n == 1 for n in world.starts().values()), world.starts()

        asyncio.run(scenario())

    def test_an_owner_that_was_replaced_writes_and_starts_nothing(self) -> None:
        async def scenario() -> None:
            world = World()
            first = await world.own()
            async with running(world, first):
                first.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                second = await world.own(first)
                async with anyio.create_task_group() as life:
                    life.start_soon(second.run)
                    await until(
                        lambda: all(
                            w.tasks_known for w in second.state.workers.values()
                        )
                    )
                    first.add_job(job("00000000000000bb"))
                    await until(lambda: first.lost)
                    life.cancel_scope.cancel()
            assert not any("00000000000000bb" in t for t in world.starts())

        asyncio.run(scenario())

    def test_tasks_of_a_silent_worker_wait_for_the_earlier_lease(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                first.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
            busy = next(w for w, m in world.models.items() if m.running)
            world.workers.silent.add(busy)
            second = await world.own(first, earlier_lease_s=0.5)
            taken_s = boot_time_s()
            async with running(world, second):
                await until(lambda: sum(world.starts().values()) == 2)
            assert boot_time_s() - taken_s >= 0.5

        asyncio.run(scenario())

    def test_a_worker_that_was_replaced_at_its_address_is_lost_at_once(self) -> None:
        """A new owner that does not know the address would wait for the lease."""

        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                first.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
            busy = next(w for w, m in world.models.items() if m.running)
            world.unlisted.add(busy)
            world.workers.replaced.add(busy)
            second = await world.own(first, earlier_lease_s=60)
            async with running(world, second):
                await until(lambda: sum(world.starts().values()) == 2, 2.0)

        asyncio.run(scenario())

    def test_a_released_cell_tells_how_long_leases_last(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                first.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                busy = next(w for w, m in world.models.items() if m.running)
                worker = first.state.workers[busy]
                await until(lambda: worker.deadline_ms > 0)
                worker.silent_since_s = boot_time_s()
                left_s = first.state.remaining_leases(boot_time_s())[busy]
            assert 0 < left_s <= timing.MAX_RELEASED_LEASE_S

        asyncio.run(scenario())


class TestReleaseWithoutAnswer:
    """The next owner once waited for shorter leases than the former one granted.

    The former owner went on extending leases for up to 4 s, since it did not know that
    the release had been carried out.
    """

    @staticmethod
    def grants_after_release(first_outcome: str, later_outcome: str) -> list[str]:
        """Return the calls that grant leases after the first try of a release.

        :param first_outcome: outcome of the first release, "lost" or "refused"
        :param later_outcome: outcome of all later transactions
        """
        outcomes = {"lost": NoAnswer("lost"), "refused": Answer(503, {})}

        async def scenario() -> list[str]:
            world = World(work_s=30)
            owner = await world.own()
            released_at: list[int] = []

            def fail(number: int, body: dict) -> Outcome | None:
                if any(row["Key"] == "owner" for row in body["Writes"]):
                    if not released_at:
                        released_at.append(len(world.workers.calls))
                        return outcomes[first_outcome]
                    return outcomes[later_outcome]
                return None

            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                # Leaves a start whose answer is lost to be sent again.
                world.workers.lose_starts = 1000
                owner.add_job(job("00000000000000bb", steps=(Step(1, 1000),)))
                await until(lambda: world.workers.lose_starts < 1000)
                world.store.fail = fail
                owner.leaving = True
                owner.wake()
                await until(lambda: bool(released_at))
                # A call may have been under way.
                await asyncio.sleep(0.1)
                before = len(world.workers.calls)
                await asyncio.sleep(0.8)
                assert not owner.lost
            calls = world.workers.calls[before:]
            return [call for _, call, body in calls if body.get("DeadlineMs")]

        return asyncio.run(scenario())

    @pytest.mark.parametrize("later_outcome", ["lost", "refused"])
    def test_no_lease_is_granted_once_the_cell_may_be_released(
        self, later_outcome: str
    ) -> None:
        assert self.grants_after_release("lost", later_outcome) == []

    def test_leases_are_extended_if_the_release_was_refused(self) -> None:
        calls = self.grants_after_release("refused", "refused")
        assert set(calls) == {"hold", "run-start"}


class TestPollsWithoutALease:
    """Polls that grant no lease once returned at once, in a loop without a pause."""

    def test_a_worker_holds_them_until_an_attempt_ends(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                owner.releasing = True
                await asyncio.sleep(0.1)
                before = len(world.workers.calls)
                await asyncio.sleep(0.2)
                bodies = [body for _, _, body in world.workers.calls[before:]]
            assert bodies
            assert all(body.get("WaitMs", 0) > 0 for body in bodies)
            assert not any("DeadlineMs" in body for body in bodies)

        asyncio.run(scenario())


class TestReleaseWithAPlacement:
    """A start was once sent after the remaining leases had been read for the release.

    The worker was silent, so the next owner waited for the stored lease only, and ran
    the task elsewhere while the lease of the start lasted.
    """

    def test_a_placement_of_the_round_of_the_release_is_not_started(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            call = world.store.call
            may_write = asyncio.Event()

            async def call_slowly(method: str, path: str, body: Any, s: float) -> Any:
                if any(row["Key"] == "owner" for row in body["Writes"]):
                    outcome = await call(method, path, body, s)
                    await asyncio.sleep(0.1)
                    return outcome
                await may_write.wait()
                return await call(method, path, body, s)

            async with running(world, owner):
                worker = owner.state.workers["w0"]
                await until(lambda: worker.clock.known)
                world.store.call = call_slowly  # type: ignore[method-assign]
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: bool(worker.tasks))
                owner.leaving = True
                worker.silent_since_s = boot_time_s()
                may_write.set()
                await until(lambda: owner.lost)
            assert world.starts().total() == 0

        asyncio.run(scenario())


class TestSilentWorkers:
    def test_lease_of_a_silent_worker_runs_out(self, monkeypatch) -> None:
        """Polls of an unresponsive worker must not extend its lease each time."""
        monkeypatch.setattr(polling, "LEASE_S", 0.6)
        monkeypatch.setattr(order_sender, "START_LEASE_S", 0.6)

        async def scenario() -> None:
            world = World(work_s=30)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 1)
                busy = next(w for w, m in world.models.items() if m.running)
                world.workers.silent.add(busy)
                await until(lambda: sum(world.starts().values()) == 2, 3.0)

        asyncio.run(scenario())

    def test_a_start_without_answer_is_not_forgotten_in_a_later_round(self) -> None:
        """A later try that is not sent does not prove that the first one is void."""

        async def scenario() -> None:
            world = World(work_s=30)
            world.workers.lose_starts = 1
            world.workers.unreachable_after_loss = True
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                await asyncio.sleep(1.0)
                world.workers.carry_out_late()
                await asyncio.sleep(0.3)
            assert sum(world.starts().values()) == 1, world.starts()

        asyncio.run(scenario())

    def test_no_lease_is_longer_than_a_later_owner_waits_for(self) -> None:
        """The time that a poll waits at the worker must not lengthen the lease."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            longest_ms = 0
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                model = world.models["w0"]
                for _ in range(80):
                    await asyncio.sleep(0.01)
                    left_ms = model.deadline_ms - model.clock_ms()
                    longest_ms = max(longest_ms, left_ms)
            assert 0 < longest_ms <= timing.LEASE_S * 1000 + 5

        asyncio.run(scenario())

    def test_no_lease_is_longer_than_workers_grant(self) -> None:
        """The worker shortens it, and the task would be killed between two polls."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            owner.longest_lease_s = 0.5
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000),)))
                await asyncio.sleep(0.7)
            holds = [body for _, call, body in world.workers.calls if call == "hold"]
            assert max(body.get("WaitMs", 0) for body in holds) <= 150
            model = world.models["w0"]
            assert 0 < model.deadline_ms - model.clock_ms() <= 500 + 5

        asyncio.run(scenario())

    def test_a_start_that_is_carried_out_late_doubles_nothing(self) -> None:
        async def scenario() -> None:
            world = World(work_s=0.2)
            world.workers.lose_starts = 2
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(4, 1000),)))
                await until(lambda: sum(world.starts().values()) >= 3)
                world.workers.carry_out_late()
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
                world.workers.carry_out_late()
                await asyncio.sleep(0.1)
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())


class TestCopies:
    def test_a_copy_that_starts_late_does_not_let_its_task_run_again(self) -> None:
        """The stop of an unlisted copy was once given up after three tries."""

        async def scenario() -> None:
            world = World(workers=1, work_s=0.1)
            world.workers.lose_starts = 1000
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(1, 1000, copies=True),)))
                await until(lambda: len(world.workers.late) >= 1)
                world.workers.silent.add("w0")
                task = owner.state.jobs["00000000000000aa"].tasks[(0, 0, 0)]
                await until(lambda: task.copies == {1: "w0"})
                world.workers.lose_stops = 5
                world.workers.silent.clear()
                await until(lambda: world.workers.lose_stops == 0)
                assert task.copies == {1: "w0"}
                await until(lambda: not task.copies)
                world.workers.lose_starts = 0
                world.workers.carry_out_late()
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
            assert world.starts() == {"00000000000000aa.0.0.0": 1}

        asyncio.run(scenario())


class TestStaleProgress:
    def test_progress_that_is_newer_than_loaded_is_never_overwritten(self) -> None:
        """An owner with stale state would overwrite progress that it has not read."""

        async def scenario() -> None:
            world = World()
            first = await world.own()
            async with running(world, first):
                first.add_job(job())
                done = first.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
                await until(
                    lambda: not first.state.has_changed_jobs() and done.version > 0
                )
                await asyncio.sleep(0.05)
            second = await world.own()
            async with running(world, second):
                second.add_job(job())
                await until(lambda: second.lost)
            assert set(world.starts().values()) == {1}

        asyncio.run(scenario())


class TestManyLargeJobs:
    def test_their_progress_is_stored_in_several_writes(self) -> None:
        """One write of more than 1 MB was refused and sent again for ever."""
        row_limit_bytes, call_limit_bytes = 65536, 1_000_000

        def fail(_number: int, body: Any) -> Answer | None:
            is_large = len(orjson.dumps(body)) > call_limit_bytes
            return Answer(400, {}) if is_large else None

        async def scenario() -> None:
            world = World()
            owner = await world.own()
            world.store.fail = fail
            jobs = []
            for number in range(40):
                spec = job(f"{number:016x}", (Step(500, 10),))
                jobs.append(owner.state.add_job(spec, 0.0))
                for task in jobs[-1].step_tasks(0, 0):
                    task.checkpoint = "0" * 32
                    owner.state.assign(
                        jobs[-1], task, spec.steps[0], owner.state.workers["w0"], 0.0
                    )
            assert max(len(j.encode()) for j in jobs) < row_limit_bytes
            with anyio.fail_after(5.0):
                assert await owner._commit_progress(jobs)
            assert all(j.version > 0 for j in jobs)

        asyncio.run(scenario())


class TestEnds:
    def test_polls_wait_until_ends_are_stored(self) -> None:
        """Polls return immediately until ends are stored and would be a busy loop."""

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with running(world, owner):
                lasting = replace(job("00000000000000bb"), payload="30")
                owner.add_job(lasting)
                owner.add_job(job(steps=(Step(1, 1000),)))
                await until(lambda: sum(world.starts().values()) == 4)
                world.store.fail = lambda number, body: NoAnswer("away")
                await until(lambda: len(world.models["w0"].ends) == 1)
                polls_before = world.workers.poll_count
                await asyncio.sleep(0.5)
                assert world.workers.poll_count - polls_before < 20

        asyncio.run(scenario())

    def test_a_job_is_shown_as_completed_only_when_that_is_stored(self) -> None:
        """Shown during a store outage, it would run again after a crash."""

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(2, 1000),)))
                await until(lambda: sum(world.starts().values()) == 2)
                world.store.fail = lambda number, body: NoAnswer("away")
                done = owner.state.jobs["00000000000000aa"]
                await until(lambda: done.state == JobState.COMPLETED)
                assert done.visible_state == JobState.RUNNING
                world.store.fail = lambda number, body: None
                await until(lambda: done.visible_state == JobState.COMPLETED)

        asyncio.run(scenario())

    def test_no_end_is_forgotten_before_it_is_stored(self) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(Step(2, 1000),)))
                await until(lambda: sum(world.starts().values()) == 2)
                world.store.fail = lambda number, body: NoAnswer("away")
                await asyncio.sleep(0.3)
                model = world.models["w0"]
                assert [end[3] for end in model.ends] == ["done", "done"]

        asyncio.run(scenario())


def test_cell_name_is_the_service() -> None:
    world = World()
    assert {entry.service for entry in world.entries()} == {CELL}


class TestPollsOfBusyWorkers:
    """Ends are gathered while nothing waits for them."""

    JOBS = 24

    def polls(self, target_ms: int) -> int:
        """Run jobs that end one after another; return the number of polls."""

        async def main() -> int:
            world = World(workers=1, cpu_milli=self.JOBS * 1000)
            owner = await world.own()
            for number in range(self.JOBS):
                spec = job(
                    f"{number:016x}",
                    (Step(1, 1000, estimate_ms=700),),
                    target_ms=target_ms,
                )
                payload = f"{0.2 + number * 0.02:.2f}"
                owner.add_job(replace(spec, payload=payload))
            async with running(world, owner):
                await until(lambda: not owner.state.active)
            return sum(call == "hold" for _, call, _ in world.workers.calls)

        return asyncio.run(main())

    def test_jobs_with_time_to_spare_share_polls(self) -> None:
        """Nearly every end once took a poll of its own."""
        assert self.polls(target_ms=20_000) <= self.JOBS / 2

    def test_a_job_that_would_be_late_waits_for_no_other_end(self) -> None:
        state = CellState(CELL)
        spec = job(steps=(Step(4, 1000, estimate_ms=1000),), target_ms=500)
        added = state.add_job(spec, 0.0)
        path_s = remaining_critical_path_s(added, state.times)
        latest_start_s = full_value_deadline_s(added, state.times) - path_s
        assert is_urgent(state, spec.job_id, latest_start_s - 0.2, 0.3)
        assert not is_urgent(state, spec.job_id, latest_start_s - 0.4, 0.3)
        assert not is_urgent(state, spec.job_id, latest_start_s + 0.1, 0.3)

    def test_tasks_that_wait_for_room_are_seen(self) -> None:
        state = CellState(CELL)
        state.add_job(job(), 0.0)
        assert is_short_of_room(state)
        state.schedulable_job_ids.clear()
        assert not is_short_of_room(state)
