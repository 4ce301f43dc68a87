"""How long calls to the platform may be held, and what follows a failure."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.feeds import AGAIN_MOST_S, AWAY_PART, Feed

IN_FORCE_S = st.floats(0.5, 20.0)


@given(IN_FORCE_S)
def test_a_silent_call_and_the_one_after_it_fit_into_the_time(in_force_s: float) -> None:
    feed = Feed()
    first = feed.next_call(in_force_s)
    held_s = first.wait_s + first.answer_s
    feed.fail()
    pause_s = feed.pause_s(held_s)
    second = feed.next_call(in_force_s)
    assert second.wait_s == 0
    assert held_s + pause_s < AWAY_PART * in_force_s < in_force_s


@given(IN_FORCE_S, st.integers(1, 50))
def test_a_return_is_noticed_in_time_however_long_it_was_away(
    in_force_s: float, failures: int
) -> None:
    feed = Feed()
    for _ in range(failures):
        feed.fail()
    held_s = feed.next_call(in_force_s).answer_s
    feed.fail()
    assert held_s + feed.pause_s(held_s) <= max(in_force_s, 1.3 * AGAIN_MOST_S)


def test_a_call_that_failed_at_once_is_not_repeated_at_once() -> None:
    feed = Feed()
    feed.fail()
    assert 0.05 < feed.pause_s(0.0) < 0.2
    for _ in range(9):
        feed.fail()
    assert 0.4 < feed.pause_s(0.0) < 0.8


def test_feeds_that_were_answered_at_one_moment_do_not_wait_in_step() -> None:
    waits = [Feed().next_call(2.0).wait_s for _ in range(20)]
    assert len({round(wait, 3) for wait in waits}) > 10
    assert 0.8 * 1.2 <= min(waits) <= max(waits) <= 1.2


def test_an_answer_makes_the_next_call_wait_again() -> None:
    feed = Feed()
    feed.fail()
    feed.answer(5.0)
    feed.catch_up()
    assert feed.next_call(2.0).wait_s > 0
    assert feed.age_s(6.5, 0.0) == 1.5
    assert feed.calls == 2
