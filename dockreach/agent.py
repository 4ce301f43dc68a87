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


def forget(world: AgentWorld) -> None:
    """System: delete rows whose retention time is over."""
    while world.forget and world.forget[0][0] <= world.now:
        _, table, key = heapq.heappop(world.forget)
        if table == "runs":
            running.forget_run(world, key)
        elif table == "claims":
            _forget_claim(world, key)
        else:
            world.fences.pop(key, None)


def _forget_claim(world: AgentWorld, rid: str) -> None:
    row = world.claims.get(rid)
    if row is None:
        return
    if row.touched + world.policy.retention_s > world.now:
        world.remember_until("claims", rid)
        return
    del world.claims[rid]


SYSTEMS: tuple[System, ...] = (
    granting.expire_grants,
    granting.close,
    granting.resume_paused,
    claims.finish_rebuild,
    granting.grant,
    granting.offer,
    running.expire_orphans,
    running.bound_answers,
    running.deliver,
    forget,
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
            claims.note_entry(world, peer, message)
    for system in SYSTEMS:
        system(world)
    output = AgentOutput(world.outbox, world.actions)
    world.outbox = []
    world.actions = []
    return output


def next_wake(world: AgentWorld) -> float | None:
    """Return when the next tick is due if no message arrives; ``None`` for never."""
    times = [row.expires for row in world.grants.values()]
    if world.paused:
        times.append(world.paused[0][0])
    if world.forget:
        times.append(world.forget[0][0])
    if world.model.runs or len(world.queue):
        times.append(world.now + 0.25)
    return min(times, default=None)
