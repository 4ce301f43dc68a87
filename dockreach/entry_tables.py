"""The tables of an entry.

They hold all state of the entry's decisions. Systems change them; they read no clock
and do no input or output. Times are seconds on the entry's clock.
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
from .history import History
from .limits import LimitTable
from .messages import AnyMessage, Chunk, Ended, Grant
from .verdict import Reason, Refusal, Verdict


class Phase(enum.StrEnum):
    """Where a request stands at its entry."""

    WAITING = "waiting"
    """Held at agents; nothing was committed, or all commits are proved not run."""

    BINDING = "binding"
    """A grant was chosen; the key's owner is asked to bind it."""

    COMMITTED = "committed"
    """The body was sent to one agent, or the request attached to a run there."""

    UNCLEAR = "unclear"
    """The link to the committed agent was lost; nobody knows yet."""

    DONE = "done"
    """The caller has its whole answer or a refusal."""


class Step(NamedTuple):
    """One decision about a request, kept for the operators' ``why``.

    Attributes:
        at: Seconds on the entry's clock.
        event: What was decided.
        peer: The agent concerned; empty if none.
        detail: The figures that spoke for it.
    """

    at: float
    event: str
    peer: str = ""
    detail: str = ""


MAX_STEPS = 48
"""Decisions kept of one request."""


class OfferRow(NamedTuple):
    """An agent's estimate for a request. Seconds; `starts` is on the entry's clock."""

    starts: float
    prefill_s: float
    total_s: float


@dataclass(slots=True)
class RequestRow:
    """One request of a caller.

    Attributes:
        caller: Number of the caller that waits for it.
        asked: Agents that hold the request.
        heard: Agents that have answered a hold, in whatever way.
        settle_at: Until when a choice waits for the other agents asked.
        turned_away: Agents that dropped the hold, and why.
        claim: Number of the claim on the key; ``None`` until the owner has answered.
        binding: Number of the binding that the commit, or the attachment, relies on.
        refuted: Number of a binding whose agent proved that it did not run it.
        ahead: Chunks that came out of order, by number.
        ready: Chunks that the caller has not yet taken.
        first_chunk: When the first chunk came.
    """

    rid: str
    organisation: str
    tier: int
    share: float
    pool: str
    deadline: float
    arrived: float
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
    asked: set[str] = field(default_factory=set)
    heard: set[str] = field(default_factory=set)
    settle_at: float = 0.0
    turned_away: dict[str, Reason] = field(default_factory=dict)
    retry_ms: int = 0
    offers: dict[str, OfferRow] = field(default_factory=dict)
    grants: dict[str, Grant] = field(default_factory=dict)
    claim: int | None = None
    binding: int = 0
    refuted: int = 0
    agent: str = ""
    incarnation: int = 0
    number: int = 0
    attempts: int = 0
    widen_at: float = 0.0
    widen_step: int = 0
    unclear_until: float = 0.0
    next_chunk: int = 0
    taken: int = 0
    taken_bytes: int = 0
    acked: int = 0
    ahead: dict[int, Chunk] = field(default_factory=dict)
    ready: deque[Chunk] = field(default_factory=deque)
    first_chunk: float | None = None
    end: Ended | None = None
    refusal: Refusal | None = None
    finished: float = 0.0
    steps: list[Step] = field(default_factory=list)

    @property
    def waiting(self) -> bool:
        """Whether nothing was committed for the request."""
        return self.phase in (Phase.WAITING, Phase.BINDING)


@dataclass(slots=True)
class AgentRow:
    """An agent that this entry knows.

    Attributes:
        linked: Whether its link is up and its heartbeats come.
        leaving: Whether it or its VM said that it leaves, or that it is not ready.
        closed_until: Until when it is not asked again, having taken no new work.
    """

    name: str
    pool: str
    hall: str
    incarnation: int
    linked: bool = True
    leaving: bool = False
    closed_until: float = 0.0
    age_s: float = 0.0


@dataclass(slots=True)
class EntryPolicy:
    """Limits and times of an entry. Seconds, bytes or counts.

    Attributes:
        ask_all_up_to: Pools of this size are asked whole.
        first_asked: Agents asked first in a larger pool.
        settle_s: Wait for the offers of all agents asked, before a grant is taken.
        closed_s: Pause before an agent that took no new work is asked again.
        patience_s: Wait for an agent of the pool to take new work again.
        widen_after_s: Wait for a grant before more agents are asked.
        grace_s: Time past the deadline that a dispatched request may still take.
        unclear_s: Wait for a lost agent before the caller is told.
        waiting_bytes: Memory for the bodies of waiting requests.
        floor_at: Part of that memory at which the floor is raised.
        max_attempts: Dispatches of one request, each but the last proved not run.
        kept_ended: Requests kept for ``why`` after their end.
    """

    ask_all_up_to: int = 8
    first_asked: int = 4
    settle_s: float = 0.02
    closed_s: float = 0.25
    patience_s: float = 2.0
    widen_after_s: float = 0.1
    grace_s: float = 60.0
    unclear_s: float = 5.0
    waiting_bytes: int = 16 << 20
    floor_at: float = 0.75
    floor_lease_s: float = 1.0
    max_attempts: int = 4
    kept_ended: int = 500
    decline_margin: float = 0.8
    ahead_limit: int = 4096


