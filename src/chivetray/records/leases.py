"""Leases on control duties, stored as rows of the table service.

Clocks of different entries are never compared: an entry considers a lease expired
when it has seen no renewal of the row for the lifetime of a lease on its own
clock. A holder that was paused does not notice the expiry, so a lease alone does
not prevent conflicting writes. Every write of a duty is therefore conditional on
the rows on which its decision is based.
"""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure

from chivetray.events import Event, log_event
from chivetray.platform.store import ABSENT
from chivetray.records.client import RecordClient, Row, RowWrite

LEASE_TABLE = "leases"
LEASE_TTL_S = 6.0
RENEWAL_INTERVAL_S = 2.0


@dataclass(slots=True)
class _ObservedVersion:
    """Version of a lease row and the time at which this entry first saw it."""

    version: int
    observed_at_s: float


class LeaseKeeper:
    """Acquires, renews and releases leases for one entry.

    :param holder: name and incarnation of the entry
    """

    def __init__(self, client: RecordClient, holder: str):
        self._client = client
        self._holder = holder
        self._observed_versions: dict[str, _ObservedVersion] = {}
        self._held_until_s: dict[str, float] = {}

    def holds(self, duty: str, now_s: float) -> bool:
        """Return whether this entry holds the lease of a duty by its own clock."""
        return self._held_until_s.get(duty, 0.0) > now_s

    async def acquire(self, duty: str, now_s: float) -> bool:
        """Acquire or renew the lease of a duty; return whether this entry holds it.

        :param now_s: time before the call, from which the lifetime counts
        """
        result = await self._client.read_row(LEASE_TABLE, duty)
        if isinstance(result, Failure):
            return self.holds(duty, now_s)
        row = result.unwrap()
        if row is not None and not self._can_acquire(duty, row, now_s):
            self._held_until_s.pop(duty, None)
            return False
        acquired = await self._write_lease(duty, row)
        if acquired:
            if duty not in self._held_until_s:
                log_event(Event.DUTY_TAKEN, duty=duty, holder=self._holder)
            self._held_until_s[duty] = now_s + LEASE_TTL_S
        else:
            self._held_until_s.pop(duty, None)
        return acquired

    def _can_acquire(self, duty: str, row: Row, now_s: float) -> bool:
        """Return whether a lease is held by this entry, released or expired."""
        if row.value["holder"] in (self._holder, ""):
            return True
        observed = self._observed_versions.get(duty)
        if observed is None or observed.version != row.version:
            self._observed_versions[duty] = _ObservedVersion(row.version, now_s)
            return False
        return now_s - observed.observed_at_s >= LEASE_TTL_S

    async def _write_lease(self, duty: str, row: Row | None) -> bool:
        term = 1
        if row is not None:
            is_own = row.value["holder"] == self._holder
            term = row.value["term"] + (not is_own)
        value = {"holder": self._holder, "term": term}
        version = row.version if row else ABSENT
        write = RowWrite(LEASE_TABLE, duty, version, value)
        result = await self._client.write_all([write])
        # Without an answer the lease counts as not held; the next round reads it.
        return not isinstance(result, Failure) and result.unwrap()

    async def release(self, duty: str) -> None:
        """Release the lease of a duty, so that another entry can acquire it at once."""
        if self._held_until_s.pop(duty, None) is None:
            return
        result = await self._client.read_row(LEASE_TABLE, duty)
        row = None if isinstance(result, Failure) else result.unwrap()
        if row is not None and row.value["holder"] == self._holder:
            value = {"holder": "", "term": row.value["term"]}
            write = RowWrite(LEASE_TABLE, duty, row.version, value)
            await self._client.write_all([write])
