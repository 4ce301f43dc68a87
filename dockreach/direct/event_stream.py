"""Splits an event stream into complete events, so that no caller gets a partial one.

The format is server-sent events (WHATWG HTML, section 9.2): fields in lines, and a blank
line after each event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)

CONTENT_TYPE = b"text/event-stream"


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
        data: Its bytes, including the blank line.
        id: Its id; empty if it has none.
    """

    data: bytes
    id: str


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event is not complete; line ends between events are none."""
        return bool(self._remainder.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes; return the events that are now complete."""
        data = self._remainder + data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            id_line = _ID_FIELD.search(event)
            events.append(
                StreamEvent(event, id_line[1].decode("latin-1") if id_line else "")
            )
        self._remainder = data[start:]
        return events
