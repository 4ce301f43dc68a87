"""Configuration of the direct path: routes, services and organisations."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..rendezvous import weight


class RetryMode(enum.Enum):
    """Whether a request that was sent, but has no complete response, may be sent again."""

    NEVER = "never"
    """It runs at most once for each attempt of the caller."""

    ALWAYS = "freely"
    """It may run any number of times."""

    RESUME = "resume"
    """A stream that another endpoint can resume after the last complete event."""


@dataclass(frozen=True, slots=True)
class Split:
    """One service's share of a route's requests.

    Attributes:
        weight: The share, relative to the sum of all weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        prefix: Path prefix, which begins and ends with a slash.
        is_stream: Whether responses are event streams.
        timeout_s: Longest time that a request may take, in seconds.
        objective_s: Latency objective for the response, or for the first event of a
            stream, in seconds.
        gap_objective_s: Latency objective for the gap between events, in seconds.
        tier: Priority of the requests; 0 is the highest.
        max_attempts: Maximum number of endpoints that one request may be sent to.
        is_public: Whether no API key is required.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    is_stream: bool
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    tier: int
    max_attempts: int
    is_public: bool
    splits: tuple[Split, ...]
    regions: frozenset[str] = frozenset()

    def service_for(self, rid: str) -> str:
        """Return the service for a request; a retry with the same id gets the same."""
        if len(self.splits) == 1:
            return self.splits[0].service
        total = sum(split.weight for split in self.splits)
        point = weight(rid, self.name) / 2**64 * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service


@dataclass(frozen=True, slots=True)
class Service:
    """A set of endpoints that do the same work.

    Attributes:
        max_connections: Connections that each endpoint accepts from all entries together.
        health_path: Path at which an endpoint tells its id; empty if there is none.
        event_tokens: Tokens in one event of a stream.
        cold_rate: Requests a second that an endpoint can handle while it is cold; 0 for no
            limit.
        cold_start_s: How long an endpoint is cold after a start, in seconds.
    """

    name: str
    max_connections: int
    health_path: str = ""
    event_tokens: float = 1.0
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with API keys and a token quota.

    Attributes:
        tier: Overrides the route's tier; ``None`` keeps the route's.
        rate: Tokens a second over all entries; 0 for no limit.
        burst: Tokens that may be used in each quota window on top of the rate.
        default_tokens: Tokens charged for a request that states no token counts.
        regions: Regions in which its requests may run; empty for all.
    """

    name: str
    keys: frozenset[str]
    tier: int | None
    rate: float
    burst: float
    default_tokens: int
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits, in bytes, and timeouts, in seconds, for the requests of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class ConfigRevision:
    """One version of the configuration.

    Attributes:
        number: Increases with each version.
        text: The bytes that it was decoded from, which are passed on to peers.
    """

    number: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits
    text: bytes = b""
    _by_host: dict[str, list[Route]] = field(default_factory=dict)
    _by_key: dict[str, Organisation] = field(default_factory=dict)
    routes_by_name: dict[str, Route] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
            self.routes_by_name[route.name] = route
        for organisation in self.organisations:
            self._by_key.update(dict.fromkeys(organisation.keys, organisation))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        routes: Iterable[Route] = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that owns an API key; ``None`` if the key is unknown."""
        return self._by_key.get(key)
