"""Client for the advice service, which selects the workers that may run a step."""

from __future__ import annotations

from chivetray.platform.calls import Answer, CallSession

# The service needs several ms per worker named in a call and queues concurrent calls.
CALL_TIMEOUT_S = 3.0


class AdviceClient:
    """Calls the advice service, which serves one call at a time per process."""

    def __init__(self, session: CallSession, address: str):
        self._session = session
        self._url = f"http://{address}/chivetray/advise"
        self.calls = 0

    async def request_tickets(
        self, job_id: str, occurrence: int, step: int, workers: list[str]
    ) -> tuple[dict[str, str], float] | None:
        """Request tickets for the workers that may run a step.

        :return: tickets by worker and their validity in seconds, or ``None`` when
            the service gives no usable answer
        """
        self.calls += 1
        body = {"Step": f"{job_id}.{occurrence}.{step}", "Workers": workers}
        outcome = await self._session.call("POST", self._url, CALL_TIMEOUT_S, body)
        if not isinstance(outcome, Answer) or not outcome.ok:
            return None
        rows = outcome.body.get("Good")
        validity_ms = outcome.body.get("ValidityMs")
        if not isinstance(rows, list) or not isinstance(validity_ms, int | float):
            return None
        tickets = {
            str(row[0]): str(row[1])
            for row in rows
            if isinstance(row, list) and len(row) >= 2
        }
        return tickets, validity_ms / 1000
