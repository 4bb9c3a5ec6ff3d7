"""Decisions on a cell: gangs, advice, sharing, placement and order."""

from __future__ import annotations

from dataclasses import replace

import pytest
from cell_helpers import CELL, job

from chivetray.capacity.move_plan import plan_moves
from chivetray.capacity.sizing import PoolState, PoolVm
from chivetray.cells.advice import get_ticket, record_tickets
from chivetray.cells.evacuation import evacuate, reserve_workers
from chivetray.cells.gangs import stop_broken_gangs
from chivetray.cells.load import measure_load
from chivetray.cells.orders import StopReason
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start, reject_start
from chivetray.cells.sharing import (
    confirm_pace,
    find_pace_changes,
    has_mixed_tasks,
)
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.jobs.job import Job, decode_spec, encode_spec, job_age_s
from chivetray.jobs.model import JobState, Phase, Step
from chivetray.jobs.pacing import choose_pace
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)
from chivetray.scheduling.ordering import order_key
from chivetray.scheduling.run_times import RunTimes

JOB = "00000000000000aa"


def entry(name: str, rack: str = "r1", cpu: int = 4000) -> WorkerRecord:
    labels = ("a", rack)
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", False, 1, cpu, 65536, 0, labels
    )


def cell(*entries: WorkerRecord) -> CellState:
    state = CellState(CELL)
    state.update_workers(entries, 0.0)
    for worker in state.workers.values():
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
    return state


def end(
    state: CellState, worker: str, number: int, index: int, how: AttemptEnd
) -> None:
    task = state.jobs[JOB].tasks[(0, 0, index)]
    ended = EndedTask(number, TaskName(JOB, task.key), task.attempt, how, "")
    reply = Reply(Verdict.OK, 2000, 1, [], [ended])
    apply_poll_reply(state, state.workers[worker], reply, 0.0, 1.0)


class TestGangs:
    def test_nothing_starts_until_all_members_have_room(self) -> None:
        state = cell(entry("w0"))
        state.add_job(job(steps=(Step(5, 1000, gang=True),)), 0.0)
        assert place_tasks(state, 0.0, 0) == []
        state.update_workers([entry("w0"), entry("w1")], 0.0)
        state.workers["w1"].tasks_known = True
        state.workers["w1"].clock.observe(1000, 0.0, 0.0)
        placed = place_tasks(state, 0.0, 0)
        assert len(placed) == 5
        assert {p.attempt for p in placed} == {1}

    def test_one_end_done_is_the_end_of_all(self) -> None:
        state = cell(entry("w0"))
        state.add_job(job(steps=(Step(3, 1000, gang=True),)), 0.0)
        place_tasks(state, 0.0, 0)
        end(state, "w0", 1, 0, AttemptEnd.DONE)
        assert state.jobs[JOB].state == JobState.COMPLETED

    def test_members_of_a_broken_gang_are_stopped_and_start_again_together(
        self,
    ) -> None:
        state = cell(entry("w0"), entry("w1"))
        state.add_job(job(steps=(Step(4, 2000, gang=True),)), 0.0)
        placed = place_tasks(state, 0.0, 0)
        reject_start(state, placed[0], 0.5)
        stop_broken_gangs(state)
        assert len(state.stop_orders) == 3
        assert place_tasks(state, 0.6, 0) == []

    def test_an_attempt_of_a_gang_fails_once(self) -> None:
        state = cell(entry("w0"))
        state.add_job(job(steps=(Step(3, 1000, gang=True),), max_attempts=2), 0.0)
        place_tasks(state, 0.0, 0)
        end(state, "w0", 1, 0, AttemptEnd.FAILED)
        end(state, "w0", 2, 1, AttemptEnd.FAILED)
        assert state.jobs[JOB].state != JobState.FAILED
        assert {t.failures for t in state.jobs[JOB].tasks.values()} == {1}

    def test_an_attempt_that_an_earlier_owner_counted_does_not_fail_again(
        self,
    ) -> None:
        """Each member's failure once counted anew after a change of owner."""
        state = cell(entry("w0"))
        state.add_job(job(steps=(Step(3, 1000, gang=True),), max_attempts=2), 0.0)
        place_tasks(state, 0.0, 0)
        end(state, "w0", 1, 0, AttemptEnd.FAILED)
        later = cell(entry("w0"))
        later.restore_job(state.jobs[JOB].spec, state.jobs[JOB].encode(), 1, 2.0)
        later.attach_restored_tasks(2.0, 0.0, {})
        end(later, "w0", 2, 1, AttemptEnd.FAILED)
        assert later.jobs[JOB].state != JobState.FAILED
        assert {t.failures for t in later.jobs[JOB].tasks.values()} == {1}

    def test_a_gang_on_one_rack_is_placed_on_one_where_it_fits(self) -> None:
        state = cell(entry("w0", "r1"), entry("w1", "r2"), entry("w2", "r2"))
        step = Step(6, 1000, gang=True, same_rack=True)
        state.add_job(job(steps=(step,)), 0.0)
        assert {p.worker_id for p in place_tasks(state, 0.0, 0)} == {"w1", "w2"}


