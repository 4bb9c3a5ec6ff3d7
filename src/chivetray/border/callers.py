"""HTTP towards callers: reads requests, passes answers on."""

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
from chivetray.requests.handler import CutAnswerError, RequestHandler
from chivetray.requests.models import Answer, CallerRequest, Header
from chivetray.requests.routing import Router
from chivetray.results import ResultCode

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

KEY_HEADER = b"idempotency-key"
RESULT_HEADER = b"x-result-code"
RAN_HEADER = b"x-ran"

NO_SERVICE_LABEL = "none"
LONGEST_DEADLINE_S = 86400.0
REQUEST_ID_LIMIT_BYTES = 128

# Refused requests that an operator can still ask about.
RECENT_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """What an operator can learn about a request that was not answered."""

    request_id: str
    service: str
    code: ResultCode
    message: str
    revision: int


class RecentRequests:
    """The last requests that were refused or whose outcome is unknown."""

    def __init__(self) -> None:
        self._order: deque[str] = deque()
        self._requests: dict[str, FinishedRequest] = {}

    def add(self, request: FinishedRequest) -> None:
        """Remember a request and forget the oldest."""
        if request.request_id not in self._requests:
            self._order.append(request.request_id)
        self._requests[request.request_id] = request
        if len(self._order) > RECENT_LIMIT:
            del self._requests[self._order.popleft()]

    def get(self, request_id: str) -> FinishedRequest | None:
        """Return a request by its identifier."""
        return self._requests.get(request_id)


class HttpResponder:
    """Sends an answer over one HTTP exchange.

    :ivar started: whether the status line was sent
    :ivar message: sentence of the error that was sent
    """

    def __init__(self, send: Send, request_id: str, head: bool):
        self.started = False
        self.message = ""
        self._send = send
        self._request_id = request_id
        self._head = head

    async def send_answer(self, answer: Answer) -> None:
        """Send a whole answer, or stream it."""
        headers = [item for item in answer.headers if _is_passed_on(item)]
        headers.append((RESULT_HEADER, str(ResultCode.OK.number).encode()))
        headers.append((REQUEST_HEADER, self._request_id.encode("latin-1")))
        await self._start(answer.status, headers)
        if answer.rest is None:
            await self._body(answer.body, more=False)
            return
        await self._body(answer.body, more=True)
        async for chunk in answer.rest:
            await self._body(chunk, more=True)
        await self._body(b"", more=False)

    async def send_error(
        self, code: ResultCode, message: str, retry_after_s: float | None
    ) -> None:
        """Send an answer of the entry itself."""
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
        await self._start(code.http_status or 500, headers)
        await self._body(b"" if self._head else body, more=False)

    async def _start(self, status: int, headers: list[Header]) -> None:
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _body(self, body: bytes, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": more}
        )


def _is_passed_on(header: Header) -> bool:
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
        self.recent = RecentRequests()
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
        """Take over the services of a new revision."""
        self._router = Router(services.values())

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        headers: list[Header] = scope["headers"]
        request_id = _request_id(headers)
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
        except CutAnswerError as error:
            log_event(Event.ANSWER_CUT, request=request_id, reason=str(error))
            raise
        finally:
            self._buffered_bytes -= body_bytes
        if code is not ResultCode.OK:
            self._remember(request_id, service_name, code, responder.message)

    def _remember(
        self, request_id: str, service: str, code: ResultCode, message: str
    ) -> None:
        number = self._revisions.number
        finished = FinishedRequest(request_id, service, code, message, number)
        self.recent.add(finished)

    def _find_service(self, scope: Scope, headers: list[Header]) -> Service:
        if self._revisions.number == 0:
            message = "this entry has no configuration yet"
            raise RefusalError(ResultCode.NOT_READY, message, 1.0)
        host = _first(headers, b"host").decode("latin-1")
        raw_path = scope["raw_path"].decode("latin-1")
        service = self._router.find_service(host, raw_path)
        if service is None:
            message = f"no service has host {host!r} and path {raw_path!r}"
            raise RefusalError(ResultCode.NO_SERVICE, message)
        return service

    def _make_request(
        self, scope: Scope, headers: list[Header], request_id: str, service: Service
    ) -> CallerRequest:
        now_s = anyio.current_time()
        limit_s = self._limit_s(headers, service)
        target: bytes = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        team = _first(headers, self._team_header).decode("latin-1")
        return CallerRequest(
            request_id=request_id,
            service=service,
            team=self._admission.resolve_team(team),
            method=scope["method"].encode(),
            target=target,
            headers=headers,
            body=b"",
            received_at_s=now_s,
            deadline_s=now_s + limit_s,
            idempotent=scope["method"] in service.idempotent_methods,
            idempotency_key=_idempotency_key(headers),
        )

    def _limit_s(self, headers: list[Header], service: Service) -> float:
        given = _first(headers, self._deadline_header)
        if not given:
            return service.deadline_s
        try:
            limit_s = float(given)
        except ValueError:
            limit_s = math.nan
        if not 0 < limit_s <= LONGEST_DEADLINE_S:
            message = f"the time limit {given.decode('latin-1')!r} is not valid"
            raise RefusalError(ResultCode.BAD_DEADLINE, message)
        return limit_s

    async def _read_body(self, receive: Receive, headers: list[Header]) -> bytes:
        limit = self._settings.body_limit_bytes
        declared = _first(headers, b"content-length")
        if declared.isdigit() and int(declared) > limit:
            raise _body_too_large(limit)
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise RefusalError(ResultCode.BODY_INCOMPLETE, "the caller went away")
            body += message.get("body", b"")
            if len(body) > limit:
                raise _body_too_large(limit)
            if self._buffered_bytes + len(body) > self._settings.buffer_limit_bytes:
                message_text = "the memory for request bodies is in use"
                raise RefusalError(ResultCode.BUFFERS_FULL, message_text, 1.0)
            if not message.get("more_body", False):
                return bytes(body)


def _body_too_large(limit: int) -> RefusalError:
    message = f"the request body is larger than {limit} bytes"
    return RefusalError(ResultCode.BODY_TOO_LARGE, message)


def _first(headers: list[Header], name: bytes) -> bytes:
    """Return the first value of a header, or nothing."""
    return next((value for key, value in headers if key == name), b"")


def _request_id(headers: list[Header]) -> str:
    given = _first(headers, REQUEST_HEADER)
    if given and len(given) <= REQUEST_ID_LIMIT_BYTES:
        return given.decode("latin-1")
    return uuid.uuid4().hex


def _idempotency_key(headers: list[Header]) -> str | None:
    values = [value for key, value in headers if key == KEY_HEADER]
    if not values:
        return None
    key = values[0].decode("latin-1").strip()
    if len(values) > 1 or not key or len(key) > KEY_LIMIT_CHARACTERS:
        message = "the idempotency key is empty, doubled or too long"
        raise RefusalError(ResultCode.BAD_IDEMPOTENCY_KEY, message)
    return key
