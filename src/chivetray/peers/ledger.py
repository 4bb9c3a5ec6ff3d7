"""The home's record of who holds which slots of its endpoints.

A grant can only rise while the sum of all grants stays within the endpoint's
slots. It falls when its holder has acknowledged the lower value, or when it has
expired and the requests that the holder last reported must have ended.

A new home first waits until every grant of the earlier home must have expired.
In this time it renews what the holders report to have, and nothing more: those
grants came from one ledger, so they fit together.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from chivetray.generated.messages import SlotDemand, SlotGrant, SlotOffer, SlotWant
from chivetray.peers.homes import digest_endpoints
from chivetray.peers.sharing import divide_slots

# Time for which the slots of a vanished holder stay reserved at least, since it
# may have started requests after its last report.
ORPHAN_S = 1.0

MS_PER_S = 1000

# Value of ``Holding.offered`` that makes the next offer repeat the grant.
NOT_OFFERED = -1


@dataclass(slots=True)
class Holding:
    """What one entry holds of one endpoint.

    :ivar slots: slots that the entry may be using
    :ivar offered: slots of the newest offer
    :ivar offer_sequence: sequence of that offer
    :ivar busy_until_s: time at which the reported requests end at the latest
    """

    slots: int = 0
    offered: int = NOT_OFFERED
    offer_sequence: int = 0
    in_use: int = 0
    want: int = 0
    busy_until_s: float = 0.0


@dataclass(slots=True)
class HolderState:
    """What the home knows of one entry."""

    expires_at_s: float = 0.0
    holdings: dict[str, Holding] = field(default_factory=dict)


class GrantLedger:
    """Grants of the endpoints whose home this entry is.

    :param ttl_s: lifetime of a grant in seconds
    """

    def __init__(self, ttl_s: float):
        self._ttl_s = ttl_s
        self._sequence = 0
        self._slots: dict[str, int] = {}
        self._digest = digest_endpoints(())
        self._granting_from_s: dict[str, float] = {}
        self._holders: dict[str, HolderState] = {}
        self._members: frozenset[str] = frozenset()
        self._targets: dict[str, dict[str, int]] = {}

    @property
    def endpoints(self) -> frozenset[str]:
        """Names of the endpoints whose home this entry is."""
        return frozenset(self._slots)

    def set_endpoints(self, slots: dict[str, int], now_s: float) -> list[str]:
        """Take over and give up endpoints; return those that are new.

        For a new endpoint no grant rises until every grant of an earlier home
        must have expired.

        :param slots: slots by endpoint
        """
        added = [name for name in slots if name not in self._slots]
        for name in added:
            self._granting_from_s[name] = now_s + self._ttl_s
        for name in self._slots.keys() - slots.keys():
            del self._granting_from_s[name]
            for holder in self._holders.values():
                holder.holdings.pop(name, None)
        self._slots = dict(slots)
        self._digest = digest_endpoints(slots)
        self._targets.clear()
        return added

    def set_members(self, entries: Iterable[str]) -> None:
        """Set the entries of the zone that are alive, this one among them."""
        members = frozenset(entries)
        if members != self._members:
            self._members = members
            self._targets.clear()

    def forget_stream(self, entry: str) -> None:
        """Start over with an entry whose stream is new.

        What it holds stays reserved until it has acknowledged a new offer.
        """
        holder = self._holders.get(entry)
        if holder is not None:
            for holding in holder.holdings.values():
                holding.offered = NOT_OFFERED

    def handle_demand(self, entry: str, demand: SlotDemand, now_s: float) -> SlotOffer:
        """Record a demand and return the offer that answers it."""
        self.expire(now_s)
        holder = self._holders.setdefault(entry, HolderState())
        holder.expires_at_s = now_s + self._ttl_s
        # The reports come first: an acknowledged grant falls to no less than what
        # is in use by the time of the acknowledgement.
        for want in demand.wants:
            self._record_want(holder, want, demand.acked_offer, now_s)
        self._take_acknowledgement(holder, demand.acked_offer)
        return self._make_offer(entry, holder, demand.sequence, now_s)

    def push_offers(self, now_s: float) -> dict[str, SlotOffer]:
        """Return offers for the holders whose grants change unasked."""
        offers = {}
        for entry, holder in self._holders.items():
            if holder.expires_at_s <= now_s:
                continue
            offer = self._make_offer(entry, holder, 0, now_s)
            if offer.grants:
                offers[entry] = offer
        return offers

    def _record_want(
        self, holder: HolderState, want: SlotWant, acked: int, now_s: float
    ) -> None:
        if want.endpoint not in self._slots:
            return
        holding = holder.holdings.setdefault(want.endpoint, Holding())
        if holding.want != want.want:
            self._targets.pop(want.endpoint, None)
        if now_s < self._granting_from_s[want.endpoint] and not holding.slots:
            held = max(want.granted, want.in_use)
            holding.slots = min(held, self._free(want.endpoint))
        holding.in_use = want.in_use
        holding.want = want.want
        holding.busy_until_s = now_s + want.busy_ms / MS_PER_S
        if holding.offer_sequence <= acked and want.granted != holding.offered:
            # The holder has dropped the grant, or never took it.
            holding.offered = NOT_OFFERED

    @staticmethod
    def _take_acknowledgement(holder: HolderState, acked: int) -> None:
        """Lower the holdings whose lower offer the holder obeys."""
        for holding in holder.holdings.values():
            lowered = NOT_OFFERED < holding.offered < holding.slots
            if lowered and holding.offer_sequence <= acked:
                holding.slots = max(holding.offered, min(holding.in_use, holding.slots))

    def _make_offer(
        self, entry: str, holder: HolderState, demand_sequence: int, now_s: float
    ) -> SlotOffer:
        sequence = self._sequence + 1
        grants = []
        for endpoint in self._slots:
            slots = self._allowed(entry, holder, endpoint, now_s)
            holding = holder.holdings.setdefault(endpoint, Holding())
            if slots == holding.offered:
                continue
            holding.offered = slots
            holding.offer_sequence = sequence
            holding.slots = max(holding.slots, slots)
            grants.append(SlotGrant(endpoint, slots))
        if grants:
            self._sequence = sequence
        return SlotOffer(self._sequence, demand_sequence, self._digest, grants)

    def _allowed(
        self, entry: str, holder: HolderState, endpoint: str, now_s: float
    ) -> int:
        """Return the slots that an entry may have now."""
        holding = holder.holdings.get(endpoint)
        held = holding.slots if holding else 0
        if now_s < self._granting_from_s[endpoint]:
            return held
        target = self._target(endpoint).get(entry, 0)
        if target <= held:
            return target
        return min(target, held + self._free(endpoint))

    def _target(self, endpoint: str) -> dict[str, int]:
        """Return how the slots of an endpoint are to be divided."""
        targets = self._targets.get(endpoint)
        if targets is None:
            wants = {name: self._want_of(name, endpoint) for name in self._members}
            targets = divide_slots(endpoint, self._slots[endpoint], wants)
            self._targets[endpoint] = targets
        return targets

    def _want_of(self, entry: str, endpoint: str) -> int:
        holder = self._holders.get(entry)
        holding = holder.holdings.get(endpoint) if holder else None
        return holding.want if holding else 0

    def _free(self, endpoint: str) -> int:
        """Return the slots of an endpoint that are in nobody's hands."""
        return max(0, self._slots[endpoint] - self._held(endpoint))

    def _held(self, endpoint: str) -> int:
        """Return the slots of an endpoint that are in any holder's hands."""
        return sum(
            holder.holdings[endpoint].slots
            for holder in self._holders.values()
            if endpoint in holder.holdings
        )

    def expire(self, now_s: float) -> None:
        """Drop the holdings of vanished entries whose requests have ended."""
        for entry, holder in list(self._holders.items()):
            if holder.expires_at_s > now_s:
                continue
            for endpoint, holding in list(holder.holdings.items()):
                end_s = max(holder.expires_at_s + ORPHAN_S, holding.busy_until_s)
                if end_s <= now_s:
                    del holder.holdings[endpoint]
                    self._targets.pop(endpoint, None)
            if not holder.holdings:
                del self._holders[entry]

    def excess_slots(self) -> int:
        """Return by how many slots an endpoint is over-granted, 0 in order."""
        excess = (self._held(name) - slots for name, slots in self._slots.items())
        return max(0, max(excess, default=0))