class TestAdvice:
    def test_a_step_waits_for_tickets_and_uses_only_workers_with_one(self) -> None:
        state = cell(entry("w0"), entry("w1"))
        state.add_job(job(steps=(Step(2, 1000),), ticket_validity_ms=3000), 0.0)
        assert place_tasks(state, 0.0, 0) == []
        (name, asked), *_ = state.advice_wanted.items()
        assert sorted(asked) == ["w0", "w1"]
        record_tickets(state, name, asked, {"w1": "t-1"}, valid_until_s=3.0)
        placed = place_tasks(state, 0.1, 0)
        assert {p.worker_id for p in placed} == {"w1"}
        assert get_ticket(state, placed[0].ref, "w1") == "t-1"

    def test_workers_that_may_not_run_a_step_are_not_asked_about_again(self) -> None:
        state = cell(entry("w0"), entry("w1"))
        state.add_job(job(steps=(Step(1, 1000),), ticket_validity_ms=3000), 0.0)
        place_tasks(state, 0.0, 0)
        (name, asked), *_ = state.advice_wanted.items()
        record_tickets(state, name, asked, {"w1": "t-1"}, valid_until_s=1.0)
        state.advice_wanted.clear()
        place_tasks(state, 2.0, 0)
        assert state.advice_wanted[name] == ["w1"]

    def test_a_step_that_waits_for_room_does_not_ask_again(self) -> None:
        """One call is made at a time, and the steps behind it never got theirs."""
        state = cell(entry("w0"), entry("w1"))
        first = job(steps=(Step(5, 1000),), ticket_validity_ms=5000)
        second = job("00000000000000bb", (Step(1, 4000),), ticket_validity_ms=5000)
        state.add_job(first, 0.0)
        state.add_job(second, 1.0)
        record_tickets(state, (JOB, 0, 0), ["w0", "w1"], {"w0": "t"}, 100.0)
        assert len(place_tasks(state, 2.0, 0)) == 4
        state.advice_wanted.clear()
        assert place_tasks(state, 3.0, 0) == []
        assert list(state.advice_wanted) == [("00000000000000bb", 0, 0)]

    def test_tickets_that_have_expired_are_asked_for_again(self) -> None:
        state = cell(entry("w0"), entry("w1"))
        state.add_job(job(steps=(Step(5, 1000),), ticket_validity_ms=5000), 0.0)
        record_tickets(state, (JOB, 0, 0), ["w0", "w1"], {"w0": "t"}, 5.0)
        assert len(place_tasks(state, 2.0, 0)) == 4
        place_tasks(state, 6.0, 0)
        assert state.advice_wanted == {(JOB, 0, 0): ["w0"]}


