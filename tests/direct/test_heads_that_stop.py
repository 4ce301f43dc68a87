"""An endpoint stops within the head of its response, or within the lines that frame it."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import NamedTuple

import pytest
from eventlet.green import socket

from dockreach.direct.entry import Entry
from dockreach.direct.retry_budget import RetryPolicy

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    body_of,
    entry_settings,
    events,
    fill_pool,
    is_complete,
    respond_fine,
    start_entry,
    status_of,
)

RID = b"@rid@"
"""Stands for the id of the request in a response."""

PIECES = events(1, 2)
HEAD = b" 200 OK\r\nRequest-Id: " + RID + b"\r\nSeal: s\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"5;ext=1\r\nhello\r\n7\r\n, world\r\n0\r\nDigest: 1\r\n\r\n"
EVENT_CHUNKS = b"%x\r\n%b\r\n0\r\nDigest: 1\r\n\r\n" % (len(PIECES), PIECES)

RESPONSES = {
    "length": b"HTTP/1.1" + HEAD + b"Content-Length: 12\r\n\r\nhello, world",
    "chunks-and-trailer": b"HTTP/1.1" + HEAD + CHUNKED + CHUNKS,
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1" + HEAD + b"Content-Length: 12\r\n\r\nhello, world",
    "http-1.0": b"HTTP/1.0" + HEAD + b"Content-Length: 12\r\n\r\nhello, world",
    "http-1.0-without-length": b"HTTP/1.0" + HEAD + b"Server: x\r\n\r\n",
    "without-length": b"HTTP/1.1" + HEAD + b"Connection: close\r\n\r\n",
    "empty": b"HTTP/1.1" + HEAD + b"Content-Length: 0\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nRequest-Id: " + RID + b"\r\n\r\n",
    "stream": b"HTTP/1.1" + STREAM_HEAD + CHUNKED + EVENT_CHUNKS,
    "stream-without-length": b"HTTP/1.0" + STREAM_HEAD + b"\r\n",
    "refusal": b"HTTP/1.1 503 Full\r\nRequest-Id: "
    + RID
    + b"\r\nContent-Length: 0\r\nNot-Executed: 1\r\n\r\n",
}
"""Whole responses; those without a length have no body, as only their heads are cut."""


def close(dialog: Dialog) -> None:
    """Close the connection in order."""
    dialog.sock.shutdown(socket.SHUT_RDWR)
    dialog.sock.close()


def half_close(dialog: Dialog) -> None:
    """Send nothing more, and read until the peer closes."""
    dialog.sock.shutdown(socket.SHUT_WR)
    dialog.wait_until_closed()


ENDS: list[Callable[[Dialog], None]] = [close, half_close, Dialog.reset]
ROUTES = ["/safe/", "/once/", "/draft/", "/brief/"]


class Stop(NamedTuple):
    """Where and how a response stops.

    Attributes:
        sent: What is sent of it.
        end: Ends the connection.
        is_kept: Whether an earlier request was answered on the connection.
    """

    sent: bytes
    end: Callable[[Dialog], None]
    is_kept: bool


def places(response: bytes) -> list[int]:
    """Return the numbers of bytes after which to stop.

    These are the ends of all words and lines, the middle of each line, and one byte before
    and after the ends of lines.
    """
    found = {0, 1, len(response) - 1}
    start = 0
    for place, byte in enumerate(response):
        if byte in b" :;=":
            found.add(place + 1)
        if byte in b"\n":
            found |= {place - 1, place, place + 1, place + 2, (start + place) // 2}
            start = place + 1
    return sorted(place for place in found if 0 <= place < len(response))


WAYS = list(itertools.product(ENDS, (False, True)))


def stops(response: bytes, first_way: int) -> Iterator[Stop]:
    """Return all places, each with another end and kind of connection than its neighbours.

    Args:
        response: The whole response.
        first_way: Index of the way to stop at the first place.
    """
    ways = itertools.islice(itertools.cycle(WAYS), first_way, None)
    for place, way in zip(places(response), ways, strict=False):
        yield Stop(response[:place], *way)


class Script:
    """Responds as told to the requests of callers, at any number of endpoints.

    Attributes:
        stop: Where and how the response stops; ``None`` for a whole one.
        rids: Ids of the requests that arrived.
        is_fine_when_repeated: Whether the response to a repeated request is whole.
    """

    def __init__(self, *, is_fine_when_repeated: bool = False) -> None:
        self.is_fine_when_repeated = is_fine_when_repeated
        self.stop: Stop | None = None
        self.rids: list[bytes] = []

    def __call__(self, dialog: Dialog) -> None:
        """Respond to a request."""
        is_repeated = dialog.rid in self.rids
        self.rids.append(dialog.rid)
        if self.stop is None or (is_repeated and self.is_fine_when_repeated):
            respond_fine(dialog)
            return
        dialog.send(self.stop.sent.replace(RID, dialog.rid))
        self.stop.end(dialog)


def response_to(entry: Entry, path: str, rid: str) -> bytes:
    """Send a request; return what came back until it was whole or the connection ended."""
    caller = Caller(entry)
    caller.send(path, rid=rid)
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while not is_complete(data) and (received := caller.read_available()):
            data += received
    caller.close()
    return data


def prepare(
    entry: Entry, endpoints: Sequence[EndpointStandIn], script: Script, stop: Stop
) -> None:
    """Let the next responses stop, on new connections or on kept ones."""
    script.stop = None
    for endpoint in endpoints:
        entry.ctx.pool.close_idle(endpoint.address)
        if stop.is_kept:
            fill_pool(entry, endpoint)
    script.stop = stop


def assert_is_honest(response: bytes, stop: Stop) -> None:
    """Check that a response neither looks whole nor promises that nothing has run."""
    status = status_of(response)
    if status != 200:
        assert (status, is_complete(response)) == (502, True), stop
        return
    # Events were passed on before the stop, and the last chunk is missing.
    assert b"\r\n\r\n" in response, stop
    assert not is_complete(response), stop
    assert PIECES.startswith(body_of(response)), stop
    assert body_of(response), stop


@pytest.mark.parametrize("name", RESPONSES)
@pytest.mark.parametrize("route", ROUTES)
def test_a_response_that_stops_in_its_head_is_no_whole_answer_and_no_promise(
    route: str, name: str
) -> None:
    """Guards against a 200 with an empty or short body that is framed as whole."""
    script = Script()
    endpoints = [EndpointStandIn(script) for _ in range(2)]
    settings = replace(entry_settings(), retry_policy=RetryPolicy(burst=1e6))
    entry = start_entry(*endpoints, settings=settings)
    for number, stop in enumerate(stops(RESPONSES[name], ROUTES.index(route))):
        prepare(entry, endpoints, script, stop)
        rid = f"r-{number}"
        response = response_to(entry, route + rid, rid)
        assert rid.encode() in script.rids, stop
        assert_is_honest(response, stop)


@pytest.mark.parametrize("name", ["length", "chunks-and-trailer", "interim", "http-1.0"])
def test_a_request_that_may_run_again_is_answered_by_another_endpoint(name: str) -> None:
    script = Script(is_fine_when_repeated=True)
    endpoints = [EndpointStandIn(script) for _ in range(2)]
    settings = replace(entry_settings(), retry_policy=RetryPolicy(burst=1e6))
    entry = start_entry(*endpoints, settings=settings)
    for number, stop in enumerate(stops(RESPONSES[name], 0)):
        prepare(entry, endpoints, script, stop)
        rid = f"r-{number}"
        response = response_to(entry, f"/safe/{rid}", rid)
        assert (status_of(response), body_of(response)) == (200, b"fine"), stop
        assert script.rids.count(rid.encode()) == 2, stop


@pytest.mark.parametrize("name", RESPONSES)
def test_the_same_response_is_passed_on_if_it_does_not_stop(name: str) -> None:
    """Guards against tests that hold only because no such response is passed on."""
    whole = RESPONSES[name]

    def respond(dialog: Dialog) -> None:
        dialog.send(whole.replace(RID, dialog.rid))
        if b"Content-Length" not in whole and b"chunked" not in whole:
            close(dialog)

    response = response_to(start_entry(EndpointStandIn(respond)), "/once/a", "r-1")
    assert status_of(response) == {"no-content": 204, "refusal": 503}.get(name, 200)
