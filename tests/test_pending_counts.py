"""Counts of the jobs that wait, while cells that hold some of them have no owner."""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from cell_helpers import job
from run_once_helpers import CELL, MANAGERS, Manager, World, run_fleet
from virtual_loop import VirtualLoop, virtual_time

from chivetray.cells.job_service import JobService
from chivetray.cells.pending_counts import (
    COUNT_TTL_S,
    SETTLE_S,
    UNREAD_QUEUES,
    CountUnknownError,
    PendingCounts,
)
from chivetray.generated.messages import CellClaim
from chivetray.jobs.model import Step
from chivetray.platform.stored_records import Queue

OTHER = "pool-b"
THIRD = "pool-c"
KEY = "host/queue/"

# Time after which stored jobs have to be counted, and after a disturbance of a manager
# in which it need not count them.
VISIBLE_S = 5.0
CONTACT_S = 3.0

# Seeds of a run by hand, such as CHIVETRAY_SEEDS=1-50.
FIRST, _, LAST = os.environ.get("CHIVETRAY_SEEDS", "1-6").partition("-")


def queue(service: str, key: str = KEY) -> Queue:
    return Queue(key, "q", "host", "/queue/", service)


class Watcher:
    """What one manager learns of counts.

    :ivar cells: the cells that it knows to exist
    """

    def __init__(self, *cells: str):
        self.cells: list[str] | None = list(cells)
        self.counts = PendingCounts(list, lambda: self.cells)

    def tell(
        self, cell: str, epoch: int = 1, loaded: bool = True, **pending: int
    ) -> None:
        """Let the owner of a cell tell its counts; ``q`` stands for the queue."""
        names = {"q": KEY, "unread": UNREAD_QUEUES}
        told = {names.get(name, name): count for name, count in pending.items()}
        self.counts.note_claims([CellClaim(cell, epoch, told, loaded)])

    def route(self, *queues: Queue) -> None:
        self.counts.note_services(queues)

    def ask(self, service: str, key: str = KEY) -> int | None:
        try:
            return self.counts.count(queue(service, key))
        except CountUnknownError:
            return None


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    with virtual_time() as loop:
        loop.run_until_complete(scenario())


class TestCellWithoutAnOwner:
    """What nobody told was counted as zero."""

    def test_the_last_count_serves_for_a_while_and_then_none(self) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(CELL))
            watcher.tell(CELL, q=19)
            watcher.tell(OTHER)
            watcher.route(queue(OTHER))
            assert watcher.ask(OTHER) == 19
            await asyncio.sleep(COUNT_TTL_S - 0.1)
            watcher.tell(OTHER)
            assert watcher.ask(OTHER) == 19
            await asyncio.sleep(0.2)
            assert watcher.ask(OTHER) is None

        play(scenario)

    def test_a_cell_that_is_being_read_tells_no_count(self) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(CELL))
            watcher.tell(CELL, q=19)
            watcher.route(queue(OTHER))
            await asyncio.sleep(COUNT_TTL_S + 0.1)
            watcher.tell(OTHER)
            watcher.tell(CELL, epoch=2, loaded=False)
            assert watcher.ask(OTHER) is None
            watcher.tell(CELL, epoch=2, unread=1)
            assert watcher.ask(OTHER) is None
            watcher.tell(CELL, epoch=1)
            assert watcher.ask(OTHER) is None
            watcher.tell(CELL, epoch=2, q=18)
            assert watcher.ask(OTHER) == 18

        play(scenario)

    def test_queues_that_have_no_jobs_there_keep_their_counts(self) -> None:
        """A change of one owner must not refuse the counts of all queues."""

        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(OTHER), queue(CELL, "another"))
            watcher.tell(CELL, another=3)
            await asyncio.sleep(60.0)
            watcher.tell(OTHER, q=2)
            assert watcher.ask(OTHER) == 2
            assert watcher.ask(CELL, "another") is None

        play(scenario)

    def test_a_queue_that_moved_twice(self) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER, THIRD)
            for cell, waiting in ((CELL, 20), (OTHER, 18), (THIRD, 0)):
                watcher.route(queue(cell))
                for told in (CELL, OTHER, THIRD):
                    watcher.tell(told)
                watcher.tell(cell, q=waiting)
            watcher.tell(CELL, q=20)
            watcher.tell(OTHER, q=18)
            assert watcher.ask(THIRD) == 38
            await asyncio.sleep(COUNT_TTL_S + 0.1)
            watcher.tell(THIRD)
            watcher.tell(OTHER, epoch=2, q=18)
            assert watcher.ask(THIRD) is None

        play(scenario)

    @pytest.mark.parametrize("back", [CELL, OTHER])
    def test_a_queue_that_was_removed_and_came_back(self, back: str) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(CELL))
            watcher.tell(CELL)
            watcher.route()
            watcher.route(queue(back))
            await asyncio.sleep(COUNT_TTL_S + 0.1)
            watcher.tell(OTHER)
            # Jobs of it may have come to the cell after the last count.
            assert watcher.ask(back) is None

        play(scenario)

    def test_a_move_is_forgotten_once_the_cell_is_empty(self) -> None:
        """Moves must not take memory for good, nor refuse counts for good."""

        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(CELL))
            watcher.route(queue(OTHER))
            await asyncio.sleep(SETTLE_S + 0.1)
            watcher.tell(CELL)
            watcher.tell(OTHER)
            assert watcher.ask(OTHER) == 0
            assert not watcher.counts._left_at_s
            await asyncio.sleep(60.0)
            watcher.tell(OTHER, q=1)
            assert watcher.ask(OTHER) == 1

        play(scenario)

    def test_a_queue_counts_while_its_owner_reads_the_others(self) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL)
            watcher.route(queue(CELL))
            watcher.tell(CELL, q=4, unread=1)
            assert watcher.ask(CELL) == 4

        play(scenario)


