"""Requests that wait for a place, and what can be decided about them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from ..verdict import Refusal
from .endpoints import EndpointRow
from .fleet import Route
from .pressure import Rank

PATIENCE = 1.5
"""How long a stream waits for a place, in objectives. Callers give a stream up after four
objectives without an event."""

PLAIN_PATIENCE = 1.0
"""How long a plain request waits for a place, in objectives."""

DEADLINE_PART = 0.5
"""Part of the time that the caller has left up to which a request waits for a place."""


@dataclass(slots=True)
class Job:
    """A request that is to be sent to an endpoint.

    Attributes:
        rank: Order among waiting jobs; the lowest goes first.
        arrived: Steady time at which the request was whole, in seconds.
        give_up: Steady time at which it is refused if it still waits.
        events: Events that the answer is likely to have.
        ends: Steady time at which the caller or the route gives it up, in seconds.
        tried_at: Steady time of its caller's first try, in seconds.
        was_weighed: Whether it was decided that it may wait.
        tried: Endpoints that it was sent to before.
        endpoint: Where it was placed; ``None`` while it waits.
        reading: Prompt tokens that the endpoint has to read for it; 0 once they are read.
        read_ahead: Prompt tokens that the endpoint had still to read before them.
        met_place: Whether the endpoint had a place free for it, as far as was known.
    """

    rid: str
    route: Route
    service: str
    rank: Rank
    prompt_tokens: int
    events: float
    prefix: tuple[tuple[str, int], ...]
    arrived: float
    give_up: float
    ends: float = math.inf
    tried_at: float = math.inf
    was_weighed: bool = False
    tried: set[str] = field(default_factory=set)
    endpoint: EndpointRow | None = None
    reading: int = 0
    read_ahead: int = 0
    met_place: bool = True

    @property
    def first_arrived(self) -> float:
        """When its caller tried first, in seconds."""
        return min(self.arrived, self.tried_at)

    @property
    def has_returned(self) -> bool:
        """Whether its caller had tried before."""
        return self.tried_at < self.arrived

    def end_reading(self) -> None:
        """Note that its prompt is read: its first event has come, or it has ended."""
        if self.endpoint is not None:
            self.endpoint.reading -= self.reading
            self.reading = 0


class Placed(NamedTuple):
    """A job that may be sent now."""

    job: Job
    endpoint: EndpointRow


class Refused(NamedTuple):
    """A job that found no place in time."""

    job: Job
    refusal: Refusal


Decision = Placed | Refused


def patience_s(route: Route, left_s: float) -> float:
    """Return how long a request may wait for a place, in seconds.

    Args:
        route: The request's route.
        left_s: Time that the caller still waits, in seconds.
    """
    objectives = PATIENCE if route.is_stream else PLAIN_PATIENCE
    return min(objectives * route.objective_s, left_s * DEADLINE_PART)
