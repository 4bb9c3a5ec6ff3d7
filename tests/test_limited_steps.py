"""Steps with a limit on their tasks on one worker."""

from __future__ import annotations

import asyncio

import anyio
from cell_helpers import CELL, World, job, until

from chivetray.cells.evacuation import has_room
from chivetray.cells.places import count_places, describe_others
from chivetray.cells.placing import place_tasks
from chivetray.cells.polling import WorkerPoller
from chivetray.cells.reports import apply_poll_reply, confirm_start, confirm_stop
from chivetray.cells.state import CellState
from chivetray.cells.timing import MAX_ORDER_DELAY_S
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
        assert count_places(cell.tasks()) == {"w0": 1, "w1": 1, "w2": 1}
        other = (JOB, (0, 0, 1))
        workers = cell.state.workers
        described = describe_others(cell.state, workers[placed[0]], other)
        assert described == [[0, 1, "COPY"]]
        described = describe_others(cell.state, workers[again[0]], other)
        assert described == [[0, 2, "RUNNING"]]

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


class TestAttemptsThatTheOwnerDoesNotKnow:
    """Guards against a task beside a run of its step that no owner counts.

    A later owner found the copy of a done task as unknown, told it to stop, and placed
    another task of the step on its worker while the stop was under way.
    """

    STEP = Step(2, 1000, per_worker=1, copies=True)

    @classmethod
    def taken_over(cls) -> Cell:
        """Return a cell whose owner does not know of the copy of task 0 on w0."""
        before = Cell(cls.STEP, workers=3)
        assert before.place(0.1) == {0: "w0", 1: "w1"}
        before.tasks()[0].retire_newest_attempt()
        before.state.mark_changed(JOB)
        assert before.place(0.2) == {0: "w2"}
        before.poll("w2", 0.3, ends=(ended(1, 0, attempt=2),))
        before.poll("w1", 0.3, ends=(ended(1, 1, AttemptEnd.FAILED),))
        cell = Cell(cls.STEP, workers=1)
        cell.state.jobs.clear()
        cell.state.active.clear()
        content = before.job.encode()
        cell.state.restore_job(before.job.spec, content, 1, 1.0)
        cell.job = cell.state.jobs[JOB]
        cell.state.attach_restored_tasks(1.0, 5.0, {})
        return cell

    def test_they_count_until_the_worker_no_longer_lists_them(self) -> None:
        cell = self.taken_over()
        cell.poll("w0", 1.1, runs=(running(0),))
        (order,) = cell.state.stop_orders
        confirm_stop(cell.state, order, 1, 1.12)
        for now_s in (1.2, 1.5, 1.9):
            assert cell.place(now_s) == {}
        cell.poll("w0", 2.0, runs=(running(0),))
        assert cell.place(2.5) == {}
        cell.poll("w0", 2.6, ends=(ended(1, 0, AttemptEnd.STOPPED),))
        assert cell.place(2.7) == {1: "w0"}

    def test_they_hold_their_room(self) -> None:
        """A worker that checks no admission was given more than its capacity."""
        cell = self.taken_over()
        cell.poll("w0", 1.1, runs=(running(0),))
        large = cell.state.add_job(job("0" * 15 + "b", (Step(1, 3500),)), 1.1)
        place_tasks(cell.state, 1.5, 0)
        assert large.step_tasks(0, 0)[0].phase == Phase.WAITING
        cell.poll("w0", 1.6, ends=(ended(1, 0, AttemptEnd.STOPPED),))
        cell.job.step_tasks(0, 0)[1].not_before_s = 9.0
        place_tasks(cell.state, 1.7, 0)
        assert large.step_tasks(0, 0)[0].worker == "w0"

    def test_the_worker_is_polled_until_they_have_ended(self) -> None:
        cell = self.taken_over()
        cell.poll("w0", 1.1, runs=(running(0),))
        assert WorkerPoller._needs_poll(cell.state.workers["w0"])

    def test_a_worker_that_runs_an_unknown_job_gets_nothing_until_it_ends(self) -> None:
        cell = Cell(self.STEP, workers=1)
        other = TaskName("0" * 15 + "c", (0, 0, 0))
        cell.poll("w0", 1.1, runs=(RunningTask(other, 1, "", 50, 0),))
        assert cell.place(1.9) == {}
        assert WorkerPoller._needs_poll(cell.state.workers["w0"])
        cell.poll("w0", 2.0)
        assert cell.place(2.1) == {0: "w0"}

    def test_a_start_is_not_sent_again_beside_one(self) -> None:
        """A start without answer was sent again while another of its step ran there."""

        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            world.workers.lose_starts = 6
            world.workers.lose_stops = 15
            model = world.models["w0"]
            owner = await world.own()

            async def steps() -> None:
                owner.add_job(job(steps=(Step(2, 1000, per_worker=1),)))
                await until(lambda: bool(world.workers.late))
                first = world.workers.late[0][1]["Task"]
                index = 1 - int(first[-1])
                other = {"Task": f"{JOB}.0.0.{index}", "Attempt": 1}
                model.start({**world.workers.late[0][1], **other})
                await until(lambda: bool(model.running))
                for _ in range(200):
                    await asyncio.sleep(0.01)
                    assert len(model.running) <= 1, list(model.running)
                assert list(model.running) == [first]

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                await steps()
                tasks.cancel_scope.cancel()

        asyncio.run(scenario())


