"""Tells refused callers when to come back.

Load pattern: more requests than capacity for some seconds. Callers that are all sent away
for the same time return together, into a service that is still full. So each is told a time
of its own, at which one more slot is expected than for the caller before it. Who returns
then is a request like others.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right, insort
from typing import Protocol

from .jobs import MIN_RETRY_AFTER_S, Job
from .patience import max_retry_after_s
from .pressure import Rank

SPREAD_FROM = 0.5
"""Part of the longest time that a caller waits from which the times are spread, where no
slot is expected within that time."""

MAX_RETURNS = 4096
"""Number of callers of a service whose times are kept; the times of further ones are spread
as if no slot were expected."""


class SlotSource(Protocol):
    """Expects slots from what is known of a service."""

    def time_until(self, service: str, rank: Rank, slots: float, now: float) -> float:
        """Return the time until that many slots are expected, in seconds; may be inf."""


class ReturnTimes:
    """The times at which refused callers are expected back, by service.

    Args:
        slots: Expects slots.
        rng: Spreads the times where no slot is expected.

    Attributes:
        timed_count: Callers that were told a time at which a slot is expected.
        spread_count: Callers that were told another time.
    """

    def __init__(self, slots: SlotSource, rng: random.Random) -> None:
        self.slots = slots
        self._rng = rng
        self._times: dict[str, list[float]] = {}
        self.timed_count = 0
        self.spread_count = 0

    def expected(self, service: str, now: float) -> int:
        """Return the number of callers that are still expected back."""
        return len(self._current(service, now))

    def plan(self, job: Job, ahead: int, now: float, *, earliest_s: float = 0.0) -> float:
        """Return when the caller of a refused job is to come back, in seconds.

        Args:
            job: The refused job.
            ahead: Number of waiting jobs that go before it.
            now: Monotonic time, in seconds.
            earliest_s: Time until the first endpoint becomes available, in seconds.

        Returns:
            The time, at most what the caller honours, unless no endpoint is available
            before that.
        """
        longest_s = max_retry_after_s(job.gives_up_at, now)
        if earliest_s > longest_s:
            # No endpoint can run it before, so that a return would be in vain.
            return earliest_s
        times = self._current(job.service, now)
        slots = ahead + len(times) + 1
        after_s = self.slots.time_until(job.service, job.rank, slots, now)
        after_s = max(after_s, earliest_s, MIN_RETRY_AFTER_S)
        if after_s <= longest_s and len(times) < MAX_RETURNS:
            insort(times, now + after_s)
            self.timed_count += 1
            return after_s
        self.spread_count += 1
        if not math.isfinite(longest_s):
            return MIN_RETRY_AFTER_S
        return longest_s * self._rng.uniform(SPREAD_FROM, 1.0)

    def _current(self, service: str, now: float) -> list[float]:
        """Return the times of a service that have not passed, in ascending order."""
        times = self._times.setdefault(service, [])
        del times[: bisect_right(times, now)]
        return times
