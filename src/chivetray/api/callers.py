"""HTTP application for callers: reads requests and forwards responses."""

from __future__ import annotations

import json
import math
import uuid
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio

from chivetray.config import Config
from chivetray.events import Event, log_event
from chivetray.exceptions import RefusalError
from chivetray.fleet.revision import RevisionState
from chivetray.generated.objects import Service
from chivetray.metrics import Metrics
from chivetray.requests.admission import Admission
from chivetray.requests.attempt import (
    ATTEMPT_HEADER,
    CONNECTION_HEADERS,
    REQUEST_HEADER,
)
from chivetray.requests.claims import KEY_LIMIT_CHARACTERS
from chivetray.requests.handler import RequestHandler, TruncatedResponseError
from chivetray.requests.models import CallerRequest, EndpointResponse, Header
from chivetray.requests.routing import Router
from chivetray.results import ResultCode

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
RESULT_HEADER = b"x-result-code"
RAN_HEADER = b"x-ran"

NO_SERVICE_LABEL = "none"
MAX_DEADLINE_S = 86400.0
REQUEST_ID_LIMIT_BYTES = 128

# Failed requests that are kept for operators.
RECENT_FAILURES_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class FailedRequest:
    """A request whose result code is not OK, as shown to operators.

    :ivar revision: configuration revision under which the request failed
    """

    request_id: str
    service: str
    code: ResultCode
    message: str
    revision: int


class RecentFailures:
    """The most recent requests that were refused or have an unknown outcome."""

    def __init__(self) -> None:
        self._order: deque[str] = deque()
        self._requests: dict[str, FailedRequest] = {}

    def add(self, request: FailedRequest) -> None:
        """Add a request and drop the oldest one beyond the limit."""
        if request.request_id not in self._requests:
            self._order.append(request.request_id)
        self._requests[request.request_id] = request
        if len(self._order) > RECENT_FAILURES_LIMIT:
            del self._requests[self._order.popleft()]

    def get(self, request_id: str) -> FailedRequest | None:
        """Return a request by its identifier."""
        return self._requests.get(request_id)


class HttpResponder:
    """Sends the response of one HTTP exchange.

    :ivar started: whether the status line was sent
    :ivar message: message of the error response that was sent, if any
    """

    def __init__(self, send: Send, request_id: str, is_head_request: bool):
        self.started = False
        self.message = ""
        self._send = send
        self._request_id = request_id
        self._is_head_request = is_head_request

    async def send_response(self, response: EndpointResponse) -> None:
        """Send a response of an endpoint, streaming a body that is not complete."""
        headers = [item for item in response.headers if _is_forwarded(item)]
        headers.append((RESULT_HEADER, str(ResultCode.OK.number).encode()))
        headers.append((REQUEST_HEADER, self._request_id.encode("latin-1")))
        await self._send_start(response.status, headers)
        if response.remaining_body is None:
            await self._send_body(response.body, more=False)
            return
        await self._send_body(response.body, more=True)
        async for chunk in response.remaining_body:
            await self._send_body(chunk, more=True)
        await self._send_body(b"", more=False)

    async def send_error(
        self, code: ResultCode, message: str, retry_after_s: float | None
    ) -> None:
        """Send an error response of the entry itself."""
        self.message = message
        document = {
            "code": code.number,
            "name": code.name,
            "ran": code.ran.value,
            "message": message,
            "request_id": self._request_id,
        }
        body = json.dumps(document).encode() + b"\n"
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (RESULT_HEADER, str(code.number).encode()),
            (RAN_HEADER, code.ran.value.encode()),
            (REQUEST_HEADER, self._request_id.encode("latin-1")),
        ]
        if retry_after_s is not None:
            headers.append((b"retry-after", str(math.ceil(retry_after_s)).encode()))
        await self._send_start(code.http_status or 500, headers)
        await self._send_body(b"" if self._is_head_request else body, more=False)

    async def _send_start(self, status: int, headers: list[Header]) -> None:
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _send_body(self, body: bytes, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )


def _is_forwarded(header: Header) -> bool:
    name = header[0]
    return name not in CONNECTION_HEADERS and name not in (
        ATTEMPT_HEADER,
        REQUEST_HEADER,
        RESULT_HEADER,
        RAN_HEADER,
    )


