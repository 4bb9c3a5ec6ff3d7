"""Client of the platform's services over HTTP.

Every method returns a result: a failure says whether the platform answered.
Without an answer a write may or may not have taken effect, which only a later
read can tell.
"""

from __future__ import annotations

import json
import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import anyio
import httpcore
from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.generated.settings import PlatformSettings
from chivetray.pools import RenewablePool
from chivetray.results import ResultCode
from chivetray.sockets import socket_options

CONNECTIONS_LIMIT = 8
IDLE_CONNECTION_S = 30.0
UNACKNOWLEDGED_TIMEOUT_S = 2.0

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

Value = TypeVar("Value")

# Expected version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table service."""

    key: str
    version: int
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Conditional write of one row.

    :ivar expected_version: version that the row must have, or :data:`ABSENT`
    :ivar value: new value, or ``None`` to delete the row
    """

    table: str
    key: str
    expected_version: int
    value: dict[str, Any] | None

    def to_plain(self) -> dict[str, Any]:
        """Return the write as it is sent."""
        return {
            "table": self.table,
            "key": self.key,
            "expected_version": self.expected_version,
            "value": self.value,
        }


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Outcome of one conditional write.

    :ivar version: version of the row afterwards
    :ivar written: whether the expected version was found
    """

    version: int
    written: bool


@dataclass(frozen=True, slots=True)
class Response:
    """Answer of the platform."""

    status: int
    content: bytes

    def json(self) -> Any:
        """Return the decoded content."""
        return json.loads(self.content)


