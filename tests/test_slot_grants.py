from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chivetray.peers.grants import GrantHolder
from chivetray.peers.homes import choose_home, digest_endpoints
from chivetray.peers.ledger import GrantLedger
from chivetray.peers.sharing import divide_slots

SLOTS = 8
TTL_S = 2.0
ENTRIES = ("a", "b", "c")
ENDPOINT = "w"


class TestDivision:
    @given(
        st.integers(1, 64),
        st.dictionaries(st.sampled_from("abcdefghij"), st.integers(0, 100), min_size=1),
    )
    def test_all_slots_are_divided_and_fair(self, slots, wants):
        shares = divide_slots(ENDPOINT, slots, wants)
        assert sum(shares.values()) == slots
        level = slots // len(wants)
        for entry, want in wants.items():
            assert shares[entry] >= min(want, level)

    def test_demand_of_one_leaves_the_other_a_slot(self):
        assert divide_slots(ENDPOINT, 8, {"a": 100, "b": 0}) == {"a": 7, "b": 1}


class TestHomes:
    def test_loss_of_an_entry_moves_only_its_own_endpoints(self):
        endpoints = [f"w{n}" for n in range(500)]
        before = {e: choose_home(e, ENTRIES) for e in endpoints}
        after = {e: choose_home(e, ENTRIES[:2]) for e in endpoints}
        assert all(before[e] == after[e] for e in endpoints if before[e] != "c")
        counts = [list(before.values()).count(entry) for entry in ENTRIES]
        assert min(counts) > 100

    def test_digest_does_not_depend_on_order(self):
        assert digest_endpoints(["a", "b"]) == digest_endpoints(["b", "a"])


