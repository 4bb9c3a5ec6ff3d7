"""Cancellations of jobs that a store call without an answer may still create."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import pytest
from cell_helpers import CELL, MemoryStore
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_loop import virtual_time

from chivetray.cells.acceptance import Acceptance, JobAcceptor
from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_answers import JobAnswer
from chivetray.cells.job_service import JobService
from chivetray.cells.loading import JobLoader
from chivetray.cells.state import CellState
from chivetray.cells.tables import job_row, tombstone_row
from chivetray.jobs.job import encode_spec
from chivetray.jobs.model import JobState
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import RowId
from chivetray.platform.stored_records import Queue
from chivetray.platform.submissions import decode_submission
from chivetray.results import ResultCode

JOB = "00000000000000aa"
QUEUE = Queue("host/queue/", "q", "host", "/queue/", CELL, max_attempts=2)
BODY = orjson.dumps(
    {
        "TaskSpec": "work",
        "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 10, "EstimateMs": 100}],
    }
)
TIMEOUT_S = 1.0
DONE = (ResultCode.OK, ResultCode.NO_JOB)


class LateStore(MemoryStore):
    """A store of which calls may be lost, or answered late or never.

    :ivar losses: number of further transactions that get no answer
    :ivar late: transactions without an answer that may yet be carried out
    :ivar is_away: whether each transaction is lost
    """

    def __init__(self, state: StoreState):
        super().__init__(state)
        self.losses = 0
        self.is_away = False
        self.late: list[Any] = []

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        """Make one call; a lost one takes a while."""
        await asyncio.sleep(0.004)
        if self.losses or self.is_away:
            self.losses = max(0, self.losses - 1)
            self.late.append(body)
            await asyncio.sleep(0.3)
            return NoAnswer("lost")
        return self.carry_out(body)

    def carry_out_late(self, number: int) -> None:
        """Carry out one of the calls without an answer, if its condition holds."""
        if self.late:
            self.carry_out(self.late.pop(number % len(self.late)))


class Managers:
    """Two managers with a store that both use, and an owner that loads at the end."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.stores = [LateStore(self.state) for _ in range(2)]
        self.directories: list[CellDirectory] = []
        self.services: list[JobService] = []
        for number, store in enumerate(self.stores):
            mesh: Any = SimpleNamespace(name=f"m{number}", handlers={}, peers={})
            directory = CellDirectory(mesh, store, None, list, list, 1000)  # type: ignore[arg-type]
            self.directories.append(directory)
            config: Any = SimpleNamespace(current=None)
            self.services.append(JobService(mesh, store, directory, config))  # type: ignore[arg-type]

    async def submit(
        self, manager: int, organisation: str = "", queue: Queue = QUEUE
    ) -> JobAnswer:
        service = self.services[manager]
        return await service.submit(queue, JOB, BODY, TIMEOUT_S, organisation)

    async def cancel(self, manager: int, organisation: str = "") -> JobAnswer:
        service = self.services[manager]
        return await service.cancel(QUEUE, JOB, TIMEOUT_S, organisation)

    def carry_out_all(self) -> None:
        for store in self.stores:
            while store.late:
                store.carry_out_late(0)

    async def load(self) -> CellState:
        """Return the cell as its next owner loads it."""
        state = CellState(CELL)
        await JobLoader(MemoryStore(self.state)).load(state, 0)
        return state

    async def would_run(self) -> bool:
        """Return whether the next owner would run the job."""
        job = (await self.load()).jobs.get(JOB)
        return job is not None and not job.state.ended


def play(scenario: Callable[[Managers], Awaitable[None]]) -> None:
    """Run a scenario with two managers in virtual time."""

    async def main() -> None:
        managers = Managers()
        running = [asyncio.ensure_future(s.run()) for s in managers.services]
        await asyncio.sleep(0.01)
        await scenario(managers)
        assert not any(task.done() for task in running)
        for task in running:
            task.cancel()

    with virtual_time() as loop:
        loop.run_until_complete(main())


