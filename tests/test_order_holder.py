"""The holder of VM orders: what it stores before an order, and what it inherits."""

from __future__ import annotations

import asyncio
import time
from typing import ClassVar

import msgpack

from chivetray.capacity.move_plan import Move, plan_moves
from chivetray.capacity.recent_orders import ORDERS_ROW
from chivetray.capacity.reports import CellReport, CellReports, WorkerReport
from chivetray.capacity.runner import FleetRunner
from chivetray.capacity.sizing import PoolVm
from chivetray.cells.state import CellState
from chivetray.cells.tables import owner_row
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.platform.store import Committed, Conflict, OutcomeUnknown, Row, RowId
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome

LEASE_S = 0.5
SPARE = PoolVm("vm-9", "", 4000, 0, 0, True)


class Mesh:
    """A process without peers."""

    name = "m1"

    def __init__(self) -> None:
        self.handlers: dict[str, object] = {}


class Store:
    """The rows of the duty; ``outcome`` takes the place of a success."""

    def __init__(self, *rows: Row):
        self.rows = list(rows)
        self.outcome: object = Committed(1)
        self.stored: list[dict[RowId, bytes]] = []

    async def read(self, *_: object) -> tuple[list[Row], int]:
        return self.rows, 1

    async def transact(
        self, expected: dict[RowId, int], writes: dict[RowId, bytes]
    ) -> object:
        assert owner_row("~fleet") in expected, "a later holder would not be told"
        self.stored.append(writes)
        return self.outcome


class Machines:
    """Counts the orders that were given."""

    def __init__(self) -> None:
        self.moved: list[str] = []

    async def move(self, vm: str, *_: object) -> VmOrderOutcome:
        self.moved.append(vm)
        return VmOrderOutcome.DONE


class Own:
    """The cell of the duty."""

    guard_row = owner_row("~fleet")
    guard_version = 3
    epoch = 2
    lost = leaving = False

    def __init__(self, store: Store, inherited_leases_s: dict[str, float] | None):
        self.inherited_leases_s = inherited_leases_s
        self.confirmed_at_s = boot_time_s()
        self._store = store

    async def transact(self, writes: dict[RowId, bytes]) -> object:
        return await self._store.transact({self.guard_row: 3}, writes)


class Holder:
    """A process that has just taken the duty."""

    def __init__(self, *rows: Row, inherited_leases_s: dict[str, float] | None = None):
        self.store = Store(*rows)
        self.machines = Machines()
        self.own = Own(self.store, inherited_leases_s)
        self.runner = FleetRunner(
            Mesh(),  # type: ignore[arg-type]
            self.store,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            self.machines,  # type: ignore[arg-type]
            LEASE_S,
            1.5,
            2.0,
            lambda: None,
        )

    def begin_and_move(self, *vms: str) -> list[str]:
        """Begin, try to move VMs, and return those that got the order."""

        async def main() -> None:
            await self.runner._begin(self.own)  # type: ignore[arg-type]
            self.own.confirmed_at_s = boot_time_s()
            moves = [Move(vm, "", "spare", "pool-a") for vm in vms]
            await self.runner._send_orders(self.own, [], moves)  # type: ignore[arg-type]

        asyncio.run(main())
        return self.machines.moved


def orders(content: bytes) -> Row:
    return Row(ORDERS_ROW, content, 7)


class TestEarlierHolderThatFailed:
    def test_only_the_vms_that_it_had_orders_for_are_left_alone(self) -> None:
        """All were once left alone for 3.3 s, in which no pool could grow."""
        holder = Holder(orders(msgpack.packb(["vm-1"])))
        assert holder.begin_and_move("vm-1", "vm-2") == ["vm-2"]

    def test_the_first_holder_waits_for_nothing(self) -> None:
        assert Holder().begin_and_move("vm-1") == ["vm-1"]

    def test_orders_that_cannot_be_read_may_be_for_any_vm(self) -> None:
        began_s = time.monotonic()
        Holder(orders(b"\xc1")).begin_and_move("vm-1")
        assert time.monotonic() - began_s >= LEASE_S

    def test_what_it_said_when_it_gave_the_duty_up_goes_first(self) -> None:
        holder = Holder(
            orders(msgpack.packb(["vm-1"])), inherited_leases_s={"vm-2": 1.0}
        )
        assert holder.begin_and_move("vm-1", "vm-2") == ["vm-1"]


class TestWriteAhead:
    def test_an_order_is_stored_before_it_is_given(self) -> None:
        holder = Holder()
        holder.begin_and_move("vm-1", "vm-2")
        (stored,) = holder.store.stored
        assert msgpack.unpackb(stored[ORDERS_ROW]) == ["vm-1", "vm-2"]

    def test_vms_that_are_left_alone_stay_listed_for_the_next_holder(self) -> None:
        holder = Holder(orders(msgpack.packb(["vm-9"])))
        holder.begin_and_move("vm-1")
        (stored,) = holder.store.stored
        assert msgpack.unpackb(stored[ORDERS_ROW]) == ["vm-1", "vm-9"]

    def test_without_the_duty_no_order_is_given(self) -> None:
        holder = Holder()
        holder.store.outcome = Conflict({})
        assert holder.begin_and_move("vm-1") == []

    def test_without_an_answer_of_the_store_no_order_is_given(self) -> None:
        holder = Holder()
        holder.store.outcome = OutcomeUnknown("silence")
        assert holder.begin_and_move("vm-1") == []


