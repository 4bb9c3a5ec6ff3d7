"""Starts fleets of separate processes and sends requests to them."""

from __future__ import annotations

import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpcore
import yaml

from chivetray.records.client import parts_of

ENDPOINT_PORT = 18080
BEHIND_RELAY_PORT = 18081
PEERS_PORT = 8082
PEER_RELAY_PORT = 8092
PLATFORM_PORT = 18090
START_LIMIT_S = 30.0
POLL_S = 0.05

FIRST_NETWORK = 60
LAST_NETWORK = 250
LOCK_PORT = 18099

_networks = itertools.cycle(range(FIRST_NETWORK, LAST_NETWORK))


def claim_network() -> tuple[str, socket.socket]:
    """Return a loopback network that no other fleet on the machine uses."""
    for number in _networks:
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise AssertionError("no network is free")


@dataclass
class FleetPlan:
    """What a fleet consists of."""

    zones: int = 1
    entries_per_zone: int = 1
    endpoints_per_zone: int = 2
    slots: int = 8
    endpoint_relays: bool = False
    peer_relays: bool = False
    service: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    teams: list[dict[str, Any]] = field(default_factory=list)


@dataclass
class Reply:
    """What a caller got; status 0 when the connection broke."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    elapsed_s: float = 0.0

    @property
    def code(self) -> int:
        return int(self.headers.get("x-result-code", "-1"))

    @property
    def ran(self) -> str:
        return self.headers.get("x-ran", "")

    def json(self) -> Any:
        return json.loads(self.body.splitlines()[0])


def wait_until(condition: Callable[[], Any], what: str, limit_s: float = START_LIMIT_S):
    """Return the first true value of a condition."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"not within {limit_s} s: {what}")


def send(
    url: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Reply:
    """Send one request over a connection of its own."""
    started = time.monotonic()
    timeout = {"connect": 2.0, "read": timeout_s, "write": timeout_s, "pool": 2.0}
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                method,
                url,
                headers=headers or {},
                content=body or None,
                extensions={"timeout": timeout},
            )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return Reply(0, elapsed_s=time.monotonic() - started)
    found = {k.decode().lower(): v.decode() for k, v in response.headers}
    return Reply(response.status, found, response.content, time.monotonic() - started)


def send_many(calls: list[Callable[[], Reply]], workers: int = 32) -> list[Reply]:
    """Send requests from several threads and return the replies in order."""
    with ThreadPoolExecutor(workers) as executor:
        return [f.result() for f in [executor.submit(call) for call in calls]]


