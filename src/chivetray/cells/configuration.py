"""Follows the operator's configuration in the store; its version never goes back."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from chivetray.cells.tables import PART_QUEUE_CHARS
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.store import Row, RowId, Store, StoreUnavailableError
from chivetray.platform.stored_records import (
    CONFIG_KEY,
    CONFIG_TABLE,
    WAVE_PREFIX,
    OperatorConfig,
    Queue,
    Wave,
    decode_config,
    decode_wave,
)

# Time that one call waits at the feed of changes. A feed that does not answer is
# detected after this time and the slack of a call, within the bound of 2 s for a
# change.
FEED_WAIT_MS = 700

RETRY_PAUSE_S = 0.2


class Configuration:
    """The newest configuration that this process has read, and the maintenance waves.

    :param on_change: called after a new configuration or a change of a wave
    :ivar current: configuration in force, ``None`` before the first one
    :ivar waves: maintenance waves by the key of their row
    :ivar services: services of all configurations since the start
    """

    def __init__(self, store: Store, on_change: Callable[[], None]):
        self.current: OperatorConfig | None = None
        self.applied_at_s = 0.0
        self.waves: dict[str, Wave] = {}
        self.services: set[str] = set()
        self._store = store
        self._on_change = on_change
        self._version = 0
        self._queues: list[Queue] = []
        self._refresh_requested = anyio.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        return self.current.version if self.current else 0

    def note_peer_version(self, version: int) -> None:
        """Read the configuration soon if a peer has a newer version in force."""
        if version > self.version:
            self._refresh_requested.set()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path, if any."""
        host = host.rsplit(":", 1)[0].lower()
        for queue in self._queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None

    def weight_of(self, organisation: str) -> float | None:
        """Return the weight of an organisation, ``None`` if it is not configured."""
        organisations = self.current.organisations if self.current else {}
        found = organisations.get(organisation)
        return found.weight_per_s if found is not None else None

    def service_of(self, queue_key: str) -> str | None:
        """Return the service that runs the jobs of a queue now, if there is one.

        :param queue_key: key of the queue, or as much of it as a part's name holds
        """
        for queue in self._queues:
            if queue.key[:PART_QUEUE_CHARS] == queue_key[:PART_QUEUE_CHARS]:
                return queue.service
        return None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow_changes)
            task_group.start_soon(self._refresh_on_demand)

    async def _follow_changes(self) -> None:
        is_loaded = False
        while True:
            try:
                if not is_loaded:
                    self._version = await self._load_all()
                    is_loaded = True
                changes = await self._store.changes(
                    CONFIG_TABLE, self._version, FEED_WAIT_MS
                )
            except StoreUnavailableError as error:
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                is_loaded = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if changes.history_gone:
                is_loaded = False
                continue
            self._version = changes.version
            for row in changes.rows:
                self._apply_row(row)

    async def _refresh_on_demand(self) -> None:
        """Read the configuration whenever a peer has a newer one."""
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested = anyio.Event()
            try:
                row = await self._store.read_row(RowId(CONFIG_TABLE, "", CONFIG_KEY))
            except StoreUnavailableError as error:
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if row is not None:
                self._apply_row(row)

    async def _load_all(self) -> int:
        rows, version = await self._store.read(CONFIG_TABLE, "")
        for row in rows:
            self._apply_row(row)
        return version

    def _apply_row(self, row: Row) -> None:
        if row.id.part:
            return
        if row.id.key == CONFIG_KEY and not row.removed:
            self._apply_config(row)
        elif row.id.key.startswith(WAVE_PREFIX):
            wave = None if row.removed else decode_wave(row.value)
            if wave is None:
                self.waves.pop(row.id.key, None)
            else:
                self.waves[row.id.key] = wave
            self._on_change()

    def _apply_config(self, row: Row) -> None:
        config = decode_config(row.value)
        if config is None:
            log_event(Event.CONFIG_REJECTED, row_version=row.version)
            return
        if config.version <= self.version:
            return
        self.current = config
        self.applied_at_s = boot_time_s()
        self._queues = sorted(config.queues, key=lambda queue: -len(queue.path_prefix))
        self.services |= {queue.service for queue in config.queues}
        log_event(
            Event.CONFIG_APPLIED, version=config.version, queues=len(config.queues)
        )
        self._on_change()
