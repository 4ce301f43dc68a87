"""Room in memory: given in order, never more than there is, given back once."""

from __future__ import annotations

from typing import Any

import eventlet
import pytest
from eventlet.support.greenlets import GreenletExit
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct.memory_room import (
    HARD_LIMIT_FACTOR,
    MemoryRoom,
    NoRoomError,
    Reservation,
)

MB = 1_000_000


def reserve(bodies: MemoryRoom, size: int, max_wait_s: float = 0.0) -> Reservation:
    return bodies.reserve(size, max_wait_s)


def test_a_body_waits_for_room_and_gets_it_in_order() -> None:
    bodies = MemoryRoom(3 * MB)
    first = reserve(bodies, 2 * MB)
    order: list[int] = []

    def hold(size: int) -> None:
        reserve(bodies, size, 1.0)
        order.append(size)

    # The second one would fit beside the first.
    for size in (3 * MB, MB):
        eventlet.spawn(hold, size)
        eventlet.sleep(0)
    assert not order
    first.release()
    eventlet.sleep(0.01)
    assert order == [3 * MB]


def test_a_body_that_gets_no_room_in_time_is_refused_with_a_time_to_return() -> None:
    bodies = MemoryRoom(2 * MB)
    reserve(bodies, 2 * MB)
    with pytest.raises(NoRoomError) as caught:
        bodies.reserve(MB, 0.02)
    assert caught.value.retry_after_s > 0
    assert bodies.held_bytes == 2 * MB


def test_a_body_larger_than_all_room_is_held_alone() -> None:
    bodies = MemoryRoom(1 * MB)
    alone = reserve(bodies, 5 * MB)
    with pytest.raises(NoRoomError):
        bodies.reserve(MB, 0.01)
    alone.release()
    reserve(bodies, MB)


def test_one_that_waits_and_leaves_lets_the_next_one_in() -> None:
    bodies = MemoryRoom(2 * MB)
    reserve(bodies, MB)
    large = eventlet.spawn(bodies.reserve, 2 * MB, 5.0)
    eventlet.sleep(0)
    small = eventlet.spawn(bodies.reserve, MB, 5.0)
    eventlet.sleep(0)
    large.kill()
    with eventlet.Timeout(1.0):
        assert small.wait().size == MB
    assert bodies.held_bytes == 2 * MB


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3 * MB)), max_size=40))
def test_room_is_never_exceeded_and_given_back_exactly_once(
    steps: list[tuple[int, int]],
) -> None:
    """Guards against room that is lost, or given twice, when callers leave or lie."""
    bodies = MemoryRoom(3 * MB)
    held: list[Reservation] = []
    waiting: list[Any] = []
    for action, size in steps:
        if action <= 1 and (found := _try(bodies, size)) is not None:
            held.append(found)
        elif action == 2:
            waiting.append(eventlet.spawn(_try, bodies, size, 5.0))
        elif action == 3 and held:
            held[size % len(held)].release()
            held[size % len(held)].release()
        elif action == 4 and held:
            held[size % len(held)].shrink(size)
        elif action == 5 and waiting:
            held += _end(waiting.pop(size % len(waiting)))
        eventlet.sleep(0)
        assert 0 <= bodies.held_bytes <= 3 * MB
    for task in waiting:
        held += _end(task)
    for item in held:
        item.release()
    assert bodies.held_bytes == 0


def _try(bodies: MemoryRoom, size: int, max_wait_s: float = 0.0) -> Reservation | None:
    try:
        return bodies.reserve(size, max_wait_s)
    except NoRoomError:
        return None


def _end(task: Any) -> list[Reservation]:  # noqa: ANN401
    """Kill a greenlet that may wait; return what it reserved before."""
    task.kill()
    try:
        found = task.wait()
    except GreenletExit:
        # It had not begun.
        return []
    return [found] if isinstance(found, Reservation) else []


def test_what_is_held_already_counts_beyond_the_room() -> None:
    room = MemoryRoom(2 * MB)
    held = room.hold(MB)
    held.resize(int(HARD_LIMIT_FACTOR * 2 * MB))
    assert room.is_short
    assert not room.is_overdrawn
    held.resize(3 * MB)
    assert room.is_overdrawn
    assert room.missing_bytes == MB
    with pytest.raises(NoRoomError):
        room.reserve(1, 0.01)
    held.release()
    assert room.held_bytes == 0
    assert not room.is_short


def test_those_that_wait_count_as_missing() -> None:
    room = MemoryRoom(2 * MB)
    held = reserve(room, 2 * MB)
    eventlet.spawn(room.reserve, MB, 1.0)
    eventlet.sleep(0)
    assert room.missing_bytes == MB
    held.shrink(MB)
    eventlet.sleep(0)
    assert room.missing_bytes == 0
