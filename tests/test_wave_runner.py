"""Orders of a maintenance wave: the cap, lost answers, an earlier holder's orders."""

from __future__ import annotations

import asyncio

import msgpack

from chivetray.capacity.recent_orders import ORDERS_ROW, RecentOrders
from chivetray.capacity.reports import OrderBasis
from chivetray.capacity.wave_runner import WaveRunner
from chivetray.cells.tables import owner_row
from chivetray.clocks import boot_time_s
from chivetray.platform.store import Committed, Row, RowId
from chivetray.platform.stored_records import STATUS_TABLE, Wave, encode_wave_status
from chivetray.platform.vm_api import (
    PlatformVm,
    PlatformVmState,
    VmOrderOutcome,
    _decode_machine,
)

VMS = tuple(f"vm-{number}" for number in range(6))
WAVE = Wave(3, VMS, 10.0, cap=2)


class Store:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.rows: dict[RowId, bytes] = {}

    async def read_row(self, row: RowId) -> Row | None:
        value = self.rows.get(row)
        return None if value is None else Row(row, value, 1)

    async def transact(self, _: object, writes: dict[RowId, bytes]) -> Committed:
        self.rows |= writes
        return Committed(1)


class Machines:
    """Takes orders; ``answer`` is given to each."""

    def __init__(self) -> None:
        self.answer = VmOrderOutcome.DONE
        self.ordered: list[str] = []

    async def maintain(self, vm: str, *_: object) -> VmOrderOutcome:
        self.ordered.append(vm)
        return self.answer


class Reports:
    """No pool has an owner; VMs of the standby pool are empty."""

    cells: dict[str, object] = {}

    def is_empty(self, machine: PlatformVm, standby: set[str]) -> bool:
        return machine.pool in standby

    def worker(self, _: PlatformVm) -> None:
        return None

    def basis(self, *_: str) -> OrderBasis:
        return OrderBasis()


class Configuration:
    """One wave."""

    waves = {"wave/3": WAVE}


class Own:
    """The cell of the duty."""

    guard_row = owner_row("~fleet")
    guard_version = 3
    epoch = 2
    lost = leaving = False

    def __init__(self, store: Store) -> None:
        self.inherited_leases_s: dict[str, float] | None = None
        self.confirmed_at_s = boot_time_s()
        self._store = store

    async def transact(self, writes: dict[RowId, bytes]) -> Committed:
        return await self._store.transact({}, writes)


class Holder:
    """A process that gives the orders of a wave.

    :param earlier: VMs that an earlier holder had stored as getting an order
    """

    def __init__(self, *earlier: str):
        self.store = Store()
        self.machines = Machines()
        self.orders = RecentOrders(3.0)
        self.runner = WaveRunner(
            self.store,  # type: ignore[arg-type]
            Configuration(),  # type: ignore[arg-type]
            self.machines,  # type: ignore[arg-type]
            self.orders,
            Reports(),  # type: ignore[arg-type]
            2.0,
        )
        self.states = dict.fromkeys(VMS, PlatformVmState.UP)
        self.rows = [Row(ORDERS_ROW, bytes(msgpack.packb(list(earlier))), 1)]

    def rounds(self, count: int = 1) -> list[str]:
        """Play some rounds and return all VMs that got the order."""

        async def main() -> None:
            own = Own(self.store)
            await self.orders.begin(own, self.rows)  # type: ignore[arg-type]
            for _ in range(count):
                by_name = {
                    vm: PlatformVm(vm, "spare", state, "z1", (), 4000, "")
                    for vm, state in self.states.items()
                }
                own.confirmed_at_s = boot_time_s()
                for order in self.runner.plan(by_name, {"spare"}, set()):
                    await self.runner.send(own, order)  # type: ignore[arg-type]
                await self.runner.store_progress(own)  # type: ignore[arg-type]

        asyncio.run(main())
        return self.machines.ordered

    def status(self) -> bytes | None:
        return self.store.rows.get(RowId(STATUS_TABLE, "", "wave/3"))


class TestCap:
    def test_no_more_are_down_at_once_than_the_wave_allows(self) -> None:
        assert len(Holder().rounds(5)) == 2

    def test_an_order_without_answer_counts_as_carried_out(self) -> None:
        holder = Holder()
        holder.machines.answer = VmOrderOutcome.UNKNOWN
        assert len(set(holder.rounds(5))) == 2

    def test_orders_of_an_earlier_holder_count_before_the_list_shows_them(
        self,
    ) -> None:
        """Its orders once were seen only in the list, which may be older."""
        assert Holder(VMS[4], VMS[5]).rounds(5) == []
        assert len(Holder(VMS[0]).rounds(5)) == 1

    def test_vms_that_are_listed_as_down_count(self) -> None:
        holder = Holder()
        holder.states |= dict.fromkeys(VMS[4:], PlatformVmState.MAINTENANCE)
        assert holder.rounds(5) == []


class TestStatus:
    def test_a_wave_with_vms_left_is_said_to_run(self) -> None:
        holder = Holder()
        holder.rounds(2)
        assert holder.status() == encode_wave_status(completed=False)

    def test_it_is_completed_when_the_last_order_is_confirmed(self) -> None:
        holder = Holder()
        holder.states = dict.fromkeys(VMS[:2], PlatformVmState.UP)
        holder.rounds(2)
        assert holder.status() == encode_wave_status(completed=True)

    def test_an_unanswered_order_completes_nothing(self) -> None:
        holder = Holder()
        holder.machines.answer = VmOrderOutcome.UNKNOWN
        holder.states = dict.fromkeys(VMS[:2], PlatformVmState.UP)
        holder.rounds(2)
        assert holder.status() == encode_wave_status(completed=False)


class TestListedStates:
    def test_a_state_that_is_not_known_counts_as_down(self) -> None:
        plain = {"Machine": "m", "Pool": "p", "State": "odd"}
        machine = _decode_machine(plain)
        assert machine is not None and machine.state == PlatformVmState.DOWN
        assert _decode_machine({**plain, "State": 5}) is None
