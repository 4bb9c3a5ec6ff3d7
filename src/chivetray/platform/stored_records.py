"""Decoding of the store rows that the operator and the workers write."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import orjson

from chivetray.addresses import read_address
from chivetray.organisations.keys import abbreviate_digest, digest_key
from chivetray.organisations.model import Organisation, Resources
from chivetray.platform.values import (
    MAX_CAPACITY,
    decode_object,
    read_list,
    read_number,
    read_text,
    read_whole_number,
)

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
WORKER_TABLE = "servers"
STATUS_TABLE = "status"

# Start of a configuration row's content in which digests stand for the keys, as peers
# exchange it. A row in the store is JSON, which never starts like this.
REDACTED_PREFIX = b"\0key digests\n"

# Limit on the name of an organisation, which is stored with each of its jobs.
NAME_LIMIT_CHARS = 200

STATE_READY = "ready"
STATE_DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, configured as a route.

    :ivar key: host and path prefix, which identify the queue across configurations
    :ivar service: pool of workers that run the jobs
    :ivar ticket_validity_ms: validity of the tickets that jobs of the queue need,
        0 for none
    :ivar public: whether callers need no key of an organisation
    """

    key: str
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 0
    ticket_validity_ms: int = 0
    public: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of VMs, which the operator's configuration calls a service.

    :ivar checks_admission: whether its workers refuse tasks that do not fit
    :ivar standby: whether its VMs are switched off and cost nothing
    """

    name: str
    checks_admission: bool
    standby: bool
    health_path: str = "/health"


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operator's configuration.

    :ivar organisations: organisations by name; empty if callers need no keys
    :ivar key_owners: name of the organisation by the digest of a key
    :ivar requires_keys: whether callers need keys; also true if every entry of an
        organisation is invalid, since otherwise a fault would open all routes
    :ivar faults: descriptions of the invalid entries of organisations, without keys
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    organisations: dict[str, Organisation] = field(default_factory=dict)
    key_owners: dict[bytes, str] = field(default_factory=dict)
    requires_keys: bool = False
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """State that a worker publishes in the store.

    :ivar incarnation: start of the worker in ms since 1970, which identifies its
        incarnation
    :ivar cpu_milli: capacity in thousandths of a core
    """

    worker_id: str
    service: str
    address: str
    zone: str
    draining: bool
    incarnation: int
    cpu_milli: int
    mem_mb: int
    gpu: int
    labels: tuple[str, ...]

    @property
    def rack(self) -> str:
        """Rack of the worker: the last label, after the kind; empty without one."""
        return self.labels[-1] if len(self.labels) > 1 else ""


@dataclass(frozen=True, slots=True)
class Wave:
    """A maintenance wave that the operator has ordered.

    :ivar machines: names of the VMs to maintain
    :ivar cap: number of VMs that may be down at once
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    cap: int


def decode_config_version(content: bytes) -> int | None:
    """Return the version of a configuration, ``None`` if it has none.

    It takes a tenth of the time of decoding all of it.

    :param content: content of the row, in which digests may stand for the keys
    """
    plain = decode_object(content.removeprefix(REDACTED_PREFIX))
    return read_whole_number(plain.get("Version")) if plain is not None else None


def decode_config(content: bytes) -> OperatorConfig | None:
    """Decode the operator's configuration, or return ``None`` when it is invalid.

    An invalid entry of an organisation does not make the configuration invalid.

    :param content: content of the row, in which digests may stand for the keys
    """
    has_digests = content.startswith(REDACTED_PREFIX)
    plain = decode_object(content.removeprefix(REDACTED_PREFIX))
    version = read_whole_number(plain.get("Version")) if plain is not None else None
    if plain is None or version is None:
        return None
    try:
        queues = tuple(_decode_queue(row) for row in plain.get("Routes") or [])
        pools = [_decode_pool(row) for row in plain.get("Services") or []]
        limits = _decode_limits(plain.get("Limits") or {})
        organisations = _OrganisationDecoder(has_digests)
        organisations.decode(plain.get("Tenants") or [])
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    by_name = {pool.name: pool for pool in pools}
    return OperatorConfig(
        version,
        queues,
        by_name,
        limits,
        organisations.found,
        organisations.key_owners(),
        bool(plain.get("Tenants")),
        tuple(organisations.faults),
    )


