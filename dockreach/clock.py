"""The clock by which everything ages.

A machine may be suspended for seconds. ``time.monotonic`` does not count that time: grants,
digests, windows of limits and what is left of a caller's time were as old on waking as
before. The clock since boot counts it, and like the steady one never goes back.
"""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since boot, with those in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def steer_timers() -> None:
    """Let the timers of this thread's greenlets go by the same clock.

    What was due while the machine was suspended fires on waking.
    """
    from eventlet import hubs  # noqa: PLC0415

    hubs.get_hub().clock = now
