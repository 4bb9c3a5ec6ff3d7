"""State of one job and its encoding for storage."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from typing import Any

import msgpack

from chivetray.jobs.model import JobSpec, JobState, Phase, Step, Task, TaskKey

# Version of the format of stored jobs and their progress. Jobs whose progress is spread
# over several rows have another one, so that earlier releases, which would read only
# the main row, do not know them.
FORMAT_VERSION = 1
SPLIT_FORMAT_VERSION = 2

# Ages above this are taken for a clock error and count as 0.
MAX_JOB_AGE_S = 120.0

# Stored code of a task that was told to stop. A later owner counts it as not running.
STOPPING_CODE = 2
PHASE_BY_CODE = {0: Phase.WAITING, 1: Phase.PLACED, STOPPING_CODE: Phase.STOPPING}

_STEP_FIELDS = tuple(item.name for item in fields(Step))
_SPEC_FIELDS = tuple(
    item.name
    for item in fields(JobSpec)
    if item.name not in ("steps", "split_progress")
)


class Job:
    """A job and the state of its tasks.

    :ivar stored_state: state in the most recently stored progress
    :ivar version: version of the stored main row, 0 before the first write
    :ivar stored_bytes: size of the progress in one row, with the tasks that were placed
        since it was encoded
    :ivar first_seen_s: time at which the job was accepted, on the clock of this owner
    :ivar known_since_s: time at which this owner learned of the job
    :ivar step_done_at_s: time at which this owner learned of the end of a step, by
        occurrence and number
    :ivar path_estimate: time of the estimate, number of done steps, and expected run
        times of the critical path and of its unfinished steps, for scheduling
    """

    def __init__(self, spec: JobSpec, now_s: float = 0.0):
        self.spec = spec
        self.state = JobState.QUEUED
        self.stored_state = JobState.QUEUED
        self.version = self.stored_bytes = 0
        self.cancelled = False
        self.first_seen_s = self.known_since_s = now_s
        self.tasks: dict[TaskKey, Task] = {}
        self.done_steps: set[tuple[int, int]] = set()
        self.step_done_at_s: dict[tuple[int, int], float] = {}
        self.path_estimate: tuple[float, int, float, float] | None = None
        self._done_counts: dict[tuple[int, int], int] = {}
        self._opened_steps: set[tuple[int, int]] = set()
        self._maybe_active: list[Task] | None = None

    # Tasks

    def ready_steps(self, now_ms: int) -> Iterator[tuple[int, int]]:
        """Yield the occurrence and number of each step that is ready to run.

        :param now_ms: wall-clock time in ms since 1970
        """
        for occurrence in range(self.spec.occurrences()):
            if self.spec.due_ms(occurrence) > now_ms:
                return
            for number, step in enumerate(self.spec.steps):
                if (occurrence, number) in self.done_steps:
                    continue
                if all((occurrence, n) in self.done_steps for n in step.depends_on):
                    yield occurrence, number

    def step_tasks(self, occurrence: int, number: int) -> list[Task]:
        """Return the tasks of a step by index; create them on the first call."""
        if (occurrence, number) not in self._opened_steps:
            for index in range(self.spec.steps[number].count):
                key = (occurrence, number, index)
                if key not in self.tasks:
                    self.tasks[key] = Task(key)
            self._opened_steps.add((occurrence, number))
        count = self.spec.steps[number].count
        return [self.tasks[(occurrence, number, index)] for index in range(count)]

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or ``None`` if the specification contains no such task."""
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
        """Return the tasks that may be running on a worker."""
        return [task for task in self.tasks.values() if task.active]

    def has_active_tasks(self) -> bool:
        """Return whether any task of an ended job may be running on a worker.

        No task of it becomes active any more, so each is looked at until it is not.
        """
        if self._maybe_active is None:
            self._maybe_active = self.active_tasks()
        while self._maybe_active and not self._maybe_active[-1].active:
            self._maybe_active.pop()
        return bool(self._maybe_active)

    def away_since_s(self, task: Task, owned_since_s: float, now_s: float) -> float:
        """Return since when a task that does not run has been away or ready.

        What an earlier owner knew of that is counted from the change of owner.

        :param owned_since_s: time since which the job has its present owner
        """
        if task.away_since_s:
            return task.away_since_s
        if task.attempt:
            return max(task.running_at_s, owned_since_s)
        occurrence, number, _ = task.key
        depends_on = self.spec.steps[number].depends_on
        if depends_on:
            return max(
                self.step_done_at_s.get((occurrence, n), owned_since_s)
                for n in depends_on
            )
        due_in_s = (self.spec.due_ms(occurrence) - self.spec.accepted_ms) / 1000
        return min(now_s, self.first_seen_s + max(0.0, due_in_s))

    def mark_done(self, task: Task, now_s: float | None = None) -> None:
        """Mark a task as done; complete its step and the job when nothing is left.

        :param now_s: time of the end, ``None`` if an earlier owner learned of it
        """
        if task.phase == Phase.DONE:
            return
        task.phase = Phase.DONE
        occurrence, number, _ = task.key
        step = (occurrence, number)
        self._done_counts[step] = self._done_counts.get(step, 0) + 1
        if self._done_counts[step] >= self.spec.steps[number].count:
            self.done_steps.add(step)
            if now_s is not None:
                self.step_done_at_s[step] = now_s
        step_total = len(self.spec.steps) * self.spec.occurrences()
        if len(self.done_steps) >= step_total and not self.state.ended:
            self.state = JobState.COMPLETED

    def unfinished_count(self, number: int) -> int:
        """Return how many tasks of a step are not done, in the first occurrence."""
        done = self._done_counts.get((0, number), 0)
        return self.spec.steps[number].count - done

    @property
    def visible_state(self) -> JobState:
        """State for callers; an end other than a cancellation shows only once stored.

        Otherwise a later owner, which reads the stored state, could contradict it.
        """
        if self.cancelled or not self.state.ended or self.stored_state.ended:
            return self.state
        return JobState.RUNNING

    @property
    def long_running(self) -> bool:
        """Whether any step of the job runs until the job is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    # Storage

    def encode(self) -> bytes:
        """Return the main row of the stored progress.

        It holds all tasks, unless these have rows of their own, see ``progress``.
        """
        if self.spec.split_progress:
            values = [SPLIT_FORMAT_VERSION, int(self.state), int(self.cancelled)]
            return bytes(msgpack.packb(values))
        done_ranges: list[list[int]] = []
        unfinished = []
        for key in sorted(self.tasks):
            task = self.tasks[key]
            if task.phase == Phase.DONE:
                last = done_ranges[-1] if done_ranges else None
                if last and last[:2] == [key[0], key[1]] and last[3] == key[2]:
                    last[3] += 1
                else:
                    done_ranges.append([*key, key[2] + 1])
            elif task.attempt:
                phase_code = (
                    STOPPING_CODE if task.phase == Phase.STOPPING else int(task.active)
                )
                unfinished.append(
                    [*key, phase_code, task.attempt, task.failures]
                    + [task.worker, task.incarnation, task.checkpoint, task.address]
                    + [list(task.copies.items()), list(task.copy_incarnations.items())]
                    + [task.failed_attempt, task.crashes, task.lone_crashes]
                    + [int(task.suspect), int(task.isolated)]
                    + ([task.foreign_lease] if task.foreign_lease else [])
                )
        state = int(self.state)
        content = bytes(
            msgpack.packb(
                [FORMAT_VERSION, state, int(self.cancelled), done_ranges, unfinished]
            )
        )
        self.stored_bytes = len(content)
        return content

    def restore(self, content: bytes) -> None:
        """Restore a stored main row; a task that was running becomes a placed one.

        :raises ValueError: if the content has another format
        """
        _, state, cancelled, *tasks = self.unpack_main_row(content)
        done_ranges, unfinished = tasks or ((), ())
        self.stored_bytes = len(content)
        for occurrence, number, start, end in done_ranges:
            for index in range(start, end):
                task = self.task((occurrence, number, index))
                if task is not None:
                    self.mark_done(task)
        for row in unfinished:
            task = self.task((row[0], row[1], row[2]))
            if task is None:
                continue
            task.phase = PHASE_BY_CODE[row[3]]
            task.attempt, task.failures = row[4], row[5]
            task.worker, task.incarnation, task.checkpoint = row[6], row[7], row[8]
            task.inherited, task.pace_known = True, False
            task.address = row[9]
            task.copies = dict(row[10])
            task.unanswered_copies = set(task.copies)
            # Rows of earlier releases end here.
            if len(row) > 11:
                task.copy_incarnations = dict(row[11])
                task.failed_attempt = row[12]
            # Rows of releases that did not count crashes end here.
            if len(row) > 13:
                task.crashes, task.lone_crashes = row[13], row[14]
                task.suspect, task.isolated = bool(row[15]), bool(row[16])
            task.foreign_lease = int(row[17]) if len(row) > 17 else 0
        self.state = self.stored_state = JobState(state)
        self.cancelled = bool(cancelled)

    @staticmethod
    def unpack_main_row(content: bytes) -> list[Any]:
        """Return the values of a stored main row.

        :raises ValueError: if the content has another format
        """
        try:
            values = msgpack.unpackb(content)
        except msgpack.UnpackException as error:
            raise ValueError("stored job progress cannot be decoded") from error
        lengths = {FORMAT_VERSION: 5, SPLIT_FORMAT_VERSION: 3}
        if not isinstance(values, list) or not values:
            raise ValueError("stored job progress has an unsupported format")
        if lengths.get(values[0]) != len(values):
            raise ValueError("stored job progress has an unsupported format")
        return values


def job_age_s(spec: JobSpec, now_ms: int) -> float:
    """Return the time since a job was accepted.

    Wall clocks differ between VMs and may jump, so an implausible age counts as 0.
    """
    age_s = (now_ms - spec.accepted_ms) / 1000
    return age_s if 0 <= age_s <= MAX_JOB_AGE_S else 0.0


def encode_spec(spec: JobSpec) -> bytes:
    """Return a job specification as bytes for storage."""
    steps = [[getattr(step, name) for name in _STEP_FIELDS] for step in spec.steps]
    spec_values = [getattr(spec, name) for name in _SPEC_FIELDS]
    if not spec.organisation:
        # Without organisations, rows are as earlier releases wrote them.
        del spec_values[-1]
    version = SPLIT_FORMAT_VERSION if spec.split_progress else FORMAT_VERSION
    return bytes(msgpack.packb([version, spec_values, steps]))


def decode_spec(content: bytes) -> JobSpec:
    """Return the job specification in stored content.

    :raises ValueError: if the content is malformed or has another format
    """
    try:
        format_version, spec_values, steps = msgpack.unpackb(content)
        if format_version not in (FORMAT_VERSION, SPLIT_FORMAT_VERSION):
            raise ValueError("stored job specification has an unsupported format")
        if len(spec_values) not in (len(_SPEC_FIELDS) - 1, len(_SPEC_FIELDS)):
            raise ValueError("stored job specification has an unsupported format")
        # A job without an organisation is stored without the last field.
        values = dict(zip(_SPEC_FIELDS, spec_values, strict=False))
        values["split_progress"] = format_version == SPLIT_FORMAT_VERSION
        return JobSpec(**values, steps=tuple(_decode_step(row) for row in steps))
    except (TypeError, msgpack.UnpackException) as error:
        raise ValueError(
            f"cannot decode a stored job specification: {error}"
        ) from error


def _decode_step(row: list[Any]) -> Step:
    values = dict(zip(_STEP_FIELDS, row, strict=True))
    values["depends_on"] = tuple(values["depends_on"])
    return Step(**values)
