"""Stops of long-running tasks while others of their step are unavailable."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import anyio
from cell_helpers import CELL, MemoryWorkers, World, job, until

from chivetray.cells import polling
from chivetray.cells.evacuation import (
    MAX_REPORT_AGE_S,
    evacuate,
    may_send_stop,
    reserve_workers,
)
from chivetray.cells.orders import StopOrder, StopReason
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply
from chivetray.cells.state import CellState
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.jobs.job import Job
from chivetray.jobs.model import Phase, Step, Task
from chivetray.platform.standins.worker import WorkerModel
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    POLL_SLACK_S,
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
    WorkerAddress,
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

    def end(self, task: Task, sent_at_s: float) -> None:
        """Apply a reply of a task's worker that lists the task as failed."""
        worker = self.state.workers[task.worker]
        number = worker.last_applied_end + 1
        name = TaskName(JOB, task.key)
        ended = EndedTask(number, name, task.attempt, AttemptEnd.FAILED, "")
        reply = Reply(Verdict.OK, 2000, worker.incarnation, [], [ended])
        apply_poll_reply(self.state, worker, reply, sent_at_s, sent_at_s + 0.01)

    def evacuate(self, task: Task, now_s: float) -> list[str]:
        """Reserve the worker of a task, and return the workers that get a stop."""
        reserve_workers(self.state, [task.worker], now_s)
        evacuate(self.state, now_s)
        return [order.worker_id for order in self.state.stop_orders]


class TestStopThatIsSentLater:
    """A stop is stored before it is sent, and sent again until it is answered."""

    def stopping(self, step: Step = STEP) -> tuple[Serving, Task, Task, StopOrder]:
        """Return a cell that has decided to stop its first task, at 1.1 s."""
        cell = Serving(step)
        leaving, other = cell.tasks[:2]
        cell.evacuate(leaving, 1.1)
        (order,) = cell.state.stop_orders
        cell.state.take_changed_jobs()
        return cell, leaving, other, order

    def test_it_is_withdrawn_when_another_task_ended_meanwhile(self) -> None:
        """Both were once unavailable, since the first count was not repeated."""
        cell, leaving, other, order = self.stopping()
        cell.end(other, 1.5)
        cell.report(leaving, 1.5)
        assert not may_send_stop(cell.state, order, 1.6)
        assert leaving.phase == Phase.RUNNING
        assert [j.spec.job_id for j in cell.state.take_changed_jobs()] == [JOB]
        assert not may_send_stop(cell.state, order, 1.6)

    def test_one_that_may_be_under_way_is_only_put_off(self) -> None:
        """The worker may still carry it out, so the task counts as unavailable."""
        cell, leaving, other, order = self.stopping()
        leaving.stop_sent = True
        cell.end(other, 1.5)
        cell.report(leaving, 1.5)
        assert not may_send_stop(cell.state, order, 1.6)
        assert leaving.phase == Phase.STOPPING
        place_tasks(cell.state, 1.7, 0)
        cell.report(other, 2.0)
        assert may_send_stop(cell.state, order, 2.1)

    def test_stops_of_two_tasks_do_not_wait_for_each_other(self) -> None:
        cell, leaving, other, order = self.stopping()
        cell.state.stop_task(cell.job, other, StopReason.EVACUATION)
        orders = list(cell.state.stop_orders)
        for task in (leaving, other):
            cell.report(task, 1.5)
        assert [may_send_stop(cell.state, o, 1.6) for o in orders] == [False, True]

    def test_a_later_owner_counts_again(self) -> None:
        cell, leaving, other, order = self.stopping()
        later = Serving()
        later.state = CellState(CELL)
        later.state.update_workers([cell.entry(f"w{n}") for n in range(3)], 2.0)
        later.state.restore_job(cell.job.spec, cell.job.encode(), 1, 2.0)
        later.state.attach_restored_tasks(2.0, 0.0, {})
        later.job = later.state.jobs[JOB]
        assert later.tasks[0].phase == Phase.STOPPING
        assert not may_send_stop(later.state, order, 2.1)
        assert later.tasks[0].phase == Phase.STOPPING, "no report yet"
        later.report(later.tasks[0], 2.2)
        assert not may_send_stop(later.state, order, 2.3)
        assert later.tasks[0].phase == Phase.RUNNING
        later.report(later.tasks[1], 2.4)
        later.state.workers["w2"].tasks_known = True
        later.state.workers["w2"].clock.observe(1000, 2.4, 2.4)
        assert later.evacuate(later.tasks[0], 2.5) == ["w0"]

    def test_a_task_of_a_draining_worker_is_stopped_at_once(self) -> None:
        cell, leaving, other, order = self.stopping()
        cell.end(other, 1.5)
        cell.state.workers[leaving.worker].draining = True
        assert may_send_stop(cell.state, order, 1.6)

    def test_a_cancelled_job_is_stopped_at_once(self) -> None:
        cell, leaving, other, order = self.stopping()
        cell.end(other, 1.5)
        cell.state.cancel(cell.state.jobs[JOB].spec.name)
        assert may_send_stop(cell.state, order, 1.6)


