"""From when on an entry knows all software versions that served, and from what.

An entry that has just started has seen a part of the world: one version listed does not
mean that one version served. What it has not seen may be told by entries that were running
all the while, or by the history of the platform's store. Until then it is not known.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import NamedTuple

PLATFORM = "platform"
"""Names the platform where evidence may also come from an entry."""


class VersionSource(enum.StrEnum):
    """From what an entry knows at which software version a stream has to go on."""

    MEMORY = "memory"
    """The entry itself began the stream, or followed the list of endpoints since before."""

    ENTRY = "entry"
    """Another entry reported it."""

    HISTORY = "history"
    """The platform's store shows all changes of the list since before."""

    FIRST_START = "first_start"
    """Nothing ran before the entry was started, as its settings say. Where the platform's
    history is read, that counts instead."""

    NOTHING = "nothing"


@dataclass(slots=True)
class VersionCoverage:
    """The time from which on every software version that served is known.

    Attributes:
        since: That time, monotonic, in seconds; infinite if it is not known.
        source: From what it is known.
    """

    since: float = math.inf
    source: VersionSource = VersionSource.NOTHING

    def extend(self, since: float, source: VersionSource) -> None:
        """Record that all versions are known from a time on, if that is earlier."""
        if since < self.since:
            self.since = since
            self.source = source

    def restart(self, now: float) -> None:
        """Record that the list is known now, and nothing before."""
        self.since = now
        self.source = VersionSource.MEMORY

    def revoke_first_start(self) -> None:
        """Record that something ran before, whatever the settings say."""
        if self.source is VersionSource.FIRST_START:
            self.since = math.inf
            self.source = VersionSource.NOTHING

    def covers(self, since: float) -> bool:
        """Return whether all versions that served since a time are known."""
        return self.since <= since

    def age_s(self, now: float) -> float:
        """Return for how long all versions have been known, in seconds."""
        return max(now - self.since, 0.0)


class Confirmation(NamedTuple):
    """Up to when all changes of the list of endpoints were seen.

    Attributes:
        at: That time, monotonic, in seconds; minus infinity if there is no list.
        by: Who read the list then: `PLATFORM`, or the name or address of another entry.
    """

    at: float
    by: str


class VersionEvidence(NamedTuple):
    """By what one software version was taken for the only one that served.

    Attributes:
        age_s: Time since the newest evidence, in seconds.
        by: Who gave it: `PLATFORM`, or an entry's name or address.
    """

    age_s: float
    by: str


class ServedVersion(NamedTuple):
    """A software version at which an endpoint was listed.

    Attributes:
        service: The endpoint's service.
        version: The version.
    """

    service: str
    version: str
