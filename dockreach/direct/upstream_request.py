"""One upstream request: its slot, its connection, and what arrives of its response."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from .attempt import Placement
from .context import Context
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow, EventGapMeter
from .event_run import EventRun
from .event_stream import CONTENT_TYPE, EventSplitter, StreamEvent
from .http1 import (
    RawHead,
    ResponseEnd,
    ResponseError,
    ResponseLimit,
    ResponseLimitError,
    end_to_end,
)
from .jobs import Job
from .liveness import SETTLE_S, STREAM_SETTLE_S, LivenessCheck
from .notice import InvalidValue
from .pool import MAX_IDLE_CONNECTIONS
from .quarantine import HARMLESS_EVENTS, HARMLESS_RUN_S
from .requests import ExecutionStatus, Header, InboundRequest, ResponseHead

MAX_BUFFERED_BYTES = 1 << 20
"""Responses up to this size are buffered whole before they are passed on, so that the
request can be retried if one is truncated."""


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events of a stream.

    Attributes:
        head: Head of the response.
        is_first: Whether no events of this response came before.
        at: Monotonic time at which they were received, in seconds.
    """

    head: RawHead
    events: list[StreamEvent]
    is_first: bool
    at: float


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """The end of a complete stream.

    Attributes:
        head: Head of the response.
        remainder: Bytes after its last event.
    """

    head: RawHead
    remainder: bytes


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """A complete response that is not a stream."""

    head: RawHead
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRunResponse:
    """The endpoint reports that it has not run the request.

    Attributes:
        is_complete: Whether the response's body ended.
    """

    status: int
    is_complete: bool


@dataclass(frozen=True, slots=True)
class MisdirectedResponse:
    """Another endpoint uses the address now; it has not run the request."""


Item = EventBatch | StreamEnd | PlainResponse | NotRunResponse | MisdirectedResponse