class TestSharing:
    @staticmethod
    def worker_over_its_target() -> tuple[CellState, WorkerState]:
        """Return a worker whose serving task is slow beside a best-effort one."""
        state = cell(entry("w0"))
        serving = Step(1, 1000, long_running=True, target_ms=100)
        filling = Step(1, 1000, long_running=True, best_effort=True)
        state.add_job(job(steps=(serving, filling)), 0.0)
        placed = place_tasks(state, 0.0, 0)
        running = [
            RunningTask(TaskName(*p.ref), p.attempt, "", 100, 150) for p in placed
        ]
        worker = state.workers["w0"]
        apply_poll_reply(state, worker, Reply(Verdict.OK, 1, 1, running), 0.0, 1.0)
        return state, worker

    def test_fills_are_slowed_down_fast_and_speed_up_slowly(self) -> None:
        assert choose_pace(100, 1.2) == 0
        assert choose_pace(100, 0.9) == 40
        assert choose_pace(40, 0.7) == 40
        assert choose_pace(40, 0.3) == 48

    def test_a_tail_above_its_target_stops_fills_on_its_worker(self) -> None:
        state, worker = self.worker_over_its_target()
        assert has_mixed_tasks(worker)
        assert [order[2] for order in find_pace_changes(state, worker)] == [0]

    def test_a_pace_that_no_worker_confirmed_is_sent_again(self) -> None:
        state, worker = self.worker_over_its_target()
        (change,) = find_pace_changes(state, worker)
        assert find_pace_changes(state, worker) == [change]
        confirm_pace(state, worker, *change)
        assert find_pace_changes(state, worker) == []

    def test_fills_use_no_processor_room(self) -> None:
        state = cell(entry("w0", cpu=1000))
        state.add_job(job(steps=(Step(1, 1000), Step(3, 1000, best_effort=True))), 0.0)
        assert len(place_tasks(state, 0.0, 0)) == 4


class TestEvacuation:
    def test_long_running_tasks_leave_one_at_a_time(self) -> None:
        state = cell(entry("w0"), entry("w1"))
        step = Step(2, 1000, long_running=True, max_unavailable=1)
        state.add_job(job(steps=(step,)), 0.0)
        placed = place_tasks(state, 0.0, 0)
        for p in placed:
            confirm_start(state, p.ref, p.attempt, 0.1)
        for task in state.jobs[JOB].tasks.values():
            task.percent = 100
        reserve_workers(state, {p.worker_id for p in placed}, 1.0)
        evacuate(state, 1.0)
        phases = [t.phase for t in state.jobs[JOB].tasks.values()]
        assert sorted(phases) == [Phase.RUNNING, Phase.STOPPING]

    def test_nothing_is_placed_on_a_reserved_worker(self) -> None:
        state = cell(entry("w0"))
        reserve_workers(state, {"w0"}, 0.0)
        state.add_job(job(), 0.0)
        assert place_tasks(state, 0.1, 0) == []

    def test_a_later_owner_counts_a_task_that_is_being_stopped_as_away(self) -> None:
        """It once moved a second task while the first was still being stopped."""
        state = cell(entry("w0"), entry("w1"))
        step = Step(2, 1000, long_running=True, max_unavailable=1)
        state.add_job(job(steps=(step,)), 0.0)
        for p in place_tasks(state, 0.0, 0):
            confirm_start(state, p.ref, p.attempt, 0.1)
        for task in state.jobs[JOB].tasks.values():
            task.percent = 100
        state.take_changed_jobs()
        workers = {task.worker for task in state.jobs[JOB].tasks.values()}
        reserve_workers(state, workers, 1.0)
        evacuate(state, 1.0)
        assert [changed.spec.job_id for changed in state.take_changed_jobs()] == [JOB]
        later = cell(entry("w0"), entry("w1"))
        progress = state.jobs[JOB].encode()
        later.restore_job(state.jobs[JOB].spec, progress, 1, 2.0)
        later.attach_restored_tasks(2.0, 0.0, {})
        phases = [t.phase for t in later.jobs[JOB].tasks.values()]
        assert Phase.STOPPING in phases
        for task in later.jobs[JOB].tasks.values():
            task.percent = 100
            if task.phase == Phase.PLACED:
                confirm_start(later, (JOB, task.key), task.attempt, 2.1)
        reserve_workers(later, workers, 3.0)
        evacuate(later, 3.0)
        phases = [t.phase for t in later.jobs[JOB].tasks.values()]
        assert sorted(phases) == [Phase.RUNNING, Phase.STOPPING]


