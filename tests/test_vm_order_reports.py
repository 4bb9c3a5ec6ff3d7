"""What the holder of VM orders knows of a worker at the time of an order."""

from __future__ import annotations

import asyncio

from test_order_holder import Holder
from test_wave_runner import WAVE

from chivetray.capacity import reports, runner
from chivetray.capacity.reports import (
    MAX_REPORT_AGE_S,
    CellReport,
    OrderBasis,
    WorkerReport,
)
from chivetray.capacity.sizing import Move
from chivetray.capacity.wave_runner import MaintenanceOrder, WaveProgress
from chivetray.cells.evacuation import RESERVATION_S
from chivetray.clocks import boot_time_s
from chivetray.platform import vm_api
from chivetray.platform.store import Committed
from chivetray.platform.vm_api import PlatformVm, PlatformVmState, VmOrderOutcome

VM = PlatformVm("vm-1", "pool-a", PlatformVmState.UP, "z1", (), 4000, "w1")


class HolderOfEmptyVm(Holder):
    """A holder whose newest report shows the worker of one VM empty and reserved.

    :param age_s: age of the report
    """

    def __init__(self, age_s: float = 0.0):
        super().__init__()
        self.runner._machines = [VM]
        report = CellReport(
            0,
            0,
            0,
            {"w1": WorkerReport(0, 0, 5000, False)},
            requested_at_s=boot_time_s() - age_s,
        )
        self.runner._reports.cells["pool-a"] = report

    def move(self) -> list[str]:
        """Order a move, and return the VMs that got an order."""

        async def main() -> None:
            await self.runner._orders.begin(self.own, [])  # type: ignore[arg-type]
            moves = [Move("vm-1", "w1", "pool-a", "spare")]
            await self.runner._send_orders(self.own, [], moves)  # type: ignore[arg-type]

        asyncio.run(main())
        return self.machines.moved

    def maintain(self) -> list[str]:
        """Order a maintenance, and return the VMs that got an order."""
        ordered: list[str] = []

        async def maintain(vm: str, *_: object) -> VmOrderOutcome:
            ordered.append(vm)
            return VmOrderOutcome.DONE

        self.machines.maintain = maintain  # type: ignore[attr-defined]

        async def main() -> None:
            await self.runner._orders.begin(self.own, [])  # type: ignore[arg-type]
            order = MaintenanceOrder(WAVE, WaveProgress(0), VM, OrderBasis())
            await self.runner._send_orders(self.own, [order], [])  # type: ignore[arg-type]

        asyncio.run(main())
        return ordered


class TestOrderThatFollowsItsReportLate:
    """An order is written first, and other owners may be slow to report."""

    def test_a_vm_is_ordered_by_a_recent_report(self) -> None:
        assert HolderOfEmptyVm().move() == ["vm-1"]
        assert HolderOfEmptyVm().maintain() == ["vm-1"]

    def test_a_vm_is_not_ordered_by_an_old_report(self) -> None:
        """The worker was once no longer reserved, and the tasks placed there ended."""
        assert HolderOfEmptyVm(MAX_REPORT_AGE_S).move() == []
        assert HolderOfEmptyVm(MAX_REPORT_AGE_S).maintain() == []

    def test_a_slow_write_makes_the_report_old(self, monkeypatch) -> None:  # type: ignore[no-untyped-def]
        monkeypatch.setattr(reports, "MAX_REPORT_AGE_S", 0.1)
        holder = HolderOfEmptyVm()

        async def transact(_: object) -> Committed:
            await asyncio.sleep(0.15)
            return Committed(1)

        holder.own.transact = transact  # type: ignore[method-assign]
        assert holder.move() == []

    def test_a_worker_stays_reserved_until_the_next_request(self) -> None:
        """An order and the read of the VM list after it may both time out."""
        order_s = MAX_REPORT_AGE_S + vm_api.CALL_TIMEOUT_S
        next_request_s = runner.ROUND_INTERVAL_S + vm_api.CALL_TIMEOUT_S
        assert order_s + next_request_s < RESERVATION_S
