"""Selects the endpoint for a job: the one with the lowest expected cost and a free slot."""

from __future__ import annotations

import enum
import math

from .endpoints import EndpointRow, EndpointTable
from .jobs import Job
from .send_guard import SendGuard

EXTRA_REQUESTS = 1
"""Requests that an endpoint is sent beyond its slots. One that waits there starts as soon
as a slot is free; otherwise the slot would stay idle for a round trip, or until other
entries have reported it as free. Further ones might wait behind less important requests."""

OTHER_HALL_COST_S = 0.002
"""Cost of an endpoint in another data hall, in seconds: a round trip, and the price of
traffic between data halls."""

FULL_LOAD_SLOWDOWN = 0.6
"""By which fraction a plain request takes longer at a full endpoint than at an idle one."""

BASE_SLOT_PRICE = 0.1
"""Price of using a slot of an idle engine for a second, in seconds of a request's own time:
the longer a stream runs, the more likely it is cut off by a failure."""

LOAD_SLOT_PRICE = 0.3
"""Price of using a slot of a full engine for a second, on top of `BASE_SLOT_PRICE`, in
seconds of a request's own time. Nearly idle engines add next to nothing, so that short
prompts with long responses go to slow engines while fast ones are full."""

LOAD_PRICE_EXPONENT = 4
"""Exponent with which the price of a slot rises with the fraction of slots in use."""

STALL_COST_S = 0.3
"""Price of stalling one running stream for its whole gap objective by a prefill on the same
engine, in seconds of a request's own time."""

MAX_STALL_FRACTION = 0.7
"""Fraction of the gap objective for which a prefill may stall streams; the rest is left to
prompts that other entries send meanwhile."""

SIMILAR_SPEED_RATIO = 1.5
"""Ratio of stalls up to which engines count as equally fast: several entries' measurements
of the same engine differ by that much."""

DEADLINE_FRACTION = 0.8
"""Fraction of the time left within which a stream should end; the rest covers stalls by
other requests' prompts."""

RESERVED_FRACTION = 0.12
"""Fraction of an engine's slots that a tier leaves free for each higher tier. A chat of a
low tier holds a slot three times as long as a draft of a high tier, and is worth a
twentieth of it."""

RESERVATION_S = 5.0
"""How long slots stay reserved for a higher tier after its last request, in seconds."""


class SelectionPolicy(enum.StrEnum):
    """How an endpoint is selected."""

    PLAIN = "plain"
    """Fewest requests of this entry in flight per slot; the baseline for comparisons."""

    MEASURED = "measured"
    """Lowest expected cost, with the requests of all entries counted."""


