"""The way of one request: admission, claim, attempts, answer."""

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
from chivetray.requests.balancer import Balancer
from chivetray.requests.claims import Claim, ClaimConflictError, ClaimStore
from chivetray.requests.connections import EndpointConnections
from chivetray.requests.models import Answer, AttemptRecord, CallerRequest
from chivetray.requests.outliers import Ejection, FailureReason, OutlierTable
from chivetray.requests.retries import RetryBudget
from chivetray.results import Ran, ResultCode

# An answer has to leave this long before the time limit to arrive within it.
ANSWER_MARGIN_S = 0.01

# A timeout counts against an endpoint only when the request could have run this
# many times as long as usual.
FAIR_TIMEOUT_RUNS = 2

ERROR_STATUS = 500

_FAILURE_REASONS = {
    ResultCode.NOT_CONNECTED: FailureReason.NOT_CONNECTED,
    ResultCode.OUTCOME_UNKNOWN: FailureReason.BROKEN,
    ResultCode.OUTCOME_TIMEOUT: FailureReason.TIMEOUT,
    ResultCode.ANSWER_CROSSED: FailureReason.CROSSED,
    ResultCode.ANSWER_UNBOUNDED: FailureReason.BROKEN,
}


class Responder(Protocol):
    """Passes an answer on to the caller."""

    started: bool

    async def send_answer(self, answer: Answer) -> None:
        """Send a whole answer, or stream it."""

    async def send_error(
        self, code: ResultCode, message: str, retry_after_s: float | None
    ) -> None:
        """Send an answer of the entry itself."""


class CutAnswerError(Exception):
    """A streamed answer ended early, so the caller's connection has to close."""


@dataclass(slots=True)
class _Progress:
    """State of a request between its attempts."""

    record: AttemptRecord
    claim: Claim | None = None
    settled: bool = False


