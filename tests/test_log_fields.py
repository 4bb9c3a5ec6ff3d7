"""Fields of log lines that tell the causes of double runs and outages apart."""

from __future__ import annotations

import asyncio

import anyio
import pytest
from cell_helpers import CELL, World, job, until

from chivetray.cells.evacuation import evacuate, reserve_workers
from chivetray.cells.orders import Placement
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.cells.workers import WorkerState
from chivetray.clocks import RemoteClock
from chivetray.events import Event
from chivetray.jobs.model import JobState, Step, Task
from chivetray.platform.calls import NoAnswer
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
NAME = TaskName(JOB, (0, 0, 0))


def make_state(*names: str, incarnation: int = 1) -> CellState:
    state = CellState(CELL)
    state.epoch = 3
    state.update_workers(
        [
            WorkerRecord(
                name, CELL, "10.0.0.1:80", "z1", False, incarnation, 4000, 8192, 0, ()
            )
            for name in names
        ],
        0.0,
    )
    for worker in state.workers.values():
        worker.tasks_known = True
        worker.clock.observe(1000, 0.0, 0.0)
    return state


def start_tasks(state: CellState, step: Step) -> list[Placement]:
    """Add a job of one step and let its tasks run."""
    state.add_job(job(steps=(step,)), 0.0)
    placed = place_tasks(state, 0.0, 0)
    for placement in placed:
        confirm_start(state, placement.ref, placement.attempt, 0.1)
    return placed


def run_owner(world: World, scenario) -> None:  # type: ignore[no-untyped-def]
    """Run an owner of the world's cell while a scenario lasts."""

    async def main() -> None:
        owner = await world.own()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.work)
            tasks.start_soon(owner.run)
            await scenario(owner)
            tasks.cancel_scope.cancel()

    asyncio.run(main())


class TestBoundsOfAClock:
    @pytest.mark.parametrize("drift", [-0.02, 0.0, 0.02])
    @pytest.mark.parametrize("later_s", [-30.0, -0.5, 0.0, 0.5, 30.0])
    def test_the_same_clock_is_within_them(self, drift: float, later_s: float) -> None:
        clock = RemoteClock()
        clock.observe(500_000, 100.0, 100.4)
        for read_s in (100.0, 100.2, 100.4):
            at_s = 100.2 + later_s
            reading_ms = 500_000 + int((at_s - read_s) * (1 + drift) * 1000)
            least_ms, greatest_ms = clock.bounds_ms(at_s - 0.1, at_s + 0.1)
            assert least_ms <= reading_ms <= greatest_ms


