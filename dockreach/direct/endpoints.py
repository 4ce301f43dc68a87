"""The table of endpoints: what is published of each, and what is measured here."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .engine_speed import LEARN, EngineSpeed
from .placing_messages import Sample, SampleKind

PLAIN_PRIOR_S = 0.06
"""Assumed time of a plain request before any is measured, in seconds."""

PACE_EVENTS = 10
"""Events over which a mean time between them is taken: enough to even out one prompt that
is read in between."""

SUSPECT_FIRST_S = 0.5
"""First time that a failing endpoint is left alone, in seconds; doubles each time. A
crashed endpoint is published for about three heartbeats longer, some seconds."""

SUSPECT_MOST_S = 4.0


PREFIX_KEPT_S = 30.0
"""How long a prefix is taken to be kept at the endpoint that read it, in seconds."""

MOST_SAMPLES = 16
"""Measurements of an endpoint that are kept until they are told: what one entry measures in
half a second, where it is told four times a second."""

MOST_PREFIXES = 4000
"""Prompt parts remembered for each endpoint, some 0.4 MB; the oldest are forgotten."""


@dataclass(frozen=True, slots=True)
class Published:
    """What the platform says of one endpoint.

    Attributes:
        id: Names one start of the endpoint; a restart has another.
        address: IP number and port.
        leaving: Whether it takes no new work.
    """

    id: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool


@dataclass(slots=True)
class EndpointRow:
    """One endpoint.

    Attributes:
        own: Requests of this entry under way there.
        others: Requests of other entries under way there, as last told.
        granted: Requests of other entries under way there that have their places from
            this one.
        reading: Prompt tokens that are still being read there, of requests that have
            their places from this entry.
        speed: What is measured of it as an engine.
        suspect_until: Steady time until which it gets nothing, in seconds.
        failures: Failures in a row.
        is_probed: Whether a request is under way that finds out whether it works again.
    """

    published: Published
    own: int = 0
    others: int = 0
    granted: int = 0
    reading: int = 0
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    plain_s: float = PLAIN_PRIOR_S
    suspect_until: float = 0.0
    failures: int = 0
    is_probed: bool = False
    lapsed_until: float | None = None
    prefixes: dict[str, float] = field(default_factory=dict)
    samples: list[Sample] = field(default_factory=list)

    @property
    def id(self) -> str:
        """The id of this start of the endpoint."""
        return self.published.id

    @property
    def free(self) -> int:
        """Places not taken, as far as this entry knows; may be negative."""
        return self.published.slots - self.taken

    @property
    def may_be_tried(self) -> bool:
        """Whether the endpoint takes requests; after a failure one goes first."""
        return not self.failures or not self.is_probed

    @property
    def taken(self) -> int:
        """Requests under way, as far as this entry knows."""
        return self.own + self.others + self.granted

    def count(self, change: int, *, for_peer: bool) -> None:
        """Count requests that begin, or end if the change is negative."""
        self.is_probed = change > 0 and self.failures > 0
        if for_peer:
            self.granted += change
        else:
            self.own += change

    def keep_prefix(self, part: str, now: float) -> None:
        """Note that the endpoint has just read a part of a prompt."""
        self.prefixes.pop(part, None)
        self.prefixes[part] = now
        if len(self.prefixes) > MOST_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def is_kept(self, part: str, now: float) -> bool:
        """Return whether a part of a prompt is likely to be in the endpoint's cache."""
        read = self.prefixes.get(part)
        return read is not None and now - read <= PREFIX_KEPT_S

    def kept_tokens(self, prefix: Iterable[tuple[str, int]], now: float) -> int:
        """Return the tokens of a prompt that are likely to be in the endpoint's cache."""
        kept = 0
        for part, tokens in prefix:
            if not self.is_kept(part, now):
                break
            kept += tokens
        return kept

    def measure(self, kind: SampleKind, seconds: float = 0.0, tokens: int = 0) -> None:
        """Take in what was measured here, and keep it for the entry that gives places.

        Args:
            kind: What was measured.
            seconds: The time; 0 for a failure.
            tokens: Prompt tokens that were read, for a time to a first event.
        """
        sample = Sample(self.id, kind, tokens, seconds)
        self.learn(sample)
        self._keep(sample)

    def _keep(self, sample: Sample) -> None:
        """Keep a measurement until it is told."""
        if len(self.samples) < MOST_SAMPLES:
            self.samples.append(sample)

    def learn(self, sample: Sample) -> None:
        """Take in a measurement, of this entry or another one."""
        if sample.kind is SampleKind.FIRST:
            self.speed.learn_first(sample.tokens, sample.seconds)
        elif sample.kind is SampleKind.GAP:
            self.speed.learn_gap(sample.seconds)
        elif sample.kind is SampleKind.PLAIN:
            self.plain_s += LEARN * (sample.seconds - self.plain_s)

    def failed(self, now: float) -> None:
        """Leave the endpoint alone for a while, for longer after each failure in a row."""
        self._keep(Sample(self.id, SampleKind.FAILED))
        self.suspect(now)

    def suspect(self, now: float) -> None:
        """Leave the endpoint alone for a while."""
        wait = min(SUSPECT_FIRST_S * 2**self.failures, SUSPECT_MOST_S)
        self.failures += 1
        self.is_probed = False
        self.suspect_until = now + wait

    def lose_address(self, now: float) -> None:
        """Leave the endpoint alone for long: another one answers at its address.

        It does not come back; the platform lists it for some seconds more.
        """
        self._keep(Sample(self.id, SampleKind.GONE))
        self.end(now)

    def end(self, now: float) -> None:
        """Take the endpoint for one that has ended."""
        self.suspect(now)
        self.suspect_until = now + SUSPECT_MOST_S

    def succeeded(self) -> None:
        """Trust the endpoint again."""
        self.failures = 0
        self.is_probed = False
        self.suspect_until = 0.0


