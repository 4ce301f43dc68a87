"""Checks what endpoints announce about themselves in response headers against arrivals."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from .workers import NO_LIMIT, Arrival, SentNotice

IsDisrupted = Callable[[str, float, float], bool]
"""Whether a fault affected an entry in a span of monotonic time, in seconds."""

NOTICE_DELAY_S = 0.5
"""Time after a response at which its entry must have applied the notice, in seconds."""

RATE_WINDOW_S = 4.0
RATE_OVER = 1.5
RATE_SLACK = 5.0
"""An endpoint may receive, in any window, its advertised rate times the window's length and
`RATE_OVER`, plus this many requests."""

MAX_IN_BACKOFF = 2
"""Requests that an entry may send during a requested back-off, after `NOTICE_DELAY_S`."""

LEAVING_DELAY_S = 2.0
"""Time after an endpoint announced that it leaves in which the entry may still forward new
requests to it, in seconds."""


@dataclass(frozen=True, slots=True)
class LimitSpan:
    """A span of monotonic time in which an endpoint advertised one limit throughout."""

    limit_per_s: float
    start: float
    end: float


def _limit_spans(notices: list[SentNotice]) -> list[LimitSpan]:
    """Return the spans in which an endpoint advertised a limit; notices are in order."""
    spans = []
    for (limit, until), group in itertools.groupby(
        notices, lambda notice: (notice.limit_per_s, notice.limit_until)
    ):
        same = list(group)
        later = notices[notices.index(same[-1]) + 1 :]
        end = min(until, later[0].at) if later else until
        if limit < NO_LIMIT:
            spans.append(LimitSpan(limit, same[0].at, end))
    return spans


class NoticeChecker:
    """Compares the notices that endpoints sent with the requests that reached them.

    Args:
        notices: The notices that were sent, in order.
        arrivals: The requests that reached endpoints, in order.
        entry_of: The entry over which each request was sent.
        is_disrupted: Returns whether a fault excuses an entry for a span of time.
        sent_at: When each request was sent by its caller.
    """

    def __init__(
        self,
        notices: list[SentNotice],
        arrivals: list[Arrival],
        *,
        entry_of: dict[str, str],
        is_disrupted: IsDisrupted,
        sent_at: dict[str, float],
    ) -> None:
        self._is_disrupted = is_disrupted
        self._sent_at = sent_at
        self._entry_of = entry_of
        self._notices: dict[str, list[SentNotice]] = {}
        self._arrivals: dict[str, list[Arrival]] = {}
        for notice in notices:
            self._notices.setdefault(notice.worker, []).append(notice)
        for arrival in arrivals:
            if arrival.rid in entry_of:
                self._arrivals.setdefault(arrival.worker, []).append(arrival)

    def over_limit(self, convergence_s: float) -> list[str]:
        """Return endpoints that received more than the limit that they advertised."""
        found = []
        for worker, notices in self._notices.items():
            for span in _limit_spans(notices):
                allowed = RATE_OVER * span.limit_per_s * RATE_WINDOW_S + RATE_SLACK
                times = self._times_from_informed(worker, notices, span, convergence_s)
                for at in times:
                    count = sum(at <= when < at + RATE_WINDOW_S for when in times)
                    if count > allowed:
                        found.append(f"{worker}: {count} of {allowed:.0f} at {at:.2f}")
                        break
        return found

    def _times_from_informed(
        self, worker: str, notices: list[SentNotice], span: LimitSpan, convergence_s: float
    ) -> list[float]:
        """Return when requests arrived from entries that had received the limit."""
        informed_at: dict[str, float] = {}
        for notice in notices:
            entry = self._entry_of.get(notice.rid)
            if (
                entry is not None
                and notice.limit_per_s < NO_LIMIT
                and notice.at >= span.start
            ):
                informed_at.setdefault(entry, notice.at + NOTICE_DELAY_S)
        found = []
        for arrival in self._arrivals.get(worker, []):
            entry = self._entry_of[arrival.rid]
            if not span.start + convergence_s <= arrival.at <= span.end:
                continue
            if entry not in informed_at or arrival.at < informed_at[entry]:
                continue
            if not self._is_disrupted(entry, span.start, arrival.at):
                found.append(arrival.at)
        return found

    def after_leaving(self) -> list[str]:
        """Return requests forwarded to an endpoint long after it announced leaving."""
        found = []
        for worker, notices in self._notices.items():
            informed_at: dict[str, float] = {}
            for notice in notices:
                if notice.is_leaving and notice.rid in self._entry_of:
                    informed_at.setdefault(self._entry_of[notice.rid], notice.at)
            for arrival in self._arrivals.get(worker, []):
                entry = self._entry_of[arrival.rid]
                since = informed_at.get(entry)
                if since is None or self._sent_at[arrival.rid] <= since + LEAVING_DELAY_S:
                    continue
                if not self._is_disrupted(entry, since, arrival.at):
                    found.append(
                        f"{arrival.rid} at {worker} {arrival.at - since:.1f} s after"
                    )
        return found

    def in_backoff(self) -> list[str]:
        """Return entries that kept sending to an endpoint that asked them to back off."""
        found = []
        for worker, notices in self._notices.items():
            for notice in notices:
                entry = self._entry_of.get(notice.rid)
                if not notice.backoff_s or entry is None:
                    continue
                times = [
                    arrival.at
                    for arrival in self._arrivals.get(worker, [])
                    if self._entry_of[arrival.rid] == entry
                    and notice.at + NOTICE_DELAY_S
                    < arrival.at
                    < notice.at + notice.backoff_s
                ]
                if len(times) > MAX_IN_BACKOFF and not self._is_disrupted(
                    entry, notice.at, times[-1]
                ):
                    found.append(f"{worker}: {len(times)} from {entry} at {notice.at:.2f}")
        return found
