"""Timing of the long polls that keep the entry's copy of the platform's data up to date.

A long poll that waits for changes and a call that was lost look the same until a response
is due. The timeouts of calls are therefore derived from the time within which a change must
be applied: a call whose connection goes silent, its retry and the response to the retry
together fit into that time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import clock
from ..backoff import backoff_after
from ..metrics import Sample
from .record_refusals import RecordRefusals
from .stalls import Stalls

MAX_WAIT_FRACTION = 0.6
"""Longest wait for a change (long poll), as a fraction of the time within which a change
must be applied. Each call costs money, so the wait is as long as the other timeouts
allow."""

WAIT_JITTER_FRACTION = 0.2
"""Fraction by which waits are shortened at random (jitter). Without it, entries that
receive a change at the same moment would poll in step from then on, all miss changes at the
same time, and have no peer with newer data."""

RESPONSE_FRACTION = 0.25
"""Read timeout beyond the wait, as a fraction of the same time: 0.5 s of 2 s. According
to the platform's users, a response takes 0.24 s on some days."""

MAX_RESPONSE_FRACTION = 0.5
"""The same after several failures, so that data is also read from a slower platform."""

OUTAGE_FRACTION = 0.95
"""Time without a response after which endpoints are fetched from peers, as a fraction of
the same time: longer than a single call may take."""

LIST_GAP_FRACTION = 1.5
"""Time in which a version that is listed is known to every entry, as a fraction of the same
time. A call shows the state from its start on, and the next one may wait as long again."""

FIRST_RETRY_DELAY_S = 0.1
"""Delay from the start of a failed call to its retry, in seconds; doubles with each failure
up to `MAX_RETRY_DELAY_S`. A call that took longer is retried immediately."""

MAX_RETRY_DELAY_S = 0.6

RETRY_JITTER_FRACTION = 0.3
"""Fraction by which retry delays vary at random, so that entries do not retry together."""


MAX_CALL_TO_OUTAGE_FRACTION = 0.8
"""Longest time on which the timeouts of calls are based, as a fraction of the shortest
outage that lets a record expire. A silent connection is then replaced, and the retry
answered, before the time without responses counts as such an outage."""

FAILING = -1
"""Reported in place of the time without an outage while calls fail."""

MAX_REPORTED_ANSWERED_S = 127
"""Longest time without an outage that an entry reports, in seconds: it takes one byte."""


@dataclass(slots=True)
class PlatformContact:
    """When the platform last responded to this process, whatever was asked.

    A call that fails shows that its connection or the platform failed. Records can only
    expire while the platform responds to nobody, so that a response on any connection
    bounds the time for which that may have lasted.

    Attributes:
        last_response_at: Monotonic time of the last response, in seconds; ``None`` before
            the first.
        returned_at: Monotonic time of the first response after the last gap in which
            records may have expired, in seconds; minus infinity before the first response.
    """

    last_response_at: float | None = None
    returned_at: float = -math.inf

    def record_response(self, now: float, arrived_at: float, max_gap_s: float) -> None:
        """Record a response.

        Args:
            now: Monotonic time at which it was read, in seconds.
            arrived_at: Earliest monotonic time at which it can have arrived, in seconds.
            max_gap_s: Longest time without responses in which no record can have expired,
                in seconds.
        """
        last = self.last_response_at
        if last is None or now - last > max_gap_s:
            self.returned_at = now
        self.last_response_at = arrived_at


class CallLimits(NamedTuple):
    """Timeouts of one call, in seconds.

    Attributes:
        wait_s: How long the platform may hold the call until something changes.
        read_timeout_s: Read timeout beyond that.
    """

    wait_s: float
    read_timeout_s: float


