"""Sizes of pools and maintenance waves of managers."""

from __future__ import annotations

from chivetray.capacity.maintenance import (
    PendingVm,
    PoolCapacity,
    find_vms_under_way,
    plan_wave,
)
from chivetray.capacity.move_plan import Move, plan_moves
from chivetray.capacity.sizing import (
    DemandMeter,
    PoolState,
    PoolVm,
    forecast_demand,
    target_vm_count,
)
from chivetray.platform.vm_api import PlatformVmState

UP, MAINTENANCE = PlatformVmState.UP, PlatformVmState.MAINTENANCE


def vm(name: str, tasks: int = 0, idle_ms: int = 5000, movable: bool = True) -> PoolVm:
    return PoolVm(name, f"w-{name}", 16000, tasks, idle_ms if not tasks else 0, movable)


class TestPeakOfOneQueue:
    def test_a_pool_that_lacks_vms_gets_spares_first(self) -> None:
        pool = PoolState("a", 64000, [vm("a1", 9), vm("a2", 9)])
        idle = PoolState("b", 0, [vm(f"b{n}") for n in range(5)])
        moves = plan_moves([pool, idle], "spare", [vm("s1"), vm("s2")]).moves
        into = [m for m in moves if m.target == "a"]
        assert into[:2] == [Move("s1", "w-s1", "spare", "a"), into[1]]
        assert {m.source for m in into} == {"spare", "b"}

    def test_vms_on_their_way_are_counted(self) -> None:
        pool = PoolState("a", 64000, [vm("a1", 9), vm("a2", 9)], arriving=3)
        assert plan_moves([pool], "spare", [vm("s1")]).moves == []

    def test_a_pool_gets_the_vms_that_its_tasks_need_apart_from_their_demand(
        self,
    ) -> None:
        pool = PoolState("a", 1000, [vm("a1", 1), vm("a2", 1)], required_vms=3)
        assert [m.target for m in plan_moves([pool], "spare", [vm("s1")]).moves] == [
            "a"
        ]

    def test_the_pool_that_is_shortest_of_cores_comes_first(self) -> None:
        pools = [
            PoolState("a", 64000, [vm("a1", 9), vm("a2", 9)]),
            PoolState("b", 200000, [vm("b1", 9), vm("b2", 9)]),
        ]
        assert plan_moves(pools, "spare", [vm("s1")]).moves[0].target == "b"


class TestForecast:
    """Demand at the time when a VM that is ordered now has come."""

    def test_a_backlog_that_is_served_before_that_needs_no_vm(self) -> None:
        """At the end of a peak a third of the VMs once came for nothing."""
        served = forecast_demand(
            100_000, 80_000, 0, capacity_milli=200_000, migrate_s=1
        )
        assert served == 100_000

    def test_a_backlog_that_grows_until_then_is_counted_in_full(self) -> None:
        grown = forecast_demand(24_000, 50_000, 170_000, 24_000, migrate_s=1.5)
        assert grown == 220_000

    def test_arrivals_show_a_peak_before_its_tasks_do(self) -> None:
        assert forecast_demand(20_000, 0, 170_000, 24_000, migrate_s=1.5) == 170_000

    def test_vms_on_their_way_count_for_half(self) -> None:
        pool = PoolState("a", 0, [vm("a1"), vm("a2")], arriving=4)
        assert pool.capacity_milli == 64_000


class TestTrough:
    def test_idle_vms_leave_and_busy_ones_stay(self) -> None:
        pool = PoolState("a", 1000, [vm("a1", 3), vm("a2"), vm("a3"), vm("a4", 1)])
        moves = plan_moves([pool], "spare", []).moves
        assert {m.machine for m in moves} == {"a2", "a3"}
        assert {m.target for m in moves} == {"spare"}

    def test_a_vm_that_has_just_become_idle_stays(self) -> None:
        pool = PoolState("a", 0, [vm("a1", 1), vm("a2", 1), vm("a3", idle_ms=100)])
        assert plan_moves([pool], "spare", []).moves == []

    def test_a_short_gap_moves_nothing(self) -> None:
        meter = DemandMeter()
        meter.record(90000, 0.0)
        assert meter.record(0, 0.3) == 90000
        assert meter.record(0, 2.0) == 0

    def test_a_pool_keeps_its_least_vms(self) -> None:
        assert target_vm_count(0, 16000) == 2
        assert target_vm_count(160000, 16000) == 13


class TestCapOfAWave:
    def test_an_order_without_answer_counts_as_down(self) -> None:
        """Such a VM was once not counted, and one too many was taken down."""
        states = {"m1": UP, "m2": MAINTENANCE, "m3": UP}
        assert len(find_vms_under_way(states, {"m1": 10.0}, 11.0, 2.3)) == 2
        assert len(find_vms_under_way(states, {"m1": 10.0}, 13.0, 2.3)) == 1

    def test_a_vm_that_an_earlier_holder_took_down_counts(self) -> None:
        assert len(find_vms_under_way({"m1": MAINTENANCE}, {}, 5.0, 2.3)) == 1

    def test_no_more_are_emptied_than_may_be_down(self) -> None:
        pending = [PendingVm(f"m{n}", "a", True, False, 0, 16000) for n in range(9)]
        capacities = {"a": PoolCapacity(16000 * 40, 0)}
        assert len(plan_wave(pending, set(), {"m9"}, 4, capacities, 100.0).vms) == 3

    def test_vms_wait_while_their_pool_is_in_need(self) -> None:
        pending = [PendingVm(f"m{n}", "a", True, False, 5, 16000) for n in range(4)]
        capacities = {"a": PoolCapacity(64000, 60000)}
        assert plan_wave(pending, set(), set(), 4, capacities, 100.0).vms == []
        assert len(plan_wave(pending, set(), set(), 4, capacities, 1.0).vms) == 4

    def test_standby_vms_come_first(self) -> None:
        pending = [
            PendingVm("m1", "a", True, False, 0, 16000),
            PendingVm("m2", "spare", True, True, 0, 16000),
        ]
        capacities = {"a": PoolCapacity(160000, 0)}
        assert plan_wave(pending, set(), set(), 1, capacities, 100.0).vms == ["m2"]
