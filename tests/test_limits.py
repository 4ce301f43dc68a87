"""Shares of organisations' limits: together they never exceed what is declared."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dockreach.declarations import Organisation, key_hash
from dockreach.limits import LOAN_LEASE_S, MIN_ASK_INTERVAL_S, LimitTable
from dockreach.messages import ShareLoan

ORG = Organisation(
    key_sha256=key_hash("x"), tiers="t", requests_per_s=100.0, concurrency=10
)
ENTRIES = ("n0", "n1", "n2")


def limit_table(name: str, entries: tuple[str, ...] = ENTRIES) -> LimitTable:
    found = LimitTable(name, started=-100.0)
    found.configure({"org": ORG}, entries, 0.0)
    return found


def test_shares_of_all_entries_add_up_to_the_limit() -> None:
    tables = [limit_table(name) for name in ENTRIES]
    assert abs(sum(item.usable_fraction("org", 0.0) for item in tables) - 1.0) < 1e-9
    assert sum(item.shares["org"].slots for item in tables) == ORG.concurrency


def test_new_incarnation_waits_until_loans_of_its_predecessor_have_expired() -> None:
    """A restarted entry has lost the record of its loans.

    If it used its whole share at once, the lent parts would be in use twice.
    """
    fresh = LimitTable("n0", started=0.0)
    fresh.configure({"org": ORG}, ENTRIES, 0.0)
    assert fresh.usable_fraction("org", 1.0) == 0.0
    assert fresh.admit("org", 1, 1.0) is not None
    assert fresh.usable_fraction("org", 10.0) > 0.0


def test_larger_share_applies_after_the_others_have_reduced_theirs() -> None:
    here = limit_table("n0")
    here.configure({"org": ORG}, ("n0",), 1.0, settle_s=18.0)
    here.apply_increases(10.0)
    assert here.usable_fraction("org", 10.0) < 0.4
    here.apply_increases(19.5)
    assert here.usable_fraction("org", 19.5) == 1.0


def test_smaller_share_applies_at_once() -> None:
    here = limit_table("n0", ("n0",))
    here.configure({"org": ORG}, ENTRIES, 1.0, settle_s=18.0)
    assert here.usable_fraction("org", 1.0) < 0.4


def test_refusal_has_a_retry_delay() -> None:
    here = limit_table("n0")
    results = [here.admit("org", 1, 0.0) for _ in range(50)]
    delays = [result for result in results if result is not None]
    assert delays
    assert all(delay > 0 for delay in delays)


def test_a_loan_to_an_earlier_incarnation_is_not_taken_for_one_to_this() -> None:
    before = limit_table("n0")
    before.shares["org"].refused_since_ask = 1
    (asked,) = before.shortages(10.0)
    after = LimitTable("n0", started=12.0)
    after.configure({"org": ORG}, ENTRIES, 12.0)
    after.shares["org"].refused_since_ask = 1
    assert after.shortages(20.0)
    own = after.usable_fraction("org", 20.0)
    after.borrow(ShareLoan("org", asked.number, 0.1, int(LOAN_LEASE_S * 1000)))
    assert after.usable_fraction("org", 20.0) == own


class Lending(RuleBasedStateMachine):
    """Three entries lend to each other over links that lose and delay messages."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.next_restart = 10.0
        self.tables = [limit_table(name) for name in ENTRIES]
        self.asks: list[tuple[int, int, float]] = []
        self.loans: list[tuple[int, ShareLoan]] = []

    @rule(index=st.integers(0, 2))
    def run_short(self, index: int) -> None:
        self.now += MIN_ASK_INTERVAL_S
        self.tables[index].shares["org"].refused_since_ask = 1
        for shortage in self.tables[index].shortages(self.now):
            self.asks.append((index, shortage.number, shortage.amount))

    @rule(lender=st.integers(0, 2), data=st.data())
    def answer(self, lender: int, data: st.DataObject) -> None:
        others = [ask for ask in self.asks if ask[0] != lender]
        if not others:
            return
        ask = data.draw(st.sampled_from(others))
        self.asks.remove(ask)
        amount = self.tables[lender].lend("org", ask[2], self.now)
        if amount:
            lease = int(LOAN_LEASE_S * 1000)
            self.loans.append((ask[0], ShareLoan("org", ask[1], amount, lease)))

    @rule(data=st.data(), twice=st.booleans())
    def deliver(self, data: st.DataObject, twice: bool) -> None:
        if not self.loans:
            return
        target, loan = data.draw(st.sampled_from(self.loans))
        if not twice:
            self.loans.remove((target, loan))
        self.tables[target].borrow(loan)

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @precondition(lambda self: self.now > self.next_restart)
    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.next_restart = self.now + 2 * LOAN_LEASE_S
        fresh = LimitTable(ENTRIES[index], started=self.now)
        fresh.configure({"org": ORG}, ENTRIES, self.now)
        self.tables[index] = fresh

    @invariant()
    def never_more_than_the_limit(self) -> None:
        total = sum(item.usable_fraction("org", self.now) for item in self.tables)
        assert total <= 1.0 + 1e-9


TestLending = Lending.TestCase
TestLending.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
