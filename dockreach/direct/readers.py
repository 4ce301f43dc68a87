"""Which entries read the platform for the others, and when the others ask it themselves.

Load pattern: many entries, each of which would hold two calls to the platform at all times,
for changes that are few. Some entries of each data hall read; the others hear from them
which revisions are newest, and ask the platform themselves only when nobody has confirmed
lately that what they know is the newest. No entry trusts hearsay: what counts is when the
platform itself answered the entry that tells.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..rendezvous import ranked
from .digest import Digest
from .feeds import Feed
from .peers import PeerRow, PeerTable

READERS = 2
"""Entries of a data hall that read: one may be killed, hang or be cut off unnoticed for a
moment. Small fleets have hardly more in a hall, and all of them read."""

TRUST_PART = 0.7
"""Part of the time in which a change must be in force for which a peer's word counts, from
when the platform answered it: longer than readers wait for a change (six tenths), since two
of them may ask in step. The rest is for a call of one's own."""

BEHIND_PART = 0.2
"""How long others may know something newer before the platform is asked, as a part of the
same time. Fetching it from an entry of the data hall takes some 10 ms from when that one's
digest has come, and digests come each 0.7 s where there are 68 entries."""


@dataclass(frozen=True, slots=True)
class Part:
    """One part of what the platform publishes, as digests tell of it.

    Attributes:
        revision_of: Returns the revision that a digest tells.
        age_of: Returns how long before the digest the platform had answered its sender, in
            seconds.
    """

    revision_of: Callable[[Digest], int]
    age_of: Callable[[Digest], float]


CONFIGURATION = Part(
    lambda digest: digest.revision, lambda digest: digest.configuration_age_s
)
EMPTIED = Part(
    lambda digest: digest.orders_revision, lambda digest: digest.configuration_age_s
)
ENDPOINTS = Part(
    lambda digest: digest.fleet_revision, lambda digest: digest.endpoints_age_s
)


class Readers:
    """Says whether this entry is to ask the platform.

    Args:
        peers: The other entries.
        hall: The data hall of this entry.
    """

    def __init__(self, peers: PeerTable, hall: str) -> None:
        self._peers = peers
        self._hall = hall
        self._behind: dict[Part, float] = {}

    def is_reader(self, now: float) -> bool:
        """Return whether this entry reads for others of its data hall."""
        near = [
            row.digest.address
            for row in self._peers.fresh(now)
            if row.digest.hall == self._hall and not row.digest.leaving
        ]
        names = [f"{address.ip}:{address.port}" for address in (self._peers.own, *near)]
        return names[0] in ranked(self._hall, names)[:READERS]

    def may_skip_call(
        self, part: Part, feed: Feed, revision: int, in_force_s: float, now: float
    ) -> bool:
        """Return whether nothing need be asked now, since others read.

        Args:
            part: What would be asked for.
            feed: How fresh this entry's own knowledge of it is.
            revision: The newest that this entry knows.
            in_force_s: Time in which a change must be in force, in seconds.
            now: Steady time, in seconds.
        """
        if not revision or feed.failures or self.is_reader(now):
            return False
        fresh = self._peers.fresh(now)
        if self._behind_s(part, revision, fresh, now) > BEHIND_PART * in_force_s:
            return False
        trust_s = TRUST_PART * in_force_s
        if feed.answered is not None and now - feed.answered <= trust_s:
            return True
        return any(now - row.heard + part.age_of(row.digest) <= trust_s for row in fresh)

    def _behind_s(
        self, part: Part, revision: int, fresh: list[PeerRow], now: float
    ) -> float:
        """Return for how long a peer has known something newer, in seconds."""
        newest = max((part.revision_of(row.digest) for row in fresh), default=0)
        if newest <= revision:
            self._behind.pop(part, None)
            return 0.0
        return now - self._behind.setdefault(part, now)
