"""Tasks that may run twice, on workers that are silent or stand still."""

from __future__ import annotations

import msgpack
from cell_helpers import CELL, job

from chivetray.cells.copies import copy_tasks, resend_copy_stops
from chivetray.cells.orders import StopReason
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import (
    apply_poll_reply,
    confirm_start,
    confirm_stop,
)
from chivetray.cells.state import CellState
from chivetray.events import Event
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobState, Phase, Step, Task
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
KEY = (0, 0, 0)
REF = (JOB, KEY)


def entry(name: str) -> WorkerRecord:
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", False, 1, 4000, 65536, 0, ("a", "r1")
    )


class Copied:
    """A cell with one task at work, whose worker has fallen silent."""

    def __init__(self, copies: bool = True, long_running: bool = False, **fields: int):
        self.state = CellState(CELL)
        self.state.update_workers([entry("w0"), entry("w1")], 0.0)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        step = Step(1, 3000, estimate_ms=200, copies=copies, long_running=long_running)
        spec = job(steps=(step,), **fields)
        self.job: Job = self.state.add_job(spec, 0.0)
        (placed,) = place_tasks(self.state, 0.0, 0)
        self.old = placed.worker_id
        self.new = "w1" if self.old == "w0" else "w0"
        confirm_start(self.state, REF, 1, 0.1)
        self.state.take_changed_jobs()

    @property
    def task(self) -> Task:
        return self.job.tasks[KEY]

    def silence(self, now_s: float = 1.0) -> list[str]:
        """Let the worker be silent since 0.2 s; return where the task starts."""
        self.state.workers[self.old].silent_since_s = 0.2
        copy_tasks(self.state, now_s)
        return [p.worker_id for p in place_tasks(self.state, now_s, 0)]

    def look(
        self, worker: str, *ends: EndedTask, running: int = 0, sent_at_s: float = 2.0
    ) -> None:
        """Let a worker answer with its ends and the attempt that runs there."""
        listed = [RunningTask(TaskName(JOB, KEY), running, "", 50, 0)]
        reply = Reply(Verdict.OK, 2000, 1, listed if running else [], list(ends))
        self.state.workers[worker].silent_since_s = 0.0
        apply_poll_reply(
            self.state, self.state.workers[worker], reply, sent_at_s, sent_at_s + 0.1
        )

    def end(self, worker: str, attempt: int, how: AttemptEnd) -> None:
        self.look(worker, EndedTask(1, TaskName(JOB, KEY), attempt, how, ""))

    def stopped(self) -> set[tuple[str, int]]:
        return {(order.worker_id, order.attempt) for order in self.state.stop_orders}


class TestSilentWorker:
    def test_the_task_starts_elsewhere_long_before_its_lease_is_over(self) -> None:
        """It once waited 7 s for the lease, whatever the step allowed."""
        copied = Copied()
        assert copied.silence() == [copied.new]
        assert copied.task.attempt == 2

    def test_without_leave_for_copies_it_waits(self) -> None:
        copied = Copied(copies=False)
        assert copied.silence() == []
        assert copied.task.attempt == 1

    def test_one_lost_call_is_no_reason(self) -> None:
        assert Copied().silence(now_s=0.5) == []

    def test_there_is_one_copy_at_most(self) -> None:
        copied = Copied()
        copied.silence()
        copied.state.workers[copied.new].silent_since_s = 1.1
        copy_tasks(copied.state, 3.0)
        assert copied.task.phase == Phase.PLACED

    def test_the_room_of_the_older_run_stays_taken(self) -> None:
        copied = Copied()
        copied.silence()
        copied.look(copied.old, running=1)
        assert copied.state.workers[copied.old].used_cpu_milli == 3000


class TestSlowRun:
    def test_a_run_that_takes_several_times_as_long_is_copied(self) -> None:
        copied = Copied()
        copy_tasks(copied.state, 30.0)
        (placed,) = place_tasks(copied.state, 30.0, 0)
        assert placed.worker_id == copied.new

    def test_a_run_of_usual_length_is_not(self) -> None:
        copied = Copied()
        copy_tasks(copied.state, 0.4)
        assert place_tasks(copied.state, 0.4, 0) == []


