"""Sets up eventlet's hub (event loop) and wraps the parts of eventlet that depend on it.

Import this module and call `install` before importing anything that opens sockets. The
hub runs on an asyncio loop, so that gRPC and greenlets share one thread. Threads are not
patched, because gRPC's poller needs real ones.
"""

from __future__ import annotations

import asyncio
import warnings
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", category=DeprecationWarning, module="eventlet")
    warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")
    import eventlet
    import eventlet.hubs

_Result = TypeVar("_Result")

_installed = False


def install(*, with_asyncio: bool = True) -> None:
    """Select the hub and patch the standard library; a second call does nothing.

    Args:
        with_asyncio: Whether to run the hub on asyncio, which gRPC needs.
    """
    global _installed  # noqa: PLW0603
    if _installed:
        return
    _installed = True
    if with_asyncio:
        eventlet.hubs.use_hub("eventlet.hubs.asyncio")
    eventlet.monkey_patch(thread=False)


def spawn(function: Callable[..., Any], *args: Any) -> Any:  # noqa: ANN401
    """Run a function in a new greenlet and return the greenlet."""
    return eventlet.spawn(function, *args)


def sleep(seconds: float = 0.0) -> None:
    """Suspend the current greenlet, so that others run."""
    eventlet.sleep(seconds)


def run_coroutine(awaitable: Awaitable[_Result]) -> _Result:
    """Run a coroutine from a greenlet and return its result."""
    from eventlet.asyncio import spawn_for_awaitable  # noqa: PLC0415

    result: _Result = spawn_for_awaitable(awaitable).wait()
    return result


def start_coroutine(awaitable: Awaitable[Any]) -> None:
    """Start a coroutine from a greenlet and do not wait for it."""
    from eventlet.asyncio import spawn_for_awaitable  # noqa: PLC0415

    spawn_for_awaitable(awaitable)


def call_later(seconds: float, function: Callable[[], None]) -> None:
    """Call a function after a delay; it must not block."""
    asyncio.get_event_loop().call_later(seconds, function)


class Signal:
    """An event that wakes one greenlet; may be set from greenlets and coroutines."""

    def __init__(self) -> None:
        self._event = eventlet.event.Event()
        self._set = False

    def set(self) -> None:
        """Wake the waiting greenlet, or let the next wait return at once."""
        if not self._set:
            self._set = True
            self._event.send(None)

    def wait(self, seconds: float) -> bool:
        """Wait until set, or for some seconds; return whether it was set, and reset it."""
        if not self._set:
            self._event.wait(seconds)
        was_set = self._set
        if was_set:
            self._set = False
            self._event = eventlet.event.Event()
        return was_set
