"""Estimating the speed of an engine from its responses."""

from __future__ import annotations

import random
import time

import eventlet
import pytest

from dockreach.direct.endpoints import PACE_EVENTS
from dockreach.direct.engine_speed import (
    MIN_LATENCY_S,
    MIN_PREFILL_PER_TOKEN_S,
    EngineSpeed,
)
from dockreach.direct.stalls import MIN_STALL_S

from .standins import Caller, Dialog, EndpointStandIn, start_entry, status_of

STOPPED_S = 2 * MIN_STALL_S


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


@pytest.mark.parametrize("path", ["/once/a", "/draft/a"])
def test_a_response_that_waited_while_the_entry_stood_still_shows_no_slow_engine(
    path: str,
) -> None:
    """Guards against refusals just after an entry stood still, as if engines were slow."""

    def serve(dialog: Dialog) -> None:
        # Blocks the whole process, as a stop does.
        time.sleep(STOPPED_S)
        if path == "/once/a":
            dialog.respond(b"fine")
            return
        dialog.start_stream()
        for number in range(1, 2 * PACE_EVENTS):
            dialog.chunk(f"id: {number}\ndata: x\n\n".encode())
            eventlet.sleep(0.002)
            if number == PACE_EVENTS:
                time.sleep(STOPPED_S)
        dialog.chunk(b"")

    entry = start_entry(EndpointStandIn(serve))
    eventlet.sleep(0.2)
    row = entry.endpoints.get("e-0")
    assert row is not None
    plain_s, latency_s, gap_s = row.plain_s, row.speed.latency_s, row.speed.gap_s
    caller = Caller(entry)
    caller.send(path, body=b"x", deadline_ms=9000)
    assert status_of(caller.read_response()) == 200
    eventlet.sleep(0.1)
    assert row.plain_s <= plain_s
    assert row.speed.latency_s <= latency_s
    assert row.speed.gap_s <= gap_s
