"""Opens listening sockets, without importing the rest of the program."""

from __future__ import annotations

import socket

from .digest import Address

BACKLOG = 1024
"""Connections that may wait to be accepted: more than callers open during a startup."""


def listen(address: Address) -> socket.socket:
    """Return a listening socket.

    Raises:
        OSError: The address is in use or not available.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(BACKLOG)
    return sock
