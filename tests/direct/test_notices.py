"""Endpoint notices: which incarnation they apply to, how they spread, how long they last.

The tests use the tracker of each entry directly, with a simulated clock.
"""

from __future__ import annotations

import logging
import math

import pytest

from dockreach.direct.endpoints import EndpointRow, EndpointTable, Published
from dockreach.direct.notice import NO_NOTICE, Notice, Unreadable
from dockreach.direct.notices import ENDED_TOLD_S, MOST_TOLD, TELL_GAP_S, Notices
from dockreach.direct.stated import NO_RATE
from dockreach.direct.told_notice import NoticeNews, ToldNotice
from dockreach.events import Event


class World:
    """One entry's table of endpoints and its notice tracker, with a simulated clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.sent: list[NoticeNews] = []
        self.table = EndpointTable()
        self.notices = Notices(
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

    def hear(
        self, row: EndpointRow, notice: Notice, *, took_s: float = 0.1, known: bool = True
    ) -> None:
        """Receive the response to a request that was sent some time ago."""
        sent_at = self.now - took_s if known else -math.inf
        self.notices.hear(row, notice, asked=sent_at, rid="r")

    def told(self) -> list[ToldNotice]:
        """Return the notices that were sent to all entries, in order."""
        return [notice for update in self.sent for notice in update.notices]


LEAVING = Notice(is_leaving=True)


def limited(rate: float = 1.0) -> Notice:
    return Notice(rate=rate)


def test_leaving_holds_for_the_rest_of_that_incarnation_only() -> None:
    world = World()
    row = world.publish()
    world.hear(row, LEAVING)
    world.hear(row, NO_NOTICE)
    assert world.publish(seq=2).is_leaving
    # Its registration lapses, and it is listed again.
    world.table.remove("e-0")
    assert world.publish(seq=3).is_leaving
    assert not world.publish(born=2).is_leaving


def test_leaving_holds_for_an_incarnation_without_a_start_time() -> None:
    world = World()
    world.hear(world.publish(born=0), LEAVING)
    world.table.remove("e-0")
    assert world.publish(born=0, seq=2).is_leaving


def test_a_response_of_the_previous_incarnation_does_not_affect_the_new_one() -> None:
    world = World()
    old = world.publish()
    new = world.publish(born=2)
    world.hear(old, Notice(rate=1.0, is_leaving=True, rest_s=3.0))
    assert not new.is_leaving
    assert not new.stated.limit.is_on
    assert world.table.stated() == []


def test_relayed_notices_of_another_incarnation_are_ignored() -> None:
    world = World()
    row = world.publish(born=2)
    world.notices.take([ToldNotice("e-0", 1, 1.0, 0.2, 0.1, True)], "entry-2")
    world.notices.take([ToldNotice("e-9", 1, 1.0, 0.2, 0.1, True)], "entry-2")
    assert not row.is_leaving
    assert not row.stated.limit.is_on


def test_a_notice_is_announced_immediately_and_only_once() -> None:
    world = World()
    row = world.publish()
    for _ in range(3):
        world.hear(row, Notice(rate=1.0, is_leaving=True))
    (notice,) = world.told()
    assert (notice.rate, notice.is_leaving, notice.born) == (1.0, True, 1)
    assert notice.asked_s == pytest.approx(0.1)
    assert notice.heard_s == 0.0


def test_a_relayed_notice_is_applied_but_not_announced_again() -> None:
    sender, receiver = World(), World()
    sender.hear(sender.publish(), Notice(rate=1.0, is_leaving=True))
    row = receiver.publish()
    receiver.notices.take(sender.told(), "entry-1")
    assert row.is_leaving
    assert row.stated.limit.word.rate == 1.0
    assert receiver.sent == []
    # The receiver's own digests reach entries that missed the message.
    assert [notice.endpoint for notice in receiver.notices.tell_some()] == ["e-0"]


def test_leaving_is_not_announced_if_the_platform_already_lists_it() -> None:
    world = World()
    world.hear(world.publish(leaving=True), LEAVING)
    assert world.sent == []
    assert world.notices.tell_some() == []


def test_rising_rates_are_announced_at_intervals_and_falling_rates_immediately() -> None:
    world = World()
    row = world.publish()
    for rate in (1.0, 2.0, 3.0):
        world.hear(row, limited(rate), took_s=0.0)
    assert [notice.rate for notice in world.told()] == [1.0]
    world.hear(row, limited(0.5), took_s=0.0)
    assert [notice.rate for notice in world.told()] == [1.0, 0.5]
    world.now += TELL_GAP_S
    world.hear(row, limited(2.0), took_s=0.0)
    assert [notice.rate for notice in world.told()] == [1.0, 0.5, 2.0]


def test_leaving_is_announced_immediately_even_right_after_a_limit() -> None:
    world = World()
    row = world.publish()
    world.hear(row, limited())
    world.hear(row, Notice(rate=1.0, is_leaving=True))
    assert [notice.is_leaving for notice in world.told()] == [False, True]


def test_digests_report_the_end_of_a_limit_for_some_time() -> None:
    world = World()
    row = world.publish()
    world.hear(row, limited())
    assert [notice.rate for notice in world.notices.tell_some()] == [1.0]
    world.now += 1.0
    world.hear(row, NO_NOTICE)
    assert row.stated.limit.word.rate == NO_RATE
    assert [notice.rate for notice in world.notices.tell_some()] == [None]
    world.now += ENDED_TOLD_S
    world.notices.expire(world.now)
    assert world.notices.tell_some() == []
    assert world.table.stated() == []


def test_a_limit_holds_until_a_newer_report_is_received() -> None:
    world = World()
    row = world.publish()
    world.hear(row, limited())
    world.now += 1000.0
    world.notices.expire(world.now)
    assert row.stated.limit.is_on
    assert world.table.stated() == [row]


def test_a_response_of_unknown_age_may_start_a_limit_but_not_end_one() -> None:
    world = World()
    row = world.publish()
    world.hear(row, limited(), known=False)
    assert row.stated.limit.is_on
    world.now += 1.0
    world.hear(row, NO_NOTICE, known=False)
    assert row.stated.limit.is_on


def test_an_invalid_value_changes_nothing_and_is_logged_once(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(logging.getLogger("dockreach"), "propagate", True)
    world = World()
    row = world.publish()
    world.hear(row, limited())
    invalid = Unreadable("server-limit", "x", "not a decimal number")
    with caplog.at_level(logging.WARNING, "dockreach"):
        for _ in range(3):
            world.now += 1.0
            world.hear(row, Notice(rate=invalid, rest_s=invalid))
    assert row.stated.limit.word.rate == 1.0
    assert row.stated.rest_until < world.now
    number = Event.NOTICE_REFUSED.value
    logged = [line.message for line in caplog.records if vars(line)["event"] == number]
    assert logged == [invalid.problem]


def test_successive_digests_report_all_endpoints() -> None:
    world = World()
    for number in range(3 * MOST_TOLD):
        world.hear(world.publish(f"e-{number}"), limited())
    reported = {notice.endpoint for _ in range(3) for notice in world.notices.tell_some()}
    assert len(reported) == 3 * MOST_TOLD


def test_a_limit_survives_a_short_absence_of_its_endpoint() -> None:
    world = World()
    world.hear(world.publish(), limited())
    world.table.remove("e-0")
    assert world.table.stated() == []
    row = world.publish(seq=2)
    assert row.stated.limit.is_on
    assert world.table.stated() == [row]


def test_a_report_relayed_back_and_forth_does_not_become_newer() -> None:
    # Message delays must not add up.
    first, second = World(), World()
    first.hear(first.publish(), limited())
    row = second.publish()
    for _ in range(50):
        for sender, receiver in ((first, second), (second, first)):
            notices = sender.notices.tell_some()
            for world in (first, second):
                world.now += 0.05
            receiver.notices.take(notices, "peer")
    assert row.stated.limit.word.heard < 100.2


def test_a_limit_that_is_reported_again_is_relayed_as_new() -> None:
    first, second = World(), World()
    answering, row = first.publish(), second.publish()
    for _ in range(3):
        first.hear(answering, limited())
        second.notices.take(first.notices.tell_some(), "peer")
        first.now = second.now = first.now + 1.0
    assert row.stated.limit.word.heard == pytest.approx(102.0)