class TestJobThatIsStoredLate:
    """Its cancellation found no row and was acknowledged, and then the job ran."""

    @pytest.mark.parametrize("canceller", [0, 1])
    def test_it_is_not_stored_after_its_cancellation(self, canceller: int) -> None:
        async def scenario(managers: Managers) -> None:
            answer = await submit_with_lost_row(managers)
            assert answer.code == ResultCode.ACCEPTANCE_UNKNOWN
            assert (await managers.cancel(canceller)).code == ResultCode.NO_JOB
            managers.carry_out_all()
            assert not await managers.would_run()
            state = await managers.services[1].read_state(QUEUE, JOB, TIMEOUT_S)
            assert state.code == ResultCode.NO_JOB

        play(scenario)

    def test_a_submission_under_way_is_refused(self) -> None:
        """The manager that was still trying to store it did so after the answer."""

        async def scenario(managers: Managers) -> None:
            managers.stores[0].is_away = True
            submission = asyncio.ensure_future(managers.submit(0))
            await asyncio.sleep(0.1)
            assert (await managers.cancel(1)).code == ResultCode.NO_JOB
            managers.stores[0].is_away = False
            answer = await submission
            assert answer.code == ResultCode.CANCELLED_BEFORE_STORED
            managers.carry_out_all()
            assert not await managers.would_run()

        play(scenario)

    def test_a_repetition_is_refused_and_does_not_revive_it(self) -> None:
        """Callers repeat a submission without an answer, seconds later too."""

        async def scenario(managers: Managers) -> None:
            assert (await managers.cancel(1)).code == ResultCode.NO_JOB
            for manager in (0, 1):
                answer = await managers.submit(manager)
                assert answer.code == ResultCode.CANCELLED_BEFORE_STORED
            assert not await managers.would_run()

        play(scenario)

    @pytest.mark.parametrize("organisation", ["", "a", "b", "c", "d", "e"])
    def test_a_repeated_cancellation_needs_no_write(self, organisation: str) -> None:
        """With a slow store none of them was answered within the caller's time."""

        async def scenario(managers: Managers) -> None:
            managers.stores[0].is_away = True
            answer = await managers.cancel(0, organisation)
            assert answer.code == ResultCode.STATE_UNREADABLE
            managers.carry_out_all()
            for store in managers.stores:
                store.is_away = True
            for manager in (0, 1):
                answer = await managers.cancel(manager, organisation)
                assert answer.code == ResultCode.NO_JOB

        play(scenario)

    def test_a_stored_job_is_cancelled_and_its_repetition_answered(self) -> None:
        async def scenario(managers: Managers) -> None:
            assert (await managers.submit(0)).code == ResultCode.OK
            assert (await managers.cancel(1)).code == ResultCode.OK
            assert (await managers.submit(1)).code == ResultCode.OK
            state = await managers.services[1].read_state(QUEUE, JOB, TIMEOUT_S)
            assert state.state == JobState.CANCELLED

        play(scenario)


async def submit_with_lost_row(managers: Managers) -> JobAnswer:
    """Submit a job; no write of its row, and of nothing else, gets an answer."""
    store = managers.stores[0]
    call = store.call

    async def lose_job(method: str, path: str, body: Any, timeout_s: float) -> Outcome:
        keys = [(row["Table"], row["Key"]) for row in body["Writes"]]
        store.is_away = ("jobs", JOB) in keys
        return await call(method, path, body, timeout_s)

    store.call = lose_job  # type: ignore[method-assign]
    answer = await managers.submit(0)
    store.call, store.is_away = call, False  # type: ignore[method-assign]
    assert store.late
    return answer


