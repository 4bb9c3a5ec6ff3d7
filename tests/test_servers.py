"""Requests on open connections of a server that stops."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import anyio

from chivetray import manager
from chivetray.manager import Manager
from chivetray.servers import HttpServer, bind_listener

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(_scope: Any, _receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


class TestStop:
    """Guards against requests that are cut as a process ends before its server.

    A manager once ended as soon as no request was in progress, with its connections
    still open, so that a request which came in that moment had no answer.
    """

    def test_no_connection_is_open_once_the_server_has_ended(self) -> None:
        async def scenario() -> None:
            listener = bind_listener("127.0.0.1", 0)
            server = HttpServer.from_app(answer)
            serving = asyncio.create_task(server.serve_on(listener))
            reader, writer = await asyncio.open_connection(*listener.getsockname())
            writer.write(REQUEST)
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
            server.stop()
            # No request is in progress, but the connection would take one.
            assert not server.server_state.tasks
            assert server.server_state.connections
            assert not server.ended.is_set()
            await server.ended.wait()
            assert not server.server_state.connections
            assert await reader.read() == b""
            await serving

        asyncio.run(scenario())

    def test_a_manager_ends_after_its_server(self, monkeypatch) -> None:
        monkeypatch.setattr(manager, "STOP_RESERVE_S", 4.0)

        async def scenario() -> None:
            made: Any = Manager.__new__(Manager)
            made._settings = SimpleNamespace(name="m0", grace_s=4.1)
            made._directory = SimpleNamespace(owned_cells={}, leaving=False)
            made._mesh = SimpleNamespace(request_heartbeat=lambda: None)
            made._jobs_app = SimpleNamespace(closing=False)
            server: Any = SimpleNamespace(
                stop=lambda: None,
                ended=anyio.Event(),
                server_state=SimpleNamespace(tasks=set()),
            )
            stopping = asyncio.create_task(made._stop(server))
            await asyncio.sleep(0.8)
            assert not stopping.done()
            server.ended.set()
            await asyncio.wait_for(stopping, 1.0)

        asyncio.run(scenario())