class RequestHandler:
    """Serves the requests of callers."""

    def __init__(
        self,
        config: Config,
        admission: Admission,
        balancer: Balancer,
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
        self._sender = AttemptSender(config.requests, connections)
        self._budgets: dict[str, RetryBudget] = {}

    async def handle(self, request: CallerRequest, responder: Responder) -> ResultCode:
        """Serve one request and return its result code.

        :raises CutAnswerError: when an answer broke off after its beginning was
            passed on
        """
        code = ResultCode.OK
        try:
            await self._serve(request, responder)
        except ClaimConflictError as error:
            code = await self._answer_repeat(error, responder)
        except RefusalError as error:
            code = error.code
            await responder.send_error(error.code, error.message, error.retry_after_s)
        except AttemptError as error:
            code = error.code
            self._report_unknown(request, error)
            await responder.send_error(error.code, error.message, None)
        self._record(request, code)
        return code

    def _record(self, request: CallerRequest, code: ResultCode) -> None:
        service = request.service.name
        self._metrics.record_result(service, code)
        if code.ran is Ran.NO:
            self._metrics.record_refusal(service, code)
        if code is ResultCode.OK:
            elapsed_s = anyio.current_time() - request.received_at_s
            self._metrics.record_latency(service, elapsed_s)

    def _report_unknown(self, request: CallerRequest, error: AttemptError) -> None:
        if error.code.ran is not Ran.UNKNOWN:
            return
        log_event(
            Event.REQUEST_OUTCOME_UNKNOWN,
            request=request.request_id,
            service=request.service.name,
            code=error.code.number,
            reason=error.message,
        )

    async def _answer_repeat(
        self, error: ClaimConflictError, responder: Responder
    ) -> ResultCode:
        if error.answer is not None:
            await responder.send_answer(error.answer)
        else:
            await responder.send_error(error.code, error.message, error.retry_after_s)
        return error.code

    async def _serve(self, request: CallerRequest, responder: Responder) -> None:
        self._admission.acquire_quota(request.team)
        progress = _Progress(AttemptRecord())
        try:
            self._budget(request).add_request()
            while not await self._try_once(request, responder, progress):
                pass
        finally:
            self._admission.release_quota(request.team)
            self._settle(progress)

    def _settle(self, progress: _Progress) -> None:
        """Release or close the claim of a request that has no answer."""
        claim = progress.claim
        if claim is None or progress.settled:
            return
        if progress.record.sent:
            self._claims.store_unknown(claim)
        else:
            self._claims.release(claim)

    async def _try_once(
        self, request: CallerRequest, responder: Responder, progress: _Progress
    ) -> bool:
        """Make one attempt; return whether the request is answered.

        :raises ChivetrayError: when the request is not tried again
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
            self._note_failure(request, slot_request.vm, error, elapsed_s)
            if error.code is ResultCode.OUTCOME_TIMEOUT:
                # The endpoint may still be running the request.
                busy_until_s = request.deadline_s
            self._check_retry(request, error, progress.record)
            return False
        except ChivetrayError:
            self._outliers.record_abandoned(slot_request.vm.name)
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
            deadline_s=request.deadline_s - ANSWER_MARGIN_S,
            excluded=record.endpoints,
        )
        try:
            await self._admission.admit(slot_request)
        except RefusalError as error:
            if record.sent:
                # An earlier attempt may have run, so this is no refusal.
                message = f"an attempt was sent and then {error.message}"
                raise AttemptError(
                    ResultCode.OUTCOME_UNKNOWN, message, sent=True
                ) from error
            raise
        return slot_request

    async def _claim(self, request: CallerRequest, progress: _Progress) -> None:
        needs_claim = request.idempotency_key is not None and not request.idempotent
        if needs_claim and progress.claim is None:
            progress.claim = await self._claims.claim(request)

    async def _send(
        self,
        request: CallerRequest,
        vm: Vm,
        responder: Responder,
        progress: _Progress,
    ) -> None:
        """Send one attempt and pass its answer on."""
        record = progress.record
        if not self._balancer.may_send(vm):
            message = f"endpoint {vm.name} was withdrawn before the request was sent"
            raise AttemptError(ResultCode.ENDPOINT_WITHDRAWN, message, sent=False)
        if record.sent and not request.idempotent:
            self._metrics.report_broken("one dispatch", request=request.request_id)
            message = "the request was sent before and is not sent again"
            raise AttemptError(ResultCode.OUTCOME_UNKNOWN, message, sent=True)
        record.attempts += 1
        record.endpoints.add(vm.name)
        self._metrics.attempts.labels(request.service.name).inc()
        sending = SendProgress()
        timeout_s = self._attempt_timeout_s(request)
        answered = False
        try:
            async with self._sender.send(
                request, vm, uuid.uuid4().hex, timeout_s, sending
            ) as answer:
                answered = True
                self._note_answer(vm, answer)
                if progress.claim is not None:
                    self._claims.store_answer(progress.claim, answer)
                    progress.settled = True
                await self._pass_on(request, answer, responder)
        except AttemptError as error:
            if answered and responder.started:
                self._eject_if_needed(vm, FailureReason.BROKEN)
                raise CutAnswerError(error.message) from error
            record.sent |= error.sent
            raise
        except BaseException:
            record.sent |= sending.sent
            raise

    async def _pass_on(
        self, request: CallerRequest, answer: Answer, responder: Responder
    ) -> None:
        if answer.rest is None:
            await responder.send_answer(answer)
            return
        with anyio.fail_after(request.deadline_s - anyio.current_time()):
            await responder.send_answer(answer)

    def _attempt_timeout_s(self, request: CallerRequest) -> float:
        left_s = request.deadline_s - ANSWER_MARGIN_S - anyio.current_time()
        if request.idempotent:
            left_s = min(left_s, request.service.attempt_timeout_s)
        return max(0.0, left_s)

    def _note_answer(self, vm: Vm, answer: Answer) -> None:
        if answer.status >= ERROR_STATUS:
            self._eject_if_needed(vm, FailureReason.ERROR_STATUS)
        else:
            self._outliers.record_success(vm.name)

    def _note_failure(
        self, request: CallerRequest, vm: Vm, error: AttemptError, elapsed_s: float
    ) -> None:
        """Count a failed attempt against its endpoint."""
        reason = _FAILURE_REASONS.get(error.code)
        usual_s = self._admission.get_estimate(request.service).upper_estimate_s
        too_short = (
            reason is FailureReason.TIMEOUT and elapsed_s < FAIR_TIMEOUT_RUNS * usual_s
        )
        if reason is None or too_short:
            self._outliers.record_abandoned(vm.name)
            return
        self._eject_if_needed(vm, reason)

    def _eject_if_needed(self, vm: Vm, reason: FailureReason) -> None:
        may_eject = self._balancer.may_eject(vm.name)
        now_s = anyio.current_time()
        ejection = self._outliers.record_failure(vm.name, reason, may_eject, now_s)
        if ejection is Ejection.EJECTED:
            self._metrics.ejections.labels(reason.value).inc()

    def _check_retry(
        self, request: CallerRequest, error: AttemptError, record: AttemptRecord
    ) -> None:
        """Return when the request may be sent again, otherwise raise the error."""
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
        """Return why a request must not be sent again, or ``None``."""
        if error.sent and not request.idempotent:
            return "not_idempotent"
        if record.attempts >= self._config.retries.attempts_limit:
            return "attempts_limit"
        if anyio.current_time() >= request.deadline_s - ANSWER_MARGIN_S:
            return "deadline"
        if not self._budget(request).take_retry():
            return "budget"
        return None

    def _budget(self, request: CallerRequest) -> RetryBudget:
        budget = self._budgets.get(request.service.name)
        if budget is None:
            budget = RetryBudget.from_config(self._config.retries)
            self._budgets[request.service.name] = budget
        return budget
