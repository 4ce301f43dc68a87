"""The budget for sending a request to another endpoint, shared by all entries."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

RESERVE = 0.7
"""Part of the budget that is used; the rest covers what peers are not yet known to do."""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How many repeats are allowed.

    Attributes:
        ratio: Repeats for each request of a service in the window.
        burst: Repeats in the window besides, over all entries.
        window_s: Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    burst: float = 10.0
    window_s: float = 10.0


class RetryBudget:
    """Counts one entry's requests and repeats, by service.

    The burst is split evenly over the entries that may be alive; the ratio needs no
    split, since each entry counts only its own requests.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self.policy = policy
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request that callers sent for a service."""
        self._window(self._requests, service, now).append(now)

    def take(self, service: str, entries: int, now: float) -> bool:
        """Take one repeat from the budget; return whether there was one left.

        Args:
            service: The service that the request goes to.
            entries: Entries that may be alive, this one included.
            now: Steady time, in seconds.
        """
        requests = self._window(self._requests, service, now)
        repeats = self._window(self._repeats, service, now)
        allowed = self.policy.ratio * len(requests) + self.policy.burst / max(entries, 1)
        if len(repeats) + 1 > RESERVE * allowed:
            return False
        repeats.append(now)
        return True

    def _window(
        self, table: dict[str, deque[float]], service: str, now: float
    ) -> deque[float]:
        times = table.setdefault(service, deque())
        while times and times[0] <= now - self.policy.window_s:
            times.popleft()
        return times
