"""Datagrams between entries."""

from __future__ import annotations

import errno
from typing import Any

import eventlet
import pytest

from dockreach.direct.datagrams import encode
from dockreach.direct.gossip import MAX_TURN_BYTES
from dockreach.direct.http1 import MAX_TURN_STEPS
from dockreach.direct.loops import run_forever

from .core_builders import address, digest
from .standins import start_entry

MAX_FLOOD = 2000


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

    def __init__(self, data: bytes, fd: object) -> None:
        self._data = data
        self.fd = fd
        self.received = 0

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
