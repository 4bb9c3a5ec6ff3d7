"""Managers, workers and a store as separate processes."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from helpers import claim_network

from chivetray.servers import bind_listener
from chivetray.standins.jobs import (
    TRY_HOST,
    TRY_PREFIX,
    TRY_SERVICE,
    example_config,
)

STORE_PORT = 18200
CALLERS_PORT = 18201
READY_PORT = 18202
PEERS_PORT = 18203
METRICS_PORT = 18204
WORKER_PORT = 18205
START_LIMIT_S = 30.0


class JobFleet:
    """A store, workers and managers, each at an address of its own."""

    def __init__(
        self,
        folder: Path,
        managers: int = 2,
        workers: int = 2,
        services: tuple[str, ...] = (TRY_SERVICE,),
        settings: dict[str, Any] | None = None,
    ):
        self.services = services
        self.settings = settings or {}
        self.folder = folder
        self.network, self._lock = claim_network()
        self.managers = [f"m{number}" for number in range(managers)]
        self.workers = [f"w{number}" for number in range(workers)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.listeners: dict[str, socket.socket] = {}
        self.lives: Counter[str] = Counter()
        self.store = f"{self.network}.1.1:{STORE_PORT}"

    def start(self) -> None:
        """Start all processes and wait until each answers and cells have owners."""
        self.run("store", "standin", "store", *self._listen(f"{self.network}.1.1"))
        wait_for(lambda: self._reaches(self.store))
        value = example_config()
        self.put({"Table": "op", "Key": "config", "Value": value})
        for name in self.workers:
            self.start_worker(name)
        for name in self.managers:
            self.start_manager(name)
        for name in self.workers:
            address = f"{self.worker_address(name)}:{WORKER_PORT}"
            wait_for(lambda a=address: self._reaches(a))
        for name in self.managers:
            wait_for(lambda m=name: self.pending(m) is not None)

    def close(self) -> None:
        """End all processes that this fleet started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for listener in self.listeners.values():
            listener.close()
        self._lock.close()

    def run(self, name: str, *arguments: str, **options: Any) -> None:
        """Start one process with its output in a file."""
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "chivetray", *arguments]
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, **options
        )
        log.close()

    def start_worker(self, name: str) -> None:
        """Start a worker."""
        self.prepare_worker(name)
        self.begin_worker(name)

    def prepare_worker(self, name: str) -> None:
        """Start the process of a worker's next life, which begins when it is told to.

        All lives share one listener, so that calls that come between two of them reach
        the later one.
        """
        address = self.worker_address(name)
        if name not in self.listeners:
            self.listeners[name] = bind_listener(address, WORKER_PORT)
        descriptor = self.listeners[name].fileno()
        self.lives[name] += 1
        self.history_file(name).touch()
        self.run(
            f"{name}-next",
            "standin",
            "worker",
            "--name",
            name,
            "--service",
            self.services[int(name[1:]) % len(self.services)],
            "--store",
            self.store,
            "--address",
            address,
            "--port",
            str(WORKER_PORT),
            "--history",
            str(self.history_file(name)),
            "--descriptor",
            str(descriptor),
            "--standby",
            pass_fds=[descriptor],
            stdin=subprocess.PIPE,
        )

    def await_standby(self, name: str) -> None:
        """Wait until the life of a worker that was prepared can begin at once."""
        log = self.folder / f"{name}-next.log"
        wait_for(lambda: log.read_text().count("is on standby") == self.lives[name])

    def begin_worker(self, name: str) -> None:
        """Let the life of a worker begin that was prepared."""
        process = self.processes.pop(f"{name}-next")
        assert process.stdin is not None
        process.stdin.write(b"\n")
        process.stdin.close()
        self.processes[name] = process

    def history_file(self, name: str) -> Path:
        """Return the file to which the lives of a worker append what they run."""
        return self.folder / f"{name}.history"

    def history(self, name: str) -> list[tuple[float, str, str, int]]:
        """Return what all lives of a worker have run."""
        lines = self.history_file(name).read_bytes().splitlines()
        return [tuple(json.loads(line)) for line in lines]

    def kill_worker(self, name: str) -> None:
        """End the life of a worker, and note that in its history."""
        self.kill(name)
        with self.history_file(name).open("a") as file:
            file.write(json.dumps((time.monotonic(), "killed", "", 0)) + "\n")

    def start_manager(self, name: str) -> None:
        """Start a manager with a settings file of its own."""
        address = self.manager_address(name)
        settings = {
            "name": name,
            "zone": "z1",
            "address": address,
            "callers": f"{address}:{CALLERS_PORT}",
            "ready": f"{address}:{READY_PORT}",
            "peers": f"{address}:{PEERS_PORT}",
            "metrics": f"{address}:{METRICS_PORT}",
            "store": self.store,
            "grace_s": 3,
            **self.settings,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.run(name, "manager", "--settings", str(path))

    def kill(self, name: str) -> None:
        """Kill a process of this fleet at once."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def manager_address(self, name: str) -> str:
        return f"{self.network}.2.{int(name[1:]) + 1}"

    def worker_address(self, name: str) -> str:
        return f"{self.network}.3.{int(name[1:]) + 1}"

    @staticmethod
    def _listen(address: str) -> list[str]:
        return ["--address", address, "--port", str(STORE_PORT)]

    # Calls

    def call(
        self,
        manager: str,
        method: str,
        rest: str = "",
        body: Any = None,
        key: str = "",
    ) -> tuple[int, dict[str, Any]]:
        """Call a manager as a caller does; status 0 means that it did not answer."""
        url = f"http://{self.manager_address(manager)}:{CALLERS_PORT}{TRY_PREFIX}{rest}"
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = urllib.request.Request(
            url,
            data=None if body is None else content,
            method=method,
            headers={"Host": TRY_HOST, "Content-Type": "application/json"},
        )
        if key:
            request.add_header("Authorization", f"Token {key}")
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, json.loads(answer.read() or b"{}")
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"{}")
        except OSError:
            return 0, {}

    def call_twice(self, manager: str, method: str, body: bytes) -> list[int]:
        """Call a manager twice over one connection; return the statuses."""
        address = f"{self.manager_address(manager)}:{CALLERS_PORT}"
        connection = http.client.HTTPConnection(address, timeout=5)
        statuses = []
        for _ in range(2):
            path = f"{TRY_PREFIX}00000000000000aa"
            connection.request(method, path, body, {"Host": TRY_HOST})
            answer = connection.getresponse()
            answer.read()
            assert not answer.will_close
            statuses.append(answer.status)
        connection.close()
        return statuses

    def pending(self, manager: str) -> int | None:
        status, body = self.call(manager, "GET")
        return body["Pending"] if status == 200 else None

    def state(self, manager: str, job_id: str) -> str:
        return str(self.call(manager, "GET", job_id)[1].get("State", ""))

    def post(self, address: str, path: str, body: Any) -> None:
        """Tell a stand-in something."""
        request = urllib.request.Request(
            f"http://{address}{path}", data=json.dumps(body).encode()
        )
        urllib.request.urlopen(request, timeout=5).read()

    def put(self, row: dict[str, Any]) -> None:
        """Write a row as the operator does."""
        self.post(self.store, "/standin/put", row)

    def starts(self) -> list[str]:
        """Return the tasks that began, over all workers that live."""
        tasks = []
        for name in self.workers:
            url = f"http://{self.worker_address(name)}:{WORKER_PORT}/standin/ledger"
            with urllib.request.urlopen(url, timeout=5) as answer:
                tasks += [start[0] for start in json.loads(answer.read())["starts"]]
        return tasks

    def metrics(self, manager: str) -> str:
        url = f"http://{self.manager_address(manager)}:{METRICS_PORT}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return str(answer.read().decode())

    def log(self, name: str) -> list[dict[str, Any]]:
        """Return the events that a process has written."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def owner(self, cell: str = TRY_SERVICE) -> str:
        """Return the manager that took a cell last."""
        taken = [
            (event["epoch"], name)
            for name in self.managers
            for event in self.log(name)
            if event.get("message_type") == "CELL_TAKEN" and event["cell"] == cell
        ]
        return max(taken)[1]

    def _reaches(self, address: str) -> bool:
        try:
            urllib.request.urlopen(f"http://{address}/none", timeout=1)
        except urllib.error.HTTPError:
            return True
        except OSError:
            return False
        return True


def wait_for(condition: Callable[[], Any], limit_s: float = START_LIMIT_S) -> Any:
    """Wait until a condition holds and return its value."""
    deadline_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline_s, "the condition did not come to hold"
        time.sleep(0.05)


def job_body(count: int = 3, work_s: float = 0.3, **step: Any) -> dict[str, Any]:
    """Return a submission of one step."""
    fields = {"Count": count, "Cpu": 500, "MemMb": 64, **step}
    return {"TaskSpec": str(work_s), "Steps": [fields]}


assert os.name == "posix"
