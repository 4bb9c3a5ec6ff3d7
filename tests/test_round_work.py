"""Work of one turn of an owner's loop, by the size of a job, which callers choose.

A turn during which the loop stands still answers no caller and sends no heartbeat, so
that another manager takes the cell over and stands still in its turn. Work is counted
in instructions of the interpreter, not in time.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest
from cell_helpers import CELL, job

from chivetray.cells.evacuation import evacuate, reserve_workers
from chivetray.cells.gangs import place_gang
from chivetray.cells.load import measure_load
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.cells.waiting import OwnerStatus, WaitLog
from chivetray.jobs.job import Job
from chivetray.jobs.model import Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

JOB = job().job_id

SIZE = 60
WORKERS = 8


def count_instructions(work: Callable[[], Any]) -> int:
    """Return how many instructions of the interpreter some work takes."""
    count = 0

    def trace(frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def assert_in_proportion(prepare: Callable[[int], Callable[[], Any]]) -> None:
    """Fail if work grows faster than the size.

    :param prepare: returns the work for a size
    """
    counts = [count_instructions(prepare(SIZE * factor)) for factor in (1, 2, 4)]
    first, second = counts[1] - counts[0], counts[2] - counts[1]
    # In proportion, the second difference is twice the first; squared, four times.
    assert second <= 2.4 * max(first, 100), counts


def make_state(workers: int = WORKERS, cpu_milli: int = 16000) -> CellState:
    state = CellState(CELL)
    entries = [
        WorkerRecord(
            f"w{n}", CELL, f"a{n}", "z", False, 1, cpu_milli, 65536, 0, (f"r{n % 4}",)
        )
        for n in range(workers)
    ]
    state.update_workers(entries, 0.0)
    for worker in state.workers.values():
        worker.tasks_known = True
        worker.clock.observe(0, 0.0, 0.0)
    return state


def add(state: CellState, step: Step, **fields: Any) -> Job:
    return state.add_job(job(steps=(step,), **fields), 0.0)


class TestLogOfWaits:
    """Guards against review/6: a gang that fits nowhere stopped all managers."""

    @pytest.mark.parametrize(
        "fields",
        [
            {"gang": True, "cpu_milli": 500},
            {"gang": True, "cpu_milli": 500, "label": "none"},
            {"gang": True, "cpu_milli": 17000},
            {"cpu_milli": 17000},
            {"cpu_milli": 17000, "long_running": True},
        ],
    )
    def test_a_check_of_waiting_tasks(self, fields: dict[str, Any]) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state = make_state()
            add(state, Step(size, **fields))
            log = WaitLog(state)
            return lambda: log.check(OwnerStatus(), 5.0, 0)

        assert_in_proportion(prepare)

    def test_a_check_of_tasks_with_older_attempts(self) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state = make_state()
            found = add(state, Step(size, 17000, copies=True))
            for task in found.step_tasks(0, 0):
                task.copies = {1: f"w{task.key[2] % WORKERS}"}
            log = WaitLog(state)
            return lambda: log.check(OwnerStatus(), 5.0, 0)

        assert_in_proportion(prepare)


class TestGangs:
    """Guards against rounds that look at each member of a gang that has no room."""

    @pytest.mark.parametrize("same_rack", [False, True])
    @pytest.mark.parametrize("per_worker", [False, True])
    def test_a_round_beside_a_gang_that_does_not_fit(
        self, same_rack: bool, per_worker: bool
    ) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state = make_state()
            # All members but a few fit.
            cpu_milli = 1 if per_worker else 16000 // (size // WORKERS) + 1
            per_worker_limit = size // WORKERS - 1 if per_worker else 0
            step = Step(
                size,
                cpu_milli,
                gang=True,
                same_rack=same_rack,
                per_worker=per_worker_limit,
            )
            found = add(state, step)
            tasks, workers = found.step_tasks(0, 0), list(state.workers.values())
            return lambda: place_gang(state, found, step, tasks, workers, 1.0)

        counts = [count_instructions(prepare(size)) for size in (80, 160, 320)]
        # A look at each of the workers for each member takes more.
        assert counts[2] - counts[1] <= 160 * 20 * WORKERS, counts
        assert_in_proportion(prepare)

    def test_one_that_just_fits_is_placed(self) -> None:
        for count, fits in ((64, True), (65, False)):
            state = make_state()
            step = Step(count, 2000, gang=True)
            found = add(state, step)
            tasks, workers = found.step_tasks(0, 0), list(state.workers.values())
            placed = place_gang(state, found, step, tasks, workers, 1.0)
            assert len(placed) == (count if fits else 0)


class TestReports:
    """Guards against replies that look at all tasks of a job for each listed one."""

    @staticmethod
    def run_all(size: int, **fields: Any) -> tuple[CellState, Job]:
        state = make_state(workers=1, cpu_milli=10**9)
        found = add(state, Step(size, 0, **fields), max_attempts=5)
        worker = state.workers["w0"]
        for task in found.step_tasks(0, 0):
            state.assign(found, task, found.spec.steps[0], worker, 1.0)
            confirm_start(state, (JOB, task.key), task.attempt, 1.0)
        return state, found

    @staticmethod
    def reply(state: CellState, running: Any = (), ended: Any = ()) -> None:
        reply = Reply(Verdict.OK, 9, 1, list(running), list(ended))
        apply_poll_reply(state, state.workers["w0"], reply, 2.0, 2.0)

    @pytest.mark.parametrize("gang", [False, True])
    def test_checkpoints_of_running_tasks(self, gang: bool) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state, found = self.run_all(size, gang=gang, checkpointing=True)
            running = [
                RunningTask(TaskName(JOB, key), 1, f"{key[2]:08x}", 50, 0)
                for key in found.tasks
            ]
            return lambda: self.reply(state, running)

        assert_in_proportion(prepare)

    def test_the_checkpoint_of_a_member_is_that_of_its_gang(self) -> None:
        state, found = self.run_all(3, gang=True, checkpointing=True)
        running = [RunningTask(TaskName(JOB, (0, 0, 1)), 1, "01", 50, 0)]
        self.reply(state, running)
        assert {task.checkpoint for task in found.tasks.values()} == {"01"}

    @pytest.mark.parametrize("gang", [False, True])
    @pytest.mark.parametrize("how", [AttemptEnd.FAILED, AttemptEnd.STOPPED])
    def test_ends(self, how: AttemptEnd, gang: bool) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state, found = self.run_all(size, gang=gang)
            ended = [
                EndedTask(number, TaskName(JOB, key), 1, how, f"{number:08x}")
                for number, key in enumerate(found.tasks, 1)
            ]
            return lambda: self.reply(state, (), ended)

        assert_in_proportion(prepare)

    def test_ends_of_a_cancelled_job(self) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state, found = self.run_all(size)
            state.cancel(found.spec.name)
            ended = [
                EndedTask(number, TaskName(JOB, key), 1, AttemptEnd.STOPPED, "")
                for number, key in enumerate(found.tasks, 1)
            ]
            return lambda: self.reply(state, (), ended)

        assert_in_proportion(prepare)


class TestLongRunningSteps:
    """Guards against rounds that count a step anew for each of its tasks."""

    @staticmethod
    def at_work(size: int, max_unavailable: int) -> CellState:
        state = make_state(workers=2, cpu_milli=10**9)
        step = Step(size, 0, long_running=True, max_unavailable=max_unavailable)
        found = add(state, step)
        worker = state.workers["w0"]
        for task in found.step_tasks(0, 0):
            state.assign(found, task, step, worker, 1.0)
            confirm_start(state, (JOB, task.key), task.attempt, 1.0)
            task.percent, task.listed_at_s = 100, 9.5
        # One task is away, so that no other may leave with a budget of one.
        found.tasks[(0, 0, size - 1)].percent = 0
        return state

    @pytest.mark.parametrize("max_unavailable", [1, 10**6])
    @pytest.mark.parametrize("how", ["reserved", "draining", "relocated"])
    def test_an_evacuation(self, how: str, max_unavailable: int) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state = self.at_work(size, max_unavailable)
            reserved = ["w0"] if how == "reserved" else []
            reserve_workers(state, reserved, 10.0, (), ["w0"])
            state.workers["w0"].draining = how == "draining"
            return lambda: evacuate(state, 10.0)

        assert_in_proportion(prepare)

    def test_a_report_of_the_load(self) -> None:
        def prepare(size: int) -> Callable[[], Any]:
            state = self.at_work(size, 1)
            return lambda: measure_load(state, 10.0, 0)

        assert_in_proportion(prepare)

    def test_no_more_tasks_are_stopped_than_may_be_away(self) -> None:
        # The task that is away already is moved, too.
        for budget, stopped in ((1, 1), (2, 2), (5, 5), (100, 20)):
            state = self.at_work(20, budget)
            reserve_workers(state, ["w0"], 10.0)
            evacuate(state, 10.0)
            assert len(state.stop_orders) == stopped, budget
