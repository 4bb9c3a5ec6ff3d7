"""Serves the job requests of callers, at any manager."""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivetray.cells.acceptance import Acceptance, JobAcceptor, Reservation
from chivetray.cells.cancel_notices import choose_names, decode_notice, encode_notice
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_answers import (
    CAP_REFUSAL,
    LATE_REFUSAL,
    STORE_RETRY_AFTER_S,
    UNREADABLE_ROW,
    JobAnswer,
    answer_cancelled_before,
    answer_hidden,
    answer_repeated,
    answer_taken,
    judge_stored,
    organisation_field,
)
from chivetray.cells.job_states import JobStates
from chivetray.cells.late_jobs import LateJobGate
from chivetray.cells.peer_formats import PeerFormats
from chivetray.cells.pending_counts import CountUnknownError, PendingCounts
from chivetray.cells.state import DEFAULT_ROW_BYTES
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import (
    CANCELLED,
    TOMBSTONE,
    cancel_row,
    end_of_rows,
    identifier_row,
    job_row,
    tombstone_row,
)
from chivetray.cells.waiting import WAIT_CHECK_INTERVAL_S, NoticeLog
from chivetray.clocks import boot_time_s, wall_time_ms
from chivetray.events import Event, log_event
from chivetray.jobs.job import decode_spec, encode_spec
from chivetray.jobs.model import JobName, JobSpec
from chivetray.organisations.task_size import find_oversized
from chivetray.peers.mesh import Mesh
from chivetray.platform.store import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    RowId,
    StoreUnavailableError,
)
from chivetray.platform.stored_records import Queue
from chivetray.platform.submissions import SubmissionError, decode_submission
from chivetray.results import ResultCode

# Pause between tries of a store call on behalf of a caller.
RETRY_PAUSE_S = 0.05

# Pause between notifications of an owner while some are not acknowledged.
NOTIFY_PAUSE_S = 0.15

# Time for which further notifications are gathered while some are under way.
GATHER_S = 0.01

# Time after an acknowledged cancellation within which this process learns that another
# one owned the cell already. Claims come with the first heartbeat of a new stream.
OWNER_CHANGE_S = 3.0

# Delay after which a caller may ask again for a count that no owner tells.
COUNT_RETRY_AFTER_S = 1.0

SUBMIT_CALL = "submitted"
CANCEL_CALL = "cancelled"

# Most jobs of which an owner is notified in one call, and most bytes of them.
NOTIFY_BATCH_JOBS = 5000
NOTIFY_BATCH_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class _Acknowledgement:
    """A cancellation that the owner of a cell has acknowledged."""

    cell: str
    owner: str
    received_at_s: float


