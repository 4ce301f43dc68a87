"""The entry's tick: handles all pending messages, then runs each system once.

A system is a function that reads and changes the entry's tables (`EntryWorld`). Systems do
no input or output, so that a test can run them without sockets.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from . import (
    commitment,
    lending,
    membership,
    placement,
    rebuild_relay,
    response_chunks,
    shedding,
)
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
        callers_to_wake: Requests with new chunks or an end for their callers, by caller
            number.
    """

    messages: list[tuple[str, AnyMessage]]
    callers_to_wake: dict[int, RequestRow]


HANDLER_MODULES = (
    response_chunks,
    commitment,
    lending,
    membership,
    placement,
    rebuild_relay,
    shedding,
)
"""Modules that register message handlers when they are imported."""

SYSTEMS: tuple[System, ...] = (
    shedding.run_timers,
    shedding.limit_memory,
    commitment.choose_grants,
    response_chunks.acknowledge,
    lending.ask_for_loans,
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
            rebuild_relay.remove_peer(world, peer)
    for system in SYSTEMS:
        system(world)
    output = EntryOutput(world.outbox, world.callers_to_wake)
    world.outbox = []
    world.callers_to_wake = {}
    return output


def next_wake(world: EntryWorld) -> float | None:
    """Return when the next tick is due if no message arrives; ``None`` for never."""
    if world.timers:
        return world.timers[0][0]
    return None
