"""Noticing that the process stood still."""

from __future__ import annotations

import logging
import time

import eventlet
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.feeds import Feed
from dockreach.direct.stalls import BEAT_INTERVAL_S, MIN_STALL_S, Arrival, Stalls

from .standins import start_entry


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def beat_until(stalls: Stalls, clock: Clock, end: float) -> None:
    while clock.now < end:
        clock.now += BEAT_INTERVAL_S
        stalls.beat()


def stopped(seconds: float) -> tuple[Stalls, Clock]:
    """Return stalls of a process that is about to run again after a stop."""
    clock = Clock()
    stalls = Stalls(clock)
    stalls.beat()
    clock.now += seconds
    return stalls, clock


def test_what_is_read_at_once_after_a_stop_may_be_as_old_as_the_stop() -> None:
    """Guards against sockets that are read before any timer fires."""
    stalls, clock = stopped(5.0)
    assert stalls.arrival(99.0, clock.now) == Arrival(99.0, 100.0, 105.0)


def test_what_was_awaited_during_a_stop_may_be_as_old_after_the_next_beat() -> None:
    stalls, clock = stopped(5.0)
    stalls.beat()
    beat_until(stalls, clock, 106.0)
    assert stalls.arrival(99.0, clock.now).at == 100.0
    assert stalls.arrival(102.0, clock.now).at == 102.0


def test_what_was_not_there_after_a_stop_is_as_recent_as_its_reading() -> None:
    stalls, clock = stopped(5.0)
    beat_until(stalls, clock, 106.0)
    assert stalls.arrival(105.5, clock.now).at == clock.now


def test_a_second_stop_does_not_hide_the_first() -> None:
    stalls, clock = stopped(2.0)
    beat_until(stalls, clock, 102.5)
    clock.now += 2.0
    assert stalls.arrival(99.0, clock.now).at == 100.0
    assert stalls.count == 2
    assert stalls.total_s == pytest.approx(4.0, abs=2 * BEAT_INTERVAL_S)


def test_a_process_that_runs_notices_nothing() -> None:
    stalls, clock = stopped(0.0)
    beat_until(stalls, clock, 110.0)
    clock.now += MIN_STALL_S / 2
    assert stalls.arrival(100.0, clock.now).at == clock.now
    assert not stalls.count


def test_nothing_is_noticed_before_the_first_beat() -> None:
    clock = Clock()
    stalls = Stalls(clock)
    clock.now += 60.0
    assert stalls.arrival(100.0, clock.now) == Arrival(100.0, 160.0, 160.0)


@given(st.lists(st.floats(0.0, 3.0)), st.floats(90.0, 200.0))
def test_an_arrival_is_in_order(pauses: list[float], after: float) -> None:
    clock = Clock()
    stalls = Stalls(clock)
    for pause in pauses:
        clock.now += pause
        stalls.beat()
    after = min(after, clock.now)
    arrival = stalls.arrival(after, clock.now)
    assert arrival.after <= arrival.at <= arrival.read_at


def test_an_entry_that_stood_still_says_for_how_long(
    caplog: pytest.LogCaptureFixture,
) -> None:
    entry = start_entry()
    eventlet.sleep(3 * BEAT_INTERVAL_S)
    caplog.set_level(logging.INFO, "dockreach")
    before = entry.stalls.total_s
    time.sleep(2 * MIN_STALL_S)
    eventlet.sleep(2 * BEAT_INTERVAL_S)
    assert entry.stalls.total_s - before >= 2 * MIN_STALL_S
    lengths = [vars(row)["still_ms"] for row in caplog.records if vars(row)["event"] == 106]
    assert max(lengths) >= 2 * MIN_STALL_S * 1000


def test_a_response_that_waited_during_a_stop_is_no_answer_of_now() -> None:
    """Guards against entries that vouch for a platform that went silent meanwhile."""
    stalls, clock = stopped(0.0)
    feed = Feed(max_gap_s=2.4, stalls=stalls)
    for _ in range(3):
        feed.called_at = clock.now
        beat_until(stalls, clock, clock.now + 1.0)
        feed.record_response(clock.now)
        feed.mark_caught_up()
    assert feed.age_s(clock.now, 0.0) == 0.0
    assert feed.answered_s == 2
    feed.called_at = clock.now
    stopped_at = clock.now
    clock.now += 5.0
    feed.record_response(clock.now)
    feed.mark_caught_up()
    assert feed.age_s(clock.now, 0.0) == clock.now - stopped_at
    assert feed.answered_s == 0
    assert feed.answered_since == clock.now
