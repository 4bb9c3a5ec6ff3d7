"""Moves VMs between pools and maintains them, in the holder of the fleet duty.

One process at a time holds the duty; only the holder gives orders for VMs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio

from chivetray.capacity.move_plan import Move, plan_moves
from chivetray.capacity.moves import VmMoves
from chivetray.capacity.recent_orders import DUTY_TABLE, FLEET_CELL, RecentOrders
from chivetray.capacity.reports import CellReports
from chivetray.capacity.sizing import (
    LATE_DRAIN_S,
    DemandMeter,
    PoolState,
    PoolVm,
    forecast_demand,
)
from chivetray.capacity.vm_requests import VmRequests
from chivetray.capacity.wave_progress import MaintenanceOrder
from chivetray.capacity.wave_runner import WaveRunner
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.owner import CellOwner
from chivetray.clocks import boot_time_s
from chivetray.defects import log_defect
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.store import Store, StoreUnavailableError
from chivetray.platform.vm_api import (
    PlatformVm,
    PlatformVmClient,
    PlatformVmState,
    VmOrderOutcome,
)

# Interval between two rounds of orders. A move of a VM takes ten times as long.
ROUND_INTERVAL_S = 0.15

# Intervals between reads of the VM list, while VMs are moved or emptied and while no
# change is expected.
BUSY_LIST_INTERVAL_S = 0.3
LIST_INTERVAL_S = 1.0

# Interval between two writes of the progress of waves.
WAVE_STORE_INTERVAL_S = 0.3

# Interval between log lines about pool sizes.
SIZES_LOG_INTERVAL_S = 1.0


class FleetRunner:
    """Moves and maintains VMs while this process holds the fleet duty.

    :param migrate_s: time that a VM takes to move to another pool
    :param maintenance_s: time that a VM is down for maintenance
    :param on_arrivals: called when VMs are on their way to a cell of this process
    :param cells: returns the cells that keep and get VMs, by default the services of
        all configurations since the start
    """

    def __init__(
        self,
        mesh: Mesh,
        store: Store,
        directory: CellDirectory,
        configuration: Configuration,
        machines: PlatformVmClient,
        lease_s: float,
        migrate_s: float,
        maintenance_s: float,
        on_arrivals: Callable[[], None],
        cells: Callable[[], Iterable[str]] | None = None,
    ):
        self._mesh = mesh
        self._store = store
        self._directory = directory
        self._configuration = configuration
        self._cells = cells or (lambda: self._configuration.services)
        self._client = machines
        self._migrate_s = migrate_s
        self._machines: list[PlatformVm] = []
        self._listed_at_s = self._list_requested_at_s = 0.0
        self._reports = CellReports(mesh, directory, on_arrivals)
        self._orders = RecentOrders(lease_s)
        self._waves = WaveRunner(
            store, configuration, machines, self._orders, self._reports, maintenance_s
        )
        self._demand_meters: dict[str, DemandMeter] = {}
        self._moves = VmMoves(migrate_s, boot_time_s)
        self._requests = VmRequests(boot_time_s)
        self._active_owner: CellOwner | None = None
        self._sizes_logged_at_s = 0.0

    # Main loop

    async def run(self) -> None:
        """Give orders whenever this process holds the duty, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store_waves)
            while True:
                await anyio.sleep(ROUND_INTERVAL_S)
                owner = self._directory.owned_cells.get(FLEET_CELL)
                if owner is None or owner.leaving:
                    self._active_owner = None
                    continue
                try:
                    if owner is not self._active_owner:
                        await self._begin(owner)
                    await self._run_round(owner)
                except StoreUnavailableError as error:
                    log_event(Event.STORE_LOST, reason=str(error), during="VM orders")
                except Exception as error:
                    log_defect(Event.LOOP_FAILED, error, loop="VM orders")

    async def _store_waves(self) -> None:
        """Store the progress of waves beside the rounds, which a slow store delays."""
        while True:
            await anyio.sleep(WAVE_STORE_INTERVAL_S)
            owner = self._active_owner
            if owner is None or owner.leaving or owner.lost:
                continue
            try:
                await self._waves.store_progress(owner)
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="waves")
            except Exception as error:
                log_defect(Event.LOOP_FAILED, error, loop="waves")

    async def _begin(self, owner: CellOwner) -> None:
        """Start as the new holder."""
        rows, _ = await self._store.read(DUTY_TABLE, FLEET_CELL)
        await self._orders.begin(owner, rows)
        self._waves.restore(rows)
        self._reports.holder_epoch = owner.epoch
        # A VM list from an earlier time as holder may be outdated.
        self._machines = []
        self._moves.forget()
        self._requests.forget()
        self._active_owner = owner

    async def _run_round(self, owner: CellOwner) -> None:
        is_list_current = await self._refresh_machines()
        if not self._machines:
            # The workers that open orders of an earlier holder may end are unknown, so
            # its reservations stay.
            return
        await self._refresh_reports(self._cells())
        if not is_list_current:
            # Orders are decided on the state of VMs; that of an old list may be wrong.
            return
        by_name = {machine.name: machine for machine in self._machines}
        standby = self._standby_pools()
        # A VM that empties for a pool that lacks it is maintained after its move. If
        # the wave would be late, it claims the VM, and the request is withdrawn.
        maintenance = self._waves.plan(
            by_name, standby, self._moves, self._requests, self._list_requested_at_s
        )
        moves = await self._plan_moves(sorted(standby))
        await self._send_orders(owner, maintenance, moves)

    async def _send_orders(
        self, owner: CellOwner, maintenance: list[MaintenanceOrder], moves: list[Move]
    ) -> None:
        """Store which VMs get an order, all in one write, then send the orders."""
        moves = [move for move in moves if self._orders.is_unblocked(move.machine)]
        names = [order.vm.name for order in maintenance]
        names += [move.machine for move in moves]
        if not names:
            return
        if not await self._orders.store_orders(owner, names):
            for order in maintenance:
                self._waves.withdraw(order)
            return
        async with anyio.create_task_group() as tasks:
            for order in maintenance:
                tasks.start_soon(self._waves.send, owner, order)
            for move in moves:
                tasks.start_soon(self._move_vm, owner, move)

    # Input of a round

    async def _refresh_machines(self) -> bool:
        """Read the list of VMs if it is due; return whether the list is current."""
        requested_at_s = boot_time_s()
        busy = bool(self._moves or self._requests or self._waves.emptying)
        interval_s = BUSY_LIST_INTERVAL_S if busy else LIST_INTERVAL_S
        if self._machines and requested_at_s - self._listed_at_s < interval_s:
            return True
        machines = await self._client.list_vms()
        if machines is None:
            log_event(Event.VM_LIST_MISSING)
            return False
        self._machines = machines
        self._listed_at_s = boot_time_s()
        self._list_requested_at_s = requested_at_s
        by_name = {machine.name: machine for machine in machines}
        self._moves.apply_list(by_name, requested_at_s)
        return True

    async def _refresh_reports(self, cells: Iterable[str]) -> None:
        """Request the load of cells, and have workers of leaving VMs reserved."""
        reserved_workers = self._requests.workers()
        reserved_workers |= set(self._waves.emptying.values())
        reserved_workers |= self._waves.ended_workers() | self._moves.ended_workers()
        uncertain_workers = set()
        for machine in self._machines:
            if not machine.worker_id:
                continue
            if machine.name in self._moves or self._waves.claims(machine.name):
                # The worker may be another than the one that the VM had at the order.
                reserved_workers.add(machine.worker_id)
            elif not self._orders.is_unblocked(machine.name):
                uncertain_workers.add(machine.worker_id)
        await self._reports.request_all(
            sorted(cells),
            sorted(reserved_workers),
            self._moves.arriving(),
            sorted(uncertain_workers),
        )

    def _standby_pools(self) -> set[str]:
        config = self._configuration.current
        return {p.name for p in config.pools.values() if p.standby} if config else set()

    # Moves

    async def _plan_moves(self, standby: list[str]) -> list[Move]:
        """Return the moves to order now, and have the other leaving VMs emptied."""
        if not standby:
            return []
        now_s = boot_time_s()
        pools, spares = self._pool_states(standby, now_s)
        if now_s - self._sizes_logged_at_s >= SIZES_LOG_INTERVAL_S:
            self._sizes_logged_at_s = now_s
            sizes = {
                pool.name: [
                    len(pool.vms),
                    pool.arriving,
                    pool.demand_milli,
                    self._reports.cells[pool.name].used_milli,
                ]
                for pool in pools
            }
            log_event(Event.POOL_SIZES, pools=sizes, spares=len(spares))
        self._requests.end_overdue(self._available_vms())
        plan = plan_moves(pools, standby[0], spares, self._requests.moves())
        for vm, reason in plan.withdrawn.items():
            self._requests.withdraw(vm, reason)
        new_sources = self._requests.request(
            move for move in plan.moves if move.source not in standby
        )
        if new_sources:
            # The owners reserve these workers at once, so that empty ones leave now.
            await self._refresh_reports(new_sources)
        by_name = {machine.name: machine for machine in self._machines}
        return [
            move
            for move in [*self._moves.moves_to_repeat(), *plan.moves]
            if self._reports.is_empty(by_name[move.machine], set(standby))
        ]

    def _available_vms(self) -> set[str]:
        """Return the VMs that may be ordered to another pool."""
        return {
            machine.name
            for machine in self._machines
            if machine.state == PlatformVmState.UP
            and machine.name not in self._moves
            and not self._waves.claims(machine.name)
        }

    def _pool_states(
        self, standby: list[str], now_s: float
    ) -> tuple[list[PoolState], list[PoolVm]]:
        pools: dict[str, PoolState] = {}
        for cell in self._reports.cells:
            if cell not in standby:
                pools[cell] = PoolState(cell, 0)
        for target, count in self._moves.arriving().items():
            if target in pools:
                pools[target].arriving = count
        spares = []
        for machine in self._machines:
            if machine.name in self._moves:
                continue
            up = machine.state == PlatformVmState.UP
            movable = up and not self._waves.claims(machine.name)
            if machine.pool in standby:
                spares.append(
                    PoolVm(machine.name, "", machine.cpu_milli, 0, 0, movable)
                )
            elif machine.pool in pools and movable:
                # A VM that a wave empties is no capacity: its pool gets another first.
                worker_report = self._reports.worker(machine)
                if worker_report is None or not worker_report.listed:
                    continue
                vm = PoolVm(
                    machine.name,
                    machine.worker_id,
                    machine.cpu_milli,
                    worker_report.tasks,
                    worker_report.idle_ms,
                    not self._requests.is_paused(machine.name),
                    worker_report.empties_in_ms,
                )
                pools[machine.pool].vms.append(vm)
        # A VM that a wave has still to take down would have to be emptied again.
        spares.sort(key=lambda vm: self._waves.awaits(vm.machine))
        for cell, pool in pools.items():
            report = self._reports.cells[cell]
            demand_milli = forecast_demand(
                report.used_milli - report.late_used_milli,
                report.waiting_milli_s,
                report.arriving_milli,
                pool.capacity_milli,
                self._migrate_s,
            )
            pool.required_vms = report.required_workers
            meter = self._demand_meters.setdefault(cell, DemandMeter())
            pool.demand_milli = meter.record(demand_milli, now_s)
            late_milli = report.late_waiting_milli_s / LATE_DRAIN_S
            pool.late_demand_milli = report.late_used_milli + int(late_milli)
        return list(pools.values()), spares

    def _is_still_empty(self, move: Move) -> bool:
        return any(
            self._reports.is_worker_empty(move.source, machine.worker_id)
            for machine in self._machines
            if machine.name == move.machine
        )

    async def _move_vm(self, owner: CellOwner, move: Move) -> None:
        # Writing the order may have taken longer than the report stays valid.
        if move.worker_id and not self._is_still_empty(move):
            return
        if not self._orders.try_record_order(owner, move.machine):
            return
        self._reports.basis(move.source, move.worker_id).log_order(
            "move",
            move.machine,
            move.worker_id,
            source=move.source,
            target=move.target,
            epoch=owner.epoch,
        )
        self._requests.settle(move.machine)
        self._moves.begin_order(move)
        answer = await self._client.move(move.machine, move.target, owner.epoch)
        self._moves.end_order(move, answer)
        if answer == VmOrderOutcome.DONE:
            log_event(
                Event.VM_MOVED,
                vm=move.machine,
                source=move.source,
                target=move.target,
            )
            return
        log_event(
            Event.VM_ORDER_FAILED,
            vm=move.machine,
            target=move.target,
            answer=answer.value,
        )
