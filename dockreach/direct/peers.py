"""The table of other entries, with the last digest received from each."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from .digest import Address, Digest
from .round_robin import RoundRobin
from .stalls import Arrival

FRESH_S = 0.8
"""A peer that has sent no digest for longer may be unreachable, in seconds: three intervals
between idle digests."""

FRESH_INTERVALS = 4
"""Intervals without a digest after which a peer counts as silent, where there are so many
peers that digests are sent rarely."""

MIN_DIGEST_INTERVAL_S = 0.05
"""Minimum time between digests, in seconds. Decisions made on data of this age are as good
as decisions made on fresh data."""

DIGEST_INTERVAL_PER_PEER_S = 0.01
"""Minimum time between digests per receiving peer, in seconds: limits an entry to 100
datagrams a second regardless of the number of entries."""

PEER_TIMEOUT_S = 30.0
"""A silent peer is removed after this time, in seconds. Until then part of each limit stays
reserved for it, since it may still be serving callers behind a network partition."""

MAX_DATAGRAM_DELAY_S = 0.02
"""Assumed maximum delay of a datagram, in seconds. A start time that differs by more is
taken for a restart."""

MAX_PEERS = 512
"""Maximum number of peers in the table; the specification asks for 380 daemons."""

MAX_USAGE_SPAN = 64
"""Largest number of time buckets that a partial digest may cover, several quota windows."""

MAX_ADDRESSES_PER_DIGEST = 8
"""Maximum number of other entries' addresses in one digest: enough for a new entry to
discover all of them within a few digests."""

STABLE_ADDRESSES_PER_DIGEST = 2
"""The same while no entry has started recently: a missed address is repeated in a later
digest. An address takes a fortieth of a digest."""

RECENT_START_S = 10.0
"""Age up to which an entry lists all peers that it knows in each digest, in seconds.
Otherwise, where 150 entries start together, quotas are exceeded by up to nine tenths of
their bound in the first seconds (seen with the quota logic alone, at five times the load
that the quota allows): most entries do not know most others yet, and do not count their
usage. An address takes some 16 bytes."""


@dataclass(slots=True)
class PeerRow:
    """One other entry.

    Attributes:
        received_at: Monotonic time at which its last digest was received, in seconds. If
            this process stood still meanwhile, the earliest time at which it can have
            arrived: the peer may be gone since.
        early_s: How much earlier it may have arrived, in seconds.
        late_s: How much later it may have arrived, in seconds.
    """

    digest: Digest
    received_at: float
    early_s: float = 0.0
    late_s: float = 0.0

    @classmethod
    def at(cls, arrival: Arrival, digest: Digest) -> PeerRow:
        """Return the row of a peer whose digest arrived at a time."""
        early_s = arrival.at - arrival.after
        return cls(digest, arrival.at, early_s, arrival.read_at - arrival.at)

    @property
    def sent_after(self) -> float:
        """Earliest time at which the digest can have been sent, monotonic, in seconds."""
        return self.received_at - self.early_s - MAX_DATAGRAM_DELAY_S

    @property
    def sent_before(self) -> float:
        """Latest time at which the digest can have been sent, monotonic, in seconds."""
        return self.received_at + self.late_s


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of merging a received digest.

    Attributes:
        is_new: Whether the digest is newer than the one in the table.
        previous: The previous row of the same peer; ``None`` for a new peer.
    """

    is_new: bool
    previous: PeerRow | None = None


