"""Stand-in of the platform's store, in memory, that can be told to fail."""

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

# Entries of one transaction and rows of one page.
ENTRIES_LIMIT = 100
PAGE_ROWS = 500

# Tables that only the operator and the workers write.
FOREIGN_TABLES = ("op", "servers")

# Time for which an answer that is lost stays away.
STALL_S = 3600.0

Name = tuple[str, str, str]


@dataclass(slots=True)
class StoreFaults:
    """Faults that the stand-in shows.

    :ivar down: refuse every call with 503
    :ivar stalled: accept calls and never answer
    :ivar refused: addresses that are refused while others are served
    :ivar delay_s: time before each answer
    :ivar lose_answers: number of the next transactions whose answer is lost
    :ivar late_s: with it, time after which such a transaction takes effect, 0 for
        at once
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
    """A row, or the mark of a removed one."""

    version: int
    value: str
    removed: bool = False


class StoreState:
    """Rows of all tables and the order in which they changed."""

    def __init__(self) -> None:
        self.rows: dict[Name, StoredRow] = {}
        self.version = 0
        self.log: list[tuple[int, Name]] = []
        self.faults = StoreFaults()
        self.blobs: dict[str, bytes] = {}
        self.transactions = 0
        self.rows_written = 0
        self.reads = 0
        self.changed = asyncio.Event()
        self._write_window = -1
        self._window_rows = 0

    def put(self, table: str, part: str, key: str, value: str) -> int:
        """Write a row as the operator or a worker does."""
        self._next({(table, part, key): value}, [])
        return self.version

    def admit_rows(self, count: int) -> bool:
        """Return whether the write limit allows some more rows now."""
        limit = self.faults.rows_per_second
        window = int(time.monotonic())
        if window != self._write_window:
            self._write_window, self._window_rows = window, 0
        if limit and self._window_rows + count > limit:
            return False
        self._window_rows += count
        return True

    def apply(self, body: dict[str, Any]) -> list[Name] | None:
        """Carry out a transaction; return the rows to show when it is refused."""
        expected = [(_name(row), row["Ver"]) for row in body.get("ExpectedRev", [])]
        for name, version in expected:
            row = self.rows.get(name)
            found = row.version if row and not row.removed else 0
            if found != version:
                return [name for name, _ in expected]
        writes = {_name(row): row["Value"] for row in body.get("Writes", [])}
        self._next(writes, [_name(row) for row in body.get("Remove", [])])
        return None

    def _next(self, writes: dict[Name, str], removed: list[Name]) -> None:
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

    def show(self, name: Name) -> dict[str, Any]:
        """Return a row as it is sent."""
        row = self.rows[name]
        plain: dict[str, Any] = dict(zip(("Table", "part", "Key"), name, strict=True))
        plain["Ver"] = row.version
        if row.removed:
            plain["Removed"] = True
        else:
            plain["Value"] = row.value
        return plain

    def changes(self, table: str, version: int) -> list[Name]:
        """Return the rows of a table that changed after a version."""
        start = bisect.bisect_right(self.log, version, key=lambda entry: entry[0])
        names = [name for _, name in self.log[start:] if name[0] == table]
        return list(dict.fromkeys(names))


def create_store_app(state: StoreState, more_routes: Iterable[Route] = ()) -> Starlette:
    """Return the HTTP application of the stand-in."""
    app = Starlette(
        routes=[
            *more_routes,
            Route("/chivetray/rows-tx", _transact, methods=["POST"]),
            Route("/chivetray/rows-get", _read),
            Route("/chivetray/rows-parts", _parts),
            Route("/chivetray/rows-feed", _feed),
            Route("/chivetray/blob-put/{name}", _put_blob, methods=["PUT"]),
            Route("/chivetray/blob-get/{name}", _get_blob),
            Route("/standin/put", _put, methods=["POST"]),
            Route("/standin/faults", _set_faults, methods=["POST"]),
        ]
    )
    app.state.store = state
    return app


def _state(request: Request) -> StoreState:
    state = request.app.state.store
    assert isinstance(state, StoreState)
    return state


def _answer(state: StoreState, body: dict[str, Any], status: int = 200) -> Response:
    now_ms = int(time.monotonic() * 1000)
    content = orjson.dumps({"Ver": state.version, "NowMs": now_ms, **body})
    return Response(content, status, media_type="application/json")


def _name(row: dict[str, Any]) -> Name:
    return (row["Table"], row.get("part", ""), row["Key"])


async def _refusal(request: Request) -> Response | None:
    state = _state(request)
    if state.faults.stalled:
        await asyncio.sleep(STALL_S)
    if state.faults.delay_s:
        await asyncio.sleep(state.faults.delay_s)
    caller = request.client.host if request.client else ""
    if state.faults.down or caller in state.faults.refused:
        return _answer(state, {}, 503)
    return None


async def _transact(request: Request) -> Response:
    state = _state(request)
    body = orjson.loads(await request.body())
    if refusal := await _refusal(request):
        return refusal
    entries = [e for n in ("ExpectedRev", "Writes", "Remove") for e in body.get(n, [])]
    changed = body.get("Writes", []) + body.get("Remove", [])
    if any(entry["Table"] in FOREIGN_TABLES for entry in changed):
        return _answer(state, {}, 403)
    if len(entries) > ENTRIES_LIMIT or len({e.get("part", "") for e in entries}) > 1:
        return _answer(state, {}, 400)
    if not state.admit_rows(len(changed)):
        return _answer(state, {}, 429)
    state.transactions += 1
    if state.faults.lose_answers > 0:
        state.faults.lose_answers -= 1
        await asyncio.sleep(state.faults.late_s)
        state.apply(body)
        await asyncio.sleep(STALL_S)
    refused = state.apply(body)
    if refused is None:
        return _answer(state, {})
    shown = [n for n in refused if n in state.rows and not state.rows[n].removed]
    return _answer(state, {"rows": [state.show(name) for name in shown]}, 412)


async def _read(request: Request) -> Response:
    state = _state(request)
    if refusal := await _refusal(request):
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
    rows = [state.show(name) for name in names[:limit]]
    return _answer(state, {"rows": rows, "HasMore": len(names) > limit})


async def _parts(request: Request) -> Response:
    state = _state(request)
    if refusal := await _refusal(request):
        return refusal
    table, after = request.query_params["Table"], request.query_params.get("DependsOn")
    live = {n[1] for n, row in state.rows.items() if n[0] == table and not row.removed}
    parts = sorted(part for part in live if after is None or part > after)
    return _answer(state, {"parts": parts[:1000], "HasMore": len(parts) > 1000})


async def _feed(request: Request) -> Response:
    state = _state(request)
    if refusal := await _refusal(request):
        return refusal
    state.reads += 1
    query = request.query_params
    table, version = query["Table"], int(query["DependsOn"])
    deadline_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
    names = state.changes(table, version)
    while not names and (left_s := deadline_s - time.monotonic()) > 0:
        event = state.changed
        try:
            await asyncio.wait_for(event.wait(), left_s)
        except TimeoutError:
            break
        names = state.changes(table, version)
    return _answer(state, {"rows": [state.show(name) for name in names]})


async def _put_blob(request: Request) -> Response:
    state = _state(request)
    if refusal := await _refusal(request):
        return refusal
    state.blobs[request.path_params["name"]] = await request.body()
    return _answer(state, {})


async def _get_blob(request: Request) -> Response:
    state = _state(request)
    if refusal := await _refusal(request):
        return refusal
    content = state.blobs.get(request.path_params["name"])
    return _answer(state, {}, 404) if content is None else Response(content)


async def _put(request: Request) -> Response:
    """Write a row as the operator or a worker does."""
    state = _state(request)
    body = orjson.loads(await request.body())
    state.put(body["Table"], body.get("part", ""), body["Key"], body["Value"])
    return _answer(state, {})


async def _set_faults(request: Request) -> Response:
    state = _state(request)
    state.faults = StoreFaults(**orjson.loads(await request.body()))
    return _answer(state, {})
