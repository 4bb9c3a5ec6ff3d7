from __future__ import annotations

from functools import partial

import anyio
import pytest
from returns.result import Failure, Success

from chivetray.platform import maintenance, revisions
from chivetray.platform.client import ABSENT, PlatformClient, Response, RowWrite
from chivetray.results import ResultCode


class CannedClient(PlatformClient):
    """Client that gets one answer to every call."""

    def __init__(self, status: int, content: bytes):
        self._answer = Response(status, content)

    async def _send(self, method, path, body):
        return Success(self._answer)


async def call_all(client: PlatformClient):
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
        for result in anyio.run(call_all, CannedClient(200, content)):
            assert isinstance(result, Failure)
            assert not result.failure().answered

    def test_error_status_is_a_refusal(self):
        for result in anyio.run(call_all, CannedClient(500, b"")):
            assert isinstance(result, Failure)
            assert result.failure().answered


class TestDamagedRows:
    """Rows that are not as this version writes them."""

    @pytest.mark.parametrize(
        "read",
        [
            maintenance.read_under_way,
            maintenance.read_budgets,
            maintenance.read_drains,
            maintenance.read_loads,
            partial(maintenance.read_done, wave="k"),
            partial(maintenance.read_acks, vm="k"),
            partial(revisions.read_after, number=1),
            partial(revisions.read_history, limit=5),
        ],
    )
    def test_damaged_row_is_a_failure_and_not_a_crash(self, read):
        rows = b'{"rows": [{"key": "k/1", "version": 1, "value": {"x": 1}}], '
        client = CannedClient(200, rows + b'"version": 1, "value": {}}')
        result = anyio.run(read, client)
        assert isinstance(result, Failure)
        assert result.failure().code is ResultCode.CONTENT_DAMAGED
