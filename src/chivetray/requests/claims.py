"""Claims of non-idempotent requests: at most one run for each key.

The row of a claim is created before the only dispatch. The outcome is stored
afterwards, so that a repeat at any entry gets the same answer. A claim without
an outcome is never run again.
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
from chivetray.requests.models import Answer, CallerRequest
from chivetray.results import ResultCode

KEY_LIMIT_CHARACTERS = 255

# Time after a claim's time limit during which its outcome may still be stored.
OUTCOME_GRACE_S = 5.0

# Time for which storing an outcome is tried.
OUTCOME_TRY_S = 60.0

# A claim whose write was given up may still arrive; it is looked for this often
# after the table service answers again.
LEFT_CLAIM_LOOKS = 3
LEFT_CLAIM_PAUSE_S = 1.0

STATE_CLAIMED = "claimed"
STATE_DONE = "done"
STATE_UNKNOWN = "unknown"
STATE_RELEASED = "released"


class ClaimConflictError(ChivetrayError):
    """The key was claimed before.

    :param answer: stored answer of the earlier request, if it is known
    :param retry_after_s: time after which a repeat may learn more, in seconds
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        answer: Answer | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(code, message)
        self.answer = answer
        self.retry_after_s = retry_after_s


@dataclass(slots=True)
class Claim:
    """A claim that this entry holds.

    :ivar version: version of the row after the claim was written
    """

    key: str
    mark: str
    request_digest: str
    deadline_at_s: float
    version: int


def claim_key(request: CallerRequest) -> str:
    """Return the row key of a request's claim."""
    key = (request.idempotency_key or "").encode()
    digest = hashlib.sha256(key).hexdigest()
    return f"{request.service.name}/{request.team}/{digest}"


