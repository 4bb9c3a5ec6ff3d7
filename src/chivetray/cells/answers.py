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
    if reply.clock_ms is None:
        return False
    if worker.doubted_at_s and not reply.incarnation:
        # Nothing tells which one has answered.
        return True
    if not worker.clock.known:
        return False
    least_ms, greatest_ms = worker.clock.bounds_ms(sent_at_s, now_s)
    return not least_ms <= reply.clock_ms <= greatest_ms


def reject_foreign(
    worker: WorkerState,
    reply: Reply,
    sent_at_s: float,
    now_s: float,
    incarnation: int,
    **fields: Any,
) -> bool:
    """Return whether another incarnation has answered than the one a call was for.

    Nothing is granted or started there before a list of attempts has named it.

    :param incarnation: incarnation that the call was for
    """
    if worker.incarnation != incarnation or not is_foreign(
        worker, reply, sent_at_s, now_s
    ):
        return False
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
    worker.doubt_incarnation(now_s)
    return True
