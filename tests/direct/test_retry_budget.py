"""The retry budget of a service."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.retry_budget import RetryBudget, RetryPolicy

POLICY = RetryPolicy(ratio=0.2, burst=20.0, window_s=10.0)


@given(requests=st.integers(0, 200), entries=st.integers(1, 30))
def test_all_entries_together_stay_within_the_budget(requests: int, entries: int) -> None:
    taken = 0
    for _ in range(entries):
        budget = RetryBudget(POLICY)
        for _ in range(requests):
            budget.record_request("work", 1.0)
        taken += sum(budget.try_acquire("work", entries, 1.0) for _ in range(300))
    assert taken <= POLICY.ratio * requests * entries + POLICY.burst


def test_retries_that_left_the_window_do_not_count() -> None:
    budget = RetryBudget(POLICY)
    while budget.try_acquire("work", 1, 1.0):
        pass
    assert budget.try_acquire("work", 1, 1.0 + POLICY.window_s)


def test_services_have_budgets_of_their_own() -> None:
    budget = RetryBudget(POLICY)
    while budget.try_acquire("work", 1, 1.0):
        pass
    assert budget.try_acquire("other", 1, 1.0)
