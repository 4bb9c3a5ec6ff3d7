"""Follows the operator's configuration in the store; its version never goes back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from chivetray.cells.caps import CapRegister
from chivetray.cells.tables import PART_QUEUE_CHARS
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
    decode_wave,
)

# Time that one call waits at the feed of changes. A feed that does not answer is
# detected after this time and the slack of a call, within the bound of 2 s for a
# change.
FEED_WAIT_MS = 700

RETRY_PAUSE_S = 0.2
RETRY_PAUSE_MAX_S = 2.0

# Time that the row may take to be read, also through a peer, before the content is
# requested from a peer that has it. A slow store takes 0.24 s, and a change has to be
# in force within 3 s.
ROW_READ_LIMIT_S = 0.5

CONTENT_CALL = "configuration"

# Keys of earlier versions that are remembered to tell revoked keys from unknown ones.
MAX_REVOKED_KEYS = 1000

# Invalid entries of one version that are logged.
MAX_LOGGED_FAULTS = 20


class Configuration:
    """The newest configuration that this process has read, and the maintenance waves.

    :param on_change: called after a new configuration or a change of a wave
    :ivar current: configuration in force, ``None`` before the first one
    :ivar waves: maintenance waves by the key of their row
    :ivar caps: last known caps of organisations
    :ivar services: services of all configurations since the start
    :ivar revoked_keys: name of the organisation by the digest of a key that an earlier
        version had and the one in force has not
    """

    def __init__(self, store: Store, on_change: Callable[[], None]):
        self.current: OperatorConfig | None = None
        self.applied_at_s = 0.0
        self.waves: dict[str, Wave] = {}
        self.services: set[str] = set()
        self.revoked_keys: dict[bytes, str] = {}
        self.caps = CapRegister(lambda: self.current)
        self._store = store
        self._on_change = on_change
        self._mesh: Mesh | None = None
        self._content = b""
        self._newer_peers: dict[str, int] = {}
        self._known_version = 0
        self._behind_since_s = 0.0
        self._version = 0
        self._queues: list[Queue] = []
        self._refresh_requested = anyio.Event()

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        return self.current.version if self.current else 0

    def connect(self, mesh: Mesh) -> None:
        """Exchange the content of the configuration with the peers of a mesh."""
        self._mesh = mesh
        mesh.handlers[CONTENT_CALL] = self._handle_content_request

    @property
    def behind_s(self) -> float:
        """Time since a newer version is known than the one in force, 0 if none is."""
        return boot_time_s() - self._behind_since_s if self._behind_since_s else 0.0

    def note_peer_version(self, version: int, peer: str = "") -> None:
        """Read the configuration soon if a peer has a newer version in force.

        :param peer: peer to ask for its content if the row cannot be read
        """
        if version > self.version:
            self._note_known(version, peer)
            if peer:
                self._newer_peers[peer] = version
            self._refresh_requested.set()

    def _note_known(self, version: int, peer: str) -> None:
        if version <= self._known_version:
            return
        self._known_version = version
        self._behind_since_s = self._behind_since_s or boot_time_s()
        log_event(Event.CONFIG_BEHIND, version=self.version, known=version, peer=peer)

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
                started_s = boot_time_s()
                changes = await self._store.changes(
                    CONFIG_TABLE, self._version, FEED_WAIT_MS
                )
            except StoreUnavailableError as error:
                _log_transfer("feed", started_s, reason=str(error))
                log_event(Event.CONFIG_SILENT, reason=str(error), version=self.version)
                is_loaded = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if changes.history_gone:
                is_loaded = False
                continue
            self._version = changes.version
            if changes.rows:
                _log_transfer("feed", started_s, _size_of(changes.rows))
            for row in changes.rows:
                self._apply_row(row)

    async def _refresh_on_demand(self) -> None:
        """Get the configuration whenever a peer has a newer one."""
        pause_s = RETRY_PAUSE_S
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested = anyio.Event()
            version = self.version
            is_read = await self._read_row_again()
            await self._ask_peers()
            if self._newer_peers or not is_read:
                pause_s = RETRY_PAUSE_S if self.version > version else pause_s
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_PAUSE_MAX_S, 2 * pause_s)
            else:
                pause_s = RETRY_PAUSE_S
            if self._newer_peers:
                self._refresh_requested.set()

    async def _read_row_again(self) -> bool:
        """Read the row; return whether the store has answered in time."""
        reason = "the row is not read in time"
        started_s = boot_time_s()
        with anyio.move_on_after(ROW_READ_LIMIT_S):
            try:
                row = await self._store.read_row(RowId(CONFIG_TABLE, "", CONFIG_KEY))
                if row is not None:
                    _log_transfer("row", started_s, _size_of([row]))
                    self._apply_row(row)
                return True
            except StoreUnavailableError as error:
                reason = str(error)
        _log_transfer("row", started_s, reason=reason)
        log_event(Event.CONFIG_SILENT, reason=reason, version=self.version)
        return False

    async def _ask_peers(self) -> None:
        """Request the content from the peers that have a newer version in force."""
        for peer in sorted(
            self._newer_peers, key=lambda name: -self._newer_peers[name]
        ):
            if self._mesh is None or peer not in self._mesh.peers:
                self._newer_peers.pop(peer, None)
            elif self._newer_peers.get(peer, 0) > self.version:
                started_s = boot_time_s()
                content = await self._mesh.call(peer, CONTENT_CALL, self.version)
                if isinstance(content, bytes):
                    _log_transfer("peer", started_s, len(content), peer=peer)
                    self._apply_config(content, peer=peer)
                else:
                    _log_transfer("peer", started_s, reason="no content", peer=peer)
        self._newer_peers = {
            peer: version
            for peer, version in self._newer_peers.items()
            if version > self.version
        }

    async def _handle_content_request(self, peer: str, version: Any) -> Any:
        """Return the content in force if it is newer than a version."""
        if not isinstance(version, int) or self.version <= version:
            return None
        log_event(Event.CONFIG_SENT, peer=peer, version=self.version, before=version)
        return self._content

    async def _load_all(self) -> int:
        started_s = boot_time_s()
        rows, version = await self._store.read(CONFIG_TABLE, "")
        _log_transfer("table", started_s, _size_of(rows))
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

    def _apply_config(self, content: bytes, **source: object) -> None:
        """Put a configuration in force if it is newer.

        :param content: content of the row, in which digests may stand for the keys
        :param source: fields for the log that tell where it comes from
        """
        config = decode_config(content)
        if config is None:
            log_event(Event.CONFIG_REJECTED, **source)
            return
        if config.version <= self.version:
            return
        self._remember_revoked(config)
        self.current = config
        self._content = redact_config(content)
        self.applied_at_s = boot_time_s()
        self._queues = sorted(config.queues, key=lambda queue: -len(queue.path_prefix))
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
        if config.version >= self._known_version:
            self._behind_since_s = 0.0
        self._on_change()

    def _remember_revoked(self, config: OperatorConfig) -> None:
        """Remember the keys that a newer version lacks, the newest of them."""
        known = dict(self.revoked_keys)
        if self.current is not None:
            known |= self.current.key_owners
        revoked = [item for item in known.items() if item[0] not in config.key_owners]
        self.revoked_keys = dict(revoked[-MAX_REVOKED_KEYS:])


def _log_transfer(
    way: str, started_s: float, size_bytes: int = 0, reason: str = "", **fields: str
) -> None:
    """Log the end of an attempt to get a version.

    :param way: ``feed``, ``row``, ``table`` or ``peer``
    :param reason: why the attempt failed, empty if it did not
    """
    log_event(
        Event.CONFIG_TRANSFER,
        way=way,
        verdict="failed" if reason else "received",
        took_s=round(boot_time_s() - started_s, 3),
        size_bytes=size_bytes,
        **({"reason": reason} if reason else {}),
        **fields,
    )


def _size_of(rows: list[Row]) -> int:
    return sum(len(row.value) for row in rows)
