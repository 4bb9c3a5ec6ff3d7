"""Answers to callers from rows that are damaged and while a cell changes its owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from cell_helpers import CELL, World, job, until
from virtual_loop import virtual_time

from chivetray.cells import job_service
from chivetray.cells.cancel_notices import decode_notice, encode_notice
from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_service import SUBMIT_CALL, JobService
from chivetray.cells.state import MAX_EARLY_CANCELLATIONS, CellState
from chivetray.cells.tables import job_row
from chivetray.clocks import boot_time_s
from chivetray.generated.messages import CellClaim
from chivetray.jobs.job import decode_spec, encode_spec
from chivetray.jobs.model import JobName, JobSpec, JobState
from chivetray.peers.mesh import CALL_TIMEOUT_S
from chivetray.platform.store import Committed, Row, RowId
from chivetray.platform.stored_records import Queue
from chivetray.results import ResultCode

JOB = "00000000000000aa"
QUEUE = "host/queue/"


class DamagedStore:
    """A store in which the row of a job cannot be decoded."""

    def __init__(self) -> None:
        self.written: list[RowId] = []

    async def read_row(self, row: RowId) -> Row:
        return Row(row, b"\xc1", 3)

    async def read(self, *_: object) -> tuple[list[Row], int]:
        return [Row(job_row(QUEUE, JOB), b"\xc1", 3)], 3

    async def transact(self, _: object, writes: dict[RowId, bytes]) -> Committed:
        self.written += writes
        return Committed(4)


def make_service(store: Any = None, owned: Any = (), claims: Any = ()) -> JobService:
    peers = {
        f"p{number}": SimpleNamespace(claims=lambda claim=claim: [claim])
        for number, claim in enumerate(claims)
    }
    mesh = SimpleNamespace(name="m1", handlers={}, peers=peers)
    directory = CellDirectory(mesh, store, None, list, list, 1000)  # type: ignore
    directory.owned_cells = {cell.state.name: cell for cell in owned}
    service = JobService(mesh, store, directory, None)  # type: ignore[arg-type]
    service.pending_counts.note_claims(claims)
    return service


def make_queue() -> Queue:
    queue = Queue.__new__(Queue)
    object.__setattr__(queue, "key", QUEUE)
    object.__setattr__(queue, "service", CELL)
    return queue


class TestDamagedRow:
    def test_its_job_can_be_cancelled(self) -> None:
        """The caller once got an error though the cancellation was stored."""
        store = DamagedStore()
        service = make_service(store)
        answer = asyncio.run(service.cancel(make_queue(), JOB, 1.0))
        assert answer.code == ResultCode.OK
        assert [row.key for row in store.written] == [f"{JOB}.cancel"]
        assert service._cancellations_to_notify == {JobName(QUEUE, JOB): CELL}

    def test_its_state_is_unreadable_and_not_absent(self) -> None:
        service = make_service(DamagedStore())
        answer = asyncio.run(service.read_state(make_queue(), JOB, 1.0))
        assert answer.code == ResultCode.STATE_UNREADABLE


class TestOwnerAndStoreThatDoNotAnswer:
    def test_the_answer_comes_within_the_time_of_the_caller(self) -> None:
        """The time in which the owner was asked was once added to the caller's."""

        class HangingStore(DamagedStore):
            async def read(self, *_: object) -> tuple[list[Row], int]:
                await asyncio.sleep(60)
                return [], 3

        async def hang(
            _owner: str, _kind: str, _job_id: str, timeout_s: float = CALL_TIMEOUT_S
        ) -> None:
            await asyncio.sleep(timeout_s)

        async def scenario(timeout_s: float) -> None:
            service = make_service(HangingStore())
            service._directory.serving_owner_of = lambda _: "m2"  # type: ignore[method-assign]
            service._mesh.call = hang  # type: ignore[method-assign,assignment]
            began_s = boot_time_s()
            answer = await service.read_state(make_queue(), JOB, timeout_s)
            assert answer.code == ResultCode.STATE_UNREADABLE
            assert boot_time_s() - began_s <= timeout_s + 0.01

        for timeout_s in (0.5, 1.0, 2.85):
            with virtual_time() as loop:
                loop.run_until_complete(scenario(timeout_s))


class TestPendingWhileTheOwnerChanges:
    def test_jobs_that_two_processes_claim_count_once(self) -> None:
        state = CellState(CELL)
        for number in range(3):
            state.add_job(job(f"{number:016x}"), 0.0)
        owner = SimpleNamespace(state=state, epoch=5)
        claims = [
            CellClaim(CELL, 4, {QUEUE: 2}, True),
            CellClaim("b", 1, {QUEUE: 1}, True),
        ]
        service = make_service(owned=[owner], claims=claims)
        assert service.count_pending(make_queue()).pending == 4


class NotifiedOwners:
    """Owners of cells, some of which do not answer.

    :ivar hanging: processes whose answers never come
    :ivar owners: owner of each cell
    :ivar calls: process, kind and content of each notification
    """

    name = "m1"

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.hanging: set[str] = set()
        self.unknown: set[str] = set()
        self.owners: dict[str, str] = {}
        self.calls: list[tuple[str, str, list[Any]]] = []
        self.owned_cells: dict[str, Any] = {}

    async def call(self, name: str, kind: str, argument: list[Any]) -> Any:
        self.calls.append((name, kind, argument))
        if name in self.hanging:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return None
        if kind == SUBMIT_CALL:
            return [decode_spec(content).job_id for content in argument]
        names, _ = decode_notice(argument)
        return [name.job_id for name in names if name.job_id not in self.unknown]

    def serving_owner_of(self, cell: str) -> str | None:
        return self.owners.get(cell)

    def told(self, name: str) -> list[str]:
        """Return the cancellations of which a process was notified, in their order."""
        return [
            told.job_id
            for process, _, notice in self.calls
            if process == name
            for told in decode_notice(notice)[0]
        ]