class Pace:
    """Measures the time between a stream's events while it runs.

    Args:
        row: The endpoint that makes them.
    """

    def __init__(self, row: EndpointRow) -> None:
        self._row = row
        self._events = 0
        self._since: float | None = None

    def count(self, events: int, now: float) -> None:
        """Count events that came just now."""
        if self._since is None:
            self._since = now
            return
        self._events += events
        if self._events >= PACE_EVENTS:
            self._row.measure(SampleKind.GAP, (now - self._since) / self._events)
            self._events = 0
            self._since = now


class EndpointTable:
    """All endpoints that are published, by id and by service."""

    def __init__(self) -> None:
        self._rows: dict[str, EndpointRow] = {}
        self._services: dict[str, dict[str, EndpointRow]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[EndpointRow]:
        return iter(list(self._rows.values()))

    def get(self, endpoint: str) -> EndpointRow | None:
        """Return the row of an endpoint; ``None`` if it is not published."""
        return self._rows.get(endpoint)

    def publish(self, published: Published) -> bool:
        """Add an endpoint or replace what is known of it; return whether it is new."""
        row = self._rows.get(published.id)
        if row is not None:
            row.published = published
            row.lapsed_until = None
            return False
        row = EndpointRow(published)
        self._rows[published.id] = row
        self._services.setdefault(published.service, {})[published.id] = row
        return True

    def remove(self, endpoint: str) -> EndpointRow | None:
        """Take an endpoint off the table; return its row."""
        row = self._rows.pop(endpoint, None)
        if row is not None:
            self._services[row.published.service].pop(endpoint, None)
        return row

    def of_service(self, service: str) -> list[EndpointRow]:
        """Return all endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def usable(self, service: str, now: float) -> list[EndpointRow]:
        """Return the endpoints of a service that may be given work.

        Where all of them are suspect, all of them may: refusing everything on a guess
        would be worse than trying.
        """
        staying = [row for row in self.of_service(service) if not row.published.leaving]
        trusted = [row for row in staying if row.suspect_until <= now]
        return trusted or staying

    def take_samples(self, service: str) -> list[Sample]:
        """Return what was measured at a service's endpoints since the last call."""
        samples: list[Sample] = []
        for row in self._services.get(service, {}).values():
            if row.samples:
                samples.extend(row.samples)
                row.samples.clear()
        return samples

    def learn(self, sample: Sample, now: float) -> None:
        """Take in what another entry measured.

        Failures of requests that were under way when the first one failed say nothing
        more. An endpoint that answers is trusted again.
        """
        row = self._rows.get(sample.endpoint)
        if row is None:
            return
        row.learn(sample)
        if sample.kind is SampleKind.GONE:
            row.end(now)
        elif sample.kind is SampleKind.FAILED:
            if row.suspect_until <= now:
                row.suspect(now)
        elif sample.kind is not SampleKind.GAP:
            row.succeeded()

    def set_others(self, counts: dict[str, int]) -> None:
        """Take in how many requests of other entries are under way at each endpoint."""
        for row in self._rows.values():
            row.others = counts.get(row.id, 0)

    def change_others(self, before: dict[str, int], after: dict[str, int]) -> bool:
        """Replace what one other entry has under way; return whether places came free.

        Args:
            before: What it told before, by endpoint.
            after: What it tells now.
        """
        freed = False
        for endpoint in before.keys() | after.keys():
            change = after.get(endpoint, 0) - before.get(endpoint, 0)
            row = self._rows.get(endpoint)
            if row is not None and change:
                row.others += change
                freed = freed or change < 0
        return freed
