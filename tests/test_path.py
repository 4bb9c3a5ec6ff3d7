from __future__ import annotations

from helpers import FleetPlan, send, send_many


class TestWholePath:
    def test_request_is_answered_through_three_processes(self, start_fleet):
        fleet = start_fleet(FleetPlan(endpoints_per_zone=1))
        reply = send(fleet.url("zone-1-e1", "/work/a%2Fb?lot=7"))
        assert reply.status == 200
        answer = reply.json()
        assert (answer["path"], answer["query"]) == ("/work/a%2Fb", "lot=7")
        assert answer["endpoint"] == "zone-1-w1"

    def test_thousand_requests_get_whole_answers_of_their_own(self, start_fleet):
        fleet = start_fleet(FleetPlan(entries_per_zone=3, endpoints_per_zone=8))

        def call(index: int):
            entry = fleet.entries[index % 3]
            headers = {"x-request-id": f"r{index}", "x-answer-bytes": str(index)}
            return lambda: send(fleet.url(entry, f"/work/{index}"), headers=headers)

        replies = send_many([call(index) for index in range(1000)])
        for index, reply in enumerate(replies):
            assert reply.status == 200, reply
            assert reply.json()["request"] == f"r{index}"
            assert reply.json()["path"] == f"/work/{index}"
            assert reply.body.endswith(b"\n" + b"x" * index)
        assert set(fleet.ledger().values()) == {1}
