"""Runs a core's tick when input has come or a time is due, and never otherwise."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from . import clock

IDLE_S = 0.5
"""Longest wait between two ticks."""

GATHER_S = 0.01
"""How long later pieces of answers wait for others, to share a batch."""

PAUSE_S = 2.0
"""A wait this much longer than asked means that the process was stopped meanwhile."""

Inbox = list[tuple[str, object]]


class Ticker:
    """Gathers messages and hands them to a tick, all at once.

    Args:
        tick: Called with the messages and the clock; returns when to wake next.
        paused: Called, before the tick, after the process had been stopped.
        gather_s: How long a message that may wait is held for others to join it.
    """

    def __init__(
        self,
        tick: Callable[[Inbox, float], float | None],
        paused: Callable[[float], None],
        *,
        gather_s: float = GATHER_S,
    ) -> None:
        self._tick = tick
        self._paused = paused
        self._gather_s = gather_s
        self._gathering = False
        self._inbox: Inbox = []
        self._wake = asyncio.Event()
        self._stopped = False
        self.ticks = 0

    def put(self, peer: str, message: object) -> None:
        """Add a message; the tick runs soon."""
        self._inbox.append((peer, message))
        self._wake.set()

    def put_later(self, peer: str, message: object) -> None:
        """Add a message that may wait a little, so that a tick takes several."""
        self._inbox.append((peer, message))
        if not self._gathering:
            self._gathering = True
            asyncio.get_event_loop().call_later(self._gather_s, self._wake.set)

    def stop(self) -> None:
        """End `run` after the current tick."""
        self._stopped = True
        self._wake.set()

    async def run(self) -> None:
        """Tick until stopped."""
        wake_in = 0.0
        while not self._stopped:
            before = clock.now()
            await self._wait(wake_in)
            now = clock.now()
            if now - before > wake_in + PAUSE_S:
                self._paused(now - before)
            inbox = self._inbox
            self._inbox = []
            self._gathering = False
            due = self._tick(inbox, now)
            self.ticks += 1
            wake_in = IDLE_S if due is None else min(IDLE_S, max(0.0, due - now))

    async def _wait(self, seconds: float) -> None:
        if not self._wake.is_set():
            try:
                async with asyncio.timeout(seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()
