"""Endpoints whose records disappear: who keeps them, for how long, and on whose word."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import eventlet
import msgspec
import pytest

from dockreach import clock
from dockreach.direct import view as views
from dockreach.direct.digest import Digest
from dockreach.direct.endpoint_sync import REAPPLY_INTERVAL_S
from dockreach.direct.endpoints import Published, PublishResult
from dockreach.direct.entry import Entry
from dockreach.direct.feeds import FAILING
from dockreach.direct.lapses import LAPSE_GRACE_S
from dockreach.direct.record_checks import RecordFault
from dockreach.direct.view import View
from dockreach_platform.headers import PlatformAdapter

from .core_builders import address, digest
from .standins import entry_settings, published


def record(number: int) -> Published:
    return published(f"e-{number}", f"127.0.0.1:{9 + number}")


def entry_with(*records: Published, endpoints_revision: int = 5) -> Entry:
    """Return an entry that has read these records from the platform."""
    entry = Entry(entry_settings(), PlatformAdapter())
    entry.replace_endpoints(list(records), endpoints_revision)
    return entry


def lose(entry: Entry, endpoint: str, revision: int, *, after_outage: bool = False) -> None:
    """Let an entry read that an endpoint's record is gone."""
    entry.remove_endpoint(endpoint, after_outage=after_outage)
    entry.record_endpoints_revision(revision)


def add(entry: Entry, added: Published, revision: int) -> None:
    """Let an entry read a new record."""
    entry.apply_endpoint(added)
    entry.record_endpoints_revision(revision)


def relayed(entry: Entry) -> View:
    """Return an entry's view as a peer receives it."""
    return views.decode(views.encode(entry.view()))


def grace_left_s(entry: Entry, endpoint: str) -> float | None:
    """Return for how long an entry keeps a lapsed endpoint, in seconds."""
    row = entry.endpoints.get(endpoint)
    if row is None or row.lapsed_until is None:
        return None
    return row.lapsed_until - clock.now()


def ids(entry: Entry) -> set[str]:
    return {row.id for row in entry.endpoints}


def test_an_endpoint_known_to_be_gone_does_not_come_back_as_lapsed() -> None:
    """Guards against requests to an endpoint that left, 3 s and more after it was gone.

    An entry that had missed some calls to the platform kept such endpoints as lapsed. All
    entries that took its view listed them again, though they had removed them before.
    """
    in_touch, cut_off, other = (entry_with(record(0), record(1)) for _ in range(3))
    lose(in_touch, "e-0", 6)
    other.apply_view(relayed(in_touch), "in-touch")
    lose(cut_off, "e-0", 6, after_outage=True)
    add(cut_off, record(2), 7)
    other.apply_view(relayed(cut_off), "cut-off")
    assert ids(cut_off) == {"e-0", "e-1", "e-2"}
    assert ids(other) == {"e-1", "e-2"}


def listed_at(number: int, revision: int, **changes: str | bool) -> Published:
    """Return a record that was last changed at a revision of the platform."""
    return replace(
        record(number),
        revision=revision,
        registered_revision=1,
        **changes,  # type: ignore[arg-type]
    )


def test_a_peer_that_missed_that_an_endpoint_leaves_does_not_let_it_serve_again() -> None:
    """Guards against requests to an endpoint that left, once a peer's view was taken."""
    both = listed_at(0, 2), listed_at(1, 3)
    in_touch, lagging = (entry_with(*both) for _ in range(2))
    add(in_touch, listed_at(0, 6, leaving=True), 6)
    add(lagging, listed_at(2, 7), 7)
    in_touch.apply_view(relayed(lagging), "lagging")
    assert ids(in_touch) == {"e-0", "e-1", "e-2"}
    assert {row.id for row in in_touch.endpoints.accepting("work", None)} == {"e-1", "e-2"}


