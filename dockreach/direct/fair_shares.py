"""Shares of engine time between organisations: start-time fair queueing.

Load pattern: one organisation sends seven times its usual load and stays within its quota,
or more organisations want slots of a tier than there are. In the order of first attempts,
the largest sender would get nearly all slots, and the others would be refused.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each organisation has a virtual start
time, which advances by the engine time of each of its requests, divided by its weight. The
request with the earliest one goes first. The virtual time of a tier is the start time of
the request that got the last slot. An organisation that has waiting requests again starts
at the virtual time: it is neither repaid for the time without requests, nor charged for
slots that it used while no other organisation wanted them.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .endpoints import PLAIN_PRIOR_S, EndpointTable
from .engine_speed import EngineSpeed
from .jobs import Job
from .patience import MIN_STREAM_PATIENCE_S
from .pressure import Rank
from .routing_config import Organisation

MIN_ORGANISATIONS = 2
"""Number of organisations with a rate from which shares are in force."""

MEAN_WEIGHT = 1.0
"""Weight of organisations without a rate; the rates are divided by their mean."""

MAX_ORGANISATIONS = 1024
"""Organisations of a service whose start times or engine times are kept: three times as
many as the deployments have. Tiers count separately."""

MAX_EVICTION_SEARCH = 32
"""Organisations that are searched for an idle one when a further one is to be kept; this
bounds the time that a grant takes."""

MAX_CORRECTION_S = MIN_STREAM_PATIENCE_S
"""Largest engine time, in seconds, by which an organisation is behind the virtual time
after a correction, or that is deducted from its later charges: all callers wait that long,
so that none gives up for what its organisation used before."""

SHARE_WINDOW_S = 4.0
"""Window of the share that is logged, in seconds."""

BUCKET_S = 0.5
"""Length of the time buckets in which that share is counted, in seconds."""

MEAN_SPEED_AGE_S = 0.25
"""Age from which a service's mean engine speed is computed anew, in seconds: entries send
their measurements that often."""

MIN_ENGINE_S = 0.001
"""Lower bound of the engine time of a request, in seconds."""

MAX_ENGINE_S = 600.0
"""Upper bound of the engine time of a request without a deadline or timeout, in seconds;
the virtual time then stays small enough to add the shortest charges without rounding."""


@dataclass(slots=True)
class _Flow:
    """One organisation's requests in one tier of a service.

    Attributes:
        start: Virtual start time of its next request.
        running: Number of its requests with a slot.
        running_s: Their estimated engine time, in seconds.
        refund_s: Engine time that was charged and not used, in seconds; it is deducted from
            the next charges. If the start time were set back by all of it, an organisation
            with many short requests would be served several times in a row.
    """

    start: float
    running: int = 0
    running_s: float = 0.0
    refund_s: float = 0.0


@dataclass(slots=True)
class _Tier:
    """One tier of a service.

    Attributes:
        virtual_time: Start time of the request that got the last slot, in engine seconds of
            an organisation of mean weight.
        flows: Organisations that were charged; the one charged last is at the end.
        changed: Those whose start times have changed since the queue asked last, also
            dropped ones.
        is_all_changed: Whether they are too many to be listed.
        unnamed_weight: Weight of the requests without an organisation.
    """

    virtual_time: float = 0.0
    flows: dict[str, _Flow] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    is_all_changed: bool = False
    unnamed_weight: float = MEAN_WEIGHT

    def mark_changed(self, organisation: str) -> None:
        """Note that an organisation's start time has changed."""
        if len(self.changed) >= MAX_ORGANISATIONS:
            self.is_all_changed = True
            self.changed.clear()
        if not self.is_all_changed:
            self.changed.add(organisation)


_NEW_TIER = _Tier()
"""Stands for a tier in which no organisation was charged yet."""


class _Charge(NamedTuple):
    """What an organisation was charged for a request that has a slot.

    Attributes:
        engine_s: The estimated engine time, in seconds.
        since: Monotonic time from which this entry counts the slot, in seconds.
    """

    rank: Rank
    engine_s: float
    since: float


