from __future__ import annotations

import signal
import time
from functools import partial

import pytest
from helpers import FleetPlan, send, send_many, wait_until

FIRST, SECOND = "zone-1-e1", "zone-1-e2"


class TestLeaving:
    def test_terminated_entry_cuts_no_request(self, start_fleet):
        fleet = start_fleet(FleetPlan())
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, delay_s=2.0)

        def terminate():
            time.sleep(0.5)
            fleet.signal(FIRST, signal.SIGTERM)
            ready = fleet.operators_url(FIRST, "/readyz")
            wait_until(lambda: send(ready).status != 200, "not ready", 1)
            return send(fleet.url(FIRST))

        calls = [lambda: send(fleet.url(FIRST)) for _ in range(8)]
        replies = send_many([*calls, terminate])
        assert [reply.status for reply in replies] == [200] * 9
        assert fleet.processes[FIRST].wait(10) == 0

    @pytest.mark.parametrize("state", ["leaving", "gone"])
    def test_leaving_endpoint_gets_nothing_new_within_two_seconds(
        self, start_fleet, state
    ):
        fleet = start_fleet(FleetPlan(entries_per_zone=2))
        fleet.endpoint_faults("zone-1-w1", delay_s=3.0)
        fleet.endpoint_faults("zone-1-w2", delay_s=0.01)

        def leave():
            time.sleep(0.5)
            fleet.list_vm("zone-1-w1", "endpoint", state)
            time.sleep(2.0)
            before = fleet.endpoint_state("zone-1-w1")["requests"]
            calls = [partial(send, fleet.url(entry)) for entry in fleet.entries * 20]
            replies = send_many(calls, workers=8)
            assert {reply.status for reply in replies} == {200}
            assert fleet.endpoint_state("zone-1-w1")["requests"] == before
            return replies[0]

        calls = [partial(send, fleet.url(entry)) for entry in fleet.entries * 4]
        replies = send_many([*calls, leave])
        assert [reply.status for reply in replies] == [200] * 9


class TestSlots:
    """Two entries share endpoints whose requests take a while."""

    @pytest.fixture(scope="class")
    @classmethod
    def fleet(cls, start_fleet):
        service = {"deadline_s": 20.0, "attempt_timeout_s": 20.0}
        fleet = start_fleet(FleetPlan(entries_per_zone=2, service=service))
        for name in fleet.endpoints:
            fleet.endpoint_faults(name, delay_s=0.2)
        return fleet

    def load(self, fleet, entries, count=120):
        calls = [
            partial(send, fleet.url(entries[n % len(entries)])) for n in range(count)
        ]
        return send_many(calls, workers=count)

    def test_endpoint_never_runs_more_than_its_slots(self, fleet):
        replies = self.load(fleet, fleet.entries)
        assert {reply.status for reply in replies} == {200}
        for name in fleet.endpoints:
            state = fleet.endpoint_state(name)
            assert state["over_admissions"] == 0
            assert state["most_running"] == 8

    def test_idle_entry_lends_its_slots(self, fleet):
        started = time.monotonic()
        replies = self.load(fleet, [FIRST], 160)
        elapsed_s = time.monotonic() - started
        assert {reply.status for reply in replies} == {200}
        # 160 requests of 0.2 s take 2 s in 16 slots, and 4 s in a fixed half.
        assert elapsed_s < 3.2
        for name in fleet.endpoints:
            assert fleet.endpoint_state(name)["over_admissions"] == 0

    @pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
    def test_slots_of_a_lost_entry_come_back(self, fleet, number):
        fleet.signal(FIRST, number)
        time.sleep(5)
        replies = self.load(fleet, [SECOND], 100)
        assert {reply.status for reply in replies} == {200}
        for name in fleet.endpoints:
            assert fleet.endpoint_state(name)["over_admissions"] == 0
        status = fleet.status(SECOND)
        assert status["zone_entries"] == [SECOND]
        if number is signal.SIGSTOP:
            fleet.signal(FIRST, signal.SIGCONT)
        else:
            fleet.processes[FIRST].wait()
            fleet.start_entry(FIRST)
        fleet.wait_ready(FIRST)
        wait_until(
            lambda: len(fleet.status(SECOND)["zone_entries"]) == 2, "both entries"
        )


class TestRevisions:
    def test_new_entry_learns_the_revision_from_its_peers(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=2))
        fleet.kill(SECOND)
        fleet.platform_faults(down=True)
        fleet.start_entry(SECOND)
        fleet.wait_ready(SECOND)
        assert send(fleet.url(SECOND)).status == 200
        assert fleet.status(SECOND)["revision"] == 1

    def test_publication_is_in_force_everywhere_within_two_seconds(self, start_fleet):
        fleet = start_fleet(FleetPlan(zones=2, entries_per_zone=2))
        objects = fleet.objects()
        objects["services"][0]["path_prefixes"] = ["/renamed"]
        fleet.publish(objects, "--expect", "1")
        published = time.monotonic()
        for entry in fleet.entries:
            url = fleet.url(entry, "/renamed")
            wait_until(lambda url=url: send(url).status == 200, "the new path", 2)
        assert time.monotonic() - published < 2.0

    def test_second_operator_gets_a_conflict(self, start_fleet):
        fleet = start_fleet(FleetPlan())
        path = str(fleet.write_objects())
        objects = fleet.objects()
        objects["services"][0]["deadline_s"] = 3
        fleet.publish(objects)
        done = fleet.command(
            "publish", path, "--expect", "1", "--platform", fleet.platform
        )
        assert done.returncode == 3
        assert "error 402" in done.stderr
        assert "service work put" in done.stderr

    def test_publish_survives_a_lost_answer(self, start_fleet):
        fleet = start_fleet(FleetPlan())
        fleet.platform_faults(lose_answers=1)
        objects = fleet.objects()
        objects["services"][0]["deadline_s"] = 3
        done = fleet.publish(objects, "--wait", "5")
        assert "revision 2 is published" in done.stdout

    def test_restored_store_does_not_turn_the_revision_back(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=1))
        objects = fleet.objects()
        objects["services"][0]["deadline_s"] = 3
        fleet.publish(objects, "--wait", "5")
        fleet.kill("platform")
        fleet.start_platform()
        fleet.publish()
        time.sleep(2)
        assert fleet.status(FIRST)["revision"] == 2
