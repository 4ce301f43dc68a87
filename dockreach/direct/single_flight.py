"""Shares one call among all greenlets that need its result."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event as Signal

from ..errors import PlatformError
from .loops import log_internal_error

RETRY_PAUSE_S = 0.1
"""Time after a failed call in which none is made, in seconds: a platform that refuses calls
answers at once, and charges for each."""


class SingleFlight:
    """Runs one call at a time; each waiter is served by one that began after it asked.

    Args:
        call: The call; it may raise `PlatformError`.
        clock: Returns the monotonic time, in seconds.
        retry_pause_s: Time after a failed call in which none is made, in seconds.
    """

    def __init__(
        self,
        call: Callable[[], None],
        clock: Callable[[], float],
        *,
        retry_pause_s: float = RETRY_PAUSE_S,
    ) -> None:
        self._call = call
        self._clock = clock
        self._retry_pause_s = retry_pause_s
        self._running: Any = None
        self._succeeded_from = -math.inf
        self._failed_at = -math.inf

    def wait(self, asked_at: float, timeout_s: float) -> None:
        """Wait for a call that began at some time or later, until it succeeds or fails.

        Args:
            asked_at: That time, monotonic, in seconds.
            timeout_s: How long to wait at most, in seconds. The call itself goes on.
        """
        with eventlet.Timeout(timeout_s, False):
            if self._running is not None:
                self._running.wait()
            if self._succeeded_from >= asked_at or self._has_just_failed():
                return
            if self._running is None:
                self._running = Signal()
                eventlet.spawn_n(self._run, self._running)
            self._running.wait()

    def _has_just_failed(self) -> bool:
        return self._clock() - self._failed_at < self._retry_pause_s

    def _run(self, ended: Any) -> None:  # noqa: ANN401
        begun_at = self._clock()
        try:
            self._call()
        except PlatformError:
            self._failed_at = self._clock()
        except Exception as exc:  # noqa: BLE001
            self._failed_at = self._clock()
            log_internal_error(exc)
        else:
            self._succeeded_from = begun_at
        finally:
            self._running = None
            ended.send(None)
