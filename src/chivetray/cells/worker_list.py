"""Reads the list of workers, often enough to notice draining workers in time."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from chivetray.clocks import boot_time_s
from chivetray.defects import contain_errors
from chivetray.events import Event, log_event
from chivetray.platform.store import Store, StoreUnavailableError
from chivetray.platform.stored_records import WORKER_TABLE, WorkerRecord, decode_worker

# Half of the time within which a draining worker may still receive tasks. The list is
# read at intervals since the feed of changes would answer at every worker's heartbeat.
READ_INTERVAL_S = 0.9

# Interval while a VM is being moved into a pool, so that it is used without delay, and
# the time for which one call of ``expect_arrivals`` selects this interval.
ARRIVAL_INTERVAL_S = 0.25
ARRIVAL_WINDOW_S = 1.0

RETRY_PAUSE_S = 0.3

# Entries that expired during a store outage are rewritten within about 2 s of its end.
# Until then, a missing entry does not mean that the worker is gone.
ENTRY_RECOVERY_S = 2.5


class WorkerList:
    """The workers that are listed in the store.

    :ivar read_at_s: time of the last successful read, 0 before the first one
    :ivar sent_at_s: send time of that read
    """

    def __init__(self, store: Store):
        self.read_at_s = self.sent_at_s = 0.0
        self._store = store
        self._by_service: dict[str, list[WorkerRecord]] = {}
        self._entries: dict[str, WorkerRecord] = {}
        self._failed_at_s = -ENTRY_RECOVERY_S
        self._arrivals_until_s = 0.0
        self._decoded_rows: dict[str, tuple[int, WorkerRecord | None]] = {}

    def workers_of(self, service: str) -> list[WorkerRecord]:
        """Return the listed workers of a service."""
        return self._by_service.get(service, [])

    async def run(
        self, is_needed: Callable[[], bool], on_read: Callable[[], None]
    ) -> None:
        """Read the list periodically until cancelled.

        :param is_needed: returns whether the list is needed
        :param on_read: called after each successful read
        """
        is_first_read = True
        while True:
            if not is_first_read and not is_needed():
                await anyio.sleep(0.1)
                continue
            sent_at_s = boot_time_s()
            try:
                rows, _ = await self._store.read(WORKER_TABLE, "")
            except StoreUnavailableError as error:
                log_event(Event.STORE_LOST, reason=str(error), during="worker list")
                self._failed_at_s = boot_time_s()
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            is_first_read = False
            self.read_at_s, self.sent_at_s = boot_time_s(), sent_at_s
            with contain_errors("worker list"):
                self._apply_rows({row.id.key: (row.version, row.value) for row in rows})
                on_read()
            await self._wait_until_next_read(self.read_at_s)

    async def _wait_until_next_read(self, read_at_s: float) -> None:
        while True:
            now_s = boot_time_s()
            arriving = now_s < self._arrivals_until_s
            interval_s = ARRIVAL_INTERVAL_S if arriving else READ_INTERVAL_S
            if now_s - read_at_s >= interval_s:
                return
            await anyio.sleep(ARRIVAL_INTERVAL_S / 2)

    def expect_arrivals(self) -> None:
        """Read the list more often for a short time."""
        self._arrivals_until_s = boot_time_s() + ARRIVAL_WINDOW_S

    def _apply_rows(self, rows: dict[str, tuple[int, bytes]]) -> None:
        entries: dict[str, WorkerRecord] = {}
        decoded_rows: dict[str, tuple[int, WorkerRecord | None]] = {}
        for worker_id, (version, value) in rows.items():
            cached = self._decoded_rows.get(worker_id)
            if cached is not None and cached[0] == version:
                entry = cached[1]
            else:
                entry = decode_worker(worker_id, value)
                if entry is None:
                    log_event(
                        Event.ROW_DAMAGED,
                        key=worker_id,
                        reason="not a valid worker entry",
                    )
            decoded_rows[worker_id] = (version, entry)
            if entry is not None:
                entries[worker_id] = entry
        if boot_time_s() - self._failed_at_s < ENTRY_RECOVERY_S:
            for worker_id, entry in self._entries.items():
                entries.setdefault(worker_id, entry)
        self._decoded_rows = decoded_rows
        self._entries = entries
        self._by_service = {}
        for entry in entries.values():
            self._by_service.setdefault(entry.service, []).append(entry)
