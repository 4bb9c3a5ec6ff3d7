"""HTTP application for operators and the load balancer: health, metrics, status."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(slots=True)
class PeerStatus:
    """Another entry, as this entry knows it."""

    name: str
    zone: str
    revision: int
    leaving: bool


@dataclass(slots=True)
class EntryStatus:
    """State of one entry.

    :ivar platform_answers: whether the platform currently answers this entry
    :ivar in_flight: slots in use
    :ivar waiting: requests that wait for a slot
    :ivar zone_entries: live entries of the zone that share its endpoints
    :ivar ejected: endpoints that are ejected or being probed
    :ivar unavailable: endpoints that are leaving, gone or drained
    """

    name: str
    zone: str
    ready: bool
    leaving: bool
    revision: int
    platform_answers: bool
    in_flight: int
    waiting: int
    zone_entries: list[str]
    peers: list[PeerStatus] = field(default_factory=list)
    ejected: list[str] = field(default_factory=list)
    unavailable: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class OperatorViews:
    """Functions that supply what the operators' port shows.

    :ivar is_ready: whether the load balancer should send callers here
    :ivar metrics: returns the metrics in the text format of Prometheus
    :ivar explain: returns lines about the object or request of a name
    :ivar settings: returns the effective settings
    """

    is_ready: Callable[[], bool]
    status: Callable[[], EntryStatus]
    metrics: Callable[[], bytes]
    explain: Callable[[str], list[str]]
    settings: Callable[[], list[tuple[str, Any, str]]]


def create_operators_app(views: OperatorViews) -> Starlette:
    """Return the ASGI application on the operators' port."""

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def readyz(request: Request) -> Response:
        ready = views.is_ready()
        return PlainTextResponse(
            "ready\n" if ready else "not ready\n", 200 if ready else 503
        )

    async def metrics(request: Request) -> Response:
        return Response(views.metrics(), media_type=METRICS_TYPE)

    async def status(request: Request) -> Response:
        return JSONResponse(asdict(views.status()))

    async def explain(request: Request) -> Response:
        return JSONResponse({"lines": views.explain(request.query_params["name"])})

    async def settings(request: Request) -> Response:
        return JSONResponse({"settings": views.settings()})

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/metrics", metrics),
            Route("/status", status),
            Route("/explain", explain),
            Route("/settings", settings),
        ]
    )
