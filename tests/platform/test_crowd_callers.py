"""The callers of a crowd come again only when they should."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
import pytest

from dockreach.direct.digest import Address
from tests.direct.standins import LOCAL, accept_all, listen_locally

from .crowd_callers import Crowd

SIZE = 5


class Server:
    """Reads from each connection, and then responds, closes it or does nothing."""

    def __init__(self) -> None:
        listener = listen_locally()
        self.address = Address(LOCAL, listener.getsockname()[1])
        self.received: list[bytes] = []
        self.response = b""
        self.is_closing = False
        eventlet.spawn(accept_all, listener, self._serve)

    def _serve(self, sock: Any) -> None:  # noqa: ANN401
        self.received.append(sock.recv(100))
        sock.sendall(self.response)
        if self.is_closing:
            sock.close()
        else:
            eventlet.sleep(60.0)


def one_piece(rid: bytes) -> Iterable[bytes]:
    yield rid


@pytest.fixture(name="server")
def _server() -> Server:
    return Server()


@pytest.fixture(name="crowd")
def _crowd(server: Server) -> Iterator[Crowd]:
    crowd = Crowd(server.address, SIZE, one_piece)
    yield crowd
    crowd.leave()


def test_callers_whose_connections_stay_open_do_not_come_again(
    server: Server, crowd: Crowd
) -> None:
    crowd.press(3)
    assert len(server.received) == len(crowd) == SIZE


def test_callers_that_were_refused_come_again_and_their_status_is_kept(
    server: Server, crowd: Crowd
) -> None:
    server.response = b"HTTP/1.1 503 Busy\r\n\r\n"
    crowd.press(2)
    assert sorted(server.received) == sorted(crowd.statuses)
    assert set(crowd.statuses.values()) == {503}
    assert len(crowd.statuses) == 2 * SIZE


def test_callers_whose_connections_were_closed_come_again(
    server: Server, crowd: Crowd
) -> None:
    server.is_closing = True
    crowd.press(2)
    assert crowd.closed == len(server.received) == 2 * SIZE
    assert not crowd
