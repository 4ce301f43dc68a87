"""Dividing the memory of a process among what its callers make it hold."""

from __future__ import annotations

import pytest

from dockreach.direct.memory_plan import (
    CONNECTION_BYTES,
    OWN_DESCRIPTORS,
    PROGRAM_BYTES,
    memory_plan,
)
from dockreach.direct.memory_room import HARD_LIMIT_FACTOR
from dockreach.direct.routing_config import CallerLimits


@pytest.mark.parametrize("memory_mb", [88.0, 128.0, 150.0, 232.0, 552.0, 4000.0])
def test_all_parts_and_a_copy_of_one_body_fit_into_the_memory(memory_mb: float) -> None:
    """Guards against a process that is killed although each part keeps to its bound."""
    plan = memory_plan(memory_mb, 4100)
    in_use = PROGRAM_BYTES + plan.body_bytes + HARD_LIMIT_FACTOR * plan.input_bytes
    assert in_use + CallerLimits().body_bytes <= memory_mb * 1e6


@pytest.mark.parametrize("memory_mb", [4.0, 16.0, 64.0, 88.0])
def test_some_room_is_left_in_the_smallest_process(memory_mb: float) -> None:
    plan = memory_plan(memory_mb, 1024)
    assert plan.body_bytes > 0
    assert plan.input_bytes > 10 * CONNECTION_BYTES


def test_callers_leave_descriptors_for_the_entry_itself() -> None:
    plan = memory_plan(552.0, 4100)
    assert plan.max_connections == 2925
    assert plan.max_connections + OWN_DESCRIPTORS < 4100
    assert memory_plan(150.0, 100).max_connections == 1


@pytest.mark.parametrize("memory_mb", [64.0, 88.0, 150.0, 552.0])
@pytest.mark.parametrize("descriptors", [1024, 4100, 65_536])
def test_connections_that_rest_leave_room_for_requests(
    memory_mb: float, descriptors: int
) -> None:
    """Guards against descriptors for more connections than the memory holds."""
    plan = memory_plan(memory_mb, descriptors)
    assert plan.max_connections * CONNECTION_BYTES <= plan.input_bytes / 2
