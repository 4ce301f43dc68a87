"""Upstream attempts: where a request was placed, and how the attempt there ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .http1 import RawHead


class Fate(enum.StrEnum):
    """How one upstream attempt ended."""

    DELIVERED = "delivered"
    """The caller has the complete response."""

    NOT_SENT = "not_sent"
    """No connection could be opened."""

    NOT_THERE = "not_there"
    """Another endpoint uses the address now; it has not run the request."""

    NOT_RUN = "not_run"
    """The endpoint reports that it has not run the request."""

    FAILED = "failed"
    """The endpoint ran the request and responded with an error."""

    LOST = "lost"
    """No complete response arrived; the request may have run."""


NOTHING_RAN = frozenset((Fate.NOT_SENT, Fate.NOT_THERE, Fate.NOT_RUN))


@dataclass(slots=True)
class Attempt:
    """The result of one upstream attempt.

    Attributes:
        answer: Head and body of a response that was not passed on.
    """

    fate: Fate
    endpoint: str
    detail: str = ""
    answer: tuple[RawHead, bytes] | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request was placed, and the state on which that was decided.

    Attributes:
        waited_s: Time that it waited for the slot, in seconds.
        own: Requests of this entry in flight there, this one included.
        others: Requests of other entries in flight there, as last reported.
        slots: Requests that the endpoint runs concurrently.
        granted_by: IP address of the entry that granted the slot; empty if it was this one.
    """

    endpoint: str
    waited_s: float
    own: int
    others: int
    slots: int
    granted_by: str = ""


NOWHERE = Placement(endpoint="", waited_s=0.0, own=0, others=0, slots=0)
"""Stands for a request that got no slot."""
