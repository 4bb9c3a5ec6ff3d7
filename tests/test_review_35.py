"""Leases of earlier owners that a later one does not wait for, or waits for anew.

Found in a review of incident 15.
"""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

import anyio
import orjson
import pytest
from cell_helpers import CELL, MemoryStore, MemoryWorkers, World, job, until
from test_cell_owner import running

from chivetray.cells import lease_ends
from chivetray.cells.directory import CellDirectory
from chivetray.cells.lease_ends import LeaseEnds
from chivetray.cells.owner import CellOwner
from chivetray.cells.state import CellState
from chivetray.cells.tables import lease_row
from chivetray.cells.timing import (
    CONFIRMED_LEASE_S,
    LEASE_EXTENSION_WINDOW_S,
    LEASE_S,
    MAX_EARLIER_LEASE_S,
    MAX_ORDER_DELAY_S,
)
from chivetray.cells.workers import WorkerState
from chivetray.clocks import CLOCK_DRIFT, RemoteClock, boot_time_s
from chivetray.jobs.model import Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.store import Committed, Row, StoreUnavailableError
from chivetray.platform.workers import Reply, WorkerAddress, decode_reply

LASTING = Step(1, 1000, long_running=True)
ROW = lease_row(CELL)

LINK_BYTES_PER_S = 5_000_000 / 8

# Longest time from the sending of an order to the end of a lease that it grants.
LATE_ORDER_LEASE_S = MAX_ORDER_DELAY_S + LEASE_S / (1 - CLOCK_DRIFT)


class ListedStore(MemoryStore):
    """A store without jobs, of which the reads of one table may fail.

    :ivar failing_reads: reads of lease rows that are to fail
    """

    failing_reads = 0

    async def read(self, *args: Any) -> tuple[list[Row], int]:
        if args[2:3] == (ROW.key,) and self.failing_reads:
            self.failing_reads -= 1
            raise StoreUnavailableError("no answer")
        return await super().read(*args)

    async def parts(self, table: str) -> list[str]:
        return []


def make_directory(world: World, name: str, incarnation: str = "1") -> CellDirectory:
    class Mesh:
        peers: ClassVar[dict[str, object]] = {}
        handlers: ClassVar[dict[str, object]] = {}

        def request_heartbeat(self) -> None:
            pass

    mesh: Any = Mesh()
    mesh.name, mesh.incarnation = name, incarnation
    return CellDirectory(
        mesh,
        world.store,
        world.workers,
        lambda: [CELL],
        lambda _: world.entries(),
        1000,
    )


async def begin_world() -> World:
    """Return a world whose cell has an owner that renewed it once and is gone."""
    world = World(workers=1, work_s=30)
    world.store = ListedStore(world.state)
    first = await world.own()
    await first.transact({})
    return world


async def acquire(directory: CellDirectory) -> CellOwner:
    owner = await directory._acquire(CELL)
    assert owner is not None
    return owner


def placed_on_earlier_incarnation(state: CellState) -> None:
    """Load a job with a task in an earlier incarnation of its worker."""
    spec = job(steps=(LASTING,))
    loaded = state.add_job(spec, boot_time_s())
    (task,) = loaded.step_tasks(0, 0)
    worker = state.workers["w0"]
    state.assign(loaded, task, spec.steps[0], worker, boot_time_s())
    task.incarnation -= 1


class TestOwnerThatIsLostBeforeItsFirstRenewal:
    """Guards against a second run of a task during a lease of the owner between."""

    def test_the_leases_that_it_granted_are_waited_for(self) -> None:
        async def scenario() -> None:
            world = await begin_world()
            later = make_directory(world, "p")
            later._renewals[CELL] = await later._read_renewal(CELL)
            between = await acquire(make_directory(world, "q"))
            now_s = boot_time_s()
            granted_until_s = now_s + between.limit_lease_s(LEASE_S, now_s)
            owner = await acquire(later)
            worker = owner.state.workers["w0"]
            if granted_until_s > now_s:
                assert worker.earlier_lease_until_s >= granted_until_s

        asyncio.run(scenario())


class TestOwnerThatLoadsItsCell:
    """Guards against processes that take a cell from each other while it is loaded."""

    def test_its_first_renewal_is_waited_for(self) -> None:
        async def scenario() -> None:
            world = await begin_world()
            later = make_directory(world, "p")
            later._renewals[CELL] = await later._read_renewal(CELL)
            between = await acquire(make_directory(world, "q"))
            taking = asyncio.ensure_future(later._acquire(CELL))
            await asyncio.sleep(0.3)
            outcome = await between.transact({})
            await taking
            assert isinstance(outcome, Committed)

        asyncio.run(scenario())


