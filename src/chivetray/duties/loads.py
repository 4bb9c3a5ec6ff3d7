"""Writes the load that an entry sees, for decisions on capacity."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable

import anyio

from chivetray.fleet.revision import RevisionState
from chivetray.generated.settings import DutySettings
from chivetray.records.client import RecordClient
from chivetray.records.maintenance import LOAD_TABLE, overwrite


class LoadWriter:
    """Writes the busy slots of each pool now and then.

    :param busy_by_vm: returns requests in flight and waiting by VM
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
        self._highest: Counter[str] = Counter()
        self._wrote_nothing_busy = False

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
        """Keep the highest load of each pool since the last write."""
        busy: Counter[str] = Counter()
        for name, count in self._busy_by_vm().items():
            vm = self._revisions.catalog.vms.get(name)
            if vm is not None:
                busy[vm.pool] += count
        self._highest |= busy

    async def _write(self) -> None:
        busy = dict(self._highest)
        self._highest.clear()
        if not busy and self._wrote_nothing_busy:
            # An idle entry counts as idle without writing it again.
            return
        self._wrote_nothing_busy = not busy
        value = {"written_at_s": time.time(), "busy_slots": busy}
        # A write that fails is made up for by the next one.
        await overwrite(self._client, LOAD_TABLE, self._entry, value)
