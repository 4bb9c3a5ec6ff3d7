from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivetray.fleet.budgets import (
    BudgetIndex,
    BudgetView,
    find_disruption_refusal,
    view_budget,
)
from chivetray.fleet.catalog import Catalog, object_set_from_plain
from chivetray.fleet.waves import WaveInputs, WavePhase, estimate_finish_s, plan_wave
from chivetray.generated.objects import Budget

NOW_S = 1_800_000_000.0
VMS = 8
VM_NAMES = [f"w{n}" for n in range(VMS)]


def make_catalog(batch_vms: int = 8, paused: bool = False, **budget) -> Catalog:
    limits = {"max_unavailable_vms": 2, "min_available_vms": 1, **budget}
    plain = {
        "format_version": 1,
        "zones": [{"name": "z"}],
        "pools": [{"name": "p"}],
        "vms": [
            {
                "name": name,
                "pool": "p",
                "zone": "z",
                "rack": f"r{index // 4}",
                "address": "127.0.0.1",
                "port": index + 1,
            }
            for index, name in enumerate(VM_NAMES)
        ],
        "services": [
            {"name": "s", "pools": ["p"], "budget": "b", "path_prefixes": ["/"]}
        ],
        "budgets": [{"name": "b", **limits}],
        "waves": [
            {
                "name": "wave",
                "pools": ["p"],
                "window_start": "2027-01-15T00:00:00Z",
                "window_end": "2027-01-16T00:00:00Z",
                "drain_s": 60,
                "reboot_s": 120,
                "batch_vms": batch_vms,
                "paused": paused,
            }
        ],
    }
    return Catalog.from_object_set(object_set_from_plain(plain))


def make_inputs(catalog: Catalog, **changes) -> WaveInputs:
    inputs = WaveInputs(
        catalog=catalog,
        index=BudgetIndex.from_catalog(catalog),
        now_s=NOW_S,
        phases={},
        reserved={},
        unavailable=frozenset(),
        busy_slots={},
    )
    return replace(inputs, **changes)


def plan(catalog: Catalog, **changes):
    return plan_wave(catalog.waves["wave"], make_inputs(catalog, **changes))


class TestBudgets:
    @given(
        st.integers(0, 8),
        st.integers(0, 8),
        st.booleans(),
        st.sets(st.sampled_from(VM_NAMES)),
        st.sets(st.sampled_from(VM_NAMES)),
    )
    def test_allowed_disruption_keeps_the_budget(
        self, most, least, survive, failed, reserved
    ):
        catalog = make_catalog()
        budget = Budget("b", most, survive, least)
        vms = list(catalog.vms.values())
        view = BudgetView(
            budget, vms, frozenset(failed - reserved), frozenset(reserved)
        )
        for vm in vms:
            if find_disruption_refusal(view, vm) is not None:
                continue
            out = failed | reserved | {vm.name}
            left = [other for other in vms if other.name not in out]
            assert len(out) <= most
            racks = [sum(o.rack == rack for o in left) for rack in ("r0", "r1")]
            assert len(left) - (max(racks) if survive else 0) >= least

    def test_failed_vms_count_first(self):
        catalog = make_catalog()
        index = BudgetIndex.from_catalog(catalog)
        view = view_budget(catalog, index, "b", {"w0", "w1", "elsewhere"}, set())
        refusal = find_disruption_refusal(view, catalog.vms["w2"])
        assert refusal is not None
        assert "2 VMs have failed" in refusal.reason

    def test_last_vm_of_a_pool_in_a_zone_is_kept(self):
        catalog = make_catalog(max_unavailable_vms=8, min_available_vms=0)
        for name in VM_NAMES[:2]:
            catalog.vms[name].zone = "y"
        index = BudgetIndex.from_catalog(catalog)
        view = view_budget(catalog, index, "b", {"w0"}, set())
        refusal = find_disruption_refusal(view, catalog.vms["w1"])
        assert refusal is not None
        assert "last of pool p in zone y" in refusal.reason
        assert find_disruption_refusal(view, catalog.vms["w2"]) is None


