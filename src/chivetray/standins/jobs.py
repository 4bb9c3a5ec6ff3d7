"""Runs stand-ins for the store and for workers, and a manager that uses them."""

from __future__ import annotations

import asyncio
import base64
import random
import socket
from pathlib import Path

import anyio
import orjson

from chivetray.events import Event, log_event
from chivetray.generated.manager_models import ManagerSettings
from chivetray.manager import Manager
from chivetray.platform.calls import Answer, CallSession
from chivetray.platform.standins.store import StoreState, create_store_app
from chivetray.platform.standins.worker import (
    CLOCK_START_MAX_MS,
    WORKER_HEARTBEAT_INTERVAL_S,
    WorkerModel,
    create_worker_app,
    encode_worker_row,
    run_tasks,
)
from chivetray.servers import HttpServer, bind_listener

TRY_ADDRESS = "127.0.0.1"
TRY_HOST = "jobs.example"
TRY_PREFIX = "/work/"
TRY_SERVICE = "pool-a"
TRY_STORE_PORT = 8085
TRY_CALLERS_PORT = 8084
TRY_READY_PORT = 8086
TRY_PEERS_PORT = 8087
TRY_WORKER_PORT = 8088
TRY_WORKERS = 2

CALL_TIMEOUT_S = 2.0


async def serve_store(address: str, port: int, state: StoreState | None = None) -> None:
    """Run a store stand-in until cancelled."""
    listener = bind_listener(address, port)
    server = HttpServer.from_app(create_store_app(state or StoreState()))
    print(f"store listens on {address}:{port}", flush=True)
    await server.serve_on(listener)


async def serve_worker(
    worker_id: str,
    service: str,
    address: str,
    port: int,
    store_address: str,
    history_file: str = "",
    descriptor: int | None = None,
) -> None:
    """Run a worker stand-in that publishes its state in the store, until cancelled.

    :param history_file: file to which all starts and ends are appended, empty for none
    :param descriptor: listener of the parent process, ``None`` to open one
    """
    if descriptor is None:
        listener = bind_listener(address, port)
    else:
        listener = socket.socket(fileno=descriptor)
    clock_start_ms = random.randint(0, CLOCK_START_MAX_MS)
    model = WorkerModel(
        worker_id,
        service,
        clock_start_ms=clock_start_ms,
        history_file=history_file,
    )
    server = HttpServer.from_app(create_worker_app(model))
    print(f"worker {worker_id} listens on {address}:{port}", flush=True)
    with listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve_on, listener)
            tasks.start_soon(run_tasks, model)
            tasks.start_soon(_publish_worker, model, f"{address}:{port}", store_address)


async def _publish_worker(model: WorkerModel, address: str, store_address: str) -> None:
    """Write the worker's row into the store at every heartbeat."""
    session = CallSession.open()
    try:
        while True:
            row = encode_worker_row(model, address)
            url = f"http://{store_address}/standin/put"
            outcome = await session.call("POST", url, CALL_TIMEOUT_S, row)
            if not isinstance(outcome, Answer):
                log_event(Event.STORE_LOST, reason=outcome.reason, during="heartbeat")
            await asyncio.sleep(WORKER_HEARTBEAT_INTERVAL_S)
    finally:
        await session.aclose()


def example_config(version: int = 1) -> str:
    """Return an operator configuration with one queue, encoded as in the store."""
    queue = {
        "Name": "work",
        "Host": TRY_HOST,
        "PathPrefix": TRY_PREFIX,
        "Service": TRY_SERVICE,
        "MaxAttempts": 3,
        "Stretch": 2.0,
        "TargetLatencyMs": 1000,
        "TimeoutMs": 3000,
    }
    pool = {"Name": TRY_SERVICE, "AdmissionCheck": True}
    plain = {"Version": version, "Routes": [queue], "Services": [pool], "Limits": {}}
    return base64.b64encode(orjson.dumps(plain)).decode()


async def run_try_jobs() -> None:
    """Run a store, workers and one manager, all in this process."""
    state = StoreState()
    state.put("op", "", "config", example_config())
    store_address = f"{TRY_ADDRESS}:{TRY_STORE_PORT}"
    settings = ManagerSettings(
        name="manager-1",
        zone="z1",
        address=TRY_ADDRESS,
        callers=f"{TRY_ADDRESS}:{TRY_CALLERS_PORT}",
        ready=f"{TRY_ADDRESS}:{TRY_READY_PORT}",
        peers=f"{TRY_ADDRESS}:{TRY_PEERS_PORT}",
        store=store_address,
        grace_s=1.5,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_store, TRY_ADDRESS, TRY_STORE_PORT, state)
        for number in range(TRY_WORKERS):
            tasks.start_soon(
                serve_worker,
                f"worker-{number}",
                TRY_SERVICE,
                TRY_ADDRESS,
                TRY_WORKER_PORT + number,
                store_address,
            )
        await anyio.sleep(0.3)
        manager = Manager(settings, Path(), "")
        tasks.start_soon(_announce_ready, manager)
        await manager.run()
        tasks.cancel_scope.cancel()


async def _announce_ready(manager: Manager) -> None:
    """Print sample commands as soon as the manager is ready and owns a cell."""
    while not (manager.is_ready() and manager.owned_cells()):  # noqa: ASYNC110
        await anyio.sleep(0.1)
    url = f"http://{TRY_ADDRESS}:{TRY_CALLERS_PORT}{TRY_PREFIX}00000000000000aa"
    body = '{"TaskSpec":"2","Steps":[{"Count":3,"Cpu":500,"MemMb":64}]}'
    print(f"ready: curl -H 'Host: {TRY_HOST}' -d '{body}' {url}", flush=True)
    print(f"then:  curl -H 'Host: {TRY_HOST}' {url}", flush=True)
