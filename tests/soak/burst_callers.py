"""Callers that send large bodies, or take one stream up, at the same time."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterable
from typing import Any

import eventlet
from eventlet.green import socket

from .clients import (
    ABANDONED_FRACTION,
    MAX_ABANDON_S,
    RESPONSE_TIMEOUT_S,
    Callers,
    Outcome,
)

KEY = "key-free"
"""API key of these callers, whose organisation has no quota."""

MIN_STREAM_S = 0.1
"""Shortest time after which a caller leaves a stream that others take up, in seconds."""

SPREAD_FRACTION = 0.5
"""Fraction of the bursts of take-ups that come at several entries."""

BODY_PIECES = 10
"""Pieces of a body that is sent slowly."""

BODY_PIECE_INTERVAL_S = 0.05

MAX_STOPPED_S = 3.0
"""Longest time for which callers that have stopped sending keep their connections, in
seconds."""

SMALL_BODY_BYTES = 60_000


def send_bodies(callers: Callers, count: int, max_bytes: int) -> None:
    """Send requests with large bodies to one entry at the same time.

    Args:
        callers: Draw the entry, and record the outcomes.
        count: Number of bodies.
        max_bytes: Size of the largest one, in bytes.
    """
    rng = callers.rng
    entry, address = rng.choice(callers.addresses())
    outcomes = []
    for _ in range(count):
        outcome = Outcome(callers.make_rid("once"), "once", entry, time.monotonic())
        size = rng.randint(max_bytes // 8, max_bytes)
        outcome.request_body = outcome.rid.encode().ljust(size)
        if rng.random() < ABANDONED_FRACTION:
            outcome.timeout_s = rng.uniform(0.0, MAX_ABANDON_S)
        outcomes.append(outcome)
    _wait_for_all(
        eventlet.spawn(callers.send_once, outcome, address, KEY) for outcome in outcomes
    )


def send_unfinished_bodies(callers: Callers, count: int, max_bytes: int) -> None:
    """Send parts of large bodies to one entry, piece by piece, and leave.

    Args:
        callers: Draw the entry and the lengths.
        count: Number of bodies.
        max_bytes: Size that each body is said to have, in bytes.
    """
    _, address = callers.rng.choice(callers.addresses())
    drawn = [
        (callers.make_rid("once"), callers.rng.randrange(BODY_PIECES)) for _ in range(count)
    ]
    _wait_for_all(
        eventlet.spawn(_send_unfinished, address, rid, max_bytes, pieces)
        for rid, pieces in drawn
    )


def stop_short(callers: Callers, count: int, max_bytes: int) -> None:
    """Send most of a request on each of many connections to one entry, and stay.

    Args:
        callers: Draw the entry, the requests, and how long the connections stay.
        count: Number of connections.
        max_bytes: Size of the largest body, in bytes.
    """
    rng = callers.rng
    _, address = rng.choice(callers.addresses())
    stay_s = rng.uniform(0.5, MAX_STOPPED_S)
    drawn = [
        _unfinished(rng.choice(_SHAPES), callers.make_rid("once"), max_bytes)
        for _ in range(count)
    ]
    _wait_for_all(eventlet.spawn(_send_and_stay, address, data, stay_s) for data in drawn)


_SHAPES = ("silent", "head", "lines", "small", "large", "chunks", "pipelined")
"""What is sent before the stop."""


def _unfinished(shape: str, rid: str, max_bytes: int) -> bytes:
    """Return most of a request."""
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: {rid}\r\n"
        f"Request-Deadline-Ms: 3500\r\nX-Api-Key: {KEY}\r\nToken-Counts: 16,4\r\n"
    ).encode()

    def body(size: int) -> bytes:
        return head + b"Content-Length: %d\r\n\r\n" % size + b"u" * (size - 1)

    sent = {
        "silent": b"",
        "head": head + b"Padding: " + b"x" * 12_000,
        "lines": head + b"a:\r\n" * 900 + b"Content-Length: 9\r\n\r\nu",
        "small": body(SMALL_BODY_BYTES),
        "large": body(max_bytes),
        "chunks": head
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"4000\r\n%s\r\n" % (b"u" * 0x4000) * (max_bytes // 0x4000 - 1),
        "pipelined": b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n" + body(max_bytes),
    }
    return sent[shape]


def _send_and_stay(address: str, data: bytes, stay_s: float) -> None:
    """Send bytes, and keep the connection open; give up when the entry closes it."""
    ip, _, port = address.rpartition(":")
    with (
        eventlet.Timeout(stay_s, False),
        contextlib.suppress(OSError),
        socket.create_connection((ip, int(port))) as sock,
    ):
        sock.sendall(data)
        while sock.recv(65536):
            pass


def take_up_at_once(callers: Callers, count: int) -> None:
    """Leave a stream, and take it up several times at the same time.

    Args:
        callers: Draw the entries, and record the outcomes.
        count: Number of take-ups.
    """
    rng = callers.rng
    entry, address = rng.choice(callers.addresses())
    left = Outcome(callers.make_rid("brief"), "brief", entry, time.monotonic())
    left.timeout_s = rng.uniform(MIN_STREAM_S, MAX_ABANDON_S)
    left.request_body = left.rid.encode()
    callers.send_once(left, address, KEY)
    if left.status != 200 or not left.last_event or left.is_whole:
        return
    is_spread = rng.random() < SPREAD_FRACTION
    entry, address = rng.choice(callers.addresses())
    senders = []
    for _ in range(count):
        if is_spread:
            entry, address = rng.choice(callers.addresses())
        again = callers.make_take_up(left, entry)
        senders.append(eventlet.spawn(callers.send_once, again, address, KEY))
    _wait_for_all(senders)


def _wait_for_all(senders: Iterable[Any]) -> None:
    for sender in list(senders):
        sender.wait()


def _send_unfinished(address: str, rid: str, size: int, pieces: int) -> None:
    """Send the head of a request and some pieces of its body, and close the connection.

    Args:
        address: IP address and port of the entry.
        rid: The id of the request.
        size: Size of the body as the head tells it, in bytes.
        pieces: How many of the body's pieces are sent.
    """
    ip, _, port = address.rpartition(":")
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: {rid}\r\n"
        f"Request-Deadline-Ms: 3500\r\nX-Api-Key: {KEY}\r\nToken-Counts: 16,4\r\n"
        f"Content-Length: {size}\r\n\r\n"
    )
    with (
        eventlet.Timeout(RESPONSE_TIMEOUT_S, False),
        contextlib.suppress(OSError),
        socket.create_connection((ip, int(port))) as sock,
    ):
        sock.sendall(head.encode())
        for _ in range(pieces):
            sock.sendall(b"u" * (size // BODY_PIECES))
            eventlet.sleep(BODY_PIECE_INTERVAL_S)
