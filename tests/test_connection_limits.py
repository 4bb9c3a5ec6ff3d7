"""Connections of callers that send too much, too slowly or nothing."""

from __future__ import annotations

import asyncio
import gc
import socket
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from prometheus_client import CollectorRegistry
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT, FlowControl
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from chivetray.connection_limits import ConnectionLimits, GatedFlow
from chivetray.connection_pool import ConnectionPool, PoolLimits
from chivetray.metrics import ClosedClients
from chivetray.servers import HttpServer, bind_listener

LIMITS = ConnectionLimits(
    head_bytes=2000, head_timeout_s=0.4, idle_timeout_s=0.8, answer_timeout_s=0.5
)


async def _app(scope: Any, receive: Any, send: Any) -> None:
    while (await receive()).get("more_body"):
        pass
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


@asynccontextmanager
async def _server(
    report: Callable[[str], None] = lambda limit: None,
    app: Any = _app,
    pool_limits: PoolLimits | None = None,
):
    listener = bind_listener("127.0.0.1", 0)
    pool = ConnectionPool(pool_limits, report)
    server = HttpServer.from_app(app, limits=lambda: LIMITS, pool=pool)
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


class TestLargestHead:
    """Guards against heads above the limit that passed when their end came at once."""

    @pytest.mark.parametrize("excess", [0, 1])
    @pytest.mark.parametrize("size", [1, 499, 65536])
    def test_its_size_is_exact_however_it_is_split(
        self, excess: int, size: int
    ) -> None:
        head = b"GET / HTTP/1.1\r\nx: %s\r\n\r\n"
        filler = LIMITS.head_bytes - len(head % b"") + excess
        content = head % (b"y" * filler)
        pieces = [content[at : at + size] for at in range(0, len(content), size)]

        async def scenario() -> bytes:
            async with _server() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                for piece in pieces:
                    writer.write(piece)
                    if size > 1:
                        await asyncio.sleep(0.01)
                answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 5)
                writer.close()
                return answer

        expected = b"HTTP/1.1 431 " if excess else b"HTTP/1.1 200 "
        assert asyncio.run(scenario()).startswith(expected)


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


async def _echo(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the path and the body."""
    body = scope["raw_path"] + b" "
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def _exchange(port: int, pieces: list[bytes], count: int) -> list[bytes]:
    """Send pieces while the answers are read, and return their bodies."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)

    async def send() -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    sending = asyncio.ensure_future(send())
    bodies = []
    for _ in range(count):
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        bodies.append(await asyncio.wait_for(reader.readexactly(length), 5))
    await sending
    writer.close()
    return bodies


def _live_cycles() -> int:
    """Return how many requests exist as objects."""
    return sum(isinstance(item, RequestResponseCycle) for item in gc.get_objects())


class TestRequestsSentAhead:
    """Guards against requests sent ahead with unread answers, which took all memory."""

    PLAIN = b"GET /%d HTTP/1.1\r\n\r\n"
    SIZED = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello"
    CHUNKED = (
        b"POST /%d HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\n%s\r\n"
    )

    def _requests(self, count: int) -> list[bytes]:
        kinds = [
            lambda number: self.PLAIN % number,
            lambda number: self.SIZED % number,
            lambda number: self.CHUNKED % (number, b""),
            lambda number: self.CHUNKED % (number, b"a: b\r\n"),
        ]
        return [kinds[number % 4](number) for number in range(count)]

    def _bodies(self, count: int) -> list[bytes]:
        return [
            b"/%d %s" % (number, b"hello" if number % 4 else b"")
            for number in range(count)
        ]

    def test_they_are_answered_in_order(self) -> None:
        async def scenario() -> list[bytes]:
            async with _server(app=_echo) as port:
                return await _exchange(port, [b"".join(self._requests(1000))], 1000)

        assert asyncio.run(scenario()) == self._bodies(1000)

    @pytest.mark.parametrize("size", [1, 2, 3, 7, 61, 509, 4099])
    def test_they_are_answered_in_order_however_they_are_split(self, size: int) -> None:
        async def scenario() -> list[bytes]:
            async with _server(app=_echo) as port:
                data = b"".join(self._requests(48))
                pieces = [data[at : at + size] for at in range(0, len(data), size)]
                return await _exchange(port, pieces, 48)

        assert asyncio.run(scenario()) == self._bodies(48)

    @pytest.mark.parametrize("kind", ["plain", "sized", "chunked"])
    def test_few_of_them_exist_as_requests(self, kind: str) -> None:
        request = {
            "plain": self.PLAIN % 1,
            "sized": self.SIZED % 1,
            "chunked": self.CHUNKED % (1, b"a: b\r\n"),
        }[kind]
        answered = 0

        async def app(scope: Any, receive: Any, send: Any) -> None:
            nonlocal answered
            answered += 1
            while (await receive()).get("more_body"):
                pass
            if answered == 3:
                await anyio.sleep_forever()
            await _echo(scope, receive, send)

        async def scenario() -> tuple[int, bool]:
            async with _server(app=app) as port:
                before = _live_cycles()
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.transport.pause_reading()
                writer.write(request * 200_000)
                await asyncio.sleep(0.5)
                count = _live_cycles() - before
                is_blocked = writer.transport.get_write_buffer_size() > 0
                writer.transport.abort()
                return count, is_blocked

        count, is_blocked = asyncio.run(scenario())
        assert count <= 64
        # What the process has not read stays with the client.
        if kind != "plain":
            assert is_blocked

    def test_they_wait_while_an_answer_is_not_read(self) -> None:
        calls = 0

        async def app(scope: Any, receive: Any, send: Any) -> None:
            nonlocal calls
            calls += 1
            headers = [(b"content-length", b"100000")]
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"x" * 100_000})

        async def scenario() -> tuple[int, int]:
            async with _server(app=app) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.transport.pause_reading()
                writer.write(self.PLAIN % 1 * 1000)
                await asyncio.sleep(0.3)
                unread = calls
                writer.transport.resume_reading()
                size = 0
                while size < 100_000_000:
                    size += len(await asyncio.wait_for(reader.read(1 << 20), 5))
                writer.close()
                return unread, calls

        unread, total = asyncio.run(scenario())
        # The kernel's buffers take some megabytes.
        assert unread < 200
        assert total == 1000


