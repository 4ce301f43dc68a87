"""How one request is to be handled under the current configuration."""

from __future__ import annotations

from dataclasses import dataclass

from .routing_config import Organisation, Route


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """How one request is to be handled under the current configuration.

    Attributes:
        organisation: The organisation that sent it; ``None`` on a public route.
        quota_tokens: Tokens charged to the organisation's quota.
        deadline: Monotonic time at which the caller or the route gives up, in seconds.
        first_attempt_at: Monotonic time of its caller's first attempt, in seconds, as
            estimated for reports.
        fingerprint: Identifies the request; the same for all attempts of its caller.
        part_fingerprints: Fingerprints of the shared parts of its prompt, in order.
        permitted_regions: Regions in which it may run; ``None`` for all.
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

    @property
    def suspects(self) -> tuple[bytes, ...]:
        """Fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on a public route."""
        return self.organisation.name if self.organisation else ""
