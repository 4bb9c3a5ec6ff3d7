"""Stand-in for a worker: leases, fencing tokens, starting and stopping attempts."""

from __future__ import annotations

import asyncio
import base64
import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

WORKER_HEARTBEAT_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.01
MAX_LEASE_MS = 10_000
ENDS_PER_ANSWER = 500

# Largest value with which the clock of a worker process begins.
CLOCK_START_MAX_MS = 10_000_000

# Time for which an unanswered call stays open; longer than any timeout.
STALL_S = 3600.0


@dataclass(slots=True)
class RunningAttempt:
    """One attempt that is running on the worker.

    :ivar left_s: run time that is left
    :ivar runs_until_stopped: whether the attempt never ends by itself
    :ivar stop_left_s: time until it ends as stopped, infinite before its stop
    """

    task: str
    attempt: int
    left_s: float
    runs_until_stopped: bool
    stop_left_s: float = math.inf


@dataclass(slots=True)
class WorkerFaults:
    """Faults to inject; the fields are set by name through ``/standin/faults``.

    :ivar silent: accept calls and never answer them, nor those that wait for an end
    :ivar late_s: delay after which an unanswered start is carried out
    :ivar late_starts: number of further starts that are delayed and not answered
    :ivar failing: let every task fail
    :ivar stop_s: time that an attempt goes on for after its stop was answered
    """

    silent: bool = False
    late_s: float = 0.0
    late_starts: int = 0
    failing: bool = False
    stop_s: float = 0.0


