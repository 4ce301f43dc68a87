"""Timeouts of the calls to the platform, and what follows a failed call."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.feeds import AGAIN_MOST_S, AWAY_PART, Feed

IN_FORCE_S = st.floats(0.5, 20.0)


@given(IN_FORCE_S)
def test_a_call_that_times_out_and_its_retry_fit_into_the_time(
    apply_deadline_s: float,
) -> None:
    feed = Feed()
    first = feed.next_call(apply_deadline_s)
    call_s = first.wait_s + first.answer_s
    feed.fail()
    delay_s = feed.pause_s(call_s)
    second = feed.next_call(apply_deadline_s)
    assert second.wait_s == 0
    assert call_s + delay_s < AWAY_PART * apply_deadline_s < apply_deadline_s


@given(IN_FORCE_S, st.integers(1, 50))
def test_a_recovery_is_noticed_in_time_however_long_the_outage_was(
    apply_deadline_s: float, failures: int
) -> None:
    feed = Feed()
    for _ in range(failures):
        feed.fail()
    call_s = feed.next_call(apply_deadline_s).answer_s
    feed.fail()
    assert call_s + feed.pause_s(call_s) <= max(apply_deadline_s, 1.3 * AGAIN_MOST_S)


def test_a_call_that_failed_immediately_is_retried_after_a_delay() -> None:
    feed = Feed()
    feed.fail()
    assert 0.05 < feed.pause_s(0.0) < 0.2
    for _ in range(9):
        feed.fail()
    assert 0.4 < feed.pause_s(0.0) < 0.8


def test_feeds_that_were_answered_together_do_not_poll_in_step() -> None:
    waits = [Feed().next_call(2.0).wait_s for _ in range(20)]
    assert len({round(wait, 3) for wait in waits}) > 10
    assert 0.8 * 1.2 <= min(waits) <= max(waits) <= 1.2


def test_after_a_response_the_next_call_is_a_long_poll_again() -> None:
    feed = Feed()
    feed.fail()
    feed.answer(5.0)
    feed.catch_up()
    assert feed.next_call(2.0).wait_s > 0
    assert feed.age_s(6.5, 0.0) == 1.5
    assert feed.calls == 2
