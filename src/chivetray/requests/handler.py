"""Handles a caller's request: admission, claim, attempts, response."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import Protocol

import anyio

from chivetray.config import Config
from chivetray.events import Event, log_event
from chivetray.exceptions import AttemptError, ChivetrayError, RefusalError
from chivetray.generated.objects import Vm
from chivetray.metrics import Metrics
from chivetray.requests.admission import Admission, SlotRequest
from chivetray.requests.attempt import AttemptSender, SendProgress
from chivetray.requests.balancer import EndpointBalancer
from chivetray.requests.claims import Claim, ClaimConflictError, ClaimStore
from chivetray.requests.connections import EndpointConnections
from chivetray.requests.models import AttemptRecord, CallerRequest, EndpointResponse
from chivetray.requests.outliers import Ejection, FailureReason, OutlierTable
from chivetray.requests.retries import RetryBudget
from chivetray.results import Ran, ResultCode

# A response is due this long before the request's deadline, so that it reaches the
# caller in time.
RESPONSE_MARGIN_S = 0.01

# A timeout counts against an endpoint only when the attempt lasted for at least this
# many times the estimated run time.
TIMEOUT_RUN_TIME_FACTOR = 2

MIN_ERROR_STATUS = 500

_FAILURE_REASONS = {
    ResultCode.NOT_CONNECTED: FailureReason.NOT_CONNECTED,
    ResultCode.OUTCOME_UNKNOWN: FailureReason.BROKEN,
    ResultCode.OUTCOME_TIMEOUT: FailureReason.TIMEOUT,
    ResultCode.ANSWER_CROSSED: FailureReason.CROSSED,
    ResultCode.ANSWER_UNBOUNDED: FailureReason.BROKEN,
}


class Responder(Protocol):
    """Sends the response to the caller.

    :ivar started: whether the status line was sent
    """

    started: bool

    async def send_response(self, response: EndpointResponse) -> None:
        """Send a response of an endpoint, streaming a body that is not complete."""

    async def send_error(
        self, code: ResultCode, message: str, retry_after_s: float | None
    ) -> None:
        """Send an error response of the entry itself."""


class TruncatedResponseError(Exception):
    """A streamed response ended early, so the caller's connection must be closed."""


@dataclass(slots=True)
class _RequestProgress:
    """State of a request across its attempts.

    :ivar outcome_stored: whether the response was handed over to be stored in the
        claim
    """

    record: AttemptRecord
    claim: Claim | None = None
    outcome_stored: bool = False


