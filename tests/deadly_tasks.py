"""Tasks that crash each worker that starts them, and the check of their starts.

After three workers have crashed under a task, it is started at most twice more. Its
job is shown as failed, and no other job is.
"""

from __future__ import annotations

import asyncio
import random
from functools import partial
from typing import TYPE_CHECKING

from chivetray.jobs.model import JobSpec, JobState, Step

if TYPE_CHECKING:
    from run_once_helpers import Run, World

# Bounds of the platform.
CRASHES = 3
FURTHER_STARTS = 3
CONTACT_S = 3.0

# Numbers of the jobs with such tasks, above those of all others.
FIRST_JOB = 500
JOBS = 6

KINDS: tuple[tuple[str, tuple[Step, ...]], ...] = (
    ("plain", (Step(3, 1000), Step(2, 1500, depends_on=(0,)))),
    ("plain", (Step(1, 1000), Step(2, 1500, depends_on=(0,)))),
    ("copied", (Step(3, 1000, copies=True),)),
    ("gang", (Step(2, 1000, gang=True),)),
    ("saved", (Step(2, 1000, checkpointing=True),)),
    ("lasting", (Step(2, 500, long_running=True, max_unavailable=1),)),
)


class DeadlyTasks:
    """The deadly tasks of a run, and the crashes under them.

    :ivar crashed_s: times of the crashes, by task
    :ivar further_starts: starts after the last crash that is free, by task
    """

    def __init__(self, world: World):
        self.world = world
        self.crashed_s: dict[str, list[float]] = {}
        self.further_starts: dict[str, int] = {}
        self._successors = 0

    @property
    def job_ids(self) -> set[str]:
        return {name.partition(".")[0] for name in self.crashed_s}

    def add(self, name: str) -> None:
        self.crashed_s[name] = []
        self.further_starts[name] = 0

    def begun(self, run: Run) -> None:
        """Check a start, and let the worker crash soon."""
        crashes = self.crashed_s.get(run.task)
        if crashes is None:
            return
        if len(crashes) >= CRASHES:
            self.further_starts[run.task] += 1
            if self.further_starts[run.task] >= FURTHER_STARTS:
                text = f"start {self.further_starts[run.task]} after crashes {crashes}"
                self.world.ledger.problem("BUDGET", run.task, text)
        delay_s = self.world.rng("deadly").choice((0.005, 0.01, 0.2))
        self.world.later(delay_s, partial(self._crash, run, run.worker.incarnation_ms))

    def _crash(self, run: Run, incarnation_ms: int) -> None:
        worker, world = run.worker, self.world
        if not worker.up or worker.incarnation_ms != incarnation_ms:
            return
        if worker.runs.get(run.task) is not run:
            return
        rng = world.rng("crash")
        self.crashed_s[run.task].append(round(world.now_s(), 3))
        down_s = rng.uniform(1.5, 4.0)
        world.ledger.say(f"{worker.worker_id} crashes under {run.task[13:]}")
        world.fault_s = max(world.fault_s, world.now_s() + down_s + CONTACT_S)
        keeps_id = rng.random() < 0.3
        worker.crash("crashed" if keeps_id else "lost", silent=rng.random() < 0.3)
        world.expire(worker)

        def come_back() -> None:
            if world.find_worker(worker.address) is not None:
                return
            if keeps_id:
                worker.begin_again()
                world.publish(worker)
                return
            self._successors += 1
            successor = f"z{self._successors}"
            world.add_worker(successor, worker.address, worker.rack)

        world.later(down_s, come_back)

    def check_ends(self, states: dict[str, JobState]) -> None:
        """Check which jobs have failed."""
        for job_id, state in states.items():
            if job_id in self.job_ids and state != JobState.FAILED:
                self.world.ledger.problem("ENDLESS", job_id, f"is {state.name}")
            if job_id in self.job_ids or state != JobState.FAILED:
                continue
            most = max(
                record.crashes
                for record in self.world.ledger.tasks.values()
                if record.job_id == job_id
            )
            if most < CRASHES:
                text = f"is innocent, {most} workers have crashed under a task"
                self.world.ledger.problem("CONVICTED", job_id, text)


async def deadly_tasks(world: World, rng: random.Random) -> None:
    """Jobs arrive of which one task, or some, crash each worker that starts them."""
    for number in range(JOBS):
        name, steps = rng.choice(KINDS)
        spec = JobSpec(
            f"{FIRST_JOB + number:016x}",
            name,
            "pool-a",
            name,
            steps,
            max_attempts=50,
            target_ms=600,
        )
        step = rng.randrange(len(steps))
        count = 1 if rng.random() < 0.8 else steps[step].count
        for index in rng.sample(range(steps[step].count), count):
            world.deadly.add(f"{spec.job_id}.0.{step}.{index}")
        world.hand_in(spec)
        await asyncio.sleep(rng.uniform(0.0, 6.0))
