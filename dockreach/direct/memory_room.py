"""Room in memory: reserved before something is read, waited for in order, given back."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import eventlet
from eventlet.event import Event as Waiter

from .. import clock
from ..errors import DockreachError
from ..metrics import Sample

HOLD_WEIGHT = 0.1
"""Weight of the latest reservation in the moving average of the time for which one is
held."""

HARD_LIMIT_FACTOR = 1.1
"""By which factor what is held may exceed the room, as it is read by connections that were
let in while there was room."""


class NoRoomError(DockreachError):
    """There was no room in time; nothing was read into it.

    Args:
        size: The size that was wanted, in bytes.
        retry_after_s: Time after which room is expected, in seconds.
    """

    def __init__(self, size: int, retry_after_s: float) -> None:
        super().__init__(f"no room for {size} bytes")
        self.retry_after_s = retry_after_s


@dataclass(eq=False, slots=True)
class Reservation:
    """A part of a room.

    Attributes:
        size: Its size, in bytes.
        since: Monotonic time from which it is held, in seconds.
        is_timed: Whether the time for which it is held tells when there is room again.
    """

    size: int
    since: float
    _room: MemoryRoom
    is_timed: bool = True
    _is_released: bool = False

    def shrink(self, size: int) -> None:
        """Give back what turned out not to be needed."""
        if size < self.size:
            self.resize(size)

    def resize(self, size: int) -> None:
        """Change the size to what is held, whether or not there is room."""
        if not self._is_released and size != self.size:
            change, self.size = size - self.size, size
            self._room.add(change)

    def release(self) -> None:
        """Give the room back; does nothing the second time."""
        if not self._is_released:
            self._is_released = True
            if self.is_timed:
                self._room.record_hold(clock.now() - self.since)
            self._room.add(-self.size)


@dataclass(eq=False, slots=True)
class _Waiting:
    """Something that waits for room."""

    size: int
    granted: Any = field(default_factory=Waiter)


class MemoryRoom:
    """Room that is given in the order in which it was asked for.

    Args:
        max_bytes: All room, in bytes.

    Attributes:
        held_bytes: Room that is held, in bytes.
        refused: How often there was none in time.
    """

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.refused = 0
        self._waiting: dict[_Waiting, None] = {}
        self._wanted_bytes = 0
        self._hold_s = 0.1

    def set_max_bytes(self, max_bytes: float) -> None:
        """Change all room, in bytes."""
        self.max_bytes = max_bytes
        self._grant()

    @property
    def is_short(self) -> bool:
        """Whether someone waits for room, or more is held than there is."""
        return bool(self._waiting) or self.held_bytes > self.max_bytes

    @property
    def is_overdrawn(self) -> bool:
        """Whether so much more is held than there is that nothing may be added."""
        return self.held_bytes > HARD_LIMIT_FACTOR * self.max_bytes

    @property
    def missing_bytes(self) -> float:
        """Bytes to be given back so that nobody waits; negative for room to spare."""
        return self.held_bytes + self._wanted_bytes - self.max_bytes

    def may_reserve(self, size: int) -> bool:
        """Return whether room is there at once."""
        return not self._waiting and self._has_room(size)

    def hold(self, size: int) -> Reservation:
        """Count what is held already, whether or not there is room.

        Args:
            size: Its size, in bytes.
        """
        self.add(size)
        return Reservation(size, clock.now(), self, is_timed=False)

    def reserve(self, size: int, max_wait_s: float) -> Reservation:
        """Reserve room, and wait for it if there is none.

        Args:
            size: How much, in bytes.
            max_wait_s: How long to wait, in seconds.

        Raises:
            NoRoomError: There was no room in time.
        """
        if self.may_reserve(size):
            self.held_bytes += size
        else:
            self._wait(size, max_wait_s)
        return Reservation(size, clock.now(), self)

    def _wait(self, size: int, max_wait_s: float) -> None:
        """Wait until the room is held."""
        waiting = _Waiting(size)
        self._waiting[waiting] = None
        self._wanted_bytes += size
        try:
            with eventlet.Timeout(max(max_wait_s, 0.0), False):
                waiting.granted.wait()
        except BaseException:
            if waiting.granted.ready():
                self.add(-size)
            else:
                self._leave(waiting)
            raise
        if not waiting.granted.ready():
            retry_after_s = self._expected_wait_s()
            self._leave(waiting)
            raise self.refuse(size, retry_after_s)

    def refuse(self, size: int, retry_after_s: float | None = None) -> NoRoomError:
        """Count a refusal for lack of room; return its error.

        Args:
            size: How much was wanted, in bytes.
            retry_after_s: When to return, in seconds; as long as what is held and what
                waits takes, if omitted.
        """
        self.refused += 1
        if retry_after_s is None:
            retry_after_s = self._expected_wait_s()
        return NoRoomError(size, retry_after_s)

    def _leave(self, waiting: _Waiting) -> None:
        self._remove(waiting)
        self._grant()

    def _remove(self, waiting: _Waiting) -> None:
        del self._waiting[waiting]
        self._wanted_bytes -= waiting.size

    def _has_room(self, size: int) -> bool:
        """Return whether something may be held; what is larger than all room is alone."""
        return not self.held_bytes or self.held_bytes + size <= self.max_bytes

    def add(self, change: int) -> None:
        """Hold more, or give room back, and give that to those that wait."""
        self.held_bytes += change
        if change < 0:
            self._grant()

    def _grant(self) -> None:
        while self._waiting and self._has_room((waiting := next(iter(self._waiting))).size):
            self._remove(waiting)
            self.held_bytes += waiting.size
            waiting.granted.send(None)

    def record_hold(self, seconds: float) -> None:
        """Record for how long a part was held, in seconds."""
        self._hold_s += HOLD_WEIGHT * (seconds - self._hold_s)

    def _expected_wait_s(self) -> float:
        """Return after which time what is held and what waits will have been served."""
        return self._hold_s * (self.held_bytes + self._wanted_bytes) / self.max_bytes

    def samples(self, name: str, content: str) -> Iterator[Sample]:
        """Return the metrics of the room.

        Args:
            name: Name of the room in metrics.
            content: What it holds, as a noun in the plural.
        """
        for field_name, text, value, is_counter in (
            ("held_bytes", f"Bytes held of {content}", self.held_bytes, False),
            ("max_bytes", f"Room for {content}", self.max_bytes, False),
            (
                "waiting",
                f"Requests that wait for room for {content}",
                len(self._waiting),
                0,
            ),
            (
                "refused_total",
                f"Requests refused as {content} had no room",
                self.refused,
                1,
            ),
        ):
            full_name = f"dockreach_direct_{name}_{field_name}"
            yield Sample(full_name, text, value, {}, is_counter=bool(is_counter))
