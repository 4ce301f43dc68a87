"""Gives refused callers times at which a slot is expected for their retries.

Load pattern: more requests than capacity for some seconds. Each refused caller retries once
and honours `Retry-After` up to a third of the time that it has left. Callers that are all
sent away for the same time return together, into a service that is still full; so each is
promised a slot of its own, one after the other, if its retry can then be in time.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass
from typing import Protocol

from .jobs import Job, RetryKind
from .pressure import Rank
from .returning_requests import (
    QUICK_REFUSAL_FRACTION,
    RETENTION_S,
    PastRefusal,
    ReturningRequests,
    retry_kind,
)

HONOURED_FRACTION = 0.33
"""Fraction of the time until a caller's deadline up to which it honours Retry-After."""

PROMISE_GRACE_S = 0.5
"""Time after which a promise that was not used is dropped, in seconds: the retry takes a
few milliseconds to arrive, and a caller may be slow to send it."""

MIN_PROMISE_S = 0.25
"""Shortest time that is promised, in seconds: by then the refusals of all entries have
reached the coordinator, which recognises the retry."""

PROMISED_FRACTION = 0.25
"""Largest fraction of the expected slots that is promised. An answered retry is worth half
of a new request; with all slots promised, new requests were refused for retries."""

HEADER_RESOLUTION_S = 0.01
"""Resolution of Retry-After, in seconds."""

MAX_PROMISES = 4096
"""Number of promises for a service that are kept; no further ones are made."""


class SlotSource(Protocol):
    """Expects slots from what is known of a service."""

    def expected_slots(
        self, service: str, rank: Rank, span_s: float, now: float
    ) -> float | None:
        """Return how many slots a tier gets within a span; ``None`` if not known."""

    def time_until(self, service: str, rank: Rank, slots: float, now: float) -> float:
        """Return the time until that many slots are expected, in seconds; may be inf."""


@dataclass(frozen=True, slots=True)
class RetryTime:
    """When a refused caller is to retry.

    Attributes:
        after_s: Time until then, in seconds; infinite if no slot is expected.
        is_promised: Whether a slot is expected for this retry.
    """

    after_s: float
    is_promised: bool


