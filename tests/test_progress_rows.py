"""Jobs whose progress does not fit into one row of the store.

One accepted submission with 1,500 tasks once stopped all work of its service
(docs/incidents, 21).
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import msgpack
import orjson
import pytest
from cell_helpers import CELL, MemoryStore, World, job, until
from hypothesis import given
from hypothesis import strategies as st
from test_cell_owner import running
from test_job_service import make_queue, make_service

from chivetray.cells import held_jobs, job_service, peer_formats
from chivetray.cells.acceptance import Acceptance, JobAcceptor
from chivetray.cells.job_answers import JobAnswer
from chivetray.cells.loading import _group_progress
from chivetray.cells.orders import Placement
from chivetray.cells.peer_formats import PeerFormats
from chivetray.cells.placing import place_tasks
from chivetray.cells.state import DEFAULT_ROW_BYTES, STORED_TASK_BYTES, CellState
from chivetray.cells.tables import (
    PROGRESS_TABLE,
    job_row,
    parse_progress_key,
    progress_row,
)
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.jobs.job import Job, decode_spec, encode_spec
from chivetray.jobs.model import JobSpec, JobState, Phase, Step
from chivetray.jobs.progress import (
    MAIN_ROW,
    SPLIT_FROM_TASKS,
    TASKS_PER_ROW,
    ProgressRows,
)
from chivetray.platform.calls import Answer
from chivetray.platform.standins.store import StoreState
from chivetray.platform.store import Row, RowId
from chivetray.platform.submissions import TASKS_LIMIT, decode_submission
from chivetray.results import ResultCode

JOB = "00000000000000aa"

# Limit of the platform's store, of the value or of its text.
ROW_BYTES = 65536


def large_job(tasks: int, job_id: str = JOB, **fields: Any) -> JobSpec:
    """Return a job as this release accepts it."""
    steps = (Step(tasks, cpu_milli=1),)
    return job(job_id, steps, split_progress=tasks >= SPLIT_FROM_TASKS, **fields)


def stored(rows: ProgressRows) -> dict[int, bytes]:
    """Return the rows to write, and count them as stored."""
    changed = dict(rows.encode_changed())
    for number, content in changed.items():
        rows.record_stored(number, rows.version(number) + 1, content)
    return changed


def limit_rows(store: MemoryStore, sizes: list[int]) -> None:
    """Let a store refuse rows above its limit, as the platform's does."""

    def fail(_number: int, body: Any) -> Answer | None:
        sizes.extend(len(row["Value"]) for row in body["Writes"])
        too_large = any(len(row["Value"]) > ROW_BYTES for row in body["Writes"])
        return Answer(400, {}) if too_large else None

    store.fail = fail


