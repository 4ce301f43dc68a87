"""Replays an overload whose callers wait for different times and return once."""

from __future__ import annotations

import pytest

from benchmarks.replays.fleet import Request
from benchmarks.replays.patterns import RequestKind
from benchmarks.replays.returning import (
    ReturningReplay,
    ReturningRequest,
    ReturningTotals,
)

SEED = 1


class UnrecognisedReplay(ReturningReplay):
    """The same replay with requests that have no fingerprint."""

    def new_request(
        self, kind: RequestKind, tokens: int, events: int, now: float
    ) -> Request:
        """Return the request of a caller that arrives."""
        req = super().new_request(kind, tokens, events, now)
        assert isinstance(req, ReturningRequest)
        req.fingerprint = b""
        return req


@pytest.fixture(scope="module")
def totals() -> ReturningTotals:
    return ReturningReplay(seed=SEED).replay()


@pytest.fixture(scope="module")
def unrecognised() -> ReturningTotals:
    return UnrecognisedReplay(seed=SEED).replay()


def test_refused_requests_are_refused_within_a_quarter_of_their_objective(
    totals: ReturningTotals,
) -> None:
    # Before, they were taken for retries, never rejected early, and held to the end.
    assert totals.share_refused_quickly >= 0.9


def test_more_retries_are_answered_in_time(
    totals: ReturningTotals, unrecognised: ReturningTotals
) -> None:
    assert totals.retries_in_time > unrecognised.retries_in_time


def test_retries_are_not_served_at_the_expense_of_more_worth(
    totals: ReturningTotals, unrecognised: ReturningTotals
) -> None:
    assert totals.worth > unrecognised.worth


def test_few_first_attempts_are_taken_for_retries(totals: ReturningTotals) -> None:
    assert totals.misjudged <= 0.03 * totals.sent
