"""Data types for jobs, their steps and their tasks."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

# Occurrence, step number and index of a task within its job.
TaskKey = tuple[int, int, int]

# Characters of a queue's key that the names of jobs and of rows hold.
QUEUE_NAME_CHARS = 198


class JobName(NamedTuple):
    """Name of a job.

    Callers of different queues choose identifiers without knowing of each other, so an
    identifier alone names no job.

    :ivar queue: key of the queue, cut to ``QUEUE_NAME_CHARS``
    """

    queue: str
    job_id: str

    @classmethod
    def of(cls, queue_key: str, job_id: str) -> JobName:
        """Return the name of a job of a queue."""
        return cls(queue_key[:QUEUE_NAME_CHARS], job_id)


@dataclass(frozen=True, slots=True)
class Step:
    """A set of identical tasks.

    Steps are stored by the position of their fields, so the order must not change.

    :ivar cpu_milli: CPU that each task needs, in thousandths of a core
    :ivar depends_on: numbers of the steps that must be done before this one starts
    :ivar gang: whether all tasks run together or not at all
    :ivar data_rack: rack on which the tasks run faster, empty for any
    :ivar label: label that a worker must have, empty for none
    :ivar per_worker: maximum number of the step's tasks on one worker, 0 for no limit
    :ivar copies: whether several copies of a task may run in parallel
    :ivar long_running: whether the tasks run until the job is cancelled
    :ivar target_ms: upper bound on the tail latency of a serving task, 0 for none
    :ivar best_effort: whether the tasks are best-effort: they use only CPU time that
        other tasks leave idle
    :ivar max_unavailable: number of tasks that the manager's own actions may make
        unavailable at once
    """

    count: int
    cpu_milli: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    copies: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted; it never changes.

    Specifications are stored by the position of their fields, so the order must not
    change.

    :ivar queue: key of the queue, which stays the same when another service serves it
    :ivar cell: service whose workers run the job
    :ivar stretch: multiple of the run time of the critical path that the job may take
    :ivar target_ms: time that the job may take in addition to that
    :ivar accepted_ms: wall-clock time at which the job was accepted, in ms since 1970
    :ivar repeats: number of scheduled occurrences, 0 for a job that is due at once
    :ivar organisation: organisation that submitted the job, empty for none
    :ivar split_progress: whether the progress of the job has several rows; told by the
        version of the format, and stored in no field
    """

    job_id: str
    queue: str
    cell: str
    payload: str
    steps: tuple[Step, ...]
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    accepted_ms: int = 0
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    ticket_validity_ms: int = 0
    organisation: str = ""
    split_progress: bool = False

    @property
    def name(self) -> JobName:
        """Name of the job, unique in the fleet."""
        return JobName.of(self.queue, self.job_id)

    def occurrences(self) -> int:
        """Return how often the steps of the job run."""
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> int:
        """Return the earliest start of an occurrence, in ms since 1970.

        :return: 0 for a job that is due at once
        """
        if self.repeats <= 0:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


class JobState(IntEnum):
    """State of a job, from its acceptance to its end."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether no task of the job will run any more."""
        return self >= JobState.COMPLETED


class Phase(IntEnum):
    """Phase of a task.

    A ``PLACED`` task has a worker that has not confirmed its start yet. A
    ``STOPPING`` task was told to stop and occupies its worker's capacity until the
    worker lists it as ended.
    """

    WAITING = 0
    PLACED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


# Stands for the end of a lease that orders which are under way may grant.
UNKNOWN_LEASE_END = 1

# Phases in which the newest attempt runs or is about to run.
STARTED_PHASES = (Phase.PLACED, Phase.RUNNING)


