"""Reads and writes the maintenance rows of the table service.

The tables are:

``wave-vms``      phase of each VM that a wave is processing
``wave-done``     VMs of each pool that a wave has finished
``budgets``       VMs that are reserved under each budget
``drains``        VMs that receive no new requests
``drain-acks``    entries that have stopped sending requests to a VM
``loads``         busy slots by pool, as each entry sees them
``wave-reports``  progress of each wave and the reasons why it waits

A step of a wave changes all affected rows in one transaction, on the condition
that each row still has the version on which the decision is based.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.fleet.waves import WavePhase
from chivetray.platform.store import ABSENT
from chivetray.records.client import (
    RecordClient,
    Row,
    RowWrite,
    convert_rows,
)

WAVE_TABLE = "wave-vms"
DONE_TABLE = "wave-done"
BUDGET_TABLE = "budgets"
DRAIN_TABLE = "drains"
ACK_TABLE = "drain-acks"
LOAD_TABLE = "loads"
REPORT_TABLE = "wave-reports"

PAGE_ROWS = 500

Value = TypeVar("Value")


@dataclass(slots=True)
class WaveVm:
    """State of one VM in a wave.

    :ivar version: version of the row
    :ivar boot_id: boot identifier before the reboot
    :ivar since_s: time since the epoch at which the phase started
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


@dataclass(frozen=True, slots=True)
class WaveRow:
    """A row that is kept after the VMs of a wave are done."""

    table: str
    key: str
    version: int

    @property
    def wave(self) -> str:
        """Name of the wave."""
        return self.key.partition("/")[0]

    def removal(self) -> RowWrite:
        """Return the write that removes the row if it has not changed."""
        return RowWrite(self.table, self.key, self.version, None)


@dataclass(slots=True)
class Reservations:
    """VMs that are reserved under one budget.

    :ivar version: version of the row, or ``ABSENT``
    :ivar vms: name of the reserving wave by VM
    """

    version: int = ABSENT
    vms: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Drain:
    """A VM that receives no new requests.

    :ivar version: version of the row, which identifies this drain of the VM
    :ivar owner: what requested the drain
    """

    vm: str
    version: int
    owner: str


@dataclass(slots=True)
class EntryLoad:
    """Busy slots by pool, as one entry sees them.

    :ivar written_at_s: time at which the entry wrote the row
    """

    entry: str
    written_at_s: float
    busy_slots: dict[str, int]


async def list_rows_with_prefix(
    client: RecordClient, table: str, prefix: str = ""
) -> Result[list[Row], PlatformError]:
    """Read every row whose key begins with a prefix."""
    rows: list[Row] = []
    after = prefix
    while True:
        result = await client.list_rows(table, after, PAGE_ROWS)
        if isinstance(result, Failure):
            return Failure(result.failure())
        page = result.unwrap()
        matching = [row for row in page if row.key.startswith(prefix)]
        rows += matching
        if len(page) < PAGE_ROWS or len(matching) < len(page):
            return Success(rows)
        after = page[-1].key


async def _read_rows(
    client: RecordClient, table: str, prefix: str, convert: Callable[[Row], Value]
) -> Result[list[Value], PlatformError]:
    """Read and convert every row whose key begins with a prefix."""
    result = await list_rows_with_prefix(client, table, prefix)
    return result.bind(lambda rows: convert_rows(rows, convert))


async def read_active_wave_vms(
    client: RecordClient,
) -> Result[dict[str, WaveVm], PlatformError]:
    """Read the VMs that any wave is processing, by name."""
    vms = await _read_rows(client, WAVE_TABLE, "", _parse_wave_vm)
    return vms.map(lambda items: {item.vm: item for item in items})


async def read_done(
    client: RecordClient, wave: str
) -> Result[dict[str, DoneVms], PlatformError]:
    """Read the VMs that a wave has finished, by pool."""
    done = await _read_rows(
        client,
        DONE_TABLE,
        f"{wave}/",
        lambda row: (
            row.key.partition("/")[2],
            DoneVms(row.version, list(row.value["vms"])),
        ),
    )
    return done.map(dict)