class TestUnreadAnswers:
    def test_a_client_that_does_not_read_its_answer_is_closed(self) -> None:
        closed: list[str] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            headers = [(b"content-length", b"20000000"), (b"connection", b"close")]
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"x" * 20_000_000})

        async def scenario() -> int:
            async with _server(closed.append, app) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.transport.pause_reading()
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                await asyncio.sleep(1.5)
                writer.transport.resume_reading()
                size = len(await asyncio.wait_for(reader.read(), 5))
                writer.close()
                return size

        assert asyncio.run(scenario()) < 20_000_000
        assert closed == ["answer time"]

    def test_a_client_that_reads_slowly_gets_the_whole_answer(self) -> None:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            headers = [(b"content-length", b"20000000")]
            start = {"type": "http.response.start", "status": 200, "headers": headers}
            await send(start)
            await send({"type": "http.response.body", "body": b"x" * 20_000_000})

        async def scenario() -> int:
            async with _server(app=app) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                size = 0
                while size < 20_000_000:
                    size += len(await asyncio.wait_for(reader.read(1 << 20), 5))
                    await asyncio.sleep(0.02)
                writer.close()
                return size

        assert asyncio.run(scenario()) == 20_000_000


class TestServerLibrary:
    """Guards against a server library in which the limits have no effect."""

    def test_requests_use_the_flow_control_of_their_connection(self) -> None:
        seen: list[Any] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            seen.append(receive.__self__)
            await _app(scope, receive, send)

        async def scenario() -> None:
            async with _server(app=app) as port:
                await _exchange(port, [b"GET / HTTP/1.1\r\n\r\n"], 1)

        asyncio.run(scenario())
        (cycle,) = seen
        assert isinstance(cycle, RequestResponseCycle)
        assert isinstance(cycle.flow, GatedFlow)
        assert cycle.response_complete and cycle.response_started
        assert cycle.body == b""

    @pytest.mark.parametrize(
        "name",
        [
            "connection_lost",
            "connection_made",
            "data_received",
            "on_body",
            "on_header",
            "on_headers_complete",
            "on_message_complete",
            "on_response_complete",
            "pause_writing",
            "resume_writing",
        ],
    )
    def test_the_protocol_has_the_methods_that_are_extended(self, name: str) -> None:
        assert callable(vars(HttpToolsProtocol)[name])

    def test_flow_control_has_the_attributes_that_are_read(self) -> None:
        assert {"pause_reading", "resume_reading"} <= vars(FlowControl).keys()
        flow = FlowControl(SimpleNamespace())  # type: ignore[arg-type]
        assert flow.write_paused is False
        assert HIGH_WATER_LIMIT == 65536


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
