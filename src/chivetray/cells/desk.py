"""What callers ask of jobs, answered at any manager."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.acceptance import Acceptance, JobAcceptor
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import cancel_row, job_row, progress_row
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.jobs.job import Job, decode_spec, encode_spec
from chivetray.jobs.model import JobSpec, JobState
from chivetray.peers.mesh import Mesh
from chivetray.platform.entries import Queue
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Conflict,
    RowId,
    StoreUnavailableError,
)
from chivetray.platform.submissions import SubmissionError, decode_submission
from chivetray.results import ResultCode

# Pause between tries of one store call for a caller.
RETRY_PAUSE_S = 0.05

# Time after which a caller may ask again when the store is away; outages of the
# store last some seconds.
STORE_RETRY_AFTER_S = 2.0

# Pause between tries to tell the owner of a cell.
NOTIFY_PAUSE_S = 0.15

SUBMIT_CALL = "submitted"
CANCEL_CALL = "cancelled"
STATE_CALL = "state"

# Accepted jobs of which the owner has not been told yet.
NOTICES_LIMIT = 5000


@dataclass(frozen=True, slots=True)
class DeskAnswer:
    """Answer to a caller."""

    code: ResultCode
    message: str = ""
    retry_after_s: float = 0.0
    state: JobState | None = None
    pending: int | None = None


class Desk:
    """Accepts, shows and cancels jobs for callers of this process."""

    def __init__(
        self,
        mesh: Mesh,
        store: StoreAccess,
        directory: CellDirectory,
        configuration: Configuration,
    ):
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._configuration = configuration
        self._notices: dict[str, JobSpec] = {}
        self._cancels: dict[str, str] = {}
        self._notify_now = anyio.Event()
        self._acceptor = JobAcceptor(store)
        self._tasks: TaskGroup | None = None
        mesh.handlers[SUBMIT_CALL] = self._take_submitted
        mesh.handlers[CANCEL_CALL] = self._take_cancelled
        mesh.handlers[STATE_CALL] = self._tell_state

    # Submissions

    async def submit(
        self, queue: Queue, job_id: str, body: bytes, timeout_s: float
    ) -> DeskAnswer:
        """Store a job, unless it is stored already."""
        try:
            spec = decode_submission(job_id, queue, body, wall_time_ms())
        except SubmissionError as error:
            log_event(Event.JOB_REFUSED, job=job_id, reason=error.message)
            return DeskAnswer(error.code, error.message)
        row = job_row(queue.key, job_id)
        answer = await self._create(row, encode_spec(spec), timeout_s)
        if answer.code == ResultCode.OK:
            if not answer.message:
                log_event(Event.JOB_ACCEPTED, job=job_id, cell=spec.cell)
                self._notices[job_id] = spec
                self._notify_now.set()
            # A job that was stored before may belong to another cell than its queue
            # leads to now; the owner knows it or finds its row.
        else:
            log_event(
                Event.JOB_REFUSED,
                job=job_id,
                code=answer.code.number,
                reason=answer.message,
            )
        return answer

    async def _create(self, row: RowId, value: bytes, timeout_s: float) -> DeskAnswer:
        """Create the row of a job if it is absent."""
        if self._tasks is None:
            message = "the process has just started"
            return DeskAnswer(ResultCode.NOT_READY, message, 1.0)
        acceptance, reason = await self._acceptor.create(
            self._tasks, row, value, timeout_s
        )
        if acceptance == Acceptance.STORED:
            return DeskAnswer(ResultCode.OK)
        if acceptance == Acceptance.STORED_BEFORE:
            return DeskAnswer(ResultCode.OK, "the job was stored before")
        if acceptance == Acceptance.REFUSED:
            return DeskAnswer(ResultCode.STORE_AWAY, reason, STORE_RETRY_AFTER_S)
        return DeskAnswer(ResultCode.ACCEPTANCE_UNKNOWN, reason)

    # State

    async def read_state(
        self, queue: Queue, job_id: str, timeout_s: float
    ) -> DeskAnswer:
        """Return the state of a job; only the store can say that there is none."""
        state = await self._ask_owner(queue.service, job_id)
        if state is None:
            try:
                with anyio.fail_after(timeout_s):
                    state = await self._read_stored_state(queue, job_id)
            except (StoreUnavailableError, TimeoutError) as error:
                message = str(error) or "the store does not answer"
                return DeskAnswer(
                    ResultCode.STATE_UNREADABLE, message, STORE_RETRY_AFTER_S
                )
        if state is None:
            return DeskAnswer(ResultCode.NO_JOB, "no such job")
        return DeskAnswer(ResultCode.OK, state=state)

    async def _ask_owner(self, cell: str, job_id: str) -> JobState | None:
        owner = self._directory.owner_of(cell)
        if owner is None:
            return None
        if owner == self._mesh.name:
            return self._own_state(job_id)
        reply = await self._mesh.call(owner, STATE_CALL, job_id)
        return None if reply is None else JobState(reply)

    def _own_state(self, job_id: str) -> JobState | None:
        for own in self._directory.owned.values():
            job = own.state.jobs.get(job_id)
            if job is not None:
                return job.shown_state
        return None

    async def _tell_state(self, _peer: str, job_id: Any) -> Any:
        state = self._own_state(str(job_id))
        return None if state is None else int(state)

    async def _read_stored_state(self, queue: Queue, job_id: str) -> JobState | None:
        row = job_row(queue.key, job_id)
        end = cancel_row(queue.key, job_id).key + "\0"
        rows, _ = await self._store.read(row.table, row.part, job_id, end)
        by_key = {found.id.key: found for found in rows}
        if job_id not in by_key:
            return None
        spec = decode_spec(by_key[job_id].value)
        job = Job(spec)
        progress = await self._store.read_row(progress_row(spec.cell, job_id))
        if progress is not None:
            job.restore(progress.value)
        if cancel_row(queue.key, job_id).key in by_key and not job.state.ended:
            return JobState.CANCELLED
        if not job.state.ended:
            self._notices.setdefault(job_id, spec)
            self._notify_now.set()
        return job.state

    # Cancellations

    async def cancel(self, queue: Queue, job_id: str, timeout_s: float) -> DeskAnswer:
        """Store that a job is cancelled."""
        row = job_row(queue.key, job_id)
        deadline_s = boot_time_s() + timeout_s
        while True:
            reason = ""
            try:
                found = await self._store.read_row(row)
                if found is None:
                    return DeskAnswer(ResultCode.NO_JOB, "no such job")
                mark = cancel_row(queue.key, job_id)
                outcome = await self._store.transact({mark: ABSENT}, {mark: b"1"})
                if isinstance(outcome, Committed | Conflict):
                    log_event(Event.JOB_CANCELLED, job=job_id)
                    self._cancels[job_id] = decode_spec(found.value).cell
                    self._notify_now.set()
                    return DeskAnswer(ResultCode.OK)
                reason = outcome.reason
            except StoreUnavailableError as error:
                reason = str(error)
            if boot_time_s() + RETRY_PAUSE_S >= deadline_s:
                return DeskAnswer(
                    ResultCode.STATE_UNREADABLE, reason, STORE_RETRY_AFTER_S
                )
            await anyio.sleep(RETRY_PAUSE_S)

    # Pending jobs

    def count_pending(self, queue: Queue) -> DeskAnswer:
        """Return how many jobs of a queue have not begun."""
        count = 0
        owned = False
        for own in self._directory.owned.values():
            count += own.state.pending().get(queue.key, 0)
            owned = owned or own.state.name == queue.service
        for peer in self._mesh.peers.values():
            for claim in peer.claims():
                count += claim.pending.get(queue.key, 0)
                owned = owned or claim.cell == queue.service
        if not owned:
            message = "the queue's cell has no owner at the moment"
            return DeskAnswer(ResultCode.STATE_UNREADABLE, message, 1.0)
        told = (spec.queue == queue.key for spec in self._notices.values())
        return DeskAnswer(ResultCode.OK, pending=count + sum(told))

    # Notices to owners

    async def run(self) -> None:
        """Store jobs, and tell owners of jobs and cancellations, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._notify_now = anyio.Event()
                await self._notify_all()
                if self._notices or self._cancels:
                    await anyio.sleep(NOTIFY_PAUSE_S)
                    continue
                await self._notify_now.wait()

    async def _notify_all(self) -> None:
        by_owner: dict[str, list[JobSpec]] = {}
        for spec in list(self._notices.values())[:NOTICES_LIMIT]:
            owner = self._directory.owner_of(spec.cell)
            if owner is not None:
                by_owner.setdefault(owner, []).append(spec)
        cancels: dict[str, list[str]] = {}
        for job_id, cell in list(self._cancels.items()):
            owner = self._directory.owner_of(cell)
            if owner is not None:
                cancels.setdefault(owner, []).append(job_id)
        async with anyio.create_task_group() as tasks:
            for owner, specs in by_owner.items():
                tasks.start_soon(self._notify_jobs, owner, specs)
            for owner, job_ids in cancels.items():
                tasks.start_soon(self._notify_cancels, owner, job_ids)

    async def _notify_jobs(self, owner: str, specs: list[JobSpec]) -> None:
        content = [encode_spec(spec) for spec in specs]
        if owner == self._mesh.name:
            known = await self._take_submitted(owner, content)
        else:
            known = await self._mesh.call(owner, SUBMIT_CALL, content)
        for job_id in known or []:
            self._notices.pop(job_id, None)

    async def _notify_cancels(self, owner: str, job_ids: list[str]) -> None:
        if owner == self._mesh.name:
            known = await self._take_cancelled(owner, job_ids)
        else:
            known = await self._mesh.call(owner, CANCEL_CALL, job_ids)
        for job_id in known or []:
            self._cancels.pop(job_id, None)

    async def _take_submitted(self, _peer: str, content: Any) -> Any:
        """Take jobs of cells that this process owns; return their names."""
        known = []
        for raw in content:
            spec = decode_spec(raw)
            own = self._directory.owned.get(spec.cell)
            if own is not None and not own.leaving:
                own.add_job(spec)
                known.append(spec.job_id)
        return known

    async def _take_cancelled(self, _peer: str, job_ids: Any) -> Any:
        """Cancel jobs of cells that this process owns; return those known."""
        known = []
        for job_id in job_ids:
            for own in list(self._directory.owned.values()):
                if not own.leaving and own.cancel(job_id):
                    known.append(job_id)
                    break
        return known
