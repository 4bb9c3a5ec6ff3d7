from __future__ import annotations

from functools import partial

import anyio
import anyio.lowlevel
import pytest

from chivetray.exceptions import RefusalError
from chivetray.fleet.catalog import Catalog, object_set_from_plain
from chivetray.fleet.vm_states import VmStates
from chivetray.generated.messages import SlotOffer
from chivetray.generated.settings import OutlierSettings
from chivetray.peers.grants import GrantHolder
from chivetray.peers.ledger import GrantLedger
from chivetray.requests.admission import Admission, SlotRequest
from chivetray.requests.balancer import EndpointBalancer
from chivetray.requests.outliers import OutlierTable
from chivetray.results import ResultCode

FAR_S = 1000.0


def make_catalog(slots: int, reserved: int = 0, **service) -> Catalog:
    def make(name: str, priority: str) -> dict:
        base = {"name": name, "pools": ["p"], "budget": "b", "priority": priority}
        return {**base, "path_prefixes": [f"/{name}"], **service}

    names = {"fast": "urgent", "work": "quick", "long": "reconciliation"}
    plain = {
        "format_version": 1,
        "zones": [{"name": "z"}],
        "pools": [{"name": "p", "reserved_quick_slots": reserved}],
        "vms": [
            {
                "name": "w",
                "pool": "p",
                "zone": "z",
                "rack": "r",
                "address": "127.0.0.1",
                "port": 1,
                "slots": slots,
            }
        ],
        "services": [make(name, priority) for name, priority in names.items()],
        "budgets": [{"name": "b", "max_unavailable_vms": 1}],
        "teams": [
            {"name": "heavy", "weight": 3, "max_in_flight_requests": 5},
            {"name": "light", "weight": 1},
        ],
    }
    return Catalog.from_object_set(object_set_from_plain(plain))


class Bench:
    """Admission in front of one endpoint whose slots are all granted here."""

    def __init__(self, slots: int = 1, reserved: int = 0, **service):
        self.catalog = make_catalog(slots, reserved, **service)
        ledger = GrantLedger(FAR_S)
        ledger.set_members(["e"])
        ledger.set_endpoints({"w": slots}, -2 * FAR_S)
        holder = GrantHolder(FAR_S)
        holder.set_homes({"w": "e"})
        now_s = anyio.current_time()
        demand = holder.make_demand("e", now_s)
        offer: SlotOffer = ledger.handle_demand("e", demand, now_s)
        holder.handle_offer("e", offer, now_s)
        outliers = OutlierTable(OutlierSettings())
        balancer = EndpointBalancer("z", holder, VmStates(), outliers)
        balancer.set_catalog(self.catalog)
        self.admission = Admission(balancer, lambda: None)
        self.admission.set_services_and_teams(self.catalog.services, self.catalog.teams)
        self.order: list[str] = []

    def slot_request(self, service="work", team="", limit_s=FAR_S) -> SlotRequest:
        now_s = anyio.current_time()
        found = self.catalog.services[service]
        return SlotRequest(found, team, True, now_s, now_s + limit_s)

    async def admit(self, label: str, **arguments) -> None:
        """Take a slot, note the label and give the slot back."""
        slot_request = self.slot_request(**arguments)
        await self.admission.admit(slot_request)
        self.order.append(label)
        await anyio.lowlevel.checkpoint()
        self.admission.release(slot_request, None)

    async def run_behind_one(self, waiting: list[tuple[str, dict]]) -> list[str]:
        """Let requests wait behind one, and return the order they ran in."""
        first = self.slot_request()
        await self.admission.admit(first)
        async with anyio.create_task_group() as tasks:
            for label, arguments in waiting:
                tasks.start_soon(partial(self.admit, label, **arguments))
                await anyio.sleep(0.001)
            self.admission.release(first, None)
        return self.order


def run(test, **bench):
    async def main():
        with anyio.fail_after(10):
            return await test(Bench(**bench))

    return anyio.run(main)


