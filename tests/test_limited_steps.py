"""Steps with a limit on their tasks on one worker."""

from __future__ import annotations

from cell_helpers import CELL, job

from chivetray.cells.places import find_places
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.events import Event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

JOB = "00000000000000aa"


def entry(name: str, incarnation: int = 1) -> WorkerRecord:
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", False, incarnation, 4000, 65536, 0, ("a", "r1")
    )


def running(index: int, attempt: int = 1) -> RunningTask:
    return RunningTask(TaskName(JOB, (0, 0, index)), attempt, "", 50, 0)


def ended(
    number: int, index: int, how: AttemptEnd = AttemptEnd.DONE, attempt: int = 1
) -> EndedTask:
    return EndedTask(number, TaskName(JOB, (0, 0, index)), attempt, how, "")


class Cell:
    """A cell with one job of one step."""

    def __init__(self, step: Step, workers: int = 2):
        self.entries = [entry(f"w{number}") for number in range(workers)]
        self.state = CellState(CELL)
        self.state.update_workers(self.entries, 0.0)
        self.answer_all(0.0)
        self.job: Job = self.state.add_job(job(steps=(step,)), 0.0)

    def answer_all(self, now_s: float) -> None:
        """Let all workers have answered their first poll."""
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, now_s, now_s)

    def place(self, now_s: float) -> dict[int, str]:
        """Place waiting tasks, confirm their starts, and return their workers."""
        placements = place_tasks(self.state, now_s, 0)
        for placement in placements:
            confirm_start(self.state, placement.ref, placement.attempt, now_s)
        return {p.ref[1][2]: p.worker_id for p in placements}

    def poll(
        self,
        name: str,
        sent_at_s: float,
        runs: tuple[RunningTask, ...] = (),
        ends: tuple[EndedTask, ...] = (),
        incarnation: int = 1,
    ) -> None:
        """Apply the answer of a worker to a poll."""
        reply = Reply(Verdict.OK, 2000, incarnation, list(runs), list(ends))
        worker = self.state.workers[name]
        apply_poll_reply(self.state, worker, reply, sent_at_s, sent_at_s + 0.01)

    def tasks(self):
        return self.job.step_tasks(0, 0)


class TestLog:
    """The log has to tell who counts on a worker, and why one no longer does."""

    def test_places_are_newest_attempts_and_copies(self) -> None:
        cell = Cell(Step(2, 1000, per_worker=1, copies=True), workers=3)
        placed = cell.place(0.1)
        task = cell.tasks()[0]
        task.retire_newest_attempt()
        cell.state.mark_changed(JOB)
        again = cell.place(0.2)
        places = find_places(cell.tasks())
        assert sorted(places) == ["w0", "w1", "w2"]
        assert [p.state for p in places[placed[0]]] == ["COPY"]
        assert [(p.attempt, p.state) for p in places[again[0]]] == [(2, "RUNNING")]

    def test_each_place_that_is_freed_has_a_line_with_the_reason(self, logged) -> None:
        cell = Cell(Step(2, 1000, per_worker=1))
        placed = cell.place(0.1)
        cell.poll(placed[0], 0.2, ends=(ended(1, 0),))
        cell.poll(placed[1], 0.2, ends=(ended(1, 1, AttemptEnd.FAILED),))
        lines = logged.of(Event.PLACE_FREED)
        assert [(line["worker"], line["reason"]) for line in lines] == [
            (placed[0], "done"),
            (placed[1], "failed"),
        ]

    def test_steps_without_a_limit_have_no_such_lines(self, logged) -> None:
        cell = Cell(Step(1, 1000))
        placed = cell.place(0.1)
        cell.poll(placed[0], 0.2, ends=(ended(1, 0),))
        assert cell.tasks()[0].phase == Phase.DONE
        assert not logged.of(Event.PLACE_FREED)