def test_a_peer_that_missed_that_an_endpoint_is_gone_does_not_bring_it_back() -> None:
    both = listed_at(0, 2), listed_at(1, 3)
    in_touch, lagging = (entry_with(*both) for _ in range(2))
    in_touch.remove_endpoint("e-0", revision=6)
    in_touch.record_endpoints_revision(6)
    add(lagging, listed_at(2, 7), 7)
    in_touch.apply_view(relayed(lagging), "lagging")
    assert ids(in_touch) == {"e-1", "e-2"}


def test_a_record_that_is_newer_than_the_word_that_it_is_gone_stays() -> None:
    entry = entry_with(listed_at(0, 2), listed_at(1, 9))
    entry.remove_endpoint("e-1", revision=8)
    assert ids(entry) == {"e-0", "e-1"}


def test_an_endpoint_that_a_peer_missed_is_listed_on_the_platforms_word() -> None:
    """Guards against endpoints without requests, since a peer missed that they joined."""
    entry, lagging = entry_with(listed_at(0, 2), listed_at(1, 3)), entry_with(record(0))
    lagging.record_endpoints_revision(8)
    entry.apply_view(relayed(lagging), "lagging")
    assert ids(entry) == {"e-0"}
    entry.replace_endpoints([listed_at(0, 2), listed_at(1, 3)], 9)
    assert ids(entry) == {"e-0", "e-1"}


def test_a_list_of_a_store_that_has_gone_back_applies() -> None:
    entry = entry_with(listed_at(0, 2), endpoints_revision=20)
    add(entry, listed_at(0, 22, leaving=True), 22)
    elsewhere = listed_at(0, 2, address="127.0.0.1:99")
    entry.replace_endpoints([elsewhere, listed_at(1, 3)], 10)
    assert {row.id for row in entry.endpoints.accepting("work", None)} == {"e-0", "e-1"}


@pytest.mark.parametrize("is_list", [True, False])
def test_a_response_that_a_peers_view_has_overtaken_is_followed_by_a_call(
    is_list: bool,
) -> None:
    """Guards against endpoints that are listed again by a slow response of the platform."""
    entry, peer = entry_with(listed_at(0, 2), listed_at(1, 3)), entry_with(listed_at(0, 2))
    feed = entry.feeds.endpoints
    feed.called_at = clock.now()
    peer.record_endpoints_revision(9)
    eventlet.sleep(0.01)
    entry.apply_view(relayed(peer), "peer")
    assert ids(entry) == {"e-0"}
    if is_list:
        entry.replace_endpoints([listed_at(0, 2), listed_at(1, 3)], 8)
    else:
        entry.apply_endpoint(listed_at(1, 8))
        entry.finish_endpoint_changes(8)
    feed.record_response(clock.now())
    feed.mark_caught_up()
    assert not entry.may_skip_poll(feed)
    assert entry._endpoint_sync.needs_another_read
    feed.called_at = clock.now()
    feed.mark_caught_up()
    assert not entry._endpoint_sync.needs_another_read


def test_the_grace_period_of_a_lapsed_endpoint_does_not_begin_anew_with_each_view() -> None:
    """Guards against a lapsed endpoint that entries keep while they exchange views."""
    first, second, third = (entry_with(record(0), record(1)) for _ in range(3))
    lose(first, "e-0", 6, after_outage=True)
    eventlet.sleep(0.2)
    second.apply_view(relayed(first), "first")
    eventlet.sleep(0.2)
    add(second, record(2), 7)
    third.apply_view(relayed(second), "second")
    add(third, record(3), 8)
    second.apply_view(relayed(third), "third")
    for entry in (second, third):
        left_s = grace_left_s(entry, "e-0")
        assert left_s is not None
        assert left_s <= LAPSE_GRACE_S - 0.4


def test_a_lapsed_endpoint_whose_grace_period_is_over_is_not_taken_from_a_view() -> None:
    first, second = entry_with(record(0), record(1)), entry_with(record(1))
    lose(first, "e-0", 6, after_outage=True)
    late = msgspec.structs.replace(relayed(first), lapsed_ages_s=[LAPSE_GRACE_S])
    second.apply_view(late, "first")
    assert ids(second) == {"e-1"}


