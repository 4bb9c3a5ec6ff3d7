"""The configuration in force at a manager."""

from __future__ import annotations

import asyncio
import json
import time

import anyio

from chivetray.cells.configuration import Configuration
from chivetray.platform.store import Changes, Row, RowId, StoreUnavailableError


def config_row(number: int, content: bytes = b"") -> Row:
    """Return the row of a configuration with one queue."""
    plain = {
        "Version": number,
        "Routes": [{"Host": "h", "PathPrefix": f"/v{number}/", "Service": "pool-a"}],
    }
    value = content or json.dumps(plain).encode()
    return Row(RowId("op", "", "config"), value, number)


class Feed:
    """A store whose feed answers with prepared changes and then stays silent."""

    def __init__(self, row: Row, *changes: Changes):
        self.row = row
        self.prepared = list(changes)
        self.readings = 0

    async def read(self, *_: object) -> tuple[list[Row], int]:
        self.readings += 1
        return [self.row], self.row.version

    async def read_row(self, _: RowId) -> Row:
        return self.row

    async def changes(self, *_: object) -> Changes:
        if self.prepared:
            return self.prepared.pop(0)
        await anyio.sleep(60)
        raise StoreUnavailableError("the feed is silent")


def follow(store: Feed, act=lambda config: None, wait_s: float = 0.2) -> Configuration:
    """Follow a store for a while, with an action in between."""

    async def main() -> Configuration:
        config = Configuration(store, lambda: None)  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(config.run)
            await anyio.sleep(wait_s)
            act(config)
            await anyio.sleep(wait_s)
            tasks.cancel_scope.cancel()
        return config

    return asyncio.run(main())


class TestVersions:
    def test_a_newer_one_is_in_force_as_soon_as_the_feed_shows_it(self) -> None:
        config = follow(Feed(config_row(1), Changes([config_row(4)], 4)))
        assert config.version == 4
        assert config.find_queue("h", "/v4/x") is not None

    def test_an_older_one_never_comes_back(self) -> None:
        changes = [Changes([config_row(4)], 4), Changes([config_row(3)], 5)]
        config = follow(Feed(config_row(1), *changes))
        assert config.version == 4
        assert config.find_queue("h", "/v3/x") is None

    def test_one_that_cannot_be_read_changes_nothing(self) -> None:
        for content in (b"no json", b"[]", b'{"Version": "9"}', b'{"Routes": [1]}'):
            damaged = Changes([config_row(9, content)], 9)
            assert follow(Feed(config_row(1), damaged)).version == 1


class TestSilentFeed:
    def test_a_version_that_a_peer_has_is_read_at_once(self) -> None:
        """Waiting for an unresponsive feed would take its whole timeout."""
        store = Feed(config_row(1))

        def hear(config: Configuration) -> None:
            store.row = config_row(2)
            config.note_peer_version(2)

        began_s = time.monotonic()
        assert follow(store, hear).version == 2
        assert time.monotonic() - began_s < 1.0

    def test_an_older_version_of_a_peer_is_no_reason_to_read(self) -> None:
        store = Feed(config_row(3))

        def hear(config: Configuration) -> None:
            store.row = config_row(9)
            config.note_peer_version(3)

        assert follow(store, hear).version == 3

    def test_after_lost_history_everything_is_read_anew(self) -> None:
        store = Feed(config_row(3), Changes([], 0, history_gone=True))
        assert follow(store).version == 3
        assert store.readings == 2
