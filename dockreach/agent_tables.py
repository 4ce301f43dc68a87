"""The tables of an agent, and what its systems tell the outside to do.

The tables hold all state of the agent's decisions. Systems change them; they read no
clock and do no input or output. Times are seconds on the agent's clock.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from functools import singledispatch
from typing import NamedTuple

import msgspec

from .capacity import DrainRate, EngineModel
from .messages import AnyMessage, Chunk, ClaimState, Commit, Ended
from .prefix import PrefixIndex
from .queueing import Hold, HoldQueue, Lane
from .verdict import Reason


@dataclass(slots=True)
class AgentPolicy:
    """Limits and times of an agent. Seconds, bytes or counts.

    Attributes:
        grant_lease_s: How long a grant may be used.
        queue_limit: Holds kept; beyond it the lowest tier's newest is displaced.
        short_cost: Cost up to which a request counts as short; see `Hold.cost`.
        retention_s: How long runs, claims and tombstones are remembered.
        answer_bytes: Memory for kept answers; the oldest ended ones go first.
        reader_window: Bytes sent to an entry ahead of its acknowledgement.
        strict_dispatch_s: Time from commit to dispatch beyond which it is undone.
    """

    grant_lease_s: float = 1.0
    queue_limit: int = 2000
    short_cost: float = 160.0
    retention_s: float = 600.0
    answer_bytes: int = 8 << 20
    reader_window: int = 256 << 10
    strict_dispatch_s: float = 2.0
    decline_pause_s: float = 0.05
    orphan_s: float = 30.0


@dataclass(slots=True)
class GrantRow:
    """Room promised to one hold."""

    hold: Hold
    number: int
    expires: float
    cached_tokens: int


@dataclass(slots=True)
class Reader:
    """An entry that takes a run's chunks; both numbers count chunks."""

    sent: int = 0
    acked: int = 0
    told_end: bool = False


@dataclass(slots=True)
class RunRow:
    """A request that was committed here.

    Attributes:
        chunks: Chunks kept, the first of which has number `base`.
        kept_bytes: Bytes of the kept chunks.
        ahead: Chunks that came out of order, by number.
    """

    rid: str
    number: int
    accepted: float
    deadline: float
    hold: Hold
    cached_tokens: int
    chunks: deque[Chunk] = field(default_factory=deque)
    base: int = 0
    kept_bytes: int = 0
    ahead: dict[int, Chunk] = field(default_factory=dict)
    end: Ended | None = None
    readers: dict[str, Reader] = field(default_factory=dict)
    orphaned: float | None = None

    @property
    def next_chunk(self) -> int:
        """Number of the chunk expected next from the engine."""
        return self.base + len(self.chunks)


@dataclass(slots=True)
class ClaimRow:
    """What this agent, as owner of a key, knows of it.

    Attributes:
        ran: Whether the bound agent itself said that it ran the request.
        others: Further agents that entries committed the request to, known after a
            restart; each must be refuted before the key is free.
    """

    state: ClaimState
    entry: str
    touched: float
    ran: bool = False
    others: list[ClaimState] = field(default_factory=list)


@dataclass(slots=True)
class Rebuild:
    """Progress of an owner that restarted and asks its peers for its keys."""

    waiting: set[str]
    silent: set[str] = field(default_factory=set)
    young_entries: bool = False
    done: bool = False


class StartRun(NamedTuple):
    """Dispatch a request to the engine."""

    commit: Commit
    tier: int
    short: bool


class CancelRun(NamedTuple):
    """Cancel a run at the engine."""

    rid: str


class ResumeRun(NamedTuple):
    """Look a run of an earlier agent up at the engine and take it over."""

    rid: str
    entry: str
    from_chunk: int


EngineAction = StartRun | CancelRun | ResumeRun


class EngineChunk(msgspec.Struct, frozen=True):
    """Engine adapter to core: a numbered piece of an answer."""

    chunk: Chunk


class EngineEnded(msgspec.Struct, frozen=True):
    """Engine adapter to core: no more chunks will come."""

    rid: str
    whole: bool
    chunks: int
    reason: Reason | None = None
    prefill_tokens: int = 0
    cached_tokens: int = 0


