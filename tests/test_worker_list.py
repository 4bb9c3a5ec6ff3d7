"""The list of workers with expired or invalid entries, and draining workers."""

from __future__ import annotations

import asyncio
import json

import anyio
from cell_helpers import CELL, World, job, until

from chivetray.cells import worker_list
from chivetray.cells.placing import place_tasks
from chivetray.cells.state import CellState
from chivetray.cells.worker_list import WorkerList
from chivetray.clocks import boot_time_s
from chivetray.platform.store import Store


def content(state: str = "ready", **fields: object) -> bytes:
    plain = {
        "Service": CELL,
        "Address": "10.0.0.1:80",
        "Zone": "z1",
        "State": state,
        "Capacity": {"Cpu": 4000, "MemMb": 8192, "Gpu": 0},
        "Labels": ["a", "r1"],
        "born": 5,
    }
    return json.dumps({**plain, **fields}).encode()


class Views:
    """A worker list that is read at times set by the test."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(worker_list, "boot_time_s", lambda: self.now_s)
        self.worker_list = WorkerList(Store(None, "store"))  # type: ignore[arg-type]
        self.version = 0

    def read(self, **workers: bytes) -> set[str]:
        self.version += 1
        self.worker_list._apply_rows(
            {w: (self.version, value) for w, value in workers.items()}
        )
        return {entry.worker_id for entry in self.worker_list.workers_of(CELL)}


class TestLapsedEntries:
    def test_those_lost_during_an_outage_count_until_they_can_be_back(
        self, monkeypatch
    ) -> None:
        views = Views(monkeypatch)
        views.read(w0=content(), w1=content())
        views.worker_list._failed_at_s = views.now_s
        views.now_s += 1.0
        assert views.read(w0=content()) == {"w0", "w1"}
        views.now_s += 3.0
        assert views.read(w0=content()) == {"w0"}

    def test_without_an_outage_a_missing_entry_is_gone(self, monkeypatch) -> None:
        views = Views(monkeypatch)
        views.read(w0=content(), w1=content())
        assert views.read(w0=content()) == {"w0"}


class TestForeignEntries:
    def test_what_cannot_be_read_names_no_worker_and_the_others_hold(
        self, monkeypatch
    ) -> None:
        found = Views(monkeypatch).read(
            w0=content(),
            w1=b"\xff no json",
            w2=content(state="odd"),
            w3=content(Address=5),
            w4=content(Capacity="much"),
        )
        assert found == {"w0"}


class TestDraining:
    def test_a_draining_worker_gets_nothing_new(self, monkeypatch) -> None:
        views = Views(monkeypatch)
        views.read(w0=content(state="draining"))
        state = CellState(CELL)
        state.add_job(job(), 100.0)
        state.update_workers(views.worker_list.workers_of(CELL), 100.0)
        worker = state.workers["w0"]
        worker.tasks_known = True
        worker.clock.observe(1000, 100.0, 100.0)
        assert place_tasks(state, 100.0, 0) == []
        views.read(w0=content())
        state.update_workers(views.worker_list.workers_of(CELL), 101.0)
        assert len(place_tasks(state, 101.0, 0)) == 3


class TestListThatCannotBeRead:
    """A task started 3.3 s after the notice of a draining worker, on an old list."""

    def test_no_start_is_sent_until_the_list_is_read_again(self) -> None:
        async def main() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(owner.run)
                task_group.start_soon(world.work)
                owner.longest_list_age_s = 0.3
                owner.workers_listed_at_s = boot_time_s() - 0.4
                owner.add_job(job())
                await anyio.sleep(0.3)
                assert not world.starts()
                owner.update_workers(world.entries(), boot_time_s())
                await until(world.starts)
                task_group.cancel_scope.cancel()

        asyncio.run(main())
