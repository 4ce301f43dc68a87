"""The state that one endpoint advertises in its responses.

Load pattern: an overloaded endpoint sends notices to several entries on several
connections, in responses that overlap, arrive out of order, and are minutes apart once it
receives fewer requests.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

NO_RATE = math.inf
"""Rate of an endpoint that reports no limit, in requests a second."""

LEAST_RATE = 0.25
"""Requests a second that are sent to an endpoint even if it accepts fewer or none: only a
response can show that its limit has ended."""


@dataclass(frozen=True, slots=True)
class LimitWord:
    """The rate limit reported in one response.

    Attributes:
        rate: Requests a second from all entries together.
        asked: Monotonic time at which the request of that response was sent, in
            seconds; the endpoint cannot have made the report earlier.
        heard: Monotonic time at which the response was received, in seconds.
    """

    rate: float = NO_RATE
    asked: float = -math.inf
    heard: float = -math.inf

    def is_after(self, other: LimitWord) -> bool:
        """Return whether the endpoint certainly made this report after the other one."""
        return self.asked >= other.heard


@dataclass(slots=True)
class SendLimit:
    """The rate that one endpoint accepts, and when the next request may be sent.

    Attributes:
        word: The report that currently applies.
        due: Monotonic time from which the next request of any entry may be sent, as
            far as this entry knows, in seconds; ``None`` if not computed since the rate
            changed.
    """

    word: LimitWord = LimitWord()
    due: float | None = None

    @property
    def is_on(self) -> bool:
        """Whether the endpoint reports a limit."""
        return self.word.rate < NO_RATE

    def take(self, report: LimitWord) -> bool:
        """Apply a report; return whether the rate has changed.

        Where it is not certain which of two reports is newer, the lower rate applies.
        """
        known = self.word
        if known.is_after(report) and not report.is_after(known):
            return False
        if report.rate == known.rate:
            sent_at, received_at = (
                max(report.asked, known.asked),
                max(report.heard, known.heard),
            )
            self.word = LimitWord(report.rate, sent_at, received_at)
            return False
        if not report.is_after(known) and report.rate > known.rate:
            return False
        self.word = report
        self.due = None
        return True

    @property
    def rate(self) -> float:
        """Requests a second that are sent to the endpoint."""
        return max(self.word.rate, LEAST_RATE)

    def note_send(self, at: float) -> None:
        """Record a request that is sent at a monotonic time, in seconds."""
        if self.is_on:
            self.due = (at if self.due is None else max(at, self.due)) + 1 / self.rate


@dataclass(slots=True)
class Stated:
    """The state that one endpoint advertises in its responses.

    Attributes:
        is_leaving: Whether it is leaving; this holds until the end of its incarnation.
        rest_until: Monotonic time until which this entry should send it no requests
            (back-off), in seconds.
        limit: The rate that it accepts from all entries.
    """

    is_leaving: bool = False
    rest_until: float = -math.inf
    limit: SendLimit = field(default_factory=SendLimit)
