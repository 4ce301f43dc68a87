"""What callers make an entry hold: bounded, and given back exactly once."""

from __future__ import annotations

import tracemalloc

import eventlet
import pytest

from dockreach.direct.caller_memory import SMALL_BODY_BYTES, CallerMemory
from dockreach.direct.entry import Entry
from dockreach.direct.memory_plan import CONNECTION_BYTES, MemoryPlan, memory_plan

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


def test_small_bodies_have_room_beside_large_ones() -> None:
    memory = CallerMemory(MemoryPlan(1.0 * MB, 1.0 * MB, 10))
    memory.reserve_body(MB, 0.0)
    assert not memory.may_reserve_body(SMALL_BODY_BYTES + 1)
    assert memory.may_reserve_body(SMALL_BODY_BYTES)
    small = memory.reserve_body(SMALL_BODY_BYTES, 0.0)
    assert memory.input.held_bytes == SMALL_BODY_BYTES
    small.release()
    assert memory.input.held_bytes == 0


def test_a_changed_plan_is_in_force_at_once() -> None:
    memory = CallerMemory(MemoryPlan(1.0 * MB, 1.0 * MB, 10))
    memory.reserve_body(MB, 0.0)
    waiting = eventlet.spawn(memory.reserve_body, MB, 1.0)
    eventlet.sleep(0)
    memory.apply(MemoryPlan(2.0 * MB, 1.0 * MB, 20))
    assert waiting.wait().size == MB
    assert memory.max_connections == 20


def held_bytes(entry: Entry) -> int:
    held: int = entry.ctx.memory.bodies.held_bytes
    return held


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
    assert 0 < most <= memory_plan(16.0, 1000).body_bytes < 5 * MB
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
    ("framing", "data", "held"),
    [
        (b"Content-Length: 4000000", b"10\r\n", 4_000_000),
        (b"Transfer-Encoding: chunked", b"11000\r\n" + b"x" * 69_632, 4 << 20),
    ],
)
def test_a_caller_that_leaves_halfway_gives_its_room_back(
    framing: bytes, data: bytes, held: int
) -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    caller = Caller(entry)
    caller.sock.sendall(
        b"POST /once/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: r\r\n"
        b"X-Api-Key: key-1\r\n" + framing + b"\r\n\r\n" + data
    )
    eventlet.sleep(0.1)
    assert held_bytes(entry) >= held
    caller.close()
    eventlet.sleep(0.1)
    assert held_bytes(entry) == 0
    assert entry.ctx.memory.input.held_bytes == 0


@pytest.mark.parametrize(
    ("data", "held"),
    [
        (b"", CONNECTION_BYTES),
        (b"POST /once/a HTTP/1.1\r\nX: " + b"x" * 10_000, CONNECTION_BYTES + 10_000),
        (
            b"POST /once/a HTTP/1.1\r\nHost: h\r\n"
            + b"a:\r\n" * 900
            + b"Content-Length: 9\r\n\r\n",
            900 * 170,
        ),
        (
            b"POST /once/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n",
            SMALL_BODY_BYTES,
        ),
    ],
)
def test_all_that_a_connection_holds_is_counted_until_it_ends(
    data: bytes, held: int
) -> None:
    """Guards against memory that many connections take and nobody counts."""
    entry = start_entry(EndpointStandIn(respond_fine))
    caller = Caller(entry)
    caller.sock.sendall(data)
    eventlet.sleep(0.1)
    assert entry.ctx.memory.input.held_bytes >= held
    caller.close()
    eventlet.sleep(0.1)
    assert entry.ctx.memory.input.held_bytes == 0


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
    entry.ctx.memory.reserve_body(BODY, 0.0)
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
