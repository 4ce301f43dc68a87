"""A machine may be suspended for seconds, and its steady clock does not count that time.

A request with 1.0 s left waited at an entry that was suspended for 1.5 s. Awake, the entry
still saw 0.9 s of it, placed it, and told the engine so; its caller had long gone. All else
that ages by that clock was as old as before the sleep: what peers told, the window of a
limit, a kept connection.
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

SLEPT_S = 1.5


class Suspension:
    """Puts this process to sleep, with a steady clock that does not count the time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._patch = monkeypatch

    def sleep(self) -> None:
        """Sleep; only the steady clock stands still meanwhile."""
        steady = time.monotonic
        time.sleep(SLEPT_S)
        self._patch.setattr(time, "monotonic", lambda: steady() - SLEPT_S)
        hub = eventlet.hubs.get_hub()
        if hub.clock is steady:
            self._patch.setattr(hub, "clock", time.monotonic)


@pytest.fixture
def suspension(monkeypatch: pytest.MonkeyPatch) -> Suspension:
    return Suspension(monkeypatch)


def full_engine() -> tuple[Entry, EndpointStandIn, list[Caller]]:
    """Return an entry whose one engine has no place until a caller leaves."""

    def run(dialog: Dialog) -> None:
        if dialog.request.startswith(b"POST /draft/"):
            dialog.start_stream()
            dialog.wait_until_left()
        else:
            dialog.answer(b"fine")

    engine = EndpointStandIn(run)
    entry = start_entry()
    entry.take_endpoint(published("e-0", engine.address, slots=1))
    callers = [Caller(entry) for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.send("/draft/a", rid=f"r-{number}", body=str(number).encode())
        eventlet.sleep(0.02)
    return entry, engine, callers


def rids(engine: EndpointStandIn) -> list[bytes | None]:
    return [header_of(request, b"request-id") for request in engine.requests]


def test_what_waited_for_longer_than_its_caller_does_is_not_sent_on_waking(
    suspension: Suspension,
) -> None:
    entry, engine, busy = full_engine()
    caller = Caller(entry)
    caller.send("/once/a", rid="r-late", body=b"x", deadline_ms=1000)
    eventlet.sleep(0.05)
    assert b"r-late" not in rids(engine)
    suspension.sleep()
    for other in busy:
        other.close()
    assert status_of(caller.read_answer()) == 503
    eventlet.sleep(0.2)
    assert b"r-late" not in rids(engine)


def test_what_others_told_before_the_sleep_is_old_on_waking(
    suspension: Suspension,
) -> None:
    entry = start_entry()
    before = entry.ctx.now()
    suspension.sleep()
    assert entry.ctx.now() - before >= SLEPT_S


def test_timers_that_were_due_in_the_sleep_end_on_waking(suspension: Suspension) -> None:
    start_entry()
    fired: list[float] = []
    eventlet.spawn_after(SLEPT_S, lambda: fired.append(1.0))
    suspension.sleep()
    eventlet.sleep(0.1)
    assert fired
