"""Datagrams between entries."""

from __future__ import annotations

import errno
import socket
import time
from typing import Any

import eventlet
import msgspec
import pytest

from dockreach import clock
from dockreach.direct.datagrams import encode
from dockreach.direct.digest import Address, Digest
from dockreach.direct.entry import Entry
from dockreach.direct.gossip import MAX_TURN_BYTES
from dockreach.direct.http1 import MAX_TURN_STEPS
from dockreach.direct.loops import run_forever
from dockreach.direct.peers import FRESH_S, PeerRow
from dockreach.direct.stalls import Stalls

from .core_builders import address, digest
from .standins import start_entry

MAX_FLOOD = 2000
STOPPED_S = FRESH_S + 0.4
PEER = address(1)


class FullSocket:
    """A non-blocking socket whose send buffer is full."""

    def __init__(self, sock: Any) -> None:  # noqa: ANN401
        self._sock = sock

    def fileno(self) -> int:
        number: int = self._sock.fileno()
        return number

    def sendto(self, *_: object) -> int:
        raise BlockingIOError(errno.EAGAIN, "send buffer full")


def test_a_full_send_buffer_holds_up_no_scheduling_round() -> None:
    entry = start_entry()
    gossip = entry.gossip
    eventlet.sleep(0.1)
    gossip._sock.fd = FullSocket(gossip._sock.fd)
    with eventlet.Timeout(0.2):
        gossip.send(gossip._make_digest(), entry.settings.gossip_address)
    assert gossip.send_errors == 1


class FloodedSocket:
    """A socket in which the next datagram is always there already."""

    def __init__(self, data: bytes, fd: Any) -> None:  # noqa: ANN401
        self._data = data
        self._sock = fd
        self.fd = self
        self.received = 0

    def fileno(self) -> int:
        number: int = self._sock.fileno()
        return number

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        sent: int = self._sock.sendto(data, address)
        return sent

    def recvfrom(self, _: int) -> tuple[bytes, tuple[str, int]]:
        self.received += 1
        if self.received > MAX_FLOOD:
            eventlet.sleep(60)
        return self._data, ("10.0.0.9", 7000)


def most_received_in_a_turn(data: bytes) -> int:
    """Return how many of a flood of datagrams an entry receives before others run."""
    entry = start_entry()
    eventlet.sleep(0.1)
    sock = entry.gossip._sock
    flooded = FloodedSocket(data, sock.fd)
    entry.gossip._sock = flooded
    received_at_turns: list[int] = []

    def count_turns() -> None:
        while flooded.received <= MAX_FLOOD:
            received_at_turns.append(flooded.received)
            eventlet.sleep(0)

    receiver = eventlet.spawn(run_forever, entry.gossip._receive_next)
    counter = eventlet.spawn(count_turns)
    try:
        with eventlet.Timeout(10):
            counter.wait()
    finally:
        receiver.kill()
        entry.gossip._sock = sock
    turns = [0, *received_at_turns, flooded.received]
    return max(b - a for a, b in zip(turns, turns[1:], strict=False))


@pytest.mark.parametrize(
    "data", [b"\xc0", encode(digest(address(1)))], ids=["invalid", "known digest"]
)
def test_datagrams_without_end_do_not_hold_up_other_greenlets(data: bytes) -> None:
    assert most_received_in_a_turn(data) <= MAX_TURN_STEPS + 1


def test_large_datagrams_hold_up_other_greenlets_no_longer_than_small_ones() -> None:
    in_flight = {f"endpoint-{number}": 3 for number in range(1200)}
    data = encode(digest(address(1), in_flight=in_flight))
    assert most_received_in_a_turn(data) <= MAX_TURN_BYTES // len(data) + 2


def send_datagram(entry: Entry, message: Digest) -> float:
    """Send a digest to an entry; return the monotonic time before, in seconds."""
    own = entry.settings.gossip_address
    sent_at = clock.now()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(encode(message), (own.ip, own.port))
    return sent_at


def peer_digest(entry: Entry, number: int = 1) -> Digest:
    """Return a digest of a peer that knows all changes of the list up to now."""
    listed = digest(PEER, number=number, endpoints_revision=entry.endpoints_revision)
    return msgspec.structs.replace(listed, endpoints_complete_s=0.0, in_flight={"e-0": 2})


def row_of(entry: Entry, peer: Address = PEER) -> PeerRow:
    row = entry.peers.get(peer)
    assert row is not None
    return row


def stopped_entry() -> tuple[Entry, float]:
    """Return an entry that has just read a digest that waited while it stood still."""
    entry = start_entry()
    eventlet.sleep(0.2)
    sent_at = send_datagram(entry, peer_digest(entry))
    time.sleep(STOPPED_S)
    eventlet.sleep(0.02)
    return entry, sent_at


def test_a_digest_that_waited_while_the_entry_stood_still_is_as_old_as_its_sending() -> (
    None
):
    """Guards against peers that count as alive by what they sent before they died."""
    entry, sent_at = stopped_entry()
    row = row_of(entry)
    assert row.sent_after <= sent_at <= row.sent_before
    assert not entry.peers.is_fresh(row, clock.now())
    assert entry.peers.silent(clock.now())


def test_a_digest_that_waited_confirms_the_list_only_up_to_its_sending() -> None:
    """Guards against streams that go on at a version of which the list is out of date."""
    entry, sent_at = stopped_entry()
    assert entry._endpoints_confirmation().at <= sent_at
    # What is sent from now on counts.
    confirmed_after = send_datagram(entry, peer_digest(entry, 2))
    eventlet.sleep(0.05)
    send_datagram(entry, peer_digest(entry, 3))
    eventlet.sleep(0.05)
    assert entry.peers.is_fresh(row_of(entry), clock.now())
    assert entry._endpoints_confirmation().at >= confirmed_after - FRESH_S / 4


def test_a_peer_that_may_have_died_meanwhile_is_still_counted_and_asked() -> None:
    """Guards against overloaded endpoints just after an entry stood still."""
    entry, _ = stopped_entry()
    row = row_of(entry)
    assert entry.peers.heard(clock.now()) == [row]
    assert entry.peers.in_flight(clock.now()) == {"e-0": 2}


def test_digests_that_are_read_at_once_are_as_recent_as_their_reading() -> None:
    entry = start_entry()
    # Not disturbed by a busy machine, which may stop the test for a moment.
    entry.gossip._stalls = Stalls(clock.now)
    for number in range(1, 8):
        eventlet.sleep(0.15)
        sent_at = send_datagram(entry, peer_digest(entry, number))
        eventlet.sleep(0.02)
        row = row_of(entry)
        assert row.received_at >= sent_at
        assert row.sent_after <= sent_at
