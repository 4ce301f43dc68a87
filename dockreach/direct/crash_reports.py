"""Finds out whether an engine has ended under a request, and tells the other entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import eventlet
from cachetools import TTLCache

from ..events import Event, log
from .crashers import Crashers, Suspect
from .digest import CrashNews
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow, EndpointTable
from .http1 import ConnectError
from .requests import InboundRequest

CLOSED_S = 0.05
"""Time in which something that goes on to listen for an ended engine closes a connection,
in seconds: a proxy before it. One that lives waits for a request."""

AWAITED_S = 6.0
"""How long it is awaited that the platform tells of the end, in seconds, where an engine
that is back at once takes connections like the old one: three heartbeats of silence."""

MOST_AWAITED = 64
"""Engines of which an end is awaited."""

TELL_AGAIN_S = (0.1, 0.4, 1.2)
"""After how long it is told again that a request is barred, in seconds: of four datagrams
one arrives on a link that loses half, before the next try of most callers. A first end is
told once, and then with digests: at 300 entries each telling takes 300 datagrams."""

MOST_GREETED = 16
"""Requests that are told at once to an entry that has just started."""


class _Loss(NamedTuple):
    """A request without an answer, whose engine may have ended under it."""

    path: str
    fingerprint: bytes
    organisation: str
    row: EndpointRow
    sent: float
    at: float


class CrashReports:
    """Reports the ends of engines under requests of this entry.

    Args:
        crashers: What all entries have seen.
        endpoints: Where the requests were sent.
        send_all: Tells all other entries.
        clock: Returns the time, in seconds.
        connect_s: Longest wait for a connection to an engine, in seconds.
    """

    def __init__(
        self,
        crashers: Crashers,
        endpoints: EndpointTable,
        send_all: Callable[[CrashNews], None],
        clock: Callable[[], float],
        connect_s: float,
    ) -> None:
        self.crashers = crashers
        self._endpoints = endpoints
        self._send_all = send_all
        self._clock = clock
        self._connect_s = connect_s
        self._awaited: TTLCache[str, list[_Loss]] = TTLCache(
            MOST_AWAITED, ttl=AWAITED_S, timer=clock
        )

    def lost(
        self,
        req: InboundRequest,
        fingerprint: bytes,
        organisation: str,
        row: EndpointRow,
        sent: float,
    ) -> None:
        """Look whether an engine has ended on which a request was lost.

        Args:
            req: The request; it had made no event, or had begun a moment ago.
            fingerprint: The same for each of its tries.
            organisation: Whose key it carries.
            row: The engine.
            sent: Steady time at which the request was sent there, in seconds.
        """
        if row.published.leaving or self._endpoints.get(row.id) is None:
            # It was to end, and what was under way there is cut in the end.
            return
        loss = _Loss(req.path, fingerprint, organisation, row, sent, self._clock())
        eventlet.spawn_n(self._look, loss)

    def _look(self, loss: _Loss) -> None:
        if self._has_ended(loss.row):
            self._note_end(loss)
        else:
            self._awaited.setdefault(loss.row.life, []).append(loss)

    def ended(self, row: EndpointRow) -> None:
        """Note that an engine has gone or started again, by the platform's word."""
        losses = self._awaited.pop(row.life, [])
        if not row.published.leaving:
            for loss in losses:
                self._note_end(loss)

    def lives(self, row: EndpointRow) -> None:
        """Note that an engine answers: what was lost there before did not end it."""
        if self._awaited:
            self._awaited.pop(row.life, None)

    def _note_end(self, loss: _Loss) -> None:
        fingerprint, life = loss.fingerprint, loss.row.life
        if not self.crashers.note_end(fingerprint, life, sent=loss.sent, ended=loss.at):
            return
        is_barred = self.crashers.is_barred(fingerprint)
        log(
            Event.REQUEST_CRASHED,
            endpoint=loss.row.id,
            fingerprint=fingerprint.hex(),
            organisation=loss.organisation,
            path=loss.path,
            is_barred=is_barred,
        )
        if is_barred:
            log(Event.REQUEST_BARRED, fingerprint=fingerprint.hex(), path=loss.path)
            for pause_s in TELL_AGAIN_S:
                eventlet.spawn_after(pause_s, self._tell, fingerprint)
        self._tell(fingerprint)

    def _has_ended(self, row: EndpointRow) -> bool:
        """Return whether no engine listens where one listened.

        Without this a reset of all connections, an answer that breaks off and bytes that
        are none would count as ends.
        """
        if self._endpoints.get(row.id) is not row:
            # It has started again: the address is that of its next life.
            return True
        try:
            conn = EndpointConnection(row.published.address, self._connect_s)
        except ConnectError:
            return True
        eventlet.sleep(CLOSED_S)
        is_open = conn.is_quiet()
        conn.close()
        return not is_open

    def answered(self, fingerprint: bytes) -> None:
        """Note that a request was answered: it crashes nothing."""
        if self.crashers.note_answered(fingerprint):
            self._tell(fingerprint)

    def _tell(self, fingerprint: bytes) -> None:
        suspects = self.crashers.tell(fingerprint)
        if suspects:
            self._send_all(CrashNews(suspects))

    def greeting(self) -> CrashNews | None:
        """Return what an entry that has just started is told; ``None`` for nothing."""
        suspects = self.crashers.tell_barred(MOST_GREETED)
        return CrashNews(suspects) if suspects else None

    def take(self, suspects: list[Suspect]) -> None:
        """Take in what another entry tells."""
        for suspect in suspects:
            if self.crashers.take(suspect):
                log(Event.REQUEST_BARRED, fingerprint=suspect.fingerprint.hex(), path="")
            if self.crashers.vouch(suspect.fingerprint):
                self._tell(suspect.fingerprint)
