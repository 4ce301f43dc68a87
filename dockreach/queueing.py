"""An agent's queue of holds: by tier, then fair between organisations, then deadline.

Fairness inside a tier is start-time fair queuing: each organisation has a virtual
service, which grows by cost over share when one of its holds is granted; the
organisation with the least goes next. (Goyal, Vin and Cheng, 1996.)
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


class Lane(enum.IntEnum):
    """Length class of a request, so that short ones pass long ones."""

    SHORT = 0
    LONG = 1


@dataclass(slots=True)
class Hold:
    """A request that waits at an entry, as its agent sees it.

    Times are seconds on the agent's clock.
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
    arrived: float
    lane: Lane = Lane.SHORT
    declines: int = 0
    queued: bool = False

    @property
    def cost(self) -> float:
        """Work of the request in decode-token units, for fairness."""
        return self.output_tokens + self.prompt_tokens / PREFILL_PER_DECODE


PREFILL_PER_DECODE = 10.0
"""Prompt tokens that cost an engine as much as one generated token."""


@dataclass(slots=True)
class _Flow:
    """The holds of one organisation in one tier."""

    service: float = 0.0
    lanes: tuple[list[tuple[float, int, Hold]], ...] = ([], [])

    def head(self, lane: Lane) -> Hold | None:
        """Return the first live hold of a lane, dropping dead ones."""
        heap = self.lanes[lane]
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None


@dataclass(slots=True)
class _Tier:
    """The holds of one tier."""

    flows: dict[str, _Flow] = field(default_factory=dict)
    arrivals: list[Hold] = field(default_factory=list)
    live: int = 0
    virtual_time: float = 0.0


class HoldQueue:
    """Holds in order of service; removal is lazy, so no call is linear in their number."""

    def __init__(self) -> None:
        self._tiers: dict[int, _Tier] = {}
        self._sequence = 0
        self._live = 0

    def __len__(self) -> int:
        return self._live

    def ahead_of(self, tier: int) -> int:
        """Return how many holds stand in this tier and the higher ones."""
        return sum(table.live for rank, table in self._tiers.items() if rank <= tier)

    def in_tier(self, tier: int) -> int:
        """Return how many holds stand in a tier."""
        table = self._tiers.get(tier)
        return table.live if table else 0

    def tiers(self) -> list[int]:
        """Return the tiers in which holds have stood."""
        return list(self._tiers)

    def any_below(self, tier: int) -> bool:
        """Return whether a hold of a lower tier waits."""
        return any(table.live for rank, table in self._tiers.items() if rank > tier)

    def add(self, hold: Hold) -> None:
        """Queue a hold."""
        table = self._tiers.setdefault(hold.tier, _Tier())
        flow = table.flows.get(hold.organisation)
        if flow is None:
            flow = _Flow(service=table.virtual_time, lanes=([], []))
            table.flows[hold.organisation] = flow
        flow.service = max(flow.service, table.virtual_time)
        self._sequence += 1
        heapq.heappush(flow.lanes[hold.lane], (hold.deadline, self._sequence, hold))
        table.arrivals.append(hold)
        hold.queued = True
        table.live += 1
        self._live += 1

    def remove(self, hold: Hold) -> None:
        """Take a hold out of the queue; one that is not queued is left alone."""
        if not hold.queued:
            return
        hold.queued = False
        table = self._tiers[hold.tier]
        table.live -= 1
        self._live -= 1
        if len(table.arrivals) > 2 * table.live + 16:
            self._compact(table)

    def charge(self, hold: Hold) -> None:
        """Count a granted hold against its organisation."""
        table = self._tiers[hold.tier]
        flow = table.flows.get(hold.organisation)
        if flow is None:
            return
        table.virtual_time = max(table.virtual_time, flow.service)
        flow.service += hold.cost / hold.share

    def refund(self, hold: Hold) -> None:
        """Undo a charge: the grant was not used."""
        flow = self._tiers[hold.tier].flows.get(hold.organisation)
        if flow is not None:
            flow.service -= hold.cost / hold.share

    def pick(self, allowed: Callable[[int, Lane], bool]) -> Hold | None:
        """Return the hold to serve next among those in an allowed tier and lane."""
        for tier in sorted(self._tiers):
            table = self._tiers[tier]
            if not table.live:
                continue
            lanes = [lane for lane in Lane if allowed(tier, lane)]
            hold = self._first(table, lanes)
            if hold is not None:
                return hold
        return None

    def newest_of_lowest_tier(self) -> Hold | None:
        """Return the hold to displace first under pressure."""
        for tier in sorted(self._tiers, reverse=True):
            arrivals = self._tiers[tier].arrivals
            while arrivals and not arrivals[-1].queued:
                arrivals.pop()
            if arrivals:
                return arrivals[-1]
        return None

    def __iter__(self) -> Iterator[Hold]:
        for table in self._tiers.values():
            for hold in table.arrivals:
                if hold.queued:
                    yield hold

    @staticmethod
    def _first(table: _Tier, lanes: list[Lane]) -> Hold | None:
        best: Hold | None = None
        best_service = float("inf")
        for flow in table.flows.values():
            if flow.service >= best_service:
                continue
            heads = [hold for lane in lanes if (hold := flow.head(lane)) is not None]
            if heads:
                best = min(heads, key=lambda hold: hold.deadline)
                best_service = flow.service
        return best

    @staticmethod
    def _compact(table: _Tier) -> None:
        table.arrivals = [hold for hold in table.arrivals if hold.queued]
        idle = [name for name, flow in table.flows.items() if not any(flow.lanes)]
        for name in idle:
            if table.flows[name].service <= table.virtual_time:
                del table.flows[name]
