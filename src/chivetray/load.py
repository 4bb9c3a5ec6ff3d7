"""Open-loop load generator for an entry, with a limit on concurrency.

Requests start on a fixed schedule, independent of the answers, and a latency is
measured from the scheduled start. A slow answer thus counts for every request that
it delayed, which corrects for coordinated omission.
"""

from __future__ import annotations

import math
import uuid
from collections import Counter
from dataclasses import dataclass, field

import anyio
import httpcore

from chivetray.metrics import LatencyHistogram

# Connections of one pool; the cost of finding one in a pool grows with their number.
POOL_CONNECTIONS = 32
SHOWN_QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Load to generate.

    :ivar rate_per_s: requests that start each second
    :ivar timeout_s: time limit of a request, from its scheduled start
    :ivar concurrency_limit: requests in flight at most; those beyond it are counted
        as not sent
    :ivar keyed: whether each request has an idempotency key
    """

    url: str
    rate_per_s: float
    duration_s: float
    method: str = "GET"
    body_bytes: int = 0
    timeout_s: float = 10.0
    concurrency_limit: int = 1000
    keyed: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class LoadReport:
    """Results of a load run.

    :ivar not_sent: requests left out because of the concurrency limit
    :ivar results: number of requests by result code, by ``status-<n>`` without a code,
        or by the name of the exception
    """

    sent: int = 0
    not_sent: int = 0
    elapsed_s: float = 0.0
    results: Counter[str] = field(default_factory=Counter)
    answered: LatencyHistogram = field(default_factory=LatencyHistogram)
    refused: LatencyHistogram = field(default_factory=LatencyHistogram)

    def to_plain(self) -> dict[str, object]:
        """Return plain data that can be serialized as JSON."""
        return {
            "sent": self.sent,
            "not_sent": self.not_sent,
            "elapsed_s": round(self.elapsed_s, 3),
            "results": dict(sorted(self.results.items())),
            "answered": _summarize(self.answered),
            "refused": _summarize(self.refused),
        }


def _summarize(histogram: LatencyHistogram) -> dict[str, float]:
    summary: dict[str, float] = {"count": histogram.count}
    if histogram.count:
        for quantile in SHOWN_QUANTILES:
            summary[f"p{quantile * 100:g}_s"] = histogram.quantile_s(quantile)
        summary["max_s"] = histogram.max_s()
    return summary


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send the requests of a plan and return the results."""
    report = LoadReport()
    count = int(plan.rate_per_s * plan.duration_s)
    in_flight = anyio.CapacityLimiter(plan.concurrency_limit)
    start_s = anyio.current_time()
    pools = [
        httpcore.AsyncConnectionPool(max_connections=POOL_CONNECTIONS)
        for _ in range(math.ceil(plan.concurrency_limit / POOL_CONNECTIONS))
    ]
    async with anyio.create_task_group() as tasks:
        for index in range(count):
            due_s = start_s + index / plan.rate_per_s
            await anyio.sleep_until(due_s)
            if in_flight.available_tokens <= 0:
                report.not_sent += 1
                continue
            token = object()
            in_flight.acquire_on_behalf_of_nowait(token)
            pool = pools[index % len(pools)]
            tasks.start_soon(_send_one, pool, plan, report, due_s, in_flight, token)
    for pool in pools:
        await pool.aclose()
    report.elapsed_s = anyio.current_time() - start_s
    return report


async def _send_one(
    pool: httpcore.AsyncConnectionPool,
    plan: LoadPlan,
    report: LoadReport,
    due_s: float,
    in_flight: anyio.CapacityLimiter,
    token: object,
) -> None:
    headers = list(plan.headers)
    if plan.keyed:
        headers.append(("idempotency-key", uuid.uuid4().hex))
    body = b"x" * plan.body_bytes if plan.body_bytes else None
    report.sent += 1
    try:
        with anyio.fail_after(due_s + plan.timeout_s - anyio.current_time()):
            response = await pool.request(
                plan.method, plan.url, headers=headers, content=body
            )
    except (
        TimeoutError,
        OSError,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    ) as error:
        report.results[type(error).__name__] += 1
        return
    finally:
        in_flight.release_on_behalf_of(token)
    latency_s = anyio.current_time() - due_s
    code = dict(response.headers).get(b"x-result-code", b"").decode()
    report.results[code or f"status-{response.status}"] += 1
    histogram = report.answered if response.status < 400 else report.refused
    histogram.record(latency_s)
