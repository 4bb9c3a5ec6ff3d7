"""Stops of long-running tasks while others of their step are unavailable."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import anyio
from cell_helpers import CELL, World, job, until

from chivetray.cells import polling
from chivetray.cells.evacuation import MAX_REPORT_AGE_S, evacuate, reserve_workers
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.jobs.job import Job
from chivetray.jobs.model import Step, Task
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    POLL_SLACK_S,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

JOB = "00000000000000aa"
STEP = Step(2, 1000, long_running=True, per_worker=1, max_unavailable=1)


class Serving:
    """A cell with a long-running step, one task a worker, and one spare worker.

    :param step: the step, whose tasks are all at work at 1 s
    """

    def __init__(self, step: Step = STEP):
        self.state = CellState(CELL)
        names = [f"w{number}" for number in range(step.count + 1)]
        self.state.update_workers([self.entry(name) for name in names], 0.0)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, 0.0, 0.0)
        self.job: Job = self.state.add_job(job(steps=(step,)), 0.0)
        place_tasks(self.state, 0.0, 0)
        for task in self.tasks:
            self.report(task, 1.0)

    @staticmethod
    def entry(name: str, incarnation: int = 1, draining: bool = False) -> WorkerRecord:
        return WorkerRecord(
            name,
            CELL,
            "10.0.0.1:80",
            "z1",
            draining,
            incarnation,
            4000,
            65536,
            0,
            ("a", "r1"),
        )

    @property
    def tasks(self) -> list[Task]:
        return [self.job.tasks[key] for key in sorted(self.job.tasks)]

    def report(self, task: Task, sent_at_s: float, *running: RunningTask) -> None:
        """Apply a reply of a task's worker; it lists the task at work by default."""
        name = TaskName(JOB, task.key)
        listed = list(running) or [RunningTask(name, task.attempt, "", 100, 0)]
        worker = self.state.workers[task.worker]
        reply = Reply(Verdict.OK, 2000, worker.incarnation, listed)
        apply_poll_reply(self.state, worker, reply, sent_at_s, sent_at_s + 0.01)

    def evacuate(self, task: Task, now_s: float) -> list[str]:
        """Reserve the worker of a task, and return the workers that get a stop."""
        reserve_workers(self.state, [task.worker], now_s)
        evacuate(self.state, now_s)
        return [order.worker_id for order in self.state.stop_orders]


class TestBestEffortTasks:
    """Best-effort tasks may belong to a step that limits how many are unavailable."""

    def test_they_leave_within_the_limit_of_their_step(self) -> None:
        """All of them on reserved workers were once stopped at the same time."""
        cell = Serving(replace(STEP, best_effort=True))
        reserve_workers(cell.state, [task.worker for task in cell.tasks], 1.1)
        evacuate(cell.state, 1.1)
        assert len(cell.state.stop_orders) == 1

    def test_others_leave_at_once(self) -> None:
        cell = Serving(replace(STEP, best_effort=True, max_unavailable=0))
        reserve_workers(cell.state, [task.worker for task in cell.tasks], 1.1)
        evacuate(cell.state, 1.1)
        assert len(cell.state.stop_orders) == 2


class TestAgeOfReports:
    """A process that is suspended or waits for the store goes on with old reports."""

    def test_a_task_is_not_stopped_while_the_reports_on_the_others_are_old(
        self,
    ) -> None:
        """Another task may have ended since; both would then be unavailable."""
        cell = Serving()
        leaving, other = cell.tasks
        assert cell.evacuate(leaving, 1.0 + MAX_REPORT_AGE_S) == []
        cell.report(other, 4.0)
        assert cell.evacuate(leaving, 4.1) == [leaving.worker]

    def test_a_reply_counts_from_the_time_of_its_request(self) -> None:
        """A suspended process reads an answer that was waiting for it for seconds."""
        cell = Serving()
        leaving, other = cell.tasks
        reply = Reply(
            Verdict.OK, 2000, 1, [RunningTask(TaskName(JOB, other.key), 1, "", 100, 0)]
        )
        worker = cell.state.workers[other.worker]
        apply_poll_reply(cell.state, worker, reply, 2.0, 9.0)
        assert cell.evacuate(leaving, 9.0) == []

    def test_old_reports_are_renewed_soon(self) -> None:
        """Otherwise the reports of many workers are hardly ever recent together."""
        cell = Serving()
        leaving, other = cell.tasks
        cell.evacuate(leaving, 2.0 + MAX_REPORT_AGE_S)
        worker = cell.state.workers[other.worker]
        assert worker.reports_wanted_until_s > 2.0 + MAX_REPORT_AGE_S

    def test_the_bound_covers_a_poll_with_the_longest_wait(self) -> None:
        assert MAX_REPORT_AGE_S == polling.POLL_WAIT_MS / 1000 + POLL_SLACK_S

    def test_an_owner_polls_at_short_intervals_while_reports_are_wanted(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=30)
            owner = await world.own()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                owner.add_job(job(steps=(Step(1, 1000, long_running=True),)))
                await until(lambda: world.models["w0"].running != {})
                worker = owner.state.workers["w0"]

                def waits() -> set[int]:
                    bodies = [b for _, c, b in world.workers.calls if c == "hold"]
                    return {body.get("WaitMs", 0) for body in bodies}

                await until(lambda: polling.POLL_WAIT_MS in waits())
                worker.reports_wanted_until_s = boot_time_s() + 1.0
                await until(lambda: polling.RECENT_REPORT_POLL_WAIT_MS in waits())
                tasks.cancel_scope.cancel()

        asyncio.run(scenario())
