"""Selects the entries that poll the platform for the others (readers).

Load pattern: many entries, each of which would keep two calls to the platform open at all
times, although changes are rare. A few entries of each data hall, the readers, poll; the
others learn the newest revisions from their digests, and call the platform themselves only
when no peer has recently confirmed that their copy is the newest. Only first-hand
confirmation counts: the time at which the platform itself answered the peer that sends the
digest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..rendezvous import ranked
from .digest import Digest
from .feeds import FAILING, Feed
from .peers import PeerRow, PeerTable

READERS_PER_HALL = 2
"""Number of readers in each data hall: one of them may crash, hang or be unreachable
unnoticed for a moment. Small deployments have hardly more entries in a hall, so that all of
them are readers."""

TRUST_FRACTION = 0.7
"""How long a peer's confirmation is trusted from the moment at which the platform answered
it, as a fraction of the time within which a change must be applied. It is longer than the
readers' long poll (six tenths of that time): two readers may poll in step, so that neither
confirms anything during their polls. The remaining time is enough for a call by this
entry."""

BEHIND_FRACTION = 0.2
"""How long peers may have a newer revision before the platform is called, as a fraction of
the same time. Fetching it from a peer in the data hall takes some 10 ms after the digest of
that peer has arrived, and with 68 entries digests arrive every 0.7 s."""


@dataclass(frozen=True, slots=True)
class PublishedPart:
    """One part of the platform's data, as digests report on it.

    Attributes:
        revision_of: Returns the revision that a digest reports.
        age_of: Returns how long before the digest the platform last answered its sender, in
            seconds.
        is_failing: Returns whether the sender's calls fail, as far as it reports that.
    """

    revision_of: Callable[[Digest], int]
    age_of: Callable[[Digest], float]
    is_failing: Callable[[Digest], bool] = lambda _: False


CONFIGURATION = PublishedPart(
    lambda digest: digest.revision, lambda digest: digest.configuration_age_s
)
EVACUATIONS = PublishedPart(
    lambda digest: digest.orders_revision, lambda digest: digest.configuration_age_s
)
ENDPOINTS = PublishedPart(
    lambda digest: digest.endpoints_revision,
    lambda digest: digest.endpoints_age_s,
    lambda digest: digest.endpoints_answered_s == FAILING,
)


class ReaderSelector:
    """Decides whether this entry has to call the platform.

    Args:
        peers: The other entries.
        hall: The data hall of this entry.
    """

    def __init__(self, peers: PeerTable, hall: str) -> None:
        self._peers = peers
        self._hall = hall
        self._behind: dict[PublishedPart, float] = {}

    def is_reader(self, now: float) -> bool:
        """Return whether this entry polls the platform for others of its data hall."""
        same_hall = [
            row.digest.address
            for row in self._peers.fresh(now)
            if row.digest.hall == self._hall and not row.digest.leaving
        ]
        names = [
            f"{address.ip}:{address.port}"
            for address in (self._peers.own_address, *same_hall)
        ]
        return names[0] in ranked(self._hall, names)[:READERS_PER_HALL]

    def may_skip_poll(
        self,
        part: PublishedPart,
        feed: Feed,
        revision: int,
        apply_deadline_s: float,
        now: float,
    ) -> bool:
        """Return whether the platform need not be called now, since readers poll it.

        Args:
            part: The part that would be requested.
            feed: This entry's own calls for that part.
            revision: The newest revision of it that this entry has.
            apply_deadline_s: Time within which a change must be applied, in seconds.
            now: Monotonic time, in seconds.
        """
        if not revision or feed.consecutive_failures or self.is_reader(now):
            return False
        fresh = self._peers.fresh(now)
        if self._behind_s(part, revision, fresh, now) > BEHIND_FRACTION * apply_deadline_s:
            return False
        trust_s = TRUST_FRACTION * apply_deadline_s
        recent = [
            row.digest
            for row in fresh
            if now - row.received_at + part.age_of(row.digest) <= trust_s
        ]
        if self._has_failed_readers(part, fresh, recent):
            return False
        if feed.last_response_at is not None and now - feed.last_response_at <= trust_s:
            return True
        return bool(recent)

    def _has_failed_readers(
        self, part: PublishedPart, fresh: list[PeerRow], recent: list[Digest]
    ) -> bool:
        """Return whether the readers of the data hall are cut off from the platform.

        Args:
            part: The part that would be requested.
            fresh: The peers from which a digest was received recently.
            recent: Digests of peers that the platform answered recently.
        """
        same_hall = [row.digest for row in fresh if row.digest.hall == self._hall]
        if not any(map(part.is_failing, same_hall)):
            return False
        return not any(
            digest.hall == self._hall and not part.is_failing(digest) for digest in recent
        )

    def _behind_s(
        self, part: PublishedPart, revision: int, fresh: list[PeerRow], now: float
    ) -> float:
        """Return for how long peers have had a newer revision, in seconds."""
        newest = max((part.revision_of(row.digest) for row in fresh), default=0)
        if newest <= revision:
            self._behind.pop(part, None)
            return 0.0
        return now - self._behind.setdefault(part, now)
