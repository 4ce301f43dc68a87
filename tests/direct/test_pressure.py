"""How fast tiers get slots, and for how long their jobs have had to wait."""

from __future__ import annotations

import pytest

from dockreach.direct.pressure import RATE_WINDOW_S, Pressure


def test_without_recent_assignments_nothing_is_expected() -> None:
    pressure = Pressure()
    assert pressure.expected_slots("work", (1,), 1.0, 5.0) is None
    pressure.record_assignment("work", (1,), 0.0, 5.0)
    assert pressure.expected_slots("work", (1,), 1.0, 5.1) == 1.0 / RATE_WINDOW_S
    assert pressure.expected_slots("other", (1,), 1.0, 5.1) is None
    assert pressure.expected_slots("work", (1,), 1.0, 5.1 + RATE_WINDOW_S) is None


def test_expected_slots_grow_with_the_rate_and_the_time_ahead() -> None:
    pressure = Pressure()
    for step in range(10):
        pressure.record_assignment("work", (1,), 0.0, 5.0 + step / 100)
    assert pressure.expected_slots("work", (1,), 0.5, 5.2) == pytest.approx(5.0)
    assert pressure.expected_slots("work", (1,), 0.1, 5.2) == pytest.approx(1.0)
    assert pressure.expected_slots("work", (1,), -0.1, 5.2) == 0.0


def test_arrivals_of_higher_tiers_are_subtracted() -> None:
    pressure = Pressure()
    pressure.record_assignment("work", (1,), 0.0, 5.0)
    pressure.record_assignment("work", (2,), 0.0, 5.0)
    pressure.record_arrival("work", (1,), 5.0)
    assert pressure.expected_slots("work", (2,), 1.0, 5.1) == 1.0
    pressure.record_arrival("work", (1,), 5.0)
    pressure.record_arrival("work", (1,), 5.0)
    assert pressure.expected_slots("work", (2,), 1.0, 5.1) == 0.0
    assert pressure.expected_slots("work", (1,), 1.0, 5.1) == 2.0


def test_tiers_and_services_are_independent() -> None:
    pressure = Pressure()
    pressure.record_assignment("work", (1,), 2.0, 5.0)
    assert pressure.duration_s("work", (1,), 6.0) == 3.0
    assert pressure.duration_s("work", (2,), 6.0) == 0.0
    assert pressure.duration_s("other", (1,), 6.0) == 0.0


def test_a_job_that_did_not_wait_ends_the_pressure() -> None:
    pressure = Pressure()
    pressure.record_assignment("work", (1,), 0.5, 5.0)
    pressure.record_assignment("work", (1,), 0.5, 6.0)
    assert pressure.duration_s("work", (1,), 7.0) == 2.5
    pressure.record_assignment("work", (1,), 0.0, 7.0)
    assert pressure.duration_s("work", (1,), 8.0) == 0.0
