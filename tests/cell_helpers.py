"""A store and workers in memory, without network, for tests of cells."""

from __future__ import annotations

import asyncio
import base64
from collections import Counter
from typing import Any

import orjson

from chivetray.cells.caps import CapRegister
from chivetray.cells.owner import CellOwner
from chivetray.cells.state import CellState
from chivetray.cells.tables import Ownership, owner_row
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobSpec, Step
from chivetray.platform.calls import Answer, NoAnswer, NotSent, Outcome
from chivetray.platform.standins.store import StoreState
from chivetray.platform.standins.worker import WorkerModel
from chivetray.platform.store import Changes, Committed, Page, Row, RowId, Store
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    Reply,
    WorkerAddress,
    WorkerClient,
    decode_reply,
)

CELL = "pool-a"


class MemoryStore(Store):
    """A store without network.

    :ivar fail: called for each transaction; what it returns takes the answer's
        place, and ``None`` lets the answer through
    """

    def __init__(self, state: StoreState):
        super().__init__(None, "store")  # type: ignore[arg-type]
        self.state = state
        self.fail = lambda number, body: None
        self.number = 0

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        await asyncio.sleep(0)
        assert path == "/chivetray/rows-tx", "tests read the state itself"
        self.number += 1
        outcome = self.fail(self.number, body)
        if outcome is not None:
            return outcome
        return self.carry_out(body)

    def carry_out(self, body: Any) -> Answer:
        """Carry out a transaction and return its answer."""
        refused = self.state.apply(orjson.loads(orjson.dumps(body)))
        clock = {"Ver": self.state.version, "NowMs": store_clock_ms()}
        if refused is None:
            return Answer(200, clock)
        rows = [n for n in refused if n in self.state.rows]
        return Answer(412, {"rows": [self.state.encode_row(n) for n in rows], **clock})

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 0
    ) -> tuple[list[Row], int]:
        """Read rows from the state itself."""
        now_s = boot_time_s()
        self.clock.observe(store_clock_ms(), now_s, now_s)
        rows = [
            Row(RowId(*name), base64.b64decode(row.value), row.version)
            for name, row in sorted(self.state.rows.items())
            if name[:2] == (table, part) and start <= name[2] and not row.removed
        ]
        return [r for r in rows if not end or r.id.key < end], self.state.version

    async def read_page(
        self, table: str, part: str, start: str = "", end: str = "", limit: Any = None
    ) -> Page:
        """Read all rows as one page."""
        return Page(*await self.read(table, part, start, end), "")

    async def parts(self, table: str) -> list[str]:
        """Return the parts of a table."""
        rows = self.state.rows.items()
        return sorted({n[1] for n, r in rows if n[0] == table and not r.removed})

    async def changes(self, table: str, version: int, _wait_s: float) -> Changes:
        """Return all rows of a table that have changed since a version."""
        rows = [
            Row(RowId(*name), base64.b64decode(row.value), row.version)
            for name, row in sorted(self.state.rows.items())
            if name[0] == table and row.version > version and not row.removed
        ]
        return Changes(rows, self.state.version)


def store_clock_ms() -> int:
    """Return the clock of the store, which is not the local one."""
    return int(boot_time_s() * 1000) + 5_000_000


class MemoryWorkers(WorkerClient):
    """Workers without network.

    :ivar silent: workers that do not answer
    :ivar lose_stops: number of further stops that are lost without an answer
    :ivar late: starts to leave unanswered, and orders to carry out later
    """

    def __init__(self, models: dict[str, WorkerModel]):
        super().__init__(None)  # type: ignore[arg-type]
        self.models = models
        self.silent: set[str] = set()
        self.replaced: set[str] = set()
        self.lose_starts = 0
        self.lose_stops = 0
        self.unreachable: set[str] = set()
        self.unreachable_after_loss = False
        self.late: list[tuple[str, dict[str, Any]]] = []
        self.calls: list[tuple[str, str, dict[str, Any]]] = []

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        await asyncio.sleep(0.001)
        self.calls.append((worker.worker_id, call, body))
        model = self.models[worker.worker_id]
        if worker.worker_id in self.replaced:
            return decode_reply(Answer(421, {}))
        if worker.worker_id in self.silent:
            await asyncio.sleep(0.02)
            return decode_reply(NoAnswer("silent"))
        if call == "run-start" and worker.worker_id in self.unreachable:
            return decode_reply(NotSent("refused"))
        if call == "run-start" and self.lose_starts > 0:
            self.lose_starts -= 1
            self.late.append((worker.worker_id, body))
            if self.unreachable_after_loss:
                self.unreachable.add(worker.worker_id)
            return decode_reply(NoAnswer("late"))
        if call == "run-stop" and self.lose_stops > 0:
            self.lose_stops -= 1
            return decode_reply(NoAnswer("lost"))
        fields = {"run-start": model.start, "run-stop": model.stop}.get(call)
        answer = fields(body) if fields else model.hold(body)
        if not answer and call == "hold":
            wait_s = min(0.05, body.get("WaitMs", 0) / 1000)
            if not model.ends:
                await asyncio.sleep(wait_s)
            answer = model.list_attempts()
        plain = {"ClockMs": model.clock_ms(), **answer}
        if call == "hold":
            # Answers to other calls do not tell the incarnation.
            plain["born"] = model.incarnation_ms
        return decode_reply(Answer(409 if "Reason" in answer else 200, plain))

    def carry_out_late(self) -> None:
        """Carry out the starts that were left unanswered."""
        for worker_id, body in self.late:
            self.models[worker_id].start(body)
        self.late.clear()