class EngineNotRun(msgspec.Struct, frozen=True):
    """Engine adapter to core: proof that the engine did not take the request.

    Attributes:
        unreachable: Whether nobody listened at the engine's address.
    """

    rid: str
    unreachable: bool = False


class EngineReachable(msgspec.Struct, frozen=True):
    """Engine adapter to core: an engine that was out of reach answers again."""


class EngineResumed(msgspec.Struct, frozen=True):
    """Engine adapter to core: whether the engine knows an earlier agent's run."""

    rid: str
    entry: str
    found: bool
    from_chunk: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Engine adapter to core: a change of the engine's prefix cache."""

    number: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class ProbeSample(msgspec.Struct, frozen=True):
    """Engine adapter to core: speed measured by a probe; ``None`` if it failed."""

    prefill_rate: float | None
    gap: float | None


class PeerUp(msgspec.Struct, frozen=True):
    """Link to core: a peer said hello."""

    role: str
    incarnation: int
    age_s: float = 0.0


class PeerDown(msgspec.Struct, frozen=True):
    """Link to core: the link to a peer was lost."""


@dataclass(slots=True)
class AgentCounters:
    """Monotone counts for metrics."""

    holds: int = 0
    grants: int = 0
    declined: int = 0
    displaced: int = 0
    hopeless: int = 0
    commits: int = 0
    refused: int = 0
    fenced: int = 0
    whole: int = 0
    broken: int = 0
    cancelled: int = 0
    cache_gaps: int = 0
    unknown_messages: int = 0


@dataclass(slots=True)
class AgentWorld:
    """All tables of one agent."""

    name: str
    incarnation: int
    model: EngineModel
    prefix: PrefixIndex
    policy: AgentPolicy = field(default_factory=AgentPolicy)
    started: float = 0.0
    now: float = 0.0
    leaving: bool = False
    drained: bool = False
    unreachable: bool = False
    busy_until: float = 0.0
    busy_s: float = 0.0
    drain: DrainRate = field(default_factory=DrainRate)
    holds: dict[str, Hold] = field(default_factory=dict)
    queue: HoldQueue = field(default_factory=HoldQueue)
    last_seen: dict[tuple[int, Lane], float] = field(default_factory=dict)
    unanswered: list[Hold] = field(default_factory=list)
    paused: list[tuple[float, str]] = field(default_factory=list)
    grants: dict[str, GrantRow] = field(default_factory=dict)
    grant_number: int = 0
    runs: dict[str, RunRow] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    forget: list[tuple[float, str, str]] = field(default_factory=list)
    kept_bytes: int = 0
    ended_order: deque[str] = field(default_factory=deque)
    fresh: set[str] = field(default_factory=set)
    entries: dict[str, int] = field(default_factory=dict)
    claims: dict[str, ClaimRow] = field(default_factory=dict)
    claim_number: int = 0
    rebuild: Rebuild | None = None
    deferred_claims: list[tuple[str, AnyMessage]] = field(default_factory=list)
    floor_tier: int | None = None
    floor_until: float = 0.0
    floor_by: str = ""
    counters: AgentCounters = field(default_factory=AgentCounters)
    outbox: list[tuple[str, AnyMessage]] = field(default_factory=list)
    actions: list[EngineAction] = field(default_factory=list)

    def send(self, peer: str, message: AnyMessage) -> None:
        """Queue a message for a peer; it leaves at the end of the tick."""
        self.outbox.append((peer, message))

    def remember_until(self, table: str, key: str) -> None:
        """Schedule a row to be forgotten after the retention time."""
        heapq.heappush(self.forget, (self.now + self.policy.retention_s, table, key))

    def fence(self, rid: str, number: int) -> None:
        """Make sure that no grant of a request up to `number` will ever run."""
        if number > self.fences.get(rid, -1):
            self.fences[rid] = number
            self.remember_until("fences", rid)

    @property
    def closed(self) -> bool:
        """Whether no new work may start here."""
        return self.leaving or self.drained or self.unreachable

    @property
    def active(self) -> int:
        """Slots in use: dispatched runs and outstanding grants."""
        return len(self.model.runs) + len(self.grants)


@singledispatch
def receive(message: object, world: AgentWorld, peer: str) -> None:
    """Apply one message to the tables; one without a handler is counted."""
    del message, peer
    world.counters.unknown_messages += 1
