"""How fast tiers get places, and since when they have had to wait."""

from __future__ import annotations

import math

import pytest

from dockreach.direct.pressure import RATE_S, Pressure


def test_a_tier_that_got_no_place_lately_may_wait_for_ever() -> None:
    pressure = Pressure()
    assert pressure.expected_s("work", (1,), 0, 5.0) == math.inf
    pressure.note_placed("work", (1,), 0.0, 5.0)
    assert pressure.expected_s("work", (1,), 0, 5.1) == RATE_S
    assert pressure.expected_s("work", (1,), 0, 7.0) == math.inf


def test_the_wait_grows_with_those_ahead_and_falls_with_the_rate() -> None:
    pressure = Pressure()
    for step in range(10):
        pressure.note_placed("work", (1,), 0.0, 5.0 + step / 100)
    assert pressure.expected_s("work", (1,), 0, 5.2) == pytest.approx(0.1)
    assert pressure.expected_s("work", (1,), 4, 5.2) == pytest.approx(0.5)


def test_tiers_and_services_are_apart() -> None:
    pressure = Pressure()
    pressure.note_placed("work", (1,), 2.0, 5.0)
    assert pressure.expected_s("work", (2,), 0, 5.0) == math.inf
    assert pressure.lasted_s("work", (1,), 6.0) == 3.0
    assert pressure.lasted_s("other", (1,), 6.0) == 0.0


def test_pressure_ends_with_a_job_that_did_not_wait() -> None:
    pressure = Pressure()
    pressure.note_placed("work", (1,), 0.5, 5.0)
    pressure.note_placed("work", (1,), 0.5, 6.0)
    assert pressure.lasted_s("work", (1,), 7.0) == 2.5
    pressure.note_placed("work", (1,), 0.0, 7.0)
    assert pressure.lasted_s("work", (1,), 8.0) == 0.0
