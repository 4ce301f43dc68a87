"""The table of endpoints: what the platform publishes and what entries measure."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

import msgspec

from ..backoff import backoff_after
from .advertised_state import AdvertisedState
from .endpoint_load import EndpointLoad, usual_duration_s
from .engine_speed import EWMA_WEIGHT, EngineSpeed
from .lapses import LAPSE_GRACE_S
from .requests import ReportedLoad
from .slot_messages import LoadReport, Sample, SampleKind
from .software_versions import SoftwareVersions
from .stalls import Stalls
from .warm_up import RecentSends, WarmUpState

if TYPE_CHECKING:
    from .jobs import Job

PLAIN_PRIOR_S = 0.06
"""Assumed duration of a plain (not streamed) request before any is measured, in seconds."""

PACE_EVENTS = 10
"""Number of events over which their mean interval is taken: enough to even out one prefill
in between."""

FIRST_CIRCUIT_OPEN_S = 0.5
"""How long the circuit of an endpoint is opened after the first failure, in seconds;
doubles with each failure in a row up to `MAX_CIRCUIT_OPEN_S`. A crashed endpoint stays
published for about three more heartbeats, some seconds."""

MAX_CIRCUIT_OPEN_S = 4.0

PREFIX_CACHED_S = 30.0
"""How long a part of a prompt is assumed to stay cached at an endpoint, in seconds."""

RECORD_LAG_S = 5.0
"""How long an endpoint's record may lag behind its restart, in seconds."""

MAX_SAMPLES = 16
"""Maximum number of an endpoint's measurements that wait to be sent: what one entry
measures in half a second, while measurements are sent four times a second."""

MAX_LOADS = 64
"""Maximum number of endpoint loads in one state, some 40 bytes each; the others go with the
next one, if they still count then."""

MAX_PREFIXES = 4000
"""Maximum number of prompt parts that are remembered for each endpoint, some 0.4 MB; the
oldest are dropped."""

MAX_ENDED_INCARNATIONS = 4096
"""Maximum number of ended endpoint incarnations that are remembered, some 0.4 MB, so that
a delayed record of theirs does not bring them back."""


@dataclass(frozen=True, slots=True)
class Published:
    """The platform's record of one endpoint.

    Attributes:
        id: Its id, which it keeps when it restarts.
        address: IP address and port.
        leaving: Whether it accepts no new requests.
        born: Unix time of its start by its own clock, in milliseconds; 0 if unknown.
        sequence: Increases with each record of one incarnation.
        cold_s: How much longer it is cold, as the endpoint itself reports, in seconds.
        software_version: Version of its software; ``None`` if a peer of an earlier version
            relayed the record without it.
        revision: The platform's revision as of which this is known: that of the record's
            last change, or of the word that the record is gone; 0 if unknown.
        registered_revision: The platform's revision at which the record was created; 0 if
            unknown.
    """

    id: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool
    born: int = 0
    sequence: int = 0
    cold_s: float = 0.0
    software_version: str | None = None
    revision: int = 0
    registered_revision: int = 0

    def is_older_than(self, known: Published) -> bool:
        """Return whether this was written before another record of the same endpoint."""
        if self.born != known.born:
            return self.born < known.born
        # Without a start time, a lower sequence may be that of a new incarnation.
        if self.born and self.sequence != known.sequence:
            return self.sequence < known.sequence
        return 0 < self.revision < known.revision

    def inherits_leaving(self, known: Published) -> bool:
        """Return whether an earlier record says that the same process is leaving.

        A write that was delayed may follow that record. A process that leaves does not
        register anew as staying.
        """
        if not known.leaving or self.born != known.born:
            return False
        return bool(self.born) or not (
            self._is_registered_anew(known) or self._is_replaced(known)
        )

    def is_restarted(self, known: Published) -> bool:
        """Return whether this tells, without a start time, that the process is another one.

        Otherwise, one that registers anew is taken for the same.
        """
        if self.born or known.born:
            return False
        is_recounted = self.sequence < known.sequence
        return self._is_replaced(known) or (
            is_recounted and self._is_registered_anew(known)
        )

    def _is_registered_anew(self, known: Published) -> bool:
        """Return whether the record was deleted since an earlier one, and created again."""
        return self.registered_revision > known.registered_revision > 0

    def _is_replaced(self, known: Published) -> bool:
        versions = {self.software_version, known.software_version} - {None}
        return self.address != known.address or len(versions) > 1


