"""What endpoints that are processes send, and what callers send them, from ids alone."""

from __future__ import annotations

import math
import re
import zlib
from dataclasses import dataclass

from .stream_shapes import shape_of

FEWEST_EVENTS = 4
MORE_EVENTS = 20
"""A stream has from `FEWEST_EVENTS` on fewer than this many events more."""

LONG_KINDS = ("report", "story")
"""Kinds of routes with long streams."""

MEAN_LONG_EVENTS = 60
MOST_LONG_EVENTS = 240
"""Events of a long stream beside the fewest, in the mean and at most."""

MOST_BODY_LINES = 400
"""Lines of the longest plain body."""

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\d+) (\S+)\n\n")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event that a caller received.

    Attributes:
        number: Its id.
        stream: The stream to which it belongs.
        written: The number in its content.
        worker: The endpoint that made it.
    """

    number: int
    stream: str
    written: int
    worker: str


def stream_length(stream: str) -> int:
    """Return the number of events of a stream."""
    shape = shape_of(stream)
    if shape is not None:
        return shape.length(stream)
    drawn = zlib.crc32(stream.encode())
    if is_long(stream):
        more = -MEAN_LONG_EVENTS * math.log(1 - drawn / (1 << 32))
        return FEWEST_EVENTS + min(int(more), MOST_LONG_EVENTS)
    return FEWEST_EVENTS + drawn % MORE_EVENTS


def is_long(stream: str) -> bool:
    """Return whether a stream is of a kind with long ones."""
    return stream.partition("-")[0] in LONG_KINDS


def encode_event(stream: str, number: int, worker: str) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {stream} {number} {worker}\n\n".encode()


def decode_events(body: bytes) -> tuple[list[StreamEvent], bytes]:
    """Return the events at the start of a body, and what is not one."""
    events = []
    at = 0
    while found := _EVENT.match(body, at):
        number, stream, written, worker = found.groups()
        events.append(
            StreamEvent(int(number), stream.decode(), int(written), worker.decode())
        )
        at = found.end()
    return events, body[at:]


def plain_body(rid: str, worker: str) -> bytes:
    """Return the body of an endpoint's response to a plain request."""
    lines = 1 + zlib.crc32(rid.encode()) % MOST_BODY_LINES
    return f"answer to {rid} by {worker}\n".encode() * lines


def request_body(rid: str, size: int) -> bytes:
    """Return the body of a request, of a size in bytes."""
    line = f"{rid} ".encode()
    return (line * (size // len(line) + 1))[:size]
