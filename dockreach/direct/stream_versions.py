"""Knows which software version began each resumable stream, here and at other entries.

A caller takes a broken stream up at any entry, and the one that began it may have crashed.
While endpoints of several versions serve, each entry tells a few others of every stream
before it passes on its first event: rendezvous hashing of the stream's key selects these
holders, which the entry that the caller turns to asks first. While one version serves, and
the entry knows that no other one served lately, it tells nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import eventlet
from cachetools import TTLCache
from eventlet.event import Event as Waiter

from ..rendezvous import ranked
from .digest import Address
from .endpoints import RECORD_LAG_S, Published
from .peers import PeerTable
from .software_versions import SoftwareVersions
from .stream_messages import BegunStream, StreamQuestion, StreamReport, stream_key
from .version_coverage import VersionSource

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

HISTORY_TIMEOUT_S = 0.25
"""How long a stream waits for the store's history of endpoints, in seconds: some dozens of
its usual response times."""


class KnownVersion(NamedTuple):
    """The software version at which a stream has to go on.

    Attributes:
        version: The version; ``None`` for any, as only one served since it can have begun.
        source: From what that is known.
    """

    version: str | None
    source: VersionSource


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
        asked: Entries that were asked.
        unaware: Entries that do not know the stream.
        waiter: Set once the answer is known, or all have answered that they do not know.
    """

    asked: set[Address]
    unaware: set[Address]
    waiter: Any = field(default_factory=Waiter)

    def finish(self) -> None:
        """Wake those that wait for the answer."""
        if not self.waiter.ready():
            self.waiter.send(None)


class StreamVersions:
    """Remembers at which software version streams began, and asks other entries.

    Args:
        versions: The software versions of each service's endpoints.
        peers: The other entries.
        hall: The data hall of this entry.
        send: Sends a message to another entry; it may be lost.
        clock: Returns the monotonic time, in seconds.
        list_confirmed_at: Returns up to when all changes of the list of endpoints were
            seen, in monotonic seconds.
        max_gap_s: Returns for how long the list may be unconfirmed before versions may have
            served unnoticed, in seconds.

    Attributes:
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
        list_confirmed_at: Callable[[], float],
        max_gap_s: Callable[[], float],
    ) -> None:
        self.history: Any = None
        self._list_confirmed_at = list_confirmed_at
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
        self._versions.confirm(self._list_confirmed_at())

    def versions_known_s(self) -> int:
        """Return for how long all software versions have been known, in whole seconds."""
        self.confirm_list()
        return self._versions.known_s(self._clock(), self._max_gap_s())

    def finish_history(self) -> None:
        """Wake the streams that wait for the store's history of endpoints."""
        if self.history is not None and not self.history.ready():
            self.history.send(None)

    def is_only_version(
        self, service: str, max_age_s: float, seen_at: float = math.inf
    ) -> bool:
        """Return whether only one version served since a stream began, for certain.

        Args:
            service: The stream's service.
            max_age_s: How long the stream may have run by then, in seconds.
            seen_at: Monotonic time at which its caller took it up first, in seconds; now if
                omitted.
        """
        self.confirm_list()
        now, max_gap_s = self._clock(), self._max_gap_s()
        since = min(now, seen_at) - max_age_s - max_gap_s
        return self._versions.is_only_one(service, since, now, max_gap_s)

    def find(
        self, stream_rid: str, service: str, max_age_s: float
    ) -> KnownVersion | UnknownVersion:
        """Return the software version at which a stream has to go on.

        What is known of the stream itself outweighs what follows from the list, which lags:
        its holders are asked even if one version is listed. Only if several versions may
        have begun it, all entries are.

        Args:
            stream_rid: Id of the attempt that brought its first event; empty if the caller
                did not name it.
            service: The stream's service.
            max_age_s: How long ago it may have begun, in seconds.
        """
        key = stream_key(stream_rid) if stream_rid else b""
        seen_at = self._refused.get(key, self._clock())
        if key and self._certain(key) is None:
            self._ask(key, asks_all=not self.is_only_version(service, max_age_s, seen_at))
        origin = self._known.get(key) if key else None
        version = None if origin is None else origin.software_version
        if origin is not None and not origin.is_concluded and version is not None:
            return KnownVersion(version, origin.source)
        self._await_history()
        if self.is_only_version(service, max_age_s, seen_at):
            return KnownVersion(None, self._versions.coverage.source)
        if origin is not None and version is not None:
            return KnownVersion(version, origin.source)
        if key:
            self._refused[key] = seen_at
        return _unknown(stream_rid, origin)

    def _await_history(self) -> None:
        """Wait until the store's history of endpoints was read, or will not be."""
        if self.history is not None and not self.history.ready():
            with eventlet.Timeout(HISTORY_TIMEOUT_S, False):
                self.history.wait()

    def _ask(self, key: bytes, *, asks_all: bool) -> None:
        """Ask other entries for a stream, its likely holders first, and wait.

        Args:
            key: The stream's key.
            asks_all: Whether to ask all entries if no holder knows it.
        """
        while (pending := self._questions.get(key)) is not None:
            pending.waiter.wait()
            if self._certain(key) is not None:
                return
        unaware: set[Address] = set()
        self._ask_once(key, self._holders(key), unaware, HOLDERS_ANSWER_S)
        for timeout_s in (ASK_AGAIN_S, ANSWER_TIMEOUT_S) if asks_all else ():
            if self._certain(key) is not None:
                return
            self._ask_once(key, self._tracking_peers(), unaware, timeout_s)

    def _ask_once(
        self,
        key: bytes,
        targets: Iterable[Address],
        unaware: set[Address],
        timeout_s: float,
    ) -> None:
        """Ask some entries, and wait until one knows the stream or none does.

        Args:
            key: The stream's key.
            targets: The entries.
            unaware: Entries that have said that they do not know it; others are added.
            timeout_s: How long to wait, in seconds.
        """
        asked = set(targets) - unaware
        if not asked:
            return
        question = self._questions[key] = _Question(asked, unaware)
        try:
            for address in asked:
                self._send(StreamQuestion(self._peers.own_address, [key]), address)
            with eventlet.Timeout(timeout_s, False):
                question.waiter.wait()
        finally:
            del self._questions[key]
            question.finish()

    def handle_question(self, question: StreamQuestion) -> None:
        """Answer another entry's question."""
        known = {key: self._certain(key) for key in question.keys}
        streams = [_begun(origin) for origin in known.values() if origin is not None]
        unknown = [key for key, origin in known.items() if origin is None]
        self._send(
            StreamReport(self._peers.own_address, streams, unknown), question.address
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
                question.unaware.add(report.address)
                if question.asked <= question.unaware:
                    question.finish()

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
