"""Round-robin selection from a list."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.round_robin import RoundRobin


@given(st.integers(0, 20), st.integers(1, 8))
def test_all_items_are_selected_in_the_fewest_possible_calls(
    count: int, max_count: int
) -> None:
    round_robin = RoundRobin()
    items = list(range(count))
    calls = -(-count // max_count)
    batches = [round_robin.next_items(items, max_count) for _ in range(calls)]
    assert all(len(batch) <= max_count for batch in batches)
    assert {item for batch in batches for item in batch} == set(items)


def test_a_list_that_becomes_shorter_is_handled() -> None:
    round_robin = RoundRobin()
    round_robin.next_items(list(range(20)), 4)
    assert len(round_robin.next_items([1, 2, 3, 4, 5], 4)) == 4
    assert round_robin.next_items([1, 2], 4) == [1, 2]
