"""Callers that have stopped sending, slow ones, and connections that may be closed."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

import eventlet
import pytest

from dockreach import clock
from dockreach.direct.caller_memory import CallerMemory
from dockreach.direct.entry import Entry
from dockreach.direct.memory_plan import CONNECTION_BYTES, MemoryPlan
from dockreach.direct.routing_config import CallerLimits
from dockreach.direct.stalled_callers import (
    Activity,
    Progress,
    dispensable,
    is_stalled,
    stalled,
)

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    header_of,
    respond_fine,
    revision,
    start_entry,
    status_of,
)

NOW = 100.0
MB = 1_000_000
HEAD = (
    b"POST /once/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: r-1\r\n"
    b"X-Api-Key: key-1\r\nRequest-Deadline-Ms: 6000\r\nContent-Length: "
)


@dataclass(eq=False)
class Conn:
    """A connection of which only the progress is known."""

    progress: Progress


def reading(
    *, since: float = 90.0, heard_at: float = 90.0, received: int = 0, expected: int = 1000
) -> Progress:
    return Progress(
        Activity.READING, since, heard_at, received, expected, deadline=NOW + 10.0
    )


def test_a_caller_that_sends_nothing_is_stalled() -> None:
    assert is_stalled(reading(heard_at=98.9, received=999), NOW)
    assert not is_stalled(reading(heard_at=99.9, received=999), NOW)


def test_a_caller_that_sends_a_byte_at_a_time_is_too_slow() -> None:
    assert is_stalled(reading(heard_at=99.9, received=10), NOW)


def test_a_slow_caller_that_will_end_in_time_is_not_stalled() -> None:
    assert not is_stalled(reading(heard_at=99.9, received=500), NOW)


def test_a_request_that_has_just_begun_is_not_stalled() -> None:
    assert not is_stalled(reading(since=99.5, heard_at=99.5), NOW)


@pytest.mark.parametrize(
    "activity", [item for item in Activity if item is not Activity.READING]
)
def test_only_a_request_that_is_read_can_be_stalled(activity: Activity) -> None:
    assert not is_stalled(Progress(activity, 0.0, 0.0, 0, 1000), NOW)


def test_the_one_that_was_silent_for_longest_is_ended_first() -> None:
    conns = [Conn(reading(heard_at=at)) for at in (97.0, 95.0, 96.0)]
    assert stalled(conns, NOW) == [conns[1], conns[2], conns[0]]


def test_rested_connections_are_closed_last_and_served_ones_never() -> None:
    order = [
        Activity.CLOSING,
        Activity.READING,
        Activity.WAITING,
        Activity.NEW,
        Activity.RESTED,
    ]
    conns = [
        Conn(Progress(item, 90.0 - number, 90.0 - number))
        for number, item in enumerate(order)
    ]
    others = [
        Conn(Progress(Activity.SERVED, 0.0, 0.0)),
        Conn(Progress(Activity.NEW, NOW, NOW)),
    ]
    assert dispensable([*reversed(conns), *others], NOW) == conns


def respond_late(dialog: Dialog) -> None:
    eventlet.sleep(2.0)
    dialog.respond(b"fine")


def start_small_entry(*, body_bytes: float = MB, input_bytes: float = MB) -> Entry:
    """Start an entry with little room; it serves 20 connections."""
    limits = CallerLimits(idle_timeout_s=600.0)
    entry = start_entry(EndpointStandIn(respond_fine), config=revision(limits=limits))
    entry.ctx.memory.apply(MemoryPlan(body_bytes, input_bytes, 20))
    return entry


def ask(entry: Entry, size: int) -> bytes:
    """Send a request with a body, again while it is refused; return the response."""
    response = b""
    for _ in range(20):
        caller = Caller(entry)
        caller.sock.settimeout(10.0)
        try:
            caller.send("/once/a", rid="ask", body=b"x" * size, deadline_ms=9000)
            response = caller.read_response()
        except ConnectionError:
            response = b""
        caller.close()
        if response and status_of(response) == 200:
            break
        eventlet.sleep(0.2)
    return response


@pytest.mark.parametrize("size", [100, 50_000, 300_000])
def test_callers_that_stop_short_of_their_end_do_not_lock_others_out(size: int) -> None:
    entry = start_small_entry(input_bytes=300_000)
    stopped = [Caller(entry) for _ in range(12)]
    for number, caller in enumerate(stopped):
        length = 60_000 if number % 2 else 700_000
        caller.sock.sendall(HEAD + b"%d\r\n\r\n" % length + b"x" * (length // 2))
    eventlet.sleep(0.2)
    assert status_of(ask(entry, size)) == 200
    memory: CallerMemory = entry.ctx.memory
    assert memory.bodies.held_bytes <= MB
    assert not memory.input.is_overdrawn


def test_a_stalled_caller_is_told_that_its_request_did_not_run() -> None:
    entry = start_small_entry()
    stopped = Caller(entry)
    stopped.sock.sendall(HEAD + b"900000\r\n\r\n" + b"x" * 899_999)
    eventlet.sleep(0.2)
    assert status_of(ask(entry, 300_000)) == 200
    response = stopped.read_all()
    assert status_of(response) == 408
    assert header_of(response, b"request-id") == b"r-1"
    assert header_of(response, b"connection") == b"close"


def test_a_caller_that_pauses_is_not_ended_in_calm() -> None:
    entry = start_small_entry()
    caller = Caller(entry)
    caller.sock.sendall(HEAD + b"100000\r\n\r\n" + b"x" * 50_000)
    eventlet.sleep(2.0)
    caller.sock.sendall(b"x" * 50_000)
    assert status_of(caller.read_response()) == 200


def test_silent_connections_make_way_for_new_ones() -> None:
    """Guards against connections that take all places and send nothing."""
    entry = start_small_entry()
    silent = [Caller(entry) for _ in range(20)]
    eventlet.sleep(1.2)
    asked = [ask(entry, 100) for _ in range(5)]
    assert {status_of(response) for response in asked} == {200}
    assert len(entry.callers) <= 20
    assert len(silent) == 20


def test_silent_connections_that_take_all_memory_make_way_for_requests() -> None:
    entry = start_small_entry(input_bytes=10 * CONNECTION_BYTES)
    silent = [Caller(entry) for _ in range(15)]
    eventlet.sleep(0.2)
    assert status_of(ask(entry, 100)) == 200
    assert len(silent) == 15


def test_heads_that_wait_for_room_for_their_bodies_make_way() -> None:
    """Guards against requests that wait for one another until they are refused."""
    entry = start_small_entry(input_bytes=600_000)
    held = entry.ctx.memory.bodies.reserve(MB, 0.0)
    waiting = [Caller(entry) for _ in range(3)]
    for caller in waiting:
        lines = b"a:\r\n" * 900
        head = HEAD.replace(b"Host", lines + b"Host").replace(b"6000", b"60000")
        caller.sock.sendall(head + b"300000\r\n\r\n")
    eventlet.sleep(0.2)
    asked_at = clock.now()
    assert status_of(ask(entry, 100)) == 200
    assert clock.now() - asked_at < 15.0
    held.release()


def test_a_connection_that_serves_a_request_is_not_closed_for_new_ones() -> None:
    entry = start_entry(EndpointStandIn(respond_late))
    entry.ctx.memory.apply(MemoryPlan(MB, MB, 3))
    served = [Caller(entry) for _ in range(3)]
    for number, caller in enumerate(served):
        caller.send("/once/a", rid=f"r-{number}")
    eventlet.sleep(1.3)
    for _ in range(5):
        with contextlib.suppress(ConnectionError):
            Caller(entry)
    assert [status_of(caller.read_response()) for caller in served] == [200] * 3


def test_what_connections_hold_is_given_back_when_they_are_ended() -> None:
    entry = start_small_entry(input_bytes=10 * CONNECTION_BYTES)
    stopped = [Caller(entry) for _ in range(15)]
    for caller in stopped:
        caller.sock.sendall(b"POST /once/a HTTP/1.1\r\nX: " + b"x" * 8000)
    eventlet.sleep(0.2)
    assert status_of(ask(entry, 100)) == 200
    for caller in stopped:
        caller.close()
    eventlet.sleep(0.2)
    assert entry.ctx.memory.input.held_bytes == 0


def test_a_caller_that_leaves_while_it_waits_for_room_is_noticed() -> None:
    """Guards against waits, and a stop that waits for them, for nobody."""
    entry = start_small_entry()
    held = entry.ctx.memory.bodies.reserve(MB, 0.0)
    caller = Caller(entry)
    caller.sock.sendall(HEAD.replace(b"6000", b"600000") + b"900000\r\n\r\n")
    eventlet.sleep(0.2)
    assert len(entry.callers) == 1
    caller.close()
    eventlet.sleep(0.5)
    assert len(entry.callers) == 0
    held.release()


def test_no_wait_for_room_is_longer_than_a_request_may_take_to_be_read() -> None:
    """Guards against callers that name a deadline of an hour and lock others out."""
    entry = start_small_entry()
    entry.ctx.memory.bodies.reserve(MB, 0.0)
    caller = Caller(entry)
    caller.sock.settimeout(10.0)
    caller.sock.sendall(HEAD.replace(b"6000", b"3600000") + b"900000\r\n\r\n")
    caller.sock.sendall(b"x" * 900_000)
    response = caller.read_response()
    assert status_of(response) == 503
    retry_after = float(header_of(response, b"retry-after") or 0)
    assert retry_after <= CallerLimits().header_timeout_s / 3


def test_rested_connections_are_not_closed_for_memory() -> None:
    entry = start_small_entry(input_bytes=20 * CONNECTION_BYTES)
    rested = [Caller(entry) for _ in range(5)]
    for number, caller in enumerate(rested):
        caller.send("/once/a", rid=f"r-{number}")
        assert status_of(caller.read_response()) == 200
    stopped = [Caller(entry) for _ in range(12)]
    for caller in stopped:
        caller.sock.sendall(b"POST /once/a HTTP/1.1\r\nX: " + b"x" * 8000)
    eventlet.sleep(1.8)
    for number, caller in enumerate(rested):
        caller.send("/once/a", rid=f"again-{number}", deadline_ms=9000)
        assert status_of(caller.read_response()) == 200
