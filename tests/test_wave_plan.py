"""Rounds of a maintenance wave: the plan, the cap, budgets of long-running steps."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from test_vm_requests import MIGRATE_S, STEP_S
from test_wave_runner import Holder, Machines
from test_wave_runner import Own as DutyCell
from virtual_loop import virtual_time
from wave_fleet import MAINTENANCE_S, WARM_UP_S, WaveCell

from chivetray.capacity.maintenance import (
    END_RESERVE_S,
    MAX_LASTING_PER_POOL,
    PendingVm,
    PoolCapacity,
    find_due_vms,
    plan_wave,
)
from chivetray.capacity.runner import ROUND_INTERVAL_S
from chivetray.capacity.wave_waits import WaitReason
from chivetray.cells.evacuation import reserve_workers
from chivetray.clocks import boot_time_s
from chivetray.platform.stored_records import Wave
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome

PLANNED_VMS = [f"vm-{number}" for number in range(12)]


class ErraticPlatform(Machines):
    """Some orders are refused, some answers are lost, and the list may be older."""

    def __init__(self, data: st.DataObject):
        super().__init__()
        self.data = data
        self.down_since_s: dict[str, float] = {}
        self.moved_at_s: dict[str, float] = {}
        self.most_down = 0

    def state(self, vm: str, at_s: float) -> PlatformVmState:
        if 0 <= at_s - self.down_since_s.get(vm, -9.0) < MAINTENANCE_S:
            return PlatformVmState.MAINTENANCE
        if 0 <= at_s - self.moved_at_s.get(vm, -9.0) < MIGRATE_S:
            return PlatformVmState.MOVING
        return PlatformVmState.UP

    async def maintain(self, vm: str, *_: object) -> VmOrderOutcome:
        now_s = boot_time_s()
        kind = self.data.draw(st.sampled_from(("done", "done", "busy", "lost", "late")))
        if kind == "busy" or self.state(vm, now_s) == PlatformVmState.MOVING:
            return VmOrderOutcome.BUSY
        if kind != "lost" and vm not in self.down_since_s:
            self.down_since_s[vm] = now_s
            down = [
                v
                for v in PLANNED_VMS
                if self.state(v, now_s) == PlatformVmState.MAINTENANCE
            ]
            self.most_down = max(self.most_down, len(down))
        return VmOrderOutcome.DONE if kind == "done" else VmOrderOutcome.UNKNOWN


class TestCapOverManyRounds:
    @given(st.data(), st.integers(1, 4))
    @settings(max_examples=40, deadline=None)
    def test_no_more_vms_are_down_than_allowed(
        self, data: st.DataObject, cap: int
    ) -> None:
        """Lists of VMs are old, orders are lost or refused, VMs move in between."""
        wave = Wave(3, tuple(PLANNED_VMS), 10.0, cap)

        async def main() -> ErraticPlatform:
            holder = Holder()
            platform = ErraticPlatform(data)
            holder.runner._client = platform  # type: ignore[assignment]
            holder.runner._configuration = SimpleNamespace(waves={"wave/3": wave})  # type: ignore[assignment]
            own = DutyCell(holder.store)
            await holder.orders.begin(own, [])  # type: ignore[arg-type]
            for _ in range(data.draw(st.integers(5, 60))):
                at_s = boot_time_s() - data.draw(st.sampled_from((0.0, 0.15, 0.3)))
                by_name = {
                    vm: PlatformVm(
                        vm, "spare", platform.state(vm, at_s), "z", (), 4000, ""
                    )
                    for vm in PLANNED_VMS
                }
                own.confirmed_at_s = boot_time_s()
                for order in holder.runner.plan(by_name, {"spare"}, set()):
                    await holder.runner.send(own, order)  # type: ignore[arg-type]
                moving = data.draw(st.sampled_from(PLANNED_VMS))
                is_up = by_name[moving].state == PlatformVmState.UP
                if is_up and not holder.runner.claims(moving):
                    platform.moved_at_s[moving] = boot_time_s()
                await asyncio.sleep(ROUND_INTERVAL_S)
            return platform

        with virtual_time() as loop:
            platform = loop.run_until_complete(main())
        assert platform.most_down <= cap


class TestBudgetOverManyRounds:
    rounds = st.lists(
        st.tuples(
            st.sets(st.integers(0, 7)),
            st.sets(st.integers(0, 7)),
            st.sets(st.integers(0, 7), max_size=1),
        ),
        min_size=5,
        max_size=40,
    )

    @given(rounds, st.integers(0, 3), st.integers(0, 2))
    @settings(max_examples=60, deadline=None)
    def test_no_more_tasks_are_unavailable_than_allowed(
        self,
        rounds: list[tuple[set[int], set[int], set[int]]],
        may_miss: int,
        per_worker: int,
    ) -> None:
        """Workers are reserved, released and await maintenance in any order."""

        async def main() -> None:
            cell = WaveCell("a", 8, 4, may_miss, per_worker)
            for _ in range(int(WARM_UP_S / STEP_S) + 2):
                await asyncio.sleep(STEP_S)
                cell.work()
            assert cell.unavailable() == 0
            for reserved, awaiting, slow in rounds:
                names = list(cell.state.workers)
                reserve_workers(
                    cell.state,
                    [names[k] for k in reserved],
                    boot_time_s(),
                    (),
                    [names[k] for k in awaiting],
                )
                # These answer no poll for a round, without being silent.
                cell.unheard = {names[k] for k in slow}
                for _ in range(10):
                    await asyncio.sleep(STEP_S)
                    cell.work()
                    assert cell.unavailable() <= cell.limit

        with virtual_time() as loop:
            loop.run_until_complete(main())


class TestBackwardsPlan:
    def test_the_slowest_vms_are_due_first(self) -> None:
        slow = PendingVm("slow", "a", True, False, 4, 16000, long_running=3)
        idle = [PendingVm(f"m{n}", "a", True, False, 0, 16000) for n in range(3)]
        due = find_due_vms([slow, *idle], 4, 10.0 + END_RESERVE_S - 2.0, 2.0)
        assert due == {"slow"}

    def test_a_vm_that_cannot_leave_holds_no_slot(self) -> None:
        stuck = PendingVm("stuck", "a", True, False, 2, 16000, long_running=2)
        other = PendingVm("other", "a", True, False, 0, 16000)
        capacities = {"a": PoolCapacity(160000, 0)}
        plan = plan_wave([stuck, other], {"stuck"}, set(), 1, capacities, 100.0)
        assert plan.vms == ["stuck", "other"]
        assert plan.waits["stuck"] == WaitReason.LONG_RUNNING

    def test_the_next_vm_is_emptied_while_a_slot_ends(self) -> None:
        vm = PendingVm("m1", "a", True, False, 3, 16000, empties_in_s=0.8)
        capacities = {"a": PoolCapacity(160000, 0)}
        for ending_soon, chosen in ((0, []), (1, ["m1"])):
            plan = plan_wave(
                [vm], set(), {"m0"}, 1, capacities, 100.0, 2.0, ending_soon
            )
            assert plan.vms == chosen

    def test_a_requested_vm_is_taken_once_it_is_due(self) -> None:
        vm = PendingVm("m1", "a", True, False, 0, 16000, requested=True)
        capacities = {"a": PoolCapacity(160000, 0)}
        early = plan_wave([vm], set(), set(), 1, capacities, 100.0)
        assert early.vms == [] and early.waits == {"m1": WaitReason.REQUESTED}
        assert plan_wave([vm], set(), set(), 1, capacities, 5.0).vms == ["m1"]

    def test_few_vms_of_a_pool_are_reserved_for_their_long_running_tasks(self) -> None:
        """All of them once served nobody while one after another was emptied."""
        pending = [
            PendingVm(f"m{n}", "a", True, False, 2, 16000, long_running=2)
            for n in range(9)
        ]
        plan = plan_wave(pending, set(), set(), 9, {}, 0.0)
        assert len(plan.vms) == MAX_LASTING_PER_POOL
