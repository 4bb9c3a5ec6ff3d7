"""The platform's metadata store: rows, transactions and the feed of changes."""

from __future__ import annotations

import base64
import binascii
import time
import urllib.parse
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent, Outcome

# A transaction takes 11 ms at the median and some 100 ms when writers queue.
CALL_TIMEOUT_S = 1.2

# Rows and preconditions of one call together, and bytes of one call.
ENTRIES_LIMIT = 100
BYTES_LIMIT = 900_000

PAGE_ROWS = 500

# Expected version of a row that does not exist.
ABSENT = 0

STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
STATUS_HISTORY_GONE = 410


@dataclass(frozen=True, slots=True)
class RowId:
    """Name of a row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row; a removed one has no value."""

    id: RowId
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect with this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction was refused by its preconditions.

    :ivar rows: the rows named in the preconditions as they are, without those
        that do not exist
    """

    rows: dict[RowId, Row]


@dataclass(frozen=True, slots=True)
class Refused:
    """The store did nothing: it said so, or it was not reached."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """A transaction may have taken effect, or may do so later."""

    reason: str


Transacted = Committed | Conflict | Refused | Unknown


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed, and the version from which to go on.

    :ivar history_gone: whether the rows have to be read anew instead
    """

    rows: list[Row]
    version: int
    history_gone: bool = False


class StoreUnavailableError(Exception):
    """The store did not answer a read.

    :param answered: whether it answered at all, such as with a refusal
    """

    def __init__(self, reason: str, answered: bool = False):
        super().__init__(reason)
        self.answered = answered