class TestManagerThatHasJustStarted:
    """It knew less than the others, and counted zero."""

    def test_it_counts_once_it_has_heard_of_each_cell(self) -> None:
        async def scenario() -> None:
            watcher = Watcher(CELL, OTHER)
            watcher.route(queue(OTHER))
            watcher.tell(OTHER, q=1)
            assert watcher.ask(OTHER) is None
            watcher.tell(CELL, q=19)
            assert watcher.ask(OTHER) == 20

        play(scenario)

    def test_it_counts_nothing_before_the_cells_are_listed(self) -> None:
        watcher = Watcher(OTHER)
        watcher.cells = None
        watcher.tell(OTHER, q=1)
        assert watcher.ask(OTHER) is None


class MovedQueueWorld(World):
    """A fleet with two cells, whose queue moves from one to the other."""

    cells = (CELL, OTHER)
    service = CELL
    jobs = 12

    def __init__(self, loop: VirtualLoop):
        super().__init__(loop, 1, ())
        self.services: dict[str, JobService] = {}
        self.submitted_at_s: dict[str, float] = {}
        self.disturbed_until_s: dict[str, float] = {}
        for manager in self.managers.values():
            self.watch(manager)

    def service_of(self, queue: str) -> str | None:
        return self.service

    def work_s(self, task: str) -> float:
        return 600.0

    def watch(self, manager: Manager) -> None:
        """Let a manager answer callers."""
        service: Any = JobService(manager.mesh, manager.store, manager.directory, None)  # type: ignore[arg-type]
        manager.mesh.on_claims = service.pending_counts.note_claims
        service.pending_counts.note_services([queue(self.service)])
        self.services[manager.name] = service

    def submit(self, number: int) -> None:
        """Store a job of which each task takes a whole worker."""
        spec = job(f"{number:016x}", steps=(Step(2, 4000),))
        spec = replace(spec, cell=self.service)
        self.hand_in(spec)
        self.submitted_at_s[spec.job_id] = self.now_s()

    def move_queue(self, service: str) -> None:
        self.service = service
        for found in self.services.values():
            found.pending_counts.note_services([queue(service)])

    def count_waiting(self) -> int:
        """Return the number of jobs that were stored some time ago and wait."""
        tasks = [task for w in self.workers.values() for task, _ in w.starts]
        begun = {task.split(".")[0] for task in tasks}
        before_s = self.now_s() - VISIBLE_S
        stored = {j for j, at_s in self.submitted_at_s.items() if at_s < before_s}
        return len(stored - begun)

    def disturb(self, name: str, for_s: float) -> None:
        """Take note of a disturbance of a manager, which begins now."""
        until_s = self.now_s() + for_s + CONTACT_S
        self.disturbed_until_s[name] = max(
            until_s, self.disturbed_until_s.get(name, 0.0)
        )

    def owner_of(self, cell: str) -> Manager:
        return next(
            m
            for m in self.managers.values()
            if not m.process.dead and cell in m.directory.owned_cells
        )

    async def check(self, for_s: float) -> float:
        """Compare the counts of all managers; return for how long one had none."""
        unknown: Counter[str] = Counter()
        for _ in range(int(for_s / 0.05)):
            for name, service in self.services.items():
                process = self.managers[name].process
                is_calm = self.disturbed_until_s.get(name, 0.0) < self.now_s()
                if process.dead or process.frozen or not is_calm:
                    continue
                answer = service.count_pending(queue(self.service))
                unknown[name] += answer.pending is None
                if answer.pending is not None:
                    assert answer.pending >= self.count_waiting(), name
            await asyncio.sleep(0.05)
        return 0.05 * max(unknown.values(), default=0)


