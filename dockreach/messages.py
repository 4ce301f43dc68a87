"""Messages between the daemons, and their codec.

Each message is an immutable struct with a tag. `msgspec` encodes a batch of them as
MessagePack and checks field types on decoding. Unknown fields are ignored and new
fields have defaults, so that daemons of two releases understand each other.
Times are relative milliseconds, because the clocks of two VMs differ.
"""

from __future__ import annotations

import msgspec

from . import _decoding
from .errors import WireError
from .verdict import Reason, Verdict


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """First message on a link: who the sender is."""

    peer: str
    role: str
    incarnation: int
    hall: str
    age_ms: int = 0


class Heartbeat(Message, frozen=True, tag="beat"):
    """Sent when a link is quiet; carries what a peer must know each second."""

    revision: int = 0
    digest: str = ""
    leaving: bool = False
    ready: bool = False


class Hold(Message, frozen=True, tag="hold"):
    """Entry to agent: a request waits at the entry and may be granted room."""

    rid: str
    organisation: str
    tier: int
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    share: float = 1.0
    blocks: tuple[int, ...] = ()


class Offer(Message, frozen=True, tag="offer"):
    """Agent to entry: the estimate for a hold, as of now."""

    rid: str
    cached_tokens: int
    wait_ms: int
    prefill_ms: int
    total_ms: int


class Grant(Message, frozen=True, tag="grant"):
    """Agent to entry: room for one held request, until the lease expires."""

    rid: str
    number: int
    incarnation: int
    lease_ms: int
    cached_tokens: int
    prefill_ms: int
    total_ms: int


class Decline(Message, frozen=True, tag="decline"):
    """Entry to agent: the grant is given back; the hold stays queued."""

    rid: str
    number: int


class Withdraw(Message, frozen=True, tag="withdraw"):
    """Entry to agent: forget the hold and any grant for it.

    Attributes:
        served: Whether another agent runs it.
    """

    rid: str
    served: bool = False


class Displaced(Message, frozen=True, tag="displaced"):
    """Agent to entry: the hold was dropped from the agent's queue."""

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
    """Agent to entry: commit `number` was not run and never will be."""

    rid: str
    number: int
    incarnation: int
    reason: Reason


class Chunk(Message, frozen=True, tag="chunk"):
    """Agent to entry: one numbered piece of the answer, numbers from 0.

    Chunk 0 carries the HTTP status and the content type.
    """

    rid: str
    number: int
    data: bytes
    tokens: int = 0
    status: int = 0
    content_type: str = ""


class Ended(Message, frozen=True, tag="ended"):
    """Agent to entry: the run is over; `chunks` is the count of a whole answer."""

    rid: str
    chunks: int
    whole: bool
    reason: Reason | None = None
    prefill_tokens: int = 0
    cached_tokens: int = 0


class ChunkAck(Message, frozen=True, tag="ack"):
    """Entry to agent: all chunks below `upto` were taken over."""

    rid: str
    upto: int


class Cancel(Message, frozen=True, tag="cancel"):
    """Entry to agent: nobody waits for this answer any more."""

    rid: str
    reason: Reason = Reason.CALLER_GONE


class FenceReply(Message, frozen=True, tag="fenced"):
    """Agent to entry: the verdict on all commits up to grant `number`.

    It answers an `Attach` to a run that is not there: `NOT_RUN` means that it never will
    be, under any of those grants.
    """

    rid: str
    number: int
    incarnation: int
    verdict: Verdict


class Attach(Message, frozen=True, tag="attach"):
    """Entry to agent: send this run's chunks from a number on.

    If the run is not there, the agent fences it and answers with a `FenceReply`.
    """

    rid: str
    incarnation: int
    organisation: str
    from_chunk: int = 0


class Claim(Message, frozen=True, tag="claim"):
    """Entry to the key's owner: this request is about to be placed.

    Attributes:
        refuted: Number of a binding whose agent proved, and fenced, that it did not
            run the request.
    """

    rid: str
    digest: str = ""
    refuted: int = 0


