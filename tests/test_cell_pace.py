"""What a cell does with the workers that its runs speak against."""

from __future__ import annotations

from cell_helpers import CELL, job

from chivetray.cells.copies import copy_tasks
from chivetray.cells.load import measure_load
from chivetray.cells.pace import (
    REVIEW_INTERVAL_S,
    record_call,
    record_failure,
    record_start,
    review,
)
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.jobs.model import JobSpec, JobState, Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    TaskName,
    Verdict,
)
from chivetray.scheduling.worker_pace import PROBE_INTERVAL_S, Condition

RUN_S = 0.8

# Time at which tasks start.
START_S = 10.0


def entry(name: str, incarnation: int = 1) -> WorkerRecord:
    return WorkerRecord(
        name, CELL, "10.0.0.1:80", "z1", False, incarnation, 4000, 65536, 0, ("a",)
    )


def cell(workers: int = 8) -> CellState:
    state = CellState(CELL)
    state.update_workers([entry(f"w{number}") for number in range(workers)], 0.0)
    for worker in state.workers.values():
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
    return state


def spec(number: int, step: Step | None = None) -> JobSpec:
    step = step or Step(1, 1000, estimate_ms=800, image="work")
    return job(f"{number:016x}", (step,))


def learn(state: CellState, runs: int = 200) -> None:
    """Let the cell know runs of 0.8 s, with 3% of them at seven times."""
    queue = spec(0).queue
    for number in range(runs):
        run_s = RUN_S * (7 if number % 33 == 0 else 0.9 + number % 5 / 20)
        state.times.record(queue, run_s, "work", 800, -100 + number * 0.1)


def condemn(state: CellState, worker_id: str, now_s: float = 0.0) -> None:
    worker = state.workers[worker_id]
    for number in range(6):
        record_start(state, worker, f"refused-{number}", True, now_s)


def run(
    state: CellState, worker_id: str, number: int, run_s: float, now_s: float
) -> None:
    """Let a task of its own job run on a worker."""
    made = state.add_job(spec(number), now_s)
    worker = state.workers[worker_id]
    step, (task,) = made.spec.steps[0], made.step_tasks(0, 0)
    placed = state.assign(made, task, step, worker, now_s)
    confirm_start(state, placed.ref, placed.attempt, now_s)
    name = TaskName(made.spec.job_id, task.key)
    number = worker.last_applied_end + 1
    ended = EndedTask(number, name, task.attempt, AttemptEnd.DONE, "")
    reply = Reply(Verdict.OK, 2000, worker.incarnation, [], [ended])
    apply_poll_reply(state, worker, reply, now_s, now_s + run_s)


class TestChoice:
    def test_an_avoided_worker_gets_nothing_while_others_have_room(self) -> None:
        state = cell(4)
        condemn(state, "w0")
        for number in range(12):
            state.add_job(spec(number), 0.0)
        placed = place_tasks(state, 0.0, 0)
        assert len(placed) == 12
        assert "w0" not in {p.worker_id for p in placed}

    def test_it_gets_what_no_other_has_room_for(self) -> None:
        """No job waits because of a judgement."""
        state = cell(4)
        condemn(state, "w0")
        for number in range(16):
            state.add_job(spec(number), 0.0)
        assert len(place_tasks(state, 0.0, 0)) == 16

    def test_long_running_tasks_run_there_if_nowhere_else(self) -> None:
        state = cell(3)
        for condition in Condition:
            state.workers["w0"].pace.judge(condition, 0.0)
            step = Step(1, 4000, long_running=True, label="a")
            for number in range(3):
                state.add_job(spec(100 + number, step), 0.0)
            assert len(place_tasks(state, 0.0, 0)) == 3
            state = cell(3)

    def test_a_probe_is_one_task_and_goes_there_first(self) -> None:
        state = cell(4)
        condemn(state, "w0")
        now_s = PROBE_INTERVAL_S + 1
        review(state, now_s)
        for number in range(4):
            state.add_job(spec(number), now_s)
        workers = [p.worker_id for p in place_tasks(state, now_s, 0)]
        assert workers.count("w0") == 1

    def test_a_restarted_worker_is_judged_anew(self) -> None:
        state = cell(4)
        condemn(state, "w0")
        state.update_workers([entry("w0", 2)], 1.0)
        assert state.workers["w0"].pace.condition is None


