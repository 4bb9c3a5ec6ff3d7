"""Connections of callers that send too much, too slowly or nothing."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import anyio
from prometheus_client import CollectorRegistry

from chivetray.connection_limits import ConnectionLimits
from chivetray.metrics import ClosedClients
from chivetray.servers import HttpServer, bind_listener

LIMITS = ConnectionLimits(head_bytes=2000, head_timeout_s=0.4, idle_timeout_s=0.8)


async def _app(scope: Any, receive: Any, send: Any) -> None:
    while (await receive()).get("more_body"):
        pass
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


@asynccontextmanager
async def _server(report: Callable[[str], None] = lambda limit: None):
    listener = bind_listener("127.0.0.1", 0)
    server = HttpServer.from_app(_app, limits=lambda: LIMITS, report=report)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve_on, listener)
        yield listener.getsockname()[1]
        tasks.cancel_scope.cancel()


async def _closed_after_s(port: int, first: bytes, then: bytes = b"") -> float:
    """Send bytes, repeat others slowly, and return when the server closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    began_s = time.monotonic()
    writer.write(first)
    ended = asyncio.ensure_future(reader.read())
    while not ended.done() and time.monotonic() - began_s < 5:
        await asyncio.sleep(0.05)
        if then:
            writer.write(then)
    writer.close()
    assert ended.done(), "the connection was not closed"
    return time.monotonic() - began_s


class TestHeads:
    def test_a_head_that_never_ends_is_closed(self) -> None:
        async def scenario() -> float:
            async with _server() as port:
                return await _closed_after_s(port, b"GET / HTTP/1.1\r\n", b"x: y\r\n")

        assert 0.3 < asyncio.run(scenario()) < 1.0

    def test_thousands_of_endless_heads_are_closed_in_time(self) -> None:
        async def scenario() -> float:
            async with _server() as port:
                tasks = [
                    _closed_after_s(port, b"GET / HTTP/1.1\r\nx: ") for _ in range(300)
                ]
                return max(await asyncio.gather(*tasks))

        assert asyncio.run(scenario()) < 3.0

    def test_a_head_that_is_too_large_gets_431(self) -> None:
        async def scenario() -> bytes:
            async with _server() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET / HTTP/1.1\r\nx: " + b"y" * 4000)
                answer = await reader.read()
                writer.close()
                return answer

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 431 ")


class TestIdleConnections:
    def test_a_connection_without_a_byte_is_closed(self) -> None:
        async def scenario() -> float:
            async with _server() as port:
                return await _closed_after_s(port, b"")

        assert 0.6 < asyncio.run(scenario()) < 2.0

    def test_a_body_that_stops_is_closed(self) -> None:
        async def scenario() -> float:
            async with _server() as port:
                head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc"
                return await _closed_after_s(port, head)

        assert 0.6 < asyncio.run(scenario()) < 2.0

    def test_a_connection_is_used_again_within_the_limit(self) -> None:
        async def scenario() -> int:
            async with _server() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                answers = 0
                for _ in range(4):
                    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                    answers += (await reader.readuntil(b"ok")).count(b" 200 ")
                    await asyncio.sleep(0.5)
                writer.close()
                return answers

        assert asyncio.run(scenario()) == 4


def test_listener_has_a_port() -> None:
    listener = bind_listener("127.0.0.1", 0)
    assert isinstance(listener, socket.socket)
    listener.close()


class TestReports:
    def test_each_closed_connection_is_counted_with_its_limit(self) -> None:
        registry = CollectorRegistry()
        closed = ClosedClients(registry)

        async def scenario() -> None:
            async with _server(partial(closed.record, "callers")) as port:
                for _ in range(2):
                    await _closed_after_s(port, b"GET / HTTP/1.1\r\nx: " + b"y" * 4000)
                await _closed_after_s(port, b"GET / HTTP/1.1\r\n")
                await _closed_after_s(port, b"")

        asyncio.run(scenario())
        counted = {
            limit: registry.get_sample_value(
                "chivetray_clients_closed_total",
                {"listener": "callers", "limit": limit},
            )
            for limit in ("head size", "head time", "idle time")
        }
        assert counted == {"head size": 2, "head time": 1, "idle time": 1}
