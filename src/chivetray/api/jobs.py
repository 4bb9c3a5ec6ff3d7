"""HTTP application for callers that submit jobs."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from chivetray.api.access import AccessCheck
from chivetray.cells.configuration import Configuration
from chivetray.cells.job_answers import JobAnswer
from chivetray.cells.job_service import JobService
from chivetray.manager_metrics import ManagerMetrics
from chivetray.platform.caller_keys import CHALLENGE
from chivetray.platform.submissions import STATE_NAMES, is_job_id
from chivetray.results import ResultCode

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

DEADLINE_HEADER = b"chivetray-deadline-ms"

# Timeout of a request for which neither the caller nor the queue sets one.
DEFAULT_TIMEOUT_S = 3.0

# Subtracted from the timeout so that the response reaches the caller in time.
RESPONSE_MARGIN_S = 0.15


# Time for which calls are served by a configuration of which a newer version is known,
# as long as it does not refuse them.
OUTDATED_LIMIT_S = 1.0

# Time that a call waits for the newer version, and the delay after which a caller may
# retry when it has not come into force meanwhile.
OUTDATED_WAIT_S = 0.5
OUTDATED_RETRY_AFTER_S = 1.0


class BodyTooLargeError(Exception):
    """A request body is larger than the configured limit."""


class JobsApp:
    """ASGI application on the callers' port of a manager.

    :ivar closing: whether connections are closed after their next response
    """

    def __init__(
        self,
        configuration: Configuration,
        job_service: JobService,
        metrics: ManagerMetrics,
    ):
        self.closing = False
        self._configuration = configuration
        self._job_service = job_service
        self._metrics = metrics
        self._access = AccessCheck(configuration, metrics)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            answer = await self._handle(scope, receive)
        except BodyTooLargeError:
            answer = JobAnswer(
                ResultCode.BODY_TOO_LARGE, "the request body is too large"
            )
        await self._send(answer, send)

    async def _handle(self, scope: Scope, receive: Receive) -> JobAnswer:
        config = self._configuration.current
        if config is None:
            return JobAnswer(
                ResultCode.NOT_READY, "no configuration was loaded yet", 1.0
            )
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1")
        path = scope["path"]
        if not await self._wait_until_current(host, path, scope["headers"]):
            return JobAnswer(
                ResultCode.CONFIG_OUTDATED,
                "a newer configuration is known and not in force here yet",
                OUTDATED_RETRY_AFTER_S,
            )
        config = self._configuration.current or config
        queue = self._configuration.find_queue(host, path)
        method = scope["method"]
        if queue is None:
            return JobAnswer(ResultCode.NO_QUEUE, "no queue matches this host and path")
        access = self._access.check(queue, scope["headers"], method)
        if access.refusal is not None:
            return access.refusal
        body = await _read_body(receive, config.limits.body_bytes)
        if self._configuration.current is not config:
            # The key may have been revoked while the body arrived.
            access = self._access.check(queue, scope["headers"], method)
            if access.refusal is not None:
                return access.refusal
        job_id = path[len(queue.path_prefix) :]
        if method == "GET" and not job_id:
            return self._job_service.count_pending(queue)
        if not is_job_id(job_id):
            if method == "POST":
                message = "a job identifier must have 16 hexadecimal digits"
                return JobAnswer(ResultCode.BAD_SUBMISSION, message)
            return JobAnswer(ResultCode.NO_JOB, "no such job")
        timeout_s = _read_timeout_s(headers, queue.timeout_ms)
        caller = access.organisation
        if method == "POST":
            started_s = time.monotonic()
            answer = await self._job_service.submit(
                queue, job_id, body, timeout_s, caller
            )
            self._metrics.observe_latency("acceptance", time.monotonic() - started_s)
        elif method == "GET":
            answer = await self._job_service.read_state(
                queue, job_id, timeout_s, caller
            )
        elif method == "DELETE":
            answer = await self._job_service.cancel(queue, job_id, timeout_s, caller)
        else:
            message = f"{method} is not a method for jobs"
            return JobAnswer(ResultCode.BAD_METHOD, message)
        if answer.refusal:
            self._metrics.count_refusal(answer.refusal, caller)
        return answer

    async def _wait_until_current(
        self, host: str, path: str, headers: list[tuple[bytes, bytes]]
    ) -> bool:
        """Wait for a newer configuration if the one in force may answer wrongly.

        It does so if it refuses what the newer one may allow, or if it is outdated for
        long. Other managers have the newer one, so that a caller does better to go
        there than to wait for long or to be answered by an old one.

        :return: whether the configuration in force may answer
        """
        configuration = self._configuration
        if not configuration.is_outdated:
            return True
        if configuration.behind_s < OUTDATED_LIMIT_S:
            queue = configuration.find_queue(host, path)
            if queue is not None and self._access.is_allowed(queue, headers):
                return True
        limit_s = min(
            OUTDATED_WAIT_S, _read_timeout_s(dict(headers), queue_timeout_ms=0)
        )
        return await configuration.wait_until_current(limit_s)

    async def _send(self, answer: JobAnswer, send: Send) -> None:
        status = answer.code.http_status or 200
        self._metrics.count_answer(answer.code.name)
        content: dict[str, Any] = {}
        if answer.state is not None:
            content["State"] = STATE_NAMES[answer.state]
        if answer.pending is not None:
            content["Pending"] = answer.pending
        if answer.code != ResultCode.OK:
            content = {"Code": answer.code.number, "Error": answer.message}
        body = orjson.dumps(content)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if answer.retry_after_s:
            seconds = max(1, math.ceil(answer.retry_after_s))
            headers.append((b"retry-after", str(seconds).encode()))
        if answer.code == ResultCode.KEY_REFUSED:
            headers.append(CHALLENGE)
        if self.closing:
            headers.append((b"connection", b"close"))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


async def _read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Return the whole body, or nothing when the caller has disconnected.

    :raises BodyTooLargeError: when it is larger than the limit
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b""
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit_bytes:
            raise BodyTooLargeError
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


def _read_timeout_s(headers: dict[bytes, bytes], queue_timeout_ms: int) -> float:
    """Return the time for handling a request: its timeout less the margin."""
    limit_s = queue_timeout_ms / 1000 or DEFAULT_TIMEOUT_S
    try:
        requested_s = float(headers.get(DEADLINE_HEADER, b"")) / 1000
        limit_s = min(limit_s, requested_s) if requested_s > 0 else limit_s
    except ValueError:
        # An invalid header counts as absent.
        return max(0.05, limit_s - RESPONSE_MARGIN_S)
    return max(0.05, limit_s - RESPONSE_MARGIN_S)
