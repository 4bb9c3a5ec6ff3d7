"""Client for workers: orders that start, stop and pace tasks, and polls."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivetray.jobs.model import TaskKey
from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent, Outcome
from chivetray.platform.values import (
    read_list,
    read_number,
    read_text,
    read_whole_number,
)

# Identifier of a task: job, occurrence, step and index.
_TASK_NAME = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})", re.ASCII)

# Timeout of an order: more than 100 times the usual 4 ms.
ORDER_TIMEOUT_S = 0.6

# Added to the time for which the worker may hold a poll, to get its timeout.
POLL_SLACK_S = 0.7

# The address belongs to another instance than the one that the call expects.
STATUS_OTHER_INCARNATION = 421

# Most ends that a worker lists in one reply; the others follow once these are
# acknowledged.
ENDS_PER_REPLY = 500

# Calls whose latency is recorded, with the label in the metric. Polls are left out,
# since the worker holds them until an attempt ends.
ORDER_CALLS = {"run-start": "start order", "run-stop": "stop order"}


@dataclass(frozen=True, slots=True)
class TaskName:
    """Identifier of a task that is unique across all jobs."""

    job_id: str
    key: TaskKey

    def __str__(self) -> str:
        occurrence, step, index = self.key
        return f"{self.job_id}.{occurrence}.{step}.{index}"

    @classmethod
    def parse(cls, text: Any) -> TaskName | None:
        """Parse the identifier that a worker sent, or return ``None`` if malformed."""
        match = _TASK_NAME.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            return None
        return cls(match[1], (int(match[2]), int(match[3]), int(match[4])))


class AttemptEnd(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


_END_NAMES = frozenset(how.value for how in AttemptEnd)


class Verdict(Enum):
    """Outcome of a call to a worker."""

    OK = "ok"
    FENCED = "fence"
    OLD = "old"
    LATE = "late"
    NO_CAPACITY = "room"
    BAD_TICKET = "ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other life"
    NOT_SENT = "not sent"
    NO_ANSWER = "no answer"


_VERDICTS_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OLD,
    "late": Verdict.LATE,
    "room": Verdict.NO_CAPACITY,
    "ticket": Verdict.BAD_TICKET,
}


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that is running on a worker.

    :ivar percent: progress of the attempt
    :ivar level: tail latency in ms of a serving task, otherwise thousandths of a
        core in use
    """

    name: TaskName
    attempt: int
    checkpoint: str
    percent: int
    level: int


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An attempt that has ended.

    :ivar number: sequence number, which increases within an incarnation of the worker
    """

    number: int
    name: TaskName
    attempt: int
    how: AttemptEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Decoded outcome of a call to a worker.

    :ivar clock_ms: the worker's monotonic clock, or ``None`` without an answer
    :ivar incarnation: start of the worker in ms since 1970, which identifies its
        incarnation
    :ivar detail: cause of a failed call, for the log
    :ivar lists_all_ends: whether ``ended`` holds every end that is not acknowledged
    """

    verdict: Verdict
    clock_ms: int | None = None
    incarnation: int = 0
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)
    detail: str = ""
    lists_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """Address of a worker, and the identity expected there."""

    worker_id: str
    address: str


