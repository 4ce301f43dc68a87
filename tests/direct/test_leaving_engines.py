"""Engines that report in their responses that they leave, before the platform does."""

from __future__ import annotations

import time

import eventlet
import pytest

from .advertising_engines import AdvertisingFleet
from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    body_of,
    start_entry,
    status_of,
)

LOAD_PER_S = 40.0
"""Requests a second sent to all entries together."""

GOSSIP_S = 0.3
"""Time within which a notice reaches all entries on one machine, in seconds."""


def test_a_leaving_engine_receives_no_requests_while_the_platform_lists_it_as_staying() -> (
    None
):
    # With the store unavailable, a request reached an engine 5.7 s after it had reported
    # that it was leaving.
    fleet = AdvertisingFleet(entries=3, engines=3)
    leaving = fleet.engines[0]
    fleet.send_load(per_s=LOAD_PER_S, for_s=0.5)
    assert leaving.arrivals
    leaving.extra_headers = b"Server-Leaving: 1\r\n"
    fleet.send_load(per_s=LOAD_PER_S, for_s=0.5)
    reported_at = time.monotonic()
    fleet.send_load(per_s=LOAD_PER_S, for_s=1.0, then=lambda: fleet.publish(seq=2))
    fleet.send_load(per_s=LOAD_PER_S, for_s=1.0)
    assert leaving.arrived_since(reported_at + GOSSIP_S) == []
    assert fleet.served_fraction(reported_at) == 1.0


LEAVING_HEADER = b"Server-Leaving: 1\r\n"


def responding_with(status: bytes, extra: bytes) -> EndpointStandIn:
    """Return an endpoint that responds with this status and these headers."""
    return EndpointStandIn(lambda dialog: dialog.respond(b"", status, extra))


@pytest.mark.parametrize(
    ("status", "extra", "is_leaving"),
    [
        (b"200 OK", LEAVING_HEADER, True),
        (b"404 Not Found", LEAVING_HEADER, True),
        (b"500 Internal Server Error", LEAVING_HEADER, True),
        (b"429 Too Many Requests", b"Not-Executed: 1\r\n" + LEAVING_HEADER, True),
        (b"503 Service Unavailable", b"Not-Executed: 1\r\n" + LEAVING_HEADER, True),
        # Another endpoint responds at its address.
        (b"421 Misdirected Request", LEAVING_HEADER, False),
        (b"200 OK", b"Connection: close\r\n", False),
        (b"200 OK", b"Server-Leaving: soon\r\n", False),
    ],
)
def test_leaving_is_read_from_responses_with_any_status_of_the_endpoint_itself(
    status: bytes, extra: bytes, is_leaving: bool
) -> None:
    entry = start_entry(
        responding_with(status, extra), EndpointStandIn(lambda d: d.respond(b"fine"))
    )
    for number in range(2):
        caller = Caller(entry)
        caller.send("/safe/a", rid=f"r-{number}")
        caller.read_response()
    row = entry.endpoints.get("e-0")
    assert row is not None
    assert row.is_leaving is is_leaving


def test_leaving_is_read_from_a_late_response_to_another_request() -> None:
    def late_first(dialog: Dialog) -> None:
        dialog.send(b"HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n")
        dialog.send(LEAVING_HEADER + b"\r\n")
        dialog.respond(b"fine")

    entry = start_entry(EndpointStandIn(late_first))
    caller = Caller(entry)
    caller.send("/safe/a", rid="r-1")
    assert body_of(caller.read_response()) == b"fine"
    (row,) = entry.endpoints
    assert row.is_leaving


def test_a_stream_in_flight_at_a_leaving_engine_completes() -> None:
    def slow_stream(dialog: Dialog) -> None:
        dialog.send(
            b"HTTP/1.1 200 OK\r\nRequest-Id: "
            + dialog.rid
            + b"\r\n"
            + LEAVING_HEADER
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in (1, 2, 3):
            eventlet.sleep(0.05)
            dialog.chunk(f"id: {number}\ndata: x\n\n".encode())
        dialog.chunk(b"")

    entry = start_entry(EndpointStandIn(slow_stream))
    caller = Caller(entry)
    caller.send("/draft/a")
    response = caller.read_response()
    assert status_of(response) == 200
    assert body_of(response).count(b"data: x") == 3


def test_requests_are_refused_as_not_run_when_all_engines_are_leaving() -> None:
    fleet = AdvertisingFleet(entries=2, engines=2)
    for engine in fleet.engines:
        engine.extra_headers = LEAVING_HEADER
    fleet.send_load(per_s=LOAD_PER_S, for_s=0.5)
    count = sum(len(engine.arrivals) for engine in fleet.engines)
    response = fleet.send_request(0)
    assert status_of(response) == 503
    assert b"Retry-After" in response
    assert sum(len(engine.arrivals) for engine in fleet.engines) == count
