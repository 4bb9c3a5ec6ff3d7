"""Validates a whole object set: names, references, routes, budgets and waves."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from chivetray.documents import Document, load_document, validate_document
from chivetray.exceptions import Fault, FaultsError
from chivetray.fleet.catalog import KINDS, Catalog, object_set_from_plain
from chivetray.generated import object_models
from chivetray.generated.objects import ObjectSet, Service, Vm, Wave
from chivetray.results import ResultCode

# Fields that refer to other objects by name, as (kind, field, target kind).
REFERENCES = (
    ("vms", "pool", "pools"),
    ("vms", "zone", "zones"),
    ("services", "pools", "pools"),
    ("services", "budget", "budgets"),
    ("waves", "pools", "pools"),
)

_SINGULAR = {kind: kind[:-1] for kind in KINDS}


@dataclass(slots=True)
class CheckedSet:
    """An object set that passed every check."""

    objects: ObjectSet
    catalog: Catalog


@dataclass(slots=True)
class _Inputs:
    """Objects of all files, with the positions from which they were read.

    :ivar broken: names of the objects that fail schema validation, by kind
    :ivar positions: file and line of each object, by its ``id()``
    """

    objects: ObjectSet = field(default_factory=ObjectSet)
    broken: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    positions: dict[int, tuple[str, int]] = field(default_factory=dict)

    def fault(self, code: ResultCode, kind: str, item: Any, message: str) -> Fault:
        """Build a fault that names an object and where it was read."""
        file, line = self.positions.get(id(item), ("", 0))
        return Fault(code, file, line, f"{_SINGULAR[kind]} {item.name}", message)


def check_files(paths: Iterable[Path]) -> CheckedSet:
    """Read and check the files that together form one object set.

    :raises FaultsError: with every fault found
    """
    faults: list[Fault] = []
    documents: list[Document] = []
    for path in paths:
        try:
            document = load_document(path)
        except FaultsError as error:
            faults += error.faults
            continue
        schema_faults = validate_document(document, object_models.ObjectSet)
        faults += schema_faults
        documents.append(document)
    inputs = _collect_objects(documents)
    faults += check_objects(inputs)
    if faults:
        raise FaultsError(
            sorted(set(faults), key=lambda f: (f.file, f.line, f.message))
        )
    return CheckedSet(inputs.objects, Catalog.from_object_set(inputs.objects))


def check_object_set(objects: ObjectSet) -> list[Fault]:
    """Return the faults of an object set that was not read from files."""
    return check_objects(_Inputs(objects))


def _collect_objects(documents: list[Document]) -> _Inputs:
    """Collect the objects that pass schema validation."""
    inputs = _Inputs()
    for document in documents:
        if not isinstance(document.data, dict):
            continue
        for kind in KINDS:
            items = document.data.get(kind)
            for index, plain in enumerate(items if isinstance(items, list) else []):
                item = _decode_object(kind, plain)
                if item is None:
                    name = plain.get("name") if isinstance(plain, dict) else None
                    inputs.broken[kind].add(str(name))
                    continue
                getattr(inputs.objects, kind).append(item)
                line = document.line_of((kind, index))
                inputs.positions[id(item)] = (document.file, line)
    return inputs


def _decode_object(kind: str, plain: Any) -> Any:
    """Decode one object, or return ``None`` when it fails schema validation.

    Unknown fields are dropped, so that the other checks still cover the object.
    """
    try:
        single = object_set_from_plain({"format_version": 1, kind: [plain]})
    except ValidationError as error:
        known = _drop_unknown_fields(plain, error)
        return None if known is None else _decode_object(kind, known)
    return getattr(single, kind)[0]


def _drop_unknown_fields(plain: Any, error: ValidationError) -> Any:
    """Return an object without its unknown fields.

    :return: ``None`` when the object has faults other than unknown fields
    """
    details = error.errors(include_url=False)
    if any(detail["type"] != "extra_forbidden" for detail in details):
        return None
    unknown = {detail["loc"][-1] for detail in details}
    return {key: value for key, value in plain.items() if key not in unknown}


def check_objects(inputs: _Inputs) -> list[Fault]:
    """Run every check on an object set.

    Checks that count VMs are skipped when a VM or a service is missing from the
    set because it fails schema validation.
    """
    faults: list[Fault] = []
    for check in _CHECKS:
        faults += check(inputs)
    if not inputs.broken["vms"] and not inputs.broken["services"]:
        for check in _CAPACITY_CHECKS:
            faults += check(inputs)
    return faults


def _check_names(inputs: _Inputs) -> Iterator[Fault]:
    for kind in KINDS:
        seen: dict[str, Any] = {}
        for item in getattr(inputs.objects, kind):
            first = seen.setdefault(item.name, item)
            if first is item:
                continue
            if isinstance(item, Vm) and item.pool != first.pool:
                message = f"VM is in pool {first.pool} and in pool {item.pool}"
                yield inputs.fault(ResultCode.VM_IN_TWO_POOLS, kind, item, message)
            else:
                message = "another object of this kind has the same name"
                yield inputs.fault(ResultCode.DOUBLED_NAME, kind, item, message)


def _check_references(inputs: _Inputs) -> Iterator[Fault]:
    for kind, attribute, target in REFERENCES:
        known = {item.name for item in getattr(inputs.objects, target)}
        known |= inputs.broken[target]
        for item in getattr(inputs.objects, kind):
            value = getattr(item, attribute)
            names = value if isinstance(value, list) else [value]
            for name, count in Counter(names).items():
                if count > 1:
                    message = f"{attribute} names {name} {count} times"
                    yield inputs.fault(
                        ResultCode.DOUBLED_REFERENCE, kind, item, message
                    )
                if name not in known:
                    message = f"{attribute} names {name}, which does not exist"
                    yield inputs.fault(
                        ResultCode.DANGLING_REFERENCE, kind, item, message
                    )


def _check_addresses(inputs: _Inputs) -> Iterator[Fault]:
    seen: dict[tuple[str, int], str] = {}
    for vm in inputs.objects.vms:
        first = seen.setdefault((vm.address, vm.port), vm.name)
        if first != vm.name:
            message = f"{vm.address}:{vm.port} is the address of VM {first} already"
            yield inputs.fault(ResultCode.DOUBLED_ADDRESS, "vms", vm, message)


def _check_routes(inputs: _Inputs) -> Iterator[Fault]:
    seen: dict[tuple[str, str], str] = {}
    for service in inputs.objects.services:
        if not service.hosts and not service.path_prefixes:
            message = "service has neither hosts nor path_prefixes"
            yield inputs.fault(ResultCode.ROUTE_CONFLICT, "services", service, message)
            continue
        for host in service.hosts or [""]:
            for prefix in service.path_prefixes or ["/"]:
                first = seen.setdefault((host.lower(), prefix), service.name)
                if first != service.name:
                    route = f"{host or 'any host'} {prefix}"
                    message = f"{route} selects service {first} already"
                    yield inputs.fault(
                        ResultCode.ROUTE_CONFLICT, "services", service, message
                    )


def _check_service_fields(inputs: _Inputs) -> Iterator[Fault]:
    for service in inputs.objects.services:
        for prefix in service.path_prefixes:
            if not prefix.startswith("/"):
                message = f"path_prefixes: {prefix!r} does not start with a slash"
                yield inputs.fault(ResultCode.BAD_VALUE, "services", service, message)
        for method in service.idempotent_methods:
            if method != method.upper() or not method.isalpha():
                message = f"idempotent_methods: {method!r} is not in upper case"
                yield inputs.fault(ResultCode.BAD_VALUE, "services", service, message)


def _vms_by_pool(inputs: _Inputs) -> dict[str, list[Vm]]:
    by_pool: dict[str, list[Vm]] = defaultdict(list)
    for vm in inputs.objects.vms:
        by_pool[vm.pool].append(vm)
    return by_pool


def _service_vms(by_pool: dict[str, list[Vm]], service: Service) -> list[Vm]:
    return [vm for pool in service.pools for vm in by_pool.get(pool, [])]


def _check_budgets(inputs: _Inputs) -> Iterator[Fault]:
    budgets = {budget.name: budget for budget in inputs.objects.budgets}
    used_budgets = {service.budget for service in inputs.objects.services}
    by_pool = _vms_by_pool(inputs)
    for service in inputs.objects.services:
        budget = budgets.get(service.budget)
        vms = _service_vms(by_pool, service)
        if budget is None or not vms:
            continue
        fewest_available = len(vms) - budget.max_unavailable_vms
        if budget.survive_rack_loss:
            racks = Counter((vm.zone, vm.rack) for vm in vms)
            fewest_available -= max(racks.values())
        if fewest_available < budget.min_available_vms:
            message = (
                f"of the {len(vms)} VMs of service {service.name}, only "
                f"{fewest_available} would remain available, but min_available_vms "
                f"is {budget.min_available_vms}"
            )
            yield inputs.fault(ResultCode.BUDGET_IMPOSSIBLE, "budgets", budget, message)
    for budget in inputs.objects.budgets:
        if budget.name not in used_budgets:
            message = "no service refers to the budget"
            yield inputs.fault(ResultCode.UNUSED_BUDGET, "budgets", budget, message)


def _check_zones(inputs: _Inputs) -> Iterator[Fault]:
    zones = [zone.name for zone in inputs.objects.zones]
    by_pool = _vms_by_pool(inputs)
    for service in inputs.objects.services:
        served_zones = {vm.zone for vm in _service_vms(by_pool, service)}
        for zone in zones:
            if zone not in served_zones:
                message = f"service has no endpoint in availability zone {zone}"
                yield inputs.fault(
                    ResultCode.ZONE_WITHOUT_ENDPOINTS, "services", service, message
                )


def _check_floors(inputs: _Inputs) -> Iterator[Fault]:
    counts = Counter(vm.pool for vm in inputs.objects.vms)
    for pool in inputs.objects.pools:
        if counts[pool.name] < pool.floor_vms:
            message = (
                f"pool has {counts[pool.name]} VMs, but floor_vms is {pool.floor_vms}"
            )
            yield inputs.fault(ResultCode.FLOOR_IMPOSSIBLE, "pools", pool, message)


def wave_batch_vms(wave: Wave, pool: str, objects: ObjectSet) -> int:
    """Return how many VMs of a pool a wave may maintain at once within the budgets."""
    budgets = {budget.name: budget for budget in objects.budgets}
    limits = [
        budgets[service.budget].max_unavailable_vms
        for service in objects.services
        if pool in service.pools and service.budget in budgets
    ]
    return min([wave.batch_vms, *limits])


def shortest_wave_s(wave: Wave, objects: ObjectSet) -> float:
    """Return the minimum duration of a wave in seconds.

    Pools are maintained in parallel, the batches of one pool in sequence. A pool
    whose budgets allow no disruption is left out; another check reports it.
    """
    counts = Counter(vm.pool for vm in objects.vms)
    batches = 0
    for pool in wave.pools:
        batch_vms = wave_batch_vms(wave, pool, objects)
        if batch_vms > 0:
            batches = max(batches, math.ceil(counts[pool] / batch_vms))
    return batches * (wave.drain_s + wave.reboot_s)


def _check_waves(inputs: _Inputs) -> Iterator[Fault]:
    for wave in inputs.objects.waves:
        start = datetime.fromisoformat(wave.window_start)
        end = datetime.fromisoformat(wave.window_end)
        if start.tzinfo is None or end.tzinfo is None:
            message = "window_start and window_end need a UTC offset, such as Z"
            yield inputs.fault(ResultCode.BAD_VALUE, "waves", wave, message)
            continue
        yield from _check_window(inputs, wave, (end - start).total_seconds())
        yield from _check_wave_budgets(inputs, wave)


def _check_window(inputs: _Inputs, wave: Wave, window_s: float) -> Iterator[Fault]:
    needed_s = shortest_wave_s(wave, inputs.objects)
    if window_s <= 0:
        message = "window_end is not after window_start"
        yield inputs.fault(ResultCode.WAVE_IMPOSSIBLE, "waves", wave, message)
    elif needed_s > window_s:
        message = f"wave needs {needed_s:.0f} s, but its window has {window_s:.0f} s"
        yield inputs.fault(ResultCode.WAVE_IMPOSSIBLE, "waves", wave, message)


def _check_wave_budgets(inputs: _Inputs, wave: Wave) -> Iterator[Fault]:
    budgets = {budget.name: budget for budget in inputs.objects.budgets}
    for service in inputs.objects.services:
        budget = budgets.get(service.budget)
        if budget is None or not set(service.pools) & set(wave.pools):
            continue
        if budget.max_unavailable_vms == 0:
            message = (
                f"budget {budget.name} of service {service.name} allows no disruption"
            )
            yield inputs.fault(ResultCode.WAVE_IMPOSSIBLE, "waves", wave, message)


_CHECKS: tuple[Callable[[_Inputs], Iterator[Fault]], ...] = (
    _check_names,
    _check_references,
    _check_addresses,
    _check_routes,
    _check_service_fields,
    _check_waves,
)

# Checks that count VMs; a missing VM or service would make them report false faults.
_CAPACITY_CHECKS: tuple[Callable[[_Inputs], Iterator[Fault]], ...] = (
    _check_budgets,
    _check_zones,
    _check_floors,
)
