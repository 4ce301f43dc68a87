"""The entry's tick: handles all pending messages, then runs each system once.

A system is a function that reads and changes the entry's tables (`EntryWorld`). Systems do
no input or output, so that a test can run them without sockets.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from . import answers, commitment, lending, membership, placement, relaying, shedding
from .entry_tables import AgentDown, EntryWorld, RequestRow, receive
from .messages import AnyMessage

Inbox = Sequence[tuple[str, object]]
"""Messages with the peer that sent each. The peer is empty for messages from the entry's
own shell, the code around the tick that does the input and output."""

System = Callable[[EntryWorld], None]


class EntryOutput(NamedTuple):
    """What the shell must do after one tick.

    Attributes:
        messages: Messages to send, with the peer that receives each.
        woken: Requests with new chunks or an end for their callers, by caller number.
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
"""Modules that register message handlers when they are imported."""

SYSTEMS: tuple[System, ...] = (
    shedding.run_timers,
    shedding.bound_memory,
    commitment.decide,
    answers.acknowledge,
    lending.borrow,
)
"""The entry's systems, in the order in which a tick runs them."""


def tick(world: EntryWorld, inbox: Inbox, now: float) -> EntryOutput:
    """Handle all messages, then run each system once.

    Args:
        world: The entry's tables.
        inbox: All messages received since the last tick.
        now: Monotonic time, in seconds.

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
    """Return when the next tick is due if no message arrives; ``None`` for never."""
    if world.timers:
        return world.timers[0][0]
    return None
