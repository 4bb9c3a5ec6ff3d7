"""Claims of idempotency keys: a non-idempotent request runs at most once per key.

The row of a claim is created before the request is sent, which happens at most
once. The outcome is stored afterwards, so that a repeat at any entry gets the same
response. A request whose claim has no outcome is never run again.
"""

from __future__ import annotations

import base64
import hashlib
import time
import uuid
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import Any

import anyio
from returns.result import Failure, Success

from chivetray.events import Event, log_event
from chivetray.exceptions import ChivetrayError, RefusalError
from chivetray.generated.settings import ClaimSettings
from chivetray.platform.store import ABSENT
from chivetray.records.claim_rows import CLAIM_TABLE
from chivetray.records.client import RecordClient, Row, RowWrite
from chivetray.records.group_writer import (
    MARK_FIELD,
    GroupWriter,
    PendingWrite,
    WriteState,
)
from chivetray.requests.models import CallerRequest, EndpointResponse
from chivetray.results import ResultCode

KEY_LIMIT_CHARACTERS = 255

# Time after a claim's deadline during which its outcome may still be stored.
OUTCOME_GRACE_S = 5.0

# Time after which storing an outcome is given up.
OUTCOME_WRITE_TIMEOUT_S = 60.0

# A claim whose write was given up may still be written by a call under way. Its row
# is read this many times, successful reads only, before it counts as not written.
ORPHANED_CLAIM_READS = 3
ORPHANED_CLAIM_PAUSE_S = 1.0

STATE_CLAIMED = "claimed"
STATE_DONE = "done"
STATE_UNKNOWN = "unknown"
STATE_RELEASED = "released"


class ClaimConflictError(ChivetrayError):
    """The idempotency key was claimed by an earlier request.

    :param response: stored response of the earlier request, if there is one
    :param retry_after_s: time after which the outcome may be known, in seconds
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        response: EndpointResponse | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(code, message)
        self.response = response
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Claim:
    """A claim of an idempotency key by this entry.

    :ivar mark: unique value that identifies the writer of the row
    :ivar deadline_at_s: deadline of the request in wall clock time
    :ivar version: version of the row after the claim was written
    """

    key: str
    mark: str
    request_digest: str
    deadline_at_s: float
    version: int


def build_claim_key(request: CallerRequest) -> str:
    """Return the row key of a request's claim."""
    key = (request.idempotency_key or "").encode()
    digest = hashlib.sha256(key).hexdigest()
    return f"{request.service.name}/{request.team}/{digest}"


