"""What the log tells of tasks that wait though their turn has come.

After a day on which a task was away for 12 s, the logs showed neither what it waited
for nor until when, and three causes looked the same.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import anyio
import pytest
from cell_helpers import CELL, World, job, until

from chivetray.cells.evacuation import await_reservations, evacuate, reserve_workers
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.cells.timing import MAX_EARLIER_LEASE_S
from chivetray.cells.waiting import (
    MAX_LINES,
    MAX_QUEUED_JOBS_CHECKED,
    WAIT_CHECK_INTERVAL_S,
    NoticeLog,
    OwnerStatus,
    WaitLog,
)
from chivetray.events import Event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.platform.calls import NoAnswer
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import Reply, RunningTask, TaskName, Verdict

JOB = "00000000000000aa"
LASTING = Step(1, 1000, long_running=True, max_unavailable=1)


def entry(name: str, incarnation: int = 1, draining: bool = False) -> WorkerRecord:
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", draining, incarnation, 4000, 8192, 0, ()
    )


class Cell:
    """A cell whose waits are checked as its owner does.

    :param now_s: time at which the owner took the cell
    """

    def __init__(self, *workers: str, step: Step = LASTING, now_s: float = 10.0):
        self.state = CellState(CELL)
        self.state.epoch = 3
        self.state.owned_since_s = self.now_s = now_s
        self.state.update_workers([entry(name) for name in workers], now_s)
        for name in workers:
            self.hear(name)
        self.job: Job = self.state.add_job(job(steps=(step,)), now_s)
        self.log = WaitLog(self.state)

    def hear(self, name: str) -> None:
        worker = self.state.workers[name]
        worker.tasks_known = True
        worker.clock.observe(1000, self.now_s, self.now_s)

    @property
    def tasks(self) -> list[Task]:
        return [self.job.tasks[key] for key in sorted(self.job.tasks)]

    def place(self, run: bool = True) -> None:
        for placed in place_tasks(self.state, self.now_s, 0):
            if run:
                confirm_start(self.state, placed.ref, placed.attempt, self.now_s)

    def silence(self, name: str) -> None:
        self.state.workers[name].silent_since_s = self.now_s

    def later_owner(self, now_s: float, *workers: str) -> Cell:
        """Return the cell of the next owner, which knows only what is stored."""
        later = Cell(*workers, now_s=now_s)
        later.state.jobs.clear()
        later.state.active.clear()
        later.state.epoch = self.state.epoch + 1
        later.state.restore_job(self.job.spec, self.job.encode(), 1, now_s)
        later.job = later.state.jobs[JOB]
        later.state.attach_restored_tasks(now_s, MAX_EARLIER_LEASE_S, {})
        return later

    def wait(self, wait_s: float, status: OwnerStatus | None = None) -> None:
        """Let time pass with a check at each interval."""
        for _ in range(round(wait_s / WAIT_CHECK_INTERVAL_S)):
            self.now_s += WAIT_CHECK_INTERVAL_S
            self.log.check(status or OwnerStatus(), self.now_s, 0)


class TestHypotheses:
    """The causes of a task away for long could not be told apart from the logs."""

    def test_a_new_owner_waits_for_leases_of_the_earlier_one(self, logged) -> None:
        before = Cell("w0", "w1")
        before.place()
        task_worker = before.tasks[0].worker
        later = before.later_owner(20.0, "w0", "w1")
        later.silence(task_worker)
        later.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "lease of an earlier owner"
        assert line["workers"] == [task_worker]
        assert (line["epoch"], line["owned_s"]) == (4, 1.0)
        assert (line["away_s"], line["long_running"]) == (1.0, True)
        assert line["left_s"] == pytest.approx(MAX_EARLIER_LEASE_S - 1.0, abs=0.01)
        assert line["leases"][task_worker]["earlier_lease_s"] == line["left_s"]

    def test_a_take_over_keeps_a_task_from_empty_workers(self, logged) -> None:
        before = Cell("w0")
        before.place(run=False)
        before.state.release_attempt(
            before.state.workers["w0"], before.job, before.tasks[0], 11.0
        )
        later = before.later_owner(20.0, "w0", "w1")
        await_reservations(later.state, 20.0)
        later.place()
        later.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "open VM order after a take-over"
        assert (line["left_s"], line["away_s"]) == (5.0, 1.0)
        assert line["obstacles"] == {"open VM order after a take-over": 2}

    def test_a_worker_has_restarted_and_fallen_silent(self, logged) -> None:
        cell = Cell("w0", "w1")
        cell.place(run=False)
        worker = cell.state.workers[cell.tasks[0].worker]
        cell.tasks[0].start_unanswered = True
        worker.lease_sent_at_s, worker.deadline_ms = 10.0, 5000
        cell.state.handle_worker_restart(worker, 2, 11.0)
        cell.silence(worker.worker_id)
        cell.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "late orders to a restarted worker"
        assert line["left_s"] > 15
        assert line["phases"] == ["PLACED"]

    def test_a_request_of_the_holder_is_no_take_over(self, logged) -> None:
        cell = Cell("w0")
        reserve_workers(cell.state, [], 10.0, ["w0"])
        cell.place()
        cell.wait(2.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["workers"]) == ("open VM order", ["w0"])

    def test_an_own_lease_on_a_silent_worker(self, logged) -> None:
        cell = Cell("w0")
        cell.place()
        cell.state.workers["w0"].deadline_ms = 8000
        cell.silence("w0")
        cell.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["phases"]) == ("lease", ["RUNNING"])
        assert 5.9 < line["left_s"] < 6.3


class TestAttempts:
    def test_a_start_without_an_answer(self, logged) -> None:
        cell = Cell("w0")
        cell.place(run=False)
        cell.tasks[0].unanswered_starts = 2
        cell.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["unanswered_tries"]) == ("start order", 2)
        assert "left_s" not in line

    def test_a_start_that_waits_for_the_removal_of_a_stored_lease_end(
        self, logged
    ) -> None:
        cell = Cell("w0")
        cell.place(run=False)
        cell.state.hold_lease_end("w0", 17.0)
        cell.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "removal of the stored lease end"

    @pytest.mark.parametrize(
        ("status", "reason"),
        [
            (OwnerStatus(10.0, frozenset({JOB})), "store"),
            (OwnerStatus(may_grant_leases=False), "leases paused"),
            (OwnerStatus(may_start=False), "scan for cancellations"),
        ],
    )
    def test_a_start_that_is_not_sent(self, logged, status, reason: str) -> None:
        cell = Cell("w0")
        cell.place(run=False)
        cell.wait(3.0, status)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == reason

    def test_stops_that_are_put_off_sent_and_carried_out(self, logged) -> None:
        cell = Cell("w0", "w1", step=Step(2, 3000, long_running=True))
        cell.place()
        worker = cell.state.workers["w0"]
        worker.draining = True
        evacuate(cell.state, cell.now_s)
        (task,) = (t for t in cell.tasks if t.phase == Phase.STOPPING)
        cell.wait(3.0)
        task.stop_sent = True
        cell.wait(1.0)
        task.stopped_at_s = cell.now_s
        cell.wait(1.0)
        reasons = [line["reason"] for line in logged.of(Event.TASK_WAITS)]
        assert reasons == ["stop put off", "stop order", "report of the end"]

    def test_a_worker_that_was_not_polled_since_a_take_over(self, logged) -> None:
        before = Cell("w0")
        before.place()
        later = before.later_owner(20.0, "w0")
        later.state.workers["w0"].tasks_known = False
        later.wait(3.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "first reply"
        assert line["left_s"] == pytest.approx(MAX_EARLIER_LEASE_S - 1.0, abs=0.01)

    def test_tasks_at_work_are_not_told(self, logged) -> None:
        cell = Cell("w0")
        cell.place()
        cell.wait(5.0)
        assert not logged.of(Event.TASK_WAITS)


def change_worker(**fields: Any) -> Any:
    def change(cell: Cell) -> None:
        for name, value in fields.items():
            setattr(cell.state.workers["w0"], name, value)

    return change


class TestWaitingTasks:
    @pytest.mark.parametrize(
        ("change", "reason", "left_s"),
        [
            (change_worker(used_cpu_milli=4000), "no room", None),
            (change_worker(cpu_milli=500), "no suitable worker", None),
            (change_worker(listed=False), "worker that is not listed", None),
            (change_worker(silent_since_s=9.0), "silent worker", None),
            (change_worker(tasks_known=False), "worker without a reply", None),
            (change_worker(draining=True), "draining worker", None),
            (change_worker(reserved_until_s=14.0), "reserved worker", 3.0),
            (change_worker(unhealthy_until_s=14.0), "paused worker", 3.0),
            (
                change_worker(failing_jobs=set("abcd"), probed_at_s=11.0),
                "quarantined worker",
                2.0,
            ),
        ],
    )
    def test_what_keeps_them_from_a_worker(
        self, logged, change, reason: str, left_s: float | None
    ) -> None:
        cell = Cell("w0")
        change(cell)
        assert not place_tasks(cell.state, cell.now_s, 0)
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line.get("left_s")) == (reason, left_s)
        assert line["obstacles"] == {reason: 1}

    def test_the_obstacle_that_ends_first_is_the_reason(self, logged) -> None:
        cell = Cell("w0", "w1", "w2", "w3")
        cell.state.workers["w0"].used_cpu_milli = 4000
        cell.state.workers["w1"].reserved_until_s = 15.0
        cell.state.workers["w2"].unhealthy_until_s = 13.0
        cell.state.workers["w3"].silent_since_s = 9.0
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["workers"]) == ("paused worker", ["w2"])
        assert line["obstacles"] == {
            "no room": 1,
            "reserved worker": 1,
            "paused worker": 1,
            "silent worker": 1,
        }

    def test_a_limit_per_worker(self, logged) -> None:
        cell = Cell("w0", step=Step(2, 1000, long_running=True, per_worker=1))
        cell.place()
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["first"]) == ("limit per worker", [1])

    @pytest.mark.parametrize(
        ("status", "reason"),
        [
            (OwnerStatus(leaving=True), "owner leaves"),
            (OwnerStatus(storing_since_s=10.0), "store"),
            (OwnerStatus(may_place=False), "scan for cancellations"),
        ],
    )
    def test_an_owner_that_places_nothing(self, logged, status, reason: str) -> None:
        cell = Cell("w0")
        cell.wait(2.0, status)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == reason

    def test_tickets(self, logged) -> None:
        cell = Cell()
        cell.state.add_job(
            job("00000000000000bb", (LASTING,), ticket_validity_ms=900), 10.0
        )
        cell.state.update_workers([entry("w0")], 10.0)
        cell.hear("w0")
        cell.place()
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "ticket"

    def test_a_gang_waits_for_its_members_and_for_room(self, logged) -> None:
        cell = Cell("w0", step=Step(2, 3000, gang=True))
        cell.wait(2.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["tasks"]) == ("room for the gang", 2)

    def test_an_older_attempt_that_may_run_on_the_only_worker(self, logged) -> None:
        cell = Cell("w0", step=Step(1, 1000, copies=True))
        cell.place()
        cell.tasks[0].retire_newest_attempt()
        cell.state.mark_changed(JOB)
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert line["reason"] == "older attempt there"

    def test_a_worker_to_avoid_is_no_reason(self, logged) -> None:
        """Such a worker is used if no other has room, so nothing waits for it."""
        cell = Cell("w0")
        cell.job.step_tasks(0, 0)[0].avoided_workers.add("w0")
        cell.place()
        cell.wait(3.0)
        assert not logged.of(Event.TASK_WAITS)

    def test_a_pause_after_a_failure(self, logged) -> None:
        cell = Cell("w0")
        cell.state.workers["w0"].used_cpu_milli = 4000
        cell.place()
        cell.job.step_tasks(0, 0)[0].not_before_s = 12.0
        cell.wait(1.0)
        (line,) = logged.of(Event.TASK_WAITS)
        assert (line["reason"], line["left_s"]) == ("retry pause", 1.0)


class TestLines:
    """Lines for each round would push other lines out of the queue."""

    def test_short_waits_are_not_told(self, logged) -> None:
        cell = Cell()
        cell.wait(0.5)
        assert not logged.of(Event.TASK_WAITS)

    def test_a_line_when_the_reason_changes_and_one_at_the_end(self, logged) -> None:
        cell = Cell("w0", step=Step(24, 100, long_running=True))
        worker = cell.state.workers["w0"]
        worker.reserved_until_s = 100.0
        cell.wait(5.0)
        worker.reserved_until_s, worker.draining = 0.0, True
        cell.wait(2.0)
        worker.draining = False
        cell.place()
        cell.wait(1.0)
        lines = logged.of(Event.TASK_WAITS)
        assert [line["reason"] for line in lines] == [
            "reserved worker",
            "draining worker",
        ]
        assert [line["tasks"] for line in lines] == [24, 24]
        assert lines[0]["first"] == list(range(20))
        (end,) = logged.of(Event.TASK_WAIT_ENDED)
        assert (end["tasks"], end["phase"], end["away_s"]) == (24, "RUNNING", 7.5)
        assert end["spent_s"] == {"reserved worker": 5.0, "draining worker": 2.5}

    def test_a_reason_that_returns_is_not_told_again(self, logged) -> None:
        cell = Cell("w0")
        for _ in range(5):
            cell.state.workers["w0"].draining = True
            cell.wait(1.0)
            cell.state.workers["w0"].draining = False
            cell.state.workers["w0"].used_cpu_milli = 4000
            cell.wait(1.0)
            cell.state.workers["w0"].used_cpu_milli = 0
        assert len(logged.of(Event.TASK_WAITS)) == 2

    def test_a_task_that_joins_the_wait_is_told(self, logged) -> None:
        cell = Cell("w0", "w1", step=Step(2, 3000, long_running=True))
        cell.place()
        for worker in cell.state.workers.values():
            worker.deadline_ms = 90000
        cell.silence("w0")
        cell.wait(2.0)
        cell.silence("w1")
        cell.wait(2.0)
        assert [line["tasks"] for line in logged.of(Event.TASK_WAITS)] == [1, 2]

    def test_the_end_of_the_job_ends_the_wait(self, logged) -> None:
        cell = Cell()
        cell.wait(2.0)
        cell.state.cancel(cell.state.jobs[JOB].spec.name)
        cell.wait(2.0)
        (end,) = logged.of(Event.TASK_WAIT_ENDED)
        assert end["job"] == JOB

    def test_a_silent_zone_writes_a_limited_number_of_lines_at_once(
        self, logged
    ) -> None:
        cell = Cell(*(f"w{number}" for number in range(20)))
        for number in range(1000, 1200):
            cell.state.add_job(job(f"{number:016x}", (Step(1, 100),)), 10.0)
        cell.place()
        for worker in cell.state.workers.values():
            worker.deadline_ms = 90000
            cell.silence(worker.worker_id)
        counts = []
        for _ in range(6):
            cell.wait(0.5)
            counts.append(len(logged.of(Event.TASK_WAITS)))
        assert counts == [0, MAX_LINES, 2 * MAX_LINES, 3 * MAX_LINES, 200, 201]
        assert logged.of(Event.TASK_WAITS)[0]["long_running"]

    def test_a_long_queue_costs_little_and_hides_no_lasting_job(self, logged) -> None:
        cell = Cell(*(f"w{number}" for number in range(200)))
        for worker in cell.state.workers.values():
            worker.used_cpu_milli = 4000
        for number in range(5000):
            spec = job(f"{number:016x}", (Step(10, 1000),))
            cell.state.add_job(spec, 10.0)
        cell.place()
        started_s = time.process_time()
        cell.wait(5.0)
        assert (time.process_time() - started_s) / 10 < 0.05
        lines = logged.of(Event.TASK_WAITS)
        assert len(lines) <= MAX_QUEUED_JOBS_CHECKED + 1
        assert lines[0]["job"] == JOB and lines[0]["long_running"]


class TestOwner:
    def test_a_store_that_does_not_answer_is_told(self, logged) -> None:
        world = World(workers=1)

        async def main() -> None:
            owner = await world.own()
            world.store.fail = lambda number, body: NoAnswer("away")
            owner.add_job(job(steps=(LASTING,)))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.run)
                await until(lambda: logged.of(Event.TASK_WAITS))
                tasks.cancel_scope.cancel()

        asyncio.run(main())
        assert logged.of(Event.TASK_WAITS)[0]["reason"] == "store"
        (loaded,) = logged.of(Event.CELL_LOADED)
        assert (loaded["cell"], loaded["epoch"]) == (CELL, 1)


class TestNotices:
    def test_jobs_of_a_cell_without_an_owner_are_told(self, logged) -> None:
        owners: dict[str, str] = {}
        log = NoticeLog(owners.get)
        jobs = {job().name: job()}
        for tenth in range(0, 40, 5):
            log.check(jobs, {}, 10 + tenth / 10)
        owners[CELL] = "m2"
        log.check(jobs, {}, 14.0)
        log.check(jobs, {}, 14.5)
        log.check({}, {}, 15.0)
        first, second = logged.of(Event.NOTICE_WAITS)
        assert (first["notice"], first["reason"]) == ("job", "no owner")
        assert (first["waited_s"], first["first"]) == (1.0, [JOB])
        assert (second["reason"], second["owner"]) == ("not confirmed", "m2")
        (end,) = logged.of(Event.NOTICE_CONFIRMED)
        assert end["waited_s"] == 5.0

    def test_a_cancellation_that_the_owner_does_not_confirm_is_told(
        self, logged
    ) -> None:
        log = NoticeLog(lambda _: "m2")
        log.check({}, {job().name: CELL}, 10.0)
        log.check({}, {job().name: CELL}, 11.0)
        (line,) = logged.of(Event.NOTICE_WAITS)
        assert (line["notice"], line["owner"]) == ("cancellation", "m2")


class TestReports:
    def test_an_end_that_a_poll_reports_ends_the_wait(self, logged) -> None:
        """A silent worker that lists the task again is not waited for any more."""
        cell = Cell("w0")
        cell.place()
        cell.state.workers["w0"].deadline_ms = 90000
        cell.silence("w0")
        cell.wait(3.0)
        cell.state.workers["w0"].silent_since_s = 0.0
        running = [RunningTask(TaskName(JOB, (0, 0, 0)), 1, "", 100, 0)]
        reply = Reply(Verdict.OK, 9, 1, running)
        worker = cell.state.workers["w0"]
        apply_poll_reply(cell.state, worker, reply, cell.now_s, cell.now_s)
        cell.wait(0.5)
        (end,) = logged.of(Event.TASK_WAIT_ENDED)
        assert end["spent_s"] == {"lease": 3.5}
