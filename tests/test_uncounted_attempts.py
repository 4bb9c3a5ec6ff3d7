"""Attempts that an owner does not count, and what they may keep waiting."""

from __future__ import annotations

from cell_helpers import CELL
from test_limited_steps import JOB, Cell, ended, entry, running

from chivetray.cells.evacuation import evacuate, may_send_stop, reserve_workers
from chivetray.cells.isolation import is_quiet
from chivetray.cells.load import measure_load
from chivetray.cells.order_sender import OrderSender
from chivetray.cells.orders import Placement
from chivetray.cells.places import has_place
from chivetray.cells.placing import place_tasks
from chivetray.cells.polling import WorkerPoller
from chivetray.cells.reports import confirm_stop, reject_start
from chivetray.cells.state import CellState
from chivetray.events import Event
from chivetray.jobs.model import Phase, Step
from chivetray.platform.workers import AttemptEnd, RunningTask, TaskName


def adopt(before: Cell, names: tuple[str, ...]) -> Cell:
    """Return the cell of a later owner, which has some workers in its first list."""
    cell = Cell(Step(1), workers=0)
    cell.state = CellState(CELL)
    cell.entries = [entry(name) for name in names]
    cell.state.update_workers(cell.entries, 1.0)
    cell.state.restore_job(before.job.spec, before.job.encode(), 1, 1.0)
    cell.job = cell.state.jobs[JOB]
    cell.state.attach_restored_tasks(1.0, 5.0, {})
    cell.answer_all(1.0)
    return cell


def with_older_run(step: Step) -> Cell:
    """Return a cell that stops a run of task 0 on w0, which it did not expect.

    A later attempt of the task was rejected.
    """
    cell = Cell(step, workers=1)
    assert cell.place(0.1)[0] == "w0"
    cell.poll("w0", 0.5, tuple(running(n) for n in range(1, step.count)))
    assert cell.tasks()[0].phase == Phase.WAITING
    cell.tasks()[0].attempt = 2
    cell.poll("w0", 0.6, tuple(running(n) for n in range(step.count)))
    assert cell.tasks()[0].copies == {1: "w0"}
    return cell


class TestOlderAttemptsAfterAChangeOfOwner:
    def test_one_that_is_listed_is_stopped(self) -> None:
        """Guards against a task that waits for a run which nobody stops."""
        cell = adopt(with_older_run(Step(1, 1000, long_running=True)), ("w0", "w1"))
        cell.poll("w0", 1.1, (running(0),))
        orders = [(o.name.key, o.attempt) for o in cell.state.stop_orders]
        assert orders == [((0, 0, 0), 1)]

    def test_one_does_not_keep_a_reserved_worker_for_ever(self) -> None:
        """Guards against a VM that waits for a run which nobody stops."""
        cell = adopt(with_older_run(Step(1, 1000, long_running=True)), ("w0", "w1"))
        for now_s in (1.1, 5.0, 9.0, 13.0, 17.0):
            cell.poll("w0", now_s, (running(0),))
            reserve_workers(cell.state, ["w0"], now_s)
            evacuate(cell.state, now_s)
            place_tasks(cell.state, now_s, 0)
        assert cell.state.stop_orders

    def test_one_on_a_worker_that_is_listed_later_has_a_place(self) -> None:
        """Guards against a start beside a copy whose worker was not in the list."""
        before = Cell(Step(2, 1000, per_worker=1, copies=True), workers=2)
        before.tasks()[0].attempt = 1
        before.tasks()[0].copies[1] = "w0"
        cell = adopt(before, ("w1",))
        cell.state.update_workers([entry("w0"), entry("w1")], 1.5)
        cell.answer_all(1.5)
        cell.poll("w0", 1.6, (running(0),))
        step = cell.job.spec.steps[0]
        worker = cell.state.workers["w0"]
        assert worker.used_cpu_milli == 1000
        assert not has_place(worker, (JOB, (0, 0, 1)), step)

    def test_one_on_a_worker_that_is_listed_later_is_polled_for(self) -> None:
        """Guards against a task that waits for a run whose end nobody asks for."""
        cell = adopt(with_older_run(Step(1, 1000)), ("w1",))
        cell.state.update_workers([entry("w0"), entry("w1")], 1.5)
        cell.answer_all(1.5)
        cell.poll("w0", 1.6, (running(0),))
        worker = cell.state.workers["w0"]
        is_free = not cell.state.awaits_older_attempt(
            cell.tasks()[0], cell.job.spec.steps[0]
        )
        assert is_free or WorkerPoller._needs_poll(worker)

    def test_a_task_does_not_wait_for_one_that_has_gone(self) -> None:
        """Guards against a task that waits for an attempt that is not there."""
        cell = adopt(with_older_run(Step(1, 1000)), ("w1",))
        cell.state.update_workers([entry("w0"), entry("w1")], 1.5)
        cell.answer_all(1.5)
        for now_s in (1.6, 2.0, 2.4):
            cell.poll("w0", now_s)
            for order in cell.state.stop_orders:
                confirm_stop(cell.state, order, 1, now_s + 0.1)
        assert cell.place(30.0) == {0: "w1"}


