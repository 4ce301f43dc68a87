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
from .entry_tables import CallerGone, Phase, RequestRow, Taken
from .intake import Ticket
from .verdict import Reason, Refusal, Verdict

if TYPE_CHECKING:
    from .entry_node import EntryNode

CHECK_CALLER_S = 1.0
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


class Exchange:
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
        self._delivered = False
        self._taken = 0
        self._event_stream = False

    def respond(self, start: StartResponse, *, whole: bool) -> Iterator[bytes]:
        """Wait for the response and deliver it.

        Args:
            start: The server's start of a response.
            whole: Whether to wait for the complete response, instead of streaming it from
                its first chunk on.
        """
        try:
            row = self._await_start(whole)
        except BaseException:
            self._leave(Reason.CALLER_GONE)
            raise
        if row is None:
            self._leave(Reason.CALLER_GONE)
            return iter(())
        if row.refusal is not None and (whole or row.first_chunk is None):
            self._delivered = True
            self._node.forget(self._waiter)
            refusal = self._advise(row.refusal)
            return send_refusal(start, refusal, row.rid, ticket=_ticket(row))
        if whole:
            return self._send_whole(start, row)
        self._start(start, row, None)
        return _Body(self._stream(row), self._close)

    def _await_start(self, whole: bool) -> RequestRow | None:
        while True:
            row = self._waiter.row
            if row is not None:
                if row.phase is Phase.DONE:
                    return row
                if row.ready and not whole:
                    return row
                if row.ready and whole:
                    self._acknowledge_whole(row)
            if not self._wait():
                return None

    def _acknowledge_whole(self, row: RequestRow) -> None:
        """Acknowledge buffered chunks, so that the agent sends the rest.

        The buffer needs no limit of its own: the response is limited by its output tokens.
        """
        size = sum(len(chunk.data) for chunk in row.ready)
        self._node.ticker.put("", Taken(row.rid, row.caller, row.next_chunk, size))

    def _wait(self) -> bool:
        """Wait for an update; return whether the caller is still connected."""
        if self._waiter.signal.wait(CHECK_CALLER_S):
            return True
        return self._caller_present()

    def _caller_present(self) -> bool:
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

    def _start(self, start: StartResponse, row: RequestRow, length: int | None) -> None:
        head = row.ready[0]
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

    def _send_whole(self, start: StartResponse, row: RequestRow) -> Iterator[bytes]:
        body = b"".join(chunk.data for chunk in row.ready)
        self._start(start, row, len(body))
        self._delivered = True
        self._node.forget(self._waiter)
        return iter((body,))

    def _stream(self, row: RequestRow) -> Iterator[bytes]:
        while True:
            while row.ready:
                parts = list(row.ready)
                row.ready.clear()
                data = b"".join(chunk.data for chunk in parts)
                yield data
                self._count_taken(row, len(parts), len(data))
            if row.phase is Phase.DONE and not row.ready:
                break
            if not self._wait():
                return
        self._delivered = True
        if row.refusal is not None:
            yield from self._broken(row, row.refusal)

    def _count_taken(self, row: RequestRow, chunks: int, size: int) -> None:
        self._taken += chunks
        if row.phase is not Phase.DONE:
            taken = Taken(row.rid, row.caller, self._taken, size)
            self._node.ticker.put_later("", taken)

    def _broken(self, row: RequestRow, refusal: Refusal) -> Iterator[bytes]:
        """Send the caller of a stream an error event, and break off the response."""
        if self._event_stream:
            yield b"event: error\ndata: " + error_body(refusal, row.rid) + b"\n\n"
        raise AbortError(refusal.reason.value)

    def _advise(self, refusal: Refusal) -> Refusal:
        """Remove the retry delay from a refusal if a second run could do harm."""
        if self._repeatable or refusal.verdict is Verdict.NOT_RUN:
            return refusal
        return refusal._replace(retry_after_s=None)

    def _close(self) -> None:
        if not self._delivered:
            self._leave(Reason.CALLER_GONE)
        self._node.forget(self._waiter)

    def _leave(self, reason: Reason) -> None:
        gone = CallerGone(self._waiter.rid, self._waiter.caller, reason)
        self._node.ticker.put("", gone)
        self._node.forget(self._waiter)


class _Body:
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
