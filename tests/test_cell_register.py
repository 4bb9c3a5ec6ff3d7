"""Cells whose service no route of the newest configuration names.

Accepted jobs of such a service once never ran again after all managers had restarted
(docs/incidents, 20).
"""

from __future__ import annotations

import asyncio
import base64
import json
import signal
from collections import Counter
from collections.abc import Iterator
from typing import Any

import anyio
import pytest
from cell_helpers import CELL, MemoryStore, World, job, until
from job_fleet import JobFleet, job_body, wait_for
from test_cell_owner import running
from test_review_35 import make_directory

from chivetray.cells import cell_register, directory
from chivetray.cells.cell_register import CellRegister, encode_end
from chivetray.cells.directory import CellDirectory
from chivetray.cells.loading import JobLoader
from chivetray.cells.owner import CellOwner
from chivetray.cells.state import CellState
from chivetray.cells.tables import CELL_TABLE, ended_row, job_row, owner_row
from chivetray.events import Event
from chivetray.jobs.job import encode_spec
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import Committed, Store, StoreUnavailableError
from chivetray.standins.jobs import example_config

OTHER = "pool-b"
JOB = "00000000000000aa"

# More tasks than run before all managers have restarted.
TASKS = 100


class ListedStore(MemoryStore):
    """A store that also lists partitions, and may be away for some calls.

    :ivar away: number of further lists that fail
    """

    away = 0

    async def parts(self, table: str) -> list[str]:
        await asyncio.sleep(0)
        if self.away:
            self.away -= 1
            raise StoreUnavailableError("no answer")
        names = [name for name, row in self.state.rows.items() if not row.removed]
        return sorted({name[1] for name in names if name[0] == table})


async def own_once(state: StoreState, cell: str = CELL) -> None:
    """Write the row that an owner of a cell leaves behind."""
    guard = owner_row(cell)
    outcome = await Store.transact(MemoryStore(state), {guard: 0}, {guard: b"x"})
    assert isinstance(outcome, Committed)


def make_register(
    store: Store,
    services: Any = frozenset({OTHER}),
    claimed: Any = (),
    wanted: Any = (),
) -> CellRegister:
    return CellRegister(
        store,
        lambda: services,
        lambda: claimed,
        lambda: wanted,
        lambda: 0,
        ignored=("~fleet",),
    )


async def follow(register: CellRegister, for_s: float = 0.05) -> None:
    with anyio.move_on_after(for_s):
        await register.run()