class TestTwoRunsOfOneTask:
    def test_a_listed_run_on_a_silent_worker_is_awaited_until_its_lease_ends(
        self,
    ) -> None:
        """Guards against a start beside a run that a silent worker goes on with."""
        cell = with_older_run(Step(1, 1000))
        cell.state.update_workers([entry("w0"), entry("w1")], 0.6)
        cell.answer_all(0.6)
        worker = cell.state.workers["w0"]
        # The worker's clock shows 1000 ms at 0.6 s.
        worker.deadline_ms, worker.lease_sent_at_s = 8000, 0.6
        worker.silent_since_s = worker.last_silence_at_s = 0.7
        cell.state.expire_leases(0.8)
        assert cell.place(0.8) == {}
        cell.state.expire_leases(9.0)
        assert cell.place(9.0) == {0: "w1"}

    def test_an_earlier_owner_s_run_on_a_worker_that_is_not_listed_is_awaited(
        self,
    ) -> None:
        """Guards against a start beside a run whose worker the first list lacks."""
        cell = adopt(with_older_run(Step(1, 1000)), ("w1",))
        assert cell.place(1.1) == {}
        for now_s in (6.1, 6.2):
            cell.state.expire_leases(now_s)
        assert cell.place(6.3) == {0: "w1"}


class TestUnexpectedAttemptBesideTheNewestOne:
    def test_it_counts_once_the_newest_one_is_rejected(self) -> None:
        """Guards against a place given away with the attempt that held it."""
        cell = Cell(Step(2, 1000, per_worker=1), workers=1)
        assert cell.place(0.1) == {0: "w0"}
        cell.poll("w0", 0.5)
        cell.tasks()[1].not_before_s = 99.0
        cell.state.mark_changed(JOB)
        (placement,) = place_tasks(cell.state, 0.6, 0)
        assert placement.attempt == 2
        cell.poll("w0", 0.7, (running(0, 1),))
        reject_start(cell.state, placement, 0.71)
        cell.tasks()[0].not_before_s = 99.0
        cell.tasks()[1].not_before_s = 0.0
        assert cell.place(0.8) == {}

    def test_its_worker_is_polled_once_the_newest_one_is_rejected(self) -> None:
        """Guards against a run that is not listed again, since nothing asks for it."""
        cell = Cell(Step(1, 1000), workers=1)
        cell.place(0.1)
        cell.poll("w0", 0.5)
        (placement,) = place_tasks(cell.state, 0.6, 0)
        cell.poll("w0", 0.7, (running(0, 1),))
        reject_start(cell.state, placement, 0.71)
        assert WorkerPoller._needs_poll(cell.state.workers["w0"])


