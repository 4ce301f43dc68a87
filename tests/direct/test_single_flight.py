"""One call for all that need its result."""

from __future__ import annotations

import eventlet
import pytest

from dockreach import clock
from dockreach.direct.single_flight import RETRY_PAUSE_S, SingleFlight
from dockreach.errors import PlatformError

CALL_S = 0.05


class Platform:
    """Counts calls, of which the first ones fail."""

    def __init__(
        self,
        failures: int = 0,
        *,
        error: Exception | None = None,
        call_s: float = CALL_S,
    ) -> None:
        self.calls = 0
        self._failures = failures
        self._error = error or PlatformError("no answer")
        self._call_s = call_s
        self.read = SingleFlight(self._call, clock.now)

    def _call(self) -> None:
        self.calls += 1
        eventlet.sleep(self._call_s)
        if self.calls <= self._failures:
            raise self._error


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


@pytest.mark.parametrize("error", [PlatformError("no answer"), ValueError("invalid")])
def test_a_call_that_failed_is_not_taken_for_an_answer(error: Exception) -> None:
    platform = Platform(failures=1, error=error)
    asked_at = clock.now()
    platform.read.wait(asked_at, 1.0)
    eventlet.sleep(RETRY_PAUSE_S)
    platform.read.wait(asked_at, 1.0)
    platform.read.wait(asked_at, 1.0)
    assert platform.calls == 2


def test_a_platform_that_refuses_calls_gets_few() -> None:
    platform = Platform(failures=1000, call_s=0.0)
    started_at = clock.now()
    while (now := clock.now()) < started_at + 1.0:
        platform.read.wait(now, 1.0)
        eventlet.sleep(0.002)
    assert 1 < platform.calls <= 1.0 / RETRY_PAUSE_S + 1
