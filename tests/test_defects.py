"""Loops of a manager that meet an error which no code expects.

One malformed message or value must not end a whole process (docs/incidents, 18).
"""

from __future__ import annotations

import asyncio
import json

import anyio
import pytest
from cell_helpers import CELL, job
from test_mesh import make_mesh, running

from chivetray import defects
from chivetray.cells.load import measure_load
from chivetray.cells.state import CellState
from chivetray.defects import contain_errors, keep_running
from chivetray.events import Event
from chivetray.generated.messages import CellClaim, NodeHeartbeat
from chivetray.jobs.model import Step
from chivetray.peers.codec import encode_content, encode_message


class TestLoop:
    """Guards against an error in one loop that ends the process."""

    def test_it_runs_again_after_errors_until_it_returns(self, logged, monkeypatch):
        monkeypatch.setattr(defects, "RESTART_PAUSE_S", 0.001)
        runs = []

        async def run() -> None:
            runs.append(1)
            if len(runs) < 4:
                raise LookupError("no such row")

        asyncio.run(keep_running("rows", run))
        assert len(runs) == 4
        failures = logged.of(Event.LOOP_FAILED)
        assert [fields["loop"] for fields in failures] == ["rows"] * 3
        assert "no such row" in failures[0]["traceback"]

    def test_it_pauses_ever_longer_while_it_fails(self, monkeypatch) -> None:
        pauses_s = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)
            if len(pauses_s) == 8:
                raise KeyboardInterrupt

        monkeypatch.setattr(anyio, "sleep", sleep)

        async def run() -> None:
            raise ValueError

        with pytest.raises(KeyboardInterrupt):
            asyncio.run(keep_running("rows", run))
        assert pauses_s == sorted(pauses_s)
        assert pauses_s[0] == defects.RESTART_PAUSE_S
        assert pauses_s[-1] == defects.RESTART_PAUSE_MAX_S

    def test_a_cancellation_ends_it(self) -> None:
        async def scenario() -> None:
            with anyio.move_on_after(0.01) as scope:
                await keep_running("rows", anyio.sleep_forever)
            assert scope.cancelled_caught

        asyncio.run(scenario())

    def test_a_round_that_fails_is_logged_in_a_line_of_bounded_size(self, logged):
        with contain_errors("rows"):
            raise ValueError("x" * 100_000)
        (fields,) = logged.of(Event.LOOP_FAILED)
        assert len(json.dumps(fields)) < 2 * defects.TRACEBACK_CHARS


class TestMesh:
    """Guards against one peer whose messages end the streams of all."""

    @pytest.mark.parametrize("address", ["10.0.0.1:99999", "a..b:80", "none", "a:\xb2"])
    def test_a_peer_at_no_address_is_not_dialed(self, address: str, logged) -> None:
        mesh = make_mesh("a")
        for _ in range(2):
            mesh.add_address("b", address)
        assert not mesh.known_addresses()
        assert len(logged.of(Event.PEER_PROTOCOL_ERROR)) == 1

    def test_a_heartbeat_that_cannot_be_encoded_leaves_the_streams_open(self, logged):
        first, second = make_mesh("a"), make_mesh("b")
        sound = first._make_heartbeat

        async def scenario() -> None:
            async with running(first, second):
                stream = first.peers["b"].stream
                claims = [CellClaim(CELL, 1, {"q": 2**80}, True)]
                first._make_heartbeat = lambda: NodeHeartbeat(
                    1, 1, False, True, 400, claims
                )
                first.request_heartbeat()
                await anyio.sleep(0.3)
                assert logged.of(Event.LOOP_FAILED)
                first._make_heartbeat = sound
                first.request_heartbeat()
                await anyio.sleep(0.3)
                assert first.peers["b"].stream is stream
                assert second.peers["a"].heartbeat is not None

        asyncio.run(scenario())


class TestLargeNumbersOfCallers:
    """Guards against estimates that add up to more than a message can hold."""

    def test_the_digest_and_the_load_of_a_cell_can_be_sent(self) -> None:
        largest = 2**53
        state = CellState(CELL)
        step = Step(20_000, cpu_milli=largest, estimate_ms=largest)
        state.add_job(job(steps=(step,)), 0.0)
        digest = state.backlog_meter.encode(state, 1.0)
        claims = [CellClaim(CELL, 1, {}, True, digest)]
        encode_message(NodeHeartbeat(1, 1, False, True, 400, claims))
        load = measure_load(state, 1.0, 0)
        encode_content([load.waiting_milli_s, load.late_waiting_milli_s])
        encode_content([load.arriving_milli, load.used_milli])