def _parse_wave_vm(row: Row) -> WaveVm:
    value = row.value
    phase = WavePhase(value["phase"])
    return WaveVm(
        value["wave"], row.key, row.version, phase, value["boot_id"], value["since_s"]
    )


async def read_budgets(
    client: RecordClient,
) -> Result[dict[str, Reservations], PlatformError]:
    """Read the reservations of all budgets, by budget."""
    reservations = await _read_rows(
        client,
        BUDGET_TABLE,
        "",
        lambda row: (row.key, Reservations(row.version, dict(row.value["vms"]))),
    )
    return reservations.map(dict)


async def read_drains(
    client: RecordClient,
) -> Result[dict[str, Drain], PlatformError]:
    """Read the VMs that receive no new requests, by name."""
    drains = await _read_rows(
        client,
        DRAIN_TABLE,
        "",
        lambda row: Drain(row.key, row.version, row.value["owner"]),
    )
    return drains.map(lambda items: {drain.vm: drain for drain in items})


async def read_acks(
    client: RecordClient, vm: str
) -> Result[dict[str, int], PlatformError]:
    """Read the acknowledged drain version of a VM by entry."""
    acks = await _read_rows(
        client,
        ACK_TABLE,
        f"{vm}/",
        lambda row: (row.key.partition("/")[2], int(row.value["drain_version"])),
    )
    return acks.map(dict)


async def write_ack(
    client: RecordClient, vm: str, entry: str, drain_version: int
) -> Result[bool, PlatformError]:
    """Record that an entry has stopped sending requests to a VM.

    The write is idempotent and can be retried when the answer was lost.
    """
    key = f"{vm}/{entry}"
    return await replace_row(client, ACK_TABLE, key, {"drain_version": drain_version})


async def replace_row(
    client: RecordClient, table: str, key: str, value: dict[str, Any]
) -> Result[bool, PlatformError]:
    """Replace the value of a row that only one process writes."""
    found = await client.read_row(table, key)
    if isinstance(found, Failure):
        return Failure(found.failure())
    row = found.unwrap()
    version = row.version if row else ABSENT
    return await client.write_all([RowWrite(table, key, version, value)])


async def read_loads(
    client: RecordClient,
) -> Result[list[EntryLoad], PlatformError]:
    """Read the loads of the pools, as each entry sees them."""
    return await _read_rows(client, LOAD_TABLE, "", _parse_entry_load)


def _parse_entry_load(row: Row) -> EntryLoad:
    value = row.value
    return EntryLoad(row.key, float(value["written_at_s"]), dict(value["busy_slots"]))


async def read_finished_wave_rows(
    client: RecordClient,
) -> Result[list[WaveRow], PlatformError]:
    """Read the rows that are kept after the VMs of a wave are done."""
    found: list[WaveRow] = []
    for table in (DONE_TABLE, REPORT_TABLE):
        result = await list_rows_with_prefix(client, table)
        if isinstance(result, Failure):
            return Failure(result.failure())
        found += [WaveRow(table, row.key, row.version) for row in result.unwrap()]
    return Success(found)


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
    """Return the write that removes a VM from its wave."""
    return RowWrite(WAVE_TABLE, item.vm, item.version, None)


def done_write(wave: str, pool: str, done: DoneVms, vm: str) -> RowWrite:
    """Return the write that adds a VM to the finished VMs of a wave."""
    value = {"vms": sorted([*done.vms, vm])}
    return RowWrite(DONE_TABLE, f"{wave}/{pool}", done.version, value)


def budget_write(name: str, reservations: Reservations) -> RowWrite:
    """Return the write that replaces the reservations of a budget."""
    value = {"vms": reservations.vms}
    return RowWrite(BUDGET_TABLE, name, reservations.version, value)


def drain_write(vm: str, owner: str) -> RowWrite:
    """Return the write that starts a drain, unless the VM is already drained."""
    return RowWrite(DRAIN_TABLE, vm, ABSENT, {"owner": owner})


def undrain_write(drain: Drain) -> RowWrite:
    """Return the write that ends a drain."""
    return RowWrite(DRAIN_TABLE, drain.vm, drain.version, None)