@dataclass(slots=True)
class Task:
    """One task and where its newest attempt runs.

    :ivar attempt: number of the newest attempt, 0 before the first
    :ivar failures: number of attempts that failed
    :ivar worker: worker of the newest attempt
    :ivar address: address at which that worker was reached
    :ivar incarnation: start of the worker in ms since 1970, which identifies its
        incarnation
    :ivar checkpoint: newest checkpoint, or empty
    :ivar percent: progress in the worker's last report
    :ivar listed_at_s: send time of the last poll whose reply listed the newest attempt
        as running
    :ivar level: value in the worker's last report: tail latency in ms of a serving
        task, CPU in use in thousandths of a core of any other
    :ivar failed_attempt: newest attempt that is counted in ``failures``
    :ivar crashes: workers that have crashed under the task since it last settled
    :ivar lone_crashes: those of them while the task was isolated
    :ivar suspect: whether the task may run only in isolation, see ``suspicion``
    :ivar isolated: whether the newest attempt was placed in isolation
    :ivar age_at_crash_s: for how long the attempt had run at most when its worker
        crashed; the smallest of several crashes
    :ivar settled: whether the newest attempt has run for long enough not to be to
        blame for a crash of its worker
    :ivar start_unanswered: whether a start request of the newest attempt got no answer,
        so that the worker may still carry it out
    :ivar unanswered_starts: number of start requests of the newest attempt that got no
        answer
    :ivar start_sent_at_s: time at which a start request of the newest attempt was last
        sent by this owner, 0 if it was not
    :ivar stop_sent: whether a stop of the newest attempt was sent, which the worker may
        still carry out
    :ivar stop_sent_at_s: time at which that stop was last sent
    :ivar evacuations: number of attempts that were stopped to free a VM for a move or
        for maintenance
    :ivar overdue_attempt: newest attempt that has run for far longer than others
    :ivar inherited: whether an earlier owner placed the newest attempt, so that it is
        unknown whether its start requests were answered
    :ivar foreign_lease: end of the lease that orders to an earlier incarnation of its
        worker may have granted in the one where the newest attempt is, in ms on the
        store's clock; ``UNKNOWN_LEASE_END`` while they may still be carried out, 0 if
        there is none
    :ivar pace_percent: share of full speed at which a best-effort task may run
    :ivar pace_known: whether the worker is known to run the newest attempt at that
        share; an earlier owner may have set another one
    :ivar not_before_s: time before which the task is not placed again
    :ivar away_since_s: time since which the task is not known to run, 0 while it runs
        and if an earlier owner knows it
    :ivar avoided_workers: workers to use for the task only if no other has capacity
    :ivar copies: worker by attempt, of older attempts that may still run or start
    :ivar copy_incarnations: incarnation of that worker by attempt
    :ivar settled_copies: older attempts that had settled
    :ivar stopping_copies: time at which the worker answered the stop of an older
        attempt, 0 until then, by attempt; only of attempts that are being stopped
    :ivar unanswered_copies: older attempts of which a start may yet be carried out
    """

    key: TaskKey
    phase: Phase = Phase.WAITING
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    address: str = ""
    incarnation: int = 0
    checkpoint: str = ""
    percent: int = 0
    listed_at_s: float = 0.0
    level: int = 0
    failed_attempt: int = 0
    crashes: int = 0
    lone_crashes: int = 0
    suspect: bool = False
    isolated: bool = False
    age_at_crash_s: float = math.inf
    settled: bool = False
    pace_percent: int = 100
    pace_known: bool = True
    running_at_s: float = 0.0
    stopped_at_s: float = 0.0
    start_unanswered: bool = False
    unanswered_starts: int = 0
    start_sent_at_s: float = 0.0
    stop_sent: bool = False
    stop_sent_at_s: float = 0.0
    evacuations: int = 0
    overdue_attempt: int = 0
    inherited: bool = False
    foreign_lease: int = 0
    not_before_s: float = 0.0
    away_since_s: float = 0.0
    avoided_workers: set[str] = field(default_factory=set)
    copies: dict[int, str] = field(default_factory=dict)
    copy_incarnations: dict[int, int] = field(default_factory=dict)
    settled_copies: set[int] = field(default_factory=set)
    stopping_copies: dict[int, float] = field(default_factory=dict)
    unanswered_copies: set[int] = field(default_factory=set)

    @property
    def active(self) -> bool:
        """Whether the newest attempt may be running on a worker."""
        return Phase.PLACED <= self.phase <= Phase.STOPPING

    @property
    def may_run_after_restart(self) -> bool:
        """Whether the newest attempt may run in a later incarnation of its worker.

        Answers to orders do not name the incarnation, so that the answered start may
        have reached the later one, unless a poll has listed the attempt before.
        """
        return self.may_start_late or not self.listed_at_s

    @property
    def may_start_late(self) -> bool:
        """Whether a start of the newest attempt may yet be carried out."""
        return self.start_unanswered or self.inherited

    def retire_newest_attempt(self) -> None:
        """Make the newest attempt an older one, which may run on; the task waits."""
        self.copies[self.attempt] = self.worker
        self.copy_incarnations[self.attempt] = self.incarnation
        if self.phase == Phase.STOPPING:
            self.stopping_copies[self.attempt] = self.stopped_at_s
        if self.settled:
            self.settled_copies.add(self.attempt)
        if self.may_start_late:
            self.unanswered_copies.add(self.attempt)
        self.settled = False
        self.phase, self.worker = Phase.WAITING, ""

    def forget_copy(self, attempt: int) -> None:
        """Remove an older attempt that certainly cannot run any more."""
        self.copies.pop(attempt, None)
        self.copy_incarnations.pop(attempt, None)
        self.stopping_copies.pop(attempt, None)
        self.settled_copies.discard(attempt)
        self.unanswered_copies.discard(attempt)
