"""Grants slots to other entries, as the coordinator of a service.

The requests of other entries go through the same dispatcher as this entry's own. A state
(`SlotState`) is the message in which a client, that is another entry, lists its requests
that wait for slots of a service or hold them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .digest import Address
from .dispatching import Dispatcher
from .endpoints import EndpointTable
from .jobs import Decision, Job, Placed, Refused
from .message_checks import without_invalid_parts
from .routing_config import Route
from .slot_messages import (
    Denial,
    Grant,
    HeldJob,
    SlotReply,
    SlotState,
    WaitingJob,
)

LEASE_S = 1.0
"""Time without a state after which an entry's slots are granted to others, in seconds: four
states of an entry that only holds slots."""


@dataclass(slots=True)
class _Client:
    """One entry that requests slots of one service.

    Attributes:
        state_number: Number of its latest state.
        received_at: Monotonic time at which that state was received, in seconds.
        waiting: Jobs that wait in the dispatcher, by number.
        granted: Jobs with a slot, by number.
        denied: Refusals, by number; repeated until a state no longer contains the job.
        requested: Numbers of the jobs that wait according to the latest state.
        needs_reply: Whether a reply is to be sent.
    """

    address: Address
    incarnation: int
    state_number: int = 0
    received_at: float = 0.0
    waiting: dict[int, Job] = field(default_factory=dict)
    granted: dict[int, Job] = field(default_factory=dict)
    denied: dict[int, Denial] = field(default_factory=dict)
    requested: set[int] = field(default_factory=set)
    needs_reply: bool = False


class SlotServer:
    """Grants slots to other entries' requests, under leases that their states renew.

    Args:
        own: This entry's address.
        dispatcher: Decides on all requests, this entry's own and others'.
        endpoints: The endpoints that have slots.
        route_of: Returns a route by its name; ``None`` if it is not known.

    Attributes:
        grant_count: Number of slots granted since the start.
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
        self._clients: dict[tuple[Address, str], _Client] = {}
        self._client_of_job: dict[int, tuple[_Client, int]] = {}
        self.grant_count = 0

    def __len__(self) -> int:
        return len(self._clients)

    def has_clients(self, service: str) -> bool:
        """Return whether other entries request slots of a service from this one."""
        return any(client_service == service for _, client_service in self._clients)

    def is_client(self, address: Address, service: str) -> bool:
        """Return whether an entry requests slots of a service from this one."""
        return (address, service) in self._clients

    def handle_state(self, state: SlotState, now: float) -> bool:
        """Handle what an entry waits for and holds; return whether the state was new."""
        state = without_invalid_parts(state)
        key = (state.address, state.service)
        client = self._clients.get(key)
        if client is not None and client.incarnation != state.incarnation:
            self._remove_client(key, client)
            client = None
        if client is None:
            if not state.waiting and not state.held:
                return False
            for send in state.recent_sends:
                self._endpoints.record_send(send.endpoint, now - send.age_s)
            client = _Client(state.address, state.incarnation)
            self._clients[key] = client
        if state.number <= client.state_number:
            return False
        client.state_number = state.number
        client.received_at = now
        for report in state.loads:
            self._endpoints.merge_load(report, now)
        for sample in state.samples:
            self._endpoints.merge_sample(sample, now)
        self._apply_held(client, state, now)
        self._apply_waiting(client, state, now)
        if not client.waiting and not client.granted and not client.requested:
            self._remove_client(key, client)
        return True

    def _apply_held(self, client: _Client, state: SlotState, now: float) -> None:
        held = {job.number: job for job in state.held}
        waiting = {job.number for job in state.waiting}
        for number, job in list(client.granted.items()):
            held_job = held.get(number)
            if held_job is not None:
                job.record_events(held_job.events, now)
                job.is_length_estimated = held_job.expected_events > 0
                job.expected_events = held_job.expected_events or job.expected_events
                _record_prefill_end(job, held_job, now)
            elif number not in waiting:
                self._end_job(client.granted.pop(number))
        for number, held_job in held.items():
            if number not in client.granted:
                self._record_held_slot(client, held_job, state.service, now)

    def _record_held_slot(
        self, client: _Client, held_job: HeldJob, service: str, now: float
    ) -> None:
        """Count a slot that was granted elsewhere, or that the client acquired itself."""
        queued = client.waiting.pop(held_job.number, None)
        if queued is not None:
            self._end_job(queued)
        row = self._endpoints.get(held_job.endpoint)
        if row is None:
            return
        job = Job.peer_placeholder(service, arrived_at=now - held_job.age_s)
        job.route = self._route_of(held_job.route) or job.route
        job.organisation = held_job.organisation
        job.prompt_tokens = held_job.prompt_tokens
        job.expected_events = held_job.expected_events
        job.is_length_estimated = held_job.expected_events > 0
        job.slot_at = now - held_job.age_s
        job.record_events(held_job.events, now)
        job.acquire_slot(row, prefill_ahead=0, found_free_slot=False)
        client.granted[held_job.number] = job
        self._dispatcher.record_held(job, now)

    def _apply_waiting(self, client: _Client, state: SlotState, now: float) -> None:
        requested = {job.number: job for job in state.waiting}
        client.requested = set(requested)
        client.needs_reply = bool(requested)
        for number in client.denied.keys() - requested.keys():
            del client.denied[number]
        for number in client.waiting.keys() - requested.keys():
            self._end_job(client.waiting.pop(number))
        for number, waiting_job in requested.items():
            granted = client.granted.get(number)
            if granted is not None and _is_declined(waiting_job, granted):
                self._end_job(client.granted.pop(number))
                granted = None
            if number in client.waiting:
                client.waiting[number].blocked_until = _blocked_until(waiting_job, now)
            elif granted is None and number not in client.denied:
                self._submit(client, waiting_job, state.service, now)

    def _submit(
        self, client: _Client, waiting_job: WaitingJob, service: str, now: float
    ) -> None:
        route = self._route_of(waiting_job.route)
        if route is None:
            # The configuration is older here. Without a reply the client acquires a slot
            # itself.
            client.needs_reply = False
            return
        job = Job(
            rid=f"{client.address.ip}/{waiting_job.number}",
            route=route,
            service=service,
            rank=waiting_job.rank,
            prompt_tokens=waiting_job.prompt_tokens,
            expected_events=waiting_job.expected_events,
            prefix=waiting_job.prefix,
            arrived_at=now - waiting_job.age_s,
            queue_deadline=now + waiting_job.queue_timeout_s,
            deadline=now + waiting_job.time_left_s,
            is_admitted=waiting_job.is_admitted,
            tried_endpoints=set(waiting_job.tried_endpoints),
            allowed_halls=None
            if waiting_job.allowed_halls is None
            else frozenset(waiting_job.allowed_halls),
            blocked_until=_blocked_until(waiting_job, now),
            number=waiting_job.number,
            for_peer=True,
            organisation=waiting_job.organisation,
            hall=waiting_job.hall,
            caller_deadline=now + waiting_job.caller_time_left_s,
            software_version=waiting_job.software_version,
        )
        client.waiting[waiting_job.number] = job
        self._client_of_job[id(job)] = (client, waiting_job.number)
        self._dispatcher.submit(job)

    def record_decision(self, decision: Decision) -> bool:
        """Record a decision of the dispatcher; return whether it is on a client's job."""
        owner = self._client_of_job.pop(id(decision.job), None)
        if owner is None:
            return False
        client, number = owner
        client.waiting.pop(number, None)
        client.needs_reply = True
        if isinstance(decision, Placed):
            client.granted[number] = decision.job
            self.grant_count += 1
        else:
            client.denied[number] = _denial(number, decision)
        return True

    def pending_replies(self) -> list[tuple[Address, SlotReply]]:
        """Return the replies that are to be sent now, with their recipients."""
        replies: list[tuple[Address, SlotReply]] = []
        for (address, service), client in self._clients.items():
            if client.needs_reply:
                client.needs_reply = False
                replies.append((address, self._reply(client, service)))
        return replies

    def _reply(self, client: _Client, service: str) -> SlotReply:
        return SlotReply(
            address=self._own,
            incarnation=client.incarnation,
            number=client.state_number,
            service=service,
            grants=[
                _grant(number, client.granted[number])
                for number in client.granted.keys() & client.requested
            ],
            denials=list(client.denied.values()),
        )

    def expire(self, now: float) -> bool:
        """Release the slots of clients whose leases have expired.

        Returns:
            Whether there were any.
        """
        expired = [
            key
            for key, client in self._clients.items()
            if now - client.received_at > LEASE_S
        ]
        for key in expired:
            self._remove_client(key, self._clients[key])
        return bool(expired)

    def _remove_client(self, key: tuple[Address, str], client: _Client) -> None:
        for job in [*client.waiting.values(), *client.granted.values()]:
            self._end_job(job)
        del self._clients[key]

    def _end_job(self, job: Job) -> None:
        """Remove a job from the dispatcher, and release its slot if it has one."""
        self._client_of_job.pop(id(job), None)
        self._dispatcher.withdraw(job)
        self._dispatcher.release_slot(job)


