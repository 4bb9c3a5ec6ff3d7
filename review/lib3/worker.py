"""Stand-in of a worker: leases, fence numbers, checkpoints, and whole gangs."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from net import Answer, Call
from store import Store

HEARTBEAT_S = 1.5
TICK_S = 0.02
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.2


@dataclass
class Work:
    """What a work unit needs, which its task's text stands for.

    :ivar work_s: time that it works for
    :ivar gang: number of work units that run together, 0 for one that runs alone
    """

    cpu: int
    mem_mb: int
    work_s: float
    gang: int = 0
    checkpoint_s: float = 0.0
    checkpoint_chars: int = 16


@dataclass
class Run:
    """One run on a worker."""

    task: str
    attempt: int
    work: Work
    begun_s: float
    done_s: float = 0.0
    saved: str = ""
    saved_s: float = 0.0
    stop_at_s: float = 0.0


@dataclass
class Site:
    """What all workers of a test share.

    :ivar work_of: returns the work of a work unit by its name
    :ivar note: records what happened
    """

    store: Store
    work_of: Callable[[str], Work]
    note: Callable[..., None]
    workers: dict[str, Worker] = field(default_factory=dict)

    def members(self, run: Run) -> list[tuple[Worker, Run]]:
        """Return the present work units of a run's gang."""
        step = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.running.values()
            if other.task.rpartition(".")[0] == step and other.attempt == run.attempt
        ]


