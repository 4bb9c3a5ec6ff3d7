"""Client for the platform's metadata store: rows, transactions and change feed."""

from __future__ import annotations

import base64
import binascii
import time
import urllib.parse
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from chivetray.clocks import RemoteClock, boot_time_s
from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent, Outcome
from chivetray.platform.values import read_list, read_text, read_whole_number

# A transaction takes 11 ms at the median and about 100 ms when writers queue.
CALL_TIMEOUT_S = 1.2

# Limits of one transaction: writes, removals and preconditions together, and bytes.
TRANSACTION_ENTRIES_LIMIT = 100
TRANSACTION_BYTES_LIMIT = 900_000

# Size of a row in a call apart from its value, such as its names, for the limit on a
# call's bytes. The value grows by a third when it is encoded as text.
ROW_OVERHEAD_BYTES = 600

# Limits of one page of rows: number, and bytes of the values, which may count encoded.
PAGE_ROWS = 500
PAGE_BYTES = 700_000

# Expected size of a row of a table of which none was read, and the size of a row in an
# answer apart from its value.
FIRST_ROW_BYTES = 2000
ENCODED_ROW_BYTES = 150

# Part of a second for which one page of rows may fill the link, so that heartbeats and
# writes do not wait behind it for longer, and bounds of the size of a page.
PAGE_LINK_S = 0.25
MIN_PAGE_BYTES = 60_000
MAX_CONCURRENT_PAGES = 8

# Longest time for which an answer may take to arrive, as long as it does not pause.
READ_LIMIT_S = 8.0

# Path of transactions.
TRANSACTION_PATH = "/chivetray/rows-tx"

# Version to expect of a row that must not exist.
ABSENT = 0

STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
STATUS_HISTORY_GONE = 410

# Statuses of a transaction that is refused for what it holds: malformed, not allowed,
# too large.
FINAL_STATUSES = frozenset({400, 403, 413, 422})


@dataclass(frozen=True, slots=True)
class RowId:
    """Identifier of a row.

    :ivar part: partition of the table, within which transactions are possible
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A stored row; a removed row has an empty value."""

    id: RowId
    value: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at this store version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was refused because a precondition did not hold.

    :ivar rows: current rows of the preconditions; rows that do not exist are left
        out
    """

    rows: dict[RowId, Row]


@dataclass(frozen=True, slots=True)
class Refused:
    """The transaction had no effect: it was refused, or the store was not reached.

    :ivar is_final: whether repeating the transaction cannot change that, such as for a
        row that is too large
    """

    reason: str
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The transaction may have taken effect, or may do so later."""

    reason: str


TransactionOutcome = Committed | Conflict | Refused | OutcomeUnknown


@dataclass(frozen=True, slots=True)
class Page:
    """Some rows of a partition.

    :ivar version: the store's version when it answered
    :ivar next_start: first key of the next page, empty after the last one
    """

    rows: list[Row]
    version: int
    next_start: str


@dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows, and the version after which to ask for further changes.

    :ivar history_gone: whether the store no longer has the changes, so that the
        whole table must be read again
    :ivar has_more: whether further changes may have been made before the answer
    """

    rows: list[Row]
    version: int
    history_gone: bool = False
    has_more: bool = False


class StoreUnavailableError(Exception):
    """The store gave no usable answer to a read.

    :param answered: whether it answered at all, such as with an error status
    """

    def __init__(self, reason: str, answered: bool = False):
        super().__init__(reason)
        self.answered = answered


class Store:
    """Client of the metadata store.

    :param address: address and port, or a URL with its scheme
    :ivar clock: the store's clock, which is the same for all its clients
    :ivar page_bytes: size of a page of rows
    """

    def __init__(
        self, session: CallSession, address: str, timeout_s: float = CALL_TIMEOUT_S
    ):
        self._session = session
        self._timeout_s = timeout_s
        self.calls = 0
        self.clock = RemoteClock()
        self.page_bytes = PAGE_BYTES
        self._row_bytes: dict[str, float] = {}
        self.on_latency: Callable[[str, float], None] = lambda _name, _latency_s: None
        self.move_to(address)

    def fit_link(self, link_mbps: float) -> int:
        """Choose the size of pages for a link; return how many to read at a time."""
        budget_bytes = link_mbps * 1e6 / 8 * PAGE_LINK_S
        count = max(1, min(MAX_CONCURRENT_PAGES, int(budget_bytes / MIN_PAGE_BYTES)))
        self.page_bytes = int(
            max(MIN_PAGE_BYTES, min(PAGE_BYTES, budget_bytes / count))
        )
        return count

    def move_to(self, address: str) -> None:
        """Send all further calls to another address."""
        self._url = address if "://" in address else f"http://{address}"

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        """Make one call and return its outcome unchanged."""
        self.calls += 1
        # A large answer on a narrow link is late as a whole, but does not pause.
        limit_s = max(timeout_s, READ_LIMIT_S) if method == "GET" else timeout_s
        return await self._session.call(
            method, self._url + path, limit_s, body, silence_s=timeout_s
        )

    async def transact(
        self,
        expected: dict[RowId, int],
        writes: dict[RowId, bytes],
        removed: Sequence[RowId] = (),
    ) -> TransactionOutcome:
        """Write and remove rows of one partition if all expected versions match."""
        body = {
            "ExpectedRev": [
                {**_encode_row_id(row), "Ver": version}
                for row, version in expected.items()
            ],
            "Writes": [
                {**_encode_row_id(row), "Value": base64.b64encode(value).decode()}
                for row, value in writes.items()
            ],
            "Remove": [_encode_row_id(row) for row in removed],
        }
        started_s, sent_at_s = time.monotonic(), boot_time_s()
        outcome = await self.call("POST", TRANSACTION_PATH, body, self._timeout_s)
        self.on_latency("store transaction", time.monotonic() - started_s)
        self._observe_clock(outcome, sent_at_s)
        if isinstance(outcome, NotSent):
            return Refused(outcome.reason)
        if isinstance(outcome, NoAnswer):
            return OutcomeUnknown(outcome.reason)
        version = read_whole_number(outcome.body.get("Ver"))
        if outcome.ok and version is not None:
            return Committed(version)
        if outcome.status == STATUS_CONFLICT:
            rows = (_decode_row(plain) for plain in read_list(outcome.body, "rows"))
            return Conflict({row.id: row for row in rows if row and not row.removed})
        if outcome.ok:
            return OutcomeUnknown("the answer cannot be decoded")
        is_final = outcome.status in FINAL_STATUSES
        return Refused(f"status {outcome.status}", is_final)

    async def read(
        self,
        table: str,
        part: str,
        start: str = "",
        end: str = "",
        limit: int | None = None,
    ) -> tuple[list[Row], int]:
        """Read the rows of a partition in key order.

        :param start: first key to read, or empty to read from the beginning
        :param end: first key not to read, or empty to read to the end
        :param limit: maximum number of rows, unlimited by default
        :return: the rows, and the store's version when it answered the first page
        :raises StoreUnavailableError: when the store gives no usable answer
        """
        rows: list[Row] = []
        first_version = 0
        while True:
            page_limit = None if limit is None else limit - len(rows)
            page = await self.read_page(table, part, start, end, page_limit)
            rows += page.rows
            first_version = first_version or page.version
            limit_reached = limit is not None and len(rows) >= limit
            if not page.next_start or limit_reached:
                return rows, first_version
            start = page.next_start

    async def read_page(
        self,
        table: str,
        part: str,
        start: str = "",
        end: str = "",
        limit: int | None = None,
    ) -> Page:
        """Read some rows of a partition in key order, about ``page_bytes`` at most.

        :param start: first key to read, or empty to read from the beginning
        :param end: first key not to read, or empty to read to the end
        :param limit: maximum number of rows
        :raises StoreUnavailableError: when the store gives no usable answer
        """
        row_bytes = self._row_bytes.get(table, FIRST_ROW_BYTES)
        page_rows = min(PAGE_ROWS, max(1, int(self.page_bytes / row_bytes)))
        page_rows = page_rows if limit is None else min(page_rows, limit)
        query = {"Table": table, "part": part, "Limit": str(page_rows)}
        if start:
            query["From"] = start
        if end:
            query["To"] = end
        body = await self._get("/chivetray/rows-get", query)
        if not isinstance(body.get("rows"), list) or "Ver" not in body:
            # An answer that cannot be decoded must not pass for an empty table.
            raise StoreUnavailableError("the answer cannot be decoded")
        rows = [row for plain in read_list(body, "rows") if (row := _decode_row(plain))]
        if rows:
            size = sum(len(row.value) * 4 // 3 + ENCODED_ROW_BYTES for row in rows)
            self._row_bytes[table] = size / len(rows)
        next_start = rows[-1].id.key + "\0" if body.get("HasMore") and rows else ""
        return Page(rows, _version_field(body), next_start)

    async def read_row(self, row: RowId) -> Row | None:
        """Read one row, or return ``None`` when it does not exist.

        :raises StoreUnavailableError: when the store gives no usable answer
        """
        rows, _ = await self.read(row.table, row.part, row.key, row.key + "\0")
        return rows[0] if rows else None

    async def parts(self, table: str) -> list[str]:
        """List the partitions of a table.

        :raises StoreUnavailableError: when the store gives no usable answer
        """
        parts: list[str] = []
        while True:
            query = {"Table": table}
            if parts:
                # The platform calls the last partition already read "DependsOn".
                query["DependsOn"] = parts[-1]
            body = await self._get("/chivetray/rows-parts", query)
            page = [part for part in read_list(body, "parts") if isinstance(part, str)]
            parts += page
            if not page or not body.get("HasMore"):
                return parts

    async def changes(self, table: str, version: int, wait_ms: int) -> Changes:
        """Return the rows of a table that changed after a version.

        :param wait_ms: time for which the store may hold the call until a change
        :raises StoreUnavailableError: when the store gives no usable answer
        """
        # The platform calls the version after which changes are wanted "DependsOn".
        query = {"Table": table, "DependsOn": str(version), "WaitMs": str(wait_ms)}
        path = f"/chivetray/rows-feed?{urllib.parse.urlencode(query)}"
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S / 2
        outcome = await self.call("GET", path, None, timeout_s)
        if isinstance(outcome, Answer):
            if outcome.status == STATUS_HISTORY_GONE:
                return Changes([], 0, history_gone=True)
            if outcome.ok:
                plain_rows = read_list(outcome.body, "rows")
                rows = [row for plain in plain_rows if (row := _decode_row(plain))]
                newest_version = _version_field(outcome.body)
                has_more = bool(outcome.body.get("HasMore")) or _is_full_page(rows)
                if has_more and rows:
                    # The rest of the last transaction may be on the next page.
                    newest_version = max(version + 1, rows[-1].version - 1)
                return Changes(rows, max(version, newest_version), has_more=has_more)
        raise StoreUnavailableError(
            _describe_failure(outcome), isinstance(outcome, Answer)
        )

    async def put_object(self, name: str, content: bytes) -> Outcome:
        """Store raw content under a name, replacing any content of that name."""
        self.calls += 1
        url = f"{self._url}/chivetray/blob-put/{urllib.parse.quote(name, safe='')}"
        return await self._session.call("PUT", url, self._timeout_s, content=content)

    async def get_object(self, name: str) -> bytes | None:
        """Read raw content, or return ``None`` when there is none of that name.

        :raises StoreUnavailableError: when the store gives no usable answer
        """
        path = f"/chivetray/blob-get/{urllib.parse.quote(name, safe='')}"
        outcome = await self.call("GET", path, None, self._timeout_s)
        if isinstance(outcome, Answer):
            if outcome.status == STATUS_NOT_FOUND:
                return None
            if outcome.ok:
                return outcome.raw
        raise StoreUnavailableError(
            _describe_failure(outcome), isinstance(outcome, Answer)
        )

    async def _get(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        path = f"{path}?{urllib.parse.urlencode(query)}"
        started_s, sent_at_s = time.monotonic(), boot_time_s()
        outcome = await self.call("GET", path, None, self._timeout_s)
        self.on_latency("store reading", time.monotonic() - started_s)
        self._observe_clock(outcome, sent_at_s)
        if isinstance(outcome, Answer) and outcome.ok:
            return outcome.body
        raise StoreUnavailableError(
            _describe_failure(outcome), isinstance(outcome, Answer)
        )

    def _observe_clock(self, outcome: Outcome, sent_at_s: float) -> None:
        if isinstance(outcome, Answer):
            clock_ms = read_whole_number(outcome.body.get("NowMs"))
            if clock_ms is not None:
                self.clock.observe(clock_ms, sent_at_s, boot_time_s())


def _is_full_page(rows: list[Row]) -> bool:
    size = sum(len(row.value) for row in rows)
    return len(rows) >= PAGE_ROWS or size >= PAGE_BYTES


def _describe_failure(outcome: Outcome) -> str:
    if isinstance(outcome, Answer):
        return f"status {outcome.status}"
    return outcome.reason


def _encode_row_id(row: RowId) -> dict[str, Any]:
    return {"Table": row.table, "part": row.part, "Key": row.key}


def _version_field(body: dict[str, Any]) -> int:
    return read_whole_number(body.get("Ver")) or 0


def _decode_row(plain: Any) -> Row | None:
    """Decode a row, or return ``None`` when its identifier or version is invalid.

    A value that is not valid Base64 counts as empty.
    """
    if not isinstance(plain, dict):
        return None
    table, part = read_text(plain.get("Table")), read_text(plain.get("part", ""))
    key, version = read_text(plain.get("Key")), read_whole_number(plain.get("Ver"))
    if table is None or part is None or key is None or version is None:
        return None
    row_id = RowId(table, part, key)
    if plain.get("Removed"):
        return Row(row_id, b"", version, removed=True)
    try:
        value = base64.b64decode(plain.get("Value") or "", validate=True)
    except (binascii.Error, ValueError, TypeError):
        value = b""
    return Row(row_id, value, version)
