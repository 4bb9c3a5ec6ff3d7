"""Ejects failing endpoints temporarily, within the availability budgets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from chivetray.events import Event, log_event
from chivetray.generated.settings import OutlierSettings


class FailureReason(Enum):
    """Why an attempt counts as a failure of its endpoint."""

    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CROSSED = "crossed"
    ERROR_STATUS = "error_status"


class Ejection(Enum):
    """Whether a failure led to an ejection.

    ``WITHHELD`` means that the availability budgets did not allow it.
    """

    NONE = "none"
    EJECTED = "ejected"
    WITHHELD = "withheld"


@dataclass(slots=True)
class EndpointHealth:
    """Failures of one endpoint since its last success.

    :ivar backoff_count: times that the endpoint was ejected or avoided; each
        doubles the next period
    :ivar ejected_until_s: time until which it receives no requests, 0 when it is
        not ejected
    :ivar avoided_until_s: time until which it receives only requests for which no
        other endpoint has a free slot, because it does not accept connections or
        the availability budgets do not allow its ejection; 0 when not avoided
    :ivar probing: whether a probe request is in flight
    """

    failures: int = 0
    backoff_count: int = 0
    ejected_until_s: float = 0.0
    avoided_until_s: float = 0.0
    probing: bool = False


class OutlierTable:
    """Health of the endpoints as observed by this entry."""

    def __init__(self, settings: OutlierSettings):
        self._settings = settings
        self._health: dict[str, EndpointHealth] = {}

    def is_available(self, endpoint: str, idempotent: bool, now_s: float) -> bool:
        """Return whether an endpoint may receive a request.

        After an ejection an endpoint is probed with one idempotent request at a
        time until a request succeeds.
        """
        health = self._health.get(endpoint)
        if health is None or health.ejected_until_s == 0:
            return True
        return health.ejected_until_s <= now_s and idempotent and not health.probing

    def is_preferred(self, endpoint: str, idempotent: bool, now_s: float) -> bool:
        """Return whether an endpoint is not avoided.

        A failing endpoint that may not be ejected is avoided. After each period of
        avoidance it is preferred again for idempotent requests, which probe it.
        """
        health = self._health.get(endpoint)
        if health is None or health.avoided_until_s == 0:
            return True
        return health.avoided_until_s <= now_s and idempotent

    def record_start(self, endpoint: str) -> None:
        """Record the start of a request; it is a probe if the endpoint was ejected."""
        health = self._health.get(endpoint)
        if health is not None and health.ejected_until_s > 0:
            health.probing = True
            log_event(Event.ENDPOINT_PROBED, endpoint=endpoint)

    def record_success(self, endpoint: str) -> None:
        """Record a successful response, which clears the endpoint's failures."""
        health = self._health.pop(endpoint, None)
        if health is not None and health.ejected_until_s > 0:
            log_event(Event.ENDPOINT_RESTORED, endpoint=endpoint)

    def record_inconclusive(self, endpoint: str) -> None:
        """Record a request whose end is neither a success nor a failure."""
        health = self._health.get(endpoint)
        if health is not None:
            health.probing = False

    def record_failure(
        self, endpoint: str, reason: FailureReason, may_eject: bool, now_s: float
    ) -> Ejection:
        """Record a failure and eject the endpoint after several in a row.

        :param may_eject: whether the availability budgets allow an ejection
        """
        health = self._health.setdefault(endpoint, EndpointHealth())
        health.failures += 1
        was_ejected = health.ejected_until_s > 0
        health.probing = False
        if not was_ejected and health.failures < self._settings.consecutive_failures:
            if reason is FailureReason.NOT_CONNECTED:
                self._avoid(endpoint, health, now_s)
            return Ejection.NONE
        if not was_ejected and not may_eject:
            if health.failures == self._settings.consecutive_failures:
                log_event(Event.EJECTION_WITHHELD, endpoint=endpoint)
            self._avoid(endpoint, health, now_s)
            return Ejection.WITHHELD
        if was_ejected and health.ejected_until_s > now_s:
            # The request was already in flight when the endpoint was ejected.
            return Ejection.NONE
        self._eject(endpoint, health, reason, now_s)
        return Ejection.EJECTED

    def _ejection_length_s(self, health: EndpointHealth) -> float:
        """Return the length of the next ejection, which doubles up to a maximum."""
        longest_s = self._settings.max_ejection_s
        length_s: float = self._settings.ejection_s * 2**health.backoff_count
        return min(longest_s, length_s)

    def _avoid(self, endpoint: str, health: EndpointHealth, now_s: float) -> None:
        if health.avoided_until_s > now_s:
            return
        if health.avoided_until_s == 0:
            log_event(Event.ENDPOINT_AVOIDED, endpoint=endpoint)
        health.avoided_until_s = now_s + self._ejection_length_s(health)
        health.backoff_count += 1

    def _eject(
        self, endpoint: str, health: EndpointHealth, reason: FailureReason, now_s: float
    ) -> None:
        length_s = self._ejection_length_s(health)
        health.backoff_count += 1
        health.ejected_until_s = now_s + length_s
        health.avoided_until_s = 0.0
        log_event(
            Event.ENDPOINT_EJECTED,
            endpoint=endpoint,
            reason=reason.value,
            failures=health.failures,
            ejection_s=length_s,
        )

    def ejected(self) -> set[str]:
        """Return the endpoints that are ejected or being probed."""
        return {
            name for name, health in self._health.items() if health.ejected_until_s > 0
        }
