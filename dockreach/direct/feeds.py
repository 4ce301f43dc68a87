"""Timing of the long polls that keep the entry's copy of the platform's data up to date.

A long poll that waits for changes and a call that was lost look the same until a response
is due. The timeouts of calls are therefore derived from the time within which a change must
be applied: a call whose connection goes silent, its retry and the response to the retry
together fit into that time.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..metrics import Sample

WAIT_PART = 0.6
"""Longest wait for a change (long poll), as a fraction of the time within which a change
must be applied. Each call costs money, so the wait is as long as the other timeouts
allow."""

SPREAD = 0.2
"""Fraction by which waits are shortened at random (jitter). Without it, entries that
receive a change at the same moment would poll in step from then on, all miss changes at the
same time, and have no peer with newer data."""

ANSWER_PART = 0.25
"""Read timeout beyond the wait, as a fraction of the same time: 0.5 s of 2 s. According
to the users' sheets, a response takes 0.24 s on some days."""

ANSWER_MOST_PART = 0.5
"""The same after several failures, so that data is also read from a slower platform."""

AWAY_PART = 0.95
"""Time without a response after which endpoints are fetched from peers, as a fraction of
the same time: longer than a single call may take."""

AGAIN_S = 0.1
"""Delay from the start of a failed call to its retry, in seconds; doubles with each failure
up to `MAX_RETRY_DELAY_S`. A call that took longer is retried immediately."""

AGAIN_MOST_S = 0.6

AGAIN_SPREAD = 0.3
"""Fraction by which retry delays vary at random, so that entries do not retry together."""


class CallLimits(NamedTuple):
    """Timeouts of one call, in seconds.

    Attributes:
        wait_s: How long the platform may hold the call until something changes.
        answer_s: Read timeout beyond that.
    """

    wait_s: float
    answer_s: float


@dataclass(slots=True)
class Feed:
    """The calls with which an adapter reads one part of the platform's data.

    Attributes:
        calls: Calls since the start.
        failed_calls: Failed calls since the start.
        failures: Failed calls in a row; 0 once the copy is up to date again.
        answered: Monotonic time of the last response, in seconds; ``None``
            before the first.
    """

    calls: int = 0
    failed_calls: int = 0
    failures: int = 0
    answered: float | None = None

    def answer(self, now: float) -> None:
        """Record that a call was answered."""
        self.calls += 1
        self.answered = now

    def catch_up(self) -> None:
        """Record that all changes made during an outage have been read."""
        self.failures = 0

    def fail(self) -> None:
        """Record that a call failed."""
        self.calls += 1
        self.failed_calls += 1
        self.failures += 1

    def age_s(self, now: float, started: float) -> float:
        """Return the time since the last response, or since the start, in seconds."""
        return now - (started if self.answered is None else self.answered)

    def next_call(
        self, in_force_s: float, *, most_wait_s: float | None = None
    ) -> CallLimits:
        """Return the timeouts of the next call.

        After a failure the call does not wait for a change: an immediate response shows
        within `RESPONSE_FRACTION` whether the platform has recovered.

        Args:
            in_force_s: Time within which a change must be applied, in seconds.
            most_wait_s: Longest wait for a change, if the operator sets one, in seconds.
        """
        if self.failures:
            fraction = min(ANSWER_PART * 2.0 ** (self.failures - 1), ANSWER_MOST_PART)
            return CallLimits(0.0, fraction * in_force_s)
        longest_s = WAIT_PART * in_force_s
        if most_wait_s is not None:
            longest_s = min(longest_s, most_wait_s)
        wait_s = longest_s * random.uniform(1 - SPREAD, 1)
        return CallLimits(wait_s, ANSWER_PART * in_force_s)

    def pause_s(self, call_s: float) -> float:
        """Return how long to wait after a failed call, in seconds.

        Args:
            call_s: How long the call took, in seconds.
        """
        delay_s = min(AGAIN_S * 2.0 ** (self.failures - 1), AGAIN_MOST_S)
        jitter = random.uniform(1 - AGAIN_SPREAD, 1 + AGAIN_SPREAD)
        return max(delay_s * jitter - call_s, 0.0)


@dataclass(slots=True)
class Feeds:
    """The feeds of all parts of the platform's data."""

    configuration: Feed = field(default_factory=Feed)
    endpoints: Feed = field(default_factory=Feed)
    refused_entries: int = 0
    """Endpoint records that were not valid."""

    def samples(self, now: float, started: float) -> Iterator[Sample]:
        """Return metrics of each feed: its age, its calls and its failed calls."""
        yield Sample(
            "dockreach_direct_refused_entries_total",
            "Entries of endpoints that were not valid",
            self.refused_entries,
            {},
        )
        parts = {"configuration": self.configuration, "endpoints": self.endpoints}
        for name, feed in parts.items():
            labels = {"feed": name}
            yield Sample(
                "dockreach_direct_feed_age_seconds",
                "Seconds since the platform last answered",
                feed.age_s(now, started),
                labels,
                counter=False,
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
