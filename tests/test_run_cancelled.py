"""Random runs of the owner of a cell in which jobs are cancelled.

Jobs and cancellations are stored; who notifies the owner does so late or not at all.
``CHIVETRAY_SEEDS`` names the seeds of each kind, as for ``test_run_once.py``.
"""

from __future__ import annotations

import asyncio
import base64
import os
from types import SimpleNamespace
from typing import Any

import pytest
import run_once_helpers
from run_once_helpers import CELL, FAULTS, Ledger, Run, Sender, World
from virtual_loop import VirtualLoop, virtual_time

from chivetray.cells.cancellations import CANCELLATION_LIMIT_S
from chivetray.cells.tables import cancel_row
from chivetray.jobs.model import JobSpec, JobState, Step
from chivetray.manager import Manager

FIRST, _, LAST = os.environ.get("CHIVETRAY_SEEDS", "2").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)

# Kinds of faults after which an owner may act on old knowledge.
KINDS = ((), ("store_away",), ("lost_writes",), ("kills",), ("releases",), ("moves",))

JOBS = 60
FAULTS_S = 22.0
SETTLE_S = 12.0


class CancelledLedger(Ledger):
    """Records starts of tasks that were sent too late after a cancellation."""

    def __init__(self, world: World):
        super().__init__(world)
        self.cancelled_s: dict[str, float] = {}

    def begun(self, run: Run, sender: Sender) -> None:
        super().begun(run, sender)
        cancelled_s = self.cancelled_s.get(self.tasks[run.task].job_id)
        if cancelled_s is None or sender.late:
            return
        age_s = sender.sent_s - cancelled_s
        if age_s > CANCELLATION_LIMIT_S:
            text = f"{age_s:.3f} s after its job was cancelled {sender}"
            self.problem("CANCELLED", run.task, text)


async def handle_job(world: World, number: int) -> None:
    """Store a job, cancel it or not, and notify its owner late or not at all."""
    rng = world.rng(f"job/{number}")
    steps = (Step(rng.randint(1, 6), 1500), Step(2, 500, depends_on=(0,)))
    spec = JobSpec(
        f"{number:016x}", "q", CELL, "", steps, max_attempts=50, target_ms=600
    )
    await asyncio.sleep(rng.uniform(0.2, FAULTS_S))
    world.hand_in(spec)
    if rng.random() < 0.3:
        return
    notified_after_s = rng.choice((0.0, rng.uniform(0.0, 14.0)))
    world.later(notified_after_s, lambda: notify(world, spec))
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    row = cancel_row(spec.queue, spec.job_id)
    world.state.put(row.table, row.part, row.key, base64.b64encode(b"1").decode())
    assert isinstance(world.ledger, CancelledLedger)
    world.ledger.cancelled_s[spec.job_id] = world.now_s()


def notify(world: World, spec: JobSpec) -> None:
    owner = world.owner()
    if owner is not None and not owner.process.frozen:
        cell_owner = owner.directory.owned_cells[CELL]
        owner.process.context.run(cell_owner.add_job, spec)


def broken_rules(ledger: CancelledLedger) -> list[str]:
    """Return the problems, without those of cancelled jobs that do not run."""
    return [
        text
        for text in ledger.problems
        if not text.startswith("LOST") or text.split()[1][:16] not in ledger.cancelled_s
    ]


async def play(loop: VirtualLoop, seed: int, kinds: tuple[str, ...]) -> CancelledLedger:
    world = World(loop, seed, kinds)
    world.ledger = ledger = CancelledLedger(world)
    world.begun_s = world.now_s()
    working = asyncio.ensure_future(world.work())
    await asyncio.sleep(3.0)
    jobs = [asyncio.ensure_future(handle_job(world, number)) for number in range(JOBS)]
    faults = [
        asyncio.ensure_future(FAULTS[kind](world, world.rng(f"kind/{kind}")))
        for kind in kinds
    ]
    await asyncio.sleep(FAULTS_S)
    for fault in faults:
        fault.cancel()
    world._heal()
    await asyncio.gather(*jobs)
    await asyncio.sleep(SETTLE_S)
    assert not working.done()
    for name, record in ledger.tasks.items():
        if record.job_id in ledger.cancelled_s and record.runs:
            ledger.problem("CANCELLED", name, "still runs")
    owner = world.owner()
    assert owner is not None
    known = owner.directory.owned_cells[CELL].state.jobs
    for job_id in ledger.cancelled_s:
        if not known[job_id].state.ended:
            ledger.problem("CANCELLED", job_id, "has not ended")
    assert any(job.state == JobState.COMPLETED for job in known.values())
    for manager in world._alive():
        manager.process.kill()
    working.cancel()
    await asyncio.sleep(0.1)
    return ledger


@pytest.fixture(autouse=True)
def scan_as_managers_do(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scan(self: Any) -> None:
        manager: Any = SimpleNamespace(_directory=self.directory)
        await Manager._scan_jobs(manager)

    monkeypatch.setattr(run_once_helpers.Manager, "_scan", scan)


class TestCancelledJobs:
    """Guards against starts on cancellations that the owner learns too late."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("kinds", KINDS, ids="+".join)
    def test_no_task_starts_later_than_promised(
        self, kinds: tuple[str, ...], seed: int
    ) -> None:
        with virtual_time() as loop:
            ledger = loop.run_until_complete(play(loop, seed, kinds))
        problems = broken_rules(ledger)
        assert not problems, problems[:6]
        assert not loop.failures, loop.failures[:3]
