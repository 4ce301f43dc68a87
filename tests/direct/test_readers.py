"""Who reads the platform, and when the others ask it themselves."""

from __future__ import annotations

from dockreach.direct.digest import Address
from dockreach.direct.feeds import Feed
from dockreach.direct.peers import PeerTable
from dockreach.direct.readers import (
    BEHIND_PART,
    CONFIGURATION,
    READERS,
    TRUST_PART,
    Readers,
)

from .cores import OWN, address, digest, peers

IN_FORCE_S = 4.0


def hall_of(own: Address, entries: int) -> PeerTable:
    """Return what one entry of a data hall knows of the others."""
    table = PeerTable(own, ())
    for number in range(entries):
        if address(number) != own:
            told = digest(address(number), hall="hall1", configuration_age_s=0.1)
            table.receive(told, 100.0)
    return table


def not_reading(entries: int = 10) -> tuple[Readers, PeerTable]:
    """Return an entry that does not read, and what it knows of others."""
    for number in range(entries):
        table = hall_of(address(number), entries)
        core = Readers(table, "hall1")
        if not core.is_reader(100.0):
            return core, table
    raise AssertionError("all read")


def may_skip_call(
    core: Readers, now: float, *, revision: int = 1, feed: Feed | None = None
) -> bool:
    return core.may_skip_call(CONFIGURATION, feed or Feed(), revision, IN_FORCE_S, now)


def test_a_few_entries_of_each_hall_read() -> None:
    reading = [
        Readers(hall_of(address(number), 12), "hall1").is_reader(100.0)
        for number in range(12)
    ]
    assert sum(reading) == READERS


def test_in_a_small_hall_all_read_and_other_halls_do_not_count() -> None:
    table = peers()
    table.receive(digest(address(1), hall="hall1"), 100.0)
    for number in range(2, 9):
        table.receive(digest(address(number), hall="hall2"), 100.0)
    assert Readers(table, "hall1").is_reader(100.0)


def test_one_that_others_read_for_asks_nothing_while_their_word_is_fresh() -> None:
    core, table = not_reading()
    assert may_skip_call(core, 100.0)
    for row in table.rows:
        row.digest.configuration_age_s = TRUST_PART * IN_FORCE_S - 0.2
    assert may_skip_call(core, 100.1)
    assert not may_skip_call(core, 100.3)


def test_it_asks_itself_when_nobody_has_had_an_answer_for_long() -> None:
    core, table = not_reading()
    now = 100.1 + TRUST_PART * IN_FORCE_S
    for number, row in enumerate(table.rows):
        # They are heard, and say that the platform does not answer them.
        silent = digest(row.digest.address, number=2, hall="hall1", configuration_age_s=3.0)
        table.receive(silent, now - 0.01 * number)
    assert not may_skip_call(core, now)


def test_an_answer_of_its_own_counts_as_well() -> None:
    core, table = not_reading()
    feed = Feed()
    feed.answer(109.0)
    for row in table.rows:
        row.heard = 109.0
        row.digest.configuration_age_s = 50.0
    assert may_skip_call(core, 109.5, feed=feed)
    assert not may_skip_call(core, 109.1 + TRUST_PART * IN_FORCE_S, feed=feed)


def test_it_asks_itself_when_others_know_more_and_it_could_not_fetch_that() -> None:
    core, _ = not_reading()
    assert may_skip_call(core, 100.0, revision=1)
    core, table = not_reading()
    table.receive(digest(address(11), number=2, revision=2, hall="hall2"), 100.0)
    assert may_skip_call(core, 100.0)
    assert not may_skip_call(core, 100.1 + BEHIND_PART * IN_FORCE_S)


def test_who_knows_nothing_yet_asks() -> None:
    core, _ = not_reading()
    assert not may_skip_call(core, 100.0, revision=0)


def test_one_whose_own_call_failed_asks_until_it_is_answered() -> None:
    core, _ = not_reading()
    feed = Feed()
    feed.fail()
    assert not may_skip_call(core, 100.0, feed=feed)


def test_readers_that_fall_silent_are_replaced() -> None:
    core, table = not_reading(READERS + 1)
    assert not core.is_reader(100.0)
    assert core.is_reader(101.0)
    assert len(table) == READERS


def test_the_own_address_may_be_the_first() -> None:
    assert Readers(PeerTable(OWN, ()), "hall1").is_reader(1.0)
