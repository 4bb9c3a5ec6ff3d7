"""Answers of a manager that knows of a newer configuration than its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
from api_helpers import JOB, KEY_B, ApiManager, job_body, operator_config
from virtual_loop import virtual_time

from chivetray.cells.newer_versions import MAX_VERSIONS, NewerVersions
from chivetray.platform.standins.store import StoreState
from chivetray.results import ResultCode

NEW_PATH = f"/new/{JOB}"
OUTDATED = (503, ResultCode.CONFIG_OUTDATED.number)


def newer_config(**changes: Any) -> bytes:
    """Return a configuration with one route more, and without organisations."""
    routes = [
        {"Host": "h", "PathPrefix": prefix, "Service": "pool-a"}
        for prefix in ("/q/", "/new/")
    ]
    return operator_config(2, **{"Routes": routes, "Tenants": [], **changes})


def serve_outdated(
    scenario: Callable[[ApiManager], Awaitable[None]], tenants: Any = None
) -> ApiManager:
    """Run a scenario against a manager that has just heard of version 2."""

    async def main() -> ApiManager:
        config = operator_config(1, Tenants=tenants)
        manager = ApiManager("m1", StoreState(), config)
        running = asyncio.ensure_future(manager.service.run())
        await anyio.sleep(0.01)
        manager.mesh.zone = "z1"
        manager.mesh.peers["m2"] = SimpleNamespace(
            name="m2", zone="z1", capacity=1, leaving=False, claims=list
        )
        manager.configuration.note_peer_version(2, "m2")
        try:
            await scenario(manager)
        finally:
            running.cancel()
        return manager

    with virtual_time() as loop:
        return loop.run_until_complete(main())


def later(manager: ApiManager, delay_s: float, content: bytes) -> None:
    asyncio.get_running_loop().call_later(delay_s, manager.apply, content)


async def result_of(manager: ApiManager, **call: Any) -> tuple[int, int]:
    status, body = await manager.call("POST", body=job_body(), **call)
    return status, body.get("Code", 0)


class TestRefusals:
    # Guards against CONFIG: a manager that knew of a newer version answered 404 for a
    # route of that version.
    def test_a_route_that_is_not_there_is_waited_for(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            later(manager, 0.3, newer_config())
            assert (await result_of(manager, path=NEW_PATH))[0] == 200

        serve_outdated(scenario)

    def test_without_the_newer_version_the_caller_is_sent_elsewhere(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            assert await result_of(manager, path=NEW_PATH) == OUTDATED

        manager = serve_outdated(scenario)
        assert not manager.stored()

    def test_a_route_of_no_version_gets_404_from_the_newer_one(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            later(manager, 0.3, newer_config())
            status, _ = await result_of(manager, path=f"/none/{JOB}")
            assert status == 404

        serve_outdated(scenario)

    def test_a_key_that_is_not_there_is_waited_for(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            later(manager, 0.3, newer_config(Tenants=[tenant(KEY_B)]))
            assert (await result_of(manager, key=KEY_B))[0] == 200
            assert (await result_of(manager, key="key-of-a"))[0] == 401

        def tenant(key: str) -> dict[str, Any]:
            return {"Name": "b", "ApiKeys": [key]}

        serve_outdated(scenario, tenants=[tenant("key-of-a")])

    def test_without_a_newer_version_they_come_at_once(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            manager.apply(newer_config())
            began_s = asyncio.get_running_loop().time()
            status, _ = await result_of(manager, path=f"/none/{JOB}")
            assert status == 404
            assert asyncio.get_running_loop().time() == began_s

        serve_outdated(scenario)


class TestRoutesInForce:
    def test_they_are_served_while_the_newer_version_is_on_its_way(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            began_s = asyncio.get_running_loop().time()
            assert (await result_of(manager))[0] == 200
            assert asyncio.get_running_loop().time() - began_s < 0.2

        serve_outdated(scenario)

    # Guards against CONFIG: a manager that knew of a newer version for seconds served a
    # route that it had removed.
    def test_they_are_not_served_once_the_newer_version_is_late(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            await anyio.sleep(1.5)
            assert await result_of(manager) == OUTDATED
            later(manager, 0.3, newer_config())
            assert (await result_of(manager))[0] == 200

        serve_outdated(scenario)

    def test_a_manager_that_is_cut_off_serves_what_it_knows(self) -> None:
        async def scenario(manager: ApiManager) -> None:
            await anyio.sleep(1.5)
            manager.mesh.peers.clear()
            assert (await result_of(manager))[0] == 200
            status, _ = await result_of(manager, path=NEW_PATH)
            assert status == 404

        serve_outdated(scenario)

    def test_each_version_is_late_from_the_time_at_which_it_was_known(self) -> None:
        """Versions in quick succession make no manager outdated that gets each soon."""

        async def scenario(manager: ApiManager) -> None:
            await anyio.sleep(0.9)
            manager.configuration.note_peer_version(3, "m2")
            manager.apply(newer_config())
            await anyio.sleep(0.5)
            assert (await result_of(manager))[0] == 200

        serve_outdated(scenario)


class TestMistakenPeers:
    def follow(self, answer: Any) -> ApiManager:
        """Let the manager ask the peer for the version that it seems to have."""

        async def scenario(manager: ApiManager) -> None:
            async def handle(_peer: str, argument: Any) -> Any:
                # A release that sends the content whole answers other requests so.
                is_whole = isinstance(answer, bytes)
                return None if is_whole and isinstance(argument, list) else answer

            mesh = SimpleNamespace(handlers={"configuration": handle})
            manager.mesh.peers["m2"].mesh = mesh
            # Time in which the peer answers.
            task = asyncio.ensure_future(manager.configuration._catch_up())
            await anyio.sleep(3.0)
            assert not manager.configuration.is_outdated
            assert (await result_of(manager))[0] == 200
            assert not task.done()
            task.cancel()

        return serve_outdated(scenario)

    def test_a_peer_without_the_version_makes_no_manager_outdated(self) -> None:
        self.follow(["current"])

    def test_a_version_that_cannot_be_read_makes_no_manager_outdated(self) -> None:
        self.follow(b"not a configuration")


class TestKnownVersions:
    def test_the_time_of_each_is_kept_until_it_is_in_force(self) -> None:
        versions = NewerVersions()
        assert versions.note(3, "m2") and not versions.note(2) and versions.note(4)
        first_s = versions.since_s
        versions.put_in_force(3)
        assert versions.newest == 4 and versions.since_s >= first_s > 0
        assert not versions.peers
        versions.put_in_force(4)
        assert versions.newest == 0 and versions.since_s == 0.0

    def test_a_version_that_cannot_be_read_does_not_come_back(self) -> None:
        versions = NewerVersions()
        versions.note(3, "m2")
        versions.give_up(3)
        assert not versions.note(3, "m2") and versions.newest == 0
        assert versions.note(4, "m2")

    def test_their_number_is_limited(self) -> None:
        versions = NewerVersions()
        for version in range(1, 3 * MAX_VERSIONS):
            versions.note(version)
        assert versions.newest == 3 * MAX_VERSIONS - 1
        assert len(versions._known_at_s) == MAX_VERSIONS
