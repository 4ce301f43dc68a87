"""How fresh the entry's copy of what the platform publishes is."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..metrics import Sample


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

    def fail(self) -> None:
        """Note that a call gave nothing."""
        self.calls += 1
        self.failed_calls += 1
        self.failures += 1

    def age_s(self, now: float, started: float) -> float:
        """Return the time since the last answer, or since the start, in seconds."""
        return now - (started if self.answered is None else self.answered)


@dataclass(slots=True)
class Feeds:
    """All parts of what the platform publishes."""

    configuration: Feed = field(default_factory=Feed)
    endpoints: Feed = field(default_factory=Feed)

    def samples(self, now: float, started: float) -> Iterator[Sample]:
        """Return samples on each part: its age, its calls and those that failed."""
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