class TestOrdersOfAnEarlierOwnerToARestartedWorker:
    """Guards against a second run by an order that is carried out late."""

    @staticmethod
    def waits_until_s(directory: CellDirectory) -> float:
        async def load_jobs(state: CellState, _: int) -> None:
            placed_on_earlier_incarnation(state)

        directory._load_jobs = load_jobs  # type: ignore[method-assign]
        owner = asyncio.run(acquire(directory))
        return owner.state.workers["w0"].earlier_lease_until_s

    def test_those_of_its_last_seconds_are_waited_for(self) -> None:
        world = asyncio.run(begin_world())
        directory = make_directory(world, "p")
        renewal = asyncio.run(directory._read_renewal(CELL))
        directory._renewals[CELL] = renewal
        last_order_s = renewal.read_at_s + LEASE_EXTENSION_WINDOW_S
        assert self.waits_until_s(directory) >= (
            last_order_s + MAX_ORDER_DELAY_S + LEASE_S
        )

    @pytest.mark.parametrize("ended_s", [2.0, 9.0])
    def test_those_of_its_own_earlier_incarnation_are_waited_for(
        self, ended_s: float
    ) -> None:
        world = asyncio.run(begin_world())
        # ``World.own`` names the first owner so.
        directory = make_directory(world, "m1", "i2")
        directory._created_at_s -= ended_s
        assert self.waits_until_s(directory) >= (
            directory._created_at_s + MAX_ORDER_DELAY_S + LEASE_S
        )


class TestLoadThatFailsAfterATakeOver:
    def test_the_next_try_does_not_begin_the_wait_anew(self) -> None:
        """Nobody has granted a lease since the last renewal of the earlier owner."""

        async def scenario() -> None:
            world = await begin_world()
            directory = make_directory(world, "p")
            renewal = await directory._read_renewal(CELL)
            directory._renewals[CELL] = renewal
            world.store.failing_reads = 1  # type: ignore[attr-defined]
            with pytest.raises(StoreUnavailableError):
                await directory._acquire(CELL)
            owner = await acquire(directory)
            worker = owner.state.workers["w0"]
            limit_s = renewal.read_at_s + MAX_EARLIER_LEASE_S + 0.1
            assert worker.earlier_lease_until_s < limit_s

        asyncio.run(scenario())