class Admit(msgspec.Struct, frozen=True):
    """Shell to core: a checked request of a caller. Deadline in seconds from now."""

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
    """Shell to core: a caller comes back with the ticket of an earlier try."""

    rid: str
    organisation: str
    tier: int
    pool: str
    deadline_s: float
    agent: str
    incarnation: int
    stream: bool
    caller: int = 0


class Taken(msgspec.Struct, frozen=True):
    """Shell to core: the caller has taken all chunks below `upto`, `size` bytes more."""

    rid: str
    caller: int
    upto: int
    size: int


class CallerGone(msgspec.Struct, frozen=True):
    """Shell to core: the caller left, stalled, or an operator cancels."""

    rid: str
    caller: int
    reason: Reason = Reason.CALLER_GONE


class AgentUp(msgspec.Struct, frozen=True):
    """Link to core: an agent said hello."""

    hall: str
    incarnation: int
    age_s: float = 0.0


class AgentDown(msgspec.Struct, frozen=True):
    """Link to core: the link to an agent was lost or went silent."""


class AgentGone(msgspec.Struct, frozen=True):
    """Membership to core: the platform says that the agent's VM no longer exists."""


class AgentLeaving(msgspec.Struct, frozen=True):
    """Membership to core: the agent or its VM is leaving."""

    leaving: bool


class EntryUp(msgspec.Struct, frozen=True):
    """Link to core: another entry said hello."""

    incarnation: int
    age_s: float


class EntryDown(msgspec.Struct, frozen=True):
    """Link to core: the link to another entry was lost."""


class Configured(msgspec.Struct, frozen=True):
    """Configuration to core: these declarations are in force.

    Attributes:
        settle_s: Time by which every other entry has them too.
    """

    declarations: Declarations
    settle_s: float = 0.0


@dataclass(slots=True)
class EntryCounters:
    """Monotone counts for metrics."""

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
    """Re-dispatches that an entry may spend: a part of what it admits.

    Source: Google, "Site Reliability Engineering", 2016, on client-side retry budgets.
    """

    tokens: float = 10.0
    ceiling: float = 50.0
    earn: float = 0.1

    def admit(self) -> None:
        """Earn a part of a retry for a request admitted."""
        self.tokens = min(self.ceiling, self.tokens + self.earn)

    def spend(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Relay:
    """A restarted owner's question that this entry passes on to its peers."""

    incarnation: int
    waiting: set[str]
    silent: set[str] = field(default_factory=set)


@dataclass(slots=True)
class EntryWorld:
    """All tables of one entry."""

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
    at_agent: dict[str, set[str]] = field(default_factory=dict)
    timers: list[tuple[float, str]] = field(default_factory=list)
    undecided: set[str] = field(default_factory=set)
    to_ack: set[str] = field(default_factory=set)
    ended: deque[RequestRow] = field(default_factory=deque)
    woken: dict[int, RequestRow] = field(default_factory=dict)
    history: History = field(default_factory=History)
    budget: RetryBudget = field(default_factory=RetryBudget)
    floor_tier: int | None = None
    floor_until: float = 0.0
    floor_sent: float = float("-inf")
    relays: dict[str, Relay] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    counters: EntryCounters = field(default_factory=EntryCounters)
    outbox: list[tuple[str, AnyMessage]] = field(default_factory=list)

    def send(self, peer: str, message: AnyMessage) -> None:
        """Queue a message for a peer; it leaves at the end of the tick."""
        self.outbox.append((peer, message))

    def note(self, req: RequestRow, event: str, peer: str = "", detail: str = "") -> None:
        """Record a decision about a request."""
        if len(req.steps) < MAX_STEPS:
            req.steps.append(Step(self.now, event, peer, detail))

    def wake_at(self, when: float, rid: str) -> None:
        """Have the timer system look at a request at a time."""
        heapq.heappush(self.timers, (when, rid))

    def enter_waiting(self, req: RequestRow) -> None:
        """Put a request among the waiting ones, whose bodies count."""
        req.phase = Phase.WAITING
        table = self.waiting.setdefault(req.tier, {})
        if req.rid not in table:
            table[req.rid] = req
            self.waiting_bytes += len(req.body)
        self.undecided.add(req.rid)

    def leave_waiting(self, req: RequestRow) -> None:
        """Take a request out of the waiting ones."""
        table = self.waiting.get(req.tier, {})
        if table.pop(req.rid, None) is not None:
            self.waiting_bytes -= len(req.body)


@singledispatch
def receive(message: object, world: EntryWorld, peer: str) -> None:
    """Apply one message to the tables; one without a handler is counted."""
    del message, peer
    world.counters.unknown_messages += 1
