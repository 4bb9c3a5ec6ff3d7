"""Writes the load that an entry sees, on which capacity decisions are based."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable

import anyio
from returns.result import Failure

from chivetray.fleet.revision import RevisionState
from chivetray.generated.settings import DutySettings
from chivetray.records.client import RecordClient
from chivetray.records.maintenance import LOAD_TABLE, replace_row


class LoadWriter:
    """Periodically writes the peak number of busy slots of each pool.

    :param busy_by_vm: returns the number of requests in flight and waiting by VM
    """

    def __init__(
        self,
        client: RecordClient,
        settings: DutySettings,
        entry: str,
        revisions: RevisionState,
        busy_by_vm: Callable[[], dict[str, int]],
    ):
        self._client = client
        self._settings = settings
        self._entry = entry
        self._revisions = revisions
        self._busy_by_vm = busy_by_vm
        self._peak_busy_slots: Counter[str] = Counter()
        self._last_write_was_idle = False

    async def run(self) -> None:
        """Sample and write until cancelled."""
        written_at_s = anyio.current_time()
        while True:
            await anyio.sleep(self._settings.load_sample_s)
            self._sample()
            now_s = anyio.current_time()
            if now_s - written_at_s >= self._settings.load_interval_s:
                written_at_s = now_s
                await self._write()

    def _sample(self) -> None:
        """Update the peak load of each pool since the last write."""
        busy: Counter[str] = Counter()
        for name, count in self._busy_by_vm().items():
            vm = self._revisions.catalog.vms.get(name)
            if vm is not None:
                busy[vm.pool] += count
        self._peak_busy_slots |= busy

    async def _write(self) -> None:
        peak, self._peak_busy_slots = self._peak_busy_slots, Counter()
        busy = dict(peak)
        if not busy and self._last_write_was_idle:
            # Readers ignore outdated loads, so an idle entry need not write again.
            return
        self._last_write_was_idle = not busy
        value = {"written_at_s": time.time(), "busy_slots": busy}
        result = await replace_row(self._client, LOAD_TABLE, self._entry, value)
        if isinstance(result, Failure) or not result.unwrap():
            # The next periodic write includes this peak.
            self._peak_busy_slots |= peak
