"""A stand-in of the platform's API for machines, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from fleet import Fleet, HttpServer, Worker

UPKEEP_S = 2.0


class Machine:
    """A machine, its state and the worker on it."""

    def __init__(self, name: str, pool: str):
        self.name, self.pool = name, pool
        self.state = "up"
        self.lives = 0
        self.worker: Worker | None = None


class Machines:
    """Lists machines and carries out their upkeep.

    :ivar begun: waves and machines whose upkeep has begun
    :ivar silent_until_s: time until which no call is answered, nor carried out
    """

    def __init__(self, fleet: Fleet, waves: dict[int, list[str]]):
        self.begun: list[tuple[int, str]] = []
        self.silent_until_s = 0.0
        self.silent_for_s = 0.0
        self._fleet = fleet
        self._waves = waves
        self._by_name: dict[str, Machine] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self._handle)

    async def add(self, name: str, pool: str) -> None:
        """Add a machine that is up."""
        machine = self._by_name[name] = Machine(name, pool)
        await self._start_worker(machine)

    async def start(self) -> None:
        """Listen, and tell the fleet the address."""
        self._fleet.vm_address = await self.server.start(self._fleet.host(2))

    async def _start_worker(self, machine: Machine) -> None:
        machine.lives += 1
        fleet = self._fleet
        name = f"{machine.name}-{machine.lives}"
        worker = Worker(fleet.store, fleet.record, name, machine.pool, machine.name)
        machine.worker = await fleet.add_worker(worker)

    async def _handle(
        self, _method: str, path: str, _query: Any, headers: Any, body: Any
    ) -> Any:
        call = path.rpartition("/")[2]
        note = self._fleet.record.note
        if call == "machine-upkeep" and self.silent_for_s:
            self.silent_until_s = time.monotonic() + self.silent_for_s
            note("the API for machines answers nothing for", self.silent_for_s, "s")
            self.silent_for_s = 0.0
        if time.monotonic() < self.silent_until_s:
            note(call, body, "-> no answer, not carried out")
            return None
        await asyncio.sleep(0.01)
        if call == "machines":
            return 200, {"Machines": [self._list(m) for m in self._by_name.values()]}
        if call != "machine-upkeep":
            return 409, {"Reason": "busy"}
        answer = self._begin(body)
        fence = headers.get("chivetray-fencing-token")
        note(call, body, "fence", fence, "->", *answer)
        return answer

    @staticmethod
    def _list(machine: Machine) -> dict[str, Any]:
        plain: dict[str, Any] = {"Machine": machine.name, "Pool": machine.pool}
        plain |= {"State": machine.state, "Zone": "z1", "Labels": ["a", "r1"]}
        plain["Capacity"] = {"Cpu": 16000, "MemMb": 65536}
        if machine.worker is not None and machine.state == "up":
            plain["Id"] = machine.worker.id
        return plain

    def _begin(self, body: Any) -> tuple[int, dict[str, Any]]:
        wave, machine = body["Wave"], self._by_name.get(body["Machine"])
        if machine is None:
            return 400, {}
        if machine.name not in self._waves.get(wave, []):
            return 409, {"Reason": "wave"}
        if (wave, machine.name) in self.begun:
            return 200, {}
        if machine.state != "up":
            return 409, {"Reason": "busy"}
        self.begun.append((wave, machine.name))
        machine.state = "upkeep"
        if machine.worker is not None:
            machine.worker.leave()
        task = asyncio.create_task(self._maintain(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 200, {}

    async def _maintain(self, machine: Machine) -> None:
        await asyncio.sleep(UPKEEP_S)
        await self._start_worker(machine)
        machine.state = "up"