class TestCellWithoutRoute:
    """Guards against review/3: cells derived from the newest configuration alone."""

    def test_one_with_rows_in_the_store_needs_an_owner(self, logged) -> None:
        async def scenario() -> None:
            state = StoreState()
            await own_once(state)
            await own_once(state, "~fleet")
            register = make_register(ListedStore(state))
            await follow(register)
            assert register.names() == [CELL, OTHER]
            assert register.names() == [CELL, OTHER]

        asyncio.run(scenario())
        assert logged.of(Event.CELL_FOUND) == [{"cell": CELL}]

    def test_no_cell_is_taken_before_there_is_a_configuration(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            await own_once(state)
            register = make_register(ListedStore(state), services=None)
            await follow(register)
            assert register.names() == []

        asyncio.run(scenario())

    def test_the_store_is_not_asked_before_there_is_a_configuration(self) -> None:
        """All managers of a fleet that starts would list the cells again and again."""

        async def scenario() -> None:
            store = ListedStore(StoreState())
            store.away = 100
            register = make_register(store, services=None)
            await follow(register, 0.3)
            assert store.away == 100
            assert not register.is_complete

        asyncio.run(scenario())

    def test_a_configuration_without_any_route_leaves_it(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            await own_once(state)
            register = make_register(ListedStore(state), services=frozenset())
            await follow(register)
            assert register.names() == [CELL]

        asyncio.run(scenario())

    def test_a_store_that_is_away_at_the_start_is_read_later(self, monkeypatch) -> None:
        monkeypatch.setattr(cell_register, "LIST_RETRY_S", 0.01)

        async def scenario() -> None:
            state = StoreState()
            await own_once(state)
            store = ListedStore(state)
            store.away = 2
            register = make_register(store)
            await follow(register, 0.2)
            assert register.names() == [CELL, OTHER]

        asyncio.run(scenario())

    def test_one_that_a_peer_has_claimed_is_known_after_its_loss(self) -> None:
        claimed = [CELL]
        register = make_register(ListedStore(StoreState()), claimed=claimed)
        assert register.names() == [CELL, OTHER]
        claimed.clear()
        assert register.names() == [CELL, OTHER]

    def test_many_managers_list_less_often(self, monkeypatch) -> None:
        pauses_s = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)
            if pauses_s[-1] > 1:
                raise KeyboardInterrupt

        store = ListedStore(StoreState())
        register = CellRegister(store, set, list, list, lambda: 299)
        monkeypatch.setattr(anyio, "sleep", sleep)
        with pytest.raises(KeyboardInterrupt):
            asyncio.run(register.run())
        assert 300 / pauses_s[-1] <= cell_register.LISTS_PER_SECOND


class TestJobOfACellWithoutOwner:
    """Guards against a job accepted for a service that no manager has owned yet."""

    @pytest.mark.parametrize("by_scan", [False, True])
    def test_an_owner_of_another_cell_finds_it(self, by_scan: bool) -> None:
        async def scenario() -> None:
            state = StoreState()
            store = ListedStore(state)
            spec = job(JOB)
            row = job_row(spec.queue, spec.job_id)
            outcome = await store.transact({row: 0}, {row: encode_spec(spec)})
            assert isinstance(outcome, Committed)
            register = make_register(store)
            found = CellDirectory.__new__(CellDirectory)
            found.register, found.owned_cells = register, {}
            if by_scan:
                rows, _ = await store.read(row.table, row.part)
                other: Any = CellOwner.__new__(CellOwner)
                other.state, other._wake = CellState(OTHER), anyio.Event()
                found.owned_cells = {OTHER: other}
                found._apply_changes(rows)
            else:
                loader = JobLoader(store, note_job=found._note_job)
                await loader.load(CellState(OTHER), 0)
            assert register.names() == [CELL, OTHER]

        asyncio.run(scenario())


class TestEndOfACell:
    """Guards against cells of removed services that keep an owner for ever."""

    @pytest.fixture
    def short_ttl(self, monkeypatch) -> None:
        monkeypatch.setattr(directory, "IDLE_CELL_TTL_S", 0.2)

    @staticmethod
    async def _end(world: World, owner: CellOwner) -> bool:
        """Return whether a directory ends a cell within a second."""
        holder = make_directory(world, "m1")
        holder.register = make_register(world.store)
        holder.owned_cells = {CELL: owner}
        holder.scanned_version = 1

        async def scan() -> None:
            holder.scanned_version = world.state.version

        holder.scan = scan  # type: ignore[method-assign]
        async with running(world, owner) as tasks:
            for _ in range(50):
                if owner.lost:
                    return True
                holder._end_idle_cells(tasks)
                await anyio.sleep(0.02)
        return False

    def test_one_without_workers_and_jobs_ends_and_stays_ended(
        self, short_ttl, logged
    ) -> None:
        async def scenario() -> None:
            world = World(workers=0)
            world.store = ListedStore(world.state)
            assert await self._end(world, await world.own())
            later = make_register(world.store, claimed=[CELL])
            assert later.names() == [CELL, OTHER]
            guard = await world.store.read_row(owner_row(CELL))
            assert await later.find_end(CELL, guard)
            later = make_register(world.store)
            assert not later.is_complete
            await follow(later)
            assert later.is_complete
            assert later.names() == [OTHER]
            # A route that names the service again brings the cell back.
            again = make_register(world.store, services=frozenset({CELL}))
            assert not await again.find_end(CELL, guard)
            assert again.names() == [CELL]

        asyncio.run(scenario())
        assert logged.of(Event.CELL_ENDED)

    def test_one_with_a_job_that_is_due_later_goes_on(self, short_ttl) -> None:
        async def scenario() -> None:
            world = World(workers=0)
            owner = await world.own()
            owner.add_job(job(repeats=1, start_at_ms=2**50))
            assert not await self._end(world, owner)

        asyncio.run(scenario())

    def test_one_with_workers_goes_on(self, short_ttl) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            assert not await self._end(world, await world.own())

        asyncio.run(scenario())

    def test_a_job_that_was_stored_after_the_end_brings_it_back(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            store = ListedStore(state)
            await own_once(state)
            guard, end = owner_row(CELL), ended_row(CELL)
            released = {guard: b"y", end: encode_end(7)}
            outcome = await store.transact({guard: 1}, released)
            assert isinstance(outcome, Committed)
            register = make_register(store)
            await follow(register)
            row = await store.read_row(guard)
            assert await register.find_end(CELL, row)
            register.note_job(CELL, 7)
            assert register.names() == [OTHER]
            register.note_job(CELL, 8)
            assert register.names() == [CELL, OTHER]
            assert not await register.find_end(CELL, row)

        asyncio.run(scenario())

    def test_a_notice_of_a_job_brings_it_back_until_it_is_delivered(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            store = ListedStore(state)
            await own_once(state)
            guard, end = owner_row(CELL), ended_row(CELL)
            await store.transact({guard: 1}, {guard: b"y", end: encode_end(7)})
            wanted = [CELL]
            register = make_register(store, wanted=wanted)
            await follow(register)
            row = await store.read_row(guard)
            assert not await register.find_end(CELL, row)
            assert register.names() == [CELL, OTHER]
            wanted.clear()
            assert await register.find_end(CELL, row)
            assert register.names() == [OTHER]

        asyncio.run(scenario())

    def test_an_owner_after_the_end_undoes_it(self) -> None:
        """Owners of an earlier build do not know the row, and leave it in place."""

        async def scenario() -> None:
            state = StoreState()
            store = ListedStore(state)
            await own_once(state)
            guard, end = owner_row(CELL), ended_row(CELL)
            await store.transact({guard: 1}, {guard: b"y", end: encode_end(7)})
            await store.transact({guard: 2}, {guard: b"z"})
            register = make_register(store)
            await follow(register)
            row = await store.read_row(guard)
            assert not await register.find_end(CELL, row)
            assert CELL in register.names()

        asyncio.run(scenario())

    def test_a_damaged_end_is_none(self, logged) -> None:
        async def scenario() -> None:
            state = StoreState()
            store = ListedStore(state)
            guard, end = owner_row(CELL), ended_row(CELL)
            await store.transact({guard: 0}, {guard: b"y", end: b"\xc1"})
            register = make_register(store)
            assert not await register.find_end(CELL, await store.read_row(guard))

        asyncio.run(scenario())
        assert logged.of(Event.ROW_DAMAGED)

    def test_a_job_that_arrives_with_the_release_keeps_it(self, short_ttl) -> None:
        async def scenario() -> None:
            world = World(workers=0)
            owner = await world.own()
            owner.ended_version = 5
            owner.add_job(job())
            async with running(world, owner):
                owner.leaving = True
                owner.wake()
                await until(lambda: owner.lost)
            assert (CELL_TABLE, CELL, "ended") not in world.state.rows

        asyncio.run(scenario())


@pytest.fixture
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[JobFleet]:
    fleet = JobFleet(tmp_path_factory.mktemp("jobs"))
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


class TestManagersThatRestart:
    """Guards against review/3 with real processes: accepted jobs never run again."""

    @pytest.mark.parametrize("change", ["other service", "route removed"])
    @pytest.mark.parametrize("how", ["kill", "roll"])
    def test_accepted_jobs_go_on_without_their_route(self, fleet, change, how) -> None:
        assert fleet.call("m0", "POST", JOB, job_body(TASKS, 2.5))[0] == 200
        wait_for(fleet.starts)
        config = json.loads(base64.b64decode(example_config(version=2)))
        if change == "route removed":
            config["Routes"] = []
        else:
            config["Routes"][0]["Service"] = "another"
        value = base64.b64encode(json.dumps(config).encode()).decode()
        fleet.put({"Table": "op", "Key": "config", "Value": value})
        if how == "kill":
            for name in fleet.managers:
                fleet.kill(name)
            for name in fleet.managers:
                fleet.start_manager(name)
        else:
            for name in fleet.managers:
                fleet.processes[name].send_signal(signal.SIGTERM)
                fleet.processes[name].wait()
                fleet.start_manager(name)
        assert len(set(fleet.starts())) < TASKS, "the work ended before the restart"
        wait_for(lambda: len(set(fleet.starts())) == TASKS)
        assert max(Counter(fleet.starts()).values()) == 1
