"""What both sides of an HTTP/1.1 connection share. h11 parses; nothing is rewritten."""

from __future__ import annotations

from typing import Any, NamedTuple

from eventlet.green import socket
from eventlet.hubs import trampoline

from ..errors import DockreachError
from .requests import Header

RECV_BYTES = 65536
"""Read at once; the streams of the users come in pieces of some 100 bytes."""

USER_TIMEOUT_MS = 3000
"""Bytes that a peer does not acknowledge for so long end the connection: a VM without
power says nothing."""

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
            _await_data(sock)


def _await_data(sock: Any) -> None:  # noqa: ANN401
    limit_s = sock.gettimeout()
    try:
        trampoline(sock.fd, read=True, timeout=limit_s, timeout_exc=TimeoutError)
    except TimeoutError as exc:
        raise TimeoutError(f"silent for {limit_s:.1f} s") from exc


def tune(sock: Any) -> None:  # noqa: ANN401
    """Send small pieces at once, and notice a peer that has lost power."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
