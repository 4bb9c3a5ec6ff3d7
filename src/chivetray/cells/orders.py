"""Orders to workers, and the tickets that some of them need."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.workers import TaskRef
from chivetray.platform.workers import TaskName


@dataclass(frozen=True, slots=True)
class Placement:
    """An attempt that is to start on one incarnation of a worker."""

    ref: TaskRef
    attempt: int
    worker_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """An attempt that is to stop on a worker."""

    name: TaskName
    attempt: int
    worker_id: str


# Job id, occurrence and number of a step.
StepRef = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker."""

    text: str
    incarnation: int
    valid_until_s: float
