"""Which incarnation of a worker has answered a call.

Only lists of attempts name the incarnation. The answer to an order tells the worker's
clock, which begins anywhere in each incarnation.
"""

from __future__ import annotations

from typing import Any

from chivetray.cells.workers import WorkerState
from chivetray.events import Event, log_event
from chivetray.platform.workers import Reply


def is_foreign(
    worker: WorkerState, reply: Reply, sent_at_s: float, now_s: float
) -> bool:
    """Return whether a reply shows the clock of an unexpected incarnation.

    :param sent_at_s: send time of the call
    """
    if reply.clock_ms is None or not worker.clock.known:
        return False
    least_ms, greatest_ms = worker.clock.bounds_ms(sent_at_s, now_s)
    return not least_ms <= reply.clock_ms <= greatest_ms


def log_if_foreign(
    worker: WorkerState,
    reply: Reply,
    sent_at_s: float,
    now_s: float,
    incarnation: int,
    **fields: Any,
) -> None:
    """Log an answer of another incarnation than the one that its call was for.

    :param incarnation: incarnation that the call was for
    """
    if worker.incarnation == incarnation and is_foreign(
        worker, reply, sent_at_s, now_s
    ):
        log_event(
            Event.WORKER_CLOCK_FOREIGN,
            worker=worker.worker_id,
            incarnation=incarnation,
            born=reply.incarnation,
            clock_ms=reply.clock_ms,
            expected_clock_ms=list(worker.clock.bounds_ms(sent_at_s, now_s)),
            deadline_ms=worker.deadline_ms,
            verdict=reply.verdict.value,
            **fields,
        )