class TestLargeJob:
    """Guards against review/5: progress above the limit of a row, repeated for ever."""

    def test_it_and_the_jobs_beside_it_end(self) -> None:
        async def scenario() -> None:
            world = World(workers=4, work_s=0.1)
            sizes: list[int] = []
            limit_rows(world.store, sizes)
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(large_job(1500))
                owner.add_job(job("00000000000000bb"))
                await until(
                    lambda: all(
                        found.state == JobState.COMPLETED
                        for found in owner.state.jobs.values()
                    ),
                    20.0,
                )
            assert len(world.starts()) == 1503
            assert max(world.starts().values()) == 1
            assert max(sizes) < ROW_BYTES

        asyncio.run(scenario())

    def test_a_later_owner_runs_no_task_again(self) -> None:
        async def scenario() -> None:
            world = World(workers=4, work_s=0.2)
            first = await world.own()
            spec = large_job(600)
            async with running(world, first):
                first.add_job(spec)
                done = first.state.jobs[JOB]
                await until(
                    lambda: sum(t.phase == Phase.DONE for t in done.tasks.values()) > 50
                )
                rows = [name for name in world.state.rows if name[0] == PROGRESS_TABLE]
                assert len(rows) > 5
                first.mark_lost("test")
            second = CellState(CELL)
            for worker in world.entries():
                second.update_workers([worker], boot_time_s())
            progress, _ = await world.store.read(PROGRESS_TABLE, CELL)
            by_number = _group_progress(progress)[JOB]
            main_row = by_number.pop(MAIN_ROW)
            more = {n: (row.value, row.version) for n, row in by_number.items()}
            second.restore_job(
                spec, main_row.value, main_row.version, 1.0, more_rows=more
            )
            begun = {key for key, task in done.tasks.items() if task.attempt}
            restored = second.jobs[JOB].tasks
            assert {key for key, task in restored.items() if task.attempt} | {
                key for key, task in restored.items() if task.phase == Phase.DONE
            } >= begun & {key for key, t in done.tasks.items() if t.phase != 0}

        asyncio.run(scenario())

    def test_only_changed_rows_are_written(self) -> None:
        spec = large_job(10 * TASKS_PER_ROW)
        made = Job(spec)
        rows = ProgressRows(made)
        for task in made.step_tasks(0, 0):
            task.attempt, task.phase, task.worker = 1, Phase.RUNNING, "w0"
        assert sorted(stored(rows)) == list(range(11))
        assert stored(rows) == {}
        made.mark_done(made.tasks[0, 0, 3 * TASKS_PER_ROW])
        made.state = JobState.RUNNING
        assert sorted(stored(rows)) == [MAIN_ROW, 4]
        # A row whose tasks are all stored as done is not encoded any more.
        for index in range(TASKS_PER_ROW):
            made.mark_done(made.tasks[0, 0, index])
        assert sorted(stored(rows)) == [1]
        assert 1 not in rows._tasks_by_row

    def test_an_end_after_the_encoding_of_a_row_is_written_later(self) -> None:
        """Guards against a row that counts as final while its stored content is not."""
        made = Job(large_job(300))
        rows = ProgressRows(made)
        tasks = made.step_tasks(0, 0)[:TASKS_PER_ROW]
        for task in tasks:
            task.attempt, task.phase, task.worker = 1, Phase.RUNNING, "w0"
        changed = dict(rows.encode_changed())
        for task in tasks:
            made.mark_done(task)
        rows.record_stored(1, 5, changed[1])
        assert 1 in dict(rows.encode_changed())

    @pytest.mark.parametrize("steps", [1, 20])
    def test_rows_of_the_largest_submission_have_bounded_sizes(self, steps) -> None:
        count = TASKS_LIMIT // steps
        spec = job(steps=tuple(Step(count) for _ in range(steps)), split_progress=True)
        made = Job(spec)
        for number in range(steps):
            for task in made.step_tasks(0, number):
                place = f"{task.key[1]}-{task.key[2]}-"
                task.attempt, task.phase = 2**31, Phase.RUNNING
                task.worker = place.ljust(200, "w")
                task.address = place.ljust(260, "a")
                task.incarnation, task.checkpoint = 2**53, "c" * 200
        sizes = [len(content) for content in stored(ProgressRows(made)).values()]
        assert max(sizes) <= DEFAULT_ROW_BYTES
        assert len(sizes) == 1 + -(-TASKS_LIMIT // TASKS_PER_ROW)

    @given(st.integers(0, 2**32), st.integers(1, 3), st.integers(1, 2))
    def test_what_is_restored_is_what_was_stored(self, seed, steps, repeats) -> None:
        draw = random.Random(seed)
        counts = [draw.randint(1, 150) for _ in range(steps)]
        spec = job(
            steps=tuple(Step(count) for count in counts),
            split_progress=True,
            repeats=repeats if repeats > 1 else 0,
        )
        made, kept = Job(spec), {}
        rows = ProgressRows(made)
        for _ in range(3):
            for occurrence in range(repeats):
                for number in range(steps):
                    for task in made.step_tasks(occurrence, number):
                        _change(draw, made, task)
            made.state = max(made.state, JobState.RUNNING)
            kept |= stored(rows)
        later = Job(spec)
        later.restore(kept.pop(MAIN_ROW))
        ProgressRows(later).restore(kept)
        for key, task in made.tasks.items():
            found = later.task(key)
            assert found is not None
            assert (found.phase == Phase.DONE) == (task.phase == Phase.DONE)
            if task.phase != Phase.DONE:
                assert _describe(found) == _describe(task)
        assert later.state == made.state


def _change(draw: random.Random, made: Job, task: Any) -> None:
    """Change a task as a cell may, or leave it as it is."""
    if task.phase == Phase.DONE or draw.random() < 0.4:
        return
    if task.attempt and draw.random() < 0.4:
        made.mark_done(task)
        return
    task.attempt += 1
    task.phase = draw.choice([Phase.WAITING, Phase.PLACED, Phase.STOPPING])
    task.worker, task.address = f"w{draw.randint(0, 5)}", "10.0.0.1:80"
    task.incarnation = draw.randint(0, 2**40)
    task.checkpoint = draw.choice(["", "abc"])
    task.failures, task.failed_attempt = draw.randint(0, 2), draw.randint(0, 2)
    task.crashes, task.lone_crashes = draw.randint(0, 2), draw.randint(0, 1)
    task.suspect, task.isolated = draw.random() < 0.1, draw.random() < 0.1
    if draw.random() < 0.1:
        task.copies, task.copy_incarnations = {1: "w9"}, {1: 7}


def _describe(task: Any) -> tuple[Any, ...]:
    return (
        (Phase.PLACED if task.phase == Phase.RUNNING else task.phase, task.attempt),
        (task.worker, task.incarnation, task.address, task.checkpoint),
        (task.failures, task.failed_attempt, task.crashes, task.lone_crashes),
        (task.suspect, task.isolated, task.copies, task.copy_incarnations),
    )


class TestRowsThatAreStoredInPart:
    """Guards against an owner that is lost between the transactions of one commit."""

    @staticmethod
    def _run_job() -> tuple[JobSpec, dict[int, bytes]]:
        spec = large_job(300)
        made = Job(spec)
        rows = ProgressRows(made)
        for task in made.step_tasks(0, 0):
            task.attempt, task.phase, task.worker = 1, Phase.PLACED, "w0"
        made.state = JobState.RUNNING
        kept = stored(rows)
        for task in made.step_tasks(0, 0):
            made.mark_done(task)
        kept |= {n: row for n, row in stored(rows).items() if n != MAIN_ROW}
        return spec, kept

    def test_a_job_whose_ends_are_stored_is_completed_by_the_next_owner(self) -> None:
        spec, kept = self._run_job()
        state = CellState(CELL)
        main_row = kept.pop(MAIN_ROW)
        more = {number: (content, 3) for number, content in kept.items()}
        state.restore_job(spec, main_row, 2, 0.0, more_rows=more)
        assert state.jobs[JOB].state == JobState.COMPLETED
        assert JOB in state.changed_job_ids()
        assert JOB not in state.active

    def test_tasks_without_a_main_row_are_restored(self) -> None:
        spec, kept = self._run_job()
        del kept[MAIN_ROW]
        del kept[2]
        state = CellState(CELL)
        more = {number: (content, 3) for number, content in kept.items()}
        state.restore_job(spec, b"", 0, 0.0, more_rows=more)
        done = [t for t in state.jobs[JOB].tasks.values() if t.phase == Phase.DONE]
        assert len(done) == 300 - TASKS_PER_ROW
        assert state.rows_of(state.jobs[JOB]).version(1) == 3

    def test_a_task_that_has_failed_too_often_starts_no_more(self) -> None:
        """The owner before has stored its last failure, and not the job's state."""
        spec = large_job(300, max_attempts=2)
        made = Job(spec)
        task = made.step_tasks(0, 0)[7]
        task.attempt = task.failures = task.failed_attempt = 2
        task.worker = "w0"
        rows = stored(ProgressRows(made))
        state = CellState(CELL)
        more = {number: (row, 3) for number, row in rows.items() if number != MAIN_ROW}
        state.restore_job(spec, b"", 0, 0.0, more_rows=more)
        assert state.jobs[JOB].state == JobState.FAILED
        assert JOB in state.changed_job_ids()

    def test_a_damaged_row_is_logged_and_the_job_is_loaded(self, logged) -> None:
        spec, _ = self._run_job()
        state = CellState(CELL)
        state.restore_job(spec, b"", 0, 0.0, more_rows={1: (b"\xc1", 3)})
        assert JOB in state.jobs
        assert logged.of(Event.ROW_DAMAGED)

    def test_keys_of_rows(self) -> None:
        for number in (0, 1, 313):
            key = progress_row(CELL, JOB, number).key
            assert parse_progress_key(key) == (JOB, number)
        odd = Row(RowId(PROGRESS_TABLE, CELL, f"{JOB}.x"), b"", 1)
        assert _group_progress([odd]) == {}


class TestEarlierRelease:
    """Guards against a manager of the last release that runs a large job again."""

    def test_its_rows_are_read(self) -> None:
        task = [0, 0, 2, 1, 3, 1, "w0", 7, "cp", "a:1", [], [], 2, 0, 0, 0, 0]
        row = msgpack.packb([1, 1, 0, [[0, 0, 0, 2]], [task]])
        made = Job(job())
        made.restore(row)
        assert [made.tasks[0, 0, n].phase for n in range(3)] == [4, 4, 1]
        assert made.encode() == row
        made.restore(msgpack.packb([1, 1, 0, [], [task[:10] + [[]]]]))

    def test_it_reads_small_jobs_as_before(self) -> None:
        spec = job(steps=(Step(SPLIT_FROM_TASKS - 1),))
        assert msgpack.unpackb(encode_spec(spec))[0] == 1
        assert msgpack.unpackb(Job(spec).encode()) == [1, 0, 0, [], []]
        body = {"Steps": [{"Count": SPLIT_FROM_TASKS - 1}]}
        made = decode_submission(JOB, make_plain_queue(), orjson.dumps(body), 0)
        assert not made.split_progress

    def test_it_does_not_know_large_ones(self) -> None:
        """It reads no format but the first, so it neither runs nor rewrites them."""
        body = {"Steps": [{"Count": SPLIT_FROM_TASKS}]}
        made = decode_submission(JOB, make_plain_queue(), orjson.dumps(body), 0)
        assert msgpack.unpackb(encode_spec(made))[0] == 2
        assert decode_spec(encode_spec(made)) == made
        assert msgpack.unpackb(Job(made).encode())[0] == 2

    def test_it_is_notified_of_large_jobs_by_themselves(self) -> None:
        """It rejects a whole call that holds a job which it cannot decode."""
        small, large = job("00000000000000bb"), large_job(300)
        assert job_service._choose_batch([large, small]) == [small]
        assert job_service._choose_batch([large]) == [large]


class TestFormatsOfPeers:
    """Guards against a format that a manager beside this one does not read."""

    @staticmethod
    def _make(answers: dict[str, Any]) -> tuple[PeerFormats, list[str]]:
        asked: list[str] = []

        async def call(name: str, _kind: str, _argument: Any, _timeout_s: float) -> Any:
            asked.append(name)
            return answers[name]

        peers = {n: SimpleNamespace(name=n, incarnation="1") for n in answers}
        mesh: Any = SimpleNamespace(peers=peers, handlers={}, call=call)
        formats = PeerFormats(mesh)
        formats._started_at_s -= peer_formats.DISCOVERY_S
        return formats, asked

    @pytest.mark.parametrize(
        ("answers", "is_split"),
        [({}, True), ({"a": 2}, True), ({"a": 2, "b": None}, False), ({"a": 1}, False)],
    )
    def test_all_of_them_have_to_read_it(self, answers, is_split: bool) -> None:
        formats, asked = self._make(answers)

        async def scenario() -> None:
            for _ in range(2):
                assert await formats.read_split_progress() is is_split

        asyncio.run(scenario())
        assert sorted(asked) == sorted(answers)

    def test_one_that_has_restarted_is_asked_again(self) -> None:
        answers: dict[str, Any] = {"a": 2}
        formats, asked = self._make(answers)

        async def scenario() -> None:
            assert await formats.read_split_progress()
            formats._mesh.peers["a"].incarnation = "2"
            answers["a"] = None
            assert not await formats.read_split_progress()

        asyncio.run(scenario())
        assert asked == ["a", "a"]

    def test_none_is_assumed_before_managers_have_discovered_each_other(self) -> None:
        formats, _ = self._make({})
        formats._started_at_s = boot_time_s()
        assert not asyncio.run(formats.read_split_progress())

    def test_a_peer_tells_its_format(self) -> None:
        formats, _ = self._make({})
        tell = formats._mesh.handlers[peer_formats.FORMAT_CALL]
        assert asyncio.run(tell("a", None)) == 2

    @pytest.mark.parametrize("is_split", [True, False])
    def test_a_large_job_is_stored_by_it(self, is_split: bool) -> None:
        service = make_service()
        accepted: list[JobSpec] = []

        async def read_split_progress() -> bool:
            return is_split

        async def create(_row: Any, spec: JobSpec, _timeout_s: float) -> JobAnswer:
            accepted.append(spec)
            return JobAnswer(ResultCode.OK)

        service._formats.read_split_progress = read_split_progress  # type: ignore
        service._create = create  # type: ignore[method-assign]
        body = orjson.dumps({"Steps": [{"Count": SPLIT_FROM_TASKS}]})
        asyncio.run(service.submit(make_plain_queue(), JOB, body, 1.0))
        assert [spec.split_progress for spec in accepted] == [is_split]


class TestLargeJobOfAnEarlierRelease:
    """Guards against rows with all tasks of a job that grow beyond the limit."""

    def test_no_more_tasks_start_than_its_row_can_hold(self) -> None:
        async def scenario() -> None:
            world = World(workers=4, work_s=0.05)
            sizes: list[int] = []
            limit_rows(world.store, sizes)
            owner = await world.own()
            spec = replace(large_job(2000), split_progress=False)
            async with running(world, owner):
                owner.add_job(spec)
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED, 30.0)
            assert max(world.starts().values()) == 1
            assert ROW_BYTES / 2 < max(sizes) < ROW_BYTES

        asyncio.run(scenario())

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        state = CellState(CELL)
        world = World(workers=2)
        state.update_workers(world.entries(), 0.0)
        for worker in state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        state.row_limit_bytes = 5 * STORED_TASK_BYTES
        state.add_job(job(steps=(Step(8, 1, gang=True),)), 0.0)
        assert place_tasks(state, 0.0, 0) == []
        state.row_limit_bytes = 10 * (STORED_TASK_BYTES + 20)
        placed: list[Placement] = place_tasks(state, 0.0, 0)
        assert len(placed) == 8


