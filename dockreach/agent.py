"""The agent's tick: applies all received messages, then runs all systems in order.

A system is a function that reads and changes the agent's tables.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

from . import claims, granting, running
from .agent_tables import AgentWorld, EngineAction, PeerUp, receive
from .messages import AnyMessage

Inbox = Sequence[tuple[str, object]]
"""Messages, each with the peer that sent it; the agent's own adapter is the empty peer."""

System = Callable[[AgentWorld], None]


class AgentOutput(NamedTuple):
    """Messages to send and engine actions to carry out after one tick.

    Attributes:
        messages: Messages to send, each with the receiving peer.
        actions: What to do at the engine.
    """

    messages: list[tuple[str, AnyMessage]]
    actions: list[EngineAction]


def expire_rows(world: AgentWorld) -> None:
    """System: delete rows whose retention time is over."""
    while world.expiry_queue and world.expiry_queue[0][0] <= world.now:
        _, table, key = heapq.heappop(world.expiry_queue)
        if table == "runs":
            running.remove_run(world, key)
        elif table == "claims":
            _expire_claim(world, key)
        else:
            world.fences.pop(key, None)


def _expire_claim(world: AgentWorld, rid: str) -> None:
    row = world.claims.get(rid)
    if row is None:
        return
    if row.last_used_at + world.policy.retention_s > world.now:
        world.schedule_expiry("claims", rid)
        return
    del world.claims[rid]


SYSTEMS: tuple[System, ...] = (
    granting.expire_grants,
    granting.displace_when_closed,
    granting.resume_paused,
    claims.finish_rebuild,
    granting.grant_holds,
    granting.send_offers,
    running.cancel_orphans,
    running.limit_answer_memory,
    running.deliver_chunks,
    expire_rows,
)
"""The agent's systems, in the order in which a tick runs them."""


def tick(world: AgentWorld, inbox: Inbox, now: float) -> AgentOutput:
    """Run all systems once.

    Args:
        world: The agent's tables.
        inbox: All messages received since the last tick.
        now: The agent's clock, in seconds.

    Returns:
        Messages and engine actions, in the order in which the systems produced them.
    """
    world.now = now
    for peer, message in inbox:
        receive(message, world, peer)
        if isinstance(message, PeerUp):
            claims.handle_entry_up(world, peer, message)
    for system in SYSTEMS:
        system(world)
    output = AgentOutput(world.outbox, world.actions)
    world.outbox = []
    world.actions = []
    return output


def next_wake(world: AgentWorld) -> float | None:
    """Return when the next tick is due if no message arrives; ``None`` for never."""
    times = [row.expires_at for row in world.grants.values()]
    if world.paused_holds:
        times.append(world.paused_holds[0][0])
    if world.expiry_queue:
        times.append(world.expiry_queue[0][0])
    if world.model.runs or len(world.queue):
        times.append(world.now + 0.25)
    return min(times, default=None)
