"""Ends of the leases on silent workers, which owners store for later ones."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

import anyio
import msgpack
import pytest
from cell_helpers import MemoryWorkers, World, job, until
from test_cell_owner import running
from test_directory import RenewalStore

from chivetray.cells import lease_ends
from chivetray.cells import owner as owner_module
from chivetray.cells.directory import RENEWAL_OBSERVATION_S, CellDirectory, Renewal
from chivetray.cells.owner import CellOwner
from chivetray.cells.tables import Ownership, lease_row, owner_row, renewal_row
from chivetray.cells.timing import (
    CONFIRMED_LEASE_S,
    LEASE_EXTENSION_WINDOW_S,
    MAX_EARLIER_LEASE_S,
)
from chivetray.clocks import RemoteClock, boot_time_s
from chivetray.jobs.model import Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.store import (
    Committed,
    Page,
    Row,
    RowId,
    StoreUnavailableError,
)
from chivetray.platform.workers import Reply, WorkerAddress

LASTING = Step(1, 1000, long_running=True)
ROW = lease_row("pool-a")


@pytest.fixture(autouse=True)
def _short_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lease_ends, "STORE_AFTER_SILENCE_S", 0.1)


def is_stored(world: World) -> bool:
    """Return whether the row names a worker."""
    row = world.state.rows.get((ROW.table, ROW.part, ROW.key))
    return row is not None and row.value != "gA=="


async def place_and_lose(world: World, owner: CellOwner) -> str:
    """Let a task run, make its worker silent, and return the worker."""
    owner.add_job(job(steps=(LASTING,)))
    await until(lambda: sum(world.starts().values()) == 1)
    busy = next(w for w, m in world.models.items() if m.running)
    await until(lambda: owner.state.workers[busy].deadline_ms > 0)
    world.workers.silent.add(busy)
    return busy


class TestChangesOfOwner:
    """Guards against a wait for earlier leases that each new owner began anew."""

    def test_a_later_owner_waits_until_the_end_that_was_stored(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                await place_and_lose(world, first)
            second = await world.own(first, earlier_lease_s=2.0)
            taken_at_s = boot_time_s()
            async with running(world, second):
                await until(lambda: is_stored(world))
            third = await world.own(second, earlier_lease_s=60.0)
            async with running(world, third):
                await until(lambda: sum(world.starts().values()) == 2, 4.0)
            assert 2.0 <= boot_time_s() - taken_at_s < 3.0

        asyncio.run(scenario())

    def test_an_owner_that_lost_the_worker_stores_its_own_lease(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                busy = await place_and_lose(world, first)
                await until(lambda: is_stored(world))
                worker = first.state.workers[busy]
                left_s = worker.remaining_lease_s(boot_time_s())
            second = await world.own(first, earlier_lease_s=60.0)
            now_s = boot_time_s()
            found_s = second.state.workers[busy].earlier_lease_until_s - now_s
            assert left_s - 0.2 < found_s < left_s + 0.5

        asyncio.run(scenario())


class TestLeasesOnTheWorker:
    """Guards against a second run during a lease longer than the stored end."""

    @staticmethod
    def grants_until_removed(fail: Any) -> list[str]:
        """Return the calls with a lease to a worker that answers again.

        :param fail: takes the place of the transactions that remove its entry
        """

        async def scenario() -> list[str]:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            async with running(world, owner):
                await place_and_lose(world, owner)
                await until(lambda: is_stored(world))

                def fail_removal(number: int, body: dict) -> Outcome | None:
                    keys = [row["Key"] for row in body["Writes"]]
                    return fail(world, body) if ROW.key in keys else None

                world.store.fail = fail_removal
                before = len(world.workers.calls)
                world.workers.silent.clear()
                owner.add_job(job("00000000000000bb", steps=(LASTING,)))
                worker = owner.state.workers["w0"]
                await until(lambda: not worker.silent_since_s)
                await asyncio.sleep(0.8)
            calls = world.workers.calls[before:]
            return [call for _, call, body in calls if body.get("DeadlineMs")]

        return asyncio.run(scenario())

    def test_none_is_granted_before_the_entry_is_removed(self) -> None:
        def lose(world: World, body: dict) -> Outcome:
            return NoAnswer("lost")

        assert self.grants_until_removed(lose) == []

    def test_they_are_granted_once_it_is_removed(self) -> None:
        calls = self.grants_until_removed(lambda world, body: None)
        assert set(calls) == {"hold", "run-start"}

    def test_an_entry_that_is_written_late_does_not_come_back(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            late: list[dict[str, Any]] = []

            def lose_first(number: int, body: dict) -> Outcome | None:
                keys = [row["Key"] for row in body["Writes"]]
                if ROW.key in keys and not late:
                    late.append(body)
                    return NoAnswer("late")
                return None

            world.store.fail = lose_first
            async with running(world, owner):
                await place_and_lose(world, owner)
                await until(lambda: bool(late))
                world.workers.silent.clear()
                worker = owner.state.workers["w0"]
                await until(lambda: not worker.lease_end_held)
                world.store.carry_out(late[0])
                assert not is_stored(world)

        asyncio.run(scenario())


class TestOwnerThatIsCutOff:
    def test_it_stores_no_end_for_workers_that_it_alone_cannot_reach(self) -> None:
        """Its leases would end, since it could not remove the entries in time."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                await until(lambda: owner.state.workers["w0"].deadline_ms > 0)
                world.store.fail = lambda number, body: NoAnswer("cut off")
                world.workers.silent.add("w0")
                await until(lambda: owner.state.workers["w0"].silent_since_s > 0)
                await asyncio.sleep(0.5)
                assert not owner.state.workers["w0"].lease_end_held

        asyncio.run(scenario())

    def test_a_store_that_refuses_writes_is_not_asked_all_the_time(self) -> None:
        """The writes of all cells together kept it from serving renewals."""

        async def scenario() -> int:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            refused = 0

            def refuse(number: int, body: dict) -> Outcome | None:
                nonlocal refused
                if any(row["Key"] == ROW.key for row in body["Writes"]):
                    refused += 1
                    return Answer(503, {})
                return None

            world.store.fail = refuse
            async with running(world, owner):
                await place_and_lose(world, owner)
                await until(lambda: refused > 0)
                await asyncio.sleep(1.5)
            return refused

        assert asyncio.run(scenario()) < 10


