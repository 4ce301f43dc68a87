"""Parts that both sides of an HTTP/1.1 connection share.

h11 parses the messages; headers and bodies are not rewritten.
"""

from __future__ import annotations

import enum
import errno
import re
import struct
from typing import Any, NamedTuple, Protocol

import eventlet
from eventlet.green import socket
from eventlet.hubs import trampoline

from ..errors import DockreachError
from .requests import Header

RECV_BYTES = 8192
"""Size of one read; the streams of the users arrive in pieces of some 100 bytes."""

MAX_TURN_BYTES = 8192
"""Bytes that are read from one connection before the event loop is given back: splitting
the shortest events takes some microseconds for each."""

MAX_TURN_STEPS = 64
"""Reads and events of one connection or socket before the event loop is given back."""

LOST_PEER_TIMEOUT_MS = 3000
"""How long sent data may stay unacknowledged before the connection fails, in milliseconds:
a VM that loses power closes no connections."""

SLOW_READER_TIMEOUT_MS = 60_000
"""The same for a connection whose peer may leave data unread. Linux also counts the time in
which the receive window is closed, so this is longer than any request's deadline."""

CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""What no header and no reason phrase may contain; a tab is allowed."""

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers for a single connection (RFC 9110, section 7.6.1), and those for framing, which
is generated anew on each connection."""


class BadRequestError(DockreachError):
    """A caller sent a request that is malformed, too large or too slow.

    Args:
        status: The HTTP status of the response.
        problem: Description for the log.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class ConnectError(DockreachError):
    """No connection to an endpoint could be opened; nothing was sent."""


class ResponseError(DockreachError):
    """An endpoint's response was truncated, or is not HTTP."""


class SilentError(DockreachError):
    """What was waited for has not arrived in time; reading may go on."""


class ResponseEnd(enum.StrEnum):
    """How the end of a response is known."""

    CHUNK = "chunk"
    """By the last chunk."""

    LENGTH = "length"
    """By its length, or since it can have no body."""

    CLOSED = "closed, endpoint answers"
    """By the end of the connection, which the endpoint's process has outlived."""


class ResponseLimit(enum.StrEnum):
    """A limit on what an endpoint may send."""

    HEAD = "head"
    """Size of a head, of a chunk's header, or of the trailers."""

    INTERIM_RESPONSES = "interim_responses"
    """Number of interim responses before a response."""

    LATE_RESPONSES = "late_responses"
    """Number and size of late responses to other requests."""

    BODY = "body"
    """Size of a response that is buffered."""

    EVENT = "event"
    """Size of an event of a stream, and of its id."""


class ResponseLimitError(ResponseError):
    """An endpoint's response went over a limit.

    Args:
        limit: The limit.
        problem: Description with the value of the limit.
    """

    def __init__(self, limit: ResponseLimit, problem: str) -> None:
        super().__init__(problem)
        self.limit = limit


class RawRequest(NamedTuple):
    """A request as sent on the wire."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    has_body: bool


class RawHead(NamedTuple):
    """The head of a response as sent on the wire."""

    status: int
    reason: bytes
    headers: list[Header]


def end_to_end(headers: list[Header]) -> list[Header]:
    """Return the headers that are not for a single connection only."""
    dropped = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [item for item in headers if item[0].lower() not in dropped]


def has_token(headers: list[Header], name: bytes, token: bytes) -> bool:
    """Return whether a header whose value is a list of tokens contains a token."""
    for key, value in headers:
        if key.lower() == name:
            tokens = (part.strip().lower() for part in value.split(b","))
            if token in tokens:
                return True
    return False


class LoopShare:
    """A connection's or socket's share of one turn of the event loop.

    A greenlet only gives the loop back when it waits. Without this, a peer whose data is
    always there would stop all others, and the timeouts of its own request.

    Args:
        max_bytes: Bytes that are read before the loop is given back.
    """

    def __init__(self, max_bytes: int = MAX_TURN_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._steps = 0

    def begin_step(self) -> None:
        """Give the loop back if the share is used up; call before each read or event."""
        if self._bytes >= self._max_bytes or self._steps >= MAX_TURN_STEPS:
            eventlet.sleep(0)
            self.renew()
        self._steps += 1

    @property
    def bytes_left(self) -> int:
        """Bytes that may be read before the loop is given back."""
        return self._max_bytes - self._bytes

    def add_bytes(self, count: int) -> None:
        """Count bytes that were read."""
        self._bytes += count

    def renew(self) -> None:
        """Begin a new share: the connection has waited."""
        self._bytes = 0
        self._steps = 0


class ReadGate(Protocol):
    """Says whether data may be read that has arrived."""

    @property
    def is_open(self) -> bool:
        """Whether it may be read now."""

    def wait(self) -> None:
        """Wait until it may be read; raise an error if that takes too long."""


def receive(
    sock: Any,  # noqa: ANN401
    timeout_s: float | None = None,
    *,
    share: LoopShare | None = None,
    gate: ReadGate | None = None,
) -> bytes:
    """Read the available data; empty if the peer closed the connection in order.

    eventlet's own `recv` also returns no data after a reset, so that a truncated response
    without a length would look complete.

    Args:
        sock: The socket.
        timeout_s: How long to wait for data, in seconds; that of the socket if omitted.
        share: Gives the event loop back when data is always there.
        gate: Passed once there is something to read, and before it is read.

    Raises:
        OSError: The connection was reset.
        TimeoutError: No data arrived within the timeout.
    """
    raw_sock = sock.fd
    if timeout_s is None:
        timeout_s = sock.gettimeout()
    share = share or LoopShare()
    share.begin_step()
    has_timed_out = False
    while True:
        if gate is None or gate.is_open:
            try:
                data: bytes = raw_sock.recv(min(RECV_BYTES, share.bytes_left))
            except BlockingIOError:
                if has_timed_out:
                    raise TimeoutError(f"no data for {timeout_s:.1f} s") from None
            else:
                share.add_bytes(len(data))
                return data
        try:
            trampoline(raw_sock, read=True, timeout=timeout_s, timeout_exc=TimeoutError)
        except TimeoutError:
            # Reads once more: data may have come while the event loop was busy.
            has_timed_out = True
        share.renew()
        if gate is not None and not gate.is_open:
            if has_timed_out:
                raise TimeoutError(f"no data for {timeout_s:.1f} s")
            gate.wait()


def reset(sock: Any) -> None:  # noqa: ANN401
    """Reset a connection, so that the peer takes nothing for complete."""
    try:
        set_reset_on_close(sock, is_on=True)
    except OSError as exc:
        if exc.errno != errno.EBADF:
            raise
    sock.close()


def set_reset_on_close(sock: Any, *, is_on: bool) -> None:  # noqa: ANN401
    """Set whether a close resets the connection, also when the kernel closes it."""
    linger = struct.pack("ii", is_on, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def set_socket_options(sock: Any, *, send_timeout_ms: int) -> None:  # noqa: ANN401
    """Send small pieces without delay, and detect a peer that has lost power.

    Args:
        sock: A connected socket.
        send_timeout_ms: See `set_send_timeout`.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_send_timeout(sock, send_timeout_ms)


def set_send_timeout(sock: Any, timeout_ms: int) -> None:  # noqa: ANN401
    """Set how long sent data may stay unacknowledged or unread, in milliseconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