class PeerTable:
    """Other entries by address.

    Args:
        own_address: The address of this entry.
        seeds: Addresses of entries from the settings.
    """

    def __init__(self, own_address: Address, seeds: Iterable[Address]) -> None:
        self.own_address = own_address
        self.seeds = tuple(seeds)
        self._rows: dict[Address, PeerRow] = {}
        self._discovered: dict[Address, float] = {}
        self._round_robin = RoundRobin()

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def is_only_entry(self) -> bool:
        """Whether no other entry is known or listed in the settings."""
        return not self._rows and all(seed == self.own_address for seed in self.seeds)

    @property
    def digest_interval_s(self) -> float:
        """The minimum time between two digests, in seconds."""
        return max(MIN_DIGEST_INTERVAL_S, DIGEST_INTERVAL_PER_PEER_S * len(self._rows))

    @property
    def _fresh_limit_s(self) -> float:
        """Maximum age of the last digest of a peer that counts as fresh, in seconds."""
        return max(FRESH_S, FRESH_INTERVALS * self.digest_interval_s)

    def is_fresh(self, row: PeerRow, now: float) -> bool:
        """Return whether a digest of the peer was received recently."""
        return now - row.received_at <= self._fresh_limit_s

    def fresh(self, now: float) -> list[PeerRow]:
        """Return the peers from which a digest was received recently."""
        limit_s = self._fresh_limit_s
        return [row for row in self._rows.values() if now - row.received_at <= limit_s]

    def is_heard(self, row: PeerRow, now: float) -> bool:
        """Return whether a digest of the peer was read recently, which may have waited.

        The peer of a digest that waited while this process stood still may be gone. Its
        requests count until that is certain, and it may be asked: an answer is news.
        """
        return now - row.sent_before <= self._fresh_limit_s

    def heard(self, now: float) -> list[PeerRow]:
        """Return the peers from which a digest was read recently."""
        limit_s = self._fresh_limit_s
        return [row for row in self._rows.values() if now - row.sent_before <= limit_s]

    @property
    def rows(self) -> list[PeerRow]:
        """All peers that have neither left nor timed out."""
        return list(self._rows.values())

    @property
    def never_seen_count(self) -> int:
        """How many entries are known by address only, without any digest so far."""
        return len(self.targets()) - len(self._rows)

    @property
    def unheard_count(self) -> int:
        """How many entries must be allowed for of which nothing is known but an address.

        Whoever hears a peer soon hears of all others. An entry that hears nobody, although
        its settings name others, can't tell lost ones from ones that it doesn't reach, nor
        learn of those that are not named. Only a digest shows it; time doesn't.
        """
        return 0 if self._rows else self.never_seen_count

    def get(self, address: Address) -> PeerRow | None:
        """Return the row of a peer; ``None`` if no digest of it was received."""
        return self._rows.get(address)

    def targets(self) -> list[Address]:
        """Return the addresses to send the next digest to."""
        found = dict.fromkeys(seed for seed in self.seeds if seed != self.own_address)
        found.update(dict.fromkeys(self._rows))
        found.update(dict.fromkeys(self._discovered))
        return list(found)

    def merge(
        self, digest: Digest, now: float, arrival: Arrival | None = None
    ) -> MergeResult:
        """Merge a received digest into the table; return what it changed.

        Args:
            digest: The digest.
            now: Monotonic time, in seconds.
            arrival: When it arrived; just now if omitted.
        """
        arrival = arrival or Arrival.prompt(now)
        if digest.address == self.own_address:
            return MergeResult(is_new=False)
        self._discover(digest.known_peers, now)
        row = self._rows.get(digest.address)
        if _misses_usage(digest, row):
            if row is None:
                self._discover([digest.address], now)
            return MergeResult(is_new=False)
        if row is None:
            if len(self._rows) < MAX_PEERS:
                self._rows[digest.address] = PeerRow.at(arrival, digest)
            self._discovered.pop(digest.address, None)
            return MergeResult(is_new=True)
        previous = row
        if not _is_newer(digest, previous, arrival.at):
            return MergeResult(is_new=False)
        complete = _with_earlier_usage(digest, previous.digest)
        self._rows[digest.address] = PeerRow.at(arrival, complete)
        return MergeResult(is_new=True, previous=previous)

    def _discover(self, addresses: Iterable[Address], now: float) -> None:
        for address in addresses:
            if address == self.own_address or address in self._rows:
                continue
            if len(self._discovered) < MAX_PEERS:
                self._discovered.setdefault(address, now)

    def expire(self, now: float) -> list[PeerRow]:
        """Remove peers that left or timed out; return their rows."""
        removed = []
        for address, row in list(self._rows.items()):
            limit = FRESH_S if row.digest.leaving else PEER_TIMEOUT_S
            if now - row.sent_before > limit:
                removed.append(self._rows.pop(address))
        for address, since in list(self._discovered.items()):
            if now - since > PEER_TIMEOUT_S:
                del self._discovered[address]
        return removed

    def addresses_to_share(self, age_s: float) -> list[Address]:
        """Return the peers to list in a digest: some of them, in round-robin order.

        Args:
            age_s: Age of this entry, in seconds; one that started recently lists all.
        """
        rows = list(self._rows)
        max_count = (
            MAX_ADDRESSES_PER_DIGEST
            if self.has_recently_started
            else STABLE_ADDRESSES_PER_DIGEST
        )
        return (
            rows
            if age_s < RECENT_START_S
            else self._round_robin.next_items(rows, max_count)
        )

    @property
    def has_recently_started(self) -> bool:
        """Whether any peer has started recently, according to its digest."""
        return any(row.digest.age_s < RECENT_START_S for row in self._rows.values())

    def in_flight(
        self,
        now: float,
        in_flight_of: Callable[[Digest], dict[str, int]] = attrgetter("in_flight"),
    ) -> dict[str, int]:
        """Return the requests in flight from all peers that were heard, by endpoint.

        Args:
            now: Monotonic time, in seconds.
            in_flight_of: Returns the requests of a digest to count; by default all.
        """
        counts: dict[str, int] = {}
        for row in self.heard(now):
            for endpoint, count in in_flight_of(row.digest).items():
                counts[endpoint] = counts.get(endpoint, 0) + count
        return counts

    def silent(self, now: float) -> list[PeerRow]:
        """Return peers that may still be serving but whose digests do not arrive."""
        limit_s = self._fresh_limit_s
        silent = [row for row in self._rows.values() if now - row.received_at > limit_s]
        return [row for row in silent if not row.digest.leaving]


def _misses_usage(digest: Digest, row: PeerRow | None) -> bool:
    """Return whether a partial digest leaves out usage that is not known here.

    Its sender takes this entry for its previous incarnation, or several digests were lost.
    Such a digest would hide usage from quotas; a full one follows within a few digests.
    """
    if not digest.usage_span:
        return False
    if row is None or row.digest.incarnation != digest.incarnation:
        return True
    if not 0 < digest.usage_span <= MAX_USAGE_SPAN:
        return True
    return digest.usage_bucket - row.digest.usage_bucket >= digest.usage_span


def _with_earlier_usage(digest: Digest, previous: Digest) -> Digest:
    """Return a digest whose usage is completed from the previous one, if it is partial."""
    if not digest.usage_span:
        return digest
    span = digest.usage_span
    passed = digest.usage_bucket - previous.usage_bucket
    used = {}
    for name in digest.used.keys() | previous.used.keys():
        recent = digest.used.get(name, [])
        earlier = [0] * passed + previous.used.get(name, [])
        used[name] = recent + [0] * (span - len(recent)) + earlier[span:]
    return msgspec.structs.replace(digest, used=used, usage_span=0)


def _is_newer(digest: Digest, row: PeerRow, now: float) -> bool:
    """Return whether a digest is newer than the one in a row.

    Incarnations are compared by age and not by the time of day, which may jump.
    """
    if digest.incarnation == row.digest.incarnation:
        return digest.number > row.digest.number
    return now - digest.age_s > row.received_at - row.digest.age_s + MAX_DATAGRAM_DELAY_S
