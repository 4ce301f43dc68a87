"""The clock of all ages, timeouts and deadlines: the time since boot.

A machine may be suspended for seconds. ``time.monotonic`` does not count that time, so that
after a suspension grants, digests, rate-limit windows and the remaining time of callers
looked as recent as before it. ``CLOCK_BOOTTIME`` includes suspensions and, like
``time.monotonic``, never goes backwards.
"""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since boot, including time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def patch_hub_clock() -> None:
    """Make the eventlet hub of this thread use this clock for its timers.

    Timers that expired during a suspension then fire as soon as the machine resumes.
    """
    from eventlet import hubs  # noqa: PLC0415

    hubs.get_hub().clock = now
