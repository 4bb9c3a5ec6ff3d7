"""Connections and bytes of a listener at its limits."""

from __future__ import annotations

import asyncio
import json
import ssl
from asyncio import sslproto
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest
import trustme

from chivetray import acceptor, connection_pool, entry, manager
from chivetray.connection_limits import ConnectionLimits
from chivetray.connection_pool import (
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    PROCESS_MEMORY_MB,
    RECEIVE_BUFFER_BYTES,
    ConnectionPool,
    PoolLimits,
    share_limits,
)
from chivetray.generated.settings import TlsSettings
from chivetray.results import ResultCode
from chivetray.servers import HttpServer, bind_listener

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class Connection:
    """Records the limit for which it is closed."""

    def __init__(self) -> None:
        self.limit = ""

    def evict(self, limit: str) -> None:
        """Record the limit."""
        self.limit = limit


def _add(pool: ConnectionPool, count: int) -> list[Connection]:
    connections = [Connection() for _ in range(count)]
    for connection in connections:
        pool.add(connection)
    return connections


class TestConnections:
    @pytest.fixture(autouse=True)
    def _no_wait(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(connection_pool, "MIN_WAIT_S", 0.0)

    def test_none_is_closed_before_its_request_can_arrive(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(connection_pool, "MIN_WAIT_S", 60.0)
        pool = ConnectionPool(PoolLimits(1, max_held_bytes=1000))
        (connection,) = _add(pool, 1)
        assert not pool.make_room()
        assert not connection.limit

    def test_those_without_a_request_are_closed_first(self) -> None:
        pool = ConnectionPool(PoolLimits(3, max_held_bytes=1000))
        idle, old, new = _add(pool, 3)
        pool.mark_busy(idle)
        pool.mark_idle(idle)
        assert pool.make_room()
        assert (idle.limit, new.limit) == ("", "")
        assert old.limit == "connections of the listener"

    def test_the_longest_idle_one_is_closed_next(self) -> None:
        pool = ConnectionPool(PoolLimits(3, max_held_bytes=1000))
        first, second, busy = _add(pool, 3)
        for connection in (second, first, busy):
            pool.mark_busy(connection)
        pool.mark_idle(second)
        pool.mark_idle(first)
        assert pool.make_room()
        assert second.limit
        assert not first.limit

    def test_none_with_a_request_in_progress_is_closed(self) -> None:
        pool = ConnectionPool(PoolLimits(2, max_held_bytes=1000))
        for connection in _add(pool, 2):
            pool.mark_busy(connection)
        assert not pool.make_room()
        assert pool.count == 2

    def test_room_is_announced_when_a_request_ends(self) -> None:
        pool = ConnectionPool(PoolLimits(1, max_held_bytes=1000))
        calls: list[int] = []
        pool.on_room = lambda: calls.append(pool.count)
        (connection,) = _add(pool, 1)
        pool.mark_busy(connection)
        assert not calls
        pool.mark_idle(connection)
        assert calls == [1]

    def test_a_closed_one_does_not_return(self) -> None:
        pool = ConnectionPool(PoolLimits(1, max_held_bytes=1000))
        (connection,) = _add(pool, 1)
        pool.make_room()
        pool.mark_busy(connection)
        pool.mark_idle(connection)
        assert pool.count == 0


class TestHeldBytes:
    def test_the_one_that_holds_most_is_closed(self) -> None:
        pool = ConnectionPool(PoolLimits(9, max_held_bytes=1000))
        first, second, third = _add(pool, 3)
        pool.hold(first, 300)
        pool.hold(second, 600)
        pool.hold(third, 200)
        assert second.limit == "memory of the listener"
        assert (first.limit, third.limit) == ("", "")
        assert pool.held_bytes == 500

    def test_a_complete_request_is_closed_last(self) -> None:
        pool = ConnectionPool(PoolLimits(9, max_held_bytes=1000))
        complete, partial = _add(pool, 2)
        pool.hold(complete, 900)
        pool.mark_busy(complete)
        pool.hold(partial, 200)
        assert partial.limit
        assert not complete.limit
        pool.hold(complete, 1100)
        assert complete.limit

    def test_closed_connections_hold_nothing(self) -> None:
        pool = ConnectionPool(PoolLimits(9, max_held_bytes=1000))
        first, second = _add(pool, 2)
        pool.hold(first, 600)
        pool.remove(first)
        pool.hold(second, 600)
        assert not second.limit
        assert pool.held_bytes == 600


class TestShares:
    @pytest.mark.parametrize("module", [manager, entry])
    @pytest.mark.parametrize("memory_mb", [200, 300, 552])
    def test_all_listeners_together_leave_room_for_the_process(
        self, module: Any, memory_mb: int
    ) -> None:
        limits = [
            share_limits(memory_mb, 4100, share)
            for share in module.LISTENER_SHARES.values()
        ]
        held_bytes = sum(
            item.max_held_bytes
            + (item.max_connections + item.max_waiting) * CONNECTION_BYTES
            for item in limits
        )
        assert held_bytes <= (memory_mb - PROCESS_MEMORY_MB) * 2**20 * 0.55
        connections = sum(item.max_connections for item in limits)
        assert connections <= (4100 - FILE_DESCRIPTORS) / 2

    def test_few_descriptors_limit_connections(self) -> None:
        assert share_limits(4000, 1000, 0.5).max_connections == 200

    def test_a_small_vm_serves_callers(self) -> None:
        limits = share_limits(64, 256, 0.1)
        assert limits.max_connections == 16
        assert limits.max_held_bytes == 2**20


async def _app(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the size of the body."""
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
        size += len(event.get("body", b""))
        if not event.get("more_body"):
            break
    body = b"%d" % size
    headers = [(b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


@asynccontextmanager
async def _server(
    pool: ConnectionPool, app: Any = _app, tls: TlsSettings | None = None
):
    listener = bind_listener("127.0.0.1", 0)
    limits: Callable[[], ConnectionLimits] = ConnectionLimits
    server = HttpServer.from_app(app, tls, limits=limits, pool=pool)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve_on, listener)
        yield listener.getsockname()[1]
        tasks.cancel_scope.cancel()


async def _post(port: int, size: int, context: ssl.SSLContext | None = None) -> bytes:
    """Send one request and return its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    writer.write(HEAD % size + b"x" * size)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
    body = await reader.readexactly(length)
    writer.close()
    return head + body


class TestBodies:
    """Guards against bodies that are within their limit and too much together."""

    def test_the_largest_incomplete_ones_are_refused(self) -> None:
        closed: list[str] = []
        pool = ConnectionPool(PoolLimits(64, max_held_bytes=100_000), closed.append)
        most = 0

        async def scenario() -> tuple[list[bytes], bytes]:
            nonlocal most
            async with _server(pool) as port:
                streams = []
                for size in range(1, 21):
                    stream = await asyncio.open_connection("127.0.0.1", port)
                    stream[1].write(HEAD % 250_000 + b"x" * (1000 * size))
                    streams.append(stream)
                    await asyncio.sleep(0.02)
                    most = max(most, pool.held_bytes)
                answer = await _post(port, 5000)
                refusals = []
                for reader, writer in streams:
                    reading = asyncio.ensure_future(reader.read())
                    await asyncio.wait([reading], timeout=0.05)
                    if reading.done():
                        refusals.append(reading.result())
                    reading.cancel()
                    writer.transport.abort()
                return refusals, answer

        refusals, answer = asyncio.run(scenario())
        assert most <= 100_000
        assert answer.endswith(b"5000")
        assert refusals
        assert closed == ["memory of the listener"] * len(refusals)
        for refusal in refusals:
            head, _, body = refusal.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1" in head
            assert json.loads(body)["Code"] == ResultCode.BUFFERS_FULL.number

    def test_their_memory_is_free_after_the_answers(self) -> None:
        pool = ConnectionPool(PoolLimits(64, max_held_bytes=1_000_000))

        async def scenario() -> None:
            async with _server(pool) as port:
                for _ in range(10):
                    assert (await _post(port, 250_000)).endswith(b"250000")
                assert pool.held_bytes == 0

        asyncio.run(scenario())


class TestManyConnections:
    """Guards against connections that took all descriptors and kept callers out."""

    def test_a_crowd_of_idle_ones_does_not_keep_a_caller_out(self) -> None:
        pool = ConnectionPool(PoolLimits(20, max_held_bytes=1_000_000))
        most = 0

        async def scenario() -> bytes:
            nonlocal most
            async with _server(pool) as port:
                streams = []
                for _ in range(200):
                    stream = await asyncio.open_connection("127.0.0.1", port)
                    streams.append(stream)
                    most = max(most, pool.count)
                answer = await _post(port, 10)
                for _, writer in streams:
                    writer.transport.abort()
                return answer

        assert asyncio.run(scenario()).endswith(b"10")
        assert most <= 20

    def test_a_served_connection_outlasts_those_without_a_request(self) -> None:
        pool = ConnectionPool(PoolLimits(20, max_held_bytes=1_000_000))

        async def scenario() -> bytes:
            async with _server(pool) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(GET)
                await reader.readuntil(b"\r\n\r\n0")
                streams = [
                    await asyncio.open_connection("127.0.0.1", port) for _ in range(100)
                ]
                writer.write(GET)
                answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n0"), 5)
                for _, other in [*streams, (reader, writer)]:
                    other.transport.abort()
                return answer

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200 ")

    def test_new_ones_wait_while_all_have_a_request_in_progress(self) -> None:
        pool = ConnectionPool(PoolLimits(4, max_held_bytes=1_000_000))
        most = 0

        async def app(scope: Any, receive: Any, send: Any) -> None:
            await anyio.sleep(0.1)
            await _app(scope, receive, send)

        async def scenario() -> list[bytes]:
            nonlocal most
            async with _server(pool, app) as port:
                posts = [asyncio.ensure_future(_post(port, 10)) for _ in range(16)]
                while not all(post.done() for post in posts):
                    most = max(most, pool.count)
                    await asyncio.sleep(0.01)
                return [post.result() for post in posts]

        answers = asyncio.run(scenario())
        assert all(answer.endswith(b"10") for answer in answers)
        assert most <= 4

    def test_closed_ones_leave_no_task_or_descriptor(self) -> None:
        pool = ConnectionPool(PoolLimits(4, max_held_bytes=1_000_000))

        async def scenario() -> None:
            async with _server(pool) as port:
                tasks = len(asyncio.all_tasks())
                for _ in range(50):
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                await asyncio.sleep(0.1)
                assert len(asyncio.all_tasks()) == tasks
                assert pool.count == 0

        asyncio.run(scenario())


class TestHandshakes:
    """Guards against TLS handshakes that do not end and take all descriptors."""

    @pytest.fixture
    def tls(self, tmp_path: Path) -> TlsSettings:
        self.authority = trustme.CA()
        certificate = self.authority.issue_cert("127.0.0.1")
        path = tmp_path / "server.pem"
        certificate.private_key_and_cert_chain_pem.write_to_path(path)
        return TlsSettings(str(path), str(path))

    def _context(self) -> ssl.SSLContext:
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        return context

    def test_one_that_does_not_end_is_closed(
        self, tls: TlsSettings, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(acceptor, "HANDSHAKE_TIMEOUT_S", 0.3)
        closed: list[str] = []
        pool = ConnectionPool(report=closed.append)

        async def scenario() -> bytes:
            async with _server(pool, tls=tls) as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                content = await asyncio.wait_for(reader.read(), 5)
                writer.close()
                assert content == b""
                assert pool.count == 0
                return await _post(port, 10, self._context())

        assert asyncio.run(scenario()).endswith(b"10")
        assert closed == ["handshake time"]

    def test_a_crowd_of_them_does_not_keep_a_caller_out(self, tls: TlsSettings) -> None:
        pool = ConnectionPool(PoolLimits(20))
        most = 0

        async def scenario() -> bytes:
            nonlocal most
            async with _server(pool, tls=tls) as port:
                streams = []
                for _ in range(100):
                    stream = await asyncio.open_connection("127.0.0.1", port)
                    streams.append(stream)
                    most = max(most, pool.count)
                answer = await _post(port, 10, self._context())
                for _, writer in streams:
                    writer.transport.abort()
                return answer

        assert asyncio.run(scenario()).endswith(b"10")
        assert most <= 20

    def test_requests_sent_ahead_and_large_bodies_are_served(
        self, tls: TlsSettings
    ) -> None:
        async def scenario() -> None:
            async with _server(ConnectionPool(), tls=tls) as port:
                assert (await _post(port, 250_000, self._context())).endswith(b"250000")
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port, ssl=self._context()
                )
                writer.write(GET * 200)
                for _ in range(200):
                    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n0"), 5)
                writer.close()

        asyncio.run(scenario())

    def test_a_connection_has_a_small_receive_buffer(self) -> None:
        async def scenario() -> int:
            context = ssl.create_default_context()
            loop = asyncio.get_running_loop()
            protocol = sslproto.SSLProtocol(
                loop, asyncio.Protocol(), context, loop.create_future()
            )
            return len(protocol.get_buffer(1 << 20))

        assert asyncio.run(scenario()) == RECEIVE_BUFFER_BYTES

    def test_bytes_that_are_no_handshake_leave_no_connection(
        self, tls: TlsSettings
    ) -> None:
        pool = ConnectionPool()

        async def scenario() -> None:
            async with _server(pool, tls=tls) as port:
                for _ in range(10):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(GET)
                    await asyncio.wait_for(reader.read(), 5)
                    writer.close()
                await asyncio.sleep(0.05)
                assert pool.count == 0

        asyncio.run(scenario())