class TestUnreadableRow:
    def test_the_longest_lease_is_waited_for(self) -> None:
        async def scenario() -> None:
            world = World(work_s=30)
            first = await world.own()
            async with running(world, first):
                busy = await place_and_lose(world, first)
            world.state.put(ROW.table, ROW.part, ROW.key, "wQ==")
            second = await world.own(first, earlier_lease_s=5.0)
            lease_s = second.state.workers[busy].remaining_lease_s(boot_time_s())
            assert lease_s > 4.9

        asyncio.run(scenario())


class SilentOwnerStore(RenewalStore):
    """A store with the cell of an owner that has ceased to renew it."""

    def __init__(self, holder: str = "q", content: bytes = b"") -> None:
        super().__init__()
        self.content = content or Ownership(1, holder, "0").encode()
        self.clock = RemoteClock()
        self.expected: list[dict[RowId, int]] = []
        self.reads_to_fail = 0

    async def read_row(self, row: RowId) -> Row:
        if row.key == "owner":
            return Row(row, self.content, 4)
        return await super().read_row(row)

    async def read(self, *_: object) -> tuple[list[Row], int]:
        if self.reads_to_fail:
            self.reads_to_fail -= 1
            raise StoreUnavailableError("away")
        return [], 50

    async def read_page(self, *args: object) -> Page:
        return Page(*await self.read(*args), "")

    async def parts(self, _: str) -> list[str]:
        return []

    async def transact(self, expected: dict[RowId, int], _: object) -> Committed:
        self.expected.append(expected)
        return Committed(50)


class TestEarlierOwnerThatRenewedNothing:
    """Guards against a wait that was counted from the end of the take-over."""

    class Mesh:
        name = "p"
        incarnation = "1"
        peers: ClassVar[dict[str, object]] = {}
        handlers: ClassVar[dict[str, object]] = {}

        def request_heartbeat(self) -> None:
            pass

    def directory(self, store: SilentOwnerStore) -> CellDirectory:
        return CellDirectory(
            self.Mesh(),  # type: ignore[arg-type]
            store,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            lambda: ["pool-a"],
            lambda _: World(workers=1).entries(),
            1000,
        )

    def acquire(self, store: SilentOwnerStore, watched_s: float) -> CellOwner:
        directory = self.directory(store)
        read_at_s = boot_time_s() - watched_s
        directory._renewals["pool-a"] = Renewal(store.version, read_at_s, 0.0)
        owner = anyio.run(directory._acquire, "pool-a")
        assert owner is not None
        return owner

    def test_the_wait_is_counted_from_the_read_of_its_last_renewal(self) -> None:
        store = SilentOwnerStore()
        owner = self.acquire(store, watched_s=RENEWAL_OBSERVATION_S + 2.0)
        left_s = owner.state.workers["w0"].remaining_lease_s(boot_time_s())
        assert left_s <= MAX_EARLIER_LEASE_S - RENEWAL_OBSERVATION_S - 2.0

    def test_the_cell_is_acquired_only_if_that_was_the_last(self) -> None:
        store = SilentOwnerStore()
        self.acquire(store, watched_s=RENEWAL_OBSERVATION_S)
        (expected,) = store.expected
        assert expected == {owner_row("pool-a"): 4, renewal_row("pool-a"): 5}

    def test_its_own_earlier_incarnation_ended_before_its_start(self) -> None:
        store = SilentOwnerStore(holder="p")
        directory = self.directory(store)
        directory._created_at_s -= 2.0
        owner = anyio.run(directory._acquire, "pool-a")
        assert owner is not None
        left_s = owner.state.workers["w0"].remaining_lease_s(boot_time_s())
        assert left_s <= MAX_EARLIER_LEASE_S - 2.0

    def test_a_load_that_fails_does_not_begin_the_wait_anew(self) -> None:
        store = SilentOwnerStore()
        store.reads_to_fail = 1
        directory = self.directory(store)
        read_at_s = boot_time_s() - RENEWAL_OBSERVATION_S
        directory._renewals["pool-a"] = Renewal(store.version, read_at_s, 0.0)
        with pytest.raises(StoreUnavailableError):
            anyio.run(directory._acquire, "pool-a")
        owner = anyio.run(directory._acquire, "pool-a")
        assert owner is not None
        worker = owner.state.workers["w0"]
        assert worker.earlier_lease_until_s <= read_at_s + MAX_EARLIER_LEASE_S + 0.01

    @pytest.mark.parametrize("watched_s", [RENEWAL_OBSERVATION_S, 20.0])
    def test_its_last_orders_may_have_followed_its_last_renewal(
        self, watched_s: float
    ) -> None:
        """A later incarnation of their worker may carry them out seconds later."""
        owner = self.acquire(SilentOwnerStore(), watched_s)
        sent_s = boot_time_s() - owner.state.workers["w0"].lease_sent_at_s
        assert sent_s <= watched_s - LEASE_EXTENSION_WINDOW_S + 0.5

    @pytest.mark.parametrize("content", [[1, "q", "0", False, {}], "damaged"])
    def test_leases_of_an_earlier_release_last_longer(self, content: Any) -> None:
        """Its row does not tell for how long; it extended them for 4 s more."""
        store = SilentOwnerStore(content=msgpack.packb(content))
        owner = self.acquire(store, watched_s=RENEWAL_OBSERVATION_S)
        left_s = owner.state.workers["w0"].remaining_lease_s(boot_time_s())
        assert left_s > 11.0 * 1.02 - RENEWAL_OBSERVATION_S - 0.1


