"""Sends one attempt at a request to an endpoint and reads the response."""

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
from chivetray.requests.models import CallerRequest, EndpointResponse, Header
from chivetray.results import ResultCode

ATTEMPT_HEADER = b"x-attempt-id"
REQUEST_HEADER = b"x-request-id"
NOT_RUN_HEADER = b"x-not-run"

REFUSAL_STATUS = 503
STATUSES_WITHOUT_BODY = (204, 304)

# Hop-by-hop headers, which are not forwarded.
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

# Headers of a caller that the entry replaces by its own.
_REWRITTEN_HEADERS = frozenset((ATTEMPT_HEADER, REQUEST_HEADER, b"content-length"))

# Decimal places of the timeout in the deadline header sent to an endpoint.
TIMEOUT_DECIMALS = 3

_CONNECTION_ERRORS = (
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
        """Handle a trace event of httpcore."""
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
    ) -> AsyncIterator[EndpointResponse]:
        """Send an attempt and yield the response.

        A response that fits the buffer is complete when it is yielded. The body
        of a larger one is read on inside the context.

        :param timeout_s: time limit until the response is complete or its buffer
            is full
        :param progress: updated as soon as bytes may have been sent, so that it
            is correct after a cancellation too
        :raises AttemptError: when no complete and valid response was received
        """
        pool = await self._connections.get_pool(vm, request.idempotent)
        lease = pool.acquire()
        raw_response: httpcore.Response | None = None
        try:
            with anyio.fail_after(timeout_s):
                endpoint_request = _build_request(
                    request, vm, attempt_id, timeout_s, self._settings, progress
                )
                raw_response = await lease.pool.handle_async_request(endpoint_request)
                response = await self._read_response(raw_response, request, attempt_id)
            yield response
        except TimeoutError as error:
            await pool.replace(lease)
            raise _timeout_error(vm, progress) from error
        except _CONNECTION_ERRORS as error:
            if progress.sent:
                await pool.replace(lease)
            raise _connection_error(vm, error, progress) from error
        finally:
            with anyio.CancelScope(shield=True):
                if raw_response is not None:
                    await raw_response.aclose()
                await pool.release(lease)

    async def _read_response(
        self, raw_response: httpcore.Response, request: CallerRequest, attempt_id: str
    ) -> EndpointResponse:
        headers = [(name.lower(), value) for name, value in raw_response.headers]
        _check_attempt_id(headers, request, attempt_id)
        _check_refusal(raw_response.status, headers)
        _check_framing(raw_response.status, headers, request)
        chunks = raw_response.stream.__aiter__()  # type: ignore[union-attr]
        body = bytearray()
        async for chunk in chunks:
            body += chunk
            if len(body) > self._settings.response_buffer_bytes:
                return EndpointResponse(
                    raw_response.status, headers, bytes(body), chunks
                )
        return EndpointResponse(raw_response.status, headers, bytes(body))


def _build_request(
    request: CallerRequest,
    vm: Vm,
    attempt_id: str,
    timeout_s: float,
    settings: RequestSettings,
    progress: SendProgress,
) -> httpcore.Request:
    deadline_header = settings.deadline_header.lower().encode()
    headers: list[Header] = [
        (name, value)
        for name, value in request.headers
        if name not in CONNECTION_HEADERS
        and name not in _REWRITTEN_HEADERS
        and name != deadline_header
    ]
    headers.append((deadline_header, str(round(timeout_s, TIMEOUT_DECIMALS)).encode()))
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


def _header_values(headers: list[Header], name: bytes) -> list[bytes]:
    return [value for key, value in headers if key == name]


def _check_attempt_id(
    headers: list[Header], request: CallerRequest, attempt_id: str
) -> None:
    """Reject a response that belongs to another attempt."""
    echoes = _header_values(headers, ATTEMPT_HEADER)
    if not echoes and request.service.attempt_echo is AttemptEcho.optional:
        return
    if echoes != [attempt_id.encode()]:
        message = "the response does not carry the attempt's identifier"
        raise AttemptError(ResultCode.ANSWER_CROSSED, message, sent=True)


def _check_refusal(status: int, headers: list[Header]) -> None:
    """Raise an error when the endpoint states that it did not run the request."""
    if status == REFUSAL_STATUS and _header_values(headers, NOT_RUN_HEADER) == [b"1"]:
        message = "the endpoint refused the request before running it"
        raise AttemptError(ResultCode.REFUSED_BY_ENDPOINT, message, sent=False)


def _check_framing(status: int, headers: list[Header], request: CallerRequest) -> None:
    """Reject a response whose end is indistinguishable from a lost connection."""
    if request.method == b"HEAD" or status in STATUSES_WITHOUT_BODY:
        return
    chunked = (
        b"chunked" in b",".join(_header_values(headers, b"transfer-encoding")).lower()
    )
    if not chunked and not _header_values(headers, b"content-length"):
        message = "the response has neither a content length nor chunked encoding"
        raise AttemptError(ResultCode.ANSWER_UNBOUNDED, message, sent=True)


def _timeout_error(vm: Vm, progress: SendProgress) -> AttemptError:
    if not progress.sent:
        message = f"endpoint {vm.name} could not be connected to within the time limit"
        return AttemptError(ResultCode.NOT_CONNECTED, message, sent=False)
    message = f"endpoint {vm.name} did not respond within the time limit"
    return AttemptError(ResultCode.OUTCOME_TIMEOUT, message, sent=True)


def _connection_error(vm: Vm, error: Exception, progress: SendProgress) -> AttemptError:
    reason = str(error) or type(error).__name__
    if not progress.sent:
        message = f"connecting to endpoint {vm.name} failed ({reason})"
        return AttemptError(ResultCode.NOT_CONNECTED, message, sent=False)
    message = f"the connection to endpoint {vm.name} failed after sending ({reason})"
    return AttemptError(ResultCode.OUTCOME_UNKNOWN, message, sent=True)
