"""In-memory stand-in for the platform's store, with fault injection."""

from __future__ import annotations

import asyncio
import bisect
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

# Limits: entries of one transaction, characters of a row's value, and rows of one page.
ENTRIES_LIMIT = 100
ROW_BYTES = 65536
PAGE_ROWS = 500

# Tables that only the operator and the workers may write.
READ_ONLY_TABLES = ("op", "servers")

# Time for which a call whose answer is lost stays open; longer than any timeout.
STALL_S = 3600.0

# Table, partition and key of a row.
RowName = tuple[str, str, str]


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject; the fields are set by name through ``/standin/faults``.

    :ivar down: answer every call with status 503
    :ivar stalled: accept calls and never answer them
    :ivar refused: caller addresses to answer with status 503
    :ivar delay_s: delay before each answer
    :ivar lose_answers: number of further transactions whose answer is lost
    :ivar late_s: delay after which a transaction with a lost answer takes effect
    :ivar rows_per_second: rows that may be written each second, 0 for no limit
    """

    down: bool = False
    stalled: bool = False
    refused: list[str] = field(default_factory=list)
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    rows_per_second: float = 0.0


@dataclass(slots=True)
class StoredRow:
    """A row, or the tombstone of a removed row."""

    version: int
    value: str
    removed: bool = False


class StoreState:
    """Rows of all tables, and the log of their changes."""

    def __init__(self) -> None:
        self.rows: dict[RowName, StoredRow] = {}
        self.version = 0
        self.log: list[tuple[int, RowName]] = []
        self.faults = StoreFaults()
        self.blobs: dict[str, bytes] = {}
        self.transactions = 0
        self.rows_written = 0
        self.reads = 0
        self.changed = asyncio.Event()
        self._write_window = -1
        self._window_rows = 0

    def put(self, table: str, part: str, key: str, value: str) -> int:
        """Write a row without a transaction, as the operator or a worker does."""
        self._commit({(table, part, key): value}, [])
        return self.version

    def admit_rows(self, count: int) -> bool:
        """Count rows against the write limit, if it allows them within this second.

        :return: whether the rows may be written
        """
        limit = self.faults.rows_per_second
        window = int(time.monotonic())
        if window != self._write_window:
            self._write_window, self._window_rows = window, 0
        if limit and self._window_rows + count > limit:
            return False
        self._window_rows += count
        return True

    def apply(self, body: dict[str, Any]) -> list[RowName] | None:
        """Apply a transaction.

        :return: ``None``, or the rows of all preconditions when one does not hold
        """
        expected = [(_row_name(row), row["Ver"]) for row in body.get("ExpectedRev", [])]
        for name, version in expected:
            row = self.rows.get(name)
            found_version = row.version if row and not row.removed else 0
            if found_version != version:
                return [name for name, _ in expected]
        writes = {_row_name(row): row["Value"] for row in body.get("Writes", [])}
        self._commit(writes, [_row_name(row) for row in body.get("Remove", [])])
        return None

    def _commit(self, writes: dict[RowName, str], removed: list[RowName]) -> None:
        self.version += 1
        self.rows_written += len(writes) + len(removed)
        for name, value in writes.items():
            self.rows[name] = StoredRow(self.version, value)
            self.log.append((self.version, name))
        for name in removed:
            self.rows[name] = StoredRow(self.version, "", removed=True)
            self.log.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def encode_row(self, name: RowName) -> dict[str, Any]:
        """Encode a row for an answer."""
        row = self.rows[name]
        plain: dict[str, Any] = dict(zip(("Table", "part", "Key"), name, strict=True))
        plain["Ver"] = row.version
        if row.removed:
            plain["Removed"] = True
        else:
            plain["Value"] = row.value
        return plain

    def changes(self, table: str, version: int) -> list[RowName]:
        """Return the names of the rows of a table that changed after a version."""
        start = bisect.bisect_right(self.log, version, key=lambda entry: entry[0])
        names = [name for _, name in self.log[start:] if name[0] == table]
        return list(dict.fromkeys(names))


def create_store_app(state: StoreState, more_routes: Iterable[Route] = ()) -> Starlette:
    """Create the HTTP application of the stand-in.

    :param more_routes: routes that take precedence over the store's own
    """
    app = Starlette(
        routes=[
            *more_routes,
            Route("/chivetray/rows-tx", _transact, methods=["POST"]),
            Route("/chivetray/rows-get", _get_rows),
            Route("/chivetray/rows-parts", _get_parts),
            Route("/chivetray/rows-feed", _get_changes),
            Route("/chivetray/blob-put/{name}", _put_blob, methods=["PUT"]),
            Route("/chivetray/blob-get/{name}", _get_blob),
            Route("/standin/put", _put_row, methods=["POST"]),
            Route("/standin/faults", _set_faults, methods=["POST"]),
        ]
    )
    app.state.store = state
    return app


def _state(request: Request) -> StoreState:
    state = request.app.state.store
    assert isinstance(state, StoreState)
    return state


def _json_response(
    state: StoreState, body: dict[str, Any], status: int = 200
) -> Response:
    now_ms = int(time.monotonic() * 1000)
    content = orjson.dumps({"Ver": state.version, "NowMs": now_ms, **body})
    return Response(content, status, media_type="application/json")


def _row_name(row: dict[str, Any]) -> RowName:
    return (row["Table"], row.get("part", ""), row["Key"])


async def _inject_faults(request: Request) -> Response | None:
    state = _state(request)
    if state.faults.stalled:
        await asyncio.sleep(STALL_S)
    if state.faults.delay_s:
        await asyncio.sleep(state.faults.delay_s)
    caller_address = request.client.host if request.client else ""
    if state.faults.down or caller_address in state.faults.refused:
        return _json_response(state, {}, 503)
    return None


async def _transact(request: Request) -> Response:
    state = _state(request)
    body = orjson.loads(await request.body())
    if refusal := await _inject_faults(request):
        return refusal
    entries = [
        item
        for key in ("ExpectedRev", "Writes", "Remove")
        for item in body.get(key, [])
    ]
    changed = body.get("Writes", []) + body.get("Remove", [])
    if any(entry["Table"] in READ_ONLY_TABLES for entry in changed):
        return _json_response(state, {}, 403)
    if (
        len(entries) > ENTRIES_LIMIT
        or len({item.get("part", "") for item in entries}) > 1
    ):
        return _json_response(state, {}, 400)
    if any(len(row["Value"]) > ROW_BYTES for row in body.get("Writes", [])):
        return _json_response(state, {}, 400)
    if not state.admit_rows(len(changed)):
        return _json_response(state, {}, 429)
    state.transactions += 1
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        await asyncio.sleep(state.faults.late_s)
        state.apply(body)
        await asyncio.sleep(STALL_S)
    conflicting = state.apply(body)
    if conflicting is None:
        return _json_response(state, {})
    existing = [
        row for row in conflicting if row in state.rows and not state.rows[row].removed
    ]
    return _json_response(
        state, {"rows": [state.encode_row(name) for name in existing]}, 412
    )


async def _get_rows(request: Request) -> Response:
    state = _state(request)
    if refusal := await _inject_faults(request):
        return refusal
    state.reads += 1
    query = request.query_params
    table, part = query["Table"], query.get("part", "")
    start, end = query.get("From", ""), query.get("To", "")
    limit = min(PAGE_ROWS, int(query.get("Limit", PAGE_ROWS)))
    names = sorted(
        name
        for name, row in state.rows.items()
        if name[:2] == (table, part)
        and not row.removed
        and name[2] >= start
        and (not end or name[2] < end)
    )
    rows = [state.encode_row(name) for name in names[:limit]]
    return _json_response(state, {"rows": rows, "HasMore": len(names) > limit})


async def _get_parts(request: Request) -> Response:
    state = _state(request)
    if refusal := await _inject_faults(request):
        return refusal
    # The platform calls the last partition already read "DependsOn".
    table, after = request.query_params["Table"], request.query_params.get("DependsOn")
    nonempty = {
        name[1]
        for name, row in state.rows.items()
        if name[0] == table and not row.removed
    }
    parts = sorted(part for part in nonempty if after is None or part > after)
    return _json_response(state, {"parts": parts[:1000], "HasMore": len(parts) > 1000})


async def _get_changes(request: Request) -> Response:
    state = _state(request)
    if refusal := await _inject_faults(request):
        return refusal
    state.reads += 1
    query = request.query_params
    # The platform calls the version after which changes are wanted "DependsOn".
    table, version = query["Table"], int(query["DependsOn"])
    deadline_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
    names = state.changes(table, version)
    while not names and (left_s := deadline_s - time.monotonic()) > 0:
        changed = state.changed
        try:
            await asyncio.wait_for(changed.wait(), left_s)
        except TimeoutError:
            break
        names = state.changes(table, version)
    return _json_response(state, {"rows": [state.encode_row(name) for name in names]})


async def _put_blob(request: Request) -> Response:
    state = _state(request)
    if refusal := await _inject_faults(request):
        return refusal
    state.blobs[request.path_params["name"]] = await request.body()
    return _json_response(state, {})


async def _get_blob(request: Request) -> Response:
    state = _state(request)
    if refusal := await _inject_faults(request):
        return refusal
    content = state.blobs.get(request.path_params["name"])
    return _json_response(state, {}, 404) if content is None else Response(content)


async def _put_row(request: Request) -> Response:
    """Write a row without a transaction, as the operator or a worker does."""
    state = _state(request)
    body = orjson.loads(await request.body())
    state.put(body["Table"], body.get("part", ""), body["Key"], body["Value"])
    return _json_response(state, {})


async def _set_faults(request: Request) -> Response:
    state = _state(request)
    state.faults = StoreFaults(**orjson.loads(await request.body()))
    return _json_response(state, {})
