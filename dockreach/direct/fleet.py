"""What operators declare for the direct path: routes, services and organisations."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..rendezvous import weight


class Repeat(enum.Enum):
    """What may be done with a request that was sent and has no whole answer."""

    NEVER = "never"
    """At most one run for each attempt of the caller."""

    FREELY = "freely"
    """It may run any number of times."""

    RESUME = "resume"
    """A stream that another endpoint may go on with after the last whole event."""


@dataclass(frozen=True, slots=True)
class Split:
    """A service's part of a route's requests.

    Attributes:
        weight: Part of the sum of all weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
        prefix: Begins and ends with a slash.
        is_stream: Whether answers are event streams.
        timeout_s: Longest time a request may be held, in seconds.
        objective_s: Time to an answer, or to a stream's first event, in seconds.
        gap_objective_s: Longest pause between events that is still in time, in seconds.
        tier: 0 is the highest.
        max_attempts: Most endpoints that one request may be sent to.
        is_public: Whether no key is asked for.
        regions: Where its requests may be run; empty for anywhere.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
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
        """Return the service that a request goes to; the same id gives the same one."""
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
        max_connections: Connections that each endpoint accepts from all callers together.
        event_tokens: Tokens in one event of a stream.
        cold_rate: Requests a second that an endpoint bears while it is cold; 0 for no
            bound.
        cold_start_s: How long an endpoint is cold after a start, in seconds.
    """

    name: str
    max_connections: int
    event_tokens: float = 1.0
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with keys and a limit on tokens.

    Attributes:
        tier: Goes before the route's tier; ``None`` leaves the route's.
        rate: Tokens a second over all entries; 0 is no limit.
        burst: Tokens on top of the rate.
        plain_tokens: Tokens that a request without token counts stands for.
        regions: Where its requests may be run; empty for anywhere.
    """

    name: str
    keys: frozenset[str]
    tier: int | None
    rate: float
    burst: float
    plain_tokens: int
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_s: float = 10.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Revision:
    """One version of everything that is declared.

    Attributes:
        number: Rises with each version.
        text: The bytes that it was read from, as peers are given them.
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
        """Return the route with the longest prefix that begins the path."""
        routes: Iterable[Route] = self._by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return whose key this is; ``None`` if it is nobody's."""
        return self._by_key.get(key)
