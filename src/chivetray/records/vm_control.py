"""Reads and reboots single VMs through the platform."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.fleet.vm_states import VmState
from chivetray.records.client import RecordClient
from chivetray.results import ResultCode


@dataclass(frozen=True, slots=True)
class VmInfo:
    """State of one VM as the platform reports it.

    :ivar boot_id: identifier of the current boot
    :ivar rebooting: whether a reboot is in progress
    """

    name: str
    state: VmState
    boot_id: str
    rebooting: bool


_ADAPTER: TypeAdapter[VmInfo] = TypeAdapter(VmInfo)


async def read_vm(client: RecordClient, name: str) -> Result[VmInfo, PlatformError]:
    """Read the state of one VM."""
    result = await client.get_json(f"/v1/vms/{quote(name, safe='')}")
    if isinstance(result, Failure):
        return Failure(result.failure())
    try:
        return Success(_ADAPTER.validate_python(result.unwrap()))
    except ValidationError:
        message = f"platform description of VM {name} is invalid"
        error = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=True)
        return Failure(error)


async def reboot_vm(
    client: RecordClient, name: str, boot_id: str
) -> Result[None, PlatformError]:
    """Reboot a VM if its boot identifier is still ``boot_id``.

    The call can be repeated after a lost answer, because the platform refuses it
    once the VM has another boot identifier.
    """
    path = f"/v1/vms/{quote(name, safe='')}/reboot"
    return await client.send_json("POST", path, {"expected_boot_id": boot_id})