class TestLongRunningTaskWithoutRoom:
    """A wave empties a VM of a small pool, whose tasks may not share a worker."""

    @staticmethod
    def running(*workers: str) -> CellState:
        state = cell(*(entry(name) for name in workers))
        step = Step(2, 1000, long_running=True, per_worker=1, max_unavailable=1)
        state.add_job(job(steps=(step,)), 0.0)
        for placement in place_tasks(state, 0.0, 0):
            confirm_start(state, placement.ref, placement.attempt, 0.0)
        for task in state.jobs[JOB].tasks.values():
            task.percent = 100
        return state

    def test_it_is_not_stopped_before_it_can_go_elsewhere(self) -> None:
        """One was once away for 14 s, until a peak brought another VM."""
        state = self.running("w0", "w1")
        reserve_workers(state, ["w0"], 1.0)
        evacuate(state, 1.0)
        assert not state.stop_orders
        state.update_workers([entry("w0"), entry("w1"), entry("w2")], 1.5)
        state.workers["w2"].tasks_known = True
        state.workers["w2"].clock.observe(1000, 0.0, 0.0)
        evacuate(state, 1.6)
        assert [order.worker_id for order in state.stop_orders] == ["w0"]

    def test_one_that_waits_asks_for_another_vm(self) -> None:
        state = self.running("w0")
        assert measure_load(state, 1.0, 0).required_workers == 2
        assert measure_load(self.running("w0", "w1"), 1.0, 0).required_workers == 0

    def test_workers_that_do_not_answer_are_no_room(self) -> None:
        """They counted as VMs of the pool, so that it got no other one."""
        state = cell(entry("w0"), entry("w1"))
        for worker in state.workers.values():
            worker.silent_since_s = 1.0
        state.add_job(job(steps=(Step(1, 1000, long_running=True),)), 0.0)
        required = measure_load(state, 5.0, 0).required_workers
        vms = [PoolVm(f"m{n}", f"w{n}", 4000, 0, 5000, True) for n in range(2)]
        spare = PoolVm("m2", "", 4000, 0, 0, True)
        pool = PoolState(CELL, 0, vms, 0, required)
        moves = plan_moves([pool], "standby", [spare]).moves
        assert [(move.machine, move.target) for move in moves] == [("m2", CELL)]


