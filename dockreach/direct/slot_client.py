"""Requests slots from the coordinators of services, for this entry's own requests.

A state (`SlotState`) is the message that tells a coordinator which requests of this entry
wait for slots of a service and which hold one. The coordinator's replies (`SlotReply`)
grant or deny slots to the waiting ones.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, field

from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .coordinator_selection import CoordinatorSelector
from .digest import Address
from .endpoints import EndpointRow, EndpointTable
from .jobs import MIN_RETRY_AFTER_S, Decision, Job, Placed, Refused
from .message_checks import without_invalid_parts
from .patience import honoured_retry_after_s
from .send_guard import SendGuard
from .slot_messages import (
    Denial,
    Grant,
    HeldJob,
    RecentSend,
    SlotReply,
    SlotState,
    WaitingJob,
)

REPLY_TIMEOUT_S = 0.03
"""Time without a reply after which a state is sent again, in seconds: ten round trips
between data halls, plus a moment in which the coordinator is busy."""

MAX_UNANSWERED_STATES = 3
"""Number of states in a row without a reply after which this entry assigns slots to the
waiting jobs itself."""

DECISION_TIMEOUT_S = (MAX_UNANSWERED_STATES + 1) * REPLY_TIMEOUT_S
"""Time in which a coordinator decides on a job that is not to wait, in seconds; this entry
decides itself before that if the coordinator is unresponsive."""

WAITING_INTERVAL_S = 0.1
"""Longest time between states while a job waits, in seconds: the coordinator repeats a lost
grant in its reply to the next state."""

HOLDING_INTERVAL_S = 0.25
"""Longest time between states while jobs hold slots, in seconds: four of them have to be
lost before the lease expires and the coordinator grants the slots to others."""

LOAD_INTERVAL_S = 0.05
"""Shortest time between states that are sent only because an endpoint reports another
load, in seconds: half the time that a report counts in the mean."""


@dataclass(slots=True)
class _Session:
    """The exchange of this entry with the coordinator of one service.

    Attributes:
        coordinator: The entry to request slots from; ``None`` if this entry assigns the
            service's slots itself.
        waiting: Jobs for which a slot is requested, by number.
        held: Jobs of this entry that hold a slot, by number, whether a coordinator granted
            it or this entry assigned it.
        has_changes: Whether something changed since the last state.
        unanswered_states: Number of states with waiting jobs since the last reply.
        last_sent_at: Monotonic time of the last state, in seconds.
        has_reported_sends: Whether the coordinator knows what this entry sent to endpoints
            before its first request for a slot.
        has_new_load: Whether an endpoint reports a load that is to be passed on at once.
        last_load_sent_at: Monotonic time of the last state with loads, in seconds.
    """

    coordinator: Address | None = None
    waiting: dict[int, Job] = field(default_factory=dict)
    held: dict[int, Job] = field(default_factory=dict)
    has_changes: bool = False
    unanswered_states: int = 0
    last_sent_at: float = 0.0
    has_reported_sends: bool = False
    has_new_load: bool = False
    last_load_sent_at: float = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether a state is to be sent."""
        if self.coordinator is None:
            return False
        if self.has_changes:
            return True
        if self.has_new_load and now >= self.load_due_at:
            return True
        if not self.waiting:
            return bool(self.held) and now - self.last_sent_at >= HOLDING_INTERVAL_S
        return now - self.last_sent_at >= (
            REPLY_TIMEOUT_S if self.unanswered_states else WAITING_INTERVAL_S
        )

    @property
    def load_due_at(self) -> float:
        """When a state may be sent only to pass on loads, in monotonic seconds."""
        return self.last_load_sent_at + LOAD_INTERVAL_S

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the coordinator has not replied to several states."""
        return (
            self.unanswered_states >= MAX_UNANSWERED_STATES
            and now - self.last_sent_at >= REPLY_TIMEOUT_S
        )


class SlotClient:
    """Requests slots from coordinators.

    Args:
        own: This entry's address.
        incarnation: Number of this entry's incarnation, drawn at random at its start.
        coordinator_selector: Selects the coordinator of a service.
        endpoints: The endpoints that have slots.
        guard: Limits what endpoints are sent.

    Attributes:
        fallback_count: Number of jobs that this entry took over from unresponsive
            coordinators.
    """

    def __init__(
        self,
        own: Address,
        incarnation: int,
        coordinator_selector: CoordinatorSelector,
        endpoints: EndpointTable,
        guard: SendGuard | None = None,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._coordinator_selector = coordinator_selector
        self._endpoints = endpoints
        self._guard = guard or SendGuard(coordinator_selector, endpoints)
        self._sessions: dict[str, _Session] = {}
        self._closing_states: list[tuple[Address, SlotState]] = []
        self._state_numbers = itertools.count(1)
        self._job_numbers = itertools.count(1)
        self.fallback_count = 0

    def waiting(self) -> dict[str, int]:
        """Return the number of jobs that wait for a slot, by service."""
        return {
            name: len(session.waiting)
            for name, session in self._sessions.items()
            if session.waiting
        }

    def request_slot(self, job: Job, now: float) -> bool:
        """Request a slot; return whether another entry coordinates the job's service."""
        job.number = next(self._job_numbers)
        session = self._current_session(job.service, now)
        if session.coordinator is None:
            return False
        job.slot_requested_at = now
        session.waiting[job.number] = job
        session.has_changes = True
        return True

    def record_slot(self, job: Job) -> None:
        """Record that a job holds a slot."""
        session = self._sessions.setdefault(job.service, _Session())
        session.held[job.number] = job
        session.has_changes = True

    def record_prefill_end(self, job: Job) -> None:
        """Record that the prefill of a job's prompt has ended."""
        self._sessions.setdefault(job.service, _Session()).has_changes = True

    def record_load(self, row: EndpointRow, now: float) -> float | None:
        """Record that an endpoint has reported its load.

        Returns:
            Time until a state is to be sent that passes the report on, in seconds; ``None``
            if it goes with the next state, or with one for which this was returned before.
        """
        session = self._sessions.get(row.published.service)
        if session is None or session.coordinator is None or session.has_new_load:
            return None
        if not row.load.is_news(now):
            return None
        session.has_new_load = True
        return max(session.load_due_at - now, 0.0)

    def drop(self, job: Job) -> None:
        """Record that a job no longer waits for a slot or holds one."""
        session = self._sessions.get(job.service)
        if session is None:
            return
        waiting_job = session.waiting.pop(job.number, None)
        held_job = session.held.pop(job.number, None)
        session.has_changes = (
            session.has_changes or waiting_job is not None or held_job is not None
        )

    def handle_reply(self, reply: SlotReply, now: float) -> list[Decision]:
        """Handle the decisions of a coordinator."""
        session = self._sessions.get(reply.service)
        if session is None or reply.incarnation != self._incarnation:
            return []
        if reply.address != session.coordinator:
            return []
        reply = without_invalid_parts(reply)
        session.unanswered_states = 0
        session.has_reported_sends = True
        decisions: list[Decision] = []
        for grant in reply.grants:
            placed = self._accept_grant(session, grant, now)
            if placed is not None:
                decisions.append(placed)
        for denial in reply.denials:
            job = session.waiting.pop(denial.number, None)
            if job is not None:
                session.has_changes = True
                decisions.append(Refused(job, _refusal(denial)))
        for job in session.waiting.values():
            job.is_admitted = True
        return decisions

    def _accept_grant(self, session: _Session, grant: Grant, now: float) -> Placed | None:
        """Acquire a granted slot; decline it if the endpoint is gone, unfit or blocked.

        The next state lists endpoints that are blocked for a while, so that the coordinator
        grants a slot elsewhere until then.
        """
        job = session.waiting.get(grant.number)
        if job is None:
            return None
        session.has_changes = True
        row = self._endpoints.get(grant.endpoint)
        if row is None or row.id in job.tried_endpoints or not job.fits(row):
            job.tried_endpoints.add(grant.endpoint)
            return None
        block = self._guard.grant_block(row, now)
        if block is not None:
            if block.until == math.inf:
                job.tried_endpoints.add(row.id)
            return None
        del session.waiting[job.number]
        self._guard.record_send(row, now)
        job.acquire_slot(
            row, prefill_ahead=grant.prefill_ahead, found_free_slot=grant.found_free_slot
        )
        job.slot_at = now
        job.start_prefill(grant.prefill_tokens)
        job.load_percent = grant.load_percent
        job.granted_by = session.coordinator.ip if session.coordinator else ""
        session.held[job.number] = job
        return Placed(job, row)

    def expire(self, now: float) -> list[Decision]:
        """Refuse jobs on which no coordinator has decided in time."""
        decisions: list[Decision] = []
        for session in self._sessions.values():
            expired = [job for job in session.waiting.values() if now >= expires_at(job)]
            for job in expired:
                del session.waiting[job.number]
                session.has_changes = True
                after_s = honoured_retry_after_s(MIN_RETRY_AFTER_S, job.gives_up_at, now)
                decisions.append(Refused(job, _NO_SLOT._replace(retry_after_s=after_s)))
        return decisions

    def fall_back(self, now: float) -> list[Job]:
        """Abandon unresponsive coordinators.

        Returns:
            Jobs that waited for them, to which this entry has to assign slots itself.
        """
        jobs: list[Job] = []
        for service, session in self._sessions.items():
            if session.coordinator is None or not session.is_unresponsive(now):
                continue
            self._coordinator_selector.mark_unresponsive(session.coordinator, now)
            self.fallback_count += len(session.waiting)
            log(
                Event.COORDINATOR_SILENT,
                service=service,
                peer=session.coordinator.ip,
                waiting=len(session.waiting),
            )
            jobs.extend(self._abandon_coordinator(service, session))
        return jobs

    def _current_session(self, service: str, now: float) -> _Session:
        """Return the session of a service, switched to its current coordinator."""
        session = self._sessions.setdefault(service, _Session())
        coordinator = self._coordinator_selector.coordinator_of(service, now)
        if coordinator != session.coordinator:
            self._close(service, session)
            session.coordinator = coordinator
            session.unanswered_states = 0
            session.has_changes = True
            session.has_reported_sends = False
        return session

    def _close(self, service: str, session: _Session) -> None:
        """Queue an empty state, with which the coordinator releases this entry's slots."""
        if session.coordinator is not None:
            self._closing_states.append(
                (session.coordinator, self._new_state(service, [], [], []))
            )

    def _abandon_coordinator(self, service: str, session: _Session) -> list[Job]:
        """Stop requesting slots from a coordinator; return the jobs that waited for it."""
        self._close(service, session)
        jobs = list(session.waiting.values())
        session.waiting.clear()
        session.coordinator = None
        session.unanswered_states = 0
        return jobs

    def refresh_coordinators(self, now: float) -> list[Job]:
        """Select the coordinators of all services anew.

        Returns:
            Jobs to which this entry has to assign slots itself now.
        """
        jobs: list[Job] = []
        for service in list(self._sessions):
            session = self._current_session(service, now)
            if session.coordinator is None and session.waiting:
                jobs.extend(session.waiting.values())
                session.waiting.clear()
        return jobs

    def due_states(self, now: float) -> list[tuple[Address, SlotState]]:
        """Return the states that are to be sent now, with their recipients."""
        states, self._closing_states = self._closing_states, []
        for service, session in self._sessions.items():
            if session.coordinator is None or not session.is_due(now):
                continue
            blocked_s = (
                self._guard.grants_blocked_s(service, now) if session.waiting else {}
            )
            waiting = [
                _waiting_job(job, now, blocked_s) for job in session.waiting.values()
            ]
            held = [
                _held_job(job, now)
                for job in session.held.values()
                if job.endpoint is not None
            ]
            session.has_changes = False
            session.last_sent_at = now
            session.unanswered_states += bool(waiting)
            sends = self._recent_sends(service, session, now) if held or waiting else []
            state = self._new_state(service, waiting, held, sends)
            state.loads = self._endpoints.take_loads(service, now)
            session.has_new_load = False
            if state.loads:
                session.last_load_sent_at = now
            states.append((session.coordinator, state))
        return states

    def _recent_sends(
        self, service: str, session: _Session, now: float
    ) -> list[RecentSend]:
        """Return the recent sends that a new coordinator needs to know.

        They go into each state until its first reply, since a state may be lost.
        """
        if session.has_reported_sends:
            return []
        recent = self._endpoints.recent_send_ages(service, now)
        return [
            RecentSend(endpoint, age) for endpoint, ages in recent.items() for age in ages
        ]

    def _new_state(
        self,
        service: str,
        waiting: list[WaitingJob],
        held: list[HeldJob],
        recent_sends: list[RecentSend],
    ) -> SlotState:
        return SlotState(
            address=self._own,
            incarnation=self._incarnation,
            number=next(self._state_numbers),
            service=service,
            waiting=waiting,
            held=held,
            samples=self._endpoints.drain_samples(service) if held or waiting else [],
            recent_sends=recent_sends,
        )


