"""The state that one endpoint advertises in its responses.

Load pattern: an overloaded endpoint sends notices to several entries on several
connections, in responses that overlap, arrive out of order, and are minutes apart once it
receives fewer requests.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

UNLIMITED_RATE = math.inf
"""Rate of an endpoint that reports no limit, in requests a second."""

MIN_RATE = 0.25
"""Requests a second that are sent to an endpoint even if it accepts fewer or none: only a
response can show that its limit has ended."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The rate limit reported in one response.

    Attributes:
        rate: Requests a second from all entries together.
        request_sent_at: Monotonic time at which the request of that response was sent, in
            seconds; the endpoint cannot have made the report earlier.
        received_at: Monotonic time at which the response was received, in seconds.
    """

    rate: float = UNLIMITED_RATE
    request_sent_at: float = -math.inf
    received_at: float = -math.inf

    def is_after(self, other: LimitReport) -> bool:
        """Return whether the endpoint certainly made this report after the other one."""
        return self.request_sent_at >= other.received_at


@dataclass(slots=True)
class RateLimit:
    """The rate that one endpoint accepts, and when the next request may be sent.

    Attributes:
        report: The report that currently applies.
        next_due: Monotonic time from which the next request of any entry may be sent, as
            far as this entry knows, in seconds; ``None`` if not computed since the rate
            changed.
    """

    report: LimitReport = LimitReport()
    next_due: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether the endpoint reports a limit."""
        return self.report.rate < UNLIMITED_RATE

    def apply(self, report: LimitReport) -> bool:
        """Apply a report; return whether the rate has changed.

        Where it is not certain which of two reports is newer, the lower rate applies.
        """
        known = self.report
        if known.is_after(report) and not report.is_after(known):
            return False
        if report.rate == known.rate:
            sent_at, received_at = (
                max(report.request_sent_at, known.request_sent_at),
                max(report.received_at, known.received_at),
            )
            self.report = LimitReport(report.rate, sent_at, received_at)
            return False
        if not report.is_after(known) and report.rate > known.rate:
            return False
        self.report = report
        self.next_due = None
        return True

    @property
    def send_rate(self) -> float:
        """Requests a second that are sent to the endpoint."""
        return max(self.report.rate, MIN_RATE)

    def record_send(self, at: float) -> None:
        """Record a request that is sent at a monotonic time, in seconds."""
        if self.is_active:
            self.next_due = (
                at if self.next_due is None else max(at, self.next_due)
            ) + 1 / self.send_rate


@dataclass(slots=True)
class AdvertisedState:
    """The state that one endpoint advertises in its responses.

    Attributes:
        is_leaving: Whether it is leaving; this holds until the end of its incarnation.
        backoff_until: Monotonic time until which this entry should send it no requests
            (back-off), in seconds.
        limit: The rate that it accepts from all entries.
    """

    is_leaving: bool = False
    backoff_until: float = -math.inf
    limit: RateLimit = field(default_factory=RateLimit)
