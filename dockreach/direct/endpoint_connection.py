"""The client's side of a connection: requests to an endpoint, and its answers."""

from __future__ import annotations

from typing import Any

import eventlet
import h11
from eventlet.green import socket

from .http1 import AnswerError, ConnectError, RawHead, receive, tune
from .requests import Header

INLINE_BYTES = 8192
"""Bodies up to this size are written before the answer is read. Longer ones may fill the
connection's window, and an endpoint may answer before it has read them."""

ANSWER_HEAD_BYTES = 65536
"""Largest head of an answer."""


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
            tune(self._sock)
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
        self._is_aborted = False

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
                self._http.receive_data(self._receive())
        except (h11.RemoteProtocolError, OSError) as exc:
            raise AnswerError(f"{self.address}: {exc}") from exc

    def _receive(self) -> bytes:
        data = receive(self._sock)
        if self._is_aborted:
            # An answer without a length would else seem to end here.
            raise AnswerError(f"{self.address}: the endpoint's life has ended")
        return data

    def abort(self) -> None:
        """Let whoever reads the answer fail at once; safe from another greenlet."""
        self._is_aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It is closed already, and the reader has found out.
            return

    def make_reusable(self) -> bool:
        """Make ready for another request; return whether that is possible."""
        if self._is_aborted:
            return False
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
