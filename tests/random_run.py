"""A random run of a fleet with faults, and the check of what came out."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from helpers import Fleet, FleetPlan, Reply, send, wait_until

METHODS = ("GET", "POST", "KEYED")
CALLER_PAUSE_S = 0.02
REPEATS_LIMIT = 4
CALLERS = 8

PLAN = FleetPlan(
    entries_per_zone=3,
    endpoints_per_zone=4,
    endpoint_relays=True,
    peer_relays=True,
    service={"deadline_s": 2.0, "attempt_timeout_s": 0.5},
    settings={"outliers": {"ejection_s": 0.5, "max_ejection_s": 2.0}},
)


@dataclass
class Sent:
    """One request that a caller sent."""

    request_id: str
    group: str
    method: str
    path: str
    reply: Reply


@dataclass
class Outcome:
    """What a run has shown."""

    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    codes: Counter[int] = field(default_factory=Counter)
    over_admissions: int = 0


class RandomRun:
    """Callers and faults on a fleet, both from one seed."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.seed = seed
        self.outcome = Outcome()
        self._stop = threading.Event()
        self._down: set[str] = set()

    def run(self, duration_s: float) -> Outcome:
        callers = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        self._break_things(duration_s)
        self._stop.set()
        for caller in callers:
            caller.join()
        self._check()
        return self.outcome

    # Callers

    def _call(self, number: int) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        count = 0
        while not self._stop.is_set():
            count += 1
            group = f"c{number}-{count}"
            self._send_group(rng, group, rng.choice(METHODS))
            time.sleep(CALLER_PAUSE_S * rng.random())

    def _send_group(self, rng: random.Random, group: str, method: str) -> None:
        """Send a request, and repeat one with a key until it is answered."""
        for repeat in range(REPEATS_LIMIT if method == "KEYED" else 1):
            reply = self._send_one(rng, group, method, f"{group}.{repeat}")
            if reply.status == 200:
                return

    def _send_one(
        self, rng: random.Random, group: str, method: str, request_id: str
    ) -> Reply:
        entry = rng.choice(self.fleet.entries)
        path = f"/work/{group}"
        headers = {"x-request-id": request_id}
        if method == "KEYED":
            headers["idempotency-key"] = group
        size = rng.choice([0, 100, 5000])
        headers["x-answer-bytes"] = str(size)
        verb = "GET" if method == "GET" else "POST"
        reply = send(self.fleet.url(entry, path), verb, headers, timeout_s=8.0)
        self.outcome.sent.append(Sent(request_id, group, method, path, reply))
        return reply

    # Faults

    def _break_things(self, duration_s: float) -> None:
        rng = random.Random(f"{self.seed}/faults")
        end = time.monotonic() + duration_s
        faults = [
            self._kill_entry,
            self._pause_entry,
            self._break_endpoint,
            self._break_endpoint,
            self._kill_endpoint,
            self._silence,
            self._cut_peer,
            self._break_platform,
            self._break_platform,
        ]
        while time.monotonic() < end:
            chosen = rng.sample(faults, rng.choice([1, 1, 2]))
            undo = [fault(rng) for fault in chosen]
            time.sleep(rng.uniform(0.3, 3.0))
            for action in undo:
                action()
            time.sleep(rng.uniform(0.2, 1.0))
        self.fleet.platform_faults()
        for name in self.fleet.endpoints:
            self._set_endpoint_faults(name)
        time.sleep(3.0)

    def _set_endpoint_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of an endpoint, which may just have been started again."""
        url = self.fleet.control_url(name)
        wait_until(lambda: send(url).status == 200, f"{name} answers")
        self.fleet.endpoint_faults(name, **faults)

    def _note(self, text: str) -> None:
        self.outcome.faults.append(text)

    def _kill_entry(self, rng: random.Random):
        entry = rng.choice(self.fleet.entries)
        self._note(f"kill {entry}")
        self.fleet.kill(entry)
        return lambda: self.fleet.start_entry(entry)

    def _pause_entry(self, rng: random.Random):
        entry = rng.choice(self.fleet.entries)
        self._note(f"pause {entry}")
        process = self.fleet.processes[entry]
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def _kill_endpoint(self, rng: random.Random):
        name = rng.choice(self.fleet.endpoints)
        self._note(f"kill {name}")
        self.fleet.kill(name)

        def restart() -> None:
            self.fleet.start_endpoint(name)
            time.sleep(1.5)

        return restart

    def _break_endpoint(self, rng: random.Random):
        name = rng.choice(self.fleet.endpoints)
        fault = rng.choice(
            [
                {"truncate": True},
                {"stalled": True},
                {"wrong_attempt": True},
                {"error_after_run": True},
                {"refuse": True},
                {"delay_s": 0.3},
                {"delay_s": 1.0},
            ]
        )
        self._note(f"{name} {fault}")
        self._try_faults(name, **fault)
        return lambda: self._try_faults(name)

    def _try_faults(self, name: str, **fault) -> None:
        """Set faults of an endpoint, which may be dead at the moment."""
        if self.fleet.processes[name].poll() is None:
            self._set_endpoint_faults(name, **fault)

    def _silence(self, rng: random.Random):
        name = rng.choice(self.fleet.endpoints + self.fleet.entries)
        self._note(f"silence {name}")
        self.fleet.signal(f"{name}-relay", signal.SIGUSR1)
        return lambda: None

    def _cut_peer(self, rng: random.Random):
        name = rng.choice(self.fleet.entries)
        self._note(f"cut {name} from its peers")
        self.fleet.signal(f"{name}-relay", signal.SIGUSR2)
        return lambda: self.fleet.signal(f"{name}-relay", signal.SIGUSR2)

    def _break_platform(self, rng: random.Random):
        fault = rng.choice(
            [
                {"down": True},
                {"stalled": True},
                {"delay_s": 0.5},
                {"lose_answers": 20},
                {"rows_per_second": 5},
            ]
        )
        self._note(f"platform {fault}")
        self.fleet.platform_faults(**fault)
        return lambda: self.fleet.platform_faults()

    # Check

    def _check(self) -> None:
        runs = self.fleet.ledger()
        by_group: Counter[str] = Counter()
        for request_id, count in runs.items():
            by_group[request_id.rpartition(".")[0]] += count
        for item in self.outcome.sent:
            self.outcome.codes[item.reply.code] += 1
            self._check_one(item, runs, by_group)
        for name in self.fleet.endpoints:
            state = self.fleet.endpoint_state(name)
            self.outcome.over_admissions += state["over_admissions"]
        for entry in self.fleet.entries:
            self.fleet.wait_ready(entry)
            if "INVARIANT_BROKEN" in self.fleet.log(entry):
                self._problem(f"{entry} reports a broken invariant")
            if "Traceback" in self.fleet.log(entry):
                self._problem(f"{entry} shows a traceback")

    def _check_one(
        self, item: Sent, runs: Counter[str], by_group: Counter[str]
    ) -> None:
        reply = item.reply
        if item.method != "GET" and by_group[item.group] > 1:
            self._problem(f"{item.group} ran {by_group[item.group]} times")
        if reply.ran == "no" and runs[item.request_id]:
            self._problem(f"{item.request_id} ran in spite of code {reply.code}")
        if reply.status != 200:
            return
        answer = reply.json()
        if answer["path"] != item.path or answer["request"] not in runs:
            self._problem(f"{item.request_id} got {answer}")
        if answer["request"].rpartition(".")[0] != item.group:
            self._problem(f"{item.request_id} got the answer of {answer['request']}")

    def _problem(self, text: str) -> None:
        if text not in self.outcome.problems:
            self.outcome.problems.append(text)
