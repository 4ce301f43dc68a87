"""Data halls that the operator wants to be empty, by the newest order that was heard of.

Load pattern: an order reaches some entries from the platform and others from peers, in any
order, and may be withdrawn again before all have heard of it.
"""

from __future__ import annotations

from ..events import Event, log
from .endpoints import EndpointTable


class EmptiedHalls:
    """Keeps the endpoints of some data halls from getting work.

    Args:
        endpoints: Where jobs can be placed.

    Attributes:
        revision: The platform's revision up to which orders were read; 0 for none.
        since: Steady time since which each hall is to be empty here, in seconds.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self.revision = 0
        self.since: dict[str, float] = {}

    def take(self, halls: frozenset[str], revision: int, now: float) -> bool:
        """Put orders in force unless they are older than what is known.

        Args:
            halls: All data halls that are to be empty.
            revision: The platform's revision up to which orders were read.
            now: Steady time, in seconds.

        Returns:
            Whether others should hear of it.
        """
        if revision < self.revision:
            return False
        is_news = revision > self.revision
        self.revision = revision
        if halls != self._endpoints.emptied:
            log(Event.HALLS_EMPTIED, halls=" ".join(sorted(halls)), orders=revision)
            self.since = {hall: self.since.get(hall, now) for hall in halls}
            self._endpoints.empty(halls, now)
        return is_news
