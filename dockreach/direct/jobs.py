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

EARLY_PART = 0.2
"""Part of an objective after which a stream is refused that is not likely to be in time.
Whoever is told so early comes back as if it were new."""

FRESH_PART = 0.9
"""Part of a route's time that a caller still has if this is its first try. One with less
has most likely been refused before, and waits rather than to be sent away again."""


@dataclass(slots=True)
class Job:
    """A request that is to be sent to an endpoint.

    Attributes:
        rank: Order among waiting jobs; the lowest goes first.
        arrived: Steady time at which the request was whole, in seconds.
        give_up: Steady time at which it is refused if it still waits.
        events: Events that the answer is likely to have.
        ends: Steady time at which the caller or the route gives it up, in seconds.
        can_return: Whether its caller has the time to come back after an early refusal.
        tried: Endpoints that it was sent to before.
        endpoint: Where it was placed; ``None`` while it waits.
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
    can_return: bool = False
    tried: set[str] = field(default_factory=set)
    endpoint: EndpointRow | None = None

    @property
    def first_arrived(self) -> float:
        """When the caller came first, as far as its time that is left tells, in seconds."""
        return min(self.arrived, self.ends - self.route.timeout_s)

    @property
    def early(self) -> float:
        """Steady time at which it is decided whether to refuse it early, in seconds."""
        return self.arrived + EARLY_PART * self.route.objective_s


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


def can_return(route: Route, left_s: float) -> bool:
    """Return whether a caller may be refused early: it is not likely to have been before.

    Args:
        route: The request's route.
        left_s: Time that the caller still waits, in seconds.
    """
    return route.is_stream and left_s >= FRESH_PART * route.timeout_s
