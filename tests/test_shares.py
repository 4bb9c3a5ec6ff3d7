"""Shares of a fleet that is too small for all its queues at once.

Each class names the pattern of load that it answers.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from chivetray.capacity.move_plan import Move, plan_moves
from chivetray.capacity.sizing import (
    MIN_VMS,
    PoolState,
    PoolVm,
    share_out,
    share_vms,
)

VM_MILLI = 16_000

wishes_of_queues = st.lists(st.integers(0, 200), min_size=1, max_size=8)
totals = st.integers(0, 400)


def busy_vm(name: str, empties_in_ms: int | None = 1000) -> PoolVm:
    return PoolVm(name, f"w-{name}", VM_MILLI, 3, 0, True, empties_in_ms)


def pool(name: str, vms: int, demand_vms: float, late_vms: float = 0.0) -> PoolState:
    return PoolState(
        name,
        int(demand_vms * VM_MILLI),
        [busy_vm(f"{name}{number}", 100 * number) for number in range(vms)],
        late_demand_milli=int(late_vms * VM_MILLI),
    )


class TestSharesOfAnyQueues:
    @given(totals, wishes_of_queues)
    def test_nothing_is_left_while_a_wish_is_open(
        self, total: int, wishes: list[int]
    ) -> None:
        shares = share_out(total, wishes)
        assert sum(shares) == min(total, sum(wishes))
        assert all(s <= w for s, w in zip(shares, wishes, strict=True))

    @given(totals, wishes_of_queues)
    def test_no_queue_lacks_what_another_one_has_beyond_it(
        self, total: int, wishes: list[int]
    ) -> None:
        shares = share_out(total, wishes)
        for share, wish in zip(shares, wishes, strict=True):
            if share < wish:
                assert max(shares) <= share + 1

    @given(totals, wishes_of_queues)
    def test_a_vm_more_takes_none_from_any_queue(
        self, total: int, wishes: list[int]
    ) -> None:
        before, after = share_out(total, wishes), share_out(total + 1, wishes)
        # Which of several equal queues gets the odd VM may change.
        assert all(b <= a + 1 for b, a in zip(before, after, strict=True))
        assert sorted(before) <= sorted(after)

    @given(totals, st.integers(0, 200), st.integers(1, 8))
    def test_equal_queues_get_equal_shares(
        self, total: int, wish: int, count: int
    ) -> None:
        shares = share_out(total, [wish] * count)
        assert max(shares) - min(shares) <= 1


class TestTurnOfASecondQueueDuringTheFirstOnes:
    """One queue took the whole fleet, and the next one got nothing for 15 s."""

    def test_the_first_queue_gives_back_what_late_work_holds(self) -> None:
        pools = [pool("a", 51, 16, late_vms=60), pool("b", 2, 20)]
        moves = plan_moves(pools, "spare", []).moves
        assert all(move.source == "a" and move.target == "b" for move in moves)
        shares = share_vms(pools, 53, VM_MILLI)
        assert len(moves) == shares[1].wanted_in_time - 2

    def test_vms_that_both_need_in_time_are_not_exchanged(self) -> None:
        assert (
            plan_moves([pool("a", 51, 60), pool("b", 2, 20)], "spare", []).moves == []
        )

    def test_idle_vms_go_to_the_queue_below_its_share(self) -> None:
        spares = [PoolVm(f"s{n}", "", VM_MILLI, 0, 0, True) for n in range(8)]
        moves = plan_moves(
            [pool("a", 40, 200), pool("b", 2, 20)], "spare", spares
        ).moves
        assert [move.target for move in moves] == ["b"] * 8

    def test_vms_that_are_empty_soonest_are_given(self) -> None:
        moves = plan_moves([pool("a", 20, 1, 30), pool("b", 2, 4)], "spare", []).moves
        assert [move.machine for move in moves] == ["a0", "a1", "a2"]

    def test_vms_that_take_no_new_tasks_already_are_kept_on(self) -> None:
        pools = [pool("a", 20, 1, 30), pool("b", 2, 4)]
        requests = {f"a{n}": Move(f"a{n}", f"w-a{n}", "a", "b") for n in (7, 8, 9)}
        moves = plan_moves(pools, "spare", [], requests).moves
        assert {move.machine for move in moves} == {"a7", "a8", "a9"}

    def test_a_vm_with_a_task_that_does_not_end_stays(self) -> None:
        lasting = PoolState("a", 0, [busy_vm(f"a{n}", None) for n in range(20)])
        assert plan_moves([lasting, pool("b", 2, 20)], "spare", []).moves == []

    def test_a_small_lack_is_not_worth_an_exchange(self) -> None:
        assert (
            plan_moves([pool("a", 30, 1, 60), pool("b", 23, 20)], "spare", []).moves
            == []
        )

    def test_vms_on_their_way_count(self) -> None:
        second = pool("b", 2, 20)
        second.arriving = 23
        assert plan_moves([pool("a", 30, 1, 60), second], "spare", []).moves == []


class TestSmallQueueBesideALargeOne:
    def test_it_gets_all_that_it_needs(self) -> None:
        shares = share_vms([pool("a", 51, 200), pool("b", 2, 6)], 60, VM_MILLI)
        assert shares[1].vms == shares[1].wanted
        assert shares[0].vms == 60 - shares[1].vms


class TestBacklogThatIsLateAnyway:
    """A queue kept its VMs for jobs that could not meet their objective any more."""

    def test_work_in_time_comes_first(self) -> None:
        late, in_time = pool("a", 50, 2, late_vms=100), pool("b", 2, 30)
        shares = share_vms([late, in_time], 52, VM_MILLI)
        assert shares[1].vms == shares[1].wanted
        moves = plan_moves([late, in_time], "spare", []).moves
        assert len(moves) == shares[1].wanted - 2

    def test_it_gets_what_is_left(self) -> None:
        shares = share_vms([pool("a", 50, 0, 100), pool("b", 2, 0)], 52, VM_MILLI)
        assert shares[0].vms == 52 - MIN_VMS

    def test_no_busy_vm_is_taken_for_it(self) -> None:
        late, in_time = pool("a", 2, 0, late_vms=100), pool("b", 50, 40)
        assert plan_moves([late, in_time], "spare", []).moves == []
