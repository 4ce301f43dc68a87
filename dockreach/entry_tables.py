"""The tables of an entry, and the messages that its shell sends to its core.

The tables hold all state that the entry's decisions depend on. The systems listed in
`entry` change them; they read no clock and do no input or output. Times are monotonic
seconds of this entry.
"""

from __future__ import annotations

import enum
import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from functools import singledispatch
from typing import NamedTuple

import msgspec

from .declarations import Declarations
from .limits import LimitTable
from .messages import AnyMessage, Chunk, Ended, Grant
from .outcome_history import OutcomeHistory
from .verdict import Reason, Refusal, Verdict


class Phase(enum.StrEnum):
    """The state of a request at its entry."""

    WAITING = "waiting"
    """Agents hold it in their queues. Nothing was committed, or each commit was proved not
    to have run."""

    BINDING = "binding"
    """A grant was chosen. The owner of the idempotency key is asked to bind the request to
    the agent that sent the grant."""

    COMMITTED = "committed"
    """The body was sent to one agent, or the request was attached to a run there."""

    UNCLEAR = "unclear"
    """The link to the committed agent was lost; whether the request ran is unknown."""

    DONE = "done"
    """The request ended with a complete response or a refusal."""


class Decision(NamedTuple):
    """One decision about a request, kept for the operators' ``why`` query.

    Attributes:
        at: Monotonic time of this entry, in seconds.
        event: What was decided.
        peer: The agent concerned; empty if none.
        detail: The figures that the decision was based on.
    """

    at: float
    event: str
    peer: str = ""
    detail: str = ""


MAX_DECISIONS = 48
"""Decisions kept for one request; later ones are dropped."""


class OfferRow(NamedTuple):
    """An agent's estimate for a request, in seconds; `starts_at` is monotonic time."""

    starts_at: float
    prefill_s: float
    total_s: float


@dataclass(slots=True)
class RequestRow:
    """One request of a caller.

    Attributes:
        caller: Number of the caller that waits for it.
        asked_agents: Agents that hold the request in their queues.
        answered_agents: Agents that have answered a hold with an offer or a grant.
        offers_until: Until when the choice of a grant waits for answers of other agents.
        rejections: Agents that dropped the hold, with their reasons.
        retry_ms: Shortest retry delay that an agent suggested when it dropped the hold.
        claim: Number of the claim on the idempotency key; ``None`` until the key's owner
            has answered.
        binding: Number of the binding that the commit, or the attachment, relies on.
        refuted: Number of a binding whose agent proved that it did not run the request.
        agent: The agent that the request is bound, committed or attached to.
        grant_number: Number of the grant of `agent`.
        widen_at: When agents are asked again; 0 for never.
        widen_step: How often agents were asked; each step doubles the number of agents.
        next_chunk: Number of the next chunk in order.
        delivered_chunks: Chunks that were delivered to the caller.
        unacked_bytes: Bytes delivered to the caller since the last acknowledgement.
        acked_chunks: Delivered chunks that were acknowledged to the agent.
        early_chunks: Chunks that arrived before an earlier one, by number.
        ready_chunks: Chunks in order that were not yet delivered to the caller.
        first_chunk_at: When the first chunk arrived.
    """

    rid: str
    organisation: str
    tier: int
    share: float
    pool: str
    deadline: float
    arrived_at: float
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    caller: int = 0
    keyed: bool = False
    digest: str = ""
    repeatable: bool = True
    phase: Phase = Phase.WAITING
    asked_agents: set[str] = field(default_factory=set)
    answered_agents: set[str] = field(default_factory=set)
    offers_until: float = 0.0
    rejections: dict[str, Reason] = field(default_factory=dict)
    retry_ms: int = 0
    offers: dict[str, OfferRow] = field(default_factory=dict)
    grants: dict[str, Grant] = field(default_factory=dict)
    claim: int | None = None
    binding: int = 0
    refuted: int = 0
    agent: str = ""
    incarnation: int = 0
    grant_number: int = 0
    attempts: int = 0
    widen_at: float = 0.0
    widen_step: int = 0
    unclear_until: float = 0.0
    next_chunk: int = 0
    delivered_chunks: int = 0
    unacked_bytes: int = 0
    acked_chunks: int = 0
    early_chunks: dict[int, Chunk] = field(default_factory=dict)
    ready_chunks: deque[Chunk] = field(default_factory=deque)
    first_chunk_at: float | None = None
    end: Ended | None = None
    refusal: Refusal | None = None
    finished_at: float = 0.0
    decisions: list[Decision] = field(default_factory=list)

    @property
    def is_waiting(self) -> bool:
        """Whether no agent is committed to the request."""
        return self.phase in (Phase.WAITING, Phase.BINDING)


