"""An endpoint as a process of its own: ``python -m tests.soak.worker_process``.

It behaves like a server on a machine: the system closes its connections when it ends, its
responses have any framing, and some of its refusals say nothing about what it ran. It needs
the standard library alone, so that it starts quickly.
"""

from __future__ import annotations

import argparse
import contextlib
import enum
import os
import random
import select
import signal
import socket
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from .stream_shapes import SHAPES, shape_of
from .worker_content import encode_event, is_long, plain_body, request_body, stream_length
from .worker_facts import FactKind, FactLog

CAPACITY = 12
"""Requests that it runs at a time; it refuses more."""

WORK_S = (0.0, 0.06)
"""Shortest and longest time before a plain response or a failure, in seconds."""

EVENT_GAP_S = (0.005, 0.06)
"""Shortest and longest time between events, in seconds; one is drawn for each stream."""

LONG_EVENT_GAP_S = (0.01, 0.025)
"""The same for long streams, in seconds."""

PIECE_PAUSE_S = 0.003
"""Longest pause between the pieces of a response, in seconds."""

LONG_BODY_BYTES = 64 << 10
"""Size from which it may respond before it has read a request's body, in bytes."""

READ_BYTES = 16 << 10

BIND_TRIES = 20
BIND_PAUSE_S = 0.05
"""Tries to listen on a given port, and the pause between them in seconds."""

BACKLOG = 128
"""Connections that wait to be accepted, also while the process is paused."""

EARLY_RESPONSE_CHANCE = 0.6
REPEAT_CHANCE = 0.6
HTTP10_CHANCE = 0.1
PIECES_CHANCE = 0.4
"""Chances of an early response, of a resumed run that repeats events, of a head of
HTTP/1.0, and of a response in odd pieces."""

