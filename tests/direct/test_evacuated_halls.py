"""Evacuations of data halls, received in any order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.evacuated_halls import EvacuatedHalls

from .core_builders import endpoints

HALL = frozenset({"hall1"})
NONE: frozenset[str] = frozenset()


def test_endpoints_of_a_hall_are_unusable_until_its_evacuation_is_withdrawn() -> None:
    table = endpoints(1)
    halls = EvacuatedHalls(table)
    assert halls.apply(HALL, 5, 10.0)
    assert table.usable("work", 10.0) == []
    assert halls.since == {"hall1": 10.0}
    assert halls.apply(NONE, 6, 11.0)
    assert len(table.usable("work", 11.0)) == 1
    assert halls.since == {}


def test_an_older_command_is_ignored() -> None:
    table = endpoints(1)
    halls = EvacuatedHalls(table)
    halls.apply(NONE, 6, 10.0)
    assert not halls.apply(HALL, 5, 11.0)
    assert table.evacuated == NONE


def test_the_same_command_again_is_not_new() -> None:
    halls = EvacuatedHalls(endpoints(1))
    halls.apply(HALL, 5, 10.0)
    assert not halls.apply(HALL, 5, 12.0)
    assert halls.since == {"hall1": 10.0}


@given(st.lists(st.integers(1, 9), min_size=1, max_size=20))
def test_the_newest_command_applies_in_any_order_of_arrival(revisions: list[int]) -> None:
    table = endpoints(1)
    halls = EvacuatedHalls(table)
    for revision in revisions:
        halls.apply(frozenset({f"h-{revision}"}), revision, 0.0)
    assert table.evacuated == {f"h-{max(revisions)}"}
