"""Access to the store through a peer while the store rejects direct calls."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import replace
from typing import Any

import pytest
from api_helpers import KEY_A, operator_config

from chivetray.cells.store_access import StoreAccess
from chivetray.generated.messages import NodeHeartbeat
from chivetray.peers.mesh import Mesh, Peer
from chivetray.platform.calls import Answer, NoAnswer, NotSent, Outcome
from chivetray.platform.store import (
    Committed,
    OutcomeUnknown,
    Refused,
    RowId,
    StoreUnavailableError,
)
from chivetray.platform.stored_records import decode_config

ROW = RowId("jobs", "q", "k")


class Session:
    """A session whose outcome is given."""

    def __init__(self, outcome: Outcome):
        self.outcome = outcome
        self.calls = 0

    async def call(self, *_: Any, **_options: Any) -> Outcome:
        self.calls += 1
        return self.outcome


class OnePeerMesh(Mesh):
    """A mesh with one peer, whose answer is given."""

    def __init__(self, answer: Any):
        super().__init__("m1", "z1", "i1", "a:1", lambda: None, lambda: None)  # type: ignore[arg-type,return-value]
        beat = NodeHeartbeat(
            config_version=1,
            leaving=False,
            store_reached=True,
            capacity=1000,
            interval_ms=400,
            claims=[],
        )
        self.peers["m2"] = Peer("m2", "z1", "i2", "b:1", None, True, 0.0, beat)  # type: ignore[arg-type]
        self.answer = answer
        self.asked = 0

    async def call(self, *_: Any) -> Any:
        self.asked += 1
        return self.answer


def access(outcome: Outcome, answer: Any) -> tuple[StoreAccess, OnePeerMesh, Session]:
    session = Session(outcome)
    store = StoreAccess(session, "store")  # type: ignore[arg-type]
    mesh = OnePeerMesh(answer)
    store.connect(mesh, lambda: None)
    return store, mesh, session


class TestDetour:
    @pytest.mark.parametrize(
        "refusal", [NotSent("refused"), Answer(503, {}), Answer(429, {})]
    )
    def test_a_write_that_was_turned_away_goes_through_a_peer(self, refusal) -> None:
        store, mesh, _ = access(refusal, ["answer", 200, {"Ver": 7}])
        outcome = asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert outcome == Committed(7)
        assert mesh.asked == 1

    def test_a_write_without_answer_is_not_sent_a_second_time(self) -> None:
        store, mesh, _ = access(NoAnswer("lost"), ["answer", 200, {"Ver": 7}])
        outcome = asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert isinstance(outcome, OutcomeUnknown)
        assert mesh.asked == 0

    def test_a_peer_that_does_not_answer_leaves_a_write_unknown(self) -> None:
        store, _, _ = access(Answer(503, {}), None)
        outcome = asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert isinstance(outcome, OutcomeUnknown)

    def test_without_a_peer_that_is_served_a_write_is_refused(self) -> None:
        store, mesh, _ = access(Answer(503, {}), None)
        mesh.peers.clear()
        outcome = asyncio.run(store.transact({ROW: 0}, {ROW: b"x"}))
        assert isinstance(outcome, Refused)

    def test_reads_go_through_a_peer_when_there_is_no_answer(self) -> None:
        store, mesh, _ = access(
            NoAnswer("silent"), ["answer", 200, {"rows": [], "Ver": 1}]
        )
        assert asyncio.run(store.read("jobs", "q")) == ([], 1)
        assert mesh.asked == 1

    def test_after_a_failure_calls_go_through_the_peer_first(self) -> None:
        store, mesh, session = access(
            NotSent("x"), ["answer", 200, {"rows": [], "Ver": 1}]
        )

        async def scenario() -> None:
            for _ in range(3):
                await store.read("jobs", "q")

        asyncio.run(scenario())
        assert (session.calls, mesh.asked) == (1, 3)

    def test_a_store_that_serves_nobody_is_unavailable(self) -> None:
        store, mesh, _ = access(NoAnswer("silent"), None)
        mesh.peers.clear()
        with pytest.raises(StoreUnavailableError):
            asyncio.run(store.read("jobs", "q"))
        assert not store.is_served


class TestRelayedConfiguration:
    def test_no_key_crosses_the_stream_of_a_peer(self) -> None:
        """The row holds the keys in plain text, and was relayed as it is."""
        content = operator_config(7)
        value = base64.b64encode(content).decode()
        row = {"Table": "op", "part": "", "Key": "config", "Ver": 9, "Value": value}
        served = Answer(200, {"rows": [row], "Ver": 9})
        peer, _, _ = access(served, None)
        call = ["GET", "/chivetray/rows-get?Table=op", None, 1.0]
        reply = asyncio.run(peer._serve_peer("m1", call))
        relayed = base64.b64decode(reply[2]["rows"][0]["Value"])
        assert KEY_A.encode() not in relayed and KEY_A not in str(reply)
        store, _, _ = access(NotSent("x"), reply)
        found = asyncio.run(store.read_row(RowId("op", "", "config")))
        assert found is not None
        assert decode_config(found.value) == decode_config(content)


class TestCallsWithoutRelays:
    # Guards against CONFIG: the row of the configuration was read again by a peer for
    # each manager that the store rejected, over the peer's own narrow link.
    def test_a_read_that_was_turned_away_does_not_go_through_a_peer(self) -> None:
        store, mesh, session = access(
            Answer(503, {}), ["answer", 200, {"rows": [], "Ver": 1}]
        )
        direct = store.without_relays()
        for _ in range(2):
            with pytest.raises(StoreUnavailableError):
                asyncio.run(direct.changes("op", 0, 700))
        assert mesh.asked == 0 and not store.is_served
        assert session.calls == 2

    def test_its_answers_count_as_those_of_the_store(self) -> None:
        store, _, _ = access(Answer(200, {"rows": [], "Ver": 1}), None)
        assert not store.is_served
        asyncio.run(store.without_relays().changes("op", 0, 700))
        assert store.is_served


class TestChoiceOfRelay:
    # Guards against late answers: all relayed reads of a zone went through one peer,
    # however narrow its link.
    def test_peers_with_wide_links_relay_most(self) -> None:
        store, mesh, _ = access(Answer(503, {}), None)
        beat = mesh.peers["m2"].heartbeat
        assert beat is not None
        mesh.peers.clear()
        links = {"narrow": 100, "wide": 2000, "far": 9000}
        for name, capacity in links.items():
            zone = "z2" if name == "far" else "z1"
            heartbeat = replace(beat, capacity=capacity)
            mesh.peers[name] = Peer(name, zone, "i", "b:1", None, True, 0.0, heartbeat)  # type: ignore[arg-type]
        chosen: list[str] = []

        async def call(name: str, *_: Any) -> Any:
            chosen.append(name)
            await asyncio.sleep(0.01)
            return ["answer", 200, {"rows": [], "Ver": 1}]

        mesh.call = call  # type: ignore[method-assign]

        async def scenario() -> None:
            reads = (store.read("jobs", f"p{number}") for number in range(21))
            await asyncio.gather(*reads)

        asyncio.run(scenario())
        assert chosen[0] == "wide"
        assert chosen.count("wide") == 20 and chosen.count("narrow") == 1
        assert not +store._relaying
