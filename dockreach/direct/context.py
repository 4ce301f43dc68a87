"""State of an entry that all its requests share."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from .. import clock
from ..metrics import Metrics
from .caller_memory import CallerMemory
from .config_confirmation import ConfigConfirmation
from .connection_ends import ConnectionEnds
from .crash_reporter import CrashReporter
from .endpoints import EndpointTable
from .first_attempts import FirstAttemptEstimator
from .http1 import ResponseLimit
from .list_confirmation import ListConfirmation
from .liveness import LivenessChecks
from .notice_tracker import NoticeTracker
from .outcomes import OutcomeCounter
from .pool import ConnectionPool
from .protocol_adapter import ProtocolAdapter
from .retry_budget import RetryBudget
from .scheduling import Scheduler
from .stalls import Stalls
from .stream_versions import StreamVersions
from .token_quota import QuotaTable
from .version_coverage import VersionSource
from .work_left import WorkEstimator


@dataclass(slots=True)
class Counters:
    """Counters of the direct path since the start of the process.

    Attributes:
        requests: Requests of callers.
        answered: Requests with a complete response.
        refused: Requests that were refused and not run.
        lost: Requests that may have run, but whose response was lost.
        cut: Responses that were aborted after their head was sent.
        callers_gone: Connections that callers closed before the response was complete.
        retries: Upstream attempts after a failed one, resumed streams included.
        hedges: Upstream attempts that were sent beside a silent one.
        hedges_won: Those with which the request went on.
        resumes: Not used, and always 0.
        internal_errors: Requests that a fault of the program ended.
        events_dropped: Events of streams that the caller had already.
        event_gaps: Runs of streams that were broken off since their next event, or their
            end, did not follow the last one.
        late_answers: Late responses to earlier requests, which are skipped.
        end_checks: Checks that an endpoint lives on after it closed the connection of a
            response without a length.
        end_probes: Health checks that were sent for that.
        unproven_ends: Such responses that are not known to be complete.
        invalid_loads: Responses whose header with the endpoint's load is not valid.
        response_limits: Responses that went over a limit, by that limit.
        statuses_replaced: Responses of endpoints that were not passed on since their status
            promises what is not proven, by that status.
    """

    requests: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    cut: int = 0
    callers_gone: int = 0
    retries: int = 0
    hedges: int = 0
    hedges_won: int = 0
    resumes: int = 0
    internal_errors: int = 0
    events_dropped: int = 0
    event_gaps: int = 0
    late_answers: int = 0
    end_checks: int = 0
    end_probes: int = 0
    unproven_ends: int = 0
    invalid_loads: int = 0
    response_limits: Counter[ResponseLimit] = field(default_factory=Counter)
    statuses_replaced: Counter[int] = field(default_factory=Counter)
    take_ups: Counter[VersionSource] = field(default_factory=Counter)


@dataclass(slots=True)
class Context:
    """State of an entry that all its requests share."""

    adapter: ProtocolAdapter
    endpoints: EndpointTable
    scheduler: Scheduler
    quotas: QuotaTable
    retry_budget: RetryBudget
    pool: ConnectionPool
    metrics: Metrics
    crashes: CrashReporter
    notices: NoticeTracker
    streams: StreamVersions
    stalls: Stalls
    list_confirmation: ListConfirmation
    configuration: ConfigConfirmation
    counters: Counters = field(default_factory=Counters)
    memory: CallerMemory = field(default_factory=CallerMemory.unbounded)
    outcomes: OutcomeCounter = field(default_factory=OutcomeCounter)
    ends: ConnectionEnds = field(default_factory=ConnectionEnds)
    first_attempts: FirstAttemptEstimator = field(default_factory=FirstAttemptEstimator)
    liveness: LivenessChecks = field(init=False)
    work: WorkEstimator = field(init=False)
    entry_count: int = 1
    """Number of entries that may be running, this one included."""
    ends_at: float = math.inf
    """Monotonic time at which a stop ends all requests, in seconds; infinite if none."""
    hall: str = ""
    """The data hall of this entry."""
    region_of_hall: Mapping[str, str] = field(default_factory=dict)
    """The region of each data hall."""

    def __post_init__(self) -> None:
        """Check endpoints with connections of the pool, and estimate work at them."""
        self.liveness = LivenessChecks(
            self.pool, self.endpoints, self.adapter, self.counters
        )
        self.work = WorkEstimator(self.endpoints)

    def halls_in(self, regions: frozenset[str]) -> frozenset[str]:
        """Return the data halls that are in any of some regions."""
        return frozenset(
            hall for hall, region in self.region_of_hall.items() if region in regions
        )

    @staticmethod
    def now() -> float:
        """Return the monotonic time, in seconds."""
        return clock.now()

    def try_acquire_retry(self, service: str) -> bool:
        """Take one retry from a service's budget; return whether there was one left."""
        return self.retry_budget.try_acquire(service, self.entry_count, self.now())

    def has_retry_left(self, service: str) -> bool:
        """Return whether a service's budget has a retry left."""
        return self.retry_budget.has_left(service, self.entry_count, self.now())
