"""How fast each tier of a service gets places, and since when its jobs have had to wait."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

Rank = tuple[int, ...]
"""Order of tiers; the lowest goes first."""

RATE_S = 1.0
"""Span over which places given are counted, in seconds: a chat holds a place for about as
long, so that each of a few engines has given some."""

AT_ONCE_S = 0.05
"""A job that waited no longer met no pressure, in seconds: what is known of other entries
is about as old."""


@dataclass(slots=True)
class _Tier:
    """One tier of a service.

    Attributes:
        came: Steady times at which jobs came lately, in seconds.
        placed: Steady times at which jobs got places lately, in seconds.
        since: Steady time since which every job has had to wait; ``None`` if none has.
    """

    came: deque[float] = field(default_factory=deque)
    placed: deque[float] = field(default_factory=deque)
    since: float | None = None


class Pressure:
    """What this entry saw lately, by service and tier."""

    def __init__(self) -> None:
        self._tiers: dict[str, dict[Rank, _Tier]] = {}

    def note_arrival(self, service: str, rank: Rank, now: float) -> None:
        """Note that a job came."""
        tier = self._tier(service, rank)
        tier.came.append(now)
        _forget(tier, now)

    def note_placed(self, service: str, rank: Rank, waited_s: float, now: float) -> None:
        """Note that a job got a place.

        Args:
            service: The job's service.
            rank: The job's tier.
            waited_s: How long it waited, in seconds.
            now: Steady time, in seconds.
        """
        tier = self._tier(service, rank)
        tier.placed.append(now)
        _forget(tier, now)
        if waited_s <= AT_ONCE_S:
            tier.since = None
        elif tier.since is None:
            tier.since = now - waited_s

    def places_within(
        self, service: str, rank: Rank, span_s: float, now: float
    ) -> float | None:
        """Return how many places a tier is likely to get in a span from now on.

        Args:
            service: The service.
            rank: The tier. Higher ones take what they ask for.
            span_s: Length of the span, in seconds.
            now: Steady time, in seconds.

        Returns:
            A mean; ``None`` if nothing is known, since no job got a place lately.
        """
        tiers = self._tiers.get(service, {})
        for tier in tiers.values():
            _forget(tier, now)
        placed = sum(len(tier.placed) for tier in tiers.values())
        if not placed:
            return None
        higher = sum(len(tier.came) for other, tier in tiers.items() if other < rank)
        return max(placed - higher, 0) / RATE_S * max(span_s, 0.0)

    def lasted_s(self, service: str, rank: Rank, now: float) -> float:
        """Return since when a tier's jobs have had to wait, in seconds before now."""
        since = self._tier(service, rank).since
        return now - since if since is not None else 0.0

    def _tier(self, service: str, rank: Rank) -> _Tier:
        return self._tiers.setdefault(service, {}).setdefault(rank, _Tier())


def _forget(tier: _Tier, now: float) -> None:
    for times in (tier.came, tier.placed):
        while times and times[0] < now - RATE_S:
            times.popleft()
