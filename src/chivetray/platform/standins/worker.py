"""Stand-in of a worker: leases, fencing tokens, starts, stops and ends."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

HEARTBEAT_S = 0.5
TICK_S = 0.01
HOLD_MAX_MS = 10_000
ENDS_PER_ANSWER = 500

# Time for which a call that is left unanswered stays so.
STALL_S = 3600.0


@dataclass(slots=True)
class Run:
    """One attempt on the worker.

    :ivar left_s: work that is left
    """

    task: str
    attempt: int
    left_s: float
    lasts: bool


@dataclass(slots=True)
class WorkerFaults:
    """Faults that the stand-in shows.

    :ivar silent: accept calls and never answer
    :ivar late_s: leave the next starts unanswered and carry them out after this
    :ivar late_starts: number of such starts
    :ivar failing: let each task fail
    """

    silent: bool = False
    late_s: float = 0.0
    late_starts: int = 0
    failing: bool = False


@dataclass(slots=True)
class WorkerModel:
    """State of one life of a worker.

    :ivar work_s: time that a task takes when its payload names none
    :ivar starts: every attempt that began, for the ledger of tests
    """

    worker_id: str
    service: str
    cpu_milli: int = 4000
    work_s: float = 0.2
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    fence: int = 0
    deadline_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    marks: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    number: int = 0
    starts: list[tuple[str, int]] = field(default_factory=list)
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    started_s: float = field(default_factory=time.monotonic)

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return int((time.monotonic() - self.started_s) * 1000)

    def tick(self, elapsed_s: float) -> None:
        """Let tasks work, and kill everything when the lease is over."""
        if self.running and self.clock_ms() > self.deadline_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            return
        for run in list(self.running.values()):
            run.left_s -= elapsed_s
            if run.left_s <= 0 and not run.lasts:
                self.end(run, "failed" if self.faults.failing else "done")

    def end(self, run: Run, how: str) -> None:
        """List the end of an attempt."""
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, ""])
        self.marks[run.task] = max(self.marks.get(run.task, 0), run.attempt)
        del self.running[run.task]

    def start(self, body: dict[str, Any]) -> dict[str, Any]:
        """Start an attempt; return the fields of the answer."""
        if refused := self._check(body):
            return refused
        task, attempt = body["Task"], body["Attempt"]
        if body["DeadlineMs"] <= self.clock_ms():
            return {"Reason": "late"}
        self._extend(body["DeadlineMs"])
        found = self.running.get(task)
        if found is not None and found.attempt == attempt:
            return {}
        if attempt <= self.marks.get(task, 0) or found is not None:
            return {"Reason": "old"}
        spec = body.get("TaskSpec", "")
        lasts = spec == "lasts"
        work_s = float(spec) if spec.replace(".", "").isdigit() else self.work_s
        self.running[task] = Run(task, attempt, work_s, lasts)
        self.starts.append((task, attempt))
        return {}

    def stop(self, body: dict[str, Any]) -> dict[str, Any]:
        """Stop an attempt and refuse it from now on."""
        if refused := self._check(body):
            return refused
        run = self.running.get(body["Task"])
        if run is not None and run.attempt <= body["Attempt"]:
            self.end(run, "stopped")
        mark = max(self.marks.get(body["Task"], 0), body["Attempt"])
        self.marks[body["Task"]] = mark
        return {}

    def hold(self, body: dict[str, Any]) -> dict[str, Any]:
        """Extend the lease and forget ends."""
        if refused := self._check(body):
            return refused
        self.ends = [end for end in self.ends if end[0] > body.get("Observed", 0)]
        self._extend(body.get("DeadlineMs", 0))
        return {}

    def lists(self) -> dict[str, Any]:
        """Return what runs and has ended."""
        running = [[r.task, r.attempt, "", 100, 0] for r in self.running.values()]
        return {"Running": running, "Finished": self.ends[:ENDS_PER_ANSWER]}

    def entry(self) -> bytes:
        """Return what the worker writes into the store."""
        return orjson.dumps(
            {
                "Service": self.service,
                "Address": "",
                "State": "ready",
                "Capacity": {"Cpu": self.cpu_milli, "MemMb": 65536, "Gpu": 0},
                "Labels": ["a", "r1"],
                "born": self.born_ms,
                "ClockMs": self.clock_ms(),
            }
        )

    def _check(self, body: dict[str, Any]) -> dict[str, Any] | None:
        if body.get("FencingToken", 0) < self.fence:
            return {"Reason": "fence"}
        self.fence = body.get("FencingToken", 0)
        return None

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))


def create_worker_app(model: WorkerModel) -> Starlette:
    """Return the HTTP application of a worker."""
    app = Starlette(
        routes=[
            Route("/chivetray/run-start", _order(_start), methods=["POST"]),
            Route("/chivetray/run-stop", _order(_stop), methods=["POST"]),
            Route("/chivetray/hold", _order(_hold), methods=["POST"]),
            Route("/standin/ledger", _ledger),
            Route("/standin/faults", _set_faults, methods=["POST"]),
        ]
    )
    app.state.model = model
    return app


Order = Callable[[WorkerModel, dict[str, Any]], Awaitable[dict[str, Any]]]


def _order(carry_out: Order) -> Callable[[Request], Awaitable[Response]]:
    async def answer(request: Request) -> Response:
        model: WorkerModel = request.app.state.model
        body = orjson.loads(await request.body())
        if model.faults.silent:
            await asyncio.sleep(STALL_S)
        expected = request.headers.get("chivetray-expect-instance")
        if expected not in (None, model.worker_id):
            return Response(b"{}", 421, media_type="application/json")
        fields = await carry_out(model, body)
        plain = {"ClockMs": model.clock_ms(), "born": model.born_ms, **fields}
        status = 409 if "Reason" in fields else 200
        return Response(orjson.dumps(plain), status, media_type="application/json")

    return answer


async def _start(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    if model.faults.late_starts > 0:
        model.faults.late_starts -= 1
        await asyncio.sleep(model.faults.late_s)
        model.start(body)
        await asyncio.sleep(STALL_S)
    return model.start(body)


async def _stop(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    return model.stop(body)


async def _hold(model: WorkerModel, body: dict[str, Any]) -> dict[str, Any]:
    refused = model.hold(body)
    if refused:
        return refused
    until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
    while not model.ends and time.monotonic() < until_s:  # noqa: ASYNC110
        await asyncio.sleep(TICK_S)
    return model.lists()


async def _ledger(request: Request) -> Response:
    model: WorkerModel = request.app.state.model
    content = {"starts": model.starts, "ends": model.ends, "number": model.number}
    return Response(orjson.dumps(content), media_type="application/json")


async def _set_faults(request: Request) -> Response:
    model: WorkerModel = request.app.state.model
    model.faults = WorkerFaults(**orjson.loads(await request.body()))
    return Response(b"{}", media_type="application/json")


async def work(model: WorkerModel) -> None:
    """Let the tasks of a worker work until cancelled."""
    before_s = time.monotonic()
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        model.tick(now_s - before_s)
        before_s = now_s


def encode_entry(model: WorkerModel, address: str) -> dict[str, Any]:
    """Return the row in which a worker shows itself."""
    entry = {**orjson.loads(model.entry()), "Address": address}
    value = base64.b64encode(orjson.dumps(entry)).decode()
    return {"Table": "servers", "Key": model.worker_id, "Value": value}
