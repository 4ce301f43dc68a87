"""Measures the pressure on each tier of a service.

That is the rate at which its jobs get slots, and since when all of them have had to wait.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

Rank = tuple[int, ...]
"""Rank of a tier in the queue; the lowest goes first."""

RATE_WINDOW_S = 1.0
"""Window over which slot assignments are counted, in seconds: a chat holds a slot for about
that long, so that each of a few engines has had some assignments."""

NO_WAIT_S = 0.05
"""Waiting time, in seconds, up to which a job counts as not having waited: what is known of
other entries is about that old."""


@dataclass(slots=True)
class _Tier:
    """Recent jobs of one tier of a service. Times are monotonic, in seconds.

    Attributes:
        arrivals: Times at which jobs arrived in the last window.
        assignments: Times at which jobs got slots in the last window.
        waiting_since: Time since which every job has had to wait; ``None`` if the last one
            did not.
    """

    arrivals: deque[float] = field(default_factory=deque)
    assignments: deque[float] = field(default_factory=deque)
    waiting_since: float | None = None


class Pressure:
    """Recent arrivals and slot assignments, by service and tier."""

    def __init__(self) -> None:
        self._tiers: dict[str, dict[Rank, _Tier]] = {}

    def record_arrival(self, service: str, rank: Rank, now: float) -> None:
        """Record the arrival of a job."""
        tier = self._tier(service, rank)
        tier.arrivals.append(now)
        _drop_expired(tier, now)

    def record_assignment(
        self, service: str, rank: Rank, waited_s: float, now: float
    ) -> None:
        """Record that a job got a slot.

        Args:
            service: The job's service.
            rank: The job's tier.
            waited_s: How long it waited, in seconds.
            now: Monotonic time, in seconds.
        """
        tier = self._tier(service, rank)
        tier.assignments.append(now)
        _drop_expired(tier, now)
        if waited_s <= NO_WAIT_S:
            tier.waiting_since = None
        elif tier.waiting_since is None:
            tier.waiting_since = now - waited_s

    def expected_slots(
        self, service: str, rank: Rank, span_s: float, now: float
    ) -> float | None:
        """Return how many slots a tier is expected to get in the next seconds.

        Args:
            service: The service.
            rank: The tier. Higher tiers are expected to get a slot for each of their jobs.
            span_s: Length of the time ahead, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            The expected number; ``None`` if no job got a slot in the last window.
        """
        tiers = self._tiers.get(service, {})
        for tier in tiers.values():
            _drop_expired(tier, now)
        assigned = sum(len(tier.assignments) for tier in tiers.values())
        if not assigned:
            return None
        higher_arrivals = sum(
            len(tier.arrivals) for other, tier in tiers.items() if other < rank
        )
        return max(assigned - higher_arrivals, 0) / RATE_WINDOW_S * max(span_s, 0.0)

    def higher_arrivals_per_s(
        self, service: str, rank: Rank, now: float
    ) -> dict[Rank, float]:
        """Return the rates at which jobs of higher tiers arrived in the last window."""
        tiers = self._tiers.get(service, {})
        for tier in tiers.values():
            _drop_expired(tier, now)
        return {
            other: len(tier.arrivals) / RATE_WINDOW_S
            for other, tier in tiers.items()
            if other < rank and tier.arrivals
        }

    def duration_s(self, service: str, rank: Rank, now: float) -> float:
        """Return for how long all jobs of a tier have had to wait, in seconds."""
        since = self._tier(service, rank).waiting_since
        return now - since if since is not None else 0.0

    def _tier(self, service: str, rank: Rank) -> _Tier:
        return self._tiers.setdefault(service, {}).setdefault(rank, _Tier())


def _drop_expired(tier: _Tier, now: float) -> None:
    for times in (tier.arrivals, tier.assignments):
        while times and times[0] < now - RATE_WINDOW_S:
            times.popleft()
