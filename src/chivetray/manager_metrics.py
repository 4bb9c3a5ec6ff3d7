"""Metrics of a manager: event counters, latencies and the age of its data."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily, SummaryMetricFamily

from chivetray.events import Event
from chivetray.metrics import QUANTILES, ClosedClients, LatencyHistogram

LATENCY_NAME = "chivetray_manager_latency_seconds"

# Fields of events that have few values and distinguish outcomes.
OUTCOME_FIELDS = (
    "verdict",
    "answer",
    "how",
    "state",
    "code",
    "released",
    "order",
    "condition",
    "way",
)

# Events that carry a latency: name of the latency and field that holds it.
LATENCY_EVENTS = {
    Event.TASK_PLACED.name: ("acceptance to placement", "waited_s"),
    Event.JOB_ENDED.name: ("acceptance to completion", "took_s"),
    Event.CONFIG_APPLIED.name: ("configuration known to applied", "behind_s"),
}

# Limit on the pairs of labels of refusals. Within it, each reason has a pair for the
# organisations that have none of their own.
MAX_REFUSAL_LABELS = 50
MAX_REFUSAL_REASONS = 10
OTHER_ORGANISATIONS = "(other)"
# Bounds of the buckets of actual by predicted time to completion. A prediction that is
# wrong by a factor of three in either direction lies outside of the outer ones.
PREDICTION_RATIO_BUCKETS = (1 / 3, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0)

# Returns the value of each gauge by the name of the gauge and its subject.
ReadGauges = Callable[[], Mapping[tuple[str, str], float]]

GAUGES = {
    "chivetray_configuration_version": "Configuration version in force.",
    "chivetray_configuration_age_seconds": "Time since that version was applied.",
    "chivetray_configuration_behind_seconds": "Time since a newer version is known "
    "than the one in force, 0 while none is.",
    "chivetray_worker_list_age_seconds": "Time since the workers were last read.",
    "chivetray_cell_jobs": "Jobs of an owned cell that have not ended.",
    "chivetray_cell_avoided_workers": "Workers of an owned cell that get only tasks "
    "that no other has room for, judged by their own runs.",
    "chivetray_cell_run_time_distributions": "Learned distributions of run times.",
    "chivetray_cell_confirmed_age_seconds": "Time since the last write of an owned "
    "cell; its leases are not extended after 4 s.",
    "chivetray_peers": "Managers with an open stream.",
    "chivetray_relayed_store_calls": "Calls of the store that went through a peer.",
} | {
    f"chivetray_organisation_{kind}_{resource}": f"{text} ({resource})."
    for kind, text in (
        ("use", "Use of an organisation in the cells of this process"),
        ("share", "Share of its cap that these cells hold"),
        ("cap", "Cap of an organisation, in all cells together"),
    )
    for resource in ("cores", "mem_mb", "gpus")
}


class ManagerMetrics:
    """All metrics of one manager.

    :param read_gauges: called for each rendering
    """

    def __init__(self, read_gauges: ReadGauges):
        self.registry = CollectorRegistry()
        self._events = Counter(
            "chivetray_events",
            "Decisions and changes of belief, as in the log; see EVENTS.md.",
            ("event", "outcome"),
            registry=self.registry,
        )
        self._answers = Counter(
            "chivetray_job_answers",
            "Answers to callers by result.",
            ("code",),
            registry=self.registry,
        )
        self._refusals = Counter(
            "chivetray_refusals",
            "Refused calls by reason and organisation of the caller.",
            ("reason", "organisation"),
            registry=self.registry,
        )
        self._refusal_labels: set[tuple[str, str]] = set()
        self._prediction_ratios = Histogram(
            "chivetray_job_completion_ratio",
            "Time to the completion of a job by the time predicted when it was added.",
            buckets=PREDICTION_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.closed_clients = ClosedClients(self.registry)
        self._latencies: dict[str, LatencyHistogram] = {}
        self._read_gauges = read_gauges
        self.registry.register(self)

    def observe_event(self, event: Event, fields: Mapping[str, Any]) -> None:
        """Count an event and record the latency that it carries, if any."""
        outcomes = [str(fields[name]) for name in OUTCOME_FIELDS if name in fields]
        self._events.labels(event.name, " ".join(outcomes)).inc()
        if fields.get("predicted_s") and "took_s" in fields:
            ratio = fields["took_s"] / fields["predicted_s"]
            self._prediction_ratios.observe(ratio)
        name, field = LATENCY_EVENTS.get(event.name, ("", ""))
        # Later steps wait for earlier ones, so only the first is measured.
        if field in fields and fields.get("step", 0) == 0:
            self.observe_latency(name, fields[field])

    def observe_latency(self, name: str, latency_s: float) -> None:
        """Record one latency."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = self._latencies[name] = LatencyHistogram()
        histogram.record(latency_s)

    def count_answer(self, code: str) -> None:
        """Count one answer to a caller."""
        self._answers.labels(code).inc()

    def count_refusal(self, reason: str, organisation: str) -> None:
        """Count one refused call.

        :param reason: one of at most ``MAX_REFUSAL_REASONS``
        :param organisation: organisation of the caller, empty if it is not known
        """
        labels = (reason, organisation)
        if labels not in self._refusal_labels:
            if len(self._refusal_labels) < MAX_REFUSAL_LABELS - MAX_REFUSAL_REASONS:
                self._refusal_labels.add(labels)
            else:
                labels = (reason, OTHER_ORGANISATIONS)
        self._refusals.labels(*labels).inc()

    def collect(self) -> Iterator[SummaryMetricFamily | GaugeMetricFamily]:
        """Yield the latencies and the gauges; called by the registry."""
        latencies = SummaryMetricFamily(
            LATENCY_NAME, "Latencies of calls and of jobs.", labels=["of"]
        )
        for name, histogram in self._latencies.items():
            latencies.add_metric([name], histogram.count, histogram.sum_s)
            for quantile in QUANTILES:
                labels = {"of": name, "quantile": str(quantile)}
                value_s = histogram.quantile_s(quantile)
                latencies.add_sample(LATENCY_NAME, labels, value_s)
        yield latencies
        values = self._read_gauges()
        for name, text in GAUGES.items():
            gauge = GaugeMetricFamily(name, text, labels=["about"])
            for (gauge_name, subject), value in values.items():
                if gauge_name == name:
                    gauge.add_metric([subject], value)
            yield gauge

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
