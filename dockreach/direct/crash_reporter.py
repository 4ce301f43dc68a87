"""Detects engines that crash during a request, and reports them to the other entries."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import eventlet
from cachetools import TTLCache

from ..events import Event, log
from .crash_history import CrashReport
from .digest import CrashUpdate
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow, EndpointTable
from .http1 import ConnectError
from .quarantine import MAX_HISTORIES, RETENTION_S, RequestQuarantine

PROXY_CLOSE_S = 0.05
"""Time within which a proxy that still listens for an exited engine closes a connection, in
seconds. A running engine waits for a request."""

PENDING_S = 6.0
"""How long an unanswered request is kept until the platform reports the engine's exit, in
seconds: three missed heartbeats. An engine that is back at once accepts connections like
the old one, so that connecting to it shows nothing."""

CANCEL_DELAY_S = 1.0
"""How long an engine may go on with an abandoned request, in seconds: twice the time within
which it should stop. Without this allowance any response of the engine in that time would
hide that the request crashes it."""

MAX_PENDING_ENGINES = 64
"""Maximum number of engines with unanswered requests that wait for a reported exit."""

MAX_PENDING_REQUESTS = 16
"""Maximum number of such requests per engine, the latest ones: as many as run there at a
time."""

RESEND_DELAYS_S = (0.1, 0.4, 1.2)
"""Delays after which the report on a quarantined request is sent again, in seconds. It is
sent four times in all, so that on a link that loses half of the datagrams one arrives
before most callers retry. A first crash is reported once, and then with digests: at 300
entries each report takes 300 datagrams."""

MAX_STARTUP_REPORTS = 16
"""Maximum number of requests reported at once to an entry that has just started."""


class Source(NamedTuple):
    """Where a request comes from, for on-call engineers.

    Attributes:
        path: Requested path.
        organisation: Organisation whose key the request carries.
    """

    path: str
    organisation: str


UNKNOWN_SOURCE = Source("", "")
"""Source of a request that has not arrived here since other entries reported it."""


class QuarantinedRequest(NamedTuple):
    """A quarantined request.

    Attributes:
        fingerprint: The same each time the request is sent.
        source: Where it comes from.
        crash_age_s: Time since it last crashed an engine, in seconds.
    """

    fingerprint: bytes
    source: Source
    crash_age_s: float


class UnansweredRequest(NamedTuple):
    """A request without a complete response, whose engine may have crashed.

    It had produced no event, or had only just begun to.

    Attributes:
        path: Requested path.
        fingerprint: The same each time the request is sent.
        organisation: Organisation whose key the request carries.
        row: The engine.
        sent_at: Monotonic time at which the request was sent to it, in seconds.
        ended_at: Monotonic time at which its connection broke or it was abandoned, in
            seconds.
        is_connection_broken: Whether the connection broke; otherwise the entry abandoned
            the request.
        parts: The shared parts of its prompt.
        part_fingerprints: Their fingerprints.
        is_probe: Whether it was the probe of a quarantined request.
    """

    path: str
    fingerprint: bytes
    organisation: str
    row: EndpointRow
    sent_at: float
    ended_at: float
    is_connection_broken: bool = True
    parts: tuple[str, ...] = ()
    part_fingerprints: tuple[bytes, ...] = ()
    is_probe: bool = False

    @property
    def suspects(self) -> tuple[bytes, ...]:
        """Fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints)