class CallerApp:
    """ASGI application on the callers' port."""

    def __init__(
        self,
        config: Config,
        revisions: RevisionState,
        admission: Admission,
        handler: RequestHandler,
        metrics: Metrics,
    ):
        self.recent_failures = RecentFailures()
        self._settings = config.requests
        self._deadline_header = config.requests.deadline_header.lower().encode()
        self._team_header = config.requests.team_header.lower().encode()
        self._revisions = revisions
        self._admission = admission
        self._handler = handler
        self._metrics = metrics
        self._router = Router(())
        self._buffered_bytes = 0

    def set_services(self, services: dict[str, Service]) -> None:
        """Replace the services by those of a new revision."""
        self._router = Router(services.values())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        headers: list[Header] = scope["headers"]
        request_id = _read_request_id(headers)
        responder = HttpResponder(send, request_id, scope["method"] == "HEAD")
        body_bytes = 0
        service_name = NO_SERVICE_LABEL
        try:
            service = self._find_service(scope, headers)
            service_name = service.name
            request = self._make_request(scope, headers, request_id, service)
            request.body = await self._read_body(receive, headers)
            body_bytes = len(request.body)
            self._buffered_bytes += body_bytes
            code = await self._handler.handle(request, responder)
        except RefusalError as error:
            code = error.code
            self._metrics.record_result(service_name, code)
            self._metrics.record_refusal(service_name, code)
            await responder.send_error(code, error.message, error.retry_after_s)
        except TruncatedResponseError as error:
            log_event(Event.ANSWER_CUT, request=request_id, reason=str(error))
            raise
        finally:
            self._buffered_bytes -= body_bytes
        if code is not ResultCode.OK:
            self._record_failure(request_id, service_name, code, responder.message)

    def _record_failure(
        self, request_id: str, service: str, code: ResultCode, message: str
    ) -> None:
        revision = self._revisions.number
        failed_request = FailedRequest(request_id, service, code, message, revision)
        self.recent_failures.add(failed_request)

    def _find_service(self, scope: Scope, headers: list[Header]) -> Service:
        if self._revisions.number == 0:
            message = "this entry has not loaded a configuration yet"
            raise RefusalError(ResultCode.NOT_READY, message, 1.0)
        host = _first_value(headers, b"host").decode("latin-1")
        raw_path = scope["raw_path"].decode("latin-1")
        service = self._router.find_service(host, raw_path)
        if service is None:
            message = f"no service matches host {host!r} and path {raw_path!r}"
            raise RefusalError(ResultCode.NO_SERVICE, message)
        return service

    def _make_request(
        self, scope: Scope, headers: list[Header], request_id: str, service: Service
    ) -> CallerRequest:
        now_s = anyio.current_time()
        time_limit_s = self._read_time_limit_s(headers, service)
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        team = _first_value(headers, self._team_header).decode("latin-1")
        return CallerRequest(
            request_id=request_id,
            service=service,
            team=self._admission.resolve_team(team),
            method=scope["method"].encode(),
            target=target,
            headers=headers,
            body=b"",
            received_at_s=now_s,
            deadline_s=now_s + time_limit_s,
            idempotent=scope["method"] in service.idempotent_methods,
            idempotency_key=_read_idempotency_key(headers),
        )

    def _read_time_limit_s(self, headers: list[Header], service: Service) -> float:
        value = _first_value(headers, self._deadline_header)
        if not value:
            return service.deadline_s
        try:
            time_limit_s = float(value)
        except ValueError:
            time_limit_s = math.nan
        if not 0 < time_limit_s <= MAX_DEADLINE_S:
            message = f"the time limit {value.decode('latin-1')!r} is not valid"
            raise RefusalError(ResultCode.BAD_DEADLINE, message)
        return time_limit_s

    async def _read_body(self, receive: Receive, headers: list[Header]) -> bytes:
        limit_bytes = self._settings.body_limit_bytes
        declared = _first_value(headers, b"content-length")
        if declared.isdigit() and int(declared) > limit_bytes:
            raise _body_too_large(limit_bytes)
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise RefusalError(
                    ResultCode.BODY_INCOMPLETE, "the caller disconnected"
                )
            body += event.get("body", b"")
            if len(body) > limit_bytes:
                raise _body_too_large(limit_bytes)
            if self._buffered_bytes + len(body) > self._settings.buffer_limit_bytes:
                message = "the memory for request bodies is exhausted"
                raise RefusalError(ResultCode.BUFFERS_FULL, message, 1.0)
            if not event.get("more_body", False):
                return bytes(body)


def _body_too_large(limit_bytes: int) -> RefusalError:
    message = f"the request body is larger than {limit_bytes} bytes"
    return RefusalError(ResultCode.BODY_TOO_LARGE, message)


def _first_value(headers: list[Header], name: bytes) -> bytes:
    """Return the first value of a header, or ``b""`` without one."""
    return next((value for key, value in headers if key == name), b"")


def _read_request_id(headers: list[Header]) -> str:
    value = _first_value(headers, REQUEST_HEADER)
    if value and len(value) <= REQUEST_ID_LIMIT_BYTES:
        return value.decode("latin-1")
    return uuid.uuid4().hex


def _read_idempotency_key(headers: list[Header]) -> str | None:
    values = [value for key, value in headers if key == IDEMPOTENCY_KEY_HEADER]
    if not values:
        return None
    key = values[0].decode("latin-1").strip()
    if len(values) > 1 or not key or len(key) > KEY_LIMIT_CHARACTERS:
        message = "the idempotency key is empty, repeated or too long"
        raise RefusalError(ResultCode.BAD_IDEMPOTENCY_KEY, message)
    return key
