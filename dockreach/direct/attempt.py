"""Upstream attempts: where a request was placed, and how the attempt there ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .http1 import RawHead, ResponseLimit


class AttemptOutcome(enum.StrEnum):
    """How one upstream attempt ended."""

    DELIVERED = "delivered"
    """The caller has the complete response."""

    NOT_SENT = "not_sent"
    """No connection could be opened."""

    MISDIRECTED = "not_there"
    """Another endpoint uses the address now; it has not run the request."""

    NOT_RUN = "not_run"
    """The endpoint reports that it has not run the request."""

    FAILED = "failed"
    """The endpoint ran the request and responded with an error."""

    UNPROVEN = "unproven"
    """The status of its response promises that the request was not run, without proof."""

    LOST = "lost"
    """No complete response arrived; the request may have run."""

    SUPERSEDED = "superseded"
    """It was sent beside a silent one, which then went on."""


@dataclass(slots=True)
class Attempt:
    """The result of one upstream attempt.

    Attributes:
        response: Head and body of a response that was not passed on.
        limit: The limit that the response went over.
    """

    outcome: AttemptOutcome
    endpoint: str
    detail: str = ""
    response: tuple[RawHead, bytes] | None = None
    limit: ResponseLimit | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request was placed, and the state on which that was decided.

    Attributes:
        waited_s: Time that it waited for the slot, in seconds.
        in_flight_here: Requests of this entry in flight there, this one included.
        in_flight_elsewhere: Requests of other entries in flight there, as last reported.
        slots: Requests that the endpoint runs concurrently.
        granted_by: IP address of the entry that granted the slot; empty if it was this one.
        load_percent: How long work took there, in percent of the usual, as the entry that
            granted the slot knew it; 0 if it did not.
        software_version: Version of the endpoint's software; ``None`` if it is not known.
        list_revision: The platform's revision up to which the list of endpoints was read.
        list_age_s: Time since the list was last confirmed, in seconds.
        list_confirmed_by: The platform, or the peer that had read the list then.
    """

    endpoint: str
    waited_s: float
    in_flight_here: int
    in_flight_elsewhere: int
    slots: int
    granted_by: str = ""
    load_percent: int = 0
    software_version: str | None = None
    list_revision: int = 0
    list_age_s: float = 0.0
    list_confirmed_by: str = ""


NO_PLACEMENT = Placement(
    endpoint="", waited_s=0.0, in_flight_here=0, in_flight_elsewhere=0, slots=0
)
"""Stands for a request that got no slot."""
