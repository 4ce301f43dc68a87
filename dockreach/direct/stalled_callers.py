"""Tells callers that have stopped sending from slow ones.

Load pattern: a crowd of callers, each of which sends most of a request and stops, or goes
on by a byte at a time, and keeps its connection open. Nothing is done about them while
there is room for all. When others wait, they give up what they hold: first those that have
been silent for longest, then those that are too slow to end in time.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

import eventlet

from ..errors import ConnectionEvictedError

SILENCE_S = 1.0
"""Time without a byte after which a caller counts as stalled while others wait, in seconds:
longer than TCP takes to repeat a lost packet."""

LIST_INTERVAL_S = 0.1
"""Shortest time between two searches among all callers' connections, in seconds."""


class Activity(enum.Enum):
    """What a connection is doing."""

    NEW = "new"
    """Nothing has been received yet."""

    RESTED = "rested"
    """It waits for the next request."""

    READING = "reading"
    """A part of a request has been received."""

    WAITING = "waiting"
    """It is not read, as there is no room for its request."""

    SERVED = "served"
    """Its request is whole."""

    CLOSING = "closing"
    """Its last response was sent."""


@dataclass(slots=True)
class Progress:
    """How a connection gets on.

    Attributes:
        since: Monotonic time from which it does what it does, in seconds.
        heard_at: Monotonic time at which bytes were last received, in seconds.
        received: Bytes of the request that were received.
        expected: Bytes that the request has; the most that it can have if it does not say.
        deadline: Monotonic time at which the request must be whole, in seconds.
    """

    activity: Activity
    since: float
    heard_at: float
    received: int = 0
    expected: int = 0
    deadline: float = math.inf

    def begin(self, activity: Activity, now: float) -> None:
        """Begin to do something else."""
        self.activity = activity
        self.since = self.heard_at = now

    def hear(self, size: int, now: float) -> None:
        """Record received bytes."""
        self.received += size
        self.heard_at = now

    def silent_s(self, now: float) -> float:
        """Return the time since something was received, in seconds."""
        return now - self.heard_at

    def is_too_slow(self, now: float) -> bool:
        """Return whether the request will not be whole in time at its pace so far."""
        elapsed_s = now - self.since
        left_s = max(self.deadline - now, 0.0)
        return self.received * left_s < (self.expected - self.received) * elapsed_s


class Watched(Protocol):
    """A connection whose progress is known."""

    progress: Progress


_Watched = TypeVar("_Watched", bound=Watched)


def is_stalled(progress: Progress, now: float) -> bool:
    """Return whether a request is not read on while others wait for memory.

    Args:
        progress: How its connection gets on.
        now: Monotonic time, in seconds.
    """
    return (
        progress.activity is Activity.READING
        and now - progress.since >= SILENCE_S
        and (progress.silent_s(now) >= SILENCE_S or progress.is_too_slow(now))
    )


def stalled(connections: Iterable[_Watched], now: float) -> list[_Watched]:
    """Return the connections whose requests are not read on while others wait for memory.

    Args:
        connections: Callers' connections.
        now: Monotonic time, in seconds.

    Returns:
        Those that are stalled, the one that was silent for longest first.
    """
    found = [conn for conn in connections if is_stalled(conn.progress, now)]
    found.sort(key=lambda conn: conn.progress.heard_at)
    return found


def is_waiting(progress: Progress, now: float) -> bool:
    """Return whether a request has waited for room while it holds a head.

    Args:
        progress: How its connection gets on.
        now: Monotonic time, in seconds.
    """
    is_held = progress.activity is Activity.WAITING and progress.expected > 0
    return is_held and now - progress.since >= SILENCE_S


def waiting(connections: Iterable[_Watched], now: float) -> list[_Watched]:
    """Return the connections whose requests hold a head and wait for room for a body.

    Args:
        connections: Callers' connections.
        now: Monotonic time, in seconds.

    Returns:
        Those that have waited for a while, the longest first.
    """
    found = [conn for conn in connections if is_waiting(conn.progress, now)]
    found.sort(key=lambda conn: conn.progress.since)
    return found


_DISPENSABLE = (
    Activity.CLOSING,
    Activity.READING,
    Activity.WAITING,
    Activity.NEW,
    Activity.RESTED,
)
"""What connections do that may be closed for new ones, the first to be closed first."""


class Evictable(Watched, Protocol):
    """A connection that may be closed for a new one."""

    @property
    def has_input(self) -> bool:
        """Whether its caller has sent what was not read yet, or has disconnected."""


_Evictable = TypeVar("_Evictable", bound=Evictable)


class Evictor(Generic[_Evictable]):
    """Closes connections for new ones when there are too many.

    Args:
        kept: What those do that are not closed.
    """

    def __init__(self, *, kept: Container[Activity] = ()) -> None:
        self._kept = kept
        self._candidates: deque[tuple[_Evictable, Any]] = deque()
        self._listed_at = -math.inf

    def evict(self, find: Callable[[], Mapping[_Evictable, Any]], now: float) -> bool:
        """Close the connection that is missed least.

        Args:
            find: Returns all connections, with the greenlet that serves each.
            now: Monotonic time, in seconds.

        Returns:
            Whether one was closed.
        """
        if not self._candidates and now - self._listed_at >= LIST_INTERVAL_S:
            self._listed_at = now
            greenlets = find()
            found = dispensable(greenlets, now)
            self._candidates.extend((conn, greenlets[conn]) for conn in found)
        while self._candidates:
            conn, greenlet = self._candidates.popleft()
            if not greenlet.dead and self._may_close(conn, now):
                eventlet.kill(greenlet, ConnectionEvictedError("too many connections"))
                return True
        return False

    def _may_close(self, conn: _Evictable, now: float) -> bool:
        """Return whether a connection is still silent, and no request waits to be read."""
        activity = conn.progress.activity
        if activity in self._kept or not is_dispensable(conn.progress, now):
            return False
        # A caller is not silent if this process has not read what it sent.
        is_read = activity not in (Activity.CLOSING, Activity.WAITING)
        return not (is_read and conn.has_input)


def is_dispensable(progress: Progress, now: float) -> bool:
    """Return whether a connection may be closed for a new one.

    Args:
        progress: How the connection gets on.
        now: Monotonic time, in seconds.
    """
    return progress.activity in _DISPENSABLE and progress.silent_s(now) >= SILENCE_S


def dispensable(connections: Iterable[_Watched], now: float) -> list[_Watched]:
    """Return the connections that may be closed for new ones.

    Args:
        connections: Callers' connections.
        now: Monotonic time, in seconds.

    Returns:
        Those that are silent, the first to be closed first: rested ones last.
    """
    found = [conn for conn in connections if is_dispensable(conn.progress, now)]
    found.sort(
        key=lambda conn: (
            _DISPENSABLE.index(conn.progress.activity),
            conn.progress.heard_at,
        )
    )
    return found