def decode_worker(worker_id: str, content: bytes) -> WorkerRecord | None:
    """Decode a worker's row, or return ``None`` when it is invalid or unusable."""
    plain = decode_object(content)
    # The identifier is sent in a header, which holds no control characters.
    if plain is None or not worker_id.isprintable():
        return None
    state, service = plain.get("State"), read_text(plain.get("Service"))
    address = read_address(plain.get("Address"))
    if state not in (STATE_READY, STATE_DRAINING) or service is None or address is None:
        return None
    capacity, labels = plain.get("Capacity"), plain.get("Labels")
    if not isinstance(capacity, dict) or not isinstance(labels, list):
        return None
    sizes = [
        read_whole_number(capacity.get(name, 0), MAX_CAPACITY)
        for name in ("Cpu", "MemMb", "Gpu")
    ]
    incarnation = read_whole_number(plain.get("born", 0))
    zone = read_text(plain.get("Zone", ""))
    if incarnation is None or zone is None:
        return None
    if not all(isinstance(label, str) for label in labels):
        return None
    cpu_milli, mem_mb, gpu = sizes
    if cpu_milli is None or mem_mb is None or gpu is None:
        return None
    return WorkerRecord(
        worker_id=worker_id,
        service=service,
        address=address,
        zone=zone,
        draining=state == STATE_DRAINING,
        incarnation=incarnation,
        cpu_milli=cpu_milli,
        mem_mb=mem_mb,
        gpu=gpu,
        labels=tuple(labels),
    )


def decode_wave(content: bytes) -> Wave | None:
    """Decode a wave, or return ``None`` when it is invalid."""
    plain = decode_object(content)
    if plain is None or not isinstance(plain.get("Machines"), list):
        return None
    number = read_whole_number(plain.get("Wave"))
    duration_s = read_number(plain.get("DurationS"))
    cap = read_whole_number(plain.get("Cap"))
    if number is None or duration_s is None or cap is None:
        return None
    machines = read_list(plain, "Machines")
    names = tuple(name for name in machines if isinstance(name, str))
    return Wave(number, names, duration_s, max(1, cap))


def encode_wave_status(completed: bool) -> bytes:
    """Encode the status of a wave for the operator."""
    return orjson.dumps({"State": "completed" if completed else "running"})


def _require_text(row: dict[str, Any], name: str) -> str:
    value = read_text(row.get(name))
    if value is None:
        raise ValueError(f"{name} is not a string")
    return value


def _decode_queue(row: dict[str, Any]) -> Queue:
    advice = row.get("Advice") or {}
    host, prefix = _require_text(row, "Host"), _require_text(row, "PathPrefix")
    return Queue(
        key=f"{host}{prefix}"[:200],
        name=read_text(row.get("Name")) or "",
        host=host.lower(),
        path_prefix=prefix,
        service=_require_text(row, "Service"),
        priority=int(row.get("Priority") or 0),
        max_attempts=int(row.get("MaxAttempts") or 1),
        stretch=float(row.get("Stretch") or 1.0),
        target_ms=int(row.get("TargetLatencyMs") or 0),
        timeout_ms=int(row.get("TimeoutMs") or 0),
        ticket_validity_ms=int(advice.get("ValidityMs") or 0),
        # Any other value, such as the string "false", must not open a route.
        public=row.get("Public") is True,
    )


