"""A fleet whose VMs a maintenance wave takes down, in virtual time, without network."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from test_order_holder import Mesh, Own
from test_vm_requests import MIGRATE_S, STEP_S, Cell, Platform
from virtual_loop import START_S, virtual_time

from chivetray.capacity.recent_orders import DUTY_TABLE
from chivetray.capacity.reports import CellReports
from chivetray.capacity.runner import ROUND_INTERVAL_S, FleetRunner
from chivetray.cells.evacuation import evacuate
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply
from chivetray.clocks import boot_time_s
from chivetray.events import Event, observe_events
from chivetray.jobs.model import JobSpec, Phase, Step, Task
from chivetray.platform.store import Committed, Row, RowId
from chivetray.platform.stored_records import OperatorConfig, Pool, Wave
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

MAINTENANCE_S = 2.0
RUN_S = 0.8

# Time after its start at which a long-running task is at work.
WARM_UP_S = 1.0

DURATION_S = 26.0

VMS_OF_POOLS = {"a": 32, "b": 36, "c": 40, "d": 44}
SPARE_VMS = 28
WAVE_VMS = 88

# Time for which each queue peaks in turn.
PEAK_S = 6.0

# Time before the wave, in which the pools reach their sizes.
BEFORE_S = 8.0


class WaveCell(Cell):
    """A cell with a long-running step.

    :ivar silent: workers that answer no poll
    :ivar hidden_later: workers that are missing from the list from 6 s on
    :ivar unheard: workers whose last poll has not been answered yet
    """

    def __init__(
        self, name: str, vms: int, lasting: int, may_miss: int, per_worker: int
    ):
        self.silent: set[str] = set()
        self.hidden_later: set[str] = set()
        self.unheard: set[str] = set()
        super().__init__(name, vms)
        self.limit = max(1, may_miss)
        self.lasting: list[Task] = []
        if lasting:
            step = Step(
                lasting,
                2000,
                long_running=True,
                per_worker=per_worker,
                max_unavailable=may_miss,
            )
            spec = JobSpec(f"{name}-lasting", "queue", name, "", (step,))
            job = self.state.add_job(spec, boot_time_s())
            self.work()
            self.lasting = list(job.tasks.values())

    def set_workers(self, worker_ids: list[str]) -> None:
        hidden = self.hidden_later if boot_time_s() > START_S + 6.0 else set()
        super().set_workers([w for w in worker_ids if w not in hidden])

    def unavailable(self) -> int:
        """Return how many long-running tasks are not at work."""
        return sum(
            task.phase != Phase.RUNNING or task.percent < 100 for task in self.lasting
        )

    def work(self) -> None:
        now_s, state = boot_time_s(), self.state
        evacuate(state, now_s)
        place_tasks(state, now_s, int(now_s * 1000))
        state.stop_orders.clear()
        for worker in list(state.workers.values()):
            if worker.worker_id in self.silent:
                worker.silent_since_s = worker.silent_since_s or now_s
                continue
            if worker.worker_id in self.unheard:
                continue
            running, ended = [], []
            for job_id, key in list(worker.tasks):
                job = state.jobs[job_id]
                task, step = job.tasks[key], job.spec.steps[key[1]]
                name = TaskName(job_id, key)
                began_s = self._started_at_s.setdefault((name, task.attempt), now_s)
                age_s = now_s - began_s
                if task.phase != Phase.STOPPING and (
                    step.long_running or age_s < RUN_S
                ):
                    percent = 100 if step.long_running and age_s > WARM_UP_S else 50
                    running.append(RunningTask(name, task.attempt, "", percent, 0))
                    continue
                self._ends[worker.worker_id] += 1
                is_stopped = task.phase == Phase.STOPPING
                how = AttemptEnd.STOPPED if is_stopped else AttemptEnd.DONE
                number = self._ends[worker.worker_id]
                ended.append(EndedTask(number, name, task.attempt, how, ""))
            reply = Reply(Verdict.OK, 2000, 1, running, ended)
            apply_poll_reply(state, worker, reply, now_s, now_s)
        state.take_changed_jobs()


class WavePlatform(Platform):
    """The VM API, with maintenance; it refuses orders for ``busy`` VMs.

    :ivar most_down: most VMs that were down at once
    """

    def __init__(self, cells: dict[str, Cell], spare_vms: int):
        super().__init__(cells, spare_vms)
        self.maintained_at_s: dict[str, float] = {}
        self.busy: set[str] = set()
        self.refusals = 0
        self.most_down = 0

    def is_down(self, vm: str) -> bool:
        return boot_time_s() - self.maintained_at_s.get(vm, 0.0) < MAINTENANCE_S

    async def list_vms(self) -> list[PlatformVm]:
        return [
            PlatformVm(
                vm.name,
                vm.pool,
                PlatformVmState.MAINTENANCE,
                vm.zone,
                vm.labels,
                vm.cpu_milli,
                "",
            )
            if self.is_down(vm.name)
            else vm
            for vm in await super().list_vms()
        ]

    async def move(self, vm: str, target: str, epoch: int) -> VmOrderOutcome:
        if self.is_down(vm):
            self.refusals += 1
            return VmOrderOutcome.BUSY
        return await super().move(vm, target, epoch)

    async def maintain(self, vm: str, _wave: int, _epoch: int) -> VmOrderOutcome:
        if self._is_moving(vm) or vm in self.busy or self.is_down(vm):
            self.refusals += 1
            return VmOrderOutcome.BUSY
        cell = self.cells.get(self.pool_of[vm])
        if cell is not None:
            worker = cell.state.workers.get(self._worker(vm))
            assert worker is None or not worker.tasks, "an order interrupted tasks"
        self.maintained_at_s[vm] = boot_time_s()
        self._lives[vm] += 1
        down = sum(self.is_down(name) for name in self.maintained_at_s)
        self.most_down = max(self.most_down, down)
        return VmOrderOutcome.DONE

    def update_cells(self) -> None:
        for name, cell in self.cells.items():
            up = [vm for vm, pool in self.pool_of.items() if pool == name]
            up = [vm for vm in up if not self._is_moving(vm) and not self.is_down(vm)]
            cell.set_workers([self._worker(vm) for vm in up])


class WaveStore:
    """The rows of the duty and the status of waves."""

    def __init__(self) -> None:
        self.rows: dict[RowId, Row] = {}

    async def read(self, *_: object) -> tuple[list[Row], int]:
        return [row for row in self.rows.values() if row.id.table == DUTY_TABLE], 1

    async def read_row(self, row: RowId) -> Row | None:
        return self.rows.get(row)

    async def transact(self, _: object, writes: dict[RowId, bytes]) -> Committed:
        self.rows |= {row: Row(row, value, 1) for row, value in writes.items()}
        return Committed(1)


class WaveFleet:
    """Four cells, a standby pool and the holder of VM orders, with one wave.

    :param lasting: long-running tasks in each cell
    :param peak_s: time for which each queue peaks in turn
    :ivar holder_lost_at_s: time in the wave at which another process begins to take the
        duty over, which takes 1.5 s
    """

    def __init__(
        self,
        lasting: int = 24,
        cap: int = 12,
        may_miss: int = 1,
        per_worker: int = 0,
        peak_s: float = PEAK_S,
    ):
        self.peak_s = peak_s
        self.cells = {
            name: WaveCell(name, vms, lasting, may_miss, per_worker)
            for name, vms in VMS_OF_POOLS.items()
        }
        self.platform = WavePlatform(dict(self.cells), SPARE_VMS)
        every_second = list(self.platform.pool_of)[::2]
        self.wave = Wave(3, tuple(every_second[:WAVE_VMS]), DURATION_S, cap)
        self.late: list[dict[str, Any]] = []
        self.over_budget: Counter[str] = Counter()
        self.warm_s = 0.0
        observe_events(self._observe)
        directory = SimpleNamespace(
            owned_cells=self.cells, serving_owner_of=lambda _: Mesh.name
        )
        pools = {n: Pool(n, True, n == "spare") for n in (*self.cells, "spare")}
        self.configuration = SimpleNamespace(
            current=OperatorConfig(1, pools=pools), services=set(self.cells), waves={}
        )
        store = WaveStore()
        self.own = Own(store, None)  # type: ignore[arg-type]
        self.holder_lost_at_s: float | None = None
        self.runner = FleetRunner(
            Mesh(),  # type: ignore[arg-type]
            store,  # type: ignore[arg-type]
            directory,  # type: ignore[arg-type]
            self.configuration,  # type: ignore[arg-type]
            self.platform,  # type: ignore[arg-type]
            1.0,
            MIGRATE_S,
            MAINTENANCE_S,
            lambda: None,
        )
        reports = CellReports(Mesh(), directory, lambda: None)  # type: ignore[arg-type]
        self.runner._reports = self.runner._waves._reports = reports

    def _observe(self, event: Event, fields: Any) -> None:
        if event.name == "MAINTENANCE_LATE":
            self.late.append(dict(fields))

    def left(self) -> list[str]:
        """Return the VMs of the wave that were not taken down."""
        return [v for v in self.wave.machines if v not in self.platform.maintained_at_s]

    async def play(self, seconds: float, peak_per_s: float) -> None:
        """Play rounds; the wave begins after ``BEFORE_S``.

        :param peak_per_s: jobs per second of the queue that peaks
        """
        await self.runner._begin(self.own)  # type: ignore[arg-type]
        due = dict.fromkeys(self.cells, 0.0)
        next_round_s = began_s = boot_time_s()
        while boot_time_s() < began_s + BEFORE_S + seconds:
            elapsed_s = boot_time_s() - began_s
            if elapsed_s >= BEFORE_S:
                self.configuration.waves = {"wave/3": self.wave}
            peaking = list(due)[int(elapsed_s / self.peak_s) % len(due)]
            for name in due:
                due[name] += STEP_S * (
                    peak_per_s if name == peaking else peak_per_s / 20
                )
                while due[name] >= 1:
                    due[name] -= 1
                    self.cells[name].add_job(0.0)
            self.platform.update_cells()
            for name, cell in self.cells.items():
                cell.work()
                if elapsed_s > WARM_UP_S + 1 and cell.unavailable() > cell.limit:
                    self.over_budget[name] += 1
            if boot_time_s() >= next_round_s:
                next_round_s = boot_time_s() + ROUND_INTERVAL_S
                self.own.confirmed_at_s = boot_time_s()
                lost_at_s = self.holder_lost_at_s
                if lost_at_s is not None and elapsed_s >= BEFORE_S + lost_at_s:
                    self.holder_lost_at_s = None
                    await asyncio.sleep(1.5)
                    self.own.confirmed_at_s = boot_time_s()
                    await self.runner._begin(self.own)  # type: ignore[arg-type]
                await self.runner._run_round(self.own)  # type: ignore[arg-type]
                await self.runner._waves.store_progress(self.own)  # type: ignore[arg-type]
            await asyncio.sleep(STEP_S)


def play(
    seconds: float = DURATION_S,
    peak_per_s: float = 40.0,
    prepare: Callable[[WaveFleet], None] | None = None,
    **options: Any,
) -> WaveFleet:
    """Play a wave while the queues peak in turn."""
    with virtual_time() as loop:
        fleet = WaveFleet(**options)
        if prepare:
            prepare(fleet)
        loop.run_until_complete(fleet.play(seconds, peak_per_s))
    return fleet
