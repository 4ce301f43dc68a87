"""Tracks whether an endpoint is cold, and limits what it is sent until it has warmed up.

Load pattern: an endpoint returns from a crash, or a whole data hall from an outage, during
a burst of requests. All its slots look free, requests that fail there release them again at
once, and it crashes under a rate that it can sustain once it is warm.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

SEND_WINDOW_S = 1.05
"""Window over which sends are counted, in seconds: the second over which the platform
counts them, plus the time for which a grant may be in transit to its entry."""

INDEPENDENT_WINDOW_S = 1.0
"""The same for entries that decide independently, which send at once."""

WARM_FRACTION = 0.92
"""Fraction of the bound (`ColdTolerance.bound`) up to which the coordinator sends requests
to an endpoint not known to be cold. It may be cold, since its own report is up to two
seconds old. The rest, one request of 17, is left to entries that decide independently. A
lower fraction would limit fast engines that are warm, which sustain most of the bound."""

COLD_FRACTION = 0.45
"""The same for an endpoint known to be cold: two entries that both believe that they are
the coordinator stay below the bound together."""

INDEPENDENT_FRACTION = 0.1
"""Fraction of the bound that all entries deciding independently use together for an
endpoint known to be cold."""


@dataclass(frozen=True, slots=True)
class ColdTolerance:
    """By how much a cold endpoint's rate may be exceeded in a second, over all entries.

    Attributes:
        factor: Factor on the rate that it can sustain.
        slack: Number of requests on top.
    """

    factor: float = 1.0
    slack: float = 0.0

    def bound(self, per_s: float) -> float:
        """Return the most requests in a second for a rate that a cold endpoint sustains."""
        return per_s * self.factor + self.slack


@dataclass(slots=True)
class WarmUpState:
    """Whether one endpoint is still warming up, as far as is known.

    Attributes:
        reported_cold_until: Monotonic time until which the endpoint itself reports to be
            cold, in seconds.
        assumed_cold_since: Monotonic time of the last event after which an endpoint is
            assumed to be cold, in seconds: its start, its return after it was unreachable,
            or the end of an evacuation of its data hall.
        is_unreachable: Whether the last attempt to connect to it failed.
    """

    reported_cold_until: float = -math.inf
    assumed_cold_since: float = -math.inf
    is_unreachable: bool = False

    def is_cold(self, now: float, cold_start_s: float) -> bool:
        """Return whether the endpoint is cold, or may be.

        Args:
            now: Monotonic time, in seconds.
            cold_start_s: How long endpoints of its service are cold after a start, in
                seconds.
        """
        if self.is_unreachable:
            return True
        return now < max(self.reported_cold_until, self.assumed_cold_since + cold_start_s)

    def mark_unreachable(self) -> None:
        """Record a failure to connect: the endpoint may have crashed."""
        self.is_unreachable = True

    def mark_reachable(self, now: float) -> None:
        """Record a response: if the endpoint was unreachable, it may just have started."""
        if self.is_unreachable:
            self.is_unreachable = False
            self.assumed_cold_since = now


@dataclass(slots=True)
class RecentSends:
    """Times of recent requests to one endpoint, as far as this entry knows."""

    _times: deque[float] = field(default_factory=deque)

    def record(self, at: float) -> None:
        """Record a request that was sent at a monotonic time, in seconds."""
        times = self._times
        while times and times[0] <= at - SEND_WINDOW_S:
            times.popleft()
        times.append(at)

    def count(self, now: float, window_s: float = SEND_WINDOW_S) -> int:
        """Return how many requests were sent in a window, in seconds, that ends now."""
        return sum(at > now - window_s for at in self._times)

    def ages(self, now: float) -> list[float]:
        """Return how long ago each request of the last window was sent, in seconds."""
        return [now - at for at in self._times if at > now - SEND_WINDOW_S]


def max_warm(bound: float, entries: int) -> int:
    """Return the most sends in `SEND_WINDOW_S` to an endpoint not known to be cold.

    Args:
        bound: The most that it may be sent in a second while it is cold.
        entries: Number of entries that decide independently; 1 for a coordinator.
    """
    return max(math.floor(WARM_FRACTION * bound / entries), 1)


def max_cold(per_s: float, bound: float) -> int:
    """Return the most sends in `SEND_WINDOW_S` that a coordinator allows a cold endpoint.

    Args:
        per_s: Requests a second that the endpoint can sustain.
        bound: The most that it may be sent in a second.
    """
    return max(math.floor(min(per_s, COLD_FRACTION * bound)), 1)


def max_independent(bound: float) -> int:
    """Return how many entries may each send a cold endpoint one request a second.

    This is for entries that decide independently, without a coordinator.

    Args:
        bound: The most that the endpoint may be sent in a second.
    """
    return max(math.floor(INDEPENDENT_FRACTION * bound), 1)
