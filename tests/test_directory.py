"""Loading of cells from a stale or slow store, and detection of failed owners."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any, ClassVar

import pytest
from cell_helpers import job

from chivetray.cells.cancellations import CancellationWatch
from chivetray.cells.directory import RENEWAL_OBSERVATION_S, CellDirectory, Renewal
from chivetray.cells.evacuation import RESERVATION_S, reserve_workers
from chivetray.cells.loading import JobLoader
from chivetray.cells.placing import place_tasks
from chivetray.cells.state import CellState
from chivetray.cells.tables import EPOCH_STEP, Ownership
from chivetray.cells.timing import MAX_RELEASED_LEASE_S
from chivetray.clocks import RemoteClock, boot_time_s
from chivetray.events import Event
from chivetray.jobs.model import Step
from chivetray.platform.store import (
    Changes,
    Committed,
    Conflict,
    Page,
    Row,
    RowId,
    StoreUnavailableError,
)
from chivetray.platform.stored_records import WorkerRecord


class StaleStore:
    """A store whose reads show the version given."""

    def __init__(self, version: int, delay_s: float = 0.0, parts: int = 1):
        self.clock = RemoteClock()
        self.version = version
        self.delay_s = delay_s
        self.part_names = [f"q{number}" for number in range(parts)]

    async def read(self, *_: object) -> tuple[list[object], int]:
        await asyncio.sleep(self.delay_s)
        return [], self.version

    async def read_page(self, *_: object) -> Page:
        await asyncio.sleep(self.delay_s)
        return Page([], self.version, "")

    async def parts(self, *_: object) -> list[str]:
        return self.part_names


def load(version: int, delay_s: float = 0.0, parts: int = 1) -> None:
    directory = CellDirectory.__new__(CellDirectory)
    store: Any = StaleStore(version, delay_s, parts)
    directory._loader = JobLoader(store)
    directory.scanned_version = 0
    asyncio.run(directory._load_jobs(CellState("pool-a"), guard_version=10))


class TestStaleReads:
    def test_a_state_from_before_the_take_over_is_not_used(self) -> None:
        with pytest.raises(StoreUnavailableError):
            load(9)

    def test_a_state_from_after_it_is_used(self) -> None:
        load(10)


class TestFirstJobOfAPartDuringALoad:
    def test_the_next_scan_finds_it(self) -> None:
        """Only its notification told the owner, which a killed process does not send.

        The part was listed too late to be read, and the reads that followed were newer
        than its row, so that no scan returned it.
        """

        class GrowingStore(StaleStore):
            async def parts(self, *_: object) -> list[str]:
                listed = list(self.part_names)
                self.version += 2
                return listed

        directory = CellDirectory.__new__(CellDirectory)
        store: Any = GrowingStore(10)
        directory._loader = JobLoader(store)
        directory.scanned_version = 0
        asyncio.run(directory._load_jobs(CellState("pool-a"), guard_version=10))
        created_at_version = 11
        assert directory.scanned_version < created_at_version


class TestScanThatEndsWithALoad:
    def test_the_next_one_reads_what_the_loaded_cell_has_missed(self) -> None:
        """Guards against a job that no scan finds: it was stored during the load."""
        directory = CellDirectory.__new__(CellDirectory)
        directory._store = None  # type: ignore[assignment]
        directory._mesh = SimpleNamespace(request_heartbeat=lambda: None)  # type: ignore[assignment]
        directory.loading_cells = {}

        async def load_jobs(*_: object) -> None:
            directory.scanned_version = 5

        async def load_ends(*_: object) -> dict[str, float]:
            return {}

        @contextlib.asynccontextmanager
        async def renewed() -> AsyncIterator[None]:
            yield
            directory.scanned_version = 9

        directory._load_jobs = load_jobs  # type: ignore[method-assign]
        owner: Any = SimpleNamespace(
            state=CellState("pool-a"),
            guard_version=1,
            lease_ends=SimpleNamespace(load=load_ends),
            renewed_while_loading=renewed,
        )
        asyncio.run(directory._load(owner))
        assert directory.scanned_version == 5


class TestSlowStore:
    def test_the_queues_of_a_cell_are_read_together(self) -> None:
        """Sequential reads would take seconds with a slow store."""
        began_s = time.monotonic()
        load(10, delay_s=0.2, parts=9)
        assert time.monotonic() - began_s < 1.0


class TestHistoryThatIsGone:
    def test_everything_is_read_once_and_then_only_changes(self) -> None:
        """Keeping the old version would make each scan load everything again."""

        class TruncatedHistoryStore(StaleStore):
            async def changes(self, table: str, version: int, wait_ms: int) -> Changes:
                gone = version < 20
                return Changes([], 0 if gone else version, history_gone=gone)

        class Owner:
            state = CellState("pool-a")
            guard_version = 10
            cancellations = CancellationWatch("pool-a", 1, 0.0)

            def wake(self) -> None:
                pass

        directory = CellDirectory.__new__(CellDirectory)
        store: Any = TruncatedHistoryStore(30)
        directory._store = store
        directory.owned_cells = {"pool-a": Owner()}  # type: ignore[dict-item]
        directory.scanned_version = 5
        asyncio.run(directory.scan())
        assert directory.scanned_version == 30


class RenewalStore:
    """A store with one renewal row.

    :param delay_s: duration of a read
    :param renews: whether each read finds a newer row
    """

    def __init__(self, delay_s: float = 0.0, renews: bool = False):
        self.delay_s = delay_s
        self.renews = renews
        self.version = 5

    async def read_row(self, row: RowId) -> Row:
        await asyncio.sleep(self.delay_s)
        self.version += self.renews
        return Row(row, b"", self.version)


def check_owner(store: RenewalStore, watched_s: float | None) -> tuple[bool, float]:
    """Return whether the owner is considered gone, and the duration of the check.

    :param watched_s: time since the first read of the owner's renewal row, if any
    """

    class Mesh:
        name = "p"
        incarnation = "1"
        peers: ClassVar[dict[str, object]] = {}

    async def main() -> tuple[bool, float]:
        directory = CellDirectory.__new__(CellDirectory)
        directory._store = store  # type: ignore[assignment]
        directory._mesh = Mesh()  # type: ignore[assignment]
        directory.owned_cells, directory.loading_cells = {}, {}
        directory._renewals = {}
        directory._unclaimed_since_s = {}
        if watched_s is not None:
            read_at_s = boot_time_s() - watched_s
            directory._renewals["a"] = Renewal(store.version, read_at_s, 0.0)
        began_s = time.monotonic()
        is_gone = await directory._is_previous_owner_gone("a", Ownership(1, "q", "1"))
        return is_gone, time.monotonic() - began_s

    return asyncio.run(main())


class TestSilentOwner:
    def test_renewals_read_while_it_was_suspected_are_used(self) -> None:
        """Observing only after the silence would delay the acquisition to 2.7 s."""
        is_gone, took_s = check_owner(RenewalStore(), watched_s=RENEWAL_OBSERVATION_S)
        assert is_gone
        assert took_s < 0.3

    def test_without_them_a_renewal_is_waited_for(self) -> None:
        is_gone, took_s = check_owner(RenewalStore(), watched_s=None)
        assert is_gone
        assert took_s >= RENEWAL_OBSERVATION_S

    def test_an_owner_that_renews_keeps_its_cell(self) -> None:
        assert not check_owner(
            RenewalStore(renews=True), watched_s=RENEWAL_OBSERVATION_S
        )[0]

    def test_a_slow_store_makes_the_observation_longer(self) -> None:
        is_gone, took_s = check_owner(RenewalStore(delay_s=0.4), watched_s=None)
        assert is_gone
        assert took_s >= RENEWAL_OBSERVATION_S + 2 * 0.4


class TestOwnerRowThatCannotBeRead:
    """It names no owner, yet an owner with any epoch may be at work."""

    @staticmethod
    def acquire(renews: bool) -> list[dict[RowId, bytes]]:
        class Store(RenewalStore):
            written: ClassVar[list[dict[RowId, bytes]]] = []

            async def read_row(self, row: RowId) -> Row:
                if row.key == "owner":
                    return Row(row, b"\xc1", 41)
                return await super().read_row(row)

            async def transact(self, _: object, writes: dict[RowId, bytes]) -> Conflict:
                self.written.append(writes)
                return Conflict({})

        class Mesh:
            name = "p"
            incarnation = "1"
            peers: ClassVar[dict[str, object]] = {}

        directory = CellDirectory.__new__(CellDirectory)
        directory._store = Store(renews=renews)  # type: ignore[assignment]
        directory._mesh = Mesh()  # type: ignore[assignment]
        directory.owned_cells, directory.loading_cells = {}, {}
        directory._renewals = {}
        directory._unclaimed_since_s = {}
        Store.written.clear()
        assert asyncio.run(directory._acquire("a")) is None
        return Store.written

    def test_the_next_epoch_is_above_any_that_it_may_have_held(self) -> None:
        """The epoch once began at 1 again, below that of the fences in use."""
        ((content,),) = (writes.values() for writes in self.acquire(renews=False))
        ownership = Ownership.decode(content)
        # 41 transactions may have raised it 41 times.
        assert ownership is not None and ownership.epoch > 41 * EPOCH_STEP

    def test_an_owner_that_renews_keeps_the_cell(self) -> None:
        assert self.acquire(renews=True) == []


class TestLogOfTakeOver:
    """The log did not say how long a new owner waits for which leases."""

    def test_it_names_the_leases_of_the_earlier_owner(self, logged) -> None:
        before = Ownership(4, "m1", "1", released=True, leases_s={"w0": 1.25})

        class Store(StaleStore):
            async def read_row(self, row: RowId) -> Row:
                return Row(row, before.encode(), 41)

            async def transact(self, *_: object) -> Committed:
                return Committed(42)

        async def load_jobs(*_: object) -> None:
            pass

        directory = CellDirectory.__new__(CellDirectory)
        directory._store = Store(42)  # type: ignore[assignment]
        directory._renewals = {}
        directory._mesh = SimpleNamespace(  # type: ignore[assignment]
            name="m2", incarnation="2", request_heartbeat=lambda: None
        )
        directory.loading_cells = {}
        directory.scanned_version = 0
        directory._workers = directory._advice = None  # type: ignore[assignment]
        directory.longest_lease_s = 7.0
        directory.longest_list_age_s = 60.0
        directory.stores_run_times = False
        directory.has_vm_orders = False
        directory.weight_of = lambda _: None
        directory._workers_of = lambda _: []  # type: ignore[method-assign]
        directory._load_jobs = load_jobs  # type: ignore[method-assign]
        owner = asyncio.run(directory._acquire("a"))
        assert owner is not None
        (line,) = logged.of(Event.CELL_TAKEN)
        assert line == {
            "cell": "a",
            "epoch": owner.epoch,
            "before": "m1",
            "released": True,
            "earlier_lease_s": round(MAX_RELEASED_LEASE_S, 3),
            "leases_s": {"w0": 1.25},
        }


class TestReservationsOfAnEarlierOwner:
    """An order for a VM may be under way by a report of the earlier owner."""

    @staticmethod
    def acquire(has_vm_orders: bool, row: Row | None) -> CellState:
        class Store(StaleStore):
            async def read_row(self, _: RowId) -> Row | None:
                return row

            async def transact(self, *_: object) -> Committed:
                return Committed(50)

        class Mesh:
            name = "p"
            incarnation = "1"
            peers: ClassVar[dict[str, object]] = {}
            handlers: ClassVar[dict[str, object]] = {}

            def request_heartbeat(self) -> None:
                pass

        entry = WorkerRecord(
            "w0", "pool-a", "10.0.0.1:80", "z1", False, 1, 4000, 8192, 0, ()
        )
        directory = CellDirectory(
            Mesh(),  # type: ignore[arg-type]
            Store(50),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            lambda: ["pool-a"],
            lambda _: [entry],
            1000,
        )
        directory.has_vm_orders = has_vm_orders
        owner = asyncio.run(directory._acquire("pool-a"))
        assert owner is not None
        worker = owner.state.workers["w0"]
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
        limited = Step(1, 1000, long_running=True, max_unavailable=1)
        owner.state.add_job(job(steps=(limited, Step(1, 1000))), 0.0)
        return owner.state

    RELEASED = Row(
        RowId("owners", "pool-a", "owner"), Ownership(1, "q", "1", True).encode(), 41
    )

    def test_a_new_owner_waits_for_the_holder_before_it_uses_empty_workers(
        self,
    ) -> None:
        """A task of a step that limits what is unavailable ended with such a VM."""
        state = self.acquire(True, self.RELEASED)
        now_s = boot_time_s()
        assert [p.ref[1] for p in place_tasks(state, now_s, 0)] == [(0, 1, 0)]
        reserve_workers(state, [], now_s)
        assert [p.ref[1] for p in place_tasks(state, now_s, 0)] == [(0, 0, 0)]

    def test_it_waits_no_longer_than_such_an_order_may_take(self) -> None:
        state = self.acquire(True, self.RELEASED)
        assert len(place_tasks(state, boot_time_s() + RESERVATION_S, 0)) == 2

    def test_the_first_owner_waits_for_nothing(self) -> None:
        assert len(place_tasks(self.acquire(True, None), boot_time_s(), 0)) == 2

    def test_without_vm_orders_nothing_is_waited_for(self) -> None:
        state = self.acquire(False, self.RELEASED)
        assert len(place_tasks(state, boot_time_s(), 0)) == 2
