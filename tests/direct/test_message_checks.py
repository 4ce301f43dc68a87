"""Numbers in messages of other entries that make no sense."""

from __future__ import annotations

import math

import msgspec
import pytest

from dockreach.direct.message_checks import is_valid, without_invalid_parts
from dockreach.direct.slot_messages import (
    HeldJob,
    LoadReport,
    RefusalReport,
    SlotState,
    WaitingJob,
)

from .core_builders import address, dispatcher, endpoints

WAITING = WaitingJob(1, "tier-0", (0,), 1000, 10.0, (), 0.0, 0.0, 3.0, 8.0, False, [])
HELD = HeldJob(2, "e-0", 0, expected_events=10.0, age_s=0.5)
REFUSAL = RefusalReport(b"same", 8.0, 1.0, 0.5, False)
LOAD = LoadReport("e-0", 1, 0, 5, 250, 0.1)


@pytest.mark.parametrize("part", [WAITING, HELD, REFUSAL, LOAD])
def test_ordinary_numbers_are_valid(part: object) -> None:
    assert is_valid(part)


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize(
    ("part", "names"),
    [
        (WAITING, ("age_s", "first_attempt_age_s", "expected_events")),
        (HELD, ("age_s", "expected_events")),
        (REFUSAL, ("first_attempt_age_s", "retry_in_s")),
        (LOAD, ("age_s",)),
    ],
)
def test_infinite_and_undefined_numbers_are_not(
    part: msgspec.Struct, names: tuple[str, ...], value: float
) -> None:
    for name in names:
        assert not is_valid(msgspec.structs.replace(part, **{name: value}))


@pytest.mark.parametrize(
    ("part", "changes"),
    [
        (WAITING, {"rank": ()}),
        (WAITING, {"time_left_s": math.nan}),
        (HELD, {"events": -1}),
        (LOAD, {"percent": 10**6}),
        (LOAD, {"running": -1}),
        (LOAD, {"age_s": -1e9}),
    ],
)
def test_absurd_numbers_are_not_valid(
    part: msgspec.Struct, changes: dict[str, object]
) -> None:
    assert not is_valid(msgspec.structs.replace(part, **changes))


def test_a_job_with_invalid_numbers_does_not_stop_the_others() -> None:
    """Guards against rounds that fail for all jobs while one of them is held."""
    invalid = msgspec.structs.replace(HELD, number=3, expected_events=math.inf)
    nameless = msgspec.structs.replace(WAITING, number=4, age_s=math.nan)
    state = SlotState(
        address(1), 1, 1, "work", [WAITING, nameless], [HELD, invalid], [], loads=[LOAD]
    )
    cleaned = without_invalid_parts(state)
    assert [job.number for job in cleaned.waiting] == [1]
    assert [job.number for job in cleaned.held] == [2]
    assert cleaned.loads == [LOAD]


def test_admitted_jobs_of_each_service_are_checked_again() -> None:
    """Guards against a turn that is taken twice a round where two services have jobs."""
    queue = dispatcher(endpoints(1))
    assert queue._round_number == 0
    for now in (1.0, 2.0, 3.0):
        queue.run_round(now)
    assert queue._round_number == 3