@dataclass(slots=True)
class AgentRow:
    """An agent that this entry knows.

    Attributes:
        linked: Whether its link is up and its heartbeats arrive.
        leaving: Whether the agent or its VM reported that it is leaving or not ready.
        not_asked_until: Until when it is not asked again, because it accepted no new work.
        age_s: Time since the agent's start when the link came up.
    """

    name: str
    pool: str
    hall: str
    incarnation: int
    linked: bool = True
    leaving: bool = False
    not_asked_until: float = 0.0
    age_s: float = 0.0


@dataclass(slots=True)
class EntryPolicy:
    """Limits and timeouts of an entry, in seconds, bytes or counts.

    Attributes:
        max_ask_all: Largest pool of which all agents are asked at once.
        initial_agents: Agents that are asked first in a larger pool.
        offers_wait_s: How long the choice of a grant waits for the answers of all asked
            agents at least.
        offers_wait_fraction: How long it waits in proportion to the cheapest grant.
        max_offers_wait_s: How long it waits at most; a grant's lease is longer.
        reask_delay_s: Delay before an agent that accepted no new work is asked again.
        no_agent_timeout_s: How long a request waits while no agent of its pool accepts new
            work.
        widen_delay_s: How long a request waits for a grant before more agents are asked.
        grace_s: Time past its deadline that a dispatched request may still run.
        unclear_s: How long an entry waits for a committed agent whose link was lost,
            before the caller gets an uncertain refusal.
        waiting_bytes: Memory limit for the bodies of waiting requests.
        floor_fraction: Fraction of that memory above which the floor (the lowest accepted
            tier) is raised.
        floor_lease_s: How long a raised floor holds.
        max_attempts: Dispatches of one request; each but the last was proved not to have
            run.
        max_ended: Ended requests that are kept for the ``why`` query.
        decline_ratio: A grant is declined when the best offer costs less than this
            fraction of it.
        max_early_chunks: Chunks of one response that are kept while an earlier one is
            missing.
    """

    max_ask_all: int = 8
    initial_agents: int = 4
    offers_wait_s: float = 0.02
    offers_wait_fraction: float = 0.05
    max_offers_wait_s: float = 0.3
    reask_delay_s: float = 0.25
    no_agent_timeout_s: float = 2.0
    widen_delay_s: float = 0.1
    grace_s: float = 60.0
    unclear_s: float = 5.0
    waiting_bytes: int = 16 << 20
    floor_fraction: float = 0.75
    floor_lease_s: float = 1.0
    max_attempts: int = 4
    max_ended: int = 500
    decline_ratio: float = 0.8
    max_early_chunks: int = 4096


class Admit(msgspec.Struct, frozen=True):
    """Shell to core: a validated request of a caller; its deadline is relative to now."""

    rid: str
    organisation: str
    tier: int
    pool: str
    deadline_s: float
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    keyed: bool = False
    digest: str = ""
    repeatable: bool = True
    caller: int = 0


class AttachRun(msgspec.Struct, frozen=True):
    """Shell to core: a caller retries with the ticket of an earlier attempt."""

    rid: str
    organisation: str
    tier: int
    pool: str
    deadline_s: float
    agent: str
    incarnation: int
    stream: bool
    caller: int = 0


class ChunksDelivered(msgspec.Struct, frozen=True):
    """Shell to core: all chunks below `upto` were delivered; `size` bytes are new."""

    rid: str
    caller: int
    upto: int
    size: int


class CallerGone(msgspec.Struct, frozen=True):
    """Shell to core: the caller left or stalled, or an operator cancelled the request."""

    rid: str
    caller: int
    reason: Reason = Reason.CALLER_GONE


class AgentUp(msgspec.Struct, frozen=True):
    """Link to core: the link to an agent is up."""

    hall: str
    incarnation: int
    age_s: float = 0.0


class AgentDown(msgspec.Struct, frozen=True):
    """Link to core: the link to an agent was lost or timed out."""


class AgentGone(msgspec.Struct, frozen=True):
    """Membership to core: the platform reports that the agent's VM no longer exists."""


class AgentLeaving(msgspec.Struct, frozen=True):
    """Membership to core: whether the agent or its VM is leaving."""

    leaving: bool


class EntryUp(msgspec.Struct, frozen=True):
    """Link to core: the link to another entry is up."""

    incarnation: int
    age_s: float


class EntryDown(msgspec.Struct, frozen=True):
    """Link to core: the link to another entry was lost."""


class Configured(msgspec.Struct, frozen=True):
    """Configuration to core: these declarations apply from now on.

    Attributes:
        settle_s: Time within which every other entry applies them too.
    """

    declarations: Declarations
    settle_s: float = 0.0


@dataclass(slots=True)
class EntryCounters:
    """Counters since the start; each field becomes a metric under its name."""

    admitted: int = 0
    whole: int = 0
    broken: int = 0
    declined: int = 0
    redispatched: int = 0
    unclear: int = 0
    unknown_messages: int = 0
    refusals: dict[tuple[int, Reason, Verdict], int] = field(default_factory=dict)


