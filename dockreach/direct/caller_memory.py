"""Bounds what callers can make an entry hold in memory at one time.

Load patterns: a burst of requests with bodies of the largest size that is allowed; and
thousands of connections, each with an unfinished head or a small body, or with bytes that
are pipelined behind an open request.

Large bodies are reserved before they are read. All else is counted in a room of its own, so
that small requests are served beside large bodies: new messages and small bodies wait for
room there, and what is being read goes on up to a hard limit.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Iterator

from ..metrics import Sample
from .memory_plan import CONNECTION_BYTES, MemoryPlan
from .memory_room import MemoryRoom, Reservation

SMALL_BODY_BYTES = 65_536
"""Bodies up to this size are held beside heads, and not in the room for large bodies."""


class CallerMemory:
    """The rooms for what callers send.

    Args:
        plan: How the memory is divided.

    Attributes:
        bodies: Room for large bodies.
        input: Room for connections, heads, small bodies and pipelined bytes.
        max_connections: How many connections callers may have.
    """

    def __init__(self, plan: MemoryPlan) -> None:
        self.bodies = MemoryRoom(plan.body_bytes)
        self.input = MemoryRoom(plan.input_bytes)
        self.max_connections = plan.max_connections

    @classmethod
    def unbounded(cls) -> CallerMemory:
        """Return rooms without a bound."""
        return cls(MemoryPlan(math.inf, math.inf, sys.maxsize))

    def apply(self, plan: MemoryPlan) -> None:
        """Apply a changed plan."""
        self.bodies.set_max_bytes(plan.body_bytes)
        self.input.set_max_bytes(plan.input_bytes)
        self.max_connections = plan.max_connections

    def open_connection(self) -> Reservation:
        """Count a new connection."""
        return self.input.hold(CONNECTION_BYTES)

    def may_reserve_body(self, size: int) -> bool:
        """Return whether there is room for a body of some bytes at once."""
        return self._room_for(size).may_reserve(size)

    def _room_for(self, size: int) -> MemoryRoom:
        return self.input if size <= SMALL_BODY_BYTES else self.bodies

    def reserve_body(self, size: int, max_wait_s: float) -> Reservation:
        """Reserve room for a body, and wait for it if there is none.

        Args:
            size: Size of the body, or the largest that it can have, in bytes.
            max_wait_s: How long to wait, in seconds.

        Raises:
            NoRoomError: There was no room in time.
        """
        return self._room_for(size).reserve(size, max_wait_s)

    @property
    def is_short(self) -> bool:
        """Whether callers wait for room, or too much is held."""
        return self.bodies.is_short or self.input.is_short

    def samples(self) -> Iterator[Sample]:
        """Return the metrics of the rooms."""
        yield from self.bodies.samples("bodies", "callers' large bodies")
        yield from self.input.samples("input", "callers' other input")
