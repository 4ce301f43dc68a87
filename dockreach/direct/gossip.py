"""Exchanges gossip messages between entries over UDP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.hubs import trampoline

from .. import clock
from ..errors import WireError
from ..events import Event, log
from .datagrams import MAX_DATAGRAM_BYTES, Message, decode, encode
from .digest import Address, Digest
from .http1 import LoopShare
from .loops import run_forever
from .partial_digests import DigestVariants, partial_digest
from .peers import PeerTable
from .stalls import Arrival, Stalls

IDLE_INTERVAL_S = 0.25
"""Interval between digests while nothing changes, in seconds."""

RECV_BYTES = 65536

MAX_TURN_BYTES = 65536
"""Bytes of datagrams that are handled before the event loop is given back. More than for a
connection: the datagrams of all entries arrive at one socket, and those that the kernel has
no room for are lost."""


class Gossip:
    """Exchanges digests with all known entries, and other messages with some or all.

    Args:
        own_address: Where to listen.
        peers: The table of peers, whose addresses digests are sent to.
        make_digest: Returns this entry's digest.
        on_message: Called with each received message, and when it arrived.
        stalls: When this process stood still.
    """

    def __init__(
        self,
        own_address: Address,
        peers: PeerTable,
        make_digest: Callable[[], Digest],
        on_message: Callable[[Message, Arrival], None],
        stalls: Stalls,
    ) -> None:
        self._peers = peers
        self._make_digest = make_digest
        self._on_message = on_message
        self._stalls = stalls
        self._empty_at = clock.now()
        self._variants = DigestVariants(peers)
        self._wake_up: Any = eventlet.event.Event()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((own_address.ip, own_address.port))
        self._share = LoopShare(MAX_TURN_BYTES)
        self.sent = 0
        self.send_errors = 0

    def start(self) -> None:
        """Start sending and receiving."""
        eventlet.spawn(run_forever, self._send_next)
        eventlet.spawn(run_forever, self._receive_next)

    def send_soon(self) -> None:
        """Send the next digest as soon as the minimum interval allows."""
        if not self._wake_up.ready():
            self._wake_up.send(None)

    def send_now(self) -> None:
        """Send a digest to all known entries immediately."""
        digest = self._make_digest()
        now = clock.now()
        encoded: dict[int, bytes] = {}
        for address in self._peers.targets():
            buckets = self._variants.covered_buckets(address, digest, now)
            if buckets not in encoded:
                encoded[buckets] = encode(partial_digest(digest, buckets))
            self._send(encoded[buckets], address)

    def send_all(self, message: Message) -> None:
        """Send a message to all known entries; datagrams may be lost."""
        data = encode(message)
        for address in self._peers.targets():
            self._send(data, address)

    def send(self, message: Message, address: Address) -> None:
        """Send a message to one entry; the datagram may be lost."""
        self._send(encode(message), address)

    def _send(self, data: bytes, address: Address) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            log(Event.DIGEST_TOO_LARGE, bytes=len(data))
            return
        try:
            # Does not wait for room: this runs in scheduling rounds of callers' greenlets.
            self._sock.fd.sendto(data, (address.ip, address.port))
            self.sent += 1
        except OSError:
            # The network is congested or down: the next message replaces this one.
            self.send_errors += 1

    def _send_next(self) -> None:
        self._wake_up = eventlet.event.Event()
        self.send_now()
        eventlet.sleep(self._peers.digest_interval_s)
        with eventlet.Timeout(IDLE_INTERVAL_S, False):
            self._wake_up.wait()

    def _receive_next(self) -> None:
        self._share.begin_step()
        try:
            data = self._read()
            arrival = self._stalls.arrival(self._empty_at, clock.now())
            self._share.add_bytes(len(data))
            message = decode(data)
        except (OSError, WireError) as exc:
            log(Event.DIGEST_REFUSED, str(exc))
            return
        self._on_message(message, arrival)

    def _read(self) -> bytes:
        """Wait for a datagram; note when none was there."""
        while True:
            # Read before the attempt: a datagram may arrive right after it.
            tried_at = clock.now()
            try:
                data: bytes = self._sock.fd.recvfrom(RECV_BYTES)[0]
            except BlockingIOError:
                self._empty_at = tried_at
                trampoline(self._sock, read=True)
            else:
                return data
