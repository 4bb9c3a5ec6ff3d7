"""Metrics of an entry: counters and latency histograms for Prometheus."""

from __future__ import annotations

from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily

from chivetray.events import Event, log_event
from chivetray.results import ResultCode

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

US_PER_S = 1_000_000


class LatencyHistogram:
    """Histogram of latencies from 1 us to 1 h."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.sum_s = 0.0

    def record(self, latency_s: float) -> None:
        """Record one latency."""
        self._histogram.record_value(max(LOWEST_US, int(latency_s * US_PER_S)))
        self.sum_s += latency_s

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile in seconds."""
        value = self._histogram.get_value_at_percentile(quantile * 100)
        return float(value) / US_PER_S

    def max_s(self) -> float:
        """Return the largest latency in seconds."""
        return float(self._histogram.get_max_value()) / US_PER_S


class _LatencyCollector:
    """Exports histograms as summaries with quantiles."""

    def __init__(self, histograms: dict[str, LatencyHistogram]):
        self._histograms = histograms

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield one metric family with a summary for each service."""
        family = SummaryMetricFamily(
            "chivetray_request_latency_seconds",
            "Time from a request's arrival to its whole answer.",
            labels=["service"],
        )
        for service, histogram in self._histograms.items():
            family.add_metric([service], histogram.count, histogram.sum_s)
            for quantile in QUANTILES:
                family.add_sample(
                    "chivetray_request_latency_seconds",
                    {"service": service, "quantile": str(quantile)},
                    histogram.quantile_s(quantile),
                )
        yield family


class ClosedClients:
    """Counts and logs connections that are closed over a limit."""

    def __init__(self, registry: CollectorRegistry):
        self._counter = Counter(
            "chivetray_clients_closed",
            "Connections that were closed over a limit, by listener.",
            ("listener", "limit"),
            registry=registry,
        )

    def record(self, listener: str, limit: str) -> None:
        """Count one connection.

        :param limit: name of the limit that it exceeded
        """
        self._counter.labels(listener, limit).inc()
        log_event(Event.CLIENT_CLOSED, listener=listener, limit=limit)


class Metrics:
    """All metrics of one entry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.results = self._counter(
            "chivetray_results", "Requests by result code.", "service", "code"
        )
        self.refusals = self._counter(
            "chivetray_refusals", "Refused requests by reason.", "service", "reason"
        )
        self.attempts = self._counter(
            "chivetray_attempts", "Attempts sent to endpoints.", "service"
        )
        self.retries = self._counter(
            "chivetray_retries", "Repeated attempts by reason.", "service", "reason"
        )
        self.retries_withheld = self._counter(
            "chivetray_retries_withheld",
            "Attempts that were not repeated, by reason.",
            "service",
            "reason",
        )
        self.ejections = self._counter(
            "chivetray_ejections", "Ejected endpoints by reason.", "reason"
        )
        self.rows_written = self._counter(
            "chivetray_rows_written", "Rows sent to the table service."
        )
        self.invariants_broken = self._counter(
            "chivetray_invariants_broken", "Invariants found broken.", "check"
        )
        self.revision = Gauge(
            "chivetray_revision",
            "Configuration revision in force.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "chivetray_in_flight_requests",
            "Requests in flight.",
            registry=self.registry,
        )
        self.waiting = Gauge(
            "chivetray_waiting_requests",
            "Requests that wait for a slot.",
            registry=self.registry,
        )
        self.live_peers = Gauge(
            "chivetray_live_peers", "Entries that are alive.", registry=self.registry
        )
        self.peer_bytes_sent = Gauge(
            "chivetray_peer_bytes_sent",
            "Bytes sent to other entries.",
            registry=self.registry,
        )
        self.closed_clients = ClosedClients(self.registry)
        self._latencies: dict[str, LatencyHistogram] = {}
        self.registry.register(_LatencyCollector(self._latencies))

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, registry=self.registry)

    def report_broken_invariant(self, check: str, **fields: object) -> None:
        """Count and log an invariant that does not hold."""
        self.invariants_broken.labels(check).inc()
        log_event(Event.INVARIANT_BROKEN, check=check, **fields)

    def record_result(self, service: str, code: ResultCode) -> None:
        """Count one finished request."""
        self.results.labels(service, code.name).inc()

    def record_refusal(self, service: str, code: ResultCode) -> None:
        """Count one refused request."""
        self.refusals.labels(service, code.name).inc()

    def record_latency(self, service: str, latency_s: float) -> None:
        """Record the latency of one answered request."""
        histogram = self._latencies.get(service)
        if histogram is None:
            histogram = self._latencies[service] = LatencyHistogram()
        histogram.record(latency_s)

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
