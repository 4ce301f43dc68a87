"""What an endpoint with a rate limit or a back-off is sent, in each coordination mode."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct.advertised_state import MIN_RATE, UNLIMITED_RATE, LimitReport
from dockreach.direct.coordinator_selection import CoordinatorSelector
from dockreach.direct.digest import Address
from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoint_selection import EndpointSelector, SelectionPolicy
from dockreach.direct.endpoints import EndpointRow
from dockreach.direct.jobs import Placed, Refused
from dockreach.direct.peers import PeerTable
from dockreach.direct.send_guard import BlockReason, SendGuard
from dockreach.verdict import Verdict

from .core_builders import address, digest, endpoints, job, placed

NOW = 100.0
WINDOW_S = 4.0
STEP_S = 0.02
"""Time between requests, in seconds: their rate is above each limit here."""


class DecidingEntry:
    """The decisions of one entry among others."""

    def __init__(self, number: int, others: Iterable[Address], *, engines: int = 1) -> None:
        self.peers = PeerTable(address(number), ())
        for other in others:
            self.peers.merge(digest(other), NOW)
        self.table = endpoints(*[6] * engines)
        coordinators = CoordinatorSelector(self.peers, capacity=1.0, started_at=0.0)
        self.guard = SendGuard(coordinators, self.table, rng=random.Random(number))
        selector = EndpointSelector(
            self.table, "hall1", SelectionPolicy.MEASURED, guard=self.guard
        )
        self.dispatcher = Dispatcher(self.table, selector)
        self._numbers = itertools.count()

    def row(self, number: int = 0) -> EndpointRow:
        """Return the row of one of its endpoints."""
        row = self.table.get(f"e-{number}")
        assert row is not None
        return row

    def receive_limit(self, rate: float, *, engine: int = 0, at: float = NOW) -> None:
        """Receive the rate limit that an endpoint advertises."""
        row = self.row(engine)
        row.advertised.limit.apply(LimitReport(rate, at - 0.1, at))
        self.table.mark_advertising(row)

    def send_one(self, now: float) -> bool:
        """Send a request that ends at once; return whether it got a slot."""
        for row in self.peers.rows:
            number = row.digest.number + 1
            self.peers.merge(digest(row.digest.address, number=number), now)
        short_job = job(f"j-{next(self._numbers)}", arrived_at=now, queue_deadline=now)
        self.dispatcher.submit(short_job)
        assigned = placed(self.dispatcher.run_round(now))
        self.dispatcher.release_slot(short_job)
        return bool(assigned)


def independent_entries(count: int, **kwargs: int) -> list[DecidingEntry]:
    """Return entries that each decide independently; one more coordinates."""
    addresses = [address(number) for number in range(count + 1)]
    entries = [
        DecidingEntry(number, [*addresses[:number], *addresses[number + 1 :]], **kwargs)
        for number in range(count + 1)
    ]
    return [
        entry
        for entry in entries
        if entry.guard._coordinator_selector.coordinator_of("work", NOW) is not None  # noqa: SLF001
    ]


def send_times(
    entries: list[DecidingEntry], for_s: float, *, start: float = NOW
) -> list[float]:
    """Put all entries under load for a while; return when requests were sent."""
    steps = [start + number * STEP_S for number in range(round(for_s / STEP_S))]
    return [now for now in steps for entry in entries if entry.send_one(now)]


def max_in_window(times: list[float]) -> int:
    """Return the largest number of sends in a window."""
    return max(
        (sum(at <= when < at + WINDOW_S for when in times) for at in times), default=0
    )


def bound(rate: float) -> float:
    """Return how many requests the platform's rule allows in a window."""
    return 1.5 * rate * WINDOW_S + 5


@pytest.mark.parametrize("rate", [0.5, 1.0, 7.5, 40.0])
def test_a_coordinator_sends_about_as_much_as_the_limit_allows(rate: float) -> None:
    entry = DecidingEntry(0, [])
    entry.receive_limit(rate)
    times = send_times([entry], 20.0)
    assert max_in_window(times) <= bound(rate)
    assert len(times) == pytest.approx(20.0 * rate, rel=0.1, abs=1)