class TestQuarantine:
    """A worker on which tasks of many jobs fail runs one task at a time."""

    @staticmethod
    def quarantined() -> CellState:
        state = cell(entry("w0"))
        state.workers["w0"].failing_jobs = {f"job-{number}" for number in range(4)}
        return state

    def test_a_gang_does_not_start_there(self) -> None:
        state = self.quarantined()
        state.add_job(job(steps=(Step(3, 500, gang=True),)), 0.0)
        assert place_tasks(state, 10.0, 0) == []
        assert not state.workers["w0"].tasks

    def test_a_step_with_tickets_puts_one_task_there(self) -> None:
        state = self.quarantined()
        steps = (Step(3, 500), Step(3, 500))
        state.add_job(job(steps=steps, ticket_validity_ms=5000), 0.0)
        for number in range(2):
            record_tickets(state, (JOB, 0, number), ["w0"], {"w0": "t"}, 100.0)
        assert len(place_tasks(state, 10.0, 0)) == 1
        assert state.workers["w0"].probed_at_s == 10.0

    def test_a_long_running_task_there_does_not_keep_it_closed(self) -> None:
        """Such a task never ends, and nothing was placed beside it for ever."""
        state = cell(entry("w0"))
        state.add_job(job(steps=(Step(1, 1000, long_running=True),)), 0.0)
        place_tasks(state, 0.0, 0)
        for number in range(1, 5):
            failing = job(f"{number:016x}", (Step(1, 100),), max_attempts=1)
            state.add_job(failing, 0.0)
            place_tasks(state, 0.0, 0)
            name = TaskName(failing.job_id, (0, 0, 0))
            ended = EndedTask(number, name, 1, AttemptEnd.FAILED, "")
            reply = Reply(Verdict.OK, 2000, 1, [], [ended])
            apply_poll_reply(state, state.workers["w0"], reply, 0.0, 1.0)
        assert state.workers["w0"].quarantined
        state.add_job(job("00000000000000bb", (Step(3, 100),)), 1.0)
        assert len(place_tasks(state, 10.0, 0)) == 1
        assert place_tasks(state, 20.0, 0) == []

    @pytest.mark.parametrize(("percent", "is_open"), [(100, True), (0, False)])
    def test_a_long_running_task_at_work_ends_it(
        self, percent: int, is_open: bool
    ) -> None:
        """It is never done, so that the worker ran nothing else for ever."""
        state = self.quarantined()
        lasting = state.add_job(job(steps=(Step(1, 1000, long_running=True),)), 0.0)
        assert len(place_tasks(state, 10.0, 0)) == 1
        task = lasting.tasks[(0, 0, 0)]
        confirm_start(state, (JOB, task.key), 1, 10.0)
        running = RunningTask(TaskName(JOB, task.key), 1, "", percent, 0)
        reply = Reply(Verdict.OK, 2000, 1, [running], [])
        apply_poll_reply(state, state.workers["w0"], reply, 13.0, 13.0)
        state.add_job(job("00000000000000bb"), 1.0)
        assert bool(place_tasks(state, 13.0, 0)) == is_open


class TestRestoredJobs:
    def test_they_are_no_arrivals(self) -> None:
        """After a take-over, 20 old jobs once counted as a peak of 155 cores."""
        state = cell(entry("w0"))
        for number in range(20):
            spec = job(f"{number:016x}", (Step(4, 4000, estimate_ms=2000),))
            state.restore_job(spec, Job(spec).encode(), 1, 0.0)
        assert state.arrivals.required_cores(0.1) == 0.0


class TestOccurrences:
    def test_an_occurrence_starts_when_it_is_due(self) -> None:
        state = cell(entry("w0"))
        spec = job(steps=(Step(1, 500),), repeats=3, start_at_ms=1000, interval_ms=500)
        state.add_job(spec, 0.0)
        assert place_tasks(state, 0.0, 999) == []
        assert [p.ref[1][0] for p in place_tasks(state, 0.0, 1500)] == [0, 1]


class TestPeakOfOneQueue:
    """A queue asks five times its mean: as few jobs as possible become late."""

    def test_small_jobs_go_before_large_ones_that_can_still_be_in_time(self) -> None:
        times = RunTimes()
        small = Job(job(steps=(Step(2, 1000, estimate_ms=500),), stretch=3.0), 0.0)
        large = Job(job(steps=(Step(9, 1000, estimate_ms=500),), stretch=3.0), 0.0)
        keys = [order_key(j, times, 0.0, 5000.0) for j in (small, large)]
        assert keys[0] < keys[1]

    def test_jobs_that_cannot_be_in_time_come_last_and_oldest_first(self) -> None:
        times = RunTimes()
        spec = job(steps=(Step(1, 1000, estimate_ms=500),))
        jobs = [Job(spec, seen_s) for seen_s in (0, 1, 9.8)]
        keys = [order_key(j, times, 10.0, 1000.0) for j in jobs]
        assert keys[2] < keys[0] < keys[1]


