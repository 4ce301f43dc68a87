"""Callers of HTTP/1.0 and 1.1, on kept and new connections straight to the entries."""

from __future__ import annotations

import contextlib
import time
from dataclasses import dataclass, field

import eventlet
from eventlet.green.socket import MSG_DONTWAIT, MSG_PEEK

from .clients import ABANDONED_FRACTION, MAX_ABANDON_S, MAX_TAKE_UPS, Callers, Outcome
from .http_connection import HttpConnection, encode
from .worker_content import request_body

KINDS = ("once", "once", "safe", "draft", "draft", "brief", "brief")
"""Kinds of routes; those of streams make up more than half."""

DEADLINE_S = 3.0
"""How long the entry is told that the caller waits, in seconds."""

PATIENCE_S = DEADLINE_S + 1.5
"""How long the caller waits, in seconds: longer than an entry may take to answer."""

HTTP10_FRACTION = 0.2
NEW_CONNECTION_FRACTION = 0.3
"""Fractions of the requests of HTTP/1.0, and of those on a connection of their own."""

BODY_BYTES = (20, 20, 20, 60, 900, 200_000, 700_000)
"""Sizes of a request's body, in bytes; one is drawn for each. None is empty: entries refuse
a body that several endpoints ran when they ended."""

PIECES_FRACTION = 0.3
"""Fraction of the requests that are sent in pieces."""

PIECES = 5
MAX_PIECE_PAUSE_S = 0.02
"""Longest pause between the pieces of a request, in seconds."""


@dataclass(slots=True)
class ProcessCallers(Callers):
    """All callers, which use no proxy: what an entry does to a connection, they see."""

    kinds: tuple[str, ...] = field(default=KINDS)
    http10_fraction: float = HTTP10_FRACTION

    def run_caller(self, key: str) -> None:
        """Send requests as one caller until the soak stops."""
        conn: _Connection | None = None
        while self.pause(self.max_pause_s):
            outcome = self._draw_request()
            is_new = self.rng.random() < NEW_CONNECTION_FRACTION
            if conn is not None and (is_new or outcome.http == "1.0" or conn.was_closed()):
                conn.close()
                conn = None
            if conn is None:
                conn = _Connection(*self.rng.choice(self.addresses()))
            outcome.entry = conn.entry
            if not conn.exchange(outcome, key, self._draw_pauses()) or is_new:
                conn.close()
                conn = None
            self.outcomes.append(outcome)
            self._follow_up(outcome, key)

    def _follow_up(self, outcome: Outcome, key: str) -> None:
        """Send what a caller sends because of a result."""
        if outcome.is_broken_stream:
            self._take_up_broken(outcome, key)

    def _draw_request(self) -> Outcome:
        kind = self.rng.choice(self.kinds)
        rid = self.make_rid(kind)
        outcome = Outcome(rid, kind, "", time.monotonic())
        outcome.request_body = request_body(rid, self.rng.choice(BODY_BYTES))
        outcome.deadline_s, outcome.timeout_s = DEADLINE_S, PATIENCE_S
        if self.rng.random() < ABANDONED_FRACTION:
            outcome.timeout_s = self.rng.uniform(0.0, MAX_ABANDON_S)
        if self.rng.random() < self.http10_fraction:
            outcome.http = "1.0"
        return outcome

    def _draw_pauses(self) -> list[float]:
        if self.rng.random() >= PIECES_FRACTION:
            return []
        return [self.rng.uniform(0.0, MAX_PIECE_PAUSE_S) for _ in range(PIECES - 1)]

    def _take_up_broken(self, broken: Outcome, key: str) -> None:
        """Take a broken stream up at another entry, again if it breaks there."""
        for _ in range(MAX_TAKE_UPS):
            if not broken.is_broken_stream or self.is_stopped:
                return
            others = [pair for pair in self.addresses() if pair[0] != broken.entry]
            entry, address = self.rng.choice(others or self.addresses())
            again = self._draw_request()
            again.kind, again.entry = broken.kind, entry
            again.rid = self.make_rid(broken.kind)
            again.request_body = request_body(again.rid, len(broken.request_body))
            again.after = broken.last_event
            again.stream_rid = broken.stream_rid or broken.rid
            self._send_alone(again, address, key)
            broken = again

    def _send_alone(self, outcome: Outcome, address: str, key: str) -> None:
        """Send a request on a connection of its own."""
        conn = _Connection(outcome.entry, address)
        conn.exchange(outcome, key, self._draw_pauses())
        conn.close()
        self.outcomes.append(outcome)


class _Connection(HttpConnection):
    def exchange(self, outcome: Outcome, key: str, pauses_s: list[float]) -> bool:
        """Send a request and read its response.

        Args:
            outcome: The request, which receives the result.
            key: The API key.
            pauses_s: Pauses between the pieces in which it is sent, in seconds.

        Returns:
            Whether the connection can be used for another request.
        """
        outcome.sent_at = time.monotonic()
        is_reusable = self._finish(outcome, lambda: self._send(outcome, key, pauses_s))
        return is_reusable and outcome.http == "1.1"

    def _send(self, outcome: Outcome, key: str, pauses_s: list[float]) -> None:
        self._connect()
        data = encode(self._http, outcome, key)
        size = len(data) // (len(pauses_s) + 1)
        for pause_s in pauses_s:
            self._sock.sendall(data[:size])
            data = data[size:]
            eventlet.sleep(pause_s)
        self._sock.sendall(data)
        outcome.arrived_at = time.monotonic()

    def was_closed(self) -> bool:
        """Return whether the entry has closed the idle connection, or sent bytes there."""
        try:
            self._sock.fd.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self) -> None:
        """Close the connection, which the entry may have reset."""
        with contextlib.suppress(OSError):
            super().close()