@settings(deadline=None, max_examples=20)
@given(st.sampled_from([0.5, 1.0, 3.0, 12.0]), st.integers(1, 12))
def test_independent_entries_keep_to_the_limit_together(rate: float, count: int) -> None:
    entries = independent_entries(count)
    for entry in entries:
        entry.receive_limit(rate)
    times = send_times(entries, 10.0)
    assert max_in_window(times) <= bound(rate)


@pytest.mark.parametrize("rate", [1.0, 3.0])
def test_entries_that_lose_their_coordinator_do_not_send_in_a_burst(rate: float) -> None:
    entries = independent_entries(28)
    for entry in entries:
        entry.receive_limit(rate, at=NOW - 100.0)
        # Each used its last grant of the coordinator long ago.
        entry.guard.record_send(entry.row(), NOW - 60.0)
    assert max_in_window(send_times(entries, 10.0)) <= bound(rate)


def test_an_engine_with_a_limit_of_zero_is_probed_rarely() -> None:
    entry = DecidingEntry(0, [])
    entry.receive_limit(0.0)
    times = send_times([entry], 20.0)
    assert len(times) == pytest.approx(20.0 * MIN_RATE, abs=1)
    assert max_in_window(times) <= bound(0.0)


@pytest.mark.parametrize("rate", [1.0, 10.0])
def test_two_coordinators_for_a_second_stay_below_the_rule(rate: float) -> None:
    first, second = DecidingEntry(0, []), DecidingEntry(1, [])
    for entry in (first, second):
        entry.receive_limit(rate)
    times = send_times([first], 3.0) + send_times([second], 4.0, start=NOW + 2.0)
    assert max_in_window(sorted(times)) <= bound(rate)


def test_a_new_coordinator_is_not_limited_to_its_former_share() -> None:
    (entry, *_) = independent_entries(5)
    entry.receive_limit(1.0)
    entry.send_one(NOW)
    # No digests of the others arrive any more, and their rows expire.
    for row in entry.peers.rows:
        row.received_at = NOW - 100.0
    entry.peers.expire(NOW)
    assert len(send_times([entry], 4.0, start=NOW + 1.0)) >= 3


def test_a_coordinator_counts_sends_from_before_the_first_state() -> None:
    entry = DecidingEntry(0, [])
    entry.receive_limit(1.0)
    for _ in range(3):
        entry.table.record_send("e-0", NOW)
    assert len(send_times([entry], 2.0)) == 0


def test_a_withdrawn_limit_no_longer_applies() -> None:
    entry = DecidingEntry(0, [])
    entry.receive_limit(1.0)
    entry.row().advertised.limit.apply(LimitReport(UNLIMITED_RATE, NOW + 0.1, NOW + 0.2))
    assert len(send_times([entry], 1.0, start=NOW + 0.3)) == round(1.0 / STEP_S)


def test_a_grant_of_a_coordinator_unaware_of_the_limit_is_declined() -> None:
    entry = DecidingEntry(0, [])
    entry.receive_limit(1.0)
    reasons = []
    for step in range(200):
        now = NOW + step * STEP_S
        block = entry.guard.grant_block(entry.row(), now)
        if block is None:
            entry.guard.record_send(entry.row(), now)
        reasons.append(block.reason if block is not None else None)
    assert 4 <= reasons.count(None) <= bound(1.0)
    assert set(reasons) == {None, BlockReason.RATE_LIMITED}


def test_a_slower_engine_is_used_while_the_fast_one_is_at_its_limit() -> None:
    # Streams exclude slow engines if a fast one would meet the deadline, even a full one.
    entry = DecidingEntry(0, [], engines=2)
    for _ in range(40):
        entry.row(0).speed.update_gap(0.001)
        entry.row(1).speed.update_gap(1.0)
    entry.receive_limit(1.0)
    now = NOW + 0.1
    stream = job("j", arrived_at=now, expected_events=100.0)
    entry.dispatcher.submit(stream)
    (decision,) = entry.dispatcher.run_round(now)
    assert isinstance(decision, Placed)
    assert decision.endpoint.id == "e-1"