class TestProgressThatIsRefused:
    """Guards against one refused write that holds up all jobs of a cell."""

    @pytest.fixture(autouse=True)
    def short_pauses(self, monkeypatch) -> None:
        monkeypatch.setattr(held_jobs, "HOLD_PAUSE_S", 0.2)

    @pytest.mark.parametrize("status", [400, 403, 413])
    @pytest.mark.parametrize("from_start", [True, False])
    def test_only_its_job_waits_and_none_of_its_ends_is_lost(
        self, status: int, from_start: bool, logged
    ) -> None:
        async def scenario() -> None:
            world = World(workers=2, work_s=0.2)
            refuses = [from_start]

            def fail(_number: int, body: Any) -> Answer | None:
                keys = [row["Key"] for row in body["Writes"]]
                is_refused = refuses[0] and JOB in keys
                return Answer(status, {}) if is_refused else None

            world.store.fail = fail
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                if not from_start:
                    await until(lambda: len(world.starts()) == 3)
                    refuses[0] = True
                for number in range(4):
                    owner.add_job(job(f"{number:016x}"))
                others = [found for i, found in owner.state.jobs.items() if i != JOB]
                await until(
                    lambda: all(o.stored_state == JobState.COMPLETED for o in others)
                )
                held = owner.state.jobs[JOB]
                await until(lambda: logged.of(Event.JOB_HELD))
                assert held.stored_state != JobState.COMPLETED
                if not from_start:
                    # What is not stored is not acknowledged either.
                    await until(lambda: any(m.ends for m in world.models.values()))
                    await anyio.sleep(0.3)
                    assert any(m.ends for m in world.models.values())
                refuses[0] = False
                await until(lambda: held.stored_state == JobState.COMPLETED)
                await until(lambda: not any(m.ends for m in world.models.values()))
            assert max(world.starts().values()) == 1

        asyncio.run(scenario())
        (first, *_) = logged.of(Event.JOB_HELD)
        assert first["job"] == JOB and first["row"] == JOB
        assert str(status) in first["reason"]
        assert logged.of(Event.JOB_HOLD_ENDED)

    def test_a_refusal_for_want_of_time_is_repeated_at_once(self, logged) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            world.store.fail = lambda number, _body: (
                Answer(429 if number % 2 else 503, {}) if number < 8 else None
            )
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                done = owner.state.jobs[JOB]
                await until(lambda: done.state == JobState.COMPLETED)

        asyncio.run(scenario())
        assert not logged.of(Event.JOB_HELD)

    def test_the_cell_can_be_released_meanwhile(self) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            world.store.fail = lambda _number, body: (
                Answer(400, {})
                if any(row["Key"] == JOB for row in body["Writes"])
                else None
            )
            owner = await world.own()
            async with running(world, owner):
                owner.add_job(job())
                await until(lambda: JOB in owner.state.held_job_ids)
                owner.leaving = True
                owner.wake()
                await until(lambda: owner.lost)

        asyncio.run(scenario())


