"""Stand-ins and processes for the cases 6 to 10, with the standard library only.

The stand-ins do what PROTOCOL.md says and no more: a store, workers, and an API for
machines, all in the process of the case. Managers are started as ``deploy/system.toml``
says, with ``deploy/manager.yaml`` filled in.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Any]]


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: Path):
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def note(self, *words: Any) -> None:
        """Write one line with the time since the begin of the case."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {' '.join(map(str, words))}\n")
        self._file.flush()


# HTTP


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode("latin-1").split("\r\n")


def _read_headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines[1:] if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


class HttpServer:
    """Serves one handler; an answer of ``None`` is no answer."""

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while lines := await _read_head(reader):
                method, target, _ = lines[0].split(" ")
                headers = _read_headers(lines)
                size = int(headers.get("content-length", "0"))
                content = await reader.readexactly(size) if size else b""
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                body = json.loads(content) if content else {}
                answer = await self._handler(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, plain = answer
                encoded = json.dumps(plain).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(encoded)}\r\n\r\n".encode()
                    + encoded
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has gone, or the case ends.
            return
        finally:
            writer.close()


async def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    host: str = "",
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send one request on a channel of its own; status 0 means no answer."""
    name, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            try:
                content = json.dumps(body).encode() if body is not None else b""
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {host or address}",
                    "Content-Type: application/json",
                    f"Content-Length: {len(content)}",
                    f"Chivetray-Deadline-Ms: {int(timeout_s * 1000)}",
                    "Connection: close",
                ]
                lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
                writer.write("\r\n".join([*lines, "", ""]).encode() + content)
                await writer.drain()
                answer = await _read_head(reader)
                if answer is None:
                    return 0, {}
                size = int(_read_headers(answer).get("content-length", "0"))
                text = await reader.readexactly(size) if size else b""
                status = int(answer[0].split(" ")[1])
                return status, json.loads(text) if text else {}
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


# The platform's store

RowName = tuple[str, str, str]


class Store:
    """Rows, transactions and the feed of changes; loses nothing."""

    def __init__(self, tx_s: float = 0.005):
        self.rows: dict[RowName, tuple[int, str]] = {}
        self.version = 0
        self._log: list[tuple[int, RowName]] = []
        self._keys: dict[tuple[str, str], set[str]] = {}
        self._tx_s = tx_s
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table: str, key: str, plain: Any) -> None:
        """Write a row as the operator or a worker does."""
        value = base64.b64encode(json.dumps(plain).encode()).decode()
        self._commit({(table, "", key): value}, [])

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._commit({}, [(table, "", key)])

    def read(self, table: str, part: str, key: str) -> Any:
        """Return a row that holds JSON."""
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def clone(self, name: RowName, copy: RowName, old: bytes, new: bytes) -> None:
        """Write a copy of a row in which one text stands for another."""
        value = base64.b64decode(self.rows[name][1]).replace(old, new)
        self._commit({copy: base64.b64encode(value).decode()}, [])

    def _commit(self, writes: dict[RowName, str], removed: list[RowName]) -> None:
        self.version += 1
        for name, value in writes.items():
            self.rows[name] = (self.version, value)
            self._keys.setdefault(name[:2], set()).add(name[2])
            self._log.append((self.version, name))
        for name in removed:
            self.rows.pop(name, None)
            self._keys.get(name[:2], set()).discard(name[2])
            self._log.append((self.version, name))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], _headers: Any, body: Any
    ) -> Any:
        call = path.rpartition("/")[2]
        if call == "rows-tx":
            await asyncio.sleep(self._tx_s)
            return self._transact(body)
        await asyncio.sleep(0.001)
        if call == "rows-get":
            return self._get(query)
        if call == "rows-parts":
            after = query.get("DependsOn")
            table = query["Table"]
            parts = sorted(
                n[1] for n, keys in self._keys.items() if n[0] == table and keys
            )
            parts = [p for p in parts if after is None or p > after]
            return self._answer(200, parts=parts[:1000], HasMore=len(parts) > 1000)
        if call == "rows-feed":
            return await self._feed(query)
        return self._answer(404)

    def _answer(self, status: int, **fields: Any) -> Any:
        now_ms = int(time.monotonic() * 1000)
        return status, {"Ver": self.version, "NowMs": now_ms, **fields}

    def _encode(self, name: RowName) -> dict[str, Any]:
        plain: dict[str, Any] = {"Table": name[0], "part": name[1], "Key": name[2]}
        row = self.rows.get(name)
        if row is None:
            return {**plain, "Removed": True, "Ver": self.version}
        return {**plain, "Ver": row[0], "Value": row[1]}

    def _transact(self, body: Any) -> Any:
        names = {
            kind: [
                (r["Table"], r.get("part", ""), r["Key"]) for r in body.get(kind, [])
            ]
            for kind in ("ExpectedRev", "Writes", "Remove")
        }
        every = [name for group in names.values() for name in group]
        if len(every) > 100 or len({name[1] for name in every}) > 1:
            return self._answer(400)
        if any(n[0] in ("op", "servers") for n in names["Writes"] + names["Remove"]):
            return self._answer(403)
        for name, row in zip(
            names["ExpectedRev"], body.get("ExpectedRev", []), strict=True
        ):
            found = self.rows.get(name)
            if (found[0] if found else 0) != row["Ver"]:
                present = [n for n in names["ExpectedRev"] if n in self.rows]
                return self._answer(412, rows=[self._encode(n) for n in present])
        values = [row["Value"] for row in body.get("Writes", [])]
        if any(len(value) > 65536 for value in values):
            return self._answer(400)
        self._commit(dict(zip(names["Writes"], values, strict=True)), names["Remove"])
        return self._answer(200)

    def _get(self, query: dict[str, str]) -> Any:
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("From", ""), query.get("To", "")
        limit = min(500, int(query.get("Limit") or 500))
        keys = sorted(
            key
            for key in self._keys.get((table, part), ())
            if key >= start and (not end or key < end)
        )
        rows = [self._encode((table, part, key)) for key in keys[:limit]]
        return self._answer(200, rows=rows, HasMore=len(keys) > limit)

    async def _feed(self, query: dict[str, str]) -> Any:
        table, after = query["Table"], int(query["DependsOn"])
        end_s = time.monotonic() + int(query.get("WaitMs") or 0) / 1000
        while True:
            names: dict[RowName, None] = {}
            for version, name in reversed(self._log):
                if version <= after:
                    break
                if name[0] == table:
                    names[name] = None
            left_s = end_s - time.monotonic()
            if names or left_s <= 0:
                rows = sorted((self._encode(n) for n in names), key=lambda r: r["Ver"])
                return self._answer(200, rows=rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


# Workers


class Worker:
    """One life of a worker: leases, fence numbers, starts, stops and ends."""

    def __init__(
        self,
        store: Store,
        record: Record,
        worker_id: str,
        service: str,
        machine: str = "",
        cpu: int = 16000,
        run_s: float = 0.5,
    ):
        self.id, self.service, self.machine = worker_id, service, machine
        self.cpu, self.run_s = cpu, run_s
        self.capacity = {"Cpu": cpu, "MemMb": 65536}
        self.state = "ready"
        self.starts: list[tuple[str, int]] = []
        self.ended: list[tuple[str, int, str]] = []
        self._store, self._record = store, record
        self._gone = False
        self.begin_life()
        self.server = HttpServer(self._handle)
        self._task: asyncio.Task[None] | None = None

    def begin_life(self) -> None:
        """Begin a life that runs and knows nothing."""
        self._born_ms = time.time_ns() // 1_000_000
        self._began_s = time.monotonic()
        self._fence = self._deadline_ms = self._number = self._seq = 0
        # By work unit: run and time left.
        self.running: dict[str, list[Any]] = {}
        self._closed: dict[str, int] = {}
        self._finished: list[list[Any]] = []

    async def start(self, host: str) -> None:
        """Listen, register in the store and run."""
        await self.server.start(host)
        self.publish()
        self._task = asyncio.create_task(self._run())

    def leave(self) -> None:
        """End at once, with all that runs."""
        self._gone = True
        self.running.clear()
        self.server.close()
        if self._task is not None:
            self._task.cancel()
        self._store.drop("servers", self.id)

    def publish(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        plain = {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": "z1",
            "Version": "1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "SeqNo": self._seq,
            "Capacity": self.capacity,
            "Labels": ["a", "r1"],
            "Machine": self.machine,
            "born": self._born_ms,
        }
        self._store.put("servers", self.id, plain)

    def clock_ms(self) -> int:
        """Return the steady clock of this worker."""
        return int((time.monotonic() - self._began_s) * 1000) + 1000

    async def _run(self) -> None:
        before_s = time.monotonic()
        beat_s = before_s
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if now_s - beat_s > 1.5:
                beat_s = now_s
                self.publish()
            if self.running and self.clock_ms() > self._deadline_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, run in list(self.running.items()):
                run[1] -= now_s - before_s
                if run[1] <= 0:
                    self._end(task, "done")
            before_s = now_s

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self._number += 1
        self._finished.append([self._number, task, run[0], how, ""])
        self._closed[task] = max(self._closed.get(task, 0), run[0])
        self.ended.append((task, run[0], how))
        self._record.note("worker", self.id, "ends", task, "run", run[0], how)

    async def _handle(
        self, _method: str, path: str, _query: Any, headers: Any, body: Any
    ) -> Any:
        await asyncio.sleep(0.001)
        if self._gone:
            return None
        if headers.get("chivetray-expect-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock_ms(), "born": self._born_ms}
        call = path.rpartition("/")[2]
        if body.get("FencingToken", 0) < self._fence:
            return self._answer(409, Reason="fence")
        self._fence = body.get("FencingToken", 0)
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        if call == "pace":
            return self._answer(200)
        return self._answer(404)

    def _answer(self, status: int, **fields: Any) -> Any:
        return status, {"ClockMs": self.clock_ms(), "born": self._born_ms, **fields}

    def _extend(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms() + 10_000
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, body: Any) -> Any:
        task, attempt = body["Task"], body["Attempt"]
        if body["DeadlineMs"] <= self.clock_ms():
            return self._answer(409, Reason="late")
        self._extend(body["DeadlineMs"])
        known = self.running.get(task)
        if known is not None and known[0] == attempt:
            return self._answer(200)
        if known is not None or attempt <= self._closed.get(task, 0):
            return self._answer(409, Reason="old")
        text = body.get("TaskSpec", "")
        run_s = 1e9 if text == "lasts" else self.run_s
        if text.startswith("run "):
            run_s = float(text[4:])
        self.running[task] = [attempt, run_s]
        self.starts.append((task, attempt))
        self._record.note("worker", self.id, "starts", task, "run", attempt)
        return self._answer(200)

    def _stop(self, body: Any) -> Any:
        task, attempt = body["Task"], body["Attempt"]
        known = self.running.get(task)
        if known is not None and known[0] <= attempt:
            self._end(task, "stopped")
        self._closed[task] = max(self._closed.get(task, 0), attempt)
        return self._answer(200)

    async def _hold(self, body: Any) -> Any:
        observed = body.get("Observed", 0)
        self._finished = [end for end in self._finished if end[0] > observed]
        self._extend(body.get("DeadlineMs", 0))
        end_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self._finished and time.monotonic() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        running = [[task, run[0], "", 100, 0] for task, run in self.running.items()]
        return self._answer(200, Running=running, Finished=self._finished[:500])


# Managers


def _fill(text: str, values: dict[str, Any]) -> str:
    """Fill in a template of the deploy file that has plain placeholders only."""

    def look_up(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        found: Any = values
        for name in path.split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name)
            if found is None:
                break
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", look_up, text)


class Manager:
    """One manager process, started as the deploy file says."""

    def __init__(self, fleet: Fleet, number: int, memory_mb: int, cpu_share: float):
        self.name = f"front-z1-{number}"
        self._fleet = fleet
        self._ip = fleet.host(10 + number)
        self._memory_mb, self._cpu_share = memory_mb, cpu_share
        ports = _free_ports(self._ip, 4)
        self.front = f"{self._ip}:{ports[0]}"
        self.ready = f"{self._ip}:{ports[1]}"
        self._range = [ports[2], ports[3]]
        self.process: asyncio.subprocess.Process | None = None
        self.most_mb = 0.0

    async def start(self) -> None:
        """Fill in the settings and start the process."""
        fleet = self._fleet
        fields = {
            "NodeName": self.name,
            "Ip": self._ip,
            "Zone": "z1",
            "ListenAddrs": {"Front": self.front, "Ready": self.ready},
            "PortRange": self._range,
            "platform": {"Address": fleet.store.server.address, "RowBytes": 65536},
            "CloudApi": {"Address": fleet.vm_address},
            "Advice": "",
            "Contracts": fleet.contracts,
            "Limits": {
                "CpuShare": self._cpu_share,
                "Cores": 2,
                "MemoryMb": self._memory_mb,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
            },
            "Bounds": {
                "GraceS": 6,
                "LeaseMs": 3000,
                "MigrateS": 1.5,
                "MaintenanceS": 2,
                "HoldMaxMs": 10000,
                "DrainMs": 2000,
            },
        }
        text = _fill((ROOT / "deploy" / "manager.yaml").read_text(), fields)
        path = fleet.folder / f"{self.name}.yaml"
        path.write_text(text)
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        python_path = os.pathsep.join([str(ROOT / "target" / "deps")])
        log = (fleet.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "deploy/run.py",
            cwd=ROOT,
            env={**kept, "CHIVETRAY_BOOT": str(path), "PYTHONPATH": python_path},
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        if not self.is_running or self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def kill(self) -> None:
        """End the process at once, if it runs."""
        if self.is_running and self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((host, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Fleet:
    """The stand-ins and the managers of one case."""

    def __init__(self, record: Record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="chivetray-case-"))
        self.store = Store()
        self.workers: list[Worker] = []
        self.managers: list[Manager] = []
        self.vm_address = "127.0.0.1:1"
        self.contracts = [
            "base",
            "drain",
            "config",
            "cost",
            "recover",
            "sched",
            "platform",
            "upkeep",
            "sharing",
        ]
        self._network = 100 + os.getpid() % 100

    def host(self, number: int) -> str:
        """Return a loopback address of this case."""
        return f"127.{self._network}.0.{number}"

    async def start(
        self, managers: int = 3, memory_mb: int = 300, cpu_share: float = 0.537
    ) -> None:
        """Start the store's server and the managers."""
        if not self.store.server.address:
            await self.store.server.start(self.host(1))
        for number in range(1, managers + 1):
            manager = Manager(self, number, memory_mb, cpu_share)
            self.managers.append(manager)
            await manager.start()

    async def add_worker(self, worker: Worker) -> Worker:
        """Start a worker."""
        self.workers.append(worker)
        await worker.start(self.host(100 + len(self.workers)))
        return worker

    def put_config(
        self, routes: list[dict[str, Any]], services: list[Any], **more: Any
    ) -> None:
        """Write the first config, as the operator does."""
        plain = {"Version": 1, "Routes": routes, "Services": services, "Limits": {}}
        self.store.put("op", "config", {**plain, **more})

    async def wait_ready(self, limit_s: float = 25.0) -> bool:
        """Wait until all managers answer 200 at their ``Ready`` address."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            found = [(await request(m.ready, "GET", "/"))[0] for m in self.managers]
            if all(status == 200 for status in found):
                return True
            await asyncio.sleep(0.2)
        return False

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for manager in self.managers:
            await manager.kill()
        for worker in self.workers:
            worker.server.close()
        self.store.server.close()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, host: str, prefix: str, service: str) -> dict[str, Any]:
    """Return the route of a queue, as a config holds it."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Service": service,
        "MaxAttempts": 3,
        "Stretch": 2.0,
        "TargetLatencyMs": 1000,
        "TimeoutMs": 3000,
        "Priority": 1,
    }


def run_case(case: Callable[[Fleet], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)

    async def run() -> int:
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(115):
                return await case(fleet)
        except TimeoutError:
            record.note("the case took too long")
            return COULD_NOT_RUN
        finally:
            await fleet.close()

    result = asyncio.run(run())
    words = {HELD: "the rule held", BROKEN: "the rule was BROKEN"}
    record.note("result:", words.get(result, "the case could not run"))
    print(f"{folder.name}: {words.get(result, 'could not run')}")
    sys.exit(result)