class PublishResult(enum.Enum):
    """What publishing a record of an endpoint has changed."""

    NEW = enum.auto()
    """The endpoint was not known."""

    NEW_INCARNATION = enum.auto()
    """The endpoint has restarted under the same id."""

    CHANGED = enum.auto()
    """The row of a known endpoint was updated."""

    STALE = enum.auto()
    """The record is older than the known one: nothing was changed."""


class Connection(Protocol):
    """A connection on which an endpoint processes a request of this entry."""

    def abort(self) -> None:
        """Make reads from the connection fail immediately."""

    def is_established(self) -> bool:
        """Return whether neither side has closed it."""


@dataclass(slots=True, eq=False)
class EndpointRow:
    """One incarnation of an endpoint, from its start to its end.

    Attributes:
        in_flight_here: Requests of this entry in flight there.
        in_flight_elsewhere: Requests of other entries in flight there, as they last
            reported.
        in_flight_granted: Requests of other entries in flight there in slots granted by
            this entry.
        prefill_tokens: Prompt tokens still in prefill there, of requests in slots granted
            by this entry.
        speed: Its measured speed as an engine.
        plain_s: Mean duration of a plain (not streamed) request, in seconds.
        circuit_open_until: Monotonic time until which its circuit is open, so that it is
            sent no requests, in seconds.
        consecutive_failures: Failures in a row.
        has_probe: Whether a half-open probe is in flight: a request that shows whether the
            endpoint works again.
        lapsed_at: Monotonic time at which the platform, after an outage, responded without
            a record of it, in seconds; ``None`` while it is listed.
        prefixes: Parts of prompts that are likely to be in its cache, and the monotonic
            time at which each was prefilled, in seconds.
        unsent_samples: Measurements of this entry that were not yet sent to a coordinator.
        warm_up: Whether it is cold, as far as this entry knows.
        recent_sends: Requests that were sent to it recently, as far as this entry knows.
        advertised: The state that it advertises in its responses.
        connections: Connections on which it processes requests of this entry.
        held_by: Jobs that hold its slots, of this entry and granted by it, in the order in
            which they got them.
        load: The load that it reported last.
        restarted_until: Monotonic time until which it may have restarted without a new
            record, since a connection to it broke, in seconds.
    """

    published: Published
    in_flight_here: int = 0
    in_flight_elsewhere: int = 0
    in_flight_granted: int = 0
    prefill_tokens: int = 0
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    plain_s: float = PLAIN_PRIOR_S
    circuit_open_until: float = 0.0
    consecutive_failures: int = 0
    has_probe: bool = False
    lapsed_at: float | None = None
    prefixes: dict[str, float] = field(default_factory=dict)
    unsent_samples: list[Sample] = field(default_factory=list)
    warm_up: WarmUpState = field(default_factory=WarmUpState)
    recent_sends: RecentSends = field(default_factory=RecentSends)
    advertised: AdvertisedState = field(default_factory=AdvertisedState)
    connections: set[Connection] = field(default_factory=set)
    held_by: dict[Job, None] = field(default_factory=dict)
    load: EndpointLoad = field(default_factory=EndpointLoad)
    restarted_until: float = -math.inf

    @property
    def id(self) -> str:
        """The endpoint's id."""
        return self.published.id

    def mark_unlisted(self, revision: int) -> None:
        """Record that the platform did not list it at a revision."""
        if revision > self.published.revision:
            self.published = replace(self.published, revision=revision)

    @property
    def lapsed_until(self) -> float | None:
        """Until when it is kept without a record, in monotonic seconds, if it has none."""
        return None if self.lapsed_at is None else self.lapsed_at + LAPSE_GRACE_S

    @property
    def incarnation(self) -> str:
        """Identifies this incarnation among all with the same endpoint id."""
        born = self.published.born
        return f"{self.id}/{born}" if born else self.id

    @property
    def is_leaving(self) -> bool:
        """Whether it accepts no new requests, as reported by the platform or by itself."""
        return self.published.leaving or self.advertised.is_leaving

    @property
    def free_slots(self) -> int:
        """Free slots, as far as this entry knows; may be negative."""
        return self.published.slots - self.in_flight

    @property
    def admits_request(self) -> bool:
        """Whether a request may be sent: after a failure only one, as a half-open probe."""
        return not self.consecutive_failures or not self.has_probe

    @property
    def in_flight(self) -> int:
        """Requests in flight, as far as this entry knows."""
        return (
            self.in_flight_here
            + self.in_flight_elsewhere
            + self.in_flight_granted
            + self.load.hidden_requests
        )

    @property
    def known_in_flight(self) -> int:
        """Requests in flight without those of which only the endpoint's load tells."""
        return self.in_flight_here + self.in_flight_elsewhere + self.in_flight_granted

    def adjust_in_flight(self, change: int, *, for_peer: bool) -> None:
        """Count requests that start, or that end if the change is negative."""
        self.has_probe = change > 0 and self.consecutive_failures > 0
        if for_peer:
            self.in_flight_granted += change
        else:
            self.in_flight_here += change

    def record_prefix(self, part: str, now: float) -> None:
        """Record that the endpoint has just prefilled a part of a prompt."""
        self.prefixes.pop(part, None)
        self.prefixes[part] = now
        if len(self.prefixes) > MAX_PREFIXES:
            del self.prefixes[next(iter(self.prefixes))]

    def is_cached(self, part: str, now: float) -> bool:
        """Return whether a part of a prompt is likely to be in the endpoint's cache."""
        prefilled_at = self.prefixes.get(part)
        return prefilled_at is not None and now - prefilled_at <= PREFIX_CACHED_S

    def cached_tokens(self, prefix: Iterable[tuple[str, int]], now: float) -> int:
        """Return how many tokens of a prompt are likely to be in the endpoint's cache."""
        cached = 0
        for part, tokens in prefix:
            if not self.is_cached(part, now):
                break
            cached += tokens
        return cached

    def record_measurement(
        self,
        kind: SampleKind,
        seconds: float = 0.0,
        tokens: int = 0,
        percent: float = 0.0,
    ) -> None:
        """Record a measurement of this entry, and queue it for the coordinator.

        Args:
            kind: What was measured.
            seconds: The duration; 0 for a failure.
            tokens: Prompt tokens that were prefilled, for a time to a first event.
            percent: How long work took there meanwhile, in percent of the usual; 0 if that
                is not known.
        """
        self.update(self._queue_sample(kind, tokens, seconds, percent))

    def _queue_sample(
        self,
        kind: SampleKind,
        tokens: int = 0,
        seconds: float = 0.0,
        percent: float = 0.0,
    ) -> Sample:
        """Queue a measurement to be sent; return it."""
        sample = Sample(self.id, kind, tokens, seconds, self.published.born, percent)
        if len(self.unsent_samples) < MAX_SAMPLES:
            self.unsent_samples.append(sample)
        return sample

    def update(self, sample: Sample) -> None:
        """Update the means with a measurement, of this entry or another one.

        The means are those of the usual speed: what was measured at a slow moment is
        divided by the endpoint's figure of that moment.
        """
        seconds = usual_duration_s(sample.seconds, sample.percent)
        weight = self.load.weight(sample.percent)
        if sample.kind is SampleKind.FIRST_EVENT:
            self.speed.update_first_event(sample.tokens, seconds, weight)
        elif sample.kind is SampleKind.GAP:
            self.speed.update_gap(seconds, weight)
        elif sample.kind is SampleKind.PLAIN:
            self.plain_s += EWMA_WEIGHT * weight * (seconds - self.plain_s)

    def record_failure(self, now: float) -> None:
        """Record a failure and open the circuit, for longer after each failure in a row."""
        self._queue_sample(SampleKind.FAILED)
        self.open_circuit(now)

    def mark_unreachable(self, now: float) -> None:
        """Open the circuit: connecting to the endpoint failed, and it may have crashed."""
        self._queue_sample(SampleKind.UNREACHABLE)
        self.warm_up.mark_unreachable()
        self.mark_connection_broken(now)
        self.open_circuit(now)

    def mark_connection_broken(self, now: float) -> None:
        """Record that a connection broke: the endpoint may have restarted."""
        self.restarted_until = now + RECORD_LAG_S

    def open_circuit(self, now: float) -> None:
        """Open the circuit: send the endpoint no requests for some time (back-off)."""
        wait = backoff_after(
            self.consecutive_failures,
            first=FIRST_CIRCUIT_OPEN_S,
            longest=MAX_CIRCUIT_OPEN_S,
        )
        self.consecutive_failures += 1
        self.has_probe = False
        self.circuit_open_until = now + wait

    def mark_address_reused(self, now: float) -> None:
        """Take the endpoint for ended: another endpoint answers at its address.

        It does not recover; the platform lists it for some more seconds.
        """
        self._queue_sample(SampleKind.ADDRESS_REUSED)
        self.mark_ended(now)

    def mark_ended(self, now: float) -> None:
        """Open the circuit for the maximum time: the endpoint has ended."""
        self.open_circuit(now)
        self.circuit_open_until = now + MAX_CIRCUIT_OPEN_S

    def record_success(self, now: float) -> None:
        """Close the circuit: the endpoint works."""
        self.warm_up.mark_reachable(now)
        self.consecutive_failures = 0
        self.has_probe = False
        self.circuit_open_until = 0.0


