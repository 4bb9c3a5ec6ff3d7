"""Contents of the configuration that managers send each other in pieces."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from narrow_links import make_config
from virtual_loop import virtual_time

from chivetray.cells.config_exchange import (
    CONTENT_CALL,
    MAX_SERVED_PEERS,
    PIECE_BYTES,
    ContentExchange,
    Fetch,
    FetchVerdict,
    rank_peers,
)
from chivetray.cells.configuration import Configuration
from chivetray.peers.codec import decode_content, encode_content
from chivetray.peers.mesh import CALL_TIMEOUT_S
from chivetray.platform.store import Changes, Row, RowId, StoreUnavailableError

ROUTES = 1450

Handler = Callable[[str, Any], Awaitable[Any]]


class Wire:
    """A mesh whose peers answer with handlers; it counts what passes.

    :ivar answers: encoded answers by peer
    """

    zone = "z1"

    def __init__(self, name: str = "m1"):
        self.name = name
        self.handlers: dict[str, Handler] = {}
        self.peers: dict[str, Any] = {}
        self.answers: dict[str, list[bytes]] = {}

    def add(self, name: str, handler: Handler, capacity: int = 100) -> None:
        self.peers[name] = SimpleNamespace(
            name=name, zone="z1", capacity=capacity, handler=handler
        )
        self.answers[name] = []

    async def call(
        self, name: str, _kind: str, argument: Any, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        argument = decode_content(encode_content(argument))
        with anyio.move_on_after(timeout_s):
            answer = await self.peers[name].handler(self.name, argument)
            content = encode_content(answer)
            self.answers[name].append(content)
            return decode_content(content)
        return None


def handler_of(version: int, content: bytes) -> Handler:
    """Return the handler of a peer that has a version in force."""
    wire = Wire()
    ContentExchange(wire, lambda: (version, content))  # type: ignore[arg-type]
    return wire.handlers[CONTENT_CALL]


def failing_after(handler: Handler, pieces: int) -> Handler:
    """Return a handler that falls silent after some answers."""
    left = [pieces]

    async def answer(peer: str, argument: Any) -> Any:
        left[0] -= 1
        if left[0] < 0:
            await anyio.sleep(60)
        return await handler(peer, argument)

    return answer


def fetch_from(wire: Wire, *peers: str, version: int = 1) -> list[Fetch]:
    """Request the content from peers, one after the other."""

    async def main() -> list[Fetch]:
        exchange = ContentExchange(wire, lambda: (version, b""))  # type: ignore[arg-type]
        return [await exchange.fetch(peer, version) for peer in peers]

    with virtual_time() as loop:
        return loop.run_until_complete(main())


class TestPieces:
    def test_a_content_arrives_whole_in_small_messages(self) -> None:
        wire, content = Wire(), make_config(2, ROUTES)
        wire.add("m2", handler_of(2, content))
        (fetch,) = fetch_from(wire, "m2")
        assert fetch == Fetch(FetchVerdict.RECEIVED, content)
        sizes = [len(answer) for answer in wire.answers["m2"]]
        assert max(sizes) < PIECE_BYTES + 100
        assert sum(sizes) < len(content) / 2

    # Guards against CONFIG: a content that one peer had begun to send began again at
    # the next one.
    def test_another_peer_continues_what_one_has_begun(self) -> None:
        wire, handler = Wire(), handler_of(2, make_config(2, ROUTES))
        wire.add("m2", failing_after(handler, 2))
        wire.add("m3", handler)
        first, second = fetch_from(wire, "m2", "m3")
        assert first.verdict == FetchVerdict.NO_ANSWER
        assert second.content == make_config(2, ROUTES)
        wire.add("m4", handler)
        fetch_from(wire, "m4")
        assert len(wire.answers["m3"]) == len(wire.answers["m4"]) - 2

    def test_a_newer_content_of_another_peer_begins_anew(self) -> None:
        wire = Wire()
        wire.add("m2", failing_after(handler_of(2, make_config(2, ROUTES)), 2))
        wire.add("m3", handler_of(3, make_config(3, 2 * ROUTES)))
        _, second = fetch_from(wire, "m2", "m3")
        assert second.content == make_config(3, 2 * ROUTES)

    def test_a_content_that_ends_early_never_counts(self) -> None:
        handler = handler_of(2, make_config(2, ROUTES))

        async def shorten(peer: str, argument: Any) -> Any:
            kind, digest, _, start, data = await handler(peer, argument)
            return [kind, digest, len(data), start, data]

        wire = Wire()
        wire.add("m2", shorten)
        (fetch,) = fetch_from(wire, "m2")
        assert fetch == Fetch(FetchVerdict.DAMAGED)

    def test_a_damaged_piece_never_counts(self) -> None:
        handler = handler_of(2, make_config(2, ROUTES))

        async def damage(peer: str, argument: Any) -> Any:
            kind, digest, size, start, data = await handler(peer, argument)
            return [kind, digest, size, start, bytes([data[0] ^ 1]) + data[1:]]

        wire = Wire()
        wire.add("m2", damage)
        wire.add("m3", handler)
        damaged, whole = fetch_from(wire, "m2", "m3")
        assert damaged == Fetch(FetchVerdict.DAMAGED)
        assert whole.content == make_config(2, ROUTES)

    @pytest.mark.parametrize(
        "answer",
        [
            7,
            "piece",
            [],
            ["piece"],
            ["piece", b"d", 9, 5, b"x"],
            ["piece", b"d", 9, 0, b""],
            ["piece", "d", 9, 0, b"x"],
            [None, b"d", 9, 0, b"x"],
        ],
    )
    def test_an_odd_answer_ends_the_request(self, answer: Any) -> None:
        async def handler(_peer: str, _argument: Any) -> Any:
            return answer

        wire = Wire()
        wire.add("m2", handler)
        (fetch,) = fetch_from(wire, "m2")
        assert fetch == Fetch(FetchVerdict.DAMAGED)

    @pytest.mark.parametrize(
        "argument", [None, "x", [], [1], [1, b"", -5], ["1", b"", 0], [1, "", 0]]
    )
    def test_an_odd_request_gets_no_content(self, argument: Any) -> None:
        handler = handler_of(2, make_config(2, 3))
        assert asyncio.run(handler("m9", argument)) is None

    def test_a_peer_without_anything_newer_says_so(self) -> None:
        wire = Wire()
        wire.add("m2", handler_of(1, make_config(1, 3)))
        (fetch,) = fetch_from(wire, "m2")
        assert fetch == Fetch(FetchVerdict.CURRENT)


class TestServing:
    def test_only_some_peers_are_served_at_a_time(self) -> None:
        async def main() -> tuple[list[Any], Any]:
            handler = handler_of(2, make_config(2, ROUTES))
            names = [f"p{number}" for number in range(MAX_SERVED_PEERS + 1)]
            answers = [await handler(name, [1, b"", 0]) for name in names]
            # The others have not asked for their next piece.
            await anyio.sleep(1.0)
            return answers, await handler(names[-1], [1, b"", 0])

        with virtual_time() as loop:
            answers, later = loop.run_until_complete(main())
        assert [answer[0] for answer in answers] == ["piece"] * MAX_SERVED_PEERS + [
            "busy"
        ]
        assert later[0] == "piece"

    def test_a_content_is_compressed_once_for_all_peers(self) -> None:
        wire = Wire()
        exchange = ContentExchange(wire, lambda: (2, make_config(2, 3)))  # type: ignore[arg-type]
        handler = wire.handlers[CONTENT_CALL]
        asyncio.run(handler("m2", [1, b"", 0]))
        packed = exchange._packed
        asyncio.run(handler("m3", [1, b"", 0]))
        assert exchange._packed is packed


class TestOrder:
    def test_the_newest_version_goes_first_then_the_widest_link(self) -> None:
        wire = Wire()
        for name, capacity in (("narrow", 100), ("wide", 2000), ("newest", 50)):
            wire.add(name, handler_of(2, b""), capacity)
        versions = {"narrow": 2, "wide": 2, "newest": 3, "gone": 9}
        ranked = rank_peers(wire, versions)  # type: ignore[arg-type]
        assert ranked == ["newest", "wide", "narrow"]

    def test_equal_peers_are_asked_in_any_order(self) -> None:
        wire = Wire()
        for number in range(8):
            wire.add(f"m{number}", handler_of(2, b""))
        random.seed(1)
        versions = dict.fromkeys(wire.peers, 2)
        first = {rank_peers(wire, versions)[0] for _ in range(100)}  # type: ignore[arg-type]
        assert len(first) > 4


class TestEarlierReleases:
    """They know a request with the version alone, and send the whole content."""

    def test_their_content_is_received(self) -> None:
        async def answer_whole(_peer: str, version: Any) -> Any:
            if not isinstance(version, int) or version >= 2:
                return None
            return make_config(2, 3)

        wire = Wire()
        wire.add("m2", answer_whole)
        (fetch,) = fetch_from(wire, "m2")
        assert fetch == Fetch(FetchVerdict.RECEIVED, make_config(2, 3))

    def test_they_are_sent_the_whole_content(self) -> None:
        handler = handler_of(2, make_config(2, ROUTES))
        assert asyncio.run(handler("old", 1)) == make_config(2, ROUTES)
        assert asyncio.run(handler("old", 2)) is None


class SlowStore:
    """A store whose feed shows a row after some time."""

    def __init__(self, row: Row, newer: Row, after_s: float):
        self.row, self.newer, self.after_s = row, newer, after_s

    async def read(self, *_: object) -> tuple[list[Row], int]:
        return [self.row], self.row.version

    async def read_row(self, _: RowId) -> Row:
        raise StoreUnavailableError("rejected")

    async def changes(self, _table: str, version: int, _wait_ms: int) -> Changes:
        if version < self.newer.version:
            await anyio.sleep(self.after_s)
            return Changes([self.newer], self.newer.version)
        await anyio.sleep(60)
        return Changes([], version)


def row_of(version: int) -> Row:
    return Row(RowId("op", "", "config"), make_config(version, ROUTES), version)


class TestTwoWaysAtOnce:
    """The feed brings one version while a peer sends another."""

    def follow(self, peer_version: int, row_version: int) -> list[int]:
        """Return the versions that come into force, in order."""
        handler = handler_of(peer_version, make_config(peer_version, ROUTES))

        async def answer_slowly(peer: str, argument: Any) -> Any:
            await anyio.sleep(0.4)
            return await handler(peer, argument)

        async def main() -> list[int]:
            wire = Wire()
            wire.add("m2", answer_slowly)
            store = SlowStore(row_of(1), row_of(row_version), after_s=1.0)
            versions: list[int] = []
            config = Configuration(
                store,  # type: ignore[arg-type]
                lambda: versions.append(config.version),
            )
            config.connect(wire)  # type: ignore[arg-type]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                await anyio.sleep(0.5)
                config.note_peer_version(peer_version, "m2")
                await anyio.sleep(4.0)
                tasks.cancel_scope.cancel()
            return versions

        with virtual_time() as loop:
            return loop.run_until_complete(main())

    def test_an_older_content_of_a_slow_peer_changes_nothing(self) -> None:
        assert self.follow(peer_version=2, row_version=3) == [1, 3]

    def test_a_newer_content_of_a_slow_peer_follows_the_row(self) -> None:
        assert self.follow(peer_version=3, row_version=2) == [1, 2, 3]

    def test_the_same_version_is_put_in_force_once(self) -> None:
        assert self.follow(peer_version=2, row_version=2) == [1, 2]
