"""Cuts of paths lose or hold what is sent there, one way or both, and overlap."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import eventlet
import pytest
from eventlet.green import socket

from tests.direct.standins import (
    accept_all,
    address_of,
    listen_locally,
    wake_waiting_greenlets,
)

from .entries import FIRST_PORT, reserved_net
from .out_of_step_network import PeerNetwork, StorePath, Way
from .relayed_entry import rebind_datagram_sockets

SHORT_S = 0.15


class _Entry(NamedTuple):
    """An entry as the network sees it, with its socket for datagrams."""

    name: str
    ip: str
    sock: Any

    def send(self, other: _Entry, data: bytes) -> None:
        self.sock.sendto(data, (other.ip, FIRST_PORT))

    def receive(self) -> list[bytes]:
        """Return all datagrams that arrive within a while."""
        found = []
        with eventlet.Timeout(SHORT_S, False):
            while True:
                found.append(self.sock.recv(1000))
        return found


class _Peers(NamedTuple):
    network: PeerNetwork
    entries: list[_Entry]


@pytest.fixture
def peers() -> Iterator[_Peers]:
    with reserved_net() as net:
        own_ips = [f"127.{net}.2.{number + 1}" for number in range(3)]
        entries = []
        for number, ip in enumerate(own_ips):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((ip, FIRST_PORT))
            entries.append(_Entry(f"entry-{number}", f"127.{net}.0.{number + 1}", sock))
        network = PeerNetwork(entries, own_ips)
        yield _Peers(network, entries)
        network.close()
        for entry in entries:
            wake_waiting_greenlets(entry.sock)
            entry.sock.close()


def exchange(entries: list[_Entry]) -> tuple[list[bytes], list[bytes], list[bytes]]:
    """Return what arrives where the first entry and the others send to each other."""
    first, second, third = entries
    first.send(second, b"1 to 2")
    second.send(first, b"2 to 1")
    second.send(third, b"2 to 3")
    return first.receive(), second.receive(), third.receive()


def test_datagrams_are_relayed(peers: _Peers) -> None:
    assert exchange(peers.entries) == ([b"2 to 1"], [b"1 to 2"], [b"2 to 3"])


@pytest.mark.parametrize(
    ("way", "arrives"),
    [
        (Way.BOTH, ([], [], [b"2 to 3"])),
        (Way.IN, ([], [b"1 to 2"], [b"2 to 3"])),
        (Way.OUT, ([b"2 to 1"], [], [b"2 to 3"])),
        (Way.NONE, ([b"2 to 1"], [b"1 to 2"], [b"2 to 3"])),
    ],
)
def test_a_cut_loses_the_datagrams_of_one_entry(
    peers: _Peers, way: Way, arrives: tuple[list[bytes], ...]
) -> None:
    with peers.network.cut("entry-0", way, holds=False):
        assert exchange(peers.entries) == arrives
    assert exchange(peers.entries) == ([b"2 to 1"], [b"1 to 2"], [b"2 to 3"])


def test_held_datagrams_arrive_after_the_last_cut(peers: _Peers) -> None:
    first, second, _ = peers.entries
    with peers.network.cut("entry-0", Way.IN, holds=True):
        with peers.network.cut("entry-0", Way.BOTH, holds=False):
            second.send(first, b"late")
            assert first.receive() == []
        assert first.receive() == []
    assert first.receive() == [b"late"]


class _Store(NamedTuple):
    """A client's connection to a server through a path, and what the server receives."""

    path: StorePath
    client: Any
    server: Any


@pytest.fixture
def store() -> Iterator[_Store]:
    listener = listen_locally()
    accepted: list[Any] = []
    eventlet.spawn(accept_all, listener, accepted.append)
    path = StorePath(address_of(listener))
    ip, _, port = path.address.rpartition(":")
    client = socket.create_connection((ip, int(port)))
    with eventlet.Timeout(2.0):
        while not accepted:
            eventlet.sleep(0.01)
    yield _Store(path, client, accepted[0])
    path.close()
    client.close()


def received(sock: Any) -> bytes:  # noqa: ANN401
    """Return what arrives within a while, or that the connection is silent."""
    with eventlet.Timeout(SHORT_S, False):
        return bytes(sock.recv(1000))
    return b"silent"


@pytest.mark.parametrize("way", [Way.IN, Way.OUT, Way.BOTH])
def test_connections_to_the_store_are_silent_and_what_was_sent_arrives_late(
    store: _Store, way: Way
) -> None:
    with store.path.cut(way, stays_silent=False):
        store.client.sendall(b"question")
        store.server.sendall(b"answer")
        to_client = b"silent" if Way.IN in way else b"answer"
        to_server = b"silent" if Way.OUT in way else b"question"
        assert received(store.client) == to_client
        assert received(store.server) == to_server
    if Way.IN in way:
        assert received(store.client) == b"answer"
    if Way.OUT in way:
        assert received(store.server) == b"question"


def test_the_end_of_a_connection_does_not_pass_a_cut(store: _Store) -> None:
    with store.path.cut(Way.BOTH, stays_silent=False):
        store.server.close()
        assert received(store.client) == b"silent"
    assert received(store.client) == b""


def test_connections_may_stay_silent_for_good_while_new_ones_work(store: _Store) -> None:
    with store.path.cut(Way.BOTH, stays_silent=True):
        store.server.sendall(b"answer")
    assert received(store.client) == b"silent"
    store.server.sendall(b"another")
    assert received(store.client) == b"silent"


def test_the_sockets_for_datagrams_of_an_entry_are_bound_behind_the_relay() -> None:
    bound = []

    class _Socket:
        type = socket.SOCK_DGRAM

        def bind(self, address: tuple[str, int]) -> None:
            bound.append(address)

    class _Listener(_Socket):
        type = socket.SOCK_STREAM

    rebind_datagram_sockets(_Socket, "127.40.2.1")
    _Socket().bind(("127.40.0.1", FIRST_PORT))
    _Listener().bind(("127.40.0.1", FIRST_PORT))
    assert bound == [("127.40.2.1", FIRST_PORT), ("127.40.0.1", FIRST_PORT)]