@dataclass(slots=True)
class WorkerModel:
    """State of a worker during one incarnation.

    :ivar work_s: run time of a task whose payload gives none
    :ivar incarnation_ms: start of the worker in ms since 1970, which identifies its
        incarnation
    :ivar deadline_ms: end of the lease on the worker's clock
    :ivar running: running attempt of each task
    :ivar closed_attempts: newest attempt of each task that ended or was stopped; it and
        older ones may not start any more
    :ivar ends: ended attempts that are not acknowledged yet
    :ivar number: sequence number of the last ended attempt
    :ivar starts: task and number of every attempt that was started, for tests
    :ivar history: time, kind, task and attempt of each start, end and acknowledgement,
        in all incarnations, for tests; the kind of an end is how it came
    :ivar history_file: file to which the history is also appended, or empty for none
    :ivar lapsed_number: number of the last end that came before the lease expired
    :ivar clock_start_ms: value of the worker's clock at the start of this incarnation
    :ivar clock_rate: speed of the worker's clock; the platform allows an error of 2%
    :ivar read_time_s: returns the time from which the worker's clock is derived
    """

    worker_id: str
    service: str
    cpu_milli: int = 4000
    work_s: float = 0.2
    incarnation_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    fencing_token: int = 0
    deadline_ms: int = 0
    running: dict[str, RunningAttempt] = field(default_factory=dict)
    closed_attempts: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    number: int = 0
    starts: list[tuple[str, int]] = field(default_factory=list)
    history: list[tuple[float, str, str, int]] = field(default_factory=list)
    history_file: str = ""
    lapsed_number: int = 0
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    clock_start_ms: int = 0
    clock_rate: float = 1.0
    read_time_s: Callable[[], float] = time.monotonic
    started_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.started_s = self.read_time_s()

    def clock_ms(self) -> int:
        """Return the worker's monotonic clock, which begins anywhere."""
        elapsed_s = (self.read_time_s() - self.started_s) * self.clock_rate
        return self.clock_start_ms + int(elapsed_s * 1000)

    def restart(self, incarnation_ms: int, clock_start_ms: int = 0) -> None:
        """Begin a new incarnation, which knows nothing of the earlier ones."""
        self.incarnation_ms, self.clock_start_ms = incarnation_ms, clock_start_ms
        self.started_s = self.read_time_s()
        self.fencing_token = self.deadline_ms = self.number = self.lapsed_number = 0
        self.running.clear()
        self.closed_attempts.clear()
        self.ends.clear()

    def tick(self, elapsed_s: float) -> None:
        """Advance the running attempts, or end them all when the lease has expired."""
        self.check_lease()
        for run in list(self.running.values()):
            run.left_s -= elapsed_s
            run.stop_left_s -= elapsed_s
            if run.stop_left_s <= 0:
                self.end(run, "stopped")
            elif run.left_s <= 0 and not run.runs_until_stopped:
                self.end(run, "failed" if self.faults.failing else "done")

    def check_lease(self) -> None:
        """End all attempts once the lease has expired."""
        if self.clock_ms() > self.deadline_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            self.lapsed_number = self.number

    def _record(self, kind: str, task: str, attempt: int) -> None:
        at_s = time.monotonic()
        if kind == "lapsed":
            # A suspended process notices the end of its lease late.
            over_ms = self.clock_ms() - self.deadline_ms
            at_s -= over_ms / 1000 / self.clock_rate
        entry = (at_s, kind, task, attempt)
        self.history.append(entry)
        if self.history_file:
            # Unlike the history in memory, the file survives a kill of this process.
            with open(self.history_file, "ab") as file:
                file.write(orjson.dumps(entry) + b"\n")

    def end(self, run: RunningAttempt, how: str) -> None:
        """Record the end of an attempt."""
        self._record(how, run.task, run.attempt)
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, ""])
        self.closed_attempts[run.task] = max(
            self.closed_attempts.get(run.task, 0), run.attempt
        )
        del self.running[run.task]

    def start(self, body: dict[str, Any]) -> dict[str, Any]:
        """Start an attempt, unless it runs already.

        :return: the fields of the answer, with a ``Reason`` when it is refused
        """
        if refused := self._check_fencing_token(body):
            return refused
        task, attempt = body["Task"], body["Attempt"]
        if body["DeadlineMs"] <= self.clock_ms():
            return {"Reason": "late"}
        self._extend_lease(body["DeadlineMs"])
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return {}
        if attempt <= self.closed_attempts.get(task, 0) or current is not None:
            return {"Reason": "old"}
        payload = body.get("TaskSpec", "")
        runs_until_stopped = payload == "lasts"
        work_s = float(payload) if payload.replace(".", "").isdigit() else self.work_s
        self.running[task] = RunningAttempt(task, attempt, work_s, runs_until_stopped)
        self.starts.append((task, attempt))
        self._record("start", task, attempt)
        return {}

    def stop(self, body: dict[str, Any]) -> dict[str, Any]:
        """Stop an attempt, and refuse to start it from now on."""
        if refused := self._check_fencing_token(body):
            return refused
        run = self.running.get(body["Task"])
        if run is not None and run.attempt <= body["Attempt"]:
            if self.faults.stop_s:
                run.stop_left_s = min(run.stop_left_s, self.faults.stop_s)
            else:
                self.end(run, "stopped")
        closed_attempt = max(self.closed_attempts.get(body["Task"], 0), body["Attempt"])
        self.closed_attempts[body["Task"]] = closed_attempt
        return {}

    def hold(self, body: dict[str, Any]) -> dict[str, Any]:
        """Extend the lease and drop acknowledged ended attempts."""
        if refused := self._check_fencing_token(body):
            return refused
        observed = body.get("Observed", 0)
        for number, task, attempt, *_ in self.ends:
            # The rules do not count an end whose lease has expired before it was noted.
            if self.lapsed_number < number <= observed:
                self._record("noted", task, attempt)
        self.ends = [end for end in self.ends if end[0] > observed]
        self._extend_lease(body.get("DeadlineMs", 0))
        return {}

    def list_attempts(self) -> dict[str, Any]:
        """Return the running and ended attempts as fields of an answer."""
        running = [[run.task, run.attempt, "", 100, 0] for run in self.running.values()]
        return {"Running": running, "Finished": self.ends[:ENDS_PER_ANSWER]}

    def encode_state(self) -> bytes:
        """Encode the state that the worker publishes, still without its address."""
        return orjson.dumps(
            {
                "Service": self.service,
                "Address": "",
                "State": "ready",
                "Capacity": {"Cpu": self.cpu_milli, "MemMb": 65536, "Gpu": 0},
                "Labels": ["a", "r1"],
                "born": self.incarnation_ms,
                "ClockMs": self.clock_ms(),
            }
        )

    def _check_fencing_token(self, body: dict[str, Any]) -> dict[str, Any] | None:
        if body.get("FencingToken", 0) < self.fencing_token:
            return {"Reason": "fence"}
        self.fencing_token = body.get("FencingToken", 0)
        return None

    def _extend_lease(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))


