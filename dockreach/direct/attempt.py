"""How an attempt at one endpoint ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .http1 import RawHead


class Fate(enum.StrEnum):
    """How one attempt at an endpoint ended."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""

    NOT_SENT = "not_sent"
    """No connection came up."""

    NOT_THERE = "not_there"
    """Another endpoint has its address, and has not run the request."""

    NOT_RUN = "not_run"
    """The endpoint says that it has not run the request."""

    FAILED = "failed"
    """The endpoint ran it and answered with an error."""

    LOST = "lost"
    """No whole answer came; the request may have run."""


NOTHING_RAN = frozenset((Fate.NOT_SENT, Fate.NOT_THERE, Fate.NOT_RUN))


@dataclass(slots=True)
class Attempt:
    """One attempt's result.

    Attributes:
        answer: Head and body of an answer that was not passed on.
    """

    fate: Fate
    endpoint: str
    detail: str = ""
    answer: tuple[RawHead, bytes] | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request was placed, and what was known when that was decided.

    Attributes:
        waited_s: Time that it waited for the place, in seconds.
        own: Requests of this entry under way there, this one included.
        others: Requests of other entries under way there, as last told.
        slots: Requests that the endpoint works on at a time.
        granted_by: IP number of the entry that gave the place; empty if this one did.
    """

    endpoint: str
    waited_s: float
    own: int
    others: int
    slots: int
    granted_by: str = ""


NOWHERE = Placement(endpoint="", waited_s=0.0, own=0, others=0, slots=0)
"""Stands for a request that had no place."""
