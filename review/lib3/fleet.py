"""Managers as the deploy file starts them, between stand-ins on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import net
from store import Store
from worker import Site, Work, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "jobs.example"
START_LIMIT_S = 20.0
BOUNDS = {
    "GraceS": 6,
    "LeaseMs": 3000,
    "MigrateS": 1.5,
    "MaintenanceS": 2,
    "HoldMaxMs": 10000,
    "DrainMs": 2000,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
CONTRACTS += ["advice", "upkeep", "sharing"]
LIMITS = {
    "CpuShare": 0.537,
    "Cores": 2,
    "MemoryMb": 300,
    "MaxFds": 4100,
    "LinkMbps": 1000.0,
}


class CannotRunError(Exception):
    """The case cannot run on this machine."""


def prefix(service: int) -> str:
    """Return the path prefix of the queue of a service."""
    return f"/work{service or ''}/"


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"pool-{'abcdefgh'[number]}"


def memory_mb(process: int) -> float:
    """Return the memory that a process holds."""
    try:
        text = Path(f"/proc/{process}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    lines = [line.split() for line in text.splitlines()]
    found = [int(line[1]) / 1024 for line in lines if line[0] == "VmRSS:"]
    return found[0] if found else 0.0


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders of a settings file."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name, "")
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([A-Za-z0-9.]+)(\|json)?\}\}", value, text)


def _deploy_command() -> list[str]:
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return str(tomllib.loads(text)["roles"]["manager"]["run"]).split(" ")


class Fleet:
    """One test: managers, workers, the store and a record."""

    def __init__(self, folder: Path, work_of: Callable[[str], Work]):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_s = time.monotonic()
        self.temporary = Path(tempfile.mkdtemp())
        self.store = Store()
        self.site = Site(self.store, work_of, self.note)
        self.events: list[dict[str, Any]] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def now_s(self) -> float:
        """Time since the begin of the test."""
        return time.monotonic() - self.began_s

    def note(self, event: str, **fields: Any) -> None:
        """Record what was sent, answered or run."""
        self.events.append({"at_s": round(self.now_s, 3), "event": event, **fields})
        self._record.write(json.dumps(self.events[-1]) + "\n")
        self._record.flush()

    async def start(
        self,
        managers: int,
        workers: int,
        cpu: int = 32000,
        mem_mb: int = 65536,
        ids: Callable[[int], str] = "srv-{:02}".format,
        services: int = 1,
    ) -> None:
        """Start everything, and wait until every manager serves the queues.

        :param workers: number of each service
        :param ids: returns the id of a worker
        """
        self.store_port = net.free_port()
        await net.serve(self.store_port, self.store.handle)
        self.store.machines = lambda: [w.machine() for w in self.site.workers.values()]
        names = [service_name(number) for number in range(services)]
        routes = [
            {
                "Name": f"work-{number}",
                "Host": HOST,
                "PathPrefix": prefix(number),
                "Service": name,
                "Priority": 0,
                "MaxAttempts": 4,
                "Stretch": 1.6,
                "TargetLatencyMs": 600,
                "TimeoutMs": 3000,
            }
            for number, name in enumerate(names)
        ]
        pools = [
            {"Name": name, "AdmissionCheck": True, "HealthPath": "/health"}
            for name in names
        ]
        config = {"Version": 3, "Routes": routes, "Services": pools, "Limits": {}}
        self.store.put("op", "config", config)
        for number in range(workers * services):
            name, port, rack = ids(number), net.free_port(), f"r{number // 4}"
            service = names[number // workers]
            worker = Worker(self.site, name, service, port, cpu, mem_mb, rack)
            await net.serve(port, worker.handle)
            self._tasks.append(asyncio.create_task(worker.live()))
        for number in range(managers):
            self.start_manager(f"front-{number}")
        for name in self.ports:
            await self.wait_until_served(name, services)
        self.note("started", managers=managers, workers=workers, services=services)

    async def wait_until_served(self, name: str, services: int = 1) -> None:
        """Wait until a manager knows an owner of each cell."""
        for number in range(services):
            await self.wait_for(
                lambda number=number: self._serves(name, number), START_LIMIT_S
            )

    def start_manager(self, name: str) -> None:
        """Start a manager with the command of the deploy file."""
        kinds = ("callers", "ready", "peers", "metrics")
        ports = self.ports.setdefault(name, {kind: net.free_port() for kind in kinds})
        fields = {
            "NodeName": name,
            "Zone": "z1",
            "Ip": "127.0.0.1",
            "ListenAddrs": {
                "Front": f"127.0.0.1:{ports['callers']}",
                "Ready": f"127.0.0.1:{ports['ready']}",
            },
            "PortRange": [ports["peers"], ports["metrics"]],
            "platform": {
                "Address": f"127.0.0.1:{self.store_port}",
                "RowBytes": 65536,
            },
            "CloudApi": {"Address": f"127.0.0.1:{self.store_port}"},
            "Advice": "",
            "Limits": LIMITS,
            "Bounds": BOUNDS,
            "Contracts": CONTRACTS,
        }
        template = (ROOT / "deploy" / "manager.yaml").read_text(encoding="utf-8")
        settings = self.temporary / f"{name}.yaml"
        settings.write_text(fill_template(template, fields), encoding="utf-8")
        deps = ROOT / "target" / "deps"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.temporary),
            "PYTHONPATH": str(deps),
            "CHIVETRAY_BOOT": str(settings),
        }
        if not deps.is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        with (self.temporary / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                _deploy_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note("manager started", name=name, process=self.processes[name].pid)

    async def _serves(self, name: str, service: int) -> bool:
        status, _ = await self.ask(name, "GET", "", quiet=True, service=service)
        return status == 200

    async def wait_for(
        self, check: Callable[[], Awaitable[bool]], limit_s: float
    ) -> None:
        """Wait until a check holds; the case cannot run if it does not."""
        until_s = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > until_s:
                raise CannotRunError("the fleet does not start")
            await asyncio.sleep(0.1)

    async def ask(
        self,
        manager: str,
        method: str,
        job: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = 3.0,
        quiet: bool = False,
        service: int = 0,
    ) -> tuple[int, dict[str, Any]]:
        """Make a call as a requester that waits for a time."""
        headers = {"Chivetray-Deadline-Ms": str(int(timeout_s * 1000))}
        sent_s = round(self.now_s, 3)
        port = self.ports[manager]["callers"]
        status, answer = await net.call(
            port, method, prefix(service) + job, HOST, body, timeout_s, headers
        )
        if not quiet:
            self.note(
                "call",
                sent_s=sent_s,
                manager=manager,
                method=method,
                job=prefix(service) + job,
                status=status,
                answer=answer,
            )
        return status, answer

    async def limit_memory(self, ends: Counter[str], restart_s: float = 1.0) -> None:
        """End processes over the memory of their machine, as the machine does.

        They are started again after a delay.

        :param ends: receives the number of ends by manager
        """
        limit_mb = float(LIMITS["MemoryMb"])
        while True:
            for name, process in list(self.processes.items()):
                used_mb = memory_mb(process.pid)
                if process.poll() is None and used_mb > limit_mb:
                    ends[name] += 1
                    self.note("over its memory", name=name, used_mb=round(used_mb))
                    process.kill()
                    process.wait()
                    asyncio.get_running_loop().call_later(
                        restart_s, self.start_manager, name
                    )
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End all processes that the test has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self._record.close()


def run_case(
    folder: str,
    work_of: Callable[[str], Work],
    play: Callable[[Fleet], Awaitable[list[str]]],
    limit_s: float = 112.0,
) -> None:
    """Play a case and end the process: 1 if the rule was broken, 0 if it held."""

    async def main() -> int:
        fleet = Fleet(Path(folder).resolve().parent, work_of)
        try:
            async with asyncio.timeout(limit_s):
                breaks = await play(fleet)
        except (CannotRunError, TimeoutError, OSError) as error:
            fleet.note("cannot run", reason=repr(error))
            return 2
        finally:
            fleet.close()
        for line in breaks:
            print(line)
        print("rule broken" if breaks else "rule held")
        return 1 if breaks else 0

    sys.exit(asyncio.run(main()))
