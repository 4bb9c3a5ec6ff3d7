"""The operator's configuration: in force soon, and never an older one again."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.platform.entries import (
    CONFIG_KEY,
    CONFIG_TABLE,
    WAVE_PREFIX,
    OperatorConfig,
    Queue,
    Wave,
    decode_config,
    decode_wave,
)
from chivetray.platform.store import Row, RowId, Store, StoreUnavailableError

# Wait of one look at the feed: a silent feed is found out after this time and the
# slack of a call, within the bound of 2 s for a change.
FEED_WAIT_MS = 700

RETRY_PAUSE_S = 0.2


class Configuration:
    """The newest configuration that this process has seen, and the waves.

    :ivar current: configuration in force, or ``None`` before the first
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
        self._refresh = anyio.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self.current.version if self.current else 0

    def heard_version(self, version: int) -> None:
        """Note that another process has a version in force."""
        if version > self.version:
            self._refresh.set()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        host = host.rsplit(":", 1)[0].lower()
        for queue in self._queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            tasks.start_soon(self._refresh_on_demand)

    async def _follow(self) -> None:
        known = False
        while True:
            try:
                if not known:
                    self._version = await self._read_all()
                    known = True
                changes = await self._store.changes(
                    CONFIG_TABLE, self._version, FEED_WAIT_MS
                )
            except StoreUnavailableError as error:
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                known = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if changes.history_gone:
                known = False
                continue
            self._version = changes.version
            for row in changes.rows:
                self._apply(row)

    async def _refresh_on_demand(self) -> None:
        """Read the configuration when a peer has a newer one."""
        while True:
            await self._refresh.wait()
            self._refresh = anyio.Event()
            try:
                row = await self._store.read_row(RowId(CONFIG_TABLE, "", CONFIG_KEY))
            except StoreUnavailableError as error:
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if row is not None:
                self._apply(row)

    async def _read_all(self) -> int:
        rows, version = await self._store.read(CONFIG_TABLE, "")
        for row in rows:
            self._apply(row)
        return version

    def _apply(self, row: Row) -> None:
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
        self._queues = sorted(config.queues, key=lambda q: -len(q.path_prefix))
        self.services |= {queue.service for queue in config.queues}
        log_event(
            Event.CONFIG_APPLIED, version=config.version, queues=len(config.queues)
        )
        self._on_change()
