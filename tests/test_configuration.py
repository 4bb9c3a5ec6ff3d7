"""The configuration in force at a manager."""

from __future__ import annotations

import asyncio
import json
import time
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from api_helpers import KEY_A, operator_config
from virtual_loop import START_S, virtual_time

from chivetray import events
from chivetray.cells import configuration
from chivetray.cells.config_exchange import CONTENT_CALL
from chivetray.cells.configuration import Configuration
from chivetray.organisations.keys import digest_key
from chivetray.peers.codec import encode_content
from chivetray.peers.mesh import CALL_TIMEOUT_S
from chivetray.platform.store import Changes, Row, RowId, StoreUnavailableError
from chivetray.platform.stored_records import decode_config


def config_row(number: int, content: bytes = b"") -> Row:
    """Return the row of a configuration with one queue."""
    plain = {
        "Version": number,
        "Routes": [{"Host": "h", "PathPrefix": f"/v{number}/", "Service": "pool-a"}],
    }
    value = content or json.dumps(plain).encode()
    return Row(RowId("op", "", "config"), value, number)


class Feed:
    """A store whose feed answers with prepared changes and then stays silent.

    :ivar loaded: row that the table has when it is read, another than ``row``
    """

    def __init__(self, row: Row, *changes: Changes):
        self.row = row
        self.prepared = list(changes)
        self.readings = 0
        self.row_readings = 0
        self.wave_readings = 0
        self.loaded: Row | None = None

    async def read(self, *where: object) -> tuple[list[Row], int]:
        self.readings += 1
        if "wave/" in where:
            self.wave_readings += 1
            return [], self.row.version
        return [self.loaded or self.row], self.row.version

    async def read_row(self, _: RowId) -> Row:
        self.row_readings += 1
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


class TestLookups:
    # Guards against CONFIG: each call and each part of a cell took a time that grew
    # with the number of routes.
    def test_they_find_what_a_search_through_all_queues_finds(self) -> None:
        routes = [
            {
                "Host": f"H{number % 7}.example",
                "PathPrefix": "/" + "ab/" * (number % 4),
                "Service": f"pool-{number}",
            }
            for number in range(40)
        ]
        config = Configuration(None, lambda: None)  # type: ignore[arg-type]
        config._apply_config(json.dumps({"Version": 1, "Routes": routes}).encode())
        assert config.current is not None
        queues = sorted(config.current.queues, key=lambda q: -len(q.path_prefix))
        for host in ("h3.example", "H3.example:8080", "h6.example", "none"):
            for path in ("/", "/ab/", "/ab/ab/x", "/ab/ab/ab/y", "/c", ""):
                name = host.lower().split(":")[0]
                expected = [
                    queue
                    for queue in queues
                    if queue.host == name and path.startswith(queue.path_prefix)
                ]
                found = config.find_queue(host, path)
                assert found == (expected[0] if expected else None)
        for queue in queues:
            first = next(q.service for q in queues if q.key == queue.key)
            assert config.service_of(queue.key) == first
        assert config.service_of("none") is None

    def test_a_version_that_is_in_force_is_not_decoded_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        config = Configuration(None, lambda: None)  # type: ignore[arg-type]
        decoded: list[bytes] = []

        def decode(content: bytes) -> Any:
            decoded.append(content)
            return decode_config(content)

        monkeypatch.setattr(configuration, "decode_config", decode)
        for version in (2, 2, 1, 3):
            config._apply_config(operator_config(version))
        assert len(decoded) == 2 and config.version == 3


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


class FailingFeed(Feed):
    """A store whose feed fails while its table can be read."""

    def __init__(self, row: Row, answered: bool):
        super().__init__(row)
        self.answered = answered

    async def changes(self, *_: object) -> Changes:
        await anyio.sleep(0.1)
        raise StoreUnavailableError("no change", self.answered)


class TestFailingFeed:
    def follow(self, answered: bool) -> tuple[int, int]:
        """Return how often the table was read in 10 s, and the version in force."""
        store = FailingFeed(config_row(1), answered)

        async def main() -> int:
            config = Configuration(store, lambda: None)  # type: ignore[arg-type]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                await anyio.sleep(1.0)
                store.row = config_row(2)
                await anyio.sleep(9.0)
                tasks.cancel_scope.cancel()
            return config.version

        with virtual_time() as loop:
            version = loop.run_until_complete(main())
        return store.readings - store.wave_readings, version

    # Guards against CONFIG: after each failure of the feed the whole table was read
    # again, over links that were full already.
    def test_a_feed_that_is_rejected_goes_on_where_it_was(self) -> None:
        assert self.follow(answered=True) == (1, 1)

    def test_the_table_is_read_in_turn_with_a_feed_that_is_silent(self) -> None:
        readings, version = self.follow(answered=False)
        assert 2 <= readings <= 20 and version == 2


class RejectingStore(Feed):
    """A store that rejects reads, or does not answer them, from some moment on."""

    def __init__(self, row: Row, hangs: bool):
        super().__init__(row)
        self.hangs = hangs

    async def read_row(self, _: RowId) -> Row:
        if self.hangs:
            await anyio.sleep(60)
        raise StoreUnavailableError("rejected")


