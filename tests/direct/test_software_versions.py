"""Streams while endpoints of several software versions serve side by side."""

from __future__ import annotations

import math
from dataclasses import replace

import eventlet
import msgspec
import pytest

from dockreach import clock
from dockreach.direct.datagrams import MAX_DATAGRAM_BYTES
from dockreach.direct.endpoints import EndpointTable
from dockreach.direct.jobs import Job, Placed, Refused
from dockreach.direct.software_versions import (
    MAX_VERSIONS,
    VERSION_MEMORY_S,
    SoftwareVersions,
)
from dockreach.direct.version_coverage import Confirmation, ServedVersion, VersionSource
from dockreach.verdict import Reason, Verdict

from .core_builders import dispatcher, job, placed, versioned_endpoints
from .standins import entry_settings, header_of, start_entry, status_of
from .versioned_engines import (
    GOSSIP_S,
    STREAM_EVENTS,
    VersionedEngine,
    add_entry,
    begin_stream,
    start_fleet,
    take_up_stream,
    versions_in,
    whole_stream,
)

STREAMS = 6
IMMEDIATE_S = 0.3
"""Time within which a refusal comes that waits for nothing, in seconds."""

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


def test_a_stream_is_taken_up_at_another_entry_at_the_version_that_began_it() -> None:
    engines = engines_of(*SOFTWARE_VERSIONS * 2, pause_s=0.3)
    first, second = start_fleet(engines, entries=2)
    begun = [(rid, *begin_stream(first, rid)) for rid in map(str, range(STREAMS))]
    assert {version for _, _, version in begun} == set(SOFTWARE_VERSIONS)
    for _, caller, _ in begun:
        caller.close()
    for rid, _, version in reversed(begun):
        response = take_up_stream(second, f"t-{rid}", stream_rid=rid)
        assert status_of(response) == 200
        assert versions_in(response) == [version] * (STREAM_EVENTS - 1)


def test_a_stream_that_no_entry_knows_is_refused_as_not_run() -> None:
    engines = engines_of(*SOFTWARE_VERSIONS)
    (entry,) = start_fleet(engines, entries=1)
    response = take_up_stream(entry, "t-1", stream_rid="r-1")
    assert status_of(response) == 503
    assert float(header_of(response, b"retry-after") or 0) > 0
    assert not any(engine.standin.requests for engine in engines)


def test_a_stream_whose_version_was_replaced_is_not_taken_up_at_another() -> None:
    engines = engines_of(*SOFTWARE_VERSIONS, pause_s=0.3)
    first, second = start_fleet(engines, entries=2)
    caller, version = begin_stream(first, "r-1")
    caller.close()
    for engine in engines:
        if engine.software_version == version:
            second.remove_endpoint(engine.name)
    started = clock.now()
    response = take_up_stream(second, "t-1", stream_rid="r-1")
    assert status_of(response) == 503
    assert clock.now() - started < IMMEDIATE_S


def test_an_entry_that_has_just_started_learns_which_versions_served_before() -> None:
    old, new = engines_of(*SOFTWARE_VERSIONS)
    fleet = start_fleet([old, new], entries=2)
    for entry in fleet:
        entry.remove_endpoint(old.name)
    late = add_entry(fleet, [new])
    eventlet.sleep(GOSSIP_S)
    # It lists one version, but the stream may have begun at the other one.
    assert status_of(take_up_stream(late, "t-1", stream_rid="r-1")) == 503


def test_a_stream_that_began_before_the_second_version_appeared_is_known_later() -> None:
    old, new = engines_of(*SOFTWARE_VERSIONS, pause_s=0.3)
    first, second = start_fleet([old], entries=2)
    caller, _ = begin_stream(first, "r-1")
    for entry in (first, second):
        entry.apply_endpoint(new.published)
    eventlet.sleep(GOSSIP_S)
    # The entry that began it answers no questions any more.
    second.peers.expire(math.inf)
    caller.close()
    response = take_up_stream(second, "t-1", stream_rid="r-1")
    assert set(versions_in(response)) == {"v1"}


