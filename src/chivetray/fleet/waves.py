"""Decides which VMs a maintenance wave takes out of service next."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

from chivetray.fleet.budgets import (
    BudgetIndex,
    Refusal,
    find_disruption_refusal,
    view_budget,
)
from chivetray.fleet.catalog import Catalog
from chivetray.generated.objects import Vm, Wave

# Largest share of a pool's remaining slots that may be busy after a wave has taken
# VMs out of service.
MAX_BUSY_SHARE = 0.8


class WavePhase(Enum):
    """Phase of one VM in a wave.

    Draining begins when the VM is reserved under its budgets; the reservation is
    released when the VM is done.
    """

    DRAINING = "draining"
    REBOOTING = "rebooting"
    RETURNING = "returning"
    DONE = "done"


ACTIVE_PHASES = frozenset(set(WavePhase) - {WavePhase.DONE})


@dataclass(frozen=True, slots=True)
class WaveInputs:
    """State on which a wave's next decision is based.

    :ivar now_s: time in seconds since the epoch
    :ivar phases: phase of each VM on which the wave has started
    :ivar reserved: names of the reserved VMs by budget
    :ivar unavailable: names of the VMs that are leaving or gone
    :ivar busy_slots: slots in use plus requests waiting, by pool
    """

    catalog: Catalog
    index: BudgetIndex
    now_s: float
    phases: Mapping[str, WavePhase]
    reserved: Mapping[str, frozenset[str]]
    unavailable: frozenset[str]
    busy_slots: Mapping[str, int]


@dataclass(slots=True)
class WavePlan:
    """Next step of a wave.

    :ivar vms_to_reserve: VMs to reserve now
    :ivar reasons: why the other VMs wait, one sentence each
    :ivar unfinished_vms: number of VMs that the wave has not finished
    :ivar finished: whether the wave has finished all its VMs
    """

    vms_to_reserve: list[Vm] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)
    unfinished_vms: int = 0
    finished: bool = False


def window_bounds_s(wave: Wave) -> tuple[float, float]:
    """Return the start and end of a wave's window in seconds since the epoch."""
    start = datetime.fromisoformat(wave.window_start).timestamp()
    end = datetime.fromisoformat(wave.window_end).timestamp()
    return start, end


def order_vms(vms: Iterable[Vm]) -> list[Vm]:
    """Sort the VMs of a pool in the order in which a wave maintains them.

    The zone with the most VMs left comes first. If some zones finished early, only
    VMs of one zone would remain, and these may not all be unavailable at once.
    Within a zone, VMs of the same rack are adjacent, so that a rack failure
    hits VMs that are in maintenance anyway.
    """
    waiting = list(vms)
    vms_left = Counter(vm.zone for vm in waiting)
    return sorted(
        waiting, key=lambda vm: (-vms_left[vm.zone], vm.zone, vm.rack, vm.name)
    )


def plan_wave(wave: Wave, inputs: WaveInputs) -> WavePlan:
    """Plan the next step of a wave."""
    members = [vm for vm in inputs.catalog.vms.values() if vm.pool in wave.pools]
    pending = [vm for vm in members if vm.name not in inputs.phases]
    active = sum(phase in ACTIVE_PHASES for phase in inputs.phases.values())
    plan = WavePlan(unfinished_vms=len(pending) + active)
    if not pending:
        plan.finished = active == 0
        return plan
    hold_reason = _reason_to_hold(wave, inputs.now_s)
    if hold_reason is not None:
        plan.reasons.append(hold_reason)
        return plan
    _choose_vms(wave, inputs, pending, plan)
    return plan


def _reason_to_hold(wave: Wave, now_s: float) -> str | None:
    """Return why a wave may not start on any VM now, or ``None``."""
    start_s, end_s = window_bounds_s(wave)
    needed_s = wave.drain_s + wave.reboot_s
    if wave.paused:
        return "the wave is paused"
    if now_s < start_s:
        return f"the window begins at {wave.window_start}"
    if now_s + needed_s > end_s:
        return f"a VM takes {needed_s:.0f} s and the window ends at {wave.window_end}"
    return None


def _choose_vms(
    wave: Wave, inputs: WaveInputs, pending: list[Vm], plan: WavePlan
) -> None:
    """Add the VMs to reserve, pool by pool, and the reasons why others wait."""
    reserved = {name: set(vms) for name, vms in inputs.reserved.items()}
    refusals: dict[str, Refusal] = {}
    for pool in wave.pools:
        allowed_vms = _allowed_vms(wave, pool, inputs)
        waiting = order_vms(vm for vm in pending if vm.pool == pool)
        if waiting and allowed_vms <= 0:
            plan.reasons.append(f"pool {pool} has no VM to spare at its present load")
        for vm in waiting:
            if allowed_vms <= 0:
                break
            refusal = _find_refusal(vm, inputs, reserved)
            if refusal is not None:
                refusals[refusal.budget] = refusal
                continue
            for budget in inputs.index.budgets_of(vm):
                reserved.setdefault(budget, set()).add(vm.name)
            plan.vms_to_reserve.append(vm)
            allowed_vms -= 1
    plan.reasons += [
        f"budget {refused.budget}: {refused.reason}" for refused in refusals.values()
    ]


def _find_refusal(
    vm: Vm, inputs: WaveInputs, reserved: Mapping[str, set[str]]
) -> Refusal | None:
    """Return the first refusal among the budgets that cover a VM, or ``None``."""
    for name in inputs.index.budgets_of(vm):
        view = view_budget(
            inputs.catalog,
            inputs.index,
            name,
            inputs.unavailable,
            reserved.get(name, ()),
        )
        refusal = find_disruption_refusal(view, vm)
        if refusal is not None:
            return refusal
    return None


def _allowed_vms(wave: Wave, pool: str, inputs: WaveInputs) -> int:
    """Return how many more VMs of a pool may be taken at its current load."""
    vms = [vm for vm in inputs.catalog.vms.values() if vm.pool == pool]
    unavailable_vms = sum(
        inputs.phases.get(vm.name) in ACTIVE_PHASES or vm.name in inputs.unavailable
        for vm in vms
    )
    slots = sum(vm.slots for vm in vms)
    slots_per_vm = slots / len(vms) if vms else 1
    needed_vms = math.ceil(
        inputs.busy_slots.get(pool, 0) / MAX_BUSY_SHARE / slots_per_vm
    )
    spare_vms = len(vms) - unavailable_vms - max(needed_vms, 1)
    active = sum(inputs.phases.get(vm.name) in ACTIVE_PHASES for vm in vms)
    return min(wave.batch_vms - active, spare_vms)


def estimate_finish_s(wave: Wave, inputs: WaveInputs, plan: WavePlan) -> float:
    """Return the time at which a wave is expected to end, in seconds since the epoch.

    Pools are maintained in parallel, the batches of one pool in sequence. A batch
    has the size that the budgets allow when no VM has failed.
    """
    counts: Counter[str] = Counter(
        vm.pool
        for vm in inputs.catalog.vms.values()
        if vm.pool in wave.pools and inputs.phases.get(vm.name) is not WavePhase.DONE
    )
    batches = 0
    for pool, count in counts.items():
        limits = [
            inputs.catalog.budgets[name].max_unavailable_vms
            for name in inputs.index.budgets_by_pool.get(pool, [])
        ]
        batch_vms = max(1, min([wave.batch_vms, *limits]))
        batches = max(batches, math.ceil(count / batch_vms))
    start_s, _ = window_bounds_s(wave)
    batch_s = wave.drain_s + wave.reboot_s
    return max(inputs.now_s, start_s) + batches * batch_s
