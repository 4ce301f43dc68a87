"""When callers give a request up.

A caller gives a request up at its deadline. The caller of a stream also does after a time
without an event, before the first one too. Refused callers come back at the time that they
are told, if that is within a third of the time that they have left. The rules are those of
the users' protocol.
"""

from __future__ import annotations

import math

from .routing_config import Route

MIN_STREAM_PATIENCE_S = 2.0
STREAM_PATIENCE_OBJECTIVES = 4.0
STREAM_PATIENCE_GAPS = 8.0
"""Time without an event after which callers give a stream up: the longest of these seconds,
objectives and gap objectives."""

HONOURED_FRACTION = 1 / 3
"""Fraction of the time that a caller has left up to which it honours Retry-After."""


def stream_patience_s(route: Route) -> float:
    """Return the time without an event after which callers give up, in seconds.

    It is infinite if the route's responses are not streams.
    """
    if not route.is_stream:
        return math.inf
    return max(
        MIN_STREAM_PATIENCE_S,
        STREAM_PATIENCE_OBJECTIVES * route.objective_s,
        STREAM_PATIENCE_GAPS * route.gap_objective_s,
    )


def next_event_deadline(route: Route, last_event_at: float) -> float:
    """Return when a caller gives a stream up if no further event arrives.

    Args:
        route: The request's route.
        last_event_at: Monotonic time of the last event that the caller got, in seconds; of
            the request if there was none.

    Returns:
        Monotonic time, in seconds; infinite if the response is not a stream.
    """
    return last_event_at + stream_patience_s(route)


def max_retry_after_s(deadline: float, now: float) -> float:
    """Return the longest Retry-After that a caller honours, in seconds.

    Args:
        deadline: Monotonic time at which the caller gives up, in seconds.
        now: Monotonic time, in seconds.
    """
    return max((deadline - now) * HONOURED_FRACTION, 0.0)


def honoured_retry_after_s(after_s: float, deadline: float, now: float) -> float:
    """Return a time to return that a caller honours, in seconds.

    Args:
        after_s: The time that is wanted, in seconds.
        deadline: Monotonic time at which the caller gives up, in seconds.
        now: Monotonic time, in seconds.
    """
    return min(after_s, max_retry_after_s(deadline, now))
