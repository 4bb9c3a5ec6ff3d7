from __future__ import annotations

import pytest
from helpers import FleetPlan, send, send_many

ENTRY = "zone-1-e1"


class TestOneBadEndpoint:
    """Of two endpoints the first or both misbehave."""

    @pytest.fixture(scope="class")
    @classmethod
    def fleet(cls, start_fleet):
        service = {"attempt_timeout_s": 0.5, "deadline_s": 2.0}
        outliers = {"consecutive_failures": 1000}
        return start_fleet(FleetPlan(service=service, settings={"outliers": outliers}))

    @pytest.fixture(autouse=True)
    def heal(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name)

    @pytest.mark.parametrize("fault", ["truncate", "wrong_attempt", "stalled"])
    def test_idempotent_request_is_answered_by_the_other(self, fleet, fault):
        fleet.endpoint_faults("zone-1-w1", **{fault: True})
        reply = send(fleet.url(ENTRY), headers={"x-request-id": f"get-{fault}"})
        assert reply.status == 200, reply
        assert reply.json()["endpoint"] == "zone-1-w2"
        assert reply.json()["request"] == f"get-{fault}"

    @pytest.mark.parametrize(
        ("fault", "code"), [("truncate", 200), ("wrong_attempt", 202), ("stalled", 201)]
    )
    def test_sent_request_is_not_repeated(self, fleet, fault, code):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, **{fault: True})
        headers = {"x-request-id": f"post-{fault}"}
        reply = send(fleet.url(ENTRY), "POST", headers, b"order")
        assert (reply.code, reply.ran) == (code, "unknown"), reply
        assert fleet.ledger()[f"post-{fault}"] == 1
        assert reply.elapsed_s < 2.1

    def test_refused_request_runs_at_the_other(self, fleet):
        fleet.endpoint_faults("zone-1-w1", refuse=True)
        headers = {"x-request-id": "refused-once"}
        reply = send(fleet.url(ENTRY), "POST", headers, b"order")
        assert reply.json()["endpoint"] == "zone-1-w2"
        assert fleet.ledger()["refused-once"] == 1

    def test_request_refused_by_all_is_not_run(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, refuse=True)
        headers = {"x-request-id": "refused-by-all"}
        reply = send(fleet.url(ENTRY), "POST", headers, b"order")
        assert (reply.code, reply.ran) == (112, "no"), reply
        assert "retry-after" in reply.headers
        assert "refused-by-all" not in fleet.ledger()

    def test_cut_stream_closes_the_callers_connection(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, truncate=True)
        headers = {"x-answer-bytes": str(8 * 1024 * 1024)}
        assert send(fleet.url(ENTRY), headers=headers).status == 0

    def test_large_answer_is_streamed_whole(self, fleet):
        size = 8 * 1024 * 1024
        reply = send(fleet.url(ENTRY), headers={"x-answer-bytes": str(size)})
        assert reply.body.endswith(b"\n" + b"x" * size)


class TestOutage:
    def test_retries_stay_within_their_budget(self, start_fleet):
        fleet = start_fleet(FleetPlan(settings={"outliers": {"ejection_s": 0.1}}))
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, truncate=True)
        count = 300
        calls = [lambda: send(fleet.url(ENTRY)) for _ in range(count)]
        replies = send_many(calls, workers=8)
        assert all(reply.status >= 500 for reply in replies)
        assert fleet.metric(ENTRY, "chivetray_attempts_total") <= 1.2 * count
        assert fleet.metric(ENTRY, "chivetray_retries_total") > 0

    def test_dead_endpoints_cost_no_request_while_one_lives(self, start_fleet):
        fleet = start_fleet(FleetPlan(endpoints_per_zone=3))
        fleet.kill("zone-1-w1")
        fleet.kill("zone-1-w2")
        calls = [lambda: send(fleet.url(ENTRY), "POST", body=b"x") for _ in range(50)]
        replies = send_many(calls, workers=4)
        assert {reply.status for reply in replies} == {200}
        fleet.kill("zone-1-w3")
        reply = send(fleet.url(ENTRY), "POST", body=b"x")
        assert reply.ran == "no", reply

    def test_ejection_leaves_what_the_budget_needs(self, start_fleet):
        fleet = start_fleet(FleetPlan(endpoints_per_zone=4))
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, error_after_run=True)
        send_many([lambda: send(fleet.url(ENTRY)) for _ in range(200)], workers=8)
        ejected = fleet.status(ENTRY)["ejected"]
        assert 0 < len(ejected) <= 2
        assert "EJECTION_WITHHELD" in fleet.log(ENTRY)
