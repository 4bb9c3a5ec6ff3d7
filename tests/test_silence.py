from __future__ import annotations

import signal
import time
from functools import partial

from helpers import FleetPlan, send, send_many, wait_until

FIRST, SECOND = "zone-1-e1", "zone-1-e2"


class TestSilentEndpointConnections:
    def test_requests_go_on_over_new_connections(self, start_fleet):
        service = {"attempt_timeout_s": 0.5, "deadline_s": 3.0}
        fleet = start_fleet(FleetPlan(service=service, endpoint_relays=True))
        url = fleet.url(FIRST)
        warm_up = [partial(send, url), partial(send, url, "POST", body=b"x")] * 16
        assert {reply.status for reply in send_many(warm_up)} == {200}
        for name in fleet.endpoints:
            fleet.signal(f"{name}-relay", signal.SIGUSR1)
        time.sleep(1.0)
        post = send(fleet.url(FIRST), "POST", {"x-request-id": "post"}, b"order")
        assert post.status == 200, post
        gets = send_many([partial(send, fleet.url(FIRST))] * 4)
        assert {reply.status for reply in gets} == {200}
        assert send(fleet.url(FIRST)).elapsed_s < 0.4


class TestSilentPeerConnections:
    def test_a_peer_that_is_cut_off_comes_back(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=2, peer_relays=True))

        def sees(entry, count):
            return lambda: len(fleet.status(entry)["zone_entries"]) == count

        wait_until(sees(FIRST, 2), "both entries")
        for entry in fleet.entries:
            fleet.signal(f"{entry}-relay", signal.SIGUSR2)
        wait_until(sees(FIRST, 1), "the loss of the peer", 4)
        wait_until(sees(SECOND, 1), "the loss of the peer", 4)
        replies = send_many([partial(send, fleet.url(e)) for e in fleet.entries * 4])
        assert {reply.status for reply in replies} == {200}
        for entry in fleet.entries:
            fleet.signal(f"{entry}-relay", signal.SIGUSR2)
        wait_until(sees(FIRST, 2), "the return of the peer", 4)
        wait_until(sees(SECOND, 2), "the return of the peer", 4)
        assert fleet.metric(FIRST, "chivetray_invariants_broken") == 0

    def test_open_stream_that_goes_silent_is_replaced(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=2, peer_relays=True))
        wait_until(lambda: len(fleet.status(FIRST)["peers"]) == 1, "the peer")
        fleet.signal(f"{SECOND}-relay", signal.SIGUSR1)
        wait_until(lambda: "PEER_LOST" in fleet.log(FIRST), "the loss", 4)
        wait_until(lambda: len(fleet.status(FIRST)["peers"]) == 1, "the peer", 4)


class TestPlatformOutage:
    def test_requests_go_on_and_configuration_stands_still(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=2))
        fleet.platform_faults(stalled=True)
        wait_until(lambda: not fleet.status(FIRST)["platform_answers"], "outage", 5)
        replies = send_many([partial(send, fleet.url(e)) for e in fleet.entries * 50])
        assert {reply.status for reply in replies} == {200}
        assert max(reply.elapsed_s for reply in replies) < 1.0
        fleet.platform_faults()
        objects = fleet.objects()
        objects["services"][0]["deadline_s"] = 3
        fleet.publish(objects, "--wait", "10")
        assert fleet.status(FIRST)["revision"] == 2