def test_streams_go_on_anywhere_while_one_version_serves() -> None:
    (engine,) = engines_of("v1")
    (entry,) = start_fleet([engine], entries=1)
    response = take_up_stream(entry, "t-1", stream_rid="")
    assert versions_in(response) == ["v1"] * (STREAM_EVENTS - 1)


def pinned(rid: str, version: str) -> Job:
    found = job(rid)
    found.software_version = version
    return found


@pytest.mark.parametrize("version", ["v1", "", "v1.2"])
def test_a_job_that_continues_a_stream_waits_for_its_software_version(version: str) -> None:
    table = versioned_endpoints("v1", "", "v1.2")
    queue = dispatcher(table)
    for number in range(2):
        queue.submit(pinned(f"r-{number}", version))
    decisions = queue.run_round(0.1)
    assert placed(decisions) == ["r-0"]
    assert decisions[0].job.endpoint is not None
    assert decisions[0].job.endpoint.published.software_version == version


def test_a_job_that_waits_for_its_software_version_holds_up_no_other() -> None:
    queue = dispatcher(versioned_endpoints("v1", "v1.2"))
    queue.submit(pinned("r-0", "v1"))
    queue.submit(pinned("r-1", "v1"))
    queue.submit(job("r-2", tier=1))
    assert placed(queue.run_round(0.1)) == ["r-0", "r-2"]


def test_a_stream_whose_software_version_is_gone_is_refused_at_once() -> None:
    table = versioned_endpoints("v1", "v1.2")
    table.remove("e-0")
    queue = dispatcher(table)
    queue.submit(pinned("r-0", "v1"))
    (decision,) = queue.run_round(0.1)
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is Reason.SOFTWARE_VERSION
    assert decision.refusal.verdict is Verdict.NOT_RUN
    assert decision.refusal.retry_after_s


def test_a_stream_whose_software_version_is_not_listed_yet_waits() -> None:
    queue = dispatcher(versioned_endpoints("v1"))
    queue.submit(pinned("r-0", "v1.2"))
    assert not queue.run_round(0.1)


def test_all_endpoints_of_a_version_are_tried_while_their_circuits_are_open() -> None:
    table = versioned_endpoints("v1", "v1.2")
    row = table.get("e-0")
    assert row is not None
    row.open_circuit(0.0)
    queue = dispatcher(table)
    queue.submit(pinned("r-0", "v1"))
    assert placed(queue.run_round(0.1)) == ["r-0"]


def test_a_stream_prefers_endpoints_that_have_certainly_not_restarted() -> None:
    table = versioned_endpoints("v1", "v1", "v1.2")
    row = table.get("e-0")
    assert row is not None
    row.mark_connection_broken(0.0)
    queue = dispatcher(table)
    for number in range(2):
        queue.submit(pinned(f"r-{number}", "v1"))
    decisions = queue.run_round(0.1)
    endpoints = [item.endpoint.id for item in decisions if isinstance(item, Placed)]
    assert endpoints == ["e-1", "e-0"]


def test_a_version_counts_for_a_while_after_its_last_endpoint_has_gone() -> None:
    table = versioned_endpoints("v1", "v1.2")
    table.remove("e-0")
    versions = table.software_versions
    assert versions.recent("work", VERSION_MEMORY_S) == {"v1", "v1.2"}
    table.refresh_software_versions(VERSION_MEMORY_S + 1)
    assert not versions.has_several("work", VERSION_MEMORY_S + 1)


def test_a_changed_software_version_replaces_the_old_one_in_its_row() -> None:
    table = versioned_endpoints("v1", now=1.0)
    row = table.get("e-0")
    assert row is not None
    table.publish(replace(row.published, software_version="v2"), 2.0)
    assert row.published.software_version == "v2"
    assert table.software_versions.recent("work", 2.0) == {"v1", "v2"}


