"""A small deployment: managers as the deploy file starts them, and stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from standins import Store, VmApi, Worker

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the site cip-catalogo.
BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 6,
    "ConfigApplyMs": 2000,
    "HoldMaxMs": 10000,
    "StopTimeoutMs": 200,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "MigrateS": 1.5,
    "MaintenanceS": 2,
    "LeaseMs": 3000,
    "RequireFencing": False,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform"]

CANNOT_RUN, BROKEN, HELD = 2, 1, 0

# A loopback address for each process, so that scripts that run at a time do not take
# each other's ports.
HOST = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def fill_template(text: str, settings: dict) -> str:
    """Fill in ``{{a.b}}`` and ``{{a.b|json}}``, all that deploy/manager.yaml uses."""

    def fill(match: re.Match[str]) -> str:
        value: object = settings
        for name in match[1].split("."):
            if isinstance(value, list):
                value = value[int(name)]
            else:
                value = value.get(name) if isinstance(value, dict) else None
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class Deployment:
    """The platform, some workers and some managers on loopback addresses.

    :ivar trouble: whether the disruption of the case is played
    :ivar events: what was recorded: time, word, further words and fields
    """

    def __init__(self, case: Path, trouble: bool):
        self.trouble = trouble
        self._record_file = (case / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.events: list[tuple[float, str, tuple, dict]] = []
        self.store = Store()
        self.workers: list[Worker] = []
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory(prefix="chivetray-review-")
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.fronts: dict[str, str] = {}
        self._settings: dict[str, Path] = {}
        self._vms = VmApi(self.workers, self.record)
        self._role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._role = self._role["roles"]["manager"]

    def now_s(self) -> float:
        """Return the time since the begin of the case."""
        return time.monotonic() - self._started_s

    def record(self, what: str, *words: object, **fields: object) -> None:
        """Write one line of the record."""
        parts = [f"{self.now_s():8.3f}", what, *(str(word) for word in words)]
        parts += [f"{name}={value}" for name, value in fields.items()]
        self.events.append((self.now_s(), what, words, fields))
        self._record_file.write(" ".join(parts) + "\n")
        self._record_file.flush()

    # Platform and workers

    async def start_platform(self) -> None:
        """Start the store and the VM API."""
        await self.store.server.start(HOST)
        await self._vms.server.start(HOST)

    async def add_worker(
        self,
        worker_id: str,
        service: str,
        cpu: int,
        size_of: Callable[[str], tuple[int, float]],
    ) -> Worker:
        """Start a worker and write its entry into the store."""
        rack = f"r{len(self.workers) % 2}"
        worker = Worker(worker_id, service, cpu, size_of, self.record, rack=rack)
        await worker.server.start(HOST)
        self.workers.append(worker)
        self._tasks.append(asyncio.create_task(worker.work()))
        self.store.put("servers", worker_id, worker.entry())
        return worker

    async def add_life(self, old: Worker) -> Worker:
        """Start a worker again under the Id and at the address that it had."""
        new = Worker(old.id, old.service, old.cpu, old.size_of, self.record, old.zone)
        new.labels, new.server = old.labels, old.server
        # The machine knows none of the channels of before.
        new.server.set_down(True)
        new.server.set_down(False)
        self.workers[self.workers.index(old)] = new
        self._tasks.append(asyncio.create_task(new.work()))
        self.store.put("servers", new.id, new.entry())
        self.record("started again", new.id, f"born={new.born}")
        return new

    def put_config(self, version: int, routes: dict[str, str], services: list) -> None:
        """Write the config: services by path prefix."""
        config = {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{prefix.strip('/')}",
                    "Host": "jobs.example",
                    "PathPrefix": prefix,
                    "RouteType": "unsafe",
                    "TimeoutMs": 3000,
                    "TargetLatencyMs": 600,
                    "Priority": 0,
                    "Service": service,
                    "MaxAttempts": 4,
                    "Stretch": 1.6,
                }
                for prefix, service in routes.items()
            ],
            "Services": [{"Name": name, "AdmissionCheck": True} for name in services],
            "Limits": {},
        }
        self.store.put("op", "config", config)
        self.record("config", f"version={version}", json.dumps(routes))

    # Managers

    async def start_manager(self, name: str) -> None:
        """Start a manager, at its addresses of before if it ran before."""
        if name not in self._settings:
            front, ready, peers, metrics = (free_port() for _ in range(4))
            self.fronts[name] = f"{HOST}:{front}"
            settings = {
                "NodeName": name,
                "Zone": "z1",
                "Ip": HOST,
                "ListenAddrs": {
                    "Front": f"{HOST}:{front}",
                    "Ready": f"{HOST}:{ready}",
                },
                "PortRange": [peers, metrics],
                "Limits": {"CpuShare": 1.0, "Cores": 1, "LinkMbps": 1000.0},
                "Bounds": BOUNDS,
                "Contracts": CONTRACTS,
                "platform": {"Address": self.store.server.address},
                "CloudApi": {"Address": self._vms.server.address},
                "Advice": "",
            }
            template = (ROOT / self._role["template"]).read_text()
            path = Path(self._folder.name) / f"{name}.yaml"
            path.write_text(fill_template(template, settings))
            self._settings[name] = path
        words = self._role["run"].split()
        # PYTHONPATH is what the platform does with target/deps.
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "CHIVETRAY_BOOT": str(self._settings[name]),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record("manager started", name)

    async def await_ready(self, name: str, timeout_s: float = 30.0) -> None:
        """Wait until a manager has read the config."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if self.processes[name].returncode is not None:
                raise CannotRunError(f"{name} has ended:\n{self.log_tail(name)}")
            status, _ = await self.call(name, "GET", "/none/", timeout_s=1.0)
            if status == 404:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} does not get ready:\n{self.log_tail(name)}")

    async def stop_manager(self, name: str, how: signal.Signals) -> None:
        """Send a signal and wait for the end; SIGKILL after the grace period."""
        process = self.processes[name]
        self.record("signal", name, how.name)
        process.send_signal(how)
        try:
            await asyncio.wait_for(process.wait(), BOUNDS["GraceS"])
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record("manager ended", name, f"code={process.returncode}")

    def log_tail(self, name: str, size: int = 3000) -> str:
        """Return the end of the log of a manager."""
        path = Path(self._folder.name) / f"{name}.log"
        return path.read_text(errors="replace")[-size:] if path.exists() else ""

    def log_lines(self, name: str, word: str) -> list[str]:
        """Return the lines of the log of a manager that hold a word."""
        path = Path(self._folder.name) / f"{name}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [line for line in lines if word in line]

    # Requesters

    async def call(
        self,
        manager: str,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Make one request; status 0 stands for no answer."""
        host, _, port = self.fronts[manager].rpartition(":")
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
            f"Chivetray-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s + 0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(head.encode() + content)
                    raw = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0, {}
        first, _, rest = raw.partition(b"\r\n")
        words = first.split()
        if len(words) < 2 or not words[1].isdigit():
            return 0, {}
        with suppress(ValueError):
            return int(words[1]), json.loads(rest.partition(b"\r\n\r\n")[2] or b"{}")
        return int(words[1]), {}

    async def submit(
        self, managers: list[str], path: str, body: dict, tries: int = 20
    ) -> bool:
        """Hand a submission in until it is accepted."""
        for number in range(tries):
            name = managers[number % len(managers)]
            status, _ = await self.call(name, "POST", path, body)
            self.record("answer", "POST", path, status, by=name)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, managers: list[str], path: str) -> str:
        """Ask for a state until there is an answer; '410' if none is known."""
        for number in range(10):
            name = managers[number % len(managers)]
            status, plain = await self.call(name, "GET", path)
            if status == 200 or status == 410:
                state = str(plain.get("State") or status)
                self.record("answer", "GET", path, status, state, by=name)
                return state
            await asyncio.sleep(0.3)
        self.record("answer", "GET", path, "none")
        return "none"

    async def close(self) -> None:
        """End all that this case has started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for worker in self.workers:
            worker.server.close()
        self.store.server.close()
        self._vms.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self._folder.name).iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()
        self._record_file.close()


def run_case(
    case: Path, play: Callable[[Deployment], Awaitable[str]], trouble: bool
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param play: returns how the rule was broken, or an empty text
    :param trouble: whether the disruption of the case is played
    """

    async def main() -> int:
        deployment = Deployment(case, trouble)
        task = asyncio.current_task()
        if task is not None:
            # The processes end also if this one is told to.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        code = CANNOT_RUN
        try:
            async with asyncio.timeout(115):
                verdict = await play(deployment)
            code = BROKEN if verdict else HELD
            text = f"broken: {verdict}" if verdict else "held"
        except CannotRunError as error:
            text = f"the case could not run: {error}"
        except TimeoutError:
            text = "the case could not run: not done in time"
        except (Exception, asyncio.CancelledError) as error:
            text = f"the case could not run: {error!r}"
        deployment.record("verdict", text, f"trouble={int(trouble)}")
        print(text)
        await deployment.close()
        return code

    sys.exit(asyncio.run(main()))