class TestStorage:
    def test_progress_survives_a_change_of_owner(self) -> None:
        state = cell(entry("w0"))
        spec = job(steps=(Step(3, 1000), Step(1, 500, depends_on=(0,))))
        state.add_job(spec, 0.0)
        place_tasks(state, 0.0, 0)
        end(state, "w0", 1, 1, AttemptEnd.DONE)
        restored = Job(decode_spec(encode_spec(spec)))
        restored.restore(state.jobs[JOB].encode())
        tasks = restored.tasks
        assert tasks[(0, 0, 1)].phase == Phase.DONE
        assert tasks[(0, 0, 0)].phase == Phase.PLACED
        assert tasks[(0, 0, 0)].worker == "w0"
        assert restored.spec == spec


class TestOldListOfWorkers:
    """A later owner once took the first reply of a worker for a restart.

    Its list was older than the worker's incarnation, and it gave up attempts that an
    earlier owner had placed in that incarnation.
    """

    @staticmethod
    def taken_over(stop: bool, copies: bool = False) -> CellState:
        state = CellState(CELL)
        state.update_workers([replace(entry("w0"), incarnation=2)], 0.0)
        worker = state.workers["w0"]
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
        step = Step(1, 1000, copies=copies)
        added = state.add_job(job(steps=(step,)), 0.0)
        place_tasks(state, 0.0, 0)
        if stop:
            state.stop_attempt(added, (0, 0, 0), StopReason.EVACUATION)
        later = CellState(CELL)
        later.update_workers([entry("w0"), entry("w1")], 1.0)
        later.restore_job(added.spec, added.encode(), 1, 1.0)
        later.attach_restored_tasks(1.0, 5.0, {})
        return later

    def test_an_attempt_that_is_being_stopped_there_is_waited_for(self) -> None:
        later = self.taken_over(stop=True)
        running = [RunningTask(TaskName(JOB, (0, 0, 0)), 1, "", 50, 0)]
        reply = Reply(Verdict.OK, 2000, 2, running)
        apply_poll_reply(later, later.workers["w0"], reply, 1.1, 1.2)
        assert later.jobs[JOB].tasks[(0, 0, 0)].phase == Phase.STOPPING

    @pytest.mark.parametrize("stop", [False, True])
    def test_its_lease_is_waited_for_if_the_worker_falls_silent(
        self, stop: bool
    ) -> None:
        later = self.taken_over(stop)
        worker = later.workers["w0"]
        later.update_workers([replace(entry("w0"), incarnation=2), entry("w1")], 1.5)
        worker.silent_since_s = 1.6
        later.expire_leases(5.9)
        assert later.jobs[JOB].tasks[(0, 0, 0)].active
        later.expire_leases(6.1)
        assert later.jobs[JOB].tasks[(0, 0, 0)].phase == Phase.WAITING

    def test_a_list_between_two_restarts_changes_nothing(self) -> None:
        later = self.taken_over(stop=True)
        later.jobs[JOB].tasks[(0, 0, 0)].incarnation = 3
        later.update_workers([replace(entry("w0"), incarnation=2)], 1.5)
        assert later.jobs[JOB].tasks[(0, 0, 0)].phase == Phase.STOPPING
        assert later.jobs[JOB].tasks[(0, 0, 0)].incarnation == 3

    def test_an_older_attempt_there_is_not_stopped(self) -> None:
        later = self.taken_over(stop=False, copies=True)
        task = later.jobs[JOB].tasks[(0, 0, 0)]
        task.retire_newest_attempt()
        running = [RunningTask(TaskName(JOB, (0, 0, 0)), 1, "", 50, 0)]
        reply = Reply(Verdict.OK, 2000, 2, running)
        apply_poll_reply(later, later.workers["w0"], reply, 1.1, 1.2)
        assert task.copies == {1: "w0"}
        assert not later.stop_orders


class TestChangeOfOwner:
    def test_a_job_keeps_the_time_of_its_acceptance(self) -> None:
        """A new owner once counted a job's objective from its own take-over."""
        assert job_age_s(job(accepted_ms=1_000_000), 1_003_500) == 3.5

    def test_a_clock_that_jumped_gives_no_age(self) -> None:
        assert job_age_s(job(accepted_ms=10_000_000), 1_000) == 0.0
        assert job_age_s(job(accepted_ms=0), 3_600_000) == 0.0
