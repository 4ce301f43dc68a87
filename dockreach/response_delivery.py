"""Waits for the response to one request and delivers it to the caller."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from . import _green
from ._responses import (
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    VERDICT_HEADER,
    StartResponse,
    error_body,
    send_refusal,
)
from .endpoints import EVENT_STREAM
from .entry_tables import CallerGone, ChunksDelivered, Phase, RequestRow
from .request_parsing import Ticket
from .verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from .entry_node import EntryNode

CALLER_CHECK_INTERVAL_S = 1.0
"""How often a waiting request checks whether its caller is still connected."""


class AbortError(Exception):
    """Breaks off a response, so that the caller sees that it is incomplete."""


class Waiter:
    """Lets a caller's greenlet wait for updates of its request.

    Attributes:
        caller: Number of the caller.
        row: The request at its last update; ``None`` before the first.
    """

    def __init__(self, caller: int, rid: str) -> None:
        self.caller = caller
        self.rid = rid
        self.row: RequestRow | None = None
        self.signal = _green.Signal()

    def wake(self, row: RequestRow) -> None:
        """Wake the greenlet after an update of its request."""
        self.row = row
        self.signal.set()


class ResponseDelivery:
    """Waits for the response to one request and delivers it to the caller.

    Args:
        node: The entry.
        waiter: Receives the updates of the request.
        conn: The caller's socket, to notice when the caller leaves; may be ``None``.
        repeatable: Whether a second run of the request does no harm.
    """

    def __init__(
        self,
        node: EntryNode,
        waiter: Waiter,
        conn: socket.socket | None,
        *,
        repeatable: bool,
    ) -> None:
        self._node = node
        self._waiter = waiter
        self._conn = conn
        self._repeatable = repeatable
        self._is_delivered = False
        self._delivered_chunks = 0
        self._event_stream = False

    def respond(self, start: StartResponse, *, is_buffered: bool) -> Iterator[bytes]:
        """Wait for the response and deliver it.

        Args:
            start: The server's start of a response.
            is_buffered: Whether to wait for the complete response, instead of streaming it
                from its first chunk on.
        """
        try:
            row = self._wait_for_start(is_buffered)
        except BaseException:
            self._report_caller_gone(Reason.CALLER_GONE)
            raise
        if row is None:
            self._report_caller_gone(Reason.CALLER_GONE)
            return iter(())
        if row.refusal is not None and (is_buffered or row.first_chunk_at is None):
            self._is_delivered = True
            self._node.remove_waiter(self._waiter)
            refusal = self._restrict_retry(row.refusal)
            return send_refusal(start, refusal, row.rid, ticket=_ticket(row))
        if is_buffered:
            return self._send_buffered(start, row)
        self._send_head(start, row, None)
        return _ClosingBody(self._stream(row), self._close)

    def _wait_for_start(self, is_buffered: bool) -> RequestRow | None:
        while True:
            row = self._waiter.row
            if row is not None:
                if row.phase is Phase.DONE:
                    return row
                if row.ready_chunks and not is_buffered:
                    return row
                if row.ready_chunks and is_buffered:
                    self._acknowledge_buffered(row)
            if not self._wait_for_update():
                return None

    def _acknowledge_buffered(self, row: RequestRow) -> None:
        """Acknowledge buffered chunks, so that the agent sends the rest.

        The buffer needs no limit of its own: the response is limited by its output tokens.
        """
        size = sum(len(chunk.data) for chunk in row.ready_chunks)
        self._node.ticker.put(
            "", ChunksDelivered(row.rid, row.caller, row.next_chunk, size)
        )

    def _wait_for_update(self) -> bool:
        """Wait for an update; return whether the caller is still connected."""
        if self._waiter.signal.wait(CALLER_CHECK_INTERVAL_S):
            return True
        return self._is_caller_connected()

    def _is_caller_connected(self) -> bool:
        if self._conn is None:
            return True
        try:
            readable, _, _ = select.select([self._conn], [], [], 0)
            if not readable:
                return True
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(self._conn.recv(1, flags))
        except (OSError, ValueError):
            return False

    def _send_head(self, start: StartResponse, row: RequestRow, length: int | None) -> None:
        head = row.ready_chunks[0]
        self._event_stream = head.content_type.startswith(EVENT_STREAM)
        headers = [
            ("Content-Type", head.content_type or "application/octet-stream"),
            (REQUEST_ID_HEADER, row.rid),
            (TICKET_HEADER, _ticket(row)),
            (VERDICT_HEADER, Verdict.RAN.value),
        ]
        if length is not None:
            headers.append(("Content-Length", str(length)))
        start(f"{head.status or 200} Answer", headers)

    def _send_buffered(self, start: StartResponse, row: RequestRow) -> Iterator[bytes]:
        body = b"".join(chunk.data for chunk in row.ready_chunks)
        self._send_head(start, row, len(body))
        self._is_delivered = True
        self._node.remove_waiter(self._waiter)
        return iter((body,))

    def _stream(self, row: RequestRow) -> Iterator[bytes]:
        while True:
            while row.ready_chunks:
                parts = list(row.ready_chunks)
                row.ready_chunks.clear()
                data = b"".join(chunk.data for chunk in parts)
                yield data
                self._report_delivered(row, len(parts), len(data))
            if row.phase is Phase.DONE and not row.ready_chunks:
                break
            if not self._wait_for_update():
                return
        self._is_delivered = True
        if row.refusal is not None:
            yield from self._abort_stream(row, row.refusal)

    def _report_delivered(self, row: RequestRow, chunks: int, size: int) -> None:
        self._delivered_chunks += chunks
        if row.phase is not Phase.DONE:
            message = ChunksDelivered(row.rid, row.caller, self._delivered_chunks, size)
            self._node.ticker.put_later("", message)

    def _abort_stream(self, row: RequestRow, refusal: Refusal) -> Iterator[bytes]:
        """Send the caller of a stream an error event, and break off the response."""
        if self._event_stream:
            yield b"event: error\ndata: " + error_body(refusal, row.rid) + b"\n\n"
        raise AbortError(refusal.reason.value)

    def _restrict_retry(self, refusal: Refusal) -> Refusal:
        """Remove the retry delay from a refusal if a second run could do harm."""
        if self._repeatable or refusal.verdict is Verdict.NOT_RUN:
            return refusal
        return refusal._replace(retry_after_s=None)

    def _close(self) -> None:
        if not self._is_delivered:
            self._report_caller_gone(Reason.CALLER_GONE)
        self._node.remove_waiter(self._waiter)

    def _report_caller_gone(self, reason: Reason) -> None:
        gone = CallerGone(self._waiter.rid, self._waiter.caller, reason)
        self._node.ticker.put("", gone)
        self._node.remove_waiter(self._waiter)


class _ClosingBody:
    """A response body that calls a function when the response ends, also by a failure."""

    def __init__(self, parts: Iterator[bytes], close: Callable[[], None]) -> None:
        self._parts = parts
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def __next__(self) -> bytes:
        return next(self._parts)

    def close(self) -> None:
        """Run the function; the server calls this when the response ended or failed."""
        self._close()


def _ticket(row: RequestRow) -> str:
    if not row.agent:
        return ""
    return str(Ticket(row.rid, row.agent, row.incarnation))