class TestStartsOfThePast:
    @staticmethod
    def with_two_ended_attempts() -> Cell:
        cell = Cell(Step(1, 1000), workers=1)
        for attempt in (1, 2):
            place_tasks(cell.state, attempt, 0)
            task = cell.tasks()[0]
            task.start_unanswered = True
            worker = cell.state.workers["w0"]
            cell.state.release_attempt(worker, cell.job, task, attempt + 0.5)
        cell.state.stop_orders.clear()
        return cell

    def test_the_newest_one_of_a_task_is_stopped_until_it_is_ruled_out(self) -> None:
        """Guards against a late start of a second attempt, whose stop was lost.

        A worker that has stopped an attempt rejects the lower ones, not the higher.
        """
        cell = self.with_two_ended_attempts()
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, 3.0)
        assert 2 in cell.tasks()[0].copies

    def test_its_room_is_kept_until_its_stop_is_answered(self) -> None:
        """Guards against a late start beside tasks that fill its worker (LIMIT)."""
        cell = Cell(Step(2, 4000), workers=1)
        assert cell.place(0.1) == {0: "w0"}
        task, other = cell.tasks()
        task.start_unanswered = True
        worker = cell.state.workers["w0"]
        cell.state.reschedule_worker_tasks(worker, 5.0, "own lease expired")
        task.not_before_s = 99.0
        cell.state.handle_worker_restart(worker, 2, 6.0)
        cell.state.update_workers([entry("w0", 2)], 6.05)
        cell.poll("w0", 6.1, incarnation=2)
        worker.clock.observe(1000, 6.1, 6.1)
        place_tasks(cell.state, 6.12, 0)
        assert other.phase == Phase.WAITING

    def test_polls_are_short_until_one_is_ruled_out(self) -> None:
        """Guards against waits of two polls of 2 s for an answer that is there."""
        cell = self.with_two_ended_attempts()
        worker = cell.state.workers["w0"]
        cell.state.handle_worker_restart(worker, 2, 3.0)
        poller = WorkerPoller.__new__(WorkerPoller)
        poller._state = cell.state
        assert poller._awaits_listing(worker)


class TestStartsThatWait:
    def test_two_starts_beyond_the_limit_do_not_wait_for_each_other(self) -> None:
        """Guards against two placed tasks of a step that block each other for ever.

        A release that placed both on one worker leaves them so to its successor.
        """
        before = Cell(Step(2, 1000, per_worker=2), workers=1)
        assert len(before.place(0.1)) == 2
        spec = before.job.spec
        cell = Cell(Step(2, 1000, per_worker=1), workers=1)
        cell.state.jobs.clear()
        cell.state.active.clear()
        cell.state.restore_job(cell.job.spec, before.job.encode(), 1, 1.0)
        assert spec.job_id == JOB
        cell.job = cell.state.jobs[JOB]
        cell.state.attach_restored_tasks(1.0, 5.0, {})
        cell.poll("w0", 1.1)
        sender = OrderSender.__new__(OrderSender)
        sender._state, sender._cell_owner = cell.state, _Owner()
        worker, step = cell.state.workers["w0"], cell.job.spec.steps[0]
        withheld = 0
        for task in cell.tasks():
            placement = Placement((JOB, task.key), task.attempt, "w0", 1)
            if not has_place(worker, placement.ref, step):
                withheld += 1
                sender._withhold_start_beside_others(cell.job, task, worker, placement)
        assert withheld < 2 or any(t.phase != Phase.PLACED for t in cell.tasks())


class _Owner:
    epoch = 2

    @staticmethod
    def wake() -> None:
        pass


class TestStopsOfUnexpectedAttempts:
    def test_one_at_work_is_not_stopped_beside_too_many_unavailable(self) -> None:
        """Guards against a stop of a serving task beside one that is away (AVAIL)."""
        step = Step(2, 1000, long_running=True, max_unavailable=1)
        cell = Cell(step, workers=1)
        assert len(cell.place(0.1)) == 2
        cell.poll("w0", 0.5)
        at_work = RunningTask(TaskName(JOB, (0, 0, 0)), 1, "", 100, 0)
        cell.poll("w0", 0.6, (at_work,))
        assert cell.tasks()[1].phase == Phase.WAITING
        orders = cell.state.stop_orders
        assert not any(may_send_stop(cell.state, order, 0.7) for order in orders)


class TestIsolation:
    def test_a_worker_with_a_run_of_a_done_task_is_not_quiet(self) -> None:
        """Guards against blaming a suspect for a crash beside an uncounted run."""
        cell = Cell(Step(1, 1000, copies=True), workers=2)
        placed = cell.place(0.1)
        cell.tasks()[0].retire_newest_attempt()
        cell.state.mark_changed(JOB)
        (second,) = cell.place(0.2).values()
        cell.poll(second, 0.3, ends=(ended(1, 0, attempt=2),))
        worker = cell.state.workers[placed[0]]
        cell.poll(worker.worker_id, 0.4, (running(0),))
        worker.isolated_for = "0" * 15 + "b"
        assert not is_quiet(cell.state, worker)


