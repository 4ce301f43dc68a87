"""The paths of entries to each other and to the store, which can be cut one way or both."""

from __future__ import annotations

import contextlib
import enum
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import eventlet
from eventlet.green import socket

from tests.direct.standins import wake_waiting_greenlets

from .entries import FIRST_PORT
from .proxy import Proxy

POLL_S = 0.02
"""Interval between checks whether a path is open again, in seconds."""

MAX_HELD = 500
"""Datagrams that are held at a time; further ones are lost."""

RECV_BYTES = 65536


class Way(enum.Flag):
    """A direction of a path, as seen from the entry."""

    NONE = 0
    IN = enum.auto()
    OUT = enum.auto()
    BOTH = IN | OUT


@dataclass(frozen=True, slots=True)
class Cut:
    """Which paths of an entry are cut, and what becomes of what is sent there.

    Attributes:
        peers: The directions in which datagrams of other entries do not pass.
        store: The directions in which data does not pass between it and the store.
        holds_datagrams: Whether datagrams arrive after the cut; otherwise they are lost.
        stays_silent: Whether connections to the store that were open during the cut stay
            silent for good, without a reset; otherwise what was sent there arrives late.
    """

    peers: Way = Way.NONE
    store: Way = Way.NONE
    holds_datagrams: bool = False
    stays_silent: bool = False


class StorePath(Proxy):
    """The path of one entry to the store; a cut lets its connections fall silent."""

    def __init__(self, upstream: str) -> None:
        super().__init__(upstream)
        self._cuts: Counter[Way] = Counter()

    @contextlib.contextmanager
    def cut(self, way: Way, *, stays_silent: bool) -> Iterator[None]:
        """Let nothing pass in some directions; cuts may overlap.

        Args:
            way: The directions.
            stays_silent: Whether connections that are open at the end stay silent.
        """
        self._cuts.update(way)
        try:
            yield
        finally:
            if way and stays_silent:
                self.stall_open_connections()
            self._cuts.subtract(way)

    def _read(self, source: Any, pair: tuple[Any, Any]) -> bytes:  # noqa: ANN401
        data = super()._read(source, pair)
        way = Way.IN if source is pair[1] else Way.OUT
        while self._cuts[way] > 0:
            eventlet.sleep(POLL_S)
        return data


class _Addressed(Protocol):
    """An entry that tells others this address."""

    @property
    def name(self) -> str: ...

    @property
    def ip(self) -> str: ...


class PeerNetwork:
    """Relays the datagrams that entries send each other, unless a path is cut.

    Args:
        entries: The entries, in whose place relays listen.
        own_ips: The address to which the socket of each of them is bound.
    """

    def __init__(self, entries: Sequence[_Addressed], own_ips: Sequence[str]) -> None:
        self._entry_of_ip = {
            ip: entry.name for ip, entry in zip(own_ips, entries, strict=True)
        }
        self._cuts: Counter[tuple[str, Way]] = Counter()
        self._holding: Counter[str] = Counter()
        self._held = 0
        self._socks = []
        for entry, ip in zip(entries, own_ips, strict=True):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((entry.ip, FIRST_PORT))
            self._socks.append(sock)
            eventlet.spawn(self._relay, sock, entry.name, (ip, FIRST_PORT))

    @contextlib.contextmanager
    def cut(self, entry: str, way: Way, *, holds: bool) -> Iterator[None]:
        """Let no datagram pass to or from an entry; cuts may overlap.

        Args:
            entry: The name of the entry.
            way: The directions.
            holds: Whether datagrams are held until the cut ends; otherwise they are lost.
        """
        keys = [(entry, one) for one in way]
        self._cuts.update(keys)
        self._holding[entry] += holds
        try:
            yield
        finally:
            self._cuts.subtract(keys)
            self._holding[entry] -= holds

    def close(self) -> None:
        """Relay nothing more."""
        for sock in self._socks:
            wake_waiting_greenlets(sock)
            sock.close()

    def _relay(self, sock: Any, target: str, address: tuple[str, int]) -> None:  # noqa: ANN401
        while True:
            try:
                data, source = sock.recvfrom(RECV_BYTES)
            except (OSError, EOFError):
                return
            sender = self._entry_of_ip.get(source[0], "")
            if not self._is_cut(sender, target):
                _send(sock, data, address)
            elif self._holding[sender] + self._holding[target] and self._held < MAX_HELD:
                eventlet.spawn(self._pass_late, sock, sender, target, data, address)

    def _is_cut(self, sender: str, target: str) -> bool:
        return self._cuts[sender, Way.OUT] > 0 or self._cuts[target, Way.IN] > 0

    def _pass_late(
        self,
        sock: Any,  # noqa: ANN401
        sender: str,
        target: str,
        data: bytes,
        address: tuple[str, int],
    ) -> None:
        self._held += 1
        while self._is_cut(sender, target):
            eventlet.sleep(POLL_S)
        self._held -= 1
        _send(sock, data, address)


def _send(sock: Any, data: bytes, address: tuple[str, int]) -> None:  # noqa: ANN401
    """Send a datagram, unless there is no room for it or the relay has closed."""
    with contextlib.suppress(OSError):
        sock.fd.sendto(data, address)
