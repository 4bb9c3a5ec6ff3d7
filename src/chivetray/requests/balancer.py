"""Chooses the endpoint of an attempt."""

from __future__ import annotations

import math

import anyio

from chivetray.fleet.catalog import Catalog
from chivetray.fleet.vm_states import VmStates
from chivetray.generated.objects import Priority, Service, Vm
from chivetray.peers.grants import GrantHolder
from chivetray.requests.outliers import OutlierTable


class EndpointBalancer:
    """Chooses among a service's endpoints in this zone by their free slots.

    :param return_ramp_s: time over which the slots of a VM that has returned from
        a drain are opened step by step, in seconds
    """

    def __init__(
        self,
        zone: str,
        grants: GrantHolder,
        vm_states: VmStates,
        outliers: OutlierTable,
        return_ramp_s: float = 0.0,
    ):
        self._zone = zone
        self._grants = grants
        self._vm_states = vm_states
        self._outliers = outliers
        self._return_ramp_s = return_ramp_s
        self._catalog = Catalog()
        self._zone_endpoints: dict[str, list[Vm]] = {}
        self._reserved_slots: dict[str, int] = {}
        self._reconciliations_in_flight: dict[str, int] = {}

    def set_catalog(self, catalog: Catalog) -> None:
        """Index the endpoints of a new revision."""
        self._catalog = catalog
        by_pool: dict[str, list[Vm]] = {}
        for vm in catalog.vms.values():
            if vm.zone == self._zone:
                by_pool.setdefault(vm.pool, []).append(vm)
        self._zone_endpoints = {
            service.name: [vm for pool in service.pools for vm in by_pool.get(pool, [])]
            for service in catalog.services.values()
        }
        self._reserved_slots = {
            vm.name: catalog.pools[vm.pool].reserved_quick_slots
            for vms in by_pool.values()
            for vm in vms
            if vm.pool in catalog.pools
        }

    def endpoints(self, service: Service) -> list[Vm]:
        """Return the endpoints of a service in this zone."""
        return self._zone_endpoints.get(service.name, [])

    def live_endpoints(self, service: Service, now_s: float) -> list[Vm]:
        """Return a service's endpoints that may receive idempotent requests."""
        return [vm for vm in self.endpoints(service) if self._may_use(vm, True, now_s)]

    def granted_slots(self, service: Service, now_s: float) -> int:
        """Return the number of slots granted to this entry for a service."""
        return sum(
            self._grants.granted_slots(vm.name, now_s)
            for vm in self.live_endpoints(service, now_s)
        )

    def choose(
        self, service: Service, idempotent: bool, excluded: set[str], now_s: float
    ) -> Vm | None:
        """Return the endpoint with the most free slots, or ``None``.

        An excluded endpoint is chosen only when no other endpoint is usable.
        """
        usable = [
            vm for vm in self.endpoints(service) if self._may_use(vm, idempotent, now_s)
        ]
        not_excluded = [vm for vm in usable if vm.name not in excluded]
        best, best_rank = None, (False, 0)
        for vm in not_excluded or usable:
            free = self._free_slots(vm, service, now_s)
            preferred = self._outliers.is_preferred(vm.name, idempotent, now_s)
            if free > 0 and (preferred, free) > best_rank:
                best, best_rank = vm, (preferred, free)
        return best

    def _may_use(self, vm: Vm, idempotent: bool, now_s: float) -> bool:
        return self._vm_states.is_live(vm.name) and self._outliers.is_available(
            vm.name, idempotent, now_s
        )

    def may_send(self, vm: Vm) -> bool:
        """Return whether a slot that was taken may still be used.

        While the process was paused or wrote a claim, the grant may have expired
        or the VM may have started to leave.
        """
        granted = self._grants.granted_slots(vm.name, anyio.current_time())
        return granted > 0 and self._vm_states.is_live(vm.name)

    def _free_slots(self, vm: Vm, service: Service, now_s: float) -> int:
        free = min(self._grants.free_slots(vm.name, now_s), self._ramp_slots(vm, now_s))
        if service.priority is not Priority.reconciliation:
            return free
        granted = self._grants.granted_slots(vm.name, now_s)
        reserved = math.ceil(self._reserved_slots.get(vm.name, 0) * granted / vm.slots)
        allowed = granted - reserved - self._reconciliations_in_flight.get(vm.name, 0)
        return min(free, allowed)

    def _ramp_slots(self, vm: Vm, now_s: float) -> int:
        """Return how many more requests a VM may receive while it ramps up."""
        since_s = self._vm_states.time_since_return_s(vm.name, now_s)
        if since_s >= self._return_ramp_s:
            return vm.slots
        allowed = math.ceil(vm.slots * since_s / self._return_ramp_s)
        return max(1, allowed) - self._grants.count_in_flight(vm.name)

    def take(self, vm: Vm, service: Service, deadline_s: float) -> None:
        """Take a slot of an endpoint for a request."""
        self._grants.acquire_slot(vm.name, deadline_s)
        self._outliers.record_start(vm.name)
        if service.priority is Priority.reconciliation:
            self._reconciliations_in_flight[vm.name] = (
                self._reconciliations_in_flight.get(vm.name, 0) + 1
            )

    def release(self, vm: Vm, service: Service) -> None:
        """Release the slot of a request that has ended."""
        self._grants.release_slot(vm.name)
        if service.priority is Priority.reconciliation:
            self._reconciliations_in_flight[vm.name] -= 1

    def may_eject(self, endpoint: str) -> bool:
        """Return whether the availability budgets allow ejecting an endpoint."""
        vm = self._catalog.vms.get(endpoint)
        if vm is None:
            return True
        unavailable = self._vm_states.unavailable() | self._outliers.ejected()
        for service in self._catalog.services.values():
            if vm.pool not in service.pools:
                continue
            budget = self._catalog.budgets[service.budget]
            count = sum(
                name in self._catalog.vms
                and self._catalog.vms[name].pool in service.pools
                for name in unavailable
            )
            if count >= budget.max_unavailable_vms:
                return False
        return True
