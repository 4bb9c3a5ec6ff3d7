"""Stand-in of the platform's store and of its list of machines, in memory."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any

from net import Answer, Call

# Usual time of an answer, and most bytes of a row as it is sent.
ANSWER_S = 0.004
ROW_BYTES = 65536
PAGE_ROWS = 500
RowName = tuple[str, str, str]


def encode(plain: Any) -> str:
    """Return a value as rows hold it."""
    return base64.b64encode(json.dumps(plain).encode()).decode()


class Store:
    """Rows with versions.

    :ivar lose: tells for the writes of a call whether its answer is lost, and after how
        many seconds the call is then carried out; ``None`` for a call that is answered
    :ivar answer_s: time of an answer
    """

    def __init__(self) -> None:
        self.rows: dict[RowName, tuple[int, str | None]] = {}
        self.version = 0
        self.answer_s = ANSWER_S
        self.lose: Callable[[list[RowName]], float | None] = lambda _names: None
        self.machines: Callable[[], list[dict[str, Any]]] = list
        self.log: list[tuple[int, RowName]] = []
        self.writes = self.lost = 0
        self._changed = asyncio.Event()
        self._open: set[asyncio.Task[None]] = set()

    def put(self, table: str, key: str, plain: Any) -> None:
        """Write a row as the operator or a worker does."""
        self._commit({(table, "", key): encode(plain)}, [])

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the operator or a worker does."""
        self._commit({}, [(table, "", key)])

    def _commit(self, writes: dict[RowName, str], removed: list[RowName]) -> None:
        self.version += 1
        for name in (*writes, *removed):
            self.rows[name] = (self.version, writes.get(name))
            self.log.append((self.version, name))
        self._changed.set()
        self._changed = asyncio.Event()

    def _plain(self, name: RowName) -> dict[str, Any]:
        version, value = self.rows[name]
        plain = dict(zip(("Table", "part", "Key"), name, strict=True))
        return {
            **plain,
            "Ver": version,
            **({"Removed": True} if value is None else {"Value": value}),
        }

    def _body(self, **fields: Any) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {"Ver": self.version, "NowMs": now_ms, **fields}

    async def handle(self, call: Call) -> Answer:
        """Answer one call."""
        if call.path == "/chivetray/rows-feed":
            return await self._feed(call.query)
        if call.path == "/chivetray/rows-tx":
            return await self._transact(call.body)
        await asyncio.sleep(self.answer_s)
        if call.path == "/chivetray/rows-get":
            return 200, self._get(call.query)
        if call.path == "/chivetray/rows-parts":
            after = call.query.get("DependsOn")
            found = {n[1] for n, row in self.rows.items() if row[1] is not None
                     and n[0] == call.query["Table"]}  # fmt: skip
            parts = sorted(p for p in found if after is None or p > after)
            more = len(parts) > 1000
            return 200, self._body(parts=parts[:1000], HasMore=more)
        if call.path == "/chivetray/machines":
            return 200, {"Machines": self.machines(), "NextToken": ""}
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        start, end = query.get("From", ""), query.get("To", "")
        place = (query["Table"], query.get("part", ""))
        names = sorted(
            name
            for name, row in self.rows.items()
            if name[:2] == place
            and row[1] is not None
            and name[2] >= start
            and (not end or name[2] < end)
        )
        limit = min(PAGE_ROWS, int(query.get("Limit") or PAGE_ROWS))
        rows = [self._plain(name) for name in names[:limit]]
        return self._body(rows=rows, HasMore=len(names) > limit)

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["Table"], int(query["DependsOn"])
        until_s = time.monotonic() + int(query.get("WaitMs") or 0) / 1000
        await asyncio.sleep(self.answer_s)
        while True:
            changed = self._changed
            found = {n for v, n in self.log if v > after and n[0] == table}
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        names = sorted(found, key=lambda name: self.rows[name][0])
        return 200, self._body(rows=[self._plain(name) for name in names])

    def _apply(self, body: dict[str, Any]) -> list[RowName] | None:
        expected = [(_name(row), row["Ver"]) for row in body.get("ExpectedRev") or []]
        for name, version in expected:
            row = self.rows.get(name)
            if (row[0] if row and row[1] is not None else 0) != version:
                return [name for name, _ in expected]
        writes = {_name(row): row["Value"] for row in body.get("Writes") or []}
        self._commit(writes, [_name(row) for row in body.get("Remove") or []])
        return None

    async def _apply_late(self, body: dict[str, Any], after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._apply(body)

    async def _transact(self, body: dict[str, Any]) -> Answer:
        names = [_name(row) for row in body.get("Writes") or []]
        for row in body.get("Writes") or []:
            if row["Table"] in ("op", "servers"):
                return 403, self._body()
            if len(row["Value"]) > ROW_BYTES:
                return 400, self._body()
        self.writes += 1
        late_s = self.lose(names)
        if late_s is not None:
            self.lost += 1
            task = asyncio.create_task(self._apply_late(body, late_s))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            # Nothing more comes on this channel.
            await asyncio.sleep(3600)
        await asyncio.sleep(self.answer_s)
        conflicting = self._apply(body)
        if conflicting is None:
            return 200, self._body()
        known = [n for n in conflicting if n in self.rows]
        rows = [self._plain(n) for n in known if self.rows[n][1] is not None]
        return 412, self._body(rows=rows)


def _name(row: dict[str, Any]) -> RowName:
    return row["Table"], row.get("part") or "", row["Key"]
