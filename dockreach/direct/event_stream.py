"""Splits an event stream into complete events, so that no caller gets a partial one.

The format is server-sent events (WHATWG HTML, section 9.2): fields in lines, and a blank
line after each event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from .http1 import CONTROL_CHARACTER, ResponseLimit, ResponseLimitError

_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\r\n|\n\n|\r\r")
_LAST_ID_FIELD = re.compile(rb"(?s:.*)^id(?:: ?([^\n]*?))?\r?$", re.MULTILINE)
_DATA_FIELD = re.compile(rb"(?:^|[\r\n])data[:\r\n]")

MAX_BLANK_LINE_BYTES = 4
"""Length of the longest separator of events."""

MAX_EVENT_BYTES = 1 << 20
"""Largest size of an event."""

MAX_ID_BYTES = 1024
"""Largest size of an event's id."""

MAX_LOGGED_ID_BYTES = 64

CONTENT_TYPE = b"text/event-stream"


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
        data: Its bytes, including the blank line.
        id: Its id; empty if it has none.
    """

    data: bytes
    id: str

    @property
    def has_data(self) -> bool:
        """Whether it has a field ``data``; a comment has none."""
        return _DATA_FIELD.search(self.data) is not None


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event is not complete; line ends between events are none."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete.

        Raises:
            ResponseLimitError: An event is over `MAX_EVENT_BYTES`, or its id is not valid.
        """
        self._buffer += data
        events = []
        start = 0
        # What was searched before contains no separator, but may end with a part of one.
        for match in _BLANK_LINE.finditer(self._buffer, self._searched):
            event = bytes(self._buffer[start : match.end()])
            start = match.end()
            events.append(StreamEvent(event, _id_of(event)))
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseLimitError(
                ResponseLimit.EVENT, f"event over {MAX_EVENT_BYTES} bytes"
            )
        self._searched = max(len(self._buffer) - MAX_BLANK_LINE_BYTES + 1, 0)
        return events


def _id_of(event: bytes) -> str:
    """Return an event's id, which has to fit into a header when the stream is resumed.

    The last of several ids counts, as at a caller that takes the stream up itself.
    """
    id_line = _LAST_ID_FIELD.match(event)
    if id_line is None:
        return ""
    value = (id_line[1] or b"").strip(b" \t")
    if len(value) > MAX_ID_BYTES or CONTROL_CHARACTER.search(value):
        raise ResponseLimitError(
            ResponseLimit.EVENT,
            f"event with an invalid id: {value[:MAX_LOGGED_ID_BYTES]!r}",
        )
    return value.decode("latin-1")
