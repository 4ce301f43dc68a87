"""Replays a surge of one organisation while the lowest tier is overloaded."""

from __future__ import annotations

from benchmarks.replays.organisations import ENGINES, Outcomes, replayed

SURGING = "org-1"
SEEDS = range(1, 4)
MIN_KEPT = 0.95
"""Part of the others' requests in time without the surge that remains with it."""


def outcomes(surging: str, *, is_shared: bool) -> Outcomes:
    return replayed(
        entries=1, engines=ENGINES, seeds=SEEDS, surging=surging, is_shared=is_shared
    )


def test_a_surge_of_one_organisation_is_rejected_and_the_others_keep_their_share() -> None:
    usual = outcomes("", is_shared=True)
    surge = outcomes(SURGING, is_shared=True)
    unshared = outcomes(SURGING, is_shared=False)
    sent, usual_in_time = usual.without(SURGING)
    assert surge.without(SURGING)[0] == unshared.without(SURGING)[0] == sent
    kept = surge.without(SURGING)[1] / usual_in_time
    assert kept >= MIN_KEPT
    assert unshared.without(SURGING)[1] / usual_in_time < MIN_KEPT
    # The surplus is refused instead of the others' requests.
    assert surge.refused[SURGING] > unshared.refused[SURGING]
    others = [row.refused.total() - row.refused[SURGING] for row in (surge, unshared)]
    assert others[0] < others[1]
