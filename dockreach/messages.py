"""Messages between the daemons, and their codec.

Each message is an immutable struct with a tag. `msgspec` encodes a batch of them as
MessagePack and checks field types on decoding. Unknown fields are ignored and new
fields have defaults, so that daemons of different releases can work together.
Times are relative, in milliseconds, because the clocks of two VMs differ.

How a request finds an agent: the entry sends a `Hold` to several agents, which queue it.
They reply with an `Offer` (an estimate) and later with a `Grant` (a reservation for a
short time). The entry chooses one grant, sends a `Commit` to that agent and a `Withdraw`
to the others.

A request with an idempotency key is first claimed at the key's owner, the endpoint that is
chosen for the key by rendezvous hashing. Before a commit, the entry asks the owner to bind
the request to the chosen agent, so that a retry finds the run there and attaches to it.

An incarnation is one run of a daemon's process, from its start to its end. Its number is
higher than those of earlier incarnations.
"""

from __future__ import annotations

import msgspec

from . import _decoding
from .errors import WireError
from .verdict import Reason, Verdict


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """First message on a link, which identifies the sender.

    Attributes:
        peer: The sender's name.
        hall: The sender's data hall.
        age_ms: Time since the sender's start.
    """

    peer: str
    role: str
    incarnation: int
    hall: str
    age_ms: int = 0


class Heartbeat(Message, frozen=True, tag="beat"):
    """Sent on each link every second, and at once when a new configuration applies.

    Attributes:
        revision: The sender's configuration revision; 0 if it has none.
        digest: Hash of that configuration.
        leaving: Whether the sender accepts no new work because it is about to stop.
        ready: Whether the sender may serve.
    """

    revision: int = 0
    digest: str = ""
    leaving: bool = False
    ready: bool = False


class Hold(Message, frozen=True, tag="hold"):
    """Entry to agent: queue this request, which waits at the entry for a grant.

    Attributes:
        tier: The rank of the request's tier; 0 is the highest.
        share: The organisation's weight against other organisations.
        blocks: Hashes of the prompt's blocks, to find cached prefixes.
    """

    rid: str
    organisation: str
    tier: int
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    share: float = 1.0
    blocks: tuple[int, ...] = ()


class Offer(Message, frozen=True, tag="offer"):
    """Agent to entry: the current estimate for a held request.

    Attributes:
        cached_tokens: Prompt tokens in the engine's prefix cache.
        wait_ms: Time until the request may start.
        prefill_ms: Time that its prefill takes.
        total_ms: Time until its response is complete.
    """

    rid: str
    cached_tokens: int
    wait_ms: int
    prefill_ms: int
    total_ms: int


class Grant(Message, frozen=True, tag="grant"):
    """Agent to entry: a slot for one held request, until the lease expires.

    Attributes:
        number: The grant's number, which rises within an incarnation.
        incarnation: The agent's incarnation.
    """

    rid: str
    number: int
    incarnation: int
    lease_ms: int
    cached_tokens: int
    prefill_ms: int
    total_ms: int


class Decline(Message, frozen=True, tag="decline"):
    """Entry to agent: the grant is not used; the hold stays in the queue."""

    rid: str
    number: int


class Withdraw(Message, frozen=True, tag="withdraw"):
    """Entry to agent: drop the hold and any grant for it.

    Attributes:
        served: Whether another agent runs the request.
    """

    rid: str
    served: bool = False


class Displaced(Message, frozen=True, tag="displaced"):
    """Agent to entry: the agent dropped the hold from its queue."""

    rid: str
    reason: Reason
    retry_ms: int = 0


class Commit(Message, frozen=True, tag="commit"):
    """Entry to agent: run this request under this grant, once."""

    rid: str
    number: int
    incarnation: int
    method: str
    path: str
    body: bytes
    deadline_ms: int
    content_type: str = "application/json"
    stream: bool = False


