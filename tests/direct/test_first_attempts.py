"""Estimating when a caller made its first attempt."""

from __future__ import annotations

import random

import pytest

from dockreach.direct.first_attempts import (
    DEADLINE_SAMPLES,
    FEW_SAMPLES,
    MIN_DIFFERENT,
    FirstAttemptEstimator,
)


def test_a_deadline_shorter_than_usual_belongs_to_a_retry() -> None:
    estimator = FirstAttemptEstimator()
    assert estimator.first_attempt_age_s("a", 12.0) == 0.0
    assert estimator.first_attempt_age_s("a", 8.0) == 4.0
    assert estimator.first_attempt_age_s("a", 12.0) == 0.0


def test_routes_are_separate_and_a_missing_deadline_is_a_first_attempt() -> None:
    estimator = FirstAttemptEstimator()
    estimator.first_attempt_age_s("a", 12.0)
    assert estimator.first_attempt_age_s("b", 3.0) == 0.0
    assert estimator.first_attempt_age_s("a", None) == 0.0


def test_a_few_longer_deadlines_do_not_turn_all_others_into_retries() -> None:
    estimator = FirstAttemptEstimator()
    for number in range(DEADLINE_SAMPLES):
        estimator.first_attempt_age_s("a", 60.0 if number % 20 == 0 else 12.0)
    assert estimator.first_attempt_age_s("a", 12.0) == 0.0


def test_many_retries_are_not_taken_for_first_attempts() -> None:
    estimator = FirstAttemptEstimator()
    for number in range(DEADLINE_SAMPLES):
        estimator.first_attempt_age_s("a", 12.0 if number % 5 == 0 else 8.0)
    assert estimator.first_attempt_age_s("a", 8.0) == 4.0


def test_usual_deadlines_may_change_and_old_routes_are_dropped() -> None:
    estimator = FirstAttemptEstimator()
    for _ in range(DEADLINE_SAMPLES):
        estimator.first_attempt_age_s("a", 12.0)
    for _ in range(DEADLINE_SAMPLES):
        estimator.first_attempt_age_s("a", 6.0)
    assert estimator.first_attempt_age_s("a", 6.0) == 0.0
    estimator.first_attempt_age_s("b", 9.0)
    estimator.keep_only({"b"})
    assert estimator.first_attempt_age_s("a", 2.0) == 0.0
    assert estimator.first_attempt_age_s("b", 2.0) == 7.0


def misjudged(estimator: FirstAttemptEstimator, deadlines: list[float]) -> int:
    """Return how many of these first attempts are taken for retries."""
    return sum(estimator.first_attempt_age_s("a", value) > 0 for value in deadlines)


def test_nothing_is_estimated_where_callers_wait_for_different_times() -> None:
    rng = random.Random(1)
    deadlines = [10.6 * rng.uniform(0.85, 1.15) for _ in range(2000)]
    # Before, half of them were taken for retries.
    assert misjudged(FirstAttemptEstimator(), deadlines) <= 0.01 * len(deadlines)


def test_a_few_different_deadlines_are_not_taken_for_equal_ones() -> None:
    # After a restart of all entries each of them has few samples.
    count = sum(
        misjudged(
            FirstAttemptEstimator(),
            [10.6 * random.Random(100 * seed + n).uniform(0.85, 1.15) for n in range(16)],
        )
        for seed in range(100)
    )
    assert count <= 0.05 * 1600


def test_deadlines_that_differ_by_network_delays_are_equal() -> None:
    estimator = FirstAttemptEstimator()
    for number in range(DEADLINE_SAMPLES):
        estimator.first_attempt_age_s("a", 12.0 - 0.0005 * number)
    assert estimator.first_attempt_age_s("a", 10.0) > 1.9


def test_nothing_is_estimated_while_most_requests_are_retries() -> None:
    estimator = FirstAttemptEstimator()
    rng = random.Random(2)
    for number in range(DEADLINE_SAMPLES):
        retry = 12.0 - rng.uniform(0.5, 3.0)
        estimator.first_attempt_age_s("a", 12.0 if number % 8 == 0 else retry)
    assert estimator.first_attempt_age_s("a", 9.0) == 0.0


@pytest.mark.parametrize("earlier", range(2, FEW_SAMPLES))
def test_few_equal_deadlines_with_some_retries_are_estimated_as_before(
    earlier: int,
) -> None:
    estimator = FirstAttemptEstimator()
    for number in range(earlier):
        estimator.first_attempt_age_s("a", 9.0 if number % 4 == 3 else 12.0)
    assert estimator.first_attempt_age_s("a", 8.0) == 4.0


def test_retries_are_recognised_only_where_callers_wait_for_different_times() -> None:
    """Guards against new Retry-After times on routes whose estimates are valid."""
    estimator = FirstAttemptEstimator()
    assert not estimator.callers_differ("unknown")
    for number in range(40):
        estimator.first_attempt_age_s("same", 6.0)
        estimator.first_attempt_age_s("different", 6.0 * (0.85 + 0.3 * (number % 10) / 9))
    assert not estimator.callers_differ("same")
    assert estimator.callers_differ("different")


def test_callers_count_as_different_only_after_several_deadlines() -> None:
    """Guards against changed Retry-After times after two deadlines that differ."""
    estimator = FirstAttemptEstimator()
    for number in range(MIN_DIFFERENT - 1):
        estimator.first_attempt_age_s("a", 6.0 + number / 10)
        assert not estimator.callers_differ("a")
    estimator.first_attempt_age_s("a", 9.0)
    assert estimator.callers_differ("a")


def test_retries_among_few_deadlines_do_not_make_callers_different() -> None:
    """Guards against changed Retry-After times where callers wait equally long."""
    estimator = FirstAttemptEstimator()
    for deadline_s in (12.0, 8.0, 12.0, 7.1, 9.3, 12.0, 6.5, 10.2, 11.1, 7.7, 9.9):
        estimator.first_attempt_age_s("a", deadline_s)
        assert not estimator.callers_differ("a")


def test_callers_are_known_to_differ_after_some_seconds() -> None:
    """Guards against retries that are not recognised for most of a short overload.

    An entry has one request a second or fewer on some routes. With seventeen deadlines
    required, it recognised no retry there in the first 11 to 23 s.
    """
    known = 0
    for seed in range(100):
        rng = random.Random(seed)
        estimator = FirstAttemptEstimator()
        for _ in range(8):
            estimator.first_attempt_age_s("a", 10.6 * rng.uniform(0.85, 1.15))
        known += estimator.callers_differ("a")
    assert known >= 75


def test_three_of_some_twenty_deadlines_that_agree_by_chance_are_not_the_usual_ones() -> (
    None
):
    count = sum(
        misjudged(
            FirstAttemptEstimator(),
            [4.0 * random.Random(100 * seed + n).uniform(0.85, 1.15) for n in range(40)],
        )
        for seed in range(100)
    )
    assert count <= 0.03 * 4000
