"""HTTP/1.1 connections over green sockets. h11 parses and checks; nothing is rewritten."""

from __future__ import annotations

import errno
import struct
from typing import Any, NamedTuple

import eventlet
import h11
from eventlet.green import socket
from eventlet.hubs import trampoline

from ..errors import CallerGoneError, DockreachError
from .fleet import CallerLimits
from .requests import Header

RECV_BYTES = 65536
"""Read at once; the streams of the users come in pieces of some 100 bytes."""

INLINE_BYTES = 8192
"""Bodies up to this size are written before the answer is read. Longer ones may fill the
connection's window, and an endpoint may answer before it has read them."""

USER_TIMEOUT_MS = 3000
"""Bytes that a peer does not acknowledge for so long end the connection: a VM without
power says nothing."""

ANSWER_HEAD_BYTES = 65536
"""Largest head of an answer."""

MOST_PIPELINED = 1 << 20
"""Bytes that a caller may send ahead of an answer."""

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
"""Headers that concern one connection (RFC 9110, section 7.6.1), and those of framing,
which is made anew on each connection."""


class BadRequestError(DockreachError):
    """A caller sent what is no request.

    Args:
        status: The HTTP status that says so.
        problem: What is wrong.
    """

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class ConnectError(DockreachError):
    """No connection to an endpoint came up; nothing was sent."""


class AnswerError(DockreachError):
    """An endpoint's answer was cut off, or is not HTTP."""


