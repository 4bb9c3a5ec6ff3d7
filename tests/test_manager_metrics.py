"""Metrics of a manager."""

from __future__ import annotations

from prometheus_client.parser import text_string_to_metric_families

from chivetray.events import Event
from chivetray.manager_metrics import GAUGES, LATENCY_NAME, ManagerMetrics


def samples(metrics: ManagerMetrics) -> dict[tuple[str, ...], float]:
    """Return the values by name and labels, as a reader parses them."""
    text = metrics.render().decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def make(**gauges: float) -> ManagerMetrics:
    return ManagerMetrics(
        lambda: {(name, "a"): value for name, value in gauges.items()}
    )


class TestEvents:
    def test_outcomes_are_counted_apart(self) -> None:
        metrics = make()
        for verdict in ("ok", "no answer", "no answer"):
            fields = {"order": "start", "verdict": verdict, "task": "x.0.0.1"}
            metrics.observe_event(Event.ORDER_FAILED, fields)
        found = samples(metrics)
        name = "chivetray_events_total"
        assert found[name, "ORDER_FAILED", "no answer start"] == 2
        assert found[name, "ORDER_FAILED", "ok start"] == 1

    def test_names_of_jobs_are_no_labels(self) -> None:
        metrics = make()
        for job in range(100):
            metrics.observe_event(Event.JOB_ACCEPTED, {"job": str(job), "cell": "a"})
        assert samples(metrics)["chivetray_events_total", "JOB_ACCEPTED", ""] == 100

    def test_a_completed_job_tells_its_latency(self) -> None:
        metrics = make()
        fields = {"state": "COMPLETED", "took_s": 1.5}
        metrics.observe_event(Event.JOB_ENDED, fields)
        metrics.observe_event(Event.JOB_ENDED, {"state": "CANCELLED"})
        found = samples(metrics)
        assert found[LATENCY_NAME + "_count", "acceptance to completion"] == 1
        median_s = found[LATENCY_NAME, "acceptance to completion", "0.5"]
        assert 1.4 < median_s < 1.6


class TestGauges:
    def test_each_is_shown_with_what_it_is_about(self) -> None:
        metrics = make(**dict.fromkeys(GAUGES, 2.5))
        found = samples(metrics)
        assert all(found[name, "a"] == 2.5 for name in GAUGES)
