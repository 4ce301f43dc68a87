"""Leaves out of most digests the token usage that their receivers know already.

Load pattern: each of 20 to 70 entries sends digests to all others five times a second and
less, most of them to other data halls. Digests are two thirds of the bytes between data
halls. Nearly half of a digest is the usage of each organisation in each half second of the
quota window, of which only the latest change.

Every `FULL_INTERVAL` digests one contains the whole window. Those in between cover the time
since the last full one but one, so that one lost digest hides nothing, whichever it is.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from cachetools import LRUCache

from .digest import Address, Digest
from .peers import MAX_PEERS, PeerTable

FULL_INTERVAL = 4
"""Every how many digests one contains the usage of the whole window. A refund of tokens
that were used earlier is known to others after this many digests at most."""

OVERLAP_BUCKETS = 2
"""Time buckets that a partial digest covers besides those since the last full one but one:
the bucket of that digest, which was not over, and the one before it, in case the partial
digest that covered its end was lost."""

MAX_PARTIAL_BUCKETS = 12
"""Largest number of time buckets of a partial digest; one that would cover more, as after a
suspension of the sender, is sent in full."""


@dataclass(frozen=True, slots=True)
class _FullDigest:
    """The last two digests with the whole window that were sent to one peer.

    Attributes:
        incarnation: The receiver's incarnation.
        previous_bucket: The sender's time bucket at the one before the last; ``None`` if
            there was only one.
        bucket: The sender's time bucket at the last one.
        number: Number of the last one.
    """

    incarnation: int
    previous_bucket: int | None
    bucket: int
    number: int


class DigestVariants:
    """Chooses for each peer whether it is sent a full or a partial digest.

    Peers that do not report that they accept partial digests get full ones: they would take
    usage that is left out for none.

    Args:
        peers: The other entries.
    """

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers
        self._last_full: LRUCache[Address, _FullDigest] = LRUCache(MAX_PEERS)

    def covered_buckets(self, address: Address, digest: Digest, now: float) -> int:
        """Return how many time buckets of usage a peer's digest has to cover.

        The first two digests to a peer are full ones, and all of them while nothing is
        received from it: it may have missed some, or have restarted. So is the last one of
        an entry that leaves, after which no other follows.

        Args:
            address: The peer's address.
            digest: The full digest.
            now: Monotonic time, in seconds.

        Returns:
            The number of buckets, back from now; 0 for the whole window.
        """
        row = self._peers.get(address)
        if row is None or not row.digest.accepts_partial or digest.leaving:
            self._last_full.pop(address, None)
            return 0
        incarnation = row.digest.incarnation
        last = self._last_full.get(address)
        if last is not None and last.incarnation != incarnation:
            last = None
        if (
            last is not None
            and last.previous_bucket is not None
            and digest.number - last.number < FULL_INTERVAL
            and self._peers.is_fresh(row, now)
        ):
            span = digest.usage_bucket - last.previous_bucket + OVERLAP_BUCKETS
            if 0 < span <= MAX_PARTIAL_BUCKETS:
                return span
        self._last_full[address] = _FullDigest(
            incarnation,
            None if last is None else last.bucket,
            digest.usage_bucket,
            digest.number,
        )
        return 0


def partial_digest(digest: Digest, buckets: int) -> Digest:
    """Return a digest that covers the usage of the last time buckets only.

    Args:
        digest: The full digest.
        buckets: Number of buckets, back from now; 0 returns the full digest.
    """
    if not buckets:
        return digest
    recent = {name: amounts[:buckets] for name, amounts in digest.used.items()}
    used = {name: amounts for name, amounts in recent.items() if any(amounts)}
    return msgspec.structs.replace(digest, used=used, usage_span=buckets)
