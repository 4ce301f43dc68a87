"""An agent's queue of holds, ordered by tier, fairness between organisations, deadline.

Within a tier the queue uses start-time fair queuing (Goyal, Vin and Cheng, 1996): each
organisation has a virtual service, which grows by cost divided by share when one of its
holds is granted. The organisation with the least virtual service is served next.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


class Lane(enum.IntEnum):
    """Length class of a request; slots are reserved for the short ones."""

    SHORT = 0
    LONG = 1


@dataclass(slots=True)
class Hold:
    """A request that waits at an entry and that this agent may grant a slot to.

    Times are seconds on the agent's clock.

    Attributes:
        share: Weight of the organisation in fair queuing.
        blocks: Hashes of the prompt's prefix blocks; see `prefix`.
        declines: How often the entry declined a grant for it.
    """

    rid: str
    entry: str
    organisation: str
    tier: int
    deadline: float
    prompt_tokens: int
    output_tokens: int
    share: float
    blocks: tuple[int, ...]
    arrived_at: float
    lane: Lane = Lane.SHORT
    declines: int = 0
    is_queued: bool = False

    @property
    def cost(self) -> float:
        """Return the work of the request in units of one generated token."""
        return self.output_tokens + self.prompt_tokens / PREFILL_TOKENS_PER_DECODE_TOKEN


PREFILL_TOKENS_PER_DECODE_TOKEN = 10.0
"""Number of prompt tokens that cost an engine as much as one generated token."""


@dataclass(slots=True)
class _OrganisationQueue:
    """The holds of one organisation in one tier, with one heap for each lane."""

    virtual_service: float = 0.0
    heaps: tuple[list[tuple[float, int, Hold]], ...] = ([], [])

    def head(self, lane: Lane) -> Hold | None:
        """Return the first hold of a lane, deleting removed ones in front of it."""
        heap = self.heaps[lane]
        while heap and not heap[0][2].is_queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None


@dataclass(slots=True)
class _TierQueue:
    """The holds of one tier.

    Attributes:
        organisations: Queue of each organisation.
        arrivals: Holds in order of arrival, with removed ones in between.
        size: Number of queued holds.
    """

    organisations: dict[str, _OrganisationQueue] = field(default_factory=dict)
    arrivals: list[Hold] = field(default_factory=list)
    size: int = 0
    virtual_time: float = 0.0


class HoldQueue:
    """Holds in the order in which they are served.

    Removed holds are only marked and deleted later, so that a removal does not search
    the heaps.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, _TierQueue] = {}
        self._sequence = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def count_ahead_of(self, tier: int) -> int:
        """Return the number of holds in this tier and the higher ones."""
        return sum(
            tier_queue.size for rank, tier_queue in self._tiers.items() if rank <= tier
        )

    def count_in_tier(self, tier: int) -> int:
        """Return the number of holds in a tier."""
        tier_queue = self._tiers.get(tier)
        return tier_queue.size if tier_queue else 0

    def tiers(self) -> list[int]:
        """Return all tiers that have ever had a hold."""
        return list(self._tiers)

    def has_lower_tier(self, tier: int) -> bool:
        """Return whether a hold of a lower tier is queued."""
        return any(
            tier_queue.size for rank, tier_queue in self._tiers.items() if rank > tier
        )

    def add(self, hold: Hold) -> None:
        """Queue a hold."""
        tier_queue = self._tiers.setdefault(hold.tier, _TierQueue())
        queue = tier_queue.organisations.get(hold.organisation)
        if queue is None:
            queue = _OrganisationQueue(
                virtual_service=tier_queue.virtual_time, heaps=([], [])
            )
            tier_queue.organisations[hold.organisation] = queue
        queue.virtual_service = max(queue.virtual_service, tier_queue.virtual_time)
        self._sequence += 1
        heapq.heappush(queue.heaps[hold.lane], (hold.deadline, self._sequence, hold))
        tier_queue.arrivals.append(hold)
        hold.is_queued = True
        tier_queue.size += 1
        self._size += 1

    def remove(self, hold: Hold) -> None:
        """Remove a hold from the queue; does nothing if it is not queued."""
        if not hold.is_queued:
            return
        hold.is_queued = False
        tier_queue = self._tiers[hold.tier]
        tier_queue.size -= 1
        self._size -= 1
        if len(tier_queue.arrivals) > 2 * tier_queue.size + 16:
            self._remove_stale(tier_queue)

    def charge(self, hold: Hold) -> None:
        """Charge a granted hold to its organisation."""
        tier_queue = self._tiers[hold.tier]
        queue = tier_queue.organisations.get(hold.organisation)
        if queue is None:
            return
        tier_queue.virtual_time = max(tier_queue.virtual_time, queue.virtual_service)
        queue.virtual_service += hold.cost / hold.share

    def refund(self, hold: Hold) -> None:
        """Undo a charge for a grant that was not used."""
        queue = self._tiers[hold.tier].organisations.get(hold.organisation)
        if queue is not None:
            queue.virtual_service -= hold.cost / hold.share

    def pick(self, allowed: Callable[[int, Lane], bool]) -> Hold | None:
        """Return the hold to serve next; ``None`` if there is none.

        Args:
            allowed: Whether holds of a tier and lane may be served now.
        """
        for tier in sorted(self._tiers):
            tier_queue = self._tiers[tier]
            if not tier_queue.size:
                continue
            lanes = [lane for lane in Lane if allowed(tier, lane)]
            hold = self._least_served(tier_queue, lanes)
            if hold is not None:
                return hold
        return None

    def newest_of_lowest_tier(self) -> Hold | None:
        """Return the hold to displace first when the queue is too long."""
        for tier in sorted(self._tiers, reverse=True):
            arrivals = self._tiers[tier].arrivals
            while arrivals and not arrivals[-1].is_queued:
                arrivals.pop()
            if arrivals:
                return arrivals[-1]
        return None

    def __iter__(self) -> Iterator[Hold]:
        for tier_queue in self._tiers.values():
            for hold in tier_queue.arrivals:
                if hold.is_queued:
                    yield hold

    @staticmethod
    def _least_served(tier_queue: _TierQueue, lanes: list[Lane]) -> Hold | None:
        best: Hold | None = None
        least_service = float("inf")
        for queue in tier_queue.organisations.values():
            if queue.virtual_service >= least_service:
                continue
            heads = [hold for lane in lanes if (hold := queue.head(lane)) is not None]
            if heads:
                best = min(heads, key=lambda hold: hold.deadline)
                least_service = queue.virtual_service
        return best

    @staticmethod
    def _remove_stale(tier_queue: _TierQueue) -> None:
        tier_queue.arrivals = [hold for hold in tier_queue.arrivals if hold.is_queued]
        idle = [
            name for name, queue in tier_queue.organisations.items() if not any(queue.heaps)
        ]
        for name in idle:
            if tier_queue.organisations[name].virtual_service <= tier_queue.virtual_time:
                del tier_queue.organisations[name]