def run_moved(scenario: Callable[[MovedQueueWorld], Awaitable[None]]) -> None:
    """Run a scenario in which some jobs wait and others run."""

    async def begin(world: MovedQueueWorld) -> None:
        for number in range(world.jobs):
            world.submit(number)
        await asyncio.sleep(VISIBLE_S + 1.0)
        assert 0 < world.count_waiting() < world.jobs
        await scenario(world)

    run_fleet(begin, MovedQueueWorld)


class TestQueueThatHasMoved:
    """After its old cell's owner was killed, managers gave 0 for over a second."""

    @pytest.mark.parametrize("how", ["kill", "freeze", "release"])
    def test_its_count_is_never_too_low(self, how: str) -> None:
        async def scenario(world: MovedQueueWorld) -> None:
            world.move_queue(OTHER)
            assert await world.check(5.0) == 0
            owner = world.owner_of(CELL)
            if how == "kill":
                owner.process.kill()
            elif how == "freeze":
                owner.process.freeze()
            else:
                owner.release_cells()
            await world.check(8.0)
            owner.process.thaw()
            assert await world.check(1.0) <= 0.1

        run_moved(scenario)

    def test_a_manager_that_joins_meanwhile_knows_no_count(self) -> None:
        async def scenario(world: MovedQueueWorld) -> None:
            world.move_queue(OTHER)
            await asyncio.sleep(5.0)
            world.owner_of(CELL).process.kill()
            await asyncio.sleep(1.2)
            world.watch(world.add_manager("newcomer"))
            await world.check(8.0)
            assert await world.check(1.0) == 0

        run_moved(scenario)

    def test_all_managers_restart(self) -> None:
        async def scenario(world: MovedQueueWorld) -> None:
            world.move_queue(OTHER)
            await asyncio.sleep(5.0)
            for name in MANAGERS:
                world.managers[name].process.kill()
            for name in MANAGERS:
                world.add_manager(name)
                world.watch(world.managers[name])
            await world.check(10.0)
            assert await world.check(1.0) == 0

        run_moved(scenario)


class TestRandomChanges:
    """Owners, routes and managers change in series and at once."""

    CHANGES = ("kill", "freeze", "isolate", "release", "move", "submit", "join")
    SERVICES = (CELL, OTHER, THIRD)

    @pytest.mark.parametrize("seed", range(int(FIRST), int(LAST or FIRST) + 1))
    def test_no_count_is_too_low(self, seed: int) -> None:
        async def scenario(world: MovedQueueWorld) -> None:
            rng = random.Random(seed)
            world.cells = self.SERVICES
            checking = asyncio.ensure_future(world.check(60.0))
            for number in range(40):
                self.change(world, rng, number)
                await asyncio.sleep(rng.choice([0.1, 0.5, 1.0, 3.0]))
            await checking
            world.isolated.clear()
            await asyncio.sleep(10.0)
            assert await world.check(1.0) == 0

        run_moved(scenario)

    def change(self, world: MovedQueueWorld, rng: random.Random, number: int) -> None:
        kind = rng.choice(self.CHANGES)
        manager = world.managers[rng.choice(sorted(world.managers))]
        name = manager.name
        calm_s = rng.uniform(0.5, 6.0)
        if kind == "kill" or (kind == "release" and not manager.process.frozen):
            if kind == "release":
                manager.release_cells()
            else:
                manager.process.kill()
            world.disturb(name, calm_s)
            world.later(calm_s, partial(self.restart, world, name))
        elif kind == "freeze":
            manager.process.freeze()
            world.disturb(name, calm_s)
            world.later(calm_s, manager.process.thaw)
        elif kind == "isolate":
            world.isolated.add(name)
            world.disturb(name, calm_s)
            world.later(calm_s, partial(world.isolated.discard, name))
        elif kind == "move":
            world.move_queue(rng.choice(self.SERVICES))
        elif kind == "join" and len(world.managers) < 6:
            world.watch(world.add_manager(f"m{len(world.managers) + 1}"))
        elif kind == "submit":
            for more in range(3):
                world.submit(1000 + 10 * number + more)

    @staticmethod
    def restart(world: MovedQueueWorld, name: str) -> None:
        world.managers[name].process.kill()
        world.watch(world.add_manager(name))
