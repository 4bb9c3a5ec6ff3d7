"""Stand-in for the platform that entries use: the store, VMs and their reboots."""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from typing import Any

import anyio
import httpcore
from starlette.applications import Starlette
from starlette.background import BackgroundTask
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chivetray.platform.standins.store import (
    STALL_S,
    StoreFaults,
    StoreState,
    create_store_app,
)
from chivetray.standins.endpoint import CONTROL_PATH


@dataclass(slots=True)
class VmFaults:
    """Faults of the VM list and of reboots, set by name through ``/v1/faults``.

    :ivar freeze_vms: report no further changes of the VM list
    :ivar reboot_s: duration of a reboot
    """

    freeze_vms: bool = False
    reboot_s: float = 0.5


class PlatformState(StoreState):
    """Rows and objects of the store, and the VMs.

    :ivar vms: version of the last change and content of each VM, by name
    :ivar boots: number of reboots by VM
    :ivar rebooting: names of the VMs that are being rebooted
    :ivar cut_requests: requests that were in progress when a reboot began
    """

    def __init__(self) -> None:
        super().__init__()
        self.vm_faults = VmFaults()
        self.vms: dict[str, tuple[int, dict[str, Any]]] = {}
        self.vms_version = 0
        self.boots: dict[str, int] = {}
        self.rebooting: set[str] = set()
        self.cut_requests = 0


def create_platform_app(state: PlatformState | None = None) -> Starlette:
    """Create the HTTP application of the stand-in: the store and the VM list."""
    return create_store_app(
        state or PlatformState(),
        [
            Route("/v1/vms", _list_vms),
            Route("/v1/vms/{name}", _get_vm, methods=["GET"]),
            Route("/v1/vms/{name}", _put_vm, methods=["PUT", "DELETE"]),
            Route("/v1/vms/{name}/reboot", _reboot_vm, methods=["POST"]),
            Route("/v1/faults", _set_faults, methods=["POST"]),
            Route("/v1/statistics", _statistics),
        ],
    )


def _state(request: Request) -> PlatformState:
    state = request.app.state.store
    assert isinstance(state, PlatformState)
    return state


async def _inject_faults(state: PlatformState) -> Response | None:
    if state.faults.stalled:
        await anyio.sleep(STALL_S)
    if state.faults.delay_s:
        await anyio.sleep(state.faults.delay_s)
    if state.faults.down:
        return JSONResponse({"error": "down"}, 503)
    return None


async def _list_vms(request: Request) -> Response:
    state = _state(request)
    if failure := await _inject_faults(state):
        return failure
    state.reads += 1
    after_version = int(request.query_params.get("after", "0"))
    if state.vm_faults.freeze_vms:
        return JSONResponse({"version": after_version, "vms": []})
    vms = [vm for version, vm in state.vms.values() if version > after_version]
    return JSONResponse({"version": state.vms_version, "vms": vms})


async def _get_vm(request: Request) -> Response:
    state = _state(request)
    if failure := await _inject_faults(state):
        return failure
    name = request.path_params["name"]
    if name not in state.vms:
        return JSONResponse({"error": "no such VM"}, 404)
    _, vm = state.vms[name]
    boot_id = f"boot-{state.boots.get(name, 0)}"
    rebooting = name in state.rebooting
    return JSONResponse({**vm, "boot_id": boot_id, "rebooting": rebooting})


async def _reboot_vm(request: Request) -> Response:
    """Reboot a VM if its current boot is the expected one and no reboot is running."""
    state = _state(request)
    if failure := await _inject_faults(state):
        return failure
    name = request.path_params["name"]
    expected_boot_id = (await request.json())["expected_boot_id"]
    current_boot_id = f"boot-{state.boots.get(name, 0)}"
    if (
        name not in state.vms
        or expected_boot_id != current_boot_id
        or name in state.rebooting
    ):
        return JSONResponse({"error": f"the current boot is {current_boot_id}"}, 409)
    state.rebooting.add(name)
    task = BackgroundTask(_run_reboot, state, name)
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        await task()
        await anyio.sleep(STALL_S)
    return JSONResponse({}, background=task)


async def _run_reboot(state: PlatformState, name: str) -> None:
    """Take a VM's endpoint down for a while and count the requests in progress."""
    _, vm = state.vms[name]
    url = f"http://{vm['address']}:{vm['endpoint_port']}{CONTROL_PATH}"
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", url)
        endpoint = json.loads(response.content)
        state.cut_requests += endpoint["running"]
        previous_faults = endpoint["faults"]
        down_faults = json.dumps({**previous_faults, "down": True}).encode()
        await pool.request("POST", url, content=down_faults)
        await anyio.sleep(state.vm_faults.reboot_s)
        await pool.request("POST", url, content=json.dumps(previous_faults).encode())
    state.boots[name] = state.boots.get(name, 0) + 1
    state.rebooting.discard(name)


async def _put_vm(request: Request) -> Response:
    state = _state(request)
    name = request.path_params["name"]
    state.vms_version += 1
    if request.method == "DELETE":
        _, vm = state.vms[name]
        vm = {**vm, "state": "gone"}
    else:
        vm = {**await request.json(), "name": name}
    state.vms[name] = (state.vms_version, vm)
    return JSONResponse({})


async def _set_faults(request: Request) -> Response:
    """Set the faults that the request names, and clear all others."""
    state = _state(request)
    requested = json.loads(await request.body())
    vm_fields = {field.name for field in fields(VmFaults)}
    state.vm_faults = VmFaults(
        **{name: value for name, value in requested.items() if name in vm_fields}
    )
    state.faults = StoreFaults(
        **{name: value for name, value in requested.items() if name not in vm_fields}
    )
    return JSONResponse({})


async def _statistics(request: Request) -> Response:
    state = _state(request)
    return JSONResponse(
        {
            "rows_written": state.rows_written,
            "reads": state.reads,
            "reboots": state.boots,
            "cut_requests": state.cut_requests,
        }
    )
