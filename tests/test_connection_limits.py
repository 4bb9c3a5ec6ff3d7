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
import pytest
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
async def _server(report: Callable[[str], None] = lambda limit: None, app: Any = _app):
    listener = bind_listener("127.0.0.1", 0)
    server = HttpServer.from_app(app, limits=lambda: LIMITS, report=report)
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


class TestTrailers:
    """Guards against trailers without end, which once took all memory."""

    CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"

    async def _answer(self, port: int, *parts: bytes) -> bytes:
        """Send parts until an answer arrives, and return that."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answer = asyncio.ensure_future(reader.read(65536))
        for part in parts:
            writer.write(part)
            await asyncio.wait([answer], timeout=0.05)
            if answer.done():
                break
        await asyncio.wait_for(answer, 5)
        writer.close()
        return answer.result()

    @pytest.mark.parametrize(
        "trailers", [[b"a: b\r\n" * 100] * 10, [b"a: ", *[b"b" * 500] * 10]]
    )
    def test_they_get_431_when_they_are_larger_than_a_head(
        self, trailers: list[bytes]
    ) -> None:
        async def scenario() -> bytes:
            async with _server() as port:
                body = self.CHUNKED + b"3\r\nabc\r\n0\r\n"
                return await self._answer(port, body, *trailers)

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 431 ")

    def test_chunk_extensions_have_the_same_limit(self) -> None:
        async def scenario() -> bytes:
            async with _server() as port:
                parts = [b"1;" + b"a=b;" * 100] * 10
                return await self._answer(port, self.CHUNKED, *parts)

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 431 ")

    def test_they_do_not_change_the_headers_of_the_request(self) -> None:
        headers: list[bytes] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await _app(scope, receive, send)
            headers.extend(name for name, _ in scope["headers"])

        async def scenario() -> bytes:
            async with _server(app=app) as port:
                body = b"3\r\nabc\r\n0\r\nauthorization: x\r\n\r\n"
                return await self._answer(port, self.CHUNKED, body)

        assert asyncio.run(scenario()).endswith(b"ok")
        assert headers == [b"host", b"transfer-encoding"]

    def test_a_long_body_in_small_chunks_is_served(self) -> None:
        async def scenario() -> bytes:
            async with _server() as port:
                body = [b"1\r\na\r\n" * 400] * 5
                end = b"0\r\na: " + b"b" * 1500 + b"\r\n\r\n"
                return await self._answer(port, self.CHUNKED, *body, end)

        assert asyncio.run(scenario()).endswith(b"ok")


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
