"""VMs that several maintenance waves take down while orders get no answer."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest
from test_wave_runner import Own, Reports, Store
from virtual_loop import virtual_time

from chivetray.capacity.recent_orders import DUTY_TABLE, RecentOrders
from chivetray.capacity.wave_runner import WaveRunner
from chivetray.clocks import boot_time_s
from chivetray.platform.store import Row, RowId
from chivetray.platform.stored_records import STATUS_TABLE, Wave, encode_wave_status
from chivetray.platform.vm_api import CALL_TIMEOUT_S, PlatformVm, VmOrderOutcome
from chivetray.platform.vm_api import PlatformVmState as State

MAINTENANCE_S = 2.0
ROUND_S = 0.15
LEASE_S = 3.0


class Platform:
    """VMs that are down for some time after an order for a wave.

    :ivar waves: VMs of each wave, by number
    :ivar begun: waves and VMs whose maintenance has begun
    :ivar most_down: largest number of VMs that were down for one wave
    :ivar lose: returns ``before`` if a call is lost before it is carried out, ``after``
        if its answer is, and an empty string otherwise
    :ivar hears: whether lists of VMs are answered
    """

    def __init__(self, vms: tuple[str, ...], waves: dict[int, Wave]):
        self.vms, self.waves = vms, waves
        self.begun: set[tuple[int, str]] = set()
        self.down_until_s: dict[str, float] = {}
        self.down_for: dict[str, int] = {}
        self.most_down: dict[int, int] = {}
        self.lose = lambda: ""
        self.hears = True

    def state(self, vm: str) -> State:
        is_down = self.down_until_s.get(vm, 0.0) > boot_time_s()
        return State.MAINTENANCE if is_down else State.UP

    def list_vms(self) -> dict[str, PlatformVm]:
        return {
            vm: PlatformVm(vm, "spare", self.state(vm), "z1", (), 4000, "")
            for vm in self.vms
        }

    async def maintain(self, vm: str, number: int, _epoch: int) -> VmOrderOutcome:
        lost = self.lose()
        outcome = VmOrderOutcome.UNKNOWN
        if lost != "before":
            outcome = self._carry_out(vm, number)
        if lost:
            await asyncio.sleep(CALL_TIMEOUT_S)
            return VmOrderOutcome.UNKNOWN
        return outcome

    def _carry_out(self, vm: str, number: int) -> VmOrderOutcome:
        if (number, vm) in self.begun:
            return VmOrderOutcome.DONE
        if self.state(vm) != State.UP:
            return VmOrderOutcome.BUSY
        self.begun.add((number, vm))
        self.down_until_s[vm] = boot_time_s() + MAINTENANCE_S
        self.down_for[vm] = number
        down = [v for v in self.vms if self.state(v) != State.UP]
        count = sum(self.down_for[v] == number for v in down)
        self.most_down[number] = max(count, self.most_down.get(number, 0))
        return VmOrderOutcome.DONE


class Fleet:
    """A holder of VM orders after another, over one platform and one store.

    :ivar configured: the waves that the operator asks for
    """

    def __init__(self, platform: Platform):
        self.platform = platform
        self.store = Store()
        self.configured = {f"wave/{n}": wave for n, wave in platform.waves.items()}
        self._listed: dict[str, PlatformVm] = {}
        self._listed_at_s = 0.0

    async def begin(self) -> None:
        """Let a new holder begin with what is stored."""
        self.own = Own(self.store)
        self.orders = RecentOrders(LEASE_S)
        self.runner = WaveRunner(
            self.store,  # type: ignore[arg-type]
            SimpleNamespace(waves=self.configured),  # type: ignore[arg-type]
            self.platform,  # type: ignore[arg-type]
            self.orders,
            Reports(),  # type: ignore[arg-type]
            MAINTENANCE_S,
        )
        rows = [
            Row(row, value, 1)
            for row, value in self.store.rows.items()
            if row.table == DUTY_TABLE
        ]
        await self.orders.begin(self.own, rows)  # type: ignore[arg-type]
        self.runner.restore(rows)
        self._listed = {}

    async def play(self, for_s: float, list_interval_s: float = ROUND_S) -> None:
        """Play rounds for some time.

        :param list_interval_s: age at which the list of VMs is read again
        """
        end_s = boot_time_s() + for_s
        while boot_time_s() < end_s:
            await self._play_round(list_interval_s)
            self.check_completed()
            await asyncio.sleep(ROUND_S)

    async def _play_round(self, list_interval_s: float) -> None:
        now_s = boot_time_s()
        if not self._listed or now_s - self._listed_at_s >= list_interval_s:
            if not self.platform.hears:
                return
            self._listed, self._listed_at_s = self.platform.list_vms(), now_s
        self.own.confirmed_at_s = now_s
        orders = self.runner.plan(
            self._listed, {"spare"}, set(), listed_at_s=self._listed_at_s
        )
        vms = [order.vm.name for order in orders]
        assert len(vms) == len(set(vms)), "two orders for one VM in one round"
        if vms:
            await self.orders.store_orders(self.own, vms)  # type: ignore[arg-type]
            sent = [self.runner.send(self.own, order) for order in orders]  # type: ignore
            await asyncio.gather(*sent)
        await self.runner.store_progress(self.own)  # type: ignore[arg-type]

    def is_completed(self, number: int) -> bool:
        status = self.store.rows.get(RowId(STATUS_TABLE, "", f"wave/{number}"))
        return status == encode_wave_status(completed=True)

    def check_completed(self) -> None:
        """Fail if a wave is said to be completed that has VMs left."""
        for number, wave in self.platform.waves.items():
            if self.is_completed(number):
                left = [
                    v for v in wave.machines if (number, v) not in self.platform.begun
                ]
                assert not left, f"wave {number} is completed without {left}"


def run(scenario: Any, *args: Any) -> None:
    with virtual_time() as loop:
        loop.run_until_complete(scenario(*args))


def make_fleet(cap: int = 2) -> Fleet:
    """Return a fleet with two VMs that belong to two waves."""
    vms = ("m1", "m2", "m3", "m4")
    waves = {1: Wave(1, vms[:2], 30.0, cap), 2: Wave(2, vms, 30.0, cap)}
    return Fleet(Platform(vms, waves))


async def begin_with_lost_orders() -> Fleet:
    """Return a fleet whose first orders are lost, as later ones are until told."""
    fleet = make_fleet()
    await fleet.begin()
    fleet.platform.lose = lambda: "before"
    await fleet.play(1.0)
    return fleet


class TestMaintenanceForAnotherWave:
    """Guards against review/10: a wave was said to be completed with VMs left."""

    @pytest.mark.parametrize("lost", ["before", "after"])
    def test_it_settles_no_order(self, lost: str) -> None:
        async def scenario() -> None:
            fleet = make_fleet(cap=4)
            await fleet.begin()
            fleet.platform.lose = lambda: lost
            await fleet.play(3.0)
            fleet.platform.lose = lambda: ""
            await fleet.play(20.0)
            assert fleet.is_completed(1) and fleet.is_completed(2)

        run(scenario)

    def test_a_list_from_before_it_leads_to_no_order(self) -> None:
        """The VM stands there as up, though the order has been answered."""

        async def scenario() -> None:
            fleet = make_fleet(cap=4)
            await fleet.begin()
            await fleet.play(0.5, list_interval_s=1.0)
            ordered = {vm for _, vm in fleet.platform.begun}
            assert ordered == set(fleet.platform.vms)
            fleet.platform.lose = lambda: "after"
            await fleet.play(0.5, list_interval_s=1.0)
            fleet.platform.lose = lambda: ""
            await fleet.play(20.0)
            assert fleet.is_completed(1) and fleet.is_completed(2)

        run(scenario)

    def test_that_of_an_earlier_holder_settles_no_order(self) -> None:
        async def scenario() -> None:
            fleet = make_fleet(cap=4)
            await fleet.begin()
            fleet.platform.lose = lambda: "after"
            await fleet.play(1.0)
            await fleet.begin()
            await fleet.play(6.0)
            fleet.platform.lose = lambda: ""
            await fleet.play(20.0)
            assert fleet.is_completed(1) and fleet.is_completed(2)

        run(scenario)


class TestWithdrawnWave:
    def test_its_unanswered_orders_hold_up_no_other_wave(self) -> None:
        async def scenario() -> None:
            fleet = await begin_with_lost_orders()
            fleet.platform.lose = lambda: ""
            del fleet.configured["wave/1"]
            await fleet.play(15.0)
            assert fleet.is_completed(2)
            assert not fleet.runner.claims("m1")

        run(scenario)

    def test_one_that_is_written_again_has_its_vms_maintained(self) -> None:
        async def scenario() -> None:
            fleet = await begin_with_lost_orders()
            wave = fleet.configured.pop("wave/1")
            await fleet.play(1.0)
            fleet.platform.lose = lambda: ""
            fleet.configured["wave/1"] = wave
            await fleet.play(20.0)
            assert fleet.is_completed(1) and fleet.is_completed(2)

        run(scenario)


class TestWaveThatDoesNotHaveAVm:
    def test_its_refusal_ends_an_order_without_answer(self) -> None:
        async def scenario() -> None:
            fleet = await begin_with_lost_orders()
            fleet.platform.lose = lambda: ""

            async def refuse(vm: str, number: int, epoch: int) -> VmOrderOutcome:
                if number == 1:
                    return VmOrderOutcome.NOT_IN_WAVE
                return await Platform.maintain(fleet.platform, vm, number, epoch)

            fleet.platform.maintain = refuse  # type: ignore[method-assign]
            await fleet.play(20.0)
            assert fleet.is_completed(2) and not fleet.is_completed(1)

        run(scenario)


class TestRandomLosses:
    """Guards against any completed wave with VMs left, and VMs down beyond the cap."""

    @pytest.mark.parametrize("seed", range(40))
    def test_each_wave_ends_when_calls_are_answered_again(self, seed: int) -> None:
        rng = random.Random(seed)
        vms = tuple(f"m{number}" for number in range(rng.randint(2, 8)))
        waves = {
            number: Wave(
                number,
                tuple(rng.sample(vms, rng.randint(1, len(vms)))),
                60.0,
                rng.randint(1, 4),
            )
            for number in range(1, rng.randint(2, 4) + 1)
        }

        async def scenario() -> None:
            fleet = Fleet(Platform(vms, waves))
            await fleet.begin()
            for _ in range(rng.randint(2, 6)):
                chances = [rng.random() * 0.7, rng.random() * 0.7]

                def lose(chances: list[float] = chances) -> str:
                    if rng.random() < chances[0]:
                        return rng.choice(("before", "after"))
                    return ""

                fleet.platform.lose = lose
                fleet.platform.hears = rng.random() < 0.8
                await fleet.play(rng.uniform(0.3, 4.0), rng.choice((ROUND_S, 0.3, 1.0)))
                if rng.random() < 0.3:
                    await fleet.begin()
            fleet.platform.lose, fleet.platform.hears = (lambda: ""), True
            await fleet.play(90.0)
            for number, wave in waves.items():
                assert fleet.is_completed(number)
                assert fleet.platform.most_down[number] <= wave.cap

        run(scenario)
