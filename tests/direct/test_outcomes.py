"""How callers were served, counted from their first try."""

from __future__ import annotations

from dockreach.direct.outcomes import Ending, Outcome, Progress, Tally, judge_answer

from .cores import stream_route


def progress(*times: float) -> Progress:
    found = Progress()
    for time in times:
        found.count(1, time)
    return found


def test_an_answer_is_in_time_by_its_first_event_and_its_pauses() -> None:
    route = stream_route()
    assert judge_answer(route, progress(5.9, 6.2), 5.0) is Outcome.IN_TIME
    assert judge_answer(route, progress(6.1, 6.2), 5.0) is Outcome.LATE_FIRST
    assert judge_answer(route, progress(5.9, 6.4), 5.0) is Outcome.LATE_GAP
    assert judge_answer(route, progress(5.9), 4.0) is Outcome.LATE_FIRST


def test_a_failure_or_nothing_at_all_serves_nobody() -> None:
    failed = progress(5.1)
    failed.is_failure = True
    assert judge_answer(stream_route(), failed, 5.0) is Outcome.FAILED
    assert judge_answer(stream_route(), Progress(), 5.0) is Outcome.FAILED


def test_time_held_counts_only_where_nobody_was_served() -> None:
    tally = Tally()
    served = Ending("a", 0, Outcome.IN_TIME, "", False)
    refused = Ending("a", 0, Outcome.REFUSED, "shed", True)
    tally.add(served, 0.4)
    tally.add(refused, 1.5)
    tally.add(refused, 0.5)
    found = {(s.name, s.labels["outcome"]): s.value for s in tally.samples()}
    assert found == {
        ("dockreach_direct_tries_total", "in_time"): 1,
        ("dockreach_direct_tries_total", "refused"): 2,
        ("dockreach_direct_unserved_held_objectives_total", "refused"): 2.0,
    }