def notify(
    scenario: Callable[[JobService, NotifiedOwners], Awaitable[None]],
) -> None:
    async def main() -> None:
        owners = NotifiedOwners()
        service = JobService(owners, None, owners, None)  # type: ignore[arg-type]
        running = asyncio.ensure_future(service.run())
        await asyncio.sleep(0.01)
        await scenario(service, owners)
        assert not running.done()
        running.cancel()

    with virtual_time() as loop:
        loop.run_until_complete(main())


def cancel_in(service: JobService, job_id: str, cell: str) -> None:
    service._cancellations_to_notify[JobName(QUEUE, job_id)] = cell
    service._notify_event.set()


class TestCancellationBeforeItsJob:
    """The owner forgot it, and placed the job before it was told again."""

    @staticmethod
    async def tell(service: JobService, spec: JobSpec) -> list[str]:
        told = await service._handle_cancelled("m2", encode_notice([spec.name]))
        assert isinstance(told, list)
        return told

    def test_none_of_its_tasks_is_placed(self) -> None:
        async def scenario() -> None:
            world = World()
            owner = await world.own()
            service = make_service(owned=[owner])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                assert await self.tell(service, job()) == []
                await service._handle_submitted("m3", [encode_spec(job())])
                await service._handle_submitted("m3", [encode_spec(job("bb" * 8))])
                other = owner.state.jobs["bb" * 8]
                await until(lambda: other.state == JobState.COMPLETED)
                assert owner.state.jobs[job().job_id].state == JobState.CANCELLED
                assert not owner.state.jobs[job().job_id].tasks
                assert await self.tell(service, job()) == [job().job_id]
                tasks.cancel_scope.cancel()
            assert sum(world.starts().values()) == 3

        asyncio.run(scenario())

    def test_the_owner_remembers_a_limited_number(self) -> None:
        state = CellState(CELL)
        for number in range(MAX_EARLY_CANCELLATIONS + 1):
            state.remember_cancellation(job(f"{number:016x}").name)
        assert state.add_job(job(f"{0:016x}"), 0.0).state == JobState.QUEUED
        assert state.add_job(job(f"{1:016x}"), 0.0).state == JobState.CANCELLED


class TestNotifications:
    """An owner that learns late of a cancellation starts tasks of the job."""

    def test_an_owner_that_hangs_does_not_hold_up_the_others(self) -> None:
        """Each round waited for all owners, up to the time-out of a call."""

        async def scenario(service: JobService, owners: NotifiedOwners) -> None:
            owners.owners = {"a": "m2", "b": "m3"}
            owners.hanging = {"m2"}
            cancel_in(service, "1", "a")
            await asyncio.sleep(0.05)
            cancel_in(service, "2", "b")
            await asyncio.sleep(0.05)
            assert owners.told("m3") == ["2"]
            await asyncio.sleep(1.5)
            assert owners.told("m2") == ["1", "1"]
            assert owners.told("m3") == ["2"]

        notify(scenario)

    def test_many_jobs_without_an_owner_do_not_hold_up_the_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The limit of jobs in a call was used up before they were sorted by owner."""
        monkeypatch.setattr(job_service, "NOTIFY_BATCH_JOBS", 3)

        async def scenario(service: JobService, owners: NotifiedOwners) -> None:
            owners.owners = {CELL: "m2"}
            for number in range(5):
                spec = replace(job(str(number)), cell="without")
                service._jobs_to_notify[spec.name] = spec
            service._jobs_to_notify[job("9").name] = job("9")
            service._notify_event.set()
            await asyncio.sleep(0.05)
            assert job("9").name not in service._jobs_to_notify

        notify(scenario)

    def test_what_is_not_acknowledged_is_repeated_after_a_pause(self) -> None:
        async def scenario(service: JobService, owners: NotifiedOwners) -> None:
            owners.owners = {"a": "m2"}
            owners.unknown = {"1"}
            cancel_in(service, "1", "a")
            await asyncio.sleep(1.0)
            assert 5 <= len(owners.calls) <= 8
            owners.unknown.clear()
            await asyncio.sleep(1.0)
            calls = len(owners.calls)
            await asyncio.sleep(10.0)
            assert len(owners.calls) == calls

        notify(scenario)

    def test_a_cancellation_is_repeated_if_the_cell_had_another_owner(self) -> None:
        """A process acknowledged it that had lost the cell and did not know it."""

        async def scenario(service: JobService, owners: NotifiedOwners) -> None:
            owners.owners = {"a": "m2"}
            cancel_in(service, "1", "a")
            await asyncio.sleep(0.5)
            assert owners.told("m2") == ["1"]
            owners.owners = {}
            await asyncio.sleep(1.0)
            owners.owners = {"a": "m3"}
            await asyncio.sleep(0.5)
            assert owners.told("m3") == ["1"]
            await asyncio.sleep(10.0)
            assert owners.told("m2") + owners.told("m3") == ["1", "1"]

        notify(scenario)

    def test_jobs_that_arrive_one_after_another_are_notified_soon(self) -> None:
        """A pause after each call would delay urgent jobs."""

        async def scenario(service: JobService, owners: NotifiedOwners) -> None:
            owners.owners = {CELL: "m2"}
            for number in range(5):
                spec = job(str(number))
                service._jobs_to_notify[spec.name] = spec
                service._notify_event.set()
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.01)
            assert not service._jobs_to_notify
            assert len(owners.calls) <= 5

        notify(scenario)
