"""Profiles of traffic of small deployments, by the number of their entries."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Profile:
    """What a deployment consists of, and what its callers send.

    Attributes:
        entries: Number of entries.
        endpoints: Endpoints of the service whose streams may be resumed.
        callers: Number of callers.
        max_pause_s: Longest pause of a caller between requests, in seconds.
        kinds: Kinds of routes, of which each request draws one.
        body_bytes: Sizes of a request's body, in bytes; one is drawn for each.
        retries: How often a caller follows up a request that failed; one is drawn for each.
    """

    entries: int
    endpoints: int
    callers: int
    max_pause_s: float
    kinds: tuple[str, ...]
    body_bytes: tuple[int, ...] = (600, 1400, 4700, 18_000)
    retries: tuple[int, ...] = (1, 1, 3)


class ProfileName(enum.StrEnum):
    """The names of profiles on the command line."""

    FIVE_ENTRIES = "five-entries"
    FOUR_ENTRIES = "four-entries"


PROFILES = {
    ProfileName.FIVE_ENTRIES: Profile(
        entries=5,
        endpoints=9,
        callers=40,
        max_pause_s=0.8,
        kinds=(
            *("outline",) * 4,
            *("summary",) * 3,
            *("chat",) * 5,
            *("once",) * 3,
            *("safe",) * 2,
        ),
    ),
    ProfileName.FOUR_ENTRIES: Profile(
        entries=4,
        endpoints=12,
        callers=58,
        max_pause_s=0.8,
        kinds=(
            *("outline",) * 5,
            *("summary",) * 4,
            *("chat",) * 7,
            *("once",) * 4,
            *("safe",) * 2,
        ),
    ),
}
