"""Leaves out of most digests the token usage that their receivers know already.

Load pattern: each of 20 to 70 entries sends digests to all others five times a second and
less, most of them to other data halls. Nearly half of a digest is the usage of each
organisation in each half second of the quota window, of which only the latest change. Two
thirds of the bytes between data halls were digests.

Every `FULL_INTERVAL` digests one contains the whole window. Those in between cover the time
since the last full one, so that a lost digest is made up for by the next.
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
"""Time buckets that a partial digest covers besides those since the last full one: the
bucket of that digest, which was not over, and the one before it, in case the partial digest
that covered its end was lost."""


@dataclass(frozen=True, slots=True)
class _FullDigest:
    """The last digest with the whole window that was sent to one peer.

    Attributes:
        incarnation: The receiver's incarnation.
        bucket: The sender's time bucket at that moment.
        number: Number of the digest.
    """

    incarnation: int
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

    def covered_buckets(self, address: Address, digest: Digest) -> int:
        """Return how many time buckets of usage a peer's digest has to cover.

        Returns:
            The number of buckets, back from now; 0 for the whole window.
        """
        row = self._peers.get(address)
        if row is None or not row.digest.accepts_partial:
            self._last_full.pop(address, None)
            return 0
        last = self._last_full.get(address)
        is_due = (
            last is None
            or last.incarnation != row.digest.incarnation
            or digest.number - last.number >= FULL_INTERVAL
        )
        if last is None or is_due:
            self._last_full[address] = _FullDigest(
                row.digest.incarnation, digest.usage_bucket, digest.number
            )
            return 0
        return digest.usage_bucket - last.bucket + OVERLAP_BUCKETS


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
