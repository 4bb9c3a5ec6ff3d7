"""Records at the home which entries hold which slots of its endpoints.

A grant is raised only while the sum of all grants stays within the slots of the
endpoint. Slots are freed once the holder has acknowledged a lower grant, or once
its grant has expired and the requests that it last reported must have ended.

A new home raises no grant until every grant of the previous home must have
expired. Until then it only renews the grants that the holders report. Those were
issued by one ledger, so their sum stays within the slots of the endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from chivetray.generated.messages import SlotDemand, SlotGrant, SlotOffer, SlotWant
from chivetray.peers.homes import digest_endpoints
from chivetray.peers.sharing import divide_slots

# Minimum time for which the slots of a holder stay reserved after its grants have
# expired, since it may have started requests after its last report.
ORPHANED_SLOTS_RETENTION_S = 1.0

MS_PER_S = 1000

# Value of ``GrantRecord.offered`` that makes the next offer repeat the grant.
NOT_OFFERED = -1


@dataclass(slots=True)
class GrantRecord:
    """Slots of one endpoint that one entry holds.

    :ivar slots: slots reserved for the entry, which it may be using
    :ivar offered: slots in the newest offer
    :ivar offer_sequence: sequence number of the newest offer
    :ivar in_use: reported number of requests in flight
    :ivar want: reported number of slots that the entry wants
    :ivar busy_until_s: latest deadline of the reported requests
    """

    slots: int = 0
    offered: int = NOT_OFFERED
    offer_sequence: int = 0
    in_use: int = 0
    want: int = 0
    busy_until_s: float = 0.0


@dataclass(slots=True)
class HolderState:
    """Grants of one entry and the time at which they expire."""

    expires_at_s: float = 0.0
    records: dict[str, GrantRecord] = field(default_factory=dict)


class GrantLedger:
    """Divides the slots of the endpoints whose home this entry is.

    :param ttl_s: lifetime of a grant
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
        """Replace the endpoints of this home and return the names of the new ones.

        No grant of a new endpoint is raised until every grant of its previous home
        must have expired.

        :param slots: slots by endpoint
        """
        added = [name for name in slots if name not in self._slots]
        for name in added:
            self._granting_from_s[name] = now_s + self._ttl_s
        for name in self._slots.keys() - slots.keys():
            del self._granting_from_s[name]
            for holder in self._holders.values():
                holder.records.pop(name, None)
        self._slots = dict(slots)
        self._digest = digest_endpoints(slots)
        self._targets.clear()
        return added

    def set_members(self, entries: Iterable[str]) -> None:
        """Set the live entries of the zone, including this one."""
        members = frozenset(entries)
        if members != self._members:
            self._members = members
            self._targets.clear()

    def reset_stream(self, entry: str) -> None:
        """Repeat all grants of an entry in the next offer, because its stream is new.

        The slots that it holds stay reserved until it has acknowledged a new offer.
        """
        holder = self._holders.get(entry)
        if holder is not None:
            for record in holder.records.values():
                record.offered = NOT_OFFERED

    def handle_demand(self, entry: str, demand: SlotDemand, now_s: float) -> SlotOffer:
        """Record a demand and return the offer that answers it."""
        self.drop_expired(now_s)
        holder = self._holders.setdefault(entry, HolderState())
        holder.expires_at_s = now_s + self._ttl_s
        # The reports are recorded first, because an acknowledged grant is not
        # lowered below the slots in use at the time of the acknowledgement.
        for want in demand.wants:
            self._record_want(holder, want, demand.acked_offer, now_s)
        self._apply_acknowledgement(holder, demand.acked_offer)
        return self._make_offer(entry, holder, demand.sequence, now_s)

    def push_offers(self, now_s: float) -> dict[str, SlotOffer]:
        """Return offers for the holders whose grants have changed since their last."""
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
        record = holder.records.setdefault(want.endpoint, GrantRecord())
        if record.want != want.want:
            self._targets.pop(want.endpoint, None)
        if now_s < self._granting_from_s[want.endpoint] and not record.slots:
            held = max(want.granted, want.in_use)
            record.slots = min(held, self._free_slots(want.endpoint))
        record.in_use = want.in_use
        record.want = want.want
        record.busy_until_s = now_s + want.busy_ms / MS_PER_S
        if record.offer_sequence <= acked and want.granted != record.offered:
            # The holder has dropped the grant or never applied it.
            record.offered = NOT_OFFERED

    @staticmethod
    def _apply_acknowledgement(holder: HolderState, acked: int) -> None:
        """Free the slots of lowered grants that the holder has acknowledged."""
        for record in holder.records.values():
            lowered = NOT_OFFERED < record.offered < record.slots
            if lowered and record.offer_sequence <= acked:
                record.slots = max(record.offered, min(record.in_use, record.slots))

    def _make_offer(
        self, entry: str, holder: HolderState, demand_sequence: int, now_s: float
    ) -> SlotOffer:
        sequence = self._sequence + 1
        grants = []
        for endpoint in self._slots:
            slots = self._allowed_slots(entry, holder, endpoint, now_s)
            record = holder.records.setdefault(endpoint, GrantRecord())
            if slots == record.offered:
                continue
            record.offered = slots
            record.offer_sequence = sequence
            record.slots = max(record.slots, slots)
            grants.append(SlotGrant(endpoint, slots))
        if grants:
            self._sequence = sequence
        return SlotOffer(self._sequence, demand_sequence, self._digest, grants)

    def _allowed_slots(
        self, entry: str, holder: HolderState, endpoint: str, now_s: float
    ) -> int:
        """Return the number of slots that can be granted to an entry now."""
        record = holder.records.get(endpoint)
        held = record.slots if record else 0
        if now_s < self._granting_from_s[endpoint]:
            return held
        target = self._target_slots(endpoint).get(entry, 0)
        if target <= held:
            return target
        return min(target, held + self._free_slots(endpoint))

    def _target_slots(self, endpoint: str) -> dict[str, int]:
        """Return the number of slots that each entry is to get."""
        target_slots = self._targets.get(endpoint)
        if target_slots is None:
            wants = {name: self._wanted_slots(name, endpoint) for name in self._members}
            target_slots = divide_slots(endpoint, self._slots[endpoint], wants)
            self._targets[endpoint] = target_slots
        return target_slots

    def _wanted_slots(self, entry: str, endpoint: str) -> int:
        holder = self._holders.get(entry)
        record = holder.records.get(endpoint) if holder else None
        return record.want if record else 0

    def _free_slots(self, endpoint: str) -> int:
        """Return the number of slots of an endpoint that no entry holds."""
        return max(0, self._slots[endpoint] - self._held_slots(endpoint))

    def _held_slots(self, endpoint: str) -> int:
        """Return the number of slots of an endpoint that all entries hold."""
        return sum(
            holder.records[endpoint].slots
            for holder in self._holders.values()
            if endpoint in holder.records
        )

    def drop_expired(self, now_s: float) -> None:
        """Free the slots of entries whose grants and requests must have ended."""
        for entry, holder in list(self._holders.items()):
            if holder.expires_at_s > now_s:
                continue
            for endpoint, record in list(holder.records.items()):
                end_s = max(
                    holder.expires_at_s + ORPHANED_SLOTS_RETENTION_S,
                    record.busy_until_s,
                )
                if end_s <= now_s:
                    del holder.records[endpoint]
                    self._targets.pop(endpoint, None)
            if not holder.records:
                del self._holders[entry]

    def excess_slots(self) -> int:
        """Return the largest number of slots granted beyond those of an endpoint."""
        excess = (self._held_slots(name) - slots for name, slots in self._slots.items())
        return max(0, max(excess, default=0))
