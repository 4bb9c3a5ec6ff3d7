"""Stand-in of the platform that entries use: the store, VMs and their reboots."""

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
    """Faults of the VM list and of reboots.

    :ivar reboot_s: time for which a reboot takes
    :ivar freeze_vms: keep showing the VM list as it was
    """

    freeze_vms: bool = False
    reboot_s: float = 0.5


class PlatformState(StoreState):
    """The store's rows and objects, and the VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.vm_faults = VmFaults()
        self.vms: dict[str, tuple[int, dict[str, Any]]] = {}
        self.vms_version = 0
        self.boots: dict[str, int] = {}
        self.rebooting: set[str] = set()
        self.cut_requests = 0


def create_platform_app(state: PlatformState | None = None) -> Starlette:
    """Return the HTTP application of the stand-in: the store and the VM list."""
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


async def _fail_if_told(state: PlatformState) -> Response | None:
    if state.faults.stalled:
        await anyio.sleep(STALL_S)
    if state.faults.delay_s:
        await anyio.sleep(state.faults.delay_s)
    if state.faults.down:
        return JSONResponse({"error": "down"}, 503)
    return None


async def _list_vms(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    state.reads += 1
    after = int(request.query_params.get("after", "0"))
    if state.vm_faults.freeze_vms:
        return JSONResponse({"version": after, "vms": []})
    vms = [vm for version, vm in state.vms.values() if version > after]
    return JSONResponse({"version": state.vms_version, "vms": vms})


async def _get_vm(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    name = request.path_params["name"]
    if name not in state.vms:
        return JSONResponse({"error": "no such VM"}, 404)
    _, vm = state.vms[name]
    boot_id = f"boot-{state.boots.get(name, 0)}"
    rebooting = name in state.rebooting
    return JSONResponse({**vm, "boot_id": boot_id, "rebooting": rebooting})


async def _reboot_vm(request: Request) -> Response:
    """Reboot a VM whose boot is the expected one."""
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    name = request.path_params["name"]
    expected = (await request.json())["expected_boot_id"]
    found = f"boot-{state.boots.get(name, 0)}"
    if name not in state.vms or expected != found or name in state.rebooting:
        return JSONResponse({"error": f"the boot is {found}"}, 409)
    state.rebooting.add(name)
    task = BackgroundTask(_run_reboot, state, name)
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        await task()
        await anyio.sleep(STALL_S)
    return JSONResponse({}, background=task)


async def _run_reboot(state: PlatformState, name: str) -> None:
    """Take the endpoint of a VM down for a while and count what that cuts."""
    _, vm = state.vms[name]
    url = f"http://{vm['address']}:{vm['endpoint_port']}{CONTROL_PATH}"
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", url)
        endpoint = json.loads(response.content)
        state.cut_requests += endpoint["running"]
        faults = endpoint["faults"]
        down = json.dumps({**faults, "down": True}).encode()
        await pool.request("POST", url, content=down)
        await anyio.sleep(state.vm_faults.reboot_s)
        await pool.request("POST", url, content=json.dumps(faults).encode())
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
    """Set all faults: those named, and none of the others."""
    state = _state(request)
    told = json.loads(await request.body())
    of_vms = {field.name for field in fields(VmFaults)}
    state.vm_faults = VmFaults(**{k: v for k, v in told.items() if k in of_vms})
    state.faults = StoreFaults(**{k: v for k, v in told.items() if k not in of_vms})
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
