"""Operator API, used by the command line and by programs."""

from __future__ import annotations

import dataclasses
import getpass
import urllib.parse
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TypeVar

import anyio
from returns.result import Failure, Result

from chivetray.exceptions import ChivetrayError, FaultsError
from chivetray.fleet.catalog import Catalog, Change
from chivetray.fleet.checker import CheckedSet, check_files, check_object_set
from chivetray.fleet.vm_states import ListedVm, VmKind, VmState
from chivetray.generated.settings import PlatformSettings
from chivetray.records import revisions
from chivetray.records.client import RecordClient
from chivetray.records.maintenance import REPORT_TABLE
from chivetray.records.revisions import HistoryItem
from chivetray.records.vm_list import read_vm_changes
from chivetray.results import ResultCode

POLL_INTERVAL_S = 0.1
PLATFORM_TIMEOUT_S = 5.0

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Published:
    """Result of publishing a set of objects.

    :ivar number: revision that holds the set
    :ivar changed: whether the set differs from the previous revision
    :ivar missing: names of the live entries that do not report the revision
    """

    number: int
    changed: bool
    missing: list[str]


@dataclass(frozen=True, slots=True)
class EntryReport:
    """Status of one entry, or the reason why there is none."""

    name: str
    status: dict[str, Any] | None
    reason: str = ""


class Control:
    """Checks, publishes and inspects sets of objects.

    :param client: client of the platform
    """

    def __init__(self, client: RecordClient):
        self._client = client

    @classmethod
    def from_url(cls, url: str, timeout_s: float = PLATFORM_TIMEOUT_S) -> Control:
        """Create an instance that uses the platform at a URL."""
        settings = PlatformSettings(url=url, timeout_s=timeout_s)
        return cls(RecordClient.from_config(settings))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    @staticmethod
    def check(paths: Iterable[Path]) -> CheckedSet:
        """Check files that together form a complete set.

        :raises FaultsError: with every fault that was found
        """
        return check_files(paths)

    async def get(self) -> tuple[int, Catalog]:
        """Return the newest revision's number and objects.

        :raises ChivetrayError: when the platform does not answer
        """
        return _unwrap(await revisions.read_catalog(self._client))

    async def diff(self, paths: Iterable[Path]) -> tuple[int, Catalog, Change]:
        """Return the newest revision and the change that publishing files would make.

        :raises ChivetrayError: when the files have faults, or the platform does
            not answer
        """
        checked = self.check(paths)
        number, catalog = await self.get()
        return number, catalog, catalog.difference(checked.catalog)

    async def publish(
        self,
        paths: Iterable[Path],
        expect: int | None = None,
        wait_s: float | None = None,
    ) -> Published:
        """Publish files as the next revision.

        :param expect: revision that the files are based on; raises a conflict when
            it is not the newest
        :param wait_s: time to wait until all live entries report the revision
        :raises ChivetrayError: when the files have faults, another revision came
            first, or the platform does not answer
        """
        number, catalog, change = await self.diff(paths)
        if expect is not None and expect != number:
            raise await self._build_conflict_error(expect, number)
        if change.is_empty and number > 0:
            missing = await self._wait_for_entries(number, wait_s)
            return Published(number, False, missing)
        return await self._publish_change(number, catalog, change, wait_s)

    async def _publish_change(
        self, number: int, catalog: Catalog, change: Change, wait_s: float | None
    ) -> Published:
        newer = catalog.copy()
        newer.apply(change)
        faults = check_object_set(newer.to_object_set())
        if faults:
            raise FaultsError(faults)
        result = await revisions.publish_change(
            self._client, number, catalog, change, getpass.getuser()
        )
        if isinstance(result, Failure):
            error = result.failure()
            if error.code is ResultCode.REVISION_CONFLICT:
                raise await self._build_conflict_error(number, None)
            raise error
        published = result.unwrap()
        return Published(
            published, True, await self._wait_for_entries(published, wait_s)
        )

    async def _build_conflict_error(
        self, base: int, found: int | None
    ) -> ChivetrayError:
        """Return an error that lists the revisions and changes since ``base``."""
        newest, _ = await self.get()
        items = await self.history(max(1, newest - base))
        shown = [
            f"revision {item.number} by {item.author}"
            for item in items
            if item.number > base
        ]
        changes = await self._describe_changes_since(base)
        others = ", ".join(shown) or f"revision {found}"
        message = f"expected revision {base}, but {others} came first: {changes}"
        return ChivetrayError(ResultCode.REVISION_CONFLICT, message)

    async def _describe_changes_since(self, base: int) -> str:
        found = _unwrap(await revisions.read_after(self._client, base))
        names = []
        for revision in found:
            names += describe_change(Change.from_json(revision.content))
        return "; ".join(names) or "nothing changed"

    async def _wait_for_entries(self, number: int, wait_s: float | None) -> list[str]:
        """Wait until all entries report a revision; return those that did not."""
        if wait_s is None:
            return []
        deadline_s = anyio.current_time() + wait_s
        while True:
            reports = await self.status()
            missing = [
                report.name
                for report in reports
                if report.status is None or report.status["revision"] < number
            ]
            if not missing or anyio.current_time() >= deadline_s:
                return missing
            await anyio.sleep(POLL_INTERVAL_S)

    async def history(self, limit: int = 20) -> list[HistoryItem]:
        """Return the newest revisions, newest first.

        :raises ChivetrayError: when the platform does not answer
        """
        return _unwrap(await revisions.read_history(self._client, limit))

    async def entries(self) -> list[ListedVm]:
        """Return the entries on the VM list that are not gone.

        :raises ChivetrayError: when the platform does not answer
        """
        changes = _unwrap(await read_vm_changes(self._client, 0))
        return [
            vm
            for vm in changes.vms
            if vm.kind is VmKind.ENTRY and vm.state is not VmState.GONE
        ]

    async def is_ready(self) -> bool:
        """Return whether the entry at this client's URL is ready."""
        result = await self._client.get_json("/status")
        return not isinstance(result, Failure) and bool(result.unwrap()["ready"])

    async def wait_ready(self) -> None:
        """Return when the entry at this client's URL is ready."""
        while True:
            if await self.is_ready():
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def status(self) -> list[EntryReport]:
        """Request the status of every entry.

        :raises ChivetrayError: when the platform does not answer
        """
        reports: dict[str, EntryReport] = {}

        async def add_report(vm: ListedVm) -> None:
            reports[vm.name] = await request_status(vm)

        entries = await self.entries()
        async with anyio.create_task_group() as tasks:
            for vm in entries:
                tasks.start_soon(add_report, vm)
        return [reports[name] for name in sorted(reports)]

    async def explain(self, name: str) -> dict[str, list[str]]:
        """Return what each entry knows about an object or a request.

        :raises ChivetrayError: when the platform does not answer, or no entry
            knows the name
        """
        found: dict[str, list[str]] = {}
        wave = _unwrap(await self._client.read_row(REPORT_TABLE, name))
        if wave is not None:
            found["wave"] = describe_wave(wave.value)
        for vm in await self.entries():
            url = f"http://{vm.address}:{vm.operators_port}"
            document = await _get_json(
                url, f"/explain?name={urllib.parse.quote(name, safe='')}"
            )
            if document and document["lines"]:
                found[vm.name] = document["lines"]
        if not found:
            message = f"no entry has an object or a request named {name}"
            raise ChivetrayError(ResultCode.NO_SUCH_OBJECT, message)
        return found


