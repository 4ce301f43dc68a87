"""Evidence by which one software version is taken for the only one that served."""

from __future__ import annotations

import math
from dataclasses import replace

import msgspec
import pytest

from dockreach import clock
from dockreach.direct.datagrams import decode, encode
from dockreach.direct.entry import Entry
from dockreach.direct.peers import FRESH_S, PEER_TIMEOUT_S
from dockreach.direct.software_versions import SERVE_ON_S, SoftwareVersions
from dockreach.direct.stalls import Arrival
from dockreach.direct.stream_versions import UnknownVersion
from dockreach.direct.version_coverage import VersionSource
from dockreach_platform.headers import PlatformAdapter

from .core_builders import address, digest
from .standins import entry_settings, published
from .test_stream_versions import (
    MAX_AGE_S,
    MAX_GAP_S,
    SERVICE,
    Network,
    begin,
    cut_off,
    join,
    look_up,
    network,
)

ENTRIES_S = 20.0
"""How long a stream of the entries below may have run, in seconds."""


def entry_with_list(
    complete_at: float, *, endpoints_revision: int = 1, name: str = "entry-1"
) -> Entry:
    """Return an entry that has seen all changes of the list up to a time.

    All versions of before are known.
    """
    entry = Entry(replace(entry_settings(), name=name), PlatformAdapter())
    versions = entry.endpoints.software_versions
    versions.coverage.extend(-math.inf, VersionSource.HISTORY)
    listed = published("e-1", "127.0.0.1:9", software_version="v1")
    entry.replace_endpoints([listed], endpoints_revision)
    # The list was read at that time.
    versions.confirmation = versions.confirmation._replace(at=complete_at)
    entry.feeds.endpoints.record_response(complete_at)
    entry.feeds.endpoints.complete_at = complete_at
    return entry


def service_of(entry: Entry) -> str:
    (row,) = entry.endpoints
    return row.published.service


def receive_digest(receiver: Entry, sender: Entry) -> None:
    sent = decode(encode(sender._make_digest()))
    receiver._receive(sent, Arrival.prompt(clock.now()))


# The age of what other entries tell.


def test_a_response_that_waited_at_another_entry_is_as_old_as_its_call() -> None:
    now = clock.now()
    cut_off_entry = entry_with_list(now - 5.0)
    stopped = entry_with_list(now - 3.0, name="entry-2")
    # It stood still while its watch was answered without changes, and reads that now.
    stopped.feeds.endpoints.record_response(clock.now())
    receive_digest(cut_off_entry, stopped)
    confirmation = cut_off_entry._endpoints_confirmation()
    assert confirmation.at <= stopped.feeds.endpoints.complete_at + 0.1


def test_a_stream_is_not_taken_for_one_of_the_only_version_by_a_late_response() -> None:
    now = clock.now()
    cut_off_entry = entry_with_list(now - 5.0)
    stopped = entry_with_list(now - 3.0, name="entry-2")
    service = service_of(cut_off_entry)
    found = cut_off_entry.ctx.streams.find("r-1", service, ENTRIES_S)
    assert isinstance(found, UnknownVersion)
    stopped.feeds.endpoints.record_response(clock.now())
    receive_digest(cut_off_entry, stopped)
    found = cut_off_entry.ctx.streams.find("r-1", service, ENTRIES_S)
    assert isinstance(found, UnknownVersion), found


def test_a_digest_that_waited_in_a_socket_confirms_the_list_no_later_than_it_was_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = clock.now()
    entry = entry_with_list(start - 5.0)
    sender = digest(address(1), age_s=100.0)
    entry._receive(sender, Arrival.prompt(start))
    # Sent 0.2 s after the first one, and read after a pause of 3 s.
    late = digest(address(1), number=2, age_s=100.2)
    monkeypatch.setattr(clock, "now", lambda: start + 3.0)
    entry._receive(late, Arrival(start + 0.2, start + 0.2, start + 3.0))
    assert entry._endpoints_confirmation().at <= start + 0.5


def test_a_view_of_another_entry_confirms_the_list_no_later_than_that_entry() -> None:
    now = clock.now()
    cut_off_entry = entry_with_list(now - 5.0)
    other = entry_with_list(now - 3.0, endpoints_revision=2, name="entry-2")
    taken_at = clock.now()
    cut_off_entry.apply_view(other.view(), "entry-2")
    assert cut_off_entry.endpoints.software_versions.confirmed_at <= taken_at - 2.9


def test_a_stream_is_not_taken_for_one_of_the_only_version_by_an_old_view() -> None:
    now = clock.now()
    cut_off_entry = entry_with_list(now - 2.5)
    other = entry_with_list(now - 1.5, endpoints_revision=2, name="entry-2")
    service = service_of(cut_off_entry)
    found = cut_off_entry.ctx.streams.find("r-1", service, ENTRIES_S)
    assert isinstance(found, UnknownVersion)
    # Both are cut off, and neither has seen the version that appeared 1 s ago.
    cut_off_entry.apply_view(other.view(), "entry-2")
    found = cut_off_entry.ctx.streams.find("r-1", service, ENTRIES_S)
    assert isinstance(found, UnknownVersion), found


# Gaps between what this entry has seen and what another one has.


def started_at(now: float, version: str) -> SoftwareVersions:
    """Return what an entry knows that has just read its first list."""
    versions = SoftwareVersions()
    versions.record(SERVICE, version, now)
    versions.replace_list(now, MAX_GAP_S)
    return versions