def _record_prefill_end(job: Job, held_job: HeldJob, now: float) -> None:
    """Record the end of a job's prefill, after which the endpoint caches its prompt."""
    if held_job.prefill_tokens or not job.prefill_tokens:
        return
    row = job.endpoint
    job.end_prefill()
    if row is not None:
        for part, _ in job.prefix:
            row.record_prefix(part, now)


def _is_declined(waiting_job: WaitingJob, granted: Job) -> bool:
    """Return whether a client reports that it does not use the slot that it was granted."""
    row = granted.endpoint
    return row is not None and (
        row.id in waiting_job.tried_endpoints or row.id in waiting_job.blocked_s
    )


def _blocked_until(waiting_job: WaitingJob, now: float) -> dict[str, float]:
    return {endpoint: now + seconds for endpoint, seconds in waiting_job.blocked_s.items()}


def _grant(number: int, job: Job) -> Grant:
    endpoint = job.endpoint.id if job.endpoint is not None else ""
    return Grant(
        number,
        endpoint,
        job.prefill_tokens,
        job.prefill_ahead,
        job.found_free_slot,
        load_percent=job.load_percent,
    )


def _denial(number: int, decision: Refused) -> Denial:
    refusal = decision.refusal
    return Denial(number, refusal.reason.value, refusal.detail, refusal.retry_after_s)