def test_a_job_whose_endpoints_are_limited_for_longer_is_refused_at_once() -> None:
    entry = DecidingEntry(0, [], engines=2)
    for engine in (0, 1):
        entry.receive_limit(0.1, engine=engine)
        entry.row(engine).advertised.limit.next_due = NOW + 10.0 + engine
    entry.dispatcher.submit(job("j", arrived_at=NOW, queue_deadline=NOW + 3.0))
    (decision,) = entry.dispatcher.run_round(NOW)
    assert isinstance(decision, Refused)
    assert decision.refusal.retry_after_s == pytest.approx(10.0, abs=0.3)


def set_backoff(entry: DecidingEntry, until: float, *, engine: int = 0) -> None:
    """Let an endpoint request a back-off from an entry."""
    entry.row(engine).advertised.backoff_until = until
    entry.table.mark_advertising(entry.row(engine))


def test_a_backoff_towards_one_entry_does_not_apply_to_others() -> None:
    # The back-off applies to the coordinator itself; it grants the slot to another entry.
    entry = DecidingEntry(0, [])
    set_backoff(entry, NOW + 3.0)
    own, other = (
        job(rid, arrived_at=NOW, queue_deadline=NOW + 4.0) for rid in ("own", "other")
    )
    other.for_peer = True
    entry.dispatcher.submit(own)
    entry.dispatcher.submit(other)
    (decision,) = entry.dispatcher.run_round(NOW)
    assert decision.job is other
    entry.dispatcher.release_slot(other)
    assert placed(entry.dispatcher.run_round(NOW + 2.99)) == []
    assert placed(entry.dispatcher.run_round(NOW + 3.0)) == ["own"]


def test_a_slot_that_one_client_declines_is_granted_to_another() -> None:
    entry = DecidingEntry(0, [])
    first, second = job("first", arrived_at=NOW), job("second", arrived_at=NOW)
    first.for_peer = second.for_peer = True
    first.blocked_until = {"e-0": NOW + 1.0}
    for item in (first, second):
        entry.dispatcher.submit(item)
    assert placed(entry.dispatcher.run_round(NOW)) == ["second"]
    entry.dispatcher.release_slot(second)
    assert placed(entry.dispatcher.run_round(NOW + 1.0)) == ["first"]


def test_the_retry_after_is_the_shortest_backoff_of_all_endpoints() -> None:
    entry = DecidingEntry(0, [], engines=2)
    set_backoff(entry, NOW + 5.0, engine=0)
    set_backoff(entry, NOW + 4.0, engine=1)
    entry.dispatcher.submit(job("j", arrived_at=NOW, queue_deadline=NOW + 3.0))
    (decision,) = entry.dispatcher.run_round(NOW)
    assert isinstance(decision, Refused)
    assert decision.refusal.verdict is Verdict.NOT_RUN
    assert decision.refusal.retry_after_s == pytest.approx(4.0)


def test_a_job_waits_for_a_backoff_that_ends_in_time() -> None:
    entry = DecidingEntry(0, [])
    set_backoff(entry, NOW + 0.5)
    entry.dispatcher.submit(job("j", arrived_at=NOW, queue_deadline=NOW + 3.0))
    assert entry.dispatcher.run_round(NOW) == []
    assert placed(entry.dispatcher.run_round(NOW + 0.5)) == ["j"]


def test_the_guard_returns_the_reason_and_the_end_of_a_block() -> None:
    entry = DecidingEntry(0, [])
    row = entry.row()
    assert entry.guard.send_block(row, NOW) is None
    set_backoff(entry, NOW + 3.0)
    assert entry.guard.send_block(row, NOW) == (BlockReason.BACKOFF, NOW + 3.0)
    entry.table.evacuate(frozenset({"hall1"}), NOW)
    assert entry.guard.send_block(row, NOW) == (BlockReason.HALL_EVACUATED, math.inf)
    row.advertised.is_leaving = True
    assert entry.guard.send_block(row, NOW) == (BlockReason.LEAVING, math.inf)
