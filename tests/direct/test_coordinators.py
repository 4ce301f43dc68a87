"""Which entry gives out the places of a service."""

from __future__ import annotations

from collections import Counter

from dockreach.direct.coordinators import MATURE_S, SUSPECT_S, Coordinators
from dockreach.direct.digest import Address
from dockreach.direct.peers import FRESH_S, PeerTable

from .cores import OWN, address, digest, peers


def three(**fields: float) -> PeerTable:
    """Return a table with three peers that were heard at 100 s."""
    table = peers()
    for number in range(3):
        table.receive(digest(address(number), age_s=fields.get("age_s", 50.0)), 100.0)
    return table


def coordinators(table: PeerTable, *, started: float = 0.0) -> Coordinators:
    return Coordinators(table, capacity=1.0, started=started)


def test_all_entries_name_the_same_one() -> None:
    everybody = [OWN, *(address(number) for number in range(5))]
    named = set()
    for own in everybody:
        table = PeerTable(own, ())
        for other in everybody:
            if other != own:
                table.receive(digest(other), 100.0)
        named.add(coordinators(table).of("work", 100.0) or own)
    assert len(named) == 1


def test_services_are_spread_and_capacity_counts() -> None:
    table = peers()
    table.receive(digest(address(1), capacity=3.0), 100.0)
    table.receive(digest(address(2), capacity=1.0), 100.0)
    found = Counter(coordinators(table).of(f"service-{n}", 100.0) for n in range(1000))
    assert 500 < found[address(1)] < 700
    assert 120 < found[address(2)] < 280
    assert 120 < found[None] < 280


def test_one_that_did_not_answer_is_left_out_for_a_while() -> None:
    table = three()
    core = coordinators(table)
    first = next(name for n in range(9) if (name := core.of(f"s-{n}", 100.0)))
    service = next(f"s-{n}" for n in range(9) if core.of(f"s-{n}", 100.0) == first)
    core.suspect(first, 100.0)
    assert core.of(service, 100.1) != first
    for row in table.rows:
        row.heard += SUSPECT_S
    assert core.of(service, 100.0 + SUSPECT_S) == first


def test_who_has_just_started_does_not_coordinate() -> None:
    table = three(age_s=MATURE_S / 2)
    core = coordinators(table)
    assert {core.of(f"s-{n}", 100.0) for n in range(50)} == {None}


def test_where_all_have_just_started_one_of_them_does() -> None:
    table = three(age_s=0.1)
    core = coordinators(table, started=100.0)
    assert len({core.of(f"s-{n}", 100.1) for n in range(50)}) == 4


def test_those_that_are_silent_leave_or_know_nothing_do_not() -> None:
    table = three()
    table.receive(digest(address(1), number=2, leaving=True), 100.1)
    table.receive(digest(address(2), number=2, revision=0), 100.1)
    core = coordinators(table)
    found = {core.of(f"s-{n}", 100.2) for n in range(50)}
    assert found == {None, address(0)}
    assert {core.of(f"s-{n}", 100.2 + FRESH_S) for n in range(50)} == {None}


def test_one_that_leaves_asks_others() -> None:
    core = coordinators(three())
    core.is_leaving = True
    found: set[Address | None] = {core.of(f"s-{n}", 100.0) for n in range(50)}
    assert None not in found
