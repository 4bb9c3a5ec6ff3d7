"""Decoding of the store rows that the operator and the workers write."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from chivetray.organisations.model import Organisation

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
WORKER_TABLE = "servers"
STATUS_TABLE = "status"

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
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict[str, Pool] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    organisations: dict[str, Organisation] = field(default_factory=dict)
    key_owners: dict[bytes, str] = field(default_factory=dict)


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


def decode_config(content: bytes) -> OperatorConfig | None:
    """Decode the operator's configuration, or return ``None`` when it is invalid."""
    plain = _decode_object(content)
    if plain is None or not isinstance(plain.get("Version"), int):
        return None
    try:
        queues = tuple(_decode_queue(row) for row in plain.get("Routes") or [])
        pools = [_decode_pool(row) for row in plain.get("Services") or []]
        limits = _decode_limits(plain.get("Limits") or {})
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    by_name = {pool.name: pool for pool in pools}
    return OperatorConfig(plain["Version"], queues, by_name, limits)


def decode_worker(worker_id: str, content: bytes) -> WorkerRecord | None:
    """Decode a worker's row, or return ``None`` when it is invalid or unusable."""
    plain = _decode_object(content)
    if plain is None:
        return None
    state, service, address = (
        plain.get(key) for key in ("State", "Service", "Address")
    )
    capacity, labels, incarnation = (
        plain.get(key) for key in ("Capacity", "Labels", "born")
    )
    if state not in (STATE_READY, STATE_DRAINING):
        return None
    if not isinstance(service, str) or not _is_address(address):
        return None
    if not isinstance(capacity, dict) or not isinstance(labels, list):
        return None
    sizes = [capacity.get(name, 0) for name in ("Cpu", "MemMb", "Gpu")]
    if not all(isinstance(size, int) and size >= 0 for size in sizes):
        return None
    if not all(isinstance(label, str) for label in labels):
        return None
    return WorkerRecord(
        worker_id=worker_id,
        service=service,
        address=str(address),
        zone=str(plain.get("Zone") or ""),
        draining=state == STATE_DRAINING,
        incarnation=incarnation if isinstance(incarnation, int) else 0,
        cpu_milli=sizes[0],
        mem_mb=sizes[1],
        gpu=sizes[2],
        labels=tuple(labels),
    )


def decode_wave(content: bytes) -> Wave | None:
    """Decode a wave, or return ``None`` when it is invalid."""
    plain = _decode_object(content)
    if plain is None:
        return None
    number, machines = plain.get("Wave"), plain.get("Machines")
    duration, cap = plain.get("DurationS"), plain.get("Cap")
    if not isinstance(number, int) or not isinstance(machines, list):
        return None
    if not isinstance(duration, int | float) or not isinstance(cap, int):
        return None
    names = tuple(name for name in machines if isinstance(name, str))
    return Wave(number, names, float(duration), max(1, cap))


def encode_wave_status(completed: bool) -> bytes:
    """Encode the status of a wave for the operator."""
    return orjson.dumps({"State": "completed" if completed else "running"})


def _decode_object(content: bytes) -> dict[str, Any] | None:
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError:
        return None
    return plain if isinstance(plain, dict) else None


def _is_address(value: Any) -> bool:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    return bool(host) and port.isdigit()


def _decode_queue(row: dict[str, Any]) -> Queue:
    advice = row.get("Advice") or {}
    host, prefix = str(row["Host"]), str(row["PathPrefix"])
    return Queue(
        key=f"{host}{prefix}"[:200],
        name=str(row.get("Name") or ""),
        host=host.lower(),
        path_prefix=prefix,
        service=str(row["Service"]),
        priority=int(row.get("Priority") or 0),
        max_attempts=int(row.get("MaxAttempts") or 1),
        stretch=float(row.get("Stretch") or 1.0),
        target_ms=int(row.get("TargetLatencyMs") or 0),
        timeout_ms=int(row.get("TimeoutMs") or 0),
        ticket_validity_ms=int(advice.get("ValidityMs") or 0),
    )


def _decode_pool(row: dict[str, Any]) -> Pool:
    return Pool(
        name=str(row["Name"]),
        checks_admission=bool(row.get("AdmissionCheck")),
        standby=bool(row.get("Standby")),
        health_path=str(row.get("HealthPath") or "/health"),
    )


def _decode_limits(row: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(row.get("HeaderBytes") or defaults.header_bytes),
        body_bytes=int(row.get("BodyBytes") or defaults.body_bytes),
        header_timeout_ms=int(row.get("HeaderTimeoutMs") or defaults.header_timeout_ms),
        idle_timeout_ms=int(row.get("IdleTimeoutMs") or defaults.idle_timeout_ms),
    )
