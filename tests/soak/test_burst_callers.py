"""Callers of bursts send what the soak takes them to send."""

from __future__ import annotations

import eventlet

from tests.direct.standins import Dialog, EndpointStandIn, header_of, respond_fine

from .burst_callers import (
    send_bodies,
    send_unfinished_bodies,
    stop_short,
    take_up_at_once,
)
from .test_callers import callers_of
from .workers import stream_event

MAX_BYTES = 80_000


def stream_slowly(dialog: Dialog) -> None:
    dialog.start_stream()
    for number in range(1, 30):
        dialog.chunk(stream_event("r", number))
        eventlet.sleep(0.02)
    dialog.chunk(b"")


def test_a_stream_that_its_caller_left_is_taken_up_by_all_at_once() -> None:
    entry = EndpointStandIn(stream_slowly)
    callers = callers_of(entry)
    take_up_at_once(callers, 4)
    left, *others = callers.outcomes
    assert left.abandoned_at and left.last_event
    assert [row.after for row in others] == [left.last_event] * 4
    first, *taken_up = entry.requests
    for request in taken_up:
        assert header_of(request, b"resumes") == header_of(first, b"request-id")
        assert header_of(request, b"last-event-id") == str(left.last_event).encode()
    sent = [row.sent_at for row in others]
    assert max(sent) - min(sent) < min(row.ended_at for row in others) - max(sent)


def test_bodies_come_at_once_and_are_whole() -> None:
    entry = EndpointStandIn(respond_fine)
    callers = callers_of(entry)
    send_bodies(callers, 5, MAX_BYTES)
    assert len({row.rid for row in callers.outcomes}) == 5
    answered = [row for row in callers.outcomes if not row.abandoned_at]
    assert answered and all(row.status == 200 for row in answered)
    assert all(MAX_BYTES // 8 <= len(row.request_body) <= MAX_BYTES for row in answered)


def test_unfinished_bodies_are_never_whole() -> None:
    entry = EndpointStandIn(respond_fine)
    callers = callers_of(entry)
    send_unfinished_bodies(callers, 10, MAX_BYTES)
    eventlet.sleep(0.1)
    assert len(entry.dialogs) == 10
    assert entry.requests == []
    assert callers.outcomes == []


def test_callers_that_stop_short_send_no_whole_request() -> None:
    entry = EndpointStandIn(respond_fine)
    callers = callers_of(entry)
    stop_short(callers, 20, MAX_BYTES)
    assert len(entry.dialogs) == 20
    # The stand-in takes the head of a chunked request for a whole one.
    whole = [request for request in entry.requests if b"chunked" not in request]
    assert all(request.startswith(b"GET /unknown") for request in whole)
    assert callers.outcomes == []
