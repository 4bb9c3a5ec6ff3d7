"""VMs that pools are asked to give up, over many rounds of the holder of VM orders.

The load: a queue whose turn is over holds VMs for late jobs while the next queue peaks.
The plan was once made anew in each round. A VM that had just been emptied dropped out
of it, the evacuated tasks returned there and other VMs were asked for: one task was
started eight times within 4 s, and 8 of about 150 VMs moved.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from types import SimpleNamespace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from test_order_holder import Mesh, Own, Store
from virtual_loop import virtual_time

from chivetray.capacity.move_plan import Move, MovePlan, plan_moves
from chivetray.capacity.reports import CellReports
from chivetray.capacity.runner import ROUND_INTERVAL_S, FleetRunner
from chivetray.capacity.sizing import PoolState, PoolVm
from chivetray.capacity.vm_requests import REQUEST_TIMEOUT_S, VmRequests
from chivetray.cells.evacuation import EVACUATIONS_LIMIT, evacuate
from chivetray.cells.orders import StopReason
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.events import Event, observe_events
from chivetray.jobs.model import JobSpec, Phase, Step
from chivetray.platform.stored_records import OperatorConfig, Pool, WorkerRecord
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

VM_MILLI = 16_000
STEP_S = 0.05
MIGRATE_S = 1.5
RUN_S = 0.8


class Cell:
    """A cell whose workers start, run and stop tasks without delay.

    :ivar stops: number of stops for an evacuation by task
    """

    def __init__(self, name: str, vms: int):
        self.state = CellState(name)
        self.leaving = False
        self.epoch = 1
        self.stops: Counter[Any] = Counter()
        self._started_at_s: dict[tuple[Any, int], float] = {}
        self._ends: Counter[str] = Counter()
        self._jobs = 0
        self.set_workers([f"w-{name}{number}-0" for number in range(vms)])

    @property
    def confirmed_at_s(self) -> float:
        return boot_time_s()

    def wake(self) -> None:
        pass

    def set_workers(self, worker_ids: list[str]) -> None:
        rows = [
            WorkerRecord(
                w, self.state.name, "10.0.0.1:80", "z", False, 1, VM_MILLI, 65536, 0, ()
            )
            for w in worker_ids
        ]
        self.state.update_workers(rows, boot_time_s())
        for worker in self.state.workers.values():
            if not worker.tasks_known and worker.listed:
                worker.tasks_known = True
                worker.clock.observe(1000, boot_time_s(), boot_time_s())

    def add_job(self, age_s: float) -> None:
        self._jobs += 1
        spec = JobSpec(
            f"{self.state.name}-{self._jobs:014x}",
            "queue",
            self.state.name,
            "",
            (Step(8, 1500, estimate_ms=int(RUN_S * 1000), checkpointing=True),),
            stretch=1.6,
            target_ms=600,
        )
        self.state.add_job(spec, boot_time_s() - age_s, is_new=age_s == 0)

    def work(self) -> None:
        """Decide, and carry all orders out."""
        now_s, state = boot_time_s(), self.state
        evacuate(state, now_s)
        place_tasks(state, now_s, int(now_s * 1000))
        for order in state.stop_orders:
            if order.reason == StopReason.EVACUATION:
                self.stops[order.name] += 1
        state.stop_orders.clear()
        for worker in list(state.workers.values()):
            running, ended = [], []
            for job_id, key in list(worker.tasks):
                task = state.jobs[job_id].tasks[key]
                name = TaskName(job_id, key)
                began_s = self._started_at_s.setdefault((name, task.attempt), now_s)
                how = None
                if task.phase == Phase.STOPPING:
                    how = AttemptEnd.STOPPED
                elif now_s - began_s >= RUN_S:
                    how = AttemptEnd.DONE
                if how is None:
                    running.append(RunningTask(name, task.attempt, "", 50, 0))
                    continue
                self._ends[worker.worker_id] += 1
                number = self._ends[worker.worker_id]
                ended.append(EndedTask(number, name, task.attempt, how, ""))
            reply = Reply(Verdict.OK, 2000, 1, running, ended)
            apply_poll_reply(state, worker, reply, now_s, now_s)
        state.take_changed_jobs()


class Platform:
    """The VM API: a move takes ``MIGRATE_S``, after which another worker is listed."""

    def __init__(self, cells: dict[str, Cell], spare_vms: int):
        self.cells = cells
        self.moved_at_s: dict[str, float] = {}
        self._lives: Counter[str] = Counter()
        self.pool_of = {
            f"{name}{number}": name
            for name, cell in cells.items()
            for number in range(len(cell.state.workers))
        }
        self.pool_of |= {f"spare{number}": "spare" for number in range(spare_vms)}

    async def list_vms(self) -> list[PlatformVm]:
        return [
            PlatformVm(
                vm,
                pool,
                PlatformVmState.MOVING if self._is_moving(vm) else PlatformVmState.UP,
                "z",
                (),
                VM_MILLI,
                "" if self._is_moving(vm) or pool == "spare" else self._worker(vm),
            )
            for vm, pool in self.pool_of.items()
        ]

    def _is_moving(self, vm: str) -> bool:
        return boot_time_s() - self.moved_at_s.get(vm, 0.0) < MIGRATE_S

    def _worker(self, vm: str) -> str:
        return f"w-{vm}-{self._lives[vm]}"

    async def move(self, vm: str, target: str, _epoch: int) -> VmOrderOutcome:
        source = self.cells.get(self.pool_of[vm])
        if source is not None:
            worker = source.state.workers[self._worker(vm)]
            assert not worker.tasks, "an order interrupted tasks"
        self.pool_of[vm] = target
        self.moved_at_s[vm] = boot_time_s()
        self._lives[vm] += 1
        return VmOrderOutcome.DONE

    def update_cells(self) -> None:
        for name, cell in self.cells.items():
            cell.set_workers(
                [
                    self._worker(vm)
                    for vm, pool in self.pool_of.items()
                    if pool == name and not self._is_moving(vm)
                ]
            )


class Fleet:
    """Two cells and the holder of VM orders in virtual time."""

    def __init__(self, first_vms: int, second_vms: int):
        self.cells = {"a": Cell("a", first_vms), "b": Cell("b", second_vms)}
        self.platform = Platform(self.cells, 0)
        self.requested: list[tuple[float, str]] = []
        self.ended: dict[str, list[tuple[float, str]]] = defaultdict(list)
        observe_events(self._observe)
        directory = SimpleNamespace(
            owned_cells=self.cells, serving_owner_of=lambda _: Mesh.name
        )
        pools = {n: Pool(n, True, n == "spare") for n in ("a", "b", "spare")}
        configuration = SimpleNamespace(
            current=OperatorConfig(1, pools=pools), services={"a", "b"}, waves={}
        )
        self.own = Own(Store(), {})
        self.runner = FleetRunner(
            Mesh(),  # type: ignore[arg-type]
            Store(),  # type: ignore[arg-type]
            directory,  # type: ignore[arg-type]
            configuration,  # type: ignore[arg-type]
            self.platform,  # type: ignore[arg-type]
            1.0,
            MIGRATE_S,
            2.0,
            lambda: None,
        )
        self.runner._reports = CellReports(Mesh(), directory, lambda: None)  # type: ignore[arg-type]

    def _observe(self, event: Event, fields: Any) -> None:
        if event == Event.VM_REQUESTED:
            self.requested.append((boot_time_s(), fields["vm"]))
        elif event == Event.VM_REQUEST_WITHDRAWN:
            self.ended[fields["vm"]].append((boot_time_s(), fields["reason"]))
        elif event == Event.VM_ORDERED:
            self.ended[fields["vm"]].append((boot_time_s(), "ordered"))

    async def play(self, seconds: float, jobs_per_s: dict[str, float]) -> None:
        await self.runner._begin(self.own)  # type: ignore[arg-type]
        due = dict.fromkeys(jobs_per_s, 0.0)
        next_round_s = boot_time_s()
        until_s = boot_time_s() + seconds
        while boot_time_s() < until_s:
            for name, rate in jobs_per_s.items():
                due[name] += rate * STEP_S
                while due[name] >= 1:
                    due[name] -= 1
                    self.cells[name].add_job(0.0)
            self.platform.update_cells()
            for cell in self.cells.values():
                cell.work()
            if boot_time_s() >= next_round_s:
                next_round_s = boot_time_s() + ROUND_INTERVAL_S
                self.own.confirmed_at_s = boot_time_s()
                await self.runner._run_round(self.own)  # type: ignore[arg-type]
            await asyncio.sleep(STEP_S)


class TestTurnOfTheNextQueue:
    """Queue a holds 20 VMs with late jobs while queue b peaks on two."""

    def play(self) -> Fleet:
        with virtual_time() as loop:
            fleet = Fleet(20, 2)
            for _ in range(600):
                fleet.cells["a"].add_job(age_s=30.0)
            loop.run_until_complete(fleet.play(8.0, {"b": 22.0}))
        return fleet

    def test_vms_leave_and_no_task_is_stopped_again_and_again(self) -> None:
        fleet = self.play()
        stops = fleet.cells["a"].stops
        assert max(stops.values(), default=0) <= EVACUATIONS_LIMIT
        assert list(fleet.platform.pool_of.values()).count("b") >= 12

    def test_each_requested_vm_gets_its_order_or_a_reason(self) -> None:
        fleet = self.play()
        assert fleet.requested
        for at_s, vm in fleet.requested:
            if at_s > 1008.0 - REQUEST_TIMEOUT_S:
                continue
            ends = [s for s, _ in fleet.ended[vm] if at_s <= s]
            assert ends and min(ends) - at_s <= REQUEST_TIMEOUT_S + ROUND_INTERVAL_S


class TestRequestsUnderAnyDemand:
    """Rounds of the plan alone, with demand that jumps from round to round."""

    demands = st.lists(
        st.tuples(st.integers(0, 40), st.integers(0, 40), st.integers(0, 40)),
        min_size=2,
        max_size=40,
    )

    @given(demands, st.integers(0, 6))
    @settings(max_examples=60, deadline=None)
    def test_no_request_is_forgotten(
        self, demands: list[tuple[int, int, int]], spares: int
    ) -> None:
        """A VM that was asked for is in the next plan, or that plan says why not."""
        now_s = [0.0]
        requests = VmRequests(lambda: now_s[0])
        pool_of = {f"a{n}": "a" for n in range(20)} | {f"b{n}": "b" for n in range(3)}
        pool_of |= {f"s{n}": "spare" for n in range(spares)}
        busy_until_s = dict.fromkeys(pool_of, 0.6)
        for in_time, late, other in demands:
            now_s[0] += ROUND_INTERVAL_S
            pools = [
                self._pool("a", pool_of, busy_until_s, now_s[0], in_time, late),
                self._pool("b", pool_of, busy_until_s, now_s[0], other, 0),
            ]
            standby = [
                PoolVm(vm, "", VM_MILLI, 0, 0, True)
                for vm, pool in pool_of.items()
                if pool == "spare"
            ]
            requested = requests.moves()
            plan = plan_moves(pools, "spare", standby, requested)
            self._check(plan, requested)
            for vm, reason in plan.withdrawn.items():
                requests.withdraw(vm, reason)
            requests.request(m for m in plan.moves if m.source != "spare")
            for move in plan.moves:
                if busy_until_s[move.machine] <= now_s[0]:
                    pool_of[move.machine] = move.target
                    requests.settle(move.machine)
            for vm in pool_of:
                if vm not in requests and busy_until_s[vm] <= now_s[0]:
                    busy_until_s[vm] = now_s[0] + 0.6

    @staticmethod
    def _check(plan: MovePlan, requested: dict[str, Move]) -> None:
        planned = [move.machine for move in plan.moves]
        assert len(planned) == len(set(planned))
        for vm in requested:
            assert (vm in planned) != (vm in plan.withdrawn)
        assert all(move.source != move.target for move in plan.moves)

    @staticmethod
    def _pool(
        name: str,
        pool_of: dict[str, str],
        busy_until_s: dict[str, float],
        now_s: float,
        in_time: int,
        late: int,
    ) -> PoolState:
        vms = []
        for vm, pool in pool_of.items():
            if pool == name:
                left_ms = max(0, int((busy_until_s[vm] - now_s) * 1000))
                tasks = int(left_ms > 0)
                vms.append(PoolVm(vm, f"w-{vm}", VM_MILLI, tasks, 20, True, left_ms))
        return PoolState(
            name, in_time * VM_MILLI, vms, late_demand_milli=late * VM_MILLI
        )