class TestEnds:
    def test_the_end_of_the_older_run_counts_and_the_newer_is_stopped(self) -> None:
        copied = Copied()
        copied.silence()
        copied.end(copied.old, 1, AttemptEnd.DONE)
        assert copied.job.state == JobState.COMPLETED
        assert (copied.new, 2) in copied.stopped()

    def test_the_end_of_the_newer_run_stops_the_older(self) -> None:
        copied = Copied()
        copied.silence()
        confirm_start(copied.state, REF, 2, 1.1)
        copied.end(copied.new, 2, AttemptEnd.DONE)
        assert copied.job.state == JobState.COMPLETED
        assert (copied.old, 1) in copied.stopped()

    def test_failed_runs_of_both_count_among_the_attempts(self) -> None:
        copied = Copied(max_attempts=2)
        copied.silence()
        confirm_start(copied.state, REF, 2, 1.1)
        copied.end(copied.old, 1, AttemptEnd.FAILED)
        assert copied.job.state == JobState.RUNNING
        copied.end(copied.new, 2, AttemptEnd.FAILED)
        assert copied.job.state == JobState.FAILED

    def test_an_older_run_of_a_lasting_task_that_fails_does_not_end_the_job(
        self,
    ) -> None:
        """Guards against the stop of healthy runs, as such tasks may fail at any time.

        A start without answer was carried out late, and failed at once.
        """
        copied = Copied(max_attempts=1, long_running=True)
        copied.state.keep_older_attempt(
            copied.state.workers[copied.new],
            copied.job,
            copied.task,
            7,
            StopReason.UNKNOWN_ATTEMPT,
        )
        copied.end(copied.new, 7, AttemptEnd.FAILED)
        assert copied.job.state == JobState.RUNNING
        assert copied.task.failures == 1 and not copied.task.copies

    def test_a_cancelled_job_stops_both(self) -> None:
        copied = Copied()
        copied.silence()
        copied.state.cancel(copied.job.spec.name)
        assert copied.stopped() == {(copied.old, 1), (copied.new, 2)}

    def test_an_older_run_that_is_gone_leaves_its_room_and_cannot_come_late(
        self,
    ) -> None:
        copied = Copied()
        copied.silence()
        copied.look(copied.old)
        assert copied.state.workers[copied.old].used_cpu_milli == 0
        assert copied.stopped() == {(copied.old, 1)}
        assert copied.task.phase == Phase.PLACED


