"""Submissions of callers, decoded into jobs."""

from __future__ import annotations

from typing import Any

import orjson

from chivetray.exceptions import ChivetrayError
from chivetray.jobs.model import JobSpec, Step
from chivetray.platform.entries import Queue
from chivetray.results import ResultCode

PAYLOAD_LIMIT_BYTES = 4000

# Tasks of all steps and occurrences together. Their progress has to fit one row
# of 64 KB while a few hundred of them run.
TASKS_LIMIT = 20_000
STEPS_LIMIT = 64
JOB_ID_DIGITS = 16

_HEX = frozenset("0123456789abcdefABCDEF")

STATE_NAMES = ("queued", "running", "completed", "failed", "cancelled")


class SubmissionError(ChivetrayError):
    """A submission cannot be accepted as it is."""

    def __init__(self, message: str):
        super().__init__(ResultCode.BAD_SUBMISSION, message)


def is_job_id(text: str) -> bool:
    """Return whether a text is the name of a job."""
    return len(text) == JOB_ID_DIGITS and set(text) <= _HEX


def decode_submission(
    job_id: str, queue: Queue, content: bytes, now_ms: int
) -> JobSpec:
    """Return the job that a caller submits.

    :raises SubmissionError: naming the first fault
    """
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError:
        raise SubmissionError("the body is not JSON") from None
    if not isinstance(plain, dict):
        raise SubmissionError("the body is not an object")
    payload = plain.get("TaskSpec", "")
    if not isinstance(payload, str):
        raise SubmissionError("TaskSpec is not a text")
    if len(payload.encode()) > PAYLOAD_LIMIT_BYTES:
        raise SubmissionError(f"TaskSpec is longer than {PAYLOAD_LIMIT_BYTES} bytes")
    rows = plain.get("Steps")
    if not isinstance(rows, list) or not rows:
        raise SubmissionError("Steps is not a list with at least one step")
    if len(rows) > STEPS_LIMIT:
        raise SubmissionError(f"there are more than {STEPS_LIMIT} steps")
    steps = tuple(_step(row, number) for number, row in enumerate(rows))
    repeats = _count(plain, "RepeatCount", "the submission")
    tasks = sum(step.count for step in steps)
    if tasks * max(1, repeats) > TASKS_LIMIT:
        raise SubmissionError(f"there are more than {TASKS_LIMIT} tasks")
    return JobSpec(
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
        start_at_ms=_count(plain, "StartAtMs", "the submission"),
        interval_ms=_count(plain, "IntervalMs", "the submission"),
        advice_ms=queue.advice_ms,
    )


def _step(row: Any, number: int) -> Step:
    place = f"step {number}"
    if not isinstance(row, dict):
        raise SubmissionError(f"{place} is not an object")
    count = _count(row, "Count", place)
    if count < 1:
        raise SubmissionError(f"Count of {place} is not at least 1")
    return Step(
        count=count,
        cpu_milli=_count(row, "Cpu", place),
        mem_mb=_count(row, "MemMb", place),
        gpu=_count(row, "Gpu", place),
        estimate_ms=_count(row, "EstimateMs", place),
        depends_on=_earlier_steps(row, number),
        checkpointing=_flag(row, "Checkpointing", place),
        gang=_flag(row, "AllOrNothing", place),
        same_rack=_flag(row, "SameRack", place),
        label=_text(row, "Requirements", place),
        data_rack=_text(row, "Affinity", place),
        per_worker=_count(row, "AntiAffinity", place),
        copies=_flag(row, "AllowConcurrent", place),
        long_running=_flag(row, "LongRunning", place),
        image=_text(row, "Image", place),
        target_ms=_count(row, "TargetMs", place),
        fills=_flag(row, "Fills", place),
        may_miss=_count(row, "MayMiss", place),
    )


def _earlier_steps(row: dict[str, Any], number: int) -> tuple[int, ...]:
    value = row.get("DependsOn")
    if value is None:
        return ()
    if not isinstance(value, list):
        raise SubmissionError(f"DependsOn of step {number} is not a list")
    for item in value:
        if not isinstance(item, int) or isinstance(item, bool):
            raise SubmissionError(f"DependsOn of step {number} names no step")
        if not 0 <= item < number:
            message = f"DependsOn of step {number} names step {item}, not an earlier"
            raise SubmissionError(message)
    return tuple(value)


def _count(row: dict[str, Any], name: str, place: str) -> int:
    value = row.get(name)
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise SubmissionError(f"{name} of {place} is not a number from 0")
    if value != int(value) or value > 2**53:
        raise SubmissionError(f"{name} of {place} is not a whole number in range")
    return int(value)


def _flag(row: dict[str, Any], name: str, place: str) -> bool:
    value = row.get(name)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise SubmissionError(f"{name} of {place} is neither true nor false")
    return value


def _text(row: dict[str, Any], name: str, place: str) -> str:
    value = row.get(name)
    if value is None:
        return ""
    if not isinstance(value, str) or len(value) > 200:
        raise SubmissionError(f"{name} of {place} is not a text of at most 200")
    return value
