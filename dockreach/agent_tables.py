"""The tables of an agent, its messages with the adapter, and its engine actions.

The tables hold all state that the agent's decisions depend on. Systems (functions over
the tables) change them; they read no clock and do no input or output. Times are seconds
on the agent's clock.
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
    """Limits and timeouts of an agent, in seconds, bytes or counts.

    Attributes:
        grant_lease_s: How long a grant is valid.
        queue_limit: Maximum number of queued holds; beyond it the newest hold of the
            lowest tier is displaced.
        max_short_cost: Maximum cost of a short request; see `Hold.cost`.
        retention_s: How long ended runs, claims and fences are kept.
        max_answer_bytes: Memory for stored answers; those that ended first are dropped
            first.
        reader_window_bytes: Bytes sent to an entry beyond those that it has acknowledged.
        max_dispatch_delay_s: Maximum time from commit to dispatch; a later run is not
            dispatched.
        decline_pause_s: Delay before a declined hold is queued again; it doubles with
            each decline.
        orphan_timeout_s: Minimum time that a run without readers continues; it is not
            cancelled before its deadline either.
    """

    grant_lease_s: float = 1.0
    queue_limit: int = 2000
    max_short_cost: float = 160.0
    retention_s: float = 600.0
    max_answer_bytes: int = 8 << 20
    reader_window_bytes: int = 256 << 10
    max_dispatch_delay_s: float = 2.0
    decline_pause_s: float = 0.05
    orphan_timeout_s: float = 30.0


@dataclass(slots=True)
class GrantRow:
    """A grant: a slot reserved for one hold until the lease expires."""

    hold: Hold
    number: int
    expires_at: float
    cached_tokens: int


@dataclass(slots=True)
class Reader:
    """How far a run's answer was delivered to one entry.

    Attributes:
        sent: Number of the next chunk to send.
        acked: Number up to which, exclusive, the entry has acknowledged the chunks.
        end_sent: Whether the end of the run was sent.
    """

    sent: int = 0
    acked: int = 0
    end_sent: bool = False


@dataclass(slots=True)
class RunRow:
    """A request that was committed to this agent.

    Attributes:
        chunks: Stored chunks of the answer; the first one has number `first_kept`.
        kept_bytes: Size of the stored chunks.
        out_of_order: Chunks received out of order, by number.
        orphaned_at: When the last reader was lost; ``None`` while there is one.
    """

    rid: str
    number: int
    accepted_at: float
    deadline: float
    hold: Hold
    cached_tokens: int
    chunks: deque[Chunk] = field(default_factory=deque)
    first_kept: int = 0
    kept_bytes: int = 0
    out_of_order: dict[int, Chunk] = field(default_factory=dict)
    end: Ended | None = None
    readers: dict[str, Reader] = field(default_factory=dict)
    orphaned_at: float | None = None

    @property
    def next_chunk(self) -> int:
        """Return the number of the next chunk expected from the engine."""
        return self.first_kept + len(self.chunks)


@dataclass(slots=True)
class ClaimRow:
    """The claim on an idempotency key that this agent owns.

    Attributes:
        state: The current claim, and the agent bound to the key, if any.
        entry: The entry that made the claim; empty if it was rebuilt from a peer.
        ran: Whether the bound agent itself reported that it ran the request.
        other_bindings: Further agents that entries committed the request to, known from
            a rebuild; each must be refuted (proved not to have run the request) before
            the key is free again.
    """

    state: ClaimState
    entry: str
    last_used_at: float
    ran: bool = False
    other_bindings: list[ClaimState] = field(default_factory=list)


@dataclass(slots=True)
class Rebuild:
    """Progress of a restarted key owner that asks its peers for its claims.

    Attributes:
        pending: Entries that have not answered completely.
        silent: Agents that an entry could not ask.
        has_recent_entries: Whether an entry started less than the retention time ago.
        done: Whether all linked entries have answered.
    """

    pending: set[str]
    silent: set[str] = field(default_factory=set)
    has_recent_entries: bool = False
    done: bool = False


class StartRun(NamedTuple):
    """Engine action: dispatch a request."""

    commit: Commit
    tier: int
    short: bool


class CancelRun(NamedTuple):
    """Engine action: cancel a run."""

    rid: str


class ResumeRun(NamedTuple):
    """Engine action: look up a run of an earlier incarnation and take it over."""

    rid: str
    entry: str
    from_chunk: int


EngineAction = StartRun | CancelRun | ResumeRun


class EngineChunk(msgspec.Struct, frozen=True):
    """Engine adapter to core: one numbered chunk of an answer."""

    chunk: Chunk


class EngineEnded(msgspec.Struct, frozen=True):
    """Engine adapter to core: the run has ended; no more chunks follow."""

    rid: str
    whole: bool
    chunks: int
    reason: Reason | None = None
    prefill_tokens: int = 0
    cached_tokens: int = 0


class EngineNotRun(msgspec.Struct, frozen=True):
    """Engine adapter to core: proof that the engine did not run the request.

    Attributes:
        unreachable: Whether no process listened at the engine's address.
    """

    rid: str
    unreachable: bool = False


class EngineReachable(msgspec.Struct, frozen=True):
    """Engine adapter to core: an unreachable engine accepts connections again."""


class EngineResumed(msgspec.Struct, frozen=True):
    """Engine adapter to core: whether the engine knows a run of an earlier incarnation."""

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
    """Engine adapter to core: speed measured by a probe; ``None`` where not measured."""

    prefill_rate: float | None
    gap: float | None


class PeerUp(msgspec.Struct, frozen=True):
    """Link to core: the link to a peer is up."""

    role: str
    incarnation: int
    age_s: float = 0.0


class PeerDown(msgspec.Struct, frozen=True):
    """Link to core: the link to a peer was lost."""


@dataclass(slots=True)
class AgentCounters:
    """Monotonic counters; each is exported as a metric under its field name.

    Attributes:
        hopeless: Holds rejected early because they would miss their deadline.
        whole: Runs that ended with a complete answer.
        broken: Runs that ended without one.
        cache_gaps: Times that cache events of the engine were missed.
    """

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
    """All tables of one agent.

    Attributes:
        holds: Holds by request id, queued, paused or granted.
        last_hold_at: When the last hold of each tier and lane was received.
        awaiting_offer: New holds whose entry has neither an offer nor a grant yet.
        paused_holds: Declined holds that wait to be queued again, ordered by time (a heap).
        fences: The highest fenced grant number of each request; no grant up to it runs.
        expiry_queue: Rows to delete, as expiry time, table and key (a heap).
        ended_runs: Ids of the ended runs, the oldest first.
        updated_runs: Ids of the runs that have something to deliver.
        entries: Incarnation of each entry that has linked.
        floor_tier: Lowest tier accepted until `floor_until`; ``None`` for all.
        floor_sender: The peer that sent the floor.
    """

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
    backoff_until: float = 0.0
    backoff_s: float = 0.0
    drain_rate: DrainRate = field(default_factory=DrainRate)
    holds: dict[str, Hold] = field(default_factory=dict)
    queue: HoldQueue = field(default_factory=HoldQueue)
    last_hold_at: dict[tuple[int, Lane], float] = field(default_factory=dict)
    awaiting_offer: list[Hold] = field(default_factory=list)
    paused_holds: list[tuple[float, str]] = field(default_factory=list)
    grants: dict[str, GrantRow] = field(default_factory=dict)
    grant_number: int = 0
    runs: dict[str, RunRow] = field(default_factory=dict)
    fences: dict[str, int] = field(default_factory=dict)
    expiry_queue: list[tuple[float, str, str]] = field(default_factory=list)
    kept_bytes: int = 0
    ended_runs: deque[str] = field(default_factory=deque)
    updated_runs: set[str] = field(default_factory=set)
    entries: dict[str, int] = field(default_factory=dict)
    claims: dict[str, ClaimRow] = field(default_factory=dict)
    claim_number: int = 0
    rebuild: Rebuild | None = None
    deferred_claims: list[tuple[str, AnyMessage]] = field(default_factory=list)
    floor_tier: int | None = None
    floor_until: float = 0.0
    floor_sender: str = ""
    counters: AgentCounters = field(default_factory=AgentCounters)
    outbox: list[tuple[str, AnyMessage]] = field(default_factory=list)
    actions: list[EngineAction] = field(default_factory=list)

    def send(self, peer: str, message: AnyMessage) -> None:
        """Queue a message for a peer; it is sent at the end of the tick."""
        self.outbox.append((peer, message))

    def schedule_expiry(self, table: str, key: str) -> None:
        """Schedule a row for deletion after the retention time."""
        heapq.heappush(self.expiry_queue, (self.now + self.policy.retention_s, table, key))

    def fence(self, rid: str, number: int) -> None:
        """Fence a request: no grant of it with a number up to `number` may ever run."""
        if number > self.fences.get(rid, -1):
            self.fences[rid] = number
            self.schedule_expiry("fences", rid)

    @property
    def closed(self) -> bool:
        """Return whether no new work may start here."""
        return self.leaving or self.drained or self.unreachable

    @property
    def slots_in_use(self) -> int:
        """Return the number of slots in use by dispatched runs and outstanding grants."""
        return len(self.model.runs) + len(self.grants)


@singledispatch
def receive(message: object, world: AgentWorld, peer: str) -> None:
    """Apply one message to the tables; messages without a handler are only counted."""
    del message, peer
    world.counters.unknown_messages += 1
