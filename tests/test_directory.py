"""Loading a cell from a store that answers with an older state."""

from __future__ import annotations

import asyncio
import time
from typing import ClassVar

import pytest

from chivetray.cells.directory import RENEWAL_PROOF_S, CellDirectory, Renewal
from chivetray.cells.state import CellState
from chivetray.cells.tables import Ownership
from chivetray.clocks import boot_time_s
from chivetray.platform.store import Changes, Row, RowId, StoreUnavailableError


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


class RenewalStore:
    """A store with one renewal row.

    :param delay_s: time that a reading takes
    :param renews: whether each reading finds a newer row
    """

    def __init__(self, delay_s: float = 0.0, renews: bool = False):
        self.delay_s = delay_s
        self.renews = renews
        self.version = 5

    async def read_row(self, row: RowId) -> Row:
        await asyncio.sleep(self.delay_s)
        self.version += self.renews
        return Row(row, b"", self.version)


def prove(store: RenewalStore, watched_s: float | None) -> tuple[bool, float]:
    """Return whether a cell may be taken, and the time that the answer took.

    :param watched_s: time since the owner's renewals were first read, if they were
    """

    class Mesh:
        name = "p"
        incarnation = "1"
        peers: ClassVar[dict[str, object]] = {}

    async def main() -> tuple[bool, float]:
        directory = CellDirectory.__new__(CellDirectory)
        directory._store = store  # type: ignore[assignment]
        directory._mesh = Mesh()  # type: ignore[assignment]
        directory.owned = {}
        directory._renewals = {}
        directory._unclaimed_since_s = {}
        if watched_s is not None:
            read_at_s = boot_time_s() - watched_s
            directory._renewals["a"] = Renewal(store.version, read_at_s, 0.0)
        began_s = time.monotonic()
        may = await directory._may_take("a", Ownership(1, "q", "1"))
        return may, time.monotonic() - began_s

    return asyncio.run(main())


class TestSilentOwner:
    def test_renewals_read_while_it_was_suspected_are_the_proof(self) -> None:
        """The proof once began only after the silence: 2.7 s until a cell was taken."""
        may, took_s = prove(RenewalStore(), watched_s=RENEWAL_PROOF_S)
        assert may
        assert took_s < 0.3

    def test_without_them_a_renewal_is_waited_for(self) -> None:
        may, took_s = prove(RenewalStore(), watched_s=None)
        assert may
        assert took_s >= RENEWAL_PROOF_S

    def test_an_owner_that_renews_keeps_its_cell(self) -> None:
        assert not prove(RenewalStore(renews=True), watched_s=RENEWAL_PROOF_S)[0]

    def test_a_slow_store_makes_the_proof_longer(self) -> None:
        may, took_s = prove(RenewalStore(delay_s=0.4), watched_s=None)
        assert may
        assert took_s >= RENEWAL_PROOF_S + 2 * 0.4
