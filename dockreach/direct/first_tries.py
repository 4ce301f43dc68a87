"""When a caller tried first, told from how long it still waits."""

from __future__ import annotations

import math
from bisect import insort
from collections import deque

REMEMBERED = 64
"""Requests of a route whose deadlines are remembered: a second or two of a busy route."""

USUAL_RANK = 0.9
"""Rank, among remembered deadlines in rising order, of the one that first tries have. Nine
tenths of a route's requests may be callers that came back before it is misjudged."""

SURE_S = 0.2
"""A deadline that is shorter than usual by more than this is a later try's, in seconds:
the least time after which callers are told to come back is 0.25 s."""


class FirstTries:
    """Remembers the deadlines of each route's latest requests.

    Callers hand down the time that they have left, so that who comes back has less of it
    than who comes first.
    """

    def __init__(self) -> None:
        self._latest: dict[str, deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def tried_s(self, route: str, deadline_s: float | None) -> float:
        """Return how long ago a request's caller tried first; 0 if this is its first try.

        Args:
            route: The request's route.
            deadline_s: How long its caller still waits, in seconds; ``None`` if untold.
        """
        if deadline_s is None:
            return 0.0
        self._remember(route, deadline_s)
        ranked = self._sorted[route]
        usual_s = ranked[math.ceil(USUAL_RANK * (len(ranked) - 1))]
        gone_s = usual_s - deadline_s
        return gone_s if gone_s > SURE_S else 0.0

    def keep_only(self, routes: set[str]) -> None:
        """Forget routes that are no longer declared."""
        for route in self._latest.keys() - routes:
            del self._latest[route]
            del self._sorted[route]

    def _remember(self, route: str, deadline_s: float) -> None:
        latest = self._latest.setdefault(route, deque())
        ranked = self._sorted.setdefault(route, [])
        if len(latest) == REMEMBERED:
            ranked.remove(latest.popleft())
        latest.append(deadline_s)
        insort(ranked, deadline_s)