class CrashReporter:
    """Reports engine crashes during requests of this entry.

    Args:
        quarantine: Crashes that all entries have observed, and the requests they
            quarantine.
        endpoints: Endpoints that requests are sent to.
        send_all: Sends an update to all other entries.
        clock: Returns the monotonic time, in seconds.
        connect_timeout_s: Maximum time to establish a connection to an engine, in seconds.
        refuse: Refuses the copies of a quarantined request that wait here.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        endpoints: EndpointTable,
        send_all: Callable[[CrashUpdate], None],
        clock: Callable[[], float],
        connect_timeout_s: float,
        refuse: Callable[[bytes], None],
    ) -> None:
        self.quarantine = quarantine
        self._endpoints = endpoints
        self._send_all = send_all
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._refuse = refuse
        self._pending: TTLCache[str, deque[UnansweredRequest]] = TTLCache(
            MAX_PENDING_ENGINES, ttl=PENDING_S, timer=clock
        )
        self._sources: TTLCache[bytes, Source] = TTLCache(
            MAX_HISTORIES, ttl=RETENTION_S, timer=clock
        )

    def record_lost(self, request: UnansweredRequest) -> None:
        """Check whether the engine of a request whose connection broke has crashed."""
        if self._is_expected_to_run(request.row):
            eventlet.spawn_n(self._check_engine, request)

    def record_abandoned(self, request: UnansweredRequest) -> None:
        """Wait for the exit of an engine that was running a request when it was abandoned.

        Otherwise a request whose callers disconnect before it crashes its engine would
        crash one each time, uncounted.
        """
        if self._is_expected_to_run(request.row):
            self._add_pending(request._replace(is_connection_broken=False))

    def _is_expected_to_run(self, row: EndpointRow) -> bool:
        """Return whether an engine is expected to keep running.

        If it is, a request that runs there when it exits may be the cause. A leaving engine
        is shut down on purpose, which cuts off the requests still in flight there.
        """
        return not row.is_leaving and self._endpoints.get(row.id) is not None

    def _check_engine(self, request: UnansweredRequest) -> None:
        if self._has_exited(request.row):
            self._record_crash(request)
            self._record_pending_crashes(request.row)
        else:
            self._add_pending(request)

    def _add_pending(self, request: UnansweredRequest) -> None:
        requests = self._pending.get(request.row.incarnation) or deque(
            maxlen=MAX_PENDING_REQUESTS
        )
        requests.append(request)
        # Stored again to restart the expiry time, so that the last request is kept as long
        # as the first.
        self._pending[request.row.incarnation] = requests

    def handle_incarnation_end(self, row: EndpointRow) -> None:
        """Handle the platform's report that an engine is gone or has restarted."""
        if row.is_leaving:
            self._pending.pop(row.incarnation, None)
        else:
            self._record_pending_crashes(row)

    def _record_pending_crashes(self, row: EndpointRow) -> None:
        """Record a crash for all requests that an engine left unanswered lately."""
        since = self._clock() - PENDING_S
        for request in self._pending.pop(row.incarnation, ()):
            if request.ended_at >= since:
                self._record_crash(request)

    def record_alive(self, row: EndpointRow) -> None:
        """Record a response from an engine: requests lost there before did not crash it.

        Requests that were abandoned a moment ago are kept: it may still be running them.
        """
        requests = self._pending.pop(row.incarnation, ()) if self._pending else ()
        since = self._clock() - CANCEL_DELAY_S
        for request in requests:
            if not request.is_connection_broken and request.ended_at >= since:
                self._add_pending(request)

    def _record_crash(self, request: UnansweredRequest) -> None:
        before = self.quarantine.quarantined()
        new = [
            fingerprint
            for fingerprint in request.suspects
            if self.quarantine.record_crash(
                fingerprint,
                request.row.incarnation,
                sent_at=request.sent_at,
                crashed_at=request.ended_at,
                is_connection_broken=request.is_connection_broken,
                is_probe=request.is_probe,
            )
        ]
        if not new:
            return
        source = Source(request.path, request.organisation)
        for fingerprint in new:
            self._sources[fingerprint] = source
        quarantined = self.quarantine.quarantined()
        log(
            Event.REQUEST_CRASHED,
            endpoint=request.row.id,
            fingerprint=request.fingerprint.hex(),
            organisation=request.organisation,
            path=request.path,
            parts=",".join(request.parts),
            is_barred=not quarantined.keys().isdisjoint(new),
        )
        for fingerprint in quarantined:
            if fingerprint not in before:
                self._log_quarantined(fingerprint, request)
                self._refuse(fingerprint)
        barred = [fingerprint for fingerprint in new if fingerprint in quarantined]
        if barred:
            for delay_s in RESEND_DELAYS_S:
                eventlet.spawn_after(delay_s, self._send_reports, barred)
        self._send_reports(new)

    @staticmethod
    def _log_quarantined(fingerprint: bytes, request: UnansweredRequest) -> None:
        parts = dict(zip(request.part_fingerprints, request.parts, strict=False))
        log(
            Event.REQUEST_BARRED,
            fingerprint=fingerprint.hex(),
            path=request.path,
            part=parts.get(fingerprint, ""),
        )

    def _has_exited(self, row: EndpointRow) -> bool:
        """Return whether the engine no longer listens at its address.

        Without this check a reset of all connections, a truncated response and an invalid
        one would count as crashes.
        """
        if not self._is_current(row):
            # It has restarted: the address belongs to its next incarnation.
            return True
        try:
            conn = EndpointConnection(row.published.address, self._connect_timeout_s)
        except ConnectError:
            return True
        eventlet.sleep(PROXY_CLOSE_S)
        is_open = conn.is_open_and_idle()
        conn.close()
        # The platform may report its end during the check. That report found no pending
        # request, and no second one follows.
        has_ended = not row.is_leaving and not self._is_current(row)
        return has_ended or not is_open

    def _is_current(self, row: EndpointRow) -> bool:
        return self._endpoints.get(row.id) is row

    def record_sources(self, suspects: Iterable[bytes], source: Source) -> None:
        """Record the source of a request that is quarantined, by itself or for its prompt.

        Args:
            suspects: Fingerprints of the request and of its shared prompt parts.
            source: Where it comes from.
        """
        quarantined = self.quarantine.quarantined()
        for fingerprint in suspects:
            if fingerprint in quarantined:
                self._sources[fingerprint] = source

    def quarantined(self) -> list[QuarantinedRequest]:
        """Return the quarantined requests, the one with the latest crash first."""
        now = self._clock()
        requests = [
            QuarantinedRequest(
                fingerprint,
                self._sources.get(fingerprint, UNKNOWN_SOURCE),
                now - crashed_at,
            )
            for fingerprint, crashed_at in self.quarantine.quarantined().items()
        ]
        return sorted(requests, key=lambda request: request.crash_age_s)

    def record_completion(self, fingerprint: bytes) -> None:
        """Record that a request completed: it is harmless."""
        if self.quarantine.record_completion(fingerprint):
            self._send_reports([fingerprint])

    def record_harmless_parts(self, parts: Iterable[bytes], began_at: float) -> None:
        """Record that an engine responded to a request with some prompt parts.

        Args:
            parts: Fingerprints of the parts.
            began_at: Monotonic time at which the engine began to respond, in seconds.
        """
        cleared = [
            part for part in parts if self.quarantine.record_harmless_part(part, began_at)
        ]
        self._send_reports(cleared)

    def _send_reports(self, fingerprints: Iterable[bytes]) -> None:
        reports = [
            report
            for fingerprint in fingerprints
            for report in self.quarantine.report(fingerprint)
        ]
        if reports:
            self._send_all(CrashUpdate(reports))

    def startup_report(self) -> CrashUpdate | None:
        """Return the update for an entry that has just started; ``None`` if empty."""
        reports = self.quarantine.report_restricted(MAX_STARTUP_REPORTS)
        return CrashUpdate(reports) if reports else None

    def merge(self, reports: list[CrashReport]) -> None:
        """Merge the reports of another entry."""
        for report in reports:
            if self.quarantine.merge(report):
                log(Event.REQUEST_BARRED, fingerprint=report.fingerprint.hex(), path="")
                self._refuse(report.fingerprint)
            if self.quarantine.reconfirm_harmless(report.fingerprint):
                self._send_reports([report.fingerprint])
