"""Carries out maintenance waves.

Each wave is a duty that one entry holds. A step changes all its rows in one
transaction, on the condition that every row still has the version that the decision
was based on. If two entries believe that they hold the duty, the second one's
transaction is therefore refused, and it reads the rows again.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import anyio
import httpcore
from returns.result import Failure

from chivetray.duties.candidates import is_candidate
from chivetray.events import Event, log_event
from chivetray.fleet.budgets import BudgetIndex
from chivetray.fleet.revision import RevisionState
from chivetray.fleet.vm_states import VmStates
from chivetray.fleet.waves import (
    WaveInputs,
    WavePhase,
    WavePlan,
    estimate_finish_s,
    plan_wave,
)
from chivetray.generated.objects import Vm, Wave
from chivetray.generated.settings import DutySettings
from chivetray.platform.store import ABSENT
from chivetray.records import maintenance
from chivetray.records.client import RecordClient, RowWrite
from chivetray.records.leases import LeaseKeeper
from chivetray.records.maintenance import DoneVms, Drain, Reservations, WaveVm
from chivetray.records.vm_control import read_vm, reboot_vm

PROBE_TIMEOUT_S = 1.0

# Loads that were not rewritten for this number of intervals are ignored.
MAX_LOAD_AGE_INTERVALS = 3


@dataclass(slots=True)
class _WaveRows:
    """Rows on which the decisions of one round of a wave are based."""

    under_way: dict[str, WaveVm]
    done: dict[str, DoneVms]
    budgets: dict[str, Reservations]
    drains: dict[str, Drain]
    busy_slots: dict[str, int]


class EntryWaveRunner:
    """Runs the waves whose duty this entry holds.

    :param entries_of: returns the entries of a zone that are not gone, according to
        the VM list
    :param live_entries: returns the entries that may hold duties
    """

    def __init__(
        self,
        client: RecordClient,
        settings: DutySettings,
        entry: str,
        leases: LeaseKeeper,
        revisions: RevisionState,
        states: VmStates,
        entries_of: Callable[[str], set[str]],
        live_entries: Callable[[], list[str]],
    ):
        self._client = client
        self._settings = settings
        self._entry = entry
        self._leases = leases
        self._revisions = revisions
        self._states = states
        self._entries_of = entries_of
        self._live_entries = live_entries
        self._last_reports: dict[str, dict[str, object]] = {}
        self._finished_at_revision: dict[str, int] = {}

    async def run(self) -> None:
        """Advance the waves until cancelled."""
        while True:
            names = await self._wave_names()
            for name in names:
                if await self._acquire_duty(name):
                    await self._advance_wave(name)
            await self._wait_for_next_round(bool(names))

    async def _wait_for_next_round(self, busy: bool) -> None:
        """Wait for the next round; an idle wait ends early on a new revision."""
        if busy:
            await anyio.sleep(self._settings.wave_interval_s)
            return
        with anyio.move_on_after(self._settings.idle_interval_s):
            await self._revisions.wait_until_newer(self._revisions.number)

    async def _wave_names(self) -> list[str]:
        """Return the waves that this entry should compete for.

        These are the unfinished configured waves and those with a VM under way.
        """
        number = self._revisions.number
        finished = {n for n, at in self._finished_at_revision.items() if at == number}
        names = set(self._revisions.catalog.waves) - finished
        if self._is_candidate("waves"):
            result = await maintenance.read_active_wave_vms(self._client)
            if not isinstance(result, Failure):
                names |= {item.wave for item in result.unwrap().values()}
        return sorted(name for name in names if self._is_candidate(f"wave/{name}"))

    def _is_candidate(self, duty: str) -> bool:
        return is_candidate(duty, self._entry, self._live_entries())

    async def _acquire_duty(self, name: str) -> bool:
        return await self._leases.acquire(f"wave/{name}", anyio.current_time())

    async def _advance_wave(self, name: str) -> None:
        """Perform every step of a wave that is possible now."""
        rows = await self._read_rows(name)
        if rows is None:
            return
        for item in list(rows.under_way.values()):
            if item.wave == name:
                await self._advance_vm(item, rows)
        wave = self._revisions.catalog.waves.get(name)
        rows = await self._read_rows(name)
        if wave is None or rows is None:
            return
        inputs = self._wave_inputs(name, rows)
        plan = plan_wave(wave, inputs)
        for vm in plan.vms_to_reserve:
            if not self._leases.holds(f"wave/{name}", anyio.current_time()):
                return
            await self._start_drain(name, vm)
        await self._store_report(wave, inputs, plan)

    async def _read_rows(self, name: str) -> _WaveRows | None:
        """Read the rows for a decision; ``None`` while the platform is unavailable.

        The budgets are read first: if another holder finishes a VM during the other
        reads, it changes the budgets, so that a step based on the old rows is refused.
        """
        budgets = await maintenance.read_budgets(self._client)
        under_way = await maintenance.read_active_wave_vms(self._client)
        done = await maintenance.read_done(self._client, name)
        drains = await maintenance.read_drains(self._client)
        loads = await maintenance.read_loads(self._client)
        if (
            isinstance(under_way, Failure)
            or isinstance(done, Failure)
            or isinstance(budgets, Failure)
            or isinstance(drains, Failure)
            or isinstance(loads, Failure)
        ):
            return None
        busy: Counter[str] = Counter()
        oldest_s = time.time() - MAX_LOAD_AGE_INTERVALS * self._settings.load_interval_s
        for load in loads.unwrap():
            if load.written_at_s >= oldest_s:
                busy.update(load.busy_slots)
        return _WaveRows(
            under_way.unwrap(), done.unwrap(), budgets.unwrap(), drains.unwrap(), busy
        )

    def _wave_inputs(self, name: str, rows: _WaveRows) -> WaveInputs:
        catalog = self._revisions.catalog
        phases = {vm: WavePhase.DONE for done in rows.done.values() for vm in done.vms}
        phases |= {
            item.vm: item.phase for item in rows.under_way.values() if item.wave == name
        }
        unavailable = self._states.unavailable() | set(rows.drains)
        return WaveInputs(
            catalog=catalog,
            index=BudgetIndex.from_catalog(catalog),
            now_s=time.time(),
            phases=phases,
            reserved={n: frozenset(r.vms) for n, r in rows.budgets.items()},
            unavailable=frozenset(unavailable),
            busy_slots=rows.busy_slots,
        )

    # Steps

    async def _start_drain(self, name: str, vm: Vm) -> None:
        """Reserve a VM under all its budgets and start its drain."""
        # The rows may have changed since the plan was made.
        rows = await self._read_rows(name)
        if rows is None:
            return
        inputs = self._wave_inputs(name, rows)
        wave = inputs.catalog.waves.get(name)
        if wave is None or vm not in plan_wave(wave, inputs).vms_to_reserve:
            return
        item = WaveVm(name, vm.name, ABSENT, WavePhase.DRAINING, "", time.time())
        writes = [
            maintenance.phase_write(item, WavePhase.DRAINING, time.time()),
            maintenance.drain_write(vm.name, f"wave {name}"),
        ]
        for budget in inputs.index.budgets_of(vm):
            held = rows.budgets.get(budget, Reservations())
            vms = {**held.vms, vm.name: name}
            writes.append(
                maintenance.budget_write(budget, Reservations(held.version, vms))
            )
        if await self._commit(writes):
            self._log_step(item, WavePhase.DRAINING)

    async def _advance_vm(self, item: WaveVm, rows: _WaveRows) -> None:
        """Advance one VM to its next phase if possible."""
        match item.phase:
            case WavePhase.DRAINING:
                await self._finish_drain(item, rows)
            case WavePhase.REBOOTING:
                await self._reboot(item)
            case WavePhase.RETURNING:
                await self._return_to_service(item, rows)

    async def _finish_drain(self, item: WaveVm, rows: _WaveRows) -> None:
        """Start the reboot phase once all entries of the zone acknowledge the drain."""
        vm = self._revisions.catalog.vms.get(item.vm)
        drain = rows.drains.get(item.vm)
        if vm is None or drain is None:
            return
        acks = await maintenance.read_acks(self._client, item.vm)
        if isinstance(acks, Failure):
            return
        acked = {e for e, version in acks.unwrap().items() if version == drain.version}
        if self._entries_of(vm.zone) - acked:
            return
        info = await read_vm(self._client, item.vm)
        if not isinstance(info, Failure):
            booted = replace(item, boot_id=info.unwrap().boot_id)
            await self._write_phase(booted, WavePhase.REBOOTING)

    async def _reboot(self, item: WaveVm) -> None:
        """Reboot a VM once; a changed boot identifier shows that it has rebooted."""
        result = await read_vm(self._client, item.vm)
        if isinstance(result, Failure):
            return
        info = result.unwrap()
        if info.rebooting:
            return
        if info.boot_id == item.boot_id:
            await reboot_vm(self._client, item.vm, item.boot_id)
            return
        await self._write_phase(item, WavePhase.RETURNING)

    async def _return_to_service(self, item: WaveVm, rows: _WaveRows) -> None:
        """Return a VM to service once its endpoint answers."""
        vm = self._revisions.catalog.vms.get(item.vm)
        drain = rows.drains.get(item.vm)
        if vm is None or drain is None or not await self._probe(vm):
            return
        done = rows.done.get(vm.pool, DoneVms())
        writes = [
            maintenance.end_write(item),
            maintenance.undrain_write(drain),
            maintenance.done_write(item.wave, vm.pool, done, item.vm),
        ]
        for name, held in rows.budgets.items():
            if item.vm in held.vms:
                left = {v: wave for v, wave in held.vms.items() if v != item.vm}
                writes.append(
                    maintenance.budget_write(name, Reservations(held.version, left))
                )
        if await self._commit(writes):
            self._log_step(item, WavePhase.DONE)

    async def _probe(self, vm: Vm) -> bool:
        """Return whether the endpoint of a VM answers HTTP."""
        pool = self._revisions.catalog.pools[vm.pool]
        url = f"http://{vm.address}:{vm.port}{pool.probe_path}"
        limits = {"timeout": dict.fromkeys(("connect", "read"), PROBE_TIMEOUT_S)}
        try:
            async with httpcore.AsyncConnectionPool() as connections:
                await connections.request("GET", url, extensions=limits)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return False
        except httpcore.TimeoutException:
            return False
        return True

    async def _write_phase(self, item: WaveVm, phase: WavePhase) -> None:
        write = maintenance.phase_write(item, phase, time.time())
        if await self._commit([write]):
            self._log_step(item, phase)

    async def _commit(self, writes: list[RowWrite]) -> bool:
        """Write the rows of a step; after a lost answer the next read shows them."""
        result = await self._client.write_all(writes)
        return not isinstance(result, Failure) and result.unwrap()

    def _log_step(self, item: WaveVm, phase: WavePhase) -> None:
        log_event(
            Event.WAVE_STEP,
            wave=item.wave,
            vm=item.vm,
            phase=phase.value,
            revision=self._revisions.number,
            holder=self._entry,
        )

    # Reports

    async def _store_report(
        self, wave: Wave, inputs: WaveInputs, plan: WavePlan
    ) -> None:
        """Store the progress of a wave and why it waits, if that has changed."""
        report: dict[str, object] = {
            "holder": self._entry,
            "revision": self._revisions.number,
            "finished": plan.finished,
            "left": plan.unfinished_vms,
            "under_way": {
                vm: phase.value
                for vm, phase in sorted(inputs.phases.items())
                if phase is not WavePhase.DONE
            },
            "reasons": plan.reasons,
        }
        if self._last_reports.get(wave.name) == report:
            return
        estimate_s = estimate_finish_s(wave, inputs, plan)
        value = {**report, "finish_estimate_s": estimate_s}
        table, key = maintenance.REPORT_TABLE, wave.name
        result = await maintenance.replace_row(self._client, table, key, value)
        if isinstance(result, Failure) or not result.unwrap():
            return
        self._last_reports[wave.name] = report
        if plan.finished:
            self._finished_at_revision[wave.name] = self._revisions.number
            log_event(Event.WAVE_FINISHED, wave=wave.name)
            await self._leases.release(f"wave/{wave.name}")
        elif plan.reasons:
            log_event(
                Event.WAVE_WAITS,
                wave=wave.name,
                reasons=plan.reasons,
                revision=self._revisions.number,
            )
