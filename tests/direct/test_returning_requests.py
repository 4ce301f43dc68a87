"""Recognising requests that were refused before."""

from __future__ import annotations

import math

import pytest

from dockreach.direct.jobs import Job, RetryKind
from dockreach.direct.returning_requests import (
    DEADLINE_TOLERANCE_S,
    MAX_REFUSALS,
    MAX_REPORTS,
    MAX_SAME_BODY,
    RETENTION_S,
    ReturningRequests,
    retry_kind,
)
from dockreach.direct.slot_messages import RefusalReport

from .core_builders import OWN, address, job


def attempt(
    rid: str,
    *,
    arrived_at: float = 100.0,
    caller_deadline: float = 108.0,
    fingerprint: bytes = b"same",
) -> Job:
    """Return an attempt of a caller that gives up at 108 s."""
    item = job(rid, arrived_at=arrived_at)
    item.retry_key = fingerprint
    item.caller_deadline = caller_deadline
    return item


def after_refusal(
    *, caller_deadline: float = 108.0, held_s: float = 0.1
) -> ReturningRequests:
    """Return the refusals of an entry that refused the attempt ``a``, for 1 s."""
    returning = ReturningRequests()
    returning.remember(attempt("a", caller_deadline=caller_deadline), 1.0, 100.0 + held_s)
    return returning


def test_a_retry_is_recognised_by_fingerprint_and_deadline() -> None:
    returning = after_refusal()
    refusal = returning.match(attempt("b", arrived_at=101.2), 101.2)
    assert refusal is not None
    assert refusal.first_attempt_at == 100.0
    assert refusal.retry_at == pytest.approx(101.1)


@pytest.mark.parametrize(
    "other",
    [
        attempt("b", arrived_at=101.2, fingerprint=b"other"),
        attempt("b", arrived_at=101.2, caller_deadline=108.3),
        attempt("b", arrived_at=101.2, caller_deadline=107.7),
        attempt("b", arrived_at=101.2, caller_deadline=math.inf),
        attempt("b", arrived_at=101.2, fingerprint=b""),
    ],
)
def test_another_callers_request_is_not_taken_for_the_retry(other: Job) -> None:
    assert after_refusal().match(other, 101.2) is None


def test_the_deadline_of_a_retry_may_differ_by_delays() -> None:
    later = 108.0 + 0.9 * DEADLINE_TOLERANCE_S
    retry = attempt("b", arrived_at=101.2, caller_deadline=later)
    assert after_refusal().match(retry, 101.2) is not None


def test_without_a_deadline_the_fingerprint_alone_decides() -> None:
    returning = after_refusal(caller_deadline=math.inf)
    retry = attempt("b", arrived_at=101.2, caller_deadline=math.inf)
    assert returning.match(retry, 101.2) is not None
    # A refusal that has no deadline is not kept for ever.
    again = after_refusal(caller_deadline=math.inf)
    assert again.match(retry, 101.1 + RETENTION_S) is None


def test_one_refusal_is_matched_by_one_retry() -> None:
    returning = after_refusal()
    assert returning.match(attempt("b", arrived_at=101.2), 101.2) is not None
    assert returning.match(attempt("c", arrived_at=101.3), 101.3) is None
    # The same attempt waits again, after it declined a slot.
    assert returning.match(attempt("b", arrived_at=101.2), 101.4) is not None


def test_two_callers_with_the_same_body_are_matched_by_the_nearer_deadline() -> None:
    returning = after_refusal()
    returning.remember(attempt("z", caller_deadline=108.2), 2.0, 100.1)
    refusal = returning.match(attempt("b", arrived_at=102.2, caller_deadline=108.19), 102.2)
    assert refusal is not None
    assert refusal.rid == "z"


def test_a_refused_attempt_is_not_its_own_retry() -> None:
    assert after_refusal().match(attempt("a", arrived_at=100.2), 100.2) is None


def test_a_refusal_is_kept_until_the_callers_deadline() -> None:
    returning = after_refusal()
    assert returning.match(attempt("b", arrived_at=108.0), 108.0) is None
    returning.remember(attempt("x", arrived_at=109.0, caller_deadline=117.0), 1.0, 109.0)
    assert len(returning) == 1


