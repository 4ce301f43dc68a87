"""Lets greenlets wait for decisions, of this entry and of those that it asks."""

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
"""How much later than due a timer is set, in seconds: one that is early looks in vain."""

LONG_ROUND_S = 0.0005
"""A round that takes longer is not followed by another one at once, in seconds."""

PAUSE_FACTOR = 3.0
"""How many times as long as it took a long round is followed by none. With 300 jobs that
wait a round takes a millisecond, and 700 events a second call for one each: more than a
core. Those that ask here would take this entry for silent, and several give the same ones.
"""


class _Waiting(NamedTuple):
    """A job of this entry that waits for a decision."""

    job: Job
    waiter: Waiter


class Scheduler:
    """Finds places for this entry's requests, and gives places to others'.

    Args:
        dispatcher: Decides on the requests that this entry gives places to.
        asker: Asks other entries for places.
        granter: Keeps what other entries ask for.
        send: Sends a message to another entry.
        on_change: Called when requests under way or waiting have changed.
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
        """Wait until a job has a place, or none in time.

        The place must be given back with `release`.
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
            found: EndpointRow | Refusal = waiter.wait()
        except BaseException:
            # The caller left or the time is up: nobody will give the place back.
            self._dispatcher.withdraw(job)
            self._asker.drop(job)
            self.release(job)
            raise
        finally:
            del self._waiters[id(job)]
        return found

    def refuse(self, fingerprint: bytes, refusal: Refusal) -> None:
        """Refuse what waits here of a request; what has a place is left to its try."""
        for job, waiter in list(self._waiters.values()):
            if job.fingerprint == fingerprint and not waiter.ready():
                self._dispatcher.withdraw(job)
                self._asker.drop(job)
                waiter.send(refusal)

    def release(self, job: Job) -> None:
        """Give a place back."""
        if job.endpoint is None:
            return
        self._dispatcher.release(job)
        self._asker.drop(job)
        self.pump()
        self._on_change()

    def note_read(self, job: Job) -> None:
        """Note that an endpoint has read a job's prompt: its first event has come."""
        job.end_reading()
        self._asker.note_read(job)
        self._send_due(clock.now())

    def pump(self) -> None:
        """Decide what can be decided, now or in a moment, and tell it."""
        now = clock.now()
        if now < self._next_round:
            self._plan(self._next_round - now)
            return
        self._decide(now)
        took_s = clock.now() - now
        if took_s > LONG_ROUND_S:
            self._next_round = now + (1 + PAUSE_FACTOR) * took_s

    def _plan(self, seconds: float) -> None:
        """Decide after a while what comes until then."""
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
        """Look whom to ask now, and take back what silent entries hold."""
        now = clock.now()
        for job in self._asker.reconsider(now):
            self._dispatcher.submit(job)
        self._granter.expire(now)
        self.pump()

    def take_state(self, state: PlacingState) -> None:
        """Take in what another entry waits for and holds."""
        if self._granter.take(state, clock.now()):
            self.pump()

    def take_answer(self, answer: PlacingAnswer) -> None:
        """Take in what another entry decided."""
        now = clock.now()
        self._tell_all(self._asker.take(answer, now))
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        for address, state in self._asker.due(now):
            self._send(state, address)
            if state.waiting:
                eventlet.spawn_after(ANSWER_S + TIMER_S, self.pump)
        for address, answer in self._granter.answers():
            self._send(answer, address)

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
    """Return the time to the next moment at which a job may be refused, in seconds."""
    return max(job.give_up - now, TIMER_S)
