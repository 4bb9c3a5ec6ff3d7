"""Answers to callers from rows that are damaged and while a cell changes its owner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from cell_helpers import CELL, job
from virtual_loop import virtual_time

from chivetray.cells.job_service import JobService
from chivetray.cells.state import CellState
from chivetray.cells.tables import job_row
from chivetray.clocks import boot_time_s
from chivetray.generated.messages import CellClaim
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
    directory = SimpleNamespace(
        owned_cells={cell.state.name: cell for cell in owned}, owner_of=lambda _: None
    )
    return JobService(mesh, store, directory, None)  # type: ignore[arg-type]


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
        assert service._cancellations_to_notify == {JOB: CELL}

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
            service._directory.owner_of = lambda _: "m2"  # type: ignore[method-assign]
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
        claims = [CellClaim(CELL, 4, {QUEUE: 2}, []), CellClaim("b", 1, {QUEUE: 1}, [])]
        service = make_service(owned=[owner], claims=claims)
        assert service.count_pending(make_queue()).pending == 4