class TestStarts:
    """Two runs of one task could not be traced to the starts that caused them."""

    def test_placements_name_attempt_worker_incarnation_and_epoch(self, logged) -> None:
        start_tasks(make_state("w0", incarnation=77), Step(2, 1000))
        (line,) = logged.of(Event.TASK_PLACED)
        assert line["epoch"] == 3
        assert line["placed"] == [[0, 0, 0, 1, "w0", 77], [0, 0, 1, 1, "w0", 77]]

    def test_a_start_without_answer_is_told_with_its_lease(self, logged) -> None:
        world = World(workers=1)
        world.workers.lose_starts = 1

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: owner.state.jobs[JOB].state == JobState.COMPLETED)

        run_owner(world, scenario)
        (failed,) = logged.of(Event.ORDER_FAILED)
        (confirmed,) = logged.of(Event.START_CONFIRMED)
        for line in failed, confirmed:
            assert (line["task"], line["attempt"]) == (str(NAME), 1)
            assert (line["worker"], line["epoch"]) == ("w0", 1)
            assert line["incarnation"] == world.models["w0"].incarnation_ms
            assert line["unanswered_tries"] == 1
        assert failed["verdict"] == "no answer"
        assert confirmed["verdict"] == "ok"
        lease_ms = confirmed["deadline_ms"] - confirmed["clock_ms"]
        assert 0 < lease_ms <= 4000

    def test_an_answer_of_another_incarnation_is_told(self, logged) -> None:
        world = World(workers=1)

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            worker = owner.state.workers["w0"]
            await until(lambda: worker.clock.known and worker.tasks_known)
            world.models["w0"].clock_start_ms = 900_000
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: logged.of(Event.WORKER_CLOCK_FOREIGN))

        run_owner(world, scenario)
        line = logged.of(Event.WORKER_CLOCK_FOREIGN)[0]
        assert (line["order"], line["task"], line["attempt"]) == ("start", str(NAME), 1)
        assert line["incarnation"] == world.models["w0"].incarnation_ms
        assert line["born"] == 0
        least_ms, greatest_ms = line["expected_clock_ms"]
        assert least_ms <= greatest_ms < 900_000 <= line["clock_ms"]

    def test_a_start_that_is_accepted_at_once_has_no_line(self, logged) -> None:
        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(3, 1000),)))
            await until(lambda: owner.state.jobs[JOB].state == JobState.COMPLETED)

        run_owner(World(), scenario)
        assert not logged.of(Event.START_CONFIRMED)
        assert not logged.of(Event.ORDER_FAILED)

    def test_a_start_that_only_a_poll_shows_is_told(self, logged) -> None:
        state = make_state("w0")
        state.add_job(job(steps=(Step(1, 1000),)), 0.0)
        place_tasks(state, 0.0, 0)
        state.jobs[JOB].tasks[NAME.key].unanswered_starts = 2
        reply = Reply(Verdict.OK, 2000, 1, [RunningTask(NAME, 1, "", 50, 0)])
        apply_poll_reply(state, state.workers["w0"], reply, 1.0, 1.1)
        (line,) = logged.of(Event.START_CONFIRMED)
        assert (line["verdict"], line["unanswered_tries"]) == ("listed", 2)


class Lasting:
    """A long-running task that an owner has placed at 10 s, and a spare worker."""

    def __init__(self, run: bool = True):
        self.state = make_state("w0", "w1")
        self.state.owned_since_s = 10.0
        self.step = Step(1, 1000, long_running=True)
        self.job = self.state.add_job(job(steps=(self.step,)), 10.0)
        self.place(10.0, run)

    @property
    def task(self) -> Task:
        return self.job.tasks[NAME.key]

    @property
    def worker(self) -> WorkerState:
        return self.state.workers[self.task.worker]

    def place(self, now_s: float, run: bool = True) -> None:
        for placed in place_tasks(self.state, now_s, 0):
            if run:
                confirm_start(self.state, placed.ref, placed.attempt, now_s)

    def end_attempt(self, now_s: float) -> None:
        self.state.release_attempt(self.worker, self.job, self.task, now_s)


class TestAwayTime:
    """The time since a job was first seen did not tell how long a task was away."""

    def test_it_counts_from_the_end_of_the_previous_attempt(self, logged) -> None:
        lasting = Lasting()
        lasting.end_attempt(30.0)
        lasting.place(32.5)
        first, second = logged.of(Event.TASK_PLACED)
        assert (first["waited_s"], first["away_s"]) == (0.0, 0.0)
        assert first["long_running"]
        assert (second["waited_s"], second["away_s"]) == (22.5, 2.5)

    def test_it_counts_from_the_silence_of_a_worker(self, logged) -> None:
        lasting = Lasting()
        lasting.worker.silent_since_s = lasting.worker.last_silence_at_s = 30.0
        lasting.state.reschedule_worker_tasks(lasting.worker, 36.0, "lease expired")
        lasting.place(36.0)
        assert logged.of(Event.TASK_PLACED)[1]["away_s"] == 6.0

    def test_it_counts_from_a_silence_that_hid_a_restart(self, logged) -> None:
        """The reply that shows the restart has ended the silence."""
        lasting = Lasting()
        lasting.task.listed_at_s = 29.0
        lasting.worker.last_silence_at_s = 30.0
        lasting.state.handle_worker_restart(lasting.worker, 2, 34.0)
        lasting.place(34.0)
        assert logged.of(Event.TASK_PLACED)[1]["away_s"] == 4.0

    def test_starts_that_are_refused_do_not_reset_it(self, logged) -> None:
        lasting = Lasting(run=False)
        lasting.end_attempt(13.0)
        lasting.place(13.0)
        assert logged.of(Event.TASK_PLACED)[1]["away_s"] == 3.0

    def test_it_counts_from_the_end_of_the_step_before(self, logged) -> None:
        state = make_state("w0")
        steps = (Step(1, 1000), Step(1, 1000, depends_on=(0,)))
        added = state.add_job(job(steps=steps), 10.0)
        place_tasks(state, 10.0, 0)
        added.mark_done(added.tasks[NAME.key], 20.0)
        state.mark_changed(JOB)
        place_tasks(state, 21.5, 0)
        last = logged.of(Event.TASK_PLACED)[-1]
        assert (last["waited_s"], last["away_s"]) == (11.5, 1.5)

    def test_a_job_that_its_owner_learns_of_late_is_told(self, logged) -> None:
        """``waited_s`` counts from the acceptance, which another process confirmed."""
        state = make_state("w0")
        state.add_job(job(steps=(Step(1, 1000),)), 10.0, known_since_s=22.0)
        place_tasks(state, 22.5, 0)
        (line,) = logged.of(Event.TASK_PLACED)
        assert (line["waited_s"], line["known_s"]) == (12.5, 0.5)

    def test_a_new_owner_counts_from_the_change(self, logged) -> None:
        lasting = Lasting()
        lasting.end_attempt(11.0)
        later = make_state("w0")
        later.owned_since_s = 20.0
        later.restore_job(lasting.job.spec, lasting.job.encode(), 1, 5.0)
        place_tasks(later, 24.0, 0)
        assert logged.of(Event.TASK_PLACED)[-1]["away_s"] == 4.0