@dataclass(slots=True)
class Feed:
    """The calls with which an adapter reads one part of the platform's data.

    Attributes:
        calls: Calls since the start.
        failed_calls: Failed calls since the start.
        consecutive_failures: Failed calls in a row; 0 once the copy is up to date again.
        last_response_at: Monotonic time of the last response that brought the copy up to
            date, in seconds; ``None`` before the first. If the process stood still during
            the call, the earliest time at which it can have arrived.
        max_gap_s: Longest time between two responses in which no record of a running
            endpoint can have expired, in seconds.
        answered_since: Monotonic time of the first response since the last outage, in
            seconds; ``None`` before the first response.
        unanswered_since: Monotonic time from which the platform did not respond, in
            seconds; ``None`` once the copy is up to date again.
        called_at: Monotonic time at which the last call was sent, in seconds.
        complete_at: Monotonic time up to which all changes have been applied, in seconds;
            minus infinity before the first list. It is when a call was sent: the response
            may have been on its way, or unread, for any part of the time until it was read.
        known_at: The same, but a call that brought no change also tells that none was made
            while the platform held it.
        follows_outage: Whether changes are still being read that were made in an outage.
        missed_changes: Changes that a response had left out and a later one returned.
        stalls: When this process stood still.
        contact: When the platform responded to any call of this process; shared by feeds
            that read the same platform.
    """

    calls: int = 0
    failed_calls: int = 0
    missed_changes: int = 0
    consecutive_failures: int = 0
    last_response_at: float | None = None
    max_gap_s: float = 2.4
    answered_since: float | None = None
    unanswered_since: float | None = None
    called_at: float = -math.inf
    complete_at: float = -math.inf
    known_at: float = -math.inf
    follows_outage: bool = False
    stalls: Stalls = field(default_factory=lambda: Stalls(clock.now))
    contact: PlatformContact = field(default_factory=PlatformContact)

    def record_response(self, now: float, *, is_outdated: bool = False) -> None:
        """Record that a call was answered.

        Args:
            now: Monotonic time, in seconds.
            is_outdated: Whether the response only tells that the copy lacks changes. Peers
                must not take its age for that of the copy.
        """
        self.calls += 1
        arrived_at = self.stalls.arrival(self.called_at, now).at
        self.contact.record_response(now, arrived_at, self.max_gap_s)
        was_out = self._was_out()
        if was_out:
            self.answered_since = self.contact.returned_at
        self.follows_outage |= was_out and self.unanswered_since is not None
        if not is_outdated:
            self.last_response_at = arrived_at

    def _was_out(self) -> bool:
        """Return whether records may have expired since the last response to this feed.

        Nothing is known of that time if no call of this process was answered in it: an
        entry calls rarely while others read for it.
        """
        last = self.last_response_at
        return last is None or self.contact.returned_at > last

    def call_deadline_s(self, apply_deadline_s: float) -> float:
        """Return the time on which the timeouts of calls for records are based, in seconds.

        Args:
            apply_deadline_s: Time within which a change must be applied, in seconds.
        """
        return min(apply_deadline_s, MAX_CALL_TO_OUTAGE_FRACTION * self.max_gap_s)

    @property
    def answered_s(self) -> int:
        """For how long up to the last response there was no outage, in whole seconds.

        It is `FAILING` while calls fail, and at most `MAX_REPORTED_ANSWERED_S`.
        """
        if self.consecutive_failures:
            return FAILING
        if self.last_response_at is None or self.answered_since is None:
            return 0
        answered_s = max(int(self.last_response_at - self.answered_since), 0)
        return min(answered_s, MAX_REPORTED_ANSWERED_S)

    def mark_caught_up(self, held_s: float = 0.0) -> None:
        """Record that all changes were applied that were made before the last call.

        Args:
            held_s: For how long the platform held the call without a change, in seconds.
        """
        self.complete_at = self.called_at
        self.known_at = self.called_at + held_s
        self.consecutive_failures = 0
        self.unanswered_since = None
        self.follows_outage = False

    def record_failure(self, unanswered_since: float = -math.inf) -> None:
        """Record that a call failed.

        Args:
            unanswered_since: Monotonic time from which the platform did not respond, in
                seconds, as far as this call shows: when it failed, or when it was sent if
                it timed out.
        """
        self.calls += 1
        self.failed_calls += 1
        self.consecutive_failures += 1
        if self.unanswered_since is None:
            self.unanswered_since = unanswered_since

    def age_s(self, now: float, started: float) -> float:
        """Return the time since the last response, or since the start, in seconds."""
        return now - (started if self.last_response_at is None else self.last_response_at)

    def next_call_limits(
        self, apply_deadline_s: float, *, max_wait_s: float | None = None
    ) -> CallLimits:
        """Return the timeouts of the next call.

        After a failure the call does not wait for a change: an immediate response shows
        within `RESPONSE_FRACTION` whether the platform has recovered.

        Args:
            apply_deadline_s: Time within which a change must be applied, in seconds.
            max_wait_s: Longest wait for a change, if the operator sets one, in seconds.
        """
        if self.consecutive_failures:
            fraction = backoff_after(
                self.consecutive_failures - 1,
                first=RESPONSE_FRACTION,
                longest=MAX_RESPONSE_FRACTION,
            )
            return CallLimits(0.0, fraction * apply_deadline_s)
        longest_s = MAX_WAIT_FRACTION * apply_deadline_s
        if max_wait_s is not None:
            longest_s = min(longest_s, max_wait_s)
        wait_s = longest_s * random.uniform(1 - WAIT_JITTER_FRACTION, 1)
        return CallLimits(wait_s, RESPONSE_FRACTION * apply_deadline_s)

    def retry_delay_s(self, call_s: float) -> float:
        """Return how long to wait after a failed call, in seconds.

        Args:
            call_s: How long the call took, in seconds.
        """
        delay_s = backoff_after(
            self.consecutive_failures - 1,
            first=FIRST_RETRY_DELAY_S,
            longest=MAX_RETRY_DELAY_S,
        )
        jitter = random.uniform(1 - RETRY_JITTER_FRACTION, 1 + RETRY_JITTER_FRACTION)
        return max(delay_s * jitter - call_s, 0.0)


@dataclass(slots=True)
class Feeds:
    """The feeds of all parts of the platform's data."""

    configuration: Feed = field(default_factory=Feed)
    endpoints: Feed = field(default_factory=Feed)
    refusals: RecordRefusals = field(default_factory=RecordRefusals)
    """Endpoint records that were not used."""

    @property
    def invalid_records(self) -> int:
        """Number of endpoint records that were not used."""
        return self.refusals.total

    def samples(self, now: float, started: float) -> Iterator[Sample]:
        """Return metrics of each feed, and of the records that were not used.

        Each feed has its age, its calls and its failed calls.
        """
        yield from self.refusals.samples()
        parts = {"configuration": self.configuration, "endpoints": self.endpoints}
        for name, feed in parts.items():
            labels = {"feed": name}
            yield Sample(
                "dockreach_direct_feed_age_seconds",
                "Seconds since the platform last answered",
                feed.age_s(now, started),
                labels,
                is_counter=False,
            )
            yield Sample(
                "dockreach_direct_feed_calls_total",
                "Calls to the platform",
                feed.calls,
                labels,
            )
            yield Sample(
                "dockreach_direct_feed_failed_calls_total",
                "Calls to the platform that gave nothing",
                feed.failed_calls,
                labels,
            )
            yield Sample(
                "dockreach_direct_feed_missed_changes_total",
                "Changes that the platform had left out of a response",
                feed.missed_changes,
                labels,
            )