class RetrySchedule:
    """Promised retries, by service.

    Args:
        forecast: Expects slots.

    Attributes:
        promised_count: Number of promises made since the start.
        kept_count: Number of promised retries that arrived at their time.
    """

    def __init__(self, forecast: SlotSource) -> None:
        self.forecast = forecast
        self.promised_count = 0
        self.kept_count = 0
        # Times of the promises in ascending order, by service and tier.
        self._promises: dict[str, dict[Rank, list[float]]] = {}

    def outstanding(self, service: str, now: float) -> int:
        """Return the number of promises for a service that may still be used."""
        return sum(len(times) for times in self._current(service, now).values())

    def due_within(self, service: str, rank: Rank, span_s: float, now: float) -> int:
        """Return how many promises fall due in a span, of a tier and of higher ones."""
        return sum(
            bisect_right(times, now + span_s)
            for promised_rank, times in self._current(service, now).items()
            if promised_rank <= rank
        )

    def expected_after_s(self, job: Job, ahead: int, now: float) -> float:
        """Return the time until capacity is expected for a job; infinite if not known.

        Args:
            job: The job.
            ahead: Number of waiting jobs of its tier and of higher ones.
            now: Monotonic time, in seconds.
        """
        slots = ahead + (self.outstanding(job.service, now) + 1) / PROMISED_FRACTION
        return self.forecast.time_until(job.service, job.rank, slots, now)

    def plan_retry(self, job: Job, ahead: int, now: float) -> RetryTime:
        """Return when the caller of a refused job is to retry; remember a promise.

        All promises of the service count as used before this one, also those of lower
        tiers: they were given before. So there are never more of them than their fraction
        of the slots expected until the last one.

        Args:
            job: The refused job.
            ahead: Number of waiting jobs of its tier and of higher ones.
            now: Monotonic time, in seconds.
        """
        after_s = self.expected_after_s(job, ahead, now)
        if not math.isfinite(after_s):
            return RetryTime(math.inf, is_promised=False)
        after_s = max(after_s, MIN_PROMISE_S)
        longest_s = max(job.deadline - now, MIN_PROMISE_S)
        if after_s > longest_s:
            return RetryTime(longest_s, is_promised=False)
        after_s = math.ceil(after_s / HEADER_RESOLUTION_S) * HEADER_RESOLUTION_S
        is_promised = can_promise(job, after_s, now) and self._add(
            job.service, job.rank, now + after_s, now
        )
        self.promised_count += is_promised
        return RetryTime(after_s, is_promised)

    def adopt(self, refusal: PastRefusal, now: float) -> None:
        """Take over a promise that another coordinator made.

        Times further ahead than callers wait are ignored: they would count as outstanding
        for as long.
        """
        is_near = math.isfinite(refusal.retry_at) and refusal.retry_at <= now + RETENTION_S
        if refusal.is_promised and refusal.rank and is_near:
            self._add(refusal.service, refusal.rank, refusal.retry_at, now)

    def redeem(self, refusal: PastRefusal, arrived_at: float) -> bool:
        """Use the promise of a refusal; return whether its retry arrived at its time.

        A caller that comes before its time has used its retry, so that the promise ends.
        A retry that is submitted again, as after a lost endpoint, uses no second one.
        """
        if not refusal.is_promised:
            return False
        earliest = refusal.retry_at - HEADER_RESOLUTION_S
        is_due = earliest <= arrived_at <= refusal.retry_at + PROMISE_GRACE_S
        if not refusal.is_redeemed:
            refusal.is_redeemed = True
            self._remove(refusal)
            self.kept_count += is_due
        return is_due

    def _remove(self, refusal: PastRefusal) -> None:
        """Remove the promise of a refusal.

        Others do not expire here: the time of a retry's arrival comes from a peer.
        """
        times = self._promises.get(refusal.service, {}).get(refusal.rank, [])
        index = bisect_left(times, refusal.retry_at)
        if index < len(times) and times[index] == refusal.retry_at:
            del times[index]

    def _add(self, service: str, rank: Rank, at: float, now: float) -> bool:
        """Add a promise; return ``False`` if there are too many."""
        if self.outstanding(service, now) >= MAX_PROMISES:
            return False
        insort(self._promises[service].setdefault(rank, []), at)
        return True

    def _current(self, service: str, now: float) -> dict[Rank, list[float]]:
        """Return the promises of a service without those that were not used."""
        tiers = self._promises.setdefault(service, {})
        for rank, times in list(tiers.items()):
            del times[: bisect_left(times, now - PROMISE_GRACE_S)]
            if not times:
                del tiers[rank]
        return tiers


def recognise(job: Job, returning: ReturningRequests, schedule: RetrySchedule) -> None:
    """Record in a new job what is known of its earlier attempt.

    The attempt of an unknown refusal keeps the first attempt that its entry estimated.
    """
    refusal = returning.match(job, job.arrived_at)
    if refusal is None:
        return
    job.estimated_first_attempt_at = refusal.first_attempt_at
    job.retry_kind = retry_kind(refusal, job)
    if schedule.redeem(refusal, job.arrived_at):
        job.retry_kind = RetryKind.DUE


def can_promise(job: Job, after_s: float, now: float) -> bool:
    """Return whether a caller will honour a time, and whether its retry can be in time.

    That is a caller that has not retried before, was refused quickly, and then has time
    left for a response.
    """
    time_left_s = job.caller_deadline - now
    return (
        bool(job.retry_key)
        and math.isfinite(time_left_s)
        and not job.is_retry
        and now - job.arrived_at <= QUICK_REFUSAL_FRACTION * job.route.objective_s
        and after_s <= HONOURED_FRACTION * time_left_s
        and time_left_s - after_s >= job.route.objective_s
    )