def digest_request(request: CallerRequest) -> str:
    """Return a digest that differs for different requests under one key."""
    digest = hashlib.sha256()
    for part in (request.method, request.target, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class ClaimStore:
    """Claims in the platform's table service."""

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
        self._left: deque[tuple[PendingWrite, Claim]] = deque()
        self._left_arrived = anyio.Event()

    async def claim(self, request: CallerRequest) -> Claim:
        """Claim the key of a request.

        :raises ClaimConflictError: when the key was claimed before
        :raises RefusalError: when the claim could not be recorded
        """
        now_s = anyio.current_time()
        wait_s = self._writer.queue_wait_s()
        if now_s + wait_s >= request.deadline_s:
            message = "too many claims wait to be written"
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
        raise _unavailable()

    def _make_claim(self, request: CallerRequest, now_s: float) -> Claim:
        return Claim(
            key=claim_key(request),
            mark=uuid.uuid4().hex,
            request_digest=digest_request(request),
            deadline_at_s=time.time() + request.deadline_s - now_s,
            version=ABSENT,
        )

    async def _write_claim(
        self, claim: Claim, expected_version: int, deadline_s: float
    ) -> WriteState:
        """Write the row of a claim.

        :raises RefusalError: when its outcome is not known in time
        """
        value = self._row_value(claim, STATE_CLAIMED)
        write = RowWrite(CLAIM_TABLE, claim.key, expected_version, value)
        pending = self._writer.enqueue(write, deadline_s)
        with anyio.CancelScope(deadline=deadline_s):
            await pending.done.wait()
        if pending.state is WriteState.WRITTEN:
            claim.version = pending.version
        elif pending.state is not WriteState.CONFLICT:
            self._release_late(pending, claim)
            raise _unavailable()
        return pending.state

    def _release_late(self, pending: PendingWrite, claim: Claim) -> None:
        """Undo a claim later that may be written although the request was refused."""
        if not pending.tried:
            return
        log_event(Event.CLAIM_LEFT, key=claim.key, entry=self._entry)
        self._left.append((pending, claim))
        self._left_arrived.set()

    async def run(self) -> None:
        """Release the claims of refused requests until cancelled."""
        while True:
            await self._left_arrived.wait()
            while self._left:
                pending, claim = self._left.popleft()
                await pending.done.wait()
                await self._release_left(pending, claim)
            self._left_arrived = anyio.Event()

    async def _release_left(self, pending: PendingWrite, claim: Claim) -> None:
        """Look for a claim that was written after all, and release it."""
        if pending.state is WriteState.CONFLICT:
            return
        answers = 0
        while answers < LEFT_CLAIM_LOOKS:
            result = await self._client.read_row(CLAIM_TABLE, claim.key)
            if isinstance(result, Success):
                answers += 1
                row = result.unwrap()
                if row is not None:
                    if row.value.get(MARK_FIELD) == pending.mark:
                        claim.version = row.version
                        self.release(claim)
                        log_event(Event.CLAIM_RELEASED, key=claim.key)
                    return
            await anyio.sleep(LEFT_CLAIM_PAUSE_S)

    async def _read_claim(self, key: str) -> Row:
        result = await self._client.read_row(CLAIM_TABLE, key)
        if isinstance(result, Failure):
            raise _unavailable()
        row = result.unwrap()
        if row is None:
            raise _unavailable()
        return row

    def _released_version(self, row: Row, claim: Claim) -> int:
        """Return the version of a released claim, which may be claimed again.

        :raises ClaimConflictError: when the claim is not released
        """
        value = row.value
        if value["request_digest"] != claim.request_digest:
            message = "the idempotency key belongs to a different request"
            raise ClaimConflictError(ResultCode.KEY_MISMATCH, message)
        if value["state"] == STATE_RELEASED:
            return row.version
        if value["state"] == STATE_DONE:
            raise _done(value)
        left_s = value["deadline_at_s"] + OUTCOME_GRACE_S - time.time()
        if value["state"] == STATE_CLAIMED and left_s > 0:
            message = "a request with this idempotency key is still running"
            raise ClaimConflictError(
                ResultCode.STILL_RUNNING, message, retry_after_s=max(1.0, left_s)
            )
        message = "a request with this idempotency key was started; its outcome is lost"
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

    def store_answer(self, claim: Claim, answer: Answer) -> PendingWrite:
        """Store the answer of a claimed request; the caller need not wait."""
        value = self._row_value(claim, STATE_DONE)
        value["kept"] = len(answer.body) <= self._settings.outcome_limit_bytes
        if answer.rest is not None:
            value["kept"] = False
        if value["kept"]:
            value["status"] = answer.status
            value["headers"] = [
                [name.decode("latin-1"), content.decode("latin-1")]
                for name, content in answer.headers
            ]
            value["body"] = base64.b64encode(answer.body).decode()
        return self._store(claim, value)

    def store_unknown(self, claim: Claim) -> PendingWrite:
        """Record that the outcome of a claimed request is unknown for ever."""
        return self._store(claim, self._row_value(claim, STATE_UNKNOWN))

    def release(self, claim: Claim) -> PendingWrite:
        """Record that a claimed request was not run, so that a repeat may run."""
        return self._store(claim, self._row_value(claim, STATE_RELEASED))

    def _store(self, claim: Claim, value: dict[str, Any]) -> PendingWrite:
        write = RowWrite(CLAIM_TABLE, claim.key, claim.version, value)
        pending = self._writer.enqueue(write, anyio.current_time() + OUTCOME_TRY_S)
        pending.on_give_up = partial(
            log_event, Event.OUTCOME_LOST, key=claim.key, state=value["state"]
        )
        return pending


def _done(value: dict[str, Any]) -> ClaimConflictError:
    if not value["kept"]:
        message = "the request ran before; its answer was too large to keep"
        return ClaimConflictError(ResultCode.OUTCOME_NOT_KEPT, message)
    headers = [
        (name.encode("latin-1"), content.encode("latin-1"))
        for name, content in value["headers"]
    ]
    body = base64.b64decode(value["body"])
    answer = Answer(value["status"], headers, body)
    return ClaimConflictError(ResultCode.OK, "the stored answer", answer)


def _unavailable() -> RefusalError:
    message = "the claim could not be recorded, so the request was not sent"
    return RefusalError(ResultCode.CLAIM_UNAVAILABLE, message, 1.0)
