"""Endpoints that fall silent for a while at any point of a response, and then go on."""

from __future__ import annotations

import random
import socket

from tests.direct.standins import Dialog

SILENCE_S = (0.5, 3.0)
"""Shortest and longest silence, in seconds."""

HEAD_END = b"\r\n\r\n"


class SilentDialog(Dialog):
    """A dialog whose response falls silent once.

    Args:
        dialog: The dialog with the request.
        before_part: Number of the part of the response before which it is silent, see
            `parts_of`; it may lie behind the last one.
        for_s: For how long it is silent, in seconds.
    """

    def __init__(self, dialog: Dialog, before_part: int, for_s: float) -> None:
        super().__init__(dialog.sock)
        self.request = dialog.request
        self._parts_left = before_part
        self._for_s = for_s

    def send(self, data: bytes) -> None:
        """Send bytes, silent before one of their parts if its turn has come."""
        for part in parts_of(data):
            if self._parts_left == 0:
                self._be_silent()
            self._parts_left -= 1
            super().send(part)

    def _be_silent(self) -> None:
        """Wait in silence.

        Raises:
            EOFError: The peer closed the connection, which ends the work on the request.
        """
        self.sock.settimeout(self._for_s)
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                raise EOFError("closed by the peer while silent")
        except TimeoutError:
            return
        finally:
            self.sock.settimeout(None)


def parts_of(data: bytes) -> list[bytes]:
    """Return the parts of a piece of a response: its head, and the halves of the rest."""
    head, rest = b"", data
    if data.startswith(b"HTTP/"):
        size = data.index(HEAD_END) + len(HEAD_END)
        head, rest = data[:size], data[size:]
    middle = len(rest) // 2
    return [part for part in (head, rest[:middle], rest[middle:]) if part]


def draw_part(rng: random.Random, events: int | None) -> int:
    """Draw the part of a response before which an endpoint falls silent.

    Args:
        rng: Draws it.
        events: Number of events of a stream; ``None`` for a plain response.
    """
    parts = 3 if events is None else 2 * events + 3
    before_head, after_head, before_end = 0, 1, parts - 2
    anywhere = rng.randrange(parts), rng.randrange(parts)
    return rng.choice((before_head, after_head, before_end, *anywhere))