class EndpointSelector:
    """Selects among the endpoints of a service.

    Args:
        endpoints: The endpoints that have slots.
        hall: The data hall of this entry, from which jobs without a known hall are costed.
        policy: How endpoints are selected.
        extra_requests: Requests that an endpoint is sent beyond its slots.
        guard: Limits what endpoints are sent; ``None`` for no limits.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        hall: str,
        policy: SelectionPolicy,
        *,
        extra_requests: int = EXTRA_REQUESTS,
        guard: SendGuard | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._hall = hall
        self._policy = policy
        self._extra_requests = extra_requests
        self._guard = guard
        self._last_arrivals: dict[str, dict[int, float]] = {}

    def record_arrival(self, job: Job) -> None:
        """Record the arrival of a job, after which slots are reserved for its tier."""
        self._last_arrivals.setdefault(job.service, {})[job.route.tier] = job.arrived_at

    def select(self, job: Job, now: float) -> EndpointRow | None:
        """Return the endpoint for a job; ``None`` if none is suitable now."""
        usable = self._usable(job, now)
        excluded = job.tried_endpoints | self._blocked_until(job, now).keys()
        fresh = [row for row in usable if row.id not in excluded]
        if self._policy is SelectionPolicy.PLAIN:
            return min(fresh or usable, key=_local_load, default=None)
        higher_tiers = self._active_higher_tiers(job, now)
        accepting = {row.id for row in fresh if self._can_accept(row, higher_tiers, now)}
        if not accepting:
            return None
        in_time = _meeting_deadline(job, _without_long_stalls(job, fresh, now), now)
        candidates = [row for row in in_time if row.id in accepting]
        if job.software_version is not None:
            candidates = _with_certain_version(candidates, now)
        return min(candidates, key=lambda row: self._cost_s(job, row, now), default=None)

    def has_free_slot(self, job: Job, now: float) -> bool:
        """Return whether any endpoint, tried before or not, can accept a job now."""
        higher_tiers = self._active_higher_tiers(job, now)
        blocked = self._blocked_until(job, now)
        return any(
            self._can_accept(row, higher_tiers, now)
            for row in self._usable(job, now)
            if row.id not in blocked
        )

    @property
    def guard(self) -> SendGuard | None:
        """Limits what endpoints are sent; ``None`` for no limits."""
        return self._guard

    def max_requests(self, row: EndpointRow, higher_tiers: int) -> int:
        """Return up to how many requests in flight an endpoint is sent those of a tier.

        Args:
            row: The endpoint.
            higher_tiers: Number of higher tiers for which slots are reserved.
        """
        reserved = _reserved_slots(row, higher_tiers)
        return row.published.slots + self._extra_requests - reserved

    def has_endpoint(self, job: Job) -> bool:
        """Return whether any endpoint may run a job, now or later."""
        return bool(self._accepting(job))

    def _accepting(self, job: Job) -> list[EndpointRow]:
        return self._endpoints.accepting(
            job.service, job.allowed_halls, job.software_version
        )

    def _usable(self, job: Job, now: float) -> list[EndpointRow]:
        return self._endpoints.usable(
            job.service, now, job.allowed_halls, job.software_version
        )

    def _can_accept(self, row: EndpointRow, higher_tiers: int, now: float) -> bool:
        """Return whether an endpoint can accept a request without a reserved slot."""
        reserved = _reserved_slots(row, higher_tiers)
        # After a failure, only one request at a time probes the endpoint (half-open).
        # Without this rule, 30 requests a second failed at an endpoint that was still down.
        if not row.admits_request or row.free_slots + self._extra_requests <= reserved:
            return False
        guard = self._guard
        if guard is None:
            return True
        # A request beyond the slots of an engine that is still cold would wait for long.
        is_extra = row.free_slots <= reserved
        return guard.has_budget(row, now) and not (is_extra and guard.is_cold(row, now))

    def _blocked_until(self, job: Job, now: float) -> dict[str, float]:
        """Return the endpoints blocked for a job, and until when in monotonic seconds."""
        declined = job.blocked_until.items()
        blocked = {endpoint: until for endpoint, until in declined if until > now}
        if self._guard is not None:
            for endpoint, until in self._guard.blocked_until(job, now).items():
                blocked[endpoint] = max(until, blocked.get(endpoint, until))
        return blocked

    def available_at(self, job: Job, now: float) -> float:
        """Return when the first endpoint is no longer blocked for a job.

        Returns:
            Monotonic time, in seconds; minus infinity if one is not blocked now, or if
            the job has none left to try.
        """
        blocked = self._blocked_until(job, now)
        if not blocked:
            return -math.inf
        untried = [
            row.id for row in self._accepting(job) if row.id not in job.tried_endpoints
        ]
        if not untried or not blocked.keys() >= set(untried):
            return -math.inf
        return min(blocked[endpoint] for endpoint in untried)

    def record_send(self, row: EndpointRow, now: float) -> None:
        """Count a request for which an endpoint was selected."""
        if self._guard is None:
            row.recent_sends.record(now)
        else:
            self._guard.record_send(row, now)

    def _active_higher_tiers(self, job: Job, now: float) -> int:
        """Return how many higher tiers had recent requests for a job's service.

        It is 0 if the job's response is not a stream.
        """
        if not job.route.is_stream:
            return 0
        return self.count_higher_tiers(job.service, job.route.tier, now)

    def count_higher_tiers(self, service: str, tier: int, now: float) -> int:
        """Return how many higher tiers of routes had recent requests for a service."""
        return sum(recent < tier for recent in self._recent_tiers(service, now))

    def _recent_tiers(self, service: str, now: float) -> list[int]:
        arrivals = self._last_arrivals.get(service, {})
        return [tier for tier, last in arrivals.items() if now - last < RESERVATION_S]

    def _cost_s(self, job: Job, row: EndpointRow, now: float) -> float:
        """Return the expected cost of a job at an endpoint, in seconds.

        For a stream: the time to its first event, plus the prices of the slot and of the
        stalls that its prefill causes.
        """
        slots = max(row.published.slots, 1)
        home = job.hall or self._hall
        cost = OTHER_HALL_COST_S if row.published.hall != home else 0.0
        slowness = row.load.factor(now)
        if not job.route.is_stream:
            slowdown = 1 + FULL_LOAD_SLOWDOWN * row.in_flight / slots
            return cost + row.plain_s * slowdown * slowness
        tokens = _tokens_to_prefill(job, row, now)
        # The events after the first come when the figure is no longer valid.
        first_event_s = row.speed.first_event_s(tokens) * slowness
        slot_s = first_event_s + job.expected_events * row.speed.gap_s
        load = min(row.in_flight / slots, 1.0)
        price = (BASE_SLOT_PRICE + LOAD_SLOT_PRICE * load**LOAD_PRICE_EXPONENT) * slot_s
        return cost + first_event_s + price + _stall_cost_s(job, row, tokens, slowness)


def _tokens_to_prefill(job: Job, row: EndpointRow, now: float) -> int:
    """Return the prompt tokens that an engine must prefill before a job's first event."""
    return row.prefill_tokens + job.prompt_tokens - row.cached_tokens(job.prefix, now)