class HoldingWorkers(MemoryWorkers):
    """Workers that hold a poll for as long as it asks."""

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        reply = await super()._call(worker, call, body, timeout_s)
        if not self.models[worker.worker_id].ends:
            await asyncio.sleep(max(0.0, body.get("WaitMs", 0) / 1000 - 0.05))
        return reply


class TestOwnerWithoutConfirmation:
    """Guards against a lease that outlasts the wait of the next owner."""

    def test_an_acquisition_alone_allows_no_lease(self) -> None:
        """The next owner may have read the last renewal before it."""

        async def scenario() -> list[dict[str, Any]]:
            world = World(workers=1, work_s=30)
            first = await world.own()
            async with running(world, first):
                first.add_job(job(steps=(LASTING,)))
                await until(lambda: first.state.workers["w0"].deadline_ms > 0)
            second = await world.own(first)
            world.store.fail = lambda number, body: NoAnswer("away")
            async with running(world, second):
                worker = second.state.workers["w0"]
                await until(lambda: worker.tasks_known)
                await asyncio.sleep(0.5)
            return [b for _, _, b in world.workers.calls if b["FencingToken"] == 2]

        calls = asyncio.run(scenario())
        assert calls
        assert not any("DeadlineMs" in body for body in calls)

    def test_no_lease_lasts_longer_after_the_last_confirmed_write(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                worker, model = owner.state.workers["w0"], world.models["w0"]
                await until(lambda: worker.deadline_ms > 0)
                world.store.fail = lambda number, body: NoAnswer("away")
                confirmed_at_s = owner.confirmed_at_s
                longest_s = 0.0
                while boot_time_s() < confirmed_at_s + 2.0:
                    left_s = (model.deadline_ms - model.clock_ms()) / 1000
                    end_s = boot_time_s() + left_s
                    longest_s = max(longest_s, end_s - confirmed_at_s)
                    await asyncio.sleep(0.02)
                assert owner.confirmed_at_s == confirmed_at_s
            assert CONFIRMED_LEASE_S - 0.5 < longest_s <= CONFIRMED_LEASE_S + 0.005

        asyncio.run(scenario())

    def test_leases_are_extended_in_time_once_a_write_is_confirmed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A poll that the worker held without a lease once outlasted the lease."""
        monkeypatch.setattr(owner_module, "CONFIRMED_LEASE_S", 2.0)
        monkeypatch.setattr(owner_module, "LEASE_EXTENSION_WINDOW_S", 1.0)

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.workers = HoldingWorkers(world.models)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job(steps=(LASTING,)))
                worker = owner.state.workers["w0"]
                await until(lambda: worker.deadline_ms > 0)
                world.store.fail = lambda number, body: Answer(503, {})
                confirmed_at_s = owner.confirmed_at_s
                await until(lambda: boot_time_s() > confirmed_at_s + 1.2)
                world.store.fail = lambda number, body: None
                await asyncio.sleep(1.0)
            assert sum(world.starts().values()) == 1

        asyncio.run(scenario())
