"""Background loops continue after an unexpected error."""

from __future__ import annotations

import eventlet
import pytest

from dockreach.direct.loops import ERROR_PAUSE_S, run_forever
from dockreach.events import Event, event_count


def test_an_error_ends_one_step_and_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    steps: list[int] = []
    count = event_count(Event.INTERNAL_ERROR)

    def step() -> None:
        steps.append(len(steps))
        if len(steps) == 1:
            raise ZeroDivisionError("unexpected error")
        eventlet.sleep(0.01)

    loop = eventlet.spawn(run_forever, step)
    eventlet.sleep(ERROR_PAUSE_S + 0.1)
    loop.kill()
    assert len(steps) > 3
    (row,) = [vars(row) for row in caplog.records if vars(row)["event"] == 731]
    assert "ZeroDivisionError" in row["message"]
    assert "in step" in row["trace"]
    assert event_count(Event.INTERNAL_ERROR) == count + 1


def test_a_killed_loop_ends() -> None:
    loop = eventlet.spawn(run_forever, eventlet.sleep)
    eventlet.sleep(0.01)
    loop.kill()
    assert loop.dead
