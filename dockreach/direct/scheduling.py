"""Lets greenlets wait for slots, whether this entry or another one assigns them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Waiter

from .. import clock
from ..verdict import Refusal
from .asking import ANSWER_S, Asker
from .digest import Address
from .dispatching import Dispatcher
from .endpoints import EndpointRow
from .granting import Granter
from .jobs import Decision, Job, Placed
from .placing_messages import PlacingAnswer, PlacingState

TIMER_S = 0.001
"""Added to the delay of a timer, in seconds: one that fires early finds nothing to do."""

LONG_ROUND_S = 0.0005
"""Duration, in seconds, from which a scheduling round is followed by a pause."""

PAUSE_FACTOR = 3.0
"""Length of the pause after a long round, as a multiple of the round's duration. With 300
waiting jobs a round takes a millisecond, and 700 events a second each call for a round:
more than a core can do. The clients of this entry would then find it unresponsive, and
several entries would assign the same slots."""


class _Waiting(NamedTuple):
    """A job of this entry that waits for a decision."""

    job: Job
    waiter: Waiter


class Scheduler:
    """Acquires slots for this entry's requests, and grants slots to other entries'.

    Args:
        dispatcher: Decides on the requests to which this entry assigns slots.
        asker: Requests slots from other entries.
        granter: Holds the slot requests of other entries.
        send: Sends a message to another entry.
        on_change: Called when requests in flight or waiting have changed.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        asker: Asker,
        granter: Granter,
        send: Callable[[PlacingState | PlacingAnswer, Address], None],
        on_change: Callable[[], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._asker = asker
        self._granter = granter
        self._send = send
        self._on_change = on_change
        self._waiters: dict[int, _Waiting] = {}
        self._next_round = 0.0
        self._is_planned = False

    def place(self, job: Job) -> EndpointRow | Refusal:
        """Wait until a job gets a slot or is refused.

        The caller must release the slot with `release_slot`.

        Returns:
            The endpoint of the slot, or the refusal.
        """
        waiter = Waiter()
        self._waiters[id(job)] = _Waiting(job, waiter)
        job.granted_by = ""
        if not self._asker.ask(job, clock.now()):
            self._dispatcher.submit(job)
        try:
            self.pump()
            while not waiter.ready():
                with eventlet.Timeout(_wait_s(job, clock.now()), False):
                    waiter.wait()
                self.pump()
            outcome: EndpointRow | Refusal = waiter.wait()
        except BaseException:
            # The caller disconnected, or its time is up: nothing else releases the slot.
            self._dispatcher.withdraw(job)
            self._asker.drop(job)
            self.release(job)
            raise
        finally:
            del self._waiters[id(job)]
        return outcome

    def refuse(self, fingerprint: bytes, refusal: Refusal) -> None:
        """Refuse a request if it waits here; with a slot, its upstream attempt goes on."""
        for job, waiter in list(self._waiters.values()):
            if job.fingerprint == fingerprint and not waiter.ready():
                self._dispatcher.withdraw(job)
                self._asker.drop(job)
                waiter.send(refusal)

    def release(self, job: Job) -> None:
        """Release the slot of a job, if it holds one."""
        if job.endpoint is None:
            return
        self._dispatcher.release(job)
        self._asker.drop(job)
        self.pump()
        self._on_change()

    def note_read(self, job: Job) -> None:
        """Record the end of a job's prefill, on its first event."""
        job.end_reading()
        self._asker.note_read(job)
        self._send_due(clock.now())

    def pump(self) -> None:
        """Run a scheduling round now, or soon if the last one was long."""
        now = clock.now()
        if now < self._next_round:
            self._plan(self._next_round - now)
            return
        self._decide(now)
        took_s = clock.now() - now
        if took_s > LONG_ROUND_S:
            self._next_round = now + (1 + PAUSE_FACTOR) * took_s

    def _plan(self, seconds: float) -> None:
        """Schedule a round for all that comes until then, unless one is scheduled."""
        if not self._is_planned:
            self._is_planned = True
            eventlet.spawn_after(seconds, self._run_planned)

    def _run_planned(self) -> None:
        self._is_planned = False
        self.pump()

    def _decide(self, now: float) -> None:
        for job in self._asker.unanswered(now):
            self._dispatcher.submit(job)
        decisions = self._dispatcher.pump(now)
        for decision in decisions:
            if self._granter.decide(decision):
                continue
            if isinstance(decision, Placed):
                self._asker.hold(decision.job)
            self._tell(decision)
        self._tell_all(self._asker.expire(now))
        self._send_due(now)
        if decisions:
            self._on_change()

    def reconsider(self) -> None:
        """Select coordinators anew, and release the slots of expired leases."""
        now = clock.now()
        for job in self._asker.reconsider(now):
            self._dispatcher.submit(job)
        self._granter.expire(now)
        self.pump()

    def take_state(self, state: PlacingState) -> None:
        """Handle what another entry waits for and holds."""
        if self._granter.take(state, clock.now()):
            self.pump()

    def take_answer(self, reply: PlacingAnswer) -> None:
        """Handle the decisions of a coordinator."""
        now = clock.now()
        self._tell_all(self._asker.take(reply, now))
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        for address, state in self._asker.due(now):
            self._send(state, address)
            if state.waiting:
                eventlet.spawn_after(ANSWER_S + TIMER_S, self.pump)
        for address, reply in self._granter.answers():
            self._send(reply, address)

    def _tell_all(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._tell(decision)
            self._on_change()

    def _tell(self, decision: Decision) -> None:
        waiting = self._waiters.get(id(decision.job))
        if waiting is None or waiting.waiter.ready():
            return
        waiter = waiting.waiter
        if isinstance(decision, Placed):
            waiter.send(decision.endpoint)
        else:
            waiter.send(decision.refusal)


def _wait_s(job: Job, now: float) -> float:
    """Return how long to wait until a job's queue deadline, in seconds."""
    return max(job.give_up - now, TIMER_S)
