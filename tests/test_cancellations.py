"""Starts of tasks whose job was cancelled while the owner could not learn of it."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cell_helpers import World as CellWorld
from cell_helpers import job, until
from run_once_helpers import CELL, MANAGERS, World, run_fleet
from virtual_loop import START_S, virtual_time

from chivetray.cells.cancellations import (
    MAX_SCAN_AGE_S,
    SCAN_AHEAD_AGE_S,
    CancellationWatch,
)
from chivetray.cells.directory import CellDirectory
from chivetray.cells.owner import CellOwner
from chivetray.cells.state import CellState
from chivetray.cells.tables import cancel_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.jobs.model import JobName, JobSpec, JobState
from chivetray.manager import Manager
from chivetray.platform.calls import Answer
from chivetray.platform.store import (
    PAGE_ROWS,
    Changes,
    Page,
    Row,
    StoreUnavailableError,
)

SPEC = job("00000000000000c1")
OTHER = job("00000000000000c2")
STORE_AWAY_S = 10.0


def put_cancellation(world: World, spec: JobSpec) -> None:
    row = cancel_row(spec.queue, spec.job_id)
    world.state.put(row.table, row.part, row.key, base64.b64encode(b"1").decode())


def count_starts(world: World, spec: JobSpec) -> int:
    names = [task for w in world.workers.values() for task, _ in w.starts]
    return sum(name.startswith(spec.job_id) for name in names)


def find_owner(world: World) -> CellOwner:
    manager = world.owner()
    assert manager is not None
    return manager.directory.owned_cells[CELL]


class TestStoreThatWasAwayFromTheOwner:
    """A caller's cancellation was answered, and tasks of the job started 11 s later."""

    @pytest.mark.parametrize("how", ["refused", "silent"])
    def test_no_task_of_a_job_cancelled_meanwhile_starts(self, how: str) -> None:
        """The start went out beside the scan that showed the cancellation."""

        async def scenario(world: World) -> None:
            for name in MANAGERS:
                world.cut_store(name, how, STORE_AWAY_S)
            world.hand_in(SPEC)
            put_cancellation(world, SPEC)
            world.hand_in(OTHER)
            await asyncio.sleep(1.0)
            # Whoever notifies the owner has read the job before it was cancelled.
            owner = find_owner(world)
            owner.add_job(SPEC)
            owner.add_job(OTHER)
            await asyncio.sleep(STORE_AWAY_S + 2.0)
            assert find_owner(world) is owner
            assert owner.state.jobs[SPEC.job_id].state == JobState.CANCELLED
            assert count_starts(world, SPEC) == 0
            assert count_starts(world, OTHER) == 3

        run_fleet(scenario)


class Scans:
    """Scans of one owner, each of which takes some time.

    :ivar begun: number of scans
    :ivar fail: whether the store does not answer
    :ivar cancelled: names of jobs that a scan shows as cancelled
    """

    def __init__(self, owner: CellOwner, took_s: float):
        self.owner, self.took_s = owner, took_s
        self.begun = 0
        self.fail = False
        self.cancelled: list[JobName] = []
        self._ended: anyio.Event | None = None
        owner.cancellations.scan = self.scan

    async def scan(self) -> None:
        if self._ended is not None:
            await self._ended.wait()
            return
        self.begun += 1
        sent_at_s, self._ended = boot_time_s(), anyio.Event()
        await asyncio.sleep(self.took_s)
        ended, self._ended = self._ended, None
        ended.set()
        if self.fail:
            raise StoreUnavailableError("refused")
        for name in self.cancelled:
            self.owner.cancel(name)
        self.owner.cancellations.record_scan(sent_at_s)


