"""Owners of several cells that share a cap, above a store with faults."""

from __future__ import annotations

import asyncio
import base64
import random
from collections.abc import Callable
from typing import Any

import anyio
import orjson
from cell_helpers import store_clock_ms

from chivetray.cells.caps import CapRegister
from chivetray.cells.copies import settle_missing_copies
from chivetray.cells.placing import place_tasks
from chivetray.cells.share_keeper import ShareKeeper
from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import JobSpec, Phase, Step
from chivetray.organisations.model import Organisation, Resources
from chivetray.platform.calls import Answer, NoAnswer, NotSent, Outcome
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import Row, RowId, Store, StoreUnavailableError
from chivetray.platform.stored_records import OperatorConfig, WorkerRecord

NAME = "acme"
TICK_S = 0.03

# Time for which an older configuration may be in force.
CONFIG_APPLY_S = 3.0

LIMITLESS = 10**9


class FaultyStore(Store):
    """A store that loses calls, answers and time, by a generator of random numbers.

    :ivar fault_chance: part of the calls with a fault
    """

    def __init__(self, state: StoreState, rng: random.Random):
        super().__init__(None, "store")  # type: ignore[arg-type]
        self.state, self.rng = state, rng
        self.fault_chance = 0.0
        self.away = False
        self.reads = self.writes = 0

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        self.writes += 1
        await asyncio.sleep(self.rng.uniform(0.002, 0.01))
        if self.away:
            return NotSent("away")
        if self.rng.random() >= self.fault_chance:
            return self._carry_out(body)
        fault = self.rng.choice(("refused", "never", "lost answer", "late"))
        if fault == "refused":
            return Answer(503, {})
        if fault == "lost answer":
            self._carry_out(body)
        elif fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.05, 4.0), self._carry_out, body)
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        return NoAnswer(fault)

    def _carry_out(self, body: Any) -> Answer:
        refused = self.state.apply(orjson.loads(orjson.dumps(body)))
        clock = {"Ver": self.state.version, "NowMs": store_clock_ms()}
        if refused is None:
            return Answer(200, clock)
        rows = [name for name in refused if name in self.state.rows]
        return Answer(412, {"rows": [self.state.encode_row(n) for n in rows], **clock})

    async def read_row(self, row: RowId) -> Row | None:
        self.reads += 1
        await asyncio.sleep(self.rng.uniform(0.002, 0.01))
        if self.away or self.rng.random() < self.fault_chance / 2:
            raise StoreUnavailableError("a fault")
        stored = self.state.rows.get((row.table, row.part, row.key))
        if stored is None or stored.removed:
            return None
        return Row(row, base64.b64decode(stored.value), stored.version)


class NaiveCount:
    """Room by what the owner itself counts, as if it was the only one."""

    def __init__(self, keeper: ShareKeeper, register: CapRegister):
        self._keeper, self._register = keeper, register

    def room(self, organisation: str) -> Resources | None:
        self._register.refresh()
        cap = self._register.caps[organisation].cap.cpu_milli
        used = self._keeper.use(organisation).cpu_milli
        return Resources(max(0, cap - used), LIMITLESS, LIMITLESS) if cap else None

    attainable_room = room

    def note_lack(self, *_: object) -> None:
        pass

    note_waiting = is_lacking = note_lack


class Caps:
    """Configurations in the order of their versions, with the time of each."""

    def __init__(self) -> None:
        self.history: list[tuple[float, OperatorConfig]] = []

    def publish(self, cpu_milli: int, step: int = 1, **others: int) -> OperatorConfig:
        version = self.history[-1][1].version + step if self.history else 1
        organisations = {
            name: Organisation(name, cap=Resources(cpu_milli=cap))
            for name, cap in {NAME: cpu_milli, **others}.items()
        }
        config = OperatorConfig(version, organisations=organisations)
        self.history.append((boot_time_s(), config))
        return config

    def highest(self, now_s: float) -> int:
        """Return the highest cap that may be in force."""
        ends_s = [began_s + CONFIG_APPLY_S for began_s, _ in self.history[1:]]
        caps = [
            config.organisations[NAME].cap.cpu_milli or LIMITLESS
            for (_, config), end_s in zip(
                self.history, [*ends_s, float("inf")], strict=True
            )
            if now_s <= end_s
        ]
        return max(caps)


class Process:
    """A manager process, with the configuration that it has in force."""

    def __init__(self, config: OperatorConfig):
        self.config = config
        self.register = CapRegister(lambda: self.config)
        self.register.refresh()

    def apply(self, config: OperatorConfig) -> None:
        if config.version > self.config.version:
            self.config = config
            self.register.refresh()


class Owner:
    """An owner of a cell: placement and shares, without polls and progress rows."""

    def __init__(self, cell: Cell, process: Process, naive: bool = False):
        self.process = process
        self.state = CellState(cell.name)
        self.state.epoch = cell.epoch
        register = process.register
        self.keeper = ShareKeeper(self.state, cell.epoch, cell.store, register)
        self.state.cap_room = (
            NaiveCount(self.keeper, register) if naive else self.keeper
        )
        now_s = boot_time_s()
        records = [
            WorkerRecord(
                f"{cell.name}-w{n}", cell.name, "a", "z", False, 1, 8000, 65536, 0, ()
            )
            for n in range(cell.worker_count)
        ]
        self.state.update_workers(records, now_s)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(int(now_s * 1000), now_s, now_s)


