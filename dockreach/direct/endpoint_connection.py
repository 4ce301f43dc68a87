"""The client side of a connection: requests to an endpoint and its responses."""

from __future__ import annotations

import contextlib
import enum
import math
from http import HTTPStatus
from typing import Any

import eventlet
import h11
from eventlet.green import socket
from eventlet.hubs import trampoline

from .. import clock
from .http1 import (
    CONTROL_CHARACTER,
    LOST_PEER_TIMEOUT_MS,
    SLOW_READER_TIMEOUT_MS,
    ConnectError,
    LoopShare,
    RawHead,
    ResponseEnd,
    ResponseError,
    ResponseLimit,
    ResponseLimitError,
    SilentError,
    receive,
    set_send_timeout,
    set_socket_options,
)
from .message_parser import MessageParser
from .requests import Header

MAX_INLINE_BYTES = 8192
"""Requests up to this size are written before the response is read. Longer ones may fill
the connection's window, and an endpoint may respond before it has read them."""

MAX_WINDOW_BYTES = 65_535
"""Largest receive window without window scaling. A longer request may have to wait until
its endpoint reads, which is no sign that the endpoint has lost power."""

MAX_RESPONSE_HEAD_BYTES = 65536
"""Largest head of a response."""

MAX_INTERIM_RESPONSES = 32
"""Most interim responses (1xx) before a response."""

MAX_LATE_RESPONSES = 8
"""Most late responses to earlier requests before the response to a request."""

MAX_SKIPPED_BYTES = 1 << 20
"""Most bytes of their bodies."""

MAX_DRAINED_BYTES = 65536
"""Most bytes of a body that are read only to reuse the connection."""

DRAIN_TIMEOUT_S = 0.05
"""Longest time for that, in seconds: the body of a refusal comes with its head."""

MAX_STATUS = 599
"""Highest status of a response."""

MAX_PROBLEM_CHARACTERS = 200
"""Length of the description of a broken response, which may contain a part of it."""


_TCP_ESTABLISHED = b"\x01"
"""State of an open connection, the first byte of `tcp_info` in Linux."""

_TOO_LARGE = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class IdleState(enum.Enum):
    """State of a connection on which no response is due."""

    OPEN = enum.auto()
    RESET = enum.auto()
    ENDED = enum.auto()
    """Closed in order, or with bytes that belong to no request."""


