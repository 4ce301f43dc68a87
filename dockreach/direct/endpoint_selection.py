"""Selects the endpoint for a job: the one with the lowest expected cost and a free slot."""

from __future__ import annotations

import enum
import math

from .endpoints import EndpointRow, EndpointTable
from .jobs import Job
from .send_guard import SendGuard
from .work_left import whole_stream_s

EXTRA_REQUESTS = 1
"""Requests that an endpoint is sent beyond its slots. One that waits there starts as soon
as a slot is free; otherwise the slot would stay idle for a round trip, or until other
entries have reported it as free. Further ones might wait behind less important requests."""

OTHER_HALL_COST_S = 0.002
"""Time that a request to another data hall takes longer, in seconds: a round trip."""

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

RUNNING_DELAY_WEIGHT = 0.25
"""Weight of the time by which a running stream is delayed, relative to the time that a
caller waits for a first event: the caller reads what it has meanwhile."""


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

    def select(self, job: Job, now: float, *, reserved: int = 0) -> EndpointRow | None:
        """Return the endpoint for a job; ``None`` if none is suitable now.

        Args:
            job: The job.
            now: Monotonic time, in seconds.
            reserved: Slots that stay free for higher tiers beside that of the job.
        """
        usable = self._usable(job, now)
        excluded = job.tried_endpoints | self._blocked_until(job, now).keys()
        fresh = [row for row in usable if row.id not in excluded]
        if self._policy is SelectionPolicy.PLAIN:
            return min(fresh or usable, key=_local_load, default=None)
        accepting = {row.id for row in fresh if self._can_accept(row, now, reserved)}
        if not accepting or not _leaves_free(usable, reserved):
            return None
        in_time = _meeting_deadline(job, fresh, now)
        candidates = [row for row in in_time if row.id in accepting]
        if job.software_version is not None:
            candidates = _with_certain_version(candidates, now)
        return min(candidates, key=lambda row: self._cost_s(job, row, now), default=None)

    def has_free_slot(self, job: Job, now: float, *, reserved: int = 0) -> bool:
        """Return whether any endpoint, tried before or not, can accept a job now.

        The arguments are those of `select`.
        """
        blocked = self._blocked_until(job, now)
        usable = self._usable(job, now)
        return _leaves_free(usable, reserved) and any(
            self._can_accept(row, now, reserved) for row in usable if row.id not in blocked
        )

    @property
    def guard(self) -> SendGuard | None:
        """Limits what endpoints are sent; ``None`` for no limits."""
        return self._guard

    def max_requests(self, row: EndpointRow, reserved: int) -> int:
        """Return up to how many requests in flight an endpoint is sent further ones.

        Engines start requests in the order in which they come: while slots are kept for
        higher tiers, no request of a lower one waits there before theirs.

        Args:
            row: The endpoint.
            reserved: Slots that stay free for higher tiers.
        """
        return row.published.slots + (0 if reserved else self._extra_requests)

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

    def _can_accept(self, row: EndpointRow, now: float, reserved: int) -> bool:
        """Return whether an endpoint can accept a request."""
        # After a failure, only one request at a time probes the endpoint (half-open).
        # Without this rule, 30 requests a second failed at an endpoint that was still down.
        if not row.admits_request:
            return False
        if row.in_flight >= self.max_requests(row, reserved):
            return False
        guard = self._guard
        if guard is None:
            return True
        # A request beyond the slots of an engine that is still cold would wait for long.
        is_extra = row.free_slots <= 0
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

    def _cost_s(self, job: Job, row: EndpointRow, now: float) -> float:
        """Return the expected cost of a job at an endpoint, in seconds.

        For a stream: the time to its first event, the price of the slot, and the time by
        which its prefill delays each stream that runs there.
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
        own_tokens = tokens - row.prefill_tokens
        delay_s = row.speed.prefill_per_token_s * own_tokens * slowness
        delays_s = RUNNING_DELAY_WEIGHT * delay_s * max(row.in_flight, 0)
        return cost + first_event_s + price + delays_s


def _tokens_to_prefill(job: Job, row: EndpointRow, now: float) -> int:
    """Return the prompt tokens that an engine must prefill before a job's first event."""
    return row.prefill_tokens + job.prompt_tokens - row.cached_tokens(job.prefix, now)


def _meeting_deadline(job: Job, rows: list[EndpointRow], now: float) -> list[EndpointRow]:
    """Return the endpoints that are likely to end a stream before its deadline.

    Where none is, all are returned: the estimated length may be far off.
    """
    if not job.route.is_stream:
        return rows
    time_left_s = job.deadline - now
    quick = [
        row
        for row in rows
        if whole_stream_s(job, row, _tokens_to_prefill(job, row, now), now) <= time_left_s
    ]
    return quick or rows


def _with_certain_version(rows: list[EndpointRow], now: float) -> list[EndpointRow]:
    """Return the endpoints that have certainly not restarted at another software version.

    All are returned if there is none: a connection also breaks for other reasons.
    """
    return [row for row in rows if row.restarted_until <= now] or rows


def _leaves_free(rows: list[EndpointRow], reserved: int) -> bool:
    """Return whether one more request leaves the reserved number of slots free."""
    if not reserved:
        return True
    return sum(max(row.free_slots, 0) for row in rows) > reserved


def _local_load(row: EndpointRow) -> float:
    return row.in_flight_here / max(row.published.slots, 1)
