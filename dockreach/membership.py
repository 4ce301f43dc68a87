"""Entry systems that track which agents are linked, leaving or removed."""

from __future__ import annotations

from . import placement
from .commitment import attach, mark_unclear
from .entry_tables import (
    AgentDown,
    AgentGone,
    AgentLeaving,
    AgentRow,
    AgentUp,
    Configured,
    EntryWorld,
    Phase,
    RequestRow,
    receive,
)
from .messages import Withdraw


@receive.register
def _(message: AgentUp, world: EntryWorld, peer: str) -> None:
    row = world.agents.get(peer)
    if row is None or row.incarnation != message.incarnation:
        pool = _pool_of(world, peer)
        row = AgentRow(peer, pool, message.hall, message.incarnation)
        world.agents[peer] = row
        _index_pools(world)
    world.removed_agents.discard(peer)
    row.linked = True
    row.leaving = False
    row.age_s = message.age_s
    _drop_holds(world, peer)
    for rid in sorted(world.requests_at_agent.get(peer, set())):
        req = world.requests.get(rid)
        if req is not None and req.phase in (Phase.UNCLEAR, Phase.COMMITTED):
            attach(world, req)
    pool = row.pool
    for table in world.waiting.values():
        for req in [row for row in table.values() if row.pool == pool]:
            req.rejections.pop(peer, None)
            if len(req.asked_agents) < world.policy.initial_agents:
                placement.send_holds(world, req)


@receive.register
def _(message: AgentDown, world: EntryWorld, peer: str) -> None:
    del message
    row = world.agents.get(peer)
    if row is None:
        return
    row.linked = False
    _drop_holds(world, peer)
    for rid in sorted(world.requests_at_agent.get(peer, set())):
        req = world.requests.get(rid)
        if req is not None and req.phase is Phase.COMMITTED and req.agent == peer:
            mark_unclear(world, req)
    _claim_again(world, peer)


def _drop_holds(world: EntryWorld, peer: str) -> None:
    """Drop the holds of an agent; ask other agents where no hold is left."""
    for rid in sorted(world.requests_at_agent.get(peer, set())):
        req = world.requests.get(rid)
        if req is None:
            world.requests_at_agent[peer].discard(rid)
            continue
        if not req.is_waiting:
            continue
        placement.forget_hold(world, req, peer)
        if req.phase is Phase.BINDING and req.agent == peer:
            _return_to_waiting(world, req)
        if not req.asked_agents and req.phase is Phase.WAITING:
            placement.send_holds(world, req)


def _return_to_waiting(world: EntryWorld, req: RequestRow) -> None:
    """Return a request to waiting: its grant was lost before anything was committed."""
    req.agent = ""
    world.add_waiting(req)


def _claim_again(world: EntryWorld, owner: str) -> None:
    """Claim again the keys whose owner was lost before it answered.

    While the owner cannot be reached, this ends the requests with a refusal.
    """
    for table in world.waiting.values():
        for req in list(table.values()):
            if not req.keyed or placement.owner_of(world, req.rid) != owner:
                continue
            if req.claim is None or req.phase is Phase.BINDING:
                placement.claim_key(world, req)


@receive.register
def _(message: AgentGone, world: EntryWorld, peer: str) -> None:
    """Handle an agent whose VM no longer exists, as the platform reports.

    Requests that wait for the agent end at once, without the rest of their waiting time.
    """
    del message
    row = world.agents.get(peer)
    if row is None or row.linked:
        return
    for rid in sorted(world.requests_at_agent.get(peer, set())):
        req = world.requests.get(rid)
        if req is not None and req.phase is Phase.UNCLEAR:
            req.unclear_until = world.now
            world.schedule_check(world.now, rid)
    del world.agents[peer]
    world.removed_agents.add(peer)
    _index_pools(world)


@receive.register
def _(message: AgentLeaving, world: EntryWorld, peer: str) -> None:
    row = world.agents.get(peer)
    if row is None or row.leaving == message.leaving:
        return
    row.leaving = message.leaving
    if not message.leaving:
        return
    for rid in sorted(world.requests_at_agent.get(peer, set())):
        req = world.requests.get(rid)
        if req is None or req.phase is not Phase.WAITING:
            continue
        world.send(peer, Withdraw(rid=rid))
        placement.forget_hold(world, req, peer)
        if not req.asked_agents:
            placement.send_holds(world, req)


@receive.register
def _(message: Configured, world: EntryWorld, peer: str) -> None:
    del peer
    world.declarations = message.declarations
    for row in world.agents.values():
        row.pool = _pool_of(world, row.name)
    _index_pools(world)
    fleet = message.declarations.fleet
    world.limits.configure(
        message.declarations.organisations,
        fleet.entry_names,
        world.now,
        settle_s=message.settle_s,
    )


def _pool_of(world: EntryWorld, agent: str) -> str:
    """Return the pool declared for an agent's endpoint; empty if none is."""
    endpoint = world.declarations.endpoints.get(agent)
    return endpoint.pool if endpoint else ""


def _index_pools(world: EntryWorld) -> None:
    world.pools = {}
    for row in world.agents.values():
        world.pools.setdefault(row.pool, []).append(row.name)