class World:
    """One cell with its store and workers."""

    def __init__(self, workers: int = 2, work_s: float = 0.03, cpu_milli: int = 4000):
        self.state = StoreState()
        self.models = {
            f"w{n}": WorkerModel(f"w{n}", CELL, cpu_milli, work_s)
            for n in range(workers)
        }
        self.store = MemoryStore(self.state)
        self.workers = MemoryWorkers(self.models)
        self.epoch = 0
        self.unlisted: set[str] = set()

    def entries(self) -> list[WorkerRecord]:
        """Return the list of workers."""
        return [
            WorkerRecord(
                model.worker_id,
                CELL,
                "10.0.0.1:80",
                "z1",
                False,
                model.incarnation_ms,
                model.cpu_milli,
                65536,
                0,
                ("a", f"r{number % 2}"),
            )
            for number, model in enumerate(self.models.values())
        ]

    async def own(
        self,
        before: CellOwner | None = None,
        earlier_lease_s: float = 0.0,
        caps: CapRegister | None = None,
    ) -> CellOwner:
        """Take the cell over with the progress that is stored."""
        self.epoch += 1
        ownership = Ownership(self.epoch, f"m{self.epoch}", f"i{self.epoch}")
        guard = owner_row(CELL)
        row = self.state.rows.get((guard.table, guard.part, guard.key))
        outcome = await Store.transact(
            MemoryStore(self.state),
            {guard: row.version if row else 0},
            {guard: ownership.encode()},
        )
        assert isinstance(outcome, Committed)
        state = CellState(CELL)
        owner = CellOwner(
            state,
            ownership,
            outcome.version,
            self.store,
            self.workers,
            lambda _: None,
            caps=caps,
        )
        listed = [e for e in self.entries() if e.worker_id not in self.unlisted]
        state.update_workers(listed, boot_time_s())
        if before is not None:
            for job in before.state.jobs.values():
                self._restore(state, job.spec)
        taken_at_s = boot_time_s()
        ends_s = await owner.lease_ends.load(self.store, outcome.version)
        left_s = {worker: end_s - taken_at_s for worker, end_s in ends_s.items()}
        state.attach_restored_tasks(taken_at_s, earlier_lease_s, left_s)
        return owner

    def _restore(self, state: CellState, spec: JobSpec) -> None:
        row = self.state.rows.get(("progress", CELL, spec.job_id))
        if row is None:
            state.add_job(spec, boot_time_s())
        else:
            content = base64.b64decode(row.value)
            state.restore_job(spec, content, row.version, boot_time_s())

    async def work(self) -> None:
        """Let the workers work until cancelled."""
        while True:
            await asyncio.sleep(0.005)
            for model in self.models.values():
                model.tick(0.005)

    def starts(self) -> Counter[str]:
        """Return how often each task began anywhere."""
        return Counter(t for m in self.models.values() for t, _ in m.starts)


def job(
    job_id: str = "00000000000000aa", steps: tuple[Step, ...] = (), **fields: Any
) -> JobSpec:
    """Return a job."""
    steps = steps or (Step(count=3, cpu_milli=1000),)
    fields = {"max_attempts": 2, "target_ms": 600, **fields}
    return JobSpec(job_id, "host/queue/", CELL, "", steps, **fields)


async def until(condition, limit_s: float = 5.0) -> None:
    """Wait until a condition holds."""
    deadline_s = boot_time_s() + limit_s
    while not condition():
        assert boot_time_s() < deadline_s, "the condition did not come to hold"
        await asyncio.sleep(0.005)
