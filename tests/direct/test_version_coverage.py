"""From when on an entry knows which software versions served."""

from __future__ import annotations

import math

from dockreach.direct.version_coverage import VersionCoverage, VersionSource


def test_nothing_is_known_at_first() -> None:
    coverage = VersionCoverage()
    assert not coverage.covers(1e9)
    assert coverage.age_s(1e9) == 0.0
    assert coverage.source is VersionSource.NOTHING


def test_the_longest_knowledge_counts_wherever_it_is_from() -> None:
    coverage = VersionCoverage()
    coverage.extend(100.0, VersionSource.MEMORY)
    coverage.extend(90.0, VersionSource.ENTRY)
    coverage.extend(95.0, VersionSource.HISTORY)
    assert coverage.covers(90.0)
    assert not coverage.covers(89.9)
    assert coverage.age_s(100.0) == 10.0
    assert coverage.source is VersionSource.ENTRY


def test_a_gap_ends_all_knowledge() -> None:
    coverage = VersionCoverage()
    coverage.extend(-math.inf, VersionSource.HISTORY)
    coverage.restart(100.0)
    assert not coverage.covers(99.0)
    assert coverage.source is VersionSource.MEMORY


def test_settings_do_not_outweigh_what_the_platform_tells() -> None:
    coverage = VersionCoverage()
    coverage.extend(-math.inf, VersionSource.FIRST_START)
    coverage.revoke_first_start()
    assert not coverage.covers(1e9)
    coverage.extend(100.0, VersionSource.MEMORY)
    coverage.revoke_first_start()
    assert coverage.covers(100.0)