def expires_at(job: Job) -> float:
    """Return when this entry stops waiting for a decision on a job, in monotonic seconds.

    That is its queue deadline. A job that has none left may still get a slot that is free
    now: only the coordinator knows.
    """
    decided_by = min(job.slot_requested_at + DECISION_TIMEOUT_S, job.deadline)
    return max(job.queue_deadline, decided_by)


_NO_SLOT = Refusal(Verdict.NOT_RUN, Reason.SHED)


def _waiting_job(job: Job, now: float, blocked_s: dict[str, float]) -> WaitingJob:
    return WaitingJob(
        number=job.number,
        route=job.route.name,
        rank=job.rank,
        prompt_tokens=job.prompt_tokens,
        expected_events=job.expected_events,
        prefix=job.prefix,
        age_s=now - job.arrived_at,
        earlier_age_s=now - job.arrived_at,
        # The coordinator's denial arrives before this entry's own deadline.
        queue_timeout_s=max(job.queue_deadline - now - REPLY_TIMEOUT_S, 0.0),
        time_left_s=job.deadline - now,
        is_admitted=job.is_admitted,
        tried_endpoints=list(job.tried_endpoints),
        allowed_halls=None if job.allowed_halls is None else sorted(job.allowed_halls),
        blocked_s=blocked_s,
        organisation=job.organisation,
        hall=job.hall,
        caller_time_left_s=job.caller_deadline - now,
        software_version=job.software_version,
    )


def _held_job(job: Job, now: float) -> HeldJob:
    return HeldJob(
        number=job.number,
        endpoint=job.endpoint.id if job.endpoint is not None else "",
        prefill_tokens=job.prefill_tokens,
        organisation=job.organisation,
        route=job.route.name,
        prompt_tokens=job.prompt_tokens,
        expected_events=job.expected_events if job.is_length_estimated else 0.0,
        events=job.events,
        age_s=max(now - job.slot_at, 0.0),
    )


def _refusal(denial: Denial) -> Refusal:
    try:
        reason = Reason(denial.reason)
    except ValueError:
        # A coordinator of a later version may know more reasons.
        reason = Reason.SHED
    return Refusal(Verdict.NOT_RUN, reason, denial.detail, denial.retry_after_s)
