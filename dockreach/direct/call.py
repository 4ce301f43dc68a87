"""What the configuration says of one request."""

from __future__ import annotations

from dataclasses import dataclass

from .fleet import Organisation, Route


@dataclass(frozen=True, slots=True)
class Call:
    """What the configuration says of one request.

    Attributes:
        organisation: Whose key it carries; ``None`` on a public route.
        tokens: What it counts against the organisation's limit.
        ends: Steady time at which the caller or the route gives it up, in seconds.
        tried_at: Steady time of its caller's first try, in seconds.
        fingerprint: The same for each try of one request.
        regions: Where it may be run; ``None`` for anywhere.
    """

    route: Route
    service: str
    organisation: Organisation | None
    tokens: int
    ends: float
    tried_at: float
    fingerprint: bytes
    regions: frozenset[str] | None = None

    @property
    def organisation_name(self) -> str:
        """Name of the organisation; empty on a public route."""
        return self.organisation.name if self.organisation else ""
