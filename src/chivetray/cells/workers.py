"""State of one worker as the owner of its cell sees it."""

from __future__ import annotations

from dataclasses import dataclass, field

from chivetray.jobs.model import Step, TaskKey

# A worker's clock may run 2% slow or fast against ours.
CLOCK_DRIFT = 0.02

# Consecutive failures of different jobs after which a worker is tried with one
# task at a time.
FAILURES_BEFORE_QUARANTINE = 4

# Time without a placement after which a quarantined worker is probed.
PROBE_INTERVAL_S = 2.0

TaskRef = tuple[str, TaskKey]


@dataclass(slots=True)
class WorkerClock:
    """Lower bound on a worker's steady clock, from its answers."""

    clock_ms: int = 0
    sent_at_s: float = 0.0
    received_at_s: float = 0.0
    known: bool = False

    def observe(self, clock_ms: int, sent_at_s: float, received_at_s: float) -> None:
        """Take the clock from an answer; older answers are ignored."""
        if self.known and sent_at_s < self.sent_at_s:
            return
        self.clock_ms = clock_ms
        self.sent_at_s = sent_at_s
        self.received_at_s = received_at_s
        self.known = True

    def earliest_ms(self, now_s: float) -> int:
        """Return a time that the worker's clock has passed."""
        elapsed_s = (now_s - self.received_at_s) * (1 - CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_s * 1000)


@dataclass(slots=True)
class WorkerState:
    """One life of a worker.

    :ivar fenced: whether the worker has answered to our fencing token
    :ivar adopted: whether a look has shown what runs there
    :ivar seen_end: number of the last end that was applied
    :ivar observed: number of the last end that is stored
    :ivar acknowledged: number of the last end that the worker may forget
    :ivar deadline_ms: latest deadline that was sent, on the worker's clock
    :ivar lease_unknown_until_s: time until which an earlier owner's lease may last
    :ivar silent_since_s: first call that was not answered, 0 while it answers
    :ivar reserved_until_s: time until which nothing new is placed, since the VM is
        needed elsewhere
    """

    worker_id: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    born: int
    cpu_milli: int
    mem_mb: int
    gpu: int
    listed: bool = True
    draining: bool = False
    fenced: bool = False
    adopted: bool = False
    seen_end: int = 0
    observed: int = 0
    acknowledged: int = 0
    deadline_ms: int = 0
    lease_unknown_until_s: float = 0.0
    silent_since_s: float = 0.0
    missing_since_s: float = 0.0
    unhealthy_until_s: float = 0.0
    reserved_until_s: float = 0.0
    reserved_since_s: float = 0.0
    idle_since_s: float = 0.0
    listed_at_s: float = 0.0
    failing_jobs: set[str] = field(default_factory=set)
    probed_at_s: float = 0.0
    clock: WorkerClock = field(default_factory=WorkerClock)
    tasks: dict[TaskRef, Step] = field(default_factory=dict)
    used_cpu_milli: int = 0
    used_mem_mb: int = 0
    used_gpu: int = 0

    @property
    def quarantined(self) -> bool:
        """Whether tasks of too many jobs failed here in a row."""
        return len(self.failing_jobs) >= FAILURES_BEFORE_QUARANTINE

    def reserved(self, now_s: float) -> bool:
        """Return whether the VM is being emptied for an order of the platform."""
        return now_s < self.reserved_until_s

    def usable(self, now_s: float) -> bool:
        """Return whether new tasks may be placed."""
        if not (self.listed and self.adopted and self.clock.known):
            return False
        if self.draining or self.reserved(now_s) or self.silent_since_s:
            return False
        if self.unhealthy_until_s > now_s:
            return False
        if self.quarantined:
            return not self.tasks and now_s - self.probed_at_s >= PROBE_INTERVAL_S
        return True

    def fits(self, step: Step) -> bool:
        """Return whether one more task of a step has room."""
        cpu = 0 if step.fills else step.cpu_milli
        return (
            self.used_cpu_milli + cpu <= self.cpu_milli
            and self.used_mem_mb + step.mem_mb <= self.mem_mb
            and self.used_gpu + step.gpu <= self.gpu
        )

    def could_fit(self, step: Step) -> bool:
        """Return whether a task of a step would have room on the empty worker."""
        return (
            (step.fills or step.cpu_milli <= self.cpu_milli)
            and step.mem_mb <= self.mem_mb
            and step.gpu <= self.gpu
            and (not step.label or step.label in self.labels)
        )

    def take(self, ref: TaskRef, step: Step) -> None:
        """Use room for a task."""
        if ref in self.tasks:
            return
        self.tasks[ref] = step
        self._add(step, 1)

    def free(self, ref: TaskRef, now_s: float) -> None:
        """Give back the room of a task."""
        step = self.tasks.pop(ref, None)
        if step is not None:
            self._add(step, -1)
            if not self.tasks:
                self.idle_since_s = now_s

    def _add(self, step: Step, sign: int) -> None:
        self.used_cpu_milli += 0 if step.fills else sign * step.cpu_milli
        self.used_mem_mb += sign * step.mem_mb
        self.used_gpu += sign * step.gpu

    def remaining_lease_s(self, now_s: float) -> float:
        """Return the longest time for which anything may still run here."""
        left_s = self.lease_unknown_until_s - now_s
        if self.deadline_ms and self.clock.known:
            left_ms = self.deadline_ms - self.clock.earliest_ms(now_s)
            left_s = max(left_s, left_ms / 1000 / (1 - CLOCK_DRIFT))
        return max(0.0, left_s)

    def lease_over(self, now_s: float) -> bool:
        """Return whether everything that ran here has surely been killed."""
        if now_s < self.lease_unknown_until_s:
            return False
        if not self.deadline_ms:
            return True
        return self.clock.known and self.clock.earliest_ms(now_s) > self.deadline_ms
