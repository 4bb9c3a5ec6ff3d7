"""Stand-ins of the store, the workers and the VM API, as PROTOCOL.md describes them.

They need nothing but the standard library, and run in the process of a case.
"""

from __future__ import annotations

import asyncio
import base64
import json
import math
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from contextlib import suppress

ENTRIES_LIMIT = 100
CALL_BYTES_LIMIT = 1_000_000
NAME_BYTES_LIMIT = 200
PAGE_ROWS = 500
PARTS_PER_ANSWER = 1000
ENDS_PER_ANSWER = 500
ROW_BYTES = 65536
TX_S = 0.005
WRITES_PER_S = 600
READS_PER_S = 2000

# (status, JSON body); None leaves the call without an answer
Answer = tuple[int, dict] | None


class Request:
    """One HTTP request."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        path, _, query = target.partition("?")
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self) -> dict:
        """Return the body."""
        return json.loads(self.body or b"{}")


class HttpServer:
    """A small HTTP/1.1 server; ``down`` resets every channel."""

    def __init__(self, handle: Callable[[Request], Awaitable[Answer]]):
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.down = False
        self.address = ""

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=1024)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    def replace_handler(self, handle: Callable[[Request], Awaitable[Answer]]) -> None:
        """Let other code answer the requests."""
        self._handle = handle

    def set_down(self, down: bool) -> None:
        """Reset all channels and each new one, until it is up again."""
        self.down = down
        if down:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Close all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                answer = await self._handle(request)
                if answer is None or self.down:
                    writer.transport.abort()
                    return
                status, plain = answer
                body = json.dumps(plain).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            with suppress(Exception):
                writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := (await reader.readline()).strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(size))


class _Rate:
    def __init__(self, per_s: int):
        self._per_s, self._tokens, self._at_s = per_s, float(per_s), time.monotonic()

    def take(self) -> bool:
        """Return whether one more call is within the rate."""
        now_s = time.monotonic()
        self._tokens += (now_s - self._at_s) * self._per_s
        self._tokens, self._at_s = min(self._tokens, float(self._per_s)), now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.removed: dict[tuple[str, str, str], int] = {}
        self.version = 0
        self.refusals: list[str] = []
        self._changed = asyncio.Event()
        self._part_locks: dict[str, asyncio.Lock] = {}
        self._writes, self._reads = _Rate(WRITES_PER_S), _Rate(READS_PER_S)
        self.server = HttpServer(self._handle)

    def put(self, table: str, key: str, content: dict | bytes | None) -> int:
        """Write or remove a row, as the operator or a worker does."""
        if content is None:
            self._apply([], [{"Table": table, "Key": key}])
            return self.version
        raw = content if isinstance(content, bytes) else json.dumps(content).encode()
        value = base64.b64encode(raw).decode()
        self._apply([{"Table": table, "Key": key, "Value": value}], [])
        return self.version

    def _answer(self, status: int, **fields: object) -> Answer:
        now_ms = int(time.monotonic() * 1000)
        return status, {"Ver": self.version, "NowMs": now_ms, **fields}

    async def _handle(self, request: Request) -> Answer:
        call = request.path.removeprefix("/chivetray/")
        if call == "rows-tx":
            if not self._writes.take():
                return self._answer(429)
            return await self._transact(request)
        if not self._reads.take():
            return self._answer(429)
        if call == "rows-get":
            return self._get(request.query)
        if call == "rows-parts":
            return self._parts(request.query)
        if call == "rows-feed":
            return await self._feed(request.query)
        return self._answer(404)

    async def _transact(self, request: Request) -> Answer:
        body = request.json()
        expected, writes, removes = (
            body.get(name) or [] for name in ("ExpectedRev", "Writes", "Remove")
        )
        entries = [*expected, *writes, *removes]
        changed = [*writes, *removes]
        fault = ""
        if any(row["Table"] in ("op", "servers") for row in changed):
            return self._answer(403)
        if len(entries) > ENTRIES_LIMIT or len(request.body) > CALL_BYTES_LIMIT:
            fault = "the call is too large"
        if len({row.get("part", "") for row in entries}) > 1:
            fault = "several parts"
        for row in entries:
            names = (row["Table"], row.get("part", ""), row["Key"])
            if any(len(name.encode()) > NAME_BYTES_LIMIT for name in names):
                fault = "a name is too long"
        for row in writes:
            size = len(base64.b64decode(row["Value"]))
            if size > ROW_BYTES:
                fault = f"the value of {row['Table']}/{row['Key']} has {size} bytes"
        if fault:
            self.refusals.append(fault)
            return self._answer(400)
        part = entries[0].get("part", "") if entries else ""
        async with self._part_locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            if self.server.down:
                return None
            for row in expected:
                name = _name(row)
                found = self.rows[name][1] if name in self.rows else 0
                if found != row["Ver"]:
                    present = [r for r in expected if _name(r) in self.rows]
                    return self._answer(
                        412, rows=[self._encode(_name(r)) for r in present]
                    )
            self._apply(writes, removes)
            return self._answer(200)

    def _apply(self, writes: list[dict], removes: list[dict]) -> None:
        self.version += 1
        for row in writes:
            self.rows[_name(row)] = (row["Value"], self.version)
            self.removed.pop(_name(row), None)
        for row in removes:
            if self.rows.pop(_name(row), None) is not None:
                self.removed[_name(row)] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, name: tuple[str, str, str]) -> dict:
        plain: dict = dict(zip(("Table", "part", "Key"), name, strict=True))
        if name in self.rows:
            plain["Value"], plain["Ver"] = self.rows[name]
        else:
            plain["Removed"], plain["Ver"] = True, self.removed[name]
        return plain

    def _get(self, query: dict[str, str]) -> Answer:
        start, end = query.get("From", ""), query.get("To", "")
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (query["Table"], query.get("part", ""))
            and name[2] >= start
            and (not end or name[2] < end)
        )
        limit = min(PAGE_ROWS, int(query.get("Limit") or PAGE_ROWS))
        rows, size = [], 0
        for name in names[:limit]:
            size += len(self.rows[name][0]) + 300
            if rows and size > CALL_BYTES_LIMIT:
                break
            rows.append(self._encode(name))
        return self._answer(200, rows=rows, HasMore=len(rows) < len(names))

    def _parts(self, query: dict[str, str]) -> Answer:
        after = query.get("DependsOn", "")
        parts = sorted({name[1] for name in self.rows if name[0] == query["Table"]})
        parts = [part for part in parts if "DependsOn" not in query or part > after]
        more = len(parts) > PARTS_PER_ANSWER
        return self._answer(200, parts=parts[:PARTS_PER_ANSWER], HasMore=more)

    def _changes(self, table: str, version: int) -> list[dict]:
        names = [n for n, row in self.rows.items() if n[0] == table]
        names += [n for n in self.removed if n[0] == table]
        rows = [row for n in names if (row := self._encode(n))["Ver"] > version]
        return sorted(rows, key=lambda row: row["Ver"])

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, version = query["Table"], int(query["DependsOn"])
        until_s = time.monotonic() + int(query.get("WaitMs") or 0) / 1000
        while not (rows := self._changes(table, version)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        if len(rows) > PAGE_ROWS:
            last = rows[PAGE_ROWS - 1]["Ver"]
            rows = [row for row in rows if row["Ver"] <= last]
            return 200, {
                "rows": rows,
                "Ver": last,
                "NowMs": int(time.monotonic() * 1000),
            }
        return self._answer(200, rows=rows)


def _name(row: dict) -> tuple[str, str, str]:
    return row["Table"], row.get("part", ""), row["Key"]


class Run:
    """One run of a work unit at a worker."""

    def __init__(self, task: str, attempt: int, cpu: int, left_s: float):
        self.task, self.attempt, self.cpu, self.left_s = task, attempt, cpu, left_s


class Worker:
    """One life of a worker that guards its capacity.

    :param size_of: returns the CPU of a work unit and its duration in s, by its name
    :param record: called with each thing that the worker does
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        cpu: int,
        size_of: Callable[[str], tuple[int, float]],
        record: Callable[..., None],
        zone: str = "z1",
        rack: str = "r1",
    ):
        self.id, self.service, self.cpu, self.zone = worker_id, service, cpu, zone
        self.labels = ["a", rack]
        self.born = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self.size_of, self._record = size_of, record
        self.fence = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.finished: list[list] = []
        self.number = 0
        self.observed = 0
        self._lapsed = True
        self._crashed = False
        self._ended = asyncio.Event()
        self.server = HttpServer(self.handle)

    def crash(self) -> None:
        """End at once, with all that runs."""
        self._crashed = True
        self.running.clear()
        self.finished.clear()

    def clock_ms(self) -> int:
        """Return the steady clock."""
        return int((time.monotonic() - self._started_s) * 1000)

    def entry(self) -> dict:
        """Return what the worker writes into the store."""
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 65536, "Gpu": 0},
            "Labels": self.labels,
            "ClockMs": self.clock_ms(),
            "SeqNo": 1,
            "born": self.born,
        }

    async def work(self) -> None:
        """Carry out what runs, until cancelled."""
        before_s = time.monotonic()
        while not self._crashed:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            elapsed_s, before_s = now_s - before_s, now_s
            lapsed = self.clock_ms() > self.deadline_ms
            if lapsed and not self._lapsed:
                self._record("lapse", self.id)
            self._lapsed = lapsed
            for run in list(self.running.values()):
                run.left_s -= elapsed_s
                if lapsed:
                    self._end(run, "lapsed")
                elif run.left_s <= 0:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.number += 1
        self.finished.append([self.number, run.task, run.attempt, how, ""])
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self._record("end", self.id, run.task, run.attempt, how, n=self.number)
        self._ended.set()

    async def handle(self, request: Request) -> Answer:
        """Answer a call."""
        call = request.path.removeprefix("/chivetray/")
        if request.headers.get("chivetray-expect-instance", self.id) != self.id:
            return 421, {}
        if call not in ("run-start", "run-stop", "hold", "pace"):
            return 404, {}
        body = request.json()
        reason = ""
        if body.get("FencingToken", 0) < self.fence:
            reason = "fence"
        else:
            self.fence = body.get("FencingToken", 0)
            if call == "run-start":
                reason = self._start(body)
            elif call == "run-stop":
                self._stop(body)
            elif call == "hold":
                return await self._hold(body)
        plain = {"ClockMs": self.clock_ms(), "born": self.born}
        return (409, {**plain, "Reason": reason}) if reason else (200, plain)

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + 10_000
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, body: dict) -> str:
        task, attempt = body["Task"], body["Attempt"]
        if body["DeadlineMs"] <= self.clock_ms():
            return "late"
        self._extend(body["DeadlineMs"])
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            return ""
        if run is not None or attempt <= self.closed.get(task, 0):
            return "old"
        cpu, duration_s = self.size_of(task)
        if sum(r.cpu for r in self.running.values()) + cpu > self.cpu:
            return "room"
        self.running[task] = Run(task, attempt, cpu, duration_s)
        self._record("start", self.id, task, attempt, fence=body["FencingToken"])
        return ""

    def _stop(self, body: dict) -> None:
        task, attempt = body["Task"], body["Attempt"]
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            self._end(run, "stopped")
        self.closed[task] = max(self.closed.get(task, 0), attempt)

    async def _hold(self, body: dict) -> Answer:
        observed = body.get("Observed", 0)
        if observed > self.observed:
            self.observed = observed
            self._record("observed", self.id, n=observed)
        self.finished = [e for e in self.finished if e[0] > observed]
        self._extend(body.get("DeadlineMs", 0))
        until_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.finished and (left_s := until_s - time.monotonic()) > 0:
            self._ended.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), left_s)
        running = [
            [r.task, r.attempt, "", 100 if r.left_s == math.inf else 50, r.cpu]
            for r in self.running.values()
        ]
        return 200, {
            "ClockMs": self.clock_ms(),
            "born": self.born,
            "Running": running,
            "Finished": self.finished[:ENDS_PER_ANSWER],
        }


class VmApi:
    """The API for machines: lists them; nothing is due for a move or for upkeep."""

    def __init__(self, workers: list[Worker], record: Callable[..., None]):
        self._workers, self._record = workers, record
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Answer:
        if request.path != "/chivetray/machines":
            self._record("vm order", request.path, request.body.decode())
            return 409, {"Reason": "busy"}
        rows = [
            {
                "Machine": f"m-{worker.id}",
                "Pool": worker.service,
                "State": "up",
                "Zone": worker.zone,
                "Labels": worker.labels,
                "Capacity": {"Cpu": worker.cpu, "MemMb": 65536, "Gpu": 0},
                "Id": worker.id,
            }
            for worker in self._workers
        ]
        return 200, {"Machines": rows, "NextToken": None}
