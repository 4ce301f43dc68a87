"""The server side of a connection."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
import pytest
from eventlet.green import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct import caller_connection
from dockreach.direct.caller_connection import (
    MAX_LATE_BYTES,
    MAX_TURN_BYTES,
    CallerConnection,
)
from dockreach.direct.chunk_joiner import MAX_JOINED_BYTES
from dockreach.direct.http1 import (
    MAX_TURN_STEPS,
    BadRequestError,
    RawHead,
    RawRequest,
    receive,
)
from dockreach.direct.routing_config import CallerLimits

from ..peer_bytes import REQUEST_LINE, REQUESTS, damaged
from .standins import LOCAL

ENTRY = """
import eventlet, sys
from dockreach.direct.caller_connection import CallerConnection
from dockreach.direct.http1 import RawHead
from dockreach.direct.routing_config import CallerLimits

listener = eventlet.listen((sys.argv[1], 0))
print(listener.getsockname()[1], flush=True)
sock, _ = listener.accept()
conn = CallerConnection(sock, CallerLimits)
conn.read_request()
conn.send_head(RawHead(200, b"OK", []))
conn.send_data(b"one")
sys.stdin.read(1)
conn.send_data(b"two")
conn.end()
conn.close()
"""
"""Sends a half of a response, and the other one when it is told to."""


@contextmanager
def running_entry() -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """Run an entry; yield its process and its port."""
    with subprocess.Popen(  # noqa: S603
        [sys.executable, "-c", ENTRY, LOCAL], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        try:
            assert process.stdout is not None
            yield process, int(process.stdout.readline())
        finally:
            process.kill()


def half_response(port: int) -> socket.socket:
    """Send a request with HTTP/1.0; return the socket after half of its response."""
    sock = socket.socket()
    sock.connect((LOCAL, port))
    sock.settimeout(3)
    sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
    data = b""
    while not data.endswith(b"one"):
        data += receive(sock)
    return sock


def test_a_response_with_http_1_0_is_not_whole_when_its_entry_is_killed() -> None:
    with running_entry() as (process, port):
        sock = half_response(port)
        process.kill()
        process.wait()
        with pytest.raises(ConnectionResetError):
            receive(sock)


def test_a_response_with_http_1_0_that_is_whole_ends_in_order() -> None:
    with running_entry() as (process, port):
        sock = half_response(port)
        assert process.stdin is not None
        process.stdin.write(b"x")
        process.stdin.flush()
        assert (receive(sock), receive(sock)) == (b"two", b"")


class SentBytes:
    """A socket whose peer has sent some bytes in pieces, and has closed its side."""

    def __init__(self, data: bytes, size: int) -> None:
        self._pieces = [data[start : start + size] for start in range(0, len(data), size)]
        self.fd = self

    def recv(self, size: int) -> bytes:
        piece = self._pieces.pop(0) if self._pieces else b""
        if len(piece) > size:
            self._pieces.insert(0, piece[size:])
        return piece[:size]

    def sendall(self, data: bytes) -> None:
        """Accept all data."""

    def setsockopt(self, *_: object) -> None:
        """Accept any option."""


LIMITS = CallerLimits(header_bytes=150, body_bytes=8)


def read_all(data: bytes, size: int) -> list[RawRequest | int]:
    """Read the requests of a connection; the last one may be the status of an error."""
    conn = CallerConnection(SentBytes(data, size), lambda: LIMITS)
    found: list[RawRequest | int] = []
    try:
        while (raw := conn.read_request()) is not None:
            found.append(raw)
            conn.send_response(RawHead(200, b"OK", []), b"")
            if not conn.prepare_next_request():
                break
    except BadRequestError as exc:
        found.append(exc.status)
    return found


@settings(deadline=None)
@given(damaged(REQUESTS) | st.binary(max_size=80), st.integers(1, 40))
def test_a_damaged_request_is_read_or_refused_the_same_in_pieces(
    data: bytes, size: int
) -> None:
    found = read_all(data, 8192)
    assert read_all(data, size) == found
    for raw in found:
        if isinstance(raw, RawRequest):
            assert len(raw.body) <= LIMITS.body_bytes
        else:
            assert 400 <= raw < 600


class TurnCounter:
    """Counts the turns of the event loop while it is open."""

    def __init__(self) -> None:
        self.turns = 0

    def __enter__(self) -> TurnCounter:
        self._counter = eventlet.spawn(self._count)
        eventlet.sleep(0)
        return self

    def __exit__(self, *_: object) -> None:
        self._counter.kill()

    def _count(self) -> None:
        while True:
            eventlet.sleep(0)
            self.turns += 1


CHUNKED_HEAD = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("chunk", "count"),
    [(b"1\r\nx\r\n", 350_000), (b"1;" + b"e" * 900 + b"\r\nx\r\n", 2000)],
    ids=["short", "extension"],
)
def test_a_chunked_body_without_pauses_does_not_hold_up_other_greenlets(
    chunk: bytes, count: int
) -> None:
    sent = SentBytes(CHUNKED_HEAD + chunk * count + b"0\r\n\r\n", 8192)
    conn = CallerConnection(sent, CallerLimits)
    with TurnCounter() as counter:
        raw = conn.read_request()
    assert raw is not None
    assert raw.body == b"x" * count
    assert counter.turns >= 2000 / MAX_TURN_STEPS / 2


@pytest.mark.parametrize("piece", [97, 8192])
@pytest.mark.parametrize(
    "chunk", [b"1\r\nx\r\n", b"1;" + b"e" * 900 + b"\r\nx\r\n"], ids=["short", "extension"]
)
def test_a_body_of_many_small_chunks_is_whole_however_it_arrives(
    chunk: bytes, piece: int
) -> None:
    sent = SentBytes(CHUNKED_HEAD + chunk * 2000 + b"0\r\n\r\n", piece)
    raw = CallerConnection(sent, CallerLimits).read_request()
    assert raw is not None
    assert raw.body == b"x" * 2000


def test_a_long_body_without_pauses_does_not_hold_up_other_greenlets() -> None:
    size = 2 * MAX_TURN_BYTES
    head = REQUEST_LINE + b"Content-Length: %d\r\n\r\n" % size
    conn = CallerConnection(SentBytes(head + b"x" * size, 8192), CallerLimits)
    with TurnCounter() as counter:
        raw = conn.read_request()
    assert raw is not None
    assert raw.body == b"x" * size
    assert counter.turns >= 2


def test_a_search_for_a_pipelined_request_does_not_hold_up_other_greenlets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_connection, "MAX_PIPELINED_BYTES", 1 << 20)
    # Two of these chunks are too long to be joined.
    chunk = b"1;" + b"e" * (MAX_JOINED_BYTES // 2 - 5) + b"\r\nx\r\n"
    pipelined = CHUNKED_HEAD + chunk * 2000
    conn = CallerConnection(
        SentBytes(REQUESTS[0][: -len(REQUEST_LINE) - 2] + pipelined, 8192), CallerLimits
    )
    conn.read_request()
    assert conn.has_disconnected()
    conn.is_draining = True
    with TurnCounter() as counter:
        conn.send_response(RawHead(200, b"OK", []), b"")
    assert counter.turns >= 2000 / MAX_TURN_STEPS / 2


class SentWithoutEnd(SentBytes):
    """A socket whose peer goes on to send the same bytes behind the first ones."""

    def __init__(self, first: bytes, rest: bytes) -> None:
        super().__init__(first, 8192)
        self._rest = rest
        self.received = 0

    def recv(self, size: int) -> bytes:
        self.received += size
        assert self.received < 4 * MAX_LATE_BYTES, "read on and on"
        return super().recv(size) or (self._rest * (size // len(self._rest) + 1))[:size]


def test_a_body_without_end_is_refused_after_the_header_timeout() -> None:
    limits = CallerLimits(header_timeout_s=0.0)
    chunk = b"1;" + b"e" * 1017 + b"\r\nx\r\n"
    conn = CallerConnection(SentWithoutEnd(CHUNKED_HEAD, chunk), lambda: limits)
    with pytest.raises(BadRequestError) as excinfo:
        conn.read_request()
    assert excinfo.value.status == 408
