"""Lets greenlets wait for the dispatcher's decisions."""

from __future__ import annotations

import time
from collections.abc import Callable

import eventlet
from eventlet.event import Event as Waiter

from ..verdict import Refusal
from .dispatching import Dispatcher
from .endpoints import EndpointRow
from .jobs import Decision, Job, Placed


class Scheduler:
    """Runs the dispatcher whenever something changes.

    Args:
        dispatcher: Decides.
        on_change: Called when requests under way or waiting have changed.
    """

    def __init__(self, dispatcher: Dispatcher, on_change: Callable[[], None]) -> None:
        self._dispatcher = dispatcher
        self._on_change = on_change
        self._waiters: dict[int, Waiter] = {}

    def place(self, job: Job) -> EndpointRow | Refusal:
        """Wait until a job has a place, or none in time.

        The place must be given back with `release`.
        """
        waiter = Waiter()
        self._waiters[id(job)] = waiter
        self._dispatcher.submit(job)
        try:
            self.pump()
            while not waiter.ready():
                with eventlet.Timeout(_wait_s(job, time.monotonic()), False):
                    waiter.wait()
                self.pump()
            found: EndpointRow | Refusal = waiter.wait()
        except BaseException:
            # The caller left or the time is up: nobody will give the place back.
            self._dispatcher.withdraw(job)
            self.release(job)
            raise
        finally:
            del self._waiters[id(job)]
        return found

    def release(self, job: Job) -> None:
        """Give a place back."""
        if job.endpoint is None:
            return
        self._dispatcher.release(job)
        self.pump()
        self._on_change()

    def pump(self) -> None:
        """Decide what can be decided now."""
        decisions = self._dispatcher.pump(time.monotonic())
        for decision in decisions:
            self._tell(decision)
        if decisions:
            self._on_change()

    def _tell(self, decision: Decision) -> None:
        waiter = self._waiters.get(id(decision.job))
        if waiter is None or waiter.ready():
            return
        if isinstance(decision, Placed):
            waiter.send(decision.endpoint)
        else:
            waiter.send(decision.refusal)


def _wait_s(job: Job, now: float) -> float:
    """Return the time to the next moment at which a job may be refused, in seconds."""
    return max(job.give_up - now, 0.0)