class TestMissingCopy:
    """An older attempt that one poll did not list was once forgotten at once.

    Its delayed start was then carried out, and its end ignored.
    """

    @staticmethod
    def missing() -> Copied:
        copied = Copied()
        copied.silence()
        copied.look(copied.old)
        return copied

    @staticmethod
    def confirm(copied: Copied, incarnation: int, now_s: float) -> None:
        (order,) = [o for o in copied.state.stop_orders if o.attempt == 1]
        confirm_stop(copied.state, order, incarnation, now_s)

    def test_it_is_kept_and_its_stop_repeated_until_answered(self) -> None:
        copied = self.missing()
        assert copied.task.copies == {1: copied.old}
        assert REF in copied.state.workers[copied.old].tasks
        copied.state.stop_orders.clear()
        resend_copy_stops(copied.state, copied.state.workers[copied.old], 2.3)
        assert copied.stopped() == {(copied.old, 1)}

    def test_nothing_is_placed_there_before_the_stop_is_answered(self) -> None:
        copied = self.missing()
        worker = copied.state.workers[copied.old]
        assert not worker.accepts_tasks(2.2)
        resend_copy_stops(copied.state, worker, 2.35)
        assert not worker.accepts_tasks(2.6)
        self.confirm_all(copied, 2.6)
        resend_copy_stops(copied.state, worker, 2.6)
        assert worker.accepts_tasks(2.7)

    @staticmethod
    def confirm_all(copied: Copied, now_s: float) -> None:
        for order in copied.state.stop_orders:
            confirm_stop(copied.state, order, 1, now_s)

    def test_a_late_run_holds_its_resources_again(self) -> None:
        copied = self.missing()
        copied.look(copied.old, running=1)
        assert copied.state.workers[copied.old].used_cpu_milli == 3000

    def test_the_end_of_a_late_run_counts(self) -> None:
        copied = self.missing()
        copied.end(copied.old, 1, AttemptEnd.DONE)
        assert copied.job.state == JobState.COMPLETED
        assert not copied.task.copies.get(1)

    def test_a_poll_sent_after_the_answer_settles_it(self) -> None:
        copied = self.missing()
        self.confirm(copied, incarnation=1, now_s=2.05)
        copied.look(copied.old)
        assert copied.task.copies == {1: copied.old}
        copied.look(copied.old, sent_at_s=2.1)
        assert copied.task.copies == {}
        assert REF not in copied.state.workers[copied.old].tasks

    def test_a_stop_answered_by_another_incarnation_settles_nothing(self) -> None:
        copied = self.missing()
        self.confirm(copied, incarnation=2, now_s=2.05)
        copied.look(copied.old, sent_at_s=2.1)
        assert copied.task.copies == {1: copied.old}

    def test_it_is_stopped_in_the_next_incarnation_of_its_worker_too(self) -> None:
        copied = self.missing()
        self.confirm(copied, incarnation=1, now_s=2.05)
        copied.state.stop_orders.clear()
        worker = copied.state.workers[copied.old]
        copied.state.handle_worker_restart(worker, 2, 2.2)
        assert copied.task.copies == {1: copied.old}
        assert copied.stopped() == {(copied.old, 1)}
        assert copied.task.stopping_copies == {1: 0.0}

    def test_the_newest_attempt_of_a_task_done_by_another_is_kept_too(self) -> None:
        copied = Copied()
        copied.silence()
        copied.end(copied.old, 1, AttemptEnd.DONE)
        copied.state.stop_orders.clear()
        resend_copy_stops(copied.state, copied.state.workers[copied.new], 2.3)
        assert copied.stopped() == {(copied.new, 2)}

    def test_a_later_owner_reads_the_incarnation_of_its_worker(self) -> None:
        restored = Job(self.missing().job.spec)
        restored.restore(self.missing().job.encode())
        assert restored.tasks[KEY].copy_incarnations == {1: 1}

    def test_stored_progress_of_earlier_releases_is_read(self) -> None:
        values = msgpack.unpackb(self.missing().job.encode())
        values[-1] = [row[:11] for row in values[-1]]
        restored = Job(self.missing().job.spec)
        restored.restore(msgpack.packb(values))
        assert list(restored.tasks[KEY].copies) == [1]


