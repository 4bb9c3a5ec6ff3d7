"""Refusals of jobs that would end too late, and what must not be refused."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import msgpack
import pytest
from cell_helpers import CELL, World, job, until
from hypothesis import given
from hypothesis import strategies as st
from virtual_loop import virtual_time

from chivetray.cells.acceptance import SETTLE_S, JobAcceptor
from chivetray.cells.job_answers import LATE_REFUSAL, JobAnswer
from chivetray.cells.job_service import JobService
from chivetray.cells.late_jobs import LateJobGate, Refusal
from chivetray.cells.tables import job_row
from chivetray.cells.turns import JobTurns
from chivetray.clocks import boot_time_s
from chivetray.events import Event
from chivetray.generated.messages import CellClaim, NodeHeartbeat
from chivetray.jobs.job import Job
from chivetray.jobs.model import JobSpec, JobState, Phase, Step
from chivetray.manager_metrics import ManagerMetrics
from chivetray.peers.codec import MessageDecoder, encode_message
from chivetray.platform.store import OutcomeUnknown, Row, RowId
from chivetray.platform.stored_records import Queue
from chivetray.results import Ran, ResultCode
from chivetray.scheduling.admission import judge_job, spread_retry_s
from chivetray.scheduling.prediction import Backlog, decode_backlog, queue_number

SPEC = job(steps=(Step(8, 1500, estimate_ms=680),), stretch=1.6)
ROW = job_row(SPEC.queue, SPEC.job_id)
QUEUE = Queue("host/queue/", "q", "host", "/queue/", CELL)
HOPELESS = Backlog(90, 0, 200, 100, 9000, 9000, (9000, 0, 0), (100, 0, 0))

COUNTS = st.integers(0, 2**31)
BACKLOGS = st.builds(
    Backlog,
    *[COUNTS] * 6,
    st.tuples(COUNTS, COUNTS, COUNTS),
    st.tuples(COUNTS, COUNTS, COUNTS),
    st.lists(st.tuples(st.integers(0, 2**16 - 1), COUNTS), max_size=3).map(tuple),
)


class TestVerdict:
    @given(BACKLOGS, st.floats(1.501, 100))
    def test_an_old_or_absent_digest_refuses_nobody(
        self, backlog: Backlog, age_s: float
    ) -> None:
        assert not judge_job(SPEC, backlog, age_s, 0.5).refused
        assert not judge_job(SPEC, None, 0.0, 0.5).refused

    @given(BACKLOGS)
    def test_long_running_and_scheduled_jobs_are_not_refused(
        self, backlog: Backlog
    ) -> None:
        serving = job(steps=(Step(1, 1000, long_running=True),))
        for spec in (serving, replace(SPEC, repeats=3)):
            assert not judge_job(spec, backlog, 0.0, 0.5).refused

    @pytest.mark.parametrize(
        "backlog",
        [
            replace(HOPELESS, serving_cores=0),
            replace(HOPELESS, short_ms=2000),
            replace(HOPELESS, arriving_cores=20_000, submitted_cores=0),
            replace(HOPELESS, late_core_s=0, on_time_core_s=(0, 9000, 9000)),
        ],
    )
    def test_what_can_still_be_of_use_is_accepted(self, backlog: Backlog) -> None:
        """No capacity known, a peak that has begun, VMs that come, lower priorities."""
        assert judge_job(SPEC, HOPELESS, 0.0, 0.5).refused
        assert not judge_job(SPEC, backlog, 0.0, 0.5).refused

    @pytest.mark.parametrize("estimate_ms", [68, 1292])
    def test_learned_run_times_replace_wrong_estimates(self, estimate_ms: int) -> None:
        """A job with a low estimate counted as useful for a fraction of its time."""
        learned = ((queue_number(SPEC.queue), 680),)
        backlog = replace(HOPELESS, run_times_ms=learned)
        wrong = replace(SPEC, steps=(replace(SPEC.steps[0], estimate_ms=estimate_ms),))
        exact = judge_job(SPEC, HOPELESS, 0.0, 0.5)
        assert judge_job(wrong, backlog, 0.0, 0.5) == exact
        assert judge_job(wrong, HOPELESS, 0.0, 0.5) != exact

    @given(st.floats(0, 1000))
    def test_a_refused_crowd_does_not_return_at_one_moment(
        self, excess_s: float
    ) -> None:
        """Callers read whole seconds, so a small spread would be lost."""
        delays = [
            math.ceil(spread_retry_s(excess_s, number / 100)) for number in range(100)
        ]
        assert max(delays.count(delay) for delay in delays) <= 30
        assert max(delays) <= 40


class TestDigest:
    @given(BACKLOGS, st.integers(0, 10_000))
    def test_it_is_small_and_comes_back(self, backlog: Backlog, age_ms: int) -> None:
        values = backlog.encode(age_ms)
        assert len(msgpack.packb(values)) <= 100
        assert decode_backlog(values) == (backlog, age_ms / 1000)

    @pytest.mark.parametrize("values", [[], [1], [2] * 14, [1] * 13 + [-1]])
    def test_another_form_counts_as_absent(self, values: list[int]) -> None:
        assert decode_backlog(values) is None

    @staticmethod
    def sent(*claims: CellClaim) -> NodeHeartbeat:
        return NodeHeartbeat(1000, 1, False, True, 400, list(claims))

    def test_claims_without_it_are_those_of_earlier_releases(self) -> None:
        """Guards against a fleet whose streams close while it is upgraded."""
        heartbeat = self.sent(CellClaim("a", 3, {"q": 2}, True))
        earlier = [8, 1000, 1, False, True, 400, [["a", 3, {"q": 2}, True]]]
        assert encode_message(heartbeat) == msgpack.packb(earlier)
        assert list(MessageDecoder().feed(msgpack.packb(earlier))) == [heartbeat]

    def test_claims_with_it(self) -> None:
        claim = CellClaim("a", 3, {"q": 2}, True, HOPELESS.encode(10))
        heartbeat = replace(self.sent(claim), unsettled=True)
        assert list(MessageDecoder().feed(encode_message(heartbeat))) == [heartbeat]


class Fleet:
    """A manager and a peer that owns the cell.

    :ivar stored: rows in the store
    :ivar read_s: duration of a read
    """

    def __init__(self) -> None:
        self.stored: set[RowId] = set()
        self.read_s = 0.005
        self.loss: Any = None
        claim = CellClaim(CELL, 4, {}, True, HOPELESS.encode(0))
        heartbeat = NodeHeartbeat(1000, 1, False, True, 400, [claim])
        self.peer = SimpleNamespace(
            heartbeat=heartbeat, interval_s=0.4, claims=lambda: heartbeat.claims
        )
        self.mesh: Any = SimpleNamespace(
            peers={"m2": self.peer}, last_loss_at_s=-math.inf
        )
        self.acceptor = JobAcceptor(self)  # type: ignore[arg-type]

    async def read_row(self, row: RowId) -> Row | None:
        await asyncio.sleep(self.read_s)
        return Row(row, b"", 1) if row in self.stored else None

    async def transact(self, *_: object) -> OutcomeUnknown:
        return OutcomeUnknown("no answer")

    def submit(
        self, change: Callable[[], None], spec: JobSpec = SPEC, waits_s: float = 11.0
    ) -> Refusal | None:
        """Submit a job some time after the start and a change of the fleet."""

        async def main() -> Refusal | None:
            directory: Any = SimpleNamespace(claims=list)
            store: Any = self
            gate = LateJobGate(self.mesh, store, directory, self.acceptor, lambda: 0.5)
            await asyncio.sleep(waits_s)
            self.peer.heartbeat_at_s = boot_time_s()
            change()
            return await gate.check(spec, ROW)

        with virtual_time() as loop:
            return loop.run_until_complete(main())

    def slow(self) -> None:
        self.read_s = 1.0

    def lose_peer(self) -> None:
        self.mesh.last_loss_at_s = boot_time_s() - SETTLE_S / 2

    def unsettle_peer(self) -> None:
        self.peer.heartbeat = replace(self.peer.heartbeat, unsettled=True)

    def silence_peer(self) -> None:
        self.peer.heartbeat_at_s -= 1.0

    def age_digest(self) -> None:
        self.peer.heartbeat_at_s -= 1.2

    def leave_call_unanswered(self) -> None:
        self.acceptor._unknown_at_s = boot_time_s() - SETTLE_S / 2

    def leave_call_open(self) -> None:
        self.acceptor._open_calls[0] = boot_time_s() - 0.6

    def store_job(self) -> None:
        self.stored.add(ROW)

    def begin_storing(self) -> None:
        self.acceptor._pending_rows[ROW] += 1

    def lose_digest(self) -> None:
        self.peer.heartbeat.claims[0].backlog = []

    def change_owner(self) -> None:
        self.peer.heartbeat.claims[0].loaded = False


class TestRefusalIsTrue:
    """A job that was told to have been refused ran: an earlier call had stored it."""

    def test_a_job_that_is_not_stored_is_refused(self) -> None:
        refusal = Fleet().submit(lambda: None)
        assert refusal is not None
        assert refusal.retry_after_s > 1

    @pytest.mark.parametrize(
        "change",
        [
            Fleet.store_job,
            Fleet.begin_storing,
            Fleet.slow,
            Fleet.lose_peer,
            Fleet.unsettle_peer,
            Fleet.silence_peer,
            Fleet.leave_call_unanswered,
            Fleet.leave_call_open,
            Fleet.age_digest,
            Fleet.lose_digest,
            Fleet.change_owner,
        ],
    )
    def test_one_that_may_be_stored_is_accepted(
        self, change: Callable[[Fleet], None]
    ) -> None:
        fleet = Fleet()
        assert fleet.submit(lambda: change(fleet)) is None

    def test_a_manager_that_has_just_started_refuses_nobody(self) -> None:
        assert Fleet().submit(lambda: None, waits_s=SETTLE_S - 1) is None

    def test_a_call_without_an_answer_is_told_to_peers(self) -> None:
        told: list[bool] = []

        async def main() -> None:
            fleet = Fleet()
            fleet.acceptor.on_unsettled = lambda: told.append(
                fleet.acceptor.is_unsettled(boot_time_s())
            )
            async with asyncio.timeout(5), anyio.create_task_group() as t:
                # The call is repeated, and peers are told once.
                await fleet.acceptor.create(t, ROW, b"x", 0.4)
                assert not fleet.acceptor.is_storing(ROW)

        with virtual_time() as loop:
            loop.run_until_complete(main())
        assert told == [True]


class TestAnswer:
    def test_a_refused_job_is_answered_and_nothing_is_stored(self) -> None:
        class Gate:
            async def check(self, spec: JobSpec, row: RowId) -> Refusal:
                assert row == job_row(QUEUE.key, spec.job_id)
                return Refusal("too late", 2.5)

        mesh: Any = SimpleNamespace(handlers={})
        # Without a store, a write fails the test.
        service = JobService(mesh, None, None, None)  # type: ignore[arg-type]
        service.late_jobs = Gate()  # type: ignore[assignment]
        body = b'{"TaskSpec": "", "Steps": [{"Count": 1, "Cpu": 100}]}'
        answer = asyncio.run(service.submit(QUEUE, SPEC.job_id, body, 1.0))
        assert answer == JobAnswer(
            ResultCode.TOO_LATE, "too late", 2.5, refusal=LATE_REFUSAL
        )
        assert answer.code.http_status == 503
        assert answer.code.ran == Ran.NO


class TestPredictionOfAnOwner:
    def test_the_end_of_a_job_tells_what_was_predicted(self, logged) -> None:  # type: ignore[no-untyped-def]
        async def main() -> None:
            world = World(work_s=0.2, cpu_milli=16_000)
            owner = await world.own()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(world.work)
                tasks.start_soon(owner.run)
                await until(
                    lambda: owner.state.workers["w0"].accepts_tasks(boot_time_s())
                )
                owner.add_job(SPEC)
                added = owner.state.jobs[SPEC.job_id]
                await until(lambda: added.state == JobState.COMPLETED)
                tasks.cancel_scope.cancel()
            assert not owner.state.predicted_s

        asyncio.run(main())
        (line,) = logged.of(Event.JOB_ENDED)
        # The estimate of its step, and the overhead of one.
        assert line["predicted_s"] == pytest.approx(0.74, abs=0.02)


class TestHeldWorker:
    def test_none_is_held_for_a_step_whose_tasks_all_run(self) -> None:
        """Guards against room that stays empty for a job that does not need it."""
        turns = JobTurns()
        turns._meter.granted[SPEC.job_id] = None
        step, waiting = SPEC.steps[0], Job(SPEC)
        workers: list[Any] = [
            SimpleNamespace(
                worker_id=name,
                cpu_milli=4000,
                used_cpu_milli=used,
                fits_when_empty=lambda _step: True,
            )
            for name, used in (("w0", 3900), ("w1", 3000), ("w2", 3500))
        ]
        tasks = waiting.step_tasks(0, 0)
        turns.hold_worker(waiting, step, tasks, workers)
        assert [worker.worker_id for worker in workers] == ["w0", "w2"]
        for task in tasks:
            task.phase = Phase.RUNNING
        turns.hold_worker(waiting, step, tasks, workers)
        assert len(workers) == 2


class TestPredictionMetric:
    def test_a_prediction_wrong_by_more_than_three_is_seen(self) -> None:
        metrics = ManagerMetrics(dict)
        for took_s in (1.0, 3.5):
            fields = {"state": "COMPLETED", "took_s": took_s, "predicted_s": 1.0}
            metrics.observe_event(Event.JOB_ENDED, fields)
        text = metrics.render().decode()
        assert 'chivetray_job_completion_ratio_bucket{le="3.0"} 1.0' in text
        assert 'chivetray_job_completion_ratio_bucket{le="+Inf"} 2.0' in text