class Refused(Message, frozen=True, tag="refused"):
    """Agent to entry: the commit under grant `number` was not run and never will be."""

    rid: str
    number: int
    incarnation: int
    reason: Reason


class Chunk(Message, frozen=True, tag="chunk"):
    """Agent to entry: one part of the response; chunks are numbered from 0.

    Chunk 0 carries the HTTP status and the content type.
    """

    rid: str
    number: int
    data: bytes
    tokens: int = 0
    status: int = 0
    content_type: str = ""


class Ended(Message, frozen=True, tag="ended"):
    """Agent to entry: the run has ended.

    Attributes:
        chunks: Number of chunks of a complete response.
        whole: Whether the response is complete.
        reason: Why it is not; ``None`` if it is.
    """

    rid: str
    chunks: int
    whole: bool
    reason: Reason | None = None
    prefill_tokens: int = 0
    cached_tokens: int = 0


class ChunkAck(Message, frozen=True, tag="ack"):
    """Entry to agent: the entry needs no chunk below `upto` again."""

    rid: str
    upto: int


class Cancel(Message, frozen=True, tag="cancel"):
    """Entry to agent: the response is no longer needed; stop the run."""

    rid: str
    reason: Reason = Reason.CALLER_GONE


class FenceReply(Message, frozen=True, tag="fenced"):
    """Agent to entry: whether the request may have run under any grant up to `number`.

    This is the reply to an `Attach` to a run that the agent does not have. With the verdict
    `NOT_RUN` the request is fenced: the agent will also refuse later commits under any of
    those grants.
    """

    rid: str
    number: int
    incarnation: int
    verdict: Verdict


class Attach(Message, frozen=True, tag="attach"):
    """Entry to agent: send the chunks of this run, from number `from_chunk` on.

    If the agent does not have the run, it fences the request (refuses all commits under
    grants so far) and replies with a `FenceReply`.
    """

    rid: str
    incarnation: int
    organisation: str
    from_chunk: int = 0


class Claim(Message, frozen=True, tag="claim"):
    """Entry to the owner of an idempotency key: register a request with this key.

    Attributes:
        digest: Hash of the request.
        refuted: Number of a binding whose agent proved that it did not run the request,
            and that it will not.
    """

    rid: str
    digest: str = ""
    refuted: int = 0