class EventGapMeter:
    """Measures the mean interval between the events of a running stream.

    Args:
        row: The endpoint that generates them.
    """

    def __init__(self, row: EndpointRow) -> None:
        self._row = row
        self._events = 0
        self._since: float | None = None

    def count(self, events: int, now: float, stalls: Stalls) -> None:
        """Count events that were just received.

        Args:
            events: How many.
            now: Monotonic time, in seconds.
            stalls: When this process stood still: it can't tell when they were sent.
        """
        if self._since is None or stalls.has_stood_still(self._since, now):
            self._events = 0
            self._since = now
            return
        self._events += events
        if self._events >= PACE_EVENTS:
            self._row.record_measurement(
                SampleKind.GAP,
                (now - self._since) / self._events,
                percent=self._row.load.mean_percent(self._since, now),
            )
            self._events = 0
            self._since = now


def _with_percent(sample: Sample, row: EndpointRow, now: float) -> Sample:
    """Add the figure during a measurement if only this entry knows it.

    Each entry receives few of an endpoint's reports, and the coordinator those of all. The
    measurement is taken to have ended just now: states follow each change at once.
    """
    if sample.percent or not row.load.has_varied:
        return sample
    events = PACE_EVENTS if sample.kind is SampleKind.GAP else 1
    percent = row.load.mean_percent(now - sample.seconds * events, now)
    return msgspec.structs.replace(sample, percent=percent)


