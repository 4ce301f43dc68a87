"""Estimating when a caller made its first attempt."""

from __future__ import annotations

from dockreach.direct.first_attempts import DEADLINE_SAMPLES, FirstAttemptEstimator


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
