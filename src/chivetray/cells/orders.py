"""Orders to workers, and the tickets that some of them need."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from chivetray.cells.workers import TaskRef
from chivetray.clocks import boot_time_s
from chivetray.platform.workers import TaskName


@dataclass(frozen=True, slots=True)
class Placement:
    """An attempt that is to start on one incarnation of a worker."""

    ref: TaskRef
    attempt: int
    worker_id: str
    incarnation: int


class StopReason(Enum):
    """Why an attempt is stopped."""

    BROKEN_GANG = "broken gang"
    DONE_ELSEWHERE = "done elsewhere"
    EARLIER_OWNER = "earlier owner"
    ENDED_BEFORE_RESTART = "ended before restart"
    EVACUATION = "evacuation"
    JOB_ENDED = "job ended"
    NO_PLACE = "no place left"
    REFUSED_START = "refused start"
    SUSPECTED = "suspected of a crash"
    UNKNOWN_ATTEMPT = "unknown attempt"
    VANISHED_COPY = "vanished copy"
    WORKER_UNSUITABLE = "worker unsuitable"


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An attempt that is to stop on a worker.

    :ivar decided_at_s: time of the decision, for the log
    """

    name: TaskName
    attempt: int
    worker_id: str
    reason: StopReason = field(compare=False)
    decided_at_s: float = field(compare=False, default_factory=boot_time_s)


# Job id, occurrence and number of a step.
StepRef = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker."""

    text: str
    incarnation: int
    valid_until_s: float
