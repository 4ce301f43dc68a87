"""Which entry is the coordinator of a service."""

from __future__ import annotations

from collections import Counter

from dockreach.direct.coordinator_selection import (
    MIN_COORDINATOR_AGE_S,
    UNRESPONSIVE_S,
    CoordinationMode,
    CoordinatorSelector,
)
from dockreach.direct.digest import Address
from dockreach.direct.peers import FRESH_S, PeerTable
from dockreach.direct.stalls import Arrival

from .core_builders import OWN, address, digest, peers


def three_peers(**fields: float) -> PeerTable:
    """Return a table of three peers whose digests were received at 100 s."""
    table = peers()
    for number in range(3):
        table.merge(digest(address(number), age_s=fields.get("age_s", 50.0)), 100.0)
    return table


def selector(table: PeerTable, *, started_at: float = 0.0) -> CoordinatorSelector:
    return CoordinatorSelector(table, capacity=1.0, started_at=started_at)


def test_all_entries_select_the_same_coordinator() -> None:
    entries = [OWN, *(address(number) for number in range(5))]
    selected = set()
    for own in entries:
        table = PeerTable(own, ())
        for other in entries:
            if other != own:
                table.merge(digest(other), 100.0)
        selected.add(selector(table).coordinator_of("work", 100.0) or own)
    assert len(selected) == 1


def test_services_are_spread_in_proportion_to_capacity() -> None:
    table = peers()
    table.merge(digest(address(1), capacity=3.0), 100.0)
    table.merge(digest(address(2), capacity=1.0), 100.0)
    counts = Counter(
        selector(table).coordinator_of(f"service-{n}", 100.0) for n in range(1000)
    )
    assert 500 < counts[address(1)] < 700
    assert 120 < counts[address(2)] < 280
    assert 120 < counts[None] < 280


def test_an_unresponsive_entry_is_excluded_for_a_while() -> None:
    table = three_peers()
    selector_ = selector(table)
    unresponsive = next(
        name for n in range(9) if (name := selector_.coordinator_of(f"s-{n}", 100.0))
    )
    service = next(
        f"s-{n}"
        for n in range(9)
        if selector_.coordinator_of(f"s-{n}", 100.0) == unresponsive
    )
    selector_.mark_unresponsive(unresponsive, 100.0)
    assert selector_.coordinator_of(service, 100.1) != unresponsive
    for row in table.rows:
        row.received_at += UNRESPONSIVE_S
    assert selector_.coordinator_of(service, 100.0 + UNRESPONSIVE_S) == unresponsive


def test_an_entry_that_has_just_started_does_not_coordinate() -> None:
    table = three_peers(age_s=MIN_COORDINATOR_AGE_S / 2)
    selector_ = selector(table)
    assert {selector_.coordinator_of(f"s-{n}", 100.0) for n in range(50)} == {None}


def test_with_only_new_entries_one_of_them_coordinates() -> None:
    table = three_peers(age_s=0.1)
    selector_ = selector(table, started_at=100.0)
    assert len({selector_.coordinator_of(f"s-{n}", 100.1) for n in range(50)}) == 4


def test_silent_leaving_or_unconfigured_entries_do_not_coordinate() -> None:
    table = three_peers()
    table.merge(digest(address(1), number=2, leaving=True), 100.1)
    table.merge(digest(address(2), number=2, revision=0), 100.1)
    selector_ = selector(table)
    selected = {selector_.coordinator_of(f"s-{n}", 100.2) for n in range(50)}
    assert selected == {None, address(0)}
    assert {selector_.coordinator_of(f"s-{n}", 100.2 + FRESH_S) for n in range(50)} == {
        None
    }


def test_a_leaving_entry_does_not_coordinate() -> None:
    selector_ = selector(three_peers())
    selector_.is_leaving = True
    selected: set[Address | None] = {
        selector_.coordinator_of(f"s-{n}", 100.0) for n in range(50)
    }
    assert None not in selected


def test_an_entry_that_stood_still_asks_the_same_coordinator_and_grants_with_care() -> None:
    """Guards against entries that count themselves alone, or sure, just after a stop."""
    table = peers()
    waited = Arrival(after=100.0, at=100.0, read_at=105.0)
    for number in range(3):
        table.merge(digest(address(number), age_s=50.0), 105.0, waited)
    before, after = selector(three_peers()), selector(table)
    services = [f"s-{number}" for number in range(50)]
    coordinators = [after.coordinator_of(name, 105.0) for name in services]
    assert coordinators == [before.coordinator_of(name, 100.0) for name in services]
    own = [
        name for name, found in zip(services, coordinators, strict=True) if found is None
    ]
    assert own
    assert {before.mode(name, 100.0) for name in own} == {CoordinationMode.COORDINATOR}
    assert CoordinationMode.COORDINATOR not in {after.mode(name, 105.0) for name in own}


def test_the_age_of_an_entry_is_not_overstated_by_a_digest_that_waited() -> None:
    """Guards against a coordinator that has measured nothing yet."""
    table = peers()
    waited = Arrival(after=100.0, at=100.0, read_at=105.0)
    young = digest(address(0), age_s=MIN_COORDINATOR_AGE_S / 2)
    table.merge(young, 105.0, waited)
    services = [f"s-{number}" for number in range(50)]
    assert {selector(table).coordinator_of(name, 105.0) for name in services} == {None}
