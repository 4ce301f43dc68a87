"""Estimates how long the work that is left of a request takes.

For a plain request that is the time to its response. For a stream it is the time to its
next event, and the time to its end if the caller has estimated its length.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .endpoints import EndpointRow, EndpointTable
from .jobs import Job
from .patience import max_retry_after_s, next_event_deadline

EARLIEST_END = 0.5
LATEST_END = 5 / 3
"""Range of a stream's length, as fractions of its caller's estimate, which is the
median. At the estimate, two thirds of the length so far remain at most, as later."""

DELAY_FACTOR = 1.25
"""Factor on the time to the end of a stream: the prompts of other requests that start
meanwhile delay its events."""

OVERDUE_FACTOR = 3.0
"""Factor on the expected time of work, after which it is overdue."""

STANDSTILL_S = 0.5
"""Time for which an endpoint that works may stand still, in seconds: engines share their
machines with other programs."""

ESTIMATE_TTL_S = 0.04
"""How long the times at the endpoints of a service are used, in seconds: two events."""

MAX_ESTIMATES = 256
"""Number of choices of endpoints whose times are kept; software versions come and go."""

_Choice = tuple[str, frozenset[str] | None, str | None]
"""What decides which endpoints may run a request: its service, the data halls in which it
may run, and the software version that it needs."""


def overdue_s(expected_s: float) -> float:
    """Return after which time work is overdue, in seconds.

    Args:
        expected_s: Time that the work is expected to take, in seconds.
    """
    return OVERDUE_FACTOR * expected_s + STANDSTILL_S


def next_result_s(job: Job, row: EndpointRow, tokens: float, now: float) -> float:
    """Return the expected time to what an endpoint sends next, in seconds.

    That is a plain response, or the next event of a stream that begins there.

    Args:
        job: The request.
        row: The endpoint.
        tokens: Prompt tokens that the endpoint prefills before an event.
        now: Monotonic time, in seconds.
    """
    usual_s = row.speed.first_event_s(tokens) if job.route.is_stream else row.plain_s
    return usual_s * row.load.factor(now)


def whole_stream_s(job: Job, row: EndpointRow, tokens: float, now: float) -> float:
    """Return the expected time to the end of a stream at an endpoint, in seconds.

    Without the caller's estimate of the length only the next event counts.

    Args:
        job: The request.
        row: The endpoint.
        tokens: Prompt tokens that the endpoint prefills before the next event.
        now: Monotonic time, in seconds.
    """
    events_s = _events_left(job) * row.speed.gap_s
    return DELAY_FACTOR * (next_result_s(job, row, tokens, now) + events_s)


def latest_end_s(job: Job, row: EndpointRow, now: float) -> float:
    """Return after which time a request that is sent to an endpoint now has ended.

    Without the caller's estimate of a stream's length, only its next event counts.

    Args:
        job: The request.
        row: The endpoint.
        now: Monotonic time, in seconds.

    Returns:
        The longest time that is likely, in seconds.
    """
    expected_s = whole_stream_s if job.route.is_stream else next_result_s
    return LATEST_END * expected_s(job, row, job.prompt_tokens, now)


class _SlotTimes(NamedTuple):
    """Times of work at the slots of endpoints, each the sum over the slots, in seconds.

    They are those at the load that the endpoints report.

    Attributes:
        slots: Number of slots.
        plain_s: Time of a plain request.
        latency_s: Time to a first event without the prefill.
        prefill_per_token_s: Time to prefill one prompt token.
        gap_s: Time between events of a stream.
    """

    slots: float = 0.0
    plain_s: float = 0.0
    latency_s: float = 0.0
    prefill_per_token_s: float = 0.0
    gap_s: float = 0.0

    @classmethod
    def of(cls, row: EndpointRow, now: float) -> _SlotTimes:
        """Return the times at the slots of one endpoint."""
        slots = row.published.slots
        loaded_slots = slots * row.load.factor(now)
        return cls(
            slots,
            loaded_slots * row.plain_s,
            loaded_slots * row.speed.latency_s,
            loaded_slots * row.speed.prefill_per_token_s,
            slots * row.speed.gap_s,
        )

    def mean(self, seconds: float) -> float:
        """Return the mean of a sum over the slots; 0 if there are none."""
        return seconds / self.slots if self.slots > 0 and math.isfinite(seconds) else 0.0

    def next_result_s(self, job: Job) -> float:
        """Return `next_result_s` in the mean over the slots."""
        if not job.route.is_stream:
            return self.mean(self.plain_s)
        prefill_s = job.prompt_tokens * self.prefill_per_token_s
        return self.mean(self.latency_s + prefill_s)

    def whole_stream_s(self, job: Job) -> float:
        """Return `whole_stream_s` in the mean over the slots."""
        events_s = _events_left(job) * self.mean(self.gap_s)
        return DELAY_FACTOR * (self.next_result_s(job) + events_s)


@dataclass(frozen=True, slots=True)
class _Estimate:
    """Times of work at some endpoints.

    Attributes:
        made_at: Monotonic time at which they were added up, in seconds.
        of_endpoint: The times at each endpoint, by its id.
    """

    made_at: float
    total: _SlotTimes
    of_endpoint: dict[str, _SlotTimes]

    def without(self, endpoint: str) -> _SlotTimes:
        """Return the times at the other endpoints."""
        own = self.of_endpoint.get(endpoint)
        if own is None:
            return self.total
        return _SlotTimes(*(a - b for a, b in zip(self.total, own, strict=True)))


class WorkEstimator:
    """Estimates work at the mean slot of the endpoints that may run a request.

    Args:
        endpoints: The endpoints that have slots.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self._estimates: dict[_Choice, _Estimate] = {}

    def next_result_elsewhere_s(self, job: Job, endpoint: str, now: float) -> float:
        """Return `next_result_s` in the mean over the slots of other endpoints.

        It is 0 if there are none.

        Args:
            job: The request.
            endpoint: Id of the endpoint that does not count.
            now: Monotonic time, in seconds.
        """
        return self._estimate(job, now).without(endpoint).next_result_s(job)

    def queue_deadline(self, job: Job, last_event_at: float, now: float) -> float:
        """Return the latest time at which the work left can begin and still be of use.

        That is when the endpoints, in the mean over their slots, would just finish it
        before the caller gives up: a stream that begins later is more likely cut off than
        answered, and holds a slot in which others would be answered. Without any endpoint
        one may still come, but the caller must be left time to come back.

        Args:
            job: The request.
            last_event_at: Monotonic time of the last event that the caller got, in seconds;
                of the request if there was none.
            now: Monotonic time, in seconds.

        Returns:
            Monotonic time, in seconds. It may have passed.
        """
        estimate = self._estimate(job, now)
        if not estimate.of_endpoint:
            return now + max_retry_after_s(job.gives_up_at, now)
        times = estimate.total
        if not job.route.is_stream:
            return job.deadline - times.next_result_s(job)
        return min(
            next_event_deadline(job.route, last_event_at) - times.next_result_s(job),
            job.deadline - times.whole_stream_s(job),
        )

    def _estimate(self, job: Job, now: float) -> _Estimate:
        """Return the times at the endpoints that may run a request.

        To add them up for each request would take a millisecond with 300 endpoints.
        """
        choice = (job.service, job.allowed_halls, job.software_version)
        known = self._estimates.get(choice)
        if known is not None and 0 <= now - known.made_at < ESTIMATE_TTL_S:
            return known
        if len(self._estimates) >= MAX_ESTIMATES:
            self._estimates.clear()
        of_endpoint = {
            row.id: _SlotTimes.of(row, now) for row in self._endpoints.accepting(*choice)
        }
        columns = zip(*of_endpoint.values(), strict=True)
        total = _SlotTimes(*map(math.fsum, columns))
        found = self._estimates[choice] = _Estimate(now, total, of_endpoint)
        return found


def _events_left(job: Job) -> float:
    """Return the expected number of events to come; 0 if its caller has not estimated it.

    The limit that a caller states may be many times the length.
    """
    return max(job.expected_events - job.events, 1.0) if job.is_length_estimated else 0.0