class Fleet:
    """A platform stand-in, endpoint stand-ins and entries as processes."""

    def __init__(self, plan: FleetPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.network, self._lock = claim_network()
        self.platform = f"http://{self.network}.0.1:{PLATFORM_PORT}"
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.zones = [f"zone-{n + 1}" for n in range(plan.zones)]
        self.entries = [
            f"{zone}-e{n + 1}"
            for zone in self.zones
            for n in range(plan.entries_per_zone)
        ]
        self.endpoints = [
            f"{zone}-w{n + 1}"
            for zone in self.zones
            for n in range(plan.endpoints_per_zone)
        ]

    # Names and places

    def zone_of(self, name: str) -> str:
        return name.rpartition("-")[0]

    def address(self, name: str) -> str:
        number = int(name.rpartition("-")[2][1:])
        base = 100 if "-e" in name else 0
        zone = self.zones.index(self.zone_of(name)) + 1
        return f"{self.network}.{zone}.{base + number}"

    def url(self, entry: str, path: str = "/work") -> str:
        return f"http://{self.address(entry)}:8080{path}"

    def operators_url(self, entry: str, path: str) -> str:
        return f"http://{self.address(entry)}:8081{path}"

    # Files

    def objects(self) -> dict[str, Any]:
        vms = [
            {
                "name": name,
                "pool": "pool",
                "zone": self.zone_of(name),
                "rack": f"{self.zone_of(name)}-r{index // 4}",
                "address": self.address(name),
                "port": ENDPOINT_PORT,
                "slots": self.plan.slots,
            }
            for index, name in enumerate(self.endpoints)
        ]
        service = {"name": "work", "pools": ["pool"], "budget": "work"}
        service |= {"path_prefixes": ["/work"], **self.plan.service}
        most = max(1, len(vms) // 2)
        budget = {"name": "work", "max_unavailable_vms": most, "min_available_vms": 0}
        return {
            "format_version": 1,
            "zones": [{"name": zone} for zone in self.zones],
            "pools": [{"name": "pool"}],
            "vms": vms,
            "services": [service],
            "budgets": [budget],
            "teams": self.plan.teams,
        }

    def write_objects(self, objects: dict[str, Any] | None = None) -> Path:
        path = self.folder / "objects.yaml"
        path.write_text(yaml.safe_dump(objects or self.objects()))
        return path

    def write_settings(self, entry: str, **overrides: dict[str, Any]) -> Path:
        settings: dict[str, Any] = {
            "format_version": 1,
            "entry": {
                "name": entry,
                "zone": self.zone_of(entry),
                "address": self.address(entry),
                "leave_notice_s": 0.5,
            },
            "platform": {"url": self.platform},
            "peers": {"seeds": self.seeds()},
        }
        for section, values in {**self.plan.settings, **overrides}.items():
            settings[section] = {**settings.get(section, {}), **values}
        path = self.folder / f"{entry}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def seeds(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "zone": self.zone_of(name),
                "address": self.address(name),
                "port": self.peers_port(),
            }
            for name in self.entries
        ]

    # Processes

    def start(self) -> None:
        self.start_platform()
        for name in self.endpoints:
            self.start_endpoint(name)
        for entry in self.entries:
            self.list_vm(entry, "entry")
        for name in self.endpoints:
            self.list_vm(name, "endpoint")
        self.publish()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait_ready(entry)

    def run(self, name: str, *arguments: str) -> None:
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "chivetray", *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_platform(self) -> None:
        address = f"{self.network}.0.1"
        port = str(PLATFORM_PORT)
        self.run(
            "platform", "standin", "platform", "--address", address, "--port", port
        )
        url = f"{self.platform}/v1/statistics"
        wait_until(lambda: send(url).status == 200, "platform")

    def start_endpoint(self, name: str) -> None:
        port = self.control_port()
        if self.plan.endpoint_relays and f"{name}-relay" not in self.processes:
            self.start_relay(name, ENDPOINT_PORT, port)
        place = ["--address", self.address(name), "--port", str(port)]
        slots = ["--slots", str(self.plan.slots)]
        ledger = ["--ledger", str(self.folder / f"{name}.ledger")]
        self.run(name, "standin", "endpoint", "--name", name, *slots, *place, *ledger)

    def start_entry(self, entry: str, **overrides: dict[str, Any]) -> None:
        path = self.write_settings(entry, **overrides)
        self.run(entry, "entry", "--settings", str(path))
        if self.plan.peer_relays and f"{entry}-relay" not in self.processes:
            self.start_relay(entry, PEER_RELAY_PORT, PEERS_PORT)

    def start_relay(self, name: str, port: int, target_port: int) -> None:
        address = self.address(name)
        place = ["--address", address, "--port", str(port)]
        target = ["--target-address", address, "--target-port", str(target_port)]
        self.run(f"{name}-relay", "standin", "relay", *place, *target)

    def control_port(self) -> int:
        return BEHIND_RELAY_PORT if self.plan.endpoint_relays else ENDPOINT_PORT

    def peers_port(self) -> int:
        return PEER_RELAY_PORT if self.plan.peer_relays else PEERS_PORT

    def wait_ready(self, entry: str) -> None:
        url = self.operators_url(entry, "/readyz")
        wait_until(lambda: send(url).status == 200, f"{entry} is ready")

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._lock.close()

    # Operators and outside systems

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "chivetray", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def publish(self, objects: dict[str, Any] | None = None, *arguments: str):
        path = str(self.write_objects(objects))
        done = self.command("publish", path, "--platform", self.platform, *arguments)
        assert done.returncode == 0, done.stderr
        return done

    def list_vm(self, name: str, kind: str, state: str = "live") -> None:
        vm = {
            "kind": kind,
            "zone": self.zone_of(name),
            "address": self.address(name),
            "state": state,
            "operators_port": 8081,
            "peers_port": self.peers_port(),
            "endpoint_port": self.control_port(),
        }
        self.put_json(f"{self.platform}/v1/vms/{name}", vm, "PUT")

    def put_json(self, url: str, content: Any, method: str = "POST") -> None:
        reply = send(url, method, body=json.dumps(content).encode())
        assert reply.status == 200, reply

    def platform_faults(self, **faults: Any) -> None:
        self.put_json(f"{self.platform}/v1/faults", faults)

    def read_rows(self, table: str) -> dict[str, Any]:
        """Return the values of a table's rows by key, as the store shows them."""
        rows: dict[str, Any] = {}
        for part in parts_of(table):
            query = f"Table={table}&part={part}"
            reply = send(f"{self.platform}/chivetray/rows-get?{query}")
            for row in reply.json()["rows"] if reply.status == 200 else []:
                rows[row["Key"]] = json.loads(base64.b64decode(row["Value"]))
        return rows

    def endpoint_faults(self, name: str, **faults: Any) -> None:
        self.put_json(self.control_url(name), faults)

    def control_url(self, name: str) -> str:
        return f"http://{self.address(name)}:{self.control_port()}/_standin"

    def endpoint_state(self, name: str) -> dict[str, Any]:
        return send(self.control_url(name)).json()

    def ledger(self) -> Counter[str]:
        """Return the runs of each request over all endpoints."""
        runs: Counter[str] = Counter()
        for path in self.folder.glob("*.ledger"):
            runs.update(path.read_text().split())
        return runs

    def status(self, entry: str) -> dict[str, Any]:
        return send(self.operators_url(entry, "/status")).json()

    def metric(self, entry: str, prefix: str) -> float:
        """Return the sum of the metrics whose line begins with a prefix."""
        text = send(self.operators_url(entry, "/metrics")).body.decode()
        lines = [line for line in text.splitlines() if line.startswith(prefix)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()
