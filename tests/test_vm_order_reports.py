"""What the holder of VM orders knows of a worker at the time of an order."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any, ClassVar

import msgpack
from cell_helpers import job
from test_order_holder import Holder, Mesh, orders
from test_wave_runner import WAVE

from chivetray.capacity import reports, runner
from chivetray.capacity.move_plan import Move
from chivetray.capacity.recent_orders import MAX_CONFIRMATION_AGE_S
from chivetray.capacity.reports import (
    MAX_REPORT_AGE_S,
    CellReport,
    CellReports,
    OrderBasis,
    WorkerReport,
)
from chivetray.capacity.wave_progress import MaintenanceOrder, WaveProgress
from chivetray.cells.evacuation import RESERVATION_S, reserve_workers
from chivetray.cells.placing import place_tasks
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.jobs.model import Step
from chivetray.platform import vm_api
from chivetray.platform.store import Committed
from chivetray.platform.stored_records import WorkerRecord
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


class Cell:
    """A process that claims a cell with an empty worker.

    :param confirmed_s: time since its ownership was confirmed
    """

    leaving = False

    def __init__(self, epoch: int = 1, confirmed_s: float = 0.0):
        self.epoch = epoch
        self.confirmed_at_s = boot_time_s() - confirmed_s
        self.state = CellState("pool-a")
        entry = WorkerRecord(
            "w1", "pool-a", "10.0.0.1:80", "z1", False, 1, 4000, 8192, 0, ()
        )
        self.state.update_workers([entry], 0.0)
        self.state.workers["w1"].tasks_known = True

    def wake(self) -> None:
        pass


class Directory:
    """One cell, claimed by this process."""

    def __init__(self, cell: Cell):
        self.owned_cells = {"pool-a": cell}

    def serving_owner_of(self, _: str) -> str:
        return Mesh.name


class Requester:
    """Requests reports on a cell, with its worker reserved."""

    def __init__(self, cell: Cell):
        self.directory = Directory(cell)
        self.reports = CellReports(Mesh(), self.directory, lambda: None)  # type: ignore[arg-type]

    def finds_worker_empty(self) -> bool:
        asyncio.run(self.reports.request_all(["pool-a"], ["w1"], {}))
        return self.reports.is_worker_empty("pool-a", "w1")


class TestProcessThatMayHaveLostTheCell:
    """Another process may place tasks on the workers that this one calls empty."""

    def test_a_confirmed_owner_is_believed(self) -> None:
        assert Requester(Cell()).finds_worker_empty()

    def test_no_vm_is_ordered_by_the_report_of_an_owner_that_is_not_confirmed(
        self,
    ) -> None:
        """A process that was cut off from the store once answered like the owner."""
        requester = Requester(Cell(confirmed_s=MAX_CONFIRMATION_AGE_S))
        assert not requester.finds_worker_empty()
        assert "pool-a" in requester.reports.cells, "its load still counts"

    def test_a_lower_epoch_is_refused(self) -> None:
        requester = Requester(Cell(epoch=4))
        assert requester.finds_worker_empty()
        requester.directory.owned_cells["pool-a"] = Cell(epoch=3)
        assert not requester.finds_worker_empty()
        assert "pool-a" not in requester.reports.cells


class TestTwoHolders:
    def test_a_process_that_has_lost_the_duty_releases_no_worker(self) -> None:
        """Each of two holders once released what the other had reserved."""
        cell = Cell()
        requester = Requester(cell)
        requester.reports.holder_epoch = 5
        assert requester.finds_worker_empty()
        requester.reports.holder_epoch = 4
        asyncio.run(requester.reports.request_all(["pool-a"], [], {}))
        assert cell.state.workers["w1"].is_reserved(boot_time_s())
        assert "pool-a" not in requester.reports.cells

    def test_a_holder_tells_its_epoch(self) -> None:
        holder = HolderOfEmptyVm()
        asyncio.run(holder.runner._begin(holder.own))  # type: ignore[arg-type]
        assert holder.runner._reports.holder_epoch == holder.own.epoch


class TestOrdersOfAnEarlierHolder:
    """An order without an answer may be carried out after its holder has changed."""

    @staticmethod
    def requested_by(holder: Holder, *vms: PlatformVm | None) -> list[list[str]]:
        """Begin, play a round with a list of VMs; return the uncertain workers."""
        requests: list[list[str]] = []

        async def request_all(*arguments: Any) -> None:
            requests.append(arguments[3])

        async def list_vms() -> list[PlatformVm] | None:
            return None if None in vms else list(vms)  # type: ignore[arg-type]

        class Configuration:
            services = ("pool-a",)
            waves: ClassVar[dict[str, object]] = {}
            current = None

        holder.runner._configuration = Configuration()  # type: ignore[assignment]
        holder.runner._waves._configuration = Configuration()  # type: ignore[assignment]
        holder.runner._reports.request_all = request_all  # type: ignore[method-assign]
        holder.machines.list_vms = list_vms  # type: ignore[attr-defined]

        async def main() -> None:
            await holder.runner._begin(holder.own)  # type: ignore[arg-type]
            await holder.runner._run_round(holder.own)  # type: ignore[arg-type]

        asyncio.run(main())
        return requests

    def test_owners_learn_of_the_workers_of_their_vms(self) -> None:
        """They were once released, and what was placed there ended with the VM."""
        holder = Holder(orders(msgpack.packb(["vm-1"])))
        other = replace(VM, name="vm-2", worker_id="w2")
        assert self.requested_by(holder, VM, other) == [["w1"]]

    def test_a_step_that_limits_what_is_unavailable_is_not_placed_there(self) -> None:
        cell = Cell()
        cell.state.workers["w1"].clock.observe(1000, 0.0, 0.0)
        limited = Step(1, 1000, long_running=True, max_unavailable=1)
        cell.state.add_job(job(steps=(limited, Step(1, 1000))), 0.0)
        reserve_workers(cell.state, [], 1.0, ["w1"])
        assert [p.ref[1] for p in place_tasks(cell.state, 1.1, 0)] == [(0, 1, 0)]
        reserve_workers(cell.state, [], 2.0)
        assert [p.ref[1] for p in place_tasks(cell.state, 2.1, 0)] == [(0, 0, 0)]

    def test_no_reservation_is_replaced_before_the_vms_are_known(self) -> None:
        holder = Holder(orders(msgpack.packb(["vm-1"])))
        assert self.requested_by(holder, None) == []


class TestVmThatRestartsBeforeItsOrderIsSettled:
    def test_its_new_worker_is_reserved(self) -> None:
        """The order may still be carried out, with what runs on the new worker."""
        holder = HolderOfEmptyVm()
        holder.runner._moves.begin_order(Move("vm-1", "w0", "pool-a", "spare"))
        reserved: list[str] = []

        async def request_all(*arguments: Any) -> None:
            reserved.extend(arguments[1])

        holder.runner._reports.request_all = request_all  # type: ignore[method-assign]
        asyncio.run(holder.runner._refresh_reports(["pool-a"]))
        assert reserved == ["w0", "w1"]


class TestWorkerThatWasNotPolledYet:
    def test_an_owner_that_has_just_taken_over_calls_no_worker_empty(self) -> None:
        """What runs there was once unknown to it, and the worker counted as empty."""
        cell = Cell()
        cell.state.workers["w1"].tasks_known = False
        requester = Requester(cell)
        assert not requester.finds_worker_empty()
        cell.state.workers["w1"].tasks_known = True
        assert requester.finds_worker_empty()

    def test_a_worker_that_has_restarted_is_not_empty(self) -> None:
        """Its new incarnation may carry out a delayed start."""
        cell = Cell()
        worker = cell.state.workers["w1"]
        cell.state.handle_worker_restart(worker, 2, 1.0)
        assert not Requester(cell).finds_worker_empty()
