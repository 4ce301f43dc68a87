"""Knows which software version began each resumable stream, here and at other entries.

A caller takes a broken stream up at any entry, and the one that began it may have crashed.
While endpoints of several versions serve, each entry tells a few others of every stream
before it passes on its first event: rendezvous hashing of the stream's key selects these
holders, which the entry that the caller turns to asks first. While one version serves, and
the entry knows that no other one served lately, it tells nothing.

An entry may be cut off or stand still while a version appears. It takes one version for the
only one that can have begun a stream only if evidence from after the take-up says so: the
platform, or an entry that has read the list since. That no entry knows the stream is no
evidence, as the one that began it may not be among those that answer.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import eventlet
from cachetools import TTLCache
from eventlet.event import Event as Waiter

from ..rendezvous import ranked
from .digest import Address
from .endpoints import RECORD_LAG_S, Published
from .peers import PeerTable
from .single_flight import SingleFlight
from .software_versions import SoftwareVersions
from .stream_messages import (
    BegunStream,
    StreamQuestion,
    StreamReport,
    VersionSummary,
    stream_key,
)
from .version_coverage import Confirmation, VersionEvidence, VersionSource

HOLDERS = 3
"""Entries that are told of a stream, besides the one that began it."""

STREAM_MEMORY_S = 120.0
"""How long a stream is remembered after it began or was last reported, in seconds."""

MAX_STREAMS = 4096
"""Maximum number of streams that are remembered, some 1.5 MB."""

MAX_STREAMS_PER_REPORT = 512
"""Maximum number of streams in one datagram, some 20 bytes each."""

REPORT_INTERVAL_S = 5.0
"""Interval at which running streams are reported again, in seconds: holders restart, and
datagrams are lost."""

MIN_STREAM_AGE_S = 20.0
"""How old a stream may be at least, in seconds, whatever the timeout of its route: that may
have been longer in an earlier configuration."""

HOLDERS_ANSWER_S = 0.04
"""Time after which all entries are asked and not only the holders, in seconds: ten round
trips between data halls."""

ASK_AGAIN_S = 0.1
"""Time after which the entries that have not answered are asked again, in seconds."""

ANSWER_TIMEOUT_S = 0.15
"""Time after the last question until the version counts as unknown, in seconds."""

LIST_TIMEOUT_S = 0.25
"""How long a stream waits for the platform's list before all other entries are asked too,
in seconds: the platform takes as long on slow days."""

HISTORY_TIMEOUT_S = 0.25
"""How long a stream waits for the store's history of endpoints, in seconds: some dozens of
its usual response times."""


class KnownVersion(NamedTuple):
    """The software version at which a stream has to go on.

    Attributes:
        version: The version; ``None`` for any, as the only one that served since it can
            have begun has no name.
        source: From what that is known.
        evidence: By what that version was taken for the only one; ``None`` if it was known
            already.
        is_concluded: Whether it follows from what served, and is not known of the stream
            itself.
    """

    version: str | None
    source: VersionSource
    evidence: VersionEvidence | None = None
    is_concluded: bool = False


class UnknownVersion(NamedTuple):
    """Stands for the software version of a stream that no entry knows; falsy.

    Attributes:
        reason: Why it is not known, in one sentence.
    """

    reason: str

    @property
    def source(self) -> VersionSource:
        """From what it is known."""
        return VersionSource.NOTHING

    def __bool__(self) -> bool:
        """Return ``False``, so that it is never mistaken for a version."""
        return False


@dataclass(slots=True)
class StreamOrigin:
    """How a stream began.

    Attributes:
        key: Its key.
        service: Service of its endpoint; empty if another entry reported it.
        software_version: Version of the endpoint that began it; ``None`` if that cannot be
            told.
        endpoint: Id of the endpoint that sent its first event here; empty if another entry
            reported it.
        sent_at: Monotonic time at which the request was sent to that endpoint, in seconds.
        is_concluded: Whether it was taken up here, and its version was concluded from the
            list of endpoints. Other entries are not told of it.
    """

    key: bytes
    service: str = ""
    software_version: str | None = None
    endpoint: str = ""
    sent_at: float = -math.inf
    is_concluded: bool = False

    @property
    def source(self) -> VersionSource:
        """From what its version is known."""
        return VersionSource.MEMORY if self.endpoint else VersionSource.ENTRY


@dataclass(slots=True)
class _Question:
    """A question to other entries that is not answered yet.

    Attributes:
        number: Its number, which answers repeat.
        sent_at: Monotonic time before it was sent first, in seconds.
        asked: Entries that were asked.
        unaware: Entries that do not know the stream.
        waiter: Set once the answer of a round is known, or all have answered that they do
            not know.
        rounds: Whom it asks one after another.
        is_over: Whether all rounds were asked, or its answer is known.
        ended: Set after the question was taken out of the table.
    """

    number: int
    sent_at: float
    asked: set[Address] = field(default_factory=set)
    unaware: set[Address] = field(default_factory=set)
    waiter: Any = field(default_factory=Waiter)
    rounds: tuple[_Round, ...] = ()
    is_over: bool = False
    ended: Any = field(default_factory=Waiter)

    def finish(self) -> None:
        """Wake the one that asks."""
        if not self.waiter.ready():
            self.waiter.send(None)

    def serves(self, rounds: tuple[_Round, ...], asked_from: float) -> bool:
        """Return whether its outcome serves another take-up of the same stream.

        Args:
            rounds: Whom the other one would ask.
            asked_from: Monotonic time from which on its question may be sent, in seconds.
        """
        is_current = self.is_over and self.sent_at >= asked_from
        return is_current and _targets(rounds) <= _targets(self.rounds)


class _Round(NamedTuple):
    """Entries that are asked for a stream at once.

    Attributes:
        targets: The entries.
        timeout_s: How long to wait for their answers, in seconds.
        reads_list: Whether its holders are to read the platform's list before they answer.
    """

    targets: Collection[Address]
    timeout_s: float
    reads_list: bool = False


def _targets(rounds: Iterable[_Round]) -> set[tuple[Address, bool]]:
    """Return whom some rounds ask, each with whether it is to read the list."""
    return {(address, part.reads_list) for part in rounds for address in part.targets}


class _TakenUp(NamedTuple):
    """A stream that goes on.

    Attributes:
        key: Its key; empty if its caller did not name it.
        service: Its service.
        max_age_s: How long ago it may have begun, in seconds.
        seen_at: Monotonic time at which its caller took it up first, in seconds.
    """

    key: bytes
    service: str
    max_age_s: float
    seen_at: float

    def begun_after(self, max_gap_s: float) -> float:
        """Return since when the versions count that may have begun it.

        Args:
            max_gap_s: For how long an entry may not know that a version has left.
        """
        return self.seen_at - self.max_age_s - max_gap_s


class StreamVersions:
    """Remembers at which software version streams began, and asks other entries.

    Args:
        versions: The software versions of each service's endpoints.
        peers: The other entries.
        hall: The data hall of this entry.
        send: Sends a message to another entry; it may be lost.
        clock: Returns the monotonic time, in seconds.
        list_confirmation: Returns up to when all changes of the list of endpoints were
            seen, and by whom.
        max_gap_s: Returns in which time a version that is listed is known to every entry,
            and none that is listed can have left unnoticed, in seconds.

    Attributes:
        list_read: Confirms the list by a call to the platform; ``None`` if there is none.
        history: Set once the store's history of endpoints was read, or will not be;
            ``None`` if nobody reads it.
    """

    def __init__(
        self,
        versions: SoftwareVersions,
        peers: PeerTable,
        hall: str,
        send: Callable[[StreamReport | StreamQuestion, Address], None],
        clock: Callable[[], float],
        list_confirmation: Callable[[], Confirmation],
        max_gap_s: Callable[[], float],
    ) -> None:
        self.list_read: SingleFlight | None = None
        self.history: Any = None
        self._numbers = itertools.count(1)
        self._list_confirmation = list_confirmation
        self._max_gap_s = max_gap_s
        self._versions = versions
        self._peers = peers
        self._hall = hall
        self._send = send
        self._clock = clock
        self._running: dict[bytes, StreamOrigin] = {}
        self._known: TTLCache[bytes, StreamOrigin] = TTLCache(
            MAX_STREAMS, ttl=STREAM_MEMORY_S, timer=clock
        )
        self._refused: TTLCache[bytes, float] = TTLCache(
            MAX_STREAMS, ttl=STREAM_MEMORY_S, timer=clock
        )
        self._questions: dict[bytes, _Question] = {}
        self._reported_services: set[str] = set()
        self._reported_at = -math.inf

    def __len__(self) -> int:
        return len(self._known)

    def begin(
        self,
        stream_rid: str,
        published: Published,
        *,
        sent_at: float,
        software_version: str | None,
        is_concluded: bool = False,
    ) -> StreamOrigin:
        """Record a stream whose first event is about to be passed on, and report it.

        Args:
            stream_rid: Id of the attempt that brought its first event.
            published: Record of the endpoint that sent the event.
            sent_at: Monotonic time at which the request was sent there, in seconds.
            software_version: The version that began it.
            is_concluded: Whether it was taken up, and only one version served.
        """
        origin = StreamOrigin(
            stream_key(stream_rid),
            published.service,
            software_version,
            published.id,
            sent_at,
            is_concluded,
        )
        self._running[origin.key] = origin
        if not is_concluded or self._certain(origin.key) is None:
            self._known[origin.key] = origin
        if self._may_be_mixed(published.service):
            self._report([origin])
        return origin

    def _may_be_mixed(self, service: str) -> bool:
        """Return whether other entries may not know which version began a stream."""
        now = self._clock()
        return self._versions.has_several(
            service, now
        ) or not self._versions.coverage.covers(now - MIN_STREAM_AGE_S)

    def end(self, origin: StreamOrigin) -> None:
        """Record that a stream does not run here any more."""
        if self._running.get(origin.key) is origin:
            del self._running[origin.key]

    def replace_list(self, complete_at: float | None = None) -> None:
        """Note that the list of endpoints was read anew.

        Args:
            complete_at: Monotonic time up to which it holds all changes, in seconds; now if
                omitted.
        """
        self.confirm_list()
        self._versions.replace_list(
            self._clock(), self._max_gap_s(), complete_at=complete_at
        )

    def confirm_list(self) -> None:
        """Note up to when all changes of the list of endpoints were seen."""
        self._versions.confirm(*self._list_confirmation())

    def versions_known_s(self) -> int:
        """Return for how long all software versions have been known, in whole seconds."""
        self.confirm_list()
        return self._versions.known_s(self._clock(), self._max_gap_s())

    def finish_history(self) -> None:
        """Wake the streams that wait for the store's history of endpoints."""
        if self.history is not None and not self.history.ready():
            self.history.send(None)

    def serves_several(self, service: str, max_age_s: float) -> bool:
        """Return whether several versions are known to have served since a stream began.

        Args:
            service: The stream's service.
            max_age_s: How long the stream may have run, in seconds.
        """
        since = self._clock() - max_age_s - self._max_gap_s()
        return len(self._versions.served(service, since)) > 1

    def find(
        self, stream_rid: str, service: str, max_age_s: float
    ) -> KnownVersion | UnknownVersion:
        """Return the software version at which a stream has to go on.

        What is known of the stream itself outweighs what follows from the list: its holders
        are asked even if one version is listed.

        Args:
            stream_rid: Id of the attempt that brought its first event; empty if the caller
                did not name it.
            service: The stream's service.
            max_age_s: How long ago it may have begun, in seconds.
        """
        key = stream_key(stream_rid) if stream_rid else b""
        now = self._clock()
        stream = _TakenUp(key, service, max_age_s, self._refused.get(key, now))
        if key and self._certain(key) is None:
            self._ask(key, _Round(self._holders(key), HOLDERS_ANSWER_S))
        if (known := self._known_version(key)) is not None:
            return known
        self._await_history()
        concluded = self._conclude(stream)
        if (known := self._known_version(key)) is not None:
            return known
        if concluded is not None:
            return concluded
        origin = self._known.get(key) if key else None
        if origin is not None and origin.software_version is not None:
            return KnownVersion(
                origin.software_version, origin.source, is_concluded=origin.is_concluded
            )
        if key:
            self._refused[key] = stream.seen_at
        return _unknown(stream_rid, origin)

    def find_only_version(
        self, service: str, max_age_s: float
    ) -> KnownVersion | UnknownVersion:
        """Return the only version that served since a stream of this entry began.

        Args:
            service: The stream's service.
            max_age_s: How long ago it may have begun, in seconds.
        """
        stream = _TakenUp(b"", service, max_age_s, self._clock())
        return self._conclude(stream) or UnknownVersion("its endpoint has restarted")

    def _known_version(self, key: bytes) -> KnownVersion | None:
        """Return the version that is known of a stream itself; ``None`` if it is not."""
        origin = self._certain(key) if key else None
        if origin is None or origin.software_version is None:
            return None
        return KnownVersion(origin.software_version, origin.source)

    def _conclude(self, stream: _TakenUp) -> KnownVersion | None:
        """Return the only version that can have begun a stream; ``None`` if not certain.

        Other entries are asked as long as that is not certain, and may know the stream.
        """
        if not self.serves_several(stream.service, stream.max_age_s):
            concluded = self._only_version(stream)
            if concluded is None and self.list_read is not None:
                self.list_read.wait(stream.seen_at, LIST_TIMEOUT_S)
                concluded = self._only_version(stream)
            if concluded is not None:
                return concluded
        if not stream.key:
            return None
        # The list may have shown a second version.
        reads_list = not self.serves_several(stream.service, stream.max_age_s)
        # An entry that has stood still has heard of none of them lately.
        everyone = [
            row.digest.address for row in self._peers.rows if row.digest.tracks_streams
        ]
        self._ask(
            stream.key,
            _Round(everyone, ASK_AGAIN_S, reads_list),
            _Round(everyone, ANSWER_TIMEOUT_S, reads_list),
        )
        return self._only_version(stream)

    def _only_version(self, stream: _TakenUp) -> KnownVersion | None:
        """Return the only version since a stream began, if the list was confirmed since."""
        self.confirm_list()
        now = self._clock()
        since = stream.begun_after(self._max_gap_s())
        if not self._versions.is_only_one(stream.service, since, stream.seen_at, now):
            return None
        (version,) = self._versions.served(stream.service, since)
        confirmed_at, by = self._versions.confirmation
        evidence = VersionEvidence(now - confirmed_at, by)
        source = self._versions.coverage.source
        return KnownVersion(version, source, evidence, is_concluded=True)

    def _await_history(self) -> None:
        """Wait until the store's history of endpoints was read, or will not be."""
        if self.history is not None and not self.history.ready():
            with eventlet.Timeout(HISTORY_TIMEOUT_S, False):
                self.history.wait()

    def _ask(self, key: bytes, *rounds: _Round) -> None:
        """Ask other entries for a stream, and wait until one knows it or none does.

        Args:
            key: The stream's key.
            *rounds: Whom to ask one after another.
        """
        asked_from = self._clock()
        while (pending := self._questions.get(key)) is not None:
            # The answer may have come while its owner has not run since: only the owner
            # takes the question out, so that waiting for the answer would never pause.
            pending.ended.wait()
            if pending.serves(rounds, asked_from):
                return
        question = _Question(next(self._numbers), self._clock(), rounds=rounds)
        self._questions[key] = question
        try:
            for part in rounds:
                if self._certain(key) is not None:
                    break
                self._ask_once(key, question, part)
            question.is_over = True
        finally:
            del self._questions[key]
            question.ended.send(None)

    def _ask_once(self, key: bytes, question: _Question, part: _Round) -> None:
        """Ask the entries of a round that have not answered yet, and wait."""
        question.asked = set(part.targets) - question.unaware
        if not question.asked:
            return
        question.waiter = Waiter()
        readers = self._holders(key) if part.reads_list else []
        for address in question.asked:
            message = StreamQuestion(
                self._peers.own_address, [key], question.number, address in readers
            )
            self._send(message, address)
        with eventlet.Timeout(part.timeout_s, False):
            question.waiter.wait()

    def handle_question(self, question: StreamQuestion) -> None:
        """Answer another entry's question, after reading the list if that was asked for."""
        if question.reads_list and self.list_read is not None:
            eventlet.spawn_n(self._answer_after_read, question, self.list_read)
        else:
            self._answer(question)

    def _answer_after_read(self, question: StreamQuestion, list_read: SingleFlight) -> None:
        list_read.wait(self._clock(), ASK_AGAIN_S / 2)
        self._answer(question)

    def _answer(self, question: StreamQuestion) -> None:
        known = {key: self._certain(key) for key in question.keys}
        streams = [_begun(origin) for origin in known.values() if origin is not None]
        unknown = [key for key, origin in known.items() if origin is None]
        report = StreamReport(self._peers.own_address, streams, unknown)
        if question.number:
            report.number = question.number
            report.versions = self._summary()
        self._send(report, question.address)

    def _summary(self) -> VersionSummary | None:
        """Return all software versions that are known; ``None`` if they cannot be told."""
        self.confirm_list()
        now = self._clock()
        if not self._versions.can_tell_all(now):
            return None
        return VersionSummary(
            self._versions.report(now, with_single=True),
            self._versions.complete_s(now),
            now - self._versions.confirmed_at,
        )

    def _certain(self, key: bytes) -> StreamOrigin | None:
        """Return what other entries may be told of a stream; ``None`` for nothing."""
        origin = self._known.get(key)
        return None if origin is None or origin.is_concluded else origin

    def handle_report(self, report: StreamReport) -> None:
        """Take over what another entry knows of some streams."""
        for stream in report.streams:
            self._take_over(stream)
            question = self._questions.get(stream.key)
            if question is not None:
                question.finish()
        for key in report.unknown:
            question = self._questions.get(key)
            if question is not None:
                self._merge_answer(report, question)
                question.unaware.add(report.address)
                if question.asked <= question.unaware:
                    question.finish()

    def _merge_answer(self, report: StreamReport, question: _Question) -> None:
        """Take over the software versions that an entry tells in its answer."""
        summary = report.versions
        if summary is None or report.number != question.number:
            return
        self._versions.merge_answer(
            summary.ages,
            self._clock(),
            known_s=summary.known_s,
            # It was answered after it was sent, and may have been on the way since.
            until=question.sent_at - summary.confirmed_age_s,
            by=f"{report.address.ip}:{report.address.port}",
        )

    def _take_over(self, stream: BegunStream) -> None:
        known = self._certain(stream.key)
        if known is None:
            known = StreamOrigin(stream.key, software_version=stream.software_version)
        elif known.software_version != stream.software_version:
            # Two reports that disagree leave nothing certain.
            known.software_version = None
        self._known[stream.key] = known

    def handle_version_change(self, endpoint: str) -> None:
        """Handle that an endpoint's record names another software version than before.

        The record may lag behind the endpoint's restart, so that it can't be told which
        version began the streams that were sent there shortly before.
        """
        since = self._clock() - RECORD_LAG_S
        uncertain = [
            origin
            for origin in list(self._known.values())
            if origin.endpoint == endpoint and origin.sent_at > since
        ]
        for origin in uncertain:
            origin.software_version = None
        self._report(uncertain)

    def report_running(self) -> None:
        """Report the running streams of services that have several versions.

        Does so as soon as a second version appears: streams that began before were not
        reported. Later, they are repeated.
        """
        now = self._clock()
        mixed = set(self._versions.mixed_services(now))
        is_due = now - self._reported_at >= REPORT_INTERVAL_S
        services = mixed if is_due else mixed - self._reported_services
        self._reported_services = mixed
        if is_due:
            self._reported_at = now
        running = [
            item
            for item in self._running.values()
            if item.service in services and not item.is_concluded
        ]
        for origin in running:
            self._known[origin.key] = origin
        self._report(running)

    def _report(self, origins: list[StreamOrigin]) -> None:
        """Tell the holders of some streams what is known of them."""
        by_holder: defaultdict[Address, list[BegunStream]] = defaultdict(list)
        for origin in origins:
            if origin.is_concluded:
                continue
            for address in self._holders(origin.key):
                by_holder[address].append(_begun(origin))
        for address, streams in by_holder.items():
            for start in range(0, len(streams), MAX_STREAMS_PER_REPORT):
                part = streams[start : start + MAX_STREAMS_PER_REPORT]
                self._send(StreamReport(self._peers.own_address, part), address)

    def _tracking_peers(self) -> dict[Address, str]:
        """Return the data halls of the entries that answer, by address."""
        return {
            row.digest.address: row.digest.hall
            for row in self._peers.fresh(self._clock())
            if row.digest.tracks_streams
        }

    def _holders(self, key: bytes) -> list[Address]:
        """Return the entries to tell of a stream, of different data halls if possible."""
        halls = {self._peers.own_address: self._hall, **self._tracking_peers()}
        names = {f"{address.ip}:{address.port}": address for address in halls}
        ordered = [names[name] for name in ranked(key.hex(), names)]
        first_of_hall = {halls[address]: address for address in reversed(ordered)}
        preferred = sorted(
            ordered, key=lambda address: first_of_hall[halls[address]] != address
        )
        own = self._peers.own_address
        return [address for address in preferred[:HOLDERS] if address != own]


def _begun(origin: StreamOrigin) -> BegunStream:
    return BegunStream(origin.key, origin.software_version)


def _unknown(stream_rid: str, origin: StreamOrigin | None) -> UnknownVersion:
    """Return why the version of a stream is not known.

    Args:
        stream_rid: Id of the attempt that brought its first event, if the caller named it.
        origin: How it began, but for the version; ``None`` if no entry knows it.
    """
    if origin is not None:
        return UnknownVersion("the endpoint that began the stream has restarted")
    if not stream_rid:
        return UnknownVersion("the request does not name the attempt that began it")
    return UnknownVersion("no entry knows the stream")
