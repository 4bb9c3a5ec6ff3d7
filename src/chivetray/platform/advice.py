"""Client for the advice service, which selects the workers that may run a step."""

from __future__ import annotations

from chivetray.platform.calls import Answer, CallSession
from chivetray.platform.values import read_number

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
        validity_ms = read_number(outcome.body.get("ValidityMs"))
        if not isinstance(rows, list) or validity_ms is None:
            return None
        tickets = {
            row[0]: row[1]
            for row in rows
            if isinstance(row, list) and len(row) >= 2
            if isinstance(row[0], str) and isinstance(row[1], str)
        }
        return tickets, validity_ms / 1000