class Store:
    """Client of the store.

    :param address: address and port, or a URL that begins with ``https://``
    """

    def __init__(
        self, session: CallSession, address: str, timeout_s: float = CALL_TIMEOUT_S
    ):
        self._session = session
        self._timeout_s = timeout_s
        self.calls = 0
        self.on_latency: Callable[[str, float], None] = lambda _name, _latency_s: None
        self.move_to(address)

    def move_to(self, address: str) -> None:
        """Call the store at another address from now on."""
        self._url = address if "://" in address else f"http://{address}"

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        """Make one call as it is."""
        self.calls += 1
        return await self._session.call(method, self._url + path, timeout_s, body)

    async def transact(
        self,
        expected: dict[RowId, int],
        writes: dict[RowId, bytes],
        removed: Sequence[RowId] = (),
    ) -> Transacted:
        """Write rows of one part if all expected versions are found."""
        body = {
            "ExpectedRev": [
                {**_name(row), "Ver": version} for row, version in expected.items()
            ],
            "Writes": [
                {**_name(row), "Value": base64.b64encode(value).decode()}
                for row, value in writes.items()
            ],
            "Remove": [_name(row) for row in removed],
        }
        path = "/chivetray/rows-tx"
        began_s = time.monotonic()
        outcome = await self.call("POST", path, body, self._timeout_s)
        self.on_latency("store transaction", time.monotonic() - began_s)
        if isinstance(outcome, NotSent):
            return Refused(outcome.reason)
        if isinstance(outcome, NoAnswer):
            return Unknown(outcome.reason)
        version = outcome.body.get("Ver")
        if outcome.ok and isinstance(version, int):
            return Committed(version)
        if outcome.status == STATUS_CONFLICT:
            rows = (_decode_row(plain) for plain in _list(outcome.body, "rows"))
            return Conflict({row.id: row for row in rows if row and not row.removed})
        if outcome.ok:
            return Unknown("the answer cannot be read")
        return Refused(f"status {outcome.status}")

    async def read(
        self,
        table: str,
        part: str,
        start: str = "",
        end: str = "",
        limit: int | None = None,
    ) -> tuple[list[Row], int]:
        """Read the rows of a part in order of their keys, and the newest version.

        :param end: first key that is not read, or empty for all
        :param limit: rows that are read at most, all by default
        :raises StoreUnavailableError: when the store does not answer
        """
        rows: list[Row] = []
        first_version = 0
        while True:
            wanted = PAGE_ROWS if limit is None else min(PAGE_ROWS, limit - len(rows))
            query = {"Table": table, "part": part, "Limit": str(wanted)}
            if start:
                query["From"] = start
            if end:
                query["To"] = end
            body = await self._get("/chivetray/rows-get", query)
            if not isinstance(body.get("rows"), list) or "Ver" not in body:
                # An answer that cannot be read is not one without rows.
                raise StoreUnavailableError("the answer cannot be read")
            page = [row for p in _list(body, "rows") if (row := _decode_row(p))]
            rows += page
            if not first_version:
                first_version = _version(body)
            enough = limit is not None and len(rows) >= limit
            if not body.get("HasMore") or not page or enough:
                return rows, first_version
            start = page[-1].id.key + "\0"

    async def read_row(self, row: RowId) -> Row | None:
        """Read one row.

        :raises StoreUnavailableError: when the store does not answer
        """
        rows, _ = await self.read(row.table, row.part, row.key, row.key + "\0")
        return rows[0] if rows else None

    async def parts(self, table: str) -> list[str]:
        """List the parts of a table.

        :raises StoreUnavailableError: when the store does not answer
        """
        parts: list[str] = []
        while True:
            query = {"Table": table}
            if parts:
                query["DependsOn"] = parts[-1]
            body = await self._get("/chivetray/rows-parts", query)
            page = [part for part in _list(body, "parts") if isinstance(part, str)]
            parts += page
            if not page or not body.get("HasMore"):
                return parts

    async def changes(self, table: str, version: int, wait_ms: int) -> Changes:
        """Return what changed in a table after a version.

        :param wait_ms: time that the store may wait for a change
        :raises StoreUnavailableError: when the store does not answer
        """
        query = {"Table": table, "DependsOn": str(version), "WaitMs": str(wait_ms)}
        path = "/chivetray/rows-feed?" + urllib.parse.urlencode(query)
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S / 2
        outcome = await self.call("GET", path, None, timeout_s)
        if isinstance(outcome, Answer):
            if outcome.status == STATUS_HISTORY_GONE:
                return Changes([], 0, history_gone=True)
            if outcome.ok:
                plain = _list(outcome.body, "rows")
                rows = [row for p in plain if (row := _decode_row(p))]
                return Changes(rows, max(version, _version(outcome.body)))
        raise StoreUnavailableError(_reason(outcome), isinstance(outcome, Answer))

    # Objects

    async def put_object(self, name: str, content: bytes) -> Outcome:
        """Store raw content under a name, in place of what is there."""
        self.calls += 1
        url = f"{self._url}/chivetray/blob-put/{urllib.parse.quote(name, safe='')}"
        return await self._session.call("PUT", url, self._timeout_s, content=content)

    async def get_object(self, name: str) -> bytes | None:
        """Read raw content, or ``None`` when there is none of the name.

        :raises StoreUnavailableError: when the store does not answer
        """
        path = f"/chivetray/blob-get/{urllib.parse.quote(name, safe='')}"
        outcome = await self.call("GET", path, None, self._timeout_s)
        if isinstance(outcome, Answer):
            if outcome.status == STATUS_NOT_FOUND:
                return None
            if outcome.ok:
                return outcome.raw
        raise StoreUnavailableError(_reason(outcome), isinstance(outcome, Answer))

    async def _get(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        path = f"{path}?{urllib.parse.urlencode(query)}"
        began_s = time.monotonic()
        outcome = await self.call("GET", path, None, self._timeout_s)
        self.on_latency("store reading", time.monotonic() - began_s)
        if isinstance(outcome, Answer) and outcome.ok:
            return outcome.body
        raise StoreUnavailableError(_reason(outcome), isinstance(outcome, Answer))


def _reason(outcome: Outcome) -> str:
    if isinstance(outcome, Answer):
        return f"status {outcome.status}"
    return outcome.reason


def _name(row: RowId) -> dict[str, Any]:
    return {"Table": row.table, "part": row.part, "Key": row.key}


def _list(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name)
    return value if isinstance(value, list) else []


def _version(body: dict[str, Any]) -> int:
    value = body.get("Ver")
    return value if isinstance(value, int) else 0


def _decode_row(plain: Any) -> Row | None:
    """Return a row, or ``None`` when its name or version cannot be read."""
    if not isinstance(plain, dict):
        return None
    name = (plain.get("Table"), plain.get("part", ""), plain.get("Key"))
    version = plain.get("Ver")
    if not all(isinstance(text, str) for text in name) or not isinstance(version, int):
        return None
    row_id = RowId(*(str(text) for text in name))
    if plain.get("Removed"):
        return Row(row_id, b"", version, removed=True)
    try:
        value = base64.b64decode(plain.get("Value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        value = b""
    return Row(row_id, value, version)
