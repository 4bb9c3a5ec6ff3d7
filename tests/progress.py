"""Check that jobs and long-running tasks do not wait without cause.

With room for a task twice over, and without a fault for 7 s, a job has something
running within 3 s, and a long-running task runs again within 9 s of its last run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from run_once_helpers import SimulatedWorker, TaskRecord, World

# Bounds of the platform.
CONTACT_S = 3.0
IDLE_S = 3.0
CALM_S = 4.0
AWAY_S = 6.0
ROOM_TIMES = 2


class Progress:
    """Watches what waits in a world, and reports what waits for too long.

    :ivar disturbed_s: latest time at which a fault acted
    """

    def __init__(self, world: World):
        self.world = world
        self.disturbed_s = -math.inf
        self._waiting_since_s: dict[str, float] = {}
        self._reported: set[str] = set()

    def look(self) -> None:
        """Check all tasks at the present moment."""
        now_s = self.world.now_s()
        self.disturbed_s = max(self.disturbed_s, self._disturbed_until_s(now_s))
        for job_id in self.world.ledger.specs:
            if job_id not in self.world.ledger.failed_jobs:
                self._look_at_job(job_id, now_s)

    def _look_at_job(self, job_id: str, now_s: float) -> None:
        waiting = self._waiting_tasks(job_id)
        records = self.world.ledger.tasks
        idle = not any(records[name].runs for name in self._names(job_id))
        roomy = [name for name in waiting if self._has_room(name)]
        for name in waiting:
            record = records[name]
            if not record.step.long_running:
                continue
            since_s = self._since(name, name in roomy, now_s)
            away_s = record.last_run_s + AWAY_S
            self._report(name, since_s, away_s, "is long-running and doesn't run")
        for name in self._names(job_id):
            if name not in waiting:
                self._waiting_since_s.pop(name, None)
        is_idle = idle and bool(roomy) and self._is_under_half_used()
        since_s = self._since(job_id, is_idle, now_s)
        if is_idle:
            self._report(roomy[0], since_s, since_s, "its job has nothing running")

    def _since(self, name: str, holds: bool, now_s: float) -> float:
        """Return since when a condition holds, infinite if it does not."""
        if not holds:
            self._waiting_since_s.pop(name, None)
            return math.inf
        return self._waiting_since_s.setdefault(name, now_s)

    def _report(self, name: str, since_s: float, due_s: float, text: str) -> None:
        """Report a task that may wait no longer.

        :param since_s: time since when the task has waited with room for it
        :param due_s: time from which the wait counts
        """
        from_s = max(since_s, due_s, self.disturbed_s + CALM_S)
        if self.world.now_s() - from_s <= IDLE_S or name in self._reported:
            return
        self._reported.add(name)
        last_run_s = self.world.ledger.tasks[name].last_run_s
        self.world.ledger.problem(
            "LOST",
            name,
            f"{text}; last run until {last_run_s:.3f}, waits with room since "
            f"{since_s:.3f}, last fault {self.disturbed_s:.3f}; "
            f"{self._describe_cause(name)}",
        )

    def _describe_cause(self, name: str) -> str:
        """Return what the owner of the cell knows of a task that waits."""
        manager = self.world.owner()
        if manager is None or manager.process.dead:
            return "the cell has no owner"
        owner = next(iter(manager.directory.owned_cells.values()))
        job_id, *numbers = name.split(".")
        ref = (job_id, (int(numbers[0]), int(numbers[1]), int(numbers[2])))
        _, task = owner.state.find_task(ref)
        text = f"{manager.name} epoch {owner.epoch}"
        if task is None:
            return f"{text} does not know it"
        workers = list(owner.state.workers.values())
        if task.active:
            workers = [worker for worker in workers if worker.worker_id == task.worker]
        text += f" has it {task.phase.name} attempt {task.attempt}"
        now_s = self.world.now_s()
        for worker in workers:
            own_ms = worker.deadline_ms - worker.clock.lower_bound_ms(now_s)
            times_s = {
                "silent": worker.silent_since_s - now_s,
                "earlier lease": worker.earlier_lease_until_s - now_s,
                "paused": worker.unhealthy_until_s - now_s,
                "reserved": worker.reserved_until_s - now_s,
                "VM order": worker.vm_order_until_s - now_s,
                "own lease": own_ms / 1000 if worker.deadline_ms else -math.inf,
            }
            shown = [
                f"{what} {time_s:.1f} s"
                for what, time_s in times_s.items()
                if time_s > 0 or (what == "silent" and worker.silent_since_s)
            ]
            flags = ("listed", "tasks_known", "draining", "quarantined")
            shown += [flag for flag in flags if getattr(worker, flag)]
            free_milli = worker.cpu_milli - worker.used_cpu_milli
            text += f"; {worker.worker_id}: {free_milli} free, {', '.join(shown)}"
        return text

    # Tasks

    def _names(self, job_id: str) -> list[str]:
        spec = self.world.ledger.specs[job_id]
        return [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(spec.steps)
            for index in range(step.count)
        ]

    def _waiting_tasks(self, job_id: str) -> list[str]:
        """Return the tasks whose turn has come and that do not run."""
        ledger = self.world.ledger
        spec = ledger.specs[job_id]
        over = {name for name in self._names(job_id) if self._is_over(name)}
        found = []
        for number, step in enumerate(spec.steps):
            names = [f"{job_id}.0.{number}.{index}" for index in range(step.count)]
            if over.issuperset(names):
                continue
            before = {
                f"{job_id}.0.{needed}.{index}"
                for needed in step.depends_on
                for index in range(spec.steps[needed].count)
            }
            if before <= over:
                waiting = [name for name in names if not ledger.tasks[name].runs]
                found += [name for name in waiting if name not in over]
        return found

    def _is_over(self, name: str) -> bool:
        """Return whether the end of a task is stored, or known to a sound worker."""
        ledger = self.world.ledger
        record = ledger.tasks[name]
        names = ledger.members(name) if record.step.gang else [name]
        return any(self._is_done(ledger.tasks[n], n) for n in names)

    def _is_done(self, record: TaskRecord, name: str) -> bool:
        if name in self.world.ledger.stored_done:
            return True
        return any(
            end.worker.up and end.worker.incarnation_ms == end.incarnation
            for end in record.done
        )

    # Room

    def _sound_workers(self) -> list[SimulatedWorker]:
        rows = self.world.state.rows
        now_s = self.world.now_s()
        return [
            worker
            for worker in self.world.workers.values()
            if worker.up
            and not worker.draining
            and now_s >= self.world.reserved_until_s.get(worker.worker_id, 0.0)
            and ("servers", "", worker.worker_id) in rows
            and not rows["servers", "", worker.worker_id].removed
        ]

    def _used_milli(self, worker: SimulatedWorker) -> int:
        tasks = self.world.ledger.tasks
        return sum(tasks[name].step.cpu_milli for name in worker.runs)

    def _has_room(self, name: str) -> bool:
        """Return whether a task, or its gang, fits twice over."""
        record = self.world.ledger.tasks[name]
        step = record.step
        members = set(self.world.ledger.members(name))
        wanted = ROOM_TIMES * (step.count if step.gang else 1)
        slots = 0
        for worker in self._sound_workers():
            free = (worker.cpu_milli - self._used_milli(worker)) // step.cpu_milli
            if step.per_worker:
                free = min(free, step.per_worker - len(members & set(worker.runs)))
            slots += max(0, free)
        return slots >= wanted

    def _is_under_half_used(self) -> bool:
        workers = self._sound_workers()
        used = sum(self._used_milli(worker) for worker in workers)
        return 2 * used < sum(worker.cpu_milli for worker in workers)

    # Faults

    def _disturbed_until_s(self, now_s: float) -> float:
        """Return the latest time up to which a fault acts that is known now."""
        world = self.world
        if (
            world.lost_calls
            or world.lost_replies
            or world.late_workers
            or world.isolated
            or world.store_away
            or world.entry_delay_s
            or world.store_loss_chance
        ):
            return now_s
        for worker in world.workers.values():
            if not worker.up and worker.worker_id not in world.gone_s:
                return now_s
        for manager in world.managers.values():
            if manager.process.frozen:
                return now_s
            if manager.process.dead and manager.name not in world.gone_s:
                return now_s
        gone_s = max(world.gone_s.values(), default=-math.inf)
        return max(min(world.fault_s, now_s), gone_s + CONTACT_S)
