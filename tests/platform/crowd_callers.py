"""A crowd of callers over plain sockets, driven by one greenlet."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import eventlet

from dockreach.direct.digest import Address

QUIET_S = 1.0
"""Time without a byte sent or received by any caller after which a round is over, in
seconds: the process reads no more of what the crowd sends."""

PAUSE_S = 0.005
"""Pause of the crowd's greenlet while no socket is ready, in seconds."""

MAX_CONNECTING = 200
"""Connections that are being opened at one time; the listener's backlog is finite."""

SLOW_READER_BUFFER_BYTES = 8192
"""Receive buffer of a caller that reads nothing."""

Script = Callable[[bytes], Iterable[bytes]]
"""Returns what a caller with a request id sends, in pieces that are sent in turn."""


@dataclass(eq=False)
class _Caller:
    """One connection.

    Attributes:
        rid: Id of its first request.
        unsent: Rest of the piece that is being sent.
        received: The first bytes that it received.
    """

    rid: bytes
    sock: socket.socket
    pieces: Iterator[bytes]
    unsent: memoryview = field(default_factory=lambda: memoryview(b""))
    received: bytes = b""
    is_connecting: bool = True

    @property
    def is_answered(self) -> bool:
        """Whether the status of a response was received."""
        return b"\r\n" in self.received


class Crowd:
    """Callers that all do the same, and come again when their connection is closed.

    Args:
        address: The port that they connect to.
        size: Number of callers.
        script: What each of them sends.
        reads: Whether they read what they get.

    Attributes:
        statuses: Status of the first response by request id.
        closed: Connections that were closed by the process.
    """

    def __init__(
        self, address: Address, size: int, script: Script, *, reads: bool = True
    ) -> None:
        self._address = address
        self._size = size
        self._script = script
        self._reads = reads
        self._epoll = select.epoll()
        self._callers: dict[int, _Caller] = {}
        self._connecting = 0
        self._opened = 0
        self._moved_at = 0.0
        self.statuses: dict[bytes, int] = {}
        self.closed = 0
        self._driver = eventlet.spawn(self._drive)

    def __len__(self) -> int:
        return len(self._callers)

    def press(self, rounds: int) -> None:
        """Come some times, each time with all callers that were refused or closed."""
        for _ in range(rounds):
            for caller in [row for row in self._callers.values() if row.is_answered]:
                self._drop(caller)
            if len(self) == self._size:
                return
            self._come()
            while time.monotonic() - self._moved_at < QUIET_S:
                eventlet.sleep(PAUSE_S)

    def leave(self) -> None:
        """Close all connections."""
        self._driver.kill()
        for caller in self._callers.values():
            caller.sock.close()
        self._callers.clear()
        self._epoll.close()

    def _come(self) -> None:
        self._moved_at = time.monotonic()
        for _ in range(self._size - len(self)):
            while self._connecting >= MAX_CONNECTING:
                eventlet.sleep(PAUSE_S)
            self._open()

    def _open(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if not self._reads:
            size = SLOW_READER_BUFFER_BYTES
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.connect_ex((self._address.ip, self._address.port))
        rid = b"crowd-%d" % self._opened
        self._opened += 1
        self._callers[sock.fileno()] = _Caller(rid, sock, iter(self._script(rid)))
        self._connecting += 1
        self._epoll.register(sock.fileno(), select.EPOLLOUT | self._read_events)

    @property
    def _read_events(self) -> int:
        return select.EPOLLIN if self._reads else 0

    def _drive(self) -> None:
        while True:
            ready = self._epoll.poll(0)
            for number, events in ready:
                self._move(self._callers[number], events)
            if ready:
                self._moved_at = time.monotonic()
            eventlet.sleep(0 if ready else PAUSE_S)

    def _move(self, caller: _Caller, events: int) -> None:
        if caller.is_connecting:
            caller.is_connecting = False
            self._connecting -= 1
        try:
            # What a process sent before it closed the connection is read first.
            if events & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                self._receive(caller)
            elif events & select.EPOLLOUT:
                self._send(caller)
        except BlockingIOError:
            return
        except OSError:
            self._lose(caller)

    def _receive(self, caller: _Caller) -> None:
        data = caller.sock.recv(65536)
        if not data:
            self._lose(caller)
            return
        if caller.rid not in self.statuses:
            caller.received += data
            if caller.is_answered:
                self.statuses[caller.rid] = int(caller.received.split(b" ", 2)[1])

    def _send(self, caller: _Caller) -> None:
        if not caller.unsent:
            piece = next(caller.pieces, b"")
            if not piece:
                self._epoll.modify(caller.sock.fileno(), self._read_events)
                return
            caller.unsent = memoryview(piece)
        sent = caller.sock.send(caller.unsent)
        caller.unsent = caller.unsent[sent:]

    def _lose(self, caller: _Caller) -> None:
        self.closed += 1
        self._drop(caller)

    def _drop(self, caller: _Caller) -> None:
        self._epoll.unregister(caller.sock.fileno())
        del self._callers[caller.sock.fileno()]
        caller.sock.close()
