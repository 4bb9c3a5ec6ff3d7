"""Workers judged by their own runs: slow, silent, shedding, hanging and failing ones.

The loads are those of HARD-LOAD.md: 3% of the tasks take seven times as long, 3% fail
permanently, and estimates are off by 0.9.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from run_time_loads import LOADS, Load, draw_run_s

from chivetray.scheduling.run_times import RunTimes
from chivetray.scheduling.worker_pace import (
    EVIDENCE_TTL_S,
    PROBE_INTERVAL_S,
    THRESHOLD,
    Condition,
    FailureRate,
    WorkerPace,
)

SMALL = LOADS["taxi-small"]

# Stated numbers of runs, calls or starts within which each condition is recognised.
RECOGNISED_WITHIN = {
    Condition.SLOW: 30,
    Condition.SILENT: 6,
    Condition.SHEDDING: 6,
    Condition.HANGING: 4,
    Condition.FAILING: 8,
}

FAILED_SHARE = 0.03
LOST_CALLS_SHARE = 0.01

# Runs of a worker in an hour: 10 tasks side by side of 0.8 s.
RUNS_PER_HOUR = 45_000


def learned(load: Load = SMALL, runs: int = 2000) -> tuple[RunTimes, random.Random]:
    """Return what a cell has learned from sound workers."""
    times, rng = RunTimes(), random.Random(7)
    for number in range(runs):
        now_s = number / load.tasks_per_s
        times.record("q", draw_run_s(load, rng, now_s), "k", 700, now_s)
    return times, rng


def observe_run(
    pace: WorkerPace, times: RunTimes, run_s: float, number: int, now_s: float
) -> None:
    rank = times.rank("q", "k", 700, run_s)
    median_s = times.expected_s("q", 700, "k")
    pace.observe_run(f"job-{number}", rank, run_s / median_s, now_s)


def judge(pace: WorkerPace, now_s: float) -> Condition | None:
    """Adopt the condition, as the owner of a cell does after each observation."""
    condition = pace.find_condition()
    if condition != pace.condition:
        pace.judge(condition, now_s)
    return condition


class TestSlow:
    @pytest.mark.parametrize("name", LOADS)
    @pytest.mark.parametrize("factor", [2.5, 4.0])
    def test_a_slow_worker_is_recognised(self, name: str, factor: float) -> None:
        times, rng = learned(LOADS[name])
        for _ in range(100):
            pace, runs = WorkerPace(), 0
            while judge(pace, 0.0) != Condition.SLOW:
                run_s = factor * draw_run_s(LOADS[name], rng, 0.0)
                observe_run(pace, times, run_s, runs, 0.0)
                runs += 1
            assert runs <= RECOGNISED_WITHIN[Condition.SLOW]

    def test_a_job_of_long_tasks_is_no_slow_worker(self) -> None:
        """All tasks of one job on the worker take four times as long."""
        times, rng = learned()
        pace = WorkerPace()
        for _ in range(50):
            observe_run(pace, times, 4 * draw_run_s(SMALL, rng, 0.0), 1, 0.0)
        assert judge(pace, 0.0) is None

    def test_a_few_percent_are_not_worth_a_judgement(self) -> None:
        """Where all runs take the same time, each longer one has the highest rank."""
        even = replace(SMALL, spread=0.005, tail_share=0.0)
        times, rng = learned(even)
        pace = WorkerPace()
        for number in range(200):
            observe_run(pace, times, 1.1 * draw_run_s(even, rng, 0.0), number, 0.0)
        assert judge(pace, 0.0) is None

    def test_it_returns_once_its_runs_are_typical(self) -> None:
        times, rng = learned()
        pace = WorkerPace()
        for number in range(30):
            observe_run(pace, times, 4 * draw_run_s(SMALL, rng, 0.0), number, 0.0)
            judge(pace, 0.0)
        assert pace.condition == Condition.SLOW
        runs = 0
        while judge(pace, 1.0) is not None:
            runs += 1
            observe_run(pace, times, draw_run_s(SMALL, rng, 0.0), 100 + runs, 1.0)
        assert runs <= 30


class TestSilent:
    def silent(self) -> WorkerPace:
        pace = WorkerPace()
        for _ in range(RECOGNISED_WITHIN[Condition.SILENT]):
            pace.observe_call(True, 0.0)
            judge(pace, 0.0)
        return pace

    def test_a_silent_worker_is_recognised(self) -> None:
        assert self.silent().condition == Condition.SILENT

    def test_a_worker_that_loses_half_of_its_calls_is_recognised(self) -> None:
        pace, calls = WorkerPace(), 0
        while judge(pace, 0.0) is None:
            pace.observe_call(calls % 2 == 0, 0.0)
            calls += 1
        assert calls <= 3 * RECOGNISED_WITHIN[Condition.SILENT]

    def test_answers_alone_do_not_prove_that_it_works(self) -> None:
        pace = self.silent()
        for _ in range(1000):
            pace.observe_call(False, 1.0)
        assert judge(pace, 1.0) == Condition.SILENT

    def test_runs_do(self) -> None:
        times, rng = learned()
        pace = self.silent()
        for number in range(30):
            observe_run(pace, times, draw_run_s(SMALL, rng, 0.0), number, 1.0)
        assert judge(pace, 1.0) is None


class TestShedding:
    def test_a_worker_that_refuses_what_it_has_room_for_is_recognised(self) -> None:
        pace = WorkerPace()
        for number in range(RECOGNISED_WITHIN[Condition.SHEDDING]):
            pace.observe_start(f"job-{number}", True, 0.0)
        assert judge(pace, 0.0) == Condition.SHEDDING

    def test_refusals_of_one_job_are_no_evidence_against_the_worker(self) -> None:
        pace = WorkerPace()
        for _ in range(50):
            pace.observe_start("job", True, 0.0)
        assert judge(pace, 0.0) is None

    def test_it_returns_once_it_accepts(self) -> None:
        pace = WorkerPace()
        for number in range(RECOGNISED_WITHIN[Condition.SHEDDING]):
            pace.observe_start(f"job-{number}", True, 0.0)
            judge(pace, 0.0)
        for number in range(10):
            pace.observe_start(f"later-{number}", False, 1.0)
        assert judge(pace, 1.0) is None


class TestHanging:
    def test_two_tasks_of_each_of_two_jobs_that_hang_show_it(self) -> None:
        """Most tasks of a job run on one worker, so that few jobs hang there."""
        pace = WorkerPace()
        for number in range(RECOGNISED_WITHIN[Condition.HANGING]):
            pace.observe_overdue(f"job-{number // 2}", 0.0)
        assert judge(pace, 0.0) == Condition.HANGING

    def test_a_job_whose_tasks_all_hang_is_no_hanging_worker(self) -> None:
        pace = WorkerPace()
        for _ in range(50):
            pace.observe_overdue("job", 0.0)
        assert judge(pace, 0.0) is None


class TestFailing:
    def test_a_worker_that_fails_everything_is_recognised(self) -> None:
        rate = FailureRate()
        rng = random.Random(1)
        for _ in range(2000):
            rate.observe(rng.random() < FAILED_SHARE, 1)
        pace = WorkerPace()
        for number in range(RECOGNISED_WITHIN[Condition.FAILING]):
            pace.observe_failure(f"job-{number}", rate.share, 0.0)
        assert judge(pace, 0.0) == Condition.FAILING

    def test_one_that_fails_four_of_five_is_recognised_too(self) -> None:
        """Each run that is done ends a row of failures, so no quarantine begins."""
        for seed in range(50):
            rng, pace, runs = random.Random(seed), WorkerPace(), 0
            while judge(pace, 0.0) is None:
                runs += 1
                if rng.random() < 0.8:
                    pace.observe_failure(f"job-{runs}", FAILED_SHARE, 0.0)
                else:
                    pace.observe_run(f"job-{runs}", None, 1.0, 0.0)
            assert runs <= 40

    def test_failures_in_a_row_that_are_chance_lead_to_no_quarantine(self) -> None:
        """Where 3% of the tasks fail, four in a row come each 30 worker-hours."""
        rate = FailureRate()
        assert rate.failures_in_a_row == 4
        for number in range(3000):
            rate.observe(number % 33 == 0, 1)
        assert FAILED_SHARE**rate.failures_in_a_row * RUNS_PER_HOUR * 100 < 1

    def test_a_worker_that_fails_everything_does_not_set_the_rate(self) -> None:
        rate = FailureRate()
        for row in range(1, 1000):
            rate.observe(True, row)
        assert rate.share < 0.02


class TestChance:
    def test_false_alarms_are_rarer_than_one_in_100_worker_hours(self) -> None:
        """Three worker-hours are played, compared with what the cell learns meanwhile.

        The highest evidence in ``n`` observations of a sound worker grows as the
        logarithm of ``n``. So 100 worker-hours stay below the threshold if three show
        at least ``ln(100 / 3) = 3.5`` less.
        """
        times, rng = learned()
        highest = dict.fromkeys(Condition, 0.0)
        for hour in range(3):
            pace = WorkerPace()
            for number in range(RUNS_PER_HOUR):
                now_s = 3600 * (hour + 1) + number * 0.08
                if rng.random() < FAILED_SHARE:
                    pace.observe_failure(f"job-{number}", FAILED_SHARE, now_s)
                else:
                    run_s = draw_run_s(SMALL, rng, now_s)
                    observe_run(pace, times, run_s, number, now_s)
                    times.record("q", run_s, "k", 700, now_s)
                pace.observe_start(f"job-{number}", rng.random() < 0.01, now_s)
                if number % 10 == 0:
                    pace.observe_call(rng.random() < LOST_CALLS_SHARE, now_s)
                assert judge(pace, now_s) is None
                for condition in Condition:
                    score = pace.score(condition)
                    highest[condition] = max(highest[condition], score)
        assert max(highest.values()) < THRESHOLD - 3.5


class TestPathBack:
    def test_probes_become_rarer_until_it_is_reinstated(self) -> None:
        pace = WorkerPace()
        pace.judge(Condition.HANGING, 0.0)
        assert pace.avoidance(True) > 0
        pace.prepare_probe(PROBE_INTERVAL_S)
        assert pace.avoidance(True) < 0
        pace.end_probe(PROBE_INTERVAL_S)
        assert pace.avoidance(True) > 0
        pace.prepare_probe(2.5 * PROBE_INTERVAL_S)
        assert not pace.probe_due
        pace.prepare_probe(3 * PROBE_INTERVAL_S)
        assert pace.probe_due

    def test_a_long_running_task_is_no_probe(self) -> None:
        pace = WorkerPace()
        pace.judge(Condition.SLOW, 0.0)
        pace.prepare_probe(PROBE_INTERVAL_S)
        assert pace.avoidance(False) > 0

    def test_old_evidence_reinstates_it_and_few_more_runs_judge_it_again(self) -> None:
        pace = WorkerPace()
        for number in range(6):
            pace.observe_start(f"job-{number}", True, 0.0)
            judge(pace, 0.0)
        pace.forget_old_evidence(EVIDENCE_TTL_S + 1)
        assert judge(pace, EVIDENCE_TTL_S + 1) is None
        for number in range(3):
            pace.observe_start(f"later-{number}", True, EVIDENCE_TTL_S + 2)
        assert judge(pace, EVIDENCE_TTL_S + 2) == Condition.SHEDDING