class JobService:
    """Accepts and cancels jobs and reports their state for callers of this process.

    :ivar row_limit_bytes: largest row that the store accepts
    :ivar pending_counts: number of jobs that wait, as the owners of cells tell it
    :ivar late_jobs: refuses jobs that would end too late, ``None`` if none is refused
    """

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
        self.row_limit_bytes = DEFAULT_ROW_BYTES
        self._jobs_to_notify: dict[JobName, JobSpec] = {}
        self._cancellations_to_notify: dict[JobName, str] = {}
        self._acknowledged: dict[JobName, _Acknowledgement] = {}
        self._notifying: set[tuple[str, str]] = set()
        self._notify_event = anyio.Event()
        self.acceptor = JobAcceptor(store)
        self._formats = PeerFormats(mesh)
        self.pending_counts = PendingCounts(
            lambda: directory.claims(), lambda: directory.job_cells()
        )
        self._task_group: TaskGroup | None = None
        self.late_jobs: LateJobGate | None = None
        mesh.handlers[SUBMIT_CALL] = self._handle_submitted
        mesh.handlers[CANCEL_CALL] = self._handle_cancelled
        self._states = JobStates(mesh, store, directory, self._notify_unfinished)

    # Submissions

    async def submit(
        self,
        queue: Queue,
        job_id: str,
        body: bytes,
        timeout_s: float,
        organisation: str = "",
    ) -> JobAnswer:
        """Store a job, unless it is already stored.

        :param organisation: organisation of the caller, empty for none
        """
        try:
            spec = decode_submission(job_id, queue, body, wall_time_ms(), organisation)
        except SubmissionError as error:
            log_event(Event.JOB_REFUSED, job=job_id, reason=error.message)
            return JobAnswer(error.code, error.message)
        if spec.split_progress and not await self._formats.read_split_progress():
            # Fewer of its tasks run at a time, see ``CellState.count_storable``.
            spec = replace(spec, split_progress=False)
        row = job_row(queue.key, job_id)
        size_bytes = len(encode_spec(spec))
        if size_bytes > self.row_limit_bytes:
            # No store call can succeed, and none that holds it beside other jobs.
            message = (
                f"the submission takes {size_bytes} bytes in the store, more than "
                f"{self.row_limit_bytes}"
            )
            log_event(Event.JOB_REFUSED, job=job_id, reason=message)
            return JobAnswer(ResultCode.BAD_SUBMISSION, message)
        answer = await self._refuse_oversized(spec, row, timeout_s)
        answer = answer or await self._refuse_late(spec, row)
        if answer is None:
            answer = await self._create(row, spec, timeout_s)
        if answer.code == ResultCode.OK:
            if not answer.message:
                log_event(
                    Event.JOB_ACCEPTED,
                    job=job_id,
                    cell=spec.cell,
                    queue=spec.queue,
                    **organisation_field(organisation),
                )
                self._notify_unfinished(spec)
            # A job that was stored before may belong to another cell than the one its
            # queue maps to now. Its owner already knows it or finds its row in a scan.
        else:
            log_event(
                Event.JOB_REFUSED,
                job=job_id,
                code=answer.code.number,
                reason=answer.message,
                **organisation_field(organisation),
            )
        return answer

    async def _refuse_oversized(
        self, spec: JobSpec, row: RowId, timeout_s: float
    ) -> JobAnswer | None:
        """Refuse a job that can never run within the cap of its organisation.

        One that was stored before, under a higher cap, may run and is not refused.
        """
        config = self._configuration.current if spec.organisation else None
        organisation = config and config.organisations.get(spec.organisation)
        reason = find_oversized(spec, organisation.cap) if organisation else ""
        if not reason:
            return None
        refusal = JobAnswer(ResultCode.TASK_ABOVE_CAP, reason, refusal=CAP_REFUSAL)
        return await self._refuse_unless_stored(spec, row, timeout_s, refusal)

    async def _refuse_unless_stored(
        self, spec: JobSpec, row: RowId, timeout_s: float, refusal: JobAnswer
    ) -> JobAnswer:
        """Return a refusal, or the answer to a repetition if the job is stored."""
        try:
            with anyio.fail_after(timeout_s):
                found = await self._store.read_row(row)
        except (StoreUnavailableError, TimeoutError) as error:
            message = refusal.message
            message += f"; whether it was stored before is unknown: {error}"
            return JobAnswer(ResultCode.ACCEPTANCE_UNKNOWN, message)
        if found is not None:
            return answer_repeated(judge_stored(found.value, spec.organisation))
        return refusal

    async def _refuse_late(self, spec: JobSpec, row: RowId) -> JobAnswer | None:
        """Refuse a job that would end too late to be of use, unless it is stored."""
        refusal = await self.late_jobs.check(spec, row) if self.late_jobs else None
        if refusal is None:
            return None
        return JobAnswer(ResultCode.TOO_LATE, *refusal, refusal=LATE_REFUSAL)

    async def _create(self, row: RowId, spec: JobSpec, timeout_s: float) -> JobAnswer:
        """Create the row of a job if it does not exist."""
        if self._task_group is None:
            message = "the process has just started"
            return JobAnswer(ResultCode.NOT_READY, message, 1.0)
        deadline_s = boot_time_s() + timeout_s
        acceptance, reason = await self.acceptor.create(
            self._task_group,
            row,
            encode_spec(spec),
            timeout_s,
            lambda value: judge_stored(value, spec.organisation),
            Reservation(
                identifier_row(spec.cell, spec.job_id), spec.name.queue.encode()
            ),
            tombstone_row(spec.queue, spec.job_id, spec.organisation),
        )
        if acceptance == Acceptance.IDENTIFIER_TAKEN:
            left_s = max(0.0, deadline_s - boot_time_s())
            return await self._refuse_unless_stored(spec, row, left_s, answer_taken())
        if acceptance == Acceptance.STORED:
            return JobAnswer(ResultCode.OK)
        if acceptance == Acceptance.REFUSED:
            return JobAnswer(ResultCode.STORE_AWAY, reason, STORE_RETRY_AFTER_S)
        if acceptance == Acceptance.EXCLUDED:
            return answer_cancelled_before()
        return answer_repeated(acceptance, reason)

    # State

    async def read_state(
        self, queue: Queue, job_id: str, timeout_s: float, organisation: str = ""
    ) -> JobAnswer:
        """Return the state of a job; only the store can tell that it does not exist.

        :param organisation: organisation of the caller, empty for none
        """
        return await self._states.read_state(queue, job_id, timeout_s, organisation)

    def _notify_unfinished(self, spec: JobSpec) -> None:
        self._jobs_to_notify.setdefault(spec.name, spec)
        self._notify_event.set()

    # Cancellations

    async def cancel(
        self, queue: Queue, job_id: str, timeout_s: float, organisation: str = ""
    ) -> JobAnswer:
        """Store the cancellation of a job, also of one that is not stored.

        :param organisation: organisation of the caller, empty for none
        """
        row = job_row(queue.key, job_id)
        deadline_s = boot_time_s() + timeout_s
        while True:
            try:
                rows, _ = await self._store.read(
                    row.table, row.part, job_id, end_of_rows(job_id)
                )
                found = {stored.id: stored for stored in rows}
                if row in found:
                    result = await self._store_cancellation(
                        found[row], queue, organisation
                    )
                elif tombstone_row(queue.key, job_id, organisation) in found:
                    result = JobAnswer(ResultCode.NO_JOB, "no such job")
                else:
                    result = await self._store_tombstone(
                        row, queue, organisation, deadline_s
                    )
            except StoreUnavailableError as error:
                result = str(error)
            if isinstance(result, JobAnswer):
                return result
            if boot_time_s() + RETRY_PAUSE_S >= deadline_s:
                return JobAnswer(
                    ResultCode.STATE_UNREADABLE, result, STORE_RETRY_AFTER_S
                )
            await anyio.sleep(RETRY_PAUSE_S)

    async def _store_cancellation(
        self, found: Row, queue: Queue, organisation: str
    ) -> JobAnswer | str:
        """Cancel a stored job; return the answer, or why to try again."""
        job_id = found.id.key
        stored = judge_stored(found.value, organisation)
        if stored == Acceptance.STORED_BY_ANOTHER:
            return answer_hidden(job_id, organisation, "cancellation")
        if stored == Acceptance.UNKNOWN:
            return JobAnswer(ResultCode.STATE_UNREADABLE, UNREADABLE_ROW)
        marker_row = cancel_row(queue.key, job_id)
        outcome = await self._store.transact(
            {marker_row: ABSENT}, {marker_row: CANCELLED}
        )
        if not isinstance(outcome, Committed | Conflict):
            return outcome.reason
        log_event(Event.JOB_CANCELLED, job=job_id, queue=queue.key)
        name = JobName.of(queue.key, job_id)
        self._cancellations_to_notify[name] = _cell_of(found, queue)
        self._notify_event.set()
        return JobAnswer(ResultCode.OK)

    async def _store_tombstone(
        self, row: RowId, queue: Queue, organisation: str, deadline_s: float
    ) -> JobAnswer | str:
        """Prevent a job from being stored by a call that is still under way.

        :param row: row of the job, which was not found
        :return: the answer, or why to try again
        """
        if self._task_group is None:
            message = "the process has just started"
            return JobAnswer(ResultCode.STATE_UNREADABLE, message, 1.0)
        acceptance, reason = await self.acceptor.create(
            self._task_group,
            tombstone_row(queue.key, row.key, organisation),
            TOMBSTONE,
            max(0.0, deadline_s - boot_time_s()),
            _judge_mark,
            excluded_by=row,
        )
        if acceptance == Acceptance.EXCLUDED:
            return "the job has just been stored"
        if acceptance in (Acceptance.STORED, Acceptance.STORED_BEFORE):
            log_event(Event.JOB_TOMBSTONE_STORED, job=row.key, queue=queue.key)
            return JobAnswer(ResultCode.NO_JOB, "no such job")
        return JobAnswer(ResultCode.STATE_UNREADABLE, reason, STORE_RETRY_AFTER_S)

    # Pending jobs

    def count_pending(self, queue: Queue) -> JobAnswer:
        """Count the jobs of a queue of which no task has started."""
        try:
            stored = self.pending_counts.count(queue)
        except CountUnknownError as error:
            log_event(Event.COUNT_UNKNOWN, queue=queue.key, reason=str(error))
            return JobAnswer(
                ResultCode.STATE_UNREADABLE, str(error), COUNT_RETRY_AFTER_S
            )
        not_notified = (
            spec.queue == queue.key for spec in self._jobs_to_notify.values()
        )
        return JobAnswer(ResultCode.OK, pending=stored + sum(not_notified))

    # Notifications of owners

    def cells_to_notify(self) -> set[str]:
        """Return the cells whose owner has to be notified of a job."""
        return {spec.cell for spec in self._jobs_to_notify.values()}

    async def run(self) -> None:
        """Store jobs, and notify owners of jobs and cancellations, until cancelled."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self._notifying.clear()
            task_group.start_soon(self._log_waits)
            while True:
                self._notify_event = anyio.Event()
                self._repeat_acknowledged()
                self._notify_owners(task_group)
                if self._notifying:
                    await anyio.sleep(GATHER_S)
                is_idle = not (
                    self._jobs_to_notify
                    or self._cancellations_to_notify
                    or self._acknowledged
                )
                with anyio.move_on_after(math.inf if is_idle else NOTIFY_PAUSE_S):
                    await self._notify_event.wait()

    async def _log_waits(self) -> None:
        """Log which notices wait for an owner."""
        log = NoticeLog(self._directory.serving_owner_of)
        while True:
            await anyio.sleep(WAIT_CHECK_INTERVAL_S)
            log.check(
                self._jobs_to_notify, self._cancellations_to_notify, boot_time_s()
            )

    def _notify_owners(self, task_group: TaskGroup) -> None:
        """Begin to notify each owner to which no notification of a kind is under way.

        An owner that does not answer holds up only its own notifications.
        """
        owner_of = functools.cache(self._directory.serving_owner_of)
        jobs_by_owner: dict[str, list[JobSpec]] = {}
        for spec in self._jobs_to_notify.values():
            owner = owner_of(spec.cell)
            if owner is not None and (SUBMIT_CALL, owner) not in self._notifying:
                jobs_by_owner.setdefault(owner, []).append(spec)
        cancellations_by_owner: dict[str, list[JobName]] = {}
        for name, cell in self._cancellations_to_notify.items():
            owner = owner_of(cell)
            if owner is not None and (CANCEL_CALL, owner) not in self._notifying:
                cancellations_by_owner.setdefault(owner, []).append(name)
        for owner, specs in jobs_by_owner.items():
            self._notifying.add((SUBMIT_CALL, owner))
            task_group.start_soon(self._notify_jobs, owner, _choose_batch(specs))
        for owner, names in cancellations_by_owner.items():
            self._notifying.add((CANCEL_CALL, owner))
            task_group.start_soon(
                self._notify_cancellations, owner, choose_names(names)
            )

    async def _notify_jobs(self, owner: str, specs: list[JobSpec]) -> None:
        content = [encode_spec(spec) for spec in specs]
        if owner == self._mesh.name:
            acknowledged = await self._handle_submitted(owner, content)
        else:
            acknowledged = await self._mesh.call(owner, SUBMIT_CALL, content)
        known_ids = set(acknowledged or ())
        for spec in specs:
            if spec.job_id in known_ids:
                self._jobs_to_notify.pop(spec.name, None)
        is_complete = not any(s.name in self._jobs_to_notify for s in specs)
        await self._end_notification(SUBMIT_CALL, owner, is_complete)

    async def _notify_cancellations(self, owner: str, names: list[JobName]) -> None:
        notice = encode_notice(names)
        if owner == self._mesh.name:
            acknowledged = await self._handle_cancelled(owner, notice)
        else:
            acknowledged = await self._mesh.call(owner, CANCEL_CALL, notice)
        now_s, known_ids = boot_time_s(), set(acknowledged or ())
        for name in names:
            if name.job_id not in known_ids:
                continue
            cell = self._cancellations_to_notify.pop(name, None)
            if cell is not None:
                self._acknowledged[name] = _Acknowledgement(cell, owner, now_s)
        is_complete = not self._cancellations_to_notify.keys() & names
        await self._end_notification(CANCEL_CALL, owner, is_complete)

    async def _end_notification(self, kind: str, owner: str, is_complete: bool) -> None:
        """Allow the next notification, at once if all of this one is acknowledged."""
        if not is_complete:
            await anyio.sleep(NOTIFY_PAUSE_S)
        self._notifying.discard((kind, owner))
        self._notify_event.set()

    def _repeat_acknowledged(self) -> None:
        """Repeat cancellations whose cell has another owner than acknowledged them.

        The next owner may have loaded the cell before the cancellation was stored.
        """
        now_s = boot_time_s()
        for name, acknowledgement in list(self._acknowledged.items()):
            owner = self._directory.serving_owner_of(acknowledgement.cell)
            if owner is not None and owner != acknowledgement.owner:
                self._cancellations_to_notify[name] = acknowledgement.cell
            elif now_s - acknowledgement.received_at_s < OWNER_CHANGE_S:
                continue
            del self._acknowledged[name]

    async def _handle_submitted(self, _peer: str, content: Any) -> Any:
        """Add jobs to the cells that this process owns; return their ids."""
        acknowledged = []
        for encoded in content:
            spec = decode_spec(encoded)
            cell_owner = self._directory.owned_cells.get(spec.cell)
            if cell_owner is not None and not cell_owner.leaving:
                cell_owner.add_job(spec)
                acknowledged.append(spec.job_id)
        return acknowledged

    async def _handle_cancelled(self, _peer: str, notice: Any) -> Any:
        """Cancel jobs of the cells that this process owns; return the known ids."""
        acknowledged = []
        owners = list(self._directory.owned_cells.values())
        names, bare_ids = decode_notice(notice)
        for name in names:
            for cell_owner in owners:
                if not cell_owner.leaving and cell_owner.cancel(name):
                    acknowledged.append(name.job_id)
                    break
            else:
                for cell_owner in owners:
                    cell_owner.state.remember_cancellation(name)
        return acknowledged + self._find_cancelled(bare_ids)

    def _find_cancelled(self, bare_ids: list[str]) -> list[str]:
        """Return which identifiers are those of jobs that are known as cancelled.

        Earlier releases do not name the queue of a cancelled job, which only the store
        tells: it is scanned, and they repeat their notice meanwhile.
        """
        found = [
            job_id
            for job_id in bare_ids
            if any(
                job_id in cell_owner.state.jobs
                and cell_owner.state.jobs[job_id].cancelled
                for cell_owner in self._directory.owned_cells.values()
            )
        ]
        if len(found) < len(bare_ids) and self._task_group is not None:
            self._task_group.start_soon(self._scan)
        return found

    async def _scan(self) -> None:
        try:
            await self._directory.scan()
        except StoreUnavailableError as error:
            log_event(Event.STORE_LOST, reason=str(error), during="scan")


def _choose_batch(specs: list[JobSpec]) -> list[JobSpec]:
    """Return the jobs of which an owner is notified in one call.

    Owners of earlier releases cannot decode jobs whose progress has several rows, and
    reject a call that holds one. The answer lists identifiers, so that no two jobs of
    one call may have the same.
    """
    of_one_kind = [spec for spec in specs if not spec.split_progress] or specs
    batch: dict[str, JobSpec] = {}
    size_bytes = 0
    for spec in of_one_kind[:NOTIFY_BATCH_JOBS]:
        if spec.job_id in batch:
            continue
        size_bytes += len(encode_spec(spec))
        if batch and size_bytes > NOTIFY_BATCH_BYTES:
            break
        batch[spec.job_id] = spec
    return list(batch.values())


def _judge_mark(value: bytes) -> Acceptance:
    """Return the outcome for a tombstone whose row exists with a content.

    The mark of a job that was stored has the same row, so the job exists.
    """
    return Acceptance.STORED_BEFORE if value == TOMBSTONE else Acceptance.EXCLUDED


def _cell_of(row: Row, queue: Queue) -> str:
    """Return the cell of a stored job; that of its queue if the row is damaged."""
    try:
        return decode_spec(row.value).cell
    except ValueError as error:
        log_event(Event.ROW_DAMAGED, key=row.id.key, reason=str(error))
        return queue.service