class _Usage:
    """Engine time of the organisations of one service, for metrics and the log."""

    def __init__(self) -> None:
        self.ended_s: defaultdict[str, float] = defaultdict(float)
        self._buckets: deque[tuple[int, defaultdict[str, float]]] = deque()

    def record(self, organisation: str, seconds: float, now: float) -> None:
        """Count engine time towards the recent share; a correction may be negative."""
        number = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, defaultdict(float)))
            self._drop_expired(now)
        recent = self._buckets[-1][1]
        if organisation in recent or len(recent) < MAX_ORGANISATIONS:
            recent[organisation] += seconds

    def record_end(self, organisation: str, seconds: float) -> None:
        """Count the engine time of a request that has ended."""
        ended_s = self.ended_s
        if organisation not in ended_s and len(ended_s) >= MAX_ORGANISATIONS:
            del ended_s[min(ended_s, key=ended_s.__getitem__)]
        ended_s[organisation] += seconds

    def share(self, organisation: str, now: float) -> float:
        """Return an organisation's part of the recent engine time, from 0 to 1."""
        self._drop_expired(now)
        own_s = sum(bucket.get(organisation, 0.0) for _, bucket in self._buckets)
        total_s = sum(sum(bucket.values()) for _, bucket in self._buckets)
        return min(max(own_s / total_s, 0.0), 1.0) if total_s > 0 else 0.0

    def _drop_expired(self, now: float) -> None:
        oldest = int((now - SHARE_WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


@dataclass(slots=True)
class _Service:
    """State of one service.

    Attributes:
        flow_count: Number of flows of all tiers.
        mean_speed_at: Monotonic time at which the mean speed was computed, in seconds.
        mean_plain_s: Mean duration of a plain request, in seconds.
    """

    tiers: dict[Rank, _Tier] = field(default_factory=dict)
    flow_count: int = 0
    usage: _Usage = field(default_factory=_Usage)
    mean_speed_at: float = -math.inf
    mean_speed: EngineSpeed = field(default_factory=EngineSpeed)
    mean_plain_s: float = PLAIN_PRIOR_S


class EngineTime(NamedTuple):
    """Engine time of an organisation's requests that have ended.

    Attributes:
        seconds: Time for which they held slots, as far as this entry counted it.
    """

    service: str
    organisation: str
    seconds: float


class FairShares:
    """Virtual start times of organisations, by service and tier.

    Without two organisations that have a rate, nothing is charged and all start times are
    equal.

    Args:
        endpoints: The endpoints, whose mean speed gives the engine time of a request.
    """

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self._weights: dict[str, float] = {}
        self._own_tiers: dict[str, int] = {}
        self._services: dict[str, _Service] = {}
        self._charges: dict[Job, _Charge] = {}
        self._released: list[Job] = []

    @property
    def is_active(self) -> bool:
        """Whether shares are in force."""
        return len(self._weights) >= MIN_ORGANISATIONS

    def apply(self, organisations: Iterable[Organisation]) -> None:
        """Set the weights by the rates of the configuration's organisations."""
        known = list(organisations)
        rates = {row.name: row.rate for row in known if row.rate > 0}
        mean = sum(rates.values()) / len(rates) if rates else 1.0
        self._weights = {name: rate / mean for name, rate in rates.items()}
        self._own_tiers = {row.name: row.tier for row in known if row.tier is not None}
        if not self.is_active:
            self._services.clear()
            self._charges.clear()
            self._released.clear()

    def weight(self, organisation: str) -> float:
        """Return an organisation's weight; the mean of those with a rate is 1."""
        return self._weights.get(organisation, MEAN_WEIGHT)

    def weigh_unnamed(self, service: str, rank: Rank, weight: float) -> None:
        """Set the weight of a tier's requests without an organisation.

        Those of entries of an earlier version belong to many organisations.

        Args:
            service: The service.
            rank: The tier.
            weight: The weight; it is bounded by 1 and the number of organisations.
        """
        weight = max(min(weight, float(len(self._weights))), MEAN_WEIGHT)
        tier = self._service(service).tiers.get(rank) or _NEW_TIER
        if weight != tier.unnamed_weight:
            tier = self._tier(service, rank)
            tier.unnamed_weight = weight
            tier.mark_changed("")

    def engine_s(self, job: Job) -> float:
        """Return the engine time that a job is likely to take, in seconds.

        It is finite, and at most the time from its arrival until its deadline: no slot is
        held for longer.
        """
        service = self._service(job.service)
        seconds = (
            service.mean_speed.stream_s(job.prompt_tokens, job.expected_events)
            if job.route.is_stream
            else service.mean_plain_s
        )
        bound_s = _max_engine_s(job)
        if not math.isfinite(seconds):
            return bound_s
        return max(min(seconds, bound_s), MIN_ENGINE_S)

    def virtual_time(self, service: str, rank: Rank) -> float:
        """Return the virtual time of a tier."""
        tier = self._service(service).tiers.get(rank)
        return tier.virtual_time if tier is not None else 0.0

    def start_of(self, service: str, rank: Rank, organisation: str) -> float:
        """Return the virtual start time of an organisation's next job."""
        ((_, start, _),) = self.starts(service, rank, (organisation,))
        return start

    def starts(
        self, service: str, rank: Rank, organisations: Iterable[str]
    ) -> Iterator[tuple[str, float, float]]:
        """Return organisations with the virtual start times of their next jobs and weights.

        None starts before the virtual time. An organisation whose waiting jobs are late, or
        cannot use the free slots, would otherwise overtake all others afterwards.

        Args:
            service: The service.
            rank: The tier.
            organisations: Names of the organisations.
        """
        tier = self._service(service).tiers.get(rank) or _NEW_TIER
        flows = tier.flows
        virtual_time = tier.virtual_time
        for name in organisations:
            flow = flows.get(name)
            start = virtual_time
            if flow is not None and flow.start > virtual_time:
                start = flow.start
            yield name, start, self._weight_in(tier, name)

    def take_changed(self, service: str, rank: Rank) -> set[str] | None:
        """Return whose start times in a tier have changed since the last call.

        ``None`` if any may have changed.
        """
        tier = self._service(service).tiers.get(rank)
        if tier is None:
            return set()
        if tier.is_all_changed:
            tier.is_all_changed = False
            return None
        changed, tier.changed = tier.changed, set()
        return changed

    def begin_backlog(self, service: str, rank: Rank, organisation: str) -> None:
        """Start an organisation that had no waiting jobs at the virtual time.

        It is not repaid for the time before.
        """
        tier = self._service(service).tiers.get(rank)
        flow = tier.flows.get(organisation) if tier is not None else None
        if tier is not None and flow is not None and flow.start < tier.virtual_time:
            flow.start = tier.virtual_time
            flow.refund_s = 0.0

    def charge(self, job: Job, now: float) -> None:
        """Charge a job's organisation for the slot that this entry assigned to it."""
        if not self.is_active:
            return
        start = self.start_of(job.service, job.rank, job.organisation)
        tier = self._tier(job.service, job.rank)
        tier.virtual_time = max(tier.virtual_time, start)
        flow = self._record_charge(job, job.rank, now)
        engine_s = self._charges[job].engine_s
        deducted_s = min(flow.refund_s, engine_s)
        flow.refund_s -= deducted_s
        flow.start = start + (engine_s - deducted_s) / self._weight_in(
            tier, job.organisation
        )

    def charge_held(self, job: Job, now: float) -> None:
        """Charge for a slot that another entry granted, of which this one just learned.

        This entry did not select the job, so the virtual time stays. The organisation
        starts after its running requests, but not after all of those that ended while
        this entry granted nothing.
        """
        if not self.is_active:
            return
        rank = job.rank or self._rank_of(job)
        flow = self._record_charge(job, rank, now)
        tier = self._tier(job.service, rank)
        weight = self._weight_in(tier, job.organisation)
        after_running = tier.virtual_time + flow.running_s / weight
        flow.start = max(flow.start, after_running)

    def release(self, job: Job) -> None:
        """Note that a job has released its slot; `settle` corrects the charge."""
        if job in self._charges:
            self._released.append(job)

    def settle(self, now: float) -> None:
        """Correct the charges of released jobs by the time that they held their slots.

        To be called in each round; a round follows each end of a job.
        """
        if not self.is_active:
            return
        for name, service in self._services.items():
            if now - service.mean_speed_at >= MEAN_SPEED_AGE_S:
                self._update_mean_speed(name, service, now)
        for job in self._released:
            charge = self._charges.pop(job, None)
            if charge is not None:
                self._correct(job, charge, now)
        self._released.clear()

    def share(self, service: str, organisation: str, now: float) -> float | None:
        """Return an organisation's part of the engine time in the last 4 s, from 0 to 1.

        It is computed from the slots that this entry knows; ``None`` if shares are not in
        force.
        """
        if not self.is_active:
            return None
        return self._service(service).usage.share(organisation, now)

    def engine_times(self) -> Iterator[EngineTime]:
        """Return the engine time of this entry's own requests that have ended."""
        for name, service in self._services.items():
            for organisation, seconds in service.usage.ended_s.items():
                yield EngineTime(name, organisation, seconds)

    def _record_charge(self, job: Job, rank: Rank, now: float) -> _Flow:
        """Count a job that has got a slot; return its flow."""
        if job in self._charges:
            # It was released, and sent to another endpoint before the next round.
            self._released = [row for row in self._released if row is not job]
            self._end_charge(job, self._charges.pop(job))
        engine_s = self.engine_s(job)
        flow = self._flow(job.service, rank, job.organisation)
        flow.running += 1
        flow.running_s += engine_s
        self._charges[job] = _Charge(rank, engine_s, now)
        self._service(job.service).usage.record(job.organisation, engine_s, now)
        return flow

    def _correct(self, job: Job, charge: _Charge, now: float) -> None:
        usage = self._service(job.service).usage
        excess_s = _held_s(job, charge, now) - charge.engine_s
        usage.record(job.organisation, excess_s, now)
        if not job.for_peer:
            usage.record_end(job.organisation, now - charge.since)
        flow = self._end_charge(job, charge)
        if flow is None:
            return
        tier = self._tier(job.service, charge.rank)
        tier.mark_changed(job.organisation)
        weight = self._weight_in(tier, job.organisation)
        balance_s = excess_s - flow.refund_s
        flow.refund_s = min(max(-balance_s, 0.0), MAX_CORRECTION_S)
        surplus_s = -balance_s - MAX_CORRECTION_S
        if surplus_s > 0:
            # Callers that state an upper limit as the length are charged far too much. What
            # the next charges cannot offset is returned at once.
            flow.start = max(tier.virtual_time, flow.start - surplus_s / weight)
        elif balance_s > 0:
            limit = tier.virtual_time + MAX_CORRECTION_S / weight
            flow.start = max(flow.start, min(flow.start + balance_s / weight, limit))

    def _end_charge(self, job: Job, charge: _Charge) -> _Flow | None:
        """Count a job that has released its slot; return its flow unless it was dropped."""
        tier = self._service(job.service).tiers.get(charge.rank)
        flow = tier.flows.get(job.organisation) if tier is not None else None
        if flow is not None:
            # A flow that was dropped and added again does not know its earlier requests.
            flow.running = max(flow.running - 1, 0)
            left_s = max(flow.running_s - charge.engine_s, 0.0)
            flow.running_s = left_s if flow.running else 0.0
        return flow

    def _weight_in(self, tier: _Tier, organisation: str) -> float:
        return self.weight(organisation) if organisation else tier.unnamed_weight

    def _rank_of(self, job: Job) -> Rank:
        """Return the rank of a job that was granted elsewhere, as its entry computes it."""
        tier = job.route.tier
        return self._own_tiers.get(job.organisation, tier), tier

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
            self._update_mean_speed(name, service, -math.inf)
        return service

    def _tier(self, service: str, rank: Rank) -> _Tier:
        return self._service(service).tiers.setdefault(rank, _Tier())

    def _flow(self, service_name: str, rank: Rank, organisation: str) -> _Flow:
        """Return a flow, moved behind all others of its tier; add it if there is none."""
        service = self._service(service_name)
        tier = service.tiers.setdefault(rank, _Tier())
        flow = tier.flows.pop(organisation, None)
        if flow is None:
            if service.flow_count >= MAX_ORGANISATIONS:
                _evict_flow(service, rank)
            service.flow_count += 1
            flow = _Flow(tier.virtual_time)
        tier.flows[organisation] = flow
        tier.mark_changed(organisation)
        return flow

    def _update_mean_speed(self, name: str, service: _Service, now: float) -> None:
        service.mean_speed_at = now
        rows = self._endpoints.of_service(name)
        if not rows:
            return
        count = len(rows)
        service.mean_speed = EngineSpeed(
            sum(row.speed.latency_s for row in rows) / count,
            sum(row.speed.prefill_per_token_s for row in rows) / count,
            sum(row.speed.gap_s for row in rows) / count,
        )
        service.mean_plain_s = sum(row.plain_s for row in rows) / count


def _held_s(job: Job, charge: _Charge, now: float) -> float:
    """Return for how long a job held its slot, in seconds; finite and not negative.

    The time at which another entry granted the slot is computed from an age in a message.
    Without a usable one, the slot counts from when this entry learned of it.
    """
    held_s = now - job.slot_at
    if not 0 <= held_s < math.inf:
        held_s = now - charge.since
    return max(held_s, 0.0)


def _max_engine_s(job: Job) -> float:
    """Return the longest time for which a job may hold a slot, in seconds.

    Jobs that other entries granted have no deadline here; their route's timeout counts.
    """
    bound_s = job.deadline - job.arrived_at
    if not math.isfinite(bound_s):
        bound_s = job.route.timeout_s or MAX_ENGINE_S
    return max(min(bound_s, MAX_ENGINE_S), MIN_ENGINE_S)


def _evict_flow(service: _Service, rank: Rank) -> None:
    """Drop a flow of the fullest tier, one without running requests if there is one.

    Of several, it is the one charged longest ago. It starts at the virtual time again.

    Args:
        service: The service.
        rank: The tier to which a flow is to be added; it is kept even if it is empty.
    """
    fullest = max(service.tiers, key=lambda key: len(service.tiers[key].flows))
    tier = service.tiers[fullest]
    oldest = [name for name, _ in zip(tier.flows, range(MAX_EVICTION_SEARCH), strict=False)]
    dropped = min(
        oldest,
        key=lambda name: (
            tier.flows[name].running > 0,
            tier.flows[name].start > tier.virtual_time,
        ),
    )
    del tier.flows[dropped]
    # Its waiting jobs still have the start times of the dropped flow.
    tier.mark_changed(dropped)
    service.flow_count -= 1
    if not tier.flows and fullest != rank:
        del service.tiers[fullest]