class TestLeases:
    """The log did not say why the tasks of a worker were taken for ended."""

    @pytest.mark.parametrize(
        ("deadline_ms", "earlier_until_s", "reason"),
        [
            (3000, 0.0, "own lease expired"),
            (0, 4.0, "earlier lease expired"),
            (1500, 4.0, "earlier lease expired"),
            (4500, 1.0, "own lease expired"),
            (0, 0.0, "no lease"),
        ],
    )
    def test_a_lost_worker_is_told_with_the_lease_that_ended_last(
        self, logged, deadline_ms: int, earlier_until_s: float, reason: str
    ) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        worker = state.workers["w0"]
        worker.silent_since_s = 0.5
        worker.deadline_ms = deadline_ms
        worker.earlier_lease_until_s = earlier_until_s
        state.expire_leases(5.0)
        (line,) = logged.of(Event.WORKER_LOST)
        assert line["reason"] == reason
        assert line["attempts"] == [[str(NAME), 1, "RUNNING"]]
        assert (line["deadline_ms"], line["clock_ms"]) == (deadline_ms, 5900)
        assert (line["silent_s"], line["epoch"]) == (4.5, 3)

    def test_a_silent_worker_is_told_with_its_lease(self, logged) -> None:
        world = World(workers=1, work_s=30)

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(1, 1000),)))
            worker = owner.state.workers["w0"]
            await until(lambda: worker.deadline_ms > 0 and world.starts().total())
            world.workers.silent.add("w0")
            await until(lambda: worker.silent_since_s)
            world.workers.silent.clear()
            await until(lambda: not worker.silent_since_s)

        run_owner(world, scenario)
        (silent,), (back,) = (
            logged.of(Event.WORKER_SILENT),
            logged.of(Event.WORKER_ANSWERS),
        )
        assert silent["deadline_ms"] == back["deadline_ms"] > back["clock_ms"]
        assert (silent["tasks"], back["tasks"]) == (1, 1)
        assert back["silent_s"] > 0

    def test_a_restarted_worker_is_told_with_the_attempts_there(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        state.workers["w0"].deadline_ms = 3000
        reply = Reply(Verdict.OK, 10, 2)
        apply_poll_reply(state, state.workers["w0"], reply, 1.0, 1.1)
        (line,) = logged.of(Event.WORKER_REBORN)
        assert (line["before"], line["born"], line["source"]) == (1, 2, "reply")
        assert line["attempts"] == [[str(NAME), 1, "RUNNING"]]
        assert line["lease"]["deadline_ms"] == 3000

    def test_an_attempt_that_a_new_owner_gives_up_is_told(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        later = make_state("w0", incarnation=2)
        progress = state.jobs[JOB].encode()
        later.restore_job(state.jobs[JOB].spec, progress, 1, 2.0)
        later.attach_restored_tasks(2.0, 0.0, {})
        (line,) = logged.of(Event.ATTEMPT_OUTLIVED)
        assert (line["placed_on"], line["listed"]) == (1, 2)
        assert (line["task"], line["attempt"]) == (str(NAME), 1)

    def test_leases_that_are_not_extended_are_told(self, logged, monkeypatch) -> None:
        monkeypatch.setattr("chivetray.cells.owner.LEASE_EXTENSION_WINDOW_S", 0.3)
        world = World(workers=1, work_s=30)

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: world.starts().total())
            world.store.fail = lambda number, body: NoAnswer("down")
            await until(lambda: logged.of(Event.LEASES_PAUSED))
            world.store.fail = lambda number, body: None
            await until(lambda: logged.of(Event.LEASES_RESUMED))

        run_owner(world, scenario)
        paused = logged.of(Event.LEASES_PAUSED)[0]
        assert (paused["cell"], paused["epoch"]) == (CELL, 1)
        assert paused["confirmed_age_s"] >= 0.3

    def test_a_released_cell_is_told_with_the_leases_left(self, logged) -> None:
        world = World(workers=1, work_s=30)

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(1, 1000),)))
            worker = owner.state.workers["w0"]
            await until(lambda: worker.deadline_ms > 0 and world.starts().total())
            world.workers.silent.add("w0")
            await until(lambda: worker.silent_since_s)
            owner.leaving = True
            owner.wake()
            await until(lambda: owner.lost)

        run_owner(world, scenario)
        (line,) = logged.of(Event.CELL_LEFT)
        assert (line["reason"], line["confirmed"]) == ("released", True)
        assert 0 < line["leases_s"]["w0"] < 7.3


