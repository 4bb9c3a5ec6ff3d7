"""Workers with more ends than one reply lists.

Tasks whose ends were not among the first 500 once counted as vanished and ran again
(docs/incidents, 22).
"""

from __future__ import annotations

import asyncio

import pytest
from cell_helpers import World, job, until
from test_cell_owner import running

from chivetray.cells.reports import apply_poll_reply
from chivetray.jobs.model import JobState, Phase, Step
from chivetray.platform.calls import Answer
from chivetray.platform.workers import ENDS_PER_REPLY, decode_reply

JOBS, TASKS_PER_JOB = 7, 100


class TestOutageOfTheStore:
    """Guards against review/1: a list of 500 ends that is taken for the whole list."""

    def test_no_task_that_ended_meanwhile_runs_again(self) -> None:
        async def scenario() -> None:
            world = World(workers=1, work_s=0.6, cpu_milli=JOBS * TASKS_PER_JOB)
            owner = await world.own()
            async with running(world, owner):
                for number in range(JOBS):
                    steps = (Step(TASKS_PER_JOB, 1),)
                    owner.add_job(job(f"{number:016x}", steps))
                (model,) = world.models.values()
                await until(lambda: len(model.running) == JOBS * TASKS_PER_JOB)
                world.store.fail = lambda _number, _body: Answer(503, {})
                await until(lambda: len(model.ends) == JOBS * TASKS_PER_JOB)
                await asyncio.sleep(0.5)
                world.store.fail = lambda _number, _body: None
                await until(
                    lambda: all(
                        found.state == JobState.COMPLETED
                        for found in owner.state.jobs.values()
                    )
                )
            assert max(world.starts().values()) == 1

        asyncio.run(scenario())


class TestReply:
    @pytest.mark.parametrize(
        ("ends", "is_complete"),
        [
            ([], True),
            ([[1, "a.0.0.0", 1, "done", ""]], True),
            ([[1, "a.0.0.0", 1, "done", ""], ["odd"]], False),
            ([[n, "a.0.0.0", 1, "done", ""] for n in range(ENDS_PER_REPLY)], False),
        ],
    )
    def test_it_tells_whether_it_lists_all_ends(self, ends, is_complete) -> None:
        assert (
            decode_reply(Answer(200, {"Finished": ends})).lists_all_ends is is_complete
        )

    def test_an_attempt_is_missing_only_in_a_complete_list(self) -> None:
        async def scenario() -> None:
            world = World(workers=1)
            owner = await world.own()
            state = owner.state
            added = state.add_job(job(steps=(Step(1, 1),)), 0.0)
            (task,) = added.step_tasks(0, 0)
            worker = state.workers["w0"]
            state.assign(added, task, added.spec.steps[0], worker, 1.0)
            task.phase, task.running_at_s = Phase.RUNNING, 1.0
            ends = [[n, "b.0.0.0", 1, "done", ""] for n in range(1, 501)]
            for listed, phase in ((ends, Phase.RUNNING), (ends[:499], Phase.WAITING)):
                reply = decode_reply(Answer(200, {"Finished": listed, "ClockMs": 5}))
                apply_poll_reply(state, worker, reply, 2.0, 2.1)
                assert task.phase == phase

        asyncio.run(scenario())
