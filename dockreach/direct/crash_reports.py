"""Detects engines that crash during a request, and reports them to the other entries."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from cachetools import TTLCache

from ..events import Event, log
from .crash_record import Suspect
from .crashers import KEPT_S, MOST_KEPT, Crashers
from .digest import CrashUpdate
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow, EndpointTable
from .http1 import ConnectError

CLOSED_S = 0.05
"""Time within which a proxy that still listens for an exited engine closes a connection, in
seconds. A running engine waits for a request."""

AWAITED_S = 6.0
"""How long an unanswered request waits for the platform to report the engine's exit, in
seconds: three missed heartbeats. An engine that is back at once accepts connections like
the old one, so that connecting to it shows nothing."""

AT_WORK_S = 1.0
"""How long an engine may go on with an abandoned request, in seconds: twice the time within
which it should stop. Without this allowance any response of the engine in that time would
hide that the request crashes it."""

MOST_AWAITED = 64
"""Maximum number of engines with unanswered requests that wait for a reported exit."""

MOST_LOSSES = 16
"""Maximum number of such requests per engine, the latest ones: as many as run there at a
time."""

TELL_AGAIN_S = (0.1, 0.4, 1.2)
"""Delays after which the report on a quarantined request is sent again, in seconds: of four
datagrams one arrives on a link that loses half, before most callers retry. A first crash is
reported once, and then with digests: at 300 entries each report takes 300 datagrams."""

MOST_GREETED = 16
"""Maximum number of requests reported at once to an entry that has just started."""


class Source(NamedTuple):
    """Where a request comes from, for on-call engineers.

    Attributes:
        path: Requested path.
        organisation: Organisation whose key the request carries.
    """

    path: str
    organisation: str


UNSEEN = Source("", "")
"""Source of a request that has not arrived here since other entries reported it."""


class BarredRequest(NamedTuple):
    """A quarantined request.

    Attributes:
        fingerprint: The same each time the request is sent.
        source: Where it comes from.
        ended_s: Time since it last crashed an engine, in seconds.
    """

    fingerprint: bytes
    source: Source
    ended_s: float


class Loss(NamedTuple):
    """A request without a complete response, whose engine may have crashed.

    It had produced no event, or had only just begun to.

    Attributes:
        path: Requested path.
        fingerprint: The same each time the request is sent.
        organisation: Organisation whose key the request carries.
        row: The engine.
        sent: Monotonic time at which the request was sent to it, in seconds.
        at: Monotonic time at which its connection broke or it was abandoned, in seconds.
        is_cut: Whether the connection broke; otherwise the entry abandoned the request.
    """

    path: str
    fingerprint: bytes
    organisation: str
    row: EndpointRow
    sent: float
    at: float
    is_cut: bool = True


class CrashReports:
    """Reports engine crashes during requests of this entry.

    Args:
        crashers: Crashes that all entries have observed, and the requests they quarantine.
        endpoints: Endpoints that requests are sent to.
        send_all: Sends an update to all other entries.
        clock: Returns the monotonic time, in seconds.
        connect_s: Maximum time to establish a connection to an engine, in seconds.
        refuse: Refuses the copies of a quarantined request that wait here.
    """

    def __init__(
        self,
        crashers: Crashers,
        endpoints: EndpointTable,
        send_all: Callable[[CrashUpdate], None],
        clock: Callable[[], float],
        connect_s: float,
        refuse: Callable[[bytes], None],
    ) -> None:
        self.crashers = crashers
        self._endpoints = endpoints
        self._send_all = send_all
        self._clock = clock
        self._connect_s = connect_s
        self._refuse = refuse
        self._awaited: TTLCache[str, deque[Loss]] = TTLCache(
            MOST_AWAITED, ttl=AWAITED_S, timer=clock
        )
        self._sources: TTLCache[bytes, Source] = TTLCache(
            MOST_KEPT, ttl=KEPT_S, timer=clock
        )

    def lost(self, request: Loss) -> None:
        """Check whether the engine of a request whose connection broke has crashed."""
        if self._is_to_stay(request.row):
            eventlet.spawn_n(self._look, request)

    def left(self, request: Loss) -> None:
        """Wait for the exit of an engine that was running a request when it was abandoned.

        Otherwise a request whose callers disconnect before it crashes its engine would
        crash one each time, uncounted.
        """
        if self._is_to_stay(request.row):
            self._await(request._replace(is_cut=False))

    def _is_to_stay(self, row: EndpointRow) -> bool:
        """Return whether an engine is expected to keep running.

        If it is, a request that runs there when it exits may be the cause. A leaving engine
        is shut down on purpose, which cuts off the requests still in flight there.
        """
        return not row.is_leaving and self._endpoints.get(row.id) is not None

    def _look(self, request: Loss) -> None:
        if self._has_ended(request.row):
            self._note_end(request)
            self._note_awaited(request.row)
        else:
            self._await(request)

    def _await(self, request: Loss) -> None:
        requests = self._awaited.get(request.row.incarnation) or deque(maxlen=MOST_LOSSES)
        requests.append(request)
        # Stored again to restart the expiry time, so that the last request is kept as long
        # as the first.
        self._awaited[request.row.incarnation] = requests

    def ended(self, row: EndpointRow) -> None:
        """Record that the platform reports an engine as gone or restarted."""
        if row.is_leaving:
            self._awaited.pop(row.incarnation, None)
        else:
            self._note_awaited(row)

    def _note_awaited(self, row: EndpointRow) -> None:
        """Record a crash for all requests that were abandoned at an engine lately."""
        since = self._clock() - AWAITED_S
        for request in self._awaited.pop(row.incarnation, ()):
            if request.at >= since:
                self._note_end(request)

    def lives(self, row: EndpointRow) -> None:
        """Record a response from an engine: requests lost there before did not crash it.

        It may still be running requests that were abandoned a moment ago.
        """
        requests = self._awaited.pop(row.incarnation, ()) if self._awaited else ()
        since = self._clock() - AT_WORK_S
        for request in requests:
            if not request.is_cut and request.at >= since:
                self._await(request)

    def _note_end(self, request: Loss) -> None:
        fingerprint, incarnation = request.fingerprint, request.row.incarnation
        is_new = self.crashers.note_end(
            fingerprint,
            incarnation,
            sent=request.sent,
            ended=request.at,
            is_cut=request.is_cut,
        )
        if not is_new:
            return
        is_quarantined = self.crashers.is_barred(fingerprint)
        self.came(fingerprint, Source(request.path, request.organisation))
        log(
            Event.REQUEST_CRASHED,
            endpoint=request.row.id,
            fingerprint=fingerprint.hex(),
            organisation=request.organisation,
            path=request.path,
            is_barred=is_quarantined,
        )
        if is_quarantined:
            log(Event.REQUEST_BARRED, fingerprint=fingerprint.hex(), path=request.path)
            self._refuse(fingerprint)
            for delay_s in TELL_AGAIN_S:
                eventlet.spawn_after(delay_s, self._tell, fingerprint)
        self._tell(fingerprint)

    def _has_ended(self, row: EndpointRow) -> bool:
        """Return whether the engine no longer listens at its address.

        Without this check a reset of all connections, a truncated response and an invalid
        one would count as crashes.
        """
        if self._endpoints.get(row.id) is not row:
            # It has restarted: the address belongs to its next incarnation.
            return True
        try:
            conn = EndpointConnection(row.published.address, self._connect_s)
        except ConnectError:
            return True
        eventlet.sleep(CLOSED_S)
        is_open = conn.is_quiet()
        conn.close()
        return not is_open

    def came(self, fingerprint: bytes, source: Source) -> None:
        """Record the source of a request that has crashed engines."""
        self._sources[fingerprint] = source

    def barred(self) -> list[BarredRequest]:
        """Return the quarantined requests, the one with the latest crash first."""
        now = self._clock()
        requests = [
            BarredRequest(
                fingerprint, self._sources.get(fingerprint, UNSEEN), now - crashed_at
            )
            for fingerprint, crashed_at in self.crashers.barred().items()
        ]
        return sorted(requests, key=lambda request: request.ended_s)

    def answered(self, fingerprint: bytes) -> None:
        """Record that a request completed: it is harmless."""
        if self.crashers.note_answered(fingerprint):
            self._tell(fingerprint)

    def _tell(self, fingerprint: bytes) -> None:
        reports = self.crashers.tell(fingerprint)
        if reports:
            self._send_all(CrashUpdate(reports))

    def greeting(self) -> CrashUpdate | None:
        """Return the update for an entry that has just started; ``None`` if empty."""
        reports = self.crashers.tell_held(MOST_GREETED)
        return CrashUpdate(reports) if reports else None

    def take(self, reports: list[Suspect]) -> None:
        """Merge the reports of another entry."""
        for report in reports:
            if self.crashers.take(report):
                log(Event.REQUEST_BARRED, fingerprint=report.fingerprint.hex(), path="")
                self._refuse(report.fingerprint)
            if self.crashers.vouch(report.fingerprint):
                self._tell(report.fingerprint)
