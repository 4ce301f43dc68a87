"""How one request is to be handled under the current configuration."""

from __future__ import annotations

from dataclasses import dataclass, replace

from .jobs import Job, RetryKind
from .routing_config import Organisation, Route


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """How one request is to be handled under the current configuration.

    Attributes:
        organisation: The organisation that sent it; ``None`` on a public route.
        quota_tokens: Tokens charged to the organisation's quota.
        deadline: Monotonic time at which the caller or the route gives up, in seconds.
        first_attempt_at: Monotonic time of its caller's first attempt, in seconds: an
            estimate at first, then what the entry that decided on the request knows.
        fingerprint: Identifies the request; the same for all attempts of its caller.
        part_fingerprints: Fingerprints of the shared parts of its prompt, in order.
        permitted_regions: Regions in which it may run; ``None`` for all.
        callers_differ: Whether callers of its route wait for different times.
        counts_from: Monotonic time from which its objective counts, in seconds; ``None``
            for the first attempt.
        retry_kind: What is known of its earlier attempt.
        is_promised: Whether it was refused and a slot is expected for its retry.
    """

    route: Route
    service: str
    organisation: Organisation | None
    quota_tokens: int
    deadline: float
    first_attempt_at: float
    fingerprint: bytes
    permitted_regions: frozenset[str] | None = None
    part_fingerprints: tuple[bytes, ...] = ()
    callers_differ: bool = False
    counts_from: float | None = None
    retry_kind: RetryKind = RetryKind.UNKNOWN
    is_promised: bool = False

    @property
    def suspects(self) -> tuple[bytes, ...]:
        """Fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def objective_from(self) -> float:
        """Monotonic time from which the objective counts, in seconds."""
        return self.first_attempt_at if self.counts_from is None else self.counts_from

    def with_decision(self, job: Job) -> RequestPlan:
        """Return the plan with what the entry that decided on the request knows."""
        return replace(
            self,
            first_attempt_at=job.first_attempt_at,
            counts_from=job.counts_from,
            retry_kind=job.retry_kind,
            is_promised=job.is_promised,
        )

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on a public route."""
        return self.organisation.name if self.organisation else ""
