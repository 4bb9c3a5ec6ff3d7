"""The service that names the workers that may run a step."""

from __future__ import annotations

from chivetray.platform.calls import Answer, CallSession

# Deciding takes some ms for each worker named, and calls wait in turn.
CALL_TIMEOUT_S = 3.0


class AdviceClient:
    """Calls the service; it takes one call at a time of each process."""

    def __init__(self, session: CallSession, address: str):
        self._session = session
        self._url = f"http://{address}/chivetray/advise"
        self.calls = 0

    async def ask(
        self, job_id: str, occurrence: int, step: int, workers: list[str]
    ) -> tuple[dict[str, str], float] | None:
        """Return the ticket of each worker that may run a step, and their lifetime.

        :return: tickets by worker and seconds, or ``None`` without an answer
        """
        self.calls += 1
        body = {"Step": f"{job_id}.{occurrence}.{step}", "Workers": workers}
        outcome = await self._session.call("POST", self._url, CALL_TIMEOUT_S, body)
        if not isinstance(outcome, Answer) or not outcome.ok:
            return None
        good = outcome.body.get("Good")
        validity_ms = outcome.body.get("ValidityMs")
        if not isinstance(good, list) or not isinstance(validity_ms, int | float):
            return None
        tickets = {
            str(row[0]): str(row[1])
            for row in good
            if isinstance(row, list) and len(row) >= 2
        }
        return tickets, validity_ms / 1000