class ClaimState(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an owner knows of one key.

    Attributes:
        number: The claim's number, which no other claim of any owner's life has; a
            later claim supersedes an earlier one.
        agent: The agent bound to the request; empty while unbound.
        incarnation: The bound agent's incarnation.
        digest: A hash of the request's body, to detect reuse of a key.
    """

    number: int = 0
    agent: str = ""
    incarnation: int = 0
    digest: str = ""


class ClaimReply(Message, frozen=True, tag="claimed"):
    """Owner to entry: the claim's number, or the agent already bound."""

    rid: str
    state: ClaimState
    certain: bool = True
    mismatch: bool = False


class Bind(Message, frozen=True, tag="bind"):
    """Entry to owner: under claim `number`, the request goes to this agent."""

    rid: str
    number: int
    agent: str
    incarnation: int


class BindReply(Message, frozen=True, tag="bound"):
    """Owner to entry: the binding that now stands."""

    rid: str
    ok: bool
    state: ClaimState = ClaimState()


class KnownRun(msgspec.Struct, frozen=True, omit_defaults=True):
    """One keyed request that an agent ran or an entry committed.

    Attributes:
        ran: Whether the agent itself says so; this goes before what entries know.
    """

    rid: str
    agent: str
    incarnation: int
    ran: bool = False


class RebuildAsk(Message, frozen=True, tag="rebuild"):
    """A restarted owner asks its peers which of its keys they know."""

    owner: str
    incarnation: int


class RebuildReply(Message, frozen=True, tag="rebuilt"):
    """A peer's answer to `RebuildAsk`, relayed by entries for agents.

    Attributes:
        peer: Who answers.
        runs: The keyed requests that it knows.
        silent: Agents that the relaying entry could not ask.
        last: The sender has nothing more to relay.
    """

    owner: str
    incarnation: int
    peer: str
    runs: tuple[KnownRun, ...] = ()
    silent: tuple[str, ...] = ()
    last: bool = False


class Floor(Message, frozen=True, tag="floor"):
    """Between entries and agents: refuse tiers below `tier` until it expires."""

    tier: int
    lease_ms: int


class ShareAsk(Message, frozen=True, tag="ask"):
    """Entry to entry: lend a part of an organisation's limit."""

    organisation: str
    number: int
    amount: float


class ShareLoan(Message, frozen=True, tag="loan"):
    """Entry to entry: the part lent, which the lender will not use meanwhile.

    The borrower counts the lease from the moment it asked, so that its use ends
    before the lender takes the part back.
    """

    organisation: str
    number: int
    amount: float
    lease_ms: int


class ConfigAsk(Message, frozen=True, tag="config_ask"):
    """Ask a peer for a revision newer than `revision`."""

    revision: int


class ConfigBody(Message, frozen=True, tag="config"):
    """A whole configuration: sent to a peer that is not one revision behind."""

    revision: int
    digest: str
    body: str


class ConfigDelta(Message, frozen=True, tag="config_delta"):
    """The sections changed between two revisions.

    Attributes:
        base: The revision that the receiver must hold.
        changed: Section header and body of each section added or changed.
        removed: Headers of sections that are gone.
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
    """The VM list as a watcher last read it."""

    version: int
    rows: tuple[VmRow, ...]


class QueryAsk(Message, frozen=True, tag="query"):
    """Entry to peer: run an operator's query over the local tables."""

    number: int
    text: str


class QueryRows(Message, frozen=True, tag="rows"):
    """Peer to entry: the rows of a query, each a flat JSON object."""

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
"""Every message that may travel on a link."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AnyMessage])


def encode(batch: list[AnyMessage]) -> bytes:
    """Return the bytes of a batch of messages."""
    return _encoder.encode(batch)


def decode(data: bytes) -> list[AnyMessage]:
    """Return the messages of a batch.

    Raises:
        WireError: The bytes are not a valid batch.
    """
    return _decoding.decode(_decoder, data, WireError)