def test_the_oldest_refusals_are_dropped_first() -> None:
    returning = ReturningRequests()
    for number in range(MAX_REFUSALS + 10):
        returning.remember(
            attempt(f"a{number}", fingerprint=number.to_bytes(8)), 1.0, 100.0
        )
    assert len(returning) == MAX_REFUSALS
    oldest = attempt("b", arrived_at=101.0, fingerprint=(9).to_bytes(8))
    kept = attempt("b", arrived_at=101.0, fingerprint=(10).to_bytes(8))
    assert returning.match(oldest, 101.0) is None
    assert returning.match(kept, 101.0) is not None


def test_an_attempt_is_remembered_once() -> None:
    returning = after_refusal()
    returning.remember(attempt("a"), 2.0, 100.2)
    assert len(returning) == 1


def test_a_retry_counts_anew_after_a_quick_refusal_only() -> None:
    retry = attempt("b", arrived_at=102.0)
    quick = after_refusal(held_s=0.25).match(retry, 102.0)
    slow = after_refusal(held_s=0.5).match(retry, 102.0)
    assert quick is not None
    assert slow is not None
    assert retry_kind(quick, retry) is RetryKind.COUNTED_ANEW
    assert retry_kind(slow, retry) is RetryKind.RECOGNISED


def test_reports_are_relative_and_leave_out_what_the_coordinator_decided() -> None:
    returning = after_refusal()
    returning.remember(
        attempt("z", fingerprint=b"told"), 1.0, 100.1, coordinator=address(1)
    )
    reports, last = returning.reports("work", 0, address(1), 100.6)
    (report,) = reports
    assert report.fingerprint == b"same"
    assert report.caller_time_left_s == pytest.approx(7.4)
    assert report.first_attempt_age_s == pytest.approx(0.6)
    assert report.retry_in_s == pytest.approx(0.5)
    assert report.held_s == pytest.approx(0.1)
    assert returning.reports("work", last, address(1), 100.6) == ([], last)
    # To another coordinator, the decision of the first one is news as well.
    assert len(returning.reports("work", 0, address(2), 100.6)[0]) == 2
    assert returning.reports("other", 0, address(1), 100.6)[0] == []


def test_reports_are_bounded_in_age_and_number() -> None:
    returning = ReturningRequests()
    for number in range(MAX_REPORTS + 5):
        returning.remember(
            attempt(f"a{number}", fingerprint=number.to_bytes(8)), 1.0, 100.0
        )
    reports, last = returning.reports("work", 0, OWN, 100.0)
    assert len(reports) == MAX_REPORTS
    assert len(returning.reports("work", last, OWN, 100.0)[0]) == 5
    assert returning.reports("work", 0, OWN, 100.1 + RETENTION_S)[0] == []


def test_a_report_is_taken_over_once_and_not_passed_on() -> None:
    returning = ReturningRequests()
    report = RefusalReport(b"same", 8.0, 0.1, 1.0, is_promised=False, number=3)
    assert returning.merge("work", report, "10.0.0.2#1", 100.1) is not None
    # The reply to the first state was lost, so that the sender repeats the report.
    assert returning.merge("work", report, "10.0.0.2#1", 100.3) is None
    # Another entry refused another caller that sent the same body.
    assert returning.merge("work", report, "10.0.0.3#1", 100.1) is not None
    assert returning.reports("work", 0, OWN, 100.2)[0] == []


def test_a_report_that_is_no_longer_needed_is_not_taken_over() -> None:
    returning = ReturningRequests()
    expired = RefusalReport(b"same", -0.1, 9.0, -5.0, is_promised=False, number=3)
    assert returning.merge("work", expired, "10.0.0.2#1", 100.0) is None
    assert len(returning) == 0


def test_only_the_latest_refusals_of_one_body_are_kept() -> None:
    """Guards against work that grows with the callers that send the same body."""
    returning = ReturningRequests()
    for number in range(MAX_SAME_BODY + 8):
        returning.remember(attempt(f"r{number}"), 1.0, 100.0 + number / 1000)
    assert len(returning) == MAX_SAME_BODY
    matched = 0
    for number in range(MAX_SAME_BODY + 8):
        retry = attempt(f"s{number}", arrived_at=101.2)
        matched += returning.match(retry, 101.2) is not None
    assert matched == MAX_SAME_BODY
    reports, _ = returning.reports("work", 0, OWN, 100.1)
    assert len(reports) == MAX_SAME_BODY + 8


def test_refusals_of_other_services_are_scanned_once() -> None:
    returning = after_refusal()
    reports, last = returning.reports("other", 0, OWN, 100.2)
    assert (reports, last) == ([], 1)