def run_owner(
    scenario: Callable[[CellWorld, CellOwner, Scans], Awaitable[None]],
    age_s: float,
    took_s: float = 0.05,
) -> None:
    """Run a scenario with an owner whose last scan is some time ago."""

    async def main() -> None:
        world = CellWorld()
        owner = await world.own()
        scans = Scans(owner, took_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.work)
            tasks.start_soon(owner.run)
            await until(
                lambda: all(w.tasks_known for w in owner.state.workers.values())
            )
            owner.cancellations.scanned_at_s = boot_time_s() - age_s
            await scenario(world, owner, scans)
            tasks.cancel_scope.cancel()

    asyncio.run(main())


def is_completed(owner: CellOwner, spec: JobSpec) -> bool:
    return owner.state.jobs[spec.job_id].state == JobState.COMPLETED


class TestAgeOfTheLastScan:
    """An owner must not act on cancellations that it read too long ago."""

    def test_starts_of_several_jobs_wait_for_one_scan(self) -> None:
        """A scan for each start would use up the limit of reads."""

        async def scenario(world: CellWorld, owner: CellOwner, scans: Scans) -> None:
            scans.cancelled = [SPEC.name]
            owner.add_job(SPEC)
            owner.add_job(OTHER)
            await until(lambda: is_completed(owner, OTHER))
            assert scans.begun == 1
            assert not any(SPEC.job_id in task for task in world.starts())

        run_owner(scenario, MAX_SCAN_AGE_S + 1.0)

    def test_the_scan_begins_beside_the_write_before_starts_need_it(self) -> None:
        """Urgent starts would otherwise wait for the write and then for the scan."""

        async def scenario(world: CellWorld, owner: CellOwner, scans: Scans) -> None:
            owner.add_job(SPEC)
            await until(lambda: len(world.starts()) == 3, limit_s=0.3)
            assert scans.begun == 1

        run_owner(scenario, SCAN_AHEAD_AGE_S + 0.01, took_s=0.4)

    def test_a_recent_scan_is_not_repeated(self) -> None:
        async def scenario(world: CellWorld, owner: CellOwner, scans: Scans) -> None:
            owner.add_job(SPEC)
            await until(lambda: is_completed(owner, SPEC))
            assert scans.begun == 0

        run_owner(scenario, 0.5)

    def test_an_owner_without_waiting_tasks_does_not_scan(self) -> None:
        """The scans of an idle owner are priced as its other calls."""

        async def scenario(_: CellWorld, __: CellOwner, scans: Scans) -> None:
            await asyncio.sleep(1.0)
            assert scans.begun == 0

        run_owner(scenario, 60.0)


class TestScansThatFail:
    """The store carries out writes of the owner, but does not answer its scans."""

    def test_nothing_starts_and_later_jobs_wait_unplaced(self, logged) -> None:  # type: ignore[no-untyped-def]
        """Tasks that are placed without a start occupy their workers."""

        async def scenario(world: CellWorld, owner: CellOwner, scans: Scans) -> None:
            scans.fail = True
            owner.add_job(SPEC)
            await until(lambda: scans.begun >= 1)
            await asyncio.sleep(0.2)
            owner.add_job(OTHER)
            await asyncio.sleep(1.5)
            assert not world.starts()
            assert not owner.state.jobs[OTHER.job_id].active_tasks()
            assert scans.begun <= 16
            scans.fail = False
            await until(lambda: len(world.starts()) == 6, limit_s=1.0)

        run_owner(scenario, MAX_SCAN_AGE_S + 1.0)
        (paused,) = logged.of(Event.STARTS_PAUSED)
        assert (paused["cell"], paused["epoch"]) == (CELL, 1)
        assert paused["scan_age_s"] > MAX_SCAN_AGE_S
        assert len(logged.of(Event.STARTS_RESUMED)) == 1


class CellFake:
    """An owner that only records which jobs it is told to cancel."""

    def __init__(self, name: str):
        self.state = CellState(name)
        self.guard_version = 1
        self.cancellations = CancellationWatch(name, 1, 0.0)
        self.told: list[str] = []

    def cancel(self, job_id: str) -> bool:
        self.told.append(job_id)
        return True

    def wake(self) -> None:
        pass


