"""How many requests an endpoint is sent while it is cold, or may be."""

from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.coordinator_selection import (
    MIN_COORDINATOR_AGE_S,
    CoordinatorSelector,
)
from dockreach.direct.digest import Address
from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoint_selection import EndpointSelector, SelectionPolicy
from dockreach.direct.endpoints import EndpointTable, Published
from dockreach.direct.peers import PeerTable
from dockreach.direct.routing_config import Service
from dockreach.direct.send_guard import SendGuard
from dockreach.direct.warm_up import SEND_WINDOW_S, ColdTolerance, RecentSends, WarmUpState

from .core_builders import OWN, address, digest, job, placed

COLD_RATE_PER_S = 8.3
COLD_START_S = 3.0
TOLERANCE = ColdTolerance(factor=1.5, slack=5.0)
BOUND = TOLERANCE.bound(COLD_RATE_PER_S)
SERVICES = {
    "work": Service("work", 100, cold_rate=COLD_RATE_PER_S, cold_start_s=COLD_START_S)
}
NOW = 100.0


class DecidingEntry:
    """The decisions of one entry that receives the digests of all others."""

    def __init__(
        self,
        own: Address = OWN,
        others: tuple[Address, ...] = (),
        *,
        seeds: tuple[Address, ...] = (),
        engines: int = 1,
        has_clients: bool = False,
        started_at: float = 0.0,
    ) -> None:
        self.peers = PeerTable(own, seeds)
        for other in others:
            self.peers.merge(digest(other), NOW)
        self.table = EndpointTable()
        coordinators = CoordinatorSelector(
            self.peers,
            capacity=1.0,
            started_at=started_at,
            has_clients=lambda _: has_clients,
        )
        self.coordinators = coordinators
        self.guard = SendGuard(coordinators, self.table, TOLERANCE)
        self.guard.apply_services(SERVICES)
        selector = EndpointSelector(
            self.table, "hall1", SelectionPolicy.MEASURED, guard=self.guard
        )
        self.dispatcher = Dispatcher(self.table, selector)
        for number in range(engines):
            self.publish(number)

    def publish(self, number: int, *, cold_s: float = 0.0, slots: int = 6) -> None:
        address_ = f"10.1.0.{number + 1}:80"
        name = f"e-{number}"
        self.table.publish(
            Published(name, "work", address_, "hall1", slots, False, cold_s=cold_s), NOW
        )

    def receive_all(self, now: float) -> None:
        """Receive a new digest from each other entry."""
        for row in self.peers.rows:
            number = row.digest.number + 1
            self.peers.merge(digest(row.digest.address, number=number), now)

    def send_failing_requests(
        self, duration_s: float, *, per_s: float = 100.0
    ) -> dict[str, list[float]]:
        """Send requests that end at once; return the send times by endpoint."""
        sent_at: dict[str, list[float]] = {row.id: [] for row in self.table}
        numbers = itertools.count()
        for step in range(round(duration_s * per_s)):
            now = NOW + step / per_s
            self.receive_all(now)
            failing_job = job(f"j-{next(numbers)}", arrived_at=now, queue_deadline=now)
            self.dispatcher.submit(failing_job)
            for decision in self.dispatcher.run_round(now):
                if decision.job.endpoint is not None:
                    sent_at[decision.job.endpoint.id].append(now)
                    self.dispatcher.release_slot(decision.job)
        return sent_at


def max_in_a_second(times: list[float]) -> int:
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


def test_requests_that_end_at_once_do_not_overload_a_possibly_cold_endpoint() -> None:
    """Guards against exceeding the bound by requests that release their slots at once.

    An endpoint with a bound of 17 got eighteen requests in a second.
    """
    (times,) = DecidingEntry().send_failing_requests(4.0).values()
    assert 8 <= max_in_a_second(times) <= BOUND


def test_an_endpoint_that_reports_being_cold_gets_what_it_sustains() -> None:
    entry = DecidingEntry(engines=0)
    entry.publish(0, cold_s=5.0)
    (times,) = entry.send_failing_requests(4.0).values()
    assert 1 <= max_in_a_second(times) <= COLD_RATE_PER_S
    assert len(times) >= 4


def test_a_cold_endpoint_gets_no_request_beyond_its_slots() -> None:
    entry = DecidingEntry(engines=0)
    entry.publish(0, cold_s=1.0, slots=2)
    for number in range(4):
        entry.dispatcher.submit(job(f"j-{number}", arrived_at=NOW))
    assert len(placed(entry.dispatcher.run_round(NOW))) == 2
    assert len(placed(entry.dispatcher.run_round(NOW + 1.5))) == 1


def test_services_without_a_cold_rate_are_not_limited() -> None:
    entry = DecidingEntry()
    entry.guard.apply_services({"work": Service("work", 100)})
    (times,) = entry.send_failing_requests(2.0).values()
    assert max_in_a_second(times) > 5 * BOUND


