"""Software versions of the endpoints that serve each service, or served it lately.

Endpoints of several versions may serve side by side, for example while they are replaced
one after another. What two versions write does not fit together, so that a stream goes on
only at the version that began it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from .version_coverage import ServedVersion, VersionCoverage, VersionSource

VERSION_MEMORY_S = 60.0
"""How long a version counts after its last endpoint has gone, in seconds: longer than a
stream and the attempts to continue it last."""

MAX_VERSIONS = 16
"""Maximum number of versions of one service that are remembered."""

VersionAges = dict[str, dict[str, float]]
"""Time since each version was last listed, in seconds, by service and version."""


class SoftwareVersions:
    """Remembers the software versions of each service's endpoints.

    A version is ``None`` where a peer relayed an endpoint's record without it.

    Attributes:
        coverage: From when on all of them are known.
        confirmed_at: Monotonic time up to which all changes of the list were seen, in
            seconds.
    """

    def __init__(self) -> None:
        self.coverage = VersionCoverage()
        self.confirmed_at = -math.inf
        self._listed: dict[str, dict[str | None, float]] = {}
        self._reported: dict[str, dict[str | None, float]] = {}

    def record(self, service: str, version: str | None, now: float) -> None:
        """Record that an endpoint with a version is listed here."""
        _remember(self._listed, service, version, now)

    def merge(
        self, ages: Mapping[str, Mapping[str, float]], now: float, *, known_s: int = 0
    ) -> None:
        """Merge the versions that another entry remembers.

        Args:
            ages: Time since each version was last listed, in seconds.
            now: Monotonic time, in seconds.
            known_s: For how long these have been all versions of all services, in seconds;
                0 if they may be a part.
        """
        for service, versions in ages.items():
            for version, age_s in versions.items():
                if 0.0 <= age_s <= VERSION_MEMORY_S:
                    _remember(self._reported, service, version, now - age_s)
        if known_s > 0:
            self.coverage.extend(now - known_s, VersionSource.ENTRY)

    def confirm(self, at: float) -> None:
        """Record that all changes of the list up to a time were seen.

        Args:
            at: That time, monotonic, in seconds.
        """
        self.confirmed_at = max(at, self.confirmed_at)

    def replace_list(self, now: float, max_gap_s: float) -> None:
        """Record that the list was read anew: changes since the last one were not seen.

        Args:
            now: Monotonic time, in seconds.
            max_gap_s: Longest time between two lists in which no version can have served
                unnoticed, in seconds.
        """
        if max_gap_s < now - self.confirmed_at < math.inf:
            self.coverage.restart(now)
        self.coverage.extend(now, VersionSource.MEMORY)
        self.confirm(now)

    def add_history(self, served: Iterable[ServedVersion], now: float) -> None:
        """Record all versions that ever served, as the platform's store tells.

        It does not tell when. They count as if they had served until now.
        """
        for item in served:
            _remember(self._reported, item.service, item.version, now)
        self.coverage.extend(-math.inf, VersionSource.HISTORY)

    def known_s(self, now: float, max_gap_s: float) -> int:
        """Return for how long all versions have been known, in whole seconds.

        It is 0 if they are not known now, and at most `VERSION_MEMORY_S`.

        Args:
            now: Monotonic time, in seconds.
            max_gap_s: As for `replace_list`.
        """
        if now - self.confirmed_at > max_gap_s:
            return 0
        return int(min(self.coverage.age_s(now), VERSION_MEMORY_S))

    def is_only_one(self, service: str, since: float, now: float, max_gap_s: float) -> bool:
        """Return whether only one version served a service since a time, for certain.

        Args:
            service: The service.
            since: That time, monotonic, in seconds.
            now: Monotonic time, in seconds.
            max_gap_s: As for `replace_list`.
        """
        is_current = now - self.confirmed_at <= max_gap_s
        is_covered = is_current and self.coverage.covers(since)
        return is_covered and not self.has_several(service, now)

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
        services = self._listed.keys() | self._reported.keys()
        return sorted(name for name in services if self.has_several(name, now))

    def report(self, now: float, *, with_single: bool = False) -> VersionAges:
        """Return the versions of the services that have several, for other entries.

        Args:
            now: Monotonic time, in seconds.
            with_single: Whether to add the services that have one version.
        """
        services = self.mixed_services(now)
        if with_single:
            services = sorted(self._listed.keys() | self._reported.keys())
        ages = {service: self._ages(service, now) for service in services}
        return {service: versions for service, versions in ages.items() if versions}

    def _ages(self, service: str, now: float) -> dict[str, float]:
        ages: dict[str, float] = {}
        for known in (self._listed, self._reported):
            for version, at in known.get(service, {}).items():
                age_s = max(now - at, 0.0)
                if version is not None and age_s <= VERSION_MEMORY_S:
                    ages[version] = min(age_s, ages.get(version, age_s))
        return ages

    def expire(self, now: float) -> None:
        """Forget versions whose last endpoint went too long ago."""
        for known in (self._listed, self._reported):
            for service, versions in list(known.items()):
                _drop_old(versions, now)
                if not versions:
                    del known[service]


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
        version for version, at in versions.items() if now - at > VERSION_MEMORY_S
    ]
    for version in old:
        del versions[version]
