"""Selects the coordinator of a service: the entry that assigns its slots.

Load pattern: many entries, each with a few requests a second. What one entry knows of the
others is out of date by a good part of a request's duration. Several entries then assign
the same slot while other endpoints are idle, and tiers are ordered within each entry only.
A single entry that assigns all slots of a service knows them all.

Weighted rendezvous hashing over the entries that currently send digests, their periodic
state messages, selects the coordinator. There is no election and no stored state: while
entries disagree for a moment, some endpoints are overloaded, and an unresponsive
coordinator costs each of its clients a few reply timeouts (`slot_client.REPLY_TIMEOUT_S`)
once.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from functools import lru_cache

from ..rendezvous import weight
from .digest import Address
from .peers import PeerRow, PeerTable

MIN_COORDINATOR_AGE_S = 3.0
"""Minimum age of a coordinator, in seconds, unless all entries are younger: an entry that
has just started has measured no endpoint, and doesn't know which slots others hold."""

UNRESPONSIVE_S = 1.0
"""How long no slots are requested from an entry that did not reply, in seconds. If its VM
hangs, its missing digests show this after about the same time."""

MIN_CAPACITY = 0.01
"""Lower bound of an entry's capacity, as a fraction of a processor core."""


class CoordinationMode(enum.Enum):
    """How an entry assigns the slots of a service."""

    COORDINATOR = enum.auto()
    """It assigns all slots, and so counts what all entries send."""

    UNCERTAIN = enum.auto()
    """It grants slots to other entries, and another entry may do so too."""

    INDEPENDENT = enum.auto()
    """It assigns slots to its own requests only, as others do to theirs."""


class CoordinatorSelector:
    """Selects the coordinators of services.

    Args:
        peers: The other entries.
        capacity: Fraction of a processor core that this entry may use.
        started_at: Monotonic time of this entry's start, in seconds.
        is_independent: Whether coordination is off, so that each entry decides
            independently.
        has_clients: Returns whether other entries request slots of a service from this one.

    Attributes:
        is_leaving: Whether this entry is shutting down, so that it no longer coordinates.
    """

    def __init__(
        self,
        peers: PeerTable,
        *,
        capacity: float,
        started_at: float,
        is_independent: bool = False,
        has_clients: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._peers = peers
        self._capacity = capacity
        self._started_at = started_at
        self._is_independent = is_independent
        self._has_clients = has_clients
        self._unresponsive_until: dict[Address, float] = {}
        self.is_leaving = False

    def mark_unresponsive(self, address: Address, now: float) -> None:
        """Exclude an entry that did not reply from the selection for a while."""
        self._unresponsive_until[address] = now + UNRESPONSIVE_S

    def coordinator_of(self, service: str, now: float) -> Address | None:
        """Return the coordinator of a service; ``None`` if it is this entry."""
        if self._is_independent:
            return None
        rows = [row for row in self._peers.heard(now) if self._may_coordinate(row, now)]
        capacities = {row.digest.address: row.digest.capacity for row in rows}
        ages = {row.digest.address: _age_s(row, now) for row in rows}
        if not self.is_leaving:
            capacities[self._peers.own_address] = self._capacity
            ages[self._peers.own_address] = now - self._started_at
        old_enough = [
            address for address, age_s in ages.items() if age_s >= MIN_COORDINATOR_AGE_S
        ]
        winner = max(
            old_enough or ages,
            key=lambda address: (_score(service, address, capacities[address]), address.ip),
            default=None,
        )
        return None if winner == self._peers.own_address else winner

    def mode(self, service: str, now: float) -> CoordinationMode:
        """Return how this entry assigns the slots of a service now."""
        if self._is_independent:
            return CoordinationMode.INDEPENDENT
        if self.coordinator_of(service, now) is not None:
            return (
                CoordinationMode.UNCERTAIN
                if self._has_clients(service)
                else CoordinationMode.INDEPENDENT
            )
        fresh_entries = len(self._peers.fresh(now)) + 1
        if 2 * fresh_entries <= self.entry_count:
            return (
                CoordinationMode.UNCERTAIN
                if self._has_clients(service)
                else CoordinationMode.INDEPENDENT
            )
        is_old_enough = now - self._started_at >= MIN_COORDINATOR_AGE_S
        is_certain = is_old_enough and self.is_entry_count_known
        return CoordinationMode.COORDINATOR if is_certain else CoordinationMode.UNCERTAIN

    @property
    def is_entry_count_known(self) -> bool:
        """Whether the number of entries is known."""
        return len(self._peers) > 0 or self._peers.is_only_entry

    @property
    def entry_count(self) -> int:
        """Number of entries that may be running, this one included."""
        return len(self._peers) + 1

    @property
    def entry_count_with_unseen(self) -> int:
        """Number of entries that may be running, including those known by address only."""
        return self.entry_count + self._peers.never_seen_count

    def entry_names(self) -> tuple[str, list[str]]:
        """Return the IP addresses of this entry and of all others that may be running."""
        own_name = self._peers.own_address.ip
        return own_name, [row.digest.address.ip for row in self._peers.rows]

    def _may_coordinate(self, row: PeerRow, now: float) -> bool:
        digest = row.digest
        excluded_until = self._unresponsive_until.get(digest.address, now)
        is_configured = bool(digest.revision and digest.endpoints_revision)
        return is_configured and excluded_until <= now and not digest.leaving


def _age_s(row: PeerRow, now: float) -> float:
    return row.digest.age_s + now - row.sent_before


@lru_cache(maxsize=4096)
def _score(service: str, address: Address, capacity: float) -> float:
    """Return the weight of an entry for a service; the highest wins.

    Entries win in proportion to their capacity (Schindelhauer and Schomaker, "Weighted
    distributed hash tables", 2005).
    """
    hash_fraction = (weight(service, f"{address.ip}:{address.port}") + 1) / (2**64 + 1)
    return -max(capacity, MIN_CAPACITY) / math.log(hash_fraction)
