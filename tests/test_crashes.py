"""Tasks that crash the workers that start them."""

from __future__ import annotations

import msgpack
import pytest
from crash_fleet import DOWN_S, CrashFleet
from hypothesis import given, settings
from hypothesis import strategies as st
from run_once_helpers import explain, run_seed

from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState, Step, Task
from chivetray.jobs.suspicion import LostAttempt, blame, clear, find_culprits

# Time in which suspicion ends for a few jobs: some crashes in a row, and queueing.
SETTLES_WITHIN_S = 60.0


class TestDeadlyTasks:
    # Guards against BUDGET: a task that crashes its workers was started for ever.
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_task_that_crashes_its_workers_is_stopped_for_good(self, seed) -> None:
        outcome = run_seed(seed, ("deadly_tasks",))
        assert not outcome.problems, explain(outcome)
        assert not outcome.failures, outcome.failures[:3]


def lost(
    task: Task, job_id: str = "a", settled: bool = False, isolated: bool = False
) -> LostAttempt:
    return LostAttempt(job_id, task, task.attempt, settled, isolated)


class TestBlame:
    """Guards against innocent tasks that are given up together with a deadly one."""

    def test_all_that_had_not_settled_are_suspected(self) -> None:
        young, other, old = Task((0, 0, 0)), Task((0, 0, 1)), Task((0, 0, 2))
        blame([lost(young), lost(other, "b"), lost(old, "c", settled=True)], False)
        assert (young.suspect, other.suspect, old.suspect) == (True, True, False)
        assert (young.crashes, young.lone_crashes, old.crashes) == (1, 0, 0)

    def test_crashes_beside_others_never_give_a_task_up(self) -> None:
        task, other = Task((0, 0, 0)), Task((0, 0, 1))
        for _ in range(20):
            blamed = blame([lost(task), lost(other, "b")], False)
            assert not find_culprits(blamed)

    def test_the_third_crash_gives_up_a_task_that_twice_ran_in_isolation(self) -> None:
        task = Task((0, 0, 0))
        assert not find_culprits(blame([lost(task), lost(Task((0, 0, 1)), "b")], False))
        assert not find_culprits(blame([lost(task, isolated=True)], False))
        assert find_culprits(blame([lost(task, isolated=True)], False))

    def test_an_isolated_task_is_blamed_alone(self) -> None:
        suspect, other = Task((0, 0, 0), suspect=True), Task((0, 0, 1))
        blame([lost(suspect, isolated=True), lost(other, "b")], False)
        assert (suspect.lone_crashes, other.crashes) == (1, 0)

    def test_crashes_without_isolation_never_give_a_task_up(self) -> None:
        task = Task((0, 0, 0))
        for _ in range(20):
            assert not find_culprits(blame([lost(task)], False))

    def test_a_failure_of_the_whole_rack_makes_no_suspects(self) -> None:
        task = Task((0, 0, 0))
        blame([lost(task)], True)
        assert (task.crashes, task.lone_crashes, task.suspect) == (1, 0, False)

    def test_a_second_such_failure_does(self) -> None:
        task = Task((0, 0, 0))
        blame([lost(task)], True)
        blame([lost(task)], True)
        assert task.suspect

    def test_a_cleared_task_starts_from_nothing(self) -> None:
        task = Task((0, 0, 0))
        blame([lost(task)], False)
        assert clear(task)
        assert (task.crashes, task.lone_crashes, task.suspect) == (0, 0, False)
        assert not clear(task)


class TestStoredCrashes:
    """Guards against counts that are lost with the owner of a cell."""

    def test_progress_keeps_crashes_and_suspicion(self) -> None:
        fleet = CrashFleet(workers=2)
        job_id = fleet.add_job(1, Step(1, 1000), {0})
        fleet.run(DOWN_S + 1.0)
        stored = Job(fleet.specs[job_id])
        stored.restore(fleet.state.jobs[job_id].encode())
        (task,) = stored.tasks.values()
        assert (task.crashes, task.suspect) == (1, True)

    def test_progress_of_earlier_releases_counts_none(self) -> None:
        fleet = CrashFleet(workers=1)
        job_id = fleet.add_job(1, Step(1, 1000))
        fleet.run_round()
        values = msgpack.unpackb(fleet.state.jobs[job_id].encode())
        values[4] = [row[:13] for row in values[4]]
        stored = Job(fleet.specs[job_id])
        stored.restore(msgpack.packb(values))
        (task,) = stored.tasks.values()
        assert (task.attempt, task.crashes, task.suspect) == (1, 0, False)


