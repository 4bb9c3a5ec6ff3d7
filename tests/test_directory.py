"""Loading a cell from a store that answers with an older state."""

from __future__ import annotations

import asyncio

import pytest

from chivetray.cells.directory import CellDirectory
from chivetray.cells.state import CellState
from chivetray.platform.store import StoreUnavailableError


class OldStore:
    """A store whose reads show the version given."""

    def __init__(self, version: int):
        self.version = version

    async def read(self, *_: object) -> tuple[list[object], int]:
        return [], self.version

    async def parts(self, *_: object) -> list[str]:
        return ["q"]


def load(version: int) -> None:
    directory = CellDirectory.__new__(CellDirectory)
    directory._store = OldStore(version)  # type: ignore[assignment]
    directory.scanned_version = 0
    asyncio.run(directory._load(CellState("pool-a"), guard_version=10))


class TestStaleReads:
    def test_a_state_from_before_the_take_over_is_not_used(self) -> None:
        with pytest.raises(StoreUnavailableError):
            load(9)

    def test_a_state_from_after_it_is_used(self) -> None:
        load(10)
