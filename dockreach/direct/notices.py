"""Applies the notices in endpoints' responses, and relays them to other entries."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from cachetools import LRUCache

from ..events import Event, log
from .endpoints import EndpointRow, EndpointTable
from .notice import Notice, Unreadable
from .stated import NO_RATE, LimitWord
from .told_notice import NoticeNews, ToldNotice
from .turns import Turns

MOST_TOLD = 16
"""Maximum number of notices in a digest, some 50 bytes each; endpoints take turns."""

ENDED_TOLD_S = 10.0
"""How long digests report that a limit has ended, in seconds: an entry that received the
limit but not its end would apply it until the next response it receives itself."""

TELL_GAP_S = 0.5
"""Minimum time between two messages to all entries about one endpoint, in seconds, unless
its notice is stricter than the last one announced. Digests report the rest."""

TOLD_AGAIN_S = 0.5
"""How much later than the known report a peer must have received the same rate, in seconds,
for it to count as a new report. Messages are delayed a little on each way, and without
this tolerance the delays would add up and keep making an old report look newer."""

MOST_REST_S = 3600.0
"""Longest back-off that is honoured, in seconds; a longer one is taken for a mistake."""

MOST_REFUSED = 1024
"""Maximum number of announcements, and of invalid values already logged, that are kept."""


class _Told(NamedTuple):
    """The last message sent to all entries about one endpoint."""

    at: float
    rate: float
    is_leaving: bool

    def is_urgent_after(self, last: _Told) -> bool:
        """Return whether this is to be sent immediately, given the last one sent."""
        is_stricter = self.rate < last.rate or self.is_leaving > last.is_leaving
        return is_stricter or self.at - last.at >= TELL_GAP_S


_UNTOLD = _Told(-math.inf, NO_RATE, is_leaving=False)


class Notices:
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
        send_all: Callable[[NoticeNews], None],
        on_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._name = name
        self._send_all = send_all
        self._on_change = on_change
        self._clock = clock
        self._turns = Turns()
        self._told: LRUCache[str, _Told] = LRUCache(MOST_REFUSED)
        self._refused: LRUCache[tuple[str, Unreadable], bool] = LRUCache(MOST_REFUSED)

    def hear(self, row: EndpointRow, notice: Notice, *, asked: float, rid: str) -> None:
        """Apply the notice of a response.

        Args:
            row: The endpoint incarnation that responded.
            notice: The notice in its headers.
            asked: Monotonic time at which the request was sent, in seconds; minus
                infinity if unknown.
            rid: Id of the request.
        """
        for invalid in notice.unreadable:
            self._refuse(row, invalid)
        now = self._clock()
        changed = self._hear_rate(row, notice, asked, now, rid)
        if notice.is_leaving and not row.stated.is_leaving:
            changed = self._leave(row, rid=rid) or changed
        if notice.rest_s and not isinstance(notice.rest_s, Unreadable):
            self._rest(row, notice.rest_s, now, rid)
        if changed:
            self._tell(row, now)

    def _hear_rate(
        self, row: EndpointRow, notice: Notice, request_sent_at: float, now: float, rid: str
    ) -> bool:
        if isinstance(notice.rate, Unreadable):
            return False
        rate = NO_RATE if notice.rate is None else notice.rate
        if rate == NO_RATE and not row.stated.limit.is_on:
            return False
        return self._take_word(row, LimitWord(rate, request_sent_at, now), rid=rid)

    def _take_word(
        self, row: EndpointRow, report: LimitWord, *, rid: str = "", peer: str = ""
    ) -> bool:
        """Apply a report of the rate; return whether the rate has changed."""
        if not row.stated.limit.take(report):
            return False
        self._endpoints.note_stated(row)
        if report.rate == NO_RATE:
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

    def _leave(self, row: EndpointRow, *, rid: str = "", peer: str = "") -> bool:
        """Mark an endpoint as leaving; return whether the platform has not said so."""
        row.stated.is_leaving = True
        if row.published.leaving:
            return False
        self._endpoints.note_stated(row)
        log(Event.ENDPOINT_LEAVES, endpoint=row.id, rid=rid, peer=peer)
        self._on_change()
        return True

    def _rest(self, row: EndpointRow, backoff_s: float, now: float, rid: str) -> None:
        """Back off for as long as the endpoint asks; the longest back-off applies."""
        was_backing_off = row.stated.rest_until > now
        until = now + min(backoff_s, MOST_REST_S)
        row.stated.rest_until = max(row.stated.rest_until, until)
        self._endpoints.note_stated(row)
        if not was_backing_off:
            log(Event.ENDPOINT_RESTS, endpoint=row.id, rest_s=backoff_s, rid=rid)

    def _refuse(self, row: EndpointRow, invalid: Unreadable) -> None:
        if (row.id, invalid) in self._refused:
            return
        self._refused[row.id, invalid] = True
        log(
            Event.NOTICE_REFUSED,
            invalid.problem,
            endpoint=row.id,
            header=invalid.name,
            value=invalid.value,
        )

    def _tell(self, row: EndpointRow, now: float) -> None:
        current = _Told(now, row.stated.limit.word.rate, row.stated.is_leaving)
        if current.is_urgent_after(self._told.get(row.life, _UNTOLD)):
            self._told[row.life] = current
            self._send_all(NoticeNews(self._name, [_told(row, now)]))

    def take(self, notices: list[ToldNotice], peer: str) -> None:
        """Merge notices that another entry relays."""
        now = self._clock()
        for relayed in notices:
            row = self._endpoints.get(relayed.endpoint)
            if row is None or row.published.born != relayed.born:
                continue
            rate = NO_RATE if relayed.rate is None else relayed.rate
            report = LimitWord(rate, now - relayed.asked_s, now - relayed.heard_s)
            known = row.stated.limit.word
            if rate != known.rate or report.heard > known.heard + TOLD_AGAIN_S:
                self._take_word(row, report, peer=peer)
            if relayed.is_leaving and not row.stated.is_leaving:
                self._leave(row, peer=peer)

    def tell_some(self) -> list[ToldNotice]:
        """Return notices for a digest: those of some endpoints, in round-robin order."""
        now = self._clock()
        rows = [row for row in self._endpoints.stated() if _is_to_tell(row, now)]
        return [_told(row, now) for row in self._turns.take(rows, MOST_TOLD)]

    def expire(self, now: float) -> None:
        """End back-offs that are over; forget endpoints that advertise nothing any more."""
        for row in self._endpoints.stated():
            state = row.stated
            if -math.inf < state.rest_until <= now:
                state.rest_until = -math.inf
                log(Event.ENDPOINT_REST_ENDED, endpoint=row.id)
            if state.rest_until <= now and not _is_to_tell(row, now):
                self._endpoints.drop_stated(row)


def _is_to_tell(row: EndpointRow, now: float) -> bool:
    limit = row.stated.limit
    has_ended = not limit.is_on and now - limit.word.heard < ENDED_TOLD_S
    # All entries already know what the platform lists as leaving.
    is_leaving = row.stated.is_leaving and not row.published.leaving
    return limit.is_on or has_ended or is_leaving


def _told(row: EndpointRow, now: float) -> ToldNotice:
    report = row.stated.limit.word
    return ToldNotice(
        endpoint=row.id,
        born=row.published.born,
        rate=None if report.rate == NO_RATE else report.rate,
        asked_s=now - report.asked,
        heard_s=now - report.heard,
        is_leaving=row.stated.is_leaving,
    )
