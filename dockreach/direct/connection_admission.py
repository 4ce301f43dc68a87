"""Decides how many new connections an entry takes while it can't keep up.

A load balancer may hand most new connections of a data hall to one entry. What that entry
reads it has to serve in time, while callers whose connection is closed unread turn to
another entry at once. So an entry whose event loop is hardly ever idle closes some of the
new connections without reading from them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

import eventlet

TICK_S = 0.1
"""Interval between readings of the event loop's idle time, in seconds."""

MAX_BUSY = 0.9
"""Busy part of the time from which the entry takes fewer connections."""

DECREASE_FACTOR = 0.8
"""Factor on the share of new connections that are taken, after each busy tick."""

INCREASE = 0.02
"""Increase of that share after each other tick."""

MIN_SHARE = 0.1
"""Smallest share of new connections that are taken."""

MAX_PAUSE_S = 0.5
"""Longest time without a connection that is taken while callers try, in seconds: an entry
that takes none seems broken."""


class IdleMeter:
    """Sums up the time that the event loop waits with nothing to do.

    Unlike the lag of timers, it also tells overload from a limit of processor time, under
    which a process stands still for most of a tenth of a second.

    Args:
        hub: eventlet's hub; one without `do_poll` never seems busy.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        idle_s: Time that it waited since the start, in seconds.
    """

    def __init__(self, hub: Any, clock: Callable[[], float]) -> None:  # noqa: ANN401
        self.idle_s = 0.0
        self._clock = clock
        self._poll = getattr(hub, "do_poll", None)
        self.is_available = self._poll is not None
        if self.is_available:
            hub.do_poll = self._poll_measured

    def _poll_measured(self, seconds: float) -> Any:  # noqa: ANN401
        assert self._poll is not None
        before = self._clock()
        try:
            return self._poll(seconds)
        finally:
            self.idle_s += max(self._clock() - before, 0.0)


class ConnectionAdmission:
    """Takes a share of the new connections that falls while the event loop is busy.

    Args:
        clock: Returns the monotonic time, in seconds.
        meter: Measures the idle time of the event loop.
        rng: Draws which connections are taken.

    Attributes:
        share: Share of new connections that are taken.
        busy: Busy part of the time in the last tick.
        closed: Number of connections that were closed unread.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        meter: IdleMeter,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._meter = meter
        self._rng = rng or random.Random()
        self.share = 1.0
        self.busy = 0.0
        self.closed = 0
        self._admitted_at = -math.inf

    def measure(self) -> None:
        """Measure how busy the event loop is for one tick, and adjust the share."""
        before, idle_before_s = self._clock(), self._meter.idle_s
        eventlet.sleep(TICK_S)
        elapsed_s = self._clock() - before
        idle_s = self._meter.idle_s - idle_before_s
        if self._meter.is_available and elapsed_s > 0:
            self.record_busy(1 - idle_s / elapsed_s)

    def record_busy(self, busy: float) -> None:
        """Adjust the share to the busy part of the time in a tick."""
        self.busy = busy
        if busy > MAX_BUSY:
            self.share = max(self.share * DECREASE_FACTOR, MIN_SHARE)
        else:
            self.share = min(self.share + INCREASE, 1.0)

    def admit(self) -> bool:
        """Return whether to take a new connection; otherwise it is to be closed unread."""
        now = self._clock()
        has_paused = now - self._admitted_at >= MAX_PAUSE_S
        if has_paused or self.share >= 1.0 or self._rng.random() < self.share:
            self._admitted_at = now
            return True
        self.closed += 1
        return False
