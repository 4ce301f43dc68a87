"""In which order waiting requests get slots, and which requests are refused."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.dispatching import (
    MAX_RETRY_AFTER_FRACTION,
    RETRY_AFTER_JITTER,
    Dispatcher,
)
from dockreach.direct.endpoints import EndpointTable
from dockreach.direct.jobs import (
    Decision,
    Job,
    Placed,
    Refused,
    queue_timeout_s,
)
from dockreach.verdict import Reason, Verdict

from .core_builders import dispatcher, endpoints, job, placed, stream_route


def test_a_higher_tier_goes_first_however_late_it_arrives() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("low", tier=0, arrived_at=0.0))
    queue.submit(job("other", tier=0, arrived_at=0.1))
    queue.submit(job("top", tier=-1, arrived_at=0.2))
    assert placed(queue.run_round(0.3)) == ["top"]


def test_within_a_tier_the_earliest_goes_first() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("second", arrived_at=0.2))
    queue.submit(job("first", arrived_at=0.1))
    assert placed(queue.run_round(0.3)) == ["first"]


def test_a_long_stream_goes_before_a_later_short_one() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("short", arrived_at=0.01, expected_events=1.0))
    queue.submit(job("long", arrived_at=0.0, expected_events=3000.0))
    assert placed(queue.run_round(0.4)) == ["long"]


def test_a_job_that_can_be_in_time_goes_before_a_late_one() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("late", arrived_at=0.0))
    queue.submit(job("hopeful", arrived_at=0.9))
    assert placed(queue.run_round(1.0)) == ["hopeful"]


def test_late_jobs_are_served_when_no_other_job_waits() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("late", arrived_at=0.0))
    assert placed(queue.run_round(2.0)) == ["late"]


def test_a_job_is_refused_at_its_queue_deadline_with_a_retry_after() -> None:
    table = endpoints(1)
    table.set_in_flight_elsewhere({"e-0": 1})
    queue = dispatcher(table)
    queue.submit(job("a", queue_deadline=1.0))
    assert queue.run_round(0.0) == []
    assert queue.run_round(0.9) == []
    (decision,) = queue.run_round(1.0)
    assert isinstance(decision, Refused)
    assert decision.refusal.verdict is Verdict.NOT_RUN
    assert decision.refusal.reason is Reason.SHED
    assert decision.refusal.retry_after_s
    assert queue.waiting() == {}


def test_without_endpoints_the_reason_is_no_endpoint() -> None:
    queue = dispatcher(EndpointTable())
    queue.submit(job("a", queue_deadline=0.0))
    (decision,) = queue.run_round(0.1)
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is Reason.NO_ENDPOINT


def refusals(decisions: list[Decision]) -> list[Refused]:
    return [decision for decision in decisions if isinstance(decision, Refused)]


def busy_dispatcher(slots: int = 1, *, tier: int = 0) -> Dispatcher:
    """Return a dispatcher whose slots were all assigned a moment before 5 s."""
    queue = dispatcher(endpoints(slots))
    for number in range(slots):
        queue.submit(job(f"first-{number}", tier=tier, arrived_at=4.9))
    assert len(placed(queue.run_round(4.9))) == slots
    return queue


def test_a_stream_that_cannot_be_in_time_is_rejected_early() -> None:
    queue = busy_dispatcher()
    queue.submit(job("waits", arrived_at=5.0))
    queue.submit(job("new", arrived_at=5.0))
    (decision,) = refusals(queue.run_round(5.0))
    assert decision.job.rid == "new"
    assert decision.refusal.verdict is Verdict.NOT_RUN
    assert decision.refusal.reason is Reason.HOPELESS


def test_only_jobs_with_a_chance_of_a_slot_in_time_are_admitted() -> None:
    queue = busy_dispatcher(10)
    for number in range(20):
        queue.submit(job(f"j-{number}", arrived_at=5.0))
    # Ten slots a second are an expected six within 0.6 s; nine come in one case of ten.
    assert len(refusals(queue.run_round(5.0))) == 11
    assert queue.waiting() == {"work": 9}


def test_an_admitted_job_keeps_waiting() -> None:
    queue = busy_dispatcher(10)
    queue.submit(job("waits", arrived_at=5.0, queue_deadline=9.0))
    assert queue.run_round(5.0) == []
    assert queue.run_round(6.5) == []


def test_slots_that_higher_tiers_need_do_not_count() -> None:
    queue = busy_dispatcher(10)
    for number in range(8):
        queue.submit(job(f"top-{number}", arrived_at=4.95))
    queue.submit(job("low", tier=2, arrived_at=5.0))
    assert [refusal.job.rid for refusal in refusals(queue.run_round(5.0))][-1] == "low"


def test_no_lower_tier_waits_while_a_higher_one_is_rejected_early() -> None:
    queue = busy_dispatcher(10, tier=2)
    queue.submit(job("low", tier=2, arrived_at=5.0))
    assert queue.run_round(5.0) == []
    for number in range(12):
        queue.submit(job(f"top-{number}", arrived_at=5.1))
    rejected = [refusal.job.rid for refusal in refusals(queue.run_round(5.1))]
    assert "low" in rejected
    assert len(rejected) > 1


def test_the_retry_after_of_early_rejections_has_jitter_and_a_bound() -> None:
    queue = busy_dispatcher()
    for number in range(21):
        queue.submit(job(f"j-{number}", arrived_at=5.0))
    retry_after_s = [
        refusal.refusal.retry_after_s for refusal in refusals(queue.run_round(5.0))
    ]
    min_s, max_s = RETRY_AFTER_JITTER
    assert len(set(retry_after_s)) == 20
    assert all(
        value_s is not None and min_s <= value_s <= max_s for value_s in retry_after_s
    )
    queue.submit(job("short of time", arrived_at=5.0, deadline=6.0))
    (decision,) = refusals(queue.run_round(5.0))
    assert decision.refusal.retry_after_s == 1.0 * MAX_RETRY_AFTER_FRACTION


def test_longer_lasting_pressure_gives_a_longer_retry_after() -> None:
    queue = dispatcher(endpoints(1, 1))
    first = job("first", arrived_at=0.0)
    queue.submit(first)
    queue.submit(job("other", arrived_at=0.0))
    queue.run_round(0.0)
    queue.submit(job("waits", arrived_at=1.0, queue_deadline=9.0))
    queue.run_round(1.0)
    queue.release_slot(first)
    queue.run_round(2.0)
    queue.submit(job("waits too", arrived_at=5.0))
    queue.submit(job("new", arrived_at=5.0, deadline=35.0))
    (decision,) = refusals(queue.run_round(5.0))
    assert decision.job.rid == "new"
    assert decision.refusal.retry_after_s is not None
    assert decision.refusal.retry_after_s >= 4.0 * RETRY_AFTER_JITTER[0]


def test_a_retry_is_not_rejected_early() -> None:
    queue = busy_dispatcher()
    queue.submit(job("came back", arrived_at=5.0, estimated_first_attempt_at=3.0))
    assert queue.run_round(5.0) == []


def test_a_request_that_lost_its_endpoint_is_not_rejected_early() -> None:
    queue = busy_dispatcher()
    queue.submit(job("waits", arrived_at=5.0))
    cut = job("cut", arrived_at=3.0, queue_deadline=7.0)
    cut.tried_endpoints.add("e-9")
    queue.submit(cut)
    for number in range(3):
        queue.submit(job(f"new-{number}", tier=-1, arrived_at=5.0))
    assert "cut" not in [refusal.job.rid for refusal in refusals(queue.run_round(5.0))]
    assert [refusal.job.rid for refusal in refusals(queue.run_round(7.0))][-1] == "cut"


def test_a_job_that_can_be_in_time_goes_before_a_late_retry() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("back", arrived_at=4.0, estimated_first_attempt_at=1.0))
    queue.submit(job("new", arrived_at=4.2))
    assert placed(queue.run_round(4.3)) == ["new"]


def test_retries_are_ordered_by_their_first_attempts() -> None:
    queue = dispatcher(endpoints(1))
    queue.submit(job("later", arrived_at=4.0, estimated_first_attempt_at=2.0))
    queue.submit(job("first", arrived_at=4.2, estimated_first_attempt_at=1.0))
    assert placed(queue.run_round(4.3)) == ["first"]


def test_the_queue_timeout_ends_before_the_callers_deadline() -> None:
    route = stream_route()
    assert queue_timeout_s(route, 8.0) < 4 * route.objective_s
    assert queue_timeout_s(route, 1.0) == 0.5


@given(
    slots=st.lists(st.integers(min_value=1, max_value=4), min_size=1, max_size=4),
    steps=st.lists(st.tuples(st.integers(0, 2), st.booleans()), max_size=40),
    extra=st.integers(min_value=0, max_value=2),
)
def test_slots_are_never_exceeded_and_every_job_is_decided(
    slots: list[int], steps: list[tuple[int, bool]], extra: int
) -> None:
    table = endpoints(*slots)
    queue = dispatcher(table, extra=extra)
    running: list[Job] = []
    decided = 0
    for number, (tier, ends) in enumerate(steps):
        now = 0.1 * number
        if ends and running:
            queue.release_slot(running.pop(0))
        queue.submit(
            job(f"j-{number}", tier=tier, arrived_at=now, queue_deadline=now + 1.0)
        )
        for decision in queue.run_round(now):
            decided += 1
            if isinstance(decision, Placed):
                running.append(decision.job)
        assert all(0 <= row.in_flight_here <= row.published.slots + extra for row in table)
    decided += len(queue.run_round(100.0))
    assert decided == len(steps)
