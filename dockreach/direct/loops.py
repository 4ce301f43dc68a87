"""Background loops that run as long as the process."""

from __future__ import annotations

import traceback
from collections.abc import Callable

import eventlet

from ..events import Event, log

ERROR_PAUSE_S = 0.2
"""Pause after a step that failed, in seconds: an error at every step is logged at most five
times a second."""


def run_forever(step: Callable[[], None]) -> None:
    """Run a step repeatedly.

    An unexpected error ends one step and not the loop. An entry in which one loop has ended
    would still report that it is ready, but miss changes or messages from its peers.
    """
    while True:
        try:
            step()
        except Exception as exc:  # noqa: BLE001
            log_internal_error(exc)
            eventlet.sleep(ERROR_PAUSE_S)


def log_internal_error(exc: Exception, **fields: str) -> None:
    """Log an unexpected error that is being handled, with its traceback.

    Args:
        exc: The error.
        **fields: What it concerns.
    """
    log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc(), **fields)
