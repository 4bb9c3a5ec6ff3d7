"""Duties of entries while rows cannot be written, are many, or belong to no wave."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Failure, Success

from chivetray.duties import loads, sweeper, waves
from chivetray.duties.loads import LoadWriter
from chivetray.duties.sweeper import Sweeper
from chivetray.duties.waves import EntryWaveRunner


class TestLoadThatCannotBeWritten:
    @pytest.mark.parametrize("outcome", [Failure("away"), Success(False)])
    def test_its_peak_is_part_of_the_next_write(
        self, monkeypatch: Any, outcome: Any
    ) -> None:
        written: list[dict[str, int]] = []
        outcomes = [outcome, Success(True)]

        async def replace_row(_client: Any, _table: Any, _key: Any, value: Any) -> Any:
            written.append(value["busy_slots"])
            return outcomes.pop(0)

        monkeypatch.setattr(loads, "replace_row", replace_row)
        writer = LoadWriter(None, None, "e1", None, dict)  # type: ignore[arg-type]
        writer._peak_busy_slots = Counter({"pool": 7})
        asyncio.run(writer._write())
        writer._peak_busy_slots |= Counter({"pool": 3})
        asyncio.run(writer._write())
        assert written == [{"pool": 7}, {"pool": 7}]


class TestMoreExpiredClaimsThanOneSweepDeletes:
    def test_the_next_sweep_goes_on_where_this_one_ended(
        self, monkeypatch: Any
    ) -> None:
        claims = [
            SimpleNamespace(key=f"k{n}", expires_at_s=0, removal=lambda n=n: f"k{n}")
            for n in range(5)
        ]
        deleted: list[str] = []

        async def read_page(_client: Any, cursor: str) -> Any:
            return Success([claim for claim in claims if claim.key > cursor])

        async def delete_rows(writes: list[str]) -> None:
            deleted.extend(writes[:2])

        monkeypatch.setattr(sweeper, "read_claim_page", read_page)
        settings = SimpleNamespace(sweep_rows=2)
        swept = Sweeper(None, settings, "e1", None, None, list)  # type: ignore[arg-type]
        swept._delete_rows = delete_rows  # type: ignore[assignment,method-assign]
        for _ in range(3):
            asyncio.run(swept._sweep_claims())
        assert deleted == ["k0", "k1", "k2", "k3", "k4"]


class TestWaveThatIsRemovedDuringAStep:
    def test_no_drain_begins(self, monkeypatch: Any) -> None:
        """The duty once ended with a KeyError."""
        runner = EntryWaveRunner.__new__(EntryWaveRunner)

        async def read_rows(_name: str) -> Any:
            return SimpleNamespace()

        runner._read_rows = read_rows  # type: ignore[method-assign]
        runner._wave_inputs = lambda *_: SimpleNamespace(  # type: ignore[method-assign,assignment]
            catalog=SimpleNamespace(waves={})
        )
        monkeypatch.setattr(waves, "plan_wave", lambda *_: pytest.fail("planned"))
        asyncio.run(runner._start_drain("gone", SimpleNamespace(name="vm")))  # type: ignore[arg-type]
