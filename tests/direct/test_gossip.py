"""Datagrams between entries."""

from __future__ import annotations

import errno
from typing import Any

import eventlet

from .standins import start_entry


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
