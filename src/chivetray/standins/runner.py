"""Runs stand-ins, as separate processes or all in one process."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

import anyio

from chivetray.config import Config
from chivetray.control import Control
from chivetray.documents import parse_document
from chivetray.entry import Entry
from chivetray.fleet.checker import check_files
from chivetray.generated.objects import Vm
from chivetray.servers import HttpServer, bind_listener
from chivetray.standins.endpoint import EndpointApp, EndpointState
from chivetray.standins.platform import PlatformState, create_platform_app

TRY_ADDRESS = "127.0.0.1"
TRY_CALLERS_PORT = 8080
TRY_OPERATORS_PORT = 8081
TRY_PEERS_PORT = 8082
TRY_PLATFORM_PORT = 8083

Address = tuple[str, int]


async def serve_platform(address: str, port: int) -> None:
    """Run a platform stand-in until cancelled."""
    listener = bind_listener(address, port)
    server = HttpServer.from_app(create_platform_app(PlatformState()))
    print(f"platform listens on {address}:{port}", flush=True)
    await server.serve_on(listener)


async def serve_endpoint(
    name: str, slots: int, address: str, port: int, ledger_file: str = ""
) -> None:
    """Run an endpoint stand-in until cancelled.

    :param ledger_file: file to which every run is appended, or empty for none
    """
    listener = bind_listener(address, port)
    server = HttpServer.from_app(EndpointApp(EndpointState(name, slots, ledger_file)))
    print(f"endpoint {name} listens on {address}:{port}", flush=True)
    await server.serve_on(listener)


async def serve_endpoints(vms: Iterable[Vm]) -> None:
    """Run an endpoint stand-in for each VM, all in this process."""
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(serve_endpoint, vm.name, vm.slots, vm.address, vm.port)


async def run_try(paths: list[Path], zone: str | None) -> None:
    """Run a platform, all endpoints and one entry in this process.

    :param zone: availability zone of the entry, by default the first one configured
    """
    checked = check_files(paths)
    entry_zone = zone or checked.objects.zones[0].name
    vms = [vm for vm in checked.objects.vms if vm.zone == entry_zone]
    url = f"http://{TRY_ADDRESS}:{TRY_PLATFORM_PORT}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_platform, TRY_ADDRESS, TRY_PLATFORM_PORT)
        tasks.start_soon(serve_endpoints, vms)
        await anyio.sleep(0.2)
        control = Control.from_url(url)
        published = await control.publish(paths)
        await control.aclose()
        print(f"revision {published.number} is published", flush=True)
        tasks.start_soon(_announce_ready, checked.objects.services[0].path_prefixes[0])
        await _create_entry(url, entry_zone).run()
        tasks.cancel_scope.cancel()


def _create_entry(url: str, zone: str) -> Entry:
    settings = {
        "format_version": 1,
        "entry": {"name": "entry-1", "zone": zone, "address": TRY_ADDRESS},
        "listeners": {
            "callers_port": TRY_CALLERS_PORT,
            "operators_port": TRY_OPERATORS_PORT,
            "peers_port": TRY_PEERS_PORT,
        },
        "platform": {"url": url},
    }
    # JSON is a subset of YAML, so the settings pass the same checks as those of a file.
    document = parse_document(json.dumps(settings), "try")
    return Entry.from_config(Config.from_document(document))


async def _announce_ready(prefix: str) -> None:
    """Print a sample command as soon as the entry is ready."""
    control = Control.from_url(f"http://{TRY_ADDRESS}:{TRY_OPERATORS_PORT}")
    await control.wait_ready()
    await control.aclose()
    print(f"ready: curl http://{TRY_ADDRESS}:{TRY_CALLERS_PORT}{prefix}", flush=True)