class TestEndOfAForgottenAttempt:
    """Its end once had no effect and was acknowledged; the task ran again."""

    def test_an_end_done_counts_and_the_newest_attempt_is_stopped(self) -> None:
        copied = Copied()
        copied.silence()
        copied.task.copies.clear()
        copied.end(copied.old, 1, AttemptEnd.DONE)
        assert copied.job.state == JobState.COMPLETED
        assert (copied.new, 2) in copied.stopped()

    def test_an_end_done_counts_while_the_task_waits(self) -> None:
        copied = Copied(copies=False)
        copied.state.reschedule_worker_tasks(
            copied.state.workers[copied.old], 1.0, "the lease has expired"
        )
        copied.end(copied.old, 1, AttemptEnd.DONE)
        assert copied.job.state == JobState.COMPLETED
        assert place_tasks(copied.state, 3.0, 0) == []

    def test_the_end_is_stored_before_it_is_acknowledged(self) -> None:
        copied = Copied(copies=False)
        worker = copied.state.workers[copied.old]
        copied.state.reschedule_worker_tasks(worker, 1.0, "the lease has expired")
        copied.state.take_changed_jobs()
        copied.end(copied.old, 1, AttemptEnd.DONE)
        assert copied.state.changed_job_ids() == {JOB}

    def test_an_attempt_that_the_task_never_had_does_not_count(self) -> None:
        copied = Copied()
        copied.end(copied.old, 2, AttemptEnd.DONE)
        assert copied.job.state == JobState.RUNNING

    def test_an_end_that_is_not_done_changes_nothing(self) -> None:
        copied = Copied()
        copied.silence()
        copied.task.copies.clear()
        copied.end(copied.old, 1, AttemptEnd.FAILED)
        assert copied.task.failures == 0
        assert copied.task.phase == Phase.PLACED

    def test_one_end_done_of_an_older_attempt_of_a_gang_counts_for_all(self) -> None:
        state = CellState(CELL)
        state.update_workers([entry("w0")], 0.0)
        worker = state.workers["w0"]
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
        gang = state.add_job(job(steps=(Step(3, 1000, gang=True),)), 0.0)
        place_tasks(state, 0.0, 0)
        state.reschedule_worker_tasks(worker, 1.0, "the lease has expired")
        place_tasks(state, 1.1, 0)
        ended = EndedTask(1, TaskName(JOB, KEY), 1, AttemptEnd.DONE, "")
        apply_poll_reply(state, worker, Reply(Verdict.OK, 2000, 1, [], [ended]), 2, 2.1)
        assert gang.state == JobState.COMPLETED
        assert {order.attempt for order in state.stop_orders} == {2}
        assert len({order.name.key for order in state.stop_orders}) == 3


class TestLaterOwner:
    def test_it_knows_the_older_run_and_counts_its_room(self) -> None:
        copied = Copied()
        copied.silence()
        later = CellState(CELL)
        later.update_workers([entry("w0"), entry("w1")], 2.0)
        later.restore_job(copied.job.spec, copied.job.encode(), 7, 2.0)
        later.attach_restored_tasks(2.0, 0.0, {})
        assert later.jobs[JOB].tasks[KEY].copies == {1: copied.old}
        assert later.workers[copied.old].used_cpu_milli == 3000
        assert later.workers[copied.new].used_cpu_milli == 3000

    def test_a_run_that_it_does_not_know_keeps_its_worker_unused_until_it_ends(
        self,
    ) -> None:
        copied = Copied()
        reply = Reply(
            Verdict.OK,
            2000,
            1,
            [RunningTask(TaskName("00000000000000bb", KEY), 1, "", 50, 0)],
            [],
        )
        worker = copied.state.workers[copied.new]
        apply_poll_reply(copied.state, worker, reply, 2.0, 2.1)
        assert not worker.accepts_tasks(2.2)
        assert not worker.accepts_tasks(9.0)
        gone = Reply(Verdict.OK, 100, 1, [], [])
        apply_poll_reply(copied.state, worker, gone, 9.1, 9.2)
        assert worker.accepts_tasks(9.3)


class TestOlderAttemptOfADoneTask:
    """Guards against a stop order for each poll that lists an attempt being stopped.

    On played days, one order every 15 to 30 ms went out while a stop took its time.
    """

    def test_it_is_stopped_once_and_is_no_unknown_attempt(self, logged) -> None:
        copied = Copied()
        copied.silence()
        task = copied.state.jobs[JOB].tasks[KEY]
        copied.job.mark_done(task, 2.0)
        copied.state.stop_orders.clear()
        running = [RunningTask(TaskName(JOB, KEY), 1, "", 50, 0)]
        for number in range(5):
            reply = Reply(Verdict.OK, 2000, 1, running, [])
            sent_at_s = 2.1 + number / 10
            worker = copied.state.workers[copied.old]
            apply_poll_reply(copied.state, worker, reply, sent_at_s, sent_at_s)
        (order,) = copied.state.stop_orders
        assert (order.attempt, order.worker_id) == (1, copied.old)
        assert not logged.of(Event.ATTEMPT_UNKNOWN)