class TestStartsOfThePast:
    """Guards against a start that a worker's next incarnation carries out late.

    The attempt had ended for its owner, who placed another task of the step there.
    """

    STEP = Step(2, 1000, per_worker=1)

    @classmethod
    def unanswered(cls) -> Cell:
        """Return a cell with a start without an answer on its only worker."""
        cell = Cell(cls.STEP, workers=1)
        assert cell.place(0.1) == {0: "w0"}
        cell.tasks()[0].start_unanswered = True
        cell.state.workers["w0"].lease_sent_at_s = 0.1
        return cell

    @staticmethod
    def check_after_restart(cell: Cell, now_s: float) -> None:
        """Check that the step gets no place before the old start is ruled out."""
        cell.tasks()[0].not_before_s = 99.0
        cell.state.stop_orders.clear()
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, now_s)
        (order,) = cell.state.stop_orders
        assert (order.name.key, order.attempt) == ((0, 0, 0), 1)
        cell.state.update_workers([entry("w0", 2)], now_s + 0.05)
        cell.answer_all(now_s + 0.05)
        cell.poll("w0", now_s + 0.1, incarnation=2)
        assert cell.place(now_s + 0.5) == {}
        confirm_stop(cell.state, order, 2, now_s + 0.6)
        assert cell.place(now_s + 0.7) == {}
        cell.poll("w0", now_s + 0.8, incarnation=2)
        assert cell.place(now_s + 0.9) == {1: "w0"}

    def test_an_attempt_that_has_failed(self) -> None:
        cell = self.unanswered()
        cell.poll("w0", 0.5, ends=(ended(1, 0, AttemptEnd.FAILED),))
        self.check_after_restart(cell, 1.0)

    def test_an_attempt_that_was_given_up_with_its_lease(self) -> None:
        cell = self.unanswered()
        worker = cell.state.workers["w0"]
        cell.state.reschedule_worker_tasks(worker, 5.0, "own lease expired")
        self.check_after_restart(cell, 6.0)

    def test_an_attempt_that_is_no_longer_listed(self) -> None:
        cell = self.unanswered()
        cell.poll("w0", 0.5)
        assert cell.tasks()[0].phase == Phase.WAITING
        self.check_after_restart(cell, 1.0)

    def test_a_copy_that_was_forgotten_after_its_stop(self) -> None:
        cell = self.unanswered()
        task = cell.tasks()[0]
        task.retire_newest_attempt()
        cell.poll("w0", 0.5)
        (order,) = cell.state.stop_orders
        confirm_stop(cell.state, order, 1, 0.6)
        cell.poll("w0", 0.7)
        assert not task.copies
        self.check_after_restart(cell, 1.0)

    def test_after_the_longest_delay_of_an_order_nothing_is_waited_for(self) -> None:
        cell = self.unanswered()
        cell.poll("w0", 0.5, ends=(ended(1, 0, AttemptEnd.FAILED),))
        cell.tasks()[0].not_before_s = 99.0
        now_s = 0.6 + MAX_ORDER_DELAY_S
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, now_s)
        cell.state.update_workers([entry("w0", 2)], now_s)
        cell.answer_all(now_s)
        cell.poll("w0", now_s + 0.1, incarnation=2)
        assert cell.place(now_s + 0.2) == {1: "w0"}

    def test_a_second_restart_does_not_extend_that_time(self) -> None:
        cell = self.unanswered()
        cell.poll("w0", 0.5, ends=(ended(1, 0, AttemptEnd.FAILED),))
        self.check_after_restart(cell, 1.0)
        worker = cell.state.workers["w0"]
        assert worker.expects_late_starts(0.5 + MAX_ORDER_DELAY_S)
        assert not worker.expects_late_starts(0.6 + MAX_ORDER_DELAY_S)

    def test_a_restart_without_such_a_start_costs_no_wait(self) -> None:
        cell = Cell(self.STEP, workers=1)
        assert cell.place(0.1) == {0: "w0"}
        cell.poll("w0", 0.2, runs=(running(0),))
        cell.poll("w0", 0.3, ends=(ended(1, 0, AttemptEnd.FAILED),))
        cell.tasks()[0].not_before_s = 99.0
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, 1.0)
        cell.state.update_workers([entry("w0", 2)], 1.0)
        cell.answer_all(1.0)
        cell.poll("w0", 1.1, incarnation=2)
        assert cell.place(1.2) == {1: "w0"}