class GrantExchange(RuleBasedStateMachine):
    """Three entries, one of them home, whose messages are late or lost."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.home = "a"
        self.ledgers = {entry: GrantLedger(TTL_S) for entry in ENTRIES}
        self.holders = {entry: GrantHolder(TTL_S) for entry in ENTRIES}
        self.offers = {entry: [] for entry in ENTRIES}
        self.running = {entry: [] for entry in ENTRIES}
        self.frozen: set[str] = set()
        self.set_home("a")
        self.now_s += TTL_S
        for entry in ENTRIES * 2:
            self.demand(entry, 0)
            self.deliver_all()

    def set_home(self, home):
        self.home = home
        for entry in ENTRIES:
            self.ledgers[entry].set_members(ENTRIES)
            own = {ENDPOINT: SLOTS} if entry == home else {}
            self.ledgers[entry].set_endpoints(own, self.now_s)
            self.holders[entry].set_homes({ENDPOINT: home})
            self.new_stream(entry)

    def new_stream(self, entry):
        """Messages are only lost together with their stream."""
        self.offers[entry].clear()
        self.holders[entry].reset_stream(self.home)
        self.ledgers[self.home].reset_stream(entry)

    @rule(entry=st.sampled_from(ENTRIES), waiting=st.sampled_from([0, 0, 3, 20]))
    def demand(self, entry, waiting):
        if entry in self.frozen:
            return
        self.holders[entry].set_waiting({ENDPOINT: waiting})
        demand = self.holders[entry].make_demand(self.home, self.now_s)
        ledger = self.ledgers[self.home]
        self.offers[entry].append(ledger.handle_demand(entry, demand, self.now_s))
        for other, offer in ledger.push_offers(self.now_s).items():
            self.offers[other].append(offer)

    @rule(entry=st.sampled_from(ENTRIES))
    def deliver(self, entry):
        if self.offers[entry] and entry not in self.frozen:
            offer = self.offers[entry].pop(0)
            self.holders[entry].handle_offer(self.home, offer, self.now_s)

    @rule()
    def deliver_all(self):
        for entry in ENTRIES:
            while self.offers[entry] and entry not in self.frozen:
                self.deliver(entry)

    @rule(entry=st.sampled_from(ENTRIES))
    def break_stream(self, entry):
        if entry not in self.frozen:
            self.new_stream(entry)

    @rule(seconds=st.sampled_from([0.05, 0.25, 1.0, 2.5]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for entry, deadlines in self.running.items():
            while deadlines and deadlines[0] <= self.now_s:
                deadlines.pop(0)
                self.holders[entry].release_slot(ENDPOINT)

    @rule(entry=st.sampled_from(ENTRIES), count=st.sampled_from([1, 8]))
    def start_requests(self, entry, count):
        if entry in self.frozen:
            return
        for _ in range(
            min(count, self.holders[entry].free_slots(ENDPOINT, self.now_s))
        ):
            deadline_s = self.now_s + 0.5
            self.holders[entry].acquire_slot(ENDPOINT, deadline_s)
            self.running[entry].append(deadline_s)

    @rule(entry=st.sampled_from(ENTRIES))
    def end_request(self, entry):
        if self.running[entry]:
            self.running[entry].pop(0)
            self.holders[entry].release_slot(ENDPOINT)

    @rule(entry=st.sampled_from(ENTRIES[1:]))
    def freeze(self, entry):
        self.frozen.add(entry)

    @rule()
    def thaw(self):
        for entry in self.frozen:
            self.new_stream(entry)
        self.frozen.clear()

    @rule(home=st.sampled_from(ENTRIES))
    def change_home(self, home):
        if home != self.home and not self.frozen:
            self.set_home(home)

    @invariant()
    def grants_stay_within_the_slots(self):
        usable = [h.granted_slots(ENDPOINT, self.now_s) for h in self.holders.values()]
        assert sum(usable) <= SLOTS

    @invariant()
    def requests_stay_within_the_slots(self):
        assert sum(len(deadlines) for deadlines in self.running.values()) <= SLOTS

    @invariant()
    def ledger_is_in_order(self):
        assert self.ledgers[self.home].excess_slots() == 0


class TestGrantExchange(GrantExchange.TestCase):
    settings = settings(
        max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
    )


class TestConvergence:
    def exchange_all(self, ledger, holders, now_s):
        for entry, holder in holders.items():
            demand = holder.make_demand("a", now_s)
            offer = ledger.handle_demand(entry, demand, now_s)
            holder.handle_offer("a", offer, now_s)

    def test_slots_follow_the_demand_within_three_exchanges(self):
        ledger = GrantLedger(TTL_S)
        holders = {entry: GrantHolder(TTL_S) for entry in ("a", "b")}
        ledger.set_members(holders)
        ledger.set_endpoints({ENDPOINT: SLOTS}, 0.0)
        for holder in holders.values():
            holder.set_homes({ENDPOINT: "a"})
        self.exchange_all(ledger, holders, 2.0)
        assert [h.granted_slots(ENDPOINT, 2.0) for h in holders.values()] == [4, 4]
        holders["a"].set_waiting({ENDPOINT: 20})
        for step in range(3):
            self.exchange_all(ledger, holders, 2.1 + step / 10)
        assert [h.granted_slots(ENDPOINT, 2.4) for h in holders.values()] == [7, 1]

    def test_slots_in_use_stay_reserved_when_a_grant_falls(self):
        exchange = GrantExchange()
        for entry in (*"abcabc",):
            exchange.demand(entry, 20 if entry == "a" else 0)
            exchange.deliver_all()
        # These requests start after the last report and before the grant falls.
        exchange.start_requests("a", 8)
        busy = len(exchange.running["a"])
        assert busy == 6
        exchange.demand("b", 20)
        exchange.deliver_all()
        exchange.demand("a", 20)
        exchange.deliver_all()
        exchange.demand("b", 20)
        exchange.deliver_all()
        assert (
            exchange.holders["b"].granted_slots(ENDPOINT, exchange.now_s)
            <= SLOTS - busy
        )

    def test_former_home_gets_no_demand(self):
        holder = GrantHolder(TTL_S)
        holder.set_homes({ENDPOINT: "a"})
        assert holder.make_demand("a", 0.0) is not None
        holder.set_homes({ENDPOINT: "b"})
        assert holder.make_demand("a", 0.0) is None

    def test_nothing_is_granted_until_earlier_grants_expired(self):
        ledger = GrantLedger(TTL_S)
        holder = GrantHolder(TTL_S)
        ledger.set_members(["a"])
        ledger.set_endpoints({ENDPOINT: SLOTS}, 10.0)
        holder.set_homes({ENDPOINT: "a"})
        self.exchange_all(ledger, {"a": holder}, 11.9)
        assert holder.granted_slots(ENDPOINT, 11.9) == 0
        self.exchange_all(ledger, {"a": holder}, 12.0)
        assert holder.granted_slots(ENDPOINT, 12.0) == SLOTS