def digest_request(request: CallerRequest) -> str:
    """Return a digest of the request, to detect a key reused for another one."""
    digest = hashlib.sha256()
    for part in (request.method, request.target, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class ClaimStore:
    """Stores claims in the platform's table service."""

    def __init__(
        self,
        client: RecordClient,
        writer: GroupWriter,
        settings: ClaimSettings,
        entry: str,
    ):
        self._client = client
        self._writer = writer
        self._settings = settings
        self._entry = entry
        self._orphaned_claims: deque[tuple[PendingWrite, Claim]] = deque()
        self._orphaned_claim_added = anyio.Event()

    async def claim(self, request: CallerRequest) -> Claim:
        """Claim the idempotency key of a request.

        :raises ClaimConflictError: when an earlier request has claimed the key
        :raises RefusalError: when the claim could not be stored
        """
        now_s = anyio.current_time()
        wait_s = self._writer.queue_wait_s()
        if now_s + wait_s >= request.deadline_s:
            message = "too many claims are waiting to be written"
            raise RefusalError(ResultCode.CLAIM_LIMIT, message, max(1.0, wait_s))
        claim = self._make_claim(request, now_s)
        state = await self._write_claim(claim, ABSENT, request.deadline_s)
        if state is WriteState.WRITTEN:
            return claim
        row = await self._read_claim(claim.key)
        version = self._released_version(row, claim)
        state = await self._write_claim(claim, version, request.deadline_s)
        if state is WriteState.WRITTEN:
            return claim
        raise _claim_unavailable_error()

    def _make_claim(self, request: CallerRequest, now_s: float) -> Claim:
        return Claim(
            key=build_claim_key(request),
            mark=uuid.uuid4().hex,
            request_digest=digest_request(request),
            deadline_at_s=time.time() + request.deadline_s - now_s,
            version=ABSENT,
        )

    async def _write_claim(
        self, claim: Claim, expected_version: int, deadline_s: float
    ) -> WriteState:
        """Write the row of a claim and return whether it was written or in conflict.

        :raises RefusalError: when the result is unknown at the deadline
        """
        value = self._row_value(claim, STATE_CLAIMED)
        write = RowWrite(CLAIM_TABLE, claim.key, expected_version, value)
        pending = self._writer.enqueue(write, deadline_s)
        with anyio.CancelScope(deadline=deadline_s):
            await pending.done.wait()
        if pending.state is WriteState.WRITTEN:
            claim.version = pending.version
        elif pending.state is not WriteState.CONFLICT:
            self._schedule_release(pending, claim)
            raise _claim_unavailable_error()
        return pending.state

    def _schedule_release(self, pending: PendingWrite, claim: Claim) -> None:
        """Schedule the release of a claim that may be written after the refusal."""
        if not pending.was_sent:
            return
        log_event(Event.CLAIM_LEFT, key=claim.key, entry=self._entry)
        self._orphaned_claims.append((pending, claim))
        self._orphaned_claim_added.set()

    async def run(self) -> None:
        """Release orphaned claims of refused requests until cancelled."""
        while True:
            await self._orphaned_claim_added.wait()
            while self._orphaned_claims:
                pending, claim = self._orphaned_claims.popleft()
                await pending.done.wait()
                await self._release_orphaned(pending, claim)
            self._orphaned_claim_added = anyio.Event()

    async def _release_orphaned(self, pending: PendingWrite, claim: Claim) -> None:
        """Release a claim if it was written after the request was refused."""
        if pending.state is WriteState.CONFLICT:
            return
        reads = 0
        while reads < ORPHANED_CLAIM_READS:
            result = await self._client.read_row(CLAIM_TABLE, claim.key)
            if isinstance(result, Success):
                reads += 1
                row = result.unwrap()
                if row is not None:
                    if row.value.get(MARK_FIELD) == pending.mark:
                        claim.version = row.version
                        self.release(claim)
                        log_event(Event.CLAIM_RELEASED, key=claim.key)
                    return
            await anyio.sleep(ORPHANED_CLAIM_PAUSE_S)

    async def _read_claim(self, key: str) -> Row:
        result = await self._client.read_row(CLAIM_TABLE, key)
        if isinstance(result, Failure):
            raise _claim_unavailable_error()
        row = result.unwrap()
        if row is None:
            raise _claim_unavailable_error()
        return row

    def _released_version(self, row: Row, claim: Claim) -> int:
        """Return the row version of a released claim, whose key is free again.

        :raises ClaimConflictError: when the claim is not released
        """
        value = row.value
        if value["request_digest"] != claim.request_digest:
            message = "the idempotency key was used for a different request"
            raise ClaimConflictError(ResultCode.KEY_MISMATCH, message)
        if value["state"] == STATE_RELEASED:
            return row.version
        if value["state"] == STATE_DONE:
            raise _completed_claim_error(value)
        remaining_s = value["deadline_at_s"] + OUTCOME_GRACE_S - time.time()
        if value["state"] == STATE_CLAIMED and remaining_s > 0:
            message = "a request with this idempotency key is still running"
            raise ClaimConflictError(
                ResultCode.STILL_RUNNING, message, retry_after_s=max(1.0, remaining_s)
            )
        message = (
            "a request with this idempotency key was started; its outcome is unknown"
        )
        raise ClaimConflictError(ResultCode.CLAIM_ABANDONED, message)

    def _row_value(self, claim: Claim, state: str) -> dict[str, Any]:
        return {
            MARK_FIELD: f"{claim.mark}/{state}",
            "state": state,
            "entry": self._entry,
            "request_digest": claim.request_digest,
            "deadline_at_s": claim.deadline_at_s,
            "expires_at_s": time.time() + self._settings.retention_s,
        }

    def store_response(self, claim: Claim, response: EndpointResponse) -> PendingWrite:
        """Queue the response of a claimed request to be stored."""
        value = self._row_value(claim, STATE_DONE)
        value["kept"] = len(response.body) <= self._settings.outcome_limit_bytes
        if response.remaining_body is not None:
            value["kept"] = False
        if value["kept"]:
            value["status"] = response.status
            value["headers"] = [
                [name.decode("latin-1"), content.decode("latin-1")]
                for name, content in response.headers
            ]
            value["body"] = base64.b64encode(response.body).decode()
        return self._store_outcome(claim, value)

    def store_unknown(self, claim: Claim) -> PendingWrite:
        """Queue a record that the outcome of a claimed request stays unknown."""
        return self._store_outcome(claim, self._row_value(claim, STATE_UNKNOWN))

    def release(self, claim: Claim) -> PendingWrite:
        """Queue a record that a claimed request was not run and may be repeated."""
        return self._store_outcome(claim, self._row_value(claim, STATE_RELEASED))

    def _store_outcome(self, claim: Claim, value: dict[str, Any]) -> PendingWrite:
        write = RowWrite(CLAIM_TABLE, claim.key, claim.version, value)
        pending = self._writer.enqueue(
            write, anyio.current_time() + OUTCOME_WRITE_TIMEOUT_S
        )
        pending.on_give_up = partial(
            log_event, Event.OUTCOME_LOST, key=claim.key, state=value["state"]
        )
        return pending


def _completed_claim_error(value: dict[str, Any]) -> ClaimConflictError:
    if not value["kept"]:
        message = "the request ran before; its response was too large to store"
        return ClaimConflictError(ResultCode.OUTCOME_NOT_KEPT, message)
    headers = [
        (name.encode("latin-1"), content.encode("latin-1"))
        for name, content in value["headers"]
    ]
    body = base64.b64decode(value["body"])
    response = EndpointResponse(value["status"], headers, body)
    return ClaimConflictError(ResultCode.OK, "the stored response", response)


def _claim_unavailable_error() -> RefusalError:
    message = "the claim could not be stored, so the request was not sent"
    return RefusalError(ResultCode.CLAIM_UNAVAILABLE, message, 1.0)
