"""One call for all that need its result."""

from __future__ import annotations

import eventlet

from dockreach import clock
from dockreach.direct.single_flight import SingleFlight
from dockreach.errors import PlatformError

CALL_S = 0.05


class Platform:
    """Counts calls, of which the first ones fail."""

    def __init__(self, failures: int = 0) -> None:
        self.calls = 0
        self._failures = failures
        self.read = SingleFlight(self._call, clock.now)

    def _call(self) -> None:
        self.calls += 1
        eventlet.sleep(CALL_S)
        if self.calls <= self._failures:
            raise PlatformError("no answer")


def test_many_that_wait_share_one_call_that_began_after_they_asked() -> None:
    platform = Platform()
    asked_at = clock.now()
    waiting = [eventlet.spawn(platform.read.wait, asked_at, 1.0) for _ in range(20)]
    for waiter in waiting:
        waiter.wait()
    assert platform.calls == 1


def test_a_call_that_is_under_way_does_not_count_for_who_asks_later() -> None:
    platform = Platform()
    first = eventlet.spawn(platform.read.wait, clock.now(), 1.0)
    eventlet.sleep(CALL_S / 2)
    platform.read.wait(clock.now(), 1.0)
    first.wait()
    assert platform.calls == 2


def test_who_does_not_wait_any_longer_does_not_end_the_call() -> None:
    platform = Platform()
    asked_at = clock.now()
    platform.read.wait(asked_at, CALL_S / 5)
    platform.read.wait(asked_at, 1.0)
    assert platform.calls == 1


def test_a_call_that_failed_is_not_taken_for_an_answer() -> None:
    platform = Platform(failures=1)
    asked_at = clock.now()
    platform.read.wait(asked_at, 1.0)
    platform.read.wait(asked_at, 1.0)
    assert platform.calls == 2
