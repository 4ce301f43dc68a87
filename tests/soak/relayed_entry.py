"""Runs an entry whose datagrams arrive through a relay: ``relayed_entry.py IP MAIN``.

The entry tells others the address in its settings, where the relay listens; its own socket
is bound to another one.
"""

from __future__ import annotations

import runpy
import socket
import sys
from pathlib import Path
from typing import Any

from eventlet import patcher


def rebind_datagram_sockets(cls: Any, ip: str) -> None:  # noqa: ANN401
    """Let the datagram sockets of a class bind to another address, at the same port.

    Args:
        cls: The class of sockets.
        ip: The address.
    """
    original = cls.bind

    def bind(self: socket.socket, address: tuple[str, int]) -> None:
        if self.type == socket.SOCK_DGRAM:
            address = (ip, address[1])
        original(self, address)

    cls.bind = bind


def main() -> None:
    """Run the program of an entry in this process."""
    _, ip, program = sys.argv
    sys.argv = [program]
    sys.path[0] = str(Path(program).parent)
    # Eventlet's sockets wrap those of a copy of the module.
    rebind_datagram_sockets(patcher.original("socket").socket, ip)
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()