def test_an_entry_that_has_just_started_takes_lapsed_endpoints_for_the_time_left() -> None:
    first = entry_with(record(0), record(1))
    lose(first, "e-0", 6, after_outage=True)
    eventlet.sleep(0.2)
    started = Entry(entry_settings(), PlatformAdapter())
    started.apply_view(relayed(first), "first")
    left_s = grace_left_s(started, "e-0")
    assert left_s is not None
    assert 0.0 < left_s <= LAPSE_GRACE_S - 0.2


@pytest.mark.parametrize("born", [0, 1000])
def test_an_endpoint_that_registers_again_is_listed_by_all_at_once(born: int) -> None:
    """Guards against endpoints that return and get no requests."""
    back = Published("e-0", "work", "127.0.0.1:9", "hall1", 4, False, born=born)
    in_touch, other = (entry_with(back, record(1)) for _ in range(2))
    lose(in_touch, "e-0", 6)
    other.apply_view(relayed(in_touch), "in-touch")
    assert ids(other) == {"e-1"}
    add(in_touch, back, 7)
    other.apply_view(relayed(in_touch), "in-touch")
    assert ids(other) == {"e-0", "e-1"}
    assert grace_left_s(other, "e-0") is None


def test_a_lapsed_endpoint_that_registers_again_is_kept_for_good() -> None:
    first, second = (entry_with(record(0), record(1)) for _ in range(2))
    lose(first, "e-0", 6, after_outage=True)
    second.apply_view(relayed(first), "first")
    assert grace_left_s(second, "e-0") is not None
    add(first, record(0), 7)
    second.apply_view(relayed(first), "first")
    assert grace_left_s(second, "e-0") is None
    assert ids(second) == {"e-0", "e-1"}


def test_a_view_that_does_not_name_a_lapsed_endpoint_ends_its_grace_period() -> None:
    first, second = (entry_with(record(0), record(1)) for _ in range(2))
    lose(second, "e-0", 6, after_outage=True)
    lose(first, "e-0", 6)
    add(first, record(2), 7)
    second.apply_view(relayed(first), "first")
    assert ids(second) == {"e-1", "e-2"}


def test_a_view_of_an_earlier_version_gives_lapsed_endpoints_one_grace_period() -> None:
    """Guards against entries that lose endpoints while their software is updated."""
    first, second = (entry_with(record(0), record(1)) for _ in range(2))
    lose(first, "e-0", 6, after_outage=True)
    for number in (7, 8):
        add(first, record(number), number)
        earlier = msgspec.structs.replace(relayed(first), lapsed_ages_s=[])
        second.apply_view(earlier, "first")
        eventlet.sleep(0.2)
    left_s = grace_left_s(second, "e-0")
    assert left_s is not None
    assert LAPSE_GRACE_S - 0.8 < left_s <= LAPSE_GRACE_S - 0.4


RECORD_MARGIN_S = 2 * entry_settings().heartbeat_s
"""Shortest outage that lets a record expire, in seconds."""


def hear(entry: Entry, *, number: int, answered_s: int, age_s: float = 0.0) -> None:
    """Let an entry receive the digest of a peer in its data hall."""
    sent = digest(address(1), number=number, hall="hall1", configuration_age_s=age_s)
    received: Digest = msgspec.structs.replace(sent, endpoints_answered_s=answered_s)
    entry.peers.merge(received, clock.now())


def test_an_entry_that_was_cut_off_drops_an_endpoint_that_left_meanwhile() -> None:
    """Guards against requests to endpoints that left while one entry was cut off.

    The platform answered a peer all the time. Only this entry's calls had failed.
    """
    entry = entry_with(record(0), record(1))
    hear(entry, number=1, answered_s=60, age_s=RECORD_MARGIN_S + 0.1)
    lose(entry, "e-0", 6, after_outage=True)
    entry.expire_lapsed_endpoints()
    assert ids(entry) == {"e-0", "e-1"}
    hear(entry, number=2, answered_s=60, age_s=RECORD_MARGIN_S - 0.3)
    entry.expire_lapsed_endpoints()
    assert ids(entry) == {"e-1"}


