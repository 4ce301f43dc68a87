"""The retry budget of a service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.entry import Entry
from dockreach.direct.retry_budget import RetryBudget, RetryPolicy
from dockreach_platform.headers import PlatformAdapter

from .standins import entry_settings

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


def start_entries(count: int) -> list[Entry]:
    """Start entries that name each other as seeds; none has received a digest yet."""
    addresses = [entry_settings().gossip_address for _ in range(count)]
    settings = entry_settings()
    return [
        Entry(
            replace(
                settings,
                gossip_address=own,
                seeds=tuple(addresses),
                has_predecessor=True,
                retry_policy=POLICY,
            ),
            PlatformAdapter(),
        )
        for own in addresses
    ]


def take_all(entries: Iterable[Entry]) -> int:
    """Take retries until all budgets are empty; return how many there were."""
    return sum(entry.ctx.try_acquire_retry("work") for entry in entries for _ in range(300))


def test_entries_that_do_not_know_each_other_yet_stay_within_the_budget() -> None:
    assert take_all(start_entries(6)) <= POLICY.burst


def test_retries_of_before_a_restart_of_all_entries_still_count() -> None:
    entries = [RetryBudget(POLICY) for _ in range(6)]
    before = sum(
        budget.try_acquire("work", len(entries), 1.0)
        for budget in entries
        for _ in range(300)
    )
    assert before + take_all(start_entries(6)) <= POLICY.burst
