"""Entry systems that help a restarted owner of idempotency keys to rebuild its claims.

The owner keeps its claims in memory only, so a restart loses them. It then sends a
`RebuildAsk` to each entry it is linked to. The entry replies with the keyed requests
that it committed itself, and relays the question to its agents and to the other entries.
"""

from __future__ import annotations

from .claims import is_keyed
from .entry_tables import (
    EntryDown,
    EntryUp,
    EntryWorld,
    RebuildRelay,
    RequestRow,
    receive,
)
from .messages import KnownRun, RebuildAsk, RebuildReply


@receive.register
def _(message: RebuildAsk, world: EntryWorld, peer: str) -> None:
    from_owner = peer == message.owner
    reply = RebuildReply(
        owner=message.owner,
        incarnation=message.incarnation,
        peer=world.name,
        runs=_committed_runs(world),
        last=not from_owner,
    )
    world.send(peer, reply)
    if not from_owner:
        return
    linked = {name for name, row in world.agents.items() if row.linked}
    linked.discard(message.owner)
    asked = linked | set(world.entries)
    silent = (
        set(world.declarations.endpoints) - linked - world.removed_agents - {message.owner}
    )
    world.rebuild_relays[message.owner] = RebuildRelay(message.incarnation, asked, silent)
    for name in sorted(asked):
        world.send(name, message)
    _finish_if_complete(world, message.owner)


@receive.register
def _(message: RebuildReply, world: EntryWorld, peer: str) -> None:
    relay = world.rebuild_relays.get(message.owner)
    if relay is None or relay.incarnation != message.incarnation:
        return
    if message.runs:
        relayed = RebuildReply(
            owner=message.owner,
            incarnation=message.incarnation,
            peer=message.peer,
            runs=message.runs,
        )
        world.send(message.owner, relayed)
    relay.pending_peers.discard(peer)
    _finish_if_complete(world, message.owner)


def remove_peer(world: EntryWorld, peer: str) -> None:
    """Stop waiting for the replies of a peer whose link was lost."""
    for owner, relay in list(world.rebuild_relays.items()):
        if peer in relay.pending_peers:
            relay.pending_peers.discard(peer)
            relay.silent_agents.add(peer)
            _finish_if_complete(world, owner)


def _finish_if_complete(world: EntryWorld, owner: str) -> None:
    relay = world.rebuild_relays[owner]
    if relay.pending_peers:
        return
    del world.rebuild_relays[owner]
    reply = RebuildReply(
        owner=owner,
        incarnation=relay.incarnation,
        peer=world.name,
        silent=tuple(sorted(relay.silent_agents)),
        last=True,
    )
    world.send(owner, reply)


def _committed_runs(world: EntryWorld) -> tuple[KnownRun, ...]:
    rows: list[RequestRow] = [*world.requests.values(), *world.ended]
    return tuple(
        KnownRun(rid=req.rid, agent=req.agent, incarnation=req.incarnation)
        for req in rows
        if is_keyed(req.rid) and req.agent and req.attempts
    )


@receive.register
def _(message: EntryUp, world: EntryWorld, peer: str) -> None:
    world.entries[peer] = message.age_s


@receive.register
def _(message: EntryDown, world: EntryWorld, peer: str) -> None:
    del message
    world.entries.pop(peer, None)
    remove_peer(world, peer)
