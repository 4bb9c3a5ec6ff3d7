"""Managers, a store and narrow links in virtual time, above the real code of the mesh.

Bytes take their time: each link carries them one after the other, in both directions,
and what a receiver gives up is carried all the same if it was on its way.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import random
import urllib.parse
from collections import deque
from typing import Any

import anyio
import orjson
from anyio.abc import ByteStream

from chivetray.cells.configuration import Configuration
from chivetray.cells.store_access import StoreAccess
from chivetray.generated.messages import CellClaim, NodeHeartbeat
from chivetray.peers.mesh import Mesh
from chivetray.peers.stream import PeerStream
from chivetray.platform.calls import Answer, CallSession, NoAnswer, Outcome
from chivetray.platform.standins.store import StoreState

SEGMENT_BYTES = 8192

# Bytes that are on their way before a sender waits, or after a receiver has given up.
WINDOW_BYTES = 65536

LATENCY_S = 0.0014
STORE_LATENCY_S = 0.004

# Part of each link that the usual traffic takes.
TRAFFIC_SHARE = 0.2
TRAFFIC_INTERVAL_S = 0.05

CAPACITY_MILLI = {10: 100, 200: 2000}


class Link:
    """One direction of a link."""

    def __init__(self, mbps: float):
        self.bytes_per_s = mbps * 1e6 / 8
        self.carried_bytes = 0
        self._free_at_s = 0.0

    def reserve(self, size_bytes: int) -> float:
        """Return the time at which the last of some bytes is through."""
        now_s = asyncio.get_running_loop().time()
        self.carried_bytes += size_bytes
        self._free_at_s = max(now_s, self._free_at_s) + size_bytes / self.bytes_per_s
        return self._free_at_s


async def carry(size_bytes: int, *links: Link) -> None:
    """Carry one segment over several links."""
    through_at_s = max(link.reserve(size_bytes) for link in links)
    now_s = asyncio.get_running_loop().time()
    await anyio.sleep(through_at_s - now_s + LATENCY_S)


class LinkStream(ByteStream):
    """One end of a connection between two managers."""

    def __init__(self, up: Link):
        self.other: LinkStream
        self.closed = False
        self._up = up
        self._down = up
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._received: deque[bytes] = deque()
        self._changed = anyio.Event()
        self._pump = asyncio.get_running_loop().create_task(self._run())

    def reach(self, other: LinkStream, down: Link) -> None:
        self.other, self._down = other, down

    async def _run(self) -> None:
        while not self.closed:
            if not self._queue:
                await self._changed.wait()
                continue
            segment = self._queue.popleft()
            await carry(len(segment), self._up, self._down)
            self._queued_bytes -= len(segment)
            self._notify()
            self.other._received.append(segment)
            self.other._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def send(self, item: bytes) -> None:
        if self.closed:
            raise anyio.ClosedResourceError
        for start in range(0, len(item), SEGMENT_BYTES):
            self._queue.append(item[start : start + SEGMENT_BYTES])
        self._queued_bytes += len(item)
        self._notify()
        while self._queued_bytes > WINDOW_BYTES and not self.closed:
            await self._changed.wait()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        while not self._received:
            if self.closed or self.other.closed:
                raise anyio.EndOfStream
            await self._changed.wait()
        return self._received.popleft()

    async def send_eof(self) -> None:
        raise NotImplementedError

    async def aclose(self) -> None:
        self.closed = True
        self._pump.cancel()
        self._notify()
        self.other._notify()


class NarrowSession(CallSession):
    """Calls of one manager to the store, over its link."""

    def __init__(self, manager: NarrowManager):
        self._manager = manager

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
        content: bytes | None = None,
        silence_s: float | None = None,
    ) -> Outcome:
        path, _, query = url.removeprefix("http://store").partition("?")
        answer: list[Outcome] = []
        sender = asyncio.get_running_loop().create_task(
            self._answer(path, dict(urllib.parse.parse_qsl(query)), answer)
        )
        self._left_bytes = 0
        limit_s = asyncio.get_running_loop().time() + timeout_s
        try:
            while not answer:
                left_s = limit_s - asyncio.get_running_loop().time()
                moved = self._manager.moved
                with anyio.move_on_after(min(left_s, silence_s or left_s)) as scope:
                    await moved.wait()
                if scope.cancelled_caught:
                    return NoAnswer("timeout")
        finally:
            if not sender.done():
                sender.cancel()
                # The link carries what is on its way when a call is given up.
                self._manager.down.reserve(min(self._left_bytes, WINDOW_BYTES))
        return answer[0]

    async def _answer(
        self, path: str, query: dict[str, str], answer: list[Outcome]
    ) -> None:
        manager, fleet = self._manager, self._manager.fleet
        await anyio.sleep(STORE_LATENCY_S * fleet.slow)
        status, plain = 503, {}
        if not manager.refused:
            status, plain = 200, await self._read(path, query)
        is_lost = fleet.rng.random() < fleet.lost_share
        is_silent = manager.feed_silent and path.endswith("feed")
        if is_lost or is_silent:
            return
        size_bytes = len(orjson.dumps(plain))
        for start in range(0, size_bytes, SEGMENT_BYTES):
            self._left_bytes = size_bytes - start
            await carry(min(SEGMENT_BYTES, size_bytes - start), manager.down)
            self._manager.notify_moved()
        answer.append(Answer(status, plain))
        self._manager.notify_moved()

    async def _read(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        state, loop = self._manager.fleet.state, asyncio.get_running_loop()
        table = query["Table"]
        if path.endswith("feed"):
            due_s = loop.time() + int(query["WaitMs"]) / 1000
            names = state.changes(table, int(query["DependsOn"]))
            while not names and loop.time() < due_s:
                with anyio.move_on_after(due_s - loop.time()):
                    await state.changed.wait()
                names = state.changes(table, int(query["DependsOn"]))
        else:
            start, end = query.get("From", ""), query.get("To", "\U0010ffff")
            names = [n for n in state.rows if n[0] == table and start <= n[2] < end]
        rows = [state.encode_row(name) for name in names]
        return {"rows": rows, "Ver": state.version, "NowMs": 0}


class NarrowManager:
    """The configuration, the mesh and the store access of one manager."""

    def __init__(self, fleet: NarrowFleet, number: int, mbps: float, owns_cell: bool):
        self.fleet = fleet
        self.name = f"m{number:02}"
        self.up, self.down = Link(mbps), Link(mbps)
        self.runs = False
        self.refused = False
        self.feed_silent = False
        self.applied_at_s: dict[int, float] = {}
        self.moved = anyio.Event()
        self._capacity = CAPACITY_MILLI.get(int(mbps), 100)
        self._claims = [CellClaim(f"c{number}", 1, {}, True)] if owns_cell else []
        self.store = StoreAccess(NarrowSession(self), "store")
        self.configuration = Configuration(
            self.store.without_relays(), self._on_config_change, self.store
        )
        self.mesh = Mesh(
            self.name,
            f"z{number % 4}",
            f"i{number}",
            f"10.0.0.{number}:1",
            self._build_heartbeat,
            self._on_mesh_change,
        )
        self.store.connect(self.mesh, self.mesh.request_heartbeat)
        self.configuration.connect(self.mesh)

    def notify_moved(self) -> None:
        self.moved.set()
        self.moved = anyio.Event()

    def _build_heartbeat(self) -> NodeHeartbeat:
        return NodeHeartbeat(
            config_version=self.configuration.version,
            leaving=False,
            store_reached=self.store.is_served,
            capacity=self._capacity,
            interval_ms=0,
            claims=self._claims,
        )

    def _on_config_change(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.applied_at_s.setdefault(self.configuration.version, now_s)
        self.mesh.request_announcement()

    def _on_mesh_change(self) -> None:
        for peer in self.mesh.peers.values():
            if peer.heartbeat is not None:
                version = peer.heartbeat.config_version
                self.configuration.note_peer_version(version, peer.name)

    async def run(self) -> None:
        self.runs = True
        async with anyio.create_task_group() as tasks:
            self.mesh._tasks = tasks
            tasks.start_soon(self.mesh._send_heartbeats)
            tasks.start_soon(self.mesh._remove_unresponsive)
            tasks.start_soon(self.configuration.run)
            tasks.start_soon(self._carry_usual_traffic)

    async def _carry_usual_traffic(self) -> None:
        while True:
            for link in (self.up, self.down):
                size_bytes = link.bytes_per_s * TRAFFIC_SHARE * TRAFFIC_INTERVAL_S
                link.reserve(int(size_bytes))
            await anyio.sleep(TRAFFIC_INTERVAL_S)


class NarrowFleet:
    """Managers whose links are narrow, but for some."""

    def __init__(self, links_mbps: list[float], seed: int = 1):
        self.rng = random.Random(seed)
        self.state = StoreState()
        self.slow = 1.0
        self.lost_share = 0.0
        self.published_at_s: dict[int, float] = {}
        self.managers = [
            NarrowManager(self, number, mbps, number % 5 == 0)
            for number, mbps in enumerate(links_mbps)
        ]

    def publish(self, version: int, routes: int) -> None:
        """Confirm a version with so many routes."""
        content = base64.b64encode(make_config(version, routes)).decode()
        self.published_at_s[version] = asyncio.get_running_loop().time()
        self.state.put("op", "", "config", content)

    async def run(self, absent: tuple[int, ...] = ()) -> None:
        """Run all managers but some until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number, manager in enumerate(self.managers):
                if number not in absent:
                    tasks.start_soon(manager.run)
            tasks.start_soon(self._connect_all, tasks)

    async def _connect_all(self, tasks: Any) -> None:
        """Keep a connection between any two managers that run."""
        while True:
            for one, other in itertools.combinations(self.managers, 2):
                both_run = one.runs and other.runs
                known = other.name in one.mesh.peers or one.name in other.mesh.peers
                if both_run and not known:
                    near, far = LinkStream(one.up), LinkStream(other.up)
                    near.reach(far, other.down)
                    far.reach(near, one.down)
                    for manager, end, dialed in (
                        (one, near, True),
                        (other, far, False),
                    ):
                        stream = PeerStream(end)
                        serve = manager.mesh._serve_stream
                        tasks.start_soon(serve, stream, dialed)
            await anyio.sleep(0.3)

    def delays_s(self, version: int) -> dict[str, float]:
        """Return how long after its confirmation a version was in force where."""
        published_at_s = self.published_at_s[version]
        return {
            manager.name: min(
                (at for v, at in manager.applied_at_s.items() if v >= version),
                default=float("inf"),
            )
            - published_at_s
            for manager in self.managers
        }


def make_config(version: int, routes: int) -> bytes:
    """Return a configuration with routes of random names, as operators write it."""
    rng = random.Random(7)

    def word(length: int) -> str:
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length))

    rows = [
        {
            "Name": f"{word(8)}-{word(6)}",
            "Host": f"{word(6)}.example",
            "PathPrefix": f"/{word(8)}/",
            "Service": f"{word(4)}-pool" if number % 50 == 0 else "pool-a",
            "Priority": rng.randint(0, 3),
            "MaxAttempts": 4,
            "Stretch": 2.2,
            "TargetLatencyMs": rng.randint(500, 3000),
            "TimeoutMs": rng.randint(3000, 3100),
        }
        for number in range(routes)
    ]
    plain = {"Version": version, "Routes": rows, "Services": [], "Limits": {}}
    return orjson.dumps(plain)