class EndpointConnection:
    """The client side of a connection.

    Args:
        address: IP address and port.
        connect_timeout_s: Connect timeout, in seconds.

    Raises:
        ConnectError: The connection could not be opened.
    """

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        ip, _, port = address.rpartition(":")
        self.address = address
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.settimeout(connect_timeout_s)
            self._sock.connect((ip, int(port)))
            self._sock.settimeout(None)
            set_socket_options(self._sock, send_timeout_ms=LOST_PEER_TIMEOUT_MS)
        except OSError as exc:
            self._sock.close()
            raise ConnectError(f"{address}: {exc}") from exc
        self._parser = _new_parser()
        self._request = h11.Request(method="GET", target="/", headers=[("Host", "-")])
        self._writer: Any = None
        self._send_timeout_ms = LOST_PEER_TIMEOUT_MS
        self._is_written = True
        self.response_end = ResponseEnd.LENGTH
        """How the end of the response that is read will be known."""
        self.was_reused = False
        """Whether an earlier request on this connection was answered."""
        self.read_until = math.inf
        """Monotonic time until which reads wait for data, in seconds; then they raise
        `SilentError`, and may be repeated."""
        self._is_aborted = False
        self._write_error: OSError | None = None
        self._late_responses = 0
        self._skipped_bytes = 0
        self._share = LoopShare()

    def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes | None
    ) -> None:
        """Send a request; a long one is still being written while the response is read.

        Args:
            method: The request's method.
            target: Path and query.
            headers: Headers without those for framing.
            body: The body; ``None`` if the request has none.

        Raises:
            ResponseError: The connection broke; a part of the request may have arrived.
        """
        if body is not None:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._request = h11.Request(method=method, target=target, headers=headers)
        http = self._parser.http
        parts = [http.send(self._request) or b""]
        if body:
            parts.append(http.send(h11.Data(data=body)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        size = sum(map(len, parts))
        self._is_written = False
        self._set_send_timeout(size)
        if size > MAX_INLINE_BYTES:
            # Views, so that no copy of a long body is made.
            self._writer = eventlet.spawn(
                self._write, *[memoryview(part) for part in parts]
            )
            return
        self._write(b"".join(parts))
        if not self._is_written:
            problem = f"{self.address}: connection broke while sending"
            raise ResponseError(problem) from self._write_error

    def _set_send_timeout(self, size: int) -> None:
        """Set how long an endpoint may leave a request of this many bytes unread."""
        timeout_ms = (
            SLOW_READER_TIMEOUT_MS if size > MAX_WINDOW_BYTES else LOST_PEER_TIMEOUT_MS
        )
        if timeout_ms == self._send_timeout_ms:
            return
        try:
            set_send_timeout(self._sock, timeout_ms)
        except OSError as exc:
            raise ResponseError(f"{self.address}: {exc}") from exc
        self._send_timeout_ms = timeout_ms

    def _write(self, *parts: bytes | memoryview) -> None:
        try:
            for part in parts:
                self._sock.sendall(part)
            self._is_written = True
        except OSError as exc:
            # The reader finds the broken connection, or a response that was sent early.
            self._is_written = False
            self._write_error = exc

    def set_read_timeout(self, seconds: float | None) -> None:
        """Set the read timeout; ``None`` waits forever."""
        self._sock.settimeout(seconds)

    def read_head(self) -> RawHead:
        """Read the head of the next response.

        Raises:
            ResponseError: The connection broke, the data is not HTTP/1, or there are too
                many interim responses (1xx).
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = self._next_event()
            if isinstance(event, h11.Response | h11.InformationalResponse):
                self._check_status_line(event)
            if isinstance(event, h11.Response):
                self.response_end = _end_of(event, self._request.method)
                return RawHead(event.status_code, event.reason, event.headers.raw_items())
            if not isinstance(event, h11.InformationalResponse):
                raise ResponseError(f"{self.address}: closed without a response")
        raise self._limit_error(
            ResponseLimit.INTERIM_RESPONSES,
            f"over {MAX_INTERIM_RESPONSES} interim responses",
        )

    def _check_status_line(self, head: h11.Response | h11.InformationalResponse) -> None:
        """Check what h11 accepts beyond the protocol (RFC 9110, section 15; RFC 9112, 4).

        Raises:
            ResponseError: The version, the status or the reason phrase is not valid.
        """
        if not bytes(head.http_version).startswith(b"1."):
            problem = f"version {head.http_version!r}"
        elif head.status_code > MAX_STATUS:
            problem = f"status {head.status_code}"
        elif CONTROL_CHARACTER.search(head.reason):
            problem = f"reason phrase {bytes(head.reason)[:MAX_PROBLEM_CHARACTERS]!r}"
        else:
            return
        raise ResponseError(f"{self.address}: response with an invalid {problem}")

    def read_data(self) -> bytes | None:
        """Read a part of the body; ``None`` at its end.

        Raises:
            ResponseError: The body was truncated.
        """
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def read_body(self, max_bytes: int) -> bytes:
        """Read a complete body.

        Args:
            max_bytes: Maximum size of the body.

        Raises:
            ResponseError: The body was truncated, or is too large.
        """
        body = bytearray()
        while (data := self.read_data()) is not None:
            body += data
            if len(body) > max_bytes:
                raise self._limit_error(
                    ResponseLimit.BODY, f"response over {max_bytes} bytes"
                )
        return bytes(body)

    def drain_body(self) -> bool:
        """Read a body that is not used, so that the connection can be reused.

        A body that is long, slow or truncated is given up: the head has said everything,
        and `make_reusable` rejects the connection.

        Returns:
            Whether the body was complete.
        """
        size = 0
        with eventlet.Timeout(DRAIN_TIMEOUT_S, False):
            while size <= MAX_DRAINED_BYTES:
                try:
                    data = self.read_data()
                except (ResponseError, SilentError):
                    return False
                if data is None:
                    return True
                size += len(data)
        return False

    def skip_response(self) -> None:
        """Skip the body of a late response to an earlier request.

        The HTTP state starts anew as if the current request had just been sent.

        Raises:
            ResponseError: The body was truncated, or there are too many late responses or
                too many bytes of them.
        """
        if self._late_responses >= MAX_LATE_RESPONSES:
            raise self._limit_error(
                ResponseLimit.LATE_RESPONSES, f"over {MAX_LATE_RESPONSES} late responses"
            )
        while (data := self.read_data()) is not None:
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise self._limit_error(
                    ResponseLimit.LATE_RESPONSES,
                    f"over {MAX_SKIPPED_BYTES} bytes of late responses",
                )
        self._late_responses += 1
        late = self._parser
        self._parser = _new_parser()
        dummy = h11.Request(
            method=self._request.method, target="/", headers=[("Host", "-")]
        )
        self._parser.http.send(dummy)
        self._parser.http.send(h11.EndOfMessage())
        self._parser.receive_rest_of(late)

    @property
    def is_framed(self) -> bool:
        """Whether the response's end can be distinguished from that of the connection."""
        return self.response_end is not ResponseEnd.CLOSED

    def _next_event(self) -> Any:  # noqa: ANN401
        try:
            while True:
                self._share.begin_step()
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(self._receive())
        except (h11.RemoteProtocolError, OSError) as exc:
            problem = str(exc)[:MAX_PROBLEM_CHARACTERS]
            if getattr(exc, "error_status_hint", None) == _TOO_LARGE:
                raise self._limit_error(ResponseLimit.HEAD, problem) from exc
            raise ResponseError(f"{self.address}: {problem}") from exc

    def _limit_error(self, limit: ResponseLimit, problem: str) -> ResponseLimitError:
        return ResponseLimitError(limit, f"{self.address}: {problem}")

    def _receive(self) -> bytes:
        data = self._receive_until()
        if not data and self._write_error is not None and not self.is_framed:
            # The kernel tells of a reset once, and the writer may have been told.
            raise ResponseError(f"{self.address}: connection broke while sending")
        if self._is_aborted:
            # A response without a length would otherwise seem to be complete here.
            raise ResponseError(f"{self.address}: the endpoint's incarnation has ended")
        return data

    def _receive_until(self) -> bytes:
        if self.read_until == math.inf:
            return receive(self._sock, share=self._share)
        left_s = max(self.read_until - clock.now(), 0.0)
        try:
            return receive(self._sock, left_s, share=self._share)
        except TimeoutError as exc:
            if exc.errno is not None:
                # The kernel has given the connection up.
                raise
            raise SilentError(f"{self.address}: {exc}") from exc

    def abort(self) -> None:
        """Make a read of the response fail at once; safe to call from another greenlet."""
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The socket is closed already, so the read has failed.
            return

    def make_reusable(self) -> bool:
        """Prepare for another request; return whether the connection can be reused."""
        if self._is_aborted:
            return False
        http = self._parser.http
        both_done = (http.our_state, http.their_state) == (h11.DONE, h11.DONE)
        if not both_done or not self._is_written or self._parser.has_remainder:
            return False
        http.start_next_cycle()
        self._late_responses = self._skipped_bytes = 0
        self.was_reused = True
        return True

    def is_open_and_idle(self) -> bool:
        """Return whether an idle connection is open and has received nothing."""
        return self.idle_state() is IdleState.OPEN

    def idle_state(self) -> IdleState:
        """Return the state of an idle connection; a reset is told of once."""
        raw_sock = self._sock.fd
        raw_sock.setblocking(False)
        try:
            raw_sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return IdleState.OPEN
        except OSError:
            return IdleState.RESET
        return IdleState.ENDED

    def is_established(self) -> bool:
        """Return whether neither side has closed it; may be called beside its reader.

        A read would take the error of a reset away from the reader.
        """
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False
        return bytes(info)[:1] == _TCP_ESTABLISHED

    def watch_idle(self, seconds: float) -> IdleState:
        """Return the state of an idle connection once it is open no longer, or later.

        Args:
            seconds: How long to watch one that stays open.
        """
        # The state tells whether something has come, also while the event loop was busy.
        with contextlib.suppress(TimeoutError):
            trampoline(self._sock.fd, read=True, timeout=seconds, timeout_exc=TimeoutError)
        return self.idle_state()

    def close(self) -> None:
        """Close the connection, which also stops its request at the endpoint."""
        try:
            if self._writer is not None:
                # Gives the event loop back, so that this may be interrupted.
                self._writer.kill()
        finally:
            self._sock.close()


def _end_of(head: h11.Response, method: bytes) -> ResponseEnd:
    """Return how the end of a response will be known (RFC 9112, section 6.3)."""
    if method == b"HEAD" or head.status_code in (204, 304):
        return ResponseEnd.LENGTH
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names:
        return ResponseEnd.CHUNK
    return ResponseEnd.LENGTH if b"content-length" in names else ResponseEnd.CLOSED


def _new_parser() -> MessageParser:
    return MessageParser(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
