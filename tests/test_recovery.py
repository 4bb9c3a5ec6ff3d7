"""Loss of all managers at once, with many jobs stored and links of any width.

All processes begin to load cells at the same moment. On narrow links these reads once
took so long that each was given up, its cell was taken by the next process, and that
one read everything again: no cell was ever loaded.
"""

from __future__ import annotations

import asyncio
import base64
from typing import Any

import anyio
import orjson
import pytest
from run_once_helpers import STORE, Manager, SimulatedSession, World
from virtual_loop import virtual_time

from chivetray.cells.tables import JOB_TABLE, job_row
from chivetray.events import Event, observe_events
from chivetray.jobs.job import encode_spec
from chivetray.jobs.model import JobSpec, Step
from chivetray.platform.calls import Answer, NoAnswer, Outcome
from chivetray.platform.store import PAGE_ROWS

CELLS = tuple(f"pool-{number}" for number in range(5))

# Time within which all cells have to be loaded after the processes are back.
LOADED_WITHIN_S = 10.0

# Bytes of one answer that may wait at a link, as its window allows.
WINDOW_BYTES = 64_000
CHUNK_BYTES = 8_000


class LinkSession(SimulatedSession):
    """Calls whose answers arrive over the link of the manager."""

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
        outcome = await super().call(
            method, url, timeout_s, body, headers, content, silence_s
        )
        if method != "GET" or not isinstance(outcome, Answer) or STORE not in url:
            return outcome
        world, manager = self._manager.world, self._manager
        assert isinstance(world, LinkWorld)
        left = len(orjson.dumps(outcome.body))
        try:
            with anyio.fail_after(timeout_s):
                while left > 0:
                    with anyio.fail_after(silence_s):
                        await world.receive_chunk(manager)
                    left -= CHUNK_BYTES
        except TimeoutError:
            return NoAnswer("timeout")
        return outcome


class LinkWorld(World):
    """Managers with narrow links, and a store with the jobs of several cells."""

    cells = CELLS

    def __init__(self, loop: Any, link_mbps: float):
        self.link_mbps = link_mbps
        self._links: dict[str, anyio.Lock] = {}
        super().__init__(loop, 1, ())

    def make_session(self, manager: Manager) -> SimulatedSession:
        return LinkSession(manager)

    async def receive_chunk(self, manager: Manager) -> None:
        link = self._links.setdefault(manager.incarnation, anyio.Lock())
        async with link:
            await asyncio.sleep(CHUNK_BYTES * 8 / (self.link_mbps * 1e6))

    def link_delay_s(self, manager: Manager) -> float:
        link = self._links.get(manager.incarnation)
        if link is None:
            return 0.0
        transfers = link.statistics().tasks_waiting
        return transfers * WINDOW_BYTES * 8 / (self.link_mbps * 1e6)

    def service_of(self, queue: str) -> str | None:
        return queue.partition("/")[0]

    def read_store(self, path: str) -> Answer:
        answer = super().read_store(path)
        if "rows-get" not in path:
            return answer
        limit = int(path.partition("Limit=")[2].partition("&")[0] or PAGE_ROWS)
        rows = answer.body["rows"]
        return Answer(
            200, {**answer.body, "rows": rows[:limit], "HasMore": len(rows) > limit}
        )

    def store_jobs(self, count: int) -> None:
        for number in range(count):
            cell = CELLS[number % len(CELLS)]
            spec = JobSpec(
                f"{number:016x}", f"{cell}/q", cell, "x" * 3000, (Step(2, 500),)
            )
            row = job_row(spec.queue, spec.job_id)
            value = base64.b64encode(encode_spec(spec)).decode()
            self.state.put(JOB_TABLE, row.part, row.key, value)

    def loaded_cells(self) -> set[str]:
        return {
            cell
            for manager in self.managers.values()
            if not manager.process.dead
            for cell in manager.directory.owned_cells
        }


def recover(link_mbps: float, jobs: int) -> tuple[set[str], list[Event]]:
    """Lose all managers at once; return the cells loaded in time, and all events."""
    seen: list[Event] = []

    async def scenario() -> set[str]:
        world = LinkWorld(loop, link_mbps)
        await asyncio.sleep(4.0)
        assert world.loaded_cells() == set(CELLS)
        world.store_jobs(jobs)
        for manager in list(world.managers.values()):
            world.kill(manager, 1.0)
        observe_events(lambda event, _: seen.append(event))
        await asyncio.sleep(1.0 + LOADED_WITHIN_S)
        cells = world.loaded_cells()
        for manager in world.managers.values():
            manager.process.kill()
        return cells

    with virtual_time() as loop:
        return loop.run_until_complete(scenario()), seen


class TestLossOfAllManagers:
    """Guards against loads that are given up and begun anew (LOST, RECOVER)."""

    @pytest.mark.parametrize(
        ("link_mbps", "jobs"), [(2, 100), (2, 300), (5, 800), (20, 2000), (200, 4000)]
    )
    def test_all_cells_are_loaded_in_time(self, link_mbps: float, jobs: int) -> None:
        cells, events = recover(link_mbps, jobs)
        assert cells == set(CELLS)
        # One take for each cell, and a second one where two processes began together.
        assert events.count(Event.CELL_TAKEN) <= 2 * len(CELLS)