def make_plain_queue() -> Any:
    queue = make_queue()
    defaults = {"priority": 0, "max_attempts": 1, "stretch": 1.0, "target_ms": 0}
    for name, value in {**defaults, "ticket_validity_ms": 0}.items():
        object.__setattr__(queue, name, value)
    return queue


class TestSubmissionThatNoRowHolds:
    """Guards against a submission that the store refuses beside sound ones."""

    def test_it_is_refused_with_its_size_and_not_stored(self) -> None:
        step = {"Count": 1, "Image": "\u20ac" * 200, "Requirements": "\u20ac" * 200}
        body = orjson.dumps({"Steps": [step] * 64})
        service = make_service()
        answer = asyncio.run(service.submit(make_plain_queue(), JOB, body, 1.0))
        assert answer.code == ResultCode.BAD_SUBMISSION
        assert f"more than {DEFAULT_ROW_BYTES}" in answer.message

    def test_the_largest_plain_submission_fits(self) -> None:
        steps = [
            {"Count": 312, "Cpu": 2**53, "MemMb": 2**53, "Image": "i" * 200,
             "DependsOn": list(range(number))}
            for number in range(64)
        ]  # fmt: skip
        body = orjson.dumps({"TaskSpec": "x" * 4000, "Steps": steps})
        spec = decode_submission(JOB, make_plain_queue(), body, 0)
        assert len(encode_spec(spec)) <= DEFAULT_ROW_BYTES

    def test_those_in_the_same_transaction_are_stored(self) -> None:
        async def scenario() -> None:
            state = StoreState()
            store = MemoryStore(state)
            store.fail = lambda _number, body: (
                Answer(400, {})
                if any(len(row["Value"]) > ROW_BYTES for row in body["Writes"])
                else None
            )
            acceptor = JobAcceptor(store)
            outcomes: dict[str, Acceptance] = {}

            async def create(name: str, size: int) -> None:
                row = job_row("q", name)
                outcome, _ = await acceptor.create(tasks, row, b"x" * size, 2.0)
                outcomes[name] = outcome

            async with anyio.create_task_group() as tasks:
                names = [f"{number:016x}" for number in range(30)]
                for number, name in enumerate(names):
                    size = 60_000 if number % 10 == 5 else 100
                    tasks.start_soon(create, name, size)
            for number, name in enumerate(names):
                wanted = Acceptance.STORED
                if number % 10 == 5:
                    wanted = Acceptance.REFUSED
                assert outcomes[name] == wanted

        asyncio.run(scenario())


