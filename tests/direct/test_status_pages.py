"""Pages for the load balancer, peers and collectors, beside a crowd at their ports."""

from __future__ import annotations

import contextlib

import eventlet
import pytest
from eventlet.green import socket

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach.direct.status_pages import MAX_PAGE_CONNECTIONS

from .standins import EndpointStandIn, fetch_page, respond_fine, start_entry, status_of


def page_addresses(entry: Entry) -> list[tuple[Address, str]]:
    settings = entry.settings
    assert settings.metrics_address is not None
    return [
        (settings.health_address, "/api/readiness"),
        (settings.gossip_address, "/v1/view"),
        (settings.metrics_address, settings.metrics_path),
    ]


@pytest.mark.parametrize("number", [0, 1, 2])
def test_silent_connections_do_not_lock_a_page_out(number: int) -> None:
    """Guards against an entry that seems not ready as a crowd holds its port."""
    entry = start_entry(EndpointStandIn(respond_fine))
    address, path = page_addresses(entry)[number]
    crowd = []
    for _ in range(2 * MAX_PAGE_CONNECTIONS):
        with contextlib.suppress(ConnectionError):
            crowd.append(socket.create_connection((address.ip, address.port)))
    eventlet.sleep(0.2)
    assert status_of(fetch_page(address, path)) == 200


def dribble(address: Address) -> None:
    """Send the head of a request byte by byte, again whenever the connection ends."""
    while True:
        with (
            contextlib.suppress(OSError),
            socket.create_connection((address.ip, address.port)) as sock,
        ):
            sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nX: ")
            while True:
                sock.sendall(b"a")
                eventlet.sleep(0.1)
        eventlet.sleep(0.01)


def test_connections_that_send_byte_by_byte_do_not_lock_a_page_out() -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    address, path = page_addresses(entry)[0]
    crowd = [eventlet.spawn(dribble, address) for _ in range(2 * MAX_PAGE_CONNECTIONS)]
    eventlet.sleep(0.5)
    for _ in range(5):
        assert status_of(fetch_page(address, path)) == 200
        eventlet.sleep(0.2)
    for task in crowd:
        task.kill()


def test_a_request_for_a_page_has_no_body() -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    address, path = page_addresses(entry)[0]
    sock = socket.create_connection((address.ip, address.port))
    sock.sendall(
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n\r\n".encode()
    )
    sock.settimeout(3.0)
    with contextlib.suppress(ConnectionError):
        assert sock.recv(100) == b""
    assert status_of(fetch_page(address, path)) == 200


def test_connections_to_pages_are_counted_until_they_end() -> None:
    entry = start_entry(EndpointStandIn(respond_fine))
    held = entry.ctx.memory.input
    for address, path in page_addresses(entry):
        sock = socket.create_connection((address.ip, address.port))
        eventlet.sleep(0.05)
        assert held.held_bytes > 0
        sock.close()
        assert status_of(fetch_page(address, path)) == 200
    eventlet.sleep(0.05)
    assert held.held_bytes == 0