class TestJudgement:
    def test_runs_of_a_slow_worker_judge_it_and_do_not_teach_the_cell(self) -> None:
        state = cell()
        learn(state)
        for number in range(8 * 20):
            factor = 1 if number % 8 else 4
            run(state, f"w{number % 8}", number, factor * RUN_S, 1 + number * 0.1)
        assert state.workers["w0"].pace.condition == Condition.SLOW
        before = state.times.version
        run(state, "w0", 999, 4 * RUN_S, 50.0)
        assert state.times.version == before

    def test_a_run_that_an_earlier_owner_started_is_no_short_run(self) -> None:
        """It once taught the time since the take-over, which drags the median down."""
        state, later = cell(), cell()
        made = state.add_job(spec(1), 0.0)
        (placed,) = place_tasks(state, 0.0, 0)
        later.restore_job(made.spec, made.encode(), 1, 5.0)
        later.attach_restored_tasks(5.0, 0.0, {})
        confirm_start(later, placed.ref, placed.attempt, 5.1)
        review(later, 5.2)
        name = TaskName(made.spec.job_id, placed.ref[1])
        ended = EndedTask(1, name, placed.attempt, AttemptEnd.DONE, "")
        reply = Reply(Verdict.OK, 2000, 1, [], [ended])
        apply_poll_reply(later, later.workers[placed.worker_id], reply, 5.2, 5.3)
        assert later.jobs[made.spec.job_id].state == JobState.COMPLETED
        assert later.times.expected_s(made.spec.queue, 800, "work") == 0.8

    def test_work_that_became_slower_everywhere_is_no_fault_of_the_workers(
        self,
    ) -> None:
        state = cell()
        learn(state)
        for number in range(400):
            run(state, f"w{number % 8}", number, 2 * RUN_S, 1.0 + number * 0.1)
        assert all(w.pace.condition is None for w in state.workers.values())

    def test_at_most_a_quarter_of_the_workers_is_avoided(self) -> None:
        state = cell(8)
        for worker_id in state.workers:
            condemn(state, worker_id)
        judged = [w for w in state.workers.values() if w.pace.condition]
        assert len(judged) == 2

    def test_an_owner_that_is_cut_off_blames_no_worker(self) -> None:
        state = cell(8)
        for _ in range(20):
            for worker in state.workers.values():
                worker.silent_since_s = 1.0
            for worker in state.workers.values():
                record_call(state, worker, True, 2.0)
        assert all(w.pace.condition is None for w in state.workers.values())

    def test_tasks_that_hang_there_judge_it(self) -> None:
        state = cell()
        learn(state)
        for number in range(4):
            step = Step(2, 1000, estimate_ms=800, image="work")
            made = state.add_job(spec(number // 2 * 2 + number % 2, step), 0.0)
            for task in made.step_tasks(0, 0):
                worker = state.workers["w0" if number < 2 else "w1"]
                placed = state.assign(made, task, step, worker, 0.0)
                if worker.worker_id == "w0":
                    confirm_start(state, placed.ref, placed.attempt, 0.1)
        review(state, 5.0)
        assert state.workers["w0"].pace.condition is None
        review(state, 14.0)
        review(state, 14.0 + REVIEW_INTERVAL_S)
        assert state.workers["w0"].pace.condition == Condition.HANGING
        assert state.workers["w1"].pace.condition is None

    def test_chance_failures_lead_to_no_quarantine(self) -> None:
        """Where a third of the tasks fails everywhere, four in a row tell nothing."""
        state = cell()
        for number in range(2000):
            state.failure_rate.observe(number % 3 == 0, 1)
        for number in range(5):
            made = state.add_job(spec(number), 0.0)
            record_failure(state, state.workers["w0"], made, 0.0)
        assert not state.workers["w0"].quarantined

    def test_a_worker_that_fails_everything_is_quarantined(self) -> None:
        state = cell()
        for number in range(8):
            made = state.add_job(spec(number), 0.0)
            record_failure(state, state.workers["w0"], made, 0.0)
        assert state.workers["w0"].quarantined
        assert state.workers["w0"].pace.condition == Condition.FAILING


class TestCopies:
    def running(self, copies: bool, tasks: int = 1, workers: int = 8) -> CellState:
        state = cell(workers)
        learn(state)
        step = Step(1, 1000, estimate_ms=800, image="work", copies=copies)
        for number in range(tasks):
            state.add_job(spec(number, step), 0.0)
        for placed in place_tasks(state, 0.0, 0):
            confirm_start(state, placed.ref, placed.attempt, START_S)
        return state

    def copied(self, state: CellState, elapsed_s: float) -> int:
        copy_tasks(state, START_S + elapsed_s)
        return sum(
            bool(t.copies) for j in state.jobs.values() for t in j.tasks.values()
        )

    def test_a_task_of_the_tail_is_copied_once_that_pays_off(self) -> None:
        state = self.running(copies=True)
        assert self.copied(state, 2.0) == 0
        assert self.copied(state, 2.8) == 1

    def test_a_task_that_is_about_to_end_is_not_copied(self) -> None:
        """Three times the typical run time is past, but little time is left."""
        assert self.copied(self.running(copies=True), 5.0) == 0

    def test_tasks_of_a_slow_worker_are_copied_earlier(self) -> None:
        state = self.running(copies=True)
        (worker,) = (w for w in state.workers.values() if w.tasks)
        worker.pace.judge(Condition.SLOW, 0.0)
        assert self.copied(state, 1.5) == 1

    def test_steps_that_allow_no_copies_get_none(self) -> None:
        state = self.running(copies=False)
        (worker,) = (w for w in state.workers.values() if w.tasks)
        worker.pace.judge(Condition.HANGING, 0.0)
        assert self.copied(state, 60.0) == 0

    def test_copies_do_not_double_the_load_when_all_tasks_take_longer(self) -> None:
        state = self.running(copies=True, tasks=30)
        assert self.copied(state, 2.8) <= 3
        assert self.copied(state, 3.0) <= 3


class TestSizes:
    def test_the_demand_includes_the_tail(self) -> None:
        """3% at seven times are 18% more work than the typical run time tells."""
        state = cell(3)
        learn(state)
        state.add_job(spec(1, Step(100, 1000, estimate_ms=8000, image="work")), 0.0)
        waiting = measure_load(state, 0.0, 0)
        total = waiting.waiting_milli_s + waiting.late_waiting_milli_s
        typical_s = state.times.expected_s(spec(0).queue, 8000, "work")
        assert total > 1.1 * 100 * 1000 * typical_s

    def test_a_worker_with_a_task_of_the_tail_empties_later(self) -> None:
        state = cell(3)
        learn(state)
        state.add_job(spec(1), 0.0)
        for placed in place_tasks(state, 0.0, 0):
            confirm_start(state, placed.ref, placed.attempt, START_S)
        empties = max(
            w.empties_in_ms or 0 for w in measure_load(state, START_S + 2, 0).workers
        )
        assert empties > 2000
