"""Replays an overload whose callers wait for different times and return once."""

from __future__ import annotations

import pytest

from benchmarks.replays.returning import ReturningReplay, ReturningTotals

SEED = 1

RETRIES_IN_TIME_BEFORE = 4
"""Retries in time with this seed before retries were recognised."""

WORTH_BEFORE = 0.815
"""Worth of all responses, likewise; a retry in time counts half."""


@pytest.fixture(scope="module")
def totals() -> ReturningTotals:
    return ReturningReplay(seed=SEED).replay()


def test_refused_requests_are_refused_within_a_quarter_of_their_objective(
    totals: ReturningTotals,
) -> None:
    # Before, they were taken for retries, never rejected early, and held to the end.
    assert totals.share_refused_quickly >= 0.9


def test_more_retries_are_answered_in_time(totals: ReturningTotals) -> None:
    assert totals.retries_in_time > 5 * RETRIES_IN_TIME_BEFORE


def test_retries_are_not_served_at_the_expense_of_more_worth(
    totals: ReturningTotals,
) -> None:
    assert totals.worth > WORTH_BEFORE


def test_few_first_attempts_are_taken_for_retries(totals: ReturningTotals) -> None:
    assert totals.misjudged <= 0.03 * totals.sent