class FeedStore:
    """A store whose feed holds the cancellation of one job.

    :ivar asked: versions after which changes were asked for
    :ivar before_answer: called before each answer of the feed
    :ivar before_load: called before each list of parts
    """

    VERSION = 20
    NEWEST = 30

    def __init__(self) -> None:
        self.asked: list[int] = []
        self.before_answer: Callable[[], None] = lambda: None
        self.before_load: Callable[[], None] = lambda: None
        self.history_gone_until = 0

    async def changes(self, _table: str, version: int, _wait_ms: int) -> Changes:
        self.asked.append(version)
        await asyncio.sleep(0)
        self.before_answer()
        if version < self.history_gone_until:
            return Changes([], 0, history_gone=True)
        marker = Row(cancel_row("q", SPEC.job_id), b"1", self.VERSION)
        return Changes([marker] if version < self.VERSION else [], self.NEWEST)

    async def read(self, *_: object) -> tuple[list[Row], int]:
        return [], self.NEWEST

    async def read_page(self, *args: object) -> Page:
        return Page(*await self.read(*args), "")

    async def parts(self, _table: str) -> list[str]:
        self.before_load()
        return ["q"]


def make_directory(store: Any, cells: list[CellFake], version: int) -> CellDirectory:
    mesh = SimpleNamespace(handlers={})
    directory = CellDirectory(mesh, store, None, list, list, 1000)  # type: ignore
    directory.owned_cells = {cell.state.name: cell for cell in cells}  # type: ignore
    directory.scanned_version = version
    return directory


class TestChangesOnSeveralPages:
    """After a long pause a scan read one page, and the next one 3 s later."""

    def test_one_scan_reads_all_of_them(self) -> None:
        """Until then the owner started tasks of jobs that were long cancelled."""

        async def scenario(world: World) -> None:
            send = world.read_store
            feeds: list[int] = []

            def read(path: str) -> Answer:
                answer = send(path)
                if "rows-feed" not in path:
                    return answer
                rows = answer.body["rows"][:PAGE_ROWS]
                feeds.append(len(rows))
                newest = rows[-1]["Ver"] if rows else answer.body["Ver"]
                return Answer(200, {"Ver": newest, "rows": rows})

            world.read_store = read  # type: ignore[method-assign]
            for number in range(2 * PAGE_ROWS):
                put_cancellation(world, job(f"{number:016x}"))
            world.hand_in(SPEC)
            put_cancellation(world, SPEC)
            owner = find_owner(world)
            sent_at_s = boot_time_s()
            await owner.cancellations.refresh()
            assert owner.state.jobs[SPEC.job_id].state == JobState.CANCELLED
            assert feeds == [PAGE_ROWS, PAGE_ROWS, 4]
            assert owner.cancellations.scanned_at_s > sent_at_s

        run_fleet(scenario)


class TestProcessThatOwnsNoCell:
    """Its old version made the first scan for its next cell read far back."""

    def test_the_next_cell_begins_at_the_version_it_is_loaded_at(self) -> None:
        async def scenario(world: World) -> None:
            manager = world.owner()
            assert manager is not None
            assert manager.directory.scanned_version > 0
            find_owner(world).mark_lost("test")
            assert manager.directory.scanned_version == 0

        run_fleet(scenario)


class TestQueueWhoseFirstJobArrivesDuringTheLoading:
    """Its part was not among those listed, and the changes were read from later on."""

    def test_it_is_found_in_the_changes_since_the_first_read(self) -> None:
        class Store(FeedStore):
            version = 19

            async def read_page(self, *_: object) -> Page:
                self.version += 1
                return Page([], self.version, "")

        directory = make_directory(Store(), [], 0)
        asyncio.run(directory._load_jobs(CellState("a"), guard_version=10))
        assert directory.scanned_version == 20


