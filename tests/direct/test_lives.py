"""Endpoints that start again under the id that they had."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.endpoints import EndpointTable, Publication, Published
from dockreach.direct.placing_messages import SampleKind

from .cores import dispatcher, job, placed


def entry(
    born: int, sequence: int = 1, *, leaving: bool = False, slots: int = 2
) -> Published:
    return Published(
        "e-0", "work", "10.1.0.1:80", "hall1", slots, leaving, born=born, sequence=sequence
    )


def test_a_new_life_holds_nothing_of_the_old_one() -> None:
    table = EndpointTable()
    table.publish(entry(1000), 0.0)
    core = dispatcher(table)
    old = table.get("e-0")
    assert old is not None
    for number in range(2):
        core.submit(job(f"old-{number}", arrived=9.0))
    assert len(placed(core.pump(9.0))) == 2
    old.keep_prefix("p", 9.0)
    old.failed(9.0)
    old.failed(9.1)
    assert table.publish(entry(2000), 10.0) is Publication.NEW_LIFE
    row = table.get("e-0")
    assert row is not None
    assert row is not old
    assert (row.failures, row.suspect_until, row.taken, row.reading) == (0, 0.0, 0, 0)
    assert not row.is_kept("p", 10.0)
    core.submit(job("new", arrived=10.0))
    assert placed(core.pump(10.0)) == ["new"]


def test_places_of_the_old_life_are_given_back_to_it() -> None:
    table = EndpointTable()
    table.publish(entry(1000), 0.0)
    core = dispatcher(table)
    old_job = job("old")
    core.submit(old_job)
    core.pump(0.0)
    table.publish(entry(2000), 1.0)
    core.release(old_job)
    row = table.get("e-0")
    assert row is not None
    assert (row.own, row.taken) == (0, 0)


@pytest.mark.parametrize(
    "kind", [SampleKind.FAILED, SampleKind.OUT_OF_REACH, SampleKind.GONE]
)
def test_what_another_entry_met_at_the_old_life_says_nothing_of_the_new_one(
    kind: SampleKind,
) -> None:
    """An engine that had just started again was left alone for a failure before its start.

    Entries tell the one that gives out places what they met at an engine by its id alone.
    Told a moment after the new life was published, the end of the old one made the new one
    suspect for 0.5 s, and that another engine answers at its address for longer.
    """
    teller, table = EndpointTable(), EndpointTable()
    for known in (teller, table):
        known.publish(entry(1000), 0.0)
    old = teller.get("e-0")
    assert old is not None
    met = {
        SampleKind.FAILED: old.failed,
        SampleKind.OUT_OF_REACH: old.lose_reach,
        SampleKind.GONE: old.lose_address,
    }
    met[kind](9.9)
    table.publish(entry(2000), 10.0)
    (told,) = teller.take_samples("work")
    assert told.kind is kind
    table.learn(told, 10.0)
    row = table.get("e-0")
    assert row is not None
    assert row.suspect_until <= 10.0
    assert row.failures == 0
    # What is met at the new life does count.
    teller.publish(entry(2000), 10.0)
    new = teller.get("e-0")
    assert new is not None
    new.failed(10.1)
    for sample in teller.take_samples("work"):
        table.learn(sample, 10.1)
    assert row.suspect_until > 10.1


def test_its_speed_is_a_prior_of_the_new_one() -> None:
    table = EndpointTable()
    table.publish(entry(1000), 0.0)
    old = table.get("e-0")
    assert old is not None
    for _ in range(20):
        old.measure(SampleKind.GAP, 0.05)
    table.publish(entry(2000), 1.0)
    row = table.get("e-0")
    assert row is not None
    assert row.speed.gap_s == old.speed.gap_s
    row.measure(SampleKind.GAP, 0.01)
    assert row.speed.gap_s < old.speed.gap_s


def test_an_older_start_never_brings_the_old_life_back() -> None:
    table = EndpointTable()
    table.publish(entry(2000), 0.0)
    assert table.publish(entry(1000, 99), 1.0) is Publication.STALE
    row = table.get("e-0")
    assert row is not None
    assert row.published.born == 2000


def test_a_sequence_that_falls_without_a_new_start_changes_nothing() -> None:
    table = EndpointTable()
    table.publish(entry(2000, 7, leaving=True), 0.0)
    assert table.publish(entry(2000, 6), 1.0) is Publication.STALE
    assert table.usable("work", 1.0) == []


def test_a_life_that_has_ended_does_not_come_back_after_it_was_taken_off() -> None:
    table = EndpointTable()
    table.publish(entry(2000, 7), 0.0)
    table.remove("e-0")
    assert table.publish(entry(1000, 99), 1.0) is Publication.STALE
    assert table.publish(entry(2000, 6), 1.0) is Publication.STALE
    assert table.get("e-0") is None
    assert table.publish(entry(2000, 7), 1.0) is Publication.NEW
    table.remove("e-0")
    assert table.publish(entry(3000), 2.0) is Publication.NEW_LIFE


def test_where_no_start_is_told_the_platforms_order_counts() -> None:
    table = EndpointTable()
    table.publish(entry(0, 7), 0.0)
    assert table.publish(entry(0, 1, slots=3), 1.0) is Publication.CHANGE
    row = table.get("e-0")
    assert row is not None
    assert row.published.slots == 3


def test_an_endpoint_whose_service_changes_is_not_listed_under_the_old_one() -> None:
    table = EndpointTable()
    table.publish(entry(1), 0.0)
    table.publish(Published("e-0", "other", "10.1.0.1:80", "hall1", 2, False, 1, 2), 1.0)
    assert table.of_service("work") == []
    assert [row.id for row in table.of_service("other")] == ["e-0"]


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 4)), max_size=20))
def test_whatever_the_order_the_newest_entry_stands(entries: list[tuple[int, int]]) -> None:
    table = EndpointTable()
    for born, sequence in entries:
        table.publish(entry(born, sequence), 0.0)
    row = table.get("e-0")
    newest = max(entries, default=None)
    found = (row.published.born, row.published.sequence) if row is not None else None
    assert found == newest
