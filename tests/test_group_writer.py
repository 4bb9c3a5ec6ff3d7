from __future__ import annotations

from functools import partial

import anyio
import pytest
from returns.result import Failure, Success

from chivetray.exceptions import PlatformError
from chivetray.generated.settings import ClaimSettings
from chivetray.platform.store import ABSENT
from chivetray.records.client import Row, RowWrite, RowWritten
from chivetray.records.group_writer import GroupWriter, RowRateLimiter, WriteState
from chivetray.results import ResultCode


class FakeTable:
    """Table service in memory whose next calls fail as told."""

    def __init__(self, *failures: str):
        self.rows: dict[str, Row] = {}
        self.failures = list(failures)
        self.batches: list[int] = []
        self.version = 0

    async def write_each(self, writes):
        self.batches.append(len(writes))
        failure = self.failures.pop(0) if self.failures else ""
        if failure == "refused":
            return self._fail(answered=True)
        if failure == "lost before":
            return self._fail(answered=False)
        results = [self._write(write) for write in writes]
        return (
            self._fail(answered=False) if failure == "lost after" else Success(results)
        )

    def _write(self, write):
        row = self.rows.get(write.key)
        if (row.version if row else ABSENT) != write.expected_version:
            return RowWritten(row.version if row else ABSENT, False)
        self.version += 1
        self.rows[write.key] = Row(write.key, self.version, write.value)
        return RowWritten(self.version, True)

    async def read_row(self, table, key):
        return Success(self.rows.get(key))

    def _fail(self, answered):
        return Failure(PlatformError(ResultCode.PLATFORM_UNAVAILABLE, "no", answered))


def run(table, use, **settings):
    async def main():
        writer = GroupWriter(table, ClaimSettings(**settings))
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.run)
                result = await use(writer)
                tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


async def write_all(writer, count, mark="m", limit_s=5.0, prefix="k"):
    give_up_at_s = anyio.current_time() + limit_s
    pending = [
        writer.enqueue(
            RowWrite("claims", f"{prefix}{n}", ABSENT, {"mark": mark}), give_up_at_s
        )
        for n in range(count)
    ]
    for item in pending:
        await item.done.wait()
    return [item.state for item in pending]


class TestGroupWriter:
    def test_writes_share_calls(self):
        table = FakeTable()
        states = run(table, partial(write_all, count=50), rows_per_second=1000)
        assert states == [WriteState.WRITTEN] * 50
        assert table.batches == [32, 18]

    @pytest.mark.parametrize("failure", ["refused", "lost before", "lost after"])
    def test_failed_call_ends_in_one_write(self, failure):
        table = FakeTable(failure, failure)
        assert run(table, partial(write_all, count=3)) == [WriteState.WRITTEN] * 3
        assert table.version == 3

    @pytest.mark.parametrize("failure", ["", "lost before", "lost after"])
    def test_row_of_another_is_a_conflict(self, failure):
        table = FakeTable()
        run(table, partial(write_all, count=1, mark="other"))
        table.failures = [failure]
        states = run(table, partial(write_all, count=2))
        assert states == [WriteState.CONFLICT, WriteState.WRITTEN]

    def test_late_write_is_given_up_unsent(self):
        table = FakeTable()
        states = run(table, partial(write_all, count=1, limit_s=0.0))
        assert states == [WriteState.GIVEN_UP]
        assert table.batches == []

    def test_rows_per_second_are_limited(self):
        async def timed(writer):
            started_s = anyio.current_time()
            await write_all(writer, 60)
            return anyio.current_time() - started_s

        # 20 rows are allowed at once, the other 40 take two seconds.
        assert run(FakeTable(), timed, rows_per_second=20) >= 1.9


class TestRowRateLimiter:
    def test_allowance_never_exceeds_one_second(self):
        limiter = RowRateLimiter(10)
        assert limiter.take(100, 50.0) == 10
        assert limiter.take(100, 50.5) == 5
        assert limiter.take(100, 99.0) == 10
