"""How well callers were served, measured from their first attempt."""

from __future__ import annotations

from dockreach.direct.outcomes import Ending, Outcome, Progress, Tally, judge_answer

from .cores import stream_route


def progress(*times: float) -> Progress:
    result = Progress()
    for time in times:
        result.count(1, time)
    return result


def test_a_response_is_in_time_by_its_first_event_and_its_gaps() -> None:
    route = stream_route()
    assert judge_answer(route, progress(5.9, 6.2), 5.0) is Outcome.IN_TIME
    assert judge_answer(route, progress(6.1, 6.2), 5.0) is Outcome.LATE_FIRST
    assert judge_answer(route, progress(5.9, 6.4), 5.0) is Outcome.LATE_GAP
    assert judge_answer(route, progress(5.9), 4.0) is Outcome.LATE_FIRST


def test_a_failure_or_an_empty_response_counts_as_failed() -> None:
    failed = progress(5.1)
    failed.is_failure = True
    assert judge_answer(stream_route(), failed, 5.0) is Outcome.FAILED
    assert judge_answer(stream_route(), Progress(), 5.0) is Outcome.FAILED


def test_waiting_time_counts_only_for_unserved_attempts() -> None:
    counter = Tally()
    served = Ending("a", 0, Outcome.IN_TIME, "", False)
    refused = Ending("a", 0, Outcome.REFUSED, "shed", True)
    counter.add(served, 0.4)
    counter.add(refused, 1.5)
    counter.add(refused, 0.5)
    values = {(s.name, s.labels["outcome"]): s.value for s in counter.samples()}
    assert values == {
        ("dockreach_direct_tries_total", "in_time"): 1,
        ("dockreach_direct_tries_total", "refused"): 2,
        ("dockreach_direct_unserved_held_objectives_total", "refused"): 2.0,
    }
