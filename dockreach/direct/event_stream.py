"""Splits an event stream into whole events, so that no caller gets a part of one.

The format is that of server-sent events (WHATWG HTML, section 9.2): fields in lines, and
a blank line after each event.
"""

from __future__ import annotations

import re
from typing import NamedTuple

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id: ?(.*?)\r?$", re.MULTILINE)

CONTENT_TYPE = b"text/event-stream"


class StreamEvent(NamedTuple):
    """One whole event.

    Attributes:
        data: Its bytes with the blank line.
        id: Its id; empty if it has none.
    """

    data: bytes
    id: str


class EventSplitter:
    """Collects bytes and gives back whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes; return the events that are now whole."""
        data = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(data):
            whole = data[start : match.end()]
            start = match.end()
            found = _ID.search(whole)
            events.append(StreamEvent(whole, found[1].decode("latin-1") if found else ""))
        self._rest = data[start:]
        return events
