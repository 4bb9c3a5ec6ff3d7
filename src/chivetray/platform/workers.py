"""Orders to workers and looks at them."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivetray.jobs.model import TaskKey
from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent, Outcome

# Time limit of an order: some 100 times the usual 4 ms.
ORDER_TIMEOUT_S = 0.6

# Added to the time that a look may wait at the worker.
LOOK_SLACK_S = 0.7

STATUS_OTHER_LIFE = 421

# Calls whose latencies are observed; a look waits for an end on purpose.
ORDER_CALLS = {"run-start": "start order", "run-stop": "stop order"}


@dataclass(frozen=True, slots=True)
class TaskName:
    """Name of a task across all jobs."""

    job_id: str
    key: TaskKey

    def __str__(self) -> str:
        occurrence, step, index = self.key
        return f"{self.job_id}.{occurrence}.{step}.{index}"

    @classmethod
    def parse(cls, text: Any) -> TaskName | None:
        """Return the name that a worker sent, or ``None`` when it is none."""
        parts = text.split(".") if isinstance(text, str) else []
        if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
            return None
        return cls(parts[0], (int(parts[1]), int(parts[2]), int(parts[3])))


class How(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Verdict(Enum):
    """Answer of a worker to an order."""

    OK = "ok"
    FENCED = "fence"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "room"
    BAD_TICKET = "ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other life"
    NOT_SENT = "not sent"
    NO_ANSWER = "no answer"


_REASONS = {
    "fence": Verdict.FENCED,
    "old": Verdict.OLD,
    "late": Verdict.LATE,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.BAD_TICKET,
}


@dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that runs on a worker.

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
    """An attempt that has ended; numbers rise within a worker's life."""

    number: int
    name: TaskName
    attempt: int
    how: How
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Reply:
    """A worker's answer.

    :ivar clock_ms: the worker's steady clock, or ``None`` without an answer
    :ivar born: start of the worker's life, or 0 when it was not said
    :ivar detail: what went wrong, for the log
    """

    verdict: Verdict
    clock_ms: int | None = None
    born: int = 0
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)
    detail: str = ""


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """Where a worker is and which life of it is meant."""

    worker_id: str
    address: str


class WorkerClient:
    """Calls workers."""

    def __init__(self, session: CallSession):
        self._session = session
        self.looks = 0
        self.on_latency: Callable[[str, float], None] = lambda _name, _latency_s: None

    async def hold(
        self,
        worker: WorkerAddress,
        fence: int,
        observed: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Reply:
        """Extend the lease, acknowledge ends, and read what runs and has ended."""
        self.looks += 1
        body: dict[str, Any] = {"FencingToken": fence, "Observed": observed}
        if deadline_ms is not None:
            body["DeadlineMs"] = deadline_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        timeout_s = wait_ms / 1000 + LOOK_SLACK_S
        return await self._call(worker, "hold", body, timeout_s)

    async def start(
        self,
        worker: WorkerAddress,
        fence: int,
        name: TaskName,
        attempt: int,
        payload: str,
        deadline_ms: int,
        checkpoint: str,
        ticket: str = "",
    ) -> Reply:
        """Start an attempt; repeating the order changes nothing."""
        body: dict[str, Any] = {
            "Task": str(name),
            "Attempt": attempt,
            "TaskSpec": payload,
            "DeadlineMs": deadline_ms,
            "FencingToken": fence,
        }
        if checkpoint:
            body["Checkpoint"] = checkpoint
        if ticket:
            body["Ticket"] = ticket
        return await self._call(worker, "run-start", body, ORDER_TIMEOUT_S)

    async def stop(
        self, worker: WorkerAddress, fence: int, name: TaskName, attempt: int
    ) -> Reply:
        """Stop an attempt, and keep it from starting there later."""
        body = {"Task": str(name), "Attempt": attempt, "FencingToken": fence}
        return await self._call(worker, "run-stop", body, ORDER_TIMEOUT_S)

    async def pace(
        self,
        worker: WorkerAddress,
        fence: int,
        name: TaskName,
        attempt: int,
        percent: int,
    ) -> Reply:
        """Let a task work at a share of its speed."""
        body = {
            "Task": str(name),
            "Attempt": attempt,
            "Percent": percent,
            "FencingToken": fence,
        }
        return await self._call(worker, "pace", body, ORDER_TIMEOUT_S)

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        url = f"http://{worker.address}/chivetray/{call}"
        headers = {"Chivetray-Expect-Instance": worker.worker_id}
        began_s = time.monotonic()
        outcome = await self._session.call("POST", url, timeout_s, body, headers)
        if call in ORDER_CALLS:
            self.on_latency(ORDER_CALLS[call], time.monotonic() - began_s)
        return decode_reply(outcome)


def decode_reply(outcome: Outcome) -> Reply:
    """Return what the outcome of a call to a worker says."""
    if isinstance(outcome, NotSent):
        return Reply(Verdict.NOT_SENT, detail=outcome.reason)
    if isinstance(outcome, NoAnswer):
        return Reply(Verdict.NO_ANSWER, detail=outcome.reason)
    body = outcome.body
    return Reply(
        _verdict(outcome),
        _integer(body.get("ClockMs")),
        _integer(body.get("born")) or 0,
        [task for row in _rows(body, "Running") if (task := _running(row))],
        [end for row in _rows(body, "Finished") if (end := _ended(row))],
    )


def _verdict(answer: Answer) -> Verdict:
    if answer.ok:
        return Verdict.OK
    if answer.status == STATUS_OTHER_LIFE:
        return Verdict.OTHER_LIFE
    if answer.status == 409:
        return _REASONS.get(str(answer.body.get("Reason")), Verdict.MALFORMED)
    if answer.status in (429, 503):
        return Verdict.UNHEALTHY
    return Verdict.MALFORMED


def _rows(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name)
    return value if isinstance(value, list) else []


def _integer(value: Any) -> int | None:
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _running(row: Any) -> RunningTask | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    name, attempt = TaskName.parse(row[0]), _integer(row[1])
    if name is None or attempt is None:
        return None
    level = row[4] if len(row) > 4 and isinstance(row[4], int | float) else 0
    percent = row[3] if isinstance(row[3], int | float) else 0
    return RunningTask(name, attempt, str(row[2] or ""), int(percent), int(level))


def _ended(row: Any) -> EndedTask | None:
    if not isinstance(row, list) or len(row) < 5:
        return None
    number, name, attempt = _integer(row[0]), TaskName.parse(row[1]), _integer(row[2])
    if number is None or name is None or attempt is None:
        return None
    try:
        how = How(row[3])
    except ValueError:
        return None
    return EndedTask(number, name, attempt, how, str(row[4] or ""))
