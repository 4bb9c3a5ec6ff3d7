"""Jobs of different queues that have one identifier, which their callers chose."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from api_helpers import JOB, ApiManager, job_body, operator_config
from cell_helpers import CELL, job
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from chivetray.cells.cancellations import CancellationWatch
from chivetray.cells.loading import JobLoader
from chivetray.cells.state import CellState
from chivetray.cells.tables import job_row
from chivetray.clocks import boot_time_s
from chivetray.cmdline import main
from chivetray.events import Event
from chivetray.jobs.job import decode_spec, encode_spec
from chivetray.jobs.model import JobSpec, JobState
from chivetray.platform.calls import Answer, NoAnswer
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import ABSENT

OTHER_CELL = "pool-b"

# Two queues of one service, and one of another.
QUEUES = {"/q/": CELL, "/r/": CELL, "/p/": OTHER_CELL}
FIRST, SECOND, FAR = (prefix + JOB for prefix in QUEUES)
CONFIG = operator_config(
    Routes=[
        {"Host": "h", "PathPrefix": prefix, "Service": service}
        for prefix, service in QUEUES.items()
    ],
    Tenants=[],
)


class OwnedCell:
    """A cell that has a state and no workers."""

    epoch = 1
    leaving = False
    guard_version = 0

    def __init__(self, name: str):
        self.state = CellState(name)
        self.cancellations = CancellationWatch(name, 1, boot_time_s())

    def add_job(self, spec: JobSpec) -> None:
        self.state.add_job(spec, boot_time_s())

    def cancel(self, name: Any) -> bool:
        return self.state.cancel(name)

    def wake(self) -> None:
        pass


class Fleet:
    """Managers over one store, each cell owned by one of them.

    :ivar owners: manager that owns each cell
    """

    def __init__(self) -> None:
        store = StoreState()
        self.managers = [ApiManager(name, store, CONFIG) for name in ("m0", "m1")]
        self.owners: dict[str, ApiManager] = {}
        for manager in self.managers:
            manager.mesh.peers = {m.name: m for m in self.managers if m is not manager}
            manager.directory.serving_owner_of = self._owner_of  # type: ignore

    def _owner_of(self, cell: str) -> str | None:
        return self.owners[cell].name if cell in self.owners else None

    async def move(self, cell: str, manager: ApiManager) -> None:
        """Let a manager take a cell over, with what is stored."""
        if cell in self.owners:
            del self.owners[cell].directory.owned_cells[cell]
        owned = OwnedCell(cell)
        loader = JobLoader(manager.store, service_of=self._service_of)
        version = await loader.load(owned.state, 0)
        await loader.load_other_parts(owned.state, 0)
        manager.directory.owned_cells[cell] = owned  # type: ignore[assignment]
        before = manager.directory.scanned_version or version
        manager.directory.scanned_version = min(version, before)
        self.owners[cell] = manager

    @staticmethod
    def _service_of(queue: str) -> str | None:
        return QUEUES.get(queue.removeprefix("h"))

    def state(self, cell: str) -> CellState:
        return self.owners[cell].directory.owned_cells[cell].state

    def job(self, path: str) -> Any:
        """Return the job that the owner has under the name of a path, if any."""
        state = self.state(QUEUES[path[:3]])
        found = [*state.jobs.values(), *getattr(state, "namesakes", {}).values()]
        named = [j for j in found if j.spec.job_id == path[3:]]
        return next((j for j in named if j.spec.queue == f"h{path[:3]}"), None)

    async def settle(self) -> None:
        """Wait until the owners are notified."""
        await asyncio.sleep(0.05)


def run(
    scenario: Callable[[Fleet, ApiManager, ApiManager], Awaitable[None]],
    owners: tuple[int, int] = (0, 1),
) -> None:
    """Run a scenario with two managers.

    :param owners: number of the manager that owns each cell
    """

    async def main() -> None:
        fleet = Fleet()
        for cell, number in zip((CELL, OTHER_CELL), owners, strict=True):
            await fleet.move(cell, fleet.managers[number])
        running = [asyncio.ensure_future(m.service.run()) for m in fleet.managers]
        await asyncio.sleep(0.01)
        await scenario(fleet, *fleet.managers)
        for task in running:
            assert not task.done()
            task.cancel()

    asyncio.run(main())


async def submit(api: ApiManager, path: str) -> int:
    return (await api.call("POST", path=path, body=job_body()))[0]


async def read(api: ApiManager, path: str) -> str | int:
    """Return the state of a job, or the status if there is none."""
    status, body = await api.call("GET", path=path)
    return str(body.get("State", status))


class TestCancellation:
    """Guards against review/9: a DELETE in one queue ended the job of another."""

    @pytest.mark.parametrize("owners", [(0, 0), (0, 1), (1, 1)])
    def test_it_ends_the_job_of_its_queue_only(self, owners: tuple[int, int]) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, _: ApiManager) -> None:
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            await fleet.settle()
            assert (await a.call("DELETE", path=FIRST))[0] == 200
            await fleet.settle()
            for manager in fleet.managers:
                await manager.directory.scan()
            assert fleet.job(FIRST).state == JobState.CANCELLED
            assert fleet.job(FAR).state == JobState.QUEUED

        run(scenario, owners)

    def test_one_before_the_job_of_another_queue_does_not_end_it(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == 200
            assert (await a.call("DELETE", path=FIRST))[0] == 200
            await fleet.settle()
            assert await submit(b, FAR) == 200
            await fleet.settle()
            assert fleet.job(FAR).state == JobState.QUEUED
            assert await read(a, FAR) == "queued"

        run(scenario, (0, 0))

    def test_a_new_owner_does_not_apply_it_to_another_queue(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            assert (await a.call("DELETE", path=FIRST))[0] == 200
            for cell in (CELL, OTHER_CELL):
                await fleet.move(cell, b)
            assert fleet.job(FIRST).state == JobState.CANCELLED
            assert fleet.job(FAR).state == JobState.QUEUED

        run(scenario)


class TestState:
    """Guards against a GET that shows the job of another queue."""

    @pytest.mark.parametrize("owners", [(0, 0), (0, 1), (1, 1)])
    def test_no_job_is_shown_where_nobody_submitted_one(
        self, owners: tuple[int, int]
    ) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, _: ApiManager) -> None:
            assert await submit(a, FIRST) == 200
            await fleet.settle()
            assert await read(a, FIRST) == "queued"
            assert await read(a, SECOND) == await read(a, FAR) == "410"

        run(scenario, owners)


class TestNotices:
    """Guards against a notice that took the place of another one."""

    def test_each_owner_learns_of_its_job(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            owners, fleet.owners = fleet.owners, {}
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            await fleet.settle()
            fleet.owners = owners
            await asyncio.sleep(0.5)
            assert fleet.job(FIRST) is not None and fleet.job(FAR) is not None
            assert not a.service._jobs_to_notify

        run(scenario)

    def test_each_owner_learns_of_its_cancellation(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            await fleet.settle()
            owners, fleet.owners = fleet.owners, {}
            for path in (FIRST, FAR):
                assert (await a.call("DELETE", path=path))[0] == 200
            fleet.owners = owners
            await asyncio.sleep(0.5)
            assert fleet.job(FIRST).state == JobState.CANCELLED
            assert fleet.job(FAR).state == JobState.CANCELLED
            assert not a.service._cancellations_to_notify

        run(scenario)


class TestEarlierReleases:
    """They name jobs by their identifier alone when they call other managers."""

    def test_their_notice_of_a_cancellation_makes_the_owner_read_which_it_is(
        self,
    ) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            await fleet.settle()
            # A manager without this notice: the earlier release has stored the mark.
            fleet.owners, owners = {}, fleet.owners
            assert (await b.call("DELETE", path=FIRST))[0] == 200
            handler = a.mesh.handlers["cancelled"]
            assert await handler("m9", [JOB]) == []
            await fleet.settle()
            fleet.owners = owners
            assert fleet.job(FIRST).state == JobState.CANCELLED
            assert fleet.job(FAR).state == JobState.QUEUED
            assert await handler("m9", [JOB]) == [JOB]

        run(scenario, (0, 0))

    def test_they_read_a_notice_of_a_cancellation(self) -> None:
        """They look each item up among identifiers, and answer with known ones."""

        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            told: list[str] = []

            async def cancel_by_identifier(_peer: str, items: Any) -> Any:
                told.extend(item for item in items if item == JOB)
                return [item for item in items if item == JOB]

            b.mesh.handlers["cancelled"] = cancel_by_identifier
            assert await submit(a, FAR) == 200
            assert (await a.call("DELETE", path=FAR))[0] == 200
            await fleet.settle()
            assert told == [JOB]
            assert not a.service._cancellations_to_notify

        run(scenario)

    def test_their_rows_are_read_and_new_ones_are_as_theirs(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == 200
            ((name, value),) = a.stored().items()
            assert name[0] == "jobs" and name[2] == JOB
            assert name[1].startswith("h/q/#") and value
            assert (await a.call("DELETE", path=FIRST))[0] == 200
            assert {name[2] for name in a.stored()} == {JOB, f"{JOB}.cancel"}

        run(scenario)


class TestNamesakes:
    """Two jobs of one cell with one identifier, which workers cannot tell apart."""

    SECOND_SPEC = replace(job(), queue="host/second/")

    def test_the_second_is_not_taken_for_the_first(self, logged) -> None:
        state = CellState(CELL)
        first = state.add_job(job(), 0.0)
        second = state.add_job(self.SECOND_SPEC, 0.0)
        assert second is not first and second.spec == self.SECOND_SPEC
        assert state.add_job(self.SECOND_SPEC, 0.0) is second
        assert list(state.active.values()) == [first]
        (line,) = logged.of(Event.JOB_ID_SHARED)
        assert (line["queue"], line["running_queue"]) == ("host/second/", "host/queue/")

    def test_each_is_cancelled_by_itself(self) -> None:
        state = CellState(CELL)
        first = state.add_job(job(), 0.0)
        second = state.add_job(self.SECOND_SPEC, 0.0)
        assert state.cancel(self.SECOND_SPEC.name)
        assert (first.state, second.state) == (JobState.QUEUED, JobState.CANCELLED)
        assert list(state.active.values()) == [first]
        assert state.cancel(job().name)
        assert first.state == JobState.CANCELLED

    def test_the_second_does_not_get_the_progress_of_the_first(self) -> None:
        before = CellState(CELL).add_job(job(), 0.0)
        for task in before.step_tasks(0, 0):
            before.mark_done(task)
        state = CellState(CELL)
        for spec in (job(), self.SECOND_SPEC):
            state.restore_job(spec, before.encode(), 1, 0.0)
        assert state.jobs[JOB].state == JobState.COMPLETED
        assert state.namesakes[self.SECOND_SPEC.name].state == JobState.QUEUED


class TestTrace:
    def test_it_says_that_jobs_of_several_queues_are_shown(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        events = [
            {"timestamp": at_s, "number": 1640, "message_type": "JOB_ACCEPTED"}
            | {"job": JOB, "cell": cell, "queue": queue}
            for at_s, cell, queue in ((1, CELL, "h/q/"), (2, OTHER_CELL, "h/p/"))
        ]
        path = tmp_path / "m0.log"
        path.write_text("\n".join(map(json.dumps, events)))
        main(["trace", JOB, str(path)])
        first, *shown = capsys.readouterr().out.splitlines()
        assert "2 queues" in first and "h/p/, h/q/" in first
        assert len(shown) == 2


class TestOneService:
    """Guards against accepted jobs whose tasks never ran.

    Workers know a task by the identifier of its job. The second of two jobs of one
    service with one identifier was accepted and shown with the state of the first.
    """

    def test_the_second_job_is_refused_and_leaves_no_trace(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == 200
            before = a.stored()
            status, body = await b.call("POST", path=SECOND, body=job_body())
            assert (status, body["Code"]) == (409, 128)
            assert a.stored() == before
            assert await read(a, SECOND) == await read(b, SECOND) == "410"
            assert (await a.call("DELETE", path=SECOND))[0] == 410
            await fleet.settle()
            assert fleet.job(FIRST).state == JobState.QUEUED
            # The queue of the first may repeat it, and other services are free.
            assert await submit(b, FIRST) == await submit(b, FAR) == 200

        run(scenario)

    def test_of_two_at_once_one_is_stored(self) -> None:
        """The managers did not know of each other's job; only the store can tell."""

        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            for number in range(20):
                paths = [f"{prefix}{number:016x}" for prefix in ("/q/", "/r/")]
                calls = [submit(a, paths[0]), submit(b, paths[1])]
                assert sorted(await asyncio.gather(*calls)) == [200, 409]

        run(scenario)

    def test_without_an_answer_of_the_store_nothing_is_called_refused(self) -> None:
        """An earlier call, at another manager, may have stored the job."""

        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            a.store.fail = lambda _number, _body: NoAnswer("silent")
            headers = ((b"chivetray-deadline-ms", b"400"),)
            answer = await a.call("POST", path=FIRST, body=job_body(), headers=headers)
            assert answer[0] == 504 and not a.stored()
            a.store.fail = lambda _number, _body: Answer(503, {})
            answer = await a.call("POST", path=FIRST, body=job_body(), headers=headers)
            assert answer[0] == 503 and not a.stored()

        run(scenario)

    def test_a_lost_answer_of_the_store_refuses_nothing(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            def lose_first(number: int, body: Any) -> NoAnswer | None:
                if number > 1:
                    return None
                a.store.carry_out(body)
                return NoAnswer("lost")

            a.store.fail = lose_first
            assert await submit(a, FIRST) == 200
            assert await submit(b, SECOND) == 409

        run(scenario)

    def test_a_repetition_is_accepted_though_another_queue_holds_the_identifier(
        self,
    ) -> None:
        """An earlier release, which reserves none, has stored the job."""

        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, SECOND) == 200
            spec = replace(job(), queue="h/q/")
            row = job_row(spec.queue, JOB)
            await a.store.transact({row: ABSENT}, {row: encode_spec(spec)})
            before = a.stored()
            assert await submit(b, FIRST) == 200
            assert a.stored() == before

        run(scenario)

    def test_a_queue_that_changes_its_service_keeps_its_job(self) -> None:
        async def scenario(fleet: Fleet, a: ApiManager, b: ApiManager) -> None:
            assert await submit(a, FIRST) == await submit(a, FAR) == 200
            before = a.stored()
            routes = [
                {"Host": "h", "PathPrefix": prefix, "Service": OTHER_CELL}
                for prefix in QUEUES
            ]
            for manager in fleet.managers:
                manager.apply(operator_config(2, Routes=routes, Tenants=[]))
            assert await submit(b, FIRST) == await submit(b, FAR) == 200
            assert await submit(b, SECOND) == 409
            assert a.stored() == before
            assert await read(b, FIRST) == await read(b, FAR) == "queued"

        run(scenario)


