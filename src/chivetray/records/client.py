"""Client for rows with JSON values, objects and the VM list of the platform.

Every method returns a result. A failure tells whether the platform answered:
without an answer a write may have taken effect, and only a later read shows it.
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
    TRANSACTION_ENTRIES_LIMIT,
    Committed,
    Conflict,
    OutcomeUnknown,
    RowId,
    Store,
    StoreUnavailableError,
    TransactionOutcome,
)
from chivetray.platform.store import Row as StoreRow
from chivetray.platform.values import decode_object
from chivetray.results import ResultCode

# Part of the store that holds the rows that are written together, since a
# transaction covers only one part.
SHARED_PART = "entry"

# A part handles some hundred transactions a second from all entries together.
# Tables whose rows are never written together with others are therefore sharded
# over several parts.
SHARDED_TABLES = frozenset({"claims"})
SHARDS_PER_TABLE = 4

# Each row takes two entries of a transaction: its expected version and its value.
ROWS_PER_TRANSACTION = TRANSACTION_ENTRIES_LIMIT // 2

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Row:
    """Row of a table with its decoded value."""

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
        """Identifier of the row in the store."""
        return RowId(self.table, part_of(self.table, self.key), self.key)


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Outcome of one conditional write.

    :ivar version: version of the row afterwards
    :ivar written: whether the expected version was found
    """

    version: int
    written: bool


# Writes of one transaction, each with its index among all writes of the call.
_IndexedWrites = list[tuple[int, RowWrite]]


def part_of(table: str, key: str) -> str:
    """Return the part of the store that holds a row."""
    if table not in SHARDED_TABLES:
        return SHARED_PART
    return f"{SHARED_PART}-{zlib.crc32(key.encode()) % SHARDS_PER_TABLE}"


def parts_of(table: str) -> list[str]:
    """Return the parts of the store over which a table is sharded."""
    if table not in SHARDED_TABLES:
        return [SHARED_PART]
    return [f"{SHARED_PART}-{index}" for index in range(SHARDS_PER_TABLE)]


class RecordClient:
    """Reads and writes rows, objects and the VM list."""

    def __init__(self, url: str, timeout_s: float, context: ssl.SSLContext | None):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._context = context
        self._opened: tuple[CallSession, Store] | None = None

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> RecordClient:
        """Create a client from the settings."""
        context = None
        if settings.url.startswith("https:"):
            context = ssl.create_default_context(cafile=settings.ca_file)
        return cls(settings.url, settings.timeout_s, context)

    def _open(self) -> tuple[CallSession, Store]:
        """Open the session on first use, since this needs a running event loop."""
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
        """Read one row; the result is ``None`` when the row does not exist."""
        row_id = RowId(table, part_of(table, key), key)
        try:
            stored = await self._store.read_row(row_id)
        except StoreUnavailableError as error:
            return _read_failure(error)
        if stored is None:
            return Success(None)
        return _decode_rows([stored]).map(lambda rows: rows[0])

    async def list_rows(
        self, table: str, after: str = "", limit: int = 100
    ) -> Result[list[Row], PlatformError]:
        """Read the rows after a key, sorted by key."""
        start_key = after + "\0" if after else ""
        stored: list[StoreRow] = []
        try:
            for part in parts_of(table):
                rows, _ = await self._store.read(table, part, start_key, limit=limit)
                stored += rows
        except StoreUnavailableError as error:
            return _read_failure(error)
        stored.sort(key=lambda row: row.id.key)
        return _decode_rows(stored[:limit])

    async def write_all(
        self, writes: Sequence[RowWrite]
    ) -> Result[bool, PlatformError]:
        """Write all rows in one transaction; the result is false after a conflict."""
        outcome = await self._transact(writes)
        if isinstance(outcome, Committed):
            return Success(True)
        if isinstance(outcome, Conflict):
            return Success(False)
        return _unavailable_failure(
            outcome.reason, answered=not isinstance(outcome, OutcomeUnknown)
        )

    async def write_each(
        self, writes: Sequence[RowWrite]
    ) -> Result[list[RowWritten], PlatformError]:
        """Write each row independently of the others.

        A failure is marked as answered only when no row can have been written.
        """
        written: dict[int, RowWritten] = {}
        failures: list[PlatformError] = []

        async def write_group(group: _IndexedWrites) -> None:
            failure = await self._write_group(group, written)
            if failure is not None:
                failures.append(failure)

        for groups in _group_into_rounds(writes):
            async with anyio.create_task_group() as tasks:
                for group in groups:
                    tasks.start_soon(write_group, group)
        if not failures:
            return Success([written[index] for index in range(len(writes))])
        none_written = not any(result.written for result in written.values())
        answered = none_written and all(failure.answered for failure in failures)
        first = failures[0]
        return Failure(PlatformError(first.code, first.message, answered))

    async def _write_group(
        self, group: _IndexedWrites, written: dict[int, RowWritten]
    ) -> PlatformError | None:
        """Write a group, leaving out rows with a version other than expected.

        The outcome of each row is added to ``written``.

        :return: error of the transaction, if it failed other than by a conflict
        """
        while group:
            outcome = await self._transact([write for _, write in group])
            if isinstance(outcome, Committed):
                for index, _ in group:
                    written[index] = RowWritten(outcome.version, True)
                return None
            if not isinstance(outcome, Conflict):
                answered = not isinstance(outcome, OutcomeUnknown)
                return _unavailable_failure(outcome.reason, answered).failure()
            retryable = []
            for index, write in group:
                row = outcome.rows.get(write.row_id)
                version = row.version if row else ABSENT
                if version == write.expected_version:
                    retryable.append((index, write))
                else:
                    written[index] = RowWritten(version, False)
            if len(retryable) == len(group):
                reason = "conflict without a conflicting row"
                return _unavailable_failure(reason, answered=True).failure()
            group = retryable
        return None

    async def _transact(self, writes: Sequence[RowWrite]) -> TransactionOutcome:
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
        """Store an object under its digest."""
        outcome = await self._store.put_object(digest, content.encode())
        return _convert_outcome(outcome, lambda _: None)

    async def get_object(self, digest: str) -> Result[str | None, PlatformError]:
        """Read an object; the result is ``None`` when it does not exist."""
        try:
            content = await self._store.get_object(digest)
        except StoreUnavailableError as error:
            return _read_failure(error)
        return Success(None if content is None else content.decode(errors="replace"))

    # VM list

    async def get_json(self, path: str) -> Result[Any, PlatformError]:
        """Read a JSON document, such as the VM list."""
        return _convert_outcome(
            await self._call("GET", path), lambda answer: answer.body
        )

    async def send_json(
        self, method: str, path: str, content: Any
    ) -> Result[None, PlatformError]:
        """Send a JSON document; the result is a failure when it is refused."""
        return _convert_outcome(await self._call(method, path, content), lambda _: None)

    async def _call(self, method: str, path: str, content: Any = None) -> Outcome:
        session, _ = self._open()
        return await session.call(method, self._url + path, self._timeout_s, content)