class UpstreamRequest:
    """A request as sent to one endpoint.

    Reading may stop at any time without an item, and go on later: nothing is lost.

    Args:
        ctx: State shared by all requests of the entry.
        req: The caller's request.
        job: The job that holds the slot.
        row: The endpoint of the slot.
        placement: Why it is sent there.
        max_idle: Maximum number of idle connections to the endpoint.

    Attributes:
        sent_at: Monotonic time at which it was sent, in seconds; minus infinity before.
        last_data_at: Monotonic time of the last data of the response, in seconds.
        progressed_at: Monotonic time at which it was sent, or at which the head, the last
            part of a plain body or the last complete event was received, in seconds.
        silence_noted_at: Monotonic time at which its silence was last dealt with, in
            seconds; infinite if nothing can be done about it.
        first_event_at: Monotonic time of the first event, in seconds.
        events: The events that were received.
        has_proven_parts: Whether it was recorded that its prompt's parts are harmless.
        pace: Measures the interval between its events.
        result: What was read ahead: the next item, or why there is none.
        end: How the end of the response is known; ``None`` before it was read.
        goes_on: Whether it was sent to go on after events that the caller has.
        elsewhere_s: Time after which another endpoint would have sent something when this
            request was prepared, in seconds.
    """

    def __init__(
        self,
        ctx: Context,
        req: InboundRequest,
        job: Job,
        row: EndpointRow,
        placement: Placement,
        *,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._ctx = ctx
        self._req = req
        self.job = job
        self.row = row
        self.placement = placement
        self.sent_at = -math.inf
        self.last_data_at = -math.inf
        self.progressed_at = -math.inf
        self.silence_noted_at = -math.inf
        self.first_event_at: float | None = None
        self.elsewhere_s = 0.0
        self.events = EventRun(placement.endpoint)
        self.has_proven_parts = False
        self.pace = EventGapMeter(row)
        self.result: Item | ResponseError | None = None
        self.end: ResponseEnd | None = None
        self.goes_on = False
        self._max_idle = max_idle
        self._conn: EndpointConnection | None = None
        self._end_check: LivenessCheck | None = None
        self._keep_alive_s: float | None = 0.0
        self._head: ResponseHead | None = None
        self._raw_head = RawHead(0, b"", [])
        self._is_skipping = False
        self._has_skipped = False
        self._has_unclear_refusal = False
        self._splitter = EventSplitter()
        self._body = bytearray()

    @property
    def is_sent(self) -> bool:
        """Whether the request, or a part of it, was sent."""
        return self.sent_at > -math.inf

    @property
    def status(self) -> int:
        """Status of the response; 0 before its head was read."""
        return self._raw_head.status

    @property
    def is_of_other(self) -> bool:
        """Whether the response names another endpoint than the one of the record."""
        return self._head is not None and self._head.names_other

    @property
    def software_version(self) -> str | None:
        """Software version of the process that answers; ``None`` if it is not known."""
        return None if self.is_of_other else self.row.published.software_version

    @property
    def may_be_refused(self) -> bool:
        """Whether all that came is a refusal that may be of an earlier request."""
        return self._has_unclear_refusal and self._head is None

    @property
    def is_connection_reused(self) -> bool:
        """Whether an earlier request was answered on its connection."""
        return self._conn is not None and self._conn.was_reused

    @property
    def _connection(self) -> EndpointConnection:
        if self._conn is None:
            raise ResponseError(f"{self.row.published.address}: not connected")
        return self._conn

    def connect(self, max_idle_s: float | None, carriers: set[EndpointConnection]) -> None:
        """Take a connection from the pool, or open a new one.

        Args:
            max_idle_s: Longest time that a pooled one may have been idle, in seconds.
            carriers: Connections that earlier attempts of the request used, to which this
                one is added. None of them is used again: an extra answer to the earlier
                attempt has the same id.

        Raises:
            ConnectError: No connection could be opened.
        """
        self._conn = self._ctx.pool.get(
            self.row.published.address, max_idle_s=max_idle_s, leave_out=carriers
        )
        carriers.add(self._conn)
        self.row.connections.add(self._conn)

    def send(self, headers: list[Header]) -> None:
        """Send the request.

        Raises:
            ResponseError: The connection broke; a part of the request may have arrived.
        """
        req = self._req
        self.sent_at = self.last_data_at = self.progressed_at = self._ctx.now()
        body = req.body if req.has_body else None
        self._connection.send(req.method, req.target, headers, body)

    def next_item(self, until: float = math.inf) -> Item:
        """Read the next item of the response.

        Args:
            until: Monotonic time until which to wait for it, in seconds.

        Raises:
            SilentError: There is no complete item yet.
            ResponseError: The connection broke, or the response is not valid.
        """
        result, self.result = self.result, None
        if isinstance(result, ResponseError):
            raise result
        return result or self._read_item(until)

    def read_ahead(self, has_news: Callable[[Item], bool] = lambda _: True) -> None:
        """Read the next item, which `next_item` will return; may be killed meanwhile.

        Args:
            has_news: Returns whether to stop at an item; others are dropped.
        """
        try:
            item = self._read_item(math.inf)
            while not has_news(item):
                # The first item that is passed on counts as the first one.
                self.first_event_at = None
                item = self._read_item(math.inf)
            self.result = item
        except ResponseError as exc:
            self.result = exc

    def _read_item(self, until: float) -> Item:
        self._connection.read_until = until
        if self._head is None:
            self._head = self._read_own_head()
            head = self._head
            self._raw_head = RawHead(head.status, head.reason, end_to_end(head.headers))
        if self._head.execution_status is ExecutionStatus.RAN and _is_stream(self._head):
            return self._next_of_stream(self._head, until)
        if self._head.execution_status is not ExecutionStatus.RAN:
            return self._drain_refusal(self._head)
        body = self._read_body()
        self._prove_end(until)
        self._keep_alive_s = self._head.keep_alive_s
        return PlainResponse(self._raw_head, body)

    def _drain_refusal(self, head: ResponseHead) -> NotRunResponse | MisdirectedResponse:
        """Act on the head of a refusal, whatever becomes of its body."""
        is_complete = self._connection.drain_body()
        self._keep_alive_s = head.keep_alive_s
        if head.execution_status is ExecutionStatus.MISDIRECTED:
            return MisdirectedResponse()
        return NotRunResponse(head.status, is_complete)

    def _read_own_head(self) -> ResponseHead:
        conn = self._connection
        while True:
            if self._is_skipping:
                conn.skip_response()
                self._is_skipping = False
            head = self._ctx.adapter.read_response(conn.read_head(), self.row.id)
            self.last_data_at = self.progressed_at = self._ctx.now()
            # For a late response to another request, the send time is not known.
            is_own = head.rid == self._req.rid if head.rid else self._is_first_response
            self._ctx.notices.apply_notice(
                self.row,
                head.notice,
                request_sent_at=self.sent_at if is_own else -math.inf,
                rid=head.rid,
            )
            is_refusal = head.execution_status is not ExecutionStatus.RAN
            self._has_unclear_refusal |= not head.rid and not is_own
            if not head.rid and not is_refusal:
                raise ResponseError(f"{conn.address}: response without a request id")
            if is_own:
                self._record_load(head)
                return head
            self._ctx.counters.late_answers += 1
            self._is_skipping = self._has_skipped = True

    @property
    def _is_first_response(self) -> bool:
        """Whether the connection has carried no response before, and no other request.

        Only then is a response without an id certainly the one to this request.
        """
        return not self._connection.was_reused and not self._has_skipped

    def _record_load(self, head: ResponseHead) -> None:
        """Record the load that an endpoint reports in the head of its own response."""
        if head.is_misdirection or head.load is None:
            return
        if isinstance(head.load, InvalidValue):
            self._ctx.counters.invalid_loads += 1
            self._ctx.notices.log_invalid_load(self.row, head.load)
            return
        self._ctx.endpoints.record_load(self.row, head.load, self._ctx.now())
        self._ctx.scheduler.record_load(self.row)

    def _read_body(self) -> bytes:
        conn = self._connection
        while (data := conn.read_data()) is not None:
            self.last_data_at = self.progressed_at = self._ctx.now()
            self._body += data
            if len(self._body) > MAX_BUFFERED_BYTES:
                raise ResponseLimitError(
                    ResponseLimit.BODY,
                    f"{conn.address}: response over {MAX_BUFFERED_BYTES} bytes",
                )
        return bytes(self._body)

    def _prove_end(self, until: float, settle_s: float = SETTLE_S) -> None:
        """Find out whether a response whose reading has ended is complete.

        Args:
            until: Monotonic time until which to wait, in seconds.
            settle_s: How long to watch a new connection to the endpoint, in seconds.

        Raises:
            SilentError: That is not known yet.
            ResponseError: The endpoint may have ended in mid-response.
        """
        conn = self._connection
        if not conn.is_framed:
            # The endpoint works on it no longer, whatever the check will show.
            self._ctx.scheduler.release_slot(self.job)
            if self._end_check is None:
                self._end_check = self._ctx.liveness.begin(
                    self.row, self._max_idle, settle_s=settle_s
                )
            problem = self._end_check.wait(until).problem
            if problem:
                self._ctx.counters.unproven_ends += 1
                raise ResponseError(f"response without a length may be cut: {problem}")
        self.end = conn.response_end

    def _next_of_stream(self, head: ResponseHead, until: float) -> EventBatch | StreamEnd:
        conn = self._connection
        while (data := conn.read_data()) is not None:
            now = self.last_data_at = self._ctx.now()
            events = self._splitter.feed(data)
            if not events:
                continue
            self.progressed_at = now
            is_first = self.first_event_at is None
            if self.first_event_at is None:
                self.first_event_at = now
            self.events.record(events)
            return EventBatch(self._raw_head, events, is_first, now)
        if self._splitter.is_inside_event:
            raise ResponseError(f"{conn.address}: stream ended within an event")
        self._prove_end(until, STREAM_SETTLE_S)
        self._keep_alive_s = head.keep_alive_s
        return StreamEnd(self._raw_head, self._splitter.remainder)

    def has_run_without_harm(self, now: float) -> bool:
        """Return whether the stream has run for a while without a crash."""
        ran_s = now - self.first_event_at if self.first_event_at is not None else 0.0
        return self.events.event_count >= HARMLESS_EVENTS or ran_s >= HARMLESS_RUN_S

    def close(self, max_idle: int) -> None:
        """Release the slot, and pool the connection if its response was read completely.

        Args:
            max_idle: Maximum number of idle connections to the endpoint.
        """
        conn, self._conn = self._conn, None
        try:
            if conn is not None:
                self.row.connections.discard(conn)
                self._ctx.pool.put(conn, self._keep_alive_s, max_idle)
        finally:
            self._ctx.scheduler.release_slot(self.job)


def _is_stream(head: ResponseHead) -> bool:
    types = [value for name, value in head.headers if name.lower() == b"content-type"]
    return head.status == 200 and any(CONTENT_TYPE in value for value in types)
