"""Entries as processes of their own, and the signals that they are sent."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from dockreach.events import Event

from .promises import COLD_OVER, COLD_SLACK, EMPTY_S

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 8.0

FRONT_PORT = 18221
READY_PORT = 18224
CONTROL_PORT = 18229
FIRST_PORT = 17600
"""Ports are the same for all entries, as on the platform: each has an IP number."""


INTERNAL_ERROR = f'"event": {int(Event.INTERNAL_ERROR)},'

NETS = range(40, 240)


@contextlib.contextmanager
def reserved_net() -> Iterator[int]:
    """Reserve the second part of loopback numbers that no other soak uses.

    Raises:
        OSError: All are in use.
    """
    first = os.getpid() % len(NETS)
    nets: list[int] = [*NETS[first:], *NETS[:first]]
    for net in nets:
        with socket.socket() as sock:
            # Nobody listens on the control port: it is kept as the sign of who uses them.
            if _binds(sock, net):
                yield net
                return
    raise OSError("no loopback numbers are free")


def _binds(sock: socket.socket, net: int) -> bool:
    try:
        sock.bind((f"127.{net}.0.1", CONTROL_PORT))
    except OSError:
        return False
    return True


class EntryProcess:
    """One entry.

    Attributes:
        ip: Its own loopback number.
        unplanned: Exits that nobody asked for, as exit codes.
    """

    def __init__(self, number: int, net: int, store: str, folder: Path) -> None:
        self.name = f"entry-{number}"
        self.ip = f"127.{net}.0.{number + 1}"
        self._store = store
        self._seeds = [f"127.{net}.0.{other + 1}:{CONTROL_PORT}" for other in range(3)]
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self._is_meant_to_end = False
        self.unplanned: list[int] = []

    @property
    def front(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.ip, FRONT_PORT

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    @property
    def is_listening(self) -> bool:
        """Whether callers can connect: the program's first lines have run."""
        with socket.socket() as sock:
            return sock.connect_ex(self.front) == 0

    def write_settings(self) -> None:
        """Write the settings file anew."""
        new = self._settings.with_suffix(".new")
        new.write_text(json.dumps(self._fields()))
        new.replace(self._settings)

    def _fields(self) -> dict[str, Any]:
        return {
            "node_name": self.name,
            "ip": self.ip,
            "zone": "hall1",
            "listen_addrs": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "port_range": [FIRST_PORT, FIRST_PORT + 15],
            "seeds": self._seeds,
            "bootstrap": self._starts == 0,
            "bounds": {
                "grace_period_s": GRACE_S,
                "quota_window_s": 4,
                "quota_over": 0.25,
                "evac_ms": EMPTY_S * 1000,
                "cold_over": COLD_OVER,
                "cold_slack": COLD_SLACK,
            },
            "platform": {"address": self._store},
        }

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self._starts += 1
        self._is_meant_to_end = False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "main.py")],
                env={
                    "PATH": os.environ["PATH"],
                    "DOCKREACH_CONFIG": str(self._settings),
                    "EVENTLET_NO_GREENDNS": "yes",
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        if not self.is_running or self._process is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_meant_to_end = True
        self._process.send_signal(number)

    def look(self) -> None:
        """Note an end that nobody asked for, and start the process again."""
        if self._process is None or self.is_running:
            return
        if not self._is_meant_to_end:
            self.unplanned.append(self._process.returncode)
        self.start()

    def end(self) -> None:
        """End the process for good."""
        if self._process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self._process.wait()
        self._process = None

    def faults(self) -> list[str]:
        """Return the faults of the program that its log tells of."""
        if not self._log.exists():
            return []
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if INTERNAL_ERROR in line]

    def tail(self, lines: int = 12) -> str:
        """Return the last lines of its log."""
        if not self._log.exists():
            return ""
        return "\n".join(self._log.read_text(errors="replace").splitlines()[-lines:])
