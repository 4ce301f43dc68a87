"""Peers that read nothing for a while and then go on."""

from __future__ import annotations

from typing import Any

import eventlet
import pytest

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    body_of,
    respond_fine,
    start_entry,
    status_of,
)

PAUSES_S = [1.0, 3.5]
"""For how long a peer reads nothing, in seconds; the routes' timeout is 5 s."""

EVENT_BYTES = 500_000
EVENTS = 16
"""The stream is longer than the buffers of both sides of a connection."""

BODY_BYTES = 4_000_000


def stream_of_large_events() -> list[bytes]:
    return [
        b"id: %d\ndata: " % number + b"x" * EVENT_BYTES + b"\n\n"
        for number in range(1, EVENTS + 1)
    ]


def send_large_events(dialog: Dialog) -> None:
    dialog.start_stream()
    for event in stream_of_large_events():
        dialog.chunk(event)
    dialog.chunk(b"")


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_a_caller_that_reads_nothing_for_seconds_gets_its_whole_response(
    pause_s: float,
) -> None:
    caller = Caller(start_entry(EndpointStandIn(send_large_events)))
    caller.send("/draft/a", body=b"prompt", deadline_ms=5000)
    received = caller.read_available()
    eventlet.sleep(pause_s)
    while not received.endswith(b"\r\n0\r\n\r\n"):
        data = caller.read_available()
        assert data, "the response was broken off"
        received += data
    assert body_of(received) == b"".join(stream_of_large_events())


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_an_endpoint_that_reads_nothing_for_seconds_gets_the_whole_body(
    pause_s: float,
) -> None:
    class PausingEndpoint(EndpointStandIn):
        def _serve(self, sock: Any) -> None:  # noqa: ANN401
            eventlet.sleep(pause_s)
            super()._serve(sock)

    endpoint = PausingEndpoint(respond_fine)
    caller = Caller(start_entry(endpoint))
    caller.sock.settimeout(5.0)
    body = b"b" * BODY_BYTES
    caller.send("/once/a", body=body, deadline_ms=5000)
    assert status_of(caller.read_response()) == 200
    assert endpoint.requests[0].endswith(body)