def test_versions_that_another_entry_remembers_age_with_each_report() -> None:
    first, second = SoftwareVersions(), SoftwareVersions()
    first.record("work", "v1", 0.0)
    first.record("work", "v2", 10.0)
    for _ in range(3):
        second.merge(first.report(10.0), 10.0)
        first.merge(second.report(10.0), 10.0)
    assert first.recent("work", VERSION_MEMORY_S) == {"v1", "v2"}
    assert first.recent("work", VERSION_MEMORY_S + 5) == {"v2"}
    assert not second.was_listed("work", "v1", 10.0)


def test_the_versions_of_a_service_are_bounded() -> None:
    versions = SoftwareVersions()
    for number in range(2 * MAX_VERSIONS):
        versions.record("work", f"v{number}", float(number))
    assert len(versions.recent("work", 0.0)) == MAX_VERSIONS


def test_an_endpoint_without_a_known_version_does_not_continue_streams() -> None:
    table = EndpointTable()
    for row in versioned_endpoints("v1"):
        table.publish(replace(row.published, software_version=None), 0.0)
    queue = dispatcher(table)
    queue.submit(pinned("r-0", "v1"))
    assert not placed(queue.run_round(0.1))


MAX_GAP_S = 2.0


def test_a_time_between_what_others_told_and_the_first_list_is_not_known() -> None:
    versions = SoftwareVersions()
    versions.merge({"work": {"v1": 0.0}}, 100.0, known_s=int(VERSION_MEMORY_S))
    # The platform answers this entry only now; the entry that told it is long gone.
    versions.record("work", "v1", 130.0)
    versions.replace_list(130.0, MAX_GAP_S)
    assert not versions.is_only_one("work", 120.0, 130.0, 130.0)


def test_a_time_between_the_history_and_the_first_list_is_not_known() -> None:
    versions = SoftwareVersions()
    versions.add_history([ServedVersion("work", "v1")], 100.0)
    versions.record("work", "v1", 130.0)
    versions.replace_list(130.0, MAX_GAP_S)
    assert not versions.is_only_one("work", 120.0, 130.0, 130.0)


def test_an_entry_that_lists_an_unknown_version_tells_not_that_it_knows_all() -> None:
    told, started = SoftwareVersions(), SoftwareVersions()
    told.coverage.extend(0.0, VersionSource.MEMORY)
    told.record("work", None, 100.0)
    told.replace_list(100.0, MAX_GAP_S)
    started.record("work", "v2", 100.0)
    started.replace_list(100.0, MAX_GAP_S)
    ages = told.report(100.0, with_single=True)
    started.merge(ages, 100.0, known_s=told.known_s(100.0, MAX_GAP_S))
    assert not started.is_only_one("work", 90.0, 100.0, 100.0)


@pytest.mark.parametrize("known_s", [2**62, 10**6])
def test_a_peer_tells_of_no_longer_time_than_versions_are_remembered(known_s: int) -> None:
    versions = SoftwareVersions()
    versions.record("work", "v1", 1000.0)
    versions.replace_list(1000.0, MAX_GAP_S)
    versions.merge({"work": {"v1": 0.0}}, 1000.0, known_s=known_s)
    since = 1000.0 - VERSION_MEMORY_S - 1.0
    assert not versions.is_only_one("work", since, 1000.0, 1000.0)


def test_what_is_told_of_the_history_leaves_room_in_a_digest() -> None:
    versions = SoftwareVersions()
    served = [
        ServedVersion(f"service-{service}-in-the-catalogue", f"1.{version}.0-20261205")
        for service in range(200)
        for version in range(MAX_VERSIONS)
    ]
    versions.add_history(served, 0.0)
    data = msgspec.msgpack.encode(versions.report(1.0, with_single=True))
    assert len(data) < MAX_DATAGRAM_BYTES / 2


