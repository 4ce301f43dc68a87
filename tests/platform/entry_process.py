"""Starts the entry as a process."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path
from typing import IO

import eventlet
from eventlet.green import socket

from tests.direct.standins import LOCAL

MAIN = Path(__file__).resolve().parents[2] / "platform" / "main.py"
LOAD_TIMEOUT_S = 3.0
MAX_UNREAD_CONNECTIONS = 40


def start_entry_process(
    path: str, *options: str, log: IO[bytes] | None = None
) -> subprocess.Popen[bytes]:
    """Start an entry.

    Args:
        path: The settings file.
        *options: Options of its command line.
        log: Where its output goes; to a pipe if omitted, which the entry may fill.
    """
    env = {"PATH": os.environ["PATH"], "DOCKREACH_CONFIG": path}
    command = [sys.executable, str(MAIN), *options]
    return subprocess.Popen(command, env=env, stdout=log or subprocess.PIPE)


def send_until_read(port: int, request: bytes) -> bytes:
    """Send a request, again if the entry closes the connection without reading it.

    Returns:
        Everything up to the end of the connection.

    Raises:
        AssertionError: The entry reads none of the connections.
    """
    for _ in range(MAX_UNREAD_CONNECTIONS):
        sock = socket.create_connection((LOCAL, port), timeout=30.0)
        response = b""
        try:
            sock.sendall(request)
            while data := sock.recv(65536):
                response += data
        except ConnectionError:
            # A busy entry resets some of its new connections.
            assert not response
        finally:
            sock.close()
        if response:
            return response
        eventlet.sleep(0.05)
    raise AssertionError("the entry read none of the connections")


def wait_until_listening(port: int) -> None:
    """Wait until a process accepts connections at a port.

    Raises:
        AssertionError: It does not in time.
    """
    deadline = time.monotonic() + LOAD_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            socket.create_connection((LOCAL, port), timeout=1.0).close()
            return
        except OSError:
            eventlet.sleep(0.002)
    raise AssertionError("the entry did not start to listen in time")