class RequestHandler:
    """Serves the requests of callers."""

    def __init__(
        self,
        config: Config,
        admission: Admission,
        balancer: EndpointBalancer,
        outliers: OutlierTable,
        connections: EndpointConnections,
        claims: ClaimStore,
        metrics: Metrics,
    ):
        self._config = config
        self._admission = admission
        self._balancer = balancer
        self._outliers = outliers
        self._claims = claims
        self._metrics = metrics
        self._attempt_sender = AttemptSender(config.requests, connections)
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(self, request: CallerRequest, responder: Responder) -> ResultCode:
        """Handle one request and return its result code.

        :raises TruncatedResponseError: when a response ended early after a part of
            it was forwarded
        """
        code = ResultCode.OK
        try:
            await self._serve(request, responder)
        except ClaimConflictError as error:
            code = await self._send_claim_conflict(error, responder)
        except RefusalError as error:
            code = error.code
            await responder.send_error(error.code, error.message, error.retry_after_s)
        except AttemptError as error:
            code = error.code
            self._log_unknown_outcome(request, error)
            await responder.send_error(error.code, error.message, None)
        self._record_result(request, code)
        return code

    def _record_result(self, request: CallerRequest, code: ResultCode) -> None:
        service = request.service.name
        self._metrics.record_result(service, code)
        if code.ran is Ran.NO:
            self._metrics.record_refusal(service, code)
        if code is ResultCode.OK:
            elapsed_s = anyio.current_time() - request.received_at_s
            self._metrics.record_latency(service, elapsed_s)

    def _log_unknown_outcome(self, request: CallerRequest, error: AttemptError) -> None:
        if error.code.ran is not Ran.UNKNOWN:
            return
        log_event(
            Event.REQUEST_OUTCOME_UNKNOWN,
            request=request.request_id,
            service=request.service.name,
            code=error.code.number,
            reason=error.message,
        )

    async def _send_claim_conflict(
        self, error: ClaimConflictError, responder: Responder
    ) -> ResultCode:
        if error.response is not None:
            await responder.send_response(error.response)
        else:
            await responder.send_error(error.code, error.message, error.retry_after_s)
        return error.code

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        self._admission.acquire_quota(request.team)
        progress = _RequestProgress(AttemptRecord())
        try:
            self._get_retry_budget(request).add_request()
            while not await self._make_attempt(request, responder, progress):
                pass
        finally:
            self._admission.release_quota(request.team)
            self._close_claim(progress)

    def _close_claim(self, progress: _RequestProgress) -> None:
        """Release the claim of a request without response, or mark it as unknown."""
        claim = progress.claim
        if claim is None or progress.outcome_stored:
            return
        if progress.record.sent:
            self._claims.store_unknown(claim)
        else:
            self._claims.release(claim)

    async def _make_attempt(
        self, request: CallerRequest, responder: Responder, progress: _RequestProgress
    ) -> bool:
        """Make one attempt and return whether the request is completed.

        :raises ChivetrayError: when the request is not retried
        """
        slot_request = await self._admit(request, progress.record)
        assert slot_request.vm is not None
        started_at_s = anyio.current_time()
        run_s: float | None = None
        busy_until_s = 0.0
        try:
            await self._claim(request, progress)
            await self._send(request, slot_request.vm, responder, progress)
            run_s = anyio.current_time() - started_at_s
            return True
        except AttemptError as error:
            elapsed_s = anyio.current_time() - started_at_s
            self._record_failure(request, slot_request.vm, error, elapsed_s)
            if error.code is ResultCode.OUTCOME_TIMEOUT:
                # The endpoint may still be running the request.
                busy_until_s = request.deadline_s
            self._raise_unless_retryable(request, error, progress.record)
            return False
        except ChivetrayError:
            self._outliers.record_inconclusive(slot_request.vm.name)
            raise
        finally:
            self._admission.release(slot_request, run_s, busy_until_s)

    async def _admit(
        self, request: CallerRequest, record: AttemptRecord
    ) -> SlotRequest:
        slot_request = SlotRequest(
            service=request.service,
            team=request.team,
            idempotent=request.idempotent,
            created_at_s=anyio.current_time(),
            deadline_s=request.deadline_s - RESPONSE_MARGIN_S,
            excluded=record.endpoints,
        )
        try:
            await self._admission.admit(slot_request)
        except RefusalError as error:
            if record.sent:
                # An earlier attempt may have run, so the request cannot be refused.
                message = f"an earlier attempt was sent; then {error.message}"
                raise AttemptError(
                    ResultCode.OUTCOME_UNKNOWN, message, sent=True
                ) from error
            raise
        return slot_request

    async def _claim(self, request: CallerRequest, progress: _RequestProgress) -> None:
        needs_claim = request.idempotency_key is not None and not request.idempotent
        if needs_claim and progress.claim is None:
            progress.claim = await self._claims.claim(request)

    async def _send(
        self,
        request: CallerRequest,
        vm: Vm,
        responder: Responder,
        progress: _RequestProgress,
    ) -> None:
        """Send one attempt and forward its response."""
        record = progress.record
        if not self._balancer.may_send(vm):
            message = f"endpoint {vm.name} was withdrawn before the request was sent"
            raise AttemptError(ResultCode.ENDPOINT_WITHDRAWN, message, sent=False)
        if record.sent and not request.idempotent:
            self._metrics.report_broken_invariant(
                "one dispatch", request=request.request_id
            )
            message = "a non-idempotent request is not sent a second time"
            raise AttemptError(ResultCode.OUTCOME_UNKNOWN, message, sent=True)
        record.attempts += 1
        record.endpoints.add(vm.name)
        self._metrics.attempts.labels(request.service.name).inc()
        send_progress = SendProgress()
        timeout_s = self._attempt_timeout_s(request)
        response_received = False
        try:
            async with self._attempt_sender.send(
                request, vm, uuid.uuid4().hex, timeout_s, send_progress
            ) as response:
                response_received = True
                self._record_response(vm, response)
                if progress.claim is not None:
                    self._claims.store_response(progress.claim, response)
                    progress.outcome_stored = True
                await self._forward_response(request, response, responder)
        except AttemptError as error:
            if response_received and responder.started:
                self._record_endpoint_failure(vm, FailureReason.BROKEN)
                raise TruncatedResponseError(error.message) from error
            record.sent |= error.sent
            raise
        except BaseException:
            record.sent |= send_progress.sent
            raise

    async def _forward_response(
        self, request: CallerRequest, response: EndpointResponse, responder: Responder
    ) -> None:
        if response.remaining_body is None:
            await responder.send_response(response)
            return
        with anyio.fail_after(request.deadline_s - anyio.current_time()):
            await responder.send_response(response)

    def _attempt_timeout_s(self, request: CallerRequest) -> float:
        remaining_s = request.deadline_s - RESPONSE_MARGIN_S - anyio.current_time()
        if request.idempotent:
            remaining_s = min(remaining_s, request.service.attempt_timeout_s)
        return max(0.0, remaining_s)

    def _record_response(self, vm: Vm, response: EndpointResponse) -> None:
        if response.status >= MIN_ERROR_STATUS:
            self._record_endpoint_failure(vm, FailureReason.ERROR_STATUS)
        else:
            self._outliers.record_success(vm.name)

    def _record_failure(
        self, request: CallerRequest, vm: Vm, error: AttemptError, elapsed_s: float
    ) -> None:
        """Record a failed attempt in the health of its endpoint."""
        reason = _FAILURE_REASONS.get(error.code)
        run_estimate_s = self._admission.get_estimate(request.service).upper_estimate_s
        too_short = (
            reason is FailureReason.TIMEOUT
            and elapsed_s < TIMEOUT_RUN_TIME_FACTOR * run_estimate_s
        )
        if reason is None or too_short:
            self._outliers.record_inconclusive(vm.name)
            return
        self._record_endpoint_failure(vm, reason)

    def _record_endpoint_failure(self, vm: Vm, reason: FailureReason) -> None:
        may_eject = self._balancer.may_eject(vm.name)
        now_s = anyio.current_time()
        ejection = self._outliers.record_failure(vm.name, reason, may_eject, now_s)
        if ejection is Ejection.EJECTED:
            self._metrics.ejections.labels(reason.value).inc()

    def _raise_unless_retryable(
        self, request: CallerRequest, error: AttemptError, record: AttemptRecord
    ) -> None:
        """Return when the request may be retried, otherwise raise its error.

        :raises AttemptError: when the request may have reached an endpoint
        :raises RefusalError: when no byte of it was sent
        """
        service = request.service.name
        reason = error.code.name.lower()
        withheld = self._withheld_reason(request, error, record)
        if withheld is None:
            self._metrics.retries.labels(service, reason).inc()
            return
        self._metrics.retries_withheld.labels(service, withheld).inc()
        if record.sent:
            code = error.code if error.sent else ResultCode.OUTCOME_UNKNOWN
            raise AttemptError(code, error.message, sent=True) from error
        raise RefusalError(error.code, error.message, 1.0) from error

    def _withheld_reason(
        self, request: CallerRequest, error: AttemptError, record: AttemptRecord
    ) -> str | None:
        """Return why a request must not be retried, or ``None`` when it may be."""
        if error.sent and not request.idempotent:
            return "not_idempotent"
        if record.attempts >= self._config.retries.attempts_limit:
            return "attempts_limit"
        if anyio.current_time() >= request.deadline_s - RESPONSE_MARGIN_S:
            return "deadline"
        if not self._get_retry_budget(request).take_retry():
            return "budget"
        return None

    def _get_retry_budget(self, request: CallerRequest) -> RetryBudget:
        budget = self._budgets.get(request.service.name)
        if budget is None:
            budget = RetryBudget.from_config(self._config.retries)
            self._budgets[request.service.name] = budget
        return budget
