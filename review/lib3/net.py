"""A small HTTP/1.1 server and client, for stand-ins and callers on loopback."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclass
class Call:
    """One call that a server has read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]


# Status and body of an answer; ``None`` closes the channel without one.
Answer = tuple[int, dict[str, Any]] | None
Handler = Callable[[Call], Awaitable[Answer]]


# Ports that the kernel does not give to outgoing channels.
_PORTS = range(15000, 29000)
_given: set[int] = set()


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now, and that was not given before."""
    while True:
        port = random.choice(_PORTS)
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serve calls on a port of 127.0.0.1."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                call = Call(
                    method,
                    urllib.parse.unquote(path),
                    dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
                    headers,
                    json.loads(body) if body else {},
                )
                answer = await handler(call)
                if answer is None:
                    break
                status, plain = answer
                content = json.dumps(plain).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, "127.0.0.1", port, limit=2**22)


async def call(
    port: int,
    method: str,
    path: str,
    host: str,
    body: dict[str, Any] | None = None,
    timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Make one call on a new channel; status 0 means that no answer came in time."""
    content = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            first, _, raw = await _read_message(reader)
            plain = json.loads(raw) if raw else {}
            return int(first.split(" ")[1]), plain
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
