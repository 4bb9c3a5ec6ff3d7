"""Clients inside the limits, whose requests are served in any pieces and in order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from job_fleet import CALLERS_PORT, JobFleet, job_body, wait_for

from chivetray.connection_limits import ConnectionLimits
from chivetray.servers import HttpServer, bind_listener
from chivetray.standins.jobs import TRY_HOST, TRY_PREFIX

HEAD_BYTES = 2000
BODY_BYTES = 3000
LIMITS = ConnectionLimits(head_bytes=HEAD_BYTES)
ENDED = b"<end>"

# Largest head and body of a job where the operator sets no others.
JOB_HEAD_BYTES = 16384
JOB_BODY_BYTES = 262144


async def _app(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the path and the number of bytes in the body."""
    size, more = 0, True
    while more:
        message = await receive()
        size += len(message.get("body", b""))
        more = message.get("more_body", False)
    body = f"{scope['path']} {size}".encode() + ENDED
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


@asynccontextmanager
async def _connection() -> (
    AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
):
    listener = bind_listener("127.0.0.1", 0)
    server = HttpServer.from_app(_app, limits=lambda: LIMITS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve_on, listener)
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        yield reader, writer
        writer.close()
        tasks.cancel_scope.cancel()


def _fill_head(lines: str, head_bytes: int) -> bytes:
    """Return a head of a size, filled up with a header."""
    padding = head_bytes - len(lines) - len("x: \r\n\r\n")
    return f"{lines}x: {'y' * padding}\r\n\r\n".encode()


def _largest_request() -> bytes:
    lines = f"POST /largest HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n"
    return _fill_head(lines, HEAD_BYTES) + b"b" * BODY_BYTES


def _chunked_request() -> bytes:
    head = b"POST /chunks HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + b"5;name=value\r\nhello\r\n3\r\nabc\r\n0\r\nx-check: y\r\n\r\n"


REQUESTS = {
    "smallest": (b"GET / HTTP/1.1\r\n\r\n", b"/ 0"),
    "chunked": (_chunked_request(), b"/chunks 8"),
    "largest": (_largest_request(), b"/largest 3000"),
}


class TestPieces:
    """Guards against limits that refuse a request for the pieces it arrives in."""

    @pytest.mark.parametrize("name", REQUESTS)
    def test_a_request_split_at_any_byte_is_served(self, name) -> None:
        request, expected = REQUESTS[name]

        async def scenario() -> None:
            async with _connection() as (reader, writer):
                for position in range(1, len(request)):
                    writer.write(request[:position])
                    for _ in range(4):
                        await asyncio.sleep(0)
                    writer.write(request[position:])
                    answer = await reader.readuntil(ENDED)
                    assert b" 200 " in answer, position
                    assert answer.endswith(expected + ENDED), position

        asyncio.run(scenario())

    @pytest.mark.parametrize("name", REQUESTS)
    def test_a_request_in_single_bytes_is_served(self, name) -> None:
        request, expected = REQUESTS[name]

        async def scenario() -> None:
            async with _connection() as (reader, writer):
                for value in request:
                    writer.write(bytes([value]))
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                answer = await reader.readuntil(ENDED)
                assert answer.endswith(expected + ENDED)

        asyncio.run(scenario())


class TestRequestsSentAhead:
    """Guards against limits on what waits that lose or reorder requests."""

    def test_answers_come_in_the_order_of_the_requests(self) -> None:
        requests = [
            f"GET /{number} HTTP/1.1\r\nhost: a\r\n\r\n".encode()
            for number in range(50)
        ]

        async def scenario() -> None:
            async with _connection() as (reader, writer):
                writer.write(b"".join(requests))
                for number in range(50):
                    answer = await reader.readuntil(ENDED)
                    assert answer.endswith(f"/{number} 0".encode() + ENDED)

        asyncio.run(scenario())

    @pytest.mark.parametrize("size", [1, 7, 64, 1000])
    def test_requests_with_bodies_in_any_pieces_are_answered_in_order(
        self, size
    ) -> None:
        content = b"".join(
            f"POST /{number} HTTP/1.1\r\nhost: a\r\ncontent-length: {number}\r\n\r\n"
            "".encode()
            + b"b" * number
            for number in range(50)
        )

        async def scenario() -> None:
            async with _connection() as (reader, writer):
                for start in range(0, len(content), size):
                    writer.write(content[start : start + size])
                    await asyncio.sleep(0)
                for number in range(50):
                    answer = await reader.readuntil(ENDED)
                    assert answer.endswith(f"/{number} {number}".encode() + ENDED)

        asyncio.run(scenario())

    def test_requests_of_a_client_that_reads_late_are_answered(self) -> None:
        async def scenario() -> None:
            async with _connection() as (reader, writer):
                for number in range(50):
                    writer.write(f"GET /{number} HTTP/1.1\r\n\r\n".encode())
                await asyncio.sleep(0.3)
                for number in range(50):
                    answer = await reader.readuntil(ENDED)
                    assert answer.endswith(f"/{number} 0".encode() + ENDED)

        asyncio.run(scenario())


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[JobFleet]:
    limits = {"memory_mb": 160, "max_descriptors": 400}
    folder = tmp_path_factory.mktemp("jobs")
    fleet = JobFleet(folder, managers=1, workers=1, settings=limits)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


