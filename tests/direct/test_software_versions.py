"""Streams while endpoints of several software versions serve side by side."""

from __future__ import annotations

from .versioned_engines import (
    STREAM_EVENTS,
    VersionedEngine,
    start_fleet,
    versions_in,
    whole_stream,
)

SOFTWARE_VERSIONS = ("v1", "v1.2")


def engines_of(*versions: str, pause_s: float = 0.0) -> list[VersionedEngine]:
    return [
        VersionedEngine(f"e-{number}", version, pause_s=pause_s)
        for number, version in enumerate(versions)
    ]


def test_a_broken_stream_goes_on_at_the_software_version_that_began_it() -> None:
    engines = engines_of(*SOFTWARE_VERSIONS * 2)
    for engine in engines:
        engine.breaks_after = 2
    for _ in range(len(engines)):
        # An entry that has just started takes none of the engines for broken.
        (entry,) = start_fleet(engines, entries=1)
        versions = versions_in(whole_stream(entry, "r-1"))
        assert len(versions) == STREAM_EVENTS
        assert len(set(versions)) == 1
        engines.append(engines.pop(0))
