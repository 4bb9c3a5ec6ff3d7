"""Access to the store, directly or relayed through another manager."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from chivetray.cells.answer_timeout import AnswerTimeout
from chivetray.clocks import boot_time_s
from chivetray.events import Event, log_event
from chivetray.peers.mesh import Mesh, Peer
from chivetray.platform.calls import Answer, CallSession, NoAnswer, NotSent, Outcome
from chivetray.platform.redaction import redact_answer
from chivetray.platform.store import TRANSACTION_PATH, Store

# Time after a failed direct call in which calls go through a peer first.
RELAY_FIRST_S = 1.5

# Added to the timeout of a call that is relayed through a peer.
RELAY_SLACK_S = 0.1

# Statuses with which the store rejects a call without executing it.
STATUS_BUSY = 429
REJECTION_STATUSES = (STATUS_BUSY, 503)

# Latency above which a rejected transaction is taken for one that a busy partition had
# no time for; the usual latency is a tenth of it. A peer's call would only add to it.
SLOW_LATENCY_S = 0.1

RELAY_CALL = "store"

MakeCall = Callable[[str, str, Any, float], Awaitable[Outcome]]


class StoreAccess(Store):
    """Client of the store that relays calls through peers when direct calls fail.

    :ivar reached_at_s: start of the newest direct call that the store served
    :ivar failed_at_s: start of the newest direct call that failed or was rejected
    :ivar usable_at_s: time of the last answer to a direct or relayed call
    :ivar relayed_calls: number of calls that this process has sent through peers
    :ivar answer_timeout: estimate of how long the store's answers can take
    """

    def __init__(self, session: CallSession, address: str):
        super().__init__(session, address)
        self.reached_at_s = 0.0
        self.failed_at_s = 0.0
        self.usable_at_s = 0.0
        self.relayed_calls = 0
        self.answer_timeout = AnswerTimeout()
        self._mesh: Mesh | None = None
        self._relaying: Counter[str] = Counter()
        self._on_served_change: Callable[[], None] = lambda: None

    def connect(self, mesh: Mesh, on_served_change: Callable[[], None]) -> None:
        """Relay calls through the peers of a mesh, and execute the calls they relay.

        :param on_served_change: called when ``is_served`` has changed
        """
        self._mesh = mesh
        self._on_served_change = on_served_change
        mesh.handlers[RELAY_CALL] = self._serve_peer

    @property
    def is_served(self) -> bool:
        """Whether the store serves this process directly."""
        return self.reached_at_s > 0 and self.reached_at_s >= self.failed_at_s

    def was_served_within(self, now_s: float, within_s: float) -> bool:
        """Return whether a direct or relayed call was answered recently."""
        return self.is_served or now_s - self.usable_at_s <= within_s

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        """Make one call, directly or relayed through a peer."""
        started_s = boot_time_s()
        timeout_s = self._limit_s(path, timeout_s)
        if not self.is_served and started_s - self.failed_at_s < RELAY_FIRST_S:
            outcome = await self._relay(method, path, body, timeout_s)
            if outcome is not None:
                return outcome
        outcome = await self._call_directly(method, path, body, timeout_s)
        if self._is_partition_busy(outcome):
            return outcome
        if _was_not_executed(outcome) or (
            method == "GET" and isinstance(outcome, NoAnswer)
        ):
            relayed_outcome = await self._relay(method, path, body, timeout_s)
            if relayed_outcome is not None:
                return relayed_outcome
        return outcome

    def _limit_s(self, path: str, timeout_s: float) -> float:
        """Return the time after which a call without answer is given up."""
        if path == TRANSACTION_PATH:
            # A lost answer never comes, and repeating the call shows what was done.
            return self.answer_timeout.timeout_s
        # Reads can be large, and their answers are not lost.
        return max(timeout_s, self.answer_timeout.timeout_s)

    async def _call_directly(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        started_s, timeout_s = boot_time_s(), self._limit_s(path, timeout_s)
        outcome = await super().call(method, path, body, timeout_s)
        if not self._is_partition_busy(outcome):
            self._record_outcome(path, outcome, started_s, timeout_s)
        return outcome

    def without_relays(self) -> Store:
        """Return a client whose calls are not relayed, but recorded here."""
        return _DirectStore(self._session, self._url, self._call_directly)

    def _is_partition_busy(self, outcome: Outcome) -> bool:
        """Return whether a slow store rejected a call for want of time."""
        is_busy = isinstance(outcome, Answer) and outcome.status == STATUS_BUSY
        return (
            is_busy and self.is_served and self.answer_timeout.mean_s > SLOW_LATENCY_S
        )

    def _record_outcome(
        self, path: str, outcome: Outcome, started_s: float, timeout_s: float
    ) -> None:
        was_served = self.is_served
        if isinstance(outcome, Answer) and outcome.status not in REJECTION_STATUSES:
            self.reached_at_s = max(self.reached_at_s, started_s)
            self.usable_at_s = boot_time_s()
            if path == TRANSACTION_PATH:
                self.answer_timeout.record_answer(self.usable_at_s - started_s)
        else:
            self.failed_at_s = max(self.failed_at_s, started_s)
            if path == TRANSACTION_PATH and isinstance(outcome, NoAnswer):
                self.answer_timeout.record_silence(timeout_s)
        if self.is_served != was_served:
            reason = getattr(outcome, "reason", "") or getattr(outcome, "status", 0)
            log_event(
                Event.STORE_BACK if self.is_served else Event.STORE_LOST, reason=reason
            )
            self._on_served_change()

    async def _relay(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome | None:
        """Relay a call; return ``None`` if the store serves no peer."""
        if self._mesh is None:
            return None
        peers = [p for p in self._mesh.peers.values() if p.store_reached]
        if not peers:
            return None
        peer = min(peers, key=self._rank_relay)
        self.relayed_calls += 1
        argument = [method, path, body, timeout_s]
        self._relaying[peer.name] += 1
        try:
            reply = await self._mesh.call(
                peer.name, RELAY_CALL, argument, timeout_s + RELAY_SLACK_S
            )
        finally:
            self._relaying[peer.name] -= 1
        if reply is None:
            return NoAnswer("the relaying peer did not answer")
        kind, status, answer = reply
        if kind == "answer":
            if status not in REJECTION_STATUSES:
                self.usable_at_s = boot_time_s()
            return Answer(status, answer)
        if kind == "not sent":
            return NotSent(answer)
        return NoAnswer(answer)

    def _rank_relay(self, peer: Peer) -> tuple[bool, float]:
        """Return the key of a peer for relays: its zone, and its load by its capacity.

        An answer crosses the link of the peer twice.
        """
        is_far = self._mesh is None or peer.zone != self._mesh.zone
        return is_far, (self._relaying[peer.name] + 1) / max(1, peer.capacity)

    async def _serve_peer(self, _peer: str, argument: Any) -> Any:
        method, path, body, timeout_s = argument
        outcome = await super().call(method, path, body, timeout_s)
        if isinstance(outcome, Answer):
            # The configuration row holds keys, which no peer message may contain.
            return ["answer", outcome.status, redact_answer(outcome.body)]
        if isinstance(outcome, NotSent):
            return ["not sent", 0, outcome.reason]
        return ["no answer", 0, outcome.reason]


class _DirectStore(Store):
    """Client that makes each call with a function.

    :param make_call: makes a call with a method, a path, a body and a timeout
    """

    def __init__(self, session: CallSession, address: str, make_call: MakeCall):
        super().__init__(session, address)
        self._make_call = make_call

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> Outcome:
        """Make one call and return its outcome unchanged."""
        return await self._make_call(method, path, body, timeout_s)


def _was_not_executed(outcome: Outcome) -> bool:
    if isinstance(outcome, NotSent):
        return True
    return isinstance(outcome, Answer) and outcome.status in REJECTION_STATUSES
