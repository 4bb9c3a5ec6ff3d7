"""Reads the states of jobs for callers, from the owner of a cell or from the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_answers import (
    STORE_RETRY_AFTER_S,
    JobAnswer,
    answer_hidden,
)
from chivetray.cells.store_access import StoreAccess
from chivetray.cells.tables import cancel_row, job_row, progress_row
from chivetray.clocks import boot_time_s
from chivetray.jobs.job import Job, decode_spec
from chivetray.jobs.model import JobName, JobSpec, JobState
from chivetray.organisations.keys import is_hidden
from chivetray.peers.mesh import CALL_TIMEOUT_S, Mesh
from chivetray.platform.store import StoreUnavailableError
from chivetray.platform.stored_records import Queue
from chivetray.results import ResultCode

# Share of a caller's time in which the owner is asked, before the store is read.
QUERY_TIME_SHARE = 0.5

STATE_CALL = "state"

# Answer of an owner to a question about a job of another organisation.
HIDDEN_STATE = -1


class HiddenJobError(Exception):
    """A job belongs to another organisation than the caller."""


class JobStates:
    """States of jobs, as callers of this process may see them.

    :param on_unfinished: called with each job whose stored state is not final
    """

    def __init__(
        self,
        mesh: Mesh,
        store: StoreAccess,
        directory: CellDirectory,
        on_unfinished: Callable[[JobSpec], None],
    ):
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._on_unfinished = on_unfinished
        mesh.handlers[STATE_CALL] = self._handle_state_request

    async def read_state(
        self, queue: Queue, job_id: str, timeout_s: float, organisation: str = ""
    ) -> JobAnswer:
        """Return the state of a job; only the store can tell that it does not exist.

        :param organisation: organisation of the caller, empty for none
        """
        try:
            return await self._read_visible_state(
                queue, job_id, timeout_s, organisation
            )
        except HiddenJobError:
            return answer_hidden(job_id, organisation, "state")

    async def _read_visible_state(
        self, queue: Queue, job_id: str, timeout_s: float, organisation: str
    ) -> JobAnswer:
        deadline_s = boot_time_s() + timeout_s
        query_timeout_s = min(CALL_TIMEOUT_S, timeout_s * QUERY_TIME_SHARE)
        state = await self._query_owner(queue, job_id, query_timeout_s, organisation)
        if state is None:
            try:
                with anyio.fail_after(max(0.0, deadline_s - boot_time_s())):
                    state = await self._read_stored_state(queue, job_id, organisation)
            except (StoreUnavailableError, TimeoutError, ValueError) as error:
                # A damaged row tells no more than an absent answer.
                message = str(error) or "the store does not answer"
                return JobAnswer(
                    ResultCode.STATE_UNREADABLE, message, STORE_RETRY_AFTER_S
                )
        if state is None:
            return JobAnswer(ResultCode.NO_JOB, "no such job")
        return JobAnswer(ResultCode.OK, state=state)

    async def _query_owner(
        self, queue: Queue, job_id: str, timeout_s: float, organisation: str
    ) -> JobState | None:
        owner = self._directory.serving_owner_of(queue.service)
        if owner is None:
            return None
        question = [job_id, organisation, queue.key]
        if owner == self._mesh.name:
            reply = await self._handle_state_request(owner, question)
        else:
            reply = await self._mesh.call(owner, STATE_CALL, question, timeout_s)
        if reply == HIDDEN_STATE:
            raise HiddenJobError
        return None if reply is None else JobState(reply)

    async def _handle_state_request(self, _peer: str, question: Any) -> Any:
        """Return the state of a job of an owned cell.

        :param question: list of the job's identifier, the organisation of the caller
            and the queue's key
        """
        if not isinstance(question, list):
            # Earlier releases name no queue. They read the store if nothing is known.
            return None
        job_id, organisation, queue_key = question
        for cell_owner in self._directory.owned_cells.values():
            job = cell_owner.state.find_job(JobName.of(queue_key, job_id))
            if job is None:
                continue
            if is_hidden(job.spec.organisation, organisation):
                return HIDDEN_STATE
            return int(job.visible_state)
        return None

    async def _read_stored_state(
        self, queue: Queue, job_id: str, organisation: str
    ) -> JobState | None:
        row = job_row(queue.key, job_id)
        end = cancel_row(queue.key, job_id).key + "\0"
        rows, _ = await self._store.read(row.table, row.part, job_id, end)
        by_key = {found.id.key: found for found in rows}
        if job_id not in by_key:
            return None
        spec = decode_spec(by_key[job_id].value)
        if is_hidden(spec.organisation, organisation):
            raise HiddenJobError
        job = Job(spec)
        # Only the main row tells the state.
        progress = await self._store.read_row(progress_row(spec.cell, job_id))
        if progress is not None:
            job.restore(progress.value)
        if cancel_row(queue.key, job_id).key in by_key and not job.state.ended:
            return JobState.CANCELLED
        if not job.state.ended:
            self._on_unfinished(spec)
        return job.state
