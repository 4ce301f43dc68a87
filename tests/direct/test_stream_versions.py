"""Which software version began a stream, as several entries know it."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import eventlet
import msgspec
import pytest
from eventlet.event import Event as Signal

from dockreach import clock
from dockreach.direct.datagrams import decode, encode
from dockreach.direct.digest import Address
from dockreach.direct.endpoints import RECORD_LAG_S, Published
from dockreach.direct.peers import PeerTable
from dockreach.direct.single_flight import SingleFlight
from dockreach.direct.software_versions import VERSION_MEMORY_S, SoftwareVersions
from dockreach.direct.stream_messages import (
    BegunStream,
    StreamQuestion,
    StreamReport,
    VersionSummary,
    stream_key,
)
from dockreach.direct.stream_versions import (
    ANSWER_TIMEOUT_S,
    ASK_AGAIN_S,
    HISTORY_TIMEOUT_S,
    HOLDERS,
    HOLDERS_ANSWER_S,
    MAX_STREAMS,
    REPORT_INTERVAL_S,
    KnownVersion,
    StreamOrigin,
    StreamVersions,
    UnknownVersion,
)
from dockreach.direct.version_coverage import (
    PLATFORM,
    Confirmation,
    ServedVersion,
    VersionSource,
)

from .core_builders import address, digest

SERVICE = "work"
MAX_AGE_S = 10.0
MAX_GAP_S = 2.0
LONGEST_S = HOLDERS_ANSWER_S + ASK_AGAIN_S + ANSWER_TIMEOUT_S + 0.1


@dataclass
class Network:
    """Entries that exchange messages about streams.

    Attributes:
        sent: Number of messages that were sent.
        loss: Fraction of the messages that are lost.
        dead: Entries that receive nothing.
        held: Messages about streams that each entry received on its own accord.
        is_listed: Whether the platform answers; if not, `listed_at` tells when it last did.
        unlisted: Entries that it does not answer, with the time when it last did.
    """

    nodes: dict[Address, StreamVersions] = field(default_factory=dict)
    versions: dict[Address, SoftwareVersions] = field(default_factory=dict)
    sent: int = 0
    loss: float = 0.0
    dead: set[Address] = field(default_factory=set)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    now: float = 1000.0
    is_listed: bool = True
    listed_at: float = -math.inf
    unlisted: dict[Address, float] = field(default_factory=dict)

    def confirmed_at(self, entry: Address) -> float:
        """Return when the platform last answered an entry."""
        if entry in self.unlisted:
            return self.unlisted[entry]
        return self.now if self.is_listed else self.listed_at

    def send(
        self, sender: Address, message: StreamReport | StreamQuestion, to: Address
    ) -> None:
        self.sent += 1
        is_lost = self.rng.random() < self.loss
        if not is_lost and to not in self.dead and sender not in self.dead:
            eventlet.spawn_n(self._deliver, encode(message), to)

    def _deliver(self, data: bytes, to: Address) -> None:
        message = decode(data)
        if isinstance(message, StreamReport):
            self.nodes[to].handle_report(message)
        elif isinstance(message, StreamQuestion):
            self.nodes[to].handle_question(message)

    def list_versions(self, *names: str | None) -> None:
        """List endpoints with some versions at all entries."""
        for versions in self.versions.values():
            for name in names:
                versions.record(SERVICE, name, self.now)


def network(
    entries: int,
    *versions: str | None,
    halls: int = 3,
    earlier: Iterable[int] = (),
    is_restarted: bool = False,
) -> Network:
    """Return a network.

    Args:
        entries: Number of entries.
        versions: Software versions that they list.
        halls: Number of data halls.
        earlier: Numbers of entries of an earlier version.
        is_restarted: Whether other versions may have served before they started.
    """
    net = Network()
    for number in range(entries):
        own = address(number)
        peers = PeerTable(own, ())
        for other in range(entries):
            report = digest(address(other), hall=f"hall{other % halls}")
            report = msgspec.structs.replace(report, tracks_streams=other not in earlier)
            peers.merge(report, net.now)
        net.versions[own] = SoftwareVersions()
        if not is_restarted:
            net.versions[own].coverage.extend(-math.inf, VersionSource.FIRST_START)
        net.nodes[own] = StreamVersions(
            net.versions[own],
            peers,
            f"hall{number % halls}",
            lambda message, to, own=own: net.send(own, message, to),  # type: ignore[misc]
            lambda: net.now,
            lambda own=own: Confirmation(net.confirmed_at(own), PLATFORM),  # type: ignore[misc]
            lambda: MAX_GAP_S,
        )
    net.list_versions(*versions)
    for node in net.nodes.values():
        node.replace_list()
    return net


def endpoint(version: str | None, name: str = "e-0") -> Published:
    return Published(name, SERVICE, "10.1.0.1:80", "hall0", 4, False, 0, 0, 0.0, version)


def begin(net: Network, node: int, rid: str, version: str | None) -> StreamOrigin:
    return net.nodes[address(node)].begin(
        rid, endpoint(version), sent_at=net.now, software_version=version
    )


def look_up(net: Network, node: int, rid: str) -> KnownVersion | UnknownVersion:
    return net.nodes[address(node)].find(rid, SERVICE, MAX_AGE_S)


def find(net: Network, node: int, rid: str) -> str | None | UnknownVersion:
    found = look_up(net, node, rid)
    return found.version if isinstance(found, KnownVersion) else found


def concluded(net: Network, node: int, rid: str) -> tuple[str | None, VersionSource]:
    """Return a version that was taken for the only one, and from what it is known."""
    found = look_up(net, node, rid)
    assert isinstance(found, KnownVersion)
    assert found.is_concluded
    return found.version, found.source


def test_a_stream_is_known_after_the_entry_that_began_it_was_killed() -> None:
    net = network(6, "v1", "v1.2")
    for number in range(20):
        begin(net, 0, f"r-{number}", "v1.2" if number % 2 else "v1")
    eventlet.sleep(0)
    net.dead.add(address(0))
    for number in range(20):
        expected = "v1.2" if number % 2 else "v1"
        assert find(net, 1 + number % 5, f"r-{number}") == expected


def test_nothing_is_told_while_one_version_serves_and_streams_go_on_anywhere() -> None:
    net = network(6, "v1")
    begin(net, 0, "r-1", "v1")
    net.nodes[address(0)].report_running()
    assert net.sent == 0
    # The list lags, so that the holders are asked whether they were told of a stream.
    assert find(net, 1, "r-2") == "v1"
    assert net.sent <= 2 * HOLDERS


def test_streams_that_began_before_the_second_version_appeared_are_reported() -> None:
    net = network(6, "v1")
    running = begin(net, 0, "r-1", "v1")
    ended = begin(net, 0, "r-2", "v1")
    net.nodes[address(0)].end(ended)
    net.list_versions("v1.2")
    net.nodes[address(0)].report_running()
    eventlet.sleep(0)
    # The entry that began them answers for those that it does not report.
    assert find(net, 2, "r-2") == "v1"
    net.dead.add(address(0))
    assert find(net, 1, "r-1") == "v1"
    net.nodes[address(0)].end(running)


def test_the_entry_that_began_a_stream_is_found_though_all_reports_were_lost() -> None:
    net = network(8, "v1", "v1.2")
    net.loss = 1.0
    begin(net, 0, "r-1", "v1.2")
    net.loss = 0.0
    assert find(net, 5, "r-1") == "v1.2"


def test_few_streams_are_unknown_where_a_tenth_of_the_datagrams_is_lost() -> None:
    net = network(8, "v1", "v1.2")
    net.loss = 0.1
    for number in range(60):
        begin(net, 0, f"r-{number}", "v1.2")
    eventlet.sleep(0)
    net.dead.add(address(0))
    found = [find(net, 1 + number % 7, f"r-{number}") for number in range(60)]
    assert found.count("v1.2") >= 57
    assert "v1" not in found
    assert None not in found


def test_a_stream_that_no_entry_knows_is_refused_soon() -> None:
    net = network(6, "v1", "v1.2")
    started = clock.now()
    found = find(net, 1, "r-1")
    assert isinstance(found, UnknownVersion)
    assert not found
    assert clock.now() - started < LONGEST_S


@pytest.mark.parametrize("entries", [1, 6])
def test_an_entry_that_is_cut_off_does_not_guess(entries: int) -> None:
    net = network(entries, "v1", "v1.2")
    begin(net, 0, "r-1", "v1.2")
    net.dead.update(address(number) for number in range(1, entries))
    started = clock.now()
    assert isinstance(find(net, 0, "r-9"), UnknownVersion)
    assert clock.now() - started < LONGEST_S
    assert find(net, 0, "r-1") == "v1.2"


def test_a_caller_that_does_not_name_the_first_attempt_gets_no_guess() -> None:
    net = network(3, "v1", "v1.2")
    begin(net, 0, "", "v1")
    assert isinstance(find(net, 0, ""), UnknownVersion)


def test_a_stream_keeps_its_version_through_many_take_ups_and_killed_entries() -> None:
    net = network(8, "v1", "v1.2", "v2")
    begin(net, 0, "r-1", "v1.2")
    eventlet.sleep(0)
    for number in range(1, 5):
        net.dead.add(address(number - 1))
        found = find(net, number, "r-1")
        assert found == "v1.2"
        begin(net, number, "r-1", "v1.2")
        eventlet.sleep(0)


def test_a_restart_in_place_at_another_version_leaves_the_latest_streams_unknown() -> None:
    net = network(4, "v1", "v1.2")
    old = begin(net, 0, "r-1", "v1")
    net.now += RECORD_LAG_S + 1
    lagging = begin(net, 0, "r-2", "v1")
    eventlet.sleep(0)
    net.nodes[address(0)].handle_version_change("e-0")
    eventlet.sleep(0)
    assert (old.software_version, lagging.software_version) == ("v1", None)
    assert find(net, 1, "r-1") == "v1"
    assert isinstance(find(net, 1, "r-2"), UnknownVersion)


def test_reports_that_disagree_leave_a_stream_unknown() -> None:
    net = network(3, "v1", "v1.2")
    node = net.nodes[address(0)]
    key = stream_key("r-1")
    for version in ("v1", "v1.2", "v1"):
        node.handle_report(StreamReport(address(1), [BegunStream(key, version)]))
    assert isinstance(find(net, 0, "r-1"), UnknownVersion)


def test_a_stream_of_an_endpoint_without_a_known_version_is_unknown() -> None:
    net = network(3, None, "v1")
    begin(net, 0, "r-1", None)
    assert isinstance(find(net, 0, "r-1"), UnknownVersion)
    assert find(network(3, None), 0, "r-1") is None


def test_an_empty_version_is_a_version() -> None:
    net = network(3, "", "v1")
    begin(net, 0, "r-1", "")
    assert find(net, 1, "r-1") == ""


def test_entries_of_an_earlier_version_are_sent_nothing() -> None:
    net = network(4, "v1", "v1.2", earlier=(1, 2, 3))
    begin(net, 0, "r-1", "v1")
    assert isinstance(find(net, 0, "r-2"), UnknownVersion)
    assert net.sent == 0


def test_a_stream_is_reported_to_few_entries_of_different_halls() -> None:
    net = network(60, "v1", "v1.2")
    for number in range(30):
        begin(net, 0, f"r-{number}", "v1")
    assert net.sent <= 30 * HOLDERS
    eventlet.sleep(0)
    holders = [len(net.nodes[address(number)]) for number in range(1, 60)]
    assert max(holders) <= 8
    by_hall = [sum(holders[(hall - 1) % 3 :: 3]) for hall in range(3)]
    assert min(by_hall) >= 20


def test_many_streams_are_bounded_in_memory() -> None:
    net = network(1, "v1", "v1.2")
    for number in range(MAX_STREAMS + 50):
        origin = begin(net, 0, f"r-{number}", "v1")
        net.nodes[address(0)].end(origin)
    assert len(net.nodes[address(0)]) == MAX_STREAMS


def test_a_started_entry_does_not_take_one_listed_version_for_the_only_one() -> None:
    net = network(1, "v2", is_restarted=True)
    for rid in ("r-1", ""):
        assert isinstance(look_up(net, 0, rid), UnknownVersion)


def test_streams_are_refused_as_unknown_for_no_longer_than_they_last() -> None:
    net = network(1, "v1", is_restarted=True)
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)
    net.now += MAX_AGE_S + MAX_GAP_S
    net.list_versions("v1")
    assert concluded(net, 0, "r-2") == ("v1", VersionSource.MEMORY)


@pytest.mark.parametrize("unseen_s", [MAX_GAP_S + 0.1, 20.0])
def test_a_list_that_was_not_confirmed_for_a_while_proves_no_only_version(
    unseen_s: float,
) -> None:
    net = network(1, "v1")
    assert find(net, 0, "r-1") == "v1"
    net.is_listed, net.listed_at = False, net.now
    net.now += unseen_s
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)
    # What was listed in between and is gone again is not known later, either.
    net.nodes[address(0)].replace_list()
    assert isinstance(look_up(net, 0, "r-2"), UnknownVersion)


def test_an_outage_after_which_all_changes_are_read_hides_no_version() -> None:
    net = network(1, "v1")
    net.is_listed, net.listed_at = False, net.now
    net.now += 20.0
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)
    net.is_listed = True
    net.list_versions("v1")
    assert find(net, 0, "r-2") == "v1"


def test_an_entry_that_was_running_tells_which_versions_served() -> None:
    net = network(2, "v1", is_restarted=True)
    versions = net.versions[address(0)]
    ages = {SERVICE: {"v1": 0.0}}
    versions.merge(ages, net.now, known_s=int(MAX_AGE_S + MAX_GAP_S))
    assert concluded(net, 0, "r-1") == ("v1", VersionSource.ENTRY)
    versions.merge({SERVICE: {"v0": 3.0}}, net.now)
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_the_history_of_the_store_tells_which_versions_served() -> None:
    net = network(1, "v2", is_restarted=True)
    net.versions[address(0)].add_history([ServedVersion(SERVICE, "v2")], net.now)
    assert concluded(net, 0, "r-1") == ("v2", VersionSource.HISTORY)
    net.versions[address(0)].add_history([ServedVersion(SERVICE, "v1")], net.now)
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_a_take_up_waits_for_the_history_of_the_store_but_not_for_long() -> None:
    net = network(1, "v2", is_restarted=True)
    node = net.nodes[address(0)]
    node.history = Signal()
    started = clock.now()
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)
    assert clock.now() - started < LONGEST_S + HISTORY_TIMEOUT_S

    def read_history() -> None:
        net.versions[address(0)].add_history([ServedVersion(SERVICE, "v2")], net.now)
        node.finish_history()

    eventlet.spawn_after(0.02, read_history)
    assert find(net, 0, "r-1") == "v2"


def test_a_version_concluded_from_the_list_is_no_evidence_at_other_entries() -> None:
    net = network(4, "v2")
    origin = net.nodes[address(0)].begin(
        "r-1", endpoint("v2"), sent_at=net.now, software_version="v2", is_concluded=True
    )
    net.list_versions("v1")
    net.nodes[address(0)].report_running()
    eventlet.sleep(0)
    assert isinstance(look_up(net, 1, "r-1"), UnknownVersion)
    net.nodes[address(0)].end(origin)
    key = stream_key("r-1")
    report = StreamReport(address(2), [BegunStream(key, "v1")])
    net.nodes[address(0)].handle_report(report)
    assert look_up(net, 0, "r-1") == KnownVersion("v1", VersionSource.ENTRY)


def test_it_is_told_from_what_the_version_of_a_stream_is_known() -> None:
    net = network(3, "v1", "v2")
    begin(net, 0, "r-1", "v1")
    assert look_up(net, 0, "r-1").source is VersionSource.MEMORY
    assert look_up(net, 1, "r-1").source is VersionSource.ENTRY
    assert look_up(net, 1, "r-2").source is VersionSource.NOTHING


def test_a_version_that_a_holder_was_told_outweighs_the_only_one_that_it_lists() -> None:
    # The entry that began the stream lists the new version already, and is killed before
    # its next digest. Its report to the holders has arrived.
    net = network(3, "v1")
    report = StreamReport(address(1), [BegunStream(stream_key("r-1"), "v1.2")])
    net.nodes[address(0)].handle_report(report)
    assert find(net, 0, "r-1") == "v1.2"


def test_an_entry_that_began_a_stream_still_tells_others_after_it_was_taken_up() -> None:
    net = network(4, "v1")
    node = net.nodes[address(0)]
    node.end(begin(net, 0, "r-1", "v1"))
    # Its caller takes it up at the same entry: one version served, so that none is needed.
    taken_up = node.begin(
        "r-1", endpoint("v1"), sent_at=net.now, software_version="v1", is_concluded=True
    )
    net.list_versions("v1", "v1.2")
    node.report_running()
    eventlet.sleep(0)
    node.end(taken_up)
    assert find(net, 1, "r-1") == "v1"


def test_a_stream_that_began_while_versions_were_unknown_survives_its_entry() -> None:
    net = network(6, "v1", is_restarted=True)
    begin(net, 0, "r-1", "v1")
    net.nodes[address(0)].report_running()
    eventlet.sleep(0)
    net.dead.add(address(0))
    assert find(net, 1, "r-1") == "v1"


def test_a_version_that_left_before_its_streams_ended_is_not_forgotten() -> None:
    max_age_s = 2 * VERSION_MEMORY_S
    net = network(1, "v1", "v2")
    node = net.nodes[address(0)]
    begin(net, 0, "r-1", "v1")
    for _ in range(int(VERSION_MEMORY_S) + 2):
        net.now += 1.0
        net.list_versions("v2")
        node.confirm_list()
    assert isinstance(node.find_only_version(SERVICE, max_age_s), UnknownVersion)
    found = node.find("r-1", SERVICE, max_age_s)
    assert isinstance(found, KnownVersion)
    assert found.version == "v1"


def test_a_stream_does_not_go_on_at_the_version_of_another_service() -> None:
    # The take-up has another id, so that a split route may choose another service for it.
    net = network(1, "v1")
    net.versions[address(0)].record("other", "v2", net.now)
    begin(net, 0, "r-1", "v1")
    found = net.nodes[address(0)].find("r-1", "other", MAX_AGE_S)
    assert isinstance(found, UnknownVersion) or found.version == "v1"


def test_versions_of_long_ago_in_the_history_refuse_streams_no_longer_than_they_last() -> (
    None
):
    net = network(1, "v2", is_restarted=True)
    served = [ServedVersion(SERVICE, version) for version in ("v1", "v2")]
    net.versions[address(0)].add_history(served, net.now)
    for _ in range(int(MAX_AGE_S + MAX_GAP_S) + 1):
        net.now += 1.0
        net.list_versions("v2")
        net.nodes[address(0)].confirm_list()
    assert find(net, 0, "r-1") == "v2"


def test_a_started_entry_does_not_make_others_doubt_what_they_have_seen() -> None:
    net = network(2, "v2")
    started = net.versions[address(1)]
    for _ in range(int(VERSION_MEMORY_S) + 1):
        net.now += 1.0
        net.list_versions("v2")
        net.nodes[address(0)].confirm_list()
    served = [ServedVersion(SERVICE, version) for version in ("v1", "v2")]
    started.add_history(served, net.now)
    net.versions[address(0)].merge(started.report(net.now), net.now)
    assert find(net, 0, "r-1") == "v2"


def test_a_stream_that_was_refused_as_unknown_is_not_sent_anywhere_later() -> None:
    # Its caller comes back as told, until the time of the route has passed. The stream
    # began before the entry was started all the same.
    net = network(1, "v2", is_restarted=True)
    node = net.nodes[address(0)]
    for _ in range(2 * int(MAX_AGE_S + MAX_GAP_S)):
        assert isinstance(look_up(net, 0, "r-before"), UnknownVersion)
        net.now += 1.0
        node.confirm_list()
    net.list_versions("v2")
    assert find(net, 0, "r-after") == "v2"


def test_what_others_know_of_a_stream_outlasts_what_was_concluded_of_it() -> None:
    net = network(3, "v2")
    node = net.nodes[address(0)]
    node.begin(
        "r-1", endpoint("v2"), sent_at=net.now, software_version="v2", is_concluded=True
    )
    net.list_versions("v1")
    node.handle_report(StreamReport(address(1), [BegunStream(stream_key("r-1"), "v1")]))
    assert find(net, 0, "r-1") == "v1"
    # The stream that was taken up still runs here.
    net.now += REPORT_INTERVAL_S
    node.report_running()
    assert find(net, 0, "r-1") == "v1"


def cut_off(net: Network, node: int) -> SoftwareVersions:
    """Cut an entry off the platform; return what it knows of versions."""
    net.unlisted[address(node)] = net.now
    return net.versions[address(node)]


def join(net: Network, version: str) -> None:
    """List another version at all entries that the platform answers."""
    for own, versions in net.versions.items():
        if own not in net.unlisted:
            versions.record(SERVICE, version, net.now)


def test_a_version_that_appears_while_an_entry_is_cut_off_is_not_excluded() -> None:
    net = network(3, "v1")
    cut_off(net, 0)
    net.dead.add(address(0))
    net.now += 0.1
    join(net, "v2")
    begin(net, 1, "r-1", "v2")
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_another_entry_that_is_in_step_confirms_that_one_version_served() -> None:
    net = network(3, "v1")
    for _ in range(int(VERSION_MEMORY_S)):
        net.now += 1.0
        net.list_versions("v1")
        for node in net.nodes.values():
            node.confirm_list()
    cut_off(net, 0)
    net.dead.add(address(2))
    net.now += 3 * MAX_GAP_S
    found = look_up(net, 0, "r-1")
    assert isinstance(found, KnownVersion)
    assert (found.version, found.is_concluded) == ("v1", True)
    assert found.evidence is not None
    assert found.evidence.by == "10.0.0.3:7000"


def test_another_entry_that_lists_a_second_version_confirms_nothing() -> None:
    net = network(3, "v1")
    cut_off(net, 0)
    net.now += 0.1
    join(net, "v2")
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_entries_that_do_not_know_a_stream_are_no_evidence_for_one_version() -> None:
    net = network(3, "v1")
    for node in range(3):
        cut_off(net, node)
    net.now += 0.1
    assert isinstance(look_up(net, 0, "r-1"), UnknownVersion)


def test_a_known_stream_goes_on_without_the_platform() -> None:
    net = network(3, "v1")
    for node in range(3):
        cut_off(net, node)
    begin(net, 1, "r-1", "v1")
    net.now += 0.1
    assert look_up(net, 0, "r-1") == KnownVersion("v1", VersionSource.ENTRY)


def test_an_entry_in_step_reads_the_list_for_one_that_is_cut_off() -> None:
    net = network(3, "v1")
    for own in net.nodes:
        cut_off(net, list(net.nodes).index(own))
        net.versions[own]._shared_coverage.extend(0.0, VersionSource.MEMORY)
    net.now += 0.1
    calls: list[float] = []

    def read() -> None:
        calls.append(net.now)
        net.versions[address(1)].confirm(net.now)

    net.nodes[address(1)].list_read = SingleFlight(read, lambda: net.now)
    found = look_up(net, 0, "r-1")
    assert isinstance(found, KnownVersion)
    assert found.evidence is not None
    assert found.evidence.by == "10.0.0.3:7000"
    assert len(calls) == 1


def test_a_late_answer_to_an_earlier_question_is_no_evidence() -> None:
    net = network(2, "v1")
    node = net.nodes[address(0)]
    cut_off(net, 0)
    cut_off(net, 1)
    net.dead.add(address(1))
    net.now += 1.0
    asked = eventlet.spawn(look_up, net, 0, "r-1")
    eventlet.sleep(0.01)
    summary = VersionSummary({SERVICE: {"v1": 0.0}}, 60, 0.0)
    key = stream_key("r-1")
    node.handle_report(StreamReport(address(1), [], [key], 2**20, summary))
    assert isinstance(asked.wait(), UnknownVersion)
