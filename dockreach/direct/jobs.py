"""Requests that wait for a slot, and the decisions on them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from ..verdict import Refusal
from .endpoints import EndpointRow
from .fleet import Repeat, Route
from .pressure import Rank

PATIENCE = 1.5
"""How long a stream may wait for a slot, in multiples of its route's objective. Callers
abandon a stream after four objectives without an event."""

PLAIN_PATIENCE = 1.0
"""How long a plain request may wait for a slot, in multiples of its route's objective."""

RETRY_AFTER_S = 0.3
"""Lower bound of Retry-After for callers whose requests waited and were refused, in
seconds."""

DEADLINE_PART = 0.5
"""Largest fraction of the time left until the caller's deadline that a request may spend
waiting for a slot."""


_UNKNOWN_ROUTE = Route(
    name="",
    host="",
    prefix="/",
    repeat=Repeat.NEVER,
    is_stream=False,
    timeout_s=0.0,
    objective_s=0.0,
    gap_objective_s=0.0,
    tier=0,
    max_attempts=1,
    is_public=False,
    splits=(),
)


@dataclass(slots=True, eq=False)
class Job:
    """A request that is to be sent to an endpoint.

    All times are monotonic, in seconds.

    Attributes:
        rank: Order among waiting jobs; the lowest goes first.
        arrived: Time at which the whole request had been received.
        give_up: Time at which it is refused if it still waits.
        events: Number of events that its response is likely to have.
        ends: Time at which the caller or the route's timeout abandons it.
        tried_at: Time of its caller's first attempt, as estimated.
        was_weighed: Whether it was admitted to the queue, so that it is no longer rejected
            early.
        tried: Endpoints that it was sent to before.
        endpoint: The endpoint of its slot; ``None`` while it waits.
        reading: Prompt tokens that the endpoint has to prefill for it; 0 after the prefill.
        read_ahead: Prompt tokens that the endpoint had to prefill before these.
        met_place: Whether the endpoint had a free slot for it, as far as was known.
        number: Number of the job at its entry, used to request slots; 0 otherwise.
        for_peer: Whether it is another entry's.
        granted_by: IP number of the entry that granted the slot; empty if this entry
            assigned it.
        halls: Data halls in which it may run; ``None`` for all.
        fingerprint: The same for each attempt of its request; empty if it is another
            entry's.
        held_until: Endpoints at which the requesting entry declines slots, each with the
            time until which it does; empty if the job is this entry's own.
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
    number: int = 0
    for_peer: bool = False
    granted_by: str = ""
    halls: frozenset[str] | None = None
    fingerprint: bytes = b""
    held_until: dict[str, float] = field(default_factory=dict)

    @classmethod
    def of_peer(cls, service: str, *, arrived: float) -> Job:
        """Return a placeholder for another entry's job of which only the slot is known."""
        return cls(
            rid="",
            route=_UNKNOWN_ROUTE,
            service=service,
            rank=(),
            prompt_tokens=0,
            events=0.0,
            prefix=(),
            arrived=arrived,
            give_up=math.inf,
            for_peer=True,
        )

    def take_place(self, row: EndpointRow, *, read_ahead: int, met_place: bool) -> None:
        """Acquire a slot of an endpoint.

        Args:
            row: The endpoint.
            read_ahead: Prompt tokens that it has to prefill before this job's own.
            met_place: Whether a slot was free, as far as was known.
        """
        self.endpoint = row
        self.read_ahead = read_ahead
        self.met_place = met_place
        row.count(1, for_peer=self.for_peer)

    def start_reading(self, tokens: int) -> None:
        """Add prompt tokens that the endpoint has to prefill for this job."""
        if self.endpoint is not None:
            self.reading = tokens
            self.endpoint.reading += tokens

    def leave_place(self) -> None:
        """Release the slot, if the job holds one."""
        row = self.endpoint
        if row is None:
            return
        self.end_reading()
        row.count(-1, for_peer=self.for_peer)
        self.endpoint = None

    @property
    def first_arrived(self) -> float:
        """Monotonic time of its caller's first attempt, in seconds."""
        return min(self.arrived, self.tried_at)

    @property
    def has_returned(self) -> bool:
        """Whether its caller is known to have attempted the request before."""
        return self.tried_at < self.arrived

    def end_reading(self) -> None:
        """End the prefill: the first event has been received, or the job has ended."""
        if self.endpoint is not None:
            self.endpoint.reading -= self.reading
            self.reading = 0


class Placed(NamedTuple):
    """A job that got a slot and may be sent now."""

    job: Job
    endpoint: EndpointRow


class Refused(NamedTuple):
    """A job that got no slot in time, or that was rejected early."""

    job: Job
    refusal: Refusal


Decision = Placed | Refused


def patience_s(route: Route, time_left_s: float) -> float:
    """Return how long a request may wait for a slot, in seconds.

    Args:
        route: The request's route.
        time_left_s: Time until the caller's deadline, in seconds.
    """
    objectives = PATIENCE if route.is_stream else PLAIN_PATIENCE
    return min(objectives * route.objective_s, time_left_s * DEADLINE_PART)
