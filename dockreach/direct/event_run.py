"""The events of one run of a stream, as one endpoint sent them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .event_stream import StreamEvent

MAX_SHOWN_ID_CHARACTERS = 24
"""Longest part of an event's id in the text of a run."""


@dataclass(slots=True, eq=False)
class EventRun:
    """Which events one endpoint sent in response to one upstream request.

    Attributes:
        endpoint: Id of the endpoint.
        first_id: Id of the first event that had one; empty if none had.
        last_id: Id of the last event that had one; empty if none had.
        event_count: Number of its events.
    """

    endpoint: str
    first_id: str = ""
    last_id: str = ""
    event_count: int = 0

    def record(self, events: Iterable[StreamEvent]) -> None:
        """Record events that were received, in order."""
        for event in events:
            self.event_count += 1
            if event.id:
                self.first_id = self.first_id or event.id
                self.last_id = event.id

    def __str__(self) -> str:
        """Return the endpoint with the first and the last id, such as ``e1:3-7``."""
        first = self.first_id[:MAX_SHOWN_ID_CHARACTERS]
        last = self.last_id[:MAX_SHOWN_ID_CHARACTERS]
        return f"{self.endpoint}:{first}-{last}"
