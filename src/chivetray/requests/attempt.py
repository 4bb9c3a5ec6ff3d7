"""Sends one attempt at a request to an endpoint and reads its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import httpcore

from chivetray.exceptions import AttemptError
from chivetray.generated.objects import AttemptEcho, Vm
from chivetray.generated.settings import RequestSettings
from chivetray.requests.connections import EndpointConnections
from chivetray.requests.models import Answer, CallerRequest, Header
from chivetray.results import ResultCode

ATTEMPT_HEADER = b"x-attempt-id"
REQUEST_HEADER = b"x-request-id"
NOT_RUN_HEADER = b"x-not-run"

REFUSAL_STATUS = 503
STATUSES_WITHOUT_BODY = (204, 304)

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

_OWN_HEADERS = frozenset((ATTEMPT_HEADER, REQUEST_HEADER, b"content-length"))

# Decimal places of the time limit that is passed on to an endpoint.
LIMIT_DIGITS = 3

_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@dataclass(slots=True)
class SendProgress:
    """Whether any byte of an attempt may have left this process."""

    sent: bool = False

    async def trace(self, event: str, info: Any) -> None:
        """Note the events of the HTTP client."""
        if event == "http11.send_request_headers.started":
            self.sent = True


class AttemptSender:
    """Sends attempts over pooled connections."""

    def __init__(self, settings: RequestSettings, connections: EndpointConnections):
        self._settings = settings
        self._connections = connections

    @asynccontextmanager
    async def send(
        self,
        request: CallerRequest,
        vm: Vm,
        attempt_id: str,
        timeout_s: float,
        progress: SendProgress,
    ) -> AsyncIterator[Answer]:
        """Send an attempt and yield the answer.

        A small answer is complete when it is yielded. Of a larger one the rest
        is read inside the context.

        :param timeout_s: time limit until the answer is complete, or until its
            rest begins
        :param progress: is set as soon as bytes may have been sent, so that it
            is right after a cancellation too
        :raises AttemptError: when no whole answer came
        """
        connections = await self._connections.pool(vm, request.idempotent)
        lease = connections.take()
        response: httpcore.Response | None = None
        try:
            with anyio.fail_after(timeout_s):
                message = _build_request(
                    request, vm, attempt_id, timeout_s, self._settings, progress
                )
                response = await lease.pool.handle_async_request(message)
                answer = await self._read_answer(response, request, attempt_id)
            yield answer
        except TimeoutError as error:
            await connections.renew(lease)
            raise _timed_out(vm, progress) from error
        except _BROKEN as error:
            if progress.sent:
                await connections.renew(lease)
            raise _broken(vm, error, progress) from error
        finally:
            with anyio.CancelScope(shield=True):
                if response is not None:
                    await response.aclose()
                await connections.release(lease)

    async def _read_answer(
        self, response: httpcore.Response, request: CallerRequest, attempt_id: str
    ) -> Answer:
        headers = [(name.lower(), value) for name, value in response.headers]
        _check_echo(headers, request, attempt_id)
        _check_refusal(response.status, headers)
        _check_bounded(response.status, headers, request)
        chunks = response.stream.__aiter__()  # type: ignore[union-attr]
        body = bytearray()
        async for chunk in chunks:
            body += chunk
            if len(body) > self._settings.response_buffer_bytes:
                return Answer(response.status, headers, bytes(body), chunks)
        return Answer(response.status, headers, bytes(body))


def _build_request(
    request: CallerRequest,
    vm: Vm,
    attempt_id: str,
    timeout_s: float,
    settings: RequestSettings,
    progress: SendProgress,
) -> httpcore.Request:
    limit_header = settings.deadline_header.lower().encode()
    headers: list[Header] = [
        (name, value)
        for name, value in request.headers
        if name not in CONNECTION_HEADERS
        and name not in _OWN_HEADERS
        and name != limit_header
    ]
    headers.append((limit_header, str(round(timeout_s, LIMIT_DIGITS)).encode()))
    headers.append((ATTEMPT_HEADER, attempt_id.encode()))
    headers.append((REQUEST_HEADER, request.request_id.encode("latin-1")))
    if request.body or request.method not in (b"GET", b"HEAD", b"OPTIONS"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    url = httpcore.URL(
        scheme=b"http", host=vm.address.encode(), port=vm.port, target=request.target
    )
    extensions = {
        "timeout": {
            "connect": settings.connect_timeout_s,
            "pool": settings.connect_timeout_s,
        },
        "trace": progress.trace,
    }
    return httpcore.Request(
        request.method,
        url,
        headers=headers,
        content=request.body,
        extensions=extensions,
    )


def _values(headers: list[Header], name: bytes) -> list[bytes]:
    return [value for key, value in headers if key == name]


def _check_echo(headers: list[Header], request: CallerRequest, attempt_id: str) -> None:
    """Refuse an answer that belongs to another attempt."""
    echoes = _values(headers, ATTEMPT_HEADER)
    if not echoes and request.service.attempt_echo is AttemptEcho.optional:
        return
    if echoes != [attempt_id.encode()]:
        message = "the answer does not carry the identifier of the attempt"
        raise AttemptError(ResultCode.ANSWER_CROSSED, message, sent=True)


def _check_refusal(status: int, headers: list[Header]) -> None:
    """Recognise an endpoint's statement that it did not run the request."""
    if status == REFUSAL_STATUS and _values(headers, NOT_RUN_HEADER) == [b"1"]:
        message = "the endpoint refused the request before running it"
        raise AttemptError(ResultCode.REFUSED_BY_ENDPOINT, message, sent=False)


def _check_bounded(status: int, headers: list[Header], request: CallerRequest) -> None:
    """Refuse an answer whose end cannot be told from a lost connection."""
    if request.method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return
    chunked = b"chunked" in b",".join(_values(headers, b"transfer-encoding")).lower()
    if not chunked and not _values(headers, b"content-length"):
        message = "the answer has neither a length nor chunks"
        raise AttemptError(ResultCode.ANSWER_UNBOUNDED, message, sent=True)


def _timed_out(vm: Vm, progress: SendProgress) -> AttemptError:
    if not progress.sent:
        message = f"endpoint {vm.name} could not be connected to in time"
        return AttemptError(ResultCode.NOT_CONNECTED, message, sent=False)
    message = f"endpoint {vm.name} did not answer in time"
    return AttemptError(ResultCode.OUTCOME_TIMEOUT, message, sent=True)


def _broken(vm: Vm, error: Exception, progress: SendProgress) -> AttemptError:
    reason = str(error) or type(error).__name__
    if not progress.sent:
        message = f"endpoint {vm.name} cannot be connected to ({reason})"
        return AttemptError(ResultCode.NOT_CONNECTED, message, sent=False)
    message = f"endpoint {vm.name} broke the connection ({reason})"
    return AttemptError(ResultCode.OUTCOME_UNKNOWN, message, sent=True)
