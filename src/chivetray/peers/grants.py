"""Slots that this entry may use, as granted by the homes of the endpoints."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from chivetray.generated.messages import SlotDemand, SlotOffer, SlotWant
from chivetray.peers.homes import digest_endpoints

# Number of newest demands whose send time is kept. The lifetime of the grants in
# an offer counts from the send time of its demand.
SEND_TIMES_LIMIT = 64

MS_PER_S = 1000


@dataclass(slots=True)
class HeldSlots:
    """Slots of one endpoint that this entry holds.

    :ivar home: entry to which demands for the endpoint are sent
    :ivar granter: entry that granted the slots, which may be the previous home
    :ivar granted: granted slots, valid until ``expires_at_s``
    :ivar in_use: number of requests in flight
    :ivar waiting: number of waiting requests attributed to the endpoint
    :ivar busy_until_s: latest deadline of the requests in flight
    """

    home: str
    granter: str = ""
    granted: int = 0
    expires_at_s: float = 0.0
    in_use: int = 0
    waiting: int = 0
    busy_until_s: float = 0.0


@dataclass(slots=True)
class HomeState:
    """State of the exchange with one home.

    :ivar sequence: sequence number of the last demand
    :ivar acked_offer: highest sequence number of the offers received
    :ivar digest: digest of the endpoints of the home, as this entry sees them
    :ivar sent_at_s: sequence numbers and send times of the newest demands
    :ivar reported: last reported granted, used and wanted slots by endpoint
    """

    sequence: int = 0
    acked_offer: int = 0
    digest: int = 0
    endpoints: list[str] = field(default_factory=list)
    sent_at_s: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=SEND_TIMES_LIMIT)
    )
    reported: dict[str, tuple[int, int, int]] = field(default_factory=dict)


class GrantHolder:
    """Holds the grants of this entry and counts the requests in flight.

    :param ttl_s: lifetime of a grant, counted from the time at which the demand
        was sent, so that the grant expires here before it expires at its home
    """

    def __init__(self, ttl_s: float):
        self._ttl_s = ttl_s
        self._held: dict[str, HeldSlots] = {}
        self._homes: dict[str, HomeState] = {}

    @property
    def homes(self) -> frozenset[str]:
        """Entries to which demands are sent."""
        return frozenset(self._homes)

    def set_homes(self, homes: dict[str, str]) -> None:
        """Set the home of each endpoint.

        A grant of a previous home stays usable until it expires. The new home
        raises no grant before then.
        """
        by_home: dict[str, list[str]] = {}
        for endpoint, home in homes.items():
            by_home.setdefault(home, []).append(endpoint)
            self._held.setdefault(endpoint, HeldSlots(home)).home = home
        for endpoint in list(self._held.keys() - homes.keys()):
            held = self._held[endpoint]
            held.granted = 0
            if held.in_use == 0:
                del self._held[endpoint]
        self._homes = {
            home: self._home_state(home, endpoints)
            for home, endpoints in by_home.items()
        }

    def _home_state(self, home: str, endpoints: list[str]) -> HomeState:
        state = self._homes.get(home) or HomeState()
        state.endpoints = endpoints
        state.digest = digest_endpoints(endpoints)
        state.reported = {
            name: reported
            for name, reported in state.reported.items()
            if name in endpoints
        }
        return state

    def granted_slots(self, endpoint: str, now_s: float) -> int:
        """Return the number of slots that may be used now."""
        held = self._held.get(endpoint)
        if held is None or held.expires_at_s <= now_s:
            return 0
        return held.granted

    def free_slots(self, endpoint: str, now_s: float) -> int:
        """Return the number of granted slots that are not in use."""
        granted = self.granted_slots(endpoint, now_s)
        return max(0, granted - self._held[endpoint].in_use) if granted else 0

    def count_in_flight(self, endpoint: str) -> int:
        """Return the number of requests in flight."""
        held = self._held.get(endpoint)
        return held.in_use if held else 0

    def busy(self) -> dict[str, int]:
        """Return the requests in flight and waiting of each endpoint that has any."""
        busy = {name: held.in_use + held.waiting for name, held in self._held.items()}
        return {name: count for name, count in busy.items() if count}

    def acquire_slot(self, endpoint: str, deadline_s: float) -> None:
        """Count a started request as using a slot."""
        held = self._held[endpoint]
        held.in_use += 1
        held.busy_until_s = max(held.busy_until_s, deadline_s)

    def release_slot(self, endpoint: str) -> None:
        """Free the slot of a finished request."""
        held = self._held.get(endpoint)
        if held is None:
            return
        held.in_use -= 1
        if held.in_use == 0:
            held.busy_until_s = 0.0

    def set_waiting(self, waiting: dict[str, int]) -> None:
        """Set the number of waiting requests attributed to each endpoint."""
        for endpoint, held in self._held.items():
            held.waiting = waiting.get(endpoint, 0)

    def make_demand(self, home: str, now_s: float) -> SlotDemand | None:
        """Return the demand for a home, with the changes since the previous demand.

        :returns: ``None`` when the entry is no longer the home of any endpoint
        """
        state = self._homes.get(home)
        if state is None:
            return None
        state.sequence += 1
        state.sent_at_s.append((state.sequence, now_s))
        wants = []
        for endpoint in state.endpoints:
            held = self._held[endpoint]
            granted = self.granted_slots(endpoint, now_s)
            report = (granted, held.in_use, held.in_use + held.waiting)
            if state.reported.get(endpoint) == report:
                continue
            state.reported[endpoint] = report
            busy_s = max(0.0, held.busy_until_s - now_s)
            busy_ms = math.ceil(busy_s * MS_PER_S)
            wants.append(SlotWant(endpoint, *report, busy_ms))
        return SlotDemand(state.sequence, state.acked_offer, wants)

    def handle_offer(self, home: str, offer: SlotOffer, now_s: float) -> bool:
        """Apply the grants of an offer and renew the other grants of the same home.

        :returns: whether a grant was lowered, so that the home waits for the
            acknowledgement before it grants the slots to others
        """
        state = self._homes.get(home)
        if state is None:
            return False
        sent_at_s = dict(state.sent_at_s).get(offer.demand_sequence)
        state.acked_offer = max(state.acked_offer, offer.sequence)
        self._drop_expired(state, home, now_s)
        lowered = False
        for grant in offer.grants:
            held = self._held.get(grant.endpoint)
            if held is None or held.home != home:
                continue
            lowered |= held.granter == home and grant.slots < held.granted
            if held.granter != home:
                held.expires_at_s = now_s
            held.granter = home
            held.granted = grant.slots
        # Grants are renewed only while both entries agree on the endpoints of the
        # home.
        if sent_at_s is not None and offer.home_digest == state.digest:
            self._renew_grants(state, home, sent_at_s + self._ttl_s)
        return lowered

    def _drop_expired(self, state: HomeState, home: str, now_s: float) -> None:
        for endpoint in state.endpoints:
            held = self._held[endpoint]
            if held.granter == home and held.expires_at_s <= now_s:
                held.granted = 0

    def _renew_grants(self, state: HomeState, home: str, expires_at_s: float) -> None:
        for endpoint in state.endpoints:
            held = self._held[endpoint]
            if held.granter == home:
                held.expires_at_s = max(held.expires_at_s, expires_at_s)

    def reset_stream(self, home: str) -> None:
        """Restart the exchange with a home on a new stream; grants stay valid."""
        state = self._homes.get(home)
        if state is not None:
            state.reported.clear()
            state.acked_offer = 0
            state.sent_at_s.clear()
