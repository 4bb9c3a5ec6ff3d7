"""Loading a cell from a store that answers with an older state."""

from __future__ import annotations

import asyncio
import time

import pytest

from chivetray.cells.directory import CellDirectory
from chivetray.cells.state import CellState
from chivetray.platform.store import Changes, StoreUnavailableError


class OldStore:
    """A store whose reads show the version given."""

    def __init__(self, version: int, delay_s: float = 0.0, parts: int = 1):
        self.version = version
        self.delay_s = delay_s
        self.part_names = [f"q{number}" for number in range(parts)]

    async def read(self, *_: object) -> tuple[list[object], int]:
        await asyncio.sleep(self.delay_s)
        return [], self.version

    async def parts(self, *_: object) -> list[str]:
        return self.part_names


def load(version: int, delay_s: float = 0.0, parts: int = 1) -> None:
    directory = CellDirectory.__new__(CellDirectory)
    directory._store = OldStore(version, delay_s, parts)  # type: ignore[assignment]
    directory.scanned_version = 0
    asyncio.run(directory._load(CellState("pool-a"), guard_version=10))


class TestStaleReads:
    def test_a_state_from_before_the_take_over_is_not_used(self) -> None:
        with pytest.raises(StoreUnavailableError):
            load(9)

    def test_a_state_from_after_it_is_used(self) -> None:
        load(10)


class TestSlowStore:
    def test_the_queues_of_a_cell_are_read_together(self) -> None:
        """One after another they once took seconds while the store was slow."""
        began_s = time.monotonic()
        load(10, delay_s=0.2, parts=9)
        assert time.monotonic() - began_s < 1.0


class TestHistoryThatIsGone:
    def test_everything_is_read_once_and_then_only_changes(self) -> None:
        """The old version was once kept, so that each scan read everything anew."""

        class Forgetful(OldStore):
            async def changes(self, table: str, version: int, wait_ms: int) -> Changes:
                gone = version < 20
                return Changes([], 0 if gone else version, history_gone=gone)

        class Owner:
            state = CellState("pool-a")
            guard_version = 10

            def wake(self) -> None:
                pass

        directory = CellDirectory.__new__(CellDirectory)
        directory._store = Forgetful(30)  # type: ignore[assignment]
        directory.owned = {"pool-a": Owner()}  # type: ignore[dict-item]
        directory.scanned_version = 5
        asyncio.run(directory.scan())
        assert directory.scanned_version == 30