@dataclass(slots=True)
class RetryBudget:
    """Budget for dispatching requests again: a fraction of the admitted requests.

    Source: Google, "Site Reliability Engineering", 2016, on client-side retry budgets.

    Attributes:
        tokens: Retries that may be made now.
        max_tokens: Upper limit of `tokens`.
        tokens_per_request: Tokens that each admitted request adds.
    """

    tokens: float = 10.0
    max_tokens: float = 50.0
    tokens_per_request: float = 0.1

    def record_request(self) -> None:
        """Add the tokens of one admitted request."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_request)

    def try_acquire(self) -> bool:
        """Use one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class RebuildRelay:
    """A restarted owner's `RebuildAsk` that this entry relays to its peers.

    Attributes:
        incarnation: The owner's incarnation.
        pending_peers: Peers whose replies are outstanding.
        silent_agents: Agents that could not be asked.
    """

    incarnation: int
    pending_peers: set[str]
    silent_agents: set[str] = field(default_factory=set)


@dataclass(slots=True)
class EntryWorld:
    """All tables of one entry.

    Attributes:
        started: Monotonic start time of the entry.
        now: Monotonic time of the current tick.
        pools: Names of the agents in each pool.
        entries: Age of each linked entry in seconds, as of its hello.
        requests: Requests in progress, by id.
        waiting: Requests without a commit, by tier and id.
        waiting_bytes: Size of their bodies.
        requests_at_agent: Ids of the requests that each agent holds or runs.
        timers: Heap of the times at which requests are checked.
        undecided: Ids of the requests whose grants are examined in this tick.
        to_ack: Ids of the requests with deliveries to acknowledge.
        ended: The last ended requests, the oldest first.
        callers_to_wake: Requests whose callers are woken after this tick, by caller number.
        floor_tier: Lowest tier that is accepted until `floor_until`.
        floor_sent_at: When this entry last sent its floor to its peers.
        removed_agents: Agents whose VMs no longer exist.
    """

    name: str
    incarnation: int
    declarations: Declarations
    limits: LimitTable
    policy: EntryPolicy = field(default_factory=EntryPolicy)
    rng: random.Random = field(default_factory=random.Random)
    started: float = 0.0
    now: float = 0.0
    stopping: bool = False
    agents: dict[str, AgentRow] = field(default_factory=dict)
    pools: dict[str, list[str]] = field(default_factory=dict)
    entries: dict[str, float] = field(default_factory=dict)
    requests: dict[str, RequestRow] = field(default_factory=dict)
    waiting: dict[int, dict[str, RequestRow]] = field(default_factory=dict)
    waiting_bytes: int = 0
    requests_at_agent: dict[str, set[str]] = field(default_factory=dict)
    timers: list[tuple[float, str]] = field(default_factory=list)
    undecided: set[str] = field(default_factory=set)
    to_ack: set[str] = field(default_factory=set)
    ended: deque[RequestRow] = field(default_factory=deque)
    callers_to_wake: dict[int, RequestRow] = field(default_factory=dict)
    history: OutcomeHistory = field(default_factory=OutcomeHistory)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    floor_tier: int | None = None
    floor_until: float = 0.0
    floor_sent_at: float = float("-inf")
    rebuild_relays: dict[str, RebuildRelay] = field(default_factory=dict)
    removed_agents: set[str] = field(default_factory=set)
    counters: EntryCounters = field(default_factory=EntryCounters)
    outbox: list[tuple[str, AnyMessage]] = field(default_factory=list)

    def send(self, peer: str, message: AnyMessage) -> None:
        """Queue a message for a peer; it is sent at the end of the tick."""
        self.outbox.append((peer, message))

    def record_decision(
        self, req: RequestRow, event: str, peer: str = "", detail: str = ""
    ) -> None:
        """Record a decision about a request."""
        if len(req.decisions) < MAX_DECISIONS:
            req.decisions.append(Decision(self.now, event, peer, detail))

    def schedule_check(self, when: float, rid: str) -> None:
        """Have the timer system check a request at the given time."""
        heapq.heappush(self.timers, (when, rid))

    def add_waiting(self, req: RequestRow) -> None:
        """Add a request to the waiting ones; its body counts towards their memory."""
        req.phase = Phase.WAITING
        table = self.waiting.setdefault(req.tier, {})
        if req.rid not in table:
            table[req.rid] = req
            self.waiting_bytes += len(req.body)
        self.undecided.add(req.rid)

    def remove_waiting(self, req: RequestRow) -> None:
        """Remove a request from the waiting ones."""
        table = self.waiting.get(req.tier, {})
        if table.pop(req.rid, None) is not None:
            self.waiting_bytes -= len(req.body)


@singledispatch
def receive(message: object, world: EntryWorld, peer: str) -> None:
    """Apply one message to the tables; a message without a handler is counted."""
    del message, peer
    world.counters.unknown_messages += 1
