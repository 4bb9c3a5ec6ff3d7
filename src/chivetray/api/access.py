"""Checks that a caller of jobs may use a queue."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from chivetray.cells.configuration import Configuration
from chivetray.cells.job_answers import JobAnswer
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.manager_metrics import ManagerMetrics
from chivetray.organisations.keys import Refusal, abbreviate_digest, authorise
from chivetray.platform.caller_keys import read_key
from chivetray.platform.stored_records import Queue
from chivetray.results import ResultCode

MESSAGES = {
    Refusal.MISSING: "this queue needs the key of an organisation; none was sent",
    Refusal.MALFORMED: "the header with the key does not have the expected form",
    Refusal.DUPLICATED: "the header with the key was sent more than once",
    Refusal.UNKNOWN: "the key is not valid",
    # As for an unknown key, so that the answer does not tell former keys apart.
    Refusal.REVOKED: "the key is not valid",
}


@dataclass(frozen=True, slots=True)
class Access:
    """Outcome of the check of a call.

    :ivar organisation: organisation of the caller, empty where no key is needed
    :ivar refusal: answer to a call that is refused
    """

    organisation: str = ""
    refusal: JobAnswer | None = None


# Shared by all calls that need no key, which cost nothing more.
OPEN_ACCESS = Access()


class AccessCheck:
    """Authorises each call against the newest configuration."""

    def __init__(self, configuration: Configuration, metrics: ManagerMetrics):
        self._configuration = configuration
        self._metrics = metrics

    def is_allowed(self, queue: Queue, headers: Iterable[tuple[bytes, bytes]]) -> bool:
        """Return whether a call would be authorised, without recording a refusal."""
        config = self._configuration.current
        if config is None or not config.requires_keys or queue.public:
            return True
        verdict = authorise(
            read_key(headers), config.key_owners, self._configuration.revoked_keys
        )
        return verdict.refusal is None

    def check(
        self, queue: Queue, headers: Iterable[tuple[bytes, bytes]], method: str
    ) -> Access:
        """Authorise one call."""
        config = self._configuration.current
        if config is None or not config.requires_keys or queue.public:
            return OPEN_ACCESS
        presented = read_key(headers)
        verdict = authorise(
            presented, config.key_owners, self._configuration.revoked_keys
        )
        if verdict.refusal is None:
            return Access(verdict.organisation)
        reason = verdict.refusal.value
        self._metrics.count_refusal(reason, verdict.organisation)
        log_event(
            Event.CALL_REFUSED,
            refusal=reason,
            organisation=verdict.organisation,
            key=abbreviate_digest(presented.digest),
            method=method,
            queue=queue.key,
            version=config.version,
            age_s=round(boot_time_s() - self._configuration.applied_at_s, 3),
        )
        message = MESSAGES[verdict.refusal]
        return Access(refusal=JobAnswer(ResultCode.KEY_REFUSED, message))
