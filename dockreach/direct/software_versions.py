"""Software versions of the endpoints that serve each service, or served it lately.

Endpoints of several versions may serve side by side, for example while they are replaced
one after another. What two versions write does not fit together, so that a stream goes on
only at the version that began it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import TypeGuard

from .version_coverage import (
    PLATFORM,
    Confirmation,
    ServedVersion,
    VersionCoverage,
    VersionSource,
)

VERSION_MEMORY_S = 60.0
"""How long a version counts after its last endpoint has gone, in seconds: longer than a
stream and the attempts to continue it last."""

RETENTION_S = 600.0
"""How long a version is remembered after that, in seconds: routes with a longer timeout
have streams that last longer."""

SERVE_ON_S = 10.0
"""How long an endpoint may serve after its record has gone, in seconds: the platform speaks
of its drain timeout and, at times, many seconds more."""

MAX_VERSIONS = 16
"""Maximum number of versions of one service that are remembered."""

MAX_TOLD_VERSIONS = 64
"""Most versions, of all services, in what other entries are told with each digest."""

MAX_TOLD_CHARACTERS = 64
"""Longest version that other entries are told."""

VersionAges = dict[str, dict[str, float]]
"""Time since each version was last listed, in seconds, by service and version."""


class SoftwareVersions:
    """Remembers the software versions of each service's endpoints.

    A version is ``None`` where a peer relayed an endpoint's record without it.

    Attributes:
        coverage: From when on all of them are known.
        confirmation: Up to when all changes of the list were seen.
    """

    def __init__(self) -> None:
        self.coverage = VersionCoverage()
        self.confirmation = Confirmation(-math.inf, PLATFORM)
        self._shared_coverage = VersionCoverage()
        self._learned_at = -math.inf
        self._history: dict[str, dict[str | None, float]] = {}
        self._listed: dict[str, dict[str | None, float]] = {}
        self._reported: dict[str, dict[str | None, float]] = {}

    def record(self, service: str, version: str | None, now: float) -> None:
        """Record that an endpoint with a version is listed here."""
        _remember(self._listed, service, version, now)

    def merge(
        self,
        ages: Mapping[str, Mapping[str, float]],
        now: float,
        *,
        known_s: int = 0,
        sent_after: float | None = None,
    ) -> None:
        """Merge the versions that another entry remembers.

        Args:
            ages: Time since each version was last listed, in seconds.
            now: Monotonic time, in seconds.
            known_s: For how long the other entry has known all versions, in seconds, if
                these are all of them; else 0.
            sent_after: Earliest monotonic time at which it can have told them, in seconds;
                now if omitted.
        """
        for service, versions in ages.items():
            for version, age_s in versions.items():
                if 0.0 <= age_s <= VERSION_MEMORY_S:
                    _remember(self._reported, service, version, now - age_s)
        if known_s > 0:
            since = now - min(known_s, VERSION_MEMORY_S)
            self.coverage.extend(since, VersionSource.ENTRY)
            self._shared_coverage.extend(since, VersionSource.ENTRY)
            learned_at = now if sent_after is None else sent_after
            self._learned_at = max(learned_at, self._learned_at)

    @property
    def confirmed_at(self) -> float:
        """Monotonic time up to which all changes of the list were seen, in seconds."""
        return self.confirmation.at

    def confirm(self, at: float, by: str = PLATFORM) -> None:
        """Record that all changes of the list up to a time were seen.

        Args:
            at: That time, monotonic, in seconds: no later than the list was sent.
            by: Who read it, as in `Confirmation`.
        """
        if at > self.confirmation.at:
            self.confirmation = Confirmation(at, by)

    def merge_answer(
        self,
        ages: Mapping[str, Mapping[str, float]],
        now: float,
        *,
        known_s: int,
        until: float,
        by: str,
    ) -> None:
        """Merge what another entry answered to a question of this one.

        Args:
            ages: Time since each version was last listed, in seconds.
            now: Monotonic time, in seconds.
            known_s: For how long the other entry has known all versions, in seconds, if
                these are all of them; else 0.
            until: Monotonic time up to which the other entry has seen all changes of the
                list, in seconds.
            by: The other entry.
        """
        # A gap between what the two entries have seen may hide a version.
        reaches_here = until >= self._shared_coverage.since
        usable_s = min(known_s, VERSION_MEMORY_S) if reaches_here else 0
        self.merge(ages, now, known_s=int(usable_s), sent_after=until)
        if usable_s > 0 and now - usable_s <= self.confirmed_at:
            self.confirm(until, by)

    def replace_list(
        self, now: float, max_gap_s: float, *, complete_at: float | None = None
    ) -> None:
        """Record that the list was read anew: changes since the last one were not seen.

        Args:
            now: Monotonic time, in seconds.
            max_gap_s: Longest time between two lists in which no version can have served
                unnoticed, in seconds.
            complete_at: Monotonic time up to which the list holds all changes, in seconds;
                now if omitted.
        """
        seen_at = max(self.confirmed_at, self._learned_at)
        for coverage in (self.coverage, self._shared_coverage):
            if max_gap_s < now - seen_at < math.inf:
                coverage.restart(now)
            coverage.extend(now, VersionSource.MEMORY)
        self.confirm(now if complete_at is None else complete_at)

    def add_history(
        self,
        served: Iterable[ServedVersion],
        now: float,
        *,
        sent_after: float | None = None,
    ) -> None:
        """Record all versions that ever served, as the platform's store tells.

        It does not tell when. They count here as if they had served until now; other
        entries, which may know better, are not told of them.

        Args:
            served: The versions.
            now: Monotonic time, in seconds.
            sent_after: Monotonic time at which they were asked for, in seconds; now if
                omitted.
        """
        for item in served:
            _remember(self._history, item.service, item.version, now)
        self.coverage.extend(-math.inf, VersionSource.HISTORY)
        self._learned_at = now if sent_after is None else sent_after

    def known_s(self, now: float, max_gap_s: float) -> int:
        """Return for how long `report` holds all versions that served, in whole seconds.

        It is 0 if it does not, and at most `VERSION_MEMORY_S`.

        Args:
            now: Monotonic time, in seconds.
            max_gap_s: As for `replace_list`.
        """
        return 0 if now - self.confirmed_at > max_gap_s else self.complete_s(now)

    def can_tell_all(self, now: float) -> bool:
        """Return whether `report` holds all versions that are known here."""
        recent = [self.recent(service, now) for service in self._services()]
        untold = [name for names in recent for name in names if not _can_be_told(name)]
        return not untold and sum(map(len, recent)) <= MAX_TOLD_VERSIONS

    def complete_s(self, now: float) -> int:
        """Return for how long `report` holds all versions up to the last confirmation.

        Returns:
            Whole seconds until now, at most `VERSION_MEMORY_S`; 0 if it does not.
        """
        if not self.can_tell_all(now):
            return 0
        return int(min(self._shared_coverage.age_s(now), VERSION_MEMORY_S))

    def covers(self, since: float, now: float) -> bool:
        """Return whether all versions are known from a time to the last confirmation.

        Args:
            since: That time, monotonic, in seconds.
            now: Monotonic time, in seconds.
        """
        return self.coverage.covers(since) and since >= now - RETENTION_S

    def served(self, service: str, since: float) -> set[str | None]:
        """Return the versions that are known to have served a service since a time.

        Endpoints serve on after their records have gone, and entries that are out of step
        send them requests. Versions of the history count as if they served until now.
        """
        known = (
            (self._listed, since - SERVE_ON_S),
            (self._reported, since - SERVE_ON_S),
            (self._history, since),
        )
        return {
            version
            for versions, earliest in known
            for version, at in versions.get(service, {}).items()
            if at >= earliest
        }

    def is_only_one(self, service: str, since: float, until: float, now: float) -> bool:
        """Return whether only one version served a service for a time, for certain.

        How long a record outlives its endpoint does not bound for how long one that was
        added is not seen. So the list must have been confirmed at the end of that time.

        Args:
            service: The service.
            since: Begin of that time, monotonic, in seconds.
            until: Its end.
            now: Monotonic time, in seconds.
        """
        is_known = self.confirmed_at >= until and self.covers(since, now)
        return is_known and len(self.served(service, since)) == 1

    def recent(self, service: str, now: float) -> set[str | None]:
        """Return the versions that serve a service, or served it lately."""
        known = [self._listed.get(service, {}), self._reported.get(service, {})]
        return {
            version
            for versions in known
            for version, at in versions.items()
            if now - at <= VERSION_MEMORY_S
        }

    def has_several(self, service: str, now: float) -> bool:
        """Return whether more than one version serves a service, or served it lately."""
        return len(self.recent(service, now)) > 1

    def was_listed(self, service: str, version: str, now: float) -> bool:
        """Return whether an endpoint with a version is listed here, or was lately."""
        at = self._listed.get(service, {}).get(version)
        return at is not None and now - at <= VERSION_MEMORY_S

    def mixed_services(self, now: float) -> list[str]:
        """Return the services of which several versions serve, or served lately."""
        return [name for name in self._services() if self.has_several(name, now)]

    def _services(self) -> list[str]:
        return sorted(self._listed.keys() | self._reported.keys())

    def report(self, now: float, *, with_single: bool = False) -> VersionAges:
        """Return the versions of the services that have several, for other entries.

        Args:
            now: Monotonic time, in seconds.
            with_single: Whether to add the services that have one version.
        """
        services = self._services() if with_single else self.mixed_services(now)
        told: VersionAges = {}
        room = MAX_TOLD_VERSIONS
        for service in services:
            ages = self._ages(service, now)
            if ages and len(ages) <= room:
                told[service] = ages
                room -= len(ages)
        return told

    def _ages(self, service: str, now: float) -> dict[str, float]:
        ages: dict[str, float] = {}
        for known in (self._listed, self._reported):
            for version, at in known.get(service, {}).items():
                age_s = max(now - at, 0.0)
                if _can_be_told(version) and age_s <= VERSION_MEMORY_S:
                    ages[version] = min(age_s, ages.get(version, age_s))
        return ages

    def expire(self, now: float) -> None:
        """Forget versions whose last endpoint went too long ago."""
        for known in (self._listed, self._reported, self._history):
            for service, versions in list(known.items()):
                _drop_old(versions, now)
                if not versions:
                    del known[service]


def _can_be_told(version: str | None) -> TypeGuard[str]:
    """Return whether other entries can be told of a version."""
    return version is not None and len(version) <= MAX_TOLD_CHARACTERS


def _remember(
    known: dict[str, dict[str | None, float]],
    service: str,
    version: str | None,
    at: float,
) -> None:
    versions = known.setdefault(service, {})
    versions[version] = max(at, versions.get(version, at))
    if len(versions) > MAX_VERSIONS:
        oldest = min(versions, key=lambda name: versions[name])
        del versions[oldest]


def _drop_old(versions: dict[str | None, float], now: float) -> None:
    old: Iterable[str | None] = [
        version for version, at in versions.items() if now - at > RETENTION_S
    ]
    for version in old:
        del versions[version]