def test_a_stream_of_a_version_that_is_not_listed_here_yet_is_not_joined(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    engines = engines_of("v1")
    settings = replace(entry_settings(), is_coordinated=False)
    first = start_entry(settings=settings)
    second = start_entry(
        settings=replace(
            entry_settings(), is_coordinated=False, seeds=(settings.gossip_address,)
        )
    )
    for entry in (first, second):
        entry.apply_endpoint(engines[0].published)
    eventlet.sleep(GOSSIP_S)
    # The release is listed at one entry only, whose next digest is lost; its reports to
    # the holders of its streams arrive.
    monkeypatch.setattr(first.gossip, "send_now", lambda: None)
    released = VersionedEngine("e-9", "v1.2", pause_s=0.3)
    first.apply_endpoint(released.published)
    first.remove_endpoint("e-0")
    caller, version = begin_stream(first, "r-1")
    assert version == "v1.2"
    eventlet.sleep(0.02)
    caller.close()
    response = take_up_stream(second, "t-1", stream_rid="r-1")
    assert "v1" not in versions_in(response)


def test_a_version_that_appeared_since_the_list_was_read_is_not_excluded() -> None:
    versions = SoftwareVersions()
    versions.coverage.extend(-math.inf, VersionSource.MEMORY)
    versions.record("work", "v1", 100.0)
    versions.confirm(100.0)
    assert versions.is_only_one("work", 80.0, 100.0, 100.0)
    assert not versions.is_only_one("work", 80.0, 100.01, 100.01)


def test_no_version_at_all_is_not_the_only_one() -> None:
    versions = SoftwareVersions()
    versions.coverage.extend(-math.inf, VersionSource.MEMORY)
    versions.confirm(100.0)
    assert not versions.is_only_one("work", 80.0, 100.0, 100.0)


def test_an_answer_of_another_entry_confirms_the_list_until_its_own_confirmation() -> None:
    versions = SoftwareVersions()
    versions.coverage.extend(-math.inf, VersionSource.MEMORY)
    versions.record("work", "v1", 100.0)
    versions.replace_list(100.0, MAX_GAP_S)
    versions.merge_answer({"work": {"v1": 0.0}}, 110.0, known_s=60, until=109.0, by="e")
    assert versions.confirmation == Confirmation(109.0, "e")
    assert versions.is_only_one("work", 80.0, 109.0, 110.0)


@pytest.mark.parametrize("known_s", [0, 9])
def test_an_answer_of_an_entry_that_may_have_missed_versions_confirms_nothing(
    known_s: int,
) -> None:
    versions = SoftwareVersions()
    versions.coverage.extend(-math.inf, VersionSource.MEMORY)
    versions.record("work", "v1", 100.0)
    versions.confirm(100.0)
    versions.merge_answer(
        {"work": {"v1": 0.0}}, 110.0, known_s=known_s, until=110.0, by="e"
    )
    assert versions.confirmed_at == 100.0


def test_an_answer_does_not_bridge_the_time_before_a_list_that_was_read_anew() -> None:
    versions = SoftwareVersions()
    versions.record("work", "v1", 130.0)
    versions.replace_list(130.0, MAX_GAP_S)
    versions.merge_answer({"work": {"v1": 0.0}}, 131.0, known_s=60, until=110.0, by="e")
    assert not versions.covers(100.0, 131.0)


def test_what_others_told_counts_up_to_when_they_can_have_told_it() -> None:
    """Guards against versions that served while an entry stood still, unseen."""
    versions = SoftwareVersions()
    known_s = int(VERSION_MEMORY_S)
    versions.merge({"work": {"v1": 0.0}}, 130.0, known_s=known_s, sent_after=100.0)
    versions.record("work", "v1", 130.0)
    versions.replace_list(130.0, MAX_GAP_S)
    assert not versions.is_only_one("work", 120.0, 130.0, 130.0)


def test_a_history_that_waited_to_be_read_leaves_a_gap_before_the_next_list() -> None:
    versions = SoftwareVersions()
    versions.add_history([ServedVersion("work", "v1")], 130.0, sent_after=100.0)
    versions.record("work", "v1", 130.0)
    versions.replace_list(130.0, MAX_GAP_S)
    assert not versions.is_only_one("work", 120.0, 130.0, 130.0)
