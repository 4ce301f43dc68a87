"""Requests that wait for a slot, and the decisions on them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from ..verdict import Refusal
from .endpoints import EndpointRow, EndpointTable
from .pressure import Rank
from .routing_config import RetryMode, Route

MIN_RETRY_AFTER_S = 0.25
"""Lower bound of Retry-After, in seconds, unless the caller has too little time for it."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry time that a refused caller gets where no better one is known, in seconds."""


_UNKNOWN_ROUTE = Route(
    name="",
    host="",
    prefix="/",
    retry_mode=RetryMode.NEVER,
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
        rid: Id of the request.
        rank: Order among waiting jobs; the lowest goes first.
        arrived_at: Time at which the whole request had been received.
        queue_deadline: Latest time at which its work can begin and still be of use to the
            caller; it is refused then if it still waits.
        expected_events: Number of events that its response is likely to have.
        deadline: Time at which the caller or the route's timeout abandons it.
        is_admitted: Whether a scheduling round has left it waiting.
        tried_endpoints: Endpoints that it was sent to before.
        endpoint: The endpoint of its slot; ``None`` while it waits.
        prefill_tokens: Prompt tokens that the endpoint has to prefill for it; 0 after the
            prefill.
        prefill_ahead: Prompt tokens that the endpoint had to prefill before these.
        found_free_slot: Whether the endpoint had a free slot for it, as far as was known.
        number: Number of the job at its entry, used to request slots; 0 otherwise.
        for_peer: Whether it is another entry's.
        granted_by: IP address of the entry that granted the slot; empty if this entry
            assigned it.
        allowed_halls: Data halls in which it may run; ``None`` for all.
        suspects: Fingerprints of the request, the same for each of its attempts, and of
            the shared parts of its prompt; empty if it is another entry's.
        blocked_until: Endpoints at which the requesting entry declines slots, each with the
            time until which it does; empty if the job is this entry's own.
        organisation: Name of the organisation that sent it; empty for none.
        hall: Data hall of the entry that received it; empty if that entry did not report
            it.
        caller_deadline: Time at which the caller itself gives up, without the route's
            timeout; infinite if the caller sent none.
        slot_requested_at: Time at which this entry last requested a slot from another one,
            or minus infinity.
        slot_at: Time at which it got its slot, or minus infinity.
        events: Events of its response that were received so far.
        events_at: Time at which the last of them were received, as far as is known here;
            minus infinity if none were.
        is_length_estimated: Whether `expected_events` is the caller's own estimate, and not
            its upper limit or missing; at a coordinator, as the entry reports once the job
            holds a slot.
        load_percent: How long work took at the endpoint of its slot when it got that, in
            percent of the usual; 0 if that was not known.
        software_version: Software version of the endpoint that began its stream, which has
            to go on at the same one; ``None`` for any.
    """

    rid: str
    route: Route
    service: str
    rank: Rank
    prompt_tokens: int
    expected_events: float
    prefix: tuple[tuple[str, int], ...]
    arrived_at: float
    queue_deadline: float
    deadline: float = math.inf
    is_admitted: bool = False
    tried_endpoints: set[str] = field(default_factory=set)
    endpoint: EndpointRow | None = None
    prefill_tokens: int = 0
    prefill_ahead: int = 0
    found_free_slot: bool = True
    number: int = 0
    for_peer: bool = False
    granted_by: str = ""
    allowed_halls: frozenset[str] | None = None
    suspects: tuple[bytes, ...] = ()
    blocked_until: dict[str, float] = field(default_factory=dict)
    organisation: str = ""
    hall: str = ""
    caller_deadline: float = math.inf
    slot_requested_at: float = -math.inf
    slot_at: float = -math.inf
    events: int = 0
    events_at: float = -math.inf
    is_length_estimated: bool = False
    load_percent: int = 0
    software_version: str | None = None

    @classmethod
    def peer_placeholder(cls, service: str, *, arrived_at: float) -> Job:
        """Return a placeholder for another entry's job that was granted elsewhere."""
        return cls(
            rid="",
            route=_UNKNOWN_ROUTE,
            service=service,
            rank=(),
            prompt_tokens=0,
            expected_events=0.0,
            prefix=(),
            arrived_at=arrived_at,
            queue_deadline=math.inf,
            for_peer=True,
        )

    def for_second_request(self) -> Job:
        """Return a job for a second upstream request beside the one that holds the slot."""
        tried = set(self.tried_endpoints)
        if self.endpoint is not None:
            tried.add(self.endpoint.id)
        return replace(
            self,
            tried_endpoints=tried,
            endpoint=None,
            prefill_tokens=0,
            prefill_ahead=0,
            number=0,
            granted_by="",
            blocked_until={},
            slot_at=-math.inf,
        )

    def acquire_slot(
        self, row: EndpointRow, *, prefill_ahead: int, found_free_slot: bool
    ) -> None:
        """Acquire a slot of an endpoint.

        Args:
            row: The endpoint.
            prefill_ahead: Prompt tokens that it has to prefill before this job's own.
            found_free_slot: Whether a slot was free, as far as was known.
        """
        self.endpoint = row
        self.prefill_ahead = prefill_ahead
        self.found_free_slot = found_free_slot
        row.held_by[self] = None
        row.adjust_in_flight(1, for_peer=self.for_peer)

    def fits(self, row: EndpointRow) -> bool:
        """Return whether an endpoint has the software version that the job needs."""
        return self.software_version in (None, row.published.software_version)

    def needs_gone_version(self, endpoints: EndpointTable, now: float) -> bool:
        """Return whether no endpoint has the software version any more that it needs."""
        return self.software_version is not None and endpoints.is_version_gone(
            self.service, self.software_version, self.allowed_halls, now
        )

    def start_prefill(self, tokens: int) -> None:
        """Add prompt tokens that the endpoint has to prefill for this job."""
        if self.endpoint is not None:
            self.prefill_tokens = tokens
            self.endpoint.prefill_tokens += tokens

    def record_events(self, events: int, now: float) -> None:
        """Record how many events were received so far."""
        if events > self.events:
            self.events = events
            self.events_at = now

    def release_slot(self) -> None:
        """Release the slot, if the job holds one."""
        row = self.endpoint
        if row is None:
            return
        self.end_prefill()
        row.held_by.pop(self, None)
        row.adjust_in_flight(-1, for_peer=self.for_peer)
        self.endpoint = None

    @property
    def gives_up_at(self) -> float:
        """Monotonic time at which the caller gives up, in seconds.

        It is the timeout of its route if the caller sent no deadline.
        """
        is_known = math.isfinite(self.caller_deadline)
        return self.caller_deadline if is_known else self.deadline

    def end_prefill(self) -> None:
        """End the prefill: the first event has been received, or the job has ended."""
        if self.endpoint is not None:
            self.endpoint.prefill_tokens -= self.prefill_tokens
            self.prefill_tokens = 0


class Placed(NamedTuple):
    """A job that got a slot and may be sent now."""

    job: Job
    endpoint: EndpointRow


class Refused(NamedTuple):
    """A job that got no slot in time, or that was rejected early."""

    job: Job
    refusal: Refusal


Decision = Placed | Refused
