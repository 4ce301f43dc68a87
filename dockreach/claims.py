"""Agent systems that own idempotency keys: at most one agent is bound to each key.

An entry claims the key of a request at the key's owner before it places the request, and
binds the key to one agent before it commits. The owner is chosen by rendezvous hashing
over the declared endpoints, so every entry asks the same one. It keeps its claims in
memory. After a restart it asks its peers what they ran or committed (a rebuild), and
answers no claim before they have replied.
"""

from __future__ import annotations

from .agent_tables import AgentWorld, ClaimRow, PeerUp, Rebuild, receive
from .messages import (
    AnyMessage,
    Bind,
    BindReply,
    Claim,
    ClaimReply,
    ClaimState,
    KnownRun,
    RebuildAsk,
    RebuildReply,
)

KEYED_PREFIX = "k-"
"""Prefix of the ids of requests with an idempotency key."""


def is_keyed(rid: str) -> bool:
    """Return whether a request id was derived from an idempotency key."""
    return rid.startswith(KEYED_PREFIX)


NUMBERS_PER_INCARNATION = 1 << 20
"""Number of claim numbers reserved for each incarnation of an owner."""


def next_claim_number(world: AgentWorld) -> int:
    """Return a claim number that no incarnation of this owner has used before."""
    world.claim_number += 1
    return world.incarnation * NUMBERS_PER_INCARNATION + world.claim_number


@receive.register
def _(message: Claim, world: AgentWorld, peer: str) -> None:
    if not _is_rebuilt(world):
        world.deferred_claims.append((peer, message))
        return
    row = world.claims.get(message.rid)
    if row is None:
        _new_claim(world, message, peer)
        return
    row.last_used_at = world.now
    if row.state.digest and row.state.digest != message.digest:
        reply = ClaimReply(rid=message.rid, state=row.state, mismatch=True)
        world.send(peer, reply)
        return
    if message.refuted == row.state.number and row.other_bindings:
        row.state = row.other_bindings.pop()
    elif not row.state.agent or message.refuted == row.state.number:
        _supersede(world, row, message, peer)
    world.send(peer, ClaimReply(rid=message.rid, state=row.state))


def _supersede(world: AgentWorld, row: ClaimRow, message: Claim, peer: str) -> None:
    """Give the claim to a later attempt, because no agent is bound or it was refuted."""
    if row.entry not in ("", peer):
        world.send(row.entry, BindReply(rid=message.rid, ok=False))
    row.state = ClaimState(number=next_claim_number(world), digest=message.digest)
    row.entry = peer
    row.ran = False


def _new_claim(world: AgentWorld, message: Claim, peer: str) -> None:
    state = ClaimState(number=next_claim_number(world), digest=message.digest)
    certain = not may_have_lost_claim(world)
    if certain:
        world.claims[message.rid] = ClaimRow(state, peer, world.now)
        world.schedule_expiry("claims", message.rid)
    world.send(peer, ClaimReply(rid=message.rid, state=state, certain=certain))


@receive.register
def _(message: Bind, world: AgentWorld, peer: str) -> None:
    row = world.claims.get(message.rid)
    if row is None:
        world.send(peer, BindReply(rid=message.rid, ok=False))
        return
    current = row.entry == peer and row.state.number == message.number
    ok = current and not row.state.agent
    if ok:
        row.last_used_at = world.now
        row.state = ClaimState(
            number=message.number,
            agent=message.agent,
            incarnation=message.incarnation,
            digest=row.state.digest,
        )
    world.send(peer, BindReply(rid=message.rid, ok=ok, state=row.state))


@receive.register
def _(message: RebuildAsk, world: AgentWorld, peer: str) -> None:
    """Report to a restarted owner, through the asking entry, which keys ran here."""
    runs = tuple(
        KnownRun(rid, world.name, world.incarnation, ran=True)
        for rid in world.runs
        if is_keyed(rid)
    )
    reply = RebuildReply(
        owner=message.owner,
        incarnation=message.incarnation,
        peer=world.name,
        runs=runs,
        last=True,
    )
    world.send(peer, reply)


@receive.register
def _(message: RebuildReply, world: AgentWorld, peer: str) -> None:
    rebuild = world.rebuild
    if rebuild is None or message.incarnation != world.incarnation:
        return
    for known in message.runs:
        _merge_known_run(world, known)
    rebuild.silent.update(message.silent)
    if message.last:
        rebuild.pending.discard(peer)


def _merge_known_run(world: AgentWorld, known: KnownRun) -> None:
    """Merge a run that a peer knows of into the claims.

    What an agent reports as run takes precedence over what an entry committed.
    """
    row = world.claims.get(known.rid)
    if row is not None and (row.ran or row.entry):
        return
    state = ClaimState(next_claim_number(world), known.agent, known.incarnation)
    if row is None or known.ran:
        world.claims[known.rid] = ClaimRow(state, "", world.now, ran=known.ran)
        world.schedule_expiry("claims", known.rid)
        return
    known_bindings = {
        (item.agent, item.incarnation) for item in [row.state, *row.other_bindings]
    }
    if (known.agent, known.incarnation) not in known_bindings:
        row.other_bindings.append(state)


def begin_rebuild(world: AgentWorld) -> None:
    """Start a rebuild: ask all linked entries. Called once links are up."""
    world.rebuild = Rebuild(pending=set(world.entries))
    ask = RebuildAsk(owner=world.name, incarnation=world.incarnation)
    for entry in world.entries:
        world.send(entry, ask)


def handle_entry_up(world: AgentWorld, peer: str, hello: PeerUp) -> None:
    """Ask an entry that links after the rebuild began, and record a recent start of it."""
    rebuild = world.rebuild
    if rebuild is None:
        return
    if hello.age_s < world.policy.retention_s:
        rebuild.has_recent_entries = True
    rebuild.pending.add(peer)
    ask = RebuildAsk(owner=world.name, incarnation=world.incarnation)
    world.send(peer, ask)


def finish_rebuild(world: AgentWorld) -> None:
    """System: answer the deferred claims once all linked entries have replied."""
    rebuild = world.rebuild
    if rebuild is None or rebuild.done:
        return
    rebuild.pending &= set(world.entries)
    if rebuild.pending:
        return
    rebuild.done = True
    deferred: list[tuple[str, AnyMessage]] = world.deferred_claims
    world.deferred_claims = []
    for peer, message in deferred:
        receive(message, world, peer)


def _is_rebuilt(world: AgentWorld) -> bool:
    return world.rebuild is not None and world.rebuild.done


def may_have_lost_claim(world: AgentWorld) -> bool:
    """Return whether a previous incarnation may have bound a key that is unknown here.

    The state of that incarnation is lost, but the agents that ran requests and the
    entries that committed them still know. A run can be unknown to all only if some of
    each are missing too: an entry could not ask some agents, and an entry has started
    within the retention time.
    """
    if world.now - world.started > world.policy.retention_s:
        return False
    rebuild = world.rebuild
    if rebuild is None:
        return True
    return bool(rebuild.silent) and rebuild.has_recent_entries
