"""Decides which waiting request gets the next slot, and which request is refused."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from ..verdict import Reason, Refusal, Verdict
from .endpoint_selection import EndpointSelector
from .endpoints import EndpointRow, EndpointTable
from .fair_shares import FairShares
from .jobs import DEFAULT_RETRY_AFTER_S, Decision, Job, Placed, Refused
from .pressure import Pressure, Rank
from .return_times import ReturnTimes
from .routing_config import Organisation
from .service_queue import ServiceQueue
from .slot_forecast import Chance, JobsAhead, SlotForecast
from .tier_reserve import TierReserve

MAX_RECHECKS = 32
"""Waiting jobs whose chances are checked again in one round, as a part of those waiting.
Checking all of a thousand would double the time of a round."""

VERSION_GONE_REFUSAL = Refusal(
    Verdict.NOT_RUN,
    Reason.SOFTWARE_VERSION,
    "no endpoint has the software version that began the stream",
    retry_after_s=DEFAULT_RETRY_AFTER_S,
)
"""Refusal of a request that continues a stream whose software version serves no more."""

JobKind = tuple[Rank, frozenset[str] | None, bool, frozenset[str], str | None]
"""What decides whether there is a free slot for a job: its tier, the data halls in which it
may run, whether it is another entry's, which endpoints that entry declines, and the
software version that it needs. Jobs of the same kind either all find a free slot or none
does, so that one search is enough for all of them."""


class Dispatcher:
    """Queues jobs that wait for a slot, by service, and assigns slots to them.

    Args:
        endpoints: The endpoints that have slots.
        selector: Selects the endpoint for a job.
        rng: Spreads the times at which refused callers are to return.

    Attributes:
        return_times: The times at which refused callers are expected back.
        shares: Shares of engine time between organisations.
        forecast_rejections: Number of jobs rejected early since the start.
        admitted_rejections: Number of those that were admitted to the queue before.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        selector: EndpointSelector,
        rng: random.Random | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._selector = selector
        self.shares = FairShares(endpoints)
        self._waiting: dict[str, ServiceQueue] = {}
        self._pressure = Pressure()
        self._reserve = TierReserve(endpoints, self._pressure)
        self._reserved: dict[Rank, int] = {}
        self._released: list[Job] = []
        self._slot_forecast = SlotForecast(
            endpoints, selector, self._pressure, self._reserve
        )
        self._round_number = 0
        self._stride = 1
        self.return_times = ReturnTimes(self._slot_forecast, rng or random.Random())
        self.forecast_rejections = 0
        self.admitted_rejections = 0

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting jobs, by service."""
        return {name: len(jobs) for name, jobs in self._waiting.items() if jobs}

    def waiting_by_organisation(self) -> Counter[str]:
        """Return the number of waiting jobs, by organisation."""
        counts: Counter[str] = Counter()
        for queue in self._waiting.values():
            counts.update(queue.waiting_by_organisation())
        return counts

    def apply_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Share engine time between the configuration's organisations, by their rates."""
        self.shares.apply(organisations)
        for queue in self._waiting.values():
            queue.regroup()

    def submit(self, job: Job) -> None:
        """Add a job to the queue of its service."""
        self._pressure.record_arrival(job.service, job.rank, job.arrived_at)
        queue = self._waiting.get(job.service)
        if queue is None:
            queue = ServiceQueue(job.service, self.shares)
            self._waiting[job.service] = queue
        queue.add(job)

    def withdraw(self, job: Job) -> None:
        """Remove a job from its queue, if it still waits there."""
        queue = self._waiting.get(job.service)
        if queue is not None:
            queue.remove(job)

    def release_slot(self, job: Job) -> None:
        """Release the slot of a job that has ended."""
        if job.endpoint is not None:
            self._released.append(job)
        job.release_slot()
        self.shares.release(job)

    def record_held(self, job: Job, now: float) -> None:
        """Charge a job's organisation for a slot that another entry granted."""
        self.shares.charge_held(job, now)

    def run_round(self, now: float) -> list[Decision]:
        """Run a scheduling round over all services.

        Assigns free slots, and refuses jobs whose work can't be done any more before their
        callers give up, or that have hardly a chance of a slot before that.
        """
        self.shares.settle(now)
        for job in self._released:
            self._reserve.record_release(job, now)
        self._released.clear()
        self._round_number += 1
        decisions: list[Decision] = []
        for service in list(self._waiting):
            decisions.extend(self._run_service_round(service, now))
        return decisions

    def _run_service_round(self, service: str, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        queue = self._waiting[service]
        ahead = JobsAhead()
        self._stride = math.ceil(len(queue) / MAX_RECHECKS)
        self._reserved.clear()
        full_kinds: dict[JobKind, float] = {}
        for job in queue.ordered():
            decision = self._decide(job, ahead, full_kinds, now)
            if decision is None:
                job.is_admitted = True
                ahead.add(job)
                continue
            queue.remove(job)
            decisions.append(decision)
        if not queue:
            del self._waiting[service]
        return decisions

    def _decide(
        self, job: Job, ahead: JobsAhead, full_kinds: dict[JobKind, float], now: float
    ) -> Decision | None:
        """Decide on one job; return ``None`` if it goes on waiting.

        Args:
            job: The job.
            ahead: The jobs that are before it in the queue.
            full_kinds: Kinds of jobs for which no slot is free, each with the monotonic
                time, in seconds, at which the first endpoint becomes available; this
                method adds to it.
            now: Monotonic time, in seconds.
        """
        kind = _kind(job)
        row = self._select(job, kind, full_kinds, now)
        if row is not None:
            return self._assign(job, row, now)
        if job.needs_gone_version(self._endpoints, now):
            return Refused(job, VERSION_GONE_REFUSAL)
        if now >= job.queue_deadline:
            return self._refuse(job, Reason.SHED, ahead, now)
        available_at = self._available_at(job, kind, full_kinds, now)
        if available_at >= job.queue_deadline:
            earliest_s = available_at - now
            return self._refuse(job, Reason.SHED, ahead, now, earliest_s=earliest_s)
        detail = self._early_rejection_detail(job, ahead, now)
        if not detail:
            return None
        return self._refuse(job, Reason.HOPELESS, ahead, now, detail)

    def _select(
        self, job: Job, kind: JobKind, full_kinds: dict[JobKind, float], now: float
    ) -> EndpointRow | None:
        """Return the endpoint for a job; search for a free slot once per kind of job.

        A search for each job would take milliseconds whenever a request arrives or ends.
        """
        if kind in full_kinds and not job.tried_endpoints:
            return None
        reserved = self._reserved_for(job, now)
        row = self._selector.select(job, now, reserved=reserved)
        if (
            row is None
            and not job.tried_endpoints
            and not self._selector.has_free_slot(job, now, reserved=reserved)
        ):
            full_kinds[kind] = self._selector.available_at(job, now)
        return row

    def _reserved_for(self, job: Job, now: float) -> int:
        """Return how many slots a job leaves free for higher tiers in this round.

        A tier leaves at least as many free as the higher ones that are waiting.
        """
        if job.rank not in self._reserved:
            own = self._reserve.slots(job.service, job.rank, now)
            self._reserved[job.rank] = max(own, *self._reserved.values(), 0)
        return self._reserved[job.rank]

    def _available_at(
        self, job: Job, kind: JobKind, full_kinds: dict[JobKind, float], now: float
    ) -> float:
        """Return when the first endpoint becomes available to a job that got no slot."""
        known = None if job.tried_endpoints else full_kinds.get(kind)
        return self._selector.available_at(job, now) if known is None else known

    def _assign(self, job: Job, row: EndpointRow, now: float) -> Placed:
        self._selector.record_send(row, now)
        job.acquire_slot(
            row, prefill_ahead=row.prefill_tokens, found_free_slot=row.free_slots > 0
        )
        job.slot_at = now
        self.shares.charge(job, now)
        job.load_percent = row.load.present_percent(now)
        job.start_prefill(max(job.prompt_tokens - row.cached_tokens(job.prefix, now), 0))
        self._pressure.record_assignment(job.service, job.rank, now)
        self._slot_forecast.record_assignment(job)
        return Placed(job, row)

    def _early_rejection_detail(self, job: Job, ahead: JobsAhead, now: float) -> str:
        """Return why a job has hardly a chance of a slot in time; empty if it has.

        If many jobs wait, some of them are checked in each round. Those are left alone that
        have been sent to an endpoint, since they may have run, and those that need one
        software version, whose slots are not forecast.
        """
        if job.is_admitted and (ahead.total + self._round_number) % self._stride:
            return ""
        if job.tried_endpoints or job.software_version is not None:
            return ""
        span_s = job.queue_deadline - now
        chance = self._chance(job, ahead, span_s, now)
        if chance is None or chance.is_real:
            return ""
        self.forecast_rejections += 1
        self.admitted_rejections += job.is_admitted
        return (
            f"{chance.ahead:.0f} ahead, {chance.slots:.1f} slots expected in {span_s:.2f} s"
        )

    def _chance(
        self, job: Job, ahead: JobsAhead, span_s: float, now: float
    ) -> Chance | None:
        """Return how likely a job is to get a slot within a time; ``None`` if not known.

        Without a forecast the rate of the last second decides once, on the arrival: it
        varies too much to send away who has been told to wait.
        """
        chance = self._slot_forecast.chance(job, ahead, span_s, now)
        if chance is not None or job.is_admitted:
            return chance
        slots = self._pressure.expected_slots(job.service, job.rank, span_s, now)
        return None if slots is None else Chance(ahead.total, slots)

    def _refuse(
        self,
        job: Job,
        reason: Reason,
        ahead: JobsAhead,
        now: float,
        detail: str = "",
        *,
        earliest_s: float = 0.0,
    ) -> Refused:
        """Return a refusal with the time at which the caller is to return.

        Args:
            job: The job.
            reason: Why it is refused, if an endpoint may run it at all.
            ahead: The jobs that are before it in the queue.
            now: Monotonic time, in seconds.
            detail: The figures that decided.
            earliest_s: Time until the first endpoint becomes available, in seconds.
        """
        after_s = self.return_times.plan(job, ahead.total, now, earliest_s=earliest_s)
        reason = reason if self._selector.has_endpoint(job) else Reason.NO_ENDPOINT
        return Refused(job, Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s=after_s))


def _kind(job: Job) -> JobKind:
    return (
        job.rank,
        job.allowed_halls,
        job.for_peer,
        frozenset(job.blocked_until),
        job.software_version,
    )