class TestStops:
    """A stop could not be traced to its cause, nor to the time of its decision."""

    def test_each_try_is_told_with_reason_and_age(self, logged) -> None:
        world = World(workers=1, work_s=30)

        async def scenario(owner) -> None:  # type: ignore[no-untyped-def]
            owner.add_job(job(steps=(Step(1, 1000),)))
            await until(lambda: world.starts().total())
            world.workers.silent.add("w0")
            owner.cancel(job().name)
            await until(lambda: len(logged.of(Event.ORDER_FAILED)) >= 2)
            world.workers.silent.clear()
            await until(lambda: logged.of(Event.STOP_CONFIRMED))

        run_owner(world, scenario)
        lines = logged.of(Event.ORDER_FAILED) + logged.of(Event.STOP_CONFIRMED)
        assert [line["try_number"] for line in lines] == list(range(1, len(lines) + 1))
        assert {line["reason"] for line in lines} == {"job ended"}
        assert {line["epoch"] for line in lines} == {1}
        ages_s = [line["decided_age_s"] for line in lines]
        assert ages_s == sorted(ages_s) and 0 < ages_s[0] < ages_s[-1]

    def test_an_evacuation_lists_the_unavailable_tasks(self, logged) -> None:
        state = make_state("w0", "w1", "w2", "w3", "w4")
        step = Step(4, 1000, long_running=True, per_worker=1, max_unavailable=2)
        placed = start_tasks(state, step)
        tasks = list(state.jobs[JOB].tasks.values())
        for task, percent in zip(tasks, [100, 40, 100, 100], strict=True):
            task.percent = percent
        for task, at_s in zip(tasks, [4.9, 4.9, 4.0, 4.5], strict=True):
            task.listed_at_s = at_s
        reserve_workers(state, [placed[0].worker_id], 5.0)
        evacuate(state, 5.0)
        (line,) = logged.of(Event.TASK_EVACUATED)
        assert (line["task"], line["worker"]) == (str(NAME), placed[0].worker_id)
        assert line["unavailable"] == [[1, "40 percent"]]
        assert (line["unavailable_count"], line["limit"], line["tasks"]) == (1, 2, 4)
        assert (line["draining"], line["reserved"]) == (False, True)
        assert line["oldest_reply_s"] == 1.0
        (order,) = state.stop_orders
        assert order.reason.value == "evacuation"

    def test_a_reply_is_as_old_as_its_request(self) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000, long_running=True))
        (task,) = state.jobs[JOB].tasks.values()
        reply = Reply(Verdict.OK, 9, 1, [RunningTask(NAME, 1, "", 100, 0)])
        apply_poll_reply(state, state.workers["w0"], reply, 1.0, 1.5)
        assert task.listed_at_s == 1.0


