"""Notices from a thread of its own that the event loop is blocked, and logs by what.

Load pattern: take-ups of one stream that came at once kept the event loop in a loop that
never waited. The process answered neither callers nor readiness checks, and its log ended
without a cause.
"""

from __future__ import annotations

import sys
import threading
import traceback
from collections.abc import Iterator

from ..events import Event, log
from ..metrics import Sample

MAX_BLOCKED_S = 2.0
"""Time without a turn of the event loop from which it counts as blocked, in seconds. The
load balancer asks each second whether an entry is ready, and takes it out after two checks
without an answer."""

CHECKS = 4
"""Checks without a turn in that time. They are counted, and not the time itself, so that a
process that was suspended does not seem blocked."""


class LoopGuard:
    """Watches the event loop of the thread in which it is made.

    A call into C that keeps the interpreter's lock is not noticed, as no other thread runs.

    Args:
        max_blocked_s: Time without a turn from which it counts as blocked, in seconds.

    Attributes:
        count: How often the event loop was blocked.
        is_blocked: Whether it is, or has not turned since it was.
    """

    def __init__(self, max_blocked_s: float = MAX_BLOCKED_S) -> None:
        self.count = 0
        self.is_blocked = False
        self._interval_s = max_blocked_s / CHECKS
        self._loop_thread = threading.get_ident()
        self._turns = 0
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Start to watch, until the process ends or `stop` is called."""
        threading.Thread(target=self._watch, name="loop-guard", daemon=True).start()

    def stop(self) -> None:
        """Stop to watch."""
        self._is_stopped.set()

    def turn(self) -> None:
        """Note that the event loop turns; to be called more often than it is checked."""
        self._turns += 1
        self.is_blocked = False

    def _watch(self) -> None:
        seen, missed = 0, 0
        while not self._is_stopped.wait(self._interval_s):
            turns = self._turns
            missed = missed + 1 if turns == seen else 0
            seen = turns
            if missed == CHECKS:
                self._report()

    def _report(self) -> None:
        self.is_blocked = True
        self.count += 1
        frame = sys._current_frames().get(self._loop_thread)
        trace = "".join(traceback.format_stack(frame)) if frame is not None else ""
        blocked_ms = round(CHECKS * self._interval_s * 1000)
        log(Event.LOOP_BLOCKED, blocked_ms=blocked_ms, trace=trace)

    def samples(self) -> Iterator[Sample]:
        """Return the metric of how often the event loop was blocked."""
        yield Sample(
            "dockreach_direct_loop_blocked_total",
            "Times for which the event loop was blocked",
            self.count,
            {},
        )