@dataclass
class Worker:
    """One life of a worker."""

    site: Site
    name: str
    service: str
    port: int
    cpu: int
    mem_mb: int
    rack: str
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    deadline_ms: int = 0
    number: int = 0
    beat: int = 0
    is_up: bool = True
    running: dict[str, Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    closed: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._clock_start_s = time.monotonic() - random.uniform(100, 1000)
        self.site.workers[self.name] = self

    def clock_ms(self) -> int:
        """Return the time on the worker's steady clock."""
        return int((time.monotonic() - self._clock_start_s) * 1000)

    def publish(self) -> None:
        """Write what the worker says of itself."""
        self.beat += 1
        self.site.store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": "z1",
                "Version": "1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "SeqNo": self.beat,
                "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
                "Labels": ["a", self.rack],
                "Machine": f"m-{self.name}",
                "born": self.born,
            },
        )

    def machine(self) -> dict[str, Any]:
        """Return the worker's machine as the platform lists it."""
        return {
            "Machine": f"m-{self.name}",
            "Pool": self.service,
            "State": "up" if self.is_up else "down",
            "Zone": "z1",
            "Labels": ["a", self.rack],
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0},
            "Id": self.name if self.is_up else "",
        }

    async def live(self) -> None:
        """Work until cancelled."""
        beat_at_s = 0.0
        while True:
            now_s = time.monotonic()
            if self.is_up and now_s >= beat_at_s:
                beat_at_s = now_s + HEARTBEAT_S
                self.publish()
            if self.is_up:
                self._tick(now_s)
            await asyncio.sleep(TICK_S)

    def crash(self) -> None:
        """Lose all that the worker knows; it answers nothing until it is born again."""
        self.site.note("crash", worker=self.name, running=len(self.running))
        lost, self.is_up = list(self.running.values()), False
        self.running.clear()
        self.ends.clear()
        self.closed.clear()
        for run in lost:
            self._break_gang(run)

    def bear(self) -> None:
        """Start again under the same name."""
        self.born, self.fence, self.deadline_ms = int(time.time() * 1000), 0, 0
        self.number, self.is_up = 0, True
        self._clock_start_s = time.monotonic() - random.uniform(100, 1000)
        self.site.note("born", worker=self.name)
        self.publish()

    def _tick(self, now_s: float) -> None:
        for run in list(self.running.values()):
            if run.task not in self.running:
                continue
            if self.clock_ms() > self.deadline_ms:
                self._end(run, "lapsed")
            elif run.stop_at_s and now_s >= run.stop_at_s:
                self._end(run, "stopped")
            else:
                self._work(run, now_s)

    def _work(self, run: Run, now_s: float) -> None:
        if run.work.gang:
            members = self.site.members(run)
            if not run.done_s:
                if len(members) == run.work.gang:
                    for _, member in members:
                        member.done_s = now_s + run.work.work_s
                elif now_s - run.begun_s > GANG_TIMEOUT_S:
                    self._end(run, "alone")
                    return
        if not run.done_s:
            return
        if run.work.checkpoint_s and now_s - run.saved_s >= run.work.checkpoint_s:
            run.saved_s = now_s
            run.saved = f"{int(now_s * 1000):0{run.work.checkpoint_chars}d}"
        if now_s >= run.done_s:
            if run.work.gang:
                for worker, member in self.site.members(run):
                    worker._end(member, "done")
            else:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop(run.task, None) is None:
            return
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, run.saved])
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.site.note("end", worker=self.name, task=run.task, run=run.attempt, how=how)
        if how != "done":
            self._break_gang(run)

    def _break_gang(self, run: Run) -> None:
        if run.work.gang and run.done_s:
            for worker, member in self.site.members(run):
                worker._end(member, "broken")

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        if not self.is_up:
            return None
        if call.headers.get("chivetray-expect-instance", self.name) != self.name:
            return 421, {}
        body = call.body
        if call.path.endswith("/health"):
            return 200, {}
        if body.get("FencingToken", 0) < self.fence:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.fence = body.get("FencingToken", 0)
        name = call.path.rpartition("/")[2]
        if name == "run-start":
            reason = self._start(body)
            status = 409 if reason else 200
            fields = {"Reason": reason} if reason else {}
            return status, {"ClockMs": self.clock_ms(), **fields}
        if name == "run-stop":
            run = self.running.get(body["Task"])
            if run is not None and run.attempt <= body["Attempt"]:
                run.stop_at_s = run.stop_at_s or time.monotonic() + STOP_S
            closed = self.closed.get(body["Task"], 0)
            self.closed[body["Task"]] = max(closed, body["Attempt"])
            return 200, {"ClockMs": self.clock_ms()}
        if name == "pace":
            return 200, {"ClockMs": self.clock_ms()}
        if name == "hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, body: dict[str, Any]) -> str:
        task, attempt = body["Task"], body["Attempt"]
        if body["DeadlineMs"] <= self.clock_ms():
            return "late"
        if not self.running:
            # What ran under an earlier lease has ended.
            self.deadline_ms = max(self.deadline_ms, self.clock_ms())
        self._extend(body["DeadlineMs"])
        current = self.running.get(task)
        if current is not None and current.attempt == attempt:
            return ""
        if attempt <= self.closed.get(task, 0) or current is not None:
            return "old"
        work = self.site.work_of(task)
        runs = self.running.values()
        if sum(r.work.cpu for r in runs) + work.cpu > self.cpu:
            return "room"
        if sum(r.work.mem_mb for r in runs) + work.mem_mb > self.mem_mb:
            return "room"
        now_s = time.monotonic()
        run = Run(task, attempt, work, now_s, saved=body.get("Checkpoint", ""))
        run.saved_s = now_s
        if not work.gang:
            run.done_s = now_s + work.work_s
        self.running[task] = run
        self.site.note("start", worker=self.name, task=task, run=attempt)
        return ""

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if body.get("DeadlineMs"):
            self._extend(body["DeadlineMs"])
        observed, born = body.get("Observed", 0), self.born
        self.ends = [end for end in self.ends if end[0] > observed]
        until_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.ends and time.monotonic() < until_s and self.born == born:  # noqa: ASYNC110
            await asyncio.sleep(TICK_S)
        if not self.is_up or self.born != born:
            return None
        running = [
            [run.task, run.attempt, run.saved, 50 if run.done_s else 0, run.work.cpu]
            for run in self.running.values()
        ]
        return 200, {
            "ClockMs": self.clock_ms(),
            "born": self.born,
            "Running": running,
            "Finished": self.ends[:500],
        }