class RawRequest(NamedTuple):
    """A request as it stands on the wire."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    has_body: bool


class RawHead(NamedTuple):
    """The head of an answer as it stands on the wire."""

    status: int
    reason: bytes
    headers: list[Header]


def end_to_end(headers: list[Header]) -> list[Header]:
    """Return the headers that do not concern one connection only."""
    dropped = set(_HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [item for item in headers if item[0].lower() not in dropped]


def has_token(headers: list[Header], name: bytes, token: bytes) -> bool:
    """Return whether a header that is a list of tokens has one of them."""
    for key, value in headers:
        if key.lower() == name:
            tokens = (part.strip().lower() for part in value.split(b","))
            if token in tokens:
                return True
    return False


def receive(sock: Any) -> bytes:  # noqa: ANN401
    """Read what has come; empty if the peer closed in order.

    eventlet's own `recv` also returns nothing after a reset, so that an answer without a
    length would look complete when it was cut off.

    Raises:
        OSError: The connection was reset.
        TimeoutError: Nothing came within the socket's timeout.
    """
    plain = sock.fd
    while True:
        try:
            data: bytes = plain.recv(RECV_BYTES)
            return data
        except BlockingIOError:
            limit_s = sock.gettimeout()
            silent = TimeoutError(f"silent for {limit_s} s")
            trampoline(plain, read=True, timeout=limit_s, timeout_exc=silent)


def _tune(sock: Any) -> None:  # noqa: ANN401
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class CallerConnection:
    """The server's side of a connection.

    Args:
        sock: The accepted socket.
        limits: What the caller may send.
    """

    def __init__(self, sock: Any, limits: CallerLimits) -> None:  # noqa: ANN401
        self._sock = sock
        self._limits = limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._ahead = 0
        self._method = b""
        self.is_idle = True
        self.is_closing = False
        """Whether the next answer tells the caller that the connection ends."""
        self.head_sent = False
        _tune(sock)

    def read_request(self) -> RawRequest | None:
        """Read a whole request.

        Returns:
            The request; ``None`` if the caller closed, or sent nothing for too long.

        Raises:
            BadRequestError: What came is no request, or too large or too slow.
        """
        self.is_idle = True
        self.head_sent = False
        if not self._await_first_byte():
            return None
        self.is_idle = False
        try:
            with eventlet.Timeout(self._limits.header_s, BadRequestError(408, "too slow")):
                return self._read_whole()
        except h11.RemoteProtocolError as exc:
            raise BadRequestError(exc.error_status_hint, str(exc)) from exc
        except OSError:
            return None

    def _await_first_byte(self) -> bool:
        if self._http.trailing_data[0]:
            return True
        self._sock.settimeout(self._limits.idle_s)
        try:
            data = receive(self._sock)
        except OSError:
            return False
        finally:
            self._sock.settimeout(None)
        if data:
            self._http.receive_data(data)
        return bool(data)

    def _read_whole(self) -> RawRequest | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not self._receive():
                    return None
            elif isinstance(event, h11.Request):
                head = event
                self._method = head.method
                self._check(head)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise BadRequestError(413, "body too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _raw(head, b"".join(parts))
            else:
                return None

    def _receive(self) -> bool:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._sock.sendall(self._http.send(go_on))
        data = receive(self._sock)
        self._http.receive_data(data)
        return bool(data)

    def _check(self, head: h11.Request) -> None:
        """Refuse framing that others may read in another way."""
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise BadRequestError(400, "both a length and chunks")
        if names.count(b"host") > 1:
            raise BadRequestError(400, "more than one host")

    def watch(self) -> None:
        """Read until the caller closes; keep what it sends ahead.

        Returns when the caller has closed, or sent too much ahead.
        """
        while self._ahead < MOST_PIPELINED:
            try:
                data = receive(self._sock)
            except OSError:
                return
            if not data:
                return
            self._keep_ahead(data)

    def has_left(self) -> bool:
        """Return whether the caller has closed already; keep what it sent ahead."""
        plain = self._sock.fd
        while self._ahead < MOST_PIPELINED:
            try:
                data = plain.recv(RECV_BYTES)
            except BlockingIOError:
                return False
            except OSError:
                return True
            if not data:
                return True
            self._keep_ahead(data)
        return True

    def _keep_ahead(self, data: bytes) -> None:
        self._ahead += len(data)
        self._http.receive_data(data)

    def send_head(self, head: RawHead) -> None:
        """Send the head of the answer.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        headers = list(head.headers)
        if self.is_closing:
            headers.append((b"Connection", b"close"))
        self.head_sent = True
        self._send(
            h11.Response(status_code=head.status, reason=head.reason, headers=headers)
        )

    def send_data(self, data: bytes) -> None:
        """Send a piece of the answer's body.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        if data:
            self._send(h11.Data(data=data))

    def send_whole(self, head: RawHead, body: bytes) -> None:
        """Send an answer whose body is known.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        length = (b"Content-Length", str(len(body)).encode())
        self.send_head(RawHead(head.status, head.reason, [*head.headers, length]))
        self.send_data(b"" if self._method == b"HEAD" else body)
        self.end()

    def end(self) -> None:
        """Mark the answer as complete.

        Raises:
            CallerGoneError: The caller closed the connection.
        """
        self._send(h11.EndOfMessage())

    def _send(self, event: Any) -> None:  # noqa: ANN401
        data = self._http.send(event)
        if not data:
            return
        try:
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(f"caller closed: {exc}") from exc

    def next_request(self) -> bool:
        """Make ready for another request; return whether there can be one."""
        self._ahead = 0
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or self.is_closing:
            return False
        self._http.start_next_cycle()
        return True

    def abort(self) -> None:
        """Reset the connection, so that what was sent cannot look complete."""
        linger = struct.pack("ii", 1, 0)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError as exc:
            if exc.errno != errno.EBADF:
                raise
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()


def _raw(head: h11.Request, body: bytes) -> RawRequest:
    names = [name for name, _ in head.headers]
    has_body = b"content-length" in names or b"transfer-encoding" in names
    return RawRequest(head.method, head.target, head.headers.raw_items(), body, has_body)


