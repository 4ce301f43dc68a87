"""Parses HTTP/1.1 messages at a cost that grows with their length only.

h11 parses the messages, but some of its regular expressions take a time that grows with the
square of the length of a run of blanks, and a head of many short lines takes long in one
go. So it gets a head only once that is complete and has been checked, the lines of a
chunked body in small pieces, and small chunks joined.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import Any

import h11

from .chunk_joiner import ChunkJoiner

MAX_HEAD_LINES = 1000
"""Most lines of a head."""

MAX_HEAD_BLANKS = 256
"""Longest run of blanks in a head."""

CHUNKED_PIECE_BYTES = 1024
"""Most bytes that h11 holds of a chunk's line or of the trailers."""

MAX_FRAMING_BYTES = 2 << 20
"""By how much the framing of a chunked body may exceed its data, in bytes."""

_BLANKS = b" " * (MAX_HEAD_BLANKS + 1)
_HEAD_END = re.compile(rb"\n\r?\n")
_HEAD_END_OVERLAP = 2
_FIRST_PRINTABLE = 0x21


class MessageParser:
    """Parses the messages that one side of a connection receives.

    Args:
        role: The own role, `h11.CLIENT` or `h11.SERVER`.
        max_head_bytes: Largest size of a head.
    """

    def __init__(
        self, role: type[h11.CLIENT] | type[h11.SERVER], max_head_bytes: int
    ) -> None:
        self.http = h11.Connection(role, max_incomplete_event_size=CHUNKED_PIECE_BYTES)
        self._max_head_bytes = max_head_bytes
        self._pending = bytearray()
        self._searched = 0
        self._is_closed = False
        self._joiner: ChunkJoiner | None = None
        self._framing_excess = 0
        self._needs_data = False

    @property
    def remainder(self) -> bytes:
        """Received bytes behind the last event."""
        return self.http.trailing_data[0] + bytes(self._pending)

    @property
    def unparsed_head_bytes(self) -> int:
        """Number of received bytes of a head that is not complete, and behind it."""
        return len(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Number of received bytes behind the last event."""
        return len(self._pending) + len(self.http.trailing_data[0])

    def discard(self) -> None:
        """Forget what was received and not parsed; nothing is parsed any more."""
        self._pending = bytearray()

    @property
    def has_remainder(self) -> bool:
        """Whether bytes were received behind the last event."""
        return bool(self._pending or self.http.trailing_data[0])

    @property
    def is_closed(self) -> bool:
        """Whether the other side has closed the connection."""
        return self._is_closed

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; none mean that the other side closed the connection."""
        self._pending += data
        self._is_closed = self._is_closed or not data

    def receive_rest_of(self, other: MessageParser) -> None:
        """Add what another parser of the same connection has received and not parsed.

        Args:
            other: That parser, which is not used any more.
        """
        if other.has_remainder:
            # No data would be taken for the end of the connection.
            self.receive_data(other.remainder)
        if other.is_closed:
            self.receive_data(b"")

    def next_event(self) -> Any:  # noqa: ANN401
        """Return the next event, or `h11.NEED_DATA`.

        Raises:
            h11.RemoteProtocolError: The bytes are not HTTP, or a limit was exceeded.
        """
        while not self._needs_data or self._feed():
            event = self.http.next_event()
            self._needs_data = event is h11.NEED_DATA
            if isinstance(event, h11.Request | h11.Response):
                self._begin_body(event)
            elif isinstance(event, h11.Data):
                self._framing_excess -= 2 * len(event.data)
            if not self._needs_data:
                return event
        return h11.NEED_DATA

    def _begin_body(self, head: h11.Request | h11.Response) -> None:
        is_chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
        self._joiner = ChunkJoiner() if is_chunked else None
        self._framing_excess = 0

    def _feed(self) -> bool:
        """Pass the next bytes to h11; return whether there were any that it may have."""
        if not self._pending:
            is_new_end = self._is_closed and not self.http.trailing_data[1]
            if is_new_end:
                self.http.receive_data(b"")
            return is_new_end
        if self.http.their_state in (h11.IDLE, h11.SEND_RESPONSE):
            return self._pass_on(self._head_size())
        if self._joiner is None:
            return self._pass_on(len(self._pending))
        return self._feed_chunked(self._joiner)

    def _pass_on(self, size: int) -> bool:
        """Pass the first pending bytes to h11; return whether there were any."""
        if not size:
            return False
        self.http.receive_data(bytes(self._pending[:size]))
        del self._pending[:size]
        self._searched = 0
        return True

    def _feed_chunked(self, joiner: ChunkJoiner) -> bool:
        before = len(self._pending)
        data = joiner.take(self._pending)
        if self.http.their_state is h11.SEND_BODY:
            self._framing_excess += before - len(self._pending)
        if self._framing_excess > MAX_FRAMING_BYTES:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            problem = f"over {MAX_FRAMING_BYTES} bytes of chunk framing beyond the data"
            raise h11.RemoteProtocolError(problem, error_status_hint=status)
        if data:
            self.http.receive_data(data)
        elif self._is_closed:
            # h11 reports the end within a chunk's line.
            return self._pass_on(before)
        return bool(data)

    def _head_size(self) -> int:
        """Return the size of the next head; 0 if it is not complete."""
        if self._pending[0] < _FIRST_PRINTABLE:
            # h11 rejects it at once.
            return len(self._pending)
        match = _HEAD_END.search(self._pending, self._searched)
        self._searched = max(len(self._pending) - _HEAD_END_OVERLAP, 0)
        size = match.end() if match else len(self._pending)
        if size > self._max_head_bytes:
            raise _head_error(f"over {self._max_head_bytes} bytes")
        if match:
            _check_head(self._pending[:size])
            return size
        if self._is_closed:
            raise h11.RemoteProtocolError("connection closed within a head")
        return 0


def _check_head(head: bytearray) -> None:
    if head.count(b"\n") > MAX_HEAD_LINES:
        raise _head_error(f"over {MAX_HEAD_LINES} lines")
    if _BLANKS in head.replace(b"\t", b" "):
        raise _head_error(f"with over {MAX_HEAD_BLANKS} blanks in a row")


def _head_error(problem: str) -> h11.RemoteProtocolError:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return h11.RemoteProtocolError(f"head {problem}", error_status_hint=status)