class PeerMesh:
    """A mesh with peers that have versions in force.

    :ivar sent: encoded answers of the peers
    """

    def __init__(self, **contents: bytes):
        self.handlers: dict[str, Any] = {}
        self.zone = "z1"
        self.peers = {
            name: SimpleNamespace(name=name, zone="z1", capacity=1000)
            for name in contents
        }
        self.sent: list[bytes] = []
        self._peers = {name: make_peer(text) for name, text in contents.items()}

    def answer_from(self, delay_s: float, name: str, content: bytes) -> None:
        """Let a peer have a content only after some time."""

        async def answer(peer: str, argument: Any) -> Any:
            if asyncio.get_running_loop().time() - START_S < delay_s:
                await anyio.sleep(CALL_TIMEOUT_S)
                return None
            return await make_peer(content).handlers[CONTENT_CALL](peer, argument)

        self._peers[name].handlers[CONTENT_CALL] = answer

    async def call(
        self, name: str, kind: str, argument: Any, _timeout_s: float = 0.0
    ) -> Any:
        if kind not in self._peers[name].handlers:
            await anyio.sleep(0.8)
            return None
        answer = await self._peers[name].handlers[kind]("m1", argument)
        self.sent.append(encode_content(answer))
        return answer


def make_peer(content: bytes) -> Any:
    """Return the mesh of a peer; one of an earlier build if it has no content."""
    mesh = SimpleNamespace(handlers={})
    if content:
        config = Configuration(None, lambda: None)  # type: ignore[arg-type]
        config.connect(mesh)  # type: ignore[arg-type]
        config._apply_config(content)
    return mesh


def ask(mesh: PeerMesh, store: Feed, announced: dict[str, int]) -> Configuration:
    """Hear of versions while the store does not serve; return what is in force."""
    with virtual_time() as loop:
        return loop.run_until_complete(follow_versions(mesh, store, announced))


async def follow_versions(
    mesh: PeerMesh, store: Feed, announced: dict[str, int]
) -> Configuration:
    config = Configuration(store, lambda: None)  # type: ignore[arg-type]
    config.connect(mesh)  # type: ignore[arg-type]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(config.run)
        await anyio.sleep(1.0)
        for peer, version in announced.items():
            config.note_peer_version(version, peer)
        # A heartbeat may take 1.2 s of the 3 s to a manager without cells.
        await anyio.sleep(1.8)
        tasks.cancel_scope.cancel()
    return config


class TestContentOfAPeer:
    """A manager that the store rejects kept accepting revoked keys."""

    @pytest.mark.parametrize("hangs", [False, True])
    def test_it_is_in_force_in_time_and_holds_no_key(self, hangs: bool) -> None:
        rows = [{"Name": "a", "ApiKeys": ["new-key"]}]
        mesh = PeerMesh(m2=operator_config(2, Tenants=rows))
        store = RejectingStore(config_row(1, operator_config(1)), hangs)
        config = ask(mesh, store, {"m2": 2})
        assert config.version == 2 and config.current is not None
        assert config.current.key_owners == {digest_key(b"new-key"): "a"}
        assert config.revoked_keys[digest_key(KEY_A.encode())] == "a"
        assert mesh.sent and not any(b"new-key" in sent for sent in mesh.sent)

    def test_peers_that_cannot_send_it_do_not_hold_up_others(self) -> None:
        mesh = PeerMesh(m2=b"", m3=operator_config(2))
        store = RejectingStore(config_row(1, operator_config(1)), False)
        assert ask(mesh, store, {"m2": 2, "m3": 2, "gone": 9}).version == 2

    # Guards against CONFIG: the row would be read only after 0.8 s for each of them.
    def test_many_peers_that_do_not_answer_do_not_keep_the_row_away(self) -> None:
        names = [f"p{number}" for number in range(20)]
        mesh = PeerMesh(**dict.fromkeys(names, b""))
        store = Feed(config_row(2, operator_config(2)))
        store.loaded = config_row(1, operator_config(1))
        assert ask(mesh, store, dict.fromkeys(names, 2)).version == 2

    def test_a_peer_that_is_behind_its_word_changes_nothing(self) -> None:
        mesh = PeerMesh(m2=operator_config(2))
        store = RejectingStore(config_row(3, operator_config(3)), False)
        assert ask(mesh, store, {"m2": 4}).version == 3

    def test_a_version_that_is_in_force_is_not_requested(self) -> None:
        mesh = PeerMesh(m2=operator_config(2))
        store = Feed(config_row(2, operator_config(2)))
        assert ask(mesh, store, {"m2": 2}).version == 2
        assert not mesh.sent

    # Guards against CONFIG: the row and the contents of peers came side by side over
    # the same narrow link.
    def test_the_row_is_not_read_beside_the_content_of_a_peer(self) -> None:
        mesh = PeerMesh(m2=operator_config(2))
        store = Feed(config_row(1, operator_config(1)))
        assert ask(mesh, store, {"m2": 2}).version == 2
        assert len(mesh.sent) == 1 and store.row_readings == 0

    def test_content_that_a_peer_has_from_a_peer_is_passed_on(self) -> None:
        mesh = PeerMesh(m2=operator_config(2))
        store = RejectingStore(config_row(1, operator_config(1)), False)
        ask(mesh, store, {"m2": 2})
        answer = asyncio.run(mesh.handlers[CONTENT_CALL]("m3", 1))
        assert asyncio.run(mesh.handlers[CONTENT_CALL]("m3", 2)) is None
        config = Configuration(None, lambda: None)  # type: ignore[arg-type]
        config._apply_config(answer)
        assert config.version == 2 and config.current is not None
        assert config.current.key_owners[digest_key(KEY_A.encode())] == "a"


