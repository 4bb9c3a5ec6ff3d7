"""Calls with keys of organisations, and the jobs of other organisations."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
import yaml
from api_helpers import (
    JOB,
    KEY_A,
    KEY_B,
    ApiManager,
    job_body,
    operator_config,
    serve,
)
from cell_helpers import CELL
from job_fleet import JobFleet, wait_for
from job_fleet import job_body as fleet_job

from chivetray.cells.state import CellState
from chivetray.jobs.job import decode_spec
from chivetray.log_repeats import RepeatFilter
from chivetray.manager_metrics import MAX_REFUSAL_LABELS, ManagerMetrics
from chivetray.platform.standins.store import StoreState
from chivetray.standins.jobs import TRY_HOST, TRY_PREFIX, TRY_SERVICE

PUBLIC = f"/public/{JOB}"
PLAIN_CONFIG = operator_config(Tenants=[])


def stored_spec(manager: ApiManager) -> Any:
    (value,) = manager.stored().values()
    return decode_spec(base64.b64decode(value))


def own_cell(manager: ApiManager) -> None:
    """Let a manager own the cell and know all stored jobs."""
    state = CellState(CELL)
    for value in manager.stored().values():
        state.add_job(decode_spec(base64.b64decode(value)), 0.0)
    owner = SimpleNamespace(state=state, epoch=1, leaving=False)
    owner.add_job = lambda spec: state.add_job(spec, 0.0)
    manager.directory.owned_cells[CELL] = owner  # type: ignore[assignment]


class TestKeyOfACall:
    def test_every_kind_of_call_needs_one(self) -> None:
        async def scenario(api: ApiManager) -> None:
            calls = [(m, f"/q/{JOB}") for m in ("POST", "GET", "DELETE")]
            for method, path in (*calls, ("GET", "/q/")):
                for key in (None, "x", "", "x y", KEY_A + "\u00e9"):
                    status, body = await api.call(method, key, path, job_body())
                    assert (status, body["Code"]) == (401, 127), (method, key)
                    assert "key" in body["Error"]
                twice = ((b"authorization", b"Token " + KEY_B.encode()),)
                assert (await api.call(method, KEY_A, path, headers=twice))[0] == 401
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200

        manager = serve(scenario)
        assert stored_spec(manager).organisation == "a"

    def test_a_public_route_needs_none_and_ignores_one(self) -> None:
        async def scenario(api: ApiManager) -> None:
            for key in (None, "unknown", KEY_A):
                assert (await api.call("POST", key, PUBLIC, job_body()))[0] == 200
            assert (await api.call("DELETE", KEY_B, PUBLIC))[0] == 200

        api = serve(scenario)
        assert stored_organisations(api) == {""}

    def test_without_organisations_rows_are_stored_as_before(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            assert (await api.call("GET"))[0] == 200

        spec = stored_spec(serve(scenario, PLAIN_CONFIG))
        assert spec.organisation == ""

    def test_without_a_configuration_calls_are_not_served(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("GET", KEY_A))[0] == 503

        serve(scenario, b"")

    def test_a_key_is_judged_by_the_newest_version(self) -> None:
        """A connection that stays open must not keep a revoked key valid."""

        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            rows = [{"Name": "a", "ApiKeys": ["new-key"]}]
            revoked = operator_config(2, Tenants=rows)
            # The key is revoked while the body of the call arrives.
            status, _ = await api.call(
                "POST", KEY_A, body=job_body(), on_body=lambda: api.apply(revoked)
            )
            assert status == 401
            assert (await api.call("GET", "new-key"))[0] == 200
            api.apply(operator_config(1))
            assert (await api.call("GET", KEY_A))[0] == 401

        text = serve(scenario).metrics.render().decode()
        assert 'organisation="a",reason="revoked key"} 2.0' in text

    def test_keys_appear_in_no_line_and_no_metric(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[dict[str, Any]] = []
        record = lambda **fields: lines.append(fields)  # noqa: E731
        monkeypatch.setattr("chivetray.events.eliot.log_message", record)
        # Lines of earlier tests would suppress those of this one.
        monkeypatch.setattr("chivetray.events._repeat_filter", RepeatFilter())

        async def scenario(api: ApiManager) -> None:
            for key in (KEY_A, KEY_B, "mistyped-key"):
                await api.call("POST", key, body=job_body(9000))
                await api.call("GET", key)

        rows = [{"Name": n, "ApiKeys": [KEY_A, "own-" + n]} for n in "ab"]
        api = serve(scenario, operator_config(Tenants=rows))
        text = str(lines) + api.metrics.render().decode()
        assert "CALL_REFUSED" in text and "CONFIG_ENTRY_INVALID" in text
        for key in (KEY_A, KEY_B, "mistyped-key", "own-a"):
            assert key not in text


def stored_organisations(api: ApiManager) -> set[str]:
    """Return the organisations of the stored jobs."""
    rows = {name: value for name, value in api.stored().items() if name[2] == JOB}
    return {decode_spec(base64.b64decode(v)).organisation for v in rows.values()}


class TestJobOfAnotherOrganisation:
    def test_it_is_treated_as_absent_and_unchanged(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            before = api.stored()
            for _ in ("store", "memory"):
                absent = await api.call("GET", KEY_B, "/q/00000000000000ff")
                assert await api.call("GET", KEY_B) == absent
                assert absent[0] == 410
                assert (await api.call("DELETE", KEY_B))[0] == 410
                status, body = await api.call("POST", KEY_B, body=job_body())
                assert (status, body["Code"]) == (409, 128)
                assert api.stored() == before
                assert (await api.call("GET", "key-2-of-a"))[0] == 200
                own_cell(api)
            # A retry with another key of the organisation is the same job.
            status, _ = await api.call("POST", "key-2-of-a", body=job_body())
            assert status == 200 and api.stored() == before

        text = serve(scenario).metrics.render().decode()
        assert 'organisation="b",reason="job of another organisation"} 6.0' in text

    def test_its_owner_at_another_manager_tells_nothing(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            peer = ApiManager("m2", api.store.state, operator_config())
            own_cell(peer)
            api.mesh.peers["m2"] = peer
            api.directory.serving_owner_of = lambda _: "m2"  # type: ignore[method-assign]
            # With an empty store, all answers come from the owner.
            api.store.state = StoreState()
            assert (await api.call("GET", KEY_B))[0] == 410
            assert (await api.call("GET", KEY_A))[0] == 200
            sent = b"".join(api.messages)
            assert KEY_A.encode() not in sent and KEY_B.encode() not in sent
            # An earlier build names no queue: it has to read the state in the store.
            handler = peer.service._states._handle_state_request
            assert await handler("m0", JOB) is None

        serve(scenario)

    def test_two_at_once_store_one_job(self) -> None:
        async def scenario(api: ApiManager) -> None:
            calls = [api.call("POST", key, body=job_body()) for key in (KEY_A, KEY_B)]
            answers = await asyncio.gather(*calls)
            assert sorted(status for status, _ in answers) == [200, 409]

        serve(scenario)

    def test_a_job_of_an_earlier_build_belongs_to_nobody(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", body=job_body()))[0] == 200
            api.apply(operator_config(2))
            for key in (KEY_A, KEY_B):
                assert (await api.call("POST", key, body=job_body()))[0] == 200
                assert (await api.call("GET", key))[0] == 200
            assert stored_organisations(api) == {""}

        serve(scenario, PLAIN_CONFIG)

    def test_a_row_that_cannot_be_read_is_neither_shown_nor_cancelled(self) -> None:
        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            for row in api.store.state.rows.values():
                row.value = base64.b64encode(b"\xc1").decode()
            answers = [
                (await api.call(method, KEY_B, body=job_body()))[0]
                for method in ("GET", "DELETE", "POST")
            ]
            assert answers == [503, 503, 504] and len(api.stored()) == 1

        serve(scenario)


class TestTaskAboveTheCap:
    def test_it_is_refused_at_once_and_not_stored(self) -> None:
        async def scenario(api: ApiManager) -> None:
            status, body = await api.call("POST", KEY_A, body=job_body(2001))
            assert (status, body["Code"]) == (400, 129)
            assert "2001" in body["Error"] and "2000" in body["Error"]
            gang = job_body(1001, AllOrNothing=True)
            assert (await api.call("POST", KEY_A, body=gang))[0] == 400
            assert not api.stored()
            for cpu_milli, key in ((2000, KEY_A), (2001, KEY_B)):
                path = f"/q/{cpu_milli:016x}"
                assert (await api.call("POST", key, path, job_body(cpu_milli)))[
                    0
                ] == 200

        text = serve(scenario).metrics.render().decode()
        assert 'organisation="a",reason="task above the cap"} 2.0' in text

    def test_a_job_that_was_stored_under_a_higher_cap_is_not(self) -> None:
        """It runs, so that an answer "not run" to a retry would be wrong."""

        async def scenario(api: ApiManager) -> None:
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            rows = [
                {"Name": name, "ApiKeys": [key], "Cap": {"Cpu": 500}}
                for name, key in (("a", KEY_A), ("b", KEY_B))
            ]
            api.apply(operator_config(2, Tenants=rows))
            assert (await api.call("POST", KEY_A, body=job_body()))[0] == 200
            assert (await api.call("POST", KEY_B, body=job_body()))[0] == 409

        serve(scenario)


class TestCounter:
    def test_it_has_a_bounded_number_of_labels(self) -> None:
        metrics = ManagerMetrics(dict)
        for number in range(200):
            metrics.count_refusal(f"reason {number % 7}", f"organisation {number}")
        lines = metrics.render().decode().splitlines()
        counted = [li for li in lines if li.startswith("chivetray_refusals_total")]
        assert len(counted) <= MAX_REFUSAL_LABELS == 50
        assert sum(float(line.rsplit(" ", 1)[1]) for line in counted) == 200


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[JobFleet]:
    fleet = JobFleet(tmp_path_factory.mktemp("organisations"))
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


def configure(fleet: JobFleet, version: int, **keys: list[str]) -> None:
    """Write a configuration in which organisations have some keys."""
    route = {"Host": TRY_HOST, "PathPrefix": TRY_PREFIX, "Service": TRY_SERVICE}
    rows = [{"Name": name, "ApiKeys": own} for name, own in keys.items()]
    content = operator_config(version, Routes=[route], Tenants=rows)
    value = base64.b64encode(content).decode()
    fleet.put({"Table": "op", "Key": "config", "Value": value})


class TestProcesses:
    def test_new_keys_apply_within_3_s_at_a_manager_that_the_store_rejects(
        self, fleet: JobFleet
    ) -> None:
        def statuses(key: str) -> set[int]:
            return {fleet.call(m, "GET", key=key)[0] for m in fleet.managers}

        configure(fleet, 2, a=["old"], b=["kept"])
        wait_for(lambda: statuses("old") == {200} and statuses("none") == {401})
        assert fleet.call("m1", "POST", "0" * 15 + "1", fleet_job(), "kept")[0] == 200
        # Nothing listens at this address, so that m1 gets rows only through m0.
        path = fleet.folder / "m1.yaml"
        settings = {**yaml.safe_load(path.read_text()), "store": "127.0.0.1:1"}
        path.write_text(yaml.safe_dump(settings))
        wait_for(lambda: "STORE_LOST" in str(fleet.log("m1")))
        for version, old, new in ((3, "old", "new"), (4, "new", "newer")):
            configure(fleet, version, a=[new], b=["kept"])
            began_s = time.monotonic()
            wait_for(lambda o=old, n=new: statuses(o) == {401} and statuses(n) == {200})
            assert time.monotonic() - began_s < 3.0
        for manager in fleet.managers:
            assert fleet.call(manager, "GET", "0" * 15 + "1", key="new")[0] == 401
            assert fleet.call(manager, "GET", "0" * 15 + "1", key="newer")[0] == 410

    def test_a_refused_call_leaves_its_connection_usable(self, fleet: JobFleet) -> None:
        """The body of a refused call is not read."""
        assert fleet.call_twice("m0", "POST", b"x" * 200_000) == [401, 401]