class EndpointConnection:
    """The client's side of a connection.

    Args:
        address: IP number and port.
        connect_s: Longest time to wait for the connection, in seconds.

    Raises:
        ConnectError: It did not come up.
    """

    def __init__(self, address: str, connect_s: float) -> None:
        ip, _, port = address.rpartition(":")
        self.address = address
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._sock.settimeout(connect_s)
            self._sock.connect((ip, int(port)))
            self._sock.settimeout(None)
            _tune(self._sock)
        except OSError as exc:
            self._sock.close()
            raise ConnectError(f"{address}: {exc}") from exc
        self._http = _client()
        self._request = h11.Request(method="GET", target="/", headers=[("Host", "-")])
        self._writer: Any = None
        self._is_written = True
        self.is_framed = True
        """Whether the answer's end is told apart from that of the connection."""
        self.was_kept = False
        """Whether an earlier request was answered on it."""

    def send(
        self, method: bytes, target: bytes, headers: list[Header], body: bytes | None
    ) -> None:
        """Send a request; a long body goes on being written while the answer is read.

        Args:
            method: The request's method.
            target: Path and query.
            headers: Headers without those of framing.
            body: The body; ``None`` if the request has none.

        Raises:
            AnswerError: The connection broke. Some of it may have arrived.
        """
        if body is not None:
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        self._request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(self._request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._is_written = False
        if len(data) > INLINE_BYTES:
            self._writer = eventlet.spawn(self._write, data)
            return
        self._write(data)
        if not self._is_written:
            raise AnswerError(f"{self.address}: connection broke while sending")

    def _write(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
            self._is_written = True
        except OSError:
            # The reader finds the connection broken, or an answer that came early.
            self._is_written = False

    def limit_silence(self, seconds: float | None) -> None:
        """Let reads fail when nothing has come for so long; ``None`` waits for ever."""
        self._sock.settimeout(seconds)

    def read_head(self) -> RawHead:
        """Read the head of the next answer.

        Raises:
            AnswerError: The connection broke, or what came is not HTTP.
        """
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                self.is_framed = _is_framed(event, self._request.method)
                return RawHead(event.status_code, event.reason, event.headers.raw_items())
            if not isinstance(event, h11.InformationalResponse):
                raise AnswerError(f"{self.address}: closed without an answer")

    def read_data(self) -> bytes | None:
        """Read a piece of the body; ``None`` at its end.

        Raises:
            AnswerError: The body was cut off.
        """
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def read_body(self, most_bytes: int) -> bytes:
        """Read a whole body.

        Args:
            most_bytes: Largest body that is kept.

        Raises:
            AnswerError: It was cut off, or is too large.
        """
        parts: list[bytes] = []
        size = 0
        while (data := self.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > most_bytes:
                raise AnswerError(f"{self.address}: answer over {most_bytes} bytes")
        return b"".join(parts)

    def skip_answer(self) -> None:
        """Read past an answer that belongs to an earlier request.

        Raises:
            AnswerError: The body was cut off.
        """
        while self.read_data() is not None:
            pass
        rest, closed = self._http.trailing_data
        self._http = _client()
        bare = h11.Request(method=self._request.method, target="/", headers=[("Host", "-")])
        self._http.send(bare)
        self._http.send(h11.EndOfMessage())
        self._http.receive_data(rest)
        if closed:
            self._http.receive_data(b"")

    def _next_event(self) -> Any:  # noqa: ANN401
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(receive(self._sock))
        except (h11.RemoteProtocolError, OSError) as exc:
            raise AnswerError(f"{self.address}: {exc}") from exc

    def make_reusable(self) -> bool:
        """Make ready for another request; return whether that is possible."""
        both_done = (self._http.our_state, self._http.their_state) == (h11.DONE, h11.DONE)
        if not both_done or not self._is_written or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self.was_kept = True
        return True

    def is_quiet(self) -> bool:
        """Return whether an idle connection is open and nothing has come on it."""
        plain = self._sock.fd
        plain.setblocking(False)
        try:
            plain.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection; whatever runs for it at the endpoint is stopped."""
        if self._writer is not None:
            self._writer.kill()
        self._sock.close()


def _is_framed(head: h11.Response, method: bytes) -> bool:
    if method == b"HEAD" or head.status_code in (204, 304):
        return True
    names = {name for name, _ in head.headers}
    return bool(names & {b"content-length", b"transfer-encoding"})


def _client() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=ANSWER_HEAD_BYTES)
