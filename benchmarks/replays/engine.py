"""Model of an engine for replays: slots, a queue, and prefill of one prompt at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

FIRST_EVENT_S = 0.064
PREFILL_PER_TOKEN_S = 1 / 32_400
GAP_S = 0.0188
"""Time to the first event without prefill, prefill time of a token, and time between
events, in seconds, of an engine with time factor 1: the customers' drafting engines."""

LOAD_SLOWDOWN = 0.004
"""Relative increase of the time between events for each request in a slot."""


@dataclass(slots=True)
class Run:
    """One request at an engine.

    Attributes:
        on_first: Called when the first event is sent.
        on_end: Called when the request has ended; with ``False`` if it was cut off.
    """

    tokens: int
    events: int
    on_first: Callable[[float], None]
    on_end: Callable[[float, bool], None]


@dataclass(slots=True)
class Engine:
    """Runs as many requests as it has slots; others wait in its queue.

    Attributes:
        time_factor: Factor on all times; a higher one is slower.
        call_at: Schedules a function call at a given time.
        max_queued: Highest number of requests that waited in the queue.
    """

    id: str
    slots: int
    time_factor: float
    call_at: Callable[[float, Callable[[float], None]], None]
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    is_stopped: bool = False
    max_queued: int = 0
    _prefill_until: float = 0.0

    def submit(self, run: Run, now: float) -> None:
        """Accept a request."""
        if self.is_stopped:
            run.on_end(now, False)
            return
        self.queue.append(run)
        self._start_runs(now)
        self.max_queued = max(self.max_queued, len(self.queue))

    def cancel(self, run: Run, now: float) -> None:
        """Cancel a request whose caller has disconnected."""
        if run in self.running:
            self.running.remove(run)
        elif run in self.queue:
            self.queue.remove(run)
        self._start_runs(now)

    def stop(self, now: float) -> None:
        """Cut off all requests, and from now on every new one."""
        self.is_stopped = True
        for run in [*self.running, *self.queue]:
            run.on_end(now, False)
        self.running.clear()
        self.queue.clear()

    def _start_runs(self, now: float) -> None:
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            self.running.append(run)
            prefill_end = (
                max(self._prefill_until, now)
                + run.tokens * PREFILL_PER_TOKEN_S * self.time_factor
            )
            self._prefill_until = prefill_end
            self.call_at(
                prefill_end + FIRST_EVENT_S * self.time_factor,
                partial(self._send_first_event, run),
            )

    def _send_first_event(self, run: Run, now: float) -> None:
        if run not in self.running:
            return
        run.on_first(now)
        gap_s = self.gap_s()
        self.call_at(now + run.events * gap_s, partial(self._finish, run))

    def gap_s(self) -> float:
        """Return the present time between events, in seconds."""
        return GAP_S * self.time_factor * (1 + LOAD_SLOWDOWN * len(self.running))

    def _finish(self, run: Run, now: float) -> None:
        if run in self.running:
            self.running.remove(run)
            run.on_end(now, True)
            self._start_runs(now)
