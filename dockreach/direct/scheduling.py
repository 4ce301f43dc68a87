"""Lets greenlets wait for slots, whether this entry or another one assigns them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import eventlet
from eventlet.event import Event as Waiter

from .. import clock
from ..verdict import Refusal
from .digest import Address
from .dispatching import Dispatcher
from .endpoints import EndpointRow
from .jobs import Decision, Job, Placed
from .slot_client import REPLY_TIMEOUT_S, SlotClient, expires_at
from .slot_messages import SlotReply, SlotState
from .slot_server import SlotServer

TIMER_SLACK_S = 0.001
"""Added to the delay of a timer, in seconds: one that fires early finds nothing to do."""

LONG_ROUND_S = 0.0005
"""Duration, in seconds, from which a scheduling round is followed by a pause."""

ROUND_PAUSE_FACTOR = 3.0
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
        slot_client: Requests slots from other entries.
        slot_server: Holds the slot requests of other entries.
        send: Sends a message to another entry.
        on_change: Called when requests in flight or waiting have changed.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        slot_client: SlotClient,
        slot_server: SlotServer,
        send: Callable[[SlotState | SlotReply, Address], None],
        on_change: Callable[[], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._slot_client = slot_client
        self._slot_server = slot_server
        self._send = send
        self._on_change = on_change
        self._waiters: dict[int, _Waiting] = {}
        self._next_round_at = 0.0
        self._is_round_scheduled = False

    def acquire_slot(self, job: Job) -> EndpointRow | Refusal:
        """Wait until a job gets a slot or is refused.

        The caller must release the slot with `release_slot`.

        Returns:
            The endpoint of the slot, or the refusal.
        """
        waiter = Waiter()
        self._waiters[id(job)] = _Waiting(job, waiter)
        job.granted_by = ""
        if not self._slot_client.request_slot(job, clock.now()):
            self._dispatcher.submit(job)
        try:
            self.run_round()
            while not waiter.ready():
                with eventlet.Timeout(_timeout_s(job, clock.now()), False):
                    waiter.wait()
                self.run_round()
            outcome: EndpointRow | Refusal = waiter.wait()
        except BaseException:
            # The caller disconnected, or its time is up: nothing else releases the slot.
            self._dispatcher.withdraw(job)
            self._slot_client.drop(job)
            self.release_slot(job)
            raise
        finally:
            del self._waiters[id(job)]
        return outcome

    def refuse(self, refusal_of: Callable[[Job], Refusal | None]) -> None:
        """Refuse some of the requests that wait here for a slot.

        If one has a slot already, its upstream attempt goes on.

        Args:
            refusal_of: Returns the refusal of a request; ``None`` if it goes on waiting.
        """
        for job, waiter in list(self._waiters.values()):
            refusal = None if waiter.ready() else refusal_of(job)
            # A refusal is falsy, so compare with `None` instead of testing its truth.
            if refusal is not None:
                self._dispatcher.withdraw(job)
                self._slot_client.drop(job)
                waiter.send(refusal)

    def organisation_share(self, service: str, organisation: str) -> float | None:
        """Return an organisation's part of a service's engine time in the last 4 s."""
        return self._dispatcher.shares.share(service, organisation, clock.now())

    def release_slot(self, job: Job) -> None:
        """Release the slot of a job, if it holds one."""
        if job.endpoint is None:
            return
        self._dispatcher.release_slot(job)
        self._slot_client.drop(job)
        self.run_round()
        self._on_change()

    def record_prefill_end(self, job: Job) -> None:
        """Record the end of a job's prefill, on its first event."""
        job.end_prefill()
        self._slot_client.record_prefill_end(job)
        self._send_due(clock.now())

    def record_load(self, row: EndpointRow) -> None:
        """Pass on the load that an endpoint has just reported, if that is urgent."""
        delay_s = self._slot_client.record_load(row, clock.now())
        if delay_s is None:
            return
        if delay_s:
            eventlet.spawn_after(delay_s + TIMER_SLACK_S, self._send_loads)
        else:
            self._send_loads()

    def _send_loads(self) -> None:
        self._send_due(clock.now())

    def run_round(self) -> None:
        """Run a scheduling round now, or soon if the last one was long."""
        now = clock.now()
        if now < self._next_round_at:
            self._schedule_round(self._next_round_at - now)
            return
        self._decide(now)
        took_s = clock.now() - now
        if took_s > LONG_ROUND_S:
            self._next_round_at = now + (1 + ROUND_PAUSE_FACTOR) * took_s

    def _schedule_round(self, seconds: float) -> None:
        """Schedule a round that handles all events until then, unless one is scheduled."""
        if not self._is_round_scheduled:
            self._is_round_scheduled = True
            eventlet.spawn_after(seconds, self._run_scheduled_round)

    def _run_scheduled_round(self) -> None:
        self._is_round_scheduled = False
        self.run_round()

    def _decide(self, now: float) -> None:
        for job in self._slot_client.fall_back(now):
            self._dispatcher.submit(job)
        decisions = self._dispatcher.run_round(now)
        for decision in decisions:
            if self._slot_server.record_decision(decision):
                continue
            if isinstance(decision, Placed):
                self._slot_client.record_slot(decision.job)
            self._notify(decision)
        self._notify_all(self._slot_client.expire(now))
        self._send_due(now)
        if decisions:
            self._on_change()

    def refresh_coordinators(self) -> None:
        """Select coordinators anew, and release the slots of expired leases."""
        now = clock.now()
        for job in self._slot_client.refresh_coordinators(now):
            self._dispatcher.submit(job)
        self._slot_server.expire(now)
        self.run_round()

    def handle_state(self, state: SlotState) -> None:
        """Handle what another entry waits for and holds."""
        if self._slot_server.handle_state(state, clock.now()):
            self.run_round()

    def handle_reply(self, reply: SlotReply) -> None:
        """Handle the decisions of a coordinator."""
        now = clock.now()
        decisions = self._slot_client.handle_reply(reply, now)
        for decision in decisions:
            if isinstance(decision, Placed):
                self._dispatcher.record_held(decision.job, now)
        self._notify_all(decisions)
        self._send_due(now)

    def _send_due(self, now: float) -> None:
        for address, state in self._slot_client.due_states(now):
            self._send(state, address)
            if state.waiting:
                eventlet.spawn_after(REPLY_TIMEOUT_S + TIMER_SLACK_S, self.run_round)
        for address, reply in self._slot_server.pending_replies():
            self._send(reply, address)

    def _notify_all(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._notify(decision)
            self._on_change()

    def _notify(self, decision: Decision) -> None:
        waiting = self._waiters.get(id(decision.job))
        if waiting is None or waiting.waiter.ready():
            return
        waiter = waiting.waiter
        if isinstance(decision, Placed):
            waiter.send(decision.endpoint)
        else:
            waiter.send(decision.refusal)


def _timeout_s(job: Job, now: float) -> float:
    """Return the time until a job expires, at least the slack, in seconds."""
    return max(expires_at(job) - now, TIMER_SLACK_S)
