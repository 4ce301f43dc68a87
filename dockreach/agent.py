"""The agent's tick: all systems in order, over all messages that have come."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from typing import NamedTuple

from . import claims, granting, running
from .agent_tables import AgentWorld, EngineAction, PeerUp, receive
from .messages import AnyMessage

Inbox = Sequence[tuple[str, object]]
"""Messages with the peer that sent each; an empty peer is the agent's own adapter."""

System = Callable[[AgentWorld], None]


class AgentOutput(NamedTuple):
    """What one tick wants done.

    Attributes:
        messages: Messages to send, with their peers.
        actions: What to tell the engine.
    """

    messages: list[tuple[str, AnyMessage]]
    actions: list[EngineAction]


def forget(world: AgentWorld) -> None:
    """System: drop rows whose retention has ended."""
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
        inbox: All messages that came since the last tick.
        now: The clock, in seconds.

    Returns:
        Messages and engine actions, in the order they were decided.
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
    """Return when the next tick is due if no message comes; ``None`` for never."""
    times = [row.expires for row in world.grants.values()]
    if world.paused:
        times.append(world.paused[0][0])
    if world.forget:
        times.append(world.forget[0][0])
    if world.model.runs or len(world.queue):
        times.append(world.now + 0.25)
    return min(times, default=None)