class TestJobs:
    """Guards against refusals that leave a job behind, and limits on calm callers."""

    def test_the_largest_job_is_accepted_in_pieces(self, fleet) -> None:
        for number, size in enumerate((1000, 65536, JOB_HEAD_BYTES, 10**6)):
            job_id = f"00000000000000b{number}"
            request = _job_request(job_id, JOB_BODY_BYTES, JOB_HEAD_BYTES)
            assert asyncio.run(_send(fleet, request, size)) == 200
            wait_for(lambda j=job_id: fleet.state("m0", j) == "completed")

    def test_a_body_above_the_limit_leaves_no_job(self, fleet) -> None:
        job_id = "00000000000000d1"
        request = _job_request(job_id, JOB_BODY_BYTES + 1, 300)
        assert asyncio.run(_send(fleet, request, 65536)) not in (0, 200)
        assert fleet.call("m0", "GET", job_id)[0] == 410

    def test_a_refusal_before_the_body_leaves_no_job(self, fleet) -> None:
        job_id = "00000000000000d2"
        request = _job_request(job_id, JOB_BODY_BYTES, 2 * JOB_HEAD_BYTES)
        part_of_head = request[: JOB_HEAD_BYTES + 4000]
        assert asyncio.run(_send(fleet, part_of_head, 4000)) not in (0, 200)
        assert fleet.call("m0", "GET", job_id)[0] == 410

    @pytest.mark.parametrize("size", [4000, 65536])
    def test_a_head_above_the_limit_is_refused_in_any_pieces(self, fleet, size) -> None:
        job_id = f"00000000000000e{size % 7}"
        request = _job_request(job_id, 1000, JOB_HEAD_BYTES + 1)
        assert asyncio.run(_send(fleet, request, size)) != 200
        assert fleet.call("m0", "GET", job_id)[0] == 410

    def test_a_job_whose_connection_ended_early_can_be_sent_again(self, fleet) -> None:
        job_id = "00000000000000d3"
        request = _job_request(job_id, 1000, 300)
        assert asyncio.run(_send(fleet, request[:-1], 4000, timeout_s=0.5)) == 0
        assert fleet.call("m0", "GET", job_id)[0] == 410
        assert fleet.call("m0", "POST", job_id, job_body(count=1))[0] == 200
        wait_for(lambda: fleet.state("m0", job_id) == "completed")
        assert [t.startswith(job_id) for t in fleet.starts()].count(True) == 1


def _job_request(job_id: str, body_bytes: int, head_bytes: int) -> bytes:
    """Return a job whose head and body have a size."""
    body = b'{"TaskSpec":"0.1","Steps":[{"Count":1,"Cpu":500,"MemMb":64}]}'
    lines = f"POST {TRY_PREFIX}{job_id} HTTP/1.1\r\nHost: {TRY_HOST}\r\n"
    lines += f"Content-Length: {body_bytes}\r\n"
    return _fill_head(lines, head_bytes) + body.ljust(body_bytes)


async def _send(
    fleet: JobFleet, request: bytes, piece_bytes: int, timeout_s: float = 10.0
) -> int:
    """Send a request in pieces and return the status; 0 without an answer."""
    address = fleet.manager_address("m0")
    reader, writer = await asyncio.open_connection(address, CALLERS_PORT)
    try:
        for start in range(0, len(request), piece_bytes):
            writer.write(request[start : start + piece_bytes])
            await asyncio.sleep(0)
        line = await asyncio.wait_for(reader.readline(), timeout_s)
        return int(line.split()[1]) if line else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()
