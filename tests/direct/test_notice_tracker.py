"""Endpoint notices: which incarnation they apply to, how they spread, how long they last.

The tests use the tracker of each entry directly, with a simulated clock.
"""

from __future__ import annotations

import logging
import math

import pytest

from dockreach.direct.advertised_state import UNLIMITED_RATE
from dockreach.direct.endpoints import EndpointRow, EndpointTable, Published
from dockreach.direct.notice import NO_NOTICE, EndpointNotice, InvalidValue
from dockreach.direct.notice_tracker import (
    ENDED_LIMIT_REPORT_S,
    MAX_NOTICES_PER_DIGEST,
    MIN_ANNOUNCE_INTERVAL_S,
    NoticeTracker,
)
from dockreach.direct.relayed_notice import NoticeUpdate, RelayedNotice
from dockreach.direct.stalls import Arrival
from dockreach.events import Event


class EntryFixture:
    """One entry's table of endpoints and its notice tracker, with a simulated clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.sent: list[NoticeUpdate] = []
        self.table = EndpointTable()
        self.notices = NoticeTracker(
            self.table, "entry-1", self.sent.append, lambda: None, lambda: self.now
        )

    def publish(
        self, name: str = "e-0", *, born: int = 1, seq: int = 1, leaving: bool = False
    ) -> EndpointRow:
        """Publish an endpoint as the platform does; return its row."""
        record = Published(name, "work", "10.1.0.1:80", "hall1", 4, leaving, born, seq)
        self.table.publish(record, self.now)
        row = self.table.get(name)
        assert row is not None
        return row

    def receive_response(
        self,
        row: EndpointRow,
        notice: EndpointNotice,
        *,
        took_s: float = 0.1,
        is_send_time_known: bool = True,
    ) -> None:
        """Receive the response to a request that was sent some time ago."""
        sent_at = self.now - took_s if is_send_time_known else -math.inf
        self.notices.apply_notice(row, notice, request_sent_at=sent_at, rid="r")

    def announced(self) -> list[RelayedNotice]:
        """Return the notices that were sent to all entries, in order."""
        return [notice for update in self.sent for notice in update.notices]


LEAVING_NOTICE = EndpointNotice(is_leaving=True)


def limit_notice(rate: float = 1.0) -> EndpointNotice:
    return EndpointNotice(rate=rate)


def test_leaving_holds_for_the_rest_of_that_incarnation_only() -> None:
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, LEAVING_NOTICE)
    entry.receive_response(row, NO_NOTICE)
    assert entry.publish(seq=2).is_leaving
    # Its registration lapses, and it is listed again.
    entry.table.remove("e-0")
    assert entry.publish(seq=3).is_leaving
    assert not entry.publish(born=2).is_leaving


def test_leaving_holds_for_an_incarnation_without_a_start_time() -> None:
    entry = EntryFixture()
    entry.receive_response(entry.publish(born=0), LEAVING_NOTICE)
    entry.table.remove("e-0")
    assert entry.publish(born=0, seq=2).is_leaving


def test_a_response_of_the_previous_incarnation_does_not_affect_the_new_one() -> None:
    entry = EntryFixture()
    old = entry.publish()
    new = entry.publish(born=2)
    entry.receive_response(old, EndpointNotice(rate=1.0, is_leaving=True, backoff_s=3.0))
    assert not new.is_leaving
    assert not new.advertised.limit.is_active
    assert entry.table.advertising() == []


def test_relayed_notices_of_another_incarnation_are_ignored() -> None:
    entry = EntryFixture()
    row = entry.publish(born=2)
    entry.notices.merge([RelayedNotice("e-0", 1, 1.0, 0.2, 0.1, True)], "entry-2")
    entry.notices.merge([RelayedNotice("e-9", 1, 1.0, 0.2, 0.1, True)], "entry-2")
    assert not row.is_leaving
    assert not row.advertised.limit.is_active


def test_a_notice_is_announced_immediately_and_only_once() -> None:
    entry = EntryFixture()
    row = entry.publish()
    for _ in range(3):
        entry.receive_response(row, EndpointNotice(rate=1.0, is_leaving=True))
    (notice,) = entry.announced()
    assert (notice.rate, notice.is_leaving, notice.born) == (1.0, True, 1)
    assert notice.request_age_s == pytest.approx(0.1)
    assert notice.report_age_s == 0.0


def test_a_relayed_notice_is_applied_but_not_announced_again() -> None:
    sender, receiver = EntryFixture(), EntryFixture()
    sender.receive_response(sender.publish(), EndpointNotice(rate=1.0, is_leaving=True))
    row = receiver.publish()
    receiver.notices.merge(sender.announced(), "entry-1")
    assert row.is_leaving
    assert row.advertised.limit.report.rate == 1.0
    assert receiver.sent == []
    # The receiver's own digests reach entries that missed the message.
    assert [notice.endpoint for notice in receiver.notices.next_notices()] == ["e-0"]


def test_leaving_is_not_announced_if_the_platform_already_lists_it() -> None:
    entry = EntryFixture()
    entry.receive_response(entry.publish(leaving=True), LEAVING_NOTICE)
    assert entry.sent == []
    assert entry.notices.next_notices() == []


def test_rising_rates_are_announced_at_intervals_and_falling_rates_immediately() -> None:
    entry = EntryFixture()
    row = entry.publish()
    for rate in (1.0, 2.0, 3.0):
        entry.receive_response(row, limit_notice(rate), took_s=0.0)
    assert [notice.rate for notice in entry.announced()] == [1.0]
    entry.receive_response(row, limit_notice(0.5), took_s=0.0)
    assert [notice.rate for notice in entry.announced()] == [1.0, 0.5]
    entry.now += MIN_ANNOUNCE_INTERVAL_S
    entry.receive_response(row, limit_notice(2.0), took_s=0.0)
    assert [notice.rate for notice in entry.announced()] == [1.0, 0.5, 2.0]


def test_leaving_is_announced_immediately_even_right_after_a_limit() -> None:
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, limit_notice())
    entry.receive_response(row, EndpointNotice(rate=1.0, is_leaving=True))
    assert [notice.is_leaving for notice in entry.announced()] == [False, True]


def test_digests_report_the_end_of_a_limit_for_some_time() -> None:
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, limit_notice())
    assert [notice.rate for notice in entry.notices.next_notices()] == [1.0]
    entry.now += 1.0
    entry.receive_response(row, NO_NOTICE)
    assert row.advertised.limit.report.rate == UNLIMITED_RATE
    assert [notice.rate for notice in entry.notices.next_notices()] == [None]
    entry.now += ENDED_LIMIT_REPORT_S
    entry.notices.expire(entry.now)
    assert entry.notices.next_notices() == []
    assert entry.table.advertising() == []


def test_a_limit_holds_until_a_newer_report_is_received() -> None:
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, limit_notice())
    entry.now += 1000.0
    entry.notices.expire(entry.now)
    assert row.advertised.limit.is_active
    assert entry.table.advertising() == [row]


def test_a_response_of_unknown_age_may_start_a_limit_but_not_end_one() -> None:
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, limit_notice(), is_send_time_known=False)
    assert row.advertised.limit.is_active
    entry.now += 1.0
    entry.receive_response(row, NO_NOTICE, is_send_time_known=False)
    assert row.advertised.limit.is_active


def test_an_invalid_value_changes_nothing_and_is_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(logging.getLogger("dockreach"), "propagate", True)
    entry = EntryFixture()
    row = entry.publish()
    entry.receive_response(row, limit_notice())
    invalid = InvalidValue("server-limit", "x", "not a decimal number")
    with caplog.at_level(logging.WARNING, "dockreach"):
        for _ in range(3):
            entry.now += 1.0
            entry.receive_response(row, EndpointNotice(rate=invalid, backoff_s=invalid))
    assert row.advertised.limit.report.rate == 1.0
    assert row.advertised.backoff_until < entry.now
    number = Event.NOTICE_REFUSED.value
    logged = [line.message for line in caplog.records if vars(line)["event"] == number]
    assert logged == [invalid.problem]


def test_successive_digests_report_all_endpoints() -> None:
    entry = EntryFixture()
    for number in range(3 * MAX_NOTICES_PER_DIGEST):
        entry.receive_response(entry.publish(f"e-{number}"), limit_notice())
    reported = {
        notice.endpoint for _ in range(3) for notice in entry.notices.next_notices()
    }
    assert len(reported) == 3 * MAX_NOTICES_PER_DIGEST


def test_a_limit_survives_a_short_absence_of_its_endpoint() -> None:
    entry = EntryFixture()
    entry.receive_response(entry.publish(), limit_notice())
    entry.table.remove("e-0")
    assert entry.table.advertising() == []
    row = entry.publish(seq=2)
    assert row.advertised.limit.is_active
    assert entry.table.advertising() == [row]


def test_a_report_relayed_back_and_forth_does_not_become_newer() -> None:
    # Message delays must not add up.
    first, second = EntryFixture(), EntryFixture()
    first.receive_response(first.publish(), limit_notice())
    row = second.publish()
    for _ in range(50):
        for sender, receiver in ((first, second), (second, first)):
            notices = sender.notices.next_notices()
            for entry in (first, second):
                entry.now += 0.05
            receiver.notices.merge(notices, "peer")
    assert row.advertised.limit.report.received_at < 100.2


def test_a_limit_that_is_reported_again_is_relayed_as_new() -> None:
    first, second = EntryFixture(), EntryFixture()
    responding, row = first.publish(), second.publish()
    for _ in range(3):
        first.receive_response(responding, limit_notice())
        second.notices.merge(first.notices.next_notices(), "peer")
        first.now = second.now = first.now + 1.0
    assert row.advertised.limit.report.received_at == pytest.approx(102.0)


def test_a_relayed_end_of_a_limit_that_waited_does_not_end_a_later_limit() -> None:
    """Guards against a burst at an endpoint just after an entry stood still."""
    peer, entry = EntryFixture(), EntryFixture()
    responding, row = peer.publish(), entry.publish()
    peer.receive_response(responding, limit_notice())
    peer.now += 1.0
    peer.receive_response(responding, limit_notice(UNLIMITED_RATE))
    relayed = peer.notices.next_notices()
    entry.now = peer.now + 1.0
    entry.receive_response(row, limit_notice(2.0))
    waited = Arrival(peer.now, peer.now, entry.now + 5.0)
    entry.now = waited.read_at
    entry.notices.merge(relayed, "peer", waited)
    assert row.advertised.limit.report.rate == 2.0
