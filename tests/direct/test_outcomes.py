"""How well callers were served, measured from their first attempt."""

from __future__ import annotations

from dockreach.direct.outcomes import (
    DeliveryProgress,
    Outcome,
    OutcomeCounter,
    OutcomeKey,
    classify_response,
)

from .core_builders import stream_route


def progress(*times: float) -> DeliveryProgress:
    result = DeliveryProgress()
    for time in times:
        result.record(1, time)
    return result


def test_a_response_is_in_time_by_its_first_event_and_its_gaps() -> None:
    route = stream_route()
    assert classify_response(route, progress(5.9, 6.2), 5.0) is Outcome.IN_TIME
    assert classify_response(route, progress(6.1, 6.2), 5.0) is Outcome.LATE_FIRST
    assert classify_response(route, progress(5.9, 6.4), 5.0) is Outcome.LATE_GAP
    assert classify_response(route, progress(5.9), 4.0) is Outcome.LATE_FIRST


def test_a_failure_or_an_empty_response_counts_as_failed() -> None:
    failed = progress(5.1)
    failed.is_failure = True
    assert classify_response(stream_route(), failed, 5.0) is Outcome.FAILED
    assert classify_response(stream_route(), DeliveryProgress(), 5.0) is Outcome.FAILED


def test_waiting_time_counts_only_for_unserved_attempts() -> None:
    counter = OutcomeCounter()
    served = OutcomeKey("a", 0, Outcome.IN_TIME, "", False)
    refused = OutcomeKey("a", 0, Outcome.REFUSED, "shed", True)
    counter.record(served, 0.4)
    counter.record(refused, 1.5)
    counter.record(refused, 0.5)
    values = {(s.name, s.labels["outcome"]): s.value for s in counter.samples()}
    assert values == {
        ("dockreach_direct_tries_total", "in_time"): 1,
        ("dockreach_direct_tries_total", "refused"): 2,
        ("dockreach_direct_unserved_held_objectives_total", "refused"): 2.0,
    }
