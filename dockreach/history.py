"""Good and total request counts by tier and organisation over the last six hours."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

FINE_S = 60.0
FINE_KEPT = 60
COARSE_S = 600.0
COARSE_KEPT = 36

WINDOWS_S = (300.0, 3600.0, 21600.0)
"""Windows for which a burn rate is reported."""


class Group(NamedTuple):
    """The tier and organisation whose requests are counted together."""

    tier: int
    organisation: str


@dataclass(slots=True)
class Tally:
    """Request counts.

    Attributes:
        good: Requests with a complete response in time.
        total: All requests that count towards the objective.
    """

    good: int = 0
    total: int = 0


@dataclass(slots=True)
class _Bucket:
    start: float
    tallies: dict[Group, Tally] = field(default_factory=dict)


class History:
    """Counts in buckets of one minute for the last hour and ten minutes for the last six.

    Memory is bounded, as the oldest bucket is dropped when a new one is added.
    """

    def __init__(self) -> None:
        self._fine: deque[_Bucket] = deque(maxlen=FINE_KEPT)
        self._coarse: deque[_Bucket] = deque(maxlen=COARSE_KEPT)

    def count(self, group: Group, good: bool, now: float) -> None:
        """Record the outcome of one request."""
        for buckets, width in ((self._fine, FINE_S), (self._coarse, COARSE_S)):
            start = now - now % width
            if not buckets or buckets[-1].start < start:
                buckets.append(_Bucket(start))
            counts = buckets[-1].tallies.setdefault(group, Tally())
            counts.total += 1
            counts.good += int(good)

    def window(self, seconds: float, now: float) -> dict[Group, Tally]:
        """Return the counts of a window.

        Args:
            seconds: Length of the window, which ends now.
            now: Current time.
        """
        fine = seconds <= FINE_S * FINE_KEPT
        totals: dict[Group, Tally] = {}
        for bucket in self._fine if fine else self._coarse:
            if bucket.start + (FINE_S if fine else COARSE_S) < now - seconds:
                continue
            for group, counts in bucket.tallies.items():
                total = totals.setdefault(group, Tally())
                total.good += counts.good
                total.total += counts.total
        return totals