def _without_long_stalls(
    job: Job, rows: list[EndpointRow], now: float
) -> list[EndpointRow]:
    """Return the endpoints at which a job's prefill does not stall streams for too long.

    An engine that is slow at this moment is left out like one that is slow for good: the
    job goes elsewhere, or waits for a moment while it is next for a slot elsewhere.
    Where it would at every endpoint, those about as fast as the fastest one are returned,
    since one of them has to run the job.
    """
    objective_s = job.route.gap_objective_s
    if not objective_s or not rows:
        return rows
    stalls = [row.load.factor(now) * row.speed.stall_s(job.prompt_tokens) for row in rows]
    max_s = max(objective_s * MAX_STALL_FRACTION, min(stalls) * SIMILAR_SPEED_RATIO)
    return [row for row, stall_s in zip(rows, stalls, strict=True) if stall_s <= max_s]


def _stall_cost_s(job: Job, row: EndpointRow, tokens: int, slowness: float) -> float:
    """Return the price of stalling the streams that run at an engine, in seconds.

    Args:
        job: The job whose prefill stalls them.
        row: The engine's endpoint.
        tokens: Prompt tokens that it prefills before the job's first event.
        slowness: How much longer than usual work takes there now.
    """
    objective_s = job.route.gap_objective_s
    if not objective_s:
        return 0.0
    stall_s = slowness * row.speed.stall_s(tokens)
    excess = max(stall_s / objective_s - MAX_STALL_FRACTION, 0.0)
    return STALL_COST_S * excess * row.in_flight


def _meeting_deadline(job: Job, rows: list[EndpointRow], now: float) -> list[EndpointRow]:
    """Return the endpoints that are likely to end a stream before its deadline.

    Where none is, all are returned: the estimated length may be far off.
    """
    if not job.route.is_stream:
        return rows
    budget_s = (job.deadline - now) * DEADLINE_FRACTION
    quick = [
        row
        for row in rows
        if row.speed.stream_s(_tokens_to_prefill(job, row, now), job.expected_events)
        <= budget_s
    ]
    return quick or rows


def _with_certain_version(rows: list[EndpointRow], now: float) -> list[EndpointRow]:
    """Return the endpoints that have certainly not restarted at another software version.

    All are returned if there is none: a connection also breaks for other reasons.
    """
    return [row for row in rows if row.restarted_until <= now] or rows


def _reserved_slots(row: EndpointRow, higher_tiers: int) -> int:
    return round(row.published.slots * RESERVED_FRACTION * higher_tiers)


def _local_load(row: EndpointRow) -> float:
    return row.in_flight_here / max(row.published.slots, 1)
