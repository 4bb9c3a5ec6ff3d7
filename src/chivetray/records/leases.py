"""Leases on control duties, as rows of the table service.

No two clocks are compared: a lease has lapsed when its row was not renewed for
its lifetime on the clock of the entry that looks at it. A holder that was paused
cannot know that, so a lease alone protects nothing. Every write of a duty is
conditional on the rows that its decision was made from.
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
class _Seen:
    """Last change of a lease row, on the clock of this entry."""

    version: int
    at_s: float


class LeaseKeeper:
    """Takes, renews and gives up leases for one entry.

    :param holder: name and incarnation of the entry
    """

    def __init__(self, client: RecordClient, holder: str):
        self._client = client
        self._holder = holder
        self._seen: dict[str, _Seen] = {}
        self._held: dict[str, float] = {}

    def holds(self, duty: str, now_s: float) -> bool:
        """Return whether this entry believes that it holds a duty."""
        return self._held.get(duty, 0.0) > now_s

    async def acquire(self, duty: str, now_s: float) -> bool:
        """Take or renew a duty; return whether this entry holds it.

        :param now_s: time before the call, from which the lease counts
        """
        result = await self._client.read_row(LEASE_TABLE, duty)
        if isinstance(result, Failure):
            return self.holds(duty, now_s)
        row = result.unwrap()
        if row is not None and not self._may_take(duty, row, now_s):
            self._held.pop(duty, None)
            return False
        taken = await self._write(duty, row)
        if taken:
            if duty not in self._held:
                log_event(Event.DUTY_TAKEN, duty=duty, holder=self._holder)
            self._held[duty] = now_s + LEASE_TTL_S
        else:
            self._held.pop(duty, None)
        return taken

    def _may_take(self, duty: str, row: Row, now_s: float) -> bool:
        """Return whether a row is this entry's own, released, or has lapsed."""
        if row.value["holder"] in (self._holder, ""):
            return True
        seen = self._seen.get(duty)
        if seen is None or seen.version != row.version:
            self._seen[duty] = _Seen(row.version, now_s)
            return False
        return now_s - seen.at_s >= LEASE_TTL_S

    async def _write(self, duty: str, row: Row | None) -> bool:
        term = 1
        if row is not None:
            own = row.value["holder"] == self._holder
            term = row.value["term"] + (not own)
        value = {"holder": self._holder, "term": term}
        version = row.version if row else ABSENT
        write = RowWrite(LEASE_TABLE, duty, version, value)
        result = await self._client.write_all([write])
        # A lost answer counts as not held: the next round reads the row.
        return not isinstance(result, Failure) and result.unwrap()

    async def release(self, duty: str) -> None:
        """Give a duty up, so that another entry takes it at once."""
        if self._held.pop(duty, None) is None:
            return
        result = await self._client.read_row(LEASE_TABLE, duty)
        row = None if isinstance(result, Failure) else result.unwrap()
        if row is not None and row.value["holder"] == self._holder:
            value = {"holder": "", "term": row.value["term"]}
            write = RowWrite(LEASE_TABLE, duty, row.version, value)
            await self._client.write_all([write])
