"""Loops that run for as long as the process does."""

from __future__ import annotations

import traceback
from collections.abc import Callable

import eventlet

from ..events import Event, log

AFTER_FAULT_S = 0.2
"""Pause after a step that failed, in seconds: a fault that comes at every step is logged
five times a second at most."""


def run_forever(step: Callable[[], None]) -> None:
    """Run a step again and again.

    A fault of the program costs one step and not the loop. An entry in which one loop has
    ended would go on to call itself ready, deaf to changes or to its peers.
    """
    while True:
        try:
            step()
        except Exception as exc:  # noqa: BLE001
            log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc())
            eventlet.sleep(AFTER_FAULT_S)