def test_an_endpoint_that_lapsed_in_an_outage_for_all_is_kept() -> None:
    """Guards against dropping endpoints that run, since the platform is back for a peer."""
    entry = entry_with(record(0), record(1))
    lose(entry, "e-0", 6, after_outage=True)
    hear(entry, number=1, answered_s=FAILING)
    entry.expire_lapsed_endpoints()
    hear(entry, number=2, answered_s=1)
    entry.expire_lapsed_endpoints()
    assert ids(entry) == {"e-0", "e-1"}


def test_an_entry_cut_off_beyond_an_outage_keeps_no_endpoint_for_longer() -> None:
    """Guards against a second grace period where an outage and a cut overlap."""
    entry = entry_with(record(0), record(1))
    lose(entry, "e-0", 6, after_outage=True)
    hear(entry, number=1, answered_s=int(LAPSE_GRACE_S) + 1)
    entry.expire_lapsed_endpoints()
    assert ids(entry) == {"e-1"}


def test_a_lapse_that_a_peer_refutes_is_not_taken_from_a_view() -> None:
    """Guards against the view of an entry that was cut off arriving before the others'."""
    cut_off, other = (entry_with(record(0), record(1)) for _ in range(2))
    lose(cut_off, "e-0", 6, after_outage=True)
    hear(other, number=1, answered_s=60)
    other.apply_view(relayed(cut_off), "cut-off")
    assert ids(other) == {"e-1"}


def non_reader(*records: Published) -> Entry:
    """Return an entry that leaves reading the platform to the readers of its hall."""
    while True:
        entry = entry_with(*records, endpoints_revision=1)
        for number in range(12):
            received = digest(address(number), hall="hall1")
            entry.peers.merge(received, clock.now())
        if entry.may_skip_poll(entry.feeds.endpoints):
            return entry


def test_an_entry_that_is_told_of_lapsed_endpoints_reads_the_platform_itself() -> None:
    """Guards against believing a peer whose own calls had failed."""
    cut_off = entry_with(record(0), record(1))
    lose(cut_off, "e-0", 6, after_outage=True)
    entry = non_reader(record(0), record(1))
    entry.apply_view(relayed(cut_off), "cut-off")
    assert not entry.may_skip_poll(entry.feeds.endpoints)
    # One call is enough, and what this entry found missing itself needs none.
    answer_call(entry, sent_at=clock.now())
    assert entry.may_skip_poll(entry.feeds.endpoints)
    lose(entry, "e-1", 7, after_outage=True)
    assert entry.may_skip_poll(entry.feeds.endpoints)


def answer_call(entry: Entry, *, sent_at: float) -> None:
    """Let the platform answer a call for the endpoints now."""
    feed = entry.feeds.endpoints
    feed.called_at = sent_at
    feed.record_response(clock.now())
    feed.mark_caught_up()


def test_a_call_from_before_does_not_show_whether_endpoints_have_lapsed() -> None:
    """Guards against believing a peer by a response that had waited to be read."""
    cut_off = entry_with(record(0), record(1))
    lose(cut_off, "e-0", 6, after_outage=True)
    entry = non_reader(record(0), record(1))
    sent_at = clock.now()
    entry.apply_view(relayed(cut_off), "cut-off")
    answer_call(entry, sent_at=sent_at)
    assert not entry.may_skip_poll(entry.feeds.endpoints)


def odd_records() -> list[Published]:
    """Return records that an entry of an earlier version may have accepted."""
    odd = record(7)
    return [
        replace(odd, slots=2**62),
        replace(odd, slots=0),
        replace(odd, cold_s=math.nan),
        replace(odd, cold_s=math.inf),
        replace(odd, address="10.0.0.1:70000"),
        replace(odd, address="somewhere"),
        replace(odd, hall=""),
        replace(odd, id="i\r\nX: 1"),
    ]