def _decode_pool(row: dict[str, Any]) -> Pool:
    return Pool(
        name=_require_text(row, "Name"),
        checks_admission=bool(row.get("AdmissionCheck")),
        standby=bool(row.get("Standby")),
        health_path=read_text(row.get("HealthPath")) or "/health",
    )


def _decode_limits(row: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(row.get("HeaderBytes") or defaults.header_bytes),
        body_bytes=int(row.get("BodyBytes") or defaults.body_bytes),
        header_timeout_ms=int(row.get("HeaderTimeoutMs") or defaults.header_timeout_ms),
        idle_timeout_ms=int(row.get("IdleTimeoutMs") or defaults.idle_timeout_ms),
    )


def is_usable_key(key: Any) -> bool:
    """Return whether a key can be sent in a header."""
    return isinstance(key, str) and key.isprintable() and bool(key) and " " not in key


class _OrganisationDecoder:
    """Decodes organisations; what is invalid is left out and described.

    :ivar found: organisations by name
    :ivar faults: descriptions of what is invalid, without keys
    """

    def __init__(self, has_digests: bool):
        self.found: dict[str, Organisation] = {}
        self.faults: list[str] = []
        self._has_digests = has_digests
        self._claims: dict[bytes, set[str]] = {}

    def decode(self, rows: Any) -> None:
        """Decode all entries.

        :raises TypeError: if they are not a list
        """
        if not isinstance(rows, list):
            raise TypeError("the organisations are not a list")
        for number, row in enumerate(rows):
            self._decode_entry(row, f"organisation {number}")
        for digest, names in self._claims.items():
            if len(names) > 1:
                listed = ", ".join(sorted(names))
                key = abbreviate_digest(digest)
                self.faults.append(f"key {key} belongs to several: {listed}")

    def key_owners(self) -> dict[bytes, str]:
        """Return the owner of each key that belongs to one organisation only."""
        return {
            digest: next(iter(names))
            for digest, names in self._claims.items()
            if len(names) == 1
        }

    def _decode_entry(self, row: Any, place: str) -> None:
        name = row.get("Name") if isinstance(row, dict) else None
        if not isinstance(name, str) or not 0 < len(name) <= NAME_LIMIT_CHARS:
            self.faults.append(f"{place} has no valid name and is ignored")
            return
        if name in self.found:
            self.faults.append(f"{place} repeats the name {name} and is ignored")
            return
        place = f"{place} ({name})"
        cap = row.get("Cap") or {}
        if not isinstance(cap, dict):
            self.faults.append(f"the cap of {place} is not an object")
            cap = {}
        cpu_milli, mem_mb, gpu = (
            int(self._read_number(cap, field_name, place, is_integer=True))
            for field_name in ("Cpu", "MemMb", "Gpu")
        )
        weight_per_s = self._read_number(row, "Weight", place)
        resources = Resources(cpu_milli, mem_mb, gpu)
        self.found[name] = Organisation(name, weight_per_s, resources)
        keys = row.get("ApiKeys") or []
        if not isinstance(keys, list):
            self.faults.append(f"the keys of {place} are not a list")
            return
        for number, key in enumerate(keys):
            digest = self._read_digest(key)
            if digest is None:
                self.faults.append(f"key {number} of {place} is not a valid string")
            else:
                self._claims.setdefault(digest, set()).add(name)

    def _read_digest(self, key: Any) -> bytes | None:
        if not is_usable_key(key):
            return None
        return bytes.fromhex(key) if self._has_digests else digest_key(key.encode())

    def _read_number(
        self, row: dict[str, Any], name: str, place: str, is_integer: bool = False
    ) -> float:
        """Return a number; 0, which stands for none, if it is absent or invalid."""
        value = row.get(name)
        if value is None:
            return 0.0
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        is_valid = is_number and math.isfinite(value) and value >= 0
        if is_valid and (not is_integer or value == int(value)):
            return float(value)
        self.faults.append(f"{name} of {place} is not a valid number and counts as 0")
        return 0.0
