"""An engine as the replays know it: places, a queue, and prompts read one after another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

FIRST_S = 0.064
READ_S = 1 / 32_400
GAP_S = 0.0188
"""Time to a first event besides the reading, to read a token, and between events, in
seconds, of an engine with the time factor 1: the users' drafting engines."""

CROWD = 0.004
"""How much longer the time between events gets with each request beside it."""


@dataclass(slots=True)
class Run:
    """One request at an engine.

    Attributes:
        on_first: Called when its first event comes.
        on_end: Called when it has ended; with ``False`` if it was cut off.
    """

    tokens: int
    events: int
    on_first: Callable[[float], None]
    on_end: Callable[[float, bool], None]


@dataclass(slots=True)
class Engine:
    """Works on some requests at a time; others wait in its queue.

    Attributes:
        call_at: Calls a function at a time.
        beyond: Most requests that waited in its queue.
    """

    id: str
    slots: int
    speed: float
    call_at: Callable[[float, Callable[[float], None]], None]
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    is_gone: bool = False
    beyond: int = 0
    _reads_until: float = 0.0

    def take(self, run: Run, now: float) -> None:
        """Take in a request."""
        if self.is_gone:
            run.on_end(now, False)
            return
        self.queue.append(run)
        self._start(now)
        self.beyond = max(self.beyond, len(self.queue))

    def drop(self, run: Run, now: float) -> None:
        """End a request whose caller has left."""
        if run in self.running:
            self.running.remove(run)
        elif run in self.queue:
            self.queue.remove(run)
        self._start(now)

    def go(self, now: float) -> None:
        """Cut off all requests; take none any more."""
        self.is_gone = True
        for run in [*self.running, *self.queue]:
            run.on_end(now, False)
        self.running.clear()
        self.queue.clear()

    def _start(self, now: float) -> None:
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            self.running.append(run)
            read = max(self._reads_until, now) + run.tokens * READ_S * self.speed
            self._reads_until = read
            self.call_at(read + FIRST_S * self.speed, partial(self._first, run))

    def _first(self, run: Run, now: float) -> None:
        if run not in self.running:
            return
        run.on_first(now)
        gap_s = self.gap_s()
        self.call_at(now + run.events * gap_s, partial(self._end, run))

    def gap_s(self) -> float:
        """Return the time between events now, in seconds."""
        return GAP_S * self.speed * (1 + CROWD * len(self.running))

    def _end(self, run: Run, now: float) -> None:
        if run in self.running:
            self.running.remove(run)
            run.on_end(now, True)
            self._start(now)
