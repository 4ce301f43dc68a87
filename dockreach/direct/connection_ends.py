"""How callers' connections end, and requests that end without a response."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..metrics import Sample


class CloseCause(enum.StrEnum):
    """Why a caller's connection was closed."""

    CALLER = "caller"
    """The caller closed it, or it broke."""

    ANNOUNCED = "announced"
    """The last response said so, as the caller or a stop of the entry wanted."""

    CUT = "cut"
    """A response could not be completed, and was reset."""

    BAD_REQUEST = "bad_request"
    """After the refusal of a malformed request."""

    NO_ROOM = "no_room"
    """After the refusal of a request for whose head or body there was no memory."""

    STALLED = "stalled"
    """Its caller had stopped sending a request, and others waited for the memory."""

    EVICTED = "evicted"
    """It was silent, and callers had too many connections."""

    IDLE = "idle"
    """No request came in the idle timeout."""

    STOPPING = "stopping"
    """It was idle when the entry stopped."""

    UNREAD = "unread"
    """A busy entry did not read from it at all."""

    INTERNAL_ERROR = "internal_error"
    """A fault of the program."""


class AbandonCause(enum.StrEnum):
    """Why a request that was read whole ended without a response, or within one."""

    LEFT_UNSERVED = "left_unserved"
    """Its caller closed the connection before it was served."""

    INTERNAL_ERROR = "internal_error"
    """A fault of the program."""

    GRACE_OVER = "grace_over"
    """The entry exits."""


@dataclass(slots=True)
class ConnectionEnds:
    """Counts ends of connections, and abandoned requests, by their cause."""

    closed: Counter[CloseCause] = field(default_factory=Counter)
    abandoned: Counter[AbandonCause] = field(default_factory=Counter)

    def samples(self) -> Iterator[Sample]:
        """Yield the counters for the metrics page."""
        for closed, count in self.closed.items():
            yield Sample(
                "dockreach_direct_connections_closed_total",
                "Closed connections of callers, by why",
                count,
                {"cause": closed.value},
            )
        for abandoned, count in self.abandoned.items():
            yield Sample(
                "dockreach_direct_requests_abandoned_total",
                "Requests that were read whole and left without a response, by why",
                count,
                {"cause": abandoned.value},
            )
