"""Follows the operator's configuration in the store; its version never goes back."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import anyio

from chivetray.cells.caps import CapRegister
from chivetray.cells.config_exchange import (
    ContentExchange,
    FetchVerdict,
    rank_peers,
)
from chivetray.cells.config_transfers import log_transfer, size_of
from chivetray.cells.newer_versions import NewerVersions
from chivetray.cells.queue_index import QueueIndex
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh
from chivetray.platform.redaction import redact_config
from chivetray.platform.store import Row, RowId, Store, StoreUnavailableError
from chivetray.platform.stored_records import (
    CONFIG_KEY,
    CONFIG_TABLE,
    WAVE_PREFIX,
    OperatorConfig,
    Queue,
    Wave,
    decode_config,
    decode_config_version,
    decode_wave,
)

# Time that one call waits at the feed of changes. A feed that does not answer is
# detected after this time and the slack of a call, within the bound of 2 s for a
# change.
FEED_WAIT_MS = 700

RETRY_PAUSE_S = 0.2
RETRY_PAUSE_MAX_S = 2.0

# Pause after which a peer that serves others is asked again.
BUSY_PAUSE_S = 0.1

# Peers without an answer after which the row is read.
SILENT_PEERS_LIMIT = 2

# Longest pause after a failure of the feed. It is made on the link of the store, so
# that peers tell of a new version meanwhile.
FEED_PAUSE_MAX_S = 1.0

# First key after those of waves, and interval at which they are read while the feed
# fails. Managers that the store rejects stay ready as long as a peer reads them.
WAVES_END = "wave0"
WAVES_INTERVAL_S = 1.0

# Failures of a feed that does not answer after which the table is read instead. It is
# detected within 2 s, so that a change is read within its bound of 3 s.
FEED_FAILURES_LIMIT = 2

# Pause after a row that held nothing newer, although a peer has something newer.
ROW_PAUSE_S = 5.0

# Keys of earlier versions that are remembered to tell revoked keys from unknown ones.
MAX_REVOKED_KEYS = 1000

# Invalid entries of one version that are logged.
MAX_LOGGED_FAULTS = 20


class Configuration:
    """The newest configuration that this process has read, and the maintenance waves.

    :param store: client that does not relay its calls
    :param on_change: called after a new configuration or a change of a wave
    :param wave_store: client for the waves, which may relay; ``store`` by default
    :ivar current: configuration in force, ``None`` before the first one
    :ivar waves: maintenance waves by the key of their row
    :ivar caps: last known caps of organisations
    :ivar services: services of all configurations since the start
    :ivar revoked_keys: name of the organisation by the digest of a key that an earlier
        version had and the one in force has not
    """

    def __init__(
        self,
        store: Store,
        on_change: Callable[[], None],
        wave_store: Store | None = None,
    ):
        self.current: OperatorConfig | None = None
        self.applied_at_s = 0.0
        self.waves: dict[str, Wave] = {}
        self.services: set[str] = set()
        self.revoked_keys: dict[bytes, str] = {}
        self.caps = CapRegister(lambda: self.current)
        self._store = store
        self._wave_store = wave_store or store
        self._on_change = on_change
        self._mesh: Mesh | None = None
        self._content = b""
        self._exchange: ContentExchange | None = None
        self._newer = NewerVersions()
        self._row_due_at_s = 0.0
        self._version = 0
        self._queues = QueueIndex()
        self._newer_known = anyio.Event()
        self._feed_failed = anyio.Event()
        self._applied = anyio.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        return self.current.version if self.current else 0

    def connect(self, mesh: Mesh) -> None:
        """Exchange the content of the configuration with the peers of a mesh."""
        self._mesh = mesh
        self._exchange = ContentExchange(mesh, lambda: (self.version, self._content))

    @property
    def is_behind(self) -> bool:
        """Whether a newer version is known than the one in force."""
        return bool(self._newer.newest)

    @property
    def behind_s(self) -> float:
        """Time since a newer version is known than the one in force, 0 if none is."""
        return boot_time_s() - self._newer.since_s if self.is_behind else 0.0

    @property
    def is_outdated(self) -> bool:
        """Whether a connected peer has a newer version in force.

        A process that is cut off with the version that it has does not count.
        """
        connected = self._mesh.peers if self._mesh is not None else {}
        return any(peer in connected for peer in self._newer.peers)

    async def wait_until_current(self, limit_s: float) -> bool:
        """Wait until no connected peer has a newer version; return whether that is so.

        :param limit_s: longest time to wait
        """
        with anyio.move_on_after(limit_s):
            while self.is_outdated:
                await self._applied.wait()
        return not self.is_outdated

    def note_peer_version(self, version: int, peer: str = "") -> None:
        """Get the configuration soon if a peer has a newer version in force.

        :param peer: peer to ask for its content; without one the row is read
        """
        if self._newer.note(version, peer):
            log_event(
                Event.CONFIG_BEHIND, version=self.version, known=version, peer=peer
            )
        if self.is_behind:
            self._newer_known.set()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of a path, if any."""
        return self._queues.find(host, path)

    def weight_of(self, organisation: str) -> float | None:
        """Return the weight of an organisation, ``None`` if it is not configured."""
        organisations = self.current.organisations if self.current else {}
        found = organisations.get(organisation)
        return found.weight_per_s if found is not None else None

    def service_of(self, queue_key: str) -> str | None:
        """Return the service that runs the jobs of a queue now, if there is one.

        :param queue_key: key of the queue, or as much of it as a part's name holds
        """
        return self._queues.service_of(queue_key)

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._follow_changes)
            task_group.start_soon(self._follow_waves)
            task_group.start_soon(self._catch_up)

    async def _follow_changes(self) -> None:
        """Follow the feed, which other managers do not relay.

        They would read the whole content once more for each that asks, while the
        peers send it compressed. Of the table they read only the waves.
        """
        reads_table, failures = True, 0
        while True:
            started_s = boot_time_s()
            try:
                if reads_table:
                    self._version = await self._load_all()
                    reads_table, failures = False, 0
                # After a failure the store is asked for what it has, without waiting.
                wait_ms = 0 if failures else FEED_WAIT_MS
                changes = await self._store.changes(
                    CONFIG_TABLE, self._version, wait_ms
                )
            except StoreUnavailableError as error:
                log_transfer("feed", started_s, reason=str(error))
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                failures += 1
                # The feed goes on where it was, since the table moves the whole content
                # once more. It is read in turn with a feed that does not answer.
                is_silent = not error.answered and failures % FEED_FAILURES_LIMIT == 0
                reads_table = is_silent or not self._version
                self._feed_failed.set()
                await anyio.sleep(min(FEED_PAUSE_MAX_S, failures * RETRY_PAUSE_S))
                continue
            failures = 0
            if self._feed_failed.is_set():
                self._feed_failed = anyio.Event()
            if changes.history_gone:
                reads_table = True
                continue
            self._version = changes.version
            if changes.rows:
                log_transfer("feed", started_s, size_of(changes.rows))
            for row in changes.rows:
                self._apply_row(row)

    async def _follow_waves(self) -> None:
        """Read the waves while the feed fails, also through a peer."""
        while True:
            feed_failed = self._feed_failed
            await feed_failed.wait()
            with suppress(StoreUnavailableError):
                rows, _ = await self._wave_store.read(
                    CONFIG_TABLE, "", WAVE_PREFIX, WAVES_END
                )
                # What the feed has brought meanwhile is newer.
                if self._feed_failed is feed_failed:
                    self._replace_waves(rows)
            await anyio.sleep(WAVES_INTERVAL_S)

    def _replace_waves(self, rows: list[Row]) -> None:
        waves = {row.id.key: decode_wave(row.value) for row in rows}
        known = {key: wave for key, wave in waves.items() if wave is not None}
        if known != self.waves:
            self.waves = known
            self._on_change()

    async def _catch_up(self) -> None:
        """Get a version that is known, from peers that have it or else from its row."""
        while True:
            await self._newer_known.wait()
            self._newer_known = anyio.Event()
            pause_s = RETRY_PAUSE_S
            while self.is_behind:
                version = self.version
                verdict = await self._ask_peers()
                if verdict == FetchVerdict.BUSY:
                    await anyio.sleep(BUSY_PAUSE_S)
                    continue
                if self.version == version:
                    await self._read_row()
                if not self.is_behind:
                    break
                pause_s = RETRY_PAUSE_S if self.version > version else pause_s
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_PAUSE_MAX_S, 2 * pause_s)

    async def _ask_peers(self) -> FetchVerdict:
        """Request the content from peers that have a newer version in force.

        :return: verdict of the last request, ``CURRENT`` if there was none
        """
        verdict = FetchVerdict.CURRENT
        if self._mesh is not None and self._exchange is not None:
            unreadable = silent = 0
            for peer in rank_peers(self._mesh, self._newer.peers):
                version = self._newer.peers.get(peer, 0)
                if version <= self.version:
                    continue
                started_s = boot_time_s()
                fetch = await self._exchange.fetch(peer, self.version)
                is_received = fetch.verdict == FetchVerdict.RECEIVED
                reason = "" if is_received else fetch.verdict.value
                size_bytes = len(fetch.content)
                log_transfer("peer", started_s, size_bytes, reason, peer=peer)
                if is_received and not self._apply_config(fetch.content, peer=peer):
                    unreadable = max(unreadable, version)
                verdict = fetch.verdict
                silent += verdict == FetchVerdict.NO_ANSWER
                if silent >= SILENT_PEERS_LIMIT:
                    break
                if verdict == FetchVerdict.CURRENT:
                    # It has started again since, or was mistaken.
                    self._newer.peers.pop(peer, None)
            self._newer.forget_others(self._mesh.peers)
            if unreadable > self.version:
                # To receive it again would not help, nor to refuse calls for it.
                self._newer.give_up(unreadable)
        return verdict

    async def _read_row(self) -> None:
        """Read the row, unless it held nothing newer a short time ago."""
        started_s = boot_time_s()
        if started_s < self._row_due_at_s:
            return
        version = self.version
        try:
            row = await self._store.read_row(RowId(CONFIG_TABLE, "", CONFIG_KEY))
        except StoreUnavailableError as error:
            log_transfer("row", started_s, reason=str(error))
            log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
            return
        if row is not None:
            log_transfer("row", started_s, size_of([row]))
            self._apply_row(row)
        if self.version == version:
            self._row_due_at_s = boot_time_s() + ROW_PAUSE_S
            if not self._newer.peers:
                # The peer that had something newer is gone, and the store has not.
                self._newer.forget_all()

    async def _load_all(self) -> int:
        started_s = boot_time_s()
        rows, version = await self._store.read(CONFIG_TABLE, "")
        log_transfer("table", started_s, size_of(rows))
        for row in rows:
            self._apply_row(row)
        return version

    def _apply_row(self, row: Row) -> None:
        if row.id.part:
            return
        if row.id.key == CONFIG_KEY and not row.removed:
            self._apply_config(row.value, row_version=row.version)
        elif row.id.key.startswith(WAVE_PREFIX):
            wave = None if row.removed else decode_wave(row.value)
            if wave is None:
                self.waves.pop(row.id.key, None)
            else:
                self.waves[row.id.key] = wave
            self._on_change()

    def _apply_config(self, content: bytes, **source: object) -> bool:
        """Put a configuration in force if it is newer; return whether it can be read.

        :param content: content of the row, in which digests may stand for the keys
        :param source: fields for the log that tell where it comes from
        """
        version = decode_config_version(content)
        if version is not None and version <= self.version:
            return True
        config = decode_config(content)
        if config is None:
            log_event(Event.CONFIG_REJECTED, **source)
            return False
        self._remember_revoked(config)
        self.current = config
        self._content = redact_config(content)
        self.applied_at_s = boot_time_s()
        self._queues = QueueIndex(config.queues)
        self.caps.refresh()
        self.services |= {queue.service for queue in config.queues}
        log_event(
            Event.CONFIG_APPLIED,
            version=config.version,
            behind_s=round(self.behind_s, 3),
            queues=len(config.queues),
            organisations=len(config.organisations),
            keys=len(config.key_owners),
            **source,
        )
        for fault in config.faults[:MAX_LOGGED_FAULTS]:
            log_event(
                Event.CONFIG_ENTRY_INVALID,
                version=config.version,
                reason=fault,
                faults=len(config.faults),
            )
        self._newer.put_in_force(config.version)
        self._applied.set()
        self._applied = anyio.Event()
        self._on_change()
        return True

    def _remember_revoked(self, config: OperatorConfig) -> None:
        """Remember the keys that a newer version lacks, the newest of them."""
        known = dict(self.revoked_keys)
        if self.current is not None:
            known |= self.current.key_owners
        revoked = [item for item in known.items() if item[0] not in config.key_owners]
        self.revoked_keys = dict(revoked[-MAX_REVOKED_KEYS:])
