"""Rows with JSON values and objects in the platform's store, and its VM list.

Every method returns a result: a failure says whether the platform answered.
Without an answer a write may or may not have taken effect, which only a later
read can tell.
"""

from __future__ import annotations

import json
import ssl
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import anyio
from returns.result import Failure, Result, Success

from chivetray.exceptions import PlatformError
from chivetray.generated.settings import PlatformSettings
from chivetray.platform.calls import Answer, CallSession, NoAnswer, Outcome
from chivetray.platform.store import (
    ABSENT,
    ENTRIES_LIMIT,
    Committed,
    Conflict,
    RowId,
    Store,
    StoreUnavailableError,
    Transacted,
    Unknown,
)
from chivetray.platform.store import Row as StoreRow
from chivetray.results import ResultCode

# Part of the rows that are written together; a transaction covers one part.
SHARED_PART = "entry"

# A part carries some hundred transactions a second from all entries together, so
# tables whose rows are never written together with others are spread over several.
SPREAD_TABLES = frozenset({"claims"})
SPREAD_PARTS = 4

# A transaction names each row twice: its expected version and its value.
ROWS_PER_TRANSACTION = ENTRIES_LIMIT // 2

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Row:
    """Row of a table."""

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

    @property
    def row_id(self) -> RowId:
        """Name of the row in the store."""
        return RowId(self.table, part_of(self.table, self.key), self.key)


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Outcome of one conditional write.

    :ivar version: version of the row afterwards
    :ivar written: whether the expected version was found
    """

    version: int
    written: bool


# Writes of one transaction with their places among all.
_Group = list[tuple[int, RowWrite]]


def part_of(table: str, key: str) -> str:
    """Return the part of the store in which a row lies."""
    if table not in SPREAD_TABLES:
        return SHARED_PART
    return f"{SHARED_PART}-{zlib.crc32(key.encode()) % SPREAD_PARTS}"


def parts_of(table: str) -> list[str]:
    """Return the parts of the store over which a table is spread."""
    if table not in SPREAD_TABLES:
        return [SHARED_PART]
    return [f"{SHARED_PART}-{number}" for number in range(SPREAD_PARTS)]


class RecordClient:
    """Reads and writes rows, objects and the VM list."""

    def __init__(self, url: str, timeout_s: float, context: ssl.SSLContext | None):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._context = context
        self._opened: tuple[CallSession, Store] | None = None

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> RecordClient:
        """Make a client from the settings."""
        context = None
        if settings.url.startswith("https:"):
            context = ssl.create_default_context(cafile=settings.ca_file)
        return cls(settings.url, settings.timeout_s, context)

    def _open(self) -> tuple[CallSession, Store]:
        """Return the connections, which can be opened only in a running loop."""
        if self._opened is None:
            session = CallSession.open(self._context)
            self._opened = session, Store(session, self._url, self._timeout_s)
        return self._opened

    @property
    def _store(self) -> Store:
        return self._open()[1]

    async def aclose(self) -> None:
        """Close all connections."""
        if self._opened is not None:
            await self._opened[0].aclose()

    # Rows

    async def read_row(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Read one row; the result holds ``None`` when it does not exist."""
        row_id = RowId(table, part_of(table, key), key)
        try:
            found = await self._store.read_row(row_id)
        except StoreUnavailableError as error:
            return _unread(error)
        if found is None:
            return Success(None)
        return _decode([found]).map(lambda rows: rows[0])

    async def list_rows(
        self, table: str, after: str = "", limit: int = 100
    ) -> Result[list[Row], PlatformError]:
        """Read the rows after a key, in order of their keys."""
        start = after + "\0" if after else ""
        found: list[StoreRow] = []
        try:
            for part in parts_of(table):
                rows, _ = await self._store.read(table, part, start, limit=limit)
                found += rows
        except StoreUnavailableError as error:
            return _unread(error)
        found.sort(key=lambda row: row.id.key)
        return _decode(found[:limit])

    async def write_all(
        self, writes: Sequence[RowWrite]
    ) -> Result[bool, PlatformError]:
        """Write all rows or none; the result is false after a conflict."""
        outcome = await self._transact(writes)
        if isinstance(outcome, Committed):
            return Success(True)
        if isinstance(outcome, Conflict):
            return Success(False)
        return _unwritten(outcome.reason, answered=not isinstance(outcome, Unknown))

    async def write_each(
        self, writes: Sequence[RowWrite]
    ) -> Result[list[RowWritten], PlatformError]:
        """Write rows independently of each other.

        A failure counts as answered only when no row can have been written.
        """
        written: dict[int, RowWritten] = {}
        failures: list[PlatformError] = []

        async def write_group(group: _Group) -> None:
            failure = await self._write_group(group, written)
            if failure is not None:
                failures.append(failure)

        for groups in _grouped(writes):
            async with anyio.create_task_group() as tasks:
                for group in groups:
                    tasks.start_soon(write_group, group)
        if not failures:
            return Success([written[number] for number in range(len(writes))])
        nothing = not any(result.written for result in written.values())
        answered = nothing and all(failure.answered for failure in failures)
        first = failures[0]
        return Failure(PlatformError(first.code, first.message, answered))

    async def _write_group(
        self, group: _Group, written: dict[int, RowWritten]
    ) -> PlatformError | None:
        """Write what can be written of a group; the rest has other versions."""
        while group:
            outcome = await self._transact([write for _, write in group])
            if isinstance(outcome, Committed):
                for number, _ in group:
                    written[number] = RowWritten(outcome.version, True)
                return None
            if not isinstance(outcome, Conflict):
                answered = not isinstance(outcome, Unknown)
                return _unwritten(outcome.reason, answered).failure()
            left = []
            for number, write in group:
                row = outcome.rows.get(write.row_id)
                version = row.version if row else ABSENT
                if version == write.expected_version:
                    left.append((number, write))
                else:
                    written[number] = RowWritten(version, False)
            if len(left) == len(group):
                reason = "a conflict that names no row"
                return _unwritten(reason, answered=True).failure()
            group = left
        return None

    async def _transact(self, writes: Sequence[RowWrite]) -> Transacted:
        return await self._store.transact(
            {write.row_id: write.expected_version for write in writes},
            {
                write.row_id: json.dumps(write.value).encode()
                for write in writes
                if write.value is not None
            },
            [write.row_id for write in writes if write.value is None],
        )

    # Objects

    async def put_object(
        self, digest: str, content: str
    ) -> Result[None, PlatformError]:
        """Store content under its digest."""
        outcome = await self._store.put_object(digest, content.encode())
        return _interpret(outcome, lambda _: None)

    async def get_object(self, digest: str) -> Result[str | None, PlatformError]:
        """Read content; the result holds ``None`` when it does not exist."""
        try:
            content = await self._store.get_object(digest)
        except StoreUnavailableError as error:
            return _unread(error)
        return Success(None if content is None else content.decode(errors="replace"))

    # VM list

    async def get_json(self, path: str) -> Result[Any, PlatformError]:
        """Read a JSON document, such as the VM list."""
        return _interpret(await self._call("GET", path), lambda answer: answer.body)

    async def send_json(
        self, method: str, path: str, content: Any
    ) -> Result[None, PlatformError]:
        """Send a JSON document and expect that it is taken."""
        return _interpret(await self._call(method, path, content), lambda _: None)

    async def _call(self, method: str, path: str, content: Any = None) -> Outcome:
        session, _ = self._open()
        return await session.call(method, self._url + path, self._timeout_s, content)