def _group_into_rounds(writes: Sequence[RowWrite]) -> list[list[_IndexedWrites]]:
    """Split writes into transactions, in rounds to be run one after another.

    A transaction writes a row only once, so a second write of a row goes into a
    later round.
    """
    seen: Counter[RowId] = Counter()
    rounds: list[dict[str, _IndexedWrites]] = []
    for index, write in enumerate(writes):
        round_number = seen[write.row_id]
        seen[write.row_id] += 1
        if round_number == len(rounds):
            rounds.append({})
        rounds[round_number].setdefault(write.row_id.part, []).append((index, write))
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
    """Convert each row; the result is a failure when a row is malformed."""
    values = []
    for row in rows:
        try:
            values.append(convert(row))
        except (KeyError, TypeError, ValueError, AttributeError):
            return Failure(_damaged_row_error(row.key))
    return Success(values)


def _decode_rows(rows: list[StoreRow]) -> Result[list[Row], PlatformError]:
    decoded = []
    for row in rows:
        value = decode_object(row.value)
        if value is None:
            return Failure(_damaged_row_error(row.id.key))
        decoded.append(Row(row.id.key, row.version, value))
    return Success(decoded)


def _damaged_row_error(key: str) -> PlatformError:
    message = f"row {key} cannot be decoded"
    return PlatformError(ResultCode.CONTENT_DAMAGED, message, answered=True)


def _convert_outcome(
    outcome: Outcome, convert: Callable[[Answer], Value]
) -> Result[Value, PlatformError]:
    if not isinstance(outcome, Answer):
        # A call that was not sent had no effect, which counts as answered.
        return _unavailable_failure(outcome.reason, not isinstance(outcome, NoAnswer))
    if not outcome.ok:
        message = f"platform refused the call with status {outcome.status}"
        error = PlatformError(ResultCode.PLATFORM_REFUSED, message, answered=True)
        return Failure(error)
    return Success(convert(outcome))


def _read_failure(error: StoreUnavailableError) -> Failure[PlatformError]:
    return _unavailable_failure(str(error), error.answered)


def _unavailable_failure(reason: str, answered: bool) -> Failure[PlatformError]:
    message = f"platform does not answer ({reason})"
    code = ResultCode.PLATFORM_UNAVAILABLE
    return Failure(PlatformError(code, message, answered))
