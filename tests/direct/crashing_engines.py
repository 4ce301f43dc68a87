"""Engines that crash as they begin a marked request and restart, behind several entries."""

from __future__ import annotations

import itertools
from collections.abc import Callable
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

CRASHING_BODY = b"a body that ends whatever runs it"
CRASHING_PART = "dead"
"""Part of a prompt that crashes whatever begins to respond to it."""

CRASH_DELAY_S = 0.02
"""Time from a request's arrival to the crash of its engine, in seconds."""

GOSSIP_S = 0.25
"""Time within which entries on one machine receive each other's messages, in seconds."""


_lives = itertools.count()
"""Numbers of engines, unique in a process: entries of earlier tests still log theirs."""


def queue_at_full_engine(serve: Callable[[Dialog], None]) -> tuple[Entry, list[Caller]]:
    """Start an entry with one engine, and callers of which the last waits for a slot.

    Args:
        serve: What the engine does with a request; three come before the last one, and one
            of them runs.
    """
    entry = start_entry()
    entry.apply_endpoint(published("e-0", EndpointStandIn(serve).address, slots=1))
    callers = [Caller(entry) for _ in range(4)]
    for number, caller in enumerate(callers):
        body = CRASHING_BODY if number == 3 else str(number).encode()
        caller.send("/draft/a" if number < 3 else "/once/a", rid=f"r-{number}", body=body)
        eventlet.sleep(CRASH_DELAY_S)
    return entry, callers


def count_suspects_after(entry: Entry, path: str) -> int:
    """Send a harmless request, read the response, and count the suspected requests."""
    caller = Caller(entry)
    caller.send(path, body=b"sound")
    caller.read_response()
    eventlet.sleep(GOSSIP_S)
    return len(entry.ctx.crashes.quarantine)


class CrashingFleet:
    """Entries that exchange digests, and engines that are replaced when they crash.

    Attributes:
        crashed: Ids of the engines that crashed, in order.
        entries: The entries; the first one is the seed of the others.
    """

    def __init__(self, *, entries: int, engines: int) -> None:
        self.crashed: list[str] = []
        self.entries: list[Entry] = []
        self._rids = itertools.count()
        for _ in range(entries):
            self.add_entry()
        for _ in range(engines):
            self._start_engine()
        eventlet.sleep(GOSSIP_S)

    def add_entry(self) -> Entry:
        """Start one more entry."""
        seeds = tuple(entry.settings.gossip_address for entry in self.entries[:1])
        entry = start_entry(settings=replace(entry_settings(), seeds=seeds))
        self.entries.append(entry)
        return entry

    def _start_engine(self) -> None:
        name = f"life-{next(_lives)}"
        engine: EndpointStandIn

        def run(dialog: Dialog) -> None:
            eventlet.sleep(CRASH_DELAY_S)
            parts = header_of(dialog.request, b"prompt-prefix-hash") or b""
            has_crashing_part = f"{CRASHING_PART}:".encode() in parts
            if not dialog.request.endswith(CRASHING_BODY) and not has_crashing_part:
                dialog.respond(b"fine")
                return
            self.crashed.append(name)
            engine.close()
            for other in engine.dialogs:
                other.reset()
            self._start_engine()

        engine = EndpointStandIn(run)
        for entry in self.entries:
            entry.apply_endpoint(published(name, engine.address))

    def request(
        self,
        entry: Entry,
        body: bytes,
        *,
        path: str = "/once/a",
        parts: tuple[str, ...] = (),
    ) -> bytes:
        """Send a request with an id of its own; return the response.

        Args:
            entry: Where to send it.
            body: Its body.
            path: Its path.
            parts: The parts of its prompt, in order.
        """
        caller = Caller(entry)
        listed = ",".join(f"{part}:20" for part in parts)
        extra = f"Prompt-Prefix-Hash: {listed}\r\n" if parts else ""
        caller.send(path, rid=f"r-{next(self._rids)}", body=body, extra=extra)
        response = caller.read_response()
        caller.close()
        return response