def _grouped(writes: Sequence[RowWrite]) -> list[list[_Group]]:
    """Return the transactions that carry writes, in rounds one after another.

    A transaction names a row once, so a second write of a row is in a later round.
    """
    seen: Counter[RowId] = Counter()
    rounds: list[dict[str, _Group]] = []
    for number, write in enumerate(writes):
        turn = seen[write.row_id]
        seen[write.row_id] += 1
        if turn == len(rounds):
            rounds.append({})
        rounds[turn].setdefault(write.row_id.part, []).append((number, write))
    return [
        [
            group[start : start + ROWS_PER_TRANSACTION]
            for group in by_part.values()
            for start in range(0, len(group), ROWS_PER_TRANSACTION)
        ]
        for by_part in rounds
    ]


def convert_rows(
    rows: list[Row], convert: Callable[[Row], Value]
) -> Result[list[Value], PlatformError]:
    """Convert rows to what they stand for; a damaged row is a failure."""
    values = []
    for row in rows:
        try:
            values.append(convert(row))
        except (KeyError, TypeError, ValueError, AttributeError):
            return Failure(_damaged(row.key))
    return Success(values)


def _decode(rows: list[StoreRow]) -> Result[list[Row], PlatformError]:
    decoded = []
    for row in rows:
        try:
            value = json.loads(row.value)
        except ValueError:
            return Failure(_damaged(row.id.key))
        if not isinstance(value, dict):
            return Failure(_damaged(row.id.key))
        decoded.append(Row(row.id.key, row.version, value))
    return Success(decoded)


def _damaged(key: str) -> PlatformError:
    message = f"row {key} cannot be read"
    return PlatformError(ResultCode.CONTENT_DAMAGED, message, answered=True)


def _interpret(
    outcome: Outcome, convert: Callable[[Answer], Value]
) -> Result[Value, PlatformError]:
    if not isinstance(outcome, Answer):
        # Nothing was sent when the connection failed, so nothing was done.
        return _unwritten(outcome.reason, not isinstance(outcome, NoAnswer))
    if not outcome.ok:
        message = f"the platform refused the call with status {outcome.status}"
        error = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=True)
        return Failure(error)
    return Success(convert(outcome))


def _unread(error: StoreUnavailableError) -> Failure[PlatformError]:
    return _unwritten(str(error), error.answered)


def _unwritten(reason: str, answered: bool) -> Failure[PlatformError]:
    message = f"the platform does not answer ({reason})"
    code = ResultCode.PLATFORM_UNAVAILABLE
    return Failure(PlatformError(code, message, answered))
