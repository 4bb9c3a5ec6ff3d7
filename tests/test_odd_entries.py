"""Entries and answers of other writers, with values that no page of theirs names.

One entry of a worker whose host could not be looked up once stopped all work of its
service (docs/incidents, 18), and a zone that was nested too deeply ended the manager.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

import anyio
import orjson
import pytest
from cell_helpers import CELL, MemoryWorkers, World, job, until
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from test_cell_owner import running
from test_worker_list import Views, content

from chivetray.addresses import read_address
from chivetray.cells import order_sender, polling, reports
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.jobs.model import JobState, Step
from chivetray.platform.advice import AdviceClient
from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent
from chivetray.platform.store import Row, RowId, Store, StoreUnavailableError
from chivetray.platform.stored_records import (
    decode_config,
    decode_wave,
    decode_worker,
)
from chivetray.platform.vm_api import PlatformVmClient
from chivetray.platform.workers import TaskName, decode_reply
from chivetray.records.client import _decode_rows

JOB = "00000000000000aa"

# Hosts that a lookup rejects with an error of its own, and ports that no socket has.
UNUSABLE_ADDRESSES = [
    "worker-3..localhost:8080",
    f"{'a' * 64}.example:80",
    f"{'a.' * 130}example:80",
    "w\u3002\u3002x:80",
    ".:80",
    ":80",
    "w0:",
    "w0:0",
    "w0:65536",
    "w0:99999999999999999999",
    "w0:\u00b2",
    "w0:-1",
    "w0: 80",
    "w 0:80",
    "w0/x:80",
    "u@w0:80",
    "w0?x:80",
    "10.0.0.256:80",
    "10.0.1:80",
    "[::1%eth0]:80",
    "[::g]:80",
    "::1:80",
    "w0\r\nX: y:80",
    "80",
    "",
]


def nested(depth: int) -> str:
    """Return JSON of arrays within arrays."""
    return "[" * depth + "]" * depth


# Depths at which ``str`` and ``orjson`` give up, and one that both accept.
DEPTHS = [200, 990, 1020, 1100]

plain_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=300),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=10), inner, max_size=4),
    max_leaves=12,
)


class Endpoint:
    """A session on which each call gets the same answer."""

    def __init__(self, body: dict[str, Any], status: int = 200):
        self._answer = Answer(status, body)

    async def call(self, *_args: Any, **_fields: Any) -> Answer:
        return self._answer


class TestAddress:
    """Guards against review/4: a host of a foreign entry that cannot be looked up."""

    @pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
    def test_an_unusable_one_names_no_worker(self, address: str) -> None:
        assert decode_worker("w0", content(Address=address)) is None

    @pytest.mark.parametrize(
        "address",
        ["10.0.0.1:80", "[::1]:8080", "localhost:65535", "w-0.r1.example:1"],
    )
    def test_a_usable_one_is_kept(self, address: str) -> None:
        entry = decode_worker("w0", content(Address=address))
        assert entry is not None and entry.address == address

    @given(st.text(max_size=80))
    def test_a_call_to_any_address_that_is_read_has_an_outcome(self, text: str) -> None:
        address = read_address(f"{text}:9")
        if address is None:
            return

        async def scenario() -> None:
            session = CallSession.open()
            outcome = await session.call("GET", f"http://{address}/", 0.5)
            assert isinstance(outcome, NotSent | NoAnswer)
            await session.aclose()

        asyncio.run(scenario())

    def test_a_call_to_a_host_that_cannot_be_encoded_has_no_answer(self) -> None:
        async def scenario() -> None:
            session = CallSession.open()
            outcome = await session.call("GET", f"http://{UNUSABLE_ADDRESSES[0]}/", 1.0)
            assert isinstance(outcome, NoAnswer)
            await session.aclose()

        asyncio.run(scenario())


class FailingWorkers(MemoryWorkers):
    """Workers of which one cannot be called without an error.

    :ivar failing: worker, and call that fails for it
    """

    failing = ("", "")

    async def _call(self, worker: Any, call: str, body: Any, timeout_s: float) -> Any:
        if (worker.worker_id, call) == self.failing:
            await asyncio.sleep(0)
            raise RuntimeError("an answer that nobody expects")
        return await super()._call(worker, call, body, timeout_s)


class TestErrorInACallToOneWorker:
    """Guards against review/4: one worker whose calls raise ends its whole cell."""

    @pytest.mark.parametrize("call", ["hold", "run-start", "run-stop"])
    def test_jobs_end_on_the_other_workers(self, call, logged, monkeypatch) -> None:
        monkeypatch.setattr(order_sender, "FAILED_ORDER_PAUSE_S", 0.05)

        async def scenario() -> None:
            world = World(workers=3, work_s=0.3 if call == "run-stop" else 0.03)
            world.workers = FailingWorkers(world.models)
            world.workers.failing = ("w0", call)
            owner = await world.own()
            async with running(world, owner):
                if call == "run-stop":
                    owner.add_job(job("00000000000000bb", (Step(12, 1000),)))
                    await until(lambda: len(world.models["w0"].running) == 4)
                    owner.cancel(job("00000000000000bb").name)
                    await until(lambda: logged.of(Event.WORKER_FAILED))
                owner.add_job(job(steps=(Step(6, 1000),)))
                done = owner.state.jobs[JOB]
                if call == "run-start":
                    # What is placed there waits for its start, as without an answer.
                    await until(lambda: len(world.starts()) >= 2)
                    await until(lambda: logged.of(Event.WORKER_FAILED))
                    world.workers.failing = ("", "")
                await until(lambda: done.state == JobState.COMPLETED)
                assert not owner.lost
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())
        if call == "hold":
            failures = logged.of(Event.WORKER_FAILED)
            assert failures and "an answer that nobody expects" in failures[0]["reason"]
            assert "Traceback" in failures[0]["traceback"]

    def test_polls_of_it_become_rare_and_it_is_used_again(self, monkeypatch) -> None:
        monkeypatch.setattr(polling, "FAILED_POLL_PAUSE_S", 0.02)

        async def scenario() -> None:
            world = World(workers=1)
            world.workers = FailingWorkers(world.models)
            world.workers.failing = ("w0", "hold")
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                await anyio.sleep(0.5)
                assert not world.starts()
                world.workers.failing = ("", "")
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)

        asyncio.run(scenario())

    def test_an_end_that_could_not_be_applied_is_not_acknowledged(
        self, monkeypatch
    ) -> None:
        """Otherwise the worker forgets an end ``done``, and the task runs again."""
        monkeypatch.setattr(polling, "FAILED_POLL_PAUSE_S", 0.02)
        apply_end, failures = reports._apply_end, [1]

        def apply_at_second_try(*args: Any) -> None:
            if failures:
                failures.pop()
                raise LookupError("no such task")
            apply_end(*args)

        monkeypatch.setattr(reports, "_apply_end", apply_at_second_try)

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)
            assert not failures
            assert all(n == 1 for n in world.starts().values())

        asyncio.run(scenario())


class TestEntryOfAnotherWriter:
    """Guards against an odd entry that ends the process, or hides sound entries."""

    @given(
        st.dictionaries(
            st.sampled_from(
                "State Service Address Zone Capacity Labels born SeqNo Slots".split()
            ),
            plain_values,
        ),
        st.text(max_size=20),
    )
    def test_any_entry_is_read_or_left_out(self, fields, worker_id) -> None:
        with suppress(TypeError):
            entry = decode_worker(worker_id, content(**fields))
            if entry is not None:
                # All that is stored, sent or logged of it fits into 64 bits.
                orjson.dumps(vars_of(entry))
                assert 0 <= 1000 * entry.cpu_milli * entry.mem_mb < 2**63

    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_or_left_out(self, raw: bytes) -> None:
        assert decode_worker("w0", raw) is None
        decode_wave(raw)

    @pytest.mark.parametrize("depth", DEPTHS)
    @pytest.mark.parametrize(
        "field", ["Zone", "Service", "Address", "Labels", "Capacity", "State", "born"]
    )
    def test_deep_nesting_names_no_worker(self, field: str, depth: int) -> None:
        plain = orjson.loads(content())
        plain[field] = "MARK"
        raw = orjson.dumps(plain).replace(b'"MARK"', nested(depth).encode())
        assert decode_worker("w0", raw) is None

    @pytest.mark.parametrize(
        "fields",
        [
            {"Capacity": {"Cpu": 2**64 - 1}},
            {"Capacity": {"Cpu": 10**18}},
            {"Capacity": {"Cpu": 4000.0}},
            {"Capacity": {"Cpu": True}},
            {"Capacity": {"Cpu": "4000"}},
            {"Capacity": {"MemMb": -1}},
            {"born": 2**63},
            {"born": 1.5},
            {"born": "5"},
            {"born": True},
            {"Labels": [5]},
            {"Labels": [["a"]]},
            {"Zone": 5},
        ],
    )
    def test_numbers_of_another_kind_name_no_worker(self, fields) -> None:
        assert decode_worker("w0", content(**fields)) is None

    @pytest.mark.parametrize("number", [b"1e400", b"-1e400", b"NaN", b"9" * 5000])
    def test_numbers_that_json_does_not_have_name_no_worker(self, number) -> None:
        raw = content(born="MARK").replace(b'"MARK"', number)
        assert decode_worker("w0", raw) is None

    @pytest.mark.parametrize("worker_id", ["w\r\nX: y", "w\0", "w\x7f", "w\u2028"])
    def test_an_identifier_that_no_header_holds_names_no_worker(self, worker_id):
        assert decode_worker(worker_id, content()) is None

    def test_it_is_logged_once_for_each_version(self, monkeypatch, logged) -> None:
        views = Views(monkeypatch)
        odd = content(Address=UNUSABLE_ADDRESSES[0])
        rows = {"w0": (1, content()), "w1": (2, odd)}
        for _ in range(3):
            views.worker_list._apply_rows(rows)
        assert [fields["key"] for fields in logged.of(Event.ROW_DAMAGED)] == ["w1"]
        views.worker_list._apply_rows({**rows, "w1": (3, odd)})
        assert len(logged.of(Event.ROW_DAMAGED)) == 2

    def test_a_worker_whose_entry_is_sound_again_is_used_again(self, monkeypatch):
        views = Views(monkeypatch)

        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()

            def list_worker(**fields: object) -> None:
                fields["born"] = world.models["w0"].incarnation_ms
                views.read(w0=content(**fields))
                entries = views.worker_list.workers_of(CELL)
                owner.update_workers(entries, boot_time_s())

            async with running(world, owner):
                list_worker()
                list_worker(Address="w0:99999")
                owner.add_job(job())
                await anyio.sleep(0.2)
                assert not world.starts()
                list_worker()
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)

        asyncio.run(scenario())


class TestWave:
    @pytest.mark.parametrize(
        "fields",
        [
            {"Wave": 2**64 - 1},
            {"Wave": True},
            {"DurationS": 1e300},
            {"DurationS": -1},
            {"Cap": 1.5},
            {"Cap": 2**63},
            {"Machines": "vm"},
        ],
    )
    def test_odd_numbers_order_no_wave(self, fields: dict[str, Any]) -> None:
        plain = {"Wave": 1, "Machines": ["vm", 5], "DurationS": 3, "Cap": 1}
        assert decode_wave(orjson.dumps({**plain, **fields})) is None
        wave = decode_wave(orjson.dumps(plain))
        assert wave is not None and wave.machines == ("vm",)


class TestAnswerOfAWorker:
    """Guards against numbers that end the cell in the next call or log line."""

    @given(st.dictionaries(st.sampled_from(["ClockMs", "born"]), plain_values))
    def test_clocks_fit_into_the_next_order(self, body: dict[str, Any]) -> None:
        reply = decode_reply(Answer(200, body))
        orjson.dumps([reply.incarnation, (reply.clock_ms or 0) + 10_000])

    @given(
        st.lists(st.lists(plain_values, max_size=6), max_size=3)
        | st.lists(plain_values, max_size=3),
    )
    def test_any_lists_of_attempts_are_read(self, rows: list[Any]) -> None:
        reply = decode_reply(Answer(200, {"Running": rows, "Finished": rows}))
        orjson.dumps([[t.attempt, t.percent, t.level] for t in reply.running])
        orjson.dumps([[t.number, t.attempt] for t in reply.ended])

    @pytest.mark.parametrize(
        "name", ["a.0.0.\u00b2", "a.0.0." + "9" * 5000, "a.0.0.-1", "a.0.0", ".0.0.0"]
    )
    def test_numbers_of_a_task_are_short_and_decimal(self, name: str) -> None:
        assert TaskName.parse(name) is None

    @pytest.mark.parametrize("depth", DEPTHS)
    def test_deep_nesting_is_no_checkpoint_and_no_reason(self, depth: int) -> None:
        with suppress(orjson.JSONDecodeError):
            deep = orjson.loads(nested(depth))
            rows = [["a.0.0.0", 1, deep, deep, deep], [1, "a.0.0.0", 1, deep, deep]]
            body = {"Running": rows, "Finished": rows, "Reason": deep}
            decode_reply(Answer(200, body))
            decode_reply(Answer(409, body))


class TestConfiguration:
    @pytest.mark.parametrize("depth", DEPTHS)
    @pytest.mark.parametrize("field", ["Host", "PathPrefix", "Service", "Name"])
    def test_deep_nesting_is_no_configuration_or_an_unnamed_queue(self, field, depth):
        route = {"Host": "h", "PathPrefix": "/a/", "Service": CELL, field: "MARK"}
        raw = orjson.dumps({"Version": 1, "Routes": [route]})
        config = decode_config(raw.replace(b'"MARK"', nested(depth).encode()))
        assert config is None or (field, config.queues[0].name) == ("Name", "")


class TestRecord:
    @pytest.mark.parametrize("depth", DEPTHS)
    def test_deep_nesting_is_a_failure_of_the_read(self, depth: int) -> None:
        row = Row(RowId("t", "p", "k"), nested(depth).encode(), 1)
        assert isinstance(_decode_rows([row]), Failure)


class TestAnswersOfThePlatform:
    """Guards against odd rows in the answers that loops of a manager follow."""

    @given(st.lists(plain_values, max_size=4), plain_values)
    def test_any_list_of_vms_is_read(self, rows: list[Any], odd: Any) -> None:
        machine = {"Machine": "vm", "Pool": "p", "State": "up"}
        rows += [{**machine, name: odd} for name in ("Labels", "Capacity", "Zone")]
        rows += [{**machine, "Capacity": {"Cpu": odd}, "Id": odd}]
        session: Any = Endpoint({"Machines": rows})
        found = asyncio.run(PlatformVmClient(session, "vms", "m").list_vms())
        assert found is not None and len(found) >= 4
        orjson.dumps([vm.cpu_milli for vm in found])

    @given(plain_values, plain_values)
    def test_any_advice_is_read(self, rows: Any, validity: Any) -> None:
        session: Any = Endpoint({"Good": rows, "ValidityMs": validity})
        reply = asyncio.run(AdviceClient(session, "a").request_tickets("a", 0, 0, []))
        assert reply is None or all(map(isinstance, reply[0].values(), [str] * 99))

    @given(st.lists(plain_values, max_size=4), plain_values)
    def test_any_rows_are_read(self, rows: list[Any], odd: Any) -> None:
        sound = {"Table": "t", "Key": "k", "Ver": 1, "Value": "eA=="}
        rows += [{**sound, name: odd} for name in sound]
        session: Any = Endpoint({"rows": [*rows, sound], "Ver": 9, "NowMs": odd})

        async def scenario() -> None:
            found, _ = await Store(session, "store").read("t", "")
            assert found[-1].value == b"x"

        with suppress(StoreUnavailableError):
            asyncio.run(scenario())


def vars_of(entry: Any) -> dict[str, Any]:
    """Return the fields of a data class with slots."""
    return {name: getattr(entry, name) for name in type(entry).__slots__}
