"""A loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import contextlib
import enum
from typing import Any

import eventlet
from eventlet.green import socket

from tests.direct.standins import accept_all, address_of, listen_locally, reset

PIECE_BYTES = 65536


class Harm(enum.Enum):
    """What the proxy does to the connections that pass through it."""

    NONE = "none"
    DELAY = "delay"
    """Each piece waits for `DELAY_S`."""

    RESET = "reset"
    """Connections are reset, those that are open and new ones."""

    SILENT = "silent"
    """Nothing passes either way; what was held up is lost, with its connection."""

    NO_ANSWERS = "no_answers"
    """What the caller sends passes, what comes back does not."""


DELAY_S = 0.05


class Proxy:
    """Stands before one address.

    Attributes:
        address: Where it listens, IP number and port.
    """

    def __init__(self, behind: str) -> None:
        self._behind = behind
        self._listener = listen_locally()
        self._harm = Harm.NONE
        self._pairs: set[tuple[Any, Any]] = set()
        self._muted: set[tuple[Any, Any]] = set()
        self.address = address_of(self._listener)
        eventlet.spawn(accept_all, self._listener, self._serve)

    def harm(self, harm: Harm) -> None:
        """Change what is done to connections."""
        self._harm = harm
        if harm is Harm.RESET:
            for pair in list(self._pairs):
                self._reset(pair)

    def mute(self) -> None:
        """Let all open connections be silent for good, without a reset; new ones work."""
        self._muted |= self._pairs

    def _serve(self, front: Any) -> None:  # noqa: ANN401
        if self._harm is Harm.RESET:
            _reset_if_open(front)
            return
        back = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        ip, _, port = self._behind.rpartition(":")
        try:
            back.connect((ip, int(port)))
        except OSError:
            _reset_if_open(front)
            return
        pair = (front, back)
        self._pairs.add(pair)
        eventlet.spawn_n(self._copy, front, back, pair)
        self._copy(back, front, pair)

    def _copy(self, source: Any, sink: Any, pair: tuple[Any, Any]) -> None:  # noqa: ANN401
        try:
            while data := source.recv(PIECE_BYTES):
                if self._harm is Harm.DELAY:
                    eventlet.sleep(DELAY_S)
                self._hold(source, pair)
                if pair not in self._muted:
                    sink.sendall(data)
            if pair not in self._muted:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            if pair not in self._muted:
                self._reset(pair)
        finally:
            if source is pair[1]:
                self._pairs.discard(pair)

    def _hold(self, source: Any, pair: tuple[Any, Any]) -> None:  # noqa: ANN401
        """Hold up what came from a side for as long as it must not pass.

        Raises:
            OSError: It was held up by silence, and is lost.
        """
        is_answer = source is pair[1]
        while is_answer and self._harm is Harm.NO_ANSWERS:
            eventlet.sleep(DELAY_S)
        was_silent = False
        while self._harm is Harm.SILENT:
            was_silent = True
            eventlet.sleep(DELAY_S)
        if was_silent:
            raise OSError("held up, and lost")

    def _reset(self, pair: tuple[Any, Any]) -> None:
        self._pairs.discard(pair)
        for sock in pair:
            _reset_if_open(sock)


def _reset_if_open(sock: Any) -> None:  # noqa: ANN401
    """Reset a connection, unless the other direction has already done so."""
    with contextlib.suppress(OSError):
        reset(sock)