# A call or a change of owner: kind, manager, queue or cell, number of the identifier.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("POST", "POST", "GET", "DELETE", "move")),
        st.integers(0, 1),
        st.sampled_from(tuple(QUEUES)),
        st.integers(1, 3),
    ),
    min_size=2,
    max_size=12,
)


class TestCallsInAnyOrder:
    """Guards against any use of an identifier without its queue."""

    @settings(
        max_examples=60,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(STEPS)
    def test_each_answer_is_about_the_job_of_its_queue(self, steps: Any) -> None:
        accepted: dict[str, bool] = {}
        holders: dict[tuple[str, int], str] = {}

        async def scenario(fleet: Fleet, *managers: ApiManager) -> None:
            for kind, number, prefix, identifier in steps:
                path = f"{prefix}{identifier:016x}"
                manager = managers[number]
                if kind == "move":
                    await fleet.move(QUEUES[prefix], manager)
                    continue
                if kind == "POST":
                    holder = holders.setdefault((QUEUES[prefix], identifier), path)
                    assert await submit(manager, path) == (
                        200 if holder == path else 409
                    )
                    if holder == path:
                        accepted.setdefault(path, False)
                elif kind == "DELETE":
                    status, _ = await manager.call("DELETE", path=path)
                    assert status == (200 if path in accepted else 410)
                    if path in accepted:
                        accepted[path] = True
                else:
                    assert await read(manager, path) in self._expect(accepted, path)
                await asyncio.sleep(0.005)
            await fleet.settle()
            for path, is_cancelled in accepted.items():
                found = fleet.job(path)
                assert found is not None, path
                assert (found.state == JobState.CANCELLED) == is_cancelled
                active = fleet.state(found.spec.cell).active
                assert (active.get(path[3:]) is found) != is_cancelled

        run(scenario)

    @staticmethod
    def _expect(accepted: dict[str, bool], path: str) -> tuple[str, ...]:
        if path not in accepted:
            return ("410",)
        # Its owner may not know of a cancellation yet.
        return ("queued", "cancelled") if accepted[path] else ("queued",)


def test_an_encoded_job_tells_its_name() -> None:
    assert decode_spec(encode_spec(job())).name == job().name
