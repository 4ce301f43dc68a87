"""The server side of a connection: a caller's requests and the responses to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import h11
from eventlet import patcher
from eventlet.green import socket

from .. import clock
from ..errors import CallerGoneError, ConnectionEvictedError
from .caller_memory import SMALL_BODY_BYTES, CallerMemory
from .http1 import (
    RECV_BYTES,
    SLOW_READER_TIMEOUT_MS,
    BadRequestError,
    LoopShare,
    RawHead,
    RawRequest,
    receive,
    reset,
    set_reset_on_close,
    set_socket_options,
)
from .memory_plan import CONNECTION_BYTES, HEADER_LINE_BYTES, REQUEST_BYTES
from .memory_room import NoRoomError, Reservation
from .message_parser import MessageParser
from .patience import HONOURED_FRACTION
from .requests import Header
from .routing_config import CallerLimits
from .stalled_callers import Activity, Progress

MAX_PIPELINED_BYTES = SMALL_BODY_BYTES
"""Bytes that are buffered of what a caller pipelines; the rest stays in the socket. A small
request behind the current one is whole with them, so that a stop can wait for it."""

MESSAGE_BYTES = REQUEST_BYTES + RECV_BYTES
"""Room that a request needs until its head has been read."""

MAX_TURN_BYTES = 1 << 17
"""Bytes that are read from one caller before the event loop is given back. More than from
an endpoint: bodies of requests are not split into events."""

MAX_LATE_BYTES = 1 << 20
"""Bytes that are still read of a request after its header timeout: they may have come in
time, while the event loop was busy."""

HANG_UP_POLL_INTERVAL_S = 0.1
"""Interval at which a connection that is not read is checked for its end, in seconds."""

LINGER_S = 1.0
"""Longest time for which a connection whose last response was sent waits for the caller to
close it, in seconds."""

MAX_LINGER_BYTES = 8 << 20
"""Bytes that are read and dropped in that time."""

_select = patcher.original("select")
_HANG_UP_EVENTS = _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR


def _reserve_nothing(size: int, headers: list[Header]) -> None:
    """Reserve no room: the memory for bodies is not bounded."""
    del size, headers


class _MessageGate:
    """Lets the first bytes of a request be read once there is room for its head.

    Args:
        memory: The rooms for what callers send; ``None`` if they are not bounded.
        max_wait_s: Longest wait for room, in seconds.
        progress: Of the connection.
    """

    def __init__(
        self, memory: CallerMemory | None, max_wait_s: float, progress: Progress
    ) -> None:
        self._memory = memory
        self._max_wait_s = max_wait_s
        self._progress = progress
        self.reservation: Reservation | None = None

    @property
    def is_open(self) -> bool:
        """Whether the request may be read now."""
        if self._memory is None or self.reservation is not None:
            return True
        return self._memory.input.may_reserve(MESSAGE_BYTES)

    def wait(self) -> None:
        """Wait until there is room.

        Raises:
            NoRoomError: There was none in time.
        """
        if self._memory is None:
            return
        idle_activity = self._progress.activity
        self._progress.begin(Activity.WAITING, clock.now())
        self.reservation = self._memory.input.reserve(MESSAGE_BYTES, self._max_wait_s)
        self._progress.begin(idle_activity, clock.now())


class CallerConnection:
    """The server side of a connection.

    Args:
        sock: The accepted socket.
        limits: Returns the size and time limits in force. Each request has those of
            its first byte.
        reserve_body: Reserves room for a body, by its largest size in bytes and the
            headers of its request; may wait, and raise `NoRoomError`.
        memory: The rooms in which everything else is counted; ``None`` if they are not
            bounded.

    Attributes:
        progress: How the connection gets on.
    """

    def __init__(
        self,
        sock: Any,  # noqa: ANN401
        limits: Callable[[], CallerLimits],
        *,
        reserve_body: Callable[[int, list[Header]], Reservation | None] = _reserve_nothing,
        memory: CallerMemory | None = None,
    ) -> None:
        self._sock = sock
        self._reserve_body = reserve_body
        self._reservation: Reservation | None = None
        self._memory = memory
        self.progress = Progress(Activity.NEW, clock.now(), clock.now())
        self._find_limits = limits
        self._limits = limits()
        self._parser = _new_parser(self._limits)
        self._share = LoopShare(MAX_TURN_BYTES)
        self.pipelined_bytes = 0
        """Bytes that were received behind the current request."""
        self._method = b""
        self._late_bytes = 0
        self._head_bytes = 0
        self.is_idle = True
        self.is_closing = False
        """Whether the next response announces that the connection will be closed."""
        self.is_draining = False
        """Whether a response does so behind which no whole request has been received."""
        self.head_sent = False
        self.is_complete = False
        self.sent_bytes = 0
        """Bytes of the current response that were sent, its framing included."""
        self.headers: list[Header] = []
        """Headers of the current request; empty until they were read."""
        self.received_at: float | None = None
        """Monotonic time at which the current request was read whole, in seconds; ``None``
        before that."""
        self.is_accounted = False
        """Whether whoever serves the current request logs how it ends."""
        self.linger_s = LINGER_S
        """Longest time for which the end waits for the caller to close, in seconds."""
        self.has_idled = False
        """Whether no request came in the idle timeout."""
        set_socket_options(sock, send_timeout_ms=SLOW_READER_TIMEOUT_MS)
        self._held = memory.open_connection() if memory else None

    @property
    def _http(self) -> h11.Connection:
        return self._parser.http

    def read_request(self) -> RawRequest | None:
        """Read a complete request.

        Returns:
            The request; ``None`` if the caller closed the connection, or sent nothing
            until the idle timeout.

        Raises:
            BadRequestError: The request is malformed, too large or too slow.
            NoRoomError: There is no room for its head or its body.
        """
        self.release_body()
        self.is_idle = True
        if self.progress.activity is not Activity.NEW:
            self.progress = Progress(Activity.RESTED, clock.now(), clock.now())
        self._count_held(self._parser.pending_bytes)
        self.head_sent = False
        self.is_complete = False
        self.sent_bytes = 0
        self.headers = []
        self.received_at = None
        self.is_accounted = False
        self._late_bytes = 0
        if not self._await_first_byte():
            return None
        self.is_idle = False
        self._limits = self._find_limits()
        self._restart_parser()
        try:
            return self._read_message()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(exc.error_status_hint, str(exc)) from exc
        except TimeoutError as exc:
            raise BadRequestError(408, "too slow") from exc
        except OSError:
            return None

    def _count_held(self, size: int) -> None:
        """Count the bytes that the connection holds, beside its body and itself."""
        if self._held is not None:
            self._held.resize(CONNECTION_BYTES + size)

    def _check_room(self) -> None:
        """Give up a request that is read although the room is far exceeded.

        Raises:
            NoRoomError: It is.
        """
        if self._memory is not None and self._memory.input.is_overdrawn:
            raise self._memory.input.refuse(MESSAGE_BYTES)

    def _await_first_byte(self) -> bool:
        if self._parser.has_remainder:
            return True
        limits = self._find_limits()
        gate = _MessageGate(
            self._memory, HONOURED_FRACTION * limits.header_timeout_s, self.progress
        )
        try:
            return self._await_byte(gate)
        finally:
            if gate.reservation is not None:
                self._count_held(MESSAGE_BYTES)
                gate.reservation.release()

    def _await_byte(self, gate: _MessageGate) -> bool:
        idle_since = clock.now()
        # The idle timeout may be raised meanwhile.
        while not self.has_idled:
            left_s = idle_since + self._find_limits().idle_timeout_s - clock.now()
            try:
                data = receive(self._sock, max(left_s, 0.0), share=self._share, gate=gate)
            except TimeoutError:
                self.has_idled = left_s <= 0
            except OSError:
                return False
            else:
                if data:
                    self._parser.receive_data(data)
                return bool(data)
        return False

    @property
    def has_input(self) -> bool:
        """Whether the caller has sent what was not read yet, or has disconnected."""
        try:
            self._sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _restart_parser(self) -> None:
        """Parse what was received by a new parser, which has the current limits."""
        last = self._parser
        self._parser = _new_parser(self._limits)
        self._parser.receive_rest_of(last)

    def _read_message(self) -> RawRequest | None:
        deadline = clock.now() + self._limits.header_timeout_s
        self.progress = Progress(
            Activity.READING,
            clock.now(),
            clock.now(),
            received=self._parser.unparsed_head_bytes,
            expected=self._limits.header_bytes,
            deadline=deadline,
        )
        self._count_held(REQUEST_BYTES + self._parser.unparsed_head_bytes)
        self._check_room()
        head: h11.Request | None = None
        body = bytearray()
        while True:
            self._share.begin_step()
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                if not self._receive(deadline):
                    return None
                if head is None:
                    self._count_held(REQUEST_BYTES + self._parser.unparsed_head_bytes)
                    self._check_room()
            elif isinstance(event, h11.Request):
                head = event
                deadline = self._begin_body(head, deadline)
            elif isinstance(event, h11.Data):
                body += event.data
                deadline = self._check_body(len(body), deadline)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._end_message(len(body))
                return _raw_request(head, bytes(body))
            else:
                return None

    def _begin_body(self, head: h11.Request, deadline: float) -> float:
        """Check the head, and reserve room for the body that it announces.

        Args:
            head: The head.
            deadline: Monotonic time until which the request must be whole, in seconds.

        Returns:
            The deadline without the time in which nothing was read.
        """
        self._method = head.method
        self.headers = head.headers.raw_items()
        self._check_framing(head)
        if head.method == b"CONNECT":
            raise BadRequestError(501, "CONNECT is not supported")
        self._head_bytes = REQUEST_BYTES + _held_by(self.headers)
        self._count_held(self._head_bytes + RECV_BYTES)
        self._check_room()
        size = self._first_body_bytes(head)
        return self._reserve_room(size, self._parser.unparsed_head_bytes, deadline)

    def _check_body(self, received: int, deadline: float) -> float:
        """Check the size of a body that is read; reserve more room if it needs that.

        Args:
            received: Bytes of the body that were received.
            deadline: Monotonic time until which it must be whole, in seconds.

        Returns:
            The deadline without the time in which nothing was read.
        """
        if received > self._limits.body_bytes:
            raise BadRequestError(413, "body too large")
        if self._reservation is None or received <= self._reservation.size:
            return deadline
        return self._reserve_room(self._limits.body_bytes, received, deadline)

    def _end_message(self, body_bytes: int) -> None:
        """Count what is held of a request that is whole."""
        self.received_at = clock.now()
        self.progress.begin(Activity.SERVED, self.received_at)
        self.pipelined_bytes = self._parser.pending_bytes
        self._count_held(self._head_bytes + self.pipelined_bytes)
        if self._reservation is not None:
            self._reservation.shrink(body_bytes)

    def _first_body_bytes(self, head: h11.Request) -> int:
        """Return the room that a body needs when it begins: its length, if that is known.

        Raises:
            BadRequestError: Its length is over the limit.
        """
        for name, value in head.headers:
            if name == b"content-length":
                if int(value) > self._limits.body_bytes:
                    raise BadRequestError(413, "body too large")
                return int(value)
            if name == b"transfer-encoding":
                return min(self._limits.body_bytes, SMALL_BODY_BYTES)
        return 0

    def _reserve_room(self, size: int, received: int, deadline: float) -> float:
        """Reserve room for a body, in place of less that is reserved already.

        Args:
            size: Its size, or the largest that it can have, in bytes.
            received: Bytes of it that were received already.
            deadline: Monotonic time until which it must be whole, in seconds.

        Returns:
            The deadline without the time in which nothing was read.

        Raises:
            NoRoomError: There was no room in time.
        """
        if not size:
            return deadline
        asked_at = clock.now()
        if size <= RECV_BYTES and self._memory is not None:
            # The room for the head includes that of one read.
            reservation: Reservation | None = self._memory.input.hold(size)
        else:
            reservation = self._wait_for_room(size)
        self.release_body()
        self._reservation = reservation
        now = clock.now()
        deadline += now - asked_at
        self.progress = Progress(
            Activity.READING,
            now,
            now,
            received=received,
            expected=size,
            deadline=deadline,
        )
        return deadline

    def _wait_for_room(self, size: int) -> Reservation | None:
        self.progress = Progress(Activity.WAITING, clock.now(), clock.now(), expected=size)
        try:
            return self._reserve_body(size, self.headers)
        except NoRoomError:
            # The caller reads the refusal once it has sent its whole body.
            self.linger_s = max(LINGER_S, self._limits.header_timeout_s)
            raise

    @property
    def holds_large_body(self) -> bool:
        """Whether there is room for a large body that the current request may have."""
        return self._reservation is not None and self._reservation.size > SMALL_BODY_BYTES

    def release_body(self) -> None:
        """Give back the room for the body of the last request, which must not be used."""
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            reservation.release()

    def _receive(self, deadline: float) -> bool:
        if self._http.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._sock.sendall(self._http.send(response))
        left_s = deadline - clock.now()
        if left_s <= 0 and self._late_bytes >= MAX_LATE_BYTES:
            raise TimeoutError
        data = receive(self._sock, max(left_s, 0.0), share=self._share)
        if left_s <= 0:
            self._late_bytes += len(data)
        self.progress.hear(len(data), clock.now())
        self._parser.receive_data(data)
        return bool(data)

    def _check_framing(self, head: h11.Request) -> None:
        """Refuse ambiguous framing, which an intermediary may parse differently."""
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
        if names.count(b"host") > 1:
            raise BadRequestError(400, "more than one Host header")

    def wait_for_disconnect(self) -> None:
        """Read until the caller closes the connection; buffer pipelined data."""
        while True:
            if not self._may_pipeline:
                if self.has_hung_up():
                    return
                eventlet.sleep(HANG_UP_POLL_INTERVAL_S)
                continue
            try:
                data = receive(self._sock, share=self._share)
            except OSError:
                return
            if not data:
                return
            self._buffer_pipelined(data)

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed the connection; buffer pipelined data."""
        raw_sock = self._sock.fd
        while self._may_pipeline:
            try:
                data = raw_sock.recv(RECV_BYTES)
            except BlockingIOError:
                return False
            except OSError:
                return True
            if not data:
                return True
            self._buffer_pipelined(data)
        return self.has_hung_up()

    def has_hung_up(self) -> bool:
        """Return whether the connection has ended, without reading from it."""
        poll = _select.poll()
        poll.register(self._sock.fileno(), _HANG_UP_EVENTS)
        return bool(poll.poll(0))

    @property
    def _may_pipeline(self) -> bool:
        """Whether more is read behind the current request; the rest stays in the socket."""
        if self._memory is not None and self._memory.input.is_short:
            return False
        return self.pipelined_bytes < MAX_PIPELINED_BYTES

    def _buffer_pipelined(self, data: bytes) -> None:
        self.pipelined_bytes += len(data)
        self._parser.receive_data(data)
        self._count_held(self._head_bytes + self.pipelined_bytes)

    def send_head(self, head: RawHead) -> None:
        """Send the head of the response.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        headers = list(head.headers)
        if self.is_closing or (self.is_draining and not self._has_pipelined_request()):
            headers.append((b"Connection", b"close"))
        # Raises for a head that HTTP does not allow, which can still be replaced.
        response = h11.Response(
            status_code=head.status, reason=head.reason, headers=headers
        )
        self.head_sent = True
        if self._is_http_1_0:
            # A response without a length ends with its connection, and the kernel closes
            # that in order when this process is killed.
            self._set_reset_on_close(is_on=True)
        self._send(response)

    def _has_pipelined_request(self) -> bool:
        """Return whether a whole request was received behind the current one."""
        if not self._parser.has_remainder:
            return False
        parser = _new_parser(self._limits)
        parser.receive_data(self._parser.remainder)
        try:
            while isinstance(event := parser.next_event(), h11.Request | h11.Data):
                self._share.begin_step()
        except h11.RemoteProtocolError:
            return False
        return isinstance(event, h11.EndOfMessage)

    def send_data(self, data: bytes) -> None:
        """Send a part of the response's body.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        if data:
            self._send(h11.Data(data=data))

    def send_response(self, head: RawHead, body: bytes) -> None:
        """Send a complete response, with its length.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        length = (b"Content-Length", str(len(body)).encode())
        self.send_head(RawHead(head.status, head.reason, [*head.headers, length]))
        self.send_data(b"" if self._method == b"HEAD" else body)
        self.end()

    def end(self) -> None:
        """Mark the response as complete.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        self._send(h11.EndOfMessage())
        if self._is_http_1_0:
            self._set_reset_on_close(is_on=False)
        self.is_complete = True

    @property
    def _is_http_1_0(self) -> bool:
        version = self._http.their_http_version
        return version is not None and version < b"1.1"

    def _set_reset_on_close(self, *, is_on: bool) -> None:
        try:
            set_reset_on_close(self._sock, is_on=is_on)
        except OSError as exc:
            raise CallerGoneError(f"caller closed its connection: {exc}") from exc

    def _send(self, event: Any) -> None:  # noqa: ANN401
        data = self._http.send(event)
        if not data:
            return
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(f"caller closed its connection: {exc}") from exc
        self.sent_bytes += len(data)

    def prepare_next_request(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if done:
            self._http.start_next_cycle()
        return done

    def abort(self) -> None:
        """Reset the connection, so that a partial response cannot look complete."""
        reset(self._sock)

    def close(self) -> None:
        """Close the connection; a partial response is reset, a complete one delivered.

        A close with unread bytes would reset the connection, which can destroy the response
        before the caller has read it (RFC 9112, section 9.6).
        """
        self.release_body()
        self._parser.discard()
        self._count_held(0)
        self.progress.begin(Activity.CLOSING, clock.now())
        try:
            if self.is_complete:
                self._linger()
            elif self.head_sent:
                self.abort()
        finally:
            self._sock.close()
            if self._held is not None:
                self._held.release()

    def _linger(self) -> None:
        """Shut down the sending side, and drop what arrives until the caller closes too."""
        deadline = clock.now() + self.linger_s
        dropped = 0
        try:
            self._sock.shutdown(socket.SHUT_WR)
            while dropped < MAX_LINGER_BYTES and (left_s := deadline - clock.now()) > 0:
                data = receive(self._sock, left_s, share=self._share)
                if not data:
                    return
                self.progress.hear(len(data), clock.now())
                dropped += len(data)
        except (OSError, ConnectionEvictedError):
            # The caller has closed the connection, or did not do so in time.
            return


def _new_parser(limits: CallerLimits) -> MessageParser:
    return MessageParser(h11.SERVER, limits.header_bytes)


def _held_by(headers: list[Header]) -> int:
    """Return what the headers of a request take, in bytes."""
    return sum(HEADER_LINE_BYTES + len(name) + len(value) for name, value in headers)


def _raw_request(head: h11.Request, body: bytes) -> RawRequest:
    names = [name for name, _ in head.headers]
    has_body = b"content-length" in names or b"transfer-encoding" in names
    return RawRequest(head.method, head.target, head.headers.raw_items(), body, has_body)
