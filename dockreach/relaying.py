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
    Relay,
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
        runs=_committed(world),
        last=not from_owner,
    )
    world.send(peer, reply)
    if not from_owner:
        return
    linked = {name for name, row in world.agents.items() if row.linked}
    linked.discard(message.owner)
    asked = linked | set(world.entries)
    silent = set(world.declarations.endpoints) - linked - world.gone - {message.owner}
    world.relays[message.owner] = Relay(message.incarnation, asked, silent)
    for name in sorted(asked):
        world.send(name, message)
    _finish(world, message.owner)


@receive.register
def _(message: RebuildReply, world: EntryWorld, peer: str) -> None:
    relay = world.relays.get(message.owner)
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
    relay.waiting.discard(peer)
    _finish(world, message.owner)


def lose_peer(world: EntryWorld, peer: str) -> None:
    """Stop waiting for the replies of a peer whose link was lost."""
    for owner, relay in list(world.relays.items()):
        if peer in relay.waiting:
            relay.waiting.discard(peer)
            relay.silent.add(peer)
            _finish(world, owner)


def _finish(world: EntryWorld, owner: str) -> None:
    relay = world.relays[owner]
    if relay.waiting:
        return
    del world.relays[owner]
    reply = RebuildReply(
        owner=owner,
        incarnation=relay.incarnation,
        peer=world.name,
        silent=tuple(sorted(relay.silent)),
        last=True,
    )
    world.send(owner, reply)


def _committed(world: EntryWorld) -> tuple[KnownRun, ...]:
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
    lose_peer(world, peer)