class TestTransfers:
    """The log told neither which way a version came nor which ways had failed."""

    def test_each_way_leaves_its_end_and_the_time_behind(self) -> None:
        seen: list[tuple[str, dict[str, Any]]] = []

        def observe(event: events.Event, fields: Any) -> None:
            seen.append((event.name, dict(fields)))

        mesh = PeerMesh(m2=b"", m3=b"")
        mesh.answer_from(1.2, "m3", operator_config(2))
        store = RejectingStore(config_row(1, operator_config(1)), False)
        with virtual_time() as loop:
            events.observe_events(observe)
            loop.run_until_complete(follow_versions(mesh, store, {"m3": 2}))
        ends = [fields for name, fields in seen if name == "CONFIG_TRANSFER"]
        assert {(end["way"], end["verdict"]) for end in ends} >= {
            ("table", "received"),
            ("peer", "failed"),
            ("row", "failed"),
            ("peer", "received"),
        }
        (behind,) = [fields for name, fields in seen if name == "CONFIG_BEHIND"]
        assert behind == {"version": 1, "known": 2, "peer": "m3"}
        applied = [fields for name, fields in seen if name == "CONFIG_APPLIED"]
        received = ends[-1]
        assert applied[-1]["behind_s"] >= received["took_s"]
        assert received["size_bytes"] > 0

    def test_it_is_not_behind_once_the_version_is_in_force(self) -> None:
        mesh = PeerMesh(m2=operator_config(2))
        store = Feed(config_row(1, operator_config(1)))
        config = Configuration(store, lambda: None)  # type: ignore[arg-type]
        config.connect(mesh)  # type: ignore[arg-type]
        config._apply_config(operator_config(1))
        assert config.behind_s == 0.0
        config.note_peer_version(2, "m2")
        time.sleep(0.01)
        assert config.behind_s > 0.0
        config._apply_config(operator_config(2))
        assert config.behind_s == 0.0


class TestWavesOfARejectedManager:
    """Its feed fails, and waves come through a peer."""

    def test_they_are_read_and_removed(self) -> None:
        class WaveStore(Feed):
            async def read(self, *_: object) -> tuple[list[Row], int]:
                return [self.row] if self.row.value else [], 1

        class RejectingFeed(Feed):
            async def changes(self, *_: object) -> Changes:
                raise StoreUnavailableError("rejected")

        async def main() -> list[list[str]]:
            wave = {"Wave": 1, "Machines": ["a"], "DurationS": 5, "Cap": 1}
            row = Row(RowId("op", "", "wave/1"), json.dumps(wave).encode(), 3)
            waves = WaveStore(row)
            store = RejectingFeed(config_row(1))
            config = Configuration(store, lambda: None, waves)  # type: ignore[arg-type]
            seen = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                for value in (row.value, b""):
                    waves.row = Row(row.id, value, 3)
                    await anyio.sleep(2.5)
                    seen.append(sorted(config.waves))
                tasks.cancel_scope.cancel()
            return seen

        with virtual_time() as loop:
            assert loop.run_until_complete(main()) == [["wave/1"], []]

    def test_an_answer_that_the_feed_has_overtaken_changes_nothing(self) -> None:
        wave = {"Wave": 1, "Machines": ["a"], "DurationS": 5, "Cap": 1}
        row = Row(RowId("op", "", "wave/1"), json.dumps(wave).encode(), 3)

        class SlowWaves(Feed):
            async def read(self, *_: object) -> tuple[list[Row], int]:
                await anyio.sleep(1.0)
                return [], 1

        class RecoveringFeed(Feed):
            async def changes(self, *_: object) -> Changes:
                if self.prepared:
                    self.prepared.pop()
                    raise StoreUnavailableError("rejected", answered=True)
                await anyio.sleep(60.0 if self.readings > 1 else 0.2)
                self.readings = 2
                return Changes([row], 3)

        async def main() -> list[str]:
            store = RecoveringFeed(config_row(1), Changes([], 1))
            waves = SlowWaves(config_row(1))
            config = Configuration(store, lambda: None, waves)  # type: ignore[arg-type]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                await anyio.sleep(0.9)
                assert sorted(config.waves) == ["wave/1"]
                await anyio.sleep(0.15)
                seen = sorted(config.waves)
                tasks.cancel_scope.cancel()
            return seen

        with virtual_time() as loop:
            assert loop.run_until_complete(main()) == ["wave/1"]
