"""Rows in which the progress of large jobs is stored.

The store limits the size of a row, and each write of a row costs all of its bytes. So
the tasks of a large job are spread over rows of a fixed number of tasks, of which only
changed ones are written. The main row holds the state of the job and is written last.
A small job, and one that an earlier release has accepted, has a main row alone, which
``Job.encode`` returns.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgpack
import xxhash

from chivetray.jobs.job import (
    PHASE_BY_CODE,
    SPLIT_FORMAT_VERSION,
    STOPPING_CODE,
    Job,
)
from chivetray.jobs.model import JobSpec, JobState, Phase, Task, TaskKey

# Tasks of one row. It stays below 48 KB with a worker of its own for each task, whose
# identifier and address have the greatest length, and checkpoints of 200 bytes.
TASKS_PER_ROW = 64

# Tasks from which a new job is stored in several rows.
SPLIT_FROM_TASKS = 257

# Number of the main row; those of the tasks follow.
MAIN_ROW = 0

# Position of the first field of a stored task that is left out with the ones after it
# if all of them are empty.
_FIRST_OPTIONAL_FIELD = 4


def is_large(spec: JobSpec) -> bool:
    """Return whether a new job is stored in several rows."""
    tasks = sum(step.count for step in spec.steps) * spec.occurrences()
    return tasks >= SPLIT_FROM_TASKS


class ProgressRows:
    """Rows of one job as they are stored, and what has to be written."""

    __slots__ = (
        "_digests",
        "_first_numbers",
        "_job",
        "_known_tasks",
        "_tasks_by_row",
        "_tasks_per_occurrence",
        "_versions",
    )

    def __init__(self, job: Job):
        self._versions: dict[int, int] = {}
        self._job = job
        self._digests: dict[int, bytes] = {}
        self._first_numbers: list[int] = []
        self._tasks_by_row: dict[int, list[Task]] = {}
        self._known_tasks = 0
        total = 0
        for step in job.spec.steps:
            self._first_numbers.append(total)
            total += step.count
        self._tasks_per_occurrence = total

    def encode_changed(self) -> Iterator[tuple[int, bytes]]:
        """Yield the number and content of the rows to write, the main row last."""
        if self._job.spec.split_progress:
            for row in sorted(self._rows_with_tasks()):
                content = self._encode_tasks(self._tasks_by_row[row])
                if content and self._digests.get(row) != _digest(content):
                    yield row, content
        main_row = self._job.encode()
        if self._digests.get(MAIN_ROW) != _digest(main_row):
            yield MAIN_ROW, main_row

    def version(self, row: int) -> int:
        """Return the version of a stored row, 0 before its first write."""
        return self._job.version if row == MAIN_ROW else self._versions.get(row, 0)

    def adopt_version(self, row: int, version: int) -> None:
        """Record the version of a stored row."""
        if row == MAIN_ROW:
            self._job.version = version
        else:
            self._versions[row] = version

    def record_stored(self, row: int, version: int, content: bytes) -> None:
        """Record that a row is stored."""
        self.adopt_version(row, version)
        if not self._job.spec.split_progress:
            return
        self._digests[row] = _digest(content)
        if row != MAIN_ROW and self._is_done(row, content):
            # None of its tasks changes any more.
            self._tasks_by_row.pop(row, None)

    def _is_done(self, row: int, content: bytes) -> bool:
        """Return whether all tasks of a row are done in its stored content."""
        _, _, done_ranges, unfinished = _unpack(content)
        first = (row - MAIN_ROW - 1) * TASKS_PER_ROW
        all_tasks = self._tasks_per_occurrence * self._job.spec.occurrences()
        tasks = min(TASKS_PER_ROW, all_tasks - first)
        return (
            not unfinished and sum(end - start for start, end in done_ranges) == tasks
        )

    def restore(self, contents: Mapping[int, bytes]) -> None:
        """Restore the tasks in stored rows; running ones become placed ones.

        The last of them to be done completes the job, though its main row may not tell.

        :param contents: content by number of the row, without the main row
        :raises ValueError: if a content has another format
        """
        for row, content in contents.items():
            _, workers, done_ranges, unfinished = _unpack(content)
            for start, end in done_ranges:
                for number in range(start, end):
                    task = self._job.task(self._key(number))
                    if task is not None:
                        self._job.mark_done(task)
            for values in unfinished:
                task = self._job.task(self._key(values[0]))
                if task is not None:
                    _restore_task(task, values, workers)
            self._digests[row] = _digest(content)

    # Numbers of tasks

    def _number(self, key: TaskKey) -> int:
        occurrence, step, index = key
        first = occurrence * self._tasks_per_occurrence + self._first_numbers[step]
        return first + index

    def _key(self, number: int) -> TaskKey:
        occurrence, number = divmod(number, self._tasks_per_occurrence)
        step = len(self._first_numbers) - 1
        while self._first_numbers[step] > number:
            step -= 1
        return occurrence, step, number - self._first_numbers[step]

    def _rows_with_tasks(self) -> dict[int, list[Task]]:
        """Return the tasks of each row, without rows whose tasks are stored as done."""
        if len(self._job.tasks) != self._known_tasks:
            self._known_tasks = len(self._job.tasks)
            by_row: dict[int, list[Task]] = {}
            for key in sorted(self._job.tasks):
                row = MAIN_ROW + 1 + self._number(key) // TASKS_PER_ROW
                by_row.setdefault(row, []).append(self._job.tasks[key])
            self._tasks_by_row = by_row
        return self._tasks_by_row

    # Content of a row

    def _encode_tasks(self, tasks: list[Task]) -> bytes:
        """Return the content of a row, empty if none of its tasks has begun."""
        workers: dict[tuple[str, int, str], int] = {}
        done_ranges: list[list[int]] = []
        unfinished = []
        for task in tasks:
            number = self._number(task.key)
            if task.phase == Phase.DONE:
                if done_ranges and done_ranges[-1][1] == number:
                    done_ranges[-1][1] += 1
                else:
                    done_ranges.append([number, number + 1])
            elif task.attempt:
                place = (task.worker, task.incarnation, task.address)
                worker = workers.setdefault(place, len(workers))
                unfinished.append(_encode_task(task, number, worker))
        if not done_ranges and not unfinished:
            return b""
        content = [SPLIT_FORMAT_VERSION, list(workers), done_ranges, unfinished]
        return bytes(msgpack.packb(content))


def _encode_task(task: Task, number: int, worker: int) -> list[Any]:
    phase_code = STOPPING_CODE if task.phase == Phase.STOPPING else int(task.active)
    values: list[Any] = [number, phase_code, task.attempt, worker]
    values += [task.failures, task.checkpoint, task.failed_attempt]
    values += [task.crashes, task.lone_crashes, int(task.suspect), int(task.isolated)]
    values += [list(task.copies.items()), list(task.copy_incarnations.items())]
    values.append(task.foreign_lease)
    while len(values) > _FIRST_OPTIONAL_FIELD and not values[-1]:
        values.pop()
    return values


def _restore_task(task: Task, values: list[Any], workers: list[Any]) -> None:
    _, phase_code, attempt, worker, *optional = values
    defaults = [0, "", 0, 0, 0, 0, 0, [], [], 0]
    optional += defaults[len(optional) :]
    task.phase, task.attempt = PHASE_BY_CODE[phase_code], attempt
    task.worker, task.incarnation, task.address = workers[worker]
    task.inherited, task.pace_known = True, False
    task.failures, task.checkpoint, task.failed_attempt = optional[:3]
    task.crashes, task.lone_crashes = optional[3:5]
    task.suspect, task.isolated = bool(optional[5]), bool(optional[6])
    task.copies, task.copy_incarnations = dict(optional[7]), dict(optional[8])
    task.foreign_lease = int(optional[9])
    task.unanswered_copies = set(task.copies)


def _unpack(content: bytes) -> list[Any]:
    try:
        values = msgpack.unpackb(content)
    except msgpack.UnpackException as error:
        raise ValueError("stored job progress cannot be decoded") from error
    is_list = isinstance(values, list) and len(values) == 4
    if not is_list or values[0] != SPLIT_FORMAT_VERSION:
        raise ValueError("stored job progress has an unsupported format")
    return list(values)


def _digest(content: bytes) -> bytes:
    return xxhash.xxh3_128_digest(content)


def has_ended(main_row: bytes) -> bool:
    """Return whether a stored main row is that of an ended job.

    :raises ValueError: if the content has another format
    """
    return JobState(Job.unpack_main_row(main_row)[1]).ended
