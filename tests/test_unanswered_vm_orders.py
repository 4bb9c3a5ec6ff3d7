"""VM orders without an answer, such as while the platform's VM calls hang in a peak.

An order whose answer is lost may have been carried out or not. Counting it as carried
out loses the VM for good when it was not: the pool waits for a VM that never comes.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import ClassVar

from chivetray.capacity.maintenance import find_vms_under_way
from chivetray.capacity.move_plan import Move
from chivetray.capacity.moves import VmMoves
from chivetray.capacity.reports import CellReport, CellReports, WorkerReport
from chivetray.capacity.runner import FleetRunner
from chivetray.capacity.sizing import DEMAND_WINDOW_S
from chivetray.capacity.wave_runner import WaveRunner
from chivetray.cells.tables import owner_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.platform.store import Committed
from chivetray.platform.stored_records import Wave
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome

UP, MOVING = PlatformVmState.UP, PlatformVmState.MOVING
MAINTENANCE, DOWN = PlatformVmState.MAINTENANCE, PlatformVmState.DOWN
MIGRATE_S = 1.5
CPU_MILLI = 4000


def make_vm(name: str, pool: str, state: PlatformVmState = UP) -> PlatformVm:
    worker_id = "" if pool == "spare" else f"worker-{name}-{pool}"
    return PlatformVm(name, pool, state, "z1", (), CPU_MILLI, worker_id)


class Platform:
    """VMs that move at once when an order reaches them.

    :ivar loses: ``orders`` if orders are lost, ``answers`` if only their answers are
    """

    def __init__(self, *vms: PlatformVm):
        self.vms = {vm.name: vm for vm in vms}
        self.loses = ""
        self.lists_vms = True
        self.orders: list[tuple[str, str, int]] = []

    async def list_vms(self) -> list[PlatformVm] | None:
        return list(self.vms.values()) if self.lists_vms else None

    async def move(self, vm: str, pool: str, epoch: int) -> VmOrderOutcome:
        self.orders.append((vm, pool, epoch))
        if self.loses != "orders":
            self.vms[vm] = make_vm(vm, pool)
        return VmOrderOutcome.UNKNOWN if self.loses else VmOrderOutcome.DONE

    async def maintain(self, vm: str, _wave: int, epoch: int) -> VmOrderOutcome:
        self.orders.append((vm, "maintenance", epoch))
        if self.loses != "orders":
            self.vms[vm] = replace(self.vms[vm], state=MAINTENANCE)
        return VmOrderOutcome.UNKNOWN if self.loses else VmOrderOutcome.DONE


class Reports(CellReports):
    """Reports of owners that run nothing on reserved workers.

    :ivar demand_milli: cores in use by cell, in thousandths
    """

    def __init__(self, platform: Platform):
        super().__init__(SimpleNamespace(handlers={}), None, lambda: None)  # type: ignore[arg-type]
        self._platform = platform
        self.demand_milli: dict[str, int] = {}
        self.reserved: set[str] = set()

    async def request_all(self, cells, reserved_workers, arriving, _=()) -> None:  # type: ignore[no-untyped-def]
        self.reserved = set(reserved_workers)
        self.cells = {
            cell: CellReport(
                self.demand_milli.get(cell, 0), 0, 0, {}, requested_at_s=boot_time_s()
            )
            for cell in cells
        }
        for vm in self._platform.vms.values():
            if vm.pool in self.cells:
                usable = vm.worker_id not in self.reserved
                report = WorkerReport(0, 0, 5000, usable)
                self.cells[vm.pool].workers[vm.worker_id] = report


class Store:
    """Commits every transaction."""

    async def read_row(self, _: object) -> None:
        return None

    async def transact(self, *_: object) -> Committed:
        return Committed(1)


class Duty:
    """The cell of the fleet duty."""

    guard_row = owner_row("~fleet")
    guard_version = 3
    epoch = 7
    lost = leaving = False
    inherited_leases_s: ClassVar[dict[str, float]] = {}

    @property
    def confirmed_at_s(self) -> float:
        return boot_time_s()

    async def transact(self, _: object) -> Committed:
        return Committed(1)


class Fleet:
    """A holder of the fleet duty over a platform, with its rounds played by hand."""

    def __init__(self, *vms: PlatformVm, waves: tuple[Wave, ...] = ()):
        self.platform = Platform(*vms)
        self.now_s = 100.0
        services = ("a", "b")
        pools = [SimpleNamespace(name=n, standby=False) for n in services]
        pools.append(SimpleNamespace(name="spare", standby=True))
        configuration = SimpleNamespace(
            services=services,
            waves={f"wave/{wave.number}": wave for wave in waves},
            current=SimpleNamespace(pools={pool.name: pool for pool in pools}),
        )
        self.runner = FleetRunner(
            SimpleNamespace(handlers={}),  # type: ignore[arg-type]
            Store(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            configuration,  # type: ignore[arg-type]
            self.platform,  # type: ignore[arg-type]
            3.0,
            MIGRATE_S,
            2.0,
            lambda: None,
        )
        self.reports = Reports(self.platform)
        self.runner._reports = self.reports
        self.waves: WaveRunner = self.runner._waves
        self.waves._reports = self.reports

    def rounds(self, count: int) -> None:
        """Play rounds, each with a list of VMs as it is then."""

        async def main() -> None:
            for _ in range(count):
                self.runner._listed_at_s = 0.0
                await self.runner._run_round(Duty())  # type: ignore[arg-type]
                await asyncio.sleep(DEMAND_WINDOW_S / 4)

        asyncio.run(main())

    def pools(self) -> Counter[str]:
        return Counter(vm.pool for vm in self.platform.vms.values())


def standby(count: int) -> list[PlatformVm]:
    return [make_vm(f"s{number}", "spare") for number in range(count)]


class TestVmCallsHangInAPeak:
    def test_lost_orders_are_sent_again_until_they_are_answered(self) -> None:
        fleet = Fleet(*standby(6))
        fleet.reports.demand_milli["a"] = 4 * CPU_MILLI
        fleet.platform.loses = "orders"
        fleet.rounds(3)
        assert fleet.pools()["a"] == 0
        fleet.platform.loses = ""
        fleet.rounds(2)
        assert fleet.pools()["a"] >= 4
        assert {epoch for _, _, epoch in fleet.platform.orders} == {7}

    def test_the_next_peak_gets_the_vms_that_the_first_one_did_not(self) -> None:
        """18 of 30 VMs once counted as arriving to the end of the day."""
        fleet = Fleet(*standby(6))
        fleet.reports.demand_milli["a"] = 4 * CPU_MILLI
        fleet.platform.loses = "orders"
        fleet.rounds(2)
        fleet.platform.loses = ""
        fleet.reports.demand_milli = {"b": 4 * CPU_MILLI}
        fleet.rounds(8)
        assert fleet.pools()["b"] >= 4

    def test_a_vm_gets_no_other_order_before_the_first_is_settled(self) -> None:
        fleet = Fleet(*standby(3))
        fleet.reports.demand_milli["a"] = 3 * CPU_MILLI
        fleet.platform.loses = "orders"
        fleet.rounds(2)
        fleet.reports.demand_milli = {"b": 3 * CPU_MILLI}
        fleet.rounds(3)
        targets: dict[str, set[str]] = {}
        for vm, target, _ in fleet.platform.orders:
            targets.setdefault(vm, set()).add(target)
        assert targets and all(len(found) == 1 for found in targets.values())

    def test_lost_answers_cost_no_second_vm(self) -> None:
        fleet = Fleet(*standby(6))
        fleet.reports.demand_milli["a"] = 2 * CPU_MILLI
        fleet.platform.loses = "answers"
        fleet.rounds(6)
        ordered = Counter(
            vm for vm, target, _ in fleet.platform.orders if target == "a"
        )
        assert set(ordered.values()) == {1}

    def test_no_order_follows_from_a_list_that_is_old(self) -> None:
        fleet = Fleet(*standby(4))
        fleet.rounds(1)
        fleet.platform.orders.clear()
        fleet.platform.lists_vms = False
        fleet.reports.demand_milli["a"] = 4 * CPU_MILLI
        fleet.rounds(2)
        assert fleet.platform.orders == []

    def test_nothing_runs_on_a_vm_that_may_be_leaving(self) -> None:
        vms = [make_vm(f"a{number}", "a") for number in range(4)]
        fleet = Fleet(*vms)
        fleet.platform.loses = "orders"
        fleet.rounds(3)
        ordered = {vm for vm, _, _ in fleet.platform.orders}
        assert ordered
        fleet.platform.lists_vms = False
        fleet.rounds(3)
        assert {f"worker-{vm}-a" for vm in ordered} <= fleet.reports.reserved


class TestMaintenanceOrders:
    WAVE = Wave(3, ("s0", "s1", "s2"), 60.0, cap=1)

    def test_each_sending_is_logged_with_the_epoch_of_the_holder(self, logged) -> None:
        """The log once named orders by their answers only."""
        fleet = Fleet(*standby(3), waves=(self.WAVE,))
        fleet.platform.loses = "orders"
        fleet.rounds(2)
        lines = logged.of(Event.VM_ORDERED)
        sent = [
            (line["vm"], line.get("target", "maintenance"), line["epoch"])
            for line in lines
        ]
        assert sent == fleet.platform.orders
        first, again = (line for line in lines if line["order"] == "maintenance")
        assert (first["vm"], first["wave"]) == (again["vm"], again["wave"])
        assert "report_age_s" not in first, "nothing runs in the standby pool"

    def test_a_lost_order_is_sent_again_and_moves_nothing_meanwhile(self) -> None:
        fleet = Fleet(*standby(3), waves=(self.WAVE,))
        fleet.platform.loses = "orders"
        fleet.rounds(2)
        (first,) = fleet.waves._progress_by_key["wave/3"].unanswered
        assert self.waits(fleet, first)
        fleet.reports.demand_milli["a"] = 3 * CPU_MILLI
        fleet.rounds(2)
        assert all(
            target == "maintenance"
            for vm, target, _ in fleet.platform.orders
            if vm == first
        )
        fleet.platform.loses = ""
        fleet.rounds(1)
        assert not self.waits(fleet, first)

    def test_a_listed_maintenance_settles_an_order_without_answer(self) -> None:
        fleet = Fleet(*standby(3), waves=(self.WAVE,))
        fleet.platform.loses = "answers"
        fleet.rounds(2)
        progress = fleet.waves._progress_by_key["wave/3"]
        assert len(progress.done) == 1 and not progress.unanswered

    def test_a_maintenance_that_began_late_still_counts_as_down(self) -> None:
        """The platform may carry out an order until its call has ended."""

        class SlowPlatform(Platform):
            async def maintain(self, *order: object) -> VmOrderOutcome:
                await asyncio.sleep(0.2)
                return await super().maintain(*order)  # type: ignore[arg-type]

        fleet = Fleet(*standby(3), waves=(self.WAVE,))
        fleet.platform.__class__ = SlowPlatform
        fleet.rounds(1)
        (ordered_at_s,) = fleet.waves._progress_by_key["wave/3"].ordered_at_s.values()
        assert boot_time_s() - ordered_at_s < 0.2
        states = dict.fromkeys(self.WAVE.machines, UP)
        found = find_vms_under_way(
            states, {"s0": ordered_at_s}, ordered_at_s + 2.0, 2.3
        )
        assert found == {"s0"}

    @staticmethod
    def waits(fleet: Fleet, vm: str) -> bool:
        return vm in fleet.waves._progress_by_key["wave/3"].unanswered


class TestMoves:
    """What a list of VMs tells about an order."""

    MOVE = Move("v1", "w1", "a", "b")

    def moves(self, *outcomes: VmOrderOutcome) -> VmMoves:
        moves = VmMoves(MIGRATE_S, lambda: self.now_s)
        self.now_s = 10.0
        for outcome in outcomes:
            moves.begin_order(self.MOVE)
            moves.end_order(self.MOVE, outcome)
        return moves

    @staticmethod
    def listed(pool: str, state: PlatformVmState = UP) -> dict[str, PlatformVm]:
        return {"v1": make_vm("v1", pool, state)}

    def test_an_older_list_settles_nothing(self) -> None:
        moves = self.moves(VmOrderOutcome.UNKNOWN)
        moves.apply_list(self.listed("a"), 9.9)
        assert moves.moves_to_repeat() == [] and moves.arriving() == {"b": 1}

    def test_a_vm_that_has_not_left_is_not_arriving(self) -> None:
        moves = self.moves(VmOrderOutcome.UNKNOWN)
        moves.apply_list(self.listed("a"), 10.1)
        assert moves.moves_to_repeat() == [self.MOVE] and not moves.arriving()
        assert "v1" in moves and moves.ended_workers() == {"w1"}

    def test_a_refused_repetition_leaves_the_order_open(self) -> None:
        moves = self.moves(VmOrderOutcome.UNKNOWN, VmOrderOutcome.BUSY)
        assert "v1" in moves
        moves.apply_list(self.listed("a", MOVING), 10.1)
        assert moves.arriving() == {"b": 1} and moves.moves_to_repeat() == []

    def test_a_refused_order_is_over(self) -> None:
        assert "v1" not in self.moves(VmOrderOutcome.REFUSED)

    def test_a_vm_that_went_down_before_the_move_is_not_awaited(self) -> None:
        moves = self.moves(VmOrderOutcome.UNKNOWN)
        moves.apply_list(self.listed("a", DOWN), 10.1)
        assert "v1" not in moves

    def test_a_vm_in_a_third_pool_is_not_ordered_away_from_it(self) -> None:
        """The order was repeated, though the VM had left the pool that it names."""
        moves = self.moves(VmOrderOutcome.UNKNOWN)
        moves.apply_list(self.listed("c"), 10.1)
        assert moves.moves_to_repeat() == [] and "v1" not in moves

    def test_an_accepted_move_is_over_when_the_vm_is_up_in_its_pool(self) -> None:
        moves = self.moves(VmOrderOutcome.DONE)
        moves.apply_list(self.listed("b", MOVING), 10.1)
        assert "v1" in moves
        moves.apply_list(self.listed("b"), 11.6)
        assert "v1" not in moves and moves.ended_workers() == {"w1"}

    def test_an_accepted_move_without_any_effect_is_given_up_after_its_time(
        self,
    ) -> None:
        moves = self.moves(VmOrderOutcome.DONE)
        moves.apply_list(self.listed("a"), 10.1)
        assert "v1" in moves
        moves.apply_list(self.listed("a"), 12.0)
        assert "v1" not in moves