class Cell:
    """A cell with its workers, on which tasks go on while owners change.

    :ivar running: use of each task by worker
    """

    def __init__(self, name: str, world: World, worker_count: int = 3):
        self.name, self.world, self.worker_count = name, world, worker_count
        self.epoch = 0
        self.store = FaultyStore(world.rows, world.rng)
        self.running: dict[tuple[str, TaskRef], int] = {}
        self.owner: Owner | None = None

    def own(self, process: Process) -> Owner:
        """Let a new owner take the cell over with the progress of the last one."""
        before, self.epoch = self.owner, self.epoch + 1
        owner = self.owner = Owner(self, process, self.world.naive)
        now_s = boot_time_s()
        if before is not None:
            for job in before.state.jobs.values():
                owner.state.restore_job(job.spec, job.encode(), 1, now_s)
            owner.state.attach_restored_tasks(now_s, 0.0, {})
            for worker in owner.state.workers.values():
                worker.tasks_known = True
            if not self.world.keeps_copies_of_done:
                self._end_copies_of_done(before.state)
        return owner

    def _end_copies_of_done(self, state: CellState) -> None:
        """End older attempts of done tasks, whose stops were sent before.

        The stored progress does not name them, see ``TestCopiesOfDoneTasks``.
        """
        for worker_id, ref in list(self.running):
            _, task = state.find_task(ref)
            if task is not None and task.phase == Phase.DONE:
                del self.running[worker_id, ref]

    def place(self) -> None:
        """Let the owner place tasks, and check the cap at each start."""
        owner = self.owner
        assert owner is not None
        for placed in place_tasks(owner.state, boot_time_s(), 10**13):
            step = owner.state.jobs[placed.ref[0]].spec.steps[placed.ref[1][1]]
            assert (placed.worker_id, placed.ref) not in self.running
            self.running[placed.worker_id, placed.ref] = step.cpu_milli
            self.world.check_start(self.name, placed.ref[0])

    def end_some(self, chance: float) -> None:
        """End tasks, some of them after a stop or a silence of their worker."""
        assert self.owner is not None
        state, rng, now_s = self.owner.state, self.world.rng, boot_time_s()
        for worker_id, ref in list(self.running):
            worker = state.workers[worker_id]
            job, task = state.find_task(ref)
            assert job is not None and task is not None
            if rng.random() >= chance:
                continue
            chance_left = 0.0 if self.world.plain_ends else 1.0
            is_newest = task.worker == worker_id and task.active
            if not is_newest:
                # An older attempt, whose stop may have been answered.
                worker.suspend(ref)
                if rng.random() < 0.5:
                    del self.running[worker_id, ref]
                    state.free_older_attempts(worker, ref, now_s)
                continue
            if (
                rng.random() < 0.1 * chance_left
                and not job.spec.steps[0].gang
                and not task.copies
            ):
                task.retire_newest_attempt()
                state.mark_changed(ref[0])
                if rng.random() < 0.5:
                    settle_missing_copies(state, worker, ref, set(), now_s, now_s)
                continue
            if rng.random() < 0.2 * chance_left and task.phase == Phase.PLACED:
                task.phase = Phase.STOPPING
                continue
            del self.running[worker_id, ref]
            worker.free(ref, now_s)
            job.mark_done(task, now_s)
            state.record_task_done(job, now_s)


class World:
    """Cells whose owners share one store, and one organisation in all of them."""

    def __init__(self, seed: int = 0, cells: int = 3, naive: bool = False):
        self.rng = random.Random(seed)
        self.naive = naive
        self.keeps_copies_of_done = False
        self.plain_ends = False
        self.rows = StoreState()
        self.caps = Caps()
        self.cells = [Cell(f"cell{n}", self) for n in range(cells)]
        self.problems: list[str] = []
        self.jobs = 0

    def used(self) -> int:
        return sum(sum(cell.running.values()) for cell in self.cells)

    def is_idle(self) -> bool:
        return not any(cell.owner and cell.owner.state.active for cell in self.cells)

    def check_start(self, cell: str, job_id: str) -> None:
        limit = self.caps.highest(boot_time_s())
        if self.used() > limit:
            self.problems.append(
                f"{boot_time_s():.3f} {cell} {job_id}: {self.used()} above {limit}"
            )

    def add_job(self, cell: Cell, *steps: Step, organisation: str = NAME) -> JobSpec:
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        spec = JobSpec(job_id, "q/", cell.name, "", steps, organisation=organisation)
        assert cell.owner is not None
        cell.owner.state.add_job(spec, boot_time_s())
        return spec

    async def follow(self, config: OperatorConfig, in_order: bool = False) -> None:
        """Let each owner put a configuration in force, at the latest after 2.9 s.

        :param in_order: whether no process skips a version
        """
        began_s = boot_time_s()

        async def apply(process: Process) -> None:
            await asyncio.sleep(self.rng.uniform(0.0, 2.5))
            while (  # noqa: ASYNC110
                in_order and process.config.version < config.version - 1
            ):
                await asyncio.sleep(0.001)
            assert boot_time_s() - began_s < CONFIG_APPLY_S, "test too slow"
            process.apply(config)

        owners = [cell.owner for cell in self.cells if cell.owner is not None]
        processes = {id(owner.process): owner.process for owner in owners}
        await asyncio.gather(*(apply(process) for process in processes.values()))

    async def run(
        self,
        for_s: float,
        step: Callable[[], None] = lambda: None,
        end_chance: float = 0.0,
        is_over: Callable[[], bool] = lambda: False,
    ) -> None:
        """Let owners place tasks for a time, or until it is over."""
        end_s = boot_time_s() + for_s
        async with anyio.create_task_group() as tasks:
            while boot_time_s() < end_s and not is_over():
                step()
                for cell in self.cells:
                    cell.end_some(end_chance)
                    cell.place()
                    assert cell.owner is not None
                    cell.owner.keeper.update(tasks)
                await asyncio.sleep(TICK_S)
            tasks.cancel_scope.cancel()
