"""Replays engines that are slow for moments: using their figures must not serve worse.

The load leaves some slots free, so that there is a choice between endpoints. Where all are
full, the figure makes no difference beyond the chance of a single replay.
"""

from __future__ import annotations

from benchmarks.replays.slow_moments import MomentReplay, moments_pattern

LOAD = 0.6
SEEDS = (1, 2, 3)


def served(*, uses_loads: bool) -> tuple[int, int]:
    """Return the responses in time, and the streams with a gap beyond the objective."""
    in_time = long_gaps = 0
    for seed in SEEDS:
        replay = MomentReplay(
            moments_pattern(LOAD, 8.0), entries=8, seed=seed, uses_loads=uses_loads
        )
        in_time += replay.run().in_time.total()
        long_gaps += replay.long_gaps.total()
    return in_time, long_gaps


def test_with_the_figures_no_fewer_requests_are_answered_in_time() -> None:
    in_time_before, long_gaps_before = served(uses_loads=False)
    in_time, long_gaps = served(uses_loads=True)
    assert in_time >= in_time_before
    assert long_gaps <= long_gaps_before