class PlatformClient:
    """Calls the table service, the object store and the VM list."""

    def __init__(self, url: str, timeout_s: float, pool: RenewablePool):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = pool

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> PlatformClient:
        """Make a client from the settings."""
        context = None
        if settings.url.startswith("https:"):
            context = ssl.create_default_context(cafile=settings.ca_file)

        def open_pool() -> httpcore.AsyncConnectionPool:
            return httpcore.AsyncConnectionPool(
                ssl_context=context,
                max_connections=CONNECTIONS_LIMIT,
                keepalive_expiry=IDLE_CONNECTION_S,
                socket_options=socket_options(UNACKNOWLEDGED_TIMEOUT_S),
            )

        return cls(settings.url, settings.timeout_s, RenewablePool(open_pool))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read_row(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row; the result holds ``None`` when it does not exist."""
        path = f"/v1/tables/{quote(table, safe='')}/{quote(key, safe='')}"

        def convert(document: Any) -> Row | None:
            return Row(key, int(document["version"]), dict(document["value"]))

        return await self._ask("GET", path, convert, None, {HTTP_NOT_FOUND: None})

    async def list_rows(
        self, table: str, after: str = "", limit: int = 100
    ) -> Result[list[Row], PlatformError]:
        """Read the rows after a key, in order of their keys."""
        query = urlencode({"after": after, "limit": limit})
        path = f"/v1/tables/{quote(table, safe='')}?{query}"
        return await self._ask("GET", path, _rows_of)

    async def write_all(self, writes: list[RowWrite]) -> Result[bool, PlatformError]:
        """Write all rows or none; the result is false after a conflict."""
        content = {"writes": [write.to_plain() for write in writes]}
        path = "/v1/transactions"
        conflict = {HTTP_CONFLICT: False}
        return await self._ask("POST", path, lambda _: True, content, conflict)

    async def write_each(
        self, writes: list[RowWrite]
    ) -> Result[list[RowWritten], PlatformError]:
        """Write rows independently of each other in one call."""
        content = {"writes": [write.to_plain() for write in writes]}

        def convert(document: Any) -> list[RowWritten]:
            return _results_of(document, len(writes))

        return await self._ask("POST", "/v1/batches", convert, content)

    async def put_object(
        self, digest: str, content: str
    ) -> Result[None, PlatformError]:
        """Store content under its digest."""
        result = await self._send("PUT", f"/v1/objects/{digest}", content.encode())
        return result.bind(
            lambda response: (
                Success(None) if response.status == HTTP_OK else _refused(response)
            )
        )

    async def get_object(self, digest: str) -> Result[str | None, PlatformError]:
        """Read content; the result holds ``None`` when it does not exist."""
        result = await self._send("GET", f"/v1/objects/{digest}", b"")

        def take(response: Response) -> Result[str | None, PlatformError]:
            if response.status == HTTP_OK:
                return Success(response.content.decode(errors="replace"))
            return _interpret(response, lambda _: None, {HTTP_NOT_FOUND: None})

        return result.bind(take)

    async def get_json(self, path: str) -> Result[Any, PlatformError]:
        """Read a JSON document, such as the VM list."""
        return await self._ask("GET", path, lambda document: document)

    async def send_json(
        self, method: str, path: str, content: Any
    ) -> Result[None, PlatformError]:
        """Send a JSON document and expect status 200."""
        return await self._ask(method, path, lambda _: None, content)

    async def _ask(
        self,
        method: str,
        path: str,
        convert: Callable[[Any], Value],
        content: Any = None,
        meanings: Mapping[int, Value] | None = None,
    ) -> Result[Value, PlatformError]:
        """Call the platform and convert its answer.

        :param meanings: what other statuses than 200 stand for
        """
        body = b"" if content is None else json.dumps(content).encode()
        result = await self._send(method, path, body)
        return result.bind(
            lambda response: _interpret(response, convert, meanings or {})
        )

    async def _send(
        self, method: str, path: str, body: bytes
    ) -> Result[Response, PlatformError]:
        headers = [("content-type", "application/json")]
        lease = self._pool.take()
        try:
            with anyio.fail_after(self._timeout_s):
                response = await lease.pool.request(
                    method, self._url + path, headers=headers, content=body
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            # Nothing was sent, so nothing can have taken effect.
            return Failure(_unavailable(error, answered=True))
        except (
            TimeoutError,
            OSError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            await self._pool.renew(lease)
            return Failure(_unavailable(error, answered=False))
        finally:
            await self._pool.release(lease)
        return Success(Response(response.status, response.content))


def convert_rows(
    rows: list[Row], convert: Callable[[Row], Value]
) -> Result[list[Value], PlatformError]:
    """Convert rows to what they stand for; a damaged row is a failure."""
    values = []
    for row in rows:
        try:
            values.append(convert(row))
        except (KeyError, TypeError, ValueError, AttributeError):
            message = f"row {row.key} cannot be read"
            error = PlatformError(ResultCode.CONTENT_DAMAGED, message, answered=True)
            return Failure(error)
    return Success(values)


def _rows_of(document: Any) -> list[Row]:
    return [
        Row(str(row["key"]), int(row["version"]), dict(row["value"]))
        for row in document["rows"]
    ]


def _results_of(document: Any, count: int) -> list[RowWritten]:
    results = document["results"]
    if len(results) != count:
        raise ValueError("the answer has another number of results")
    return [RowWritten(int(item["version"]), bool(item["written"])) for item in results]


def _interpret(
    response: Response,
    convert: Callable[[Any], Value],
    meanings: Mapping[int, Value],
) -> Result[Value, PlatformError]:
    """Convert an answer; one that cannot be read counts as no answer.

    What the call was meant to do may have happened.
    """
    if response.status in meanings:
        return Success(meanings[response.status])
    if response.status != HTTP_OK:
        return _refused(response)
    try:
        return Success(convert(response.json()))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        message = f"the platform's answer cannot be read ({type(error).__name__})"
        failure = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=False)
        return Failure(failure)


def _unavailable(error: Exception, answered: bool) -> PlatformError:
    reason = str(error) or type(error).__name__
    message = f"the platform does not answer ({reason})"
    return PlatformError(ResultCode.PLATFORM_UNAVAILABLE, message, answered)


def _refused(response: Response) -> Failure[PlatformError]:
    message = f"the platform refused the call with status {response.status}"
    error = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=True)
    return Failure(error)
