"""Answers to callers about jobs, and whose jobs stored rows hold."""

from __future__ import annotations

from dataclasses import dataclass

from chivetray.cells.acceptance import Acceptance
from chivetray.events import Event, log_event
from chivetray.jobs.job import decode_spec
from chivetray.jobs.model import JobState
from chivetray.organisations.keys import is_hidden
from chivetray.results import ResultCode

# Delay after which a caller may retry while the store is unavailable. Outages of the
# store last some seconds.
STORE_RETRY_AFTER_S = 2.0

# Reasons for refusals, as the counter names them.
HIDDEN_REFUSAL = "job of another organisation"
CAP_REFUSAL = "task above the cap"
LATE_REFUSAL = "predicted to end too late"
TAKEN_REFUSAL = "identifier of another queue's job"

UNREADABLE_ROW = "the stored job cannot be read, so its organisation is unknown"


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a caller.

    :ivar retry_after_s: delay after which the caller may retry, 0 for none
    :ivar state: state of the job that was asked for
    :ivar pending: number of jobs of the queue that have not started
    :ivar refusal: reason for a refusal that is counted by organisation
    """

    code: ResultCode
    message: str = ""
    retry_after_s: float = 0.0
    state: JobState | None = None
    pending: int | None = None
    refusal: str = ""


def judge_stored(value: bytes, organisation: str) -> Acceptance:
    """Return whose job a stored row holds, as seen by an organisation.

    Without organisations nothing is checked, not even whether the row can be read.
    """
    if not organisation:
        return Acceptance.STORED_BEFORE
    try:
        spec = decode_spec(value)
    except ValueError:
        return Acceptance.UNKNOWN
    if is_hidden(spec.organisation, organisation):
        return Acceptance.STORED_BY_ANOTHER
    return Acceptance.STORED_BEFORE


def answer_repeated(acceptance: Acceptance, reason: str = "") -> JobAnswer:
    """Return the answer to a submission whose row exists or may exist."""
    if acceptance == Acceptance.STORED_BEFORE:
        return JobAnswer(ResultCode.OK, "the job was stored before")
    if acceptance == Acceptance.STORED_BY_ANOTHER:
        message = "the identifier belongs to another job; use a new one"
        return JobAnswer(ResultCode.JOB_ID_TAKEN, message, refusal=HIDDEN_REFUSAL)
    return JobAnswer(ResultCode.ACCEPTANCE_UNKNOWN, reason or UNREADABLE_ROW)


def answer_taken() -> JobAnswer:
    """Return the answer to a submission whose identifier another queue's job has."""
    message = "a job of another queue of the service has the identifier; use a new one"
    return JobAnswer(ResultCode.JOB_ID_TAKEN, message, refusal=TAKEN_REFUSAL)


def answer_cancelled_before() -> JobAnswer:
    """Return the answer to a submission that was cancelled before it was stored."""
    message = "the job was cancelled before it was stored; use a new identifier"
    return JobAnswer(ResultCode.CANCELLED_BEFORE_STORED, message)


def answer_hidden(job_id: str, organisation: str, during: str) -> JobAnswer:
    """Return the answer about a job of another organisation, as about an absent one."""
    log_event(Event.JOB_HIDDEN, job=job_id, organisation=organisation, during=during)
    return JobAnswer(ResultCode.NO_JOB, "no such job", refusal=HIDDEN_REFUSAL)


def organisation_field(organisation: str) -> dict[str, str]:
    """Return the field of a log line about an organisation, if there is one."""
    return {"organisation": organisation} if organisation else {}
