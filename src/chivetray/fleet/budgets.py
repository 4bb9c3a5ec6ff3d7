"""Decides whether availability budgets allow another voluntary disruption."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from chivetray.fleet.catalog import Catalog
from chivetray.generated.objects import Budget, Service, Vm


@dataclass(frozen=True, slots=True)
class BudgetView:
    """VMs that count towards a budget, and which of them are unavailable.

    :ivar vms: VMs of all services under the budget
    :ivar failed: names of the VMs that are unavailable but not reserved
    :ivar reserved: names of the VMs that are reserved for maintenance
    """

    budget: Budget
    vms: list[Vm]
    failed: frozenset[str] = frozenset()
    reserved: frozenset[str] = frozenset()

    @property
    def unavailable(self) -> frozenset[str]:
        """Names of all VMs that have failed or are reserved for maintenance."""
        return self.failed | self.reserved


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a VM may not be taken out of service.

    :ivar budget: name of the budget that forbids the disruption
    """

    budget: str
    reason: str


def find_disruption_refusal(view: BudgetView, vm: Vm) -> Refusal | None:
    """Return why a budget forbids the disruption of a VM, or ``None``.

    Failed VMs count against the budget as reserved ones do. With ``survive_rack_loss``,
    the remaining VMs must satisfy the budget even after the loss of the rack that
    holds most of them. The last remaining VM of a pool in a zone is never taken
    out of service, unless the zone has only that one.
    """
    budget = view.budget
    unavailable = view.unavailable | {vm.name}
    if len(unavailable) > budget.max_unavailable_vms:
        reason = (
            f"{len(view.failed)} VMs have failed and {len(view.reserved)} are reserved "
            f"of {budget.max_unavailable_vms} that may be unavailable"
        )
        return Refusal(budget.name, reason)
    remaining = [other for other in view.vms if other.name not in unavailable]
    if _empties_zone(view, vm, remaining):
        reason = f"VM {vm.name} is the last of pool {vm.pool} in zone {vm.zone}"
        return Refusal(budget.name, reason)
    largest_rack_vms = 0
    if budget.survive_rack_loss and remaining:
        largest_rack_vms = max(
            Counter((each_vm.zone, each_vm.rack) for each_vm in remaining).values()
        )
    if len(remaining) - largest_rack_vms < budget.min_available_vms:
        reason = (
            f"{len(remaining)} VMs would remain, and {largest_rack_vms} fewer after "
            f"the loss of a rack; at least {budget.min_available_vms} must be available"
        )
        return Refusal(budget.name, reason)
    return None


def _empties_zone(view: BudgetView, vm: Vm, remaining: list[Vm]) -> bool:
    """Return whether taking a VM leaves its zone without any VM of its pool.

    Entries use only the endpoints of their own zone. A zone with a single VM of
    the pool is exempt, because that VM could never be maintained otherwise.
    """
    pool_vms = [other for other in view.vms if other.pool == vm.pool]
    vms_in_zone = sum(other.zone == vm.zone for other in pool_vms)
    remaining_in_zone = sum(
        each_vm.zone == vm.zone and each_vm.pool == vm.pool for each_vm in remaining
    )
    return remaining_in_zone == 0 and vms_in_zone > 1


@dataclass(slots=True)
class BudgetIndex:
    """VMs and pools under each budget of a catalog.

    :ivar vms_by_budget: VMs by the name of their budget
    :ivar budgets_by_pool: names of the budgets that cover each pool
    """

    vms_by_budget: dict[str, list[Vm]] = field(default_factory=dict)
    budgets_by_pool: dict[str, list[str]] = field(default_factory=dict)

    @classmethod
    def from_catalog(cls, catalog: Catalog) -> BudgetIndex:
        """Build the index of a catalog."""
        index = cls()
        pools: dict[str, set[str]] = {}
        for service in catalog.services.values():
            _add_service(pools, service)
        for name, pool_names in pools.items():
            index.vms_by_budget[name] = [
                vm for vm in catalog.vms.values() if vm.pool in pool_names
            ]
            for pool in sorted(pool_names):
                index.budgets_by_pool.setdefault(pool, []).append(name)
        return index

    def budgets_of(self, vm: Vm) -> list[str]:
        """Return the names of the budgets that cover a VM."""
        return sorted(self.budgets_by_pool.get(vm.pool, []))


def _add_service(pools: dict[str, set[str]], service: Service) -> None:
    pools.setdefault(service.budget, set()).update(service.pools)


def view_budget(
    catalog: Catalog,
    index: BudgetIndex,
    name: str,
    unavailable: Collection[str],
    reserved: Collection[str],
) -> BudgetView:
    """Return the view of one budget.

    :param unavailable: names of all VMs that are leaving or gone
    :param reserved: names of the VMs that the budget's stored row reserves
    """
    vms = index.vms_by_budget.get(name, [])
    vm_names = {vm.name for vm in vms}
    reserved_names = frozenset(reserved)
    return BudgetView(
        budget=catalog.budgets[name],
        vms=vms,
        failed=frozenset(vm_names & set(unavailable)) - reserved_names,
        reserved=reserved_names & vm_names,
    )