class TestPoolStates:
    def test_vms_that_are_not_up_are_neither_room_nor_spare(self) -> None:
        holder = Holder()
        up, down = PlatformVmState.UP, PlatformVmState.MAINTENANCE
        holder.runner._machines = [
            PlatformVm(name, pool, state, "z1", (), 4000, f"w-{name}")
            for name, pool, state in [
                ("vm-1", "pool-a", up),
                ("vm-2", "pool-a", down),
                ("vm-3", "spare", up),
                ("vm-4", "spare", down),
            ]
        ]
        workers = {f"w-vm-{n}": WorkerReport(1, 1000, 0, True) for n in (1, 2)}
        report = CellReport(6000, 0, 9000, workers)
        holder.runner._reports.cells["pool-a"] = report
        (pool,), spares = holder.runner._pool_states(["spare"], 1.0)
        assert [vm.machine for vm in pool.vms] == ["vm-1"]
        assert pool.demand_milli == 9000
        assert [(vm.machine, vm.movable) for vm in spares] == [
            ("vm-3", True),
            ("vm-4", False),
        ]


class TestReports:
    def test_an_owner_tells_its_load_and_keeps_wanted_workers_empty(self) -> None:
        """A name that hid a function once ended every holder at its first round."""

        class Owner:
            state = CellState("pool-a")
            leaving = False
            epoch = 1
            confirmed_at_s = boot_time_s()

            def wake(self) -> None:
                pass

        class Directory:
            owned_cells: ClassVar = {"pool-a": Owner()}

            def serving_owner_of(self, cell: str) -> str | None:
                return Mesh.name if cell in self.owned_cells else None

        entry = WorkerRecord(
            "w0", "pool-a", "10.0.0.1:80", "z1", False, 1, 4000, 8192, 0, ()
        )
        Owner.state.update_workers([entry], 0.0)
        reports = CellReports(Mesh(), Directory(), lambda: None)  # type: ignore[arg-type]
        asyncio.run(reports.request_all(["pool-a", "pool-b"], ["w0"], {}))
        assert list(reports.cells) == ["pool-a"]
        assert not reports.cells["pool-a"].workers["w0"].usable
        assert Owner.state.workers["w0"].is_reserved(boot_time_s())


class TestWaveInAPoolWithFewVms:
    def test_a_vm_that_a_wave_empties_is_no_capacity_of_its_pool(self) -> None:
        """A queue once peaked on one of its two VMs; the other was being emptied."""
        holder = Holder()
        holder.runner._machines = [
            PlatformVm(f"vm-{n}", "pool-a", PlatformVmState.UP, "z1", (), 4000, f"w{n}")
            for n in (1, 2)
        ]
        workers = {f"w{n}": WorkerReport(1, 1000, 0, True) for n in (1, 2)}
        holder.runner._reports.cells["pool-a"] = CellReport(2000, 0, 0, workers)
        holder.runner._waves.emptying = {"vm-2": "w2"}
        (pool,), _ = holder.runner._pool_states(["spare"], 1.0)
        assert [vm.machine for vm in pool.vms] == ["vm-1"]
        assert [m.target for m in plan_moves([pool], "spare", [SPARE]).moves] == [
            "pool-a"
        ]


class TestLogOfOrders:
    """A VM order could not be told from one that was based on an old report."""

    def test_an_order_names_the_report_that_it_is_based_on(self, logged) -> None:
        holder = Holder()
        worker = WorkerReport(0, 0, 5000, False)
        up = PlatformVmState.UP
        vm = PlatformVm("vm-1", "pool-a", up, "z1", (), 4000, "w1")
        holder.runner._reports.cells["pool-a"] = CellReport(
            0, 0, 0, {"w1": worker}, 0, "m2", boot_time_s() - 2.0
        )

        async def main() -> None:
            await holder.runner._begin(holder.own)  # type: ignore[arg-type]
            holder.runner._machines = [vm]
            moves = [Move("vm-1", "w1", "pool-a", "spare")]
            await holder.runner._send_orders(holder.own, [], moves)  # type: ignore[arg-type]

        asyncio.run(main())
        (line,) = logged.of(Event.VM_ORDERED)
        age_s = line.pop("report_age_s")
        assert 2.0 <= age_s < 3.0
        assert line == {
            "order": "move",
            "vm": "vm-1",
            "worker": "w1",
            "source": "pool-a",
            "target": "spare",
            "epoch": 2,
            "report_from": "m2",
            "tasks": 0,
            "usable": False,
        }


class TestPeakThatIsOver:
    def test_an_idle_vm_leaves_in_the_round_that_plans_it(self) -> None:
        """Its worker was once reserved in one round and the order sent in the next."""
        holder = Holder()
        holder.runner._machines = [
            PlatformVm(f"vm-{n}", "pool-a", PlatformVmState.UP, "z1", (), 4000, f"w{n}")
            for n in range(4)
        ]
        reserved: list[str] = []

        async def request_all(cells, reserved_workers, arriving, _=()) -> None:  # type: ignore[no-untyped-def]
            reserved[:] = reserved_workers
            workers = {
                f"w{n}": WorkerReport(0, 0, 5000, f"w{n}" not in reserved)
                for n in range(4)
            }
            holder.runner._reports.cells["pool-a"] = CellReport(
                0, 0, 0, workers, requested_at_s=boot_time_s()
            )

        async def main() -> None:
            await request_all([], [], {})
            holder.runner._reports.request_all = request_all  # type: ignore[method-assign]
            await holder.runner._begin(holder.own)  # type: ignore[arg-type]
            holder.runner._machines = machines
            moves = await holder.runner._plan_moves(["spare"])
            await holder.runner._send_orders(holder.own, [], moves)  # type: ignore[arg-type]

        machines = holder.runner._machines
        asyncio.run(main())
        assert len(holder.machines.moved) == 2
        assert {f"w{vm[-1]}" for vm in holder.machines.moved} == set(reserved)
