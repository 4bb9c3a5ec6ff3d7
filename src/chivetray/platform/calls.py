"""HTTP calls to the platform and to workers.

A call has one of three outcomes, which need different handling: an answer, a call
that was certainly not carried out, and a call that may have been carried out or may
still be carried out later.
"""

from __future__ import annotations

import socket
import ssl
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson

from chivetray.platform.values import decode_object
from chivetray.sockets import socket_options

# Time without an acknowledgement after which the kernel closes a connection. It is
# shorter than every call timeout, so that a dead connection is not reused.
UNACKNOWLEDGED_TIMEOUT_S = 1.0

# Connect timeout: allows a few round trips between regions and one lost packet.
CONNECT_TIMEOUT_S = 0.5

# Longer than the longest pause between two calls to a worker in use, because every
# new connection costs a handshake.
KEEPALIVE_S = 60.0

CONNECTIONS_PER_ADDRESS = 24

HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call.

    :ivar body: decoded JSON object, empty when the content is not a JSON object
    :ivar retry_after_s: value of the ``Retry-After`` header, 0 without one
    :ivar raw: content as received
    """

    status: int
    body: dict[str, Any]
    retry_after_s: float = 0.0
    raw: bytes = b""

    @property
    def ok(self) -> bool:
        """Whether the status says that the call was carried out."""
        return self.status == 200


@dataclass(frozen=True, slots=True)
class NotSent:
    """The connection could not be opened, so the call was not carried out."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No answer came; the call may have been carried out, or may be later."""

    reason: str


Outcome = Answer | NotSent | NoAnswer


class CallSession:
    """Connection pool for all addresses that one process calls."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    @classmethod
    def open(cls, context: ssl.SSLContext | None = None) -> CallSession:
        """Create a session that connects on demand; needs a running event loop.

        :param context: TLS context for ``https`` addresses; the system's trusted
            authorities by default
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
        silence_s: float | None = None,
    ) -> Outcome:
        """Make one call; the connection is closed when the call times out.

        :param silence_s: longest time without any part of the answer
        :param body: content to send as JSON
        :param content: raw content to send when there is no ``body``
        """
        if self._session.closed:
            # A loop may still run while its process stops.
            return NotSent("the session is closed")
        if body is not None:
            content = orjson.dumps(body)
        timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=min(timeout_s, CONNECT_TIMEOUT_S),
            sock_read=silence_s,
        )
        all_headers = HEADERS if headers is None else {**HEADERS, **headers}
        try:
            async with self._session.request(
                method, url, data=content, headers=all_headers, timeout=timeout
            ) as response:
                raw = await response.read()
                retry_after = response.headers.get("Retry-After", "")
                retry_after_s = _parse_seconds(retry_after)
                return Answer(
                    response.status, decode_object(raw) or {}, retry_after_s, raw
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotSent(_describe_error(error))
        except (TimeoutError, aiohttp.ClientError, OSError, UnicodeError) as error:
            # A host name that cannot be encoded for its lookup is a UnicodeError.
            return NoAnswer(_describe_error(error))


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    connection = socket.socket(family=address[0], type=address[1], proto=address[2])
    connection.setblocking(False)
    for level, option, value in socket_options(UNACKNOWLEDGED_TIMEOUT_S):
        connection.setsockopt(level, option, value)
    return connection


def _describe_error(error: BaseException) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"{type(error).__name__}: {error.os_error!r}"
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__


def _parse_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
