"""Rows of managers that cannot be decoded, and other errors of one cell."""

from __future__ import annotations

import asyncio

import msgpack
import pytest
from cell_helpers import CELL, World, job
from hypothesis import given
from hypothesis import strategies as st
from test_review_35 import make_directory

from chivetray.cells.state import CellState
from chivetray.cells.tables import Ownership
from chivetray.events import Event
from chivetray.jobs.job import FORMAT_VERSION

json_like = st.recursive(
    st.none() | st.integers(-5, 9) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=20,
)


class TestDamagedOwnerRow:
    """Guards against one damaged row that ends the process which reads it."""

    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"\xc1",
            msgpack.packb("damaged"),
            msgpack.packb("damage"),
            msgpack.packb([1, "m", "i", False, ["w"], 7.4]),
            msgpack.packb([1, "m", "i", False, {"w": "x"}, 7.4]),
            msgpack.packb([1, "m", "i", False, {}, 7.4, {"w": None}]),
            msgpack.packb([1, "m", "i", False, {}, 7.4, {}, 1]),
        ],
    )
    def test_it_names_no_owner(self, content: bytes) -> None:
        assert Ownership.decode(content) is None

    def test_a_row_of_an_earlier_release_is_read(self) -> None:
        found = Ownership.decode(msgpack.packb([3, "m", "i", True, {"w": 2.5}]))
        assert found is not None
        assert (found.epoch, found.leases_s) == (3, {"w": 2.5})


class TestDamagedProgressRow:
    """Guards against one damaged row that ends the process which loads its cell."""

    @given(st.binary(max_size=40) | json_like.map(msgpack.packb))
    def test_its_job_is_loaded_without_progress(self, content: bytes) -> None:
        state = CellState(CELL)
        state.restore_job(job(), content, 1, 0.0)
        assert job().job_id in state.jobs

    def test_a_phase_that_is_not_known_is_damage(self) -> None:
        """It once raised a KeyError in every process that loaded the cell."""
        task = [0, 0, 0, 99, 1, 0, "w0", 1, "", "a:1", [], []]
        content = msgpack.packb([FORMAT_VERSION, 1, 0, [], [task]])
        state = CellState(CELL)
        state.restore_job(job(), content, 1, 0.0)
        assert job().job_id in state.jobs


class TestErrorInTheOwnerOfACell:
    """Guards against one error that takes a whole process down."""

    def test_it_costs_the_ownership_of_that_cell_alone(self, logged) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            directory = make_directory(world, "p")
            owner = await world.own()
            directory.owned_cells[CELL] = owner
            owner._on_lost = directory._remove_owner

            def fail(*_: object) -> None:
                raise KeyError("a value that nobody expected")

            owner.state.expire_leases = fail  # type: ignore[method-assign]
            await directory._run_owner(owner)
            assert owner.lost
            assert not directory.owned_cells

        asyncio.run(scenario())
        assert logged.of(Event.CELL_FAILED)
