"""What a cell holds of the cap of one organisation, as its owner knows it."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from chivetray.clocks import boot_time_s
from chivetray.organisations.model import Resources
from chivetray.organisations.shares import (
    EVERYTHING,
    NOTHING,
    Demand,
    as_limit,
    effective_share,
    fits,
    largest,
)

# Time after which share that was not used is given back, and the interval for which
# the largest use is remembered.
UNUSED_SHARE_TTL_S = 1.0
USE_INTERVAL_S = 0.1


@dataclass(slots=True)
class Holding:
    """What a cell holds of one organisation's cap.

    :ivar cap: newest known cap, ``None`` if only the store may know it
    :ivar cap_version: version of the configuration that it is from
    :ivar config_version: version of the configuration that was last looked at
    :ivar share: share that the store holds at least
    :ivar claimed: whether the share is stored under the epoch of this owner
    :ivar granted: upper bound of the sum of the shares of all cells
    :ivar free: what no cell held at the last look, ``None`` before the first
    :ivar unknown_version: version of the row that a write without an answer expects,
        which may still be carried out; -1 for none
    :ivar checked: whether the row was read
    """

    cap: Resources | None = None
    cap_version: int = 0
    config_version: int = 0
    share: Resources = NOTHING
    share_since_s: float = 0.0
    claimed: bool = False
    granted: Resources = EVERYTHING
    free: Resources | None = None
    unknown_version: int = -1
    checked: bool = False
    is_busy: bool = False
    due_s: float = 0.0
    tries: int = 0
    demands: list[Demand] = field(default_factory=list)
    is_awaited: bool = False
    last_use: Resources = NOTHING
    uses: deque[tuple[float, Resources]] = field(default_factory=deque)

    def effective(self) -> Resources:
        """Return how much of the share may be used."""
        if self.cap is None:
            return NOTHING
        share = self.share if self.claimed else NOTHING
        return effective_share(share, self.cap, self.granted)

    def exceeds_cap(self) -> bool:
        """Return whether more may be granted than the cap."""
        return self.cap is not None and not fits(self.granted, as_limit(self.cap))

    def record_use(self, use: Resources, now_s: float) -> None:
        """Record the use until now and from now on."""
        peak = largest(use, self.last_use)
        self.last_use = use
        if self.uses and now_s - self.uses[-1][0] < USE_INTERVAL_S:
            began_s, earlier = self.uses[-1]
            self.uses[-1] = (began_s, largest(earlier, peak))
        else:
            self.uses.append((now_s, peak))
        oldest_s = now_s - UNUSED_SHARE_TTL_S - USE_INTERVAL_S
        while self.uses[0][0] < oldest_s:
            self.uses.popleft()

    def kept(self) -> Resources:
        """Return the largest use within the time after which share is given back."""
        most = self.last_use
        for _, use in self.uses:
            most = largest(most, use)
        return most

    def has_surplus(self, now_s: float) -> bool:
        """Return whether a part of the share was not used for long enough."""
        if not self.claimed or now_s - self.share_since_s < UNUSED_SHARE_TTL_S:
            return False
        return not fits(self.share, self.kept())

    def retry_after(self, pause_s: float, limit_s: float) -> None:
        """Let the next attempt wait, longer after each one."""
        pause_s = min(limit_s, pause_s * 2 ** min(self.tries, 10))
        self.tries += 1
        self.due_s = boot_time_s() + pause_s * random.uniform(0.5, 1.0)
