"""State of one worker as seen by the owner of its cell."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Any

from chivetray.cells.lease_orders import LeaseOrders
from chivetray.cells.tables import EPOCH_STEP
from chivetray.cells.timing import MAX_ORDER_DELAY_S, MAX_RELEASED_LEASE_S
from chivetray.clocks import CLOCK_DRIFT, RemoteClock
from chivetray.jobs.model import Step, TaskKey
from chivetray.scheduling.worker_pace import MIN_FAILURES_IN_A_ROW, WorkerPace

# Number of different jobs with consecutive failures on a worker after which it is
# quarantined, where few tasks fail elsewhere: it then runs one task at a time.
FAILURES_BEFORE_QUARANTINE = MIN_FAILURES_IN_A_ROW

# Shortest time between two placements on a quarantined worker.
PROBE_INTERVAL_S = 2.0

# Run time after which a long-running task that is at work ends a quarantine, since it
# is never done.
PROBE_RUN_TIME_S = 2.0

TaskRef = tuple[str, TaskKey]


@dataclass(slots=True)
class WorkerState:
    """One incarnation of a worker.

    :ivar incarnation: start of the worker in ms since 1970, which identifies its
        incarnation
    :ivar listed_incarnation: incarnation that labels and capacity are of, 0 if the list
        does not tell
    :ivar tasks_known: whether a poll has shown which tasks run there
    :ivar last_applied_end: number of the last ended attempt that was applied
    :ivar last_stored_end: number of the last ended attempt that is stored
    :ivar last_acknowledged_end: number of the last ended attempt that the worker may
        forget
    :ivar deadline_ms: latest lease deadline that was sent, on the worker's clock
    :ivar lease_sent_at_s: latest time at which an order that grants a lease may have
        been sent, by this owner or an earlier one
    :ivar earlier_lease_until_s: time until which a lease may last that an earlier owner
        granted, or an order to an earlier incarnation
    :ivar longest_lease_s: longest lease that an order of any deadline grants here
    :ivar lease_end_held: whether no order may grant a lease, since the end of the
        leases here is stored for later owners
    :ivar lease_orders: orders that grant a lease and have not been answered
    :ivar token_raises: number of later incarnations that this owner has seen, by which
        its fencing token for the worker is above its epoch
    :ivar refuses_late_orders: whether it refuses orders to earlier incarnations, which
        may have granted leases until ``late_orders_until_s``
    :ivar doubted_at_s: time at which the clock of an answer has shown an unknown
        incarnation, 0 if a poll that was sent later has named it
    :ivar former_incarnations: earlier incarnations that were known here
    :ivar late_orders_until_s: time until which a lease may last by an order to an
        earlier incarnation, 0 if there is none
    :ivar late_starts_until_s: by task and attempt, time until which a start of an ended
        attempt that was not answered may be carried out by a later incarnation
    :ivar silent_since_s: time of the first call without an answer, 0 while the worker
        answers
    :ivar silence_seen_at_s: time at which that call had failed
    :ivar last_silence_at_s: time at which the last silence began, 0 if there was none
    :ivar known_since_s: time at which the present incarnation became known
    :ivar missing_since_s: time at which the worker disappeared from the list
    :ivar unhealthy_until_s: time until which nothing new is placed
    :ivar reserved_until_s: time until which nothing new is placed, since the VM is
        needed elsewhere
    :ivar answered_poll_sent_at_s: send time of the last poll with an answer
    :ivar reports_wanted_until_s: time until which polls are short, since a decision
        needs recent reports
    :ivar maintenance_until_s: time until which the VM counts as one that a wave has
        still to take down; long-running tasks leave it, and come here last
    :ivar vm_order_until_s: time until which an order for the VM may be carried out that
        was given by an earlier holder of VM orders, or by a report of an earlier owner
    :ivar isolated_for: job whose suspected tasks the worker is kept free for, empty for
        none
    :ivar isolated_since_s: time at which that last began
    :ivar failing_jobs: jobs whose tasks failed here since the last task was done
    :ivar failures_before_quarantine: number of such jobs that is no chance
    :ivar pace: what its runs tell about the worker, see ``worker_pace``
    :ivar exempt_tasks: long-running tasks that ran here when the quarantine began;
        they run on beside the one task of a quarantined worker
    :ivar probed_at_s: time of the last placement while in quarantine
    :ivar runs_uncounted: whether the last reply to a poll listed an attempt that no
        place here is for, so that what it uses is not counted
    :ivar tasks: steps of the tasks that hold resources, by task
    :ivar changed_ids: receives the id of this worker when its tasks change
    """

    worker_id: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    incarnation: int
    cpu_milli: int
    mem_mb: int
    gpu: int
    listed: bool = True
    listed_incarnation: int = 0
    draining: bool = False
    tasks_known: bool = False
    last_applied_end: int = 0
    last_stored_end: int = 0
    last_acknowledged_end: int = 0
    deadline_ms: int = 0
    lease_sent_at_s: float = 0.0
    earlier_lease_until_s: float = 0.0
    longest_lease_s: float = MAX_RELEASED_LEASE_S
    lease_end_held: bool = False
    lease_orders: LeaseOrders = field(default_factory=LeaseOrders)
    token_raises: int = 0
    refuses_late_orders: bool = False
    doubted_at_s: float = 0.0
    former_incarnations: set[int] = field(default_factory=set)
    late_orders_until_s: float = 0.0
    late_starts_until_s: dict[tuple[TaskRef, int], float] = field(default_factory=dict)
    silent_since_s: float = 0.0
    silence_seen_at_s: float = 0.0
    last_silence_at_s: float = 0.0
    known_since_s: float = 0.0
    missing_since_s: float = 0.0
    unhealthy_until_s: float = 0.0
    reserved_until_s: float = 0.0
    reserved_since_s: float = 0.0
    maintenance_until_s: float = 0.0
    vm_order_until_s: float = 0.0
    idle_since_s: float = 0.0
    answered_poll_sent_at_s: float = 0.0
    reports_wanted_until_s: float = 0.0
    isolated_for: str = ""
    isolated_since_s: float = 0.0
    failing_jobs: set[str] = field(default_factory=set)
    failures_before_quarantine: int = FAILURES_BEFORE_QUARANTINE
    pace: WorkerPace = field(default_factory=WorkerPace)
    exempt_tasks: set[TaskRef] = field(default_factory=set)
    probed_at_s: float = 0.0
    runs_uncounted: bool = False
    clock: RemoteClock = field(default_factory=RemoteClock)
    tasks: dict[TaskRef, Step] = field(default_factory=dict)
    changed_ids: set[str] = field(default_factory=set)
    used_cpu_milli: int = 0
    used_mem_mb: int = 0
    used_gpu: int = 0

    @property
    def unbroken_silence_s(self) -> float:
        """Time since which no poll was answered, 0 if the last one was.

        A reply is recorded before it is applied, so that this is still the silence
        before a reply that shows another incarnation.
        """
        is_unbroken = self.last_silence_at_s > self.answered_poll_sent_at_s
        return self.last_silence_at_s if is_unbroken else 0.0

    @property
    def is_described(self) -> bool:
        """Whether labels and capacity are those of the present incarnation.

        A worker may start again as another kind. The list tells it after a poll may.
        """
        is_known = self.listed_incarnation > 0
        return not is_known or self.listed_incarnation >= self.incarnation

    @property
    def quarantined(self) -> bool:
        """Whether tasks of too many different jobs have failed here in a row."""
        return len(self.failing_jobs) >= self.failures_before_quarantine

    @property
    def is_overcommitted(self) -> bool:
        """Whether the capacity has shrunk below what is allocated."""
        return (
            self.used_cpu_milli > self.cpu_milli
            or self.used_mem_mb > self.mem_mb
            or self.used_gpu > self.gpu
        )

    @property
    def has_probe(self) -> bool:
        """Whether tasks run here that a quarantine does not exempt."""
        return any(ref not in self.exempt_tasks for ref in self.tasks)

    def record_failure(self, job_id: str) -> None:
        """Record that a task of a job has failed here."""
        was_quarantined = self.quarantined
        self.failing_jobs.add(job_id)
        if self.quarantined and not was_quarantined:
            self.exempt_tasks = {
                ref for ref, step in self.tasks.items() if step.long_running
            }

    def avoidance(self, step: Step) -> int:
        """Return how much the worker is avoided in the choice for a task, 0 for not."""
        is_probe = not (step.long_running or step.best_effort or step.gang)
        return self.pace.avoidance(is_probe)

    def is_reserved(self, now_s: float) -> bool:
        """Return whether the VM is being evacuated for an order to the platform."""
        return now_s < self.reserved_until_s

    def awaits_maintenance(self, now_s: float) -> bool:
        """Return whether a wave has still to take the VM down."""
        return now_s < self.maintenance_until_s

    def accepts_tasks(self, now_s: float) -> bool:
        """Return whether new tasks may be placed on the worker."""
        if not (self.listed and self.tasks_known and self.clock.known):
            return False
        if not self.is_described:
            return False
        if self.draining or self.is_reserved(now_s) or self.silent_since_s:
            return False
        if self.lease_end_held or self.runs_uncounted:
            return False
        if self.unhealthy_until_s > now_s:
            return False
        if self.quarantined:
            is_due = now_s - self.probed_at_s >= PROBE_INTERVAL_S
            return is_due and not self.has_probe
        return True

    def expect_late_start(self, ref: TaskRef, attempt: int, now_s: float) -> None:
        """Remember an ended attempt of which a start was not answered."""
        remembered = self.late_starts_until_s
        for key in [key for key, until_s in remembered.items() if until_s < now_s]:
            del remembered[key]
        remembered[ref, attempt] = now_s + MAX_ORDER_DELAY_S

    def expects_late_starts(self, now_s: float) -> bool:
        """Return whether a start of an ended attempt may still be carried out."""
        return any(until_s >= now_s for until_s in self.late_starts_until_s.values())

    def pause(self, until_s: float) -> None:
        """Place nothing new on the worker until a time."""
        self.unhealthy_until_s = max(self.unhealthy_until_s, until_s)

    def may_run(self, step: Step, now_s: float) -> bool:
        """Return whether the VM lasts as long as the tasks of a step require.

        An order that is still open may end the VM's tasks at any time, without regard
        to how many others of their step are unavailable.
        """
        return not step.max_unavailable or now_s >= self.vm_order_until_s

    def fits(self, step: Step) -> bool:
        """Return whether one more task of a step fits into the free resources.

        A quarantined worker runs one task at a time.
        """
        if self.quarantined and self.has_probe:
            return False
        cpu = 0 if step.best_effort else step.cpu_milli
        return (
            self.used_cpu_milli + cpu <= self.cpu_milli
            and self.used_mem_mb + step.mem_mb <= self.mem_mb
            and self.used_gpu + step.gpu <= self.gpu
        )

    def count_fitting(self, step: Step, limit: int) -> int:
        """Return how many tasks of a step fit into the free resources at once.

        :param limit: number up to which to count
        """
        if not (self.has_label(step) and self.fits(step)):
            return 0
        if self.quarantined:
            return 1
        cpu = 0 if step.best_effort else step.cpu_milli
        free = (
            (self.cpu_milli - self.used_cpu_milli, cpu),
            (self.mem_mb - self.used_mem_mb, step.mem_mb),
            (self.gpu - self.used_gpu, step.gpu),
        )
        return min([limit, *(left // need for left, need in free if need)])

    def has_label(self, step: Step) -> bool:
        """Return whether the worker has the label that a step requires."""
        return not step.label or step.label in self.labels

    def fits_when_empty(self, step: Step) -> bool:
        """Return whether a task of a step would fit if the worker were empty."""
        return (
            (step.best_effort or step.cpu_milli <= self.cpu_milli)
            and step.mem_mb <= self.mem_mb
            and step.gpu <= self.gpu
            and self.has_label(step)
        )

    def allocate(self, ref: TaskRef, step: Step) -> None:
        """Allocate the resources of a task, unless it holds them already."""
        held = self.tasks.get(ref)
        if held is not None:
            self._change_usage(held, -1)
        self.tasks[ref] = step
        self.changed_ids.add(self.worker_id)
        self._change_usage(step, 1)

    def suspend(self, ref: TaskRef) -> None:
        """Free the resources of a task that does not run but may still start."""
        step = self.tasks.get(ref)
        if step is not None:
            self._change_usage(step, -1)
            self.tasks[ref] = replace(step, cpu_milli=0, mem_mb=0, gpu=0)

    def free(self, ref: TaskRef, now_s: float) -> None:
        """Free the resources of a task."""
        step = self.tasks.pop(ref, None)
        self.exempt_tasks.discard(ref)
        self.changed_ids.add(self.worker_id)
        if step is not None:
            self._change_usage(step, -1)
            if not self.tasks:
                self.idle_since_s = now_s

    def _change_usage(self, step: Step, sign: int) -> None:
        self.used_cpu_milli += 0 if step.best_effort else sign * step.cpu_milli
        self.used_mem_mb += sign * step.mem_mb
        self.used_gpu += sign * step.gpu

    def remaining_lease_s(self, now_s: float) -> float:
        """Return the longest time for which a task may still run here."""
        left_s = self.earlier_lease_until_s - now_s
        if self.deadline_ms and self.clock.known:
            left_ms = self.deadline_ms - self.clock.lower_bound_ms(now_s)
            own_left_s = left_ms / 1000 / (1 - CLOCK_DRIFT)
            left_s = max(left_s, min(own_left_s, self._last_lease_end_s - now_s))
        return max(0.0, left_s)

    @property
    def _last_lease_end_s(self) -> float:
        """Time at which a lease that any order has granted has ended.

        The deadline may be on the clock of an earlier incarnation, which tells nothing.
        """
        if not self.lease_sent_at_s:
            return math.inf
        return self.lease_sent_at_s + MAX_ORDER_DELAY_S + self.longest_lease_s

    def limit_earlier_lease(self, now_s: float) -> None:
        """Record that no order to an earlier incarnation is carried out from now on.

        The worker has answered a poll with a higher fencing token than theirs. What
        they have granted before is at most the longest lease.
        """
        if self.token_raises >= EPOCH_STEP - 1:
            # No token is left above those of the orders before.
            return
        until_s = now_s + self.longest_lease_s
        self.earlier_lease_until_s = min(self.earlier_lease_until_s, until_s)
        self.late_orders_until_s = min(self.late_orders_until_s, until_s)

    def doubt_incarnation(self, now_s: float) -> None:
        """Record that an unknown incarnation has answered a call just now.

        The former one has ended, and its deadlines with it. The call may have granted
        the longest lease, as its deadline is on another clock.
        """
        self.clock.known, self.doubted_at_s = False, now_s
        self.deadline_ms = 0
        lease_until_s = now_s + self.longest_lease_s
        self.earlier_lease_until_s = max(self.earlier_lease_until_s, lease_until_s)

    def describe_lease(self, now_s: float) -> dict[str, Any]:
        """Return what is known of the lease, as fields for the log.

        ``deadline_ms`` and ``clock_ms``, a lower bound, are on the worker's clock.
        """
        clock_ms = self.clock.lower_bound_ms(now_s) if self.clock.known else None
        silent_s = now_s - self.silent_since_s if self.silent_since_s else 0.0
        earlier_lease_s = max(0.0, self.earlier_lease_until_s - now_s)
        return {
            "incarnation": self.incarnation,
            "deadline_ms": self.deadline_ms,
            "clock_ms": clock_ms,
            "earlier_lease_s": round(earlier_lease_s, 3),
            "silent_s": round(silent_s, 3),
        }

    def describe_expiry(self, now_s: float) -> str:
        """Return which lease was the last to expire, as a reason for the log."""
        if not self.deadline_ms:
            return "earlier lease expired" if self.earlier_lease_until_s else "no lease"
        own_age_ms = self.clock.lower_bound_ms(now_s) - self.deadline_ms
        earlier_age_ms = (now_s - self.earlier_lease_until_s) * 1000
        is_own_last = own_age_ms < earlier_age_ms
        return "own lease expired" if is_own_last else "earlier lease expired"

    def has_lease_expired(self, now_s: float) -> bool:
        """Return whether every task that ran here has certainly been killed."""
        if now_s < self.earlier_lease_until_s:
            return False
        if not self.deadline_ms or now_s > self._last_lease_end_s:
            return True
        return self.clock.known and self.clock.lower_bound_ms(now_s) > self.deadline_ms
