"""Replays load patterns on the decision core: many entries do as well as a single one."""

from __future__ import annotations

import pytest

from benchmarks.replays.fleet import Replay
from benchmarks.replays.patterns import PATTERNS, LoadPattern

ENGINES = 8
MIN_VALUE_FRACTION = 0.95
"""Fraction of the value of a single entry, which sees all requests, that many entries must
reach."""


def replay_value(
    pattern: LoadPattern,
    entries: int,
    seed: int,
    *,
    loss: float = 0.0,
    is_independent: bool = False,
) -> float:
    replay = Replay(
        pattern,
        entries=entries,
        engines=ENGINES,
        seed=seed,
        is_coordinated=not is_independent,
        loss_fraction=loss,
    )
    return replay.run().value_fraction


@pytest.mark.parametrize("pattern", PATTERNS, ids=lambda pattern: pattern.name)
def test_sixteen_entries_serve_nearly_as_well_as_one(pattern: LoadPattern) -> None:
    single_entry = replay_value(pattern, 1, 5)
    assert replay_value(pattern, 16, 5) >= MIN_VALUE_FRACTION * single_entry


def test_sixteen_entries_tolerate_a_loss_of_one_message_in_twenty() -> None:
    pattern = PATTERNS[1]
    assert replay_value(pattern, 16, 6, loss=0.05) >= MIN_VALUE_FRACTION * replay_value(
        pattern, 1, 6
    )


def test_sixteen_entries_without_a_coordinator_serve_worse() -> None:
    pattern = PATTERNS[1]
    assert replay_value(
        pattern, 16, 5, is_independent=True
    ) < MIN_VALUE_FRACTION * replay_value(pattern, 1, 5)
