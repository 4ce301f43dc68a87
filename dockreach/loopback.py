"""Loopback addresses that are each used by one program, or one group of them, at a time."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Iterator, Sequence

IPS = [f"127.2.{number}.1" for number in range(1, 255)]
"""Addresses that deployments may reserve."""

_MARKER_PORT = 18230
"""Port that is held while an address is reserved. It is below the range from which the
system picks free ports."""


@contextlib.contextmanager
def reserved_ip() -> Iterator[str]:
    """Reserve a loopback address that no other deployment on this machine has reserved.

    Raises:
        OSError: All of them are in use.
    """
    first = random.randrange(len(IPS))
    with reserved([*IPS[first:], *IPS[:first]], _MARKER_PORT) as ip:
        yield ip


@contextlib.contextmanager
def reserved(ips: Sequence[str], marker_port: int) -> Iterator[str]:
    """Reserve the first free one of some addresses.

    Args:
        ips: The addresses.
        marker_port: Port that is held while one is reserved; no program may use it there.

    Raises:
        OSError: All of them are in use.
    """
    for ip in ips:
        with socket.socket() as marker:
            if _can_bind(marker, ip, marker_port):
                yield ip
                return
    raise OSError("no loopback address is free")


def _can_bind(marker: socket.socket, ip: str, port: int) -> bool:
    try:
        marker.bind((ip, port))
    except OSError:
        return False
    return True
