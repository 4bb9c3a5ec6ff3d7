"""Sets failing endpoints aside for a while, within the availability budget."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from chivetray.events import Event, log_event
from chivetray.generated.settings import OutlierSettings


class FailureReason(Enum):
    """Why an attempt counts against an endpoint."""

    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CROSSED = "crossed"
    ERROR_STATUS = "error_status"


class Ejection(Enum):
    """What a failure led to."""

    NONE = "none"
    EJECTED = "ejected"
    WITHHELD = "withheld"


@dataclass(slots=True)
class EndpointHealth:
    """Recent results of one endpoint.

    :ivar ejected_until_s: time until which it receives nothing, 0 when healthy
    :ivar avoided_until_s: time until which it receives only what no other
        endpoint has a slot for, since it does not accept connections or may not
        be ejected
    :ivar probing: whether a request on trial is in flight
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    avoided_until_s: float = 0.0
    probing: bool = False


class OutlierTable:
    """Health of the endpoints, as this entry sees it."""

    def __init__(self, settings: OutlierSettings):
        self._settings = settings
        self._health: dict[str, EndpointHealth] = {}

    def is_available(self, endpoint: str, idempotent: bool, now_s: float) -> bool:
        """Return whether an endpoint may receive a request.

        After an ejection one idempotent request at a time goes there on trial.
        """
        health = self._health.get(endpoint)
        if health is None or health.ejected_until_s == 0:
            return True
        return health.ejected_until_s <= now_s and idempotent and not health.probing

    def is_preferred(self, endpoint: str, idempotent: bool, now_s: float) -> bool:
        """Return whether an endpoint is as good as any other.

        An endpoint that fails but may not be ejected is avoided. From time to
        time an idempotent request goes there on trial.
        """
        health = self._health.get(endpoint)
        if health is None or health.avoided_until_s == 0:
            return True
        return health.avoided_until_s <= now_s and idempotent

    def begin(self, endpoint: str) -> None:
        """Note that a request starts; the first after an ejection is a trial."""
        health = self._health.get(endpoint)
        if health is not None and health.ejected_until_s > 0:
            health.probing = True
            log_event(Event.ENDPOINT_PROBED, endpoint=endpoint)

    def record_success(self, endpoint: str) -> None:
        """Note a good answer."""
        health = self._health.pop(endpoint, None)
        if health is not None and health.ejected_until_s > 0:
            log_event(Event.ENDPOINT_RESTORED, endpoint=endpoint)

    def record_abandoned(self, endpoint: str) -> None:
        """Note that a request ended without telling anything."""
        health = self._health.get(endpoint)
        if health is not None:
            health.probing = False

    def record_failure(
        self, endpoint: str, reason: FailureReason, may_eject: bool, now_s: float
    ) -> Ejection:
        """Note a failure and eject the endpoint after several in a row.

        :param may_eject: whether the availability budget allows an ejection
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
            # A request that was in flight when the endpoint was ejected.
            return Ejection.NONE
        self._eject(endpoint, health, reason, now_s)
        return Ejection.EJECTED

    def _length_s(self, health: EndpointHealth) -> float:
        """Return the length of the next ejection; each is twice the one before."""
        longest_s = self._settings.max_ejection_s
        length_s: float = self._settings.ejection_s * 2**health.ejections
        return min(longest_s, length_s)

    def _avoid(self, endpoint: str, health: EndpointHealth, now_s: float) -> None:
        if health.avoided_until_s > now_s:
            return
        if health.avoided_until_s == 0:
            log_event(Event.ENDPOINT_AVOIDED, endpoint=endpoint)
        health.avoided_until_s = now_s + self._length_s(health)
        health.ejections += 1

    def _eject(
        self, endpoint: str, health: EndpointHealth, reason: FailureReason, now_s: float
    ) -> None:
        length_s = self._length_s(health)
        health.ejections += 1
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
        """Return the endpoints that are set aside or on trial."""
        return {n for n, health in self._health.items() if health.ejected_until_s > 0}
