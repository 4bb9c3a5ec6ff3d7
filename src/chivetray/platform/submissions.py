"""Validation of callers' submissions and their conversion to jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson

from chivetray.exceptions import ChivetrayError
from chivetray.jobs.model import JobSpec, Step
from chivetray.jobs.progress import is_large
from chivetray.platform.stored_records import Queue
from chivetray.results import ResultCode

PAYLOAD_LIMIT_BYTES = 4000

# Limit on the tasks of all steps and occurrences together.
TASKS_LIMIT = 20_000
STEPS_LIMIT = 64
JOB_ID_DIGITS = 16

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")

STATE_NAMES = ("queued", "running", "completed", "failed", "cancelled")


class SubmissionError(ChivetrayError):
    """A submission is invalid."""

    def __init__(self, message: str):
        super().__init__(ResultCode.BAD_SUBMISSION, message)


def is_job_id(text: str) -> bool:
    """Return whether a string is a well-formed job identifier."""
    return len(text) == JOB_ID_DIGITS and set(text) <= _HEX_DIGITS


def decode_submission(
    job_id: str, queue: Queue, content: bytes, now_ms: int, organisation: str = ""
) -> JobSpec:
    """Decode and validate a submission.

    :param now_ms: time of acceptance in ms since the Unix epoch
    :param organisation: organisation of the caller, empty for none
    :raises SubmissionError: with the first fault found
    """
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError:
        raise SubmissionError("the body is not JSON") from None
    if not isinstance(plain, dict):
        raise SubmissionError("the body is not an object")
    payload = plain.get("TaskSpec", "")
    if not isinstance(payload, str):
        raise SubmissionError("TaskSpec is not a string")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        raise SubmissionError(f"TaskSpec is longer than {PAYLOAD_LIMIT_BYTES} bytes")
    rows = plain.get("Steps")
    if not isinstance(rows, list) or not rows:
        raise SubmissionError("Steps is not a list with at least one step")
    if len(rows) > STEPS_LIMIT:
        raise SubmissionError(f"the submission has more than {STEPS_LIMIT} steps")
    steps = tuple(_decode_step(row, number) for number, row in enumerate(rows))
    repeats = _read_count(plain, "RepeatCount", "the submission")
    tasks = sum(step.count for step in steps)
    if tasks * max(1, repeats) > TASKS_LIMIT:
        raise SubmissionError(f"the submission has more than {TASKS_LIMIT} tasks")
    spec = JobSpec(
        job_id=job_id,
        queue=queue.key,
        cell=queue.service,
        payload=payload,
        steps=steps,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_ms=queue.target_ms,
        accepted_ms=now_ms,
        repeats=repeats,
        start_at_ms=_read_count(plain, "StartAtMs", "the submission"),
        interval_ms=_read_count(plain, "IntervalMs", "the submission"),
        ticket_validity_ms=queue.ticket_validity_ms,
        organisation=organisation,
    )
    return replace(spec, split_progress=is_large(spec))


def _decode_step(row: Any, number: int) -> Step:
    place = f"step {number}"
    if not isinstance(row, dict):
        raise SubmissionError(f"{place} is not an object")
    count = _read_count(row, "Count", place)
    if count < 1:
        raise SubmissionError(f"Count of {place} is not at least 1")
    return Step(
        count=count,
        cpu_milli=_read_count(row, "Cpu", place),
        mem_mb=_read_count(row, "MemMb", place),
        gpu=_read_count(row, "Gpu", place),
        estimate_ms=_read_count(row, "EstimateMs", place),
        depends_on=_decode_dependencies(row, number),
        checkpointing=_read_flag(row, "Checkpointing", place),
        gang=_read_flag(row, "AllOrNothing", place),
        same_rack=_read_flag(row, "SameRack", place),
        label=_read_string(row, "Requirements", place),
        data_rack=_read_string(row, "Affinity", place),
        per_worker=_read_count(row, "AntiAffinity", place),
        copies=_read_flag(row, "AllowConcurrent", place),
        long_running=_read_flag(row, "LongRunning", place),
        image=_read_string(row, "Image", place),
        target_ms=_read_count(row, "TargetMs", place),
        best_effort=_read_flag(row, "Fills", place),
        max_unavailable=_read_count(row, "MayMiss", place),
    )


def _decode_dependencies(row: dict[str, Any], number: int) -> tuple[int, ...]:
    value = row.get("DependsOn")
    if value is None:
        return ()
    if not isinstance(value, list):
        raise SubmissionError(f"DependsOn of step {number} is not a list")
    for item in value:
        if not isinstance(item, int) or isinstance(item, bool):
            raise SubmissionError(
                f"DependsOn of step {number} contains an item that is not a step number"
            )
        if not 0 <= item < number:
            message = (
                f"DependsOn of step {number} names step {item}, "
                "which is not an earlier step"
            )
            raise SubmissionError(message)
    return tuple(value)


def _read_count(row: dict[str, Any], name: str, place: str) -> int:
    value = row.get(name)
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise SubmissionError(f"{name} of {place} is not a non-negative number")
    if value != int(value) or value > 2**53:
        raise SubmissionError(f"{name} of {place} is not an integer of at most 2**53")
    return int(value)


def _read_flag(row: dict[str, Any], name: str, place: str) -> bool:
    value = row.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise SubmissionError(f"{name} of {place} is not a boolean")
    return value


def _read_string(row: dict[str, Any], name: str, place: str) -> str:
    value = row.get(name)
    if value is None:
        return ""
    if not isinstance(value, str) or len(value) > 200:
        raise SubmissionError(
            f"{name} of {place} is not a string of at most 200 characters"
        )
    return value