class TestReportsOfEmptyWorkers:
    def test_a_worker_that_runs_an_unknown_job_is_not_reported_as_empty(self) -> None:
        """Guards against an order for a VM on which a run goes on."""
        cell = Cell(Step(1, 1000), workers=1)
        other = TaskName("0" * 15 + "c", (0, 0, 0))
        cell.poll("w0", 30.0, (RunningTask(other, 1, "", 50, 0),))
        (load,) = measure_load(cell.state, 30.1, 0).workers
        # An order is given for a VM whose worker takes no tasks and is empty.
        assert load.usable or load.tasks or not load.tasks_known


class TestAttemptsThatAreTakenBack:
    """Guards against work that is stopped though nothing else has its place."""

    def test_a_waiting_task_whose_attempt_runs_is_running(self, logged) -> None:
        cell = Cell(Step(1, 1000), workers=2)
        placed = cell.place(0.1)
        cell.poll(placed[0], 0.5)
        cell.poll(placed[0], 0.6, (running(0),))
        assert cell.tasks()[0].phase == Phase.RUNNING
        assert not cell.state.stop_orders
        assert len(logged.of(Event.ATTEMPT_TAKEN_BACK)) == 1
        cell.poll(placed[0], 0.9, ends=(ended(1, 0),))
        assert cell.tasks()[0].phase == Phase.DONE

    def test_one_beyond_the_limit_of_its_step_is_stopped(self) -> None:
        cell = Cell(Step(2, 1000, per_worker=1), workers=1)
        assert cell.place(0.1) == {0: "w0"}
        cell.poll("w0", 0.5)
        cell.tasks()[0].not_before_s = 99.0
        cell.state.mark_changed(JOB)
        assert cell.place(0.6) == {1: "w0"}
        cell.poll("w0", 0.7, (running(0), running(1)))
        assert [order.name.key for order in cell.state.stop_orders] == [(0, 0, 0)]

    def test_one_whose_failure_was_counted_is_stopped(self) -> None:
        cell = Cell(Step(1, 1000), workers=1)
        cell.place(0.1)
        cell.poll("w0", 0.5, ends=(ended(1, 0, AttemptEnd.FAILED),))
        cell.poll("w0", 0.52, (running(0),))
        assert cell.tasks()[0].phase == Phase.WAITING
        assert len(cell.state.stop_orders) == 1


class TestDoneGangs:
    def test_a_listed_member_of_one_does_not_bar_its_worker(self) -> None:
        """Guards against a worker that takes nothing beside a run that it counts."""
        cell = Cell(Step(2, 1000, per_worker=1, gang=True), workers=2)
        placed = cell.place(0.1)
        cell.poll(placed[0], 0.3, ends=(ended(1, 0),))
        assert cell.tasks()[1].phase == Phase.DONE
        cell.poll(placed[1], 0.3, (running(1),))
        assert cell.state.workers[placed[1]].accepts_tasks(0.4)


class TestSecondRestart:
    def test_a_run_that_was_lost_is_not_blamed_for_the_next_crash(self) -> None:
        """Guards against a crash counted for a run that the first crash has ended."""
        cell = with_older_run(Step(1, 1000))
        worker = cell.state.workers["w0"]
        cell.state.handle_worker_restart(worker, 2, 1.0)
        assert cell.tasks()[0].crashes == 1
        cell.state.handle_worker_restart(worker, 3, 2.0)
        assert cell.tasks()[0].crashes == 1

    def test_a_run_that_was_lost_is_not_awaited_on_a_silent_worker(self) -> None:
        """Guards against a task kept away for the longest delay of an order.

        The run has ended with its incarnation; its start may only be carried out late.
        """
        cell = with_older_run(Step(1, 1000))
        worker = cell.state.workers["w0"]
        cell.state.handle_worker_restart(worker, 2, 1.0)
        worker.silent_since_s = worker.last_silence_at_s = 1.1
        step = cell.job.spec.steps[0]
        assert not cell.state.awaits_older_attempt(cell.tasks()[0], step)


class TestAttemptsTakenBack:
    def test_the_pace_of_one_in_a_later_incarnation_is_not_known(self) -> None:
        """Guards against a best-effort task at full speed that counts as paced."""
        cell = Cell(Step(1, 1000, best_effort=True), workers=1)
        cell.place(0.1)
        task = cell.tasks()[0]
        task.pace_percent, task.pace_known = 20, True
        cell.poll("w0", 0.5)
        cell.state.handle_worker_restart(cell.state.workers["w0"], 2, 1.0)
        cell.poll("w0", 1.1, (running(0),), incarnation=2)
        assert task.phase == Phase.RUNNING
        assert task.pace_percent == 100 or not task.pace_known