class TestUnexpectedAttempts:
    """An end without effect, and an attempt that is not the expected one."""

    def test_an_end_without_effect_on_an_open_task_is_told(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        state.jobs[JOB].tasks[NAME.key].attempt = 2
        ended = EndedTask(1, NAME, 1, AttemptEnd.LEASE_EXPIRED, "")
        reply = Reply(Verdict.OK, 2000, 1, [], [ended])
        apply_poll_reply(state, state.workers["w0"], reply, 0.05, 1.0)
        (line,) = logged.of(Event.END_IGNORED)
        assert (line["task"], line["attempt"], line["how"]) == (str(NAME), 1, "lapsed")
        assert (line["newest_attempt"], line["newest_worker"]) == (2, "w0")
        assert (line["phase"], line["copies"]) == ("RUNNING", [])

    def test_a_late_end_of_a_done_task_is_not(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        for number, attempt in (1, 1), (2, 1):
            ended = EndedTask(number, NAME, attempt, AttemptEnd.DONE, "")
            reply = Reply(Verdict.OK, 2000, 1, [], [ended])
            apply_poll_reply(state, state.workers["w0"], reply, 0.05, 1.0)
        assert not logged.of(Event.END_IGNORED)

    def test_an_unknown_attempt_is_told_with_the_newest(self, logged) -> None:
        state = make_state("w0", "w1")
        (placement,) = start_tasks(state, Step(1, 1000))
        other = "w1" if placement.worker_id == "w0" else "w0"
        reply = Reply(Verdict.OK, 2000, 1, [RunningTask(NAME, 7, "", 50, 0)])
        apply_poll_reply(state, state.workers[other], reply, 1.0, 1.1)
        (line,) = logged.of(Event.ATTEMPT_UNKNOWN)
        assert (line["task"], line["attempt"], line["worker"]) == (str(NAME), 7, other)
        assert line["newest_attempt"] == 1
        assert line["newest_worker"] == placement.worker_id
        assert line["job_state"] == "RUNNING"


class TestWorkerCrashed:
    """Guards against crashes that the log does not tell from other losses."""

    def test_line_tells_what_ran_and_for_how_long(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(2, 1000))
        worker = state.workers["w0"]
        second = TaskName(JOB, (0, 0, 1))
        running = [RunningTask(name, 1, "", 50, 0) for name in (NAME, second)]
        apply_poll_reply(state, worker, Reply(Verdict.OK, 900, 1, running), 0.6, 0.7)
        worker.silent_since_s = worker.last_silence_at_s = 1.0
        state.handle_worker_restart(worker, 2, 4.0)
        (line,) = logged.of(Event.WORKER_CRASHED)
        assert (line["worker"], line["seen_by"], line["silent_s"]) == ("w0", "reply", 3)
        assert line["planned"] == ""
        assert line["attempts"] == [
            [str(name), 1, "RUNNING", 0.5, False, False, 1, 0]
            for name in (NAME, second)
        ]

    def test_end_of_a_draining_worker_is_planned(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        worker = state.workers["w0"]
        worker.draining = True
        state.handle_worker_restart(worker, 2, 4.0)
        (line,) = logged.of(Event.WORKER_CRASHED)
        assert line["planned"] == "drain"

    def test_end_of_a_reserved_worker_is_planned(self, logged) -> None:
        state = make_state("w0")
        start_tasks(state, Step(1, 1000))
        reserve_workers(state, ["w0"], 3.0)
        state.handle_worker_restart(state.workers["w0"], 2, 4.0)
        (line,) = logged.of(Event.WORKER_CRASHED)
        assert line["planned"] == "VM order"
