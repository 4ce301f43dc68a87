"""How fast tiers get slots, and for how long their jobs have had to wait."""

from __future__ import annotations

import pytest

from dockreach.direct.pressure import RATE_S, Pressure


def test_without_recent_assignments_nothing_is_expected() -> None:
    pressure = Pressure()
    assert pressure.places_within("work", (1,), 1.0, 5.0) is None
    pressure.note_placed("work", (1,), 0.0, 5.0)
    assert pressure.places_within("work", (1,), 1.0, 5.1) == 1.0 / RATE_S
    assert pressure.places_within("other", (1,), 1.0, 5.1) is None
    assert pressure.places_within("work", (1,), 1.0, 5.1 + RATE_S) is None


def test_expected_slots_grow_with_the_rate_and_the_time_ahead() -> None:
    pressure = Pressure()
    for step in range(10):
        pressure.note_placed("work", (1,), 0.0, 5.0 + step / 100)
    assert pressure.places_within("work", (1,), 0.5, 5.2) == pytest.approx(5.0)
    assert pressure.places_within("work", (1,), 0.1, 5.2) == pytest.approx(1.0)
    assert pressure.places_within("work", (1,), -0.1, 5.2) == 0.0


def test_arrivals_of_higher_tiers_are_subtracted() -> None:
    pressure = Pressure()
    pressure.note_placed("work", (1,), 0.0, 5.0)
    pressure.note_placed("work", (2,), 0.0, 5.0)
    pressure.note_arrival("work", (1,), 5.0)
    assert pressure.places_within("work", (2,), 1.0, 5.1) == 1.0
    pressure.note_arrival("work", (1,), 5.0)
    pressure.note_arrival("work", (1,), 5.0)
    assert pressure.places_within("work", (2,), 1.0, 5.1) == 0.0
    assert pressure.places_within("work", (1,), 1.0, 5.1) == 2.0


def test_tiers_and_services_are_independent() -> None:
    pressure = Pressure()
    pressure.note_placed("work", (1,), 2.0, 5.0)
    assert pressure.lasted_s("work", (1,), 6.0) == 3.0
    assert pressure.lasted_s("work", (2,), 6.0) == 0.0
    assert pressure.lasted_s("other", (1,), 6.0) == 0.0


def test_a_job_that_did_not_wait_ends_the_pressure() -> None:
    pressure = Pressure()
    pressure.note_placed("work", (1,), 0.5, 5.0)
    pressure.note_placed("work", (1,), 0.5, 6.0)
    assert pressure.lasted_s("work", (1,), 7.0) == 2.5
    pressure.note_placed("work", (1,), 0.0, 7.0)
    assert pressure.lasted_s("work", (1,), 8.0) == 0.0
