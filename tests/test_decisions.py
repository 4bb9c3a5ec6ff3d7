from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivetray.fleet.catalog import Catalog, Change, object_set_from_plain
from chivetray.fleet.revision import Revision, RevisionState
from chivetray.generated.objects import ObjectSet, Service
from chivetray.generated.settings import OutlierSettings, RetrySettings
from chivetray.requests.estimates import RunTimeEstimate
from chivetray.requests.outliers import Ejection, FailureReason, OutlierTable
from chivetray.requests.retries import RetryBudget
from chivetray.requests.routing import Router


def make_service(name: str, prefixes: list[str], hosts: tuple[str, ...] = ()):
    return Service(name, ["p"], "b", hosts=list(hosts), path_prefixes=prefixes)


class TestRouter:
    @pytest.fixture
    def router(self):
        return Router(
            [
                make_service("root", ["/"]),
                make_service("quotes", ["/quotes"]),
                make_service("lots", ["/quotes/lots/"]),
                make_service("mill", ["/quotes"], ("mill.example",)),
            ]
        )

    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("any", "/quotes", "quotes"),
            ("any", "/quotes/", "quotes"),
            ("any", "/quotes/lots/7", "lots"),
            ("any", "/quotesque", "root"),
            ("Mill.Example:8080", "/quotes/lots", "mill"),
            ("mill.example", "/other", "root"),
        ],
    )
    def test_longest_prefix_of_the_host_wins(self, router, host, path, name):
        assert router.find_service(host, path).name == name

    def test_unknown_path_has_no_service(self):
        assert Router([make_service("a", ["/a"])]).find_service("any", "/b") is None


class TestRetryBudget:
    @given(st.lists(st.booleans(), min_size=100, max_size=500))
    def test_retries_stay_below_a_fifth(self, tries):
        budget = RetryBudget.from_config(RetrySettings())
        requests = retries = 0
        for is_retry in tries:
            if is_retry:
                retries += budget.take_retry()
            else:
                requests += 1
                budget.add_request()
        assert retries <= 10 + 0.1 * requests


class TestOutliers:
    @pytest.fixture
    def table(self):
        return OutlierTable(OutlierSettings())

    def fail(self, table, times, now_s=0.0, may_eject=True):
        reason = FailureReason.BROKEN
        return [
            table.record_failure("w", reason, may_eject, now_s) for _ in range(times)
        ][-1]

    def test_failures_in_a_row_eject(self, table):
        assert self.fail(table, 4) is Ejection.NONE
        assert self.fail(table, 1) is Ejection.EJECTED
        assert not table.is_available("w", True, 1.9)

    def test_success_forgets_the_failures(self, table):
        self.fail(table, 4)
        table.record_success("w")
        assert self.fail(table, 4) is Ejection.NONE

    def test_one_idempotent_request_goes_on_trial(self, table):
        self.fail(table, 5)
        assert not table.is_available("w", False, 2.0)
        assert table.is_available("w", True, 2.0)
        table.record_start("w")
        assert not table.is_available("w", True, 2.0)

    def test_failed_trial_ejects_for_longer(self, table):
        self.fail(table, 5)
        table.record_start("w")
        assert self.fail(table, 1, now_s=2.0) is Ejection.EJECTED
        assert not table.is_available("w", True, 5.9)
        assert table.is_available("w", True, 6.0)

    def test_budget_withholds_the_ejection(self, table):
        assert self.fail(table, 9, may_eject=False) is Ejection.WITHHELD
        assert table.is_available("w", False, 0.0)
        assert not table.is_preferred("w", True, 0.0)
        assert table.is_preferred("w", True, 60.0)

    def test_refused_connection_avoids_at_once(self, table):
        table.record_failure("w", FailureReason.NOT_CONNECTED, True, 0.0)
        assert not table.is_preferred("w", True, 0.1)


class TestRunTimeEstimate:
    def test_estimate_follows_the_samples(self):
        estimate = RunTimeEstimate()
        for _ in range(100):
            estimate.record(0.2)
        assert estimate.mean_s == pytest.approx(0.2)
        assert estimate.upper_estimate_s == pytest.approx(0.2, abs=0.01)


def make_revision(number: int, full: bool = False, publish_id: str = "") -> Revision:
    put = object_set_from_plain(
        {"format_version": 1, "zones": [{"name": f"z{number}"}]}
    )
    content = Change(put=put).to_json()
    return Revision(number, publish_id or f"p{number}", full, content)


class TestRevisionState:
    @given(st.lists(st.integers(1, 12), max_size=40))
    def test_number_never_falls_and_no_change_is_skipped(self, numbers):
        state = RevisionState()
        for number in numbers:
            before = state.number
            state.apply_if_newer(make_revision(number, full=number % 5 == 1), "test")
            assert state.number >= before
            if state.number != before and state.number % 5 != 1:
                assert state.number == before + 1

    def test_damaged_revision_is_ignored(self):
        state = RevisionState()
        assert not state.apply_if_newer(Revision(1, "p", True, "{not json"), "test")
        assert state.number == 0

    def test_peer_catches_up_from_any_revision(self):
        state = RevisionState()
        for number in range(1, 3000):
            state.apply_if_newer(make_revision(number, full=number == 1), "test")
        for behind in (0, 5, 300, 2900, 2998, 2999):
            peer = RevisionState()
            for number in range(1, behind + 1):
                peer.apply_if_newer(make_revision(number, full=number == 1), "test")
            for revision in state.revisions_after(peer.number):
                peer.apply_if_newer(revision, "peer")
            assert peer.catalog == state.catalog

    def test_subscribers_see_every_revision_at_once(self):
        state = RevisionState()
        seen = []
        state.subscribe(lambda: seen.append(state.number))
        for number in (1, 2, 3):
            state.apply_if_newer(make_revision(number, full=number == 1), "test")
        assert seen == [1, 2, 3]


class TestChange:
    @given(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)))
    def test_difference_leads_to_the_newer_set(self, old, new):
        def catalog(numbers):
            zones = [{"name": f"z{n}"} for n in sorted(numbers)]
            plain = {"format_version": 1, "zones": zones}
            return Catalog.from_object_set(object_set_from_plain(plain))

        before, after = catalog(old), catalog(new)
        change = Change.from_json(before.difference(after).to_json())
        before.apply(change)
        assert before == after

    def test_equal_sets_differ_by_nothing(self):
        assert Catalog().difference(Catalog()).is_empty
        assert Change(put=ObjectSet()).is_empty