class TestCrashesBesideStartsOfThePast:
    """Guards against blaming a start that never began for the crash of its worker."""

    @staticmethod
    def restarted() -> Cell:
        cell = TestStartsOfThePast.unanswered()
        worker = cell.state.workers["w0"]
        cell.state.reschedule_worker_tasks(worker, 0.5, "own lease expired")
        cell.tasks()[0].not_before_s = 99.0
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, 1.0)
        cell.answer_all(1.0)
        cell.poll("w0", 1.1, incarnation=2)
        return cell

    def test_one_that_has_not_begun_is_not_blamed(self) -> None:
        cell = self.restarted()
        cell.state.handle_worker_restart(cell.state.workers["w0"], 3, 1.2)
        assert cell.tasks()[0].crashes == 0

    def test_one_that_has_begun_is(self) -> None:
        cell = self.restarted()
        cell.poll("w0", 1.2, runs=(running(0),), incarnation=2)
        cell.state.handle_worker_restart(cell.state.workers["w0"], 3, 1.3)
        assert cell.tasks()[0].crashes == 1


class TestGangs:
    """Guards against a gang that begins its count of a worker at zero."""

    def test_an_older_attempt_of_the_step_counts(self) -> None:
        cell = Cell(Step(2, 1000, per_worker=1, gang=True), workers=2)
        cell.tasks()[0].copies[1] = "w0"
        assert cell.place(0.1) == {}
        cell.tasks()[0].forget_copy(1)
        cell.state.mark_changed(JOB)
        assert sorted(cell.place(0.2).values()) == ["w0", "w1"]


class TestMoves:
    """Guards against a stop of a long-running task that has nowhere to go.

    A worker was taken for one with a place left beside an older attempt of its step.
    """

    def test_a_worker_with_an_older_attempt_of_the_step_is_no_room(self) -> None:
        step = Step(2, 1000, per_worker=1, long_running=True, max_unavailable=1)
        cell = Cell(step, workers=3)
        placed = cell.place(0.1)
        task, other = cell.tasks()
        assert has_room(cell.state, cell.job, task, 0.2)
        (free,) = set(cell.state.workers) - set(placed.values())
        other.copies[7] = free
        assert not has_room(cell.state, cell.job, task, 0.2)


class TestTwoRunsOfOneTask:
    """Guards against a start beside an unexpected run of the same task (TWICE)."""

    def test_a_task_waits_for_its_own_run_that_is_being_stopped(self) -> None:
        cell = Cell(Step(1, 1000), workers=2)
        placed = cell.place(0.1)
        cell.poll(placed[0], 0.5)
        assert cell.tasks()[0].phase == Phase.WAITING
        cell.poll(placed[0], 0.6, runs=(running(0),))
        assert cell.place(0.7) == {}
        end = ended(1, 0, AttemptEnd.STOPPED)
        cell.poll(placed[0], 1.4, ends=(end,))
        assert list(cell.place(1.5)) == [0]

    def test_a_gang_waits_for_such_a_run_of_a_member(self) -> None:
        cell = Cell(Step(2, 1000, gang=True), workers=3)
        placed = cell.place(0.1)
        for task in cell.tasks():
            cell.state.release_attempt(
                cell.state.workers[task.worker], cell.job, task, 0.4
            )
        cell.poll(placed[0], 0.6, runs=(running(0),))
        assert cell.place(0.7) == {}
        end = ended(1, 0, AttemptEnd.STOPPED)
        cell.poll(placed[0], 1.4, ends=(end,))
        assert sorted(cell.place(1.5)) == [0, 1]

    def test_an_old_start_on_a_worker_that_falls_silent_is_not_waited_for(self) -> None:
        cell = TestCrashesBesideStartsOfThePast.restarted()
        others = [entry("w1"), entry("w2")]
        cell.state.update_workers([entry("w0", 2), *others], 1.2)
        cell.answer_all(1.2)
        cell.tasks()[0].not_before_s = 0.0
        assert 0 not in cell.place(1.2)
        cell.state.workers["w0"].silent_since_s = 1.3
        assert cell.place(1.4)[0] in ("w1", "w2")
