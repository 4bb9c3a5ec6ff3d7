"""The callers' port of managers in one process, over one store in memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from cell_helpers import CELL, MemoryStore

from chivetray.api.jobs import JobsApp
from chivetray.cells.configuration import Configuration
from chivetray.cells.directory import CellDirectory
from chivetray.cells.job_service import JobService
from chivetray.manager_metrics import ManagerMetrics
from chivetray.peers.codec import decode_content, encode_content
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import Row, RowId

JOB = "00000000000000aa"
KEY_A, KEY_B = "key-of-a", "key-of-b"
CONFIG_ROW = RowId("op", "", "config")

Answer = tuple[int, dict[str, Any]]


def operator_config(version: int = 1, **changes: Any) -> bytes:
    """Return a configuration with two organisations and a public route."""
    route = {"Host": "h", "PathPrefix": "/q/", "Service": CELL}
    public = {**route, "PathPrefix": "/public/", "Public": True}
    rows = [
        {"Name": "a", "ApiKeys": [KEY_A, "key-2-of-a"], "Cap": {"Cpu": 2000}},
        {"Name": "b", "ApiKeys": [KEY_B], "Weight": 2.5},
    ]
    plain = {"Version": version, "Routes": [route, public], "Tenants": rows}
    return json.dumps({**plain, **changes}).encode()


def job_body(cpu_milli: int = 1000, **step: Any) -> bytes:
    """Return a submission of one step."""
    return json.dumps({"Steps": [{"Count": 2, "Cpu": cpu_milli, **step}]}).encode()


class ApiManager:
    """What serves callers at one manager.

    :ivar messages: encoded calls and answers of this manager's peers
    """

    def __init__(self, name: str, state: StoreState, config: bytes):
        self.name = name
        self.store = MemoryStore(state)
        self.mesh = SimpleNamespace(name=name, handlers={}, peers={}, call=self._call)
        self.messages: list[bytes] = []
        self.configuration = Configuration(self.store, lambda: None)
        self.configuration.connect(self.mesh)  # type: ignore[arg-type]
        self.apply(config)
        self.directory = CellDirectory(self.mesh, self.store, None, list, list, 1000)  # type: ignore[arg-type]
        self.service = JobService(
            self.mesh,  # type: ignore[arg-type]
            self.store,  # type: ignore[arg-type]
            self.directory,
            self.configuration,
        )
        self.metrics = ManagerMetrics(dict)
        self.app = JobsApp(self.configuration, self.service, self.metrics)

    def apply(self, content: bytes) -> None:
        """Put a configuration in force."""
        if content:
            self.configuration._apply_row(Row(CONFIG_ROW, content, 1))

    async def _call(self, name: str, kind: str, argument: Any, *_: float) -> Any:
        self.messages.append(encode_content(argument))
        handler = self.mesh.peers[name].mesh.handlers[kind]
        reply = await handler(self.mesh.name, decode_content(self.messages[-1]))
        self.messages.append(encode_content(reply))
        return decode_content(self.messages[-1])

    async def call(
        self,
        method: str,
        key: str | None = None,
        path: str = f"/q/{JOB}",
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        on_body: Callable[[], None] = lambda: None,
    ) -> Answer:
        """Call the manager as a caller does.

        :param on_body: called when the body is read
        """
        if key is not None:
            headers = ((b"authorization", f"Token {key}".encode()), *headers)
        scope = {"type": "http", "method": method, "path": path}
        scope["headers"] = [(b"host", b"h"), *headers]
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            on_body()
            return {"type": "http.request", "body": body}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        await self.app(scope, receive, send)
        return sent[0]["status"], json.loads(sent[1]["body"])

    def stored(self) -> dict[Any, str]:
        """Return the values of the stored jobs and cancellations."""
        rows = self.store.state.rows
        return {name: row.value for name, row in rows.items() if name[0] == "jobs"}


def serve(
    scenario: Callable[[ApiManager], Awaitable[None]], config: bytes = operator_config()
) -> ApiManager:
    """Run a scenario against one manager."""

    async def main() -> ApiManager:
        manager = ApiManager("m1", StoreState(), config)
        running = asyncio.ensure_future(manager.service.run())
        await asyncio.sleep(0.01)
        try:
            await scenario(manager)
        finally:
            running.cancel()
        return manager

    return asyncio.run(main())
