"""How old the knowledge of an owner about stored cancellations is.

The answer to a caller who cancels a job promises that no task of it starts later than
``CANCELLATION_LIMIT_S`` after that. Notifications tell the owner sooner, but they can
be late or lost, so only a scan of the store shows which jobs are not cancelled.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import StoreUnavailableError

# Time after the answer to a cancellation after which no task of the job may start.
CANCELLATION_LIMIT_S = 3.0

# Part of it that is left for a start order to reach its worker.
START_DELAY_S = 0.5

# Age of the last scan above which no start order is sent.
MAX_SCAN_AGE_S = CANCELLATION_LIMIT_S - START_DELAY_S

# Age of the last scan above which the next one begins beside the write of a placement,
# so that the start order need not wait for it.
SCAN_AHEAD_AGE_S = 2.0

# Pause between scans while they fail and tasks wait for one.
SCAN_RETRY_PAUSE_S = 0.25


class CancellationWatch:
    """Knowledge of the owner of one cell about stored cancellations.

    :param scanned_at_s: send time of the last completed scan that covers the cell; the
        loading of the cell counts as one
    :ivar scan: scans the store for cancellations, or waits for the scan under way;
        ``None`` if only this process cancels jobs
    """

    def __init__(self, scanned_at_s: float):
        self.scanned_at_s = scanned_at_s
        self.scan: Callable[[], Awaitable[None]] | None = None
        self._failed_at_s = 0.0
        self._tried_at_s = 0.0
        self._scanning = False

    def record_scan(self, sent_at_s: float) -> None:
        """Record a completed scan that covers the cell."""
        self.scanned_at_s = max(self.scanned_at_s, sent_at_s)

    def may_start(self, now_s: float) -> bool:
        """Return whether tasks whose jobs are not known as cancelled may start."""
        return self.scan is None or now_s - self.scanned_at_s <= MAX_SCAN_AGE_S

    def may_place(self, now_s: float) -> bool:
        """Return whether tasks may be placed: if scans do not fail, starts can wait."""
        return self.may_start(now_s) or self._failed_at_s <= self.scanned_at_s

    def needs_scan(self, now_s: float, is_placing: bool) -> bool:
        """Return whether to begin a scan.

        :param is_placing: whether start orders will have to be sent soon
        """
        if self.scan is None or self._scanning:
            return False
        if not self.may_place(now_s):
            return now_s - self._tried_at_s >= SCAN_RETRY_PAUSE_S
        return is_placing and now_s - self.scanned_at_s > SCAN_AHEAD_AGE_S

    async def refresh(self) -> None:
        """Scan the store, unless that has failed just now."""
        now_s = boot_time_s()
        if self.scan is None:
            return
        if not self.may_place(now_s) and now_s - self._tried_at_s < SCAN_RETRY_PAUSE_S:
            return
        self._scanning = True
        # A scan that was under way may have failed, or may not cover the cell.
        for _ in range(2):
            self._tried_at_s = boot_time_s()
            try:
                await self.scan()
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="scan")
                break
            if self.may_start(boot_time_s()):
                break
        self._scanning = False
        now_s = boot_time_s()
        if not self.may_start(now_s):
            self._failed_at_s = now_s
