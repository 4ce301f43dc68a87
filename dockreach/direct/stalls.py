"""Notices that this process stood still: stopped, suspended, or without a processor.

The event loop then reads what waits in the sockets before any timer fires. A message that
was sent at the beginning of that time would look as recent as one that has just been sent.
So whoever takes a message for evidence of a time asks this module first.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ..events import Event, log
from ..metrics import Sample

BEAT_INTERVAL_S = 0.05
"""Time between two beats, in seconds: a sixteenth of the age at which a peer counts as
silent."""

MIN_STALL_S = 0.5
"""Shortest time between two beats for which the process is taken to have stood still, in
seconds: less than the age at which a peer counts as silent, and more than a busy event loop
delays a beat. Evidence that must be certain is dated by `Arrival.after`, whatever the
length of a stall."""

MAX_STALLS = 64
"""Stalls that are remembered: more than pass in the longest call."""


class Stall(NamedTuple):
    """A time in which the process stood still, in monotonic seconds."""

    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """When a message arrived, in monotonic seconds.

    Attributes:
        after: It was not there yet at this time.
        at: When it was read; if the process stood still while it was awaited, the earliest
            time from which on it can have waited.
        read_at: When it was read.
    """

    after: float
    at: float
    read_at: float

    @property
    def waited_s(self) -> float:
        """For how long it may have waited while the process stood still, in seconds."""
        return self.read_at - self.at

    @classmethod
    def prompt(cls, now: float) -> Arrival:
        """Return the arrival of a message that was read at once."""
        return cls(now, now, now)


class Stalls:
    """Remembers when this process stood still.

    Nothing is noticed before the first beat.

    Args:
        clock: Returns the monotonic time, in seconds.

    Attributes:
        count: How often the process stood still.
        total_s: For how long in all, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._seen_at = math.inf
        self._stalls: deque[Stall] = deque(maxlen=MAX_STALLS)
        self.count = 0
        self.total_s = 0.0

    def beat(self) -> None:
        """Note that the process runs; to be called every `BEAT_INTERVAL_S`."""
        now = self._clock()
        if self._seen_at < math.inf:
            self.notice(now)
        self._seen_at = now

    def notice(self, now: float) -> None:
        """Record if the process has stood still since the last beat or question."""
        if now - self._seen_at < MIN_STALL_S:
            return
        stall = Stall(self._seen_at, now)
        self._seen_at = now
        self._stalls.append(stall)
        duration_s = stall.until - stall.since
        self.count += 1
        self.total_s += duration_s
        log(Event.STOOD_STILL, still_ms=round(duration_s * 1000))

    def arrival(self, after: float, now: float) -> Arrival:
        """Return when a message arrived that has just been read.

        Args:
            after: Monotonic time at which it was not there yet, in seconds.
            now: Monotonic time, in seconds.
        """
        self.notice(now)
        overlapping = (stall.since for stall in self._stalls if stall.until > after)
        at = max(min(overlapping, default=now), after)
        return Arrival(after, at, now)

    def samples(self) -> Iterator[Sample]:
        """Return metrics of how often and for how long the process stood still."""
        yield Sample(
            "dockreach_direct_stalls_total",
            "Times for which the process stood still",
            self.count,
            {},
        )
        yield Sample(
            "dockreach_direct_stall_seconds_total",
            "Seconds for which the process stood still",
            self.total_s,
            {},
        )