class TestIdentifierOfAnotherQueue:
    """A submission was refused for good by one read, and a late call stored it."""

    def test_no_earlier_call_stores_the_job_after_the_refusal(self) -> None:
        async def scenario(managers: Managers) -> None:
            await submit_with_lost_row(managers)
            # The queue moves to a service where another queue has the identifier.
            other = replace(QUEUE, key="host/other/", service="pool-b")
            answer = await managers.submit(1, queue=other)
            assert answer.code == ResultCode.OK
            moved = replace(QUEUE, service="pool-b")
            answer = await managers.submit(1, queue=moved)
            assert answer.code == ResultCode.JOB_ID_TAKEN
            managers.carry_out_all()
            assert not await managers.would_run()

        play(scenario)

    def test_a_job_that_is_stored_after_all_is_not_refused(self) -> None:
        async def scenario(managers: Managers) -> None:
            await submit_with_lost_row(managers)
            other = replace(QUEUE, key="host/other/", service="pool-b")
            await managers.submit(1, queue=other)
            managers.carry_out_all()
            answer = await managers.submit(1, queue=replace(QUEUE, service="pool-b"))
            assert answer.code == ResultCode.OK
            assert await managers.would_run()

        play(scenario)


class TestOrganisations:
    """A cancellation by one organisation must not block the jobs of another one."""

    def test_a_tombstone_of_another_organisation_blocks_nobody(self) -> None:
        async def scenario(managers: Managers) -> None:
            assert (await managers.cancel(0, "b")).code == ResultCode.NO_JOB
            assert (await managers.submit(1, "a")).code == ResultCode.OK
            assert (await managers.cancel(0, "b")).code == ResultCode.NO_JOB
            assert await managers.would_run()
            answer = await managers.submit(1, "b")
            assert answer.code == ResultCode.JOB_ID_TAKEN

        play(scenario)

    def test_its_own_tombstone_blocks_it(self) -> None:
        async def scenario(managers: Managers) -> None:
            assert (await managers.cancel(0, "a")).code == ResultCode.NO_JOB
            answer = await managers.submit(1, "a")
            assert answer.code == ResultCode.CANCELLED_BEFORE_STORED
            assert not await managers.would_run()

        play(scenario)


class TestBatches:
    """One transaction would create both a job and the tombstone that excludes it."""

    def test_rows_that_exclude_each_other_are_not_stored_together(self) -> None:
        async def main() -> list[Acceptance]:
            outcomes: dict[str, Acceptance] = {}
            store = MemoryStore(StoreState())
            acceptor = JobAcceptor(store)
            row = job_row(QUEUE.key, JOB)
            tombstone = tombstone_row(QUEUE.key, JOB, "")

            async def create(own: RowId, other: RowId) -> None:
                outcome, _ = await acceptor.create(
                    tasks, own, b"x", TIMEOUT_S, excluded_by=other
                )
                outcomes[own.key] = outcome

            async with anyio.create_task_group() as tasks:
                # The first two take the transactions that may run at a time.
                for number in range(2):
                    other = RowId(row.table, row.part, f"{number}")
                    tasks.start_soon(create, other, RowId(row.table, row.part, "none"))
                tasks.start_soon(create, row, tombstone)
                tasks.start_soon(create, tombstone, row)
            return [outcomes[row.key], outcomes[tombstone.key]]

        with virtual_time() as loop:
            outcomes = loop.run_until_complete(main())
        assert outcomes == [Acceptance.STORED, Acceptance.EXCLUDED]

    def test_a_full_batch_keeps_the_limit_of_a_transaction(self) -> None:
        """Each row counts with its preconditions; too many are refused for good."""
        sizes: list[int] = []

        def count(_number: int, body: Any) -> Any:
            sizes.append(len(body["ExpectedRev"]) + len(body["Writes"]))
            return None if sizes[-1] <= 100 else Answer(400, {})

        async def main() -> None:
            store = MemoryStore(StoreState())
            store.fail = count
            acceptor = JobAcceptor(store)
            part = job_row(QUEUE.key, JOB).part

            async def create(number: int) -> None:
                outcome, _ = await acceptor.create(
                    tasks,
                    RowId("jobs", part, f"{number}"),
                    b"x",
                    TIMEOUT_S,
                    excluded_by=RowId("jobs", part, f"{number}.cancel"),
                )
                assert outcome == Acceptance.STORED

            async with anyio.create_task_group() as tasks:
                for number in range(150):
                    tasks.start_soon(create, number)

        with virtual_time() as loop:
            loop.run_until_complete(main())
        assert 90 <= max(sizes) <= 100


@dataclass
class Call:
    """A call of the generated runs."""

    kind: str
    manager: int
    number: int = 0


