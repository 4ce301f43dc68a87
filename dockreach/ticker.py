"""Runs a core's tick when messages have arrived or the next tick is due."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from . import clock

MAX_IDLE_S = 0.5
"""Longest wait between two ticks."""

COALESCE_DELAY_S = 0.01
"""How long messages that may wait, such as the later chunks of a response, are held back so
that one tick handles several of them."""

PAUSE_THRESHOLD_S = 2.0
"""Overrun of a wait above which the process is assumed to have been stopped meanwhile."""

Inbox = list[tuple[str, object]]


class Ticker:
    """Collects messages and passes them to a tick, all at once.

    Args:
        tick: Called with the messages and the monotonic time; returns when the next tick
            is due.
        on_pause: Called before the tick if the process was stopped, with the length of the
            wait in seconds.
        coalesce_delay_s: How long a message that may wait is held back.
    """

    def __init__(
        self,
        tick: Callable[[Inbox, float], float | None],
        on_pause: Callable[[float], None],
        *,
        coalesce_delay_s: float = COALESCE_DELAY_S,
    ) -> None:
        self._tick = tick
        self._on_pause = on_pause
        self._coalesce_delay_s = coalesce_delay_s
        self._is_coalescing = False
        self._inbox: Inbox = []
        self._wake = asyncio.Event()
        self._stopped = False
        self.ticks = 0

    def put(self, peer: str, message: object) -> None:
        """Add a message and wake the tick."""
        self._inbox.append((peer, message))
        self._wake.set()

    def put_later(self, peer: str, message: object) -> None:
        """Add a message that may wait, so that one tick handles several of them."""
        self._inbox.append((peer, message))
        if not self._is_coalescing:
            self._is_coalescing = True
            asyncio.get_event_loop().call_later(self._coalesce_delay_s, self._wake.set)

    def stop(self) -> None:
        """End `run` after at most one more tick."""
        self._stopped = True
        self._wake.set()

    async def run(self) -> None:
        """Run ticks until stopped."""
        wake_in = 0.0
        while not self._stopped:
            before = clock.now()
            await self._wait(wake_in)
            now = clock.now()
            if now - before > wake_in + PAUSE_THRESHOLD_S:
                self._on_pause(now - before)
            inbox = self._inbox
            self._inbox = []
            self._is_coalescing = False
            due = self._tick(inbox, now)
            self.ticks += 1
            wake_in = MAX_IDLE_S if due is None else min(MAX_IDLE_S, max(0.0, due - now))

    async def _wait(self, seconds: float) -> None:
        if not self._wake.is_set():
            try:
                async with asyncio.timeout(seconds):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()