async def request_status(vm: ListedVm) -> EntryReport:
    """Request the status of one entry."""
    url = f"http://{vm.address}:{vm.operators_port}"
    status = await _get_json(url, "/status")
    if status is None:
        return EntryReport(vm.name, None, "the entry does not answer")
    return EntryReport(vm.name, status)


async def _get_json(url: str, path: str) -> Any:
    client = RecordClient.from_config(PlatformSettings(url=url, timeout_s=2.0))
    try:
        result = await client.get_json(path)
    finally:
        await client.aclose()
    return None if isinstance(result, Failure) else result.unwrap()


def describe_wave(report: dict[str, Any]) -> list[str]:
    """Return lines that describe the last report of a wave."""
    lines = [f"{report['left']} VMs are left, as {report['holder']} reports"]
    if report["finished"]:
        lines = ["the wave is finished"]
    lines += [f"{vm} is {phase}" for vm, phase in report["under_way"].items()]
    lines += [f"it waits: {reason}" for reason in report["reasons"]]
    end = datetime.fromtimestamp(report["finish_estimate_s"], UTC)
    if not report["finished"]:
        lines.append(f"it is expected to end at {end.isoformat(timespec='seconds')}")
    lines.append(f"decided under revision {report['revision']}")
    return lines


def describe_change(change: Change) -> list[str]:
    """Return one phrase for each object that a change adds, updates or removes."""
    phrases = []
    for item in dataclasses.fields(change.put):
        objects = getattr(change.put, item.name)
        if isinstance(objects, list):
            phrases += [f"{item.name[:-1]} {found.name} put" for found in objects]
    for kind, names in change.remove.items():
        phrases += [f"{kind[:-1]} {name} removed" for name in names]
    return phrases


def _unwrap(result: Result[Value, Any]) -> Value:
    """Return the value of a result or raise its error."""
    if isinstance(result, Failure):
        raise result.failure()
    return result.unwrap()