class TestRefusedStartAfterAnUnansweredOne:
    """A worker that was unhealthy for the second start may have carried out the first.

    The attempt is stopped, so that it cannot start later; it may be at work already.
    """

    def stopping(self) -> tuple[Serving, Task, StopOrder]:
        cell = Serving()
        other, restarting = cell.tasks
        cell.end(restarting, 1.5)
        place_tasks(cell.state, 1.6, 0)
        cell.state.stop_attempt(cell.job, restarting.key, StopReason.REFUSED_START)
        cell.end(other, 1.7)
        (order,) = cell.state.stop_orders
        return cell, restarting, order

    def test_it_is_stopped_if_it_does_not_run(self) -> None:
        cell, restarting, order = self.stopping()
        cell.report(
            restarting, 2.0, RunningTask(TaskName("other", (0, 0, 0)), 1, "", 0, 0)
        )
        assert may_send_stop(cell.state, order, 2.1)

    def test_it_goes_on_if_it_runs(self) -> None:
        """It was once stopped while it was the only one of its step at work."""
        cell, restarting, order = self.stopping()
        cell.report(restarting, 2.0)
        assert not may_send_stop(cell.state, order, 2.1)
        assert restarting.phase == Phase.RUNNING


class RecordingWorkers(MemoryWorkers):
    """Workers without network.

    :ivar at_work_at_stops: number of tasks at work anywhere, for each stop that is sent
    """

    def __init__(self, models: dict[str, WorkerModel]):
        super().__init__(models)
        self.at_work_at_stops: list[int] = []

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        if call == "run-stop":
            running = sum(len(model.running) for model in self.models.values())
            self.at_work_at_stops.append(running)
        return await super()._call(worker, call, body, timeout_s)


class TestStopWhileTheStoreIsSlow:
    def test_no_stop_is_sent_while_the_other_task_is_unavailable(self) -> None:
        """The stop once followed the write, whatever had happened in between."""

        async def scenario() -> None:
            world = World(workers=3, work_s=30)
            workers = world.workers = RecordingWorkers(world.models)
            owner = await world.own()
            call = world.store.call
            is_served = asyncio.Event()
            is_served.set()

            async def call_slowly(*arguments: Any) -> Any:
                await is_served.wait()
                return await call(*arguments)

            world.store.call = call_slowly  # type: ignore[method-assign]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                owner.add_job(job(steps=(STEP,)))
                found = owner.state.jobs[JOB]
                await until(lambda: len(found.active_tasks()) == 2)
                leaving, other = (found.tasks[(0, 0, index)] for index in (0, 1))
                await until(lambda: leaving.percent == other.percent == 100)
                is_served.clear()
                reserve_workers(owner.state, [leaving.worker], boot_time_s())
                owner.wake()
                await until(lambda: leaving.phase == Phase.STOPPING)
                model = world.models[other.worker]
                model.end(next(iter(model.running.values())), "failed")
                await until(lambda: other.phase == Phase.WAITING)
                is_served.set()
                await until(lambda: other.percent == 100)
                await until(lambda: bool(workers.at_work_at_stops))
                tasks.cancel_scope.cancel()
            assert workers.at_work_at_stops == [2]

        asyncio.run(scenario())


class TestDrainOfAnotherWorker:
    def test_a_task_of_a_draining_worker_does_not_count_as_available(self) -> None:
        """Both were once stopped in the same round."""
        cell = Serving()
        leaving, other = cell.tasks
        cell.state.workers[other.worker].draining = True
        assert cell.evacuate(leaving, 1.1) == [other.worker]


