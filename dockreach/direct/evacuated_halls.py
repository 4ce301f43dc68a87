"""Data halls that the operator has evacuated, according to the newest command received.

Load pattern: a command reaches some entries from the platform and others from peers, in any
order, and may be withdrawn again before all entries have received it.
"""

from __future__ import annotations

from ..events import Event, log
from .endpoints import EndpointTable


class EvacuatedHalls:
    """Keeps requests away from the endpoints of evacuated data halls.

    Args:
        endpoints: The table that is told which halls are evacuated.

    Attributes:
        revision: The platform's revision up to which commands were read; 0 for none.
        since: Monotonic time at which this entry began to evacuate each hall, in seconds.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self.revision = 0
        self._complete_to = 0
        self.since: dict[str, float] = {}

    def apply(
        self, halls: frozenset[str], revision: int, now: float, *, complete_to: int = 0
    ) -> bool:
        """Apply the operator's commands unless they are older than those already applied.

        Args:
            halls: All data halls that are to be evacuated.
            revision: The platform's revision up to which commands were read.
            now: Monotonic time, in seconds.
            complete_to: The platform's revision up to which this entry itself has read all
                commands; 0 if a peer told them.

        Returns:
            Whether the revision is new, so that peers should be told.
        """
        # The revision of a command that was withdrawn before this entry was started is not
        # known, but that it is not older than the list.
        if revision < self.revision or (not complete_to and revision <= self._complete_to):
            return False
        self._complete_to = max(complete_to, self._complete_to)
        is_newer = revision > self.revision
        self.revision = revision
        if halls != self._endpoints.evacuated:
            log(Event.HALLS_EMPTIED, halls=" ".join(sorted(halls)), orders=revision)
            self.since = {hall: self.since.get(hall, now) for hall in halls}
            self._endpoints.evacuate(halls, now)
        return is_newer
