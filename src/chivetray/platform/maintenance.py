"""Rows of maintenance in the table service: waves, budgets, drains and loads.

Table ``wave-vms`` holds the phase of each VM that a wave has under way,
``wave-done`` the VMs of each pool that it has finished, ``budgets`` the VMs that
are reserved under each budget, ``drains`` the VMs that receive no new requests,
``drain-acks`` which entry has stopped sending to which VM, ``loads`` the busy
slots that each entry sees, and ``wave-reports`` what a wave does and why it
waits. A step of a wave changes all rows that it concerns in one transaction, each
on the condition that it is as the decision saw it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.fleet.waves import WavePhase
from chivetray.platform.client import ABSENT, PlatformClient, Row, RowWrite

WAVE_TABLE = "wave-vms"
DONE_TABLE = "wave-done"
BUDGET_TABLE = "budgets"
DRAIN_TABLE = "drains"
ACK_TABLE = "drain-acks"
LOAD_TABLE = "loads"
REPORT_TABLE = "wave-reports"

PAGE_ROWS = 500


@dataclass(slots=True)
class WaveVm:
    """State of one VM in a wave.

    :ivar version: version of the row
    :ivar boot_id: boot identifier before the reboot
    :ivar since_s: time since the epoch at which the phase began
    """

    wave: str
    vm: str
    version: int
    phase: WavePhase
    boot_id: str
    since_s: float


@dataclass(slots=True)
class DoneVms:
    """VMs of one pool that a wave has finished.

    :ivar version: version of the row, or ``ABSENT``
    """

    version: int = ABSENT
    vms: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Reservations:
    """VMs that are reserved under one budget.

    :ivar version: version of the row, or ``ABSENT``
    :ivar vms: wave by VM
    """

    version: int = ABSENT
    vms: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Drain:
    """A VM that receives no new requests.

    :ivar version: version of the row; it tells one drain from the next
    """

    vm: str
    version: int
    owner: str


@dataclass(slots=True)
class EntryLoad:
    """Busy slots by pool, as one entry sees them."""

    entry: str
    written_at_s: float
    busy_slots: dict[str, int]


async def list_all(
    client: PlatformClient, table: str, prefix: str = ""
) -> Result[list[Row], PlatformError]:
    """Read every row whose key begins with a prefix."""
    rows: list[Row] = []
    after = prefix
    while True:
        result = await client.list_rows(table, after, PAGE_ROWS)
        if isinstance(result, Failure):
            return Failure(result.failure())
        page = result.unwrap()
        wanted = [row for row in page if row.key.startswith(prefix)]
        rows += wanted
        if len(page) < PAGE_ROWS or len(wanted) < len(page):
            return Success(rows)
        after = page[-1].key


async def read_under_way(
    client: PlatformClient,
) -> Result[dict[str, WaveVm], PlatformError]:
    """Read the VMs that any wave has under way, by VM."""
    result = await list_all(client, WAVE_TABLE)
    if isinstance(result, Failure):
        return Failure(result.failure())
    vms = [_wave_vm(row) for row in result.unwrap()]
    return Success({item.vm: item for item in vms})


async def read_done(
    client: PlatformClient, wave: str
) -> Result[dict[str, DoneVms], PlatformError]:
    """Read the VMs that a wave has finished, by pool."""
    result = await list_all(client, DONE_TABLE, f"{wave}/")
    if isinstance(result, Failure):
        return Failure(result.failure())
    return Success(
        {
            row.key.partition("/")[2]: DoneVms(row.version, row.value["vms"])
            for row in result.unwrap()
        }
    )


def _wave_vm(row: Row) -> WaveVm:
    value = row.value
    phase = WavePhase(value["phase"])
    return WaveVm(
        value["wave"], row.key, row.version, phase, value["boot_id"], value["since_s"]
    )


async def read_budgets(
    client: PlatformClient,
) -> Result[dict[str, Reservations], PlatformError]:
    """Read the reservations of all budgets."""
    result = await list_all(client, BUDGET_TABLE)
    if isinstance(result, Failure):
        return Failure(result.failure())
    rows = result.unwrap()
    return Success({r.key: Reservations(r.version, r.value["vms"]) for r in rows})


async def read_drains(
    client: PlatformClient,
) -> Result[dict[str, Drain], PlatformError]:
    """Read the VMs that receive no new requests."""
    result = await list_all(client, DRAIN_TABLE)
    if isinstance(result, Failure):
        return Failure(result.failure())
    return Success(
        {
            row.key: Drain(row.key, row.version, row.value["owner"])
            for row in result.unwrap()
        }
    )


async def read_acks(
    client: PlatformClient, vm: str
) -> Result[dict[str, int], PlatformError]:
    """Read which entries have stopped sending to a VM, for which drain."""
    result = await list_all(client, ACK_TABLE, f"{vm}/")
    if isinstance(result, Failure):
        return Failure(result.failure())
    return Success(
        {
            row.key.partition("/")[2]: row.value["drain_version"]
            for row in result.unwrap()
        }
    )


async def write_ack(
    client: PlatformClient, vm: str, entry: str, drain_version: int
) -> Result[bool, PlatformError]:
    """Record that an entry has stopped sending to a VM.

    Writing it again changes nothing, so a lost answer costs only another try.
    """
    key = f"{vm}/{entry}"
    return await overwrite(client, ACK_TABLE, key, {"drain_version": drain_version})


async def overwrite(
    client: PlatformClient, table: str, key: str, value: dict[str, Any]
) -> Result[bool, PlatformError]:
    """Set a row that only one process writes."""
    found = await client.read_row(table, key)
    if isinstance(found, Failure):
        return Failure(found.failure())
    row = found.unwrap()
    version = row.version if row else ABSENT
    return await client.write_all([RowWrite(table, key, version, value)])


async def read_loads(
    client: PlatformClient,
) -> Result[list[EntryLoad], PlatformError]:
    """Read what the entries see of the pools' loads."""
    result = await list_all(client, LOAD_TABLE)
    if isinstance(result, Failure):
        return Failure(result.failure())
    return Success(
        [
            EntryLoad(row.key, row.value["written_at_s"], row.value["busy_slots"])
            for row in result.unwrap()
        ]
    )


def phase_write(item: WaveVm, phase: WavePhase, now_s: float) -> RowWrite:
    """Return the write that moves a VM to a phase."""
    value = {
        "wave": item.wave,
        "phase": phase.value,
        "boot_id": item.boot_id,
        "since_s": now_s,
    }
    return RowWrite(WAVE_TABLE, item.vm, item.version, value)


def end_write(item: WaveVm) -> RowWrite:
    """Return the write that takes a VM off the waves."""
    return RowWrite(WAVE_TABLE, item.vm, item.version, None)


def done_write(wave: str, pool: str, done: DoneVms, vm: str) -> RowWrite:
    """Return the write that adds a VM to those that a wave has finished."""
    value = {"vms": sorted([*done.vms, vm])}
    return RowWrite(DONE_TABLE, f"{wave}/{pool}", done.version, value)


def budget_write(name: str, reservations: Reservations) -> RowWrite:
    """Return the write that replaces the reservations of a budget."""
    value = {"vms": reservations.vms}
    return RowWrite(BUDGET_TABLE, name, reservations.version, value)


def drain_write(vm: str, owner: str) -> RowWrite:
    """Return the write that begins a drain, if none is there."""
    return RowWrite(DRAIN_TABLE, vm, ABSENT, {"owner": owner})


def undrain_write(drain: Drain) -> RowWrite:
    """Return the write that ends a drain."""
    return RowWrite(DRAIN_TABLE, drain.vm, drain.version, None)
