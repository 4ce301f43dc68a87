"""Room for request bodies: given in order, never more than there is, given back once."""

from __future__ import annotations

import tracemalloc
from typing import Any

import eventlet
import pytest
from eventlet.support.greenlets import GreenletExit
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct.body_budget import (
    BODY_MEMORY_FRACTION,
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyBudgetError,
    Reservation,
)
from dockreach.direct.entry import Entry

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    entry_settings,
    header_of,
    respond_fine,
    start_entry,
    status_of,
)

MB = 1_000_000
BODY = 1 << 20


def budget(max_bytes: float) -> BodyBudget:
    return BodyBudget(max_bytes / BODY_MEMORY_FRACTION / 1e6)


def reserve(bodies: BodyBudget, size: int, max_wait_s: float = 0.0) -> Reservation:
    found = bodies.reserve(size, max_wait_s)
    assert found is not None
    return found


def test_small_bodies_need_no_room() -> None:
    bodies = budget(1 * MB)
    reserve(bodies, MB)
    assert bodies.reserve(SMALL_BODY_BYTES, 0.0) is None


def test_a_body_waits_for_room_and_gets_it_in_order() -> None:
    bodies = budget(3 * MB)
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
    bodies = budget(2 * MB)
    reserve(bodies, 2 * MB)
    with pytest.raises(BodyBudgetError) as caught:
        bodies.reserve(MB, 0.02)
    assert caught.value.retry_after_s > 0
    assert bodies.held_bytes == 2 * MB


def test_a_body_larger_than_all_room_is_held_alone() -> None:
    bodies = budget(1 * MB)
    alone = reserve(bodies, 5 * MB)
    with pytest.raises(BodyBudgetError):
        bodies.reserve(MB, 0.01)
    alone.release()
    reserve(bodies, MB)


def test_one_that_waits_and_leaves_lets_the_next_one_in() -> None:
    bodies = budget(2 * MB)
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
    bodies = budget(3 * MB)
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


def _try(bodies: BodyBudget, size: int, max_wait_s: float = 0.0) -> Reservation | None:
    try:
        return bodies.reserve(size, max_wait_s)
    except BodyBudgetError:
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


def held_bytes(entry: Entry) -> int:
    return entry.ctx.bodies.held_bytes


def slow(dialog: Dialog) -> None:
    eventlet.sleep(0.2)
    dialog.respond(b"fine")


def test_large_bodies_at_once_are_all_served_within_the_memory() -> None:
    """Guards against a process that is killed with all requests for its memory."""
    endpoint = EndpointStandIn(slow)
    entry = start_entry(endpoint, settings=entry_settings(memory_mb=16.0))
    most, statuses = 0, []

    def send(number: int) -> None:
        caller = Caller(entry)
        caller.send("/once/a", rid=f"r-{number}", body=b"u" * BODY, deadline_ms=20_000)
        statuses.append(status_of(caller.read_response()))

    tasks = [eventlet.spawn(send, number) for number in range(12)]
    while not all(task.dead for task in tasks):
        most = max(most, held_bytes(entry))
        eventlet.sleep(0.005)
    assert statuses == [200] * 12
    assert 0 < most <= BODY_MEMORY_FRACTION * 16 * MB
    assert held_bytes(entry) == 0


def test_a_body_without_room_is_refused_as_not_run_beside_small_requests() -> None:
    release = eventlet.event.Event()

    def hold_long_ones(dialog: Dialog) -> None:
        if len(dialog.request) > MB:
            release.wait()
        dialog.respond(b"fine")

    endpoint = EndpointStandIn(hold_long_ones)
    entry = start_entry(endpoint, settings=entry_settings(memory_mb=4.0))
    first, second, small = Caller(entry), Caller(entry), Caller(entry)
    first.send("/once/a", rid="r-1", body=b"u" * BODY)
    eventlet.sleep(0.2)
    second.send("/once/a", rid="r-2", body=b"u" * BODY, deadline_ms=900)
    small.send("/once/a", rid="r-3", body=b"s")
    assert status_of(small.read_response()) == 200
    response = second.read_response()
    assert status_of(response) == 503
    assert 0 <= float(header_of(response, b"retry-after") or -1) <= 0.2
    release.send(None)
    assert status_of(first.read_response()) == 200
    eventlet.sleep(0.05)
    assert held_bytes(entry) == 0
    assert len(endpoint.requests) == 2


def test_a_length_over_the_limit_is_refused_before_the_body_is_read() -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    caller = Caller(entry)
    caller.sock.sendall(
        b"POST /once/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: r\r\n"
        b"X-Api-Key: key-1\r\nContent-Length: 99999999\r\n\r\n"
    )
    assert status_of(caller.read_response()) == 413
    assert held_bytes(entry) == 0


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 4000000", b"Transfer-Encoding: chunked"]
)
def test_a_caller_that_leaves_halfway_gives_its_room_back(framing: bytes) -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    caller = Caller(entry)
    caller.sock.sendall(
        b"POST /once/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: r\r\n"
        b"X-Api-Key: key-1\r\n" + framing + b"\r\n\r\n" + b"10\r\n"
    )
    eventlet.sleep(0.1)
    assert held_bytes(entry) >= 4_000_000
    caller.close()
    eventlet.sleep(0.1)
    assert held_bytes(entry) == 0


def test_a_kept_connection_does_not_hold_the_last_body() -> None:
    """Guards against memory that idle connections keep for bodies that were answered."""
    endpoint = EndpointStandIn(respond_fine)
    entry = start_entry(endpoint)
    callers = [Caller(entry) for _ in range(12)]
    tracemalloc.start()
    try:
        for number, caller in enumerate(callers):
            caller.send("/once/a", rid=f"r-{number}", body=b"u" * BODY)
            assert status_of(caller.read_response()) == 200
            endpoint.requests.clear()
            for dialog in endpoint.dialogs:
                dialog.request = b""
        eventlet.sleep(0.05)
        now_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert now_bytes < 2 * BODY


def test_a_caller_that_sends_its_body_slowly_still_gets_the_refusal() -> None:
    """Guards against refusals that are lost as unread bytes reset the connection."""
    bodies_held = EndpointStandIn(slow)
    entry = start_entry(bodies_held, settings=entry_settings(memory_mb=4.0))
    entry.ctx.bodies.reserve(BODY, 0.0)
    caller = Caller(entry)
    head = (
        "POST /once/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: r-1\r\n"
        f"X-Api-Key: key-1\r\nRequest-Deadline-Ms: 600\r\nContent-Length: {BODY}\r\n\r\n"
    )
    caller.sock.sendall(head.encode())
    for _ in range(12):
        caller.sock.sendall(b"u" * (BODY // 12))
        eventlet.sleep(0.2)
    assert status_of(caller.read_response()) == 503