def _merged_with_known(
    published: Published, known: Published, listed: EndpointRow | None
) -> Published:
    """Return a record with what is known from an earlier one of the same process.

    Args:
        published: The record.
        known: The earlier record.
        listed: The row of the endpoint if it is still listed. If not, a record that can't
            be told from one of a later incarnation is taken for that.
    """
    if not published.revision and published.born == known.born:
        # A peer of an earlier version relays no revisions.
        published = replace(
            published,
            revision=known.revision,
            registered_revision=known.registered_revision,
        )
    is_comparable = listed or published.born or published.registered_revision
    if is_comparable and published.inherits_leaving(known):
        return replace(published, leaving=True)
    return published


class EndpointTable:
    """All published endpoints, by id and by service.

    Attributes:
        evacuated: Evacuated data halls, whose endpoints are sent no requests.
        has_silent_peers: Whether entries that may still send requests report nothing, so
            that endpoints' loads show requests that are not known otherwise.
        software_versions: The software versions of each service's endpoints.
    """

    def __init__(self) -> None:
        self._rows: dict[str, EndpointRow] = {}
        self._services: dict[str, dict[str, EndpointRow]] = {}
        self._ended: dict[str, EndpointRow] = {}
        self._advertising: dict[str, EndpointRow] = {}
        self._with_hidden: dict[str, EndpointRow] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.has_silent_peers = False
        self.software_versions = SoftwareVersions()

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[EndpointRow]:
        return iter(list(self._rows.values()))

    def get(self, endpoint: str) -> EndpointRow | None:
        """Return the row of an endpoint; ``None`` if it is not published."""
        return self._rows.get(endpoint)

    def publish(self, published: Published, now: float = -math.inf) -> PublishResult:
        """Add an endpoint or update its row, unless the row is newer.

        Args:
            published: The platform's record of it.
            now: Monotonic time, in seconds.
        """
        known = self.last_incarnation(published.id)
        listed = self._rows.get(published.id)
        if known is not None:
            if published.is_older_than(known.published):
                return PublishResult.STALE
            published = _merged_with_known(published, known.published, listed)
        if listed is not None:
            # It may have served at this version until now, even if nobody looked.
            self._record_version(listed.published, now)
        self._record_version(published, now)
        self._ended.pop(published.id, None)
        if known is not None and published.born != known.published.born:
            self._add(self._new_incarnation(known, published, now))
            return PublishResult.NEW_INCARNATION
        row = self._rows.get(published.id)
        if row is None:
            self._add_listed(published, known, now)
            return PublishResult.NEW
        if row.lapsed_at is not None:
            row.lapsed_at = None
            row.warm_up.assumed_cold_since = now
        if published != row.published:
            row.warm_up.reported_cold_until = now + published.cold_s
            self._drop_from_service(row)
            if published.is_restarted(row.published):
                row.advertised = AdvertisedState()
            row.published = published
            self._add(row)
        return PublishResult.CHANGED

    def _add_listed(
        self, published: Published, known: EndpointRow | None, now: float
    ) -> None:
        """Add an endpoint that was not listed; it may have been earlier."""
        row = EndpointRow(published)
        row.warm_up.reported_cold_until = now + published.cold_s
        if known is not None:
            row.warm_up.assumed_cold_since = now
        if known is not None and not published.is_restarted(known.published):
            # The same incarnation: the state that it advertised still holds.
            row.advertised = known.advertised
            self._advertising[row.id] = row
        self._add(row)

    def last_incarnation(self, endpoint: str) -> EndpointRow | None:
        """Return the row of an endpoint, or its last row if it was removed."""
        return self._rows.get(endpoint) or self._ended.get(endpoint)

    def has_ended(self, published: Published) -> bool:
        """Return whether an endpoint, or a later incarnation of it, was removed."""
        ended = self._ended.get(published.id)
        return ended is not None and published.born <= ended.published.born

    def _new_incarnation(
        self, old: EndpointRow, published: Published, now: float
    ) -> EndpointRow:
        """Return the row of a new incarnation, which inherits only the measured speed.

        The machine is the same, so that its speed is a good first estimate.
        """
        self._drop_from_service(old)
        row = EndpointRow(published, speed=replace(old.speed), plain_s=old.plain_s)
        row.warm_up.reported_cold_until = now + published.cold_s
        row.warm_up.assumed_cold_since = now
        return row

    def _add(self, row: EndpointRow) -> None:
        self._rows[row.id] = row
        if self._advertising.get(row.id, row) is not row:
            del self._advertising[row.id]
        self._services.setdefault(row.published.service, {})[row.id] = row

    def _drop_from_service(self, row: EndpointRow) -> None:
        self._services[row.published.service].pop(row.id, None)

    def remove(self, endpoint: str) -> EndpointRow | None:
        """Remove an endpoint from the table; return its row."""
        row = self._rows.pop(endpoint, None)
        if row is not None:
            self._drop_from_service(row)
            self._remember_ended(row)
            self._advertising.pop(endpoint, None)
        return row

    def _remember_ended(self, row: EndpointRow) -> None:
        """Keep the last row of a removed endpoint, without its cached prefixes."""
        row.prefixes.clear()
        self._ended[row.id] = row
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]

    def evacuate(self, halls: frozenset[str], now: float) -> None:
        """Set the evacuated data halls; endpoints of all other halls accept requests.

        Endpoints of halls that were evacuated before may have become cold meanwhile.
        """
        for row in self._rows.values():
            if row.published.hall in self.evacuated - halls:
                row.warm_up.assumed_cold_since = now
        self.evacuated = halls

    def forget_revisions(self) -> None:
        """Compare no record with those known: the platform's revisions have gone back."""
        for row in (*self._rows.values(), *self._ended.values()):
            row.published = replace(row.published, revision=0, registered_revision=0)

    def accepts_work(self, row: EndpointRow) -> bool:
        """Return whether an endpoint accepts new requests at all."""
        return not row.is_leaving and row.published.hall not in self.evacuated

    def of_service(self, service: str) -> list[EndpointRow]:
        """Return all endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def refresh_software_versions(self, now: float) -> None:
        """Record the software versions of all endpoints that are listed now."""
        for row in self._rows.values():
            self._record_version(row.published, now)
        self.software_versions.expire(now)

    def _record_version(self, published: Published, now: float) -> None:
        self.software_versions.record(published.service, published.software_version, now)

    def accepting(
        self,
        service: str,
        halls: frozenset[str] | None,
        software_version: str | None = None,
    ) -> list[EndpointRow]:
        """Return the endpoints of a service that accept requests.

        Args:
            service: The service.
            halls: Data halls of the endpoints; ``None`` for all.
            software_version: Their software version; ``None`` for any.
        """
        return [
            row
            for row in self._services.get(service, {}).values()
            if self.accepts_work(row)
            and (halls is None or row.published.hall in halls)
            and software_version in (None, row.published.software_version)
        ]

    def is_version_gone(
        self, service: str, version: str, halls: frozenset[str] | None, now: float
    ) -> bool:
        """Return whether a software version served and has no endpoint any more.

        A version that was never listed here may be listed in a moment. Without any other
        version, an endpoint may come back with the same one.
        """
        return (
            not self.accepting(service, halls, version)
            and self.software_versions.was_listed(service, version, now)
            and self.software_versions.has_several(service, now)
        )

    def usable(
        self,
        service: str,
        now: float,
        halls: frozenset[str] | None = None,
        software_version: str | None = None,
    ) -> list[EndpointRow]:
        """Return the endpoints of a service that may be sent requests.

        If the circuits of all of them are open, all are returned: refusing every request
        on a guess would be worse than trying.

        Args:
            service: The service.
            now: Monotonic time, in seconds.
            halls: Data halls of the endpoints; ``None`` for all.
            software_version: Their software version; ``None`` for any.
        """
        if self._with_hidden:
            self._expire_hidden(now)
        accepting = self.accepting(service, halls, software_version)
        closed = [row for row in accepting if row.circuit_open_until <= now]
        return closed or accepting

    def mark_advertising(self, row: EndpointRow) -> None:
        """Remember that an endpoint advertises a state."""
        if self._rows.get(row.id) is row:
            self._advertising[row.id] = row

    def unmark_advertising(self, row: EndpointRow) -> None:
        """Forget that an endpoint advertised a state."""
        self._advertising.pop(row.id, None)

    def advertising(self) -> list[EndpointRow]:
        """Return the endpoints that advertise a state in their responses."""
        return list(self._advertising.values())

    def record_send(self, endpoint: str, at: float) -> None:
        """Record a request that another entry sent at a monotonic time, in seconds."""
        row = self._rows.get(endpoint)
        if row is not None:
            row.recent_sends.record(at)
            row.advertised.limit.record_send(at)

    def recent_send_ages(self, service: str, now: float) -> dict[str, list[float]]:
        """Return how long ago the recent requests to a service's endpoints were sent.

        Times are in seconds, by endpoint.
        """
        rows = self._services.get(service, {}).values()
        found = {row.id: row.recent_sends.ages(now) for row in rows}
        return {endpoint: ages for endpoint, ages in found.items() if ages}

    def record_load(self, row: EndpointRow, report: ReportedLoad, now: float) -> None:
        """Record the load that an endpoint reported in a response to this entry."""
        if row.load.record(report, now):
            self._count_hidden(row)

    def merge_load(self, report: LoadReport, now: float) -> None:
        """Merge the load that an endpoint reported to another entry.

        Ages are relative, so that the clocks of the entries need not agree; the time on
        the way is not known and makes the report look newer by some milliseconds.
        """
        row = self._rows.get(report.endpoint)
        if row is None or report.born not in (0, row.published.born):
            return
        load = ReportedLoad(report.running, report.waiting, report.slots, report.percent)
        if row.load.record(load, now - report.age_s, is_relayed=True):
            self._count_hidden(row)

    def take_loads(self, service: str, now: float) -> list[LoadReport]:
        """Return the loads of a service's endpoints that no coordinator was sent yet."""
        reports: list[LoadReport] = []
        for row in self._services.get(service, {}).values():
            if len(reports) >= MAX_LOADS:
                break
            load = row.load.take_unsent(now)
            if load is not None:
                reports.append(
                    LoadReport(
                        endpoint=row.id,
                        running=load.running,
                        waiting=load.waiting,
                        slots=load.slots,
                        percent=load.percent,
                        age_s=max(now - row.load.received_at, 0.0),
                        born=row.published.born,
                    )
                )
        return reports

    def _count_hidden(self, row: EndpointRow) -> None:
        # A late response may come from an incarnation that has ended.
        if not self.has_silent_peers or self._rows.get(row.id) is not row:
            return
        if row.load.count_hidden(row.known_in_flight, row.published.slots):
            self._with_hidden[row.id] = row

    def _expire_hidden(self, now: float) -> None:
        for endpoint, row in list(self._with_hidden.items()):
            if not row.load.expire_hidden(now):
                del self._with_hidden[endpoint]

    def drain_samples(self, service: str) -> list[Sample]:
        """Return and clear the queued measurements of a service's endpoints."""
        samples: list[Sample] = []
        for row in self._services.get(service, {}).values():
            if row.unsent_samples:
                samples.extend(row.unsent_samples)
                row.unsent_samples.clear()
        return samples

    def merge_sample(self, sample: Sample, now: float) -> None:
        """Merge a measurement of another entry.

        Failures reported while the circuit is open are ignored: their requests were already
        in flight when the first one failed. A success closes the circuit.
        """
        row = self._rows.get(sample.endpoint)
        # A failure of the previous incarnation would open the circuit of the new one for
        # 0.5 s or more.
        if row is None or sample.born not in (0, row.published.born):
            return
        row.update(_with_percent(sample, row, now))
        if sample.kind is SampleKind.ADDRESS_REUSED:
            row.mark_ended(now)
        elif sample.kind in (SampleKind.FAILED, SampleKind.UNREACHABLE):
            if sample.kind is SampleKind.UNREACHABLE:
                row.warm_up.mark_unreachable()
            if row.circuit_open_until <= now:
                row.open_circuit(now)
        elif sample.kind is not SampleKind.GAP:
            row.record_success(now)

    def set_in_flight_elsewhere(self, counts: dict[str, int]) -> None:
        """Set how many requests of other entries are in flight at each endpoint."""
        for row in self._rows.values():
            row.in_flight_elsewhere = counts.get(row.id, 0)

    def replace_peer_in_flight(self, before: dict[str, int], after: dict[str, int]) -> bool:
        """Replace one peer's requests in flight; return whether slots were released.

        Args:
            before: The counts of its previous digest, by endpoint.
            after: The counts of its new digest.
        """
        has_released = False
        for endpoint in before.keys() | after.keys():
            change = after.get(endpoint, 0) - before.get(endpoint, 0)
            row = self._rows.get(endpoint)
            if row is not None and change:
                row.in_flight_elsewhere += change
                has_released = has_released or change < 0
        return has_released
