from __future__ import annotations

import time
from functools import partial

import pytest
from helpers import FleetPlan, send, send_many, wait_until

FIRST, SECOND = "zone-1-e1", "zone-1-e2"


class TestIdempotencyKey:
    @pytest.fixture(scope="class")
    @classmethod
    def fleet(cls, start_fleet):
        return start_fleet(FleetPlan(entries_per_zone=2))

    @pytest.fixture(autouse=True)
    def heal(self, fleet):
        fleet.platform_faults()
        for name in fleet.endpoints:
            fleet.endpoint_faults(name)

    def post(self, fleet, entry, key, body=b"order", request_id="", **headers):
        headers = {"idempotency-key": key, **headers}
        if request_id:
            headers["x-request-id"] = request_id
        return send(fleet.url(entry), "POST", headers, body)

    def runs(self, fleet, prefix):
        ledger = fleet.ledger()
        return sum(n for name, n in ledger.items() if name.startswith(prefix))

    def test_repeat_at_another_entry_gets_the_stored_answer(self, fleet):
        first = self.post(fleet, FIRST, "k-stored", request_id="stored-1")

        def repeat():
            reply = self.post(fleet, SECOND, "k-stored", request_id="stored-2")
            return reply if reply.status == 200 else None

        assert wait_until(repeat, "the stored answer", 5).body == first.body
        assert self.runs(fleet, "stored-") == 1

    def test_racing_repeats_run_once(self, fleet):
        calls = [
            partial(self.post, fleet, entry, "k-race", request_id=f"race-{n}")
            for n, entry in enumerate([FIRST, SECOND] * 10)
        ]
        replies = send_many(calls)
        assert any(reply.status == 200 for reply in replies)
        assert self.runs(fleet, "race-") == 1

    def test_other_request_under_the_same_key_is_refused(self, fleet):
        self.post(fleet, FIRST, "k-other", request_id="other-1")
        reply = self.post(fleet, SECOND, "k-other", b"more", request_id="other-2")
        assert (reply.code, reply.ran) == (116, "no")
        assert self.runs(fleet, "other-2") == 0

    def test_lost_answer_of_the_claim_is_resolved(self, fleet):
        fleet.platform_faults(lose_answers=1)
        reply = self.post(fleet, FIRST, "k-lost", request_id="lost-1")
        assert reply.status == 200, reply
        assert self.runs(fleet, "lost-") == 1
        assert "CLAIM_RESOLVED" in fleet.log(FIRST)

    def test_request_is_refused_while_the_store_is_away(self, fleet):
        fleet.platform_faults(down=True)
        headers = {"request-timeout-s": "1"}
        reply = self.post(fleet, FIRST, "k-down", request_id="down-1", **headers)
        assert (reply.code, reply.ran) == (113, "no"), reply
        assert send(fleet.url(FIRST)).status == 200
        assert self.runs(fleet, "down-") == 0

    def test_key_of_a_refused_request_can_be_used_again(self, fleet):
        fleet.platform_faults(lose_answers=1000)
        headers = {"request-timeout-s": "0.5"}
        reply = self.post(fleet, FIRST, "k-again", request_id="again-1", **headers)
        assert (reply.code, reply.ran) == (113, "no"), reply
        fleet.platform_faults()

        def repeat():
            reply = self.post(fleet, SECOND, "k-again", request_id="again-2")
            return reply.status == 200

        wait_until(repeat, "the released key", 10)
        assert self.runs(fleet, "again-") == 1

    def test_key_of_a_request_that_was_not_run_can_be_used_again(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, refuse=True)
        reply = self.post(fleet, FIRST, "k-unrun", request_id="unrun-1")
        assert (reply.code, reply.ran) == (112, "no"), reply
        for name in fleet.endpoints:
            fleet.endpoint_faults(name)

        def repeat():
            reply = self.post(fleet, SECOND, "k-unrun", request_id="unrun-2")
            return reply.status == 200

        wait_until(repeat, "the released key", 5)
        assert self.runs(fleet, "unrun-") == 1

    def test_lost_outcome_is_unknown_and_never_run_again(self, fleet):
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, truncate=True)
        first = self.post(fleet, FIRST, "k-cut", request_id="cut-1")
        assert first.ran == "unknown"
        for name in fleet.endpoints:
            fleet.endpoint_faults(name)

        def repeat():
            reply = self.post(fleet, SECOND, "k-cut", request_id="cut-2")
            return reply.code == 205

        wait_until(repeat, "the closed claim", 5)
        assert self.runs(fleet, "cut-") == 1

    @pytest.mark.parametrize("key", ["", "x" * 256])
    def test_bad_key_is_refused(self, fleet, key):
        reply = self.post(fleet, FIRST, key, request_id="bad-key")
        assert (reply.code, reply.ran) == (115, "no")


class TestEntryDeath:
    def test_request_of_a_killed_entry_is_never_run_again(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=2))
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, delay_s=1.0)
        headers = {"idempotency-key": "k-killed", "request-timeout-s": "2"}

        def first():
            return send(fleet.url(FIRST), "POST", {**headers, "x-request-id": "a"})

        def kill():
            wait_until(lambda: fleet.ledger()["a"], "the first run")
            fleet.kill(FIRST)
            return send(fleet.url(SECOND), "POST", {**headers, "x-request-id": "b"})

        broken, repeat = send_many([first, kill])
        assert broken.status == 0
        assert (repeat.code, repeat.ran) == (204, "unknown"), repeat
        assert float(repeat.headers["retry-after"]) > 0
        time.sleep(float(repeat.headers["retry-after"]))
        late = send(fleet.url(SECOND), "POST", {**headers, "x-request-id": "c"})
        assert (late.code, late.ran) == (205, "unknown"), late
        assert fleet.ledger() == {"a": 1}


class TestRetention:
    def test_expired_claims_are_removed_and_others_stay(self, start_fleet):
        claims = {"retention_s": 3.0}
        duties = {"sweep_interval_s": 0.3}
        settings = {"claims": claims, "duties": duties}
        fleet = start_fleet(FleetPlan(settings=settings))

        def rows():
            return len(fleet.read_rows("claims"))

        for number in range(3):
            headers = {"idempotency-key": f"k-{number}"}
            assert send(fleet.url(FIRST), "POST", headers, b"x").status == 200
        assert rows() == 3
        wait_until(lambda: rows() == 0, "the sweep", 10)