class TestVersionUpToWhichChangesWereRead:
    """Several cells share it; a change that it passes unread is never read again."""

    def test_a_scan_under_way_does_not_pass_a_cell_loaded_meanwhile(self) -> None:
        """The loaded version was older than the one from which the scan read."""
        store = FeedStore()
        cell, loaded = CellFake("a"), CellFake("b")
        directory = make_directory(store, [cell], 25)

        def load() -> None:
            directory.scanned_version = 15
            directory.owned_cells["b"] = loaded  # type: ignore[assignment]

        async def scenario() -> None:
            store.before_answer = load
            await directory.scan()
            assert loaded.cancellations.scanned_at_s == 0.0
            store.before_answer = lambda: None
            await directory.scan()

        asyncio.run(scenario())
        assert store.asked == [25, 15]
        assert loaded.told == [JobName("q", SPEC.job_id)]
        assert loaded.cancellations.scanned_at_s > 0

    def test_a_cell_that_was_not_loaded_again_is_loaded_by_the_next_scan(self) -> None:
        """The history was gone, and the store went away after the first cell."""
        store = FeedStore()
        store.history_gone_until = 10
        cells = [CellFake("a"), CellFake("b")]
        directory = make_directory(store, cells, 5)
        loads = []

        def fail_once() -> None:
            loads.append(1)
            if len(loads) == 2:
                raise StoreUnavailableError("refused")

        store.before_load = fail_once

        async def scenario() -> None:
            with pytest.raises(StoreUnavailableError):
                await directory.scan()
            assert cells[1].cancellations.scanned_at_s == 0.0
            await directory.scan()

        asyncio.run(scenario())
        assert len(loads) == 4
        assert directory.scanned_version == FeedStore.NEWEST
        assert cells[1].cancellations.scanned_at_s > 0

    def test_a_cell_loaded_while_the_others_load_again_misses_nothing(self) -> None:
        """The version that the others were loaded at may be newer than its own."""
        store = FeedStore()
        store.history_gone_until = 10
        cell, loaded = CellFake("a"), CellFake("b")
        directory = make_directory(store, [cell], 5)

        loads = []

        def add_cell() -> None:
            loads.append(1)
            directory.owned_cells["b"] = loaded  # type: ignore[assignment]

        store.before_load = add_cell

        async def scenario() -> None:
            await directory.scan()
            await directory.scan()

        asyncio.run(scenario())
        assert len(loads) == 3
        assert directory.scanned_version == FeedStore.NEWEST


class TestPeriodicScan:
    """It finds the cancellations of jobs of which no task waits."""

    @staticmethod
    def scan_for(limit_s: float, store: FeedStore, busy: bool = False) -> list[float]:
        """Return the times at which a process with one cell scans."""
        times: list[float] = []
        store.before_answer = lambda: times.append(round(boot_time_s() - START_S, 1))

        async def main() -> None:
            directory = make_directory(store, [CellFake("a")], 25)
            directory.scanned_at_s = START_S
            manager: Any = SimpleNamespace(_directory=directory)
            running = asyncio.ensure_future(Manager._scan_jobs(manager))
            while boot_time_s() - START_S < limit_s:
                await asyncio.sleep(2.1)
                if busy:
                    await directory.scan()
            running.cancel()

        with virtual_time() as loop:
            loop.run_until_complete(main())
        return times

    def test_an_idle_owner_scans_each_interval(self) -> None:
        assert self.scan_for(10.0, FeedStore()) == [3.0, 6.0, 9.0]

    def test_scans_for_starts_take_its_place(self) -> None:
        """Both together would double the calls of a busy owner."""
        times = self.scan_for(10.0, FeedStore(), busy=True)
        assert times == [2.1, 4.2, 6.3, 8.4, 10.5]

    def test_a_scan_that_failed_is_repeated_soon(self) -> None:
        """After an outage tasks ran on for three seconds until the next one."""

        class Store(FeedStore):
            async def changes(self, *arguments: Any) -> Changes:
                found = await super().changes(*arguments)
                if len(self.asked) == 1:
                    raise StoreUnavailableError("refused")
                return found

        assert self.scan_for(8.0, Store()) == [3.0, 4.0, 7.0]
