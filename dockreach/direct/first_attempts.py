"""Estimates when a caller made its first attempt, from its remaining deadline."""

from __future__ import annotations

import math
from bisect import insort
from collections import deque

DEADLINE_SAMPLES = 64
"""Number of recent deadlines kept per route: those of a second or two on a busy route."""

FIRST_ATTEMPT_QUANTILE = 0.9
"""Quantile of the recent deadlines that is taken for the deadline of first attempts. It is
misjudged only once more than nine tenths of a route's requests are retries."""

MIN_DIFFERENCE_S = 0.2
"""A deadline that is shorter than usual by more than this belongs to a retry, in seconds:
the smallest Retry-After is 0.25 s."""


class FirstAttemptEstimator:
    """Estimates first attempts from the deadlines of each route's recent requests.

    Callers send the time that they have left, so that a retry has less time left than a
    first attempt.
    """

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def first_attempt_age_s(self, route: str, deadline_s: float | None) -> float:
        """Return the time since a caller's first attempt, in seconds; 0 if this is it.

        Args:
            route: The request's route.
            deadline_s: Time left until the caller's deadline, in seconds; ``None`` if the
                caller did not send it.
        """
        if deadline_s is None:
            return 0.0
        self._record(route, deadline_s)
        ascending = self._sorted[route]
        usual_s = ascending[math.ceil(FIRST_ATTEMPT_QUANTILE * (len(ascending) - 1))]
        age_s = usual_s - deadline_s
        return age_s if age_s > MIN_DIFFERENCE_S else 0.0

    def keep_only(self, routes: set[str]) -> None:
        """Forget routes that are no longer declared."""
        for route in self._recent.keys() - routes:
            del self._recent[route]
            del self._sorted[route]

    def _record(self, route: str, deadline_s: float) -> None:
        recent = self._recent.setdefault(route, deque())
        ascending = self._sorted.setdefault(route, [])
        if len(recent) == DEADLINE_SAMPLES:
            ascending.remove(recent.popleft())
        recent.append(deadline_s)
        insort(ascending, deadline_s)