jobs = st.lists(
    st.tuples(
        st.integers(1, 4),  # tasks
        st.sampled_from([400, 1000, 2000]),  # CPU of each
        st.sampled_from([0.3, 0.8, 1.5, 3.0]),  # run time
        st.sets(st.integers(0, 3), max_size=2),  # deadly ones
        st.booleans(),  # whether any is deadly
    ),
    min_size=2,
    max_size=9,
)


def submit(fleet: CrashFleet, drawn) -> tuple[list[str], list[str]]:
    """Hand in jobs; return the ids of those with deadly tasks, and of the others."""
    deadly_jobs, innocent_jobs = [], []
    for number, (count, cpu, work_s, indexes, is_deadly) in enumerate(drawn):
        deadly = {i for i in indexes if i < count} if is_deadly else set()
        job_id = fleet.add_job(number + 1, Step(count, cpu), deadly, work_s)
        (deadly_jobs if deadly else innocent_jobs).append(job_id)
    return deadly_jobs, innocent_jobs


class TestAnyBatch:
    """Guards against what any set of deadly tasks may do beside innocent ones."""

    @settings(max_examples=60)
    @given(jobs, st.integers(2, 5))
    def test_the_deadly_ones_are_stopped_and_the_others_done(
        self, drawn, workers
    ) -> None:
        fleet = CrashFleet(workers)
        deadly, innocent = submit(fleet, drawn)
        fleet.run(SETTLES_WITHIN_S)
        assert {fleet.job_state(i) for i in deadly} <= {JobState.FAILED}
        assert {fleet.job_state(i) for i in innocent} <= {JobState.COMPLETED}
        assert max(fleet.further_starts.values(), default=0) < 3

    @settings(max_examples=60)
    @given(jobs, st.integers(2, 5))
    def test_a_deadly_task_takes_others_along_once_at_most(
        self, drawn, workers
    ) -> None:
        fleet = CrashFleet(workers)
        submit(fleet, drawn)
        fleet.run(SETTLES_WITHIN_S)
        assert max(fleet.taken_along.values(), default=0) <= 1

    @settings(max_examples=60)
    @given(jobs, st.integers(2, 5))
    def test_the_bound_holds_if_all_workers_of_a_rack_crash_together(
        self, drawn, workers
    ) -> None:
        fleet = CrashFleet(workers, racks=1)
        deadly, innocent = submit(fleet, drawn)
        fleet.run(SETTLES_WITHIN_S)
        assert {fleet.job_state(i) for i in deadly} <= {JobState.FAILED}
        assert {fleet.job_state(i) for i in innocent} <= {JobState.COMPLETED}
        assert max(fleet.further_starts.values(), default=0) < 3

    @settings(max_examples=60)
    @given(jobs, st.integers(2, 5), st.lists(st.floats(0.1, 20.0), max_size=6))
    def test_the_bound_holds_over_changes_of_the_owner(
        self, drawn, workers, changes_s
    ) -> None:
        fleet = CrashFleet(workers)
        deadly, innocent = submit(fleet, drawn)
        last_s = fleet.now_s
        for at_s in sorted(changes_s):
            fleet.run(1.0 + at_s - last_s if at_s > last_s else 0.3)
            last_s = at_s
            fleet.change_owner()
        fleet.run(SETTLES_WITHIN_S)
        assert {fleet.job_state(i) for i in deadly} <= {JobState.FAILED}
        assert {fleet.job_state(i) for i in innocent} <= {JobState.COMPLETED}
        assert max(fleet.further_starts.values(), default=0) < 3

    @settings(max_examples=60)
    @given(jobs, st.integers(2, 5), st.floats(0.1, 15.0), st.integers(0, 4))
    def test_a_worker_that_fails_by_itself_gives_no_innocent_up(
        self, drawn, workers, at_s, number
    ) -> None:
        fleet = CrashFleet(workers)
        deadly, innocent = submit(fleet, drawn)
        fleet.run(at_s)
        worker = fleet.workers[number % workers]
        if worker.up:
            fleet.crash(worker)
        fleet.run(SETTLES_WITHIN_S)
        assert {fleet.job_state(i) for i in deadly} <= {JobState.FAILED}
        assert {fleet.job_state(i) for i in innocent} <= {JobState.COMPLETED}
        assert max(fleet.further_starts.values(), default=0) < 3


class TestLateCrash:
    # Guards against BUDGET by a task that crashes its worker after it has settled,
    # while younger tasks are there.
    def test_a_task_that_crashes_late_beside_younger_ones_is_stopped(self) -> None:
        fleet = CrashFleet(workers=3)
        fleet.crash_after_s = 2.5
        fleet.add_job(1, Step(1, 1000), {0}, work_s=100.0)
        for number in range(2, 150):
            fleet.add_job(number, Step(1, 1000), work_s=0.8)
            fleet.run(0.3)
        assert max(fleet.crashes.values()) >= 3
        assert max(fleet.further_starts.values()) < 3
