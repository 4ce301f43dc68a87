"""Good and total request counts by tier and organisation over the last six hours."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

FINE_BUCKET_S = 60.0
MAX_FINE_BUCKETS = 60
COARSE_BUCKET_S = 600.0
MAX_COARSE_BUCKETS = 36

BURN_WINDOWS_S = (300.0, 3600.0, 21600.0)
"""Windows for which a burn rate is reported."""


class OutcomeGroup(NamedTuple):
    """The tier and organisation whose requests are counted together."""

    tier: int
    organisation: str


@dataclass(slots=True)
class OutcomeCounts:
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
    counts: dict[OutcomeGroup, OutcomeCounts] = field(default_factory=dict)


class OutcomeHistory:
    """Counts in buckets of one minute for the last hour and ten minutes for the last six.

    Memory is bounded, as the oldest bucket is dropped when a new one is added.
    """

    def __init__(self) -> None:
        self._fine: deque[_Bucket] = deque(maxlen=MAX_FINE_BUCKETS)
        self._coarse: deque[_Bucket] = deque(maxlen=MAX_COARSE_BUCKETS)

    def record(self, group: OutcomeGroup, good: bool, now: float) -> None:
        """Record the outcome of one request."""
        for buckets, width in (
            (self._fine, FINE_BUCKET_S),
            (self._coarse, COARSE_BUCKET_S),
        ):
            start = now - now % width
            if not buckets or buckets[-1].start < start:
                buckets.append(_Bucket(start))
            counts = buckets[-1].counts.setdefault(group, OutcomeCounts())
            counts.total += 1
            counts.good += int(good)

    def totals(self, seconds: float, now: float) -> dict[OutcomeGroup, OutcomeCounts]:
        """Return the counts of a window.

        Args:
            seconds: Length of the window, which ends now.
            now: Current time.
        """
        fine = seconds <= FINE_BUCKET_S * MAX_FINE_BUCKETS
        totals: dict[OutcomeGroup, OutcomeCounts] = {}
        for bucket in self._fine if fine else self._coarse:
            if bucket.start + (FINE_BUCKET_S if fine else COARSE_BUCKET_S) < now - seconds:
                continue
            for group, counts in bucket.counts.items():
                total = totals.setdefault(group, OutcomeCounts())
                total.good += counts.good
                total.total += counts.total
        return totals
