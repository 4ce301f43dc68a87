"""Shares one call among all greenlets that need its result."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event as Signal

from ..errors import PlatformError


class SingleFlight:
    """Runs one call at a time; each waiter is served by one that began after it asked.

    Args:
        call: The call; it may raise `PlatformError`.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(self, call: Callable[[], None], clock: Callable[[], float]) -> None:
        self._call = call
        self._clock = clock
        self._running: Any = None
        self._begun_at = -math.inf

    def wait(self, asked_at: float, timeout_s: float) -> None:
        """Wait for the end of a call that began at some time or later.

        Args:
            asked_at: That time, monotonic, in seconds.
            timeout_s: How long to wait at most, in seconds. The call itself goes on.
        """
        with eventlet.Timeout(timeout_s, False):
            while self._running is not None and self._begun_at < asked_at:
                self._running.wait()
            if self._begun_at < asked_at:
                self._begin()
            if self._running is not None:
                self._running.wait()

    def _begin(self) -> None:
        self._begun_at = self._clock()
        self._running = Signal()
        eventlet.spawn_n(self._run, self._running)

    def _run(self, ended: Any) -> None:  # noqa: ANN401
        try:
            self._call()
        except PlatformError:
            # Whoever waits sees by the state itself that nothing was read.
            self._begun_at = -math.inf
        finally:
            self._running = None
            ended.send(None)
