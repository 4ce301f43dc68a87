"""The entry's tick: all systems in order, over all messages that have come."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from . import answers, commitment, lending, membership, placement, relaying, shedding
from .entry_tables import AgentDown, EntryWorld, RequestRow, receive
from .messages import AnyMessage

Inbox = Sequence[tuple[str, object]]
"""Messages with the peer that sent each; an empty peer is the entry's own shell."""

System = Callable[[EntryWorld], None]


class EntryOutput(NamedTuple):
    """What one tick wants done.

    Attributes:
        messages: Messages to send, with their peers.
        woken: Requests whose callers have something new to take, by caller.
    """

    messages: list[tuple[str, AnyMessage]]
    woken: dict[int, RequestRow]


HANDLERS = (
    answers,
    commitment,
    lending,
    membership,
    placement,
    relaying,
    shedding,
)
"""Modules whose message handlers are registered by importing them."""

SYSTEMS: tuple[System, ...] = (
    shedding.run_timers,
    shedding.bound_memory,
    commitment.decide,
    answers.acknowledge,
    lending.borrow,
)
"""The entry's systems, in the order in which a tick runs them."""


def tick(world: EntryWorld, inbox: Inbox, now: float) -> EntryOutput:
    """Run all systems once.

    Args:
        world: The entry's tables.
        inbox: All messages that came since the last tick.
        now: The clock, in seconds.

    Returns:
        Messages to send, and requests whose callers are to be woken.
    """
    world.now = now
    for peer, message in inbox:
        receive(message, world, peer)
        if isinstance(message, AgentDown):
            relaying.lose_peer(world, peer)
    for system in SYSTEMS:
        system(world)
    output = EntryOutput(world.outbox, world.woken)
    world.outbox = []
    world.woken = {}
    return output


def next_wake(world: EntryWorld) -> float | None:
    """Return when the next tick is due if no message comes; ``None`` for never."""
    if world.timers:
        return world.timers[0][0]
    return None
