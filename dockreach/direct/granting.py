"""Grants slots to other entries, as the coordinator of a service.

The requests of other entries go through the same dispatcher as this entry's own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .digest import Address
from .dispatching import Dispatcher
from .endpoints import EndpointTable
from .fleet import Route
from .jobs import Decision, Job, Placed, Refused
from .placing_messages import (
    Denial,
    Grant,
    HeldJob,
    PlacingAnswer,
    PlacingState,
    WaitingJob,
)

LEASE_S = 1.0
"""Time without a state after which an entry's slots are granted to others, in seconds: four
states of an entry that only holds slots."""


@dataclass(slots=True)
class _Asking:
    """One entry that requests slots of one service.

    Attributes:
        number: Number of its latest state.
        heard: Monotonic time at which that state was received, in seconds.
        waiting: Jobs that wait in the dispatcher, by number.
        granted: Jobs with a slot, by number.
        denied: Refusals, by number; repeated until a state no longer contains the job.
        wanted: Numbers of the jobs that wait according to the latest state.
        is_owed: Whether a reply is to be sent.
    """

    address: Address
    incarnation: int
    number: int = 0
    heard: float = 0.0
    waiting: dict[int, Job] = field(default_factory=dict)
    granted: dict[int, Job] = field(default_factory=dict)
    denied: dict[int, Denial] = field(default_factory=dict)
    wanted: set[int] = field(default_factory=set)
    is_owed: bool = False


class Granter:
    """Grants slots to other entries' requests, under leases that their states renew.

    Args:
        own: This entry's address.
        dispatcher: Decides on all requests, this entry's own and others'.
        endpoints: The endpoints that have slots.
        route_of: Returns a route by its name; ``None`` if it is not known.

    Attributes:
        grants: Number of slots granted since the start.
    """

    def __init__(
        self,
        own: Address,
        dispatcher: Dispatcher,
        endpoints: EndpointTable,
        route_of: Callable[[str], Route | None],
    ) -> None:
        self._own = own
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._route_of = route_of
        self._asking: dict[tuple[Address, str], _Asking] = {}
        self._askers_of: dict[int, tuple[_Asking, int]] = {}
        self.grants = 0

    def __len__(self) -> int:
        return len(self._asking)

    def is_asked(self, service: str) -> bool:
        """Return whether other entries request slots of a service from this one."""
        return any(client_service == service for _, client_service in self._asking)

    def asks_here(self, address: Address, service: str) -> bool:
        """Return whether an entry requests slots of a service from this one."""
        return (address, service) in self._asking

    def take(self, state: PlacingState, now: float) -> bool:
        """Handle what an entry waits for and holds; return whether the state was new."""
        key = (state.address, state.service)
        client = self._asking.get(key)
        if client is not None and client.incarnation != state.incarnation:
            self._forget(key, client)
            client = None
        if client is None:
            if not state.waiting and not state.held:
                return False
            for send in state.sends:
                self._endpoints.note_send(send.endpoint, now - send.age_s)
            client = _Asking(state.address, state.incarnation)
            self._asking[key] = client
        if state.number <= client.number:
            return False
        client.number = state.number
        client.heard = now
        for sample in state.samples:
            self._endpoints.learn(sample, now)
        self._take_held(client, state, now)
        self._take_waiting(client, state, now)
        if not client.waiting and not client.granted and not client.wanted:
            self._forget(key, client)
        return True

    def _take_held(self, client: _Asking, state: PlacingState, now: float) -> None:
        held = {job.number: job for job in state.held}
        waiting = {job.number for job in state.waiting}
        for number, job in list(client.granted.items()):
            held_job = held.get(number)
            if held_job is not None:
                _note_read(job, held_job, now)
            elif number not in waiting:
                self._end(client.granted.pop(number))
        for number, held_job in held.items():
            if number not in client.granted:
                self._adopt(client, held_job, state.service, now)

    def _adopt(self, client: _Asking, held_job: HeldJob, service: str, now: float) -> None:
        """Count a slot that was granted elsewhere, or that the client acquired itself."""
        waiting = client.waiting.pop(held_job.number, None)
        if waiting is not None:
            self._end(waiting)
        row = self._endpoints.get(held_job.endpoint)
        if row is None:
            return
        job = Job.of_peer(service, arrived=now)
        job.take_place(row, read_ahead=0, met_place=False)
        client.granted[held_job.number] = job

    def _take_waiting(self, client: _Asking, state: PlacingState, now: float) -> None:
        requested = {job.number: job for job in state.waiting}
        client.wanted = set(requested)
        client.is_owed = bool(requested)
        for number in client.denied.keys() - requested.keys():
            del client.denied[number]
        for number in client.waiting.keys() - requested.keys():
            self._end(client.waiting.pop(number))
        for number, waiting_job in requested.items():
            granted = client.granted.get(number)
            if granted is not None and _declines(waiting_job, granted):
                self._end(client.granted.pop(number))
                granted = None
            if number in client.waiting:
                client.waiting[number].held_until = _held_until(waiting_job, now)
            elif granted is None and number not in client.denied:
                self._submit(client, waiting_job, state.service, now)

    def _submit(
        self, client: _Asking, waiting_job: WaitingJob, service: str, now: float
    ) -> None:
        route = self._route_of(waiting_job.route)
        if route is None:
            # The configuration is older here. Without a reply the client acquires a slot
            # itself.
            client.is_owed = False
            return
        job = Job(
            rid=f"{client.address.ip}/{waiting_job.number}",
            route=route,
            service=service,
            rank=waiting_job.rank,
            prompt_tokens=waiting_job.prompt_tokens,
            events=waiting_job.events,
            prefix=waiting_job.prefix,
            arrived=now - waiting_job.arrived_s,
            give_up=now + waiting_job.give_up_s,
            ends=now + waiting_job.ends_s,
            tried_at=now - waiting_job.tried_s,
            was_weighed=waiting_job.was_weighed,
            tried=set(waiting_job.tried),
            halls=None if waiting_job.halls is None else frozenset(waiting_job.halls),
            held_until=_held_until(waiting_job, now),
            number=waiting_job.number,
            for_peer=True,
        )
        client.waiting[waiting_job.number] = job
        self._askers_of[id(job)] = (client, waiting_job.number)
        self._dispatcher.submit(job)

    def decide(self, decision: Decision) -> bool:
        """Record a decision of the dispatcher; return whether it is on a client's job."""
        owner = self._askers_of.pop(id(decision.job), None)
        if owner is None:
            return False
        client, number = owner
        client.waiting.pop(number, None)
        client.is_owed = True
        if isinstance(decision, Placed):
            client.granted[number] = decision.job
            self.grants += 1
        else:
            client.denied[number] = _denial(number, decision)
        return True

    def answers(self) -> list[tuple[Address, PlacingAnswer]]:
        """Return the replies that are to be sent now, with their recipients."""
        replies = []
        for (address, service), client in self._asking.items():
            if client.is_owed:
                client.is_owed = False
                replies.append((address, self._answer(client, service)))
        return replies

    def _answer(self, client: _Asking, service: str) -> PlacingAnswer:
        return PlacingAnswer(
            address=self._own,
            incarnation=client.incarnation,
            number=client.number,
            service=service,
            grants=[
                _grant(number, client.granted[number])
                for number in client.granted.keys() & client.wanted
            ],
            denials=list(client.denied.values()),
        )

    def expire(self, now: float) -> bool:
        """Release the slots of clients whose leases have expired.

        Returns:
            Whether there were any.
        """
        expired = [
            key for key, client in self._asking.items() if now - client.heard > LEASE_S
        ]
        for key in expired:
            self._forget(key, self._asking[key])
        return bool(expired)

    def _forget(self, key: tuple[Address, str], client: _Asking) -> None:
        for job in [*client.waiting.values(), *client.granted.values()]:
            self._end(job)
        del self._asking[key]

    def _end(self, job: Job) -> None:
        """Remove a job from the dispatcher, and release its slot if it has one."""
        self._askers_of.pop(id(job), None)
        self._dispatcher.withdraw(job)
        self._dispatcher.release(job)


def _note_read(job: Job, held_job: HeldJob, now: float) -> None:
    """Record the end of a job's prefill, after which the endpoint caches its prompt."""
    if held_job.unread or not job.reading:
        return
    row = job.endpoint
    job.end_reading()
    if row is not None:
        for part, _ in job.prefix:
            row.keep_prefix(part, now)


def _declines(waiting_job: WaitingJob, granted: Job) -> bool:
    """Return whether a client reports that it does not use the slot that it was granted."""
    row = granted.endpoint
    return row is not None and (row.id in waiting_job.tried or row.id in waiting_job.holds)


def _held_until(waiting_job: WaitingJob, now: float) -> dict[str, float]:
    return {endpoint: now + seconds for endpoint, seconds in waiting_job.holds.items()}


def _grant(number: int, job: Job) -> Grant:
    endpoint = job.endpoint.id if job.endpoint is not None else ""
    return Grant(number, endpoint, job.reading, job.read_ahead, job.met_place)


def _denial(number: int, decision: Refused) -> Denial:
    refusal = decision.refusal
    return Denial(number, refusal.reason.value, refusal.detail, refusal.retry_after_s)