class ClaimState(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an owner knows about one idempotency key.

    Attributes:
        number: The claim's number, unique over all incarnations of the owner; a later
            claim replaces an earlier one.
        agent: The agent that the request is bound to; empty while there is none.
        incarnation: The incarnation of that agent.
        digest: Hash of the request, to detect the use of one key for two requests.
    """

    number: int = 0
    agent: str = ""
    incarnation: int = 0
    digest: str = ""


class ClaimReply(Message, frozen=True, tag="claimed"):
    """Owner to entry: the claim's number, or the agent that is already bound.

    Attributes:
        certain: Whether the owner knows all earlier claims. After a restart it may not,
            if some peers could not be asked.
        mismatch: Whether the key was used for a different request.
    """

    rid: str
    state: ClaimState
    certain: bool = True
    mismatch: bool = False


class Bind(Message, frozen=True, tag="bind"):
    """Entry to owner: bind the request to this agent, under claim `number`."""

    rid: str
    number: int
    agent: str
    incarnation: int


class BindReply(Message, frozen=True, tag="bound"):
    """Owner to entry: the current binding.

    Attributes:
        ok: Whether the entry's binding was accepted.
    """

    rid: str
    ok: bool
    state: ClaimState = ClaimState()


class KnownRun(msgspec.Struct, frozen=True, omit_defaults=True):
    """One request with an idempotency key that an agent ran or an entry committed.

    Attributes:
        ran: Whether the agent itself reports it, which overrides what entries report.
    """

    rid: str
    agent: str
    incarnation: int
    ran: bool = False


class RebuildAsk(Message, frozen=True, tag="rebuild"):
    """Sent by a restarted owner: ask peers which of the owner's keys they know."""

    owner: str
    incarnation: int


class RebuildReply(Message, frozen=True, tag="rebuilt"):
    """A peer's reply to `RebuildAsk`; entries relay the replies of their peers.

    Attributes:
        peer: The peer that replies.
        runs: The requests with idempotency keys that it knows.
        silent: Agents that the relaying entry could not ask.
        last: Whether this is the last reply of the sender.
    """

    owner: str
    incarnation: int
    peer: str
    runs: tuple[KnownRun, ...] = ()
    silent: tuple[str, ...] = ()
    last: bool = False


class Floor(Message, frozen=True, tag="floor"):
    """Entry to its peers: refuse requests of tiers below `tier` until the lease expires.

    An entry that runs short of memory sends it, so that lower tiers are refused everywhere
    before higher ones are refused anywhere.
    """

    tier: int
    lease_ms: int


class ShareAsk(Message, frozen=True, tag="ask"):
    """Entry to entry: ask for a part of an organisation's limits.

    Attributes:
        number: Number of the request, which the loan repeats.
        amount: The requested fraction of the limits.
    """

    organisation: str
    number: int
    amount: float


class ShareLoan(Message, frozen=True, tag="loan"):
    """Entry to entry: a lent part, which the lender does not use during the lease.

    The borrower counts the lease from the time of its request, so that it stops before
    the lender uses the part again.
    """

    organisation: str
    number: int
    amount: float
    lease_ms: int


class ConfigAsk(Message, frozen=True, tag="config_ask"):
    """Ask a peer for a revision newer than `revision`."""

    revision: int


class ConfigBody(Message, frozen=True, tag="config"):
    """A complete configuration, for a peer whose revision is unknown or too old."""

    revision: int
    digest: str
    body: str


class ConfigDelta(Message, frozen=True, tag="config_delta"):
    """The sections that changed between two revisions.

    Attributes:
        base: The revision that the receiver must have.
        revision: The new revision.
        digest: Hash of the complete new configuration.
        changed: Text of each added or changed section, by its header.
        removed: Headers of the sections that were removed.
    """

    base: int
    revision: int
    digest: str
    changed: dict[str, str]
    removed: tuple[str, ...] = ()


class VmRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One row of the platform's VM list."""

    vm: str
    address: str
    role: str
    hall: str
    state: str = "live"
    endpoint: str = ""


class VmRows(Message, frozen=True, tag="vms"):
    """The VM list, or a part of it, as an entry last read it from the platform.

    Attributes:
        version: The list's version; a daemon ignores a list that is not newer than its own.
    """

    version: int
    rows: tuple[VmRow, ...]


class QueryAsk(Message, frozen=True, tag="query"):
    """Entry to peer: run an operator's query on the local tables."""

    number: int
    text: str


class QueryRows(Message, frozen=True, tag="rows"):
    """Peer to entry: the result rows of a query, each a flat JSON object."""

    number: int
    peer: str
    rows: tuple[dict[str, str | int | float | bool | None], ...] = ()


AnyMessage = (
    Hello
    | Heartbeat
    | Hold
    | Offer
    | Grant
    | Decline
    | Withdraw
    | Displaced
    | Commit
    | Refused
    | Chunk
    | Ended
    | ChunkAck
    | Cancel
    | FenceReply
    | Attach
    | Claim
    | ClaimReply
    | Bind
    | BindReply
    | RebuildAsk
    | RebuildReply
    | Floor
    | ShareAsk
    | ShareLoan
    | ConfigAsk
    | ConfigBody
    | ConfigDelta
    | VmRows
    | QueryAsk
    | QueryRows
)
"""All messages that may be sent over a link."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AnyMessage])


def encode(batch: list[AnyMessage]) -> bytes:
    """Return the bytes of a batch of messages."""
    return _encoder.encode(batch)


def decode(data: bytes) -> list[AnyMessage]:
    """Return the messages of an encoded batch.

    Raises:
        WireError: The bytes are not a valid batch.
    """
    return _decoding.decode(_decoder, data, WireError)
