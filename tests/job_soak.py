"""A soak of managers, workers and a store as processes, with random faults.

Clients hand jobs in and ask for them over connections that they keep until a process
is gone. Faults come in series and overlap, all from one seed. Workers are killed, begin
again under their id and are cut off soon after. The checks use what clients and all
lives of the workers have seen.
"""

from __future__ import annotations

import base64
import http.client
import itertools
import json
import random
import select
import signal
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from job_fleet import CALLERS_PORT, WORKER_PORT, JobFleet, job_body, wait_for
from test_odd_entries import UNUSABLE_ADDRESSES, nested

from chivetray.standins.jobs import TRY_HOST, TRY_SERVICE

SERVICES = (TRY_SERVICE, "other")
PREFIXES = ("/a/", "/b/")
CLIENTS = 4

# For how long clients wait for an answer, unless they give up sooner.
CALL_TIMEOUT_S = 5.0

# For how long a client waits for the answer to a submission that it cancels then.
PATIENCE_S = (0.02, 0.3, 1.0, 3.0)

SETTLE_LIMIT_S = 60.0

# Tasks of a job: its progress has one row, or several.
SMALL_TASKS, LARGE_TASKS = (1, 6), (260, 1600)
LARGE_SHARE = 0.04

# Tasks that work for longer than the longest lease.
LASTING_SHARE, LASTING_WORK_S = 0.08, (12.0, 15.0)

# Limits of a step's tasks on one worker, of which half may have copies, run times of
# tasks that may, and times that workers take for a stop.
LIMITS = (0, 0, 1, 2)
COPIED_WORK_S = (0.2, 1.0, 4.0)
STOP_TIMES_S = (0.0, 0.2, 0.9)

# Routes of a version beside those of the clients, and the time after which a version
# has to be in force everywhere once all faults have ended.
MORE_ROUTES = (0, 0, 40, 1400, 2800)
CONFIG_LIMIT_S = 3.0

# Times between kills of workers, from a kill to the next life, from there to the cut
# and for which it lasts, and the share of lives in which the owner is killed as well.
KILL_GAPS_S = (0.3, 6.0)
DOWN_S, ANSWERS_S, CUT_S = (0.2, 1.0), (0.05, 2.5), (5.0, 14.0)
OWNER_KILL_SHARE = 0.5

# Time after its start within which SIGTERM may end a manager before it handles signals.
SIGNALS_HANDLED_AFTER_S = 5.0


# Time, kind, task and attempt of each event.
History = list[tuple[float, str, str, int]]


class Run(NamedTuple):
    """A run of a task in one life of a worker."""

    attempt: int
    life: str


Event = tuple[float, str, Run]


@dataclass
class Outcome:
    """What a run has shown."""

    seed: int
    accepted: dict[str, int] = field(default_factory=dict)
    prefixes: dict[str, str] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)
    copied: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    requests: int = 0
    cuts: list[tuple[str, float, float]] = field(default_factory=list)
    cancelled: dict[str, str] = field(default_factory=dict)
    absent: set[str] = field(default_factory=set)


def _more_routes(rng: random.Random, count: int) -> list[dict[str, Any]]:
    return [
        {
            "Name": f"more-{number}",
            "Host": f"{rng.getrandbits(64):016x}.example",
            "PathPrefix": f"/{rng.getrandbits(64):016x}/",
            "Service": rng.choice(SERVICES),
            "TimeoutMs": 3000,
        }
        for number in range(count)
    ]


def split_lives(history: History) -> list[History]:
    """Split what a worker has run at its kills, which end all that runs."""
    lives: list[History] = [[]]
    running: set[tuple[str, int]] = set()
    for at_s, kind, task, attempt in history:
        if kind == "killed":
            lives[-1] += [(at_s, kind, *run) for run in sorted(running)]
            lives.append([])
            running.clear()
            continue
        lives[-1].append((at_s, kind, task, attempt))
        if kind == "start":
            running.add((task, attempt))
        elif kind != "noted":
            running.discard((task, attempt))
    return lives