class TestPlan:
    def test_batch_is_what_the_budget_allows(self):
        assert [vm.name for vm in plan(make_catalog()).vms_to_reserve] == ["w0", "w1"]

    def test_batch_limit_of_the_wave_is_kept(self):
        assert len(plan(make_catalog(batch_vms=1)).vms_to_reserve) == 1

    @pytest.mark.parametrize(("busy", "count"), [(0, 3), (32, 3), (39, 1), (60, 0)])
    def test_batch_shrinks_with_the_load(self, busy, count):
        catalog = make_catalog(max_unavailable_vms=3)
        found = plan(catalog, busy_slots={"p": busy})
        assert len(found.vms_to_reserve) == count
        if not count:
            assert "no VM to spare at its present load" in found.reasons[0]

    def test_failure_of_a_rack_stops_the_wave_with_a_reason(self):
        unavailable = frozenset(VM_NAMES[4:])
        found = plan(make_catalog(), unavailable=unavailable)
        assert found.vms_to_reserve == []
        assert found.reasons == [
            "budget b: 4 VMs have failed and 0 are reserved "
            "of 2 that may be unavailable"
        ]

    @pytest.mark.parametrize(("least", "taken"), [(3, ["w0", "w4"]), (4, [])])
    def test_rack_loss_is_covered(self, least, taken):
        # Without w0 and w4, each rack has three VMs, so three survive its loss.
        catalog = make_catalog(survive_rack_loss=True, min_available_vms=least)
        found = plan(catalog)
        assert [vm.name for vm in found.vms_to_reserve] == taken

    @pytest.mark.parametrize(
        ("now_s", "paused", "reason"),
        [
            (NOW_S, True, "the wave is paused"),
            (NOW_S - 86400, False, "the window begins at"),
            (NOW_S + 86400, False, "the window ends at"),
        ],
    )
    def test_wave_holds_outside_its_window_or_when_paused(self, now_s, paused, reason):
        found = plan(make_catalog(paused=paused), now_s=now_s)
        assert found.vms_to_reserve == []
        assert reason in found.reasons[0]

    def test_finished_wave_takes_nothing(self):
        phases = dict.fromkeys(VM_NAMES, WavePhase.DONE)
        found = plan(make_catalog(), phases=phases)
        assert found.finished
        assert (found.vms_to_reserve, found.unfinished_vms) == ([], 0)

    def test_zone_with_the_most_vms_left_comes_first(self):
        catalog = make_catalog()
        for name in VM_NAMES[:3]:
            catalog.vms[name].zone = "y"
        phases = {name: WavePhase.DONE for name in VM_NAMES[3:7]}
        assert [vm.name for vm in plan(catalog, phases=phases).vms_to_reserve] == [
            "w0",
            "w1",
        ]

    def test_estimate_counts_the_batches(self):
        catalog = make_catalog()
        inputs = make_inputs(catalog)
        wave = catalog.waves["wave"]
        estimate_s = estimate_finish_s(wave, inputs, plan_wave(wave, inputs))
        assert estimate_s == NOW_S + 4 * 180

    @given(st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=40))
    def test_wave_never_overspends_while_vms_fail_and_return(self, steps):
        catalog = make_catalog()
        phases: dict[str, WavePhase] = {}
        failed: set[str] = set()
        for number, end in steps:
            name = VM_NAMES[number]
            if end and phases.get(name) is WavePhase.DRAINING:
                phases[name] = WavePhase.DONE
            elif name in failed:
                failed.discard(name)
            elif name not in phases:
                failed.add(name)
            active = {n for n, p in phases.items() if p is WavePhase.DRAINING}
            found = plan(
                catalog,
                phases=phases,
                reserved={"b": frozenset(active)},
                unavailable=frozenset(failed),
            )
            for vm in found.vms_to_reserve:
                phases[vm.name] = WavePhase.DRAINING
                active.add(vm.name)
            if found.vms_to_reserve:
                assert len(active | failed) <= 2