class TestOrder:
    def test_priority_goes_before_deadline(self):
        async def check(bench):
            waiting = [
                ("long", {"service": "long"}),
                ("late", {"limit_s": 90}),
                ("soon", {"limit_s": 50}),
                ("urgent", {"service": "fast", "limit_s": 99}),
            ]
            order = await bench.run_behind_one(waiting)
            assert order == ["urgent", "soon", "late", "long"]

        run(check)

    def test_reconciliation_is_promoted_after_a_tenth_of_its_limit(self):
        async def check(bench):
            first = bench.slot_request()
            await bench.admission.admit(first)
            async with anyio.create_task_group() as tasks:
                call = partial(bench.admit, "long", service="long", limit_s=1.0)
                tasks.start_soon(call)
                await anyio.sleep(0.15)
                tasks.start_soon(partial(bench.admit, "quick", limit_s=0.8))
                await anyio.sleep(0.01)
                bench.admission.release(first, None)
            assert bench.order == ["long", "quick"]

        run(check)

    def test_teams_share_by_weight(self):
        async def check(bench):
            waiting = [("heavy", {"team": "heavy"})] * 30
            waiting += [("light", {"team": "light"})] * 10
            counts = {"heavy": 0, "light": 0}
            held = []
            for _ in range(4):
                slot_request = bench.slot_request()
                await bench.admission.admit(slot_request)
                held.append(slot_request)

            async def hold(label, team):
                slot_request = bench.slot_request(team=team)
                await bench.admission.admit(slot_request)
                counts[label] += 1
                await anyio.sleep_forever()

            async with anyio.create_task_group() as tasks:
                for label, arguments in waiting:
                    tasks.start_soon(hold, label, arguments["team"])
                await anyio.sleep(0.01)
                for slot_request in held:
                    bench.admission.release(slot_request, None)
                await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            assert counts == {"heavy": 3, "light": 1}

        run(check, slots=4)


class TestRefusals:
    def expect(self, code):
        return pytest.raises(RefusalError, check=lambda e: e.code is code)

    def test_full_queue_refuses(self):
        async def check(bench):
            async with anyio.create_task_group() as tasks:
                await bench.admission.admit(bench.slot_request())
                for _ in range(2):
                    tasks.start_soon(bench.admission.admit, bench.slot_request())
                await anyio.sleep(0.01)
                with self.expect(ResultCode.QUEUE_FULL):
                    await bench.admission.admit(bench.slot_request())
                tasks.cancel_scope.cancel()

        run(check, queue_limit_requests=2)

    def test_long_wait_is_refused_at_once_with_the_time_to_come_back(self):
        async def check(bench):
            bench.admission.get_estimate(bench.catalog.services["work"]).record(10.0)
            await bench.admission.admit(bench.slot_request())
            started_s = anyio.current_time()
            with self.expect(ResultCode.WAIT_TOO_LONG) as caught:
                await bench.admission.admit(bench.slot_request(limit_s=5.0))
            assert anyio.current_time() - started_s < 0.05
            assert 15.0 <= caught.value.retry_after_s <= 30.0

        run(check)

    def test_request_that_can_no_longer_end_in_time_is_refused(self):
        async def check(bench):
            await bench.admission.admit(bench.slot_request())
            started_s = anyio.current_time()
            with self.expect(ResultCode.DEADLINE_IN_QUEUE):
                await bench.admission.admit(bench.slot_request(limit_s=0.1))
            assert anyio.current_time() - started_s <= 0.15
            assert bench.admission.waiting == 0

        run(check)

    def test_quota_of_a_team_is_enforced(self):
        async def check(bench):
            for _ in range(5):
                bench.admission.acquire_quota("heavy")
            with self.expect(ResultCode.QUOTA_EXCEEDED):
                bench.admission.acquire_quota("heavy")
            bench.admission.release_quota("heavy")
            bench.admission.acquire_quota("heavy")

        run(check)


class TestReservedSlots:
    def test_reconciliations_leave_slots_to_quick_requests(self):
        async def check(bench):
            for _ in range(6):
                await bench.admission.admit(bench.slot_request("long"))
            with anyio.move_on_after(0.05) as scope:
                await bench.admission.admit(bench.slot_request("long"))
            assert scope.cancelled_caught
            for _ in range(2):
                await bench.admission.admit(bench.slot_request("work"))

        run(check, slots=8, reserved=2)

    def test_slot_of_a_request_that_may_still_run_stays_taken(self):
        async def check(bench):
            slot_request = bench.slot_request()
            await bench.admission.admit(slot_request)
            bench.admission.release(slot_request, None, anyio.current_time() + 0.1)
            bench.admission.release_due_slots()
            assert bench.admission.in_flight == 1
            await anyio.sleep(0.1)
            bench.admission.release_due_slots()
            assert bench.admission.in_flight == 0

        run(check)
