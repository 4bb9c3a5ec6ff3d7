"""Rows of managers that cannot be decoded."""

from __future__ import annotations

import msgpack
import pytest

from chivetray.cells.tables import Ownership


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