STREAM_PATHS = ("/draft/", "/brief/", "/report/", "/grade/", "/story/") + tuple(
    f"/{kind}/" for kind in SHAPES
)
REASONS = {
    200: "OK",
    408: "Request Timeout",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Oddity(enum.Enum):
    """What it does in place of a plain answer."""

    NONE = "none"
    REFUSAL = "refusal"
    """It refuses, and says that it has not run the request."""

    BARE_REFUSAL = "bare_refusal"
    """Its library refuses before its program saw the request, with no header of ours."""

    BARE_FAILURE = "bare_failure"
    """The same response after the request has run."""

    OWN_FAILURE = "own_failure"
    """It has run the request and answers with a status that others take for a refusal."""

    ERROR = "error"
    EXIT = "exit"
    """It exits within the response."""

    EXTRA = "extra"
    """It sends a second response after the whole one."""


ODDITIES = (*(item for item in Oddity if item is not Oddity.NONE), *(Oddity.EXTRA,) * 3)
"""What an odd treatment draws; a second response comes only on a kept connection."""


class Framing(enum.Enum):
    """How the end of a response is told."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


FRAMINGS = (Framing.CHUNKED, Framing.CHUNKED, Framing.LENGTH, Framing.CLOSE)


@dataclass(slots=True)
class Request:
    """The head of a request, and the part of its body that came with it."""

    method: str
    path: str
    headers: dict[str, str]
    received: bytes

    @property
    def rid(self) -> str:
        """Its id; empty if it has none."""
        return self.headers.get("request-id", "")

    @property
    def stream(self) -> str:
        """The stream that it begins or continues."""
        return self.headers.get("resumes") or self.rid

    @property
    def after(self) -> int:
        """The event after which it continues a stream; 0 for none."""
        return int(self.headers.get("last-event-id") or 0)

    @property
    def size(self) -> int:
        """Size of its body, in bytes."""
        return int(self.headers.get("content-length") or 0)


@dataclass(slots=True)
class Endpoint:
    """What all connections of the process share.

    Attributes:
        oddity: Fraction of its requests that it treats in an odd way.
    """

    name: str
    seed: str
    log: FactLog
    oddity: float
    running: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def take_slot(self) -> bool:
        """Take a slot; return whether one was free."""
        with self.lock:
            is_free = self.running < CAPACITY
            self.running += is_free
            return is_free

    def free_slot(self) -> None:
        """Free a slot."""
        with self.lock:
            self.running -= 1


class Connection:
    """One connection, in a thread of its own."""

    def __init__(self, sock: socket.socket, endpoint: Endpoint) -> None:
        self._sock = sock
        self._endpoint = endpoint
        self._log = endpoint.log
        self._unread = b""
        self._rng = random.Random()
        self._extra = b""
        self._in_pieces = False

    def serve(self) -> None:
        """Serve requests until either side closes."""
        with self._sock, contextlib.suppress(OSError, EOFError):
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._answer(self._read_head()):
                pass

    def _read_head(self) -> Request:
        data = self._unread
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, rest = data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        method, path, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        request = Request(method, path, headers, b"")
        request.received, self._unread = rest[: request.size], rest[request.size :]
        return request

    def _receive(self) -> bytes:
        data = self._sock.recv(READ_BYTES)
        if not data:
            raise EOFError
        return data

    def _read_body(self, request: Request) -> None:
        while len(request.received) < request.size:
            request.received += self._receive()
        body = request.received[: request.size]
        self._unread += request.received[request.size :]
        if request.rid and body != request_body(request.rid, request.size):
            self._log.write(FactKind.OTHER_BODY, request.rid, len(body))

    def _answer(self, request: Request) -> bool:
        """Answer a request; return whether the connection can be used again."""
        rid, endpoint = request.rid, self._endpoint
        self._rng = random.Random(f"{endpoint.seed} {endpoint.name} {rid}")
        self._in_pieces = self._rng.random() < PIECES_CHANCE
        if self._extra:
            self._sock.sendall(self._extra)
            self._extra = b""
        if not rid:
            self._read_body(request)
            self._answer_health_check()
            return True
        if request.headers.get("expected-instance") != endpoint.name:
            self._read_body(request)
            more = self._rng.choice(("", f"Instance-Id: {endpoint.name}\r\n"))
            self._log.write(FactKind.REFUSED, rid, 421, "of_another")
            self._send(self._head(421, f"Request-Id: {rid}\r\n{more}", 0))
            return True
        if not endpoint.take_slot():
            self._read_body(request)
            self._refuse(rid, 503)
            return True
        try:
            return self._treat(request, self._draw_oddity())
        finally:
            endpoint.free_slot()

    def _answer_health_check(self) -> None:
        """Tell its id, in a slot, or reject the check without it."""
        if not self._endpoint.take_slot():
            self._send(self._head(503, "Not-Executed: 1\r\n", 0))
            return
        try:
            time.sleep(random.uniform(*WORK_S))
            self._send(self._head(200, f"Instance-Id: {self._endpoint.name}\r\n", 0))
        finally:
            self._endpoint.free_slot()

    def _draw_oddity(self) -> Oddity:
        drawn = self._rng.choice(ODDITIES)
        return drawn if self._rng.random() < self._endpoint.oddity else Oddity.NONE

    def _treat(self, request: Request, oddity: Oddity) -> bool:
        is_early = (
            request.size >= LONG_BODY_BYTES and self._rng.random() < EARLY_RESPONSE_CHANCE
        )
        if not is_early:
            self._read_body(request)
        if oddity is Oddity.REFUSAL:
            self._read_body(request)
            self._refuse(request.rid, self._rng.choice((429, 503)))
            return True
        if oddity is Oddity.BARE_REFUSAL:
            return self._send_bare(request.rid, FactKind.REFUSED)
        self._log.write(FactKind.BEGUN, request.rid, request.after, request.path)
        if oddity in (Oddity.BARE_FAILURE, Oddity.OWN_FAILURE, Oddity.ERROR):
            is_kept = self._fail(request, oddity)
        elif request.path.startswith(STREAM_PATHS):
            is_kept = self._send_stream(request, oddity)
        else:
            is_kept = self._send_plain(request, oddity)
        if is_early:
            self._read_body(request)
        if oddity is Oddity.EXTRA and is_kept:
            self._send_extra(request.rid)
        return is_kept

    def _refuse(self, rid: str, status: int) -> None:
        self._log.write(FactKind.REFUSED, rid, status, "not_executed")
        self._send(self._head(status, f"Request-Id: {rid}\r\nNot-Executed: 1\r\n", 0))

    def _send_bare(self, rid: str, kind: FactKind) -> bool:
        """Respond with no header of ours and close; return that the connection ends."""
        status = self._rng.choice((408, 421, 429, 503))
        self._log.write(kind, rid, status, "bare")
        self._send(self._head(status, "Connection: close\r\n", 0))
        return False

    def _fail(self, request: Request, oddity: Oddity) -> bool:
        time.sleep(self._rng.uniform(*WORK_S))
        if oddity is Oddity.BARE_FAILURE:
            return self._send_bare(request.rid, FactKind.FAILED)
        status = 500
        if oddity is Oddity.OWN_FAILURE:
            status = self._rng.choice((408, 429, 503))
        self._log.write(FactKind.FAILED, request.rid, status, "own")
        self._send(self._head(status, f"Request-Id: {request.rid}\r\nSeal: s\r\n", 0))
        return True

    def _send_extra(self, rid: str) -> None:
        """Send a second response at once, or when the next request has come."""
        status = self._rng.choice((200, 503))
        headers = self._rng.choice(("", f"Request-Id: {rid}\r\n"))
        if status == 503:
            headers += "Not-Executed: 1\r\n"
        detail = "old_id" if "Request-Id" in headers else "no_id"
        self._log.write(FactKind.EXTRA, rid, status, detail)
        data = self._head(status, headers, 5) + b"extra"
        if self._rng.random() < 0.5:
            self._extra = data
        else:
            time.sleep(self._rng.uniform(0.0, WORK_S[1]))
            self._sock.sendall(data)

    def _send_plain(self, request: Request, oddity: Oddity) -> bool:
        body = plain_body(request.rid, self._endpoint.name)
        time.sleep(self._rng.uniform(*WORK_S))
        self._raise_if_closed()
        framing, is_http10 = self._draw_framing()
        head = self._start(request.rid, framing, is_http10, len(body))
        if oddity is Oddity.EXIT:
            self._send(head + self._framed(framing, body[: self._rng.randrange(len(body))]))
            self._exit(request.rid)
        self._log.write(FactKind.BODY, request.rid, len(body), framing.value)
        self._send(head + self._framed(framing, body) + self._end(framing))
        return framing is not Framing.CLOSE and not is_http10

    def _send_stream(self, request: Request, oddity: Oddity) -> bool:
        rid, stream = request.rid, request.stream
        last = stream_length(stream)
        first = request.after + 1
        if request.after and self._rng.random() < REPEAT_CHANCE:
            first = self._rng.choice((1, request.after))
            self._log.write(FactKind.REPEATED, rid, first)
        numbers = range(first, last + 1)
        events = [encode_event(stream, number, self._endpoint.name) for number in numbers]
        if not numbers:
            self._log.write(FactKind.LAST, rid, last, "nothing_left")
        framing, is_http10 = self._draw_framing()
        size = sum(map(len, events))
        self._send(self._start(rid, framing, is_http10, size, "event-stream"))
        exit_at = self._rng.choice(numbers or (0,)) if oddity is Oddity.EXIT else None
        gap_s = self._rng.uniform(*_gap_bounds_s(stream))
        for number, event in zip(numbers, events, strict=True):
            time.sleep(gap_s)
            self._raise_if_closed()
            if number == exit_at:
                self._send(self._framed(framing, event[: self._rng.randrange(len(event))]))
                self._exit(rid)
            kind = FactKind.LAST if number == last else FactKind.EVENT
            self._log.write(kind, rid, number, framing.value)
            self._send(self._framed(framing, event))
        self._send(self._end(framing))
        return framing is not Framing.CLOSE and not is_http10

    def _exit(self, rid: str) -> None:
        self._log.write(FactKind.EXIT, rid)
        os._exit(1)

    def _raise_if_closed(self) -> None:
        """Stop work whose caller has left.

        Raises:
            EOFError: The entry closed the connection.
        """
        readable, _, _ = select.select([self._sock], [], [], 0)
        if readable and not self._sock.recv(1, socket.MSG_PEEK):
            raise EOFError

    def _draw_framing(self) -> tuple[Framing, bool]:
        """Return the framing, and whether the head is one of HTTP/1.0."""
        framing = self._rng.choice(FRAMINGS)
        is_http10 = self._rng.random() < HTTP10_CHANCE
        if is_http10 and framing is Framing.CHUNKED:
            framing = Framing.CLOSE
        return framing, is_http10

    def _start(
        self, rid: str, framing: Framing, is_http10: bool, size: int, kind: str = "plain"
    ) -> bytes:
        more = f"Request-Id: {rid}\r\nSeal: s\r\nContent-Type: text/{kind}\r\n"
        if framing is Framing.CHUNKED:
            more += "Transfer-Encoding: chunked\r\n"
        elif framing is Framing.CLOSE and not is_http10 and self._rng.random() < 0.5:
            more += "Connection: close\r\n"
        head = self._head(200, more, size if framing is Framing.LENGTH else None)
        return head.replace(b"HTTP/1.1", b"HTTP/1.0") if is_http10 else head

    def _head(self, status: int, headers: str, size: int | None) -> bytes:
        if size is not None:
            headers += f"Content-Length: {size}\r\n"
        return f"HTTP/1.1 {status} {REASONS[status]}\r\n{headers}\r\n".encode()

    def _framed(self, framing: Framing, data: bytes) -> bytes:
        if framing is Framing.CHUNKED and data:
            return f"{len(data):x}\r\n".encode() + data + b"\r\n"
        return data

    def _end(self, framing: Framing) -> bytes:
        return b"0\r\n\r\n" if framing is Framing.CHUNKED else b""

    def _send(self, data: bytes) -> None:
        """Send bytes, at times in odd pieces."""
        while self._in_pieces and len(data) > 1:
            size = self._rng.randint(1, len(data))
            self._sock.sendall(data[:size])
            data = data[size:]
            time.sleep(self._rng.uniform(0.0, PIECE_PAUSE_S))
        self._sock.sendall(data)


def _gap_bounds_s(stream: str) -> tuple[float, float]:
    """Return the shortest and longest time between a stream's events, in seconds."""
    shape = shape_of(stream)
    if shape is not None:
        return shape.gap_s
    return LONG_EVENT_GAP_S if is_long(stream) else EVENT_GAP_S


def listen(ip: str, port: int) -> socket.socket:
    """Listen on a port, or on any if it stays in use; 0 lets the system choose."""
    for _ in range(BIND_TRIES if port else 0):
        with contextlib.suppress(OSError):
            return socket.create_server((ip, port), backlog=BACKLOG)
        time.sleep(BIND_PAUSE_S)
    return socket.create_server((ip, 0), backlog=BACKLOG)


def main() -> None:
    """Serve until a signal ends the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("log", type=Path)
    parser.add_argument("--seed", default="")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--oddity", type=float, default=0.0)
    args = parser.parse_args()
    log = FactLog(args.log, args.name)
    endpoint = Endpoint(args.name, args.seed, log, args.oddity)

    def calm_down(_number: int, _frame: object) -> None:
        endpoint.oddity = 0.0

    signal.signal(signal.SIGUSR1, calm_down)
    listener = listen(args.ip, args.port)
    log.write(FactKind.LISTENING, number=listener.getsockname()[1])
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=Connection(sock, endpoint).serve, daemon=True).start()


if __name__ == "__main__":
    main()
