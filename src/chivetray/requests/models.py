"""Requests and responses that an entry handles."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from chivetray.generated.objects import Service

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller.

    :ivar target: path and query as the caller sent them
    :ivar body: the whole body
    :ivar deadline_s: time by which the caller expects the response, on the clock
        of :func:`anyio.current_time`
    :ivar idempotency_key: value of the caller's idempotency key header, if any
    """

    request_id: str
    service: Service
    team: str
    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    received_at_s: float
    deadline_s: float
    idempotent: bool
    idempotency_key: str | None = None


@dataclass(slots=True)
class EndpointResponse:
    """A response of an endpoint.

    :ivar body: the whole body, or its beginning when ``remaining_body`` is set
    :ivar remaining_body: the remaining chunks of a body that is too large to buffer
    """

    status: int
    headers: list[Header]
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None


@dataclass(slots=True)
class AttemptRecord:
    """Attempts that were made at a request.

    :ivar sent: whether any byte of the request may have reached an endpoint
    :ivar endpoints: names of the endpoints that were tried
    """

    sent: bool = False
    attempts: int = 0
    endpoints: set[str] = field(default_factory=set)
