"""Requests and answers on their way through an entry."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from chivetray.generated.objects import Service

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class CallerRequest:
    """A request of a caller, read completely.

    :ivar target: path and query as the caller sent them
    :ivar deadline_s: time at which the answer has to be there, on the clock of
        :func:`anyio.current_time`
    :ivar idempotency_key: key of a non-idempotent request, if the caller gave one
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
class Answer:
    """An answer of an endpoint.

    :ivar body: the whole body, or its beginning when ``rest`` is set
    :ivar rest: the remaining chunks of a body that is too large to hold
    """

    status: int
    headers: list[Header]
    body: bytes
    rest: AsyncIterator[bytes] | None = None


@dataclass(slots=True)
class AttemptRecord:
    """What has happened to a request so far.

    :ivar sent: whether any byte may have reached an endpoint
    :ivar endpoints: endpoints that were tried
    """

    sent: bool = False
    attempts: int = 0
    endpoints: set[str] = field(default_factory=set)
