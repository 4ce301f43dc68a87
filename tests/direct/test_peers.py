"""The table of other entries."""

from __future__ import annotations

import time

from dockreach.direct.datagrams import decode, encode
from dockreach.direct.peers import (
    FEW_TOLD,
    FRESH_S,
    MOST_PEERS,
    MOST_TOLD,
    SILENT_S,
    YOUNG_S,
    PeerTable,
)

from .cores import OWN, address, digest, peers


def test_an_older_digest_changes_nothing() -> None:
    table = peers()
    table.receive(digest(address(1), number=5, under_way={"e": 2}), 1.0)
    assert not table.receive(digest(address(1), number=4), 1.1).is_news
    assert table.under_way(1.1) == {"e": 2}


def test_a_restart_is_told_by_age_whatever_number_it_drew() -> None:
    table = peers()
    table.receive(digest(address(1), incarnation=9, number=80, age_s=50.0), 10.0)
    heard = table.receive(digest(address(1), incarnation=3, number=1, age_s=0.2), 11.0)
    assert heard.is_news
    assert heard.before is not None
    assert heard.before.digest.incarnation == 9


def test_a_late_datagram_of_an_ended_incarnation_changes_nothing() -> None:
    table = peers()
    table.receive(digest(address(1), incarnation=2, age_s=0.2), 11.0)
    late = digest(address(1), incarnation=1, number=99, age_s=50.0)
    assert not table.receive(late, 11.1).is_news


def test_requests_of_a_silent_peer_do_not_count() -> None:
    table = peers()
    table.receive(digest(address(1), under_way={"e": 2}), 1.0)
    table.receive(digest(address(2), under_way={"e": 1}), 1.0 + FRESH_S)
    assert table.under_way(1.1 + FRESH_S) == {"e": 1}


def test_a_peer_is_either_heard_or_silent() -> None:
    table = peers()
    for number in range(10):
        table.receive(digest(address(number)), 1.0 + number / 10)
    for now in (1.5, 1.0 + FRESH_S, 2.3):
        heard = table.fresh(now)
        assert all(table.is_fresh(row, now) for row in heard)
        assert len(heard) + len(table.silent(now)) == len(table)


def test_among_many_peers_one_is_silent_only_after_several_digests() -> None:
    table = peers()
    for number in range(100):
        table.receive(digest(address(number)), 1.0)
    assert table.silent(1.0 + 3 * table.gap_s) == []
    assert len(table.silent(1.0 + 5 * table.gap_s)) == 100


def test_a_silent_peer_is_kept_and_then_gone() -> None:
    table = peers()
    table.receive(digest(address(1)), 1.0)
    assert len(table.silent(1.0 + FRESH_S + 0.1)) == 1
    assert table.expire(1.0 + SILENT_S - 0.1) == []
    assert len(table.expire(1.0 + SILENT_S + 0.1)) == 1
    assert len(table) == 0


def test_a_peer_that_said_it_leaves_is_not_taken_as_cut_off() -> None:
    table = peers()
    table.receive(digest(address(1), leaving=True), 1.0)
    assert table.silent(5.0) == []
    assert len(table.expire(1.0 + FRESH_S + 0.1)) == 1


def test_seeds_and_named_entries_are_sent_digests() -> None:
    table = PeerTable(OWN, (address(1), OWN))
    table.receive(digest(address(2), known=[address(3), OWN]), 1.0)
    assert set(table.targets()) == {address(1), address(2), address(3)}


def test_the_table_is_bounded() -> None:
    table = peers()
    for number in range(MOST_PEERS + 50):
        table.receive(digest(address(number)), 1.0)
    assert len(table) == MOST_PEERS
    assert len(table.told(YOUNG_S)) == FEW_TOLD


def test_more_are_named_while_somebody_has_just_started() -> None:
    table = peers()
    for number in range(50):
        table.receive(digest(address(number), age_s=60.0), 1.0)
    table.receive(digest(address(50), age_s=0.1), 1.0)
    assert len(table.told(YOUNG_S)) == MOST_TOLD


def test_all_peers_are_named_in_time() -> None:
    table = peers()
    for number in range(50):
        table.receive(digest(address(number)), 1.0)
    named = {entry for _ in range(50) for entry in table.told(YOUNG_S)}
    assert len(named) == 50


def test_a_digest_before_380_peers_and_1200_endpoints_fits_and_is_quick() -> None:
    table = peers()
    for number in range(380):
        table.receive(digest(address(number), under_way={f"e-{number}": 1}), 1.0)
    own = digest(
        OWN,
        under_way={f"i-{number:010x}": 3 for number in range(1200)},
        spent={f"organisation-{number}": [100] * 17 for number in range(320)},
        known=table.told(YOUNG_S),
    )
    data = encode(own)
    assert len(data) < 60_000
    assert decode(data) == own
    started = time.process_time()
    for _ in range(20):
        table.under_way(1.1)
    assert time.process_time() - started < 1.0
