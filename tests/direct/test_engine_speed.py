"""Estimating the speed of an engine from its responses."""

from __future__ import annotations

import random

import pytest

from dockreach.direct.engine_speed import (
    MIN_LATENCY_S,
    MIN_PREFILL_PER_TOKEN_S,
    EngineSpeed,
)


@pytest.mark.parametrize(("latency_s", "prefill_s"), [(0.03, 1e-5), (0.15, 5e-5)])
def test_prefill_and_latency_are_estimated_separately(
    latency_s: float, prefill_s: float
) -> None:
    rng = random.Random(4)
    speed = EngineSpeed()
    for _ in range(400):
        tokens = rng.lognormvariate(7.5, 1.0)
        speed.update_first_event(
            tokens, (latency_s + prefill_s * tokens) * rng.uniform(0.9, 1.1)
        )
    assert speed.first_event_s(500) == pytest.approx(latency_s + 500 * prefill_s, rel=0.25)
    assert speed.first_event_s(8000) == pytest.approx(
        latency_s + 8000 * prefill_s, rel=0.25
    )


def test_noise_does_not_push_estimates_below_their_bounds() -> None:
    speed = EngineSpeed()
    for _ in range(100):
        speed.update_first_event(3000, 0.0)
    assert speed.latency_s >= MIN_LATENCY_S
    assert speed.prefill_per_token_s >= MIN_PREFILL_PER_TOKEN_S


def test_one_measurement_adjusts_the_estimate_without_replacing_it() -> None:
    speed = EngineSpeed()
    before = speed.first_event_s(2000)
    speed.update_first_event(2000, 4.0)
    assert before < speed.first_event_s(2000) < 2.0