class WorkerClient:
    """Calls workers.

    :ivar poll_count: number of polls that were sent
    """

    def __init__(self, session: CallSession):
        self._session = session
        self.poll_count = 0
        self.on_latency: Callable[[str, float], None] = lambda _name, _latency_s: None

    async def poll(
        self,
        worker: WorkerAddress,
        fencing_token: int,
        observed: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Reply:
        """Poll a worker: extend its lease and list its running and ended attempts.

        :param observed: number up to which ended attempts are acknowledged
        :param deadline_ms: new end of the lease on the worker's clock, or ``None``
            to leave the lease as it is
        :param wait_ms: time for which the worker may hold the poll
        """
        self.poll_count += 1
        body: dict[str, Any] = {"FencingToken": fencing_token, "Observed": observed}
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        timeout_s = wait_ms / 1000 + POLL_SLACK_S
        return await self._call(worker, "hold", body, timeout_s)

    async def start(
        self,
        worker: WorkerAddress,
        fencing_token: int,
        name: TaskName,
        attempt: int,
        payload: str,
        deadline_ms: int,
        checkpoint: str,
        ticket: str = "",
    ) -> Reply:
        """Start an attempt; the order is idempotent."""
        body: dict[str, Any] = {
            "Task": str(name),
            "Attempt": attempt,
            "TaskSpec": payload,
            "DeadlineMs": deadline_ms,
            "FencingToken": fencing_token,
        }
        if checkpoint:
            body["Checkpoint"] = checkpoint
        if ticket:
            body["Ticket"] = ticket
        return await self._call(worker, "run-start", body, ORDER_TIMEOUT_S)

    async def stop(
        self, worker: WorkerAddress, fencing_token: int, name: TaskName, attempt: int
    ) -> Reply:
        """Stop an attempt, and prevent a delayed start order from starting it."""
        body = {"Task": str(name), "Attempt": attempt, "FencingToken": fencing_token}
        return await self._call(worker, "run-stop", body, ORDER_TIMEOUT_S)

    async def pace(
        self,
        worker: WorkerAddress,
        fencing_token: int,
        name: TaskName,
        attempt: int,
        percent: int,
    ) -> Reply:
        """Limit a task to a percentage of its speed."""
        body = {
            "Task": str(name),
            "Attempt": attempt,
            "Percent": percent,
            "FencingToken": fencing_token,
        }
        return await self._call(worker, "pace", body, ORDER_TIMEOUT_S)

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        url = f"http://{worker.address}/chivetray/{call}"
        headers = {"Chivetray-Expect-Instance": worker.worker_id}
        started_s = time.monotonic()
        outcome = await self._session.call("POST", url, timeout_s, body, headers)
        if call in ORDER_CALLS:
            self.on_latency(ORDER_CALLS[call], time.monotonic() - started_s)
        return decode_reply(outcome)


def decode_reply(outcome: Outcome) -> Reply:
    """Decode the outcome of a call to a worker."""
    if isinstance(outcome, NotSent):
        return Reply(Verdict.NOT_SENT, detail=outcome.reason)
    if isinstance(outcome, NoAnswer):
        return Reply(Verdict.NO_ANSWER, detail=outcome.reason)
    body = outcome.body
    ends = read_list(body, "Finished")
    ended = [end for row in ends if (end := _decode_ended_task(row))]
    return Reply(
        _decode_verdict(outcome),
        read_whole_number(body.get("ClockMs")),
        read_whole_number(body.get("born")) or 0,
        [
            task
            for row in read_list(body, "Running")
            if (task := _decode_running_task(row))
        ],
        ended,
        lists_all_ends=len(ended) == len(ends) < ENDS_PER_REPLY,
    )


def _decode_verdict(answer: Answer) -> Verdict:
    if answer.ok:
        return Verdict.OK
    if answer.status == STATUS_OTHER_INCARNATION:
        return Verdict.OTHER_INCARNATION
    if answer.status == 409:
        reason = read_text(answer.body.get("Reason")) or ""
        return _VERDICTS_BY_REASON.get(reason, Verdict.MALFORMED)
    if answer.status in (429, 503):
        return Verdict.UNHEALTHY
    return Verdict.MALFORMED


def _decode_running_task(row: Any) -> RunningTask | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    name, attempt = TaskName.parse(row[0]), read_whole_number(row[1])
    if name is None or attempt is None:
        return None
    percent = read_number(row[3]) or 0
    level = read_number(row[4]) or 0 if len(row) > 4 else 0
    checkpoint = read_text(row[2]) or ""
    return RunningTask(name, attempt, checkpoint, int(percent), int(level))


def _decode_ended_task(row: Any) -> EndedTask | None:
    if not isinstance(row, list) or len(row) < 5:
        return None
    number, name = read_whole_number(row[0]), TaskName.parse(row[1])
    attempt, how = read_whole_number(row[2]), read_text(row[3])
    if number is None or name is None or attempt is None or how not in _END_NAMES:
        return None
    return EndedTask(number, name, attempt, AttemptEnd(how), read_text(row[4]) or "")
