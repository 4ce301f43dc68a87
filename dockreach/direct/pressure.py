"""Measures the pressure on each tier of a service: how many jobs arrive and get slots."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field

Rank = tuple[int, ...]
"""Rank of a tier in the queue; the lowest goes first."""

RATE_WINDOW_S = 1.0
"""Shortest window of a rate, in seconds: a chat holds a slot for about that long, so that
each of a few engines has had some assignments."""

LONG_WINDOW_S = 5.0
"""Longest window, in seconds: a tier with a request in a few seconds counts throughout, and
a burst of a second counts for the next second only."""


@dataclass(slots=True)
class _Tier:
    """Recent jobs of one tier of a service. Times are monotonic, in seconds.

    Attributes:
        arrivals: Times at which jobs arrived in the last `LONG_WINDOW_S`.
        assignments: Times at which jobs got slots in the last `RATE_WINDOW_S`.
    """

    arrivals: deque[float] = field(default_factory=deque)
    assignments: deque[float] = field(default_factory=deque)

    def arrivals_since(self, moment: float) -> int:
        """Return the number of jobs that arrived since a monotonic time, in seconds."""
        return len(self.arrivals) - bisect_left(self.arrivals, moment)


class Pressure:
    """Recent arrivals and slot assignments, by service and tier."""

    def __init__(self) -> None:
        self._tiers: dict[str, dict[Rank, _Tier]] = {}

    def record_arrival(self, service: str, rank: Rank, now: float) -> None:
        """Record the arrival of a job."""
        tier = self._tier(service, rank)
        tier.arrivals.append(now)
        _drop_expired(tier, now)

    def record_assignment(self, service: str, rank: Rank, now: float) -> None:
        """Record that a job got a slot."""
        tier = self._tier(service, rank)
        tier.assignments.append(now)
        _drop_expired(tier, now)

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
            tier.arrivals_since(now - RATE_WINDOW_S)
            for other, tier in tiers.items()
            if other < rank
        )
        return max(assigned - higher_arrivals, 0) / RATE_WINDOW_S * max(span_s, 0.0)

    def higher_arrivals_per_s(
        self, service: str, rank: Rank, now: float
    ) -> dict[Rank, float]:
        """Return the rates at which jobs of higher tiers arrive.

        These are the higher ones of the rates in the two windows.
        """
        tiers = self._tiers.get(service, {})
        for tier in tiers.values():
            _drop_expired(tier, now)
        return {
            other: max(
                tier.arrivals_since(now - RATE_WINDOW_S) / RATE_WINDOW_S,
                len(tier.arrivals) / LONG_WINDOW_S,
            )
            for other, tier in tiers.items()
            if other < rank and tier.arrivals
        }

    def expected_arrivals(
        self, service: str, rank: Rank, now: float
    ) -> dict[Rank, tuple[float, float]]:
        """Return at which rates jobs of higher tiers are expected to arrive.

        Each rate is per second, for the next `RATE_WINDOW_S` and for the time after it: the
        next seconds are expected to bring what as many of the last ones did.
        """
        tiers = self._tiers.get(service, {})
        rates = {}
        for other, tier in tiers.items():
            _drop_expired(tier, now)
            if other < rank and tier.arrivals:
                recent = tier.arrivals_since(now - RATE_WINDOW_S)
                earlier = len(tier.arrivals) - recent
                rates[other] = (
                    recent / RATE_WINDOW_S,
                    earlier / (LONG_WINDOW_S - RATE_WINDOW_S),
                )
        return rates

    def _tier(self, service: str, rank: Rank) -> _Tier:
        return self._tiers.setdefault(service, {}).setdefault(rank, _Tier())


def _drop_expired(tier: _Tier, now: float) -> None:
    for times, window_s in (
        (tier.arrivals, LONG_WINDOW_S),
        (tier.assignments, RATE_WINDOW_S),
    ):
        while times and times[0] < now - window_s:
            times.popleft()
