"""The revision from which a watch begins, after lists, changes and quiet responses."""

from __future__ import annotations

from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from dockreach_platform.watch_position import Reading, WatchPosition

OVERLAP_S = 4.0
CALL_S = 1.0


def listed(revision: int = 10) -> WatchPosition:
    position = WatchPosition()
    position.restart(revision)
    return position


def read(position: WatchPosition, changes: Iterable[int], revision: int, at: float) -> None:
    """Record a response to a call that took `CALL_S`."""
    position.record(changes, revision, Reading(at - CALL_S, at), OVERLAP_S)


def test_a_list_is_needed_first_and_after_the_history_is_gone() -> None:
    assert WatchPosition().start is None
    position = listed()
    assert position.start == 10
    position.forget()
    assert position.start is None


def test_a_watch_goes_on_from_a_revision_that_a_later_call_has_covered_again() -> None:
    position = listed()
    for number in range(7):
        read(position, [], 11 + number, float(number))
    # The last call was sent at 5, so that what was named up to 1 counts.
    assert position.start == 12


def test_a_revision_that_no_call_has_covered_again_does_not_count_with_time() -> None:
    """Guards against changes that are lost to an outage after they were left out."""
    position = listed()
    read(position, [], 12, 1.0)
    position.record([], 30, Reading(1.0, 100.0), OVERLAP_S)
    assert position.start == 10
    read(position, [], 31, 101.0)
    assert position.start == 12


def test_a_change_that_was_returned_is_not_asked_for_again() -> None:
    position = listed()
    read(position, [], 12, 0.0)
    read(position, [14], 15, 1.0)
    assert position.start == 14


def test_a_change_that_was_left_out_is_asked_for_again() -> None:
    position = listed()
    read(position, [], 12, 0.0)
    assert position.start == 10
    assert position.was_left_out(11)
    assert not position.was_left_out(13)
    read(position, [11], 13, 1.0)
    assert position.start == 11


def test_a_store_that_has_gone_back_is_listed() -> None:
    position = listed()
    read(position, [], 12, 0.0)
    read(position, [], 9, 1.0)
    assert position.start is None
    position.restart(9)
    assert not position.was_left_out(10)


CALLS = st.lists(
    st.tuples(st.floats(0.0, 9.0), st.floats(0.1, 2.0), st.integers(0, 3)), max_size=40
)
"""The pause before each call, how long it takes, and how many changes are made in it."""


@given(CALLS, st.floats(0.0, 100.0), st.floats(0.1, OVERLAP_S))
def test_no_change_is_lost_in_a_silence_that_is_shorter_than_the_overlap(
    calls: list[tuple[float, float, int]], silent_from: float, silence_s: float
) -> None:
    """Responses to calls that end in the silence return no change; others return all."""
    position, known, revision, now = listed(0), 0, 0, 0.0
    for pause_s, call_s, changes in calls:
        start, called_at = position.start, now + pause_s
        assert start is not None
        assert start <= known
        revision += changes
        now = called_at + call_s
        is_muted = silent_from <= now < silent_from + silence_s
        returned = [] if is_muted else range(start + 1, revision + 1)
        known = max([known, *returned])
        position.record(returned, revision, Reading(called_at, now), OVERLAP_S)