class TestOtherRowsAndMessages:
    """Guards against other content that grows with what it tells of."""

    def test_lease_ends_of_many_silent_workers_fit_into_a_row(self) -> None:
        async def scenario() -> None:
            world = World(workers=0)
            found = await world.own()
            names = [f"{number}-".ljust(200, "w") for number in range(400)]
            entry = World(workers=1).entries()[0]
            listed = [replace(entry, worker_id=name) for name in names]
            found.state.update_workers(listed, boot_time_s())
            for worker in found.state.workers.values():
                worker.allocate((JOB, (0, 0, 0)), Step(1))
                worker.silent_since_s = worker.silence_seen_at_s = 1.0
            now_s = boot_time_s()
            world.store.clock.observe(5, now_s, now_s)
            content = found.lease_ends.choose_content(world.store.clock, now_s)
            assert content is not None and 100 < len(content) < len(names)
            assert len(msgpack.packb(content)) <= DEFAULT_ROW_BYTES
            # Those in the row stay in it, whatever the order of the workers.
            again = found.lease_ends.choose_content(world.store.clock, now_s)
            assert again is not None and again.keys() == content.keys()

        asyncio.run(scenario())

    def test_a_release_that_no_row_holds_is_left_out(self) -> None:
        """The next owner then waits for the longest leases, as after a loss."""

        async def scenario() -> None:
            world = World(workers=0)
            found = await world.own()
            found.get_remaining_leases = lambda: {
                f"{number}-".ljust(200, "w"): 1.0 for number in range(400)
            }
            before = (await world.store.read_row(found.guard_row)).value
            found.leaving = True
            async with running(world, found):
                await until(lambda: found.lost)
            assert (await world.store.read_row(found.guard_row)).value == before

        asyncio.run(scenario())

    def test_a_notification_holds_a_bounded_number_of_bytes(self) -> None:
        payload = "x" * 4000
        specs = [
            replace(job(f"{number:016x}"), payload=payload) for number in range(3000)
        ]
        batch = job_service._choose_batch(specs)
        size = sum(len(encode_spec(spec)) for spec in batch)
        assert 0 < size <= job_service.NOTIFY_BATCH_BYTES + 5000
