"""Reads the platform's list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.fleet.vm_states import ListedVm
from chivetray.records.client import RecordClient
from chivetray.results import ResultCode


@dataclass(frozen=True, slots=True)
class VmChanges:
    """Changed VMs of the list.

    :ivar version: version of the list, to be passed to the next call
    """

    version: int
    vms: list[ListedVm]


_ADAPTER: TypeAdapter[VmChanges] = TypeAdapter(VmChanges)


async def read_vm_changes(
    client: RecordClient, after: int
) -> Result[VmChanges, PlatformError]:
    """Read the VMs that changed after a version of the list; 0 reads all VMs."""
    query = urlencode({"after": after})
    result = await client.get_json(f"/v1/vms?{query}")
    if isinstance(result, Failure):
        return Failure(result.failure())
    return _validate(result.unwrap())


def _validate(document: Any) -> Result[VmChanges, PlatformError]:
    try:
        return Success(_ADAPTER.validate_python(document))
    except ValidationError:
        message = "platform returned an invalid VM list"
        error = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=True)
        return Failure(error)
