"""Applies the notices in endpoints' responses, and relays them to other entries."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from cachetools import LRUCache

from ..events import Event, log
from .advertised_state import UNLIMITED_RATE, LimitReport
from .endpoints import EndpointRow, EndpointTable
from .notice import EndpointNotice, InvalidValue
from .relayed_notice import NoticeUpdate, RelayedNotice
from .round_robin import RoundRobin
from .stalls import Arrival

MAX_NOTICES_PER_DIGEST = 16
"""Maximum number of notices in a digest, some 50 bytes each; endpoints take turns."""

ENDED_LIMIT_REPORT_S = 10.0
"""How long digests report that a limit has ended, in seconds: an entry that received the
limit but not its end would apply it until the next response it receives itself."""

MIN_ANNOUNCE_INTERVAL_S = 0.5
"""Minimum time between two messages to all entries about one endpoint, in seconds, unless
its notice is stricter than the last one announced. Digests report the rest."""

REPEAT_TOLERANCE_S = 0.5
"""How much later than the known report a peer must have received the same rate, in seconds,
for it to count as a new report. Messages are delayed a little on each way, and without
this tolerance the delays would add up and keep making an old report look newer."""

MAX_BACKOFF_S = 3600.0
"""Longest back-off that is honoured, in seconds; a longer one is taken for a mistake."""

MAX_REMEMBERED = 1024
"""Maximum number of announcements, and of invalid values already logged, that are kept."""


class _Announcement(NamedTuple):
    """A message to all entries about one endpoint."""

    sent_at: float
    rate: float
    is_leaving: bool

    def is_due_after(self, last: _Announcement) -> bool:
        """Return whether this is to be sent immediately, given the last one sent."""
        is_stricter = self.rate < last.rate or self.is_leaving > last.is_leaving
        return is_stricter or self.sent_at - last.sent_at >= MIN_ANNOUNCE_INTERVAL_S


_NEVER_ANNOUNCED = _Announcement(-math.inf, UNLIMITED_RATE, is_leaving=False)


class NoticeTracker:
    """Tracks the notices of endpoints, from responses and from other entries.

    Args:
        endpoints: The table whose rows keep the advertised state.
        name: Name of this entry.
        send_all: Sends a message to all other entries.
        on_change: Called when an endpoint accepts more or fewer requests than before.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        name: str,
        send_all: Callable[[NoticeUpdate], None],
        on_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._name = name
        self._send_all = send_all
        self._on_change = on_change
        self._clock = clock
        self._round_robin = RoundRobin()
        self._announced: LRUCache[str, _Announcement] = LRUCache(MAX_REMEMBERED)
        self._logged_invalid: LRUCache[tuple[str, InvalidValue], bool] = LRUCache(
            MAX_REMEMBERED
        )

    def apply_notice(
        self, row: EndpointRow, notice: EndpointNotice, *, request_sent_at: float, rid: str
    ) -> None:
        """Apply the notice of a response.

        Args:
            row: The endpoint incarnation that responded.
            notice: The notice in its headers.
            request_sent_at: Monotonic time at which the request was sent, in seconds; minus
                infinity if unknown.
            rid: Id of the request.
        """
        for invalid in notice.invalid_values:
            self._log_invalid(row, invalid)
        now = self._clock()
        changed = self._apply_rate(row, notice, request_sent_at, now, rid)
        if notice.is_leaving and not row.advertised.is_leaving:
            changed = self._mark_leaving(row, rid=rid) or changed
        if notice.backoff_s and not isinstance(notice.backoff_s, InvalidValue):
            self._back_off(row, notice.backoff_s, now, rid)
        if changed:
            self._announce(row, now)

    def _apply_rate(
        self,
        row: EndpointRow,
        notice: EndpointNotice,
        request_sent_at: float,
        now: float,
        rid: str,
    ) -> bool:
        if isinstance(notice.rate, InvalidValue):
            return False
        rate = UNLIMITED_RATE if notice.rate is None else notice.rate
        if rate == UNLIMITED_RATE and not row.advertised.limit.is_active:
            return False
        return self._apply_report(row, LimitReport(rate, request_sent_at, now), rid=rid)

    def _apply_report(
        self, row: EndpointRow, report: LimitReport, *, rid: str = "", peer: str = ""
    ) -> bool:
        """Apply a report of the rate; return whether the rate has changed."""
        if not row.advertised.limit.apply(report):
            return False
        self._endpoints.mark_advertising(row)
        if report.rate == UNLIMITED_RATE:
            log(Event.ENDPOINT_LIMIT_ENDED, endpoint=row.id, rid=rid, peer=peer)
        else:
            log(
                Event.ENDPOINT_LIMITED,
                endpoint=row.id,
                rate=report.rate,
                rid=rid,
                peer=peer,
            )
        self._on_change()
        return True

    def _mark_leaving(self, row: EndpointRow, *, rid: str = "", peer: str = "") -> bool:
        """Mark an endpoint as leaving; return whether the platform didn't list it so."""
        row.advertised.is_leaving = True
        if row.published.leaving:
            return False
        self._endpoints.mark_advertising(row)
        log(Event.ENDPOINT_LEAVES, endpoint=row.id, rid=rid, peer=peer)
        self._on_change()
        return True

    def _back_off(self, row: EndpointRow, backoff_s: float, now: float, rid: str) -> None:
        """Back off for as long as the endpoint asks; the longest back-off applies."""
        was_backing_off = row.advertised.backoff_until > now
        until = now + min(backoff_s, MAX_BACKOFF_S)
        row.advertised.backoff_until = max(row.advertised.backoff_until, until)
        self._endpoints.mark_advertising(row)
        if not was_backing_off:
            log(Event.ENDPOINT_RESTS, endpoint=row.id, rest_s=backoff_s, rid=rid)

    def log_invalid_load(self, row: EndpointRow, invalid: InvalidValue) -> None:
        """Log the first invalid load of an endpoint.

        Loads change with each response, so that each invalid one may be another value.
        """
        self._log_invalid(row, invalid, InvalidValue(invalid.name, "", ""))

    def _log_invalid(
        self, row: EndpointRow, invalid: InvalidValue, key: InvalidValue | None = None
    ) -> None:
        """Log an invalid value, unless one with the same key was logged before.

        Args:
            row: The endpoint incarnation that responded.
            invalid: The value.
            key: What is logged once; by default the value itself.
        """
        logged = (row.id, invalid if key is None else key)
        if logged in self._logged_invalid:
            return
        self._logged_invalid[logged] = True
        log(
            Event.NOTICE_REFUSED,
            invalid.problem,
            endpoint=row.id,
            header=invalid.name,
            value=invalid.value,
        )

    def _announce(self, row: EndpointRow, now: float) -> None:
        current = _Announcement(
            now, row.advertised.limit.report.rate, row.advertised.is_leaving
        )
        if current.is_due_after(self._announced.get(row.incarnation, _NEVER_ANNOUNCED)):
            self._announced[row.incarnation] = current
            self._send_all(NoticeUpdate(self._name, [_relayed(row, now)]))

    def merge(
        self, notices: list[RelayedNotice], peer: str, arrival: Arrival | None = None
    ) -> None:
        """Merge notices that another entry relays.

        Args:
            notices: The notices.
            peer: Name of the other entry.
            arrival: When its message arrived; just now if omitted.
        """
        arrival = arrival or Arrival.prompt(self._clock())
        for relayed in notices:
            row = self._endpoints.get(relayed.endpoint)
            if row is None or row.published.born != relayed.born:
                continue
            rate = UNLIMITED_RATE if relayed.rate is None else relayed.rate
            # Bounds of when the endpoint made the report.
            sent_at = arrival.at - relayed.request_age_s
            received_at = arrival.read_at - relayed.report_age_s
            report = LimitReport(rate, sent_at, received_at)
            known = row.advertised.limit.report
            if (
                rate != known.rate
                or report.received_at > known.received_at + REPEAT_TOLERANCE_S
            ):
                self._apply_report(row, report, peer=peer)
            if relayed.is_leaving and not row.advertised.is_leaving:
                self._mark_leaving(row, peer=peer)

    def next_notices(self) -> list[RelayedNotice]:
        """Return notices for a digest: those of some endpoints, in round-robin order."""
        now = self._clock()
        rows = [row for row in self._endpoints.advertising() if _needs_reporting(row, now)]
        return [
            _relayed(row, now)
            for row in self._round_robin.next_items(rows, MAX_NOTICES_PER_DIGEST)
        ]

    def expire(self, now: float) -> None:
        """End back-offs that are over; forget endpoints that advertise nothing any more."""
        for row in self._endpoints.advertising():
            state = row.advertised
            if -math.inf < state.backoff_until <= now:
                state.backoff_until = -math.inf
                log(Event.ENDPOINT_REST_ENDED, endpoint=row.id)
            if state.backoff_until <= now and not _needs_reporting(row, now):
                self._endpoints.unmark_advertising(row)


def _needs_reporting(row: EndpointRow, now: float) -> bool:
    limit = row.advertised.limit
    has_ended = (
        not limit.is_active and now - limit.report.received_at < ENDED_LIMIT_REPORT_S
    )
    # All entries already know what the platform lists as leaving.
    is_leaving = row.advertised.is_leaving and not row.published.leaving
    return limit.is_active or has_ended or is_leaving


def _relayed(row: EndpointRow, now: float) -> RelayedNotice:
    report = row.advertised.limit.report
    return RelayedNotice(
        endpoint=row.id,
        born=row.published.born,
        rate=None if report.rate == UNLIMITED_RATE else report.rate,
        request_age_s=now - report.request_sent_at,
        report_age_s=now - report.received_at,
        is_leaving=row.advertised.is_leaving,
    )