def create_worker_app(model: WorkerModel) -> Starlette:
    """Create the HTTP application of a worker."""
    app = Starlette(
        routes=[
            Route("/chivetray/run-start", _order_endpoint(_start), methods=["POST"]),
            Route("/chivetray/run-stop", _order_endpoint(_stop), methods=["POST"]),
            Route("/chivetray/hold", _order_endpoint(_hold), methods=["POST"]),
            Route("/standin/ledger", _ledger),
            Route("/standin/faults", _set_faults, methods=["POST"]),
        ]
    )
    app.state.model = model
    return app


OrderHandler = Callable[[WorkerModel, dict[str, Any]], Awaitable[dict[str, Any]]]


def _order_endpoint(
    handle_order: OrderHandler,
) -> Callable[[Request], Awaitable[Response]]:
    """Wrap an order in an HTTP endpoint that checks the expected instance."""

    async def answer(request: Request) -> Response:
        model: WorkerModel = request.app.state.model
        body = orjson.loads(await request.body())
        if model.faults.silent:
            await asyncio.sleep(STALL_S)
        expected = request.headers.get("chivetray-expect-instance")
        if expected not in (None, model.worker_id):
            return Response(b"{}", 421, media_type="application/json")
        model.check_lease()
        fields = await handle_order(model, body)
        if model.faults.silent:
            await asyncio.sleep(STALL_S)
        plain = {"ClockMs": model.clock_ms(), **fields}
        status = 409 if "Reason" in fields else 200
        return Response(orjson.dumps(plain), status, media_type="application/json")

    return answer


async def _start(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    if model.faults.late_starts > 0:
        model.faults.late_starts -= 1
        await asyncio.sleep(model.faults.late_s)
        model.check_lease()
        model.start(body)
        await asyncio.sleep(STALL_S)
    return model.start(body)


async def _stop(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    return model.stop(body)


async def _hold(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    refused = model.hold(body)
    if refused:
        return refused
    deadline_s = time.monotonic() + body.get("WaitMs", 0) / 1000
    while not model.ends and time.monotonic() < deadline_s:  # noqa: ASYNC110
        await asyncio.sleep(TICK_INTERVAL_S)
    # Answers to other calls do not tell the incarnation.
    return {"born": model.incarnation_ms, **model.list_attempts()}


async def _ledger(request: Request) -> Response:
    model: WorkerModel = request.app.state.model
    content = {"starts": model.starts, "ends": model.ends, "number": model.number}
    content["history"] = model.history
    return Response(orjson.dumps(content), media_type="application/json")


async def _set_faults(request: Request) -> Response:
    model: WorkerModel = request.app.state.model
    model.faults = WorkerFaults(**orjson.loads(await request.body()))
    return Response(b"{}", media_type="application/json")


async def run_tasks(model: WorkerModel) -> None:
    """Simulate the tasks of a worker until cancelled."""
    previous_s = time.monotonic()
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        now_s = time.monotonic()
        model.tick(now_s - previous_s)
        previous_s = now_s


def encode_worker_row(model: WorkerModel, address: str) -> dict[str, Any]:
    """Encode the row that a worker writes into the store."""
    state = {**orjson.loads(model.encode_state()), "Address": address}
    value = base64.b64encode(orjson.dumps(state)).decode()
    return {"Table": "servers", "Key": model.worker_id, "Value": value}
