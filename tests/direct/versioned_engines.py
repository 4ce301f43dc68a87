"""Engines of several software versions, behind several entries."""

from __future__ import annotations

import re
from dataclasses import replace

import eventlet

from dockreach.direct.entry import Entry

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    entry_settings,
    header_of,
    published,
    start_entry,
)

GOSSIP_S = 0.3
"""Time within which entries on one machine receive each other's messages, in seconds."""

STREAM_EVENTS = 4
"""Number of events of a whole stream."""


def event(number: int, version: str) -> bytes:
    """Return an event that names the software version that wrote it."""
    return f"id: {number}\ndata: {version}\n\n".encode()


def remaining_events(dialog: Dialog) -> range:
    """Return the numbers of the events after the last one that the caller has."""
    last = int(header_of(dialog.request, b"last-event-id") or 0)
    return range(last + 1, STREAM_EVENTS + 1)


class VersionedEngine:
    """An engine that writes its software version into each event.

    Attributes:
        breaks_after: Number of events after which it breaks off each new stream; ``None``
            to send whole streams. Streams that it continues are always sent whole.
        pause_s: Time between events, in seconds.
    """

    def __init__(
        self,
        name: str,
        software_version: str,
        *,
        breaks_after: int | None = None,
        pause_s: float = 0.0,
    ) -> None:
        self.name = name
        self.software_version = software_version
        self.breaks_after = breaks_after
        self.pause_s = pause_s
        self.standin = EndpointStandIn(self._run)
        self.published = published(
            name, self.standin.address, software_version=software_version
        )

    def _run(self, dialog: Dialog) -> None:
        dialog.start_stream()
        is_new = header_of(dialog.request, b"last-event-id") is None
        for number in remaining_events(dialog):
            if is_new and number - 1 == self.breaks_after:
                eventlet.sleep(0.05)
                dialog.reset()
                return
            dialog.chunk(event(number, self.software_version))
            eventlet.sleep(self.pause_s)
        dialog.chunk(b"")


def start_fleet(engines: list[VersionedEngine], *, entries: int) -> list[Entry]:
    """Start entries that know each other, with all engines listed at each of them."""
    fleet: list[Entry] = []
    for _ in range(entries):
        add_entry(fleet, engines)
    eventlet.sleep(GOSSIP_S)
    return fleet


def add_entry(fleet: list[Entry], engines: list[VersionedEngine]) -> Entry:
    """Start one more entry; the first one is its seed."""
    seeds = tuple(entry.settings.gossip_address for entry in fleet[:1])
    entry = start_entry(settings=replace(entry_settings(), seeds=seeds))
    fleet.append(entry)
    for engine in engines:
        entry.apply_endpoint(engine.published)
    return entry


def begin_stream(entry: Entry, rid: str) -> tuple[Caller, str]:
    """Start a stream; return its caller and the software version of its first event."""
    caller = Caller(entry)
    caller.send("/brief/a", rid=rid, body=b"prompt")
    data = b""
    while not (versions := versions_in(data)):
        received = caller.read_available()
        assert received, "the connection was closed before the first event"
        data += received
    return caller, versions[0]


def whole_stream(entry: Entry, rid: str) -> bytes:
    """Send a request for a stream; return the response."""
    caller = Caller(entry)
    caller.send("/brief/a", rid=rid, body=b"prompt")
    response = caller.read_response()
    caller.close()
    return response


def take_up_stream(entry: Entry, rid: str, *, stream_rid: str) -> bytes:
    """Continue a stream after its first event, as its caller does; return the response."""
    caller = Caller(entry)
    extra = f"Last-Event-Id: 1\r\nResumes: {stream_rid}\r\n"
    caller.send("/brief/a", rid=rid, body=b"prompt", extra=extra)
    response = caller.read_response()
    caller.close()
    return response


def versions_in(response: bytes) -> list[str]:
    """Return the software versions that wrote the events of a response, in order."""
    found = re.findall(rb"id: \d+\ndata: (.*?)\n\n", response)
    return [version.decode() for version in found]
