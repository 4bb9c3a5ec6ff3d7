"""HTTP calls to the platform and to workers.

A call has three kinds of outcome, which its caller must tell apart: an answer, a
call that was certainly not carried out, and a call that may have been carried out
or may still be.
"""

from __future__ import annotations

import socket
import ssl
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson

from chivetray.sockets import socket_options

# Time without an acknowledgement after which the kernel closes a connection. It
# is below every time limit of a call, so that a silent connection is not reused.
UNACKNOWLEDGED_TIMEOUT_S = 1.0

# Time to open a connection: some round trips between regions and one lost packet.
CONNECT_TIMEOUT_S = 0.5

# Idle connections are kept longer than the longest pause between two calls to a
# worker in use, since each new one costs a handshake.
KEEPALIVE_S = 60.0

CONNECTIONS_PER_ADDRESS = 24

HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call.

    :ivar body: decoded content, an empty mapping when it cannot be read
    :ivar raw: content as it came
    """

    status: int
    body: dict[str, Any]
    retry_after_s: float = 0.0
    raw: bytes = b""

    @property
    def ok(self) -> bool:
        """Whether the call was carried out."""
        return self.status == 200


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call reached the other side."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call may have been carried out, or may be carried out later."""

    reason: str


Outcome = Answer | NotSent | NoAnswer


class CallSession:
    """Connections to all addresses that one process calls."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    @classmethod
    def open(cls, context: ssl.SSLContext | None = None) -> CallSession:
        """Open a session without connections; needs a running event loop.

        :param context: trusted authorities of addresses with TLS
        """
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_PER_ADDRESS,
            keepalive_timeout=KEEPALIVE_S,
            use_dns_cache=False,
            socket_factory=_open_socket,
            ssl=context or True,
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return cls(session)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
        content: bytes | None = None,
    ) -> Outcome:
        """Make one call; the connection is closed when no answer comes in time.

        :param body: content that is sent as JSON
        :param content: content that is sent as it is
        """
        if body is not None:
            content = orjson.dumps(body)
        limits = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(timeout_s, CONNECT_TIMEOUT_S)
        )
        sent = HEADERS if headers is None else {**HEADERS, **headers}
        try:
            async with self._session.request(
                method, url, data=content, headers=sent, timeout=limits
            ) as response:
                raw = await response.read()
                retry_after = response.headers.get("Retry-After", "")
                delay_s = _seconds(retry_after)
                return Answer(response.status, _decode(raw), delay_s, raw)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(_describe(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return NoAnswer(_describe(error))


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    opened = socket.socket(family=address[0], type=address[1], proto=address[2])
    opened.setblocking(False)
    for level, option, value in socket_options(UNACKNOWLEDGED_TIMEOUT_S):
        opened.setsockopt(level, option, value)
    return opened


def _describe(error: BaseException) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"{type(error).__name__}: {error.os_error!r}"
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__


def _decode(raw: bytes) -> dict[str, Any]:
    """Return a JSON object; anything else counts as an empty one."""
    try:
        decoded = orjson.loads(raw)
    except orjson.JSONDecodeError:
        return {}
    return decoded if isinstance(decoded, dict) else {}


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
