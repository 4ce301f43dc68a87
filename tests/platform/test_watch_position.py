"""The revision from which a watch begins, after lists, changes and quiet responses."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach_platform.watch_position import WatchPosition

OVERLAP_S = 4.0


def listed(revision: int = 10) -> WatchPosition:
    position = WatchPosition()
    position.restart(revision)
    return position


def start(position: WatchPosition, now: float) -> int | None:
    return position.start(now, OVERLAP_S)


def test_a_list_is_needed_first_and_after_the_history_is_gone() -> None:
    assert start(WatchPosition(), 0.0) is None
    position = listed()
    assert start(position, 0.0) == 10
    position.forget()
    assert start(position, 0.0) is None


def test_a_watch_goes_on_from_a_revision_that_was_named_long_enough_ago() -> None:
    position = listed()
    for number in range(6):
        position.record([], 11 + number, float(number))
    assert start(position, 5.0) == 12
    assert start(position, 5.0 + OVERLAP_S) == 16


def test_a_change_that_was_returned_is_not_asked_for_again() -> None:
    position = listed()
    position.record([], 12, 0.0)
    position.record([14], 15, 1.0)
    assert start(position, 1.0) == 14


def test_a_change_that_was_left_out_is_asked_for_again() -> None:
    position = listed()
    position.record([], 12, 0.0)
    assert start(position, 1.0) == 10
    assert position.was_left_out(11)
    assert not position.was_left_out(13)
    position.record([11], 13, 1.0)
    assert start(position, 1.0) == 11


def test_a_store_that_has_gone_back_is_listed() -> None:
    position = listed()
    position.record([], 12, 0.0)
    position.record([], 9, 1.0)
    assert start(position, 1.0) is None
    position.restart(9)
    assert not position.was_left_out(10)


@given(
    st.lists(st.integers(min_value=0, max_value=5), max_size=60),
    st.integers(min_value=0, max_value=59),
    st.floats(min_value=0.1, max_value=OVERLAP_S / 2),
)
def test_no_change_is_lost_to_silence_of_up_to_half_the_overlap(
    steps: list[int], muted_from: int, silence_s: float
) -> None:
    """Changes at each step; responses within the silence return none of them."""
    position, known, revision = listed(0), 0, 0
    for number, step in enumerate(steps):
        now = number * OVERLAP_S / 8
        revision += step
        silent_for_s = now - muted_from * OVERLAP_S / 8
        is_muted = 0.0 <= silent_for_s < silence_s
        first = start(position, now)
        assert first is not None
        assert first <= known
        changes = [] if is_muted else range(first + 1, revision + 1)
        known = max([known, *changes])
        position.record(changes, revision, now)
