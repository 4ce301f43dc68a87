"""Budget for retries at other endpoints, shared by all entries."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

USABLE_FRACTION = 0.7
"""Fraction of the budget that is used; the rest covers retries of peers that this entry
does not know yet, or that an entry made before it restarted."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How many retries are allowed.

    Attributes:
        ratio: Retries per request of a service in the window.
        burst: Additional retries in the window, over all entries.
        window_s: Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    burst: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """Counts one entry's requests and retries, by service.

    The burst is split evenly over the entries that may be alive; the ratio needs no split,
    since each entry counts only its own requests.

    Args:
        policy: How many retries are allowed.
        restarted_at: Monotonic time at which the entry was started, in seconds, if it may
            have made retries before.
    """

    def __init__(self, policy: RetryPolicy, restarted_at: float = -math.inf) -> None:
        self.policy = policy
        self._restarted_at = restarted_at
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request that a caller sent for a service."""
        self._times_in_window(self._requests, service, now).append(now)

    def try_acquire(self, service: str, entries: int, now: float) -> bool:
        """Take one retry from the budget; return whether there was one left.

        Args:
            service: The service that the request goes to.
            entries: Entries that may be alive, this one included.
            now: Monotonic time, in seconds.
        """
        if not self.has_left(service, entries, now):
            return False
        self._times_in_window(self._retries, service, now).append(now)
        return True

    def has_left(self, service: str, entries: int, now: float) -> bool:
        """Return whether the budget has a retry left.

        Args:
            service: The service that the request goes to.
            entries: Entries that may be alive, this one included.
            now: Monotonic time, in seconds.
        """
        requests = self._times_in_window(self._requests, service, now)
        retries = self._times_in_window(self._retries, service, now)
        is_restarted = now - self._restarted_at < self.policy.window_s
        burst_fraction = 1 - USABLE_FRACTION if is_restarted else USABLE_FRACTION
        allowed = USABLE_FRACTION * self.policy.ratio * len(
            requests
        ) + burst_fraction * self.policy.burst / max(entries, 1)
        return len(retries) + 1 <= allowed

    def _times_in_window(
        self, times_by_service: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now - self.policy.window_s:
            times.popleft()
        return times