@dataclass
class Promises:
    """What callers were told, in the order of the answers."""

    accepted: bool = False
    cancel_sent: bool = False
    cancelled: bool = False
    refused: list[bool] = field(default_factory=list)


CALLS = st.builds(
    Call,
    st.sampled_from(["submit", "cancel", "lose", "late", "both", "overlap"]),
    st.integers(0, 1),
    st.integers(0, 5),
)


class TestLateWritesInAnyOrder:
    """An answer that rests on one read is no proof against writes under way."""

    @settings(max_examples=300, deadline=None)
    @given(st.lists(CALLS, min_size=2, max_size=12))
    def test_what_was_answered_stays_true(self, calls: list[Call]) -> None:
        async def scenario(managers: Managers) -> None:
            told = Promises()
            for call in calls:
                await self.make(managers, call, told)
                if told.cancelled:
                    assert not await managers.would_run()
            managers.carry_out_all()
            runs = await managers.would_run()
            if told.cancelled:
                assert not runs
            if told.accepted and not told.cancel_sent:
                assert runs
            if told.refused and all(told.refused):
                assert not runs

        play(scenario)

    async def make(self, managers: Managers, call: Call, told: Promises) -> None:
        store = managers.stores[call.manager]
        if call.kind == "lose":
            store.losses += call.number
        elif call.kind == "late":
            store.carry_out_late(call.number)
        elif call.kind == "submit":
            await self.submit(managers, call.manager, told)
        elif call.kind == "cancel":
            await self.cancel(managers, call.manager, told)
        else:
            pause_s = 0.1 * call.number if call.kind == "overlap" else 0.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.submit, managers, call.manager, told)
                await asyncio.sleep(pause_s)
                tasks.start_soon(self.cancel, managers, 1 - call.manager, told)

    async def submit(self, managers: Managers, manager: int, told: Promises) -> None:
        code = (await managers.submit(manager)).code
        told.accepted |= code == ResultCode.OK
        refusals = (ResultCode.STORE_AWAY, ResultCode.CANCELLED_BEFORE_STORED)
        told.refused.append(code in refusals)

    async def cancel(self, managers: Managers, manager: int, told: Promises) -> None:
        told.cancel_sent = True
        told.cancelled |= (await managers.cancel(manager)).code in DONE


class TestEarlierReleases:
    """Managers of the release before store a job beside its tombstone."""

    async def store_as_before(self, managers: Managers, organisation: str) -> None:
        spec = decode_submission(JOB, QUEUE, BODY, 0, organisation)
        row = job_row(QUEUE.key, JOB)
        async with anyio.create_task_group() as tasks:
            acceptor = JobAcceptor(managers.stores[0])
            await acceptor.create(tasks, row, encode_spec(spec), TIMEOUT_S)

    @pytest.mark.parametrize("organisation", ["", "a"])
    @pytest.mark.parametrize("learns_by", ["load", "scan", "both rows in one scan"])
    def test_the_owner_does_not_run_it(self, organisation: str, learns_by: str) -> None:
        async def scenario(managers: Managers) -> None:
            directory, state = managers.directories[1], CellState(CELL)
            owner: Any = SimpleNamespace(
                state=state,
                wake=lambda: None,
                cancel=state.cancel,
                cancellations=SimpleNamespace(record_scan=lambda _: None),
            )
            if learns_by != "load":
                directory.owned_cells[CELL] = owner
            answer = await managers.cancel(1, organisation)
            assert answer.code == ResultCode.NO_JOB
            if learns_by == "scan":
                await directory.scan()
            await self.store_as_before(managers, organisation)
            if learns_by == "load":
                state = await managers.load()
            else:
                await directory.scan()
            assert state.jobs[JOB].state == JobState.CANCELLED

        play(scenario)

    def test_a_tombstone_of_another_organisation_cancels_nothing(self) -> None:
        async def scenario(managers: Managers) -> None:
            assert (await managers.cancel(1, "b")).code == ResultCode.NO_JOB
            await self.store_as_before(managers, "a")
            assert await managers.would_run()

        play(scenario)
