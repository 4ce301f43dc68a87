"""Suspended machines: ``time.monotonic`` does not count the time of the suspension.

A request with 1.0 s left until its deadline was queued at an entry that was suspended for
1.5 s. After resuming, the entry still saw 0.9 s left, placed the request, and passed that
time on to the engine, although the caller had long gone. Everything else that ages by that
clock was also as old as before the suspension: digests of peers, the windows of quotas,
idle connections.
"""

from __future__ import annotations

import time

import eventlet
import pytest

from dockreach.direct.entry import Entry

from .standins import (
    Caller,
    Dialog,
    EndpointStandIn,
    header_of,
    published,
    start_entry,
    status_of,
)

SUSPENDED_S = 1.5


class Suspension:
    """Simulates a suspension: a pause that ``time.monotonic`` does not count."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._patch = monkeypatch

    def suspend(self) -> None:
        """Pause this process; only ``time.monotonic`` stands still meanwhile."""
        original = time.monotonic
        time.sleep(SUSPENDED_S)
        self._patch.setattr(time, "monotonic", lambda: original() - SUSPENDED_S)
        hub = eventlet.hubs.get_hub()
        if hub.clock is original:
            self._patch.setattr(hub, "clock", time.monotonic)


@pytest.fixture
def suspension(monkeypatch: pytest.MonkeyPatch) -> Suspension:
    return Suspension(monkeypatch)


def full_engine() -> tuple[Entry, EndpointStandIn, list[Caller]]:
    """Return an entry whose only engine has no free slot until a caller disconnects."""

    def serve(dialog: Dialog) -> None:
        if dialog.request.startswith(b"POST /draft/"):
            dialog.start_stream()
            dialog.wait_until_closed()
        else:
            dialog.respond(b"fine")

    engine = EndpointStandIn(serve)
    entry = start_entry()
    entry.apply_endpoint(published("e-0", engine.address, slots=1))
    callers = [Caller(entry) for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.send("/draft/a", rid=f"r-{number}", body=str(number).encode())
        eventlet.sleep(0.02)
    return entry, engine, callers


def request_ids(engine: EndpointStandIn) -> list[bytes | None]:
    return [header_of(request, b"request-id") for request in engine.requests]


def test_a_request_whose_deadline_passed_in_a_suspension_is_not_sent(
    suspension: Suspension,
) -> None:
    entry, engine, busy = full_engine()
    caller = Caller(entry)
    caller.send("/once/a", rid="r-late", body=b"x", deadline_ms=1000)
    eventlet.sleep(0.05)
    assert b"r-late" not in request_ids(engine)
    suspension.suspend()
    for active in busy:
        active.close()
    assert status_of(caller.read_response()) == 503
    eventlet.sleep(0.2)
    assert b"r-late" not in request_ids(engine)


def test_the_clock_counts_the_time_of_a_suspension(
    suspension: Suspension,
) -> None:
    entry = start_entry()
    before = entry.ctx.now()
    suspension.suspend()
    assert entry.ctx.now() - before >= SUSPENDED_S


def test_timers_that_were_due_in_a_suspension_fire_on_resuming(
    suspension: Suspension,
) -> None:
    start_entry()
    fired: list[float] = []
    eventlet.spawn_after(SUSPENDED_S, lambda: fired.append(1.0))
    suspension.suspend()
    eventlet.sleep(0.1)
    assert fired
