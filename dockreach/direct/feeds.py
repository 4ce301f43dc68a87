"""How the entry's copy of what the platform publishes is kept fresh.

A call that waits for changes and a call that is lost look alike until an answer is due. How
long calls are held is therefore derived from the time in which a change must be in force:
a call whose connection falls silent, one that is asked again, and its answer fit into it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..metrics import Sample

WAIT_PART = 0.6
"""Longest wait for a change, as a part of the time in which one must be in force. Each call
is priced, so it is as long as the other parts allow."""

SPREAD = 0.2
"""Part by which waits differ, at random. Entries that hear of a change at the same moment
would else ask in step for ever, all be blind together, and have no peer that knows more."""

ANSWER_PART = 0.25
"""Longest silence beyond the wait, as a part of the same time: 0.5 s of 2 s, where the
users' sheets have days on which an answer takes 0.24 s."""

ANSWER_MOST_PART = 0.5
"""The same after several failures: a platform that is slower still is read as well."""

AWAY_PART = 0.95
"""Time without an answer after which peers are asked for endpoints, as a part of the same
time: longer than one call may be held."""

AGAIN_S = 0.1
"""Least time between calls of which the first failed, in seconds; doubled with each failure
up to `AGAIN_MOST_S`. A call that was held for longer is followed by the next at once."""

AGAIN_MOST_S = 0.6

AGAIN_SPREAD = 0.3
"""Part by which these times differ, at random, so that entries do not return together."""


class CallLimits(NamedTuple):
    """How long one call may be held, in seconds.

    Attributes:
        wait_s: How long the platform may hold it until something changes.
        answer_s: Longest silence beyond that.
    """

    wait_s: float
    answer_s: float


@dataclass(slots=True)
class Feed:
    """One part of what the platform publishes, as an adapter reads it.

    Attributes:
        calls: Calls since the start.
        failed_calls: Calls since the start that gave nothing.
        failures: Calls in a row that gave nothing; 0 once all is read again.
        answered: Steady time of the last answer, in seconds; ``None`` before the first.
    """

    calls: int = 0
    failed_calls: int = 0
    failures: int = 0
    answered: float | None = None

    def answer(self, now: float) -> None:
        """Note that a call was answered."""
        self.calls += 1
        self.answered = now

    def catch_up(self) -> None:
        """Note that all that changed meanwhile is read."""
        self.failures = 0

    def fail(self) -> None:
        """Note that a call gave nothing."""
        self.calls += 1
        self.failed_calls += 1
        self.failures += 1

    def age_s(self, now: float, started: float) -> float:
        """Return the time since the last answer, or since the start, in seconds."""
        return now - (started if self.answered is None else self.answered)

    def next_call(
        self, in_force_s: float, *, most_wait_s: float | None = None
    ) -> CallLimits:
        """Return how long the next call may be held.

        After a failure it does not wait for a change: what answers at once shows within
        `ANSWER_PART` whether the platform is back.

        Args:
            in_force_s: Time in which a change must be in force, in seconds.
            most_wait_s: Longest wait for a change, where the operator sets one, in seconds.
        """
        if self.failures:
            part = min(ANSWER_PART * 2.0 ** (self.failures - 1), ANSWER_MOST_PART)
            return CallLimits(0.0, part * in_force_s)
        longest_s = WAIT_PART * in_force_s
        if most_wait_s is not None:
            longest_s = min(longest_s, most_wait_s)
        wait_s = longest_s * random.uniform(1 - SPREAD, 1)
        return CallLimits(wait_s, ANSWER_PART * in_force_s)

    def pause_s(self, held_s: float) -> float:
        """Return how long to wait after a failed call, in seconds.

        Args:
            held_s: How long the call was held, in seconds.
        """
        most_s = min(AGAIN_S * 2.0 ** (self.failures - 1), AGAIN_MOST_S)
        spread = random.uniform(1 - AGAIN_SPREAD, 1 + AGAIN_SPREAD)
        return max(most_s * spread - held_s, 0.0)


@dataclass(slots=True)
class Feeds:
    """All parts of what the platform publishes."""

    configuration: Feed = field(default_factory=Feed)
    endpoints: Feed = field(default_factory=Feed)
    refused_entries: int = 0
    """Entries of endpoints that were not valid."""

    def samples(self, now: float, started: float) -> Iterator[Sample]:
        """Return samples on each part: its age, its calls and those that failed."""
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