@pytest.mark.parametrize("odd", odd_records())
def test_an_odd_record_in_a_peers_view_costs_only_that_record(
    odd: Published, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an odd record that comes by way of an entry that accepted it."""
    caplog.set_level("INFO", logger="dockreach")
    entry = entry_with(record(0), record(1))
    view = views.View(0, b"", 7, [record(1), odd, record(2)])
    for revision in (7, 8):
        view.endpoints_revision = revision
        entry.apply_view(views.decode(views.encode(view)), "earlier")
    assert ids(entry) == {"e-1", "e-2"}
    refused = [vars(row) for row in caplog.records if vars(row)["event"] == 532]
    assert [row["source"] for row in refused] == ["earlier"]
    assert entry.feeds.refusals.total == 1


@pytest.fixture(name="faulty")
def _faulty(monkeypatch: pytest.MonkeyPatch) -> tuple[Entry, set[str]]:
    """Return an entry, and the endpoints whose records raise an unexpected error."""
    entry = entry_with(record(0), record(1))
    failing = {"e-2"}
    publish = entry.endpoints.publish

    def fail_or_publish(item: Published, now: float) -> PublishResult:
        if item.id in failing:
            raise ZeroDivisionError("a fault of the program")
        return publish(item, now)

    monkeypatch.setattr(entry.endpoints, "publish", fail_or_publish)
    return entry, failing


def by_list(entry: Entry, *records: Published) -> None:
    entry.replace_endpoints(list(records), 7)


def by_watch(entry: Entry, *records: Published) -> None:
    for item in records:
        add(entry, item, 7)


def by_view(entry: Entry, *records: Published) -> None:
    entry.apply_view(views.View(0, b"", 7, list(records)), "peer")


@pytest.mark.parametrize("receive", [by_list, by_watch, by_view])
def test_an_unexpected_error_costs_one_record_and_not_the_list(
    faulty: tuple[Entry, set[str]],
    receive: Callable[..., None],
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a list that is not followed any more for the sake of one record."""
    entry, failing = faulty
    receive(entry, *map(record, range(5)))
    assert ids(entry) == {"e-0", "e-1", "e-3", "e-4"}
    errors = [vars(row) for row in caplog.records if vars(row)["event"] == 731]
    assert [row["endpoint"] for row in errors] == ["e-2"]
    assert "in _publish" in errors[0]["trace"]
    assert entry.feeds.refusals.count(RecordFault.INTERNAL) == 1
    failing.clear()
    entry._endpoint_sync.apply_again(clock.now())
    assert "e-2" not in ids(entry)
    entry._endpoint_sync.apply_again(clock.now() + REAPPLY_INTERVAL_S)
    assert ids(entry) == {f"e-{number}" for number in range(5)}


def test_a_record_that_was_deleted_meanwhile_is_not_applied_again(
    faulty: tuple[Entry, set[str]],
) -> None:
    entry, failing = faulty
    later = clock.now() + 10 * REAPPLY_INTERVAL_S
    by_watch(entry, record(2))
    lose(entry, "e-2", 8)
    by_watch(entry, record(2))
    by_list(entry, record(0))
    failing.clear()
    entry._endpoint_sync.apply_again(later)
    assert ids(entry) == {"e-0"}


def test_a_round_that_fails_costs_no_change_of_the_list(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    entry = entry_with(record(0))

    def fail() -> None:
        raise ZeroDivisionError("a fault of the program")

    monkeypatch.setattr(entry.ctx.scheduler, "run_round", fail)
    by_list(entry, record(1), record(2))
    assert ids(entry) == {"e-1", "e-2"}
    assert len([row for row in caplog.records if vars(row)["event"] == 731]) == 2
    assert entry.feeds.refusals.total == 0


def test_an_endpoint_whose_removal_fails_costs_no_other_removal(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    entry = entry_with(*map(record, range(3)))
    faults = iter([ZeroDivisionError("a fault of the program")])

    def fail_once(address: str) -> None:
        del address
        for fault in faults:
            raise fault

    monkeypatch.setattr(entry.ctx.pool, "close_idle", fail_once)
    by_list(entry, record(2))
    assert ids(entry) == {"e-2"}
    assert len([row for row in caplog.records if vars(row)["event"] == 731]) == 1
