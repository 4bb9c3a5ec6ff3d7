"""A cell of which some tasks crash their workers, without network and without clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from cell_helpers import CELL, job

from chivetray.cells.crashes import record_crash
from chivetray.cells.placing import place_tasks
from chivetray.cells.reports import apply_poll_reply, confirm_start
from chivetray.cells.state import CellState
from chivetray.cells.workers import TaskRef
from chivetray.jobs.model import JobSpec, JobState, Step
from chivetray.platform.stored_records import WorkerRecord
from chivetray.platform.workers import (
    AttemptEnd,
    EndedTask,
    Reply,
    RunningTask,
    TaskName,
    Verdict,
)

ROUND_S = 0.1
DOWN_S = 2.5
WORKER_CPU_MILLI = 4000


@dataclass
class FleetWorker:
    """One life of a worker.

    :ivar runs: time of the start and attempt by task
    """

    worker_id: str
    address: str
    rack: str
    born_ms: int
    up: bool = True
    back_at_s: float = 0.0
    runs: dict[TaskRef, tuple[float, int]] = field(default_factory=dict)
    ends: list[EndedTask] = field(default_factory=list)


class CrashFleet:
    """A cell and its workers, in rounds.

    By default each worker has a rack of its own.

    :ivar deadly: tasks that crash their workers
    :ivar crash_after_s: time after their start at which they do
    :ivar crashes: crashes under each deadly task
    :ivar further_starts: starts of each deadly task after the third crash
    :ivar taken_along: crashes of each deadly task that took unsettled tasks of other
        jobs along
    """

    def __init__(self, workers: int, racks: int | None = None):
        self.now_s = 1.0
        self.state = CellState(CELL)
        self.specs: dict[str, JobSpec] = {}
        self.work_s: dict[str, float] = {}
        self.deadly: set[TaskRef] = set()
        self.crash_after_s = 0.0
        self.crashes: dict[TaskRef, int] = {}
        self.further_starts: dict[TaskRef, int] = {}
        self.taken_along: dict[TaskRef, int] = {}
        self.lost_attempts = 0
        self.workers = [
            FleetWorker(f"w{n}", f"10.0.0.{n}:80", f"r{n % (racks or workers)}", 1)
            for n in range(workers)
        ]
        self._list()

    def add_job(
        self, number: int, step: Step, deadly: set[int] = frozenset(), work_s=0.5
    ) -> str:
        spec = job(f"{number:016x}", (step,))
        self.specs[spec.job_id] = spec
        self.work_s[spec.job_id] = work_s
        for index in deadly:
            ref = (spec.job_id, (0, 0, index))
            self.deadly.add(ref)
            self.crashes[ref] = self.further_starts[ref] = self.taken_along[ref] = 0
        self.state.add_job(spec, self.now_s)
        return spec.job_id

    def job_state(self, job_id: str) -> JobState:
        return self.state.jobs[job_id].state

    def run(self, for_s: float) -> None:
        for _ in range(int(for_s / ROUND_S)):
            self.run_round()

    def run_round(self) -> None:
        self.now_s += ROUND_S
        self._bring_back()
        for worker in self.workers:
            if worker.up:
                self._poll(worker)
        for placement in place_tasks(self.state, self.now_s, 0):
            worker = next(w for w in self.workers if w.worker_id == placement.worker_id)
            assert worker.up, "placed on a worker that is down"
            self._start(worker, placement.ref, placement.attempt)
        self.state.stop_orders.clear()
        for worker in list(self.workers):
            culprits = [
                ref
                for ref, (began_s, _) in worker.runs.items()
                if ref in self.deadly and self.now_s - began_s >= self.crash_after_s
            ]
            if worker.up and culprits:
                self.crash(worker, culprits)

    def _start(self, worker: FleetWorker, ref: TaskRef, attempt: int) -> None:
        worker.runs[ref] = (self.now_s, attempt)
        confirm_start(self.state, ref, attempt, self.now_s)
        if ref in self.deadly and self.crashes[ref] >= 3:
            self.further_starts[ref] += 1

    def crash(self, worker: FleetWorker, culprits=()) -> None:
        """Let a worker crash; it is noticed once another one is in its place."""
        worker.up, worker.back_at_s = False, self.now_s + DOWN_S
        known = self.state.workers[worker.worker_id]
        known.silent_since_s = known.last_silence_at_s = self.now_s
        known.silence_seen_at_s = self.now_s
        self.lost_attempts += len(worker.runs)
        for ref in culprits:
            self.crashes[ref] += 1
            self.taken_along[ref] += any(
                other[0] != ref[0] and not self.state.find_task(other)[1].settled
                for other in worker.runs
            )

    def change_owner(self) -> None:
        """Let another owner load what is stored, and attach what runs."""
        rows = {i: j.encode() for i, j in self.state.jobs.items()}
        self.state = CellState(CELL)
        self._list()
        for number, (job_id, content) in enumerate(rows.items()):
            spec = self.specs[job_id]
            self.state.restore_job(spec, content, number + 1, self.now_s)
        self.state.attach_restored_tasks(self.now_s, 8.0, {})
        for worker in self.workers:
            known = self.state.workers.get(worker.worker_id)
            if known is not None and not worker.up:
                known.silent_since_s = known.last_silence_at_s = self.now_s
                known.silence_seen_at_s = self.now_s

    def _bring_back(self) -> None:
        for number, worker in enumerate(self.workers):
            if worker.up or self.now_s < worker.back_at_s:
                continue
            born_ms = worker.born_ms + 1
            successor = FleetWorker(
                f"{worker.worker_id}'", worker.address, worker.rack, born_ms
            )
            self.workers[number] = successor
            known = self.state.workers.get(worker.worker_id)
            if known is not None:
                seen_by = "another worker answers"
                record_crash(self.state, known, seen_by, self.now_s)
                self.state.reschedule_worker_tasks(known, self.now_s, seen_by)
                known.listed = False
            self._list()

    def _list(self) -> None:
        entries = [
            WorkerRecord(
                w.worker_id,
                CELL,
                w.address,
                f"z-{w.rack}",
                False,
                w.born_ms,
                WORKER_CPU_MILLI,
                65536,
                0,
                ("a", w.rack),
            )
            for w in self.workers
        ]
        self.state.update_workers(entries, self.now_s)
        for worker in self.state.workers.values():
            worker.tasks_known = True
            worker.clock.observe(1000, self.now_s, self.now_s)

    def _poll(self, worker: FleetWorker) -> None:
        ends = []
        for ref, (began_s, attempt) in list(worker.runs.items()):
            _, task = self.state.find_task(ref)
            is_ours = task is not None and task.attempt == attempt and task.active
            if not is_ours or self.now_s - began_s >= self.work_s[ref[0]]:
                del worker.runs[ref]
                number = len(worker.ends) + len(ends) + 1
                name, done = TaskName(*ref), AttemptEnd.DONE
                ends.append(EndedTask(number, name, attempt, done, ""))
        worker.ends += ends
        running = [
            RunningTask(TaskName(*ref), attempt, "", 100, 0)
            for ref, (_, attempt) in worker.runs.items()
        ]
        reply = Reply(Verdict.OK, 1000, worker.born_ms, running, ends)
        known = self.state.workers[worker.worker_id]
        apply_poll_reply(self.state, known, reply, self.now_s, self.now_s)