def is_closed(connection: http.client.HTTPConnection) -> bool:
    """Return whether the server has closed an idle connection."""
    sock = connection.sock
    return sock is None or bool(select.select([sock], [], [], 0)[0])


class JobSoak:
    """Clients and faults on a fleet, both from one seed."""

    def __init__(self, fleet: JobFleet, seed: int):
        self.fleet, self.outcome = fleet, Outcome(seed)
        self._rng = random.Random(seed)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._version = 1
        self._routes = dict(zip(PREFIXES, SERVICES, strict=True))
        self._stopped_at_s: dict[str, list[float]] = defaultdict(list)
        self._started_at_s = dict.fromkeys(fleet.managers, time.monotonic())
        self._ending = {name: threading.Lock() for name in fleet.managers}
        self._stop_s = {name: self._rng.choice(STOP_TIMES_S) for name in fleet.workers}
        self._calm = threading.Event()
        # Held while a worker has faults: one that ends would take back all of them.
        self._broken = {name: threading.Lock() for name in fleet.workers}
        # Held while a process is suspended, which cannot note that a lease expires.
        self._suspended = {
            name: threading.Lock() for name in fleet.managers + fleet.workers
        }

    def run(self, duration_s: float) -> Outcome:
        self._put_config()
        for name in self.fleet.workers:
            self._set_worker_faults(name, {})
        for prefix in PREFIXES:
            wait_for(lambda p=prefix: self._get("m0", p)[0] == 200)
        clients = [
            threading.Thread(target=self._submit_jobs, args=(n,))
            for n in range(CLIENTS)
        ]
        clients.append(threading.Thread(target=self._give_up_jobs))
        for client in clients:
            client.start()
        self._disturb(duration_s)
        self._stop.set()
        for client in clients:
            client.join()
        self._check_cuts()
        self._check_jobs()
        self._check_versions()
        self._check_runs()
        self._check_cancelled()
        return self.outcome

    # Clients

    def _submit_jobs(self, number: int) -> None:
        rng = random.Random(f"{self.outcome.seed}/{number}")
        connections: dict[str, http.client.HTTPConnection] = {}
        mine: list[str] = []
        numbers = itertools.count()
        while not self._stop.is_set():
            manager = rng.choice(self.fleet.managers)
            if mine and rng.random() < 0.4:
                job_id = rng.choice(mine)
                path = self.outcome.prefixes[job_id] + job_id
                status, _ = self._call(connections, manager, "GET", path)
                if status == 410:
                    self._report(f"{job_id} was accepted and is answered 410")
            else:
                # A job that was not accepted may have been by a try without an answer.
                job_id = f"{self.outcome.seed:04x}{number:04x}{next(numbers):08x}"
                prefix = rng.choice(PREFIXES)
                is_large = rng.random() < LARGE_SHARE
                count = rng.randint(*(LARGE_TASKS if is_large else SMALL_TASKS))
                work_s = 0.05 if is_large else rng.choice([0.05, 0.2, 1.0])
                is_lasting = not is_large and rng.random() < LASTING_SHARE
                if is_lasting:
                    work_s = round(rng.uniform(*LASTING_WORK_S), 3)
                limit = 0 if is_large or is_lasting else rng.choice(LIMITS)
                is_copied = bool(limit) and rng.random() < 0.5
                step: dict[str, Any] = {"Cpu": 100 if is_large else 500}
                if limit:
                    step |= {"AntiAffinity": limit, "AllowConcurrent": is_copied}
                if is_copied:
                    work_s = rng.choice(COPIED_WORK_S)
                with self._lock:
                    self.outcome.limits[job_id] = limit
                    if is_copied:
                        self.outcome.copied.add(job_id)
                body = job_body(count, work_s, **step)
                if self._submit(rng, connections, prefix + job_id, body):
                    mine.append(job_id)
                    with self._lock:
                        self.outcome.prefixes[job_id] = prefix
                        self.outcome.accepted[job_id] = count
            time.sleep(rng.uniform(0.05, 0.4))

    def _submit(self, rng: Any, connections: Any, path: str, body: Any) -> bool:
        """Repeat a submission without an answer, anywhere, until one answers it."""
        while not self._stop.is_set():
            manager = rng.choice(self.fleet.managers)
            status, _ = self._call(connections, manager, "POST", path, body)
            if status in (200, 404):
                return status == 200
            time.sleep(0.1)
        return False

    def _give_up_jobs(self) -> None:
        """Cancel jobs whose submission is hardly waited for, at any manager."""
        rng = random.Random(f"{self.outcome.seed}/give up")
        for number in itertools.count():
            job_id = f"{self.outcome.seed:04x}ffff{number:08x}"
            path = rng.choice(PREFIXES) + job_id
            body = job_body(rng.randint(1, 3), 0.2, Cpu=500)
            patience_s = rng.choice(PATIENCE_S)
            self._call(
                {}, rng.choice(self.fleet.managers), "POST", path, body, patience_s
            )
            status = 0
            while status not in (200, 410):
                if self._stop.is_set():
                    return
                time.sleep(0.05)
                status, _ = self._call(
                    {}, rng.choice(self.fleet.managers), "DELETE", path
                )
            if status == 410:
                self.outcome.absent.add(job_id)
            else:
                self.outcome.cancelled[job_id] = path
            time.sleep(rng.uniform(0.05, 0.4))

    def _call(
        self,
        connections: Any,
        manager: str,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Make a request on the client's connection to a manager; 0 for no answer."""
        connection = connections.get(manager)
        if connection is not None and is_closed(connection):
            connection = connections.pop(manager).close()
        sent_at_s = time.monotonic()
        try:
            if connection is None:
                address = self.fleet.manager_address(manager)
                connection = http.client.HTTPConnection(
                    address, CALLERS_PORT, timeout=timeout_s
                )
                connection.connect()
                connections[manager] = connection
            content = None if body is None else json.dumps(body)
            connection.request(method, path, content, {"Host": TRY_HOST})
            answer = connection.getresponse()
            self.outcome.requests += 1
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            gave_up = isinstance(error, TimeoutError) and timeout_s < CALL_TIMEOUT_S
            if connections.pop(manager, None) is not None and not gave_up:
                cut = (manager, sent_at_s, time.monotonic())
                self.outcome.cuts.append(cut)
            return 0, b""

    def _get(self, manager: str, path: str) -> tuple[int, bytes]:
        return self._call({}, manager, "GET", path)

    def _report(self, problem: str) -> None:
        with self._lock:
            self.outcome.problems.append(problem)

    # Faults

    def _disturb(self, duration_s: float) -> None:
        faults = [self._kill, self._kill_all, self._terminate, self._pause]
        faults += [self._change_route, self._change_route]
        faults += [self._write_odd_entry, self._write_odd_entry]
        faults += [self._break_store, self._break_store, self._break_worker]
        ends_at_s = time.monotonic() + duration_s
        restarts = threading.Thread(target=self._restart_workers)
        restarts.start()
        while time.monotonic() < ends_at_s:
            chosen = self._rng.sample(faults, self._rng.choice([1, 1, 2, 3]))
            threads = [threading.Thread(target=fault) for fault in chosen]
            for thread in threads:
                thread.start()
                time.sleep(self._rng.uniform(0.0, 0.8))
            for thread in threads:
                thread.join()
            time.sleep(self._rng.uniform(0.1, 1.0))
        self._calm.set()
        restarts.join()
        self._set_faults(self.fleet.store, {})
        for name in self.fleet.workers:
            self._set_worker_faults(name, {})

    def _worker_address(self, name: str) -> str:
        return f"{self.fleet.worker_address(name)}:{WORKER_PORT}"

    def _set_faults(self, address: str, faults: dict[str, Any]) -> None:
        """Tell a stand-in its faults; one that is paused hears of them later."""
        while True:
            try:
                self.fleet.post(address, "/standin/faults", faults)
                return
            except OSError:
                time.sleep(0.1)

    def _set_worker_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Tell a worker its faults, beside the time that its stops take."""
        faults = {"stop_s": self._stop_s[name], **faults}
        self._set_faults(self._worker_address(name), faults)

    def _log(self, what: str) -> None:
        self.outcome.faults.append(f"{time.monotonic():.2f} {what}")

    def _end(self, name: str, how: signal.Signals) -> None:
        """End a manager and start it again; one that is gone already is left alone."""
        process = self.fleet.processes[name]
        if process.poll() is not None:
            return
        self._log(f"{how.name} {name}")
        self._stopped_at_s[f"{name} {how.name}"].append(time.monotonic())
        process.send_signal(how)
        if not self._ending[name].acquire(blocking=False):
            # Another signal is ending it, and it is started again after that.
            return
        try:
            process.wait()
            age_s = time.monotonic() - self._started_at_s[name]
            allowed = {0, -signal.SIGKILL}
            if age_s < SIGNALS_HANDLED_AFTER_S:
                allowed.add(-signal.SIGTERM)
            if process.returncode not in allowed:
                self._report(f"{name} ended with {process.returncode}")
            time.sleep(self._rng.uniform(0.0, 1.0))
            self.fleet.start_manager(name)
            self._started_at_s[name] = time.monotonic()
        finally:
            self._ending[name].release()

    def _kill(self) -> None:
        self._end(self._rng.choice(self.fleet.managers), signal.SIGKILL)

    def _kill_all(self) -> None:
        threads = [
            threading.Thread(target=self._end, args=(name, signal.SIGKILL))
            for name in self.fleet.managers
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _terminate(self) -> None:
        self._end(self._rng.choice(self.fleet.managers), signal.SIGTERM)

    def _pause(self) -> None:
        name = self._rng.choice(self.fleet.managers + self.fleet.workers)
        with self._suspended[name]:
            process = self.fleet.processes[name]
            self._log(f"SIGSTOP {name}")
            self._stopped_at_s[f"{name} SIGSTOP"].append(time.monotonic())
            process.send_signal(signal.SIGSTOP)
            time.sleep(self._rng.uniform(0.3, 4.0))
            process.send_signal(signal.SIGCONT)

    def _change_route(self) -> None:
        prefix = self._rng.choice(PREFIXES)
        with self._lock:
            service = self._rng.choice([*SERVICES, ""])
            self._routes[prefix] = service
        self._put_config()

    def _put_config(self) -> None:
        with self._lock:
            self._version += 1
            routes = [
                {
                    "Name": prefix,
                    "Host": TRY_HOST,
                    "PathPrefix": prefix,
                    "Service": service,
                    "MaxAttempts": 3,
                    "TimeoutMs": 3000,
                }
                for prefix, service in self._routes.items()
                if service
            ]
            routes += _more_routes(self._rng, self._rng.choice(MORE_ROUTES))
            self._log(f"config {self._version} {self._routes} {len(routes)}")
            config = {"Version": self._version, "Routes": routes, "Limits": {}}
            value = base64.b64encode(json.dumps(config).encode()).decode()
            self.fleet.put({"Table": "op", "Key": "config", "Value": value})

    def _write_odd_entry(self) -> None:
        plain = {
            "Service": self._rng.choice(SERVICES),
            "Address": self._rng.choice(UNUSABLE_ADDRESSES),
            "State": "ready",
            "Capacity": {"Cpu": 16000, "MemMb": 65536, "Gpu": 0},
            "Labels": ["a", "r1"],
        }
        text = json.dumps(plain)
        if self._rng.random() < 0.5:
            text = json.dumps({**plain, "Address": "127.0.0.1:9", "Zone": "MARK"})
            text = text.replace('"MARK"', nested(self._rng.choice([500, 1000])))
        key = f"odd-{self._rng.randint(0, 3)}"
        self._log(f"entry {key} {text[:60]}")
        value = base64.b64encode(text.encode()).decode()
        self.fleet.put({"Table": "servers", "Key": key, "Value": value})

    def _break_store(self) -> None:
        managers = self._rng.sample(self.fleet.managers, 1)
        fault: dict[str, Any] = self._rng.choice(
            [
                {"down": True},
                {"refused": [self.fleet.manager_address(name) for name in managers]},
                {"delay_s": 0.25},
                {"lose_answers": 3, "late_s": self._rng.choice([0.0, 1.5])},
            ]
        )
        self._log(f"store {fault}")
        self._set_faults(self.fleet.store, fault)
        time.sleep(self._rng.uniform(0.5, 5.0))
        self._set_faults(self.fleet.store, {})

    def _break_worker(self) -> None:
        left = [name for name, lock in self._broken.items() if not lock.locked()]
        name = self._rng.choice(left or self.fleet.workers)
        late_s = self._rng.uniform(1.0, 6.0)
        fault: dict[str, Any] = self._rng.choice(
            [{"silent": True}, {"late_starts": 20, "late_s": late_s}]
        )
        with self._broken[name]:
            self._log(f"{name} {fault}")
            self._set_worker_faults(name, fault)
            time.sleep(self._rng.uniform(0.5, 4.0))
            self._set_worker_faults(name, {})

    def _restart_workers(self) -> None:
        """Kill workers in a series; what follows for one overlaps with the others."""
        threads = []
        while not self._calm.wait(self._rng.uniform(*KILL_GAPS_S)):
            name = self._rng.choice(self.fleet.workers)
            threads.append(threading.Thread(target=self._restart_worker, args=(name,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _restart_worker(self, name: str) -> None:
        """Kill a worker, let it begin again, and cut it off from all managers."""
        if not self._broken[name].acquire(blocking=False):
            return
        try:
            self.fleet.prepare_worker(name)
            self.fleet.await_standby(name)
            with self._suspended[name]:
                self._log(f"SIGKILL {name}")
                self.fleet.kill_worker(name)
                time.sleep(self._rng.uniform(*DOWN_S))
                self.fleet.begin_worker(name)
            self._log(f"{name} begins again")
            self._set_worker_faults(name, {})
            delay_s = self._rng.uniform(0.0, ANSWERS_S[1])
            owner_kill = threading.Timer(delay_s, self._kill_owner, (name,))
            owner_kill.start()
            time.sleep(self._rng.uniform(*ANSWERS_S))
            self._log(f"{name} is cut off")
            self._set_worker_faults(name, {"silent": True})
            self._calm.wait(self._rng.uniform(*CUT_S))
            self._set_worker_faults(name, {})
            self._log(f"{name} is no longer cut off")
            owner_kill.join()
        finally:
            self._broken[name].release()

    def _kill_owner(self, worker: str) -> None:
        if self._rng.random() < OWNER_KILL_SHARE:
            service = SERVICES[int(worker[1:]) % len(SERVICES)]
            self._end(self.fleet.owner(service), signal.SIGKILL)

    # Checks

    def _check_cuts(self) -> None:
        """A manager that was told to stop answers what came before its end."""
        for manager, sent_at_s, cut_at_s in self.outcome.cuts:
            others = (
                self._stopped_at_s[f"{manager} SIGKILL"]
                + self._stopped_at_s[f"{manager} SIGSTOP"]
            )
            is_planned = any(
                sent_at_s - 6 < s < cut_at_s
                for s in self._stopped_at_s[f"{manager} SIGTERM"]
            ) and not any(sent_at_s - 6 < s < cut_at_s for s in others)
            if is_planned:
                took_s = cut_at_s - sent_at_s
                self._report(f"{manager} cut a request after {took_s:.3f} s")

    def _check_versions(self) -> None:
        """A version is in force in time, and none goes back while a process lives."""
        self._put_config()
        deadline_s = time.monotonic() + CONFIG_LIMIT_S
        gauge = f'chivetray_configuration_version{{about=""}} {self._version:.1f}'
        processes = self.fleet.processes
        left = {name for name in self.fleet.managers if processes[name].poll() is None}
        while left and time.monotonic() < deadline_s:
            left -= {name for name in left if gauge in self.fleet.metrics(name)}
            time.sleep(0.05)
        for name in left:
            self._report(f"{name} has no version {self._version} in time")
        for name in self.fleet.managers:
            version = 0
            for event in self.fleet.log(name):
                if event.get("message_type") == "ENTRY_STARTED":
                    version = 0
                elif event.get("message_type") == "CONFIG_APPLIED":
                    if event["version"] <= version:
                        self._report(f"{name} went back to {event['version']}")
                    version = event["version"]

    def _check_jobs(self) -> None:
        """Each accepted job ends, whatever became of its route."""
        self._routes = dict(zip(PREFIXES, SERVICES, strict=True))
        self._put_config()
        deadline_s = time.monotonic() + SETTLE_LIMIT_S
        left = dict(self.outcome.prefixes)
        while left and time.monotonic() < deadline_s:
            for job_id, prefix in list(left.items()):
                name = self._rng.choice(self.fleet.managers)
                status, content = self._get(name, prefix + job_id)
                if status == 410:
                    self._report(f"{job_id} was accepted and is answered 410")
                if status == 410 or b"completed" in content:
                    del left[job_id]
            time.sleep(0.3)
        for job_id in left:
            count = self.outcome.accepted[job_id]
            self._report(f"{job_id} with {count} tasks has not ended")
        for name in self.fleet.managers:
            if self.fleet.processes[name].poll() is not None:
                self._report(f"{name} has ended by itself")

    def _check_runs(self) -> None:
        """No task runs twice at a time, or again after an end that was noted.

        Tasks that may have copies may do so. No worker runs more tasks of a step than
        its limit allows. All that a worker runs ends when its life does.
        """
        events: dict[str, list[Event]] = defaultdict(list)
        for name in self.fleet.workers:
            for number, history in enumerate(split_lives(self.fleet.history(name))):
                self._check_limits(name, history)
                for at_s, kind, task, attempt in history:
                    run = Run(attempt, f"{name} life {number}")
                    events[task].append((at_s, kind, run))
        done: dict[str, set[str]] = defaultdict(set)
        for task, found in events.items():
            running: set[Run] = set()
            done_runs: set[Run] = set()
            noted = {run for _, kind, run in found if kind == "noted"}
            is_copied = task.split(".")[0] in self.outcome.copied
            for at_s, kind, run in sorted(found):
                if kind == "start" and not is_copied:
                    if running:
                        self._report(f"{task} runs twice: {running}, {at_s:.3f} {run}")
                    if done_runs & noted:
                        self._report(
                            f"{task} runs again after its end: {done_runs & noted}, "
                            f"{at_s:.3f} {run}"
                        )
                    running.add(run)
                elif kind not in ("start", "noted"):
                    running.discard(run)
                    if kind == "done":
                        done_runs.add(run)
                        done[task.split(".")[0]].add(task)
        for job_id, count in self.outcome.accepted.items():
            if len(done[job_id]) != count:
                self._report(f"{job_id}: {len(done[job_id])} of {count} tasks are done")

    def _check_cancelled(self) -> None:
        """What was cancelled has ended, and never runs if it was said not to exist."""
        started = {
            task.split(".")[0]
            for name in self.fleet.workers
            for _, kind, task, _ in self.fleet.history(name)
            if kind == "start"
        }
        for job_id in sorted(self.outcome.absent & started):
            self._report(f"{job_id} ran, and its cancellation was answered 410")
        for path in self.outcome.cancelled.values():
            found = wait_for(lambda p=path: self._get("m0", p)[1])
            if b"cancelled" not in found and b"completed" not in found:
                self._report(f"{path} was cancelled: {found!r}")

    def _check_limits(self, worker: str, history: History) -> None:
        """Compare each start with the others of its step that run on the worker."""
        running: dict[str, int] = {}
        for at_s, kind, task, attempt in history:
            if kind == "start":
                step = task.rpartition(".")[0]
                others = {
                    other: number
                    for other, number in running.items()
                    if other != task and other.rpartition(".")[0] == step
                }
                limit = self.outcome.limits.get(task.split(".")[0], 0)
                if limit and len(others) >= limit:
                    self._report(
                        f"{task} attempt {attempt} starts on {worker} at {at_s:.3f} "
                        f"beside {others}, limit {limit}"
                    )
                running[task] = attempt
            elif kind != "noted" and running.get(task) == attempt:
                del running[task]
