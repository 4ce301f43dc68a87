"""Which entries poll the platform, and when the others call it themselves."""

from __future__ import annotations

import msgspec

from dockreach.direct.digest import Address
from dockreach.direct.feeds import FAILING, Feed
from dockreach.direct.peers import PeerRow, PeerTable
from dockreach.direct.readers import (
    BEHIND_FRACTION,
    CONFIGURATION,
    ENDPOINTS,
    READERS_PER_HALL,
    TRUST_FRACTION,
    ReaderSelector,
)

from .core_builders import OWN, address, digest, peers

APPLY_DEADLINE_S = 4.0


def peers_in_hall(own: Address, entries: int) -> PeerTable:
    """Return the table of peers of one entry in a data hall."""
    table = PeerTable(own, ())
    for number in range(entries):
        if address(number) != own:
            received = digest(address(number), hall="hall1", configuration_age_s=0.1)
            table.merge(received, 100.0)
    return table


def non_reader(entries: int = 10) -> tuple[ReaderSelector, PeerTable]:
    """Return the selector of an entry that is no reader, and its table of peers."""
    for number in range(entries):
        table = peers_in_hall(address(number), entries)
        selector = ReaderSelector(table, "hall1")
        if not selector.is_reader(100.0):
            return selector, table
    raise AssertionError("all entries are readers")


def may_skip_call(
    selector: ReaderSelector, now: float, *, revision: int = 1, feed: Feed | None = None
) -> bool:
    return selector.may_skip_poll(
        CONFIGURATION, feed or Feed(), revision, APPLY_DEADLINE_S, now
    )


def test_a_few_entries_of_each_hall_are_readers() -> None:
    is_reader = [
        ReaderSelector(peers_in_hall(address(number), 12), "hall1").is_reader(100.0)
        for number in range(12)
    ]
    assert sum(is_reader) == READERS_PER_HALL


def test_in_a_small_hall_all_are_readers_and_other_halls_do_not_count() -> None:
    table = peers()
    table.merge(digest(address(1), hall="hall1"), 100.0)
    for number in range(2, 9):
        table.merge(digest(address(number), hall="hall2"), 100.0)
    assert ReaderSelector(table, "hall1").is_reader(100.0)


def test_an_entry_skips_calls_while_the_readers_confirmations_are_fresh() -> None:
    selector, table = non_reader()
    assert may_skip_call(selector, 100.0)
    for row in table.rows:
        row.digest.configuration_age_s = TRUST_FRACTION * APPLY_DEADLINE_S - 0.2
    assert may_skip_call(selector, 100.1)
    assert not may_skip_call(selector, 100.3)


def test_an_entry_calls_itself_when_no_peer_had_a_response_for_long() -> None:
    selector, table = non_reader()
    now = 100.1 + TRUST_FRACTION * APPLY_DEADLINE_S
    for number, row in enumerate(table.rows):
        # Their digests arrive, and report that the platform does not answer them.
        failing = digest(
            row.digest.address, number=2, hall="hall1", configuration_age_s=3.0
        )
        table.merge(failing, now - 0.01 * number)
    assert not may_skip_call(selector, now)


def test_a_recent_response_to_its_own_call_counts_as_well() -> None:
    selector, table = non_reader()
    feed = Feed()
    feed.record_response(109.0)
    for row in table.rows:
        row.received_at = 109.0
        row.digest.configuration_age_s = 50.0
    assert may_skip_call(selector, 109.5, feed=feed)
    assert not may_skip_call(selector, 109.1 + TRUST_FRACTION * APPLY_DEADLINE_S, feed=feed)


def test_an_entry_calls_itself_when_peers_stay_ahead_of_it() -> None:
    selector, _ = non_reader()
    assert may_skip_call(selector, 100.0, revision=1)
    selector, table = non_reader()
    table.merge(digest(address(11), number=2, revision=2, hall="hall2"), 100.0)
    assert may_skip_call(selector, 100.0)
    assert not may_skip_call(selector, 100.1 + BEHIND_FRACTION * APPLY_DEADLINE_S)


def test_an_entry_without_data_calls_itself() -> None:
    selector, _ = non_reader()
    assert not may_skip_call(selector, 100.0, revision=0)


def test_an_entry_whose_call_failed_keeps_calling() -> None:
    selector, _ = non_reader()
    feed = Feed()
    feed.record_failure()
    assert not may_skip_call(selector, 100.0, feed=feed)


def test_silent_readers_are_replaced() -> None:
    selector, table = non_reader(READERS_PER_HALL + 1)
    assert not selector.is_reader(100.0)
    assert selector.is_reader(101.0)
    assert len(table) == READERS_PER_HALL


def test_an_entry_without_peers_is_a_reader() -> None:
    assert ReaderSelector(PeerTable(OWN, ()), "hall1").is_reader(1.0)


def may_skip_endpoints(selector: ReaderSelector, feed: Feed | None = None) -> bool:
    return selector.may_skip_poll(ENDPOINTS, feed or Feed(), 1, APPLY_DEADLINE_S, 100.0)


def fail(table: PeerTable, *rows: PeerRow, answered_s: int = FAILING) -> None:
    """Let peers report that their calls fail, soon after the last one was answered."""
    for row in rows:
        failing = digest(row.digest.address, number=2, hall=row.digest.hall)
        table.merge(
            msgspec.structs.replace(failing, endpoints_answered_s=answered_s), 100.0
        )


def test_an_entry_calls_itself_at_once_when_the_calls_of_its_halls_readers_fail() -> None:
    """Guards against an entry that hears only from readers that are cut off.

    It used to wait until their last responses were 0.7 of the apply deadline old, and then
    took for lapsed what they took for lapsed.
    """
    selector, table = non_reader()
    assert may_skip_endpoints(selector)
    for row in table.rows:
        # Those that read for nobody were not answered for long.
        row.digest.endpoints_age_s = 50.0
    fail(table, *table.rows[:READERS_PER_HALL])
    feed = Feed()
    feed.record_response(99.9)
    assert not may_skip_endpoints(selector, feed)


def test_an_entry_skips_calls_while_one_reader_of_its_hall_is_answered() -> None:
    selector, table = non_reader()
    fail(table, *table.rows[1:])
    assert may_skip_endpoints(selector)
    fail(table, table.rows[0])
    assert not may_skip_endpoints(selector)


def test_calls_that_fail_in_other_halls_or_are_not_reported_are_no_reason_to_call() -> None:
    selector, table = non_reader()
    fail(table, *table.rows, answered_s=0)
    table.merge(digest(address(30), hall="hall2"), 100.0)
    fail(table, table.rows[-1])
    assert may_skip_endpoints(selector)