@pytest.mark.parametrize("unseen_s", [MAX_GAP_S + 0.5, 5.0, 30.0])
def test_an_answer_does_not_fill_the_time_between_its_list_and_this_one(
    unseen_s: float,
) -> None:
    versions = started_at(100.0, "v1")
    # The other entry has stood still, or been cut off, and answers first of all.
    versions.merge_answer(
        {SERVICE: {"v1": unseen_s}}, 100.1, known_s=60, until=100.0 - unseen_s, by="e"
    )
    versions.confirm(101.0)
    # Another version may have come and gone in between.
    assert not versions.is_only_one(SERVICE, 85.0, 100.5, 101.0)


def test_a_list_that_was_read_anew_after_an_old_answer_leaves_a_gap() -> None:
    versions = SoftwareVersions()
    versions.coverage.extend(-math.inf, VersionSource.HISTORY)
    versions.record(SERVICE, "v1", 100.0)
    versions.confirm(100.0)
    versions.merge_answer({SERVICE: {"v1": 0.0}}, 130.0, known_s=60, until=100.0, by="e")
    versions.record(SERVICE, "v1", 131.0)
    versions.replace_list(131.0, MAX_GAP_S)
    assert not versions.is_only_one(SERVICE, 110.0, 130.5, 131.0)


def test_a_started_entry_does_not_conclude_by_the_answer_of_one_out_of_step() -> None:
    net = network(3, "v1", is_restarted=True)
    out_of_step = net.versions[address(1)]
    out_of_step.coverage.extend(-math.inf, VersionSource.MEMORY)
    out_of_step._shared_coverage.extend(net.now - 60.0, VersionSource.MEMORY)
    cut_off(net, 1)
    net.now += 30.0
    # The first entry is replaced; what was listed before is gone.
    versions = net.versions[address(0)] = started_at(net.now, "v1")
    net.nodes[address(0)]._versions = versions
    net.dead.add(address(2))
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


@pytest.mark.parametrize("pause_s", [ENTRIES_S + SERVE_ON_S + 5.0, 60.0])
def test_a_version_that_left_during_a_pause_served_until_the_entry_saw_it_go(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    start = clock.now()
    entry = entry_with_list(start)
    entry.apply_endpoint(published("e-2", "127.0.0.1:10", software_version="v2"))
    versions, now = entry.endpoints.software_versions, start + pause_s
    monkeypatch.setattr(clock, "now", lambda: now)
    # The entry stands still, and reads that the endpoint is gone before anything else.
    entry.remove_endpoint("e-2")
    entry.endpoints.refresh_software_versions(now)
    versions.confirm(now)
    since = now - ENTRIES_S
    assert not versions.is_only_one(service_of(entry), since, now, now)


@pytest.mark.parametrize("pause_s", [ENTRIES_S + SERVE_ON_S + 5.0, 60.0])
def test_a_version_that_was_replaced_in_place_during_a_pause_served_until_then(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    start = clock.now()
    entry = entry_with_list(start)
    versions, now = entry.endpoints.software_versions, start + pause_s
    monkeypatch.setattr(clock, "now", lambda: now)
    entry.apply_endpoint(published("e-1", "127.0.0.1:9", software_version="v2"))
    versions.confirm(now)
    assert not versions.is_only_one(service_of(entry), now - ENTRIES_S, now, now)


@pytest.mark.parametrize("late_s", [MAX_GAP_S + 1.0, 6.0])
def test_an_entry_out_of_step_may_begin_streams_at_a_version_that_has_left(
    late_s: float,
) -> None:
    net = network(2, "v2", "v1")
    net.dead.add(address(1))
    cut_off(net, 1)
    # The version is listed no more, but its endpoints serve on for some seconds.
    net.now += late_s
    begin(net, 1, "r-1", "v1")
    net.now += MAX_AGE_S - 0.5
    net.versions[address(0)].record(SERVICE, "v2", net.now)
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


# The answers of all entries.


def forget(net: Network, gone: int, *, leaving: bool = False) -> None:
    """Let all other entries forget an entry whose digests do not arrive any more."""
    net.dead.add(address(gone))
    tables = [node._peers for own, node in net.nodes.items() if own != address(gone)]
    if leaving:
        for table in tables:
            table.merge(digest(address(gone), number=2, leaving=True), net.now)
    net.now += FRESH_S + 0.1 if leaving else PEER_TIMEOUT_S + 0.1
    for table in tables:
        for other in range(len(net.nodes)):
            if other != gone:
                report = digest(address(other), number=3)
                table.merge(msgspec.structs.replace(report, tracks_streams=True), net.now)
        table.expire(net.now)


@pytest.mark.parametrize("leaving", [False, True])
def test_an_entry_that_the_others_have_forgotten_may_have_begun_a_stream(
    leaving: bool,
) -> None:
    net = network(3, "v1")
    for node in (0, 1):
        cut_off(net, node)
    forget(net, 2, leaving=leaving)
    net.list_versions("v1")
    # The platform still answers it, and callers still have connections to it.
    join(net, "v2")
    begin(net, 2, "r-1", "v2")
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_an_entry_that_started_since_and_that_no_other_has_met_may_have_begun_it() -> None:
    net = network(4, "v1")
    for node in range(3):
        cut_off(net, node)
        table = net.nodes[address(node)]._peers
        # The fourth one is started now, and cut off from the others.
        del table._rows[address(3)]
    net.dead.add(address(3))
    net.now += 1.0
    join(net, "v2")
    begin(net, 3, "r-1", "v2")
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)
