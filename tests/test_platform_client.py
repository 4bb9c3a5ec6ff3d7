from __future__ import annotations

import base64
import json
from functools import partial

import anyio
import pytest
from returns.result import Failure

from chivetray.platform.calls import Answer, CallSession, NotSent
from chivetray.platform.store import (
    ABSENT,
    PAGE_BYTES,
    PAGE_ROWS,
    TRANSACTION_ENTRIES_LIMIT,
    Changes,
    Committed,
    Conflict,
    OutcomeUnknown,
    Refused,
    Row,
    RowId,
    Store,
)
from chivetray.platform.values import decode_object
from chivetray.records import maintenance, revisions
from chivetray.records.client import RecordClient, RowWrite
from chivetray.results import ResultCode


class CannedSession(CallSession):
    """Connections on which every call gets one answer."""

    def __init__(self, status: int, content: bytes):
        self._answer = Answer(status, decode_object(content) or {}, 0.0, content)

    async def call(self, *_args, **_kwargs):
        return self._answer


def canned_client(status: int, content: bytes) -> RecordClient:
    client = RecordClient("http://platform", 1.0, None)
    session = CannedSession(status, content)
    client._opened = session, Store(session, "platform")
    return client


async def call_all(client: RecordClient):
    write = RowWrite("t", "k", ABSENT, {})
    return [
        await client.read_row("t", "k"),
        await client.list_rows("t"),
        await client.write_each([write]),
    ]


class TestUnreadableAnswers:
    @pytest.mark.parametrize(
        "content", [b"", b"not json", b"[]", b"{}", b'{"rows": 1, "results": []}']
    )
    def test_unreadable_answer_is_a_failure_that_may_have_taken_effect(self, content):
        for result in anyio.run(call_all, canned_client(200, content)):
            assert isinstance(result, Failure)
            assert not result.failure().answered

    def test_error_status_is_a_refusal(self):
        for result in anyio.run(call_all, canned_client(500, b"")):
            assert isinstance(result, Failure)
            assert result.failure().answered


class TestClosedSession:
    """Guards against a process that stops with an error in a loop that still polls."""

    def test_a_call_on_it_is_not_sent(self):
        async def scenario():
            session = CallSession.open()
            await session.aclose()
            return await session.call("GET", "http://127.0.0.1:9/", 1.0)

        assert isinstance(anyio.run(scenario), NotSent)


class TestDamagedRows:
    """Rows that are not as this version writes them."""

    @pytest.mark.parametrize(
        "read",
        [
            maintenance.read_active_wave_vms,
            maintenance.read_budgets,
            maintenance.read_drains,
            maintenance.read_loads,
            partial(maintenance.read_done, wave="k"),
            partial(maintenance.read_acks, vm="k"),
            partial(revisions.read_after, number=1),
            partial(revisions.read_history, limit=5),
        ],
    )
    @pytest.mark.parametrize("content", [b'{"x": 1}', b"[]", b"no json"])
    def test_damaged_row_is_a_failure_and_not_a_crash(self, read, content):
        value = base64.b64encode(content).decode()
        row = {"Table": "t", "part": "entry", "Key": "k/1", "Ver": 1, "Value": value}
        client = canned_client(200, json.dumps({"rows": [row], "Ver": 1}).encode())
        result = anyio.run(read, client)
        assert isinstance(result, Failure)
        assert result.failure().code is ResultCode.CONTENT_DAMAGED


class Versions(Store):
    """A store in memory that carries out transactions."""

    def __init__(self, *lost: str):
        self.rows: dict[RowId, int] = {}
        self.lost = list(lost)
        self.version = 0

    async def transact(self, expected, writes, removed=()):
        assert len({row.part for row in expected}) == 1
        assert 2 * len(expected) <= TRANSACTION_ENTRIES_LIMIT
        if self.lost:
            kind = self.lost.pop(0)
            return Refused("down") if kind == "refused" else OutcomeUnknown("silence")
        if any(self.rows.get(row, 0) != found for row, found in expected.items()):
            found = [
                Row(row, b"", self.rows[row]) for row in expected if row in self.rows
            ]
            return Conflict({row.id: row for row in found})
        self.version += 1
        self.rows |= dict.fromkeys(writes, self.version)
        return Committed(self.version)


def write_each(store, writes):
    async def main():
        client = RecordClient("http://platform", 1.0, None)
        client._opened = CannedSession(200, b""), store
        return await client.write_each(writes)

    return anyio.run(main)


class TestIndependentWrites:
    """Rows that are written in one call, each on its own condition."""

    def test_a_conflict_keeps_only_its_own_row_from_being_written(self):
        store = Versions()
        writes = [RowWrite("claims", f"k{n}", ABSENT, {}) for n in range(120)]
        store.rows[writes[7].row_id] = 5
        results = write_each(store, writes).unwrap()
        assert [n for n, result in enumerate(results) if not result.written] == [7]
        assert results[7].version == 5

    def test_of_two_writes_that_create_one_row_one_is_written(self):
        """Both once counted as written, since a transaction names a row once."""
        writes = [RowWrite("claims", "k", ABSENT, {"mark": n}) for n in range(3)]
        results = write_each(Versions(), writes).unwrap()
        assert [result.written for result in results] == [True, False, False]

    def test_a_refusal_beside_a_written_row_is_not_a_refusal_of_all(self):
        writes = [RowWrite("claims", f"k{n}", ABSENT, {}) for n in range(20)]
        failure = write_each(Versions("refused"), writes).failure()
        assert not failure.answered

    def test_a_refusal_of_all_is_answered(self):
        writes = [RowWrite("t", f"k{n}", ABSENT, {}) for n in range(20)]
        assert write_each(Versions("refused"), writes).failure().answered

    def test_a_lost_answer_is_not_answered(self):
        writes = [RowWrite("t", "k", ABSENT, {})]
        assert not write_each(Versions("lost"), writes).failure().answered


def read_changes(rows: list[tuple[int, bytes]], **fields: object) -> Changes:
    """Return the changes in an answer with rows of some versions and values."""
    encoded = [
        {"Table": "t", "Key": f"k{number}", "Ver": version, "Value": value}
        for number, (version, value) in enumerate(
            (version, base64.b64encode(value).decode()) for version, value in rows
        )
    ]
    content = json.dumps({"Ver": 9000, "rows": encoded, **fields}).encode()
    store = Store(CannedSession(200, content), "platform")
    return anyio.run(store.changes, "t", 10, 0)


class TestPagesOfChanges:
    """Changes past the end of a page were taken for read."""

    @pytest.mark.parametrize(
        ("rows", "fields"),
        [
            ([(11 + number, b"") for number in range(PAGE_ROWS)], {}),
            ([(20, b"x" * PAGE_BYTES)], {}),
            ([(20, b"")], {"HasMore": True}),
        ],
        ids=["rows", "bytes", "flag"],
    )
    def test_a_full_page_is_continued_within_its_last_transaction(
        self, rows: list[tuple[int, bytes]], fields: dict[str, object]
    ) -> None:
        changes = read_changes(rows, **fields)
        assert changes.has_more
        assert changes.version == rows[-1][0] - 1

    def test_a_short_page_ends_at_the_version_of_the_store(self) -> None:
        changes = read_changes([(20, b"")])
        assert not changes.has_more
        assert changes.version == 9000

    def test_a_page_of_one_transaction_is_not_read_for_ever(self) -> None:
        assert read_changes([(11, b"x" * PAGE_BYTES)]).version == 11
