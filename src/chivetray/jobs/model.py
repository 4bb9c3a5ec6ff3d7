"""Jobs, steps and tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

# Occurrence, step and index of a task within its job.
TaskKey = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class Step:
    """A set of like tasks.

    :ivar cpu_milli: thousandths of a core that each task needs
    :ivar depends_on: numbers of the steps that have to be done before
    :ivar gang: whether all tasks run together or not at all
    :ivar data_rack: rack on which the tasks run faster, or empty
    :ivar label: label that a worker must have, or empty
    :ivar per_worker: tasks of the step that one worker may run, 0 for any number
    :ivar copies: whether copies of a task may run in parallel
    :ivar long_running: whether the tasks run until the job is cancelled
    :ivar target_ms: bound on the tail latency of a serving task, 0 for none
    :ivar fills: whether the tasks use only processor time that others leave
    :ivar may_miss: tasks that may be away at once through our own actions
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
    fills: bool = False
    may_miss: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted; never changes.

    :ivar queue: key of the queue, which stays when the queue gets another service
    :ivar cell: service whose workers run the job
    :ivar accepted_ms: time of day of the acceptance, since 1970
    :ivar repeats: occurrences, 0 for a job that is due at once
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
    advice_ms: int = 0

    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    def due_ms(self, occurrence: int) -> int:
        """Time of day at which an occurrence may start, in ms since 1970."""
        if self.repeats <= 0:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


class JobState(IntEnum):
    """State of a job as it is shown."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def ended(self) -> bool:
        """Whether nothing of the job will run any more."""
        return self >= JobState.COMPLETED


class Phase(IntEnum):
    """Phase of a task.

    ``PLACED`` tasks have a worker, but its start is not confirmed; ``STOPPING``
    tasks were told to stop and hold their room until the end is listed.
    """

    WAITING = 0
    PLACED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


# Phases in which the newest attempt runs or is about to.
STARTED = (Phase.PLACED, Phase.RUNNING)


@dataclass(slots=True)
class Task:
    """One task and where its newest attempt runs.

    :ivar attempt: number of the newest attempt, 0 before the first
    :ivar failures: attempts that ended as failed
    :ivar worker: worker of the newest attempt
    :ivar address: where that worker was reached
    :ivar born: lifetime of that worker, as the time of its start
    :ivar checkpoint: newest checkpoint, or empty
    :ivar percent: progress that the worker reported last
    :ivar level: tail latency in ms of a serving task, otherwise thousandths of a core
        in use, as the worker reported last
    :ivar failed_attempt: newest attempt that counts among the failures
    :ivar unanswered: whether a start of the newest attempt was not answered, so that
        it may still be carried out
    :ivar pace_percent: share at which a filling task may work
    :ivar copies: workers of older attempts that may still run beside the newest one,
        by attempt, where the step allows copies
    """

    key: TaskKey
    phase: Phase = Phase.WAITING
    attempt: int = 0
    failures: int = 0
    worker: str = ""
    address: str = ""
    born: int = 0
    checkpoint: str = ""
    percent: int = 0
    level: int = 0
    failed_attempt: int = 0
    pace_percent: int = 100
    placed_at_s: float = 0.0
    running_at_s: float = 0.0
    stopped_at_s: float = 0.0
    unanswered: bool = False
    not_before_s: float = 0.0
    avoid: set[str] = field(default_factory=set)
    copies: dict[int, str] = field(default_factory=dict)

    @property
    def active(self) -> bool:
        """Whether the newest attempt may run somewhere."""
        return Phase.PLACED <= self.phase <= Phase.STOPPING