class TestWorkerThatRestartsAfterItsDrain:
    """A worker restarts under its id, and answers before the list shows the restart."""

    def test_its_tasks_leave_within_the_limit_of_their_step(self) -> None:
        """It once counted as draining, and its tasks were stopped without a count."""
        cell = Serving()
        restarted, other = cell.tasks
        worker = cell.state.workers[restarted.worker]
        worker.draining = True
        apply_poll_reply(cell.state, worker, Reply(Verdict.OK, 5, 2), 2.0, 2.1)
        assert not worker.draining
        worker.clock.observe(5, 2.0, 2.1)
        cell.state.workers["w2"].unhealthy_until_s = 2.2
        assert place_tasks(cell.state, 2.1, 0) == []
        others = [cell.entry(name) for name in ("w1", "w2")]
        listed = [cell.entry("w0", incarnation=2), *others]
        cell.state.update_workers(listed, 2.1)
        assert not worker.draining
        (placed,) = place_tasks(cell.state, 2.1, 0)
        assert placed.worker_id == "w0"
        cell.report(restarted, 2.5)
        cell.end(other, 2.6)
        assert cell.evacuate(restarted, 2.7) == []

    def test_the_list_still_tells_that_the_new_incarnation_drains(self) -> None:
        cell = Serving()
        worker = cell.state.workers["w0"]
        apply_poll_reply(cell.state, worker, Reply(Verdict.OK, 5, 2), 2.0, 2.1)
        old = cell.entry("w0", incarnation=1, draining=True)
        cell.state.update_workers([old], 2.2)
        assert not worker.draining
        new = cell.entry("w0", incarnation=2, draining=True)
        cell.state.update_workers([new], 2.3)
        assert worker.draining


class RefusingWorkers(MemoryWorkers):
    """Workers without network.

    :ivar refuses_stops: whether no stop order can be sent
    """

    refuses_stops = True

    async def _call(
        self, worker: WorkerAddress, call: str, body: Any, timeout_s: float
    ) -> Reply:
        if call == "run-stop" and self.refuses_stops:
            return Reply(Verdict.NOT_SENT)
        return await super()._call(worker, call, body, timeout_s)


class TestLogOfWithdrawnStops:
    def test_a_later_stop_is_not_told_as_the_withdrawn_one(self, logged) -> None:
        """It once had the reason, the age and the tries of the withdrawn one."""

        async def scenario() -> None:
            world = World(workers=3, work_s=30)
            workers = world.workers = RefusingWorkers(world.models)
            owner = await world.own()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                owner.add_job(job(steps=(STEP,)))
                found = owner.state.jobs[JOB]
                await until(lambda: len(found.active_tasks()) == 2)
                leaving, other = (found.tasks[(0, 0, index)] for index in (0, 1))
                await until(lambda: leaving.percent == other.percent == 100)
                owner.state.stop_task(found, leaving, StopReason.REFUSED_START)
                owner.wake()
                await until(lambda: logged.of(Event.ORDER_FAILED))
                model = world.models[other.worker]
                model.end(next(iter(model.running.values())), "failed")
                await until(lambda: logged.of(Event.STOP_WITHDRAWN))
                workers.refuses_stops = False
                await until(lambda: other.percent == 100)
                decided_from_s = boot_time_s()
                reserve_workers(owner.state, [leaving.worker], decided_from_s)
                owner.wake()
                await until(lambda: logged.of(Event.STOP_CONFIRMED))
                tasks.cancel_scope.cancel()
            (confirmed,) = logged.of(Event.STOP_CONFIRMED)
            assert confirmed["decided_age_s"] <= boot_time_s() - decided_from_s + 0.001

        asyncio.run(scenario())
        (withdrawn,) = logged.of(Event.STOP_WITHDRAWN)
        refused = logged.of(Event.ORDER_FAILED)
        assert withdrawn["reason"] == "refused start"
        assert withdrawn["decided_age_s"] >= refused[-1]["decided_age_s"] > 0
        (confirmed,) = logged.of(Event.STOP_CONFIRMED)
        assert (confirmed["task"], confirmed["attempt"]) == (withdrawn["task"], 1)
        assert (confirmed["reason"], confirmed["try_number"]) == ("evacuation", 1)

    def test_a_withdrawal_is_told_with_the_tasks_counted(self, logged) -> None:
        cell = Serving()
        leaving, other = cell.tasks[:2]
        cell.evacuate(leaving, 1.1)
        order = replace(cell.state.stop_orders[0], decided_at_s=1.1)
        cell.end(other, 1.5)
        cell.report(leaving, 1.5)
        may_send_stop(cell.state, order, 1.6)
        may_send_stop(cell.state, order, 1.7)
        (line,) = logged.of(Event.STOP_WITHDRAWN)
        assert (line["task"], line["attempt"]) == (f"{JOB}.0.0.0", 1)
        assert line["unavailable"] == [[1, "waiting"]]
        assert (line["unavailable_count"], line["limit"], line["tasks"]) == (1, 1, 2)
        assert (line["reason"], line["decided_age_s"]) == ("evacuation", 0.5)

    def test_a_stop_that_is_put_off_is_not_told_as_withdrawn(self, logged) -> None:
        cell = Serving()
        leaving, other = cell.tasks[:2]
        cell.evacuate(leaving, 1.1)
        leaving.stop_sent = True
        cell.end(other, 1.5)
        cell.report(leaving, 1.5)
        assert not may_send_stop(cell.state, cell.state.stop_orders[0], 1.6)
        assert not logged.of(Event.STOP_WITHDRAWN)


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
