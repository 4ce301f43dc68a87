"""Promising times to refused callers, and keeping the promises."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.jobs import MIN_RETRY_AFTER_S, Job, Placed, Refused, RetryKind
from dockreach.direct.pressure import Rank
from dockreach.direct.retry_schedule import (
    HEADER_RESOLUTION_S,
    HONOURED_FRACTION,
    MAX_PROMISES,
    MIN_PROMISE_S,
    PROMISE_GRACE_S,
    PROMISED_FRACTION,
    RetrySchedule,
    recognise,
)
from dockreach.direct.returning_requests import RETENTION_S, PastRefusal, ReturningRequests
from dockreach.direct.slot_messages import RefusalReport
from dockreach.verdict import Reason

from .core_builders import dispatcher, endpoints, job


class SteadyForecast:
    """Expects slots at a constant rate; fewer for lower tiers."""

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second

    def expected_slots(
        self, service: str, rank: Rank, span_s: float, now: float
    ) -> float | None:
        return self.per_second * span_s / (1 + rank[0])

    def time_until(self, service: str, rank: Rank, slots: float, now: float) -> float:
        if not self.per_second:
            return math.inf
        return slots * (1 + rank[0]) / self.per_second


def first_attempt(
    rid: str = "a", *, tier: int = 0, arrived_at: float = 100.0, left_s: float = 12.0
) -> Job:
    item = job(rid, tier=tier, arrived_at=arrived_at, deadline=arrived_at + left_s)
    item.caller_deadline = arrived_at + left_s
    item.retry_key = rid.encode()
    return item


def past_refusal(retry_at: float, *, is_promised: bool = True) -> PastRefusal:
    return PastRefusal(1, "work", b"a", 112.0, 100.0, 0.1, retry_at, is_promised, (0,))


def test_callers_are_promised_slots_one_after_the_other() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    times = [schedule.plan_retry(first_attempt(f"a{n}"), 5, 100.0) for n in range(3)]
    assert all(time.is_promised for time in times)
    # Five jobs wait before it, and a quarter of the slots after them is promised.
    assert [time.after_s for time in times] == pytest.approx([0.45, 0.65, 0.85])


def test_no_time_is_shorter_than_it_takes_to_report_the_refusal() -> None:
    schedule = RetrySchedule(SteadyForecast(1000.0))
    assert schedule.plan_retry(first_attempt(), 0, 100.0).after_s == MIN_PROMISE_S


def test_nothing_is_promised_that_the_caller_does_not_wait_for() -> None:
    schedule = RetrySchedule(SteadyForecast(2.0))
    too_long = schedule.plan_retry(first_attempt(left_s=5.0), 0, 100.0)
    assert (too_long.after_s, too_long.is_promised) == (2.0, False)
    assert schedule.plan_retry(first_attempt(left_s=8.0), 0, 100.0).is_promised


def test_only_a_retry_that_can_be_in_time_is_promised() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    second = first_attempt()
    second.estimated_first_attempt_at = 98.0
    without_fingerprint = first_attempt()
    without_fingerprint.retry_key = b""
    for refused in (second, without_fingerprint):
        assert not schedule.plan_retry(refused, 0, 100.0).is_promised
    # It was held for longer than a quarter of its objective.
    assert not schedule.plan_retry(first_attempt(), 0, 100.3).is_promised
    # It would have less time left than the objective.
    assert not schedule.plan_retry(first_attempt(left_s=1.1), 0, 100.0).is_promised
    assert schedule.outstanding("work", 100.0) == 0


def test_nothing_is_promised_where_no_slot_is_expected() -> None:
    schedule = RetrySchedule(SteadyForecast(0.0))
    time = schedule.plan_retry(first_attempt(), 0, 100.0)
    assert (time.after_s, time.is_promised) == (math.inf, False)


def test_an_unused_promise_is_dropped_after_its_grace() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    at = 100.0 + schedule.plan_retry(first_attempt(), 0, 100.0).after_s
    assert schedule.outstanding("work", at + PROMISE_GRACE_S) == 1
    assert schedule.outstanding("work", at + PROMISE_GRACE_S + 0.01) == 0


@pytest.mark.parametrize(
    ("arrived_at", "is_due"),
    [(100.9, False), (101.0, True), (101.5, True), (101.6, False)],
)
def test_a_retry_is_due_at_its_time_and_for_the_grace(
    arrived_at: float, is_due: bool
) -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    refusal = past_refusal(101.0)
    schedule.adopt(refusal, 100.5)
    assert schedule.outstanding("work", 100.5) == 1
    assert schedule.redeem(refusal, arrived_at) is is_due
    assert schedule.outstanding("work", arrived_at) == 0


def test_a_retry_without_a_promise_is_never_due() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    assert not schedule.redeem(past_refusal(101.0, is_promised=False), 101.0)


def test_promises_of_lower_tiers_do_not_hold_back_higher_ones() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    schedule.plan_retry(first_attempt(tier=1), 0, 100.0)
    assert schedule.due_within("work", (0,), 10.0, 100.0) == 0
    assert schedule.due_within("work", (1,), 10.0, 100.0) == 1
    assert schedule.due_within("work", (2,), 10.0, 100.0) == 1


def test_the_number_of_promises_is_bounded() -> None:
    schedule = RetrySchedule(SteadyForecast(1e9))
    for number in range(MAX_PROMISES):
        schedule.adopt(past_refusal(101.0 + number / 1e6), 100.0)
    assert not schedule.plan_retry(first_attempt(), 0, 100.0).is_promised
    schedule.adopt(past_refusal(102.0), 100.0)
    assert schedule.outstanding("work", 100.0) == MAX_PROMISES


@given(
    rate=st.floats(0.0, 200.0),
    steps=st.lists(
        st.tuples(st.floats(0.0, 0.3), st.integers(0, 2), st.integers(0, 5)), max_size=60
    ),
)
def test_promises_never_exceed_the_expected_slots(
    rate: float, steps: list[tuple[float, int, int]]
) -> None:
    forecast = SteadyForecast(rate)
    schedule = RetrySchedule(forecast)
    now = 100.0
    for number, (passed_s, tier, ahead) in enumerate(steps):
        now += passed_s
        refused = first_attempt(str(number), tier=tier, arrived_at=now)
        time = schedule.plan_retry(refused, ahead, now)
        if not time.is_promised:
            continue
        expected = forecast.expected_slots("work", (tier,), time.after_s, now)
        assert expected is not None
        promised = schedule.outstanding("work", now)
        assert promised <= PROMISED_FRACTION * (expected - ahead) + 1e-6
        assert time.after_s <= HONOURED_FRACTION * 12.0


def busy_queue(per_second: int = 20, *, now: float = 100.0) -> tuple[Dispatcher, list[Job]]:
    """Return a queue whose slots are all taken, and the jobs that hold them."""
    queue = dispatcher(endpoints(per_second))
    holders = []
    for number in range(per_second):
        holder = job(f"h{number}", arrived_at=now - 0.2)
        queue.submit(holder)
        holders.append(holder)
    queue.run_round(now - 0.2)
    return queue, holders


def reject_one(queue: Dispatcher, now: float) -> Refused:
    """Fill the queue until a job is rejected early; return that decision."""
    for number in range(100):
        queue.submit(first_attempt(f"w{number}-{now}", arrived_at=now))
    refused = [one for one in queue.run_round(now) if isinstance(one, Refused)]
    assert refused
    assert refused[0].refusal.reason is Reason.HOPELESS
    return refused[0]


def retry_of(refused: Refused, rid: str, arrived_at: float) -> Job:
    retry = first_attempt(rid, arrived_at=arrived_at)
    retry.retry_key = refused.job.retry_key
    retry.caller_deadline = refused.job.caller_deadline
    return retry


def test_a_due_retry_goes_before_new_requests_and_is_not_rejected_early() -> None:
    queue, holders = busy_queue()
    refused = reject_one(queue, 100.0)
    assert refused.is_promised
    assert refused.refusal.retry_after_s is not None
    at = 100.0 + refused.refusal.retry_after_s
    retry = retry_of(refused, "retry", at)
    new = first_attempt("new", arrived_at=at - 0.1)
    queue.submit(new)
    queue.submit(retry)
    assert retry.retry_kind is RetryKind.DUE
    assert retry.first_attempt_at == 100.0
    assert not any(
        isinstance(one, Refused) and one.job is retry for one in queue.run_round(at)
    )
    queue.release_slot(holders[0])
    (placed,) = [one for one in queue.run_round(at) if isinstance(one, Placed)]
    assert placed.job is retry


def test_a_retry_before_its_time_is_rejected_like_a_new_request() -> None:
    queue, _ = busy_queue()
    refused = reject_one(queue, 100.0)
    early = retry_of(refused, "early", 100.1)
    queue.submit(early)
    assert early.retry_kind is RetryKind.COUNTED_ANEW
    (decision,) = [one for one in queue.run_round(100.1) if one.job is early]
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is Reason.HOPELESS
    # Its caller does not come a third time.
    assert not decision.is_promised
    assert decision.first_attempt_age_s == pytest.approx(0.1)


def test_slots_for_due_retries_are_not_given_to_new_requests() -> None:
    plain, _ = busy_queue()
    reserved, _ = busy_queue()
    for number in range(10):
        reserved.retry_schedule.adopt(past_refusal(100.3 + number / 100), 100.0)
    admitted = []
    for queue in (plain, reserved):
        for number in range(60):
            queue.submit(first_attempt(f"n{number}", arrived_at=100.0))
        queue.run_round(100.0)
        admitted.append(queue.waiting()["work"])
    assert admitted[0] - admitted[1] == 10


def test_without_a_promise_the_header_is_bounded_by_the_time_left() -> None:
    queue, _ = busy_queue(4)
    for number in range(80):
        queue.submit(first_attempt(f"w{number}", arrived_at=100.0, left_s=3.0))
    refused = [one for one in queue.run_round(100.0) if isinstance(one, Refused)]
    unpromised = [one for one in refused if not one.is_promised]
    assert unpromised
    for decision in refused:
        assert decision.refusal.retry_after_s is not None
        assert 0 < decision.refusal.retry_after_s <= 3.0 * HONOURED_FRACTION


def test_a_request_of_an_earlier_entry_gets_no_promise() -> None:
    queue, _ = busy_queue()
    for number in range(100):
        queue.submit(job(f"o{number}", arrived_at=100.0))
    refused = [one for one in queue.run_round(100.0) if isinstance(one, Refused)]
    assert refused
    assert not any(one.is_promised for one in refused)
    assert len(queue.returning) == 0


def test_an_estimated_retry_that_is_not_recognised_is_never_rejected_early() -> None:
    queue, _ = busy_queue()
    reject_one(queue, 100.0)
    estimated = first_attempt("e", arrived_at=100.1)
    estimated.estimated_first_attempt_at = 99.5
    queue.submit(estimated)
    assert all(one.job is not estimated for one in queue.run_round(100.1))


def test_a_promised_time_is_one_that_the_header_can_express() -> None:
    schedule = RetrySchedule(SteadyForecast(7.0))
    after_s = schedule.plan_retry(first_attempt(), 1, 100.0).after_s
    assert after_s == pytest.approx(round(after_s / HEADER_RESOLUTION_S) / 100)
    assert after_s >= 5 / 7


def test_a_job_that_got_no_slot_is_told_when_capacity_is_expected() -> None:
    queue, _ = busy_queue(4)
    waiting = first_attempt("a", arrived_at=100.0, left_s=12.0)
    waiting.queue_deadline = 100.5
    waiting.is_admitted = True
    queue.submit(waiting)
    (decision,) = queue.run_round(100.5)
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is Reason.SHED
    # One slot of four per second, and a quarter of them is promised.
    assert decision.refusal.retry_after_s == pytest.approx(1.0)
    assert not decision.is_promised
    assert queue.retry_schedule.outstanding("work", 100.5) == 0


@pytest.mark.parametrize("retry_at", [math.inf, math.nan, 1e9, 100.1 + RETENTION_S])
def test_promises_far_ahead_are_not_adopted(retry_at: float) -> None:
    """Guards against reports of a peer that end all promises of a service."""
    schedule = RetrySchedule(SteadyForecast(20.0))
    schedule.adopt(past_refusal(retry_at), 100.0)
    assert schedule.outstanding("work", 100.0) == 0


def test_tiers_without_promises_are_dropped() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    schedule.adopt(past_refusal(101.0), 100.0)
    assert schedule.outstanding("work", 102.0) == 0
    assert schedule._promises["work"] == {}  # noqa: SLF001


def test_a_time_that_a_peer_sent_drops_no_promises() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    schedule.adopt(past_refusal(101.0), 100.0)
    assert not schedule.redeem(past_refusal(102.0), 1e9)
    assert schedule.outstanding("work", 100.0) == 1


def test_a_retry_that_is_submitted_again_uses_no_promise_of_another_caller() -> None:
    schedule = RetrySchedule(SteadyForecast(20.0))
    returning = ReturningRequests()
    for caller in (b"a", b"b"):
        report = RefusalReport(
            fingerprint=caller,
            caller_time_left_s=12.0,
            first_attempt_age_s=0.1,
            retry_in_s=1.0,
            is_promised=True,
            held_s=0.1,
            rank=(0,),
            number=1,
        )
        refusal = returning.merge("work", report, caller.decode(), 100.0)
        assert refusal is not None
        schedule.adopt(refusal, 100.0)
    retry = first_attempt("retry", arrived_at=101.0, left_s=11.0)
    retry.retry_key = b"a"
    for _ in range(2):
        recognise(retry, returning, schedule)
        assert retry.retry_kind is RetryKind.DUE
    assert schedule.outstanding("work", 101.0) == 1
    assert schedule.kept_count == 1


def test_a_job_without_a_slot_gets_the_shortest_time_if_none_is_expected() -> None:
    """Guards against a third of the caller's time where nothing is known."""
    queue, _ = busy_queue(4)
    queue.retry_schedule.forecast = SteadyForecast(0.0)
    waiting = first_attempt("a", arrived_at=100.0, left_s=12.0)
    waiting.queue_deadline = 100.5
    waiting.is_admitted = True
    queue.submit(waiting)
    (decision,) = queue.run_round(100.5)
    assert isinstance(decision, Refused)
    assert decision.refusal.retry_after_s == MIN_RETRY_AFTER_S


def test_a_time_in_the_far_future_is_bounded_by_the_time_left() -> None:
    """Guards against an overflow when the time is rounded."""
    schedule = RetrySchedule(SteadyForecast(1e-307))
    time = schedule.plan_retry(first_attempt(), 0, 100.0)
    assert (time.after_s, time.is_promised) == (12.0, False)