@pytest.mark.parametrize("entries", [2, 4, 28, 120])
@pytest.mark.parametrize("is_cold", [True, False])
def test_independent_entries_stay_below_the_bound_of_a_cold_endpoint(
    entries: int, *, is_cold: bool
) -> None:
    """Each entry receives all digests, but does not coordinate: its coordinator is lost."""
    addresses = tuple(address(number) for number in range(entries))
    total: list[float] = []
    for own in addresses:
        others = tuple(other for other in addresses if other != own)
        entry = DecidingEntry(own, others, engines=0)
        entry.publish(0, cold_s=10.0 if is_cold else 0.0)
        if entry.coordinators.coordinator_of("work", NOW) is None:
            continue
        (times,) = entry.send_failing_requests(2.0, per_s=20.0).values()
        total.extend(times)
    assert total
    if is_cold:
        assert max_in_a_second(total) <= 0.1 * BOUND
    else:
        assert max_in_a_second(total) <= max(BOUND, entries)


def test_two_coordinators_stay_below_the_bound_of_a_cold_endpoint() -> None:
    times: list[float] = []
    for _ in range(2):
        entry = DecidingEntry(engines=0)
        entry.publish(0, cold_s=10.0)
        times.extend(next(iter(entry.send_failing_requests(3.0).values())))
    assert max_in_a_second(times) <= BOUND - 0.1 * BOUND


def test_an_entry_without_known_peers_sends_nothing_to_a_cold_endpoint() -> None:
    entry = DecidingEntry(seeds=(address(1),), engines=0, started_at=NOW)
    entry.publish(0, cold_s=2.0)
    (times,) = entry.send_failing_requests(3.0).values()
    assert times
    assert min(times) >= NOW + 2.0


def test_a_single_entry_uses_its_cold_endpoints() -> None:
    entry = DecidingEntry(seeds=(OWN,), engines=0, started_at=NOW - MIN_COORDINATOR_AGE_S)
    entry.publish(0, cold_s=2.0)
    (times,) = entry.send_failing_requests(1.0).values()
    assert times


@pytest.mark.parametrize("is_cold", [True, False])
def test_partitioned_entries_stay_below_the_bound_together(*, is_cold: bool) -> None:
    """Guards against each of several partitioned entries using the whole bound.

    No entry receives digests for more than a second; each knows how many entries there are.
    """
    addresses = tuple(address(number) for number in range(8))
    total: list[float] = []
    for own in addresses:
        others = tuple(other for other in addresses if other != own)
        entry = DecidingEntry(own, others, engines=0)
        entry.publish(0, cold_s=20.0 if is_cold else 0.0)
        entry.receive_all(NOW - 5.0)
        entry.receive_all = lambda now: None  # type: ignore[method-assign]
        (times,) = entry.send_failing_requests(4.0, per_s=20.0).values()
        total.extend(time for time in times if time > NOW + 1.0)
    assert max_in_a_second(total) <= (0.1 * BOUND if is_cold else BOUND)


def test_a_new_coordinator_counts_earlier_sends() -> None:
    entry = DecidingEntry()
    for number in range(20):
        entry.table.record_send("e-0", NOW - 0.5 + number / 1000)
    entry.dispatcher.submit(job("a", arrived_at=NOW))
    assert placed(entry.dispatcher.run_round(NOW)) == []
    assert placed(entry.dispatcher.run_round(NOW - 0.4 + SEND_WINDOW_S)) == ["a"]


def test_an_unreachable_endpoint_is_cold_until_some_time_after_its_return() -> None:
    warm_up = WarmUpState()
    warm_up.mark_unreachable()
    assert warm_up.is_cold(NOW, COLD_START_S)
    assert warm_up.is_cold(NOW + 100.0, COLD_START_S)
    warm_up.mark_reachable(NOW + 100.0)
    assert warm_up.is_cold(NOW + 102.9, COLD_START_S)
    assert not warm_up.is_cold(NOW + 103.1, COLD_START_S)


def test_a_response_of_a_reachable_endpoint_does_not_make_it_cold() -> None:
    warm_up = WarmUpState()
    warm_up.mark_reachable(NOW)
    assert not warm_up.is_cold(NOW, COLD_START_S)


def test_endpoints_are_cold_after_the_evacuation_of_their_hall() -> None:
    entry = DecidingEntry()
    (row,) = entry.table
    entry.table.evacuate(frozenset({"hall1"}), NOW)
    assert entry.table.usable("work", NOW) == []
    entry.table.evacuate(frozenset(), NOW + 1.0)
    assert entry.guard.is_cold(row, NOW + 1.0)
    assert not entry.guard.is_cold(row, NOW + 1.1 + COLD_START_S)


@given(st.lists(st.floats(0.0, 10.0), max_size=60))
def test_sends_of_the_last_window_are_counted(times: list[float]) -> None:
    sends = RecentSends()
    now = 0.0
    for at in sorted(times):
        sends.record(at)
        now = at
    expected = sum(at > now - SEND_WINDOW_S for at in times)
    assert sends.count(now) == expected == len(sends.ages(now))
    assert sends.count(now, math.inf) <= len(times)
