"""Stand-in of the platform, in memory, that can be told to fail."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore
from starlette.applications import Starlette
from starlette.background import BackgroundTask
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from chivetray.standins.endpoint import CONTROL_PATH

STALL_S = 3600.0


@dataclass(slots=True)
class PlatformFaults:
    """Faults that the stand-in shows.

    :ivar down: refuse every call
    :ivar stalled: accept calls and never answer
    :ivar delay_s: time before each answer
    :ivar lose_answers: number of the next writes that take effect and whose
        answer is lost
    :ivar rows_per_second: rows that may be written each second, 0 for no limit
    :ivar reboot_s: time for which a reboot takes
    :ivar freeze_vms: keep showing the VM list as it was
    """

    down: bool = False
    stalled: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    rows_per_second: float = 0.0
    freeze_vms: bool = False
    reboot_s: float = 0.5


@dataclass(slots=True)
class StoredRow:
    """A row with its version."""

    version: int
    value: dict[str, Any]


@dataclass(slots=True)
class PlatformState:
    """Everything that the stand-in keeps."""

    faults: PlatformFaults = field(default_factory=PlatformFaults)
    tables: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    vms: dict[str, tuple[int, dict[str, Any]]] = field(default_factory=dict)
    vms_version: int = 0
    boots: dict[str, int] = field(default_factory=dict)
    rebooting: set[str] = field(default_factory=set)
    cut_requests: int = 0
    versions: int = 0
    rows_written: int = 0
    reads: int = 0
    write_window: int = -1
    window_rows: int = 0

    def matches(self, write: dict[str, Any]) -> bool:
        """Return whether a row has the version that a write expects."""
        row = self.tables.get(write["table"], {}).get(write["key"])
        expected: int = write["expected_version"]
        return (row.version if row else 0) == expected

    def apply(self, write: dict[str, Any]) -> int:
        """Write a row and return its new version."""
        table = self.tables.setdefault(write["table"], {})
        self.versions += 1
        self.rows_written += 1
        if write["value"] is None:
            table.pop(write["key"], None)
            return 0
        table[write["key"]] = StoredRow(self.versions, write["value"])
        return self.versions

    def current_version(self, write: dict[str, Any]) -> int:
        """Return the version of the row that a write names."""
        row = self.tables.get(write["table"], {}).get(write["key"])
        return row.version if row else 0

    def admit_rows(self, count: int) -> bool:
        """Return whether the write limit allows some more rows now."""
        limit = self.faults.rows_per_second
        window = int(anyio.current_time())
        if window != self.write_window:
            self.write_window, self.window_rows = window, 0
        if limit and self.window_rows + count > limit:
            return False
        self.window_rows += count
        return True


def create_platform_app(state: PlatformState | None = None) -> Starlette:
    """Return the HTTP application of the stand-in."""
    state = state or PlatformState()
    app = Starlette(
        routes=[
            Route("/v1/tables/{table}", _list_rows),
            Route("/v1/tables/{table}/{key:path}", _read_row),
            Route("/v1/transactions", _write_all, methods=["POST"]),
            Route("/v1/batches", _write_each, methods=["POST"]),
            Route("/v1/objects/{digest}", _objects, methods=["GET", "PUT"]),
            Route("/v1/vms", _list_vms),
            Route("/v1/vms/{name}", _get_vm, methods=["GET"]),
            Route("/v1/vms/{name}", _put_vm, methods=["PUT", "DELETE"]),
            Route("/v1/vms/{name}/reboot", _reboot_vm, methods=["POST"]),
            Route("/v1/faults", _set_faults, methods=["POST"]),
            Route("/v1/statistics", _statistics),
        ],
    )
    app.state.platform = state
    return app


def _state(request: Request) -> PlatformState:
    state = request.app.state.platform
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


async def _lose_answer_if_told(state: PlatformState) -> None:
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        await anyio.sleep(STALL_S)


async def _read_row(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    state.reads += 1
    table = state.tables.get(request.path_params["table"], {})
    row = table.get(request.path_params["key"])
    if row is None:
        return JSONResponse({"error": "no such row"}, 404)
    return JSONResponse({"version": row.version, "value": row.value})


async def _list_rows(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    state.reads += 1
    after = request.query_params.get("after", "")
    limit = int(request.query_params.get("limit", "100"))
    table = state.tables.get(request.path_params["table"], {})
    keys = sorted(key for key in table if key > after)[:limit]
    rows = [
        {"key": key, "version": table[key].version, "value": table[key].value}
        for key in keys
    ]
    return JSONResponse({"rows": rows})


async def _write_all(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    writes = (await request.json())["writes"]
    if not state.admit_rows(len(writes)):
        return JSONResponse({"error": "too many writes"}, 429)
    if not all(state.matches(write) for write in writes):
        return JSONResponse({"error": "conflict"}, 409)
    versions = [state.apply(write) for write in writes]
    await _lose_answer_if_told(state)
    return JSONResponse({"versions": versions})


async def _write_each(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    writes = (await request.json())["writes"]
    if not state.admit_rows(len(writes)):
        return JSONResponse({"error": "too many writes"}, 429)
    results = []
    for write in writes:
        if state.matches(write):
            results.append({"version": state.apply(write), "written": True})
        else:
            version = state.current_version(write)
            results.append({"version": version, "written": False})
    await _lose_answer_if_told(state)
    return JSONResponse({"results": results})


async def _objects(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    digest = request.path_params["digest"]
    if request.method == "PUT":
        state.objects[digest] = await request.body()
        return JSONResponse({})
    content = state.objects.get(digest)
    if content is None:
        return JSONResponse({"error": "no such object"}, 404)
    return Response(content, media_type="application/json")


async def _list_vms(request: Request) -> Response:
    state = _state(request)
    if failed := await _fail_if_told(state):
        return failed
    state.reads += 1
    after = int(request.query_params.get("after", "0"))
    if state.faults.freeze_vms:
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
        await task()
        await _lose_answer_if_told(state)
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
        await anyio.sleep(state.faults.reboot_s)
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
    state = _state(request)
    state.faults = PlatformFaults(**json.loads(await request.body()))
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
