"""Extracts the events of a job, a step or a task from the logs of managers."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from chivetray.exceptions import ChivetrayError
from chivetray.platform.submissions import is_job_id
from chivetray.results import ResultCode

# Fields that every line has and that say nothing about the job.
_COMMON_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "number")

# Events that name the first of the waiting tasks of a step.
_WAIT_EVENTS = ("TASK_WAITS", "TASK_WAIT_ENDED")

_OWNER_EVENTS = (
    "CELL_TAKEN",
    "CELL_LOADED",
    "CELL_LEFT",
    "CELL_SUSPECTED",
    "CELL_YIELDED",
)


@dataclass(frozen=True, slots=True)
class Subject:
    """A job, a step or a task.

    :ivar key: occurrence and step, and the index of a task; empty for a job
    """

    job_id: str
    key: tuple[int, ...] = ()

    def __str__(self) -> str:
        return ".".join([self.job_id, *map(str, self.key)])

    @property
    def kind(self) -> str:
        """What it is, for messages."""
        return {0: "job", 2: "step"}.get(len(self.key), "task")

    @classmethod
    def parse(cls, text: str) -> Subject:
        """Parse ``JOB``, ``JOB.OCCURRENCE.STEP`` or ``JOB.OCCURRENCE.STEP.INDEX``.

        :raises ChivetrayError: when the text is malformed
        """
        job_id, *numbers = text.split(".")
        is_key = all(number.isascii() and number.isdigit() for number in numbers)
        if not is_job_id(job_id) or not is_key or len(numbers) not in (0, 2, 3):
            raise ChivetrayError(
                ResultCode.BAD_VALUE,
                f"{text!r} is no job (16 hexadecimal digits), step"
                " (JOB.OCCURRENCE.STEP) or task (JOB.OCCURRENCE.STEP.INDEX)",
            )
        return cls(job_id, tuple(int(number) for number in numbers))

    def covers(self, task: Any) -> bool:
        """Return whether a task's identifier names this task or one of this subject."""
        return f"{task}.".startswith(f"{self}.")


def read_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events of log lines in the order of their times.

    A line may have a prefix before its JSON, such as the name of a process, which
    becomes the field ``from``.
    """
    events = [event for line in lines if (event := _parse(line)) is not None]
    events.sort(key=lambda event: float(event.get("timestamp", 0.0)))
    return events


def select_events(
    events: Iterable[dict[str, Any]], subject: Subject
) -> Iterator[dict[str, Any]]:
    """Yield those of all events that concern a job, a step or a task.

    Between the first and the last are the owner changes of its cell. For steps and
    tasks the events of the workers involved are among them, and lists of attempts hold
    only attempts of the subject.
    """
    events = list(events)
    if subject.key:
        events = [_keep_attempts_of(event, subject) for event in events]
    if not any(_names(event, subject) for event in events):
        return
    indexes = [i for i, event in enumerate(events) if _concerns(event, subject)]
    concerned = [events[index] for index in indexes]
    cells = {event["cell"] for event in concerned if "cell" in event}
    workers: set[str] = set()
    if subject.key:
        for event in concerned:
            workers |= _find_workers(event)
    for event in events[indexes[0] : indexes[-1] + 1]:
        message_type = event.get("message_type", "")
        is_owner_change = message_type in _OWNER_EVENTS and event.get("cell") in cells
        is_of_worker = event.get("worker") in workers and (
            message_type.startswith("WORKER_") or message_type == "VM_ORDERED"
        )
        if is_owner_change or is_of_worker or _concerns(event, subject):
            yield event


def find_queues(events: Iterable[dict[str, Any]], subject: Subject) -> list[str]:
    """Return the queues in which a job has the identifier of a subject.

    Lines about tasks name no queue, as workers do not know it.
    """
    return sorted(
        {
            str(event["queue"])
            for event in events
            if event.get("job") == subject.job_id and "queue" in event
        }
    )


def render(event: dict[str, Any]) -> str:
    """Format an event as one readable line."""
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in _COMMON_FIELDS
    )
    at_s = float(event.get("timestamp", 0.0))
    return f"{at_s:.3f} {event.get('number')} {event.get('message_type')} {fields}"


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    prefix = line[:start].strip()
    try:
        event = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    if not isinstance(event, dict):
        return None
    return {**event, "from": prefix} if prefix else event


def _keep_attempts_of(event: dict[str, Any], subject: Subject) -> dict[str, Any]:
    """Return an event whose lists of attempts are reduced to those of a subject."""
    kept = event
    if "attempts" in event:
        attempts = [row for row in event["attempts"] if subject.covers(row[0])]
        kept = {**kept, "attempts": attempts}
    if "placed" in event:
        size = len(subject.key)
        placed = [row for row in event["placed"] if tuple(row[:size]) == subject.key]
        kept = {**kept, "placed": placed}
    return kept


def _names(event: dict[str, Any], subject: Subject) -> bool:
    """Return whether an event names the subject itself, or a task of it."""
    if subject.covers(event.get("task", "")):
        return True
    if event.get("job") != subject.job_id:
        return bool(subject.key and event.get("attempts"))
    if not subject.key:
        return True
    if event.get("message_type") in _WAIT_EVENTS:
        return _covers_wait(event, subject)
    if event.get("message_type") != "TASK_PLACED":
        return False
    if "placed" in event:
        return bool(event["placed"])
    # Earlier releases log only the step.
    return bool(event.get("step") == subject.key[1])


def _concerns(event: dict[str, Any], subject: Subject) -> bool:
    if _names(event, subject):
        return True
    is_of_job = event.get("job") == subject.job_id
    return is_of_job and event.get("message_type") not in ("TASK_PLACED", *_WAIT_EVENTS)


def _covers_wait(event: dict[str, Any], subject: Subject) -> bool:
    """Return whether tasks of a subject are or may be among those that wait."""
    occurrence, step, *index = subject.key
    if (event.get("occurrence"), event.get("step")) != (occurrence, step):
        return False
    named = event.get("first", [])
    return not index or index[0] in named or len(named) < event.get("tasks", 0)


def _find_workers(event: dict[str, Any]) -> set[str]:
    """Return the workers that an event of a task names."""
    workers = {event.get("worker"), event.get("newest_worker")}
    if "placed" in event:
        workers |= {row[4] for row in event["placed"]}
    else:
        workers |= set(event.get("workers", []))
    workers |= {worker for _, worker in event.get("copies", [])}
    return {worker for worker in workers if worker}
