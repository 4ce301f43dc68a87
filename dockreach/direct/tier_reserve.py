"""Slots that a tier leaves free for the requests of higher tiers that are still to come.

Load pattern: requests of a low tier hold their slots for long. If they take all of them,
a request of a higher tier that arrives later has to wait until one ends.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .endpoints import EndpointTable
from .jobs import Job
from .pressure import Pressure, Rank

MEAN_WEIGHT = 1 / 16
"""Weight of a new job in the mean time for which slots are held."""

COVERED = 0.9
"""Probability with which the arrivals of higher tiers find the slots that they need."""

COVERED_DEVIATIONS = 1.28
"""The same as standard deviations of a large number of arrivals."""

LARGE_NUMBER = 30.0
"""Mean number of arrivals from which it is taken to be normally distributed."""

MOMENTS = 6
"""Number of times that the span ahead is halved, to find when most slots are needed."""

MIN_HOLD_S = 0.001
"""Lower bound of the time for which a slot is held, in seconds."""

RESERVE_TTL_S = 0.04
"""How long a computed reserve is used, in seconds."""


@dataclass(slots=True)
class _Hold:
    """Mean time for which slots are held, in seconds."""

    mean_s: float

    def update(self, seconds: float) -> None:
        self.mean_s += MEAN_WEIGHT * (seconds - self.mean_s)


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Arrivals that are expected of one tier.

    Attributes:
        per_s: Number of arrivals in a second.
        hold_s: Time for which each holds a slot, in seconds.
    """

    per_s: float
    hold_s: float


class TierReserve:
    """Expects how many slots the arrivals of higher tiers need.

    Args:
        endpoints: The endpoints that have slots.
        pressure: Says how many jobs of each tier arrive.
    """

    def __init__(self, endpoints: EndpointTable, pressure: Pressure) -> None:
        self._endpoints = endpoints
        self._pressure = pressure
        self._holds: dict[str, dict[Rank | None, _Hold]] = {}
        self._computed: dict[tuple[str, Rank], tuple[float, int]] = {}

    def record_release(self, job: Job, now: float) -> None:
        """Record for how long a job has held its slot."""
        held_s = now - job.slot_at
        if not job.rank or not 0 <= held_s < math.inf:
            return
        holds = self._holds.setdefault(job.service, {})
        # The key without a rank is the mean over all tiers.
        for key in (job.rank, None):
            hold = holds.get(key)
            if hold is None:
                holds[key] = _Hold(held_s)
            else:
                hold.update(held_s)

    def slots(self, service: str, rank: Rank, now: float) -> int:
        """Return how many slots a tier leaves free beside the one that it takes.

        Args:
            service: The service.
            rank: The tier.
            now: Monotonic time, in seconds.
        """
        computed_at, slots = self._computed.get((service, rank), (-math.inf, 0))
        if not 0 <= now - computed_at < RESERVE_TTL_S:
            slots = self._compute(service, rank, now)
            self._computed[service, rank] = (now, slots)
        return slots

    def _compute(self, service: str, rank: Rank, now: float) -> int:
        rates = self._pressure.higher_arrivals_per_s(service, rank, now)
        holds = self._holds.get(service, {})
        mean = holds.get(None)
        if not rates or mean is None or not mean.mean_s:
            return 0
        arrivals = [
            Arrivals(per_s, holds.get(other, mean).mean_s) for other, per_s in rates.items()
        ]
        rows = self._endpoints.accepting(service, None)
        running = Counter(job.rank for row in rows for job in row.held_by)
        freed_per_s = sum(
            count / max(holds.get(other, mean).mean_s, MIN_HOLD_S)
            for other, count in running.items()
        )
        span_s = holds.get(rank, mean).mean_s
        needed = expected_need(arrivals, freed_per_s, span_s)
        # A tier that leaves all slots free is never served.
        return max(min(needed, sum(row.published.slots for row in rows) - 1), 0)


def expected_need(arrivals: Iterable[Arrivals], freed_per_s: float, span_s: float) -> int:
    """Return how many free slots arrivals are likely to need at once within a time.

    At each moment these are the slots that the arrivals hold by then, with the probability
    `COVERED`, less those that other requests have freed.

    Args:
        arrivals: The arrivals, by tier.
        freed_per_s: Slots that other requests free, per second.
        span_s: The time, in seconds.
    """
    arrivals = list(arrivals)
    moments = [min(one.hold_s, span_s) for one in arrivals]
    moments += [span_s / 2**number for number in range(MOMENTS + 1)]
    return max(
        _covering_number(sum(one.per_s * min(one.hold_s, moment) for one in arrivals))
        - int(freed_per_s * moment)
        for moment in moments
    )


def _covering_number(mean: float) -> int:
    """Return the number that Poisson events don't exceed, with the probability `COVERED`.

    Args:
        mean: Mean number of the events.
    """
    if mean > LARGE_NUMBER:
        return round(mean + COVERED_DEVIATIONS * math.sqrt(mean))
    number = 0
    term = total = math.exp(-mean)
    while total < COVERED:
        number += 1
        term *= mean / number
        total += term
    return number
