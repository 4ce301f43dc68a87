"""Estimates when a caller made its first attempt, from its remaining deadline.

Reports tell repeats from first attempts by it. No decision on a request does.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque

DEADLINE_SAMPLES = 64
"""Number of recent deadlines kept per route: those of a second or two on a busy route."""

FIRST_ATTEMPT_QUANTILE = 0.9
"""Quantile of the recent deadlines that is taken for the deadline of first attempts. It is
misjudged only once more than nine tenths of a route's requests are retries."""

AGREEMENT_QUANTILE = 0.8
"""Quantile that has to agree with `FIRST_ATTEMPT_QUANTILE`: the recent deadlines between
them are then those of first attempts."""

MIN_AGREEING = 6
"""Smallest number of deadlines from one quantile to the other: three of twenty different
deadlines are often equal by chance."""

AGREEMENT_S = 0.05
"""Largest difference of these quantiles on a route whose callers wait equally long, in
seconds. Such deadlines differ only by network delays."""

FEW_SAMPLES = 16
"""Number of deadlines below which both quantiles may be the same or the next deadline. All
from the median to the ninth decile, at least three of them, have to agree then."""

MIN_DIFFERENCE_S = 0.2
"""A deadline that is shorter than usual by more than this belongs to a retry, in seconds:
the smallest Retry-After is 0.25 s."""


class FirstAttemptEstimator:
    """Estimates first attempts from the deadlines of each route's recent requests.

    Callers send the time that they have left, so that a retry has less time left than a
    first attempt. That is valid only on routes whose callers wait equally long. Where they
    differ, or most recent requests are retries that waited for different times, nothing is
    estimated, and each attempt counts as a first one.
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
        is_valid = _agree(self._sorted.get(route, []))
        self._record(route, deadline_s)
        ascending = self._sorted[route]
        usual_s = ascending[_index(ascending, FIRST_ATTEMPT_QUANTILE)]
        age_s = usual_s - deadline_s
        return age_s if is_valid and age_s > MIN_DIFFERENCE_S else 0.0

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


def _index(ascending: list[float], quantile: float) -> int:
    return math.ceil(quantile * (len(ascending) - 1))


def _agree(ascending: list[float]) -> bool:
    """Return whether the longest of a route's earlier deadlines are equal.

    A single earlier deadline has nothing to disagree with, and counts as the usual one.
    """
    if not ascending:
        return False
    upper = _index(ascending, FIRST_ATTEMPT_QUANTILE)
    lower = min(_index(ascending, AGREEMENT_QUANTILE), upper - MIN_AGREEING)
    if len(ascending) < FEW_SAMPLES:
        lower = min(max(upper - 2, 0), (len(ascending) - 1) // 2)
    return ascending[upper] - ascending[lower] <= AGREEMENT_S
