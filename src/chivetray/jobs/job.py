"""Progress of one job."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from typing import Any

import msgpack

from chivetray.jobs.model import JobSpec, JobState, Phase, Step, Task, TaskKey

# Number of the format of stored progress.
FORMAT = 1

# Longest time since its acceptance that a job is credited with.
LONGEST_AGE_S = 120.0

# Mark of a stored task that was told to stop. A later owner counts it as away.
STOPPING = 2
_PHASES = {0: Phase.WAITING, 1: Phase.PLACED, STOPPING: Phase.STOPPING}

_STEP_FIELDS = tuple(item.name for item in fields(Step))
_SPEC_FIELDS = tuple(item.name for item in fields(JobSpec) if item.name != "steps")


class Job:
    """A job with the state of its tasks.

    :ivar stored_state: state in the progress that was stored last
    :ivar version: version of the stored progress row, 0 before the first write
    :ivar first_seen_s: time at which this owner learned of the job
    """

    def __init__(self, spec: JobSpec, now_s: float = 0.0):
        self.spec = spec
        self.state = JobState.QUEUED
        self.stored_state = JobState.QUEUED
        self.version = 0
        self.cancelled = False
        self.first_seen_s = now_s
        self.tasks: dict[TaskKey, Task] = {}
        self.done_steps: set[tuple[int, int]] = set()
        self._done_counts: dict[tuple[int, int], int] = {}
        self._opened: set[tuple[int, int]] = set()

    # Tasks

    def open_steps(self, now_ms: int) -> Iterator[tuple[int, int]]:
        """Yield occurrence and number of each step whose turn has come.

        :param now_ms: time of day in ms since 1970
        """
        for occurrence in range(self.spec.occurrences()):
            if self.spec.due_ms(occurrence) > now_ms:
                return
            for number, step in enumerate(self.spec.steps):
                if (occurrence, number) in self.done_steps:
                    continue
                if all((occurrence, n) in self.done_steps for n in step.depends_on):
                    yield occurrence, number

    def open_tasks(self, occurrence: int, number: int) -> list[Task]:
        """Return the tasks of a step, in order of their index."""
        if (occurrence, number) not in self._opened:
            for index in range(self.spec.steps[number].count):
                key = (occurrence, number, index)
                if key not in self.tasks:
                    self.tasks[key] = Task(key)
            self._opened.add((occurrence, number))
        count = self.spec.steps[number].count
        return [self.tasks[(occurrence, number, index)] for index in range(count)]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task that the specification names."""
        found = self.tasks.get(key)
        if found is not None:
            return found
        occurrence, number, index = key
        if not 0 <= occurrence < self.spec.occurrences():
            return None
        if not 0 <= number < len(self.spec.steps):
            return None
        if not 0 <= index < self.spec.steps[number].count:
            return None
        return self.tasks.setdefault(key, Task(key))

    def active_tasks(self) -> list[Task]:
        """Return the tasks that may run somewhere."""
        return [task for task in self.tasks.values() if task.active]

    def mark_done(self, task: Task) -> None:
        """Record that a task has ended as done."""
        if task.phase == Phase.DONE:
            return
        task.phase = Phase.DONE
        occurrence, number, _ = task.key
        step = (occurrence, number)
        self._done_counts[step] = self._done_counts.get(step, 0) + 1
        if self._done_counts[step] >= self.spec.steps[number].count:
            self.done_steps.add(step)
        steps = len(self.spec.steps) * self.spec.occurrences()
        if len(self.done_steps) >= steps and not self.state.ended:
            self.state = JobState.COMPLETED

    def rest_milli(self) -> int:
        """Return the cores, in thousandths, of all tasks that are not done."""
        total = 0
        for number, step in enumerate(self.spec.steps):
            done = self._done_counts.get((0, number), 0)
            total += (step.count - done) * step.cpu_milli
        return total

    @property
    def shown_state(self) -> JobState:
        """State for callers: an end is shown only once no later owner can miss it."""
        if self.cancelled or not self.state.ended or self.stored_state.ended:
            return self.state
        return JobState.RUNNING

    @property
    def long_running(self) -> bool:
        """Whether a step of the job runs until the job is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    # Storage

    def encode(self) -> bytes:
        """Return the progress as it is stored."""
        ranges: list[list[int]] = []
        rest = []
        for key in sorted(self.tasks):
            task = self.tasks[key]
            if task.phase == Phase.DONE:
                last = ranges[-1] if ranges else None
                if last and last[:2] == [key[0], key[1]] and last[3] == key[2]:
                    last[3] += 1
                else:
                    ranges.append([*key, key[2] + 1])
            elif task.attempt:
                active = STOPPING if task.phase == Phase.STOPPING else int(task.active)
                rest.append(
                    [*key, active, task.attempt, task.failures]
                    + [task.worker, task.born, task.checkpoint, task.address]
                    + [list(task.copies.items())]
                )
        state = int(self.state)
        return bytes(msgpack.packb([FORMAT, state, int(self.cancelled), ranges, rest]))

    def restore(self, content: bytes) -> None:
        """Take over stored progress; active tasks count as placed.

        :raises ValueError: when the content cannot be read
        """
        _, state, cancelled, ranges, rest = _unpack(content)
        for occurrence, number, start, end in ranges:
            for index in range(start, end):
                task = self.task((occurrence, number, index))
                if task is not None:
                    self.mark_done(task)
        for row in rest:
            task = self.task((row[0], row[1], row[2]))
            if task is None:
                continue
            task.phase = _PHASES[row[3]]
            task.attempt, task.failures = row[4], row[5]
            task.worker, task.born, task.checkpoint = row[6], row[7], row[8]
            task.address = row[9]
            task.copies = dict(row[10])
        self.state = self.stored_state = JobState(state)
        self.cancelled = bool(cancelled)


def _unpack(content: bytes) -> list[Any]:
    values = msgpack.unpackb(content)
    if not isinstance(values, list) or len(values) != 5 or values[0] != FORMAT:
        raise ValueError("stored progress has another format")
    return values


def job_age_s(spec: JobSpec, now_ms: int) -> float:
    """Return the time since a job was accepted.

    Times of day differ between VMs and may jump; an age that cannot be is none.
    """
    age_s = (now_ms - spec.accepted_ms) / 1000
    return age_s if 0 <= age_s <= LONGEST_AGE_S else 0.0


def encode_spec(spec: JobSpec) -> bytes:
    """Return a specification as it is stored."""
    steps = [[getattr(step, name) for name in _STEP_FIELDS] for step in spec.steps]
    rest = [getattr(spec, name) for name in _SPEC_FIELDS]
    return bytes(msgpack.packb([FORMAT, rest, steps]))


def decode_spec(content: bytes) -> JobSpec:
    """Return a stored specification.

    :raises ValueError: when the content cannot be read
    """
    try:
        number, rest, steps = msgpack.unpackb(content)
        if number != FORMAT:
            raise ValueError("a stored job has another format")
        values = dict(zip(_SPEC_FIELDS, rest, strict=True))
        return JobSpec(**values, steps=tuple(_decode_step(row) for row in steps))
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"a stored job cannot be read: {error}") from error


def _decode_step(row: list[Any]) -> Step:
    values = dict(zip(_STEP_FIELDS, row, strict=True))
    values["depends_on"] = tuple(values["depends_on"])
    return Step(**values)