class TestLongLeaseThatAReleaseTells:
    """Guards against a second run during the lease of a late order."""

    def test_an_owner_that_fails_to_load_does_not_forget_it(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.store = ListedStore(world.state)
            first = await world.own()
            await first.transact({})
            first.get_remaining_leases = lambda: {"w0": 15.0}
            released_at_s = boot_time_s()
            assert await first._release_cell()
            directory = make_directory(world, "p")
            world.store.failing_reads = 1
            with pytest.raises(StoreUnavailableError):
                await directory._acquire(CELL)
            owner = await acquire(directory)
            worker = owner.state.workers["w0"]
            assert worker.earlier_lease_until_s >= released_at_s + 15.0

        asyncio.run(scenario())


class HeldPolls(MemoryWorkers):
    """Workers that hold polls; those that fall silent meanwhile do not answer them."""

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        reply = await super()._call(worker, call, body, timeout_s)
        if call == "hold" and not self.models[worker.worker_id].ends:
            await asyncio.sleep(max(0.0, body.get("WaitMs", 0) / 1000 - 0.05))
            if worker.worker_id in self.silent:
                return decode_reply(NoAnswer("silent"))
        return reply


class TestOwnerThatIsCutOffDuringAPoll:
    def test_it_stores_no_end_for_workers_that_it_alone_cannot_reach(self) -> None:
        """A poll is held for 2 s, so it may be sent long before a confirmed write."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.workers = HeldPolls(world.models)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                worker = owner.state.workers["w0"]
                await until(lambda: worker.deadline_ms > 0)
                await asyncio.sleep(1.2)
                world.store.fail = lambda number, body: NoAnswer("cut off")
                world.workers.silent.add("w0")
                await until(lambda: worker.silent_since_s > 0)
                await asyncio.sleep(0.5)
                assert not worker.lease_end_held

        asyncio.run(scenario())


class TestOnePollWithoutAnswer:
    def test_it_does_not_hold_the_lease(self) -> None:
        """With a slow store, two writes take longer than the rest of the lease."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.workers = HeldPolls(world.models)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                worker = owner.state.workers["w0"]
                await until(lambda: worker.deadline_ms > 0)
                await asyncio.sleep(1.2)
                world.workers.silent.add("w0")
                await until(lambda: worker.silent_since_s > 0)
                world.workers.silent.clear()
                await until(lambda: not worker.silent_since_s)
            assert (ROW.table, ROW.part, ROW.key) not in world.state.rows

        asyncio.run(scenario())


class TestStartAnsweredByANewIncarnation:
    """Its answer tells the new clock, and the deadline sent is on the old one."""

    @staticmethod
    def silent_worker(now_s: float) -> tuple[CellState, WorkerState]:
        """Return a worker that was up for 480 s before it restarted."""
        world = World(workers=1)
        state = CellState(CELL)
        state.update_workers(world.entries(), now_s)
        worker = state.workers["w0"]
        worker.allocate(("00000000000000aa", (0, 0, 0)), LASTING)
        worker.tasks_known, worker.lease_sent_at_s = True, now_s
        worker.deadline_ms = 480_000 + int(LEASE_S * 1000)
        worker.clock.observe(1000, now_s, now_s)
        worker.silent_since_s = now_s - 2.0
        return state, worker

    def test_the_worker_is_given_up_after_the_time_of_a_late_order(self) -> None:
        now_s = boot_time_s()
        _, worker = self.silent_worker(now_s)
        assert worker.has_lease_expired(now_s + LATE_ORDER_LEASE_S + 1.0)

    def test_later_owners_wait_no_longer_than_for_a_late_order(self) -> None:
        now_s = boot_time_s()
        state, worker = self.silent_worker(now_s)
        store_clock = RemoteClock()
        store_clock.observe(5000, now_s, now_s)
        ends = LeaseEnds(state)
        ends.choose_content(store_clock, now_s)
        state.handle_worker_restart(worker, worker.incarnation + 1, now_s)
        content = ends.choose_content(store_clock, now_s)
        limit_ms = 5000 + LATE_ORDER_LEASE_S * 1000 * (1 + CLOCK_DRIFT) + 500
        assert content is not None
        assert content["w0"] <= limit_ms


class TestStoreThatRefusesWrites:
    def test_lease_ends_are_written_again_with_growing_pauses(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Many cells at once would take the writes that renewals need."""
        monkeypatch.setattr(lease_ends, "STORE_AFTER_SILENCE_S", 0.1)

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            tries: list[float] = []

            def refuse(number: int, body: dict) -> Outcome | None:
                if not any(row["Key"] == ROW.key for row in body["Writes"]):
                    return None
                tries.append(boot_time_s())
                return Answer(429, {})

            world.store.fail = refuse
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                worker = owner.state.workers["w0"]
                await until(lambda: worker.deadline_ms > 0)
                world.workers.silent.add("w0")
                await until(lambda: bool(tries))
                await asyncio.sleep(2.0)
            # Renewals and commits are tried twice a second.
            assert len(tries) <= 12

        asyncio.run(scenario())


class TestStoreWithoutAClock:
    def test_no_end_is_stored_before_the_clock_is_known(self) -> None:
        world = World(workers=1)
        state = CellState(CELL)
        now_s = boot_time_s()
        state.update_workers(world.entries(), now_s)
        worker = state.workers["w0"]
        worker.allocate(("00000000000000aa", (0, 0, 0)), LASTING)
        worker.silent_since_s = now_s - 2.0
        worker.earlier_lease_until_s = now_s + CONFIRMED_LEASE_S
        assert not LeaseEnds(state).choose_content(RemoteClock(), now_s)


class ThinLinkStore(MemoryStore):
    """A store behind a link of 5 Mbit/s; a call that is given up is not carried out."""

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        size_bytes = len(orjson.dumps(body))
        await asyncio.sleep(size_bytes / LINK_BYTES_PER_S)
        return await super().call(method, path, body, timeout_s)


class TestLargeCommitOverAThinLink:
    def test_renewals_do_not_keep_it_from_ending(self) -> None:
        """A renewal that is answered meanwhile has the commit given up and repeated."""

        async def scenario() -> None:
            world = World()
            world.store = ThinLinkStore(world.state)
            owner = await world.own()
            jobs = []
            for number in range(40):
                spec = job(f"{number:016x}", (Step(500, 10),))
                jobs.append(owner.state.add_job(spec, 0.0))
                for task in jobs[-1].step_tasks(0, 0):
                    task.checkpoint = "0" * 32
                    owner.state.assign(
                        jobs[-1], task, spec.steps[0], owner.state.workers["w0"], 0.0
                    )
            sent_bytes = sum(len(j.encode()) * 4 // 3 for j in jobs)
            limit_s = 2 * sent_bytes / LINK_BYTES_PER_S + 2.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner._renew_ownership)
                with anyio.move_on_after(limit_s):
                    await owner._commit_progress(jobs)
                tasks.cancel_scope.cancel()
            assert all(j.version > 0 for j in jobs)

        asyncio.run(scenario())
